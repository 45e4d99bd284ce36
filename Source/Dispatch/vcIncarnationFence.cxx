#include "vcIncarnationFence.h"

#include "vcDispatchWorkerSet.h"
#include "vcWorkerRuns.h"

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

/// The worker's answer has shown that it refuses calls for earlier incarnations
/// from now on.
void PutInForce(const DispatchShard& aShard,
                DispatchWorker& aWorker,
                TimePoint aNow)
{
  aWorker.mFenceStage = FenceStage::kInForce;
  aWorker.mLateRunsUntil = kNever;
  aWorker.mRestartLeasesUntil = aNow + LongestLease(aShard.mBounds);
  spdlog::info("worker.fenced worker={} token={}",
               aWorker.mEntry.mWorker,
               FencingTokenOf(aShard, aWorker));
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

bool OnRestart(const DispatchShard& aShard,
               DispatchWorker& aWorker,
               TimePoint aNow)
{
  if (aWorker.mIsTokenUnused) {
    PutInForce(aShard, aWorker, aNow);
    return true;
  }
  aWorker.mFenceStage = FenceStage::kNeedsToken;
  aWorker.mLateRunsUntil = aNow + LongestLateRun(aShard);
  return false;
}

void OnUnmetRestart(DispatchShard& aShard,
                    DispatchWorker& aWorker,
                    TimePoint aNow)
{
  if (aWorker.mUnmetRestartAt != kNever) {
    return;
  }
  aWorker.mUnmetRestartAt = aNow;
  const std::string& name = aWorker.mEntry.mWorker;
  const auto unanswered = aShard.mUnansweredWorkers.find(name);
  if (unanswered != aShard.mUnansweredWorkers.end()) {
    unanswered->second.mRestartRunsEndAt = aNow + LongestLateRun(aShard);
  }
  spdlog::info("worker.restart-unmet worker={} incarnation={} listed={}",
               name,
               aWorker.mIncarnation,
               aWorker.mEntry.mIncarnation);
}

bool IsFencePending(const DispatchWorker& aWorker)
{
  return aWorker.mFenceStage != FenceStage::kInForce;
}

bool NeedsToken(const DispatchShard& aShard)
{
  return std::any_of(
    aShard.mWorkers.begin(), aShard.mWorkers.end(), [&](const auto& aRow) {
      const DispatchWorker& worker = aRow.second;
      return worker.mFenceStage == FenceStage::kNeedsToken &&
             aShard.mLatestOwnWrite <= FencingTokenOf(aShard, worker);
    });
}

std::uint64_t TokenOfNextRenewal(const DispatchShard& aShard,
                                 DispatchWorker& aWorker)
{
  const std::uint64_t used = FencingTokenOf(aShard, aWorker);
  const bool isWanted = aWorker.mFenceStage == FenceStage::kNeedsToken ||
                        (aWorker.mIsUnresponsive && !aWorker.mIsTokenUnused);
  if (isWanted && aShard.mLatestOwnWrite > used) {
    aWorker.mFencingToken = aShard.mLatestOwnWrite;
    aWorker.mIsTokenUnused = true;
    if (IsFencePending(aWorker)) {
      aWorker.mFenceStage = FenceStage::kAsked;
    }
  }
  return FencingTokenOf(aShard, aWorker);
}

bool CompleteFence(const DispatchShard& aShard,
                   DispatchWorker& aWorker,
                   TimePoint aNow)
{
  // The last renewal had the new token: it was chosen with that.
  if (aWorker.mFenceStage != FenceStage::kAsked) {
    return false;
  }
  PutInForce(aShard, aWorker, aNow);
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
  const bool isOtherListed = aWorker.mIncarnation != 0 &&
                             aWorker.mEntry.mIncarnation > aWorker.mIncarnation;
  const bool isUnmet = aWorker.mUnmetRestartAt != kNever;
  return isOtherRecorded || isOtherListed || isUnmet ||
         MayOutlastNextWait(aShard, aWorker);
}

bool MayRunInUnmetIncarnation(const DispatchShard& aShard,
                              const DispatchWorker& aWorker,
                              const RunStart& aStart,
                              TimePoint aNow)
{
  return aStart.mIsUncertain && aWorker.mUnmetRestartAt != kNever &&
         aNow < aWorker.mUnmetRestartAt + LongestLateRun(aShard);
}

TimePoint RestartRunsEndAt(const DispatchShard& aShard,
                           const DispatchWorker& aWorker,
                           TimePoint aNow)
{
  const TimePoint endAt =
    std::max(aWorker.mLateRunsUntil, aWorker.mRestartLeasesUntil);
  const bool mayRun = AnyStart(aShard, aWorker, [&](const RunStart& aStart) {
    return MayRunInUnmetIncarnation(aShard, aWorker, aStart, aNow);
  });
  return mayRun
           ? std::max(endAt, aWorker.mUnmetRestartAt + LongestLateRun(aShard))
           : endAt;
}

} // namespace verbenacroft
