#pragma once

/// Public header of the Router library: forwards the requests of callers to
/// targets and returns their responses.

#include "vcBurn.h"
#include "vcRequests.h"
#include "vcRouting.h"
#include "vcShell.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

namespace verbenacroft {

/// Response header of a failed request: "not-run" if no target has run it,
/// "unknown" if a target may have run it.
constexpr std::string_view kOutcomeHeader = "Verbenacroft-Outcome";
/// Request header: time until the deadline of the request, in milliseconds. A
/// caller may set it to a shorter time than the deadline of the service.
constexpr std::string_view kDeadlineHeader = "Verbenacroft-Deadline-Ms";
/// Request header: set on a request that a router forwards to another data
/// centre.
constexpr std::string_view kForwardedHeader = "Verbenacroft-Forwarded";
/// Request header: name of the task that the request is sent to.
constexpr std::string_view kTaskHeader = "Verbenacroft-Task";
/// Request header: key by which a repeated request is recognized.
constexpr std::string_view kKeyHeader = "Idempotency-Key";

/// Counts of requests since the start of the router, reported as metrics.
struct RouterCounters
{
  std::uint64_t mRequests = 0;
  /// Requests that failed and certainly were not run by a target. Requests
  /// refused by admission control or for an unknown service are not counted.
  std::uint64_t mNotRun = 0;
  /// Requests that failed and may have been run by a target.
  std::uint64_t mUnknown = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  /// Attempts to forward a request to a router of another data centre.
  std::uint64_t mForwards = 0;
  /// Answers of targets that belong to another request.
  std::uint64_t mCrossed = 0;
  /// Requests whose idempotency key was claimed before by a request with the
  /// same fingerprint.
  std::uint64_t mKeyDuplicates = 0;
};

/// State that is needed to route requests; owned by the router program.
struct RouterState
{
  std::string mName;
  std::string mDataCentre;
  /// Copy of the configuration.
  ConfigFollower mFollower;
  /// Targets in the data centre of this router.
  TargetPool mPool;
  AdmissionState mAdmission;
  /// Limits retries and hedged requests.
  RetryBudget mRetries;
  /// Requests counted against the objectives of the services.
  BurnRecorder mBurn;
  /// Idempotency keys.
  IdempotencyState mKeys;
  RouterCounters mCounters;
  /// Makes request ids and nonces unique; also rotates the routers that
  /// requests are forwarded to.
  std::uint64_t mNextRequest = 1;
};

/// A request that waits for a free slot at a target. Cancelling the timer wakes
/// the request. The destructor removes it from the list.
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

/// Waiting requests of a service, in the order in which they are woken.
using WaiterList =
  boost::intrusive::list<SlotWaiter,
                         boost::intrusive::constant_time_size<false>>;

/// Routes the requests of callers to targets of their service.
class RequestRouter
{
public:
  RequestRouter(asio::io_context& aContext,
                HttpClient& aHttp,
                Directory& aDirectory,
                RouterState& aState);

  /// Answers a request for "/s/<service>/<path>".
  /// @param aIsForwarded True if a router of another data centre sent the
  /// request. Such a request is not forwarded again.
  asio::awaitable<HttpResponse> Serve(const HttpRequest& aRequest,
                                      bool aIsForwarded);

  /// Answers the claim of another router for an idempotency key whose slot this
  /// router owns.
  asio::awaitable<HttpResponse> HandleKeyClaim(const KeyClaim& aClaim);

  /// Passes the finished claims of idempotency keys to the coroutines that wait
  /// for them.
  void DeliverKeyReplies();

private:
  struct HedgedRequest;
  struct Call;

  /// Routes the request to a target of this data centre, or forwards it to
  /// another data centre if there is none here.
  asio::awaitable<HttpResponse> ServeService(Call& aCall);
  /// Claims the idempotency key of the request and routes the request only if
  /// the claim is granted.
  asio::awaitable<HttpResponse> ServeWithIdempotencyKey(Call& aCall);
  /// Sends the request to a target of this data centre, with retries.
  asio::awaitable<HttpResponse> SendWithRetries(Call& aCall);
  /// Sends the request to routers of other data centres, one after another.
  asio::awaitable<HttpResponse> Forward(Call& aCall);
  /// Waits for a target with a free slot and returns its task. The wait takes
  /// at most a fraction of the time that the request has left. Returns an empty
  /// string if no slot was free or the service has no target.
  asio::awaitable<std::string> AwaitTarget(Call& aCall);
  /// Sends the request to the target once.
  asio::awaitable<HttpResult> Send(Call& aCall, std::string aTask);
  /// Sends the request to the target and, if that is slow and the retry budget
  /// allows, to a second one. Returns the first answer, or the last error if
  /// there is no answer. Used only for idempotent requests.
  asio::awaitable<HttpResult> SendHedged(Call& aCall, std::string aTask);
  /// Claims a key from the router that owns its slot.
  asio::awaitable<KeyAnswer> ClaimKeyFromOwner(KeyClaim aClaim,
                                               TimePoint aDeadline);
  /// Sends the answer to a granted request to the owner of the key, for
  /// requests that repeat the key.
  asio::awaitable<void> SendKeyResult(KeyResult aResult);
  /// Wakes the first request that waits for a slot of the service.
  void WakeWaiter(const std::string& aService);

  asio::io_context& mContext;
  HttpClient& mHttp;
  Directory& mDirectory;
  RouterState& mState;
  PendingAnswers<KeyAnswer> mKeyTickets;
  /// Requests that wait for a free slot, by the name of the service.
  std::map<std::string, WaiterList> mWaiters;
};

} // namespace verbenacroft
