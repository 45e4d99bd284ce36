#include "vcJobDesk.h"

#include "vcPeers.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Attempts to store a job while the outcome of the one before is unknown, ...
constexpr int kStoreAttempts = 2;
/// ... the last of them begun so early that its caller hears the outcome.
constexpr Duration kRetryWithin{ 300 };
/// Callers that were refused together are asked to come back over so many
/// seconds, so that they don't come back together.
constexpr std::uint64_t kRetrySpreadSeconds = 2;

/// "Nothing was done": the caller may come again.
/// @param aWho spreads the callers
HttpResponse NotAccepted(std::string_view aWho, std::string_view aReason)
{
  HttpResponse response = ErrorResponse(503, aReason);
  const std::uint64_t after = 1 + StableHash(aWho) % kRetrySpreadSeconds;
  response.mHeaders.push_back({ "Retry-After", std::to_string(after) });
  return response;
}

HttpResponse OutcomeUnknown()
{
  return ErrorResponse(504, "the store did not answer; ask again");
}

/// What a caller's request is about.
struct CallerRequest
{
  std::string mMethod;
  std::string mBody;
  std::string mRest;
  QueueTerms mTerms;
};

/// Stores a job unless it is there already.
/// @return `kOk`, `kRefused` if it certainly isn't stored, or `kUnknown`
asio::awaitable<KvStatus> StoreJob(NodeContext& aNode,
                                   std::uint32_t aShard,
                                   JobId aJob,
                                   KvTransaction aWrite)
{
  const TimePoint since = SuspendAwareNow();
  KvStatus outcome = KvStatus::kRefused;
  for (int attempt = 0; attempt < kStoreAttempts; ++attempt) {
    const KvReply reply = co_await CommitAnyhow(aNode, aWrite);
    // A conflict means that the job is there already: it stays one job.
    const bool isStored =
      reply.mStatus == KvStatus::kOk || reply.mStatus == KvStatus::kConflict;
    if (isStored) {
      co_return KvStatus::kOk;
    }
    if (reply.mStatus == KvStatus::kRefused) {
      break;
    }
    outcome = KvStatus::kUnknown;
    const KvReply stored =
      co_await aNode.mStore.mRead(InboxJobKey(aShard, aJob));
    NoteStoreReply(aNode, stored);
    if (!stored.mItems.empty()) {
      co_return KvStatus::kOk;
    }
    if (SuspendAwareNow() - since > kRetryWithin) {
      break;
    }
  }
  co_return outcome;
}

asio::awaitable<HttpResponse> Submit(NodeContext& aNode, CallerRequest aRequest)
{
  Faults faults;
  auto spec = aNode.mCodec.mDecodeJob(aRequest.mBody, faults);
  if (!spec) {
    co_return ErrorResponse(
      400, faults.empty() ? "malformed job" : Describe(faults[0]));
  }
  const JobId id = aRequest.mRest;
  const std::uint32_t shard = ShardOf(id, aNode.mShards);
  BatchRecord record{ aRequest.mTerms, WallClockMs(), std::move(*spec) };
  KvTransaction write;
  write.mConditions.push_back({ InboxJobKey(shard, id), 0 });
  write.mConditions.push_back({ ProgressKey(shard, id), 0 });
  write.mPuts.push_back(LastingPut(InboxJobKey(shard, id), Encode(record)));
  const KvStatus outcome =
    co_await StoreJob(aNode, shard, id, std::move(write));
  switch (outcome) {
    case KvStatus::kOk:
      co_return JsonResponse("{}");
    case KvStatus::kRefused:
      co_return NotAccepted(id, "the store can't be reached");
    default:
      co_return OutcomeUnknown();
  }
}

/// A job as the store shows it.
struct StoredJob
{
  /// False if the store could not be asked.
  bool mIsRead = false;
  bool mIsKnown = false;
  BatchState mState = BatchState::kQueued;
  /// Revision of the job's record; 0 once the job has ended.
  std::uint64_t mRevision = 0;
};

asio::awaitable<StoredJob> ReadJob(NodeContext& aNode, JobId aJob)
{
  const std::uint32_t shard = ShardOf(aJob, aNode.mShards);
  StoredJob job;
  const KvReply record = co_await ReadAnyhow(aNode, InboxJobKey(shard, aJob));
  const bool isRead =
    record.mStatus == KvStatus::kOk || record.mStatus == KvStatus::kNotFound;
  if (!isRead) {
    co_return job;
  }
  if (!record.mItems.empty()) {
    job.mIsKnown = true;
    job.mRevision = record.mItems[0].mRevision;
  }
  // The record is removed in the same transaction that stores the end, so
  // the progress is read after it.
  const KvReply progress = co_await ReadAnyhow(aNode, ProgressKey(shard, aJob));
  job.mIsRead = progress.mStatus == KvStatus::kOk ||
                progress.mStatus == KvStatus::kNotFound;
  if (!progress.mItems.empty()) {
    const auto known = TryDecode<BatchProgress>(progress.mItems[0].mValue);
    job.mIsKnown = true;
    job.mState = known ? known->mState : BatchState::kRunning;
  }
  co_return job;
}

