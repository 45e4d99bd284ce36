#include "vcRouter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>

namespace verbenacroft {

namespace {

constexpr std::string_view kServicePathPrefix = "/s/";
/// Attempts for one request, including the first.
constexpr int kMaxAttempts = 3;
/// A request waits for a free slot for at most its remaining time divided by
/// this number.
constexpr std::int64_t kSlotWaitDivisor = 4;
/// Part of the time that a forwarded request has left, kept for the way of the
/// answer: an answer at the deadline would come too late, and a request that
/// was not run would count as one that may have been.
constexpr Duration kPeerAnswerTime{ 150 };

bool IsIdempotentMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" ||
         aMethod == "DELETE" || aMethod == "OPTIONS";
}

/// Returns an error response with the outcome header.
HttpResponse ErrorWithOutcome(int aStatus,
                              std::string_view aOutcome,
                              std::string_view aText)
{
  HttpResponse response = ErrorResponse(aStatus, aText);
  response.mHeaders.push_back(
    { std::string(kOutcomeHeader), std::string(aOutcome) });
  return response;
}

/// Returns an error response for a request that no target has run.
HttpResponse NotRunResponse(int aStatus, std::string_view aText)
{
  return ErrorWithOutcome(aStatus, "not-run", aText);
}

/// Returns an error response for a request that a target may have run.
HttpResponse UnknownOutcomeResponse(int aStatus, std::string_view aText)
{
  return ErrorWithOutcome(aStatus, "unknown", aText);
}

/// True for a header that belongs to one connection or is set again for each,
/// and so is not passed on.
bool IsHopByHopHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 9> kNames = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "upgrade",
    "content-length",
    "host",
    "proxy-authorization",
    "verbenacroft-token",
  };
  std::string lower(aName);
  for (char& byte : lower) {
    byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
  }
  return std::find(kNames.begin(), kNames.end(), lower) != kNames.end();
}

/// True for a header that only the programs of this project may set.
bool IsInternalHeader(std::string_view aName)
{
  constexpr std::string_view kInternalPrefix = "verbenacroft-";
  if (aName.size() < kInternalPrefix.size()) {
    return false;
  }
  std::string start(aName.substr(0, kInternalPrefix.size()));
  for (char& byte : start) {
    byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
  }
  return start == kInternalPrefix;
}

/// Returns the headers that are passed on. Internal headers are kept only with
/// `aKeepInternal`.
HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders, bool aKeepInternal)
{
  HttpHeaders kept;
  for (const auto& header : aHeaders) {
    const bool isKept = !IsHopByHopHeader(header.mName) &&
                        (aKeepInternal || !IsInternalHeader(header.mName));
    if (isKept) {
      kept.push_back(header);
    }
  }
  return kept;
}

/// Returns the value of the deadline header; empty if the header is missing or
/// is not a positive number.
std::optional<Duration> RequestedDeadline(const HttpRequest& aRequest)
{
  const auto text = FindHeader(aRequest.mHeaders, kDeadlineHeader);
  std::int64_t millis = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, millis);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end ||
      millis <= 0) {
    return std::nullopt;
  }
  return Duration{ millis };
}

double MillisSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

/// Returns the value as 16 hexadecimal digits.
std::string Hex(std::uint64_t aValue)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    text[text.size() - 1 - i] = kDigits[(aValue >> (4 * i)) & 0xF];
  }
  return text;
}

} // namespace

/// A request of a caller while it is routed.
struct RequestRouter::Call
{
  const HttpRequest& mRequest;
  const Service& mService;
  /// Path and query for the target, without the name of the service.
  std::string mTarget;
  bool mIsForwarded = false;
  bool mIsIdempotent = false;
  TimePoint mDeadline{ 0 };
  /// Tasks at which an attempt failed; others are preferred to them.
  std::set<std::string> mTriedTargets;
  /// True once any byte of the request may have reached a target.
  bool mMayHaveRun = false;

  Duration TimeLeft() const { return this->mDeadline - MonotonicNow(); }
};

