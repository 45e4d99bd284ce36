#include "vcCallerRequests.h"

#include "vcLatencyBounds.h"
#include "vcPeers.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// Attempts to store a job. Another attempt follows only if the outcome of the
/// previous one is unknown.
constexpr int kStoreAttempts = 2;
/// No attempt begins later than this after the first one, so that the caller
/// still receives the outcome.
constexpr Duration kLastAttemptWithin{ 300 };
/// A queue is only said not to exist if the operators' items are known to be
/// complete as of at most this long ago: a configuration has to take effect
/// within 2 s.
constexpr Duration kMaxConfigAge{ 2'000 };
/// Retries of refused callers are spread over this many seconds, so that
/// callers that were refused at the same time don't retry at the same time.
constexpr std::uint64_t kRetrySpreadSeconds = 2;

/// Response to a request that was not carried out and may be retried.
/// @param aSpreadKey hashed to choose the delay before the caller's retry
HttpResponse NotAcceptedResponse(std::string_view aSpreadKey,
                                 std::string_view aReason)
{
  HttpResponse response = ErrorResponse(503, aReason);
  const std::uint64_t retryAfterSeconds =
    1 + StableHash(aSpreadKey) % kRetrySpreadSeconds;
  response.mHeaders.push_back(
    { "Retry-After", std::to_string(retryAfterSeconds) });
  return response;
}

/// Response to a write that certainly had no effect.
/// @param aOutcome `kRefused` or `kRejected`
HttpResponse TurnedDownResponse(std::string_view aSpreadKey, KvStatus aOutcome)
{
  // The same write would be rejected again, so no time to retry is given.
  return aOutcome == KvStatus::kRejected
           ? ErrorResponse(503, "the store rejected the write")
           : NotAcceptedResponse(aSpreadKey, "the store can't be reached");
}

/// Response to a write whose outcome is unknown.
HttpResponse OutcomeUnknownResponse()
{
  return ErrorResponse(504, "the store did not answer; ask again");
}

/// Parsed request of a caller.
struct CallerRequest
{
  std::string mMethod;
  std::string mBody;
  /// Path below the queue's prefix: a job identifier, or empty.
  std::string mSubpath;
  QueueTerms mTerms;
};

/// Stores a job unless it is stored already.
/// @return `kOk`, `kRefused` or `kRejected` if the job is certainly not stored,
/// or `kUnknown`
asio::awaitable<KvStatus> StoreJob(NodeContext& aNode,
                                   std::uint32_t aShard,
                                   JobId aJob,
                                   KvTransaction aWrite)
{
  const TimePoint since = SuspendAwareNow();
  for (int attempt = 0; attempt < kStoreAttempts; ++attempt) {
    const KvReply reply = co_await CommitWithRelay(aNode, aWrite);
    // A conflict means that the job is stored already; it isn't stored twice.
    const bool isStored =
      reply.mStatus == KvStatus::kOk || reply.mStatus == KvStatus::kConflict;
    if (isStored) {
      co_return KvStatus::kOk;
    }
    if (IsTurnedDown(reply.mStatus)) {
      // An earlier attempt, of unknown outcome, may still take effect.
      co_return attempt == 0 ? reply.mStatus : KvStatus::kUnknown;
    }
    const KvReply stored =
      co_await aNode.mStore.mRead(InboxJobKey(aShard, aJob));
    UpdateStoreHealth(aNode, stored);
    if (!stored.mItems.empty()) {
      co_return KvStatus::kOk;
    }
    if (SuspendAwareNow() - since > kLastAttemptWithin) {
      break;
    }
  }
  co_return KvStatus::kUnknown;
}

/// Decodes and stores a job in the inbox of its shard.
asio::awaitable<HttpResponse> Submit(NodeContext& aNode, CallerRequest aRequest)
{
  Faults faults;
  auto spec = aNode.mCodec.mDecodeJob(aRequest.mBody, faults);
  if (!spec) {
    co_return ErrorResponse(
      400, faults.empty() ? "malformed job" : Describe(faults[0]));
  }
  const JobId id = aRequest.mSubpath;
  const std::uint32_t shard = ShardOf(id, aNode.mShards);
  BatchRecord record{ aRequest.mTerms, WallClockMs(), std::move(*spec) };
  KvTransaction write;
  write.mConditions.push_back({ InboxJobKey(shard, id), 0 });
  write.mConditions.push_back({ ProgressKey(shard, id), 0 });
  write.mPuts.push_back(PersistentPut(InboxJobKey(shard, id), Encode(record)));
  const KvStatus outcome =
    co_await StoreJob(aNode, shard, id, std::move(write));
  switch (outcome) {
    case KvStatus::kOk:
      co_return JsonResponse("{}");
    case KvStatus::kRefused:
    case KvStatus::kRejected:
      co_return TurnedDownResponse(id, outcome);
    default:
      co_return OutcomeUnknownResponse();
  }
}

/// State of a job according to the store.
struct StoredJob
{
  /// False if the store could not be read.
  bool mIsRead = false;
  /// The store has the job's record or its progress.
  bool mIsKnown = false;
  BatchState mState = BatchState::kQueued;
  /// Revision of the job's record in the inbox; 0 once the job has ended.
  std::uint64_t mRevision = 0;
};

asio::awaitable<StoredJob> ReadJob(NodeContext& aNode, JobId aJob)
{
  const std::uint32_t shard = ShardOf(aJob, aNode.mShards);
  StoredJob job;
  const KvReply record =
    co_await ReadWithRelay(aNode, InboxJobKey(shard, aJob));
  const bool isRead =
    record.mStatus == KvStatus::kOk || record.mStatus == KvStatus::kNotFound;
  if (!isRead) {
    co_return job;
  }
  if (!record.mItems.empty()) {
    job.mIsKnown = true;
    job.mRevision = record.mItems[0].mRevision;
  }
  // One transaction removes the record and stores the job's final state.
  // Reading the progress after the record ensures that one of them is found.
  const KvReply progress =
    co_await ReadWithRelay(aNode, ProgressKey(shard, aJob));
  job.mIsRead = progress.mStatus == KvStatus::kOk ||
                progress.mStatus == KvStatus::kNotFound;
  if (!progress.mItems.empty()) {
    const auto known = TryDecode<BatchProgress>(progress.mItems[0].mValue);
    job.mIsKnown = true;
    job.mState = known ? known->mState : BatchState::kRunning;
  }
  co_return job;
}

/// Shows the state of a job according to its owner or, if the owner can't be
/// reached or doesn't know the job, according to the store.
asio::awaitable<HttpResponse> ShowState(NodeContext& aNode, JobId aJob)
{
  const std::uint32_t shard = ShardOf(aJob, aNode.mShards);
  const PeerJobAnswer answer = co_await QueryOwnerForJob(aNode, shard, aJob);
  if (answer.mIsKnown) {
    co_return JsonResponse(aNode.mCodec.mEncodeState(answer.mState));
  }
  const StoredJob stored = co_await ReadJob(aNode, aJob);
  if (!stored.mIsRead) {
    co_return NotAcceptedResponse(
      aJob, "neither the owner nor the store can be read");
  }
  if (!stored.mIsKnown) {
    co_return ErrorResponse(410, "no such job");
  }
  co_return JsonResponse(aNode.mCodec.mEncodeState(stored.mState));
}

/// Stores a cancellation, unless the job has ended. The write is conditional on
/// the job's record and is repeated if the record has changed meanwhile or the
/// outcome is unknown.
asio::awaitable<HttpResponse> Cancel(NodeContext& aNode, JobId aJob)
{
  const std::uint32_t shard = ShardOf(aJob, aNode.mShards);
  constexpr int kAttempts = 3;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const StoredJob stored = co_await ReadJob(aNode, aJob);
    if (!stored.mIsRead) {
      co_return NotAcceptedResponse(aJob, "the store can't be read");
    }
    if (!stored.mIsKnown) {
      co_return ErrorResponse(410, "no such job");
    }
    if (stored.mRevision == 0) {
      co_return JsonResponse("{}");
    }
    KvTransaction write;
    write.mConditions.push_back({ InboxJobKey(shard, aJob), stored.mRevision });
    write.mPuts.push_back(PersistentPut(CancelKey(shard, aJob), "{}"));
    const KvReply reply = co_await CommitWithRelay(aNode, std::move(write));
    if (reply.mStatus == KvStatus::kOk) {
      co_return JsonResponse("{}");
    }
    if (IsTurnedDown(reply.mStatus)) {
      co_return TurnedDownResponse(aJob, reply.mStatus);
    }
  }
  co_return OutcomeUnknownResponse();
}

