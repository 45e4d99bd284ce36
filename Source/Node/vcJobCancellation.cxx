#include "vcJobCancellation.h"

#include "vcCancellationRecord.h"
#include "vcPeers.h"
#include "vcStoredJob.h"

namespace verbenacroft {

namespace {

/// Attempts to write the cancellation.
constexpr int kAttempts = 3;

/// True if the node may store another cancellation of a job that the store
/// doesn't know.
bool MayCancelUnknown(NodeContext& aNode, const std::string& aTeam)
{
  const double perSecond =
    CancellationsPerSecond(aNode.mSettings, aNode.mNodes.size());
  return TakeCancellation(
    aNode.mCancellationBudget, aTeam, perSecond, SuspendAwareNow());
}

/// The write that cancels a job, on the condition that the store still has the
/// job's record as it was read, or still has nothing of the job.
KvTransaction MakeCancellation(const NodeContext& aNode,
                               std::uint32_t aShard,
                               const JobId& aJob,
                               const StoredJob& aStored,
                               const std::string& aTeam)
{
  KvTransaction write;
  write.mConditions.push_back({ InboxJobKey(aShard, aJob), aStored.mRevision });
  if (!aStored.mIsKnown) {
    write.mConditions.push_back({ ProgressKey(aShard, aJob), 0 });
  }
  AddConfigCondition(aNode, write);
  write.mPuts.push_back(PersistentPut(CancelKey(aShard, aJob),
                                      Encode(CancellationRecord{ aTeam })));
  return write;
}

HttpResponse CancelledResponse(const StoredJob& aStored)
{
  return aStored.mIsKnown ? JsonResponse("{}")
                          : ErrorResponse(410, "no such job");
}

/// Response to a cancellation that the store has turned down.
/// @param aIsFirst no attempt before it may still take effect
HttpResponse TurnedDownResponse(KvStatus aStatus,
                                const JobId& aJob,
                                bool aIsFirst)
{
  if (!aIsFirst) {
    return OutcomeUnknownResponse();
  }
  return aStatus == KvStatus::kRejected
           ? RejectedResponse()
           : NotAcceptedResponse(aJob, "the store can't be reached");
}

} // namespace

asio::awaitable<HttpResponse> HandleCancellation(NodeContext& aNode,
                                                 CallerRequest aRequest)
{
  const JobId job = aRequest.mSubpath;
  const std::uint32_t shard = ShardOf(job, aNode.mShards);
  bool mayStoreUnknown = false;
  bool isFirst = true;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const std::string& team = aRequest.mTerms.mTeam;
    const StoredJob stored = co_await ReadJob(aNode, job);
    if (!stored.mIsRead) {
      co_return TurnedDownResponse(KvStatus::kRefused, job, isFirst);
    }
    if (stored.mIsKnown && stored.mRevision == 0) {
      co_return JsonResponse("{}");
    }
    if (IsOfOtherTeam(aNode, stored.mTeam, team)) {
      co_return OtherTeamResponse(aNode, job);
    }
    mayStoreUnknown =
      stored.mIsKnown || mayStoreUnknown || MayCancelUnknown(aNode, team);
    if (!mayStoreUnknown) {
      co_return NotAcceptedResponse(job,
                                    "too many cancellations of unknown jobs");
    }
    const KvTransaction write =
      MakeCancellation(aNode, shard, job, stored, team);
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply reply = co_await CommitWithRelay(aNode, write);
    if (reply.mStatus == KvStatus::kOk) {
      co_return CancelledResponse(stored);
    }
    if (IsTurnedDown(reply.mStatus)) {
      co_return TurnedDownResponse(reply.mStatus, job, isFirst);
    }
    const bool isChanged = reply.mStatus == KvStatus::kConflict &&
                           ApplyConfigOfConflict(aNode, write, reply, sentAt);
    auto refusal = isChanged ? ResolveAgain(aNode, aRequest) : std::nullopt;
    if (refusal) {
      co_return std::move(*refusal);
    }
    isFirst = isFirst && reply.mStatus == KvStatus::kConflict;
  }
  co_return OutcomeUnknownResponse();
}

} // namespace verbenacroft
