/// The records of the tasks under which workers have crashed, and of the silent
/// workers that may have: read by a new owner, written by the owner before it
/// starts such a task again, and soon after a worker fell silent.

#include "vcCrashRecords.h"
#include "vcShardRunner.h"

#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// Interval of the checks for changes. It is short, because no suspect is
/// started before its history is stored.
constexpr Duration kCheckInterval{ 25 };
/// Minimum interval of the writes that only the silent workers need.
constexpr Duration kSilenceInterval{ 250 };
/// Pause after a failed write.
constexpr Duration kRetry{ 150 };

} // namespace

asio::awaitable<bool> ShardRunner::LoadCrashes()
{
  const std::string countsKey = CrashedTasksKey(this->mShardNumber);
  const std::string silentKey = SilentWorkersKey(this->mShardNumber);
  const KvReply read = co_await ReadAllPages(this->mNode, countsKey);
  if (read.mStatus != KvStatus::kOk) {
    co_return false;
  }
  this->mCrashesRevision = 0;
  this->mSilentWorkersRevision = 0;
  this->mStoredSilentWorkers.reset();
  for (const auto& item : read.mItems) {
    if (item.mKey != countsKey) {
      continue;
    }
    this->mCrashesRevision = item.mRevision;
    const auto record = TryDecode<CrashedTasksRecord>(item.mValue);
    if (record) {
      ApplyCrashedTasks(
        this->mShard, *record, SuspendAwareNow(), WallClockMs());
    } else {
      spdlog::error("shard.crashes-unreadable shard={}", this->mShardNumber);
    }
  }
  for (const auto& item : read.mItems) {
    if (item.mKey == silentKey) {
      this->ApplySilentWorkersItem(item);
    }
  }
  co_return true;
}

void ShardRunner::ApplySilentWorkersItem(const KvItem& aItem)
{
  this->mSilentWorkersRevision = aItem.mRevision;
  // An owner that doesn't know this record may have counted the crashes of
  // these workers since.
  if (aItem.mRevision != this->mCrashesRevision) {
    return;
  }
  auto record = TryDecode<SilentWorkersRecord>(aItem.mValue);
  if (!record) {
    spdlog::error("shard.silent-workers-unreadable shard={}",
                  this->mShardNumber);
    return;
  }
  ApplySilentWorkers(this->mShard, *record);
  this->mStoredSilentWorkers = std::move(*record);
}

bool ShardRunner::MustRecordSilentWorkers(TimePoint aNow)
{
  const std::uint64_t version = this->mShard.mSilenceVersion;
  const bool isDue = version != this->mStoredSilenceVersion &&
                     aNow - this->mSilentWorkersWrittenAt >= kSilenceInterval &&
                     !IsStoreDown(this->mNode, aNow);
  if (!isDue) {
    return false;
  }
  const bool isStored =
    this->mStoredSilentWorkers == SilentWorkersOf(this->mShard, aNow);
  if (isStored) {
    this->mStoredSilenceVersion = version;
  }
  return !isStored;
}

asio::awaitable<void> ShardRunner::RecordCrashes()
{
  while (!this->mIsStopped) {
    co_await Sleep(kCheckInterval);
    ForgetClearedSuspects(this->mShard);
    const bool isNeeded =
      this->mShard.mSuspectsVersion != this->mStoredSuspectsVersion ||
      this->MustRecordSilentWorkers(SuspendAwareNow());
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
  const TimePoint now = SuspendAwareNow();
  const std::uint64_t version = this->mShard.mSuspectsVersion;
  const std::uint64_t silenceVersion = this->mShard.mSilenceVersion;
  const CrashedTasksRecord record = CrashedTasksOf(this->mShard);
  SilentWorkersRecord silent = SilentWorkersOf(this->mShard, now);
  const std::string key = CrashedTasksKey(this->mShardNumber);
  const std::string silentKey = SilentWorkersKey(this->mShardNumber);
  KvTransaction write;
  write.mConditions.push_back({ key, this->mCrashesRevision });
  write.mConditions.push_back({ silentKey, this->mSilentWorkersRevision });
  write.mPuts.push_back(PersistentPut(key, Encode(record)));
  write.mPuts.push_back(PersistentPut(silentKey, Encode(silent)));
  this->mStoredSilentWorkers.reset();
  this->mSilentWorkersWrittenAt = now;
  const KvReply reply = co_await this->CommitAsOwner(std::move(write));
  if (reply.mStatus == KvStatus::kOk) {
    this->mCrashesRevision = reply.mRevision;
    this->mSilentWorkersRevision = reply.mRevision;
    this->mStoredSuspectsVersion = version;
    this->mStoredSilenceVersion = silenceVersion;
    this->mStoredSilentWorkers = std::move(silent);
    MarkStored(this->mShard, record);
    co_return true;
  }
  spdlog::info("shard.crashes-not-recorded shard={} tasks={} "
               "silent_workers={} outcome={}",
               this->mShardNumber,
               record.mTasks.size(),
               silent.mWorkers.size(),
               NameOf(reply.mStatus));
  if (reply.mStatus == KvStatus::kConflict) {
    // An earlier write of this owner took effect although its reply was lost.
    for (const auto& item : reply.mItems) {
      if (item.mKey == key) {
        this->mCrashesRevision = item.mRevision;
      } else if (item.mKey == silentKey) {
        this->mSilentWorkersRevision = item.mRevision;
      }
    }
    this->OnProgressConflict(reply);
  }
  co_return false;
}

} // namespace verbenacroft
