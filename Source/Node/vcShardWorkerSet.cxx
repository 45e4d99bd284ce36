/// The worker set of a shard in the store: read by a new owner, written by the
/// owner while workers come, fall silent and go.

#include "vcHandOver.h"
#include "vcShardRunner.h"
#include "vcStoredRecord.h"

#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Number of run numbers of a task that are reserved for each owner of the
/// shard.
constexpr std::uint32_t kRunsPerOwnership = 256;
/// The record of inactive workers is written again once it says of a worker
/// that its runs end later than they do by more than this.
constexpr Duration kMaxRunsEndExcess{ 1'000 };
/// Interval of the checks for workers that have to be recorded as inactive.
constexpr Duration kSilenceCheckInterval{ 250 };
/// Interval of the attempts to reach the former owner.
constexpr Duration kAskInterval{ 300 };

/// True if the two records name the same workers, and the recorded times are
/// not earlier than the present ones and not much later.
bool IsUpToDate(const InactiveWorkersRecord& aRecorded,
                const InactiveWorkersRecord& aPresent)
{
  if (aRecorded.mLeaseLimitMs != aPresent.mLeaseLimitMs) {
    return false;
  }
  return std::equal(
    aRecorded.mWorkers.begin(),
    aRecorded.mWorkers.end(),
    aPresent.mWorkers.begin(),
    aPresent.mWorkers.end(),
    [](const InactiveWorker& aLeft, const InactiveWorker& aRight) {
      const Duration excess(aLeft.mRunsEndInMs - aRight.mRunsEndInMs);
      return aLeft.mWorker == aRight.mWorker && excess >= Duration(0) &&
             excess <= kMaxRunsEndExcess;
    });
}

/// Time in ms until all runs on an inactive worker end, as it is recorded.
/// Negative once they have ended, so that the next owner awaits the worker's
/// answer only for the rest of the time, but for as long as a call takes: it
/// may reach a worker that this owner doesn't.
std::int64_t RecordedTimeUntil(TimePoint aEndAt, TimePoint aNow)
{
  return std::max(aEndAt - aNow, kLeastAskedFor - kUnheardEndsWait).count();
}

/// Takes the current revisions of the records from a failed write.
void TakeRevisions(const KvReply& aReply,
                   std::uint32_t aShard,
                   StoredWorkerSet& aStored)
{
  for (const auto& item : aReply.mItems) {
    if (item.mKey == WorkerSetKey(aShard)) {
      aStored.mRevision = item.mRevision;
    } else if (item.mKey == InactiveWorkersKey(aShard)) {
      aStored.mInactiveRevision = item.mRevision;
    }
  }
}

/// Incarnation of a worker according to the record; 0 if it isn't known.
std::int64_t RecordedIncarnation(const IncarnationsRecord& aRecord,
                                 const std::string& aWorker)
{
  const auto found = aRecord.mWorkers.find(aWorker);
  return found == aRecord.mWorkers.end() ? 0 : found->second;
}

/// Removes the workers on which nothing can run any more. They may still be in
/// the set that was stored last, and the next owner would take them for active
/// and wait for them in full.
void RemoveUnneeded(std::vector<WorkerSetMember>& aMembers,
                    const DispatchShard& aShard,
                    TimePoint aNow)
{
  std::erase_if(aMembers, [&](const WorkerSetMember& aMember) {
    const auto worker = aShard.mWorkers.find(aMember.mWorker);
    return worker == aShard.mWorkers.end() ||
           !MustBeRecorded(aShard, worker->second, aNow);
  });
}

} // namespace

asio::awaitable<bool> ShardRunner::LoadWorkerSet()
{
  const auto workerSet = co_await ReadRecord<WorkerSetRecord>(
    this->mNode, WorkerSetKey(this->mShardNumber));
  // The claim has written the record, so an empty one couldn't be decoded.
  if (!workerSet || workerSet->mRecord.mGeneration == 0) {
    co_return false;
  }
  const auto inactive = co_await ReadRecord<InactiveWorkersRecord>(
    this->mNode, InactiveWorkersKey(this->mShardNumber));
  if (!inactive) {
    co_return false;
  }
  const auto incarnations = co_await ReadRecord<IncarnationsRecord>(
    this->mNode, IncarnationsKey(this->mShardNumber));
  if (!incarnations) {
    co_return false;
  }
  this->mStored = { workerSet->mRecord,
                    workerSet->mRevision,
                    inactive->mRecord,
                    inactive->mRevision,
                    incarnations->mRecord };
  // A release that doesn't know this record has claimed the shard since.
  if (incarnations->mRecord.mGeneration != workerSet->mRecord.mGeneration) {
    this->mStored.mIncarnations = {};
  }
  this->mShard.mRunBase =
    (workerSet->mRecord.mGeneration - 1) * kRunsPerOwnership;
  this->AddStoredWorkers(SuspendAwareNow());
  co_return true;
}

