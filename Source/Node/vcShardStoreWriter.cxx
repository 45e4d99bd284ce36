/// Writes of a shard's owner to the store: the progress of jobs, and the
/// removal of the records of old jobs.

#include "vcShardRunner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Pause after a failed write.
constexpr Duration kRetry{ 150 };
/// Interval of writes while jobs end. It is short, because the final state of a
/// job is shown to callers only once it is recorded.
constexpr Duration kUrgentRecordInterval{ 25 };
/// Interval of writes otherwise. Task ends within it are recorded together.
constexpr Duration kRecordInterval{ 200 };
/// Maximum number of entries of a transaction; `CommitAsOwner` adds one.
constexpr std::size_t kMaxEntries = kMaxKvTransactionEntries - 1;
/// Maximum number of jobs whose records are removed in one transaction.
constexpr std::size_t kMaxJobsRemoved = kMaxEntries;
/// Maximum number of such transactions in a row, which delay the writes of
/// progress. Together they remove about 100 jobs per second, more than a shard
/// ends.
constexpr int kMaxRemovals = 16;
/// Entries of a transaction that removes a cancellation: a condition and a
/// deletion.
constexpr std::size_t kEntriesPerCancellation = 2;
/// Shortest time for which the store keeps what turns a late submission down:
/// the record of an ended job, or a cancellation without its job. A submission
/// may be late by `kLateCallTime` at the store, after a peer that was asked to
/// relay it, or the node itself, was suspended for some seconds.
constexpr Duration kLeastKeptTime{ 60'000 };
/// Interval of the removal of old jobs, and the time for which an ended job
/// stays in memory.
constexpr Duration kRemoveInterval{ 5'000 };

/// How long the store keeps the record of a job after its end.
Duration KeptTime(const DispatchBounds& aBounds)
{
  return std::max(2 * aBounds.mStatus, kLeastKeptTime);
}

/// Number of transaction entries that are needed to record the job's progress.
std::size_t TransactionEntriesFor(const DispatchJob& aJob)
{
  constexpr std::size_t kCondition = 1;
  constexpr std::size_t kPut = 1;
  constexpr std::size_t kInboxKeys = 2;
  return kCondition + kPut + (IsFinal(aJob.mState) ? kInboxKeys : 0);
}

/// Adds the entries that record the job's progress; see
/// `TransactionEntriesFor`.
void AddProgress(KvTransaction& aWrite,
                 std::uint32_t aShard,
                 const JobId& aId,
                 const DispatchJob& aJob)
{
  const std::string key = ProgressKey(aShard, aId);
  aWrite.mConditions.push_back({ key, aJob.mProgressRevision });
  aWrite.mPuts.push_back(
    PersistentPut(key, EncodeProgress(aJob, kMaxKvValueBytes)));
  if (IsFinal(aJob.mState)) {
    aWrite.mDeletes.push_back(InboxJobKey(aShard, aId));
    aWrite.mDeletes.push_back(CancelKey(aShard, aId));
  }
}

/// Task ends of one incarnation of a worker that a pass records: all up to
/// `mIndex`.
struct RecordedEnds
{
  std::int64_t mIncarnation = 0;
  std::uint64_t mIndex = 0;
};

/// Task ends that are seen and not acknowledged yet, by worker.
std::map<std::string, RecordedEnds> UnacknowledgedEnds(
  const DispatchShard& aShard)
{
  std::map<std::string, RecordedEnds> ends;
  for (const auto& [name, worker] : aShard.mWorkers) {
    if (worker.mSeenIndex > worker.mAckIndex) {
      ends[name] = { worker.mIncarnation, worker.mSeenIndex };
    }
  }
  return ends;
}

/// Lets task ends be acknowledged whose jobs have all been recorded.
void NoteRecordedEnds(DispatchShard& aShard,
                      const std::map<std::string, RecordedEnds>& aEnds,
                      TimePoint aNow)
{
  for (const auto& [name, ends] : aEnds) {
    DispatchWorker* worker = FindWorker(aShard, name);
    // A new incarnation of the worker numbers its task ends from the start.
    if (worker != nullptr && worker->mIncarnation == ends.mIncarnation) {
      OnEndsRecorded(*worker, ends.mIndex, aNow);
    }
  }
}

std::deque<JobId> DirtyJobs(const DispatchShard& aShard)
{
  std::deque<JobId> jobs;
  for (const auto& [id, job] : aShard.mJobs) {
    if (job.mIsDirty) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

} // namespace

asio::awaitable<KvReply> ShardRunner::CommitAsOwner(KvTransaction aWrite)
{
  aWrite.mConditions.push_back({ OwnerKey(this->mShardNumber), this->Epoch() });
  const KvReply reply = co_await this->mNode.mStore.mCommit(std::move(aWrite));
  UpdateStoreHealth(this->mNode, reply);
  if (reply.mStatus == KvStatus::kOk) {
    NoteOwnWrite(this->mShard, reply.mRevision);
  }
  co_return reply;
}

asio::awaitable<void> ShardRunner::RecordPeriodically()
{
  TimePoint removedAt = SuspendAwareNow();
  while (!this->mIsStopped) {
    co_await Sleep(kUrgentRecordInterval);
    this->mRecordTimer.expires_after(kRecordInterval - kUrgentRecordInterval);
    co_await this->mRecordTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->mIsStopped) {
      co_return;
    }
    const bool isRecorded = co_await this->RecordProgress();
    if (!isRecorded) {
      co_await Sleep(kRetry);
    }
    const TimePoint now = SuspendAwareNow();
    if (now - removedAt > kRemoveInterval && !this->mIsStopped) {
      removedAt = now;
      co_await this->RemoveOldJobs();
    }
  }
}

asio::awaitable<bool> ShardRunner::RecordProgress()
{
  // Only one write of progress runs at a time. Jobs that a running write
  // contains are no longer marked as dirty, so a second write would skip them
  // and acknowledge their task ends before the first write has succeeded.
  while (this->mIsRecording) {
    co_await Sleep(kUrgentRecordInterval);
  }
  this->mIsRecording = true;
  const bool isRecorded = co_await this->RecordDirtyJobs();
  this->mIsRecording = false;
  co_return isRecorded;
}

asio::awaitable<bool> ShardRunner::RecordDirtyJobs()
{
  // Jobs that become dirty during the pass are left to the next one, so that
  // the pass ends. They hold later task ends than those acknowledged here.
  const auto ends = UnacknowledgedEnds(this->mShard);
  std::deque<JobId> jobs = DirtyJobs(this->mShard);
  bool isComplete = true;
  while (!jobs.empty()) {
    ProgressWrite write = this->TakeProgress(jobs);
    const KvStatus outcome = co_await this->CommitProgress(std::move(write));
    const bool mayGoOn =
      outcome == KvStatus::kOk || outcome == KvStatus::kRejected;
    if (!mayGoOn || this->mIsStopped) {
      co_return false;
    }
    isComplete = isComplete && outcome == KvStatus::kOk;
  }
  if (isComplete) {
    NoteRecordedEnds(this->mShard, ends, SuspendAwareNow());
  }
  co_return isComplete;
}

ShardRunner::ProgressWrite ShardRunner::TakeProgress(std::deque<JobId>& aJobs)
{
  ProgressWrite progress;
  KvTransaction& write = progress.mWrite;
  for (; !aJobs.empty(); aJobs.pop_front()) {
    const JobId& id = aJobs.front();
    DispatchJob* job = FindJob(this->mShard, id);
    if (job == nullptr || !job->mIsDirty) {
      continue;
    }
    const bool isAlone = this->mJobsWrittenAlone.contains(id);
    if (isAlone && !progress.mJobs.empty()) {
      break;
    }
    // A job may have ended since the pass began, and then needs more entries.
    if (EntriesOf(write) + TransactionEntriesFor(*job) > kMaxEntries) {
      break;
    }
    job->mIsDirty = false;
    AddProgress(write, this->mShardNumber, id, *job);
    progress.mJobs.push_back(id);
    if (isAlone) {
      aJobs.pop_front();
      break;
    }
  }
  return progress;
}

asio::awaitable<KvStatus> ShardRunner::CommitProgress(ProgressWrite aProgress)
{
  const std::vector<JobId>& jobs = aProgress.mJobs;
  if (jobs.empty()) {
    co_return KvStatus::kOk;
  }
  const KvReply reply =
    co_await this->CommitAsOwner(std::move(aProgress.mWrite));
  if (reply.mStatus == KvStatus::kOk) {
    this->OnProgressRecorded(jobs, reply.mRevision);
    co_return reply.mStatus;
  }
  spdlog::info("shard.record-failed shard={} epoch={} jobs={} outcome={}",
               this->mShardNumber,
               this->Epoch(),
               jobs.size(),
               NameOf(reply.mStatus));
  for (const auto& id : jobs) {
    DispatchJob* job = FindJob(this->mShard, id);
    if (job != nullptr) {
      job->mIsDirty = true;
    }
  }
  if (reply.mStatus == KvStatus::kRejected) {
    this->mJobsWrittenAlone.insert(jobs.begin(), jobs.end());
  }
  if (reply.mStatus == KvStatus::kConflict) {
    this->OnProgressConflict(reply);
  }
  co_return reply.mStatus;
}

void ShardRunner::OnProgressRecorded(const std::vector<JobId>& aJobs,
                                     std::uint64_t aRevision)
{
  for (const auto& id : aJobs) {
    DispatchJob* job = FindJob(this->mShard, id);
    if (job == nullptr) {
      continue;
    }
    job->mProgressRevision = aRevision;
    this->mJobsWrittenAlone.erase(id);
    // A job that ended during the write is dirty again: its final state isn't
    // stored yet.
    const bool isStored = IsFinal(job->mState) && !job->mIsDirty;
    if (isStored) {
      job->mIsFinalStored = true;
      this->mShard.mEndedJobs[id] = { job->mState, job->mEndedAtMs };
    }
  }
}

void ShardRunner::OnProgressConflict(const KvReply& aReply)
{
  bool isOwner = false;
  for (const auto& item : aReply.mItems) {
    if (item.mKey == OwnerKey(this->mShardNumber)) {
      isOwner = item.mRevision == this->Epoch();
      continue;
    }
    // An earlier write of this owner took effect although its reply was lost.
    DispatchJob* job =
      item.mKey.starts_with(ProgressPrefix(this->mShardNumber))
        ? FindJob(this->mShard,
                  JobIdFromKey(item.mKey, ProgressPrefix(this->mShardNumber)))
        : nullptr;
    if (job != nullptr) {
      job->mProgressRevision = item.mRevision;
    }
  }
  if (!isOwner) {
    spdlog::warn("shard.lost shard={} epoch={} reason=owner-key-changed",
                 this->mShardNumber,
                 this->Epoch());
    this->Stop();
  }
}

asio::awaitable<void> ShardRunner::RemoveOldJobs()
{
  const TimePoint now = SuspendAwareNow();
  std::vector<JobId> removable;
  for (const auto& [id, job] : this->mShard.mJobs) {
    const bool isRemovable = job.mIsFinalStored && !job.mIsDirty &&
                             job.mActiveRuns == 0 &&
                             now - job.mEndedAt > kRemoveInterval;
    if (isRemovable) {
      removable.push_back(id);
    }
  }
  for (const auto& id : removable) {
    EraseJob(this->mShard, id);
  }
  bool hasMore = true;
  for (int i = 0; i < kMaxRemovals && hasMore && !this->mIsStopped; ++i) {
    hasMore = co_await this->RemoveOldRecords();
  }
  hasMore = true;
  for (int i = 0; i < kMaxRemovals && hasMore && !this->mIsStopped; ++i) {
    hasMore = co_await this->RemoveOldCancellations();
  }
}

asio::awaitable<bool> ShardRunner::RemoveOldCancellations()
{
  const TimePoint now = SuspendAwareNow();
  const Duration kept = KeptTime(this->mShard.mBounds);
  auto& cancellations = this->mShard.mPendingCancellations;
  KvTransaction write;
  std::set<JobId> removed;
  bool hasMore = false;
  for (const auto& [id, cancellation] : cancellations) {
    if (now - cancellation.mReadAt <= kept) {
      continue;
    }
    hasMore = EntriesOf(write) + kEntriesPerCancellation > kMaxEntries;
    if (hasMore) {
      break;
    }
    const std::string key = CancelKey(this->mShardNumber, id);
    write.mConditions.push_back({ key, cancellation.mRevision });
    write.mDeletes.push_back(key);
    removed.insert(id);
  }
  if (removed.empty()) {
    co_return false;
  }
  const KvReply reply = co_await this->CommitAsOwner(std::move(write));
  if (reply.mStatus == KvStatus::kConflict) {
    this->OnCancellationsChanged(removed, reply);
  }
  if (reply.mStatus != KvStatus::kOk) {
    co_return false;
  }
  for (const auto& id : removed) {
    cancellations.erase(id);
  }
  co_return hasMore;
}

void ShardRunner::OnCancellationsChanged(const std::set<JobId>& aJobs,
                                         const KvReply& aReply)
{
  auto& cancellations = this->mShard.mPendingCancellations;
  for (const auto& id : aJobs) {
    const std::string key = CancelKey(this->mShardNumber, id);
    const auto item =
      std::find_if(aReply.mItems.begin(),
                   aReply.mItems.end(),
                   [&](const KvItem& aRow) { return aRow.mKey == key; });
    const bool isGone = item == aReply.mItems.end() || item->mRevision == 0;
    if (isGone) {
      // An earlier removal took effect although its reply was lost.
      cancellations.erase(id);
    } else if (item->mRevision != cancellations[id].mRevision) {
      cancellations[id] = { item->mRevision, SuspendAwareNow() };
    }
  }
}

asio::awaitable<bool> ShardRunner::RemoveOldRecords()
{
  const std::int64_t nowMs = WallClockMs();
  KvTransaction write;
  std::vector<JobId> removed;
  const std::int64_t keptMs = KeptTime(this->mShard.mBounds).count();
  for (const auto& [id, ended] : this->mShard.mEndedJobs) {
    const bool isOld =
      nowMs - ended.mEndedAtMs > keptMs && !this->mShard.mJobs.contains(id);
    if (isOld && removed.size() < kMaxJobsRemoved) {
      removed.push_back(id);
      write.mDeletes.push_back(ProgressKey(this->mShardNumber, id));
    }
  }
  if (removed.empty()) {
    co_return false;
  }
  const KvReply reply = co_await this->CommitAsOwner(std::move(write));
  if (reply.mStatus != KvStatus::kOk) {
    co_return false;
  }
  for (const auto& id : removed) {
    this->mShard.mEndedJobs.erase(id);
  }
  co_return removed.size() == kMaxJobsRemoved;
}

} // namespace verbenacroft