/// Shows the number of waiting jobs of a queue, summed over all shards.
asio::awaitable<HttpResponse> ShowWaiting(NodeContext& aNode,
                                          std::string aQueue)
{
  std::uint64_t waiting = 0;
  // The owners are asked one after another, so the first answer grows old.
  TimePoint completeAt = SuspendAwareNow();
  for (std::uint32_t shard = 0; shard < aNode.mShards; ++shard) {
    const TimePoint askedAt = SuspendAwareNow();
    const PeerWaitingAnswer answer =
      co_await QueryOwnerForWaiting(aNode, shard);
    if (!answer.mIsOwner || !answer.mAge) {
      co_return NotAcceptedResponse(aQueue, "a shard's owner doesn't know");
    }
    completeAt = std::min(completeAt, askedAt - *answer.mAge);
    const auto found = answer.mWaiting.find(aQueue);
    waiting += found == answer.mWaiting.end() ? 0 : found->second;
  }
  if (SuspendAwareNow() - completeAt > kMaxCountAge) {
    co_return NotAcceptedResponse(aQueue, "the count is too old");
  }
  co_return JsonResponse(aNode.mCodec.mEncodeWaiting(waiting));
}

/// Carries out a request according to its method and path.
asio::awaitable<HttpResponse> RouteRequest(NodeContext& aNode,
                                           CallerRequest aRequest)
{
  if (aRequest.mMethod == "GET" && aRequest.mSubpath.empty()) {
    co_return co_await ShowWaiting(aNode, aRequest.mTerms.mQueue);
  }
  if (!IsJobId(aRequest.mSubpath)) {
    co_return ErrorResponse(400, "a job is named by 16 hexadecimal digits");
  }
  if (aRequest.mMethod == "POST") {
    co_return co_await Submit(aNode, std::move(aRequest));
  }
  if (aRequest.mMethod == "GET") {
    co_return co_await ShowState(aNode, aRequest.mSubpath);
  }
  if (aRequest.mMethod == "DELETE") {
    co_return co_await Cancel(aNode, aRequest.mSubpath);
  }
  co_return ErrorResponse(405, "GET, POST or DELETE");
}