asio::awaitable<bool> ShardRunner::LoadHandOver()
{
  const auto record = co_await ReadRecord<HandOverRecord>(
    this->mNode, HandOverKey(this->mShardNumber));
  if (record) {
    ApplyHandOver(this->mShard,
                  record->mRecord,
                  this->mStored.mWorkerSet.mGeneration,
                  this->UnownedSince());
  }
  co_return record.has_value();
}

TimePoint ShardRunner::UnownedSince() const
{
  const auto former = this->mNode.mFormerOwners.find(this->mShardNumber);
  const bool isKnown =
    former != this->mNode.mFormerOwners.end() && former->second.mUnownedSince &&
    former->second.mGeneration + 1 == this->mStored.mWorkerSet.mGeneration;
  const TimePoint claimedAt = this->mShard.mClaimedAt;
  return isKnown ? std::min(*former->second.mUnownedSince, claimedAt)
                 : claimedAt;
}

EarlierOwners ShardRunner::KnownOfEarlierOwners() const
{
  const WorkerSetRecord& workerSet = this->mStored.mWorkerSet;
  const InactiveWorkersRecord& inactive = this->mStored.mInactive;
  EarlierOwners earlier;
  earlier.mHaveStopped = workerSet.mHasEarlierStopped;
  const bool isLimitKnown =
    inactive.mGeneration == workerSet.mGeneration && inactive.mLeaseLimitMs > 0;
  if (isLimitKnown) {
    earlier.mLeaseLimit = Duration(inactive.mLeaseLimitMs);
  }
  return earlier;
}

void ShardRunner::AddStoredWorkers(TimePoint aNow)
{
  const WorkerSetRecord& workerSet = this->mStored.mWorkerSet;
  const auto inactive = InactiveMembers(this->mStored.mInactive, workerSet);
  for (const auto& member : workerSet.mWorkers) {
    const auto endpoint = ParseEndpoint(member.mAddress);
    if (!endpoint) {
      spdlog::error("shard.worker-address-unreadable shard={} worker={}",
                    this->mShardNumber,
                    member.mWorker);
      continue;
    }
    DispatchWorker& worker = this->mShard.mWorkers[member.mWorker];
    worker.mEntry.mWorker = member.mWorker;
    worker.mEntry.mAddress = member.mAddress;
    worker.mEndpoint = *endpoint;
    worker.mLastReportAt = aNow;
    worker.mSilentSince = aNow;
    worker.mRecordedIncarnation =
      RecordedIncarnation(this->mStored.mIncarnations, member.mWorker);
    worker.mIncarnation = worker.mRecordedIncarnation;
    // Until discovery is read.
    worker.mIsListed = true;
    const auto row = inactive.find(member.mWorker);
    if (row == inactive.end()) {
      AddActiveWorker(this->mShard,
                      member.mWorker,
                      this->KnownOfEarlierOwners(),
                      this->UnownedSince());
    } else {
      AddInactiveWorker(this->mShard,
                        member.mWorker,
                        Duration(row->second.mRunsEndInMs),
                        row->second.mNoJobsAfter,
                        this->UnownedSince());
    }
  }
}

InactiveWorker ShardRunner::MakeInactive(DispatchWorker& aWorker,
                                         TimePoint aNow)
{
  const std::string& name = aWorker.mEntry.mWorker;
  const TimePoint endAt = RunsEndAt(this->mShard, aWorker, aNow);
  const std::int64_t endIn = RecordedTimeUntil(endAt, aNow);
  if (!aWorker.mIsInactive) {
    spdlog::info("worker.inactive worker={} shard={} runs_end_in_ms={} "
                 "last_report_ms_ago={}",
                 name,
                 this->mShardNumber,
                 endIn,
                 (aNow - aWorker.mLastReportAt).count());
  }
  Deactivate(this->mShard, aWorker, this->mNode.mLatestRevision);
  return { name, endIn, aWorker.mNoJobsAfter };
}

