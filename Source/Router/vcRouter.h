#pragma once

/// Public header of the Router library: the path of a caller's request to a
/// target and of the answer back.

#include "vcBurn.h"
#include "vcRequests.h"
#include "vcRouting.h"
#include "vcShell.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

namespace verbenacroft {

/// Says of a request that failed whether it may have run.
constexpr std::string_view kOutcomeHeader = "Verbenacroft-Outcome";
constexpr std::string_view kDeadlineHeader = "Verbenacroft-Deadline-Ms";
constexpr std::string_view kForwardedHeader = "Verbenacroft-Forwarded";
constexpr std::string_view kTaskHeader = "Verbenacroft-Task";
constexpr std::string_view kKeyHeader = "Idempotency-Key";

struct RouterCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mForwards = 0;
  std::uint64_t mCrossed = 0;
  std::uint64_t mKeyDuplicates = 0;
};

/// Everything that the path of a request needs; owned by the program.
struct RouterState
{
  std::string mName;
  std::string mDataCentre;
  ConfigFollower mFollower;
  TargetPool mPool;
  AdmissionState mAdmission;
  RetryBudget mRetries;
  BurnRecorder mBurn;
  KeysState mKeys;
  RouterCounters mCounters;
  std::uint64_t mNextRequest = 1;
};

/// A request that waits for a free slot at a target.
class SlotWaiter
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  explicit SlotWaiter(asio::io_context& aContext)
    : mTimer(aContext)
  {
  }
  asio::steady_timer mTimer;
};

using WaiterList =
  boost::intrusive::list<SlotWaiter,
                         boost::intrusive::constant_time_size<false>>;

/// Serves callers' requests.
class RequestPath
{
public:
  RequestPath(asio::io_context& aContext,
              HttpClient& aHttp,
              Directory& aDirectory,
              RouterState& aState);

  /// Answers "/s/<service>/<path>".
  /// @param aIsForwarded the request came from a router of another data
  /// centre and must not be passed on again.
  asio::awaitable<HttpResponse> Serve(const HttpRequest& aRequest,
                                      bool aIsForwarded);

  /// Answers a peer's question to the owner of a key's slot.
  asio::awaitable<HttpResponse> ServeClaim(const KeyClaim& aClaim);

  /// Delivers what the key slots have decided.
  void DeliverKeyReplies();

private:
  struct Attempt;
  struct Call;

  asio::awaitable<HttpResponse> ServeService(Call& aCall);
  asio::awaitable<HttpResponse> ServeKeyed(Call& aCall);
  asio::awaitable<HttpResponse> Route(Call& aCall);
  asio::awaitable<HttpResponse> Forward(Call& aCall);
  asio::awaitable<std::string> AwaitTarget(Call& aCall);
  asio::awaitable<HttpResult> Send(Call& aCall, std::string aTask);
  asio::awaitable<HttpResult> SendHedged(Call& aCall, std::string aTask);
  asio::awaitable<KeyAnswer> AskKeyOwner(KeyClaim aClaim, TimePoint aDeadline);
  asio::awaitable<void> TellKeyOwner(KeyResult aResult);
  void WakeWaiter(const std::string& aService);

  asio::io_context& mContext;
  HttpClient& mHttp;
  Directory& mDirectory;
  RouterState& mState;
  TicketBoard<KeyAnswer> mKeyBoard;
  std::map<std::string, WaiterList> mWaiters;
};

} // namespace verbenacroft