/// State of a request that may be sent to a second target when the first is
/// slow.
struct RequestRouter::HedgedRequest
{
  explicit HedgedRequest(asio::io_context& aContext)
    : mDone(aContext)
  {
    this->mDone.expires_at(asio::steady_timer::time_point::max());
  }
  /// Cancelled when `mResult` is set.
  asio::steady_timer mDone;
  /// Attempts that have not ended.
  int mInFlight = 0;
  /// True once a target has answered.
  bool mHasResponse = false;
  /// The first answer, or the error of the last attempt if all have failed.
  HttpResult mResult;
};

RequestRouter::RequestRouter(asio::io_context& aContext,
                             HttpClient& aHttp,
                             Directory& aDirectory,
                             RouterState& aState)
  : mContext(aContext)
  , mHttp(aHttp)
  , mDirectory(aDirectory)
  , mState(aState)
  , mKeyTickets(aContext)
{
}

void RequestRouter::WakeWaiter(const std::string& aService)
{
  const auto found = this->mWaiters.find(aService);
  if (found != this->mWaiters.end() && !found->second.empty()) {
    auto& waiter = found->second.front();
    found->second.pop_front();
    waiter.mTimer.cancel();
  }
}

asio::awaitable<std::string> RequestRouter::AwaitTarget(Call& aCall)
{
  const std::string service = aCall.mService.mName;
  const TimePoint waitDeadline =
    MonotonicNow() + aCall.TimeLeft() / kSlotWaitDivisor;
  while (true) {
    std::string task = PickTarget(
      this->mState.mPool, service, aCall.mTriedTargets, MonotonicNow());
    const auto left = waitDeadline - MonotonicNow();
    if (!task.empty() || left <= Duration{ 0 } ||
        !HasTargets(this->mState.mPool, service, MonotonicNow())) {
      co_return task;
    }
    // While routing is suspended after a pause of the process, waiting requests
    // poll, since nothing wakes them when it resumes.
    constexpr Duration kNoRoutingPoll{ 20 };
    const bool isRoutingSuspended =
      MonotonicNow() < this->mState.mPool.mNoRoutingUntil;
    SlotWaiter waiter(this->mContext);
    waiter.mTimer.expires_after(
      isRoutingSuspended ? std::min(left, kNoRoutingPoll) : left);
    this->mWaiters[service].push_back(waiter);
    co_await WaitForTimer(waiter.mTimer);
  }
}

asio::awaitable<HttpResult> RequestRouter::Send(Call& aCall, std::string aTask)
{
  auto& pool = this->mState.mPool;
  const Endpoint endpoint = pool.mTargets.at(aTask).mEndpoint;
  RecordTargetRequest(pool, aTask);
  HttpRequest request;
  request.mMethod = aCall.mRequest.mMethod;
  request.mTarget = aCall.mTarget;
  request.mHeaders = EndToEndHeaders(aCall.mRequest.mHeaders, false);
  request.mHeaders.push_back({ std::string(kTaskHeader), aTask });
  request.mHeaders.push_back(
    { std::string(kDeadlineHeader), std::to_string(aCall.TimeLeft().count()) });
  request.mBody = aCall.mRequest.mBody;
  HttpCallOptions options;
  options.mTimeout = std::max(aCall.TimeLeft(), Duration{ 1 });
  options.mRequestId =
    this->mState.mName + "-" + std::to_string(this->mState.mNextRequest++);
  options.mRequiresRequestIdEcho = aCall.mService.mEchoesRequestId;
  const std::string service = aCall.mService.mName;
  const auto start = std::chrono::steady_clock::now();
  HttpResult result =
    co_await this->mHttp.Call(endpoint, std::move(request), std::move(options));
  const bool isGood = !result.mError && result.mResponse.mStatus < 500;
  RecordTargetResult(pool, aTask, isGood, MillisSince(start), MonotonicNow());
  if (result.mError == MakeError(HttpErrc::kRequestIdMismatch)) {
    ++this->mState.mCounters.mCrossed;
  }
  this->WakeWaiter(service);
  co_return result;
}

