#include "vcCallerRequests.h"

#include "vcLatencyBounds.h"
#include "vcOperatorWatch.h"
#include "vcPeers.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Attempts to store a job. Another attempt follows only if the outcome of the
/// previous one is unknown.
constexpr int kStoreAttempts = 2;
/// No attempt begins later than this after the first one, so that the caller
/// still receives the outcome.
constexpr Duration kLastAttemptWithin{ 300 };
/// A queue is only said not to exist by a configuration that was current at
/// most this long ago: a configuration has to take effect within 2 s.
constexpr Duration kMaxConfigAge{ 2'000 };
/// Attempts to write by the current configuration, which may change between
/// two of them.
constexpr int kConfigAttempts = 3;
/// Label for teams beyond the maximum number of series.
constexpr const char* kOtherTeams = "other";
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

/// Response to a write that the store rejected. It would reject the same write
/// again, so no time to retry is given.
HttpResponse RejectedResponse()
{
  return ErrorResponse(503, "the store rejected the write");
}

HttpResponse NoSuchQueueResponse()
{
  return ErrorResponse(404, "no such queue");
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
  std::string mHost;
  std::string mPath;
  std::string mBody;
  /// Key of the caller's team; empty if the request has none.
  std::string mCredential;
  /// Path below the queue's prefix: a job identifier, or empty.
  std::string mSubpath;
  QueueTerms mTerms;
  bool mIsQueueOpen = false;
};

/// Sets the queue of a request by the current configuration.
/// @return false if it has no such queue
bool ResolveQueue(const NodeContext& aNode, CallerRequest& aRequest)
{
  const QueueConfig* queue =
    FindQueue(aNode.mOperators->mConfig, aRequest.mHost, aRequest.mPath);
  if (queue == nullptr) {
    return false;
  }
  aRequest.mSubpath = aRequest.mPath.substr(queue->mPathPrefix.size());
  aRequest.mTerms = queue->mTerms;
  aRequest.mIsQueueOpen = queue->mIsOpen;
  return true;
}

/// True if the configuration was current within `aAge`.
bool WasConfigCurrent(const NodeContext& aNode, Duration aAge)
{
  const TimePoint currentAt =
    std::max(aNode.mOperatorsCompleteAt, aNode.mConfigReadAt);
  return SuspendAwareNow() - currentAt <= aAge;
}

/// Sets the team of a request whose queue is resolved.
/// @return the response if the request isn't authorized
std::optional<HttpResponse> AuthenticateCaller(const NodeContext& aNode,
                                               CallerRequest& aRequest)
{
  const NodeBounds& bounds = aNode.mSettings.mBounds;
  const bool mayAccept =
    !bounds.mStrictRevocation || WasConfigCurrent(aNode, bounds.mRevokeMs);
  const ConfigView view{ WasConfigCurrent(aNode, kMaxConfigAge), mayAccept };
  AuthResult result = Authenticate(
    aNode.mTeamCredentials, aRequest.mCredential, aRequest.mIsQueueOpen, view);
  aRequest.mTerms.mTeam = std::move(result.mTeam);
  switch (result.mOutcome) {
    case AuthOutcome::kAccepted:
      return std::nullopt;
    case AuthOutcome::kUnauthorized:
      return ErrorResponse(401, "the key belongs to no team");
    case AuthOutcome::kUncertain:
      return NotAcceptedResponse(aRequest.mPath,
                                 "the configuration may have changed");
  }
  return std::nullopt;
}

/// Resolves and authenticates a request again, after the configuration has
/// changed.
/// @return the response if it can't be handled any more
std::optional<HttpResponse> ResolveAgain(const NodeContext& aNode,
                                         CallerRequest& aRequest)
{
  const std::string job = aRequest.mSubpath;
  if (!ResolveQueue(aNode, aRequest) || aRequest.mSubpath != job) {
    return NoSuchQueueResponse();
  }
  return AuthenticateCaller(aNode, aRequest);
}

/// Lets a write fail if the configuration by which it was made isn't current
/// any more, however old this node's view of it is.
void AddConfigCondition(const NodeContext& aNode, KvTransaction& aWrite)
{
  if (aNode.mConfigRevision > 0) {
    aWrite.mConditions.push_back(
      { aNode.mCodec.mConfigKey, aNode.mConfigRevision });
  }
}

/// Applies the configuration in the reply to a write that was turned down since
/// it was made by another one.
/// @param aSentAt when the write was sent
/// @return false if the write wasn't turned down for that
bool ApplyConfigOfConflict(NodeContext& aNode,
                           const KvTransaction& aWrite,
                           const KvReply& aReply,
                           TimePoint aSentAt)
{
  const std::string& key = aNode.mCodec.mConfigKey;
  const auto condition =
    std::find_if(aWrite.mConditions.begin(),
                 aWrite.mConditions.end(),
                 [&](const auto& aRow) { return aRow.mKey == key; });
  const auto item =
    std::find_if(aReply.mItems.begin(),
                 aReply.mItems.end(),
                 [&](const KvItem& aRow) { return aRow.mKey == key; });
  const bool isChanged = aReply.mStatus == KvStatus::kConflict &&
                         condition != aWrite.mConditions.end() &&
                         item != aReply.mItems.end() &&
                         item->mRevision != condition->mRevision;
  if (isChanged) {
    spdlog::info("config.changed-before-write revision={} written_by={}",
                 item->mRevision,
                 condition->mRevision);
    ApplyOperatorItem(aNode, *item);
    aNode.mConfigReadAt = std::max(aNode.mConfigReadAt, aSentAt);
  }
  return isChanged;
}

/// Outcome of the storing of a job.
enum class SubmitOutcome
{
  kStored,
  /// Certainly not stored, and may be tried again.
  kRefused,
  /// Certainly not stored; the store would reject it again.
  kRejected,
  /// Certainly not stored, since the configuration has changed.
  kConfigChanged,
  /// Another team's job has the identifier.
  kOfOtherTeam,
  kUnknown,
};

/// True if the reply to a write shows that the job is stored.
bool ShowsJob(const KvReply& aReply, std::uint32_t aShard, const JobId& aJob)
{
  return std::any_of(
    aReply.mItems.begin(), aReply.mItems.end(), [&](const KvItem& aItem) {
      const bool isOfJob = aItem.mKey == InboxJobKey(aShard, aJob) ||
                           aItem.mKey == ProgressKey(aShard, aJob);
      return isOfJob && aItem.mRevision > 0 && !aItem.mIsRemoved;
    });
}

/// True if a job belongs to another team than the caller, in a deployment with
/// teams. A job without a team may be of the time before it had any.
bool IsOfOtherTeam(const NodeContext& aNode,
                   const std::string& aJobTeam,
                   const std::string& aTeam)
{
  return aNode.mTeamCredentials.mAreRequired && !aJobTeam.empty() &&
         aJobTeam != aTeam;
}

/// True if a reply shows the record of a job of another team. A job that has
/// ended has no record any more.
bool ShowsOtherTeam(const NodeContext& aNode,
                    const KvReply& aReply,
                    const std::string& aKey,
                    const std::string& aTeam)
{
  for (const auto& item : aReply.mItems) {
    if (item.mKey == aKey && !item.mValue.empty()) {
      const auto record = TryDecode<BatchRecord>(item.mValue);
      return record && IsOfOtherTeam(aNode, record->mTerms.mTeam, aTeam);
    }
  }
  return false;
}

/// Response to the use of a job with the key of another team. By an old
/// configuration the key may only seem to be another team's.
HttpResponse OtherTeamResponse(const NodeContext& aNode, const JobId& aJob)
{
  return WasConfigCurrent(aNode, kMaxConfigAge)
           ? ErrorResponse(403, "the job belongs to another team")
           : NotAcceptedResponse(aJob, "the configuration may have changed");
}

/// Stores a job unless it is stored already.
asio::awaitable<SubmitOutcome> StoreJob(NodeContext& aNode,
                                        std::uint32_t aShard,
                                        JobId aJob,
                                        std::string aTeam,
                                        KvTransaction aWrite)
{
  const TimePoint since = SuspendAwareNow();
  for (int attempt = 0; attempt < kStoreAttempts; ++attempt) {
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply reply = co_await CommitWithRelay(aNode, aWrite);
    const bool isStoredBefore =
      reply.mStatus == KvStatus::kConflict && ShowsJob(reply, aShard, aJob);
    const std::string key = InboxJobKey(aShard, aJob);
    if (isStoredBefore && ShowsOtherTeam(aNode, reply, key, aTeam)) {
      co_return SubmitOutcome::kOfOtherTeam;
    }
    if (reply.mStatus == KvStatus::kOk || isStoredBefore) {
      co_return SubmitOutcome::kStored;
    }
    // An earlier attempt can't take effect any more either.
    if (ApplyConfigOfConflict(aNode, aWrite, reply, sentAt)) {
      co_return SubmitOutcome::kConfigChanged;
    }
    if (IsTurnedDown(reply.mStatus)) {
      // An earlier attempt, of unknown outcome, may still take effect.
      const SubmitOutcome outcome = reply.mStatus == KvStatus::kRejected
                                      ? SubmitOutcome::kRejected
                                      : SubmitOutcome::kRefused;
      co_return attempt == 0 ? outcome : SubmitOutcome::kUnknown;
    }
    // A read would only hold the answer up until the caller's deadline.
    if (IsStoreDown(aNode, SuspendAwareNow())) {
      break;
    }
    const KvReply stored = co_await aNode.mStore.mRead(key);
    UpdateStoreHealth(aNode, stored);
    if (!stored.mItems.empty()) {
      const bool isOther = ShowsOtherTeam(aNode, stored, key, aTeam);
      co_return isOther ? SubmitOutcome::kOfOtherTeam : SubmitOutcome::kStored;
    }
    if (SuspendAwareNow() - since > kLastAttemptWithin) {
      break;
    }
  }
  co_return SubmitOutcome::kUnknown;
}

/// The write that stores a job.
KvTransaction MakeSubmission(const NodeContext& aNode,
                             std::uint32_t aShard,
                             const JobId& aJob,
                             const BatchRecord& aRecord)
{
  KvTransaction write;
  write.mConditions.push_back({ InboxJobKey(aShard, aJob), 0 });
  write.mConditions.push_back({ ProgressKey(aShard, aJob), 0 });
  AddConfigCondition(aNode, write);
  write.mPuts.push_back(
    PersistentPut(InboxJobKey(aShard, aJob), Encode(aRecord)));
  return write;
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
  for (int attempt = 0; attempt < kConfigAttempts; ++attempt) {
    const BatchRecord record{ aRequest.mTerms, WallClockMs(), *spec };
    KvTransaction write = MakeSubmission(aNode, shard, id, record);
    const SubmitOutcome outcome = co_await StoreJob(
      aNode, shard, id, aRequest.mTerms.mTeam, std::move(write));
    switch (outcome) {
      case SubmitOutcome::kStored:
        co_return JsonResponse("{}");
      case SubmitOutcome::kRefused:
        co_return NotAcceptedResponse(id, "the store can't be reached");
      case SubmitOutcome::kRejected:
        co_return RejectedResponse();
      case SubmitOutcome::kUnknown:
        co_return OutcomeUnknownResponse();
      case SubmitOutcome::kOfOtherTeam:
        co_return OtherTeamResponse(aNode, id);
      case SubmitOutcome::kConfigChanged:
        break;
    }
    auto refusal = ResolveAgain(aNode, aRequest);
    if (refusal) {
      co_return std::move(*refusal);
    }
  }
  co_return NotAcceptedResponse(id, "the configuration keeps changing");
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
  /// Team that the job belongs to, as long as it hasn't ended.
  std::string mTeam;
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
    const auto stored = TryDecode<BatchRecord>(record.mItems[0].mValue);
    job.mTeam = stored ? stored->mTerms.mTeam : "";
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
/// the job's record and on the configuration, and is repeated if one of them
/// has changed meanwhile or the outcome is unknown.
asio::awaitable<HttpResponse> Cancel(NodeContext& aNode, CallerRequest aRequest)
{
  const JobId job = aRequest.mSubpath;
  const std::uint32_t shard = ShardOf(job, aNode.mShards);
  constexpr int kAttempts = 3;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const StoredJob stored = co_await ReadJob(aNode, job);
    if (!stored.mIsRead) {
      co_return NotAcceptedResponse(job, "the store can't be read");
    }
    if (!stored.mIsKnown) {
      co_return ErrorResponse(410, "no such job");
    }
    if (stored.mRevision == 0) {
      co_return JsonResponse("{}");
    }
    if (IsOfOtherTeam(aNode, stored.mTeam, aRequest.mTerms.mTeam)) {
      co_return OtherTeamResponse(aNode, job);
    }
    KvTransaction write;
    write.mConditions.push_back({ InboxJobKey(shard, job), stored.mRevision });
    AddConfigCondition(aNode, write);
    write.mPuts.push_back(PersistentPut(CancelKey(shard, job), "{}"));
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply reply = co_await CommitWithRelay(aNode, write);
    switch (reply.mStatus) {
      case KvStatus::kOk:
        co_return JsonResponse("{}");
      case KvStatus::kRefused:
        co_return NotAcceptedResponse(job, "the store can't be reached");
      case KvStatus::kRejected:
        co_return RejectedResponse();
      default:
        break;
    }
    const bool isChanged = reply.mStatus == KvStatus::kConflict &&
                           ApplyConfigOfConflict(aNode, write, reply, sentAt);
    auto refusal = isChanged ? ResolveAgain(aNode, aRequest) : std::nullopt;
    if (refusal) {
      co_return std::move(*refusal);
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
    co_return co_await Cancel(aNode, std::move(aRequest));
  }
  co_return ErrorResponse(405, "GET, POST or DELETE");
}

/// Response to a request for a queue that the node doesn't know.
HttpResponse UnknownQueueResponse(const NodeContext& aNode,
                                  std::string_view aPath)
{
  return WasConfigCurrent(aNode, kMaxConfigAge)
           ? NoSuchQueueResponse()
           : NotAcceptedResponse(aPath, "the configuration may have changed");
}

/// Adds a response to the counters of its caller's team.
void CountTeamResponse(NodeContext& aNode,
                       const std::string& aTeam,
                       int aStatus)
{
  // Further teams share one row, which bounds the number of series.
  constexpr std::size_t kMaxTeams = 99;
  auto& rows = aNode.mCounters.mTeamAnswers;
  const bool isFull = rows.size() >= kMaxTeams && !rows.contains(aTeam);
  TeamAnswers& row = rows[isFull ? kOtherTeams : aTeam];
  if (aStatus == 401) {
    ++row.mUnauthorized;
  } else if (aStatus < 300) {
    ++row.mAccepted;
  } else {
    ++row.mOther;
  }
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
    request.mHost = FindHeader(aRequest.mHeaders, "Host");
    request.mPath = path;
    request.mBody = aRequest.mBody;
    request.mCredential =
      FindHeader(aRequest.mHeaders, aNode.mCodec.mCredentialHeader);
    version = aNode.mOperators->mConfig.mVersion;
    if (!ResolveQueue(aNode, request)) {
      response = UnknownQueueResponse(aNode, path);
    } else if (auto refusal = AuthenticateCaller(aNode, request)) {
      response = std::move(*refusal);
    } else {
      response = co_await RouteRequest(aNode, request);
    }
  }
  const Duration elapsed = SuspendAwareNow() - since;
  if (aNode.mTeamCredentials.mAreRequired) {
    CountTeamResponse(aNode, request.mTerms.mTeam, response.mStatus);
  }
  CountResponse(aNode, request.mMethod, response.mStatus, elapsed);
  const bool isSuccessfulGet =
    request.mMethod == "GET" && response.mStatus == 200;
  if (!isSuccessfulGet) {
    spdlog::info("caller.answer method={} job={} queue={} team={} status={} "
                 "config={} took_ms={} last_store_reply_ms_ago={}",
                 request.mMethod,
                 request.mSubpath,
                 request.mTerms.mQueue,
                 request.mTerms.mTeam,
                 response.mStatus,
                 version,
                 elapsed.count(),
                 (SuspendAwareNow() - aNode.mLastStoreReplyAt).count());
  }
  co_return response;
}

} // namespace verbenacroft
