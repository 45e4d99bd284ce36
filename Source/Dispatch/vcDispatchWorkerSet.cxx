#include "vcDispatchWorkerSet.h"

#include "vcIncarnationFence.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace verbenacroft {

namespace {

/// A worker that has answered no renewal for this long is recorded as inactive.
/// Some renewals fit into it, so that one lost reply doesn't count.
constexpr Duration kInactiveAfter{ 1'000 };

/// Longest duration on this process's clock of `aTime` on a worker's clock.
Duration Stretched(Duration aTime)
{
  return Duration(static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aTime.count()) / kMinClockRate)));
}

/// Latest time on this process's clock at which the worker's clock shows
/// `aClock`. Its clock has been read.
TimePoint LatestTimeOf(const DispatchWorker& aWorker, std::int64_t aClock)
{
  const Duration left(std::max<std::int64_t>(aClock - aWorker.mClock, 0));
  return aWorker.mClockReadAt + Stretched(left);
}

/// True if nothing runs on the worker and no start that was ordered so far can
/// begin there. A worker that has reported refuses earlier owners, and its ends
/// are in the store. Silence afterwards changes nothing. A new incarnation's
/// clock is behind the deadlines of starts that may still reach it.
bool IsVacated(const DispatchWorker& aWorker)
{
  return !IsFencePending(aWorker) && aWorker.mIsReportedIdle &&
         aWorker.mTasks.empty() && aWorker.mRunsToStop.empty() &&
         aWorker.mClock > aWorker.mStartsUntil &&
         aWorker.mAckIndex >= aWorker.mSeenIndex;
}

/// Time by which all runs on an unanswered worker have ended.
TimePoint EndOfRuns(const UnansweredWorker& aWorker)
{
  return std::max(aWorker.mRunsEndAt, aWorker.mRestartRunsEndAt);
}

/// Time until which the answer of an unanswered worker is awaited.
TimePoint AwaitedUntil(const DispatchShard& aShard,
                       const std::string& aName,
                       const UnansweredWorker& aWorker)
{
  const auto known = aShard.mWorkers.find(aName);
  const bool mayBeWell =
    known != aShard.mWorkers.end() && known->second.mIsListed;
  const TimePoint endAt = EndOfRuns(aWorker);
  return mayBeWell ? std::max(endAt + kUnheardEndsWait, aWorker.mAskedUntil)
                   : endAt;
}

/// True if no run on an unanswered worker lasts any more.
bool HaveRunsEnded(const DispatchShard& aShard,
                   const UnansweredWorker& aWorker,
                   TimePoint aNow)
{
  return aShard.mIsLeaseProved && aNow >= EndOfRuns(aWorker);
}

bool IsOver(const DispatchShard& aShard,
            const std::string& aName,
            const UnansweredWorker& aWorker,
            TimePoint aNow)
{
  return aShard.mIsLeaseProved && aNow >= AwaitedUntil(aShard, aName, aWorker);
}

/// True if the worker was used by an earlier owner, is unanswered, and its
/// answer is awaited.
bool IsAwaited(const DispatchShard& aShard,
               const DispatchWorker& aWorker,
               TimePoint aNow)
{
  const std::string& name = aWorker.mEntry.mWorker;
  const auto row = aShard.mUnansweredWorkers.find(name);
  return row != aShard.mUnansweredWorkers.end() &&
         !IsOver(aShard, name, row->second, aNow);
}

/// True if the worker is silent and everything that ran there has ended. While
/// this owner's lease isn't proved, another owner may renew the worker.
bool IsAbandoned(const DispatchShard& aShard,
                 const DispatchWorker& aWorker,
                 TimePoint aNow)
{
  return MustBeInactive(aShard, aWorker, aNow) && aWorker.mTasks.empty() &&
         aShard.mIsLeaseProved && aNow > RunsEndAt(aShard, aWorker, aNow) &&
         !IsAwaited(aShard, aWorker, aNow);
}

} // namespace

Duration LongestLease(const DispatchBounds& aBounds)
{
  return Stretched(aBounds.mMaxLease);
}

bool MayStartInNextIncarnation(const DispatchWorker& aWorker,
                               const RunStart& aStart,
                               TimePoint aNow)
{
  return aStart.mIsUncertain && aWorker.mEntry.mIsDraining &&
         aNow < aStart.mOrderedAt + kLateCallTime;
}

bool IsLeaseOver(const DispatchWorker& aWorker, TimePoint aNow)
{
  return aWorker.mClock == 0 ||
         (aNow > aWorker.mEarlierLeasesUntil && aNow > aWorker.mLateRunsUntil &&
          aNow > aWorker.mRestartLeasesUntil &&
          aNow > LatestTimeOf(aWorker, aWorker.mLeaseUntil));
}

TimePoint RunsEndAt(const DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow)
{
  const auto unanswered =
    aShard.mUnansweredWorkers.find(aWorker.mEntry.mWorker);
  if (unanswered != aShard.mUnansweredWorkers.end()) {
    return EndOfRuns(unanswered->second);
  }
  if (aWorker.mClock == 0) {
    return kNever;
  }
  const std::int64_t until =
    std::max(aWorker.mLeaseUntil, aWorker.mStartsUntil);
  const TimePoint ownEnd =
    std::min(LatestTimeOf(aWorker, until), aNow + LongestLease(aShard.mBounds));
  return std::max({ ownEnd,
                    aWorker.mEarlierLeasesUntil,
                    RestartRunsEndAt(aShard, aWorker, aNow) });
}

