#pragma once

/// Helpers for the servers and clients that peers and operators use.

#include "vcHttp.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace verbenacroft {

/// Header with the secret of the caller.
constexpr std::string_view kTokenHeader = "Verbenacroft-Token";
/// Header with the protocol version between peers.
constexpr std::string_view kProtocolHeader = "Verbenacroft-Protocol";

/// Counts of refused messages, by reason.
struct RefusalCounters
{
  std::uint64_t mBadTokens = 0;
  std::uint64_t mBadProtocols = 0;
  std::uint64_t mMalformed = 0;
};

/// Checks the token of a request and, if `aIsPeer`, its protocol version.
/// Returns nullopt if they are valid; otherwise counts the refusal and returns
/// the response: 401 for the token, 400 for the protocol version.
std::optional<HttpResponse> RejectUnauthorized(const HttpRequest& aRequest,
                                               std::string_view aToken,
                                               bool aIsPeer,
                                               RefusalCounters& aCounters);

/// Starts a server on `aAddress`, which must be a valid `IP:port`.
/// @throws std::system_error naming the address if it can't be bound.
std::unique_ptr<HttpServer> Listen(asio::io_context& aContext,
                                   const std::string& aAddress,
                                   const HttpLimits& aLimits,
                                   HttpHandler aHandler);

/// Returns a request with the headers that peers require.
HttpRequest PeerRequest(std::string aMethod,
                        std::string aTarget,
                        const std::string& aToken,
                        std::string aBody = {});

/// Calls a peer and decodes the body of its answer, whatever the status.
/// Returns nullopt if the address is malformed, the call fails or the body
/// can't be decoded.
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

/// Lets coroutines wait for answers that arrive later, each identified by a
/// ticket number.
template<class Answer>
class PendingAnswers
{
public:
  explicit PendingAnswers(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  /// Waits for the answer to `aTicket`, without a timeout.
  asio::awaitable<Answer> Wait(std::uint64_t aTicket);

  /// Hands the answer to the coroutine that waits for `aTicket`; drops it if
  /// there is none.
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

/// Waits until `aTimer` expires or is cancelled; cancellation does not throw.
asio::awaitable<void> WaitForTimer(asio::steady_timer& aTimer);

template<class Answer>
asio::awaitable<Answer> PendingAnswers<Answer>::Wait(std::uint64_t aTicket)
{
  auto slot = std::make_shared<Slot>(this->mContext);
  slot->mTimer.expires_at(asio::steady_timer::time_point::max());
  this->mWaiting[aTicket] = slot;
  co_await WaitForTimer(slot->mTimer);
  this->mWaiting.erase(aTicket);
  co_return slot->mAnswer.value_or(Answer{});
}

} // namespace verbenacroft
