#include "vcJobCancellation.h"

#include "vcPeers.h"
#include "vcStoredJob.h"

namespace verbenacroft {

asio::awaitable<HttpResponse> HandleCancellation(NodeContext& aNode,
                                                 CallerRequest aRequest)
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

} // namespace verbenacroft