asio::awaitable<HttpResponse> ShowState(NodeContext& aNode, JobId aJob)
{
  const std::uint32_t shard = ShardOf(aJob, aNode.mShards);
  const PeerJobAnswer answer = co_await AskOwner(aNode, shard, aJob);
  if (answer.mIsKnown) {
    co_return JsonResponse(aNode.mCodec.mEncodeState(answer.mState));
  }
  const StoredJob stored = co_await ReadJob(aNode, aJob);
  if (!stored.mIsRead) {
    co_return NotAccepted(aJob,
                          "neither the owner nor the store can be reached");
  }
  if (!stored.mIsKnown) {
    co_return ErrorResponse(410, "no such job");
  }
  co_return JsonResponse(aNode.mCodec.mEncodeState(stored.mState));
}

asio::awaitable<HttpResponse> Cancel(NodeContext& aNode, JobId aJob)
{
  const std::uint32_t shard = ShardOf(aJob, aNode.mShards);
  constexpr int kAttempts = 3;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const StoredJob stored = co_await ReadJob(aNode, aJob);
    if (!stored.mIsRead) {
      co_return NotAccepted(aJob, "the store can't be reached");
    }
    if (!stored.mIsKnown) {
      co_return ErrorResponse(410, "no such job");
    }
    if (stored.mRevision == 0) {
      co_return JsonResponse("{}");
    }
    KvTransaction write;
    write.mConditions.push_back({ InboxJobKey(shard, aJob), stored.mRevision });
    write.mPuts.push_back(LastingPut(CancelKey(shard, aJob), "{}"));
    const KvReply reply = co_await CommitAnyhow(aNode, std::move(write));
    if (reply.mStatus == KvStatus::kOk) {
      co_return JsonResponse("{}");
    }
    if (reply.mStatus == KvStatus::kRefused) {
      co_return NotAccepted(aJob, "the store can't be reached");
    }
  }
  co_return OutcomeUnknown();
}

asio::awaitable<HttpResponse> ShowWaiting(NodeContext& aNode,
                                          std::string aQueue)
{
  std::uint64_t waiting = 0;
  for (std::uint32_t shard = 0; shard < aNode.mShards; ++shard) {
    const PeerWaitingAnswer answer = co_await AskWaiting(aNode, shard);
    if (!answer.mIsOwner) {
      co_return NotAccepted(aQueue, "a shard's owner can't be reached");
    }
    const auto found = answer.mWaiting.find(aQueue);
    waiting += found == answer.mWaiting.end() ? 0 : found->second;
  }
  co_return JsonResponse(aNode.mCodec.mEncodeWaiting(waiting));
}

asio::awaitable<HttpResponse> Dispatch(NodeContext& aNode,
                                       CallerRequest aRequest)
{
  if (aRequest.mMethod == "GET" && aRequest.mRest.empty()) {
    co_return co_await ShowWaiting(aNode, aRequest.mTerms.mQueue);
  }
  if (!IsJobId(aRequest.mRest)) {
    co_return ErrorResponse(400, "a job is named by 16 hexadecimal digits");
  }
  if (aRequest.mMethod == "POST") {
    co_return co_await Submit(aNode, std::move(aRequest));
  }
  if (aRequest.mMethod == "GET") {
    co_return co_await ShowState(aNode, aRequest.mRest);
  }
  if (aRequest.mMethod == "DELETE") {
    co_return co_await Cancel(aNode, aRequest.mRest);
  }
  co_return ErrorResponse(405, "GET, POST or DELETE");
}

void CountAnswer(NodeContext& aNode,
                 const std::string& aMethod,
                 int aStatus,
                 Duration aTook)
{
  ++aNode.mCounters.mAnswers[aMethod + " " + std::to_string(aStatus)];
  const auto& bounds = LatencyBoundsMs();
  auto& buckets = aNode.mCounters.mLatencies;
  buckets.resize(bounds.size() + 1);
  const auto took = static_cast<double>(aTook.count());
  const auto bucket =
    std::lower_bound(bounds.begin(), bounds.end(), took) - bounds.begin();
  ++buckets[static_cast<std::size_t>(bucket)];
  aNode.mCounters.mLatencySumMs += took;
}

} // namespace

const std::vector<double>& LatencyBoundsMs()
{
  static const std::vector<double> bounds{ 2,   5,   10,  20,    50,
                                           100, 250, 500, 1'000, 3'000 };
  return bounds;
}

asio::awaitable<HttpResponse> AnswerCaller(NodeContext& aNode,
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
    response = NotAccepted(path, "no configuration yet");
  } else {
    version = aNode.mOperators->mConfig.mVersion;
    const QueueConfig* queue = FindQueue(
      aNode.mOperators->mConfig, FindHeader(aRequest.mHeaders, "Host"), path);
    if (queue == nullptr) {
      response = ErrorResponse(404, "no such queue");
    } else {
      request.mBody = aRequest.mBody;
      request.mRest = path.substr(queue->mPathPrefix.size());
      request.mTerms = queue->mTerms;
      response = co_await Dispatch(aNode, request);
    }
  }
  const Duration took = SuspendAwareNow() - since;
  CountAnswer(aNode, request.mMethod, response.mStatus, took);
  const bool isPlain = request.mMethod == "GET" && response.mStatus == 200;
  if (!isPlain) {
    spdlog::info("caller.answer method={} job={} queue={} status={} "
                 "config={} took_ms={} store_heard_ms_ago={}",
                 request.mMethod,
                 request.mRest,
                 request.mTerms.mQueue,
                 response.mStatus,
                 version,
                 took.count(),
                 (SuspendAwareNow() - aNode.mStoreHeardAt).count());
  }
  co_return response;
}

} // namespace verbenacroft
