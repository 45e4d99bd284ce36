#include "vcPlacementCost.h"

#include "vcDispatchReservations.h"
#include "vcEndAcknowledgement.h"
#include "vcIncarnationFence.h"
#include "vcRackLocality.h"
#include "vcWorkerRuns.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// No task is started on a worker whose last report is older than this.
constexpr Duration kMaxReportAge{ 1'800 };
/// A best-effort task is started only where at least this fraction of the
/// processors that it needs is free.
constexpr double kMinFreeCpuFraction = 0.9;

/// True if the room is reserved for a job that has been idle, or a task that
/// has waited, for so long that it may take the room of others' only runs.
bool TakesKeptRoom(const RoomReservation& aRoom, TimePoint aNow)
{
  return aNow - aRoom.mWaitsSince >= kTakesKeptRoomAfter;
}

} // namespace

bool HasLabel(const WorkerEntry& aEntry, const std::string& aLabel)
{
  return std::find(aEntry.mLabels.begin(), aEntry.mLabels.end(), aLabel) !=
         aEntry.mLabels.end();
}

StepNeeds NeedsOf(const DispatchShard& aShard, const TaskId& aKey)
{
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  StepNeeds needs{ { aKey.mJob, aKey.mOccurrence, aKey.mStep, 0 },
                   job,
                   StepOf(job, aKey),
                   job.mRecord.mTerms.mService,
                   PreferredRackOf(job, aKey),
                   CountedNeeds(StepOf(job, aKey)),
                   {},
                   ProbeStage::kNone,
                   nullptr,
                   false };
  if (needs.mStep.mIsFilling) {
    needs.mBestEffort = BestEffortNeedsOf(needs.mStep);
  }
  return needs;
}

bool IsUsable(const DispatchShard& aShard,
              const DispatchWorker& aWorker,
              TimePoint aNow)
{
  return aWorker.mIsListed && aWorker.mIsRecorded && aWorker.mHasAnswered &&
         !aWorker.mIsUnresponsive && !aWorker.mEntry.mIsDraining &&
         !IsHeldBack(aShard, aWorker) && aNow >= aWorker.mAvoidedUntil &&
         !IsAckOverdue(aWorker, aNow) &&
         !HasUnknownRun(aShard, aWorker, aNow) &&
         aNow - aWorker.mLastReportAt < kMaxReportAge &&
         !aShard.mEvacuated.contains(aWorker.mEntry.mDataCentre);
}

bool IsSetAside(const DispatchWorker& aWorker, TimePoint aNow)
{
  return aNow < aWorker.mQuarantinedUntil || aNow < aWorker.mReservedUntil;
}

std::uint32_t PlacesOfStep(const StepNeeds& aNeeds,
                           const DispatchWorker& aWorker)
{
  const std::uint32_t most = aNeeds.mStep.mMaxPerWorker;
  if (most == 0) {
    return aNeeds.mStep.mCount;
  }
  const StepRuns there = RunsOfStep(aWorker, aNeeds.mFirstTask);
  const std::uint32_t taken = there.mCurrent + there.mToStop;
  return most > taken ? most - taken : 0;
}

bool IsAllowed(const StepNeeds& aNeeds, const DispatchWorker& aWorker)
{
  const StepSpec& step = aNeeds.mStep;
  if (aWorker.mEntry.mService != aNeeds.mService) {
    return false;
  }
  if (!step.mRequiredLabel.empty() &&
      !HasLabel(aWorker.mEntry, step.mRequiredLabel)) {
    return false;
  }
  return PlacesOfStep(aNeeds, aWorker) > 0;
}

