#include "vcRackLocality.h"

#include "vcPlacementCandidates.h"
#include "vcPlacementCost.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Time from the end of a run until its place can be used: the worker reports
/// it and the next round of starts follows.
constexpr double kReportMs = 30;

/// When the run of a task is expected to end.
TimePoint ExpectedEndOf(const DispatchShard& aShard,
                        const DispatchJob& aJob,
                        const TaskId& aKey,
                        const DispatchTask& aTask)
{
  const double runMs = ExpectedRunMs(aShard, aJob, StepOf(aJob, aKey));
  return aTask.mStartOrderedAt + Duration(static_cast<std::int64_t>(runMs));
}

/// Adds the runs of one worker whose ends are expected after `aNow`. An overdue
/// run may take any time.
void AddExpectedEnds(const DispatchShard& aShard,
                     const DispatchWorker& aWorker,
                     TimePoint aNow,
                     std::vector<ExpectedEnd>& aEnds)
{
  for (const auto& key : aWorker.mTasks) {
    const DispatchTask* task = FindTask(aShard, key);
    if (task == nullptr) {
      continue;
    }
    const DispatchJob& job = aShard.mJobs.at(key.mJob);
    const StepSpec& step = StepOf(job, key);
    if (step.mIsLasting) {
      continue;
    }
    const TimePoint endsAt = ExpectedEndOf(aShard, job, key, *task);
    if (endsAt > aNow) {
      const std::int64_t bestEffortCpu =
        step.mIsFilling ? step.mNeeds.mMilliCpu : 0;
      aEnds.push_back(
        { endsAt, &aWorker, CountedNeeds(step), bestEffortCpu, false });
    }
  }
}

/// The expected ends on the workers of a rack, in their order.
std::vector<ExpectedEnd>& EndsOnRack(const DispatchShard& aShard,
                                     const std::string& aRack,
                                     RackPlaces& aPlaces,
                                     TimePoint aNow)
{
  const auto known = aPlaces.mEnds.find(aRack);
  if (known != aPlaces.mEnds.end()) {
    return known->second;
  }
  std::vector<ExpectedEnd>& ends = aPlaces.mEnds[aRack];
  for (const auto& [name, worker] : aShard.mWorkers) {
    if (HasLabel(worker.mEntry, aRack) && IsUsable(aShard, worker, aNow) &&
        !IsSetAside(worker, aNow)) {
      AddExpectedEnds(aShard, worker, aNow, ends);
    }
  }
  std::sort(
    ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mEndsAt < aRight.mEndsAt;
    });
  return ends;
}

/// True if a task of the step fits on the worker once the run has ended.
bool FitsAfter(const StepNeeds& aNeeds, const ExpectedEnd& aEnd)
{
  const DispatchWorker& worker = *aEnd.mWorker;
  const Resources after = worker.mUsed - aEnd.mLeaves + aNeeds.mCounted;
  if (!Fits(after, worker.mEntry.mCapacity)) {
    return false;
  }
  const double freeCpu =
    static_cast<double>(FreeBestEffortCpu(worker) + aEnd.mLeavesBestEffortCpu);
  return !aNeeds.mStep.mIsFilling || freeCpu >= aNeeds.mBestEffort.mCpu;
}

/// The first expected end that leaves a place for the task and that no other
/// task waits for, or null.
ExpectedEnd* FirstPlace(const StepNeeds& aNeeds,
                        std::vector<ExpectedEnd>& aEnds,
                        TimePoint aLatest)
{
  for (auto& end : aEnds) {
    if (end.mEndsAt > aLatest) {
      return nullptr;
    }
    if (!end.mIsTaken && IsAllowed(aNeeds, *end.mWorker) &&
        FitsAfter(aNeeds, end)) {
      return &end;
    }
  }
  return nullptr;
}

/// True if a task of the step may wait at all: one that may not wait is started
/// wherever there is room.
bool MayAwait(const DispatchShard& aShard,
              const StepNeeds& aNeeds,
              TimePoint aNow)
{
  const DispatchJob& job = aNeeds.mJob;
  const bool isIdleForLong =
    job.mActiveRuns == 0 && aNow - job.mIdleSince >= kTurnAfter;
  return aShard.mBounds.mFarFactor > 1 && !aNeeds.mRack.empty() &&
         !aNeeds.mStep.mIsLasting && !isIdleForLong &&
         HasLearnedRunTime(aShard, job);
}

void LogWait(const TaskId& aTask,
             const std::string& aRack,
             double aNearMs,
             double aFactor,
             double aPlaceInMs,
             double aWaitMs)
{
  spdlog::info("task.awaits-rack task={} rack={} near_ms={:.0f} factor={} "
               "place_in_ms={:.0f} at_most_ms={:.0f}",
               Describe(aTask),
               aRack,
               aNearMs,
               aFactor,
               aPlaceInMs,
               aWaitMs);
}

} // namespace

std::string PreferredRackOf(const DispatchJob& aJob, const TaskId& aFirstTask)
{
  return StepOf(aJob, aFirstTask).mPreferredRack;
}

double PayingWaitMs(double aNearMs,
                    double aFarFactor,
                    std::optional<double> aPlaceInMs)
{
  const double lossMs = (aFarFactor - 1) * aNearMs;
  const double mostMs =
    std::min(lossMs, static_cast<double>(kTurnAfter.count()));
  const bool isInTime = aPlaceInMs && *aPlaceInMs + kReportMs < mostMs;
  return isInTime ? mostMs : 0;
}

bool AwaitsRack(DispatchShard& aShard,
                const StepNeeds& aNeeds,
                const TaskId& aTask,
                const DispatchWorker& aBest,
                RackPlaces& aPlaces,
                TimePoint aNow)
{
  DispatchTask& task = *FindTask(aShard, aTask);
  const bool isOver =
    task.mAwaitsRackUntil != kNever && aNow >= task.mAwaitsRackUntil;
  if (isOver || !MayAwait(aShard, aNeeds, aNow) ||
      HasLabel(aBest.mEntry, aNeeds.mRack)) {
    return false;
  }
  const double nearMs = ExpectedRunMs(aShard, aNeeds.mJob, aNeeds.mStep);
  const double factor = aShard.mBounds.mFarFactor;
  const bool isWaiting = task.mAwaitsRackUntil != kNever;
  const TimePoint latest =
    isWaiting
      ? task.mAwaitsRackUntil
      : aNow + Duration(static_cast<std::int64_t>((factor - 1) * nearMs));
  ExpectedEnd* place =
    FirstPlace(aNeeds, EndsOnRack(aShard, aNeeds.mRack, aPlaces, aNow), latest);
  const auto placeInMs =
    place == nullptr
      ? std::nullopt
      : std::optional(static_cast<double>((place->mEndsAt - aNow).count()));
  const double waitMs = PayingWaitMs(nearMs, factor, placeInMs);
  if (waitMs == 0) {
    // A wait that has begun doesn't begin anew.
    task.mAwaitsRackUntil = isWaiting ? aNow : kNever;
    return false;
  }
  place->mIsTaken = true;
  if (!isWaiting) {
    task.mAwaitsRackUntil = aNow + Duration(static_cast<std::int64_t>(waitMs));
    LogWait(aTask, aNeeds.mRack, nearMs, factor, *placeInMs, waitMs);
  }
  return true;
}

} // namespace verbenacroft