asio::awaitable<HttpResult> RequestRouter::SendHedged(Call& aCall,
                                                      std::string aTask)
{
  auto hedged = std::make_shared<HedgedRequest>(this->mContext);
  // Each attempt has its own copy of the call, since the slower one may end
  // after this coroutine.
  auto runAttempt =
    [](RequestRouter& aPath,
       Call aCallCopy,
       std::string aTargetTask,
       std::shared_ptr<HedgedRequest> aHedged) -> asio::awaitable<void> {
    ++aHedged->mInFlight;
    HttpResult result = co_await aPath.Send(aCallCopy, std::move(aTargetTask));
    --aHedged->mInFlight;
    const bool isAnswer = !result.mError;
    if (!aHedged->mHasResponse && (isAnswer || aHedged->mInFlight == 0)) {
      aHedged->mHasResponse = isAnswer;
      aHedged->mResult = std::move(result);
      aHedged->mDone.cancel();
    }
  };
  // The attempts share a copy of the request and of the service, since the
  // slower one may still be in flight when the caller has been answered.
  auto copies = std::make_shared<std::pair<HttpRequest, Service>>(
    aCall.mRequest, aCall.mService);
  const auto makeCall = [&] {
    return Call{
      copies->first, copies->second,  aCall.mTarget,       aCall.mIsForwarded,
      true,          aCall.mDeadline, aCall.mTriedTargets, aCall.mMayHaveRun
    };
  };
  const auto launch = [&](std::string aTargetTask) {
    asio::co_spawn(
      this->mContext,
      runAttempt(*this, makeCall(), std::move(aTargetTask), hedged),
      [copies, hedged](const std::exception_ptr&) {});
  };
  launch(aTask);
  hedged->mDone.expires_after(aCall.mService.mHedgeAfter);
  co_await WaitForTimer(hedged->mDone);
  const bool isSlow = !hedged->mHasResponse && hedged->mInFlight > 0;
  if (isSlow) {
    std::set<std::string> avoid = aCall.mTriedTargets;
    avoid.insert(aTask);
    const std::string second = PickTarget(
      this->mState.mPool, aCall.mService.mName, avoid, MonotonicNow());
    if (!second.empty() && second != aTask &&
        TakeRetryToken(this->mState.mRetries)) {
      ++this->mState.mCounters.mHedges;
      launch(second);
    }
  }
  while (!hedged->mHasResponse && hedged->mInFlight > 0) {
    hedged->mDone.expires_at(asio::steady_timer::time_point::max());
    co_await WaitForTimer(hedged->mDone);
  }
  co_return std::move(hedged->mResult);
}

asio::awaitable<HttpResponse> RequestRouter::SendWithRetries(Call& aCall)
{
  for (int i = 0; i < kMaxAttempts; ++i) {
    const std::string task = co_await this->AwaitTarget(aCall);
    if (task.empty()) {
      break;
    }
    const bool mayHedge =
      aCall.mIsIdempotent && aCall.mService.mHedgeAfter > Duration{ 0 };
    HttpResult result;
    if (mayHedge) {
      result = co_await this->SendHedged(aCall, task);
    } else {
      result = co_await this->Send(aCall, task);
    }
    aCall.mMayHaveRun = aCall.mMayHaveRun || result.mWasSent;
    if (!result.mError) {
      result.mResponse.mHeaders =
        EndToEndHeaders(result.mResponse.mHeaders, false);
      co_return std::move(result.mResponse);
    }
    aCall.mTriedTargets.insert(task);
    const bool mayRetry = !result.mWasSent || aCall.mIsIdempotent;
    const bool hasTime = aCall.TimeLeft() > Duration{ 0 };
    if (!mayRetry || !hasTime || i + 1 == kMaxAttempts ||
        !TakeRetryToken(this->mState.mRetries)) {
      const std::string text = result.mError.message();
      co_return aCall.mMayHaveRun ? UnknownOutcomeResponse(502, text)
                                  : NotRunResponse(503, text);
    }
    ++this->mState.mCounters.mRetries;
  }
  co_return aCall.mMayHaveRun
    ? UnknownOutcomeResponse(502,
                             "no other target answered before the deadline")
    : NotRunResponse(503, "no target has a free slot");
}