/// Response to a request for a queue that the node doesn't know.
HttpResponse UnknownQueueResponse(const NodeContext& aNode,
                                  std::string_view aPath)
{
  const Duration age = SuspendAwareNow() - aNode.mOperatorsCompleteAt;
  return age > kMaxConfigAge
           ? NotAcceptedResponse(aPath, "the configuration may have changed")
           : ErrorResponse(404, "no such queue");
}

/// Adds a response to the metrics.
void CountResponse(NodeContext& aNode,
                   const std::string& aMethod,
                   int aStatus,
                   Duration aDuration)
{
  ++aNode.mCounters.mAnswers[aMethod + " " + std::to_string(aStatus)];
  CountLatency(aNode.mCounters.mLatencies, aDuration);
  aNode.mCounters.mLatencySumMs += static_cast<double>(aDuration.count());
}

} // namespace

asio::awaitable<HttpResponse> HandleCallerRequest(NodeContext& aNode,
                                                  const HttpRequest& aRequest)
{
  const TimePoint since = SuspendAwareNow();
  const std::string path(PathOf(aRequest));
  CallerRequest request;
  request.mMethod = aRequest.mMethod;
  HttpResponse response;
  std::uint64_t version = 0;
  if (!aNode.mOperators || aNode.mOperators->mConfig.mVersion == 0 ||
      aNode.mShards == 0) {
    response = NotAcceptedResponse(path, "no configuration yet");
  } else {
    version = aNode.mOperators->mConfig.mVersion;
    const QueueConfig* queue = FindQueue(
      aNode.mOperators->mConfig, FindHeader(aRequest.mHeaders, "Host"), path);
    if (queue == nullptr) {
      response = UnknownQueueResponse(aNode, path);
    } else {
      request.mBody = aRequest.mBody;
      request.mSubpath = path.substr(queue->mPathPrefix.size());
      request.mTerms = queue->mTerms;
      response = co_await RouteRequest(aNode, request);
    }
  }
  const Duration elapsed = SuspendAwareNow() - since;
  CountResponse(aNode, request.mMethod, response.mStatus, elapsed);
  const bool isSuccessfulGet =
    request.mMethod == "GET" && response.mStatus == 200;
  if (!isSuccessfulGet) {
    spdlog::info("caller.answer method={} job={} queue={} status={} "
                 "config={} took_ms={} last_store_reply_ms_ago={}",
                 request.mMethod,
                 request.mSubpath,
                 request.mTerms.mQueue,
                 response.mStatus,
                 version,
                 elapsed.count(),
                 (SuspendAwareNow() - aNode.mLastStoreReplyAt).count());
  }
  co_return response;
}

} // namespace verbenacroft