bool MustBeRecorded(const DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow)
{
  const bool isInRecord = aWorker.mIsRecorded || aWorker.mIsInactive;
  if (!isInRecord) {
    // Nothing starts on a worker that isn't recorded, so nothing runs there.
    return aWorker.mIsListed && !aWorker.mEntry.mIsDraining &&
           !MustBeInactive(aShard, aWorker, aNow);
  }
  const bool isVacated = aWorker.mEntry.mIsDraining && IsVacated(aWorker);
  return !isVacated && !IsAbandoned(aShard, aWorker, aNow);
}

bool MustBeInactive(const DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow)
{
  const bool isSilentForLong =
    IsSilent(aWorker) &&
    (aWorker.mIsInactive || aNow - aWorker.mSilentSince >= kInactiveAfter);
  return isSilentForLong || MayOutlastNextWait(aShard, aWorker);
}

void Deactivate(const DispatchShard& aShard,
                DispatchWorker& aWorker,
                std::uint64_t aLatestRevision)
{
  aWorker.mIsRecorded = false;
  if (aWorker.mIsInactive) {
    return;
  }
  const auto unanswered =
    aShard.mUnansweredWorkers.find(aWorker.mEntry.mWorker);
  const bool isAnswered = unanswered == aShard.mUnansweredWorkers.end();
  aWorker.mIsInactive = true;
  aWorker.mNoJobsAfter =
    isAnswered ? aLatestRevision : unanswered->second.mNoJobsAfter;
}

void AddActiveWorker(DispatchShard& aShard,
                     const std::string& aName,
                     const EarlierOwners& aEarlier,
                     TimePoint aUnownedSince)
{
  const DispatchBounds& bounds = aShard.mBounds;
  const Duration gracePeriod =
    aEarlier.mHaveStopped ? Duration(0) : bounds.mOwnerGracePeriod;
  const Duration longest = gracePeriod + LongestLease(bounds);
  const Duration endsIn =
    std::min(longest, aEarlier.mLeaseLimit.value_or(longest));
  aShard.mUnansweredWorkers[aName] = { aUnownedSince + endsIn,
                                       aShard.mEpoch,
                                       aShard.mClaimedAt + kUnheardEndsWait };
  aShard.mWorkers[aName].mIsRecorded = true;
}

void AddInactiveWorker(DispatchShard& aShard,
                       const std::string& aName,
                       Duration aRunsEndIn,
                       std::uint64_t aNoJobsAfter,
                       TimePoint aUnownedSince)
{
  aShard.mUnansweredWorkers[aName] = { aUnownedSince + aRunsEndIn,
                                       aNoJobsAfter,
                                       aShard.mClaimedAt + kLeastAskedFor };
  DispatchWorker& worker = aShard.mWorkers[aName];
  worker.mIsInactive = true;
  worker.mNoJobsAfter = aNoJobsAfter;
}

void OnFirstAnswer(DispatchShard& aShard,
                   DispatchWorker& aWorker,
                   TimePoint aNow)
{
  const auto row = aShard.mUnansweredWorkers.find(aWorker.mEntry.mWorker);
  if (row == aShard.mUnansweredWorkers.end()) {
    return;
  }
  aWorker.mEarlierLeasesUntil =
    std::min(row->second.mRunsEndAt, aNow + LongestLease(aShard.mBounds));
  aShard.mUnansweredWorkers.erase(row);
}

void ForgetEndedRuns(DispatchShard& aShard, TimePoint aNow)
{
  std::erase_if(aShard.mUnansweredWorkers, [&](const auto& aRow) {
    return IsOver(aShard, aRow.first, aRow.second, aNow);
  });
}

std::uint64_t LastHeldRevision(const DispatchShard& aShard, TimePoint aNow)
{
  std::uint64_t revision = 0;
  for (const auto& [name, worker] : aShard.mUnansweredWorkers) {
    if (!IsOver(aShard, name, worker, aNow)) {
      revision = std::max(revision, worker.mNoJobsAfter);
    }
  }
  return revision;
}

std::uint64_t LastHeldRevisionOfLongRunning(const DispatchShard& aShard,
                                            TimePoint aNow)
{
  std::uint64_t revision = 0;
  for (const auto& [name, worker] : aShard.mUnansweredWorkers) {
    if (!HaveRunsEnded(aShard, worker, aNow)) {
      revision = std::max(revision, worker.mNoJobsAfter);
    }
  }
  return revision;
}

TimePoint UnseenRunsEndAt(const DispatchShard& aShard,
                          const DispatchJob& aJob,
                          const DispatchTask& aTask,
                          TimePoint aNow)
{
  TimePoint endAt = aNow;
  for (const auto& [name, worker] : aShard.mUnansweredWorkers) {
    if (aJob.mCreatedAt <= worker.mNoJobsAfter) {
      endAt = std::max(endAt, EndOfRuns(worker));
    }
  }
  return std::max(aNow, std::min(endAt, aTask.mNoUnseenRunAfter));
}

TimePoint BarrierEndsAt(const DispatchShard& aShard)
{
  TimePoint endsAt = kNever;
  for (const auto& [name, worker] : aShard.mUnansweredWorkers) {
    endsAt = std::max(endsAt, AwaitedUntil(aShard, name, worker));
  }
  return endsAt;
}

bool IsBarrierClear(const DispatchShard& aShard, TimePoint aNow)
{
  return std::all_of(aShard.mUnansweredWorkers.begin(),
                     aShard.mUnansweredWorkers.end(),
                     [&](const auto& aRow) {
                       return IsOver(aShard, aRow.first, aRow.second, aNow);
                     });
}

} // namespace verbenacroft
