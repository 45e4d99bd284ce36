#include "vcWorkerRuns.h"

#include "vcDispatchWorkerSet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

namespace verbenacroft {

namespace {

/// Whether a run is its task's current one.
enum class RunRole
{
  kCurrent,
  kToStop,
};

/// What a task of the step uses.
RunUse UseOf(const DispatchJob& aJob, const StepSpec& aStep)
{
  RunUse use;
  use.mNeeds = aStep.mNeeds;
  use.mIsBestEffort = aStep.mIsFilling;
  use.mIsLongRunning = aStep.mIsLasting;
  if (aStep.mTargetMs > 0) {
    use.mServingImage = aStep.mImage;
  }
  use.mTeam = aJob.mRecord.mTerms.mTeam;
  return use;
}

/// What a run of the task uses, whether its step is open or not; nothing if the
/// step isn't known.
std::optional<RunUse> FindUse(const DispatchShard& aShard, const TaskId& aTask)
{
  const auto job = aShard.mJobs.find(aTask.mJob);
  if (job == aShard.mJobs.end()) {
    return std::nullopt;
  }
  const auto& steps = job->second.mRecord.mSpec.mSteps;
  return aTask.mStep < steps.size()
           ? std::optional(UseOf(job->second, steps[aTask.mStep]))
           : std::nullopt;
}

void Add(Resources& aTotal, const Resources& aNeeds, int aSign)
{
  if (aSign > 0) {
    aTotal += aNeeds;
  } else {
    aTotal -= aNeeds;
  }
}

void CountServing(DispatchWorker& aWorker, const RunUse& aUse, int aSign)
{
  auto& count = aWorker.mServingImages[*aUse.mServingImage];
  count += static_cast<std::uint32_t>(aSign);
  if (count == 0) {
    aWorker.mServingImages.erase(*aUse.mServingImage);
  }
}

/// Adds a run to the totals of its worker and its team (`aSign` is 1) or
/// subtracts it (-1).
void Count(DispatchShard& aShard,
           DispatchWorker& aWorker,
           const RunUse& aUse,
           RunRole aRole,
           int aSign)
{
  const Resources counted = CountedNeeds(aUse.mNeeds, aUse.mIsBestEffort);
  Add(aWorker.mUsed, counted, aSign);
  if (aUse.mIsBestEffort) {
    aWorker.mBestEffortCpu += aSign * aUse.mNeeds.mMilliCpu;
  }
  if (aUse.mServingImage) {
    CountServing(aWorker, aUse, aSign);
    aWorker.mServingCpu += aSign * counted.mMilliCpu;
  } else if (aRole == RunRole::kCurrent) {
    aWorker.mOrdinaryCpu += aSign * counted.mMilliCpu;
  }
  if (aUse.mIsLongRunning && aRole == RunRole::kCurrent) {
    Add(aWorker.mLongRunning, counted, aSign);
  }
  if (!aUse.mTeam.empty()) {
    Add(aShard.mTeamUse[aUse.mTeam].mKnown, aUse.mNeeds, aSign);
  }
}

/// Time for which a run of a job that isn't known closes its worker.
Duration MaxClosedTime(const DispatchShard& aShard)
{
  return LongestLease(aShard.mBounds) + aShard.mBounds.mStopTimeout;
}

} // namespace

StepRuns RunsOfStep(const DispatchWorker& aWorker, const TaskId& aFirstTask)
{
  TaskId nextStep = aFirstTask;
  ++nextStep.mStep;
  const auto current = std::distance(aWorker.mTasks.lower_bound(aFirstTask),
                                     aWorker.mTasks.lower_bound(nextStep));
  const auto toStop =
    std::distance(aWorker.mRunsToStop.lower_bound({ aFirstTask, 0 }),
                  aWorker.mRunsToStop.lower_bound({ nextStep, 0 }));
  return { static_cast<std::uint32_t>(current),
           static_cast<std::uint32_t>(toStop) };
}

bool HasUnknownRun(const DispatchShard& aShard,
                   const DispatchWorker& aWorker,
                   TimePoint aNow)
{
  return std::any_of(aWorker.mRunsToStop.begin(),
                     aWorker.mRunsToStop.end(),
                     [&](const auto& aRow) {
                       const RunToStop& run = aRow.second;
                       return !run.mUse &&
                              aNow - run.mListedSince < MaxClosedTime(aShard);
                     });
}

void Assign(DispatchShard& aShard,
            const TaskId& aKey,
            const std::string& aWorker,
            std::uint32_t aRun)
{
  DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  DispatchTask& task = *FindTask(aShard, aKey);
  DispatchWorker& worker = aShard.mWorkers.at(aWorker);
  RemoveRunToStop(aShard, worker, { aKey, aRun });
  task.mWorker = aWorker;
  task.mRun = aRun;
  task.mHighestRun = std::max(task.mHighestRun, aRun);
  task.mOrderedThrottlePercent = 100;
  task.mProgressPercent = 0;
  task.mProgressAt = kNever;
  task.mThrottledAt = kNever;
  task.mIsProbe = false;
  task.mIsIsolated = false;
  task.mIsStartUncertain = false;
  task.mStartBrokenAt = kNever;
  task.mAwaitsRackUntil = kNever;
  task.mStopSentAt = kNever;
  task.mFirstSeenClock = 0;
  task.mSeenAtWorkFor = Duration(0);
  worker.mTasks.insert(aKey);
  Count(aShard, worker, UseOf(job, StepOf(job, aKey)), RunRole::kCurrent, 1);
  ++job.mActiveRuns;
}

void Release(DispatchShard& aShard, const TaskId& aKey, RunPhase aPhase)
{
  DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  DispatchTask& task = *FindTask(aShard, aKey);
  DispatchWorker* worker = FindWorker(aShard, task.mWorker);
  if (worker != nullptr && worker->mTasks.erase(aKey) > 0) {
    const RunUse use = UseOf(job, StepOf(job, aKey));
    Count(aShard, *worker, use, RunRole::kCurrent, -1);
    --job.mActiveRuns;
    aShard.mSilenceVersion += worker->mIsUnresponsive ? 1 : 0;
  }
  task.mWorker.clear();
  task.mIsStartUncertain = false;
  task.mStartBrokenAt = kNever;
  task.mPhase = aPhase;
}

void ReleaseToWait(DispatchShard& aShard, const TaskId& aKey, TimePoint aNow)
{
  // A start that was refused or not answered ran nothing.
  const bool wasSeen = FindTask(aShard, aKey)->mPhase != RunPhase::kStarting;
  Release(aShard, aKey, RunPhase::kWaiting);
  if (wasSeen) {
    DispatchJob& job = aShard.mJobs.at(aKey.mJob);
    NoteRunEnded(job, aNow);
    job.mLastRun = {};
  }
  FindTask(aShard, aKey)->mWaitingSince = aNow;
}

void SupersedeRun(DispatchShard& aShard,
                  const TaskId& aKey,
                  std::uint32_t aEndedRun)
{
  const DispatchTask& task = *FindTask(aShard, aKey);
  const RunKey key{ aKey, task.mRun };
  DispatchWorker& worker = aShard.mWorkers.at(task.mWorker);
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  RunToStop run;
  run.mUse = UseOf(job, StepOf(job, aKey));
  run.mStart = StartOf(task);
  run.mConfirmedAt = task.mConfirmedAt;
  run.mStopSentAt = task.mStopSentAt;
  spdlog::info("task.superseded task={} run={} worker={} ended_run={}",
               Describe(aKey),
               key.second,
               worker.mEntry.mWorker,
               aEndedRun);
  Release(aShard, aKey, RunPhase::kDone);
  Count(aShard, worker, *run.mUse, RunRole::kToStop, 1);
  worker.mRunsToStop[key] = std::move(run);
}

void NoteRunEnded(DispatchJob& aJob, TimePoint aNow)
{
  if (aJob.mActiveRuns == 0) {
    aJob.mIdleSince = aNow;
  }
}

void OnRunToStopListed(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const RunKey& aRun,
                       TimePoint aNow)
{
  DispatchTask* task = FindTask(aShard, aRun.first);
  if (task != nullptr) {
    // No later start may have the number of this run.
    task->mHighestRun = std::max(task->mHighestRun, aRun.second);
  }
  RunToStop& run = aWorker.mRunsToStop[aRun];
  ConfirmRunToStop(run, aNow);
  if (run.mListedSince == kNever) {
    run.mListedSince = aNow;
    spdlog::info("task.to-stop task={} run={} worker={}",
                 Describe(aRun.first),
                 aRun.second,
                 aWorker.mEntry.mWorker);
  }
  if (!run.mUse) {
    run.mUse = FindUse(aShard, aRun.first);
    if (run.mUse) {
      Count(aShard, aWorker, *run.mUse, RunRole::kToStop, 1);
    }
  }
}

void ConfirmRunToStop(RunToStop& aRun, TimePoint aNow)
{
  aRun.mStart.mIsUncertain = false;
  aRun.mConfirmedAt = aNow;
}

RunToStop* FindRunToStop(DispatchWorker& aWorker, const RunKey& aRun)
{
  const auto found = aWorker.mRunsToStop.find(aRun);
  return found == aWorker.mRunsToStop.end() ? nullptr : &found->second;
}

void RemoveRunToStop(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const RunKey& aRun)
{
  const auto found = aWorker.mRunsToStop.find(aRun);
  if (found == aWorker.mRunsToStop.end()) {
    return;
  }
  if (found->second.mUse) {
    Count(aShard, aWorker, *found->second.mUse, RunRole::kToStop, -1);
  }
  aWorker.mRunsToStop.erase(found);
}

} // namespace verbenacroft