asio::awaitable<HttpResponse> RequestRouter::Forward(Call& aCall)
{
  const std::vector<Member> members = co_await this->mDirectory.AllMembers();
  std::vector<Member> others;
  for (const auto& member : members) {
    const auto& allowed = aCall.mService.mDataCentres;
    const bool isAllowed =
      std::find(allowed.begin(), allowed.end(), member.mDataCentre) !=
        allowed.end() &&
      !IsDrained(this->mState.mFollower.mState.mConfiguration,
                 member.mDataCentre);
    if (member.mRole == Role::kRouter && !member.mIsLeaving && isAllowed &&
        member.mDataCentre != this->mState.mDataCentre) {
      others.push_back(member);
    }
  }
  const std::size_t offset =
    others.empty() ? 0 : this->mState.mNextRequest++ % others.size();
  for (std::size_t i = 0; i < others.size(); ++i) {
    const auto& peer = others[(offset + i) % others.size()];
    const auto endpoint = ParseEndpoint(peer.mPeerAddress);
    if (!endpoint || aCall.TimeLeft() <= Duration{ 0 }) {
      continue;
    }
    ++this->mState.mCounters.mForwards;
    HttpRequest request =
      PeerRequest(aCall.mRequest.mMethod, "", this->mDirectory.PeerToken());
    request.mTarget =
      std::string(kServicePathPrefix) + aCall.mService.mName + aCall.mTarget;
    request.mBody = aCall.mRequest.mBody;
    for (const auto& header : EndToEndHeaders(aCall.mRequest.mHeaders, false)) {
      request.mHeaders.push_back(header);
    }
    request.mHeaders.push_back({ std::string(kForwardedHeader), "1" });
    const Duration left = aCall.TimeLeft();
    const Duration peerTime = left - std::min(kPeerAnswerTime, left / 4);
    request.mHeaders.push_back(
      { std::string(kDeadlineHeader), std::to_string(peerTime.count()) });
    HttpCallOptions options;
    options.mTimeout = std::max(left, Duration{ 1 });
    HttpResult result = co_await this->mHttp.Call(
      *endpoint, std::move(request), std::move(options));
    if (!result.mError) {
      const bool isNotRun =
        FindHeader(result.mResponse.mHeaders, kOutcomeHeader) == "not-run";
      if (isNotRun && i + 1 < others.size()) {
        continue;
      }
      if (isNotRun && aCall.mMayHaveRun) {
        co_return UnknownOutcomeResponse(
          502, "a target may have run an earlier attempt of the request");
      }
      result.mResponse.mHeaders =
        EndToEndHeaders(result.mResponse.mHeaders, true);
      co_return std::move(result.mResponse);
    }
    aCall.mMayHaveRun = aCall.mMayHaveRun || result.mWasSent;
    if (aCall.mMayHaveRun && !aCall.mIsIdempotent) {
      co_return UnknownOutcomeResponse(502, result.mError.message());
    }
  }
  co_return aCall.mMayHaveRun
    ? UnknownOutcomeResponse(502, "no router of another data centre answered")
    : NotRunResponse(503, "no target of the service is known");
}

