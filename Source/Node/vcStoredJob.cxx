#include "vcStoredJob.h"

#include "vcPeers.h"

namespace verbenacroft {

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

} // namespace verbenacroft
