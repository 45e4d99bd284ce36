#include "vcIncarnationFence.h"

#include "vcDispatchWorkerSet.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Longest time from now for which a run lasts that a call for an earlier
/// incarnation starts or renews, if that isn't fenced off.
Duration LongestLateRun(const DispatchShard& aShard)
{
  return kLateCallTime + LongestLease(aShard.mBounds);
}

} // namespace

std::uint64_t FencingTokenOf(const DispatchShard& aShard,
                             const DispatchWorker& aWorker)
{
  return std::max(aShard.mEpoch, aWorker.mFencingToken);
}

void NoteOwnWrite(DispatchShard& aShard, std::uint64_t aRevision)
{
  aShard.mLatestOwnWrite = std::max(aShard.mLatestOwnWrite, aRevision);
}

void OnRestart(const DispatchShard& aShard,
               DispatchWorker& aWorker,
               TimePoint aNow)
{
  if (!aWorker.mHasAnswered) {
    aWorker.mRestartLeasesUntil = aNow + LongestLease(aShard.mBounds);
    return;
  }
  aWorker.mFenceStage = FenceStage::kNeedsToken;
  aWorker.mLateRunsUntil = aNow + LongestLateRun(aShard);
}

void OnRestartListed(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     TimePoint aNow)
{
  if (aWorker.mRestartListedAt != kNever) {
    return;
  }
  aWorker.mRestartListedAt = aNow;
  const std::string& name = aWorker.mEntry.mWorker;
  const auto unanswered = aShard.mUnansweredWorkers.find(name);
  if (unanswered != aShard.mUnansweredWorkers.end()) {
    unanswered->second.mRestartRunsEndAt = aNow + LongestLateRun(aShard);
  }
  spdlog::info("worker.restart-listed worker={} incarnation={} listed={}",
               name,
               aWorker.mIncarnation,
               aWorker.mEntry.mIncarnation);
}

bool IsFencePending(const DispatchWorker& aWorker)
{
  return aWorker.mFenceStage != FenceStage::kInForce;
}

std::uint64_t TokenOfNextRenewal(const DispatchShard& aShard,
                                 DispatchWorker& aWorker)
{
  const std::uint64_t used = FencingTokenOf(aShard, aWorker);
  const bool isAvailable = aWorker.mFenceStage == FenceStage::kNeedsToken &&
                           aShard.mLatestOwnWrite > used;
  if (isAvailable) {
    aWorker.mFencingToken = aShard.mLatestOwnWrite;
    aWorker.mFenceStage = FenceStage::kAsked;
  }
  aWorker.mRenewalToken = FencingTokenOf(aShard, aWorker);
  return aWorker.mRenewalToken;
}

bool CompleteFence(const DispatchShard& aShard,
                   DispatchWorker& aWorker,
                   TimePoint aNow)
{
  const bool isAnswered = aWorker.mFenceStage == FenceStage::kAsked &&
                          aWorker.mRenewalToken == aWorker.mFencingToken;
  if (!isAnswered) {
    return false;
  }
  aWorker.mFenceStage = FenceStage::kInForce;
  aWorker.mLateRunsUntil = kNever;
  // Those starts were refused, or are in the report.
  aWorker.mStartsUntil = 0;
  aWorker.mRestartLeasesUntil = aNow + LongestLease(aShard.mBounds);
  spdlog::info("worker.fenced worker={} incarnation={} token={}",
               aWorker.mEntry.mWorker,
               aWorker.mIncarnation,
               aWorker.mFencingToken);
  return true;
}

bool MayOutlastNextWait(const DispatchShard& aShard,
                        const DispatchWorker& aWorker)
{
  return IsFencePending(aWorker) ||
         aWorker.mRestartLeasesUntil > aShard.mLeasesEndBy;
}

bool IsHeldBack(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  const bool isOtherRecorded =
    aWorker.mRecordedIncarnation != 0 && aWorker.mIncarnation != 0 &&
    aWorker.mRecordedIncarnation != aWorker.mIncarnation;
  return isOtherRecorded || MayOutlastNextWait(aShard, aWorker);
}

bool MayRunInListedIncarnation(const DispatchShard& aShard,
                               const DispatchWorker& aWorker,
                               const DispatchTask& aTask,
                               TimePoint aNow)
{
  return aTask.mIsStartUncertain && aWorker.mRestartListedAt != kNever &&
         aNow < aWorker.mRestartListedAt + LongestLateRun(aShard);
}

TimePoint RestartRunsEndAt(const DispatchShard& aShard,
                           const DispatchWorker& aWorker,
                           TimePoint aNow)
{
  const TimePoint endAt =
    std::max(aWorker.mLateRunsUntil, aWorker.mRestartLeasesUntil);
  const bool mayRun = std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskId& aKey) {
      return MayRunInListedIncarnation(
        aShard, aWorker, *FindTask(aShard, aKey), aNow);
    });
  return mayRun
           ? std::max(endAt, aWorker.mRestartListedAt + LongestLateRun(aShard))
           : endAt;
}

} // namespace verbenacroft