asio::awaitable<KeyAnswer> RequestRouter::ClaimKeyFromOwner(KeyClaim aClaim,
                                                            TimePoint aDeadline)
{
  constexpr Duration kClaimTimeout{ 1'500 };
  constexpr int kMaxClaimAttempts = 2;
  const std::string slot = FindKeySlot(aClaim.mKey);
  for (int i = 0; i < kMaxClaimAttempts; ++i) {
    const Duration left = aDeadline - MonotonicNow();
    const std::string address = FindSlotOwnerAddress(this->mState.mKeys, slot);
    if (address == this->mState.mKeys.mOwnership.mSelf.mPeerAddress) {
      const auto ticket = ClaimKey(this->mState.mKeys,
                                   aClaim,
                                   MonotonicNow(),
                                   std::min(left, kClaimWriteTimeout));
      asio::post(this->mContext, [this] { this->DeliverKeyReplies(); });
      co_return co_await this->mKeyTickets.Wait(ticket);
    }
    if (address.empty() || left <= Duration{ 0 }) {
      break;
    }
    HttpRequest request = PeerRequest(
      "POST", "/v1/peer/claim", this->mDirectory.PeerToken(), Encode(aClaim));
    const auto answer = co_await CallPeer<KeyAnswer>(
      this->mHttp, address, std::move(request), std::min(left, kClaimTimeout));
    if (answer) {
      co_return *answer;
    }
  }
  co_return KeyAnswer{};
}

asio::awaitable<void> RequestRouter::SendKeyResult(KeyResult aResult)
{
  constexpr Duration kResultTimeout{ 1'000 };
  const std::string address =
    FindSlotOwnerAddress(this->mState.mKeys, FindKeySlot(aResult.mKey));
  if (address == this->mState.mKeys.mOwnership.mSelf.mPeerAddress) {
    RecordKeyResult(this->mState.mKeys, aResult);
    co_return;
  }
  HttpRequest request = PeerRequest(
    "POST", "/v1/peer/result", this->mDirectory.PeerToken(), Encode(aResult));
  // A failure is ignored: a repeated request then gets an error instead of the
  // answer.
  co_await CallPeer<KeyAnswer>(
    this->mHttp, address, std::move(request), kResultTimeout);
}

asio::awaitable<HttpResponse> RequestRouter::HandleKeyClaim(
  const KeyClaim& aClaim)
{
  const auto ticket = ClaimKey(this->mState.mKeys, aClaim, MonotonicNow());
  asio::post(this->mContext, [this] { this->DeliverKeyReplies(); });
  const KeyAnswer answer = co_await this->mKeyTickets.Wait(ticket);
  co_return JsonResponse(Encode(answer));
}

void RequestRouter::DeliverKeyReplies()
{
  for (auto& reply : std::exchange(this->mState.mKeys.mReplies, {})) {
    this->mKeyTickets.Deliver(reply.mTicket, std::move(reply.mAnswer));
  }
}

asio::awaitable<HttpResponse> RequestRouter::ServeWithIdempotencyKey(
  Call& aCall)
{
  const std::string key(FindHeader(aCall.mRequest.mHeaders, kKeyHeader));
  constexpr std::size_t kMaxKeyBytes = 200;
  if (key.size() > kMaxKeyBytes) {
    co_return NotRunResponse(400,
                             "the idempotency key is longer than 200 bytes");
  }
  KeyClaim claim;
  const std::string scoped = aCall.mService.mName + "\n" + key;
  claim.mKey = Hex(StableHash(scoped, 1)) + Hex(StableHash(scoped, 2));
  claim.mFingerprint = Hex(StableHash(aCall.mRequest.mMethod + aCall.mTarget +
                                      "\n" + aCall.mRequest.mBody));
  claim.mNonce = this->mState.mName + "-" +
                 std::to_string(MonotonicNow().count()) + "-" +
                 std::to_string(this->mState.mNextRequest++);
  const KeyAnswer answer =
    co_await this->ClaimKeyFromOwner(claim, aCall.mDeadline);
  if (answer.mVerdict == KeyVerdict::kUnavailable) {
    co_return NotRunResponse(
      503, "the router that owns the idempotency key is unreachable");
  }
  if (answer.mVerdict == KeyVerdict::kMismatch) {
    co_return NotRunResponse(
      422, "the idempotency key was used for a different request");
  }
  if (answer.mVerdict == KeyVerdict::kDuplicate) {
    ++this->mState.mCounters.mKeyDuplicates;
    if (!answer.mAnswer) {
      co_return UnknownOutcomeResponse(
        409, "a request with this idempotency key was sent before");
    }
    HttpResponse response;
    response.mStatus = static_cast<int>(answer.mAnswer->mStatus);
    response.mContentType = answer.mAnswer->mContentType;
    response.mBody = answer.mAnswer->mBody;
    co_return response;
  }
  HttpResponse response = co_await this->SendWithRetries(aCall);
  const bool isTargetResponse =
    FindHeader(response.mHeaders, kOutcomeHeader).empty();
  if (isTargetResponse) {
    KeyResult result;
    result.mKey = claim.mKey;
    result.mNonce = claim.mNonce;
    result.mAnswer = { response.mStatus,
                       response.mContentType,
                       response.mBody };
    asio::co_spawn(
      this->mContext, this->SendKeyResult(std::move(result)), asio::detached);
  }
  co_return response;
}

asio::awaitable<HttpResponse> RequestRouter::ServeService(Call& aCall)
{
  const bool isKeyed = !aCall.mIsIdempotent &&
                       !FindHeader(aCall.mRequest.mHeaders, kKeyHeader).empty();
  const bool hasLocalTargets =
    HasTargets(this->mState.mPool, aCall.mService.mName, MonotonicNow());
  if (!hasLocalTargets && !aCall.mIsForwarded) {
    co_return co_await this->Forward(aCall);
  }
  if (isKeyed) {
    co_return co_await this->ServeWithIdempotencyKey(aCall);
  }
  HttpResponse response = co_await this->SendWithRetries(aCall);
  // Hedges may hold slots that later requests need, so a request that found
  // none is passed on. The retry budget bounds this in an overload.
  const bool isNotRun =
    FindHeader(response.mHeaders, kOutcomeHeader) == "not-run";
  const bool mayForward = isNotRun && !aCall.mIsForwarded &&
                          !aCall.mMayHaveRun &&
                          aCall.TimeLeft() > Duration{ 0 };
  if (mayForward && TakeRetryToken(this->mState.mRetries)) {
    HttpResponse other = co_await this->Forward(aCall);
    if (FindHeader(other.mHeaders, kOutcomeHeader) != "not-run") {
      co_return other;
    }
  }
  co_return response;
}

asio::awaitable<HttpResponse> RequestRouter::Serve(const HttpRequest& aRequest,
                                                   bool aIsForwarded)
{
  ++this->mState.mCounters.mRequests;
  DetectProcessPause(this->mState.mPool, MonotonicNow());
  const std::string_view target = aRequest.mTarget;
  const auto nameEnd = target.find_first_of("/?", kServicePathPrefix.size());
  const std::string name(target.substr(kServicePathPrefix.size(),
                                       nameEnd - kServicePathPrefix.size()));
  // The service is copied below, since the configuration may change while the
  // request is routed.
  const auto& configuration = this->mState.mFollower.mState.mConfiguration;
  const Service* found = FindNamed(configuration.mServices, name);
  if (found == nullptr) {
    co_return NotRunResponse(404, "no service has this name");
  }
  const Service service = *found;
  if (!Admit(this->mState.mAdmission, configuration, service)) {
    RecordRequest(this->mState.mBurn, service, 0, true, MonotonicNow());
    co_return NotRunResponse(
      503,
      "the router is overloaded; its limit or the backer's share is used up");
  }
  const auto start = std::chrono::steady_clock::now();
  AddRetryTokens(this->mState.mRetries);
  Call call{ aRequest, service, "", aIsForwarded, false, {}, {}, false };
  call.mTarget = nameEnd == std::string_view::npos
                   ? "/"
                   : std::string(target.substr(nameEnd));
  const auto path = call.mTarget.substr(0, call.mTarget.find('?'));
  const auto& declared = service.mIdempotentPaths;
  call.mIsIdempotent =
    IsIdempotentMethod(aRequest.mMethod) ||
    std::find(declared.begin(), declared.end(), path) != declared.end();
  const auto requested =
    RequestedDeadline(aRequest).value_or(service.mDeadline);
  call.mDeadline = MonotonicNow() + std::min(requested, service.mDeadline);
  RecordAdmission(this->mState.mAdmission, service.mBacker);
  HttpResponse response = co_await this->ServeService(call);
  RecordCompletion(this->mState.mAdmission, service.mBacker);
  const auto outcome = FindHeader(response.mHeaders, kOutcomeHeader);
  this->mState.mCounters.mNotRun += outcome == "not-run" ? 1 : 0;
  this->mState.mCounters.mUnknown += outcome == "unknown" ? 1 : 0;
  RecordRequest(this->mState.mBurn,
                service,
                MillisSince(start),
                response.mStatus >= 500,
                MonotonicNow());
  co_return response;
}

} // namespace verbenacroft
