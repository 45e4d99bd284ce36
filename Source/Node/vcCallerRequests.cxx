#include "vcCallerRequests.h"

#include "vcJobCancellation.h"
#include "vcJobSubmission.h"
#include "vcLatencyBounds.h"
#include "vcPeers.h"
#include "vcStoredJob.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Label for teams beyond the maximum number of series.
constexpr const char* kOtherTeams = "other";

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
    co_return co_await HandleSubmission(aNode, std::move(aRequest));
  }
  if (aRequest.mMethod == "GET") {
    co_return co_await ShowState(aNode, aRequest.mSubpath);
  }
  if (aRequest.mMethod == "DELETE") {
    co_return co_await HandleCancellation(aNode, std::move(aRequest));
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
