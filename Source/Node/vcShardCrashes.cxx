/// The record of the tasks under which workers have crashed: read by a new
/// owner, written by the owner before it starts such a task again.

#include "vcCrashRecords.h"
#include "vcShardRunner.h"

#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// Interval of the checks for changes. It is short, because no suspect is
/// started before its history is stored.
constexpr Duration kCheckInterval{ 25 };
/// Pause after a failed write.
constexpr Duration kRetry{ 150 };

} // namespace

asio::awaitable<bool> ShardRunner::LoadCrashes()
{
  const KvReply read =
    co_await this->mNode.mStore.mRead(CrashedTasksKey(this->mShardNumber));
  UpdateStoreHealth(this->mNode, read);
  this->mCrashesRevision = 0;
  if (read.mStatus == KvStatus::kNotFound) {
    co_return true;
  }
  if (read.mStatus != KvStatus::kOk || read.mItems.empty()) {
    co_return false;
  }
  this->mCrashesRevision = read.mItems[0].mRevision;
  const auto record = TryDecode<CrashedTasksRecord>(read.mItems[0].mValue);
  if (record) {
    ApplyCrashedTasks(this->mShard, *record, SuspendAwareNow(), WallClockMs());
  } else {
    spdlog::error("shard.crashes-unreadable shard={}", this->mShardNumber);
  }
  co_return true;
}

asio::awaitable<void> ShardRunner::RecordCrashes()
{
  while (!this->mIsStopped) {
    co_await Sleep(kCheckInterval);
    ForgetClearedSuspects(this->mShard);
    const bool isNeeded =
      this->mShard.mSuspectsVersion != this->mStoredSuspectsVersion;
    if (!isNeeded || this->mIsStopped) {
      continue;
    }
    const bool isStored = co_await this->WriteCrashes();
    if (isStored) {
      this->SchedulePlanning();
    } else {
      co_await Sleep(kRetry);
    }
  }
}

asio::awaitable<bool> ShardRunner::WriteCrashes()
{
  const std::uint64_t version = this->mShard.mSuspectsVersion;
  const CrashedTasksRecord record = CrashedTasksOf(this->mShard);
  const std::string key = CrashedTasksKey(this->mShardNumber);
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(this->mShardNumber), this->Epoch() });
  write.mConditions.push_back({ key, this->mCrashesRevision });
  write.mPuts.push_back(PersistentPut(key, Encode(record)));
  const KvReply reply = co_await this->mNode.mStore.mCommit(std::move(write));
  UpdateStoreHealth(this->mNode, reply);
  if (reply.mStatus == KvStatus::kOk) {
    this->mCrashesRevision = reply.mRevision;
    this->mStoredSuspectsVersion = version;
    MarkStored(this->mShard, record);
    co_return true;
  }
  spdlog::info("shard.crashes-not-recorded shard={} tasks={} outcome={}",
               this->mShardNumber,
               record.mTasks.size(),
               NameOf(reply.mStatus));
  if (reply.mStatus == KvStatus::kConflict) {
    // An earlier write of this owner took effect although its reply was lost.
    for (const auto& item : reply.mItems) {
      if (item.mKey == key) {
        this->mCrashesRevision = item.mRevision;
      }
    }
    this->OnProgressConflict(reply);
  }
  co_return false;
}

} // namespace verbenacroft
