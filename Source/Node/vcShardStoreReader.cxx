/// Reads of a shard's owner from the store: the jobs and their progress, the
/// inbox, and the workers' entries.

#include "vcShardRunner.h"

#include "vcMembership.h"

#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Pause after a failed watch call.
constexpr Duration kRetry{ 150 };
/// Longest wait of one watch call for events. Until the next call returns, the
/// inbox is only known to be complete as of the sending of the call before it.
/// Two waits therefore have to be shorter than the age at which nothing is
/// answered or decided from the inbox any more, with time left for a slow
/// store.
constexpr Duration kInboxWatchWait{ 500 };
/// Time for the reply of a watch call, in addition to the wait. Thousands of
/// events may have come since the call before.
constexpr Duration kInboxReplyTime{ 2'500 };
/// Interval of reads of the workers' entries.
constexpr Duration kDiscoveryInterval{ 700 };
/// Another writer's key may be of any length.
constexpr std::size_t kMaxLoggedKeyBytes = 100;

} // namespace

asio::awaitable<bool> ShardRunner::Load()
{
  this->mShard.mJobs.clear();
  this->mShard.mOccurrenceBytes = 0;
  this->mShard.mEndedJobs.clear();
  this->mShard.mPendingCancellations.clear();
  this->mShard.mWorkers.clear();
  this->mShard.mTeamUse.clear();
  this->mShard.mSuspects.clear();
  this->mShard.mUnansweredWorkers.clear();
  const bool hasWorkerSet = co_await this->LoadWorkerSet();
  if (!hasWorkerSet) {
    co_return false;
  }
  const TimePoint sentAt = SuspendAwareNow();
  const KvReply inbox =
    co_await ReadAllPages(this->mNode, InboxPrefix(this->mShardNumber));
  if (inbox.mStatus != KvStatus::kOk) {
    co_return false;
  }
  const KvReply progress =
    co_await ReadAllPages(this->mNode, ProgressPrefix(this->mShardNumber));
  if (progress.mStatus != KvStatus::kOk ||
      !this->CheckInboxOwner(inbox.mItems)) {
    co_return false;
  }
  // Progress can only be applied to known jobs, and a cancellation only after
  // the progress, since it doesn't affect jobs that have ended.
  for (const auto& item : inbox.mItems) {
    if (item.mKey.ends_with(".job")) {
      this->ApplyInbox(item);
    }
  }
  for (const auto& item : progress.mItems) {
    this->ApplyStoredProgress(item);
  }
  for (const auto& item : inbox.mItems) {
    if (!item.mKey.ends_with(".job")) {
      this->ApplyInbox(item);
    }
  }
  const bool hasRest =
    co_await this->LoadHandOver() && co_await this->LoadCrashes();
  if (!hasRest) {
    co_return false;
  }
  OnInboxRead(this->mInboxReads,
              inbox.mRevision,
              inbox.mItems.size(),
              sentAt,
              SuspendAwareNow());
  const auto self = this->shared_from_this();
  this->Spawn("inbox", [self, revision = inbox.mRevision] {
    return self->WatchInbox(revision);
  });
  co_return true;
}

bool ShardRunner::CheckInboxOwner(const std::vector<KvItem>& aItems)
{
  const std::string ownerKey = InboxOwnerKey(this->mShardNumber);
  const bool isClaimedByAnother =
    std::any_of(aItems.begin(), aItems.end(), [&](const KvItem& aItem) {
      return aItem.mKey == ownerKey && aItem.mRevision > this->Epoch();
    });
  if (isClaimedByAnother) {
    spdlog::warn("shard.lost shard={} epoch={} reason=claimed-by-another",
                 this->mShardNumber,
                 this->Epoch());
    this->Stop();
  }
  return !isClaimedByAnother;
}

void ShardRunner::ApplyInbox(const KvItem& aItem)
{
  if (aItem.mIsRemoved || aItem.mKey == InboxOwnerKey(this->mShardNumber)) {
    return;
  }
  const JobId id = JobIdFromKey(aItem.mKey, InboxPrefix(this->mShardNumber));
  const TimePoint now = SuspendAwareNow();
  const std::int64_t nowMs = WallClockMs();
  if (aItem.mKey.ends_with(".cancel")) {
    CancelJob(this->mShard, id, aItem.mRevision, now, nowMs);
    this->mRecordTimer.cancel();
    return;
  }
  auto record = TryDecode<BatchRecord>(aItem.mValue);
  if (!record) {
    spdlog::error("job.unreadable job={} revision={}", id, aItem.mRevision);
    return;
  }
  const bool isNew =
    !this->mShard.mJobs.contains(id) && !this->mShard.mEndedJobs.contains(id);
  if (!isNew) {
    return;
  }
  spdlog::info("job.load job={} queue={} steps={} revision={} age_ms={}",
               id,
               record->mTerms.mQueue,
               record->mSpec.mSteps.size(),
               aItem.mRevision,
               nowMs - record->mAcceptedAtMs);
  AddJob(
    this->mShard, id, std::move(*record), aItem.mCreateRevision, now, nowMs);
}