void ShardRunner::ChooseWorkerSet(WorkerSetRecord& aWorkerSet,
                                  InactiveWorkersRecord& aInactive)
{
  const TimePoint now = SuspendAwareNow();
  aWorkerSet = this->mStored.mWorkerSet;
  aWorkerSet.mWorkers.clear();
  aWorkerSet.mIsSettled = IsBarrierClear(this->mShard, now);
  aInactive.mGeneration = aWorkerSet.mGeneration;
  // Once the runs of all earlier owners are accounted for, only this one's
  // limit counts.
  aInactive.mLeaseLimitMs = aWorkerSet.mIsSettled
                              ? this->mShard.mBounds.mLeaseLimit.count()
                              : this->mStored.mInactive.mLeaseLimitMs;
  for (auto& [name, worker] : this->mShard.mWorkers) {
    if (MustBeRecorded(this->mShard, worker, now)) {
      aWorkerSet.mWorkers.push_back({ name, worker.mEntry.mAddress });
      if (MustBeInactive(this->mShard, worker, now)) {
        aInactive.mWorkers.push_back(this->MakeInactive(worker, now));
      }
      continue;
    }
    if (worker.mIsRecorded || worker.mIsInactive) {
      spdlog::info("worker.vacated worker={} shard={} unresponsive={}",
                   name,
                   this->mShardNumber,
                   worker.mIsUnresponsive);
    }
    // The write that removes the worker may be carried out although its reply
    // is lost. Only a later write that succeeds allows starts there again.
    worker.mIsRecorded = false;
    worker.mIsInactive = false;
  }
}

IncarnationsRecord ShardRunner::IncarnationsOf(
  const WorkerSetRecord& aWorkerSet) const
{
  IncarnationsRecord record;
  record.mGeneration = aWorkerSet.mGeneration;
  for (const auto& member : aWorkerSet.mWorkers) {
    const DispatchWorker& worker = this->mShard.mWorkers.at(member.mWorker);
    const std::int64_t incarnation = worker.mIncarnation != 0
                                       ? worker.mIncarnation
                                       : worker.mEntry.mIncarnation;
    if (incarnation != 0) {
      record.mWorkers[member.mWorker] = incarnation;
    }
  }
  return record;
}

asio::awaitable<bool> ShardRunner::RecordWorkerSet()
{
  if (this->mIsRecordingWorkerSet) {
    co_return false;
  }
  this->mIsRecordingWorkerSet = true;
  const bool isRecorded = co_await this->WriteWorkerSet();
  this->mIsRecordingWorkerSet = false;
  co_return isRecorded;
}

asio::awaitable<void> ShardRunner::RecordSilentWorkers()
{
  while (!this->mIsStopped) {
    co_await Sleep(kSilenceCheckInterval);
    const TimePoint now = SuspendAwareNow();
    const auto& workers = this->mShard.mWorkers;
    const bool isNeeded =
      std::any_of(workers.begin(), workers.end(), [&](const auto& aWorker) {
        return aWorker.second.mIsRecorded &&
               MustBeInactive(this->mShard, aWorker.second, now);
      });
    // A worker whose silence can't be recorded stays active, so that its tasks
    // are renewed when it answers again.
    if (isNeeded && !this->mIsStopped && !IsStoreDown(this->mNode, now)) {
      co_await this->RecordWorkerSet();
    }
  }
}

asio::awaitable<void> ShardRunner::LearnFromFormerOwner()
{
  while (!this->mIsStopped &&
         !IsBarrierClear(this->mShard, SuspendAwareNow())) {
    const auto former = this->mNode.mFormerOwners.find(this->mShardNumber);
    const bool isKnown = former != this->mNode.mFormerOwners.end() &&
                         !former->second.mNode.empty();
    if (!isKnown) {
      co_return;
    }
    const FormerOwner owner = former->second;
    const auto answer =
      co_await AskFormerOwner(this->mNode, this->mShardNumber, this->Epoch());
    if (answer) {
      const TimePoint now = SuspendAwareNow();
      ApplyFormerOwnerAnswer(this->mShard,
                             owner,
                             *answer,
                             this->mStored.mWorkerSet.mGeneration,
                             now);
      spdlog::info("shard.former-owner shard={} epoch={} node={} generation={} "
                   "workers={} held_up_to={}",
                   this->mShardNumber,
                   this->Epoch(),
                   answer->mNode,
                   answer->mGeneration,
                   answer->mWorkers.size(),
                   LastHeldRevision(this->mShard, now));
      co_return;
    }
    co_await Sleep(kAskInterval);
  }
}

