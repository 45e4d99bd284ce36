#include "vcProbeStarts.h"

#include "vcDispatchJobs.h"
#include "vcDispatchProbes.h"
#include "vcTeamQuota.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace verbenacroft {

namespace {

/// Starts one task of a best-effort step as a probe, if a worker is eligible.
void StartProbe(DispatchShard& aShard,
                const TaskId& aFirstTask,
                std::size_t aIdleJobs,
                Round& aRound,
                DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const DispatchStep& state = StepStateOf(aShard, aFirstTask);
  const ProbeStage stage =
    ProbeStageOf(job, aFirstTask, aRound.mNow, aRound.mNowMs);
  FailedPlacements& failed =
    aRound.mFailedProbes.at(static_cast<std::size_t>(stage));
  const StepSpec& step = StepOf(job, aFirstTask);
  const bool mayStart =
    MayTeamStart(aShard, job, step, 1) &&
    !failed.IsKnownToFail(job.mRecord.mTerms.mService, step);
  if (!mayStart) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  needs.mProbeStage = stage;
  TaskId key = aFirstTask;
  key.mIndex = FirstWaiting(job, state, aRound);
  const DispatchTask& task = state.mTasks[key.mIndex];
  StepWorkers workers(
    aShard, needs, aRound.mUsable[needs.mService], aRound.mNow);
  DispatchWorker* worker = workers.TakeBest(task.mAvoidedWorker);
  if (worker == nullptr) {
    if (needs.mStep.mMaxPerWorker == 0) {
      failed.Record(needs.mService, needs.mStep);
    }
    return;
  }
  StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
  RecordProbe(aShard, *worker, key, aIdleJobs, aRound.mNow);
}

/// A step that has waited for long enough to start a probe.
struct StarvedStep
{
  /// Other tasks of its job run.
  bool mIsBesideRuns = false;
  /// Since when its job has been idle or, beside other runs, since when no task
  /// of the step was started.
  TimePoint mSince{ 0 };
  TaskId mFirstTask;
};

bool ProbesBefore(const StarvedStep& aLeft, const StarvedStep& aRight)
{
  return std::tie(aLeft.mIsBesideRuns, aLeft.mSince, aLeft.mFirstTask) <
         std::tie(aRight.mIsBesideRuns, aRight.mSince, aRight.mFirstTask);
}

/// Notes the best-effort steps among the candidates that still have waiting
/// tasks, and returns those that have waited long enough for a probe. Steps of
/// idle jobs come first, then those that have waited longest.
std::vector<StarvedStep> StarvedSteps(DispatchShard& aShard,
                                      const std::vector<Candidate>& aCandidates,
                                      const Round& aRound)
{
  const TimePoint now = aRound.mNow;
  std::vector<StarvedStep> starved;
  for (const auto& candidate : aCandidates) {
    const TaskId& key = candidate.mFirstTask;
    const DispatchJob& job = aShard.mJobs.at(key.mJob);
    const StepSpec& step = StepOf(job, key);
    DispatchStep& state = StepStateOf(aShard, key);
    const bool mayProbe = step.mIsFilling && !step.mIsGang;
    if (!mayProbe || FirstWaiting(job, state, aRound) == state.mTasks.size()) {
      continue;
    }
    if (state.mStarvedSince == kNever) {
      state.mStarvedSince = now;
    }
    if (ProbeStageOf(job, key, now, aRound.mNowMs) == ProbeStage::kNone) {
      continue;
    }
    const bool isBesideRuns = job.mActiveRuns > 0;
    const TimePoint since = isBesideRuns
                              ? state.mStarvedSince
                              : IdleSince(job, key, now, aRound.mNowMs);
    starved.push_back({ isBesideRuns, since, key });
  }
  std::sort(starved.begin(), starved.end(), ProbesBefore);
  return starved;
}

/// Number of jobs among the steps that have nothing running.
std::size_t CountIdleJobs(const std::vector<StarvedStep>& aSteps)
{
  std::set<std::string_view> jobs;
  for (const auto& step : aSteps) {
    if (!step.mIsBesideRuns) {
      jobs.insert(step.mFirstTask.mJob);
    }
  }
  return jobs.size();
}

} // namespace

void StartProbes(DispatchShard& aShard,
                 const std::vector<Candidate>& aCandidates,
                 Round& aRound,
                 DispatchActions& aActions)
{
  const auto starved = StarvedSteps(aShard, aCandidates, aRound);
  const std::size_t idleJobs = CountIdleJobs(starved);
  for (const auto& step : starved) {
    if (!IsProbeDue(aShard, aRound.mNow)) {
      return;
    }
    // A probe of another step of the job may have been started.
    const TaskId& key = step.mFirstTask;
    const DispatchJob& job = aShard.mJobs.at(key.mJob);
    const ProbeStage stage = ProbeStageOf(job, key, aRound.mNow, aRound.mNowMs);
    if (stage != ProbeStage::kNone) {
      StartProbe(
        aShard, key, job.mActiveRuns > 0 ? 0 : idleJobs, aRound, aActions);
    }
  }
}

} // namespace verbenacroft