void ShardRunner::ApplyStoredProgress(const KvItem& aItem)
{
  const JobId id = JobIdFromKey(aItem.mKey, ProgressPrefix(this->mShardNumber));
  const auto progress = TryDecode<BatchProgress>(aItem.mValue);
  if (!progress) {
    spdlog::error("job.progress-unreadable job={}", id);
    return;
  }
  if (IsFinal(progress->mState)) {
    this->mShard.mEndedJobs[id] = { progress->mState, progress->mEndedAtMs };
    EraseJob(this->mShard, id);
    return;
  }
  ApplyProgress(this->mShard, id, *progress);
  DispatchJob* job = FindJob(this->mShard, id);
  if (job != nullptr) {
    job->mProgressRevision = aItem.mRevision;
  }
}

asio::awaitable<void> ShardRunner::WatchInbox(std::uint64_t aRevision)
{
  KvWatch watch{
    InboxPrefix(this->mShardNumber), aRevision, kInboxWatchWait, kInboxReplyTime
  };
  while (!this->mIsStopped) {
    TimePoint sentAt = SuspendAwareNow();
    const KvReply reply = co_await this->mNode.mStore.mWatch(watch);
    UpdateStoreHealth(this->mNode, reply);
    if (this->mIsStopped) {
      co_return;
    }
    if (reply.mStatus == KvStatus::kCompacted) {
      sentAt = SuspendAwareNow();
      const KvReply all = co_await ReadAllPages(this->mNode, watch.mPrefix);
      const bool isRead = all.mStatus == KvStatus::kOk;
      if (isRead && !this->CheckInboxOwner(all.mItems)) {
        co_return;
      }
      if (isRead) {
        for (const auto& item : all.mItems) {
          this->ApplyInbox(item);
        }
        watch.mAfterRevision = all.mRevision;
        OnInboxRead(this->mInboxReads,
                    all.mRevision,
                    all.mItems.size(),
                    sentAt,
                    SuspendAwareNow());
      }
      spdlog::warn("shard.inbox-reread shard={} epoch={} outcome={} items={} "
                   "revision={}",
                   this->mShardNumber,
                   this->Epoch(),
                   NameOf(all.mStatus),
                   all.mItems.size(),
                   all.mRevision);
      if (!isRead) {
        co_await Sleep(kRetry);
        continue;
      }
    } else if (reply.mStatus == KvStatus::kOk) {
      if (!this->CheckInboxOwner(reply.mItems)) {
        co_return;
      }
      for (const auto& item : reply.mItems) {
        this->ApplyInbox(item);
      }
      watch.mAfterRevision = std::max(watch.mAfterRevision, reply.mRevision);
      OnInboxRead(this->mInboxReads,
                  reply.mRevision,
                  reply.mItems.size(),
                  sentAt,
                  SuspendAwareNow());
    } else {
      co_await Sleep(kRetry);
      continue;
    }
    this->SchedulePlanning();
  }
}

void ShardRunner::PollNewWorkers()
{
  for (const auto& [name, worker] : this->mShard.mWorkers) {
    if (this->mPolledWorkers.insert(name).second) {
      this->Spawn("worker", [self = this->shared_from_this(), name = name] {
        return self->PollWorker(name);
      });
    }
  }
}

std::vector<WorkerEntry> ShardRunner::DecodeEntries(
  const std::vector<KvItem>& aItems)
{
  std::vector<WorkerEntry> entries;
  std::map<std::string, std::string> skipped;
  for (const auto& item : aItems) {
    if (ShardOf(item.mKey, this->mNode.mShards) != this->mShardNumber) {
      continue;
    }
    Faults faults;
    auto entry =
      this->mNode.mCodec.mDecodeWorker(item.mKey, item.mValue, faults);
    if (entry) {
      entries.push_back(std::move(*entry));
      continue;
    }
    const std::string fault = faults.empty() ? "" : faults[0].mPath;
    const auto before = this->mSkippedEntries.find(item.mKey);
    const bool isKnown =
      before != this->mSkippedEntries.end() && before->second == fault;
    if (!isKnown) {
      spdlog::warn("worker.entry-skipped key={} fault={}",
                   item.mKey.substr(0, kMaxLoggedKeyBytes),
                   fault);
    }
    skipped.emplace(item.mKey, fault);
  }
  this->mSkippedEntries = std::move(skipped);
  return entries;
}

asio::awaitable<void> ShardRunner::PollDiscovery()
{
  // The leases of an earlier owner's runs go on meanwhile.
  this->PollNewWorkers();
  while (!this->mIsStopped) {
    const std::string& prefix = this->mNode.mCodec.mDiscoveryPrefix;
    const KvReply listed = co_await ReadAllPages(this->mNode, prefix);
    if (this->mIsStopped) {
      co_return;
    }
    if (listed.mStatus == KvStatus::kOk) {
      const auto entries = this->DecodeEntries(listed.mItems);
      OnDiscovery(this->mShard, entries, SuspendAwareNow());
      co_await this->RecordWorkerSet();
      this->SchedulePlanning();
    }
    this->PollNewWorkers();
    co_await Sleep(kDiscoveryInterval);
  }
}

} // namespace verbenacroft