asio::awaitable<bool> ShardRunner::WriteWorkerSet()
{
  WorkerSetRecord workerSet;
  InactiveWorkersRecord inactive;
  this->ChooseWorkerSet(workerSet, inactive);
  IncarnationsRecord incarnations = this->IncarnationsOf(workerSet);
  const WorkerSetRecord& stored = this->mStored.mWorkerSet;
  const bool isCurrent = !this->mStored.mIsInDoubt &&
                         !NeedsToken(this->mShard) &&
                         workerSet.mIsSettled == stored.mIsSettled &&
                         workerSet.mWorkers == stored.mWorkers &&
                         incarnations == this->mStored.mIncarnations &&
                         IsUpToDate(this->mStored.mInactive, inactive);
  if (isCurrent) {
    this->MarkRecordedWorkers();
    co_return true;
  }
  KvTransaction write;
  write.mConditions.push_back(
    { WorkerSetKey(this->mShardNumber), this->mStored.mRevision });
  write.mConditions.push_back({ InactiveWorkersKey(this->mShardNumber),
                                this->mStored.mInactiveRevision });
  AddWorkerSet(write, this->mShardNumber, workerSet, inactive);
  const bool areNew = incarnations != this->mStored.mIncarnations;
  if (areNew || this->mStored.mIsInDoubt) {
    write.mPuts.push_back(
      PersistentPut(IncarnationsKey(this->mShardNumber), Encode(incarnations)));
  }
  this->mStored.mIsInDoubt = true;
  const KvReply reply = co_await this->CommitAsOwner(std::move(write));
  if (reply.mStatus == KvStatus::kConflict) {
    TakeRevisions(reply, this->mShardNumber, this->mStored);
    this->OnProgressConflict(reply);
  }
  if (reply.mStatus != KvStatus::kOk) {
    spdlog::info("shard.worker-set-not-recorded shard={} outcome={}",
                 this->mShardNumber,
                 NameOf(reply.mStatus));
    co_return false;
  }
  this->mStored = { std::move(workerSet),
                    reply.mRevision,
                    std::move(inactive),
                    reply.mRevision,
                    std::move(incarnations) };
  this->MarkRecordedWorkers();
  co_return true;
}

void ShardRunner::MarkRecordedWorkers()
{
  const auto inactive =
    InactiveMembers(this->mStored.mInactive, this->mStored.mWorkerSet);
  for (const auto& member : this->mStored.mWorkerSet.mWorkers) {
    DispatchWorker* worker = FindWorker(this->mShard, member.mWorker);
    if (worker == nullptr) {
      continue;
    }
    worker->mRecordedIncarnation =
      RecordedIncarnation(this->mStored.mIncarnations, member.mWorker);
    if (!inactive.contains(member.mWorker)) {
      worker->mIsRecorded = true;
      worker->mIsInactive = false;
    }
  }
}

void ShardRunner::AddHandOver(KvTransaction& aWrite) const
{
  aWrite.mConditions.push_back({ OwnerKey(this->mShardNumber), this->Epoch() });
  aWrite.mDeletes.push_back(OwnerKey(this->mShardNumber));
  // A runner that isn't loaded doesn't know the worker set yet.
  if (!this->mIsLoaded) {
    return;
  }
  const TimePoint now = SuspendAwareNow();
  WorkerSetRecord workerSet = this->mStored.mWorkerSet;
  workerSet.mOwner.clear();
  RemoveUnneeded(workerSet.mWorkers, this->mShard, now);
  InactiveWorkersRecord inactive;
  inactive.mGeneration = workerSet.mGeneration;
  inactive.mLeaseLimitMs = this->mStored.mInactive.mLeaseLimitMs;
  for (const auto& [name, worker] : this->mShard.mWorkers) {
    const bool isInactive =
      worker.mIsInactive ||
      (worker.mIsRecorded && MayOutlastNextWait(this->mShard, worker));
    if (isInactive) {
      const TimePoint endAt = RunsEndAt(this->mShard, worker, now);
      inactive.mWorkers.push_back(
        { name, RecordedTimeUntil(endAt, now), worker.mNoJobsAfter });
    }
  }
  AddWorkerSet(aWrite, this->mShardNumber, workerSet, inactive);
  const HandOverRecord handOver = MakeHandOver(this->mShard, workerSet, now);
  aWrite.mPuts.push_back(
    PersistentPut(HandOverKey(this->mShardNumber), Encode(handOver)));
}

} // namespace verbenacroft