PlacementCost CostOf(const DispatchShard& aShard,
                     const StepNeeds& aNeeds,
                     const DispatchWorker& aWorker,
                     TimePoint aNow)
{
  const StepSpec& step = aNeeds.mStep;
  const WorkerRoom kept = aNeeds.mKept == nullptr
                            ? WorkerRoom{}
                            : aNeeds.mKept->KeptFrom(aNeeds.mJob, aWorker);
  const Resources after = aWorker.mUsed + kept.mCounted + aNeeds.mCounted;
  if (!Fits(after, aWorker.mEntry.mCapacity)) {
    return WaitReason::kNoCapacity;
  }
  const bool mayUseReserved =
    aNeeds.mIsSuccessor && !TakesKeptRoom(aWorker.mRoom, aNow);
  if (!mayUseReserved &&
      IsReservedForAnother(aShard, aWorker, aNeeds.mFirstTask, aNow)) {
    return WaitReason::kReserved;
  }
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aWorker.mEntry.mCapacity.mMilliCpu, 1));
  const double used = static_cast<double>(after.mMilliCpu) / capacity;
  const double bestEffort =
    static_cast<double>(aWorker.mBestEffortCpu) / capacity;
  constexpr double kOtherRackPenalty = 4;
  constexpr double kWarmUpPenalty = 2;
  double cost = 0;
  if (!aNeeds.mRack.empty() && !HasLabel(aWorker.mEntry, aNeeds.mRack)) {
    cost += kOtherRackPenalty;
  }
  if (aWorker.mEntry.mWarmUpMs > 0) {
    cost += kWarmUpPenalty;
  }
  if (step.mIsFilling) {
    const auto needed = aNeeds.mBestEffort.mCpu;
    const auto freeCpu =
      static_cast<double>(FreeBestEffortCpu(aWorker) - kept.mBestEffortCpu);
    if (freeCpu < needed * kMinFreeCpuFraction) {
      return WaitReason::kBestEffortCpu;
    }
    if (aNow < aWorker.mNoBestEffortUntil) {
      return WaitReason::kBestEffortPaused;
    }
    const BestEffortEffect effect =
      BestEffortEffectOf(aShard, aWorker, aNeeds.mBestEffort, aNow);
    const bool isProbe = aNeeds.mProbeStage != ProbeStage::kNone;
    const bool isKnown =
      aNeeds.mIsSuccessor && IsKnownNotToDisturb(aNeeds.mJob, step, aWorker);
    if (isProbe ? !MayProbe(aWorker, aNeeds.mProbeStage, aNow)
                : effect.mIsOverLimit && !isKnown) {
      return WaitReason::kBestEffortDisturbs;
    }
    // Prefers workers that this task disturbs less than an average best-effort
    // task would. Workers where no task disturbs the serving tasks are then
    // left to the tasks that disturb more elsewhere.
    constexpr double kRelativeEffectWeight = 4;
    return cost + 2 * effect.mAddedLoad +
           kRelativeEffectWeight * (effect.mAddedLoad - effect.mMeanEffect) -
           freeCpu / capacity;
  }
  if (step.mTargetMs > 0) {
    // Serving images differ in how much best-effort tasks disturb them. If
    // they are kept on separate workers, all best-effort tasks can use the
    // workers of the images that are not disturbed.
    const auto same = aWorker.mServingImages.count(step.mImage);
    const auto others = aWorker.mServingImages.size() - same;
    return cost + 4 * static_cast<double>(others) -
           2 * static_cast<double>(same) + 2 * bestEffort - used;
  }
  return cost + std::max(0.0, used + bestEffort - 1) * 3 + used;
}

WaitReason RefusalOf(const DispatchShard& aShard,
                     const StepNeeds& aNeeds,
                     const DispatchWorker& aWorker,
                     TimePoint aNow)
{
  if (!IsAllowed(aNeeds, aWorker)) {
    return WaitReason::kNotAllowed;
  }
  if (!IsUsable(aShard, aWorker, aNow)) {
    return WaitReason::kNoWorker;
  }
  const auto placed = CostOf(aShard, aNeeds, aWorker, aNow);
  const auto* refusal = std::get_if<WaitReason>(&placed);
  if (refusal != nullptr) {
    return *refusal;
  }
  if (IsSetAside(aWorker, aNow)) {
    return WaitReason::kSetAside;
  }
  return aNeeds.mStep.mIsGang ? WaitReason::kGang : WaitReason::kPassedOver;
}

} // namespace verbenacroft
