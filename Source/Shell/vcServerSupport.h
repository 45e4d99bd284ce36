#pragma once

/// Helpers of the servers for peers and operators.

#include "vcHttp.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace verbenacroft {

constexpr std::string_view kTokenHeader = "Verbenacroft-Token";
constexpr std::string_view kProtocolHeader = "Verbenacroft-Protocol";

/// Counts of refused messages.
struct RefusalCounters
{
  std::uint64_t mBadTokens = 0;
  std::uint64_t mBadProtocols = 0;
  std::uint64_t mMalformed = 0;
};

/// Response for a request that does not carry the token, or, between peers,
/// the protocol version; nothing if it may go on.
std::optional<HttpResponse> RefuseStranger(const HttpRequest& aRequest,
                                           std::string_view aToken,
                                           bool aIsPeer,
                                           RefusalCounters& aCounters);

/// Server on the address `aAddress` of the settings.
/// @throws std::system_error naming the address if it can't be bound.
std::unique_ptr<HttpServer> Listen(asio::io_context& aContext,
                                   const std::string& aAddress,
                                   const HttpLimits& aLimits,
                                   HttpHandler aHandler);

/// Request to a peer.
HttpRequest PeerRequest(std::string aMethod,
                        std::string aTarget,
                        const std::string& aToken,
                        std::string aBody = {});

/// Calls a peer and decodes its answer; nothing if none arrived.
template<class Answer>
asio::awaitable<std::optional<Answer>> CallPeer(HttpClient& aHttp,
                                                std::string aAddress,
                                                HttpRequest aRequest,
                                                Duration aTimeout)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return std::nullopt;
  }
  HttpCallOptions options;
  options.mTimeout = aTimeout;
  HttpResult result =
    co_await aHttp.Call(*endpoint, std::move(aRequest), std::move(options));
  if (result.mError) {
    co_return std::nullopt;
  }
  co_return TryDecode<Answer>(result.mResponse.mBody);
}

/// Lets coroutines wait for answers that a core gives under a ticket.
template<class Answer>
class TicketBoard
{
public:
  explicit TicketBoard(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  /// Waits for the answer to `aTicket`.
  asio::awaitable<Answer> Wait(std::uint64_t aTicket);

  void Deliver(std::uint64_t aTicket, Answer aAnswer)
  {
    const auto found = this->mWaiting.find(aTicket);
    if (found == this->mWaiting.end()) {
      return;
    }
    found->second->mAnswer = std::move(aAnswer);
    found->second->mTimer.cancel();
  }

private:
  struct Slot
  {
    explicit Slot(asio::io_context& aContext)
      : mTimer(aContext)
    {
    }
    asio::steady_timer mTimer;
    std::optional<Answer> mAnswer;
  };
  asio::io_context& mContext;
  std::map<std::uint64_t, std::shared_ptr<Slot>> mWaiting;
};

/// Waits until `aTimer` is cancelled or ends.
asio::awaitable<void> WaitQuietly(asio::steady_timer& aTimer);

template<class Answer>
asio::awaitable<Answer> TicketBoard<Answer>::Wait(std::uint64_t aTicket)
{
  auto slot = std::make_shared<Slot>(this->mContext);
  slot->mTimer.expires_at(asio::steady_timer::time_point::max());
  this->mWaiting[aTicket] = slot;
  co_await WaitQuietly(slot->mTimer);
  this->mWaiting.erase(aTicket);
  co_return slot->mAnswer.value_or(Answer{});
}

} // namespace verbenacroft
