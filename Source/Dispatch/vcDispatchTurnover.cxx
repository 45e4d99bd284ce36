#include "vcDispatchTurnover.h"

#include "vcDispatchPlacement.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// A start this long after the end of a run doesn't count as taking its room.
constexpr Duration kMaxTakeOverTime{ 400 };

std::uint32_t CountRuns(const DispatchJob& aJob)
{
  const auto& steps = aJob.mRecord.mSpec.mSteps;
  const bool isLongRunning =
    std::any_of(steps.begin(), steps.end(), [](const StepSpec& aStep) {
      return aStep.mIsLasting;
    });
  return isLongRunning ? 0 : aJob.mActiveRuns;
}

} // namespace

void CountRunEnd(DispatchShard& aShard,
                 const TaskId& aKey,
                 const std::string& aWorker,
                 TimePoint aNow)
{
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  const bool isOnlyRun = job.mActiveRuns == 0 && !IsFinal(job.mState) &&
                         !StepOf(job, aKey).mIsLasting;
  if (!isOnlyRun || worker == nullptr) {
    return;
  }
  ++aShard.mTurnover.mOnlyRunsEnded;
  worker->mLeftBy = aKey.mJob;
  worker->mLeftAt = aNow;
}

void CountStart(DispatchShard& aShard,
                const TaskId& aKey,
                DispatchWorker& aWorker,
                TimePoint aNow)
{
  RoomTurnover& turnover = aShard.mTurnover;
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  if (!aWorker.mLeftBy.empty()) {
    const bool isInTime = aNow - aWorker.mLeftAt <= kMaxTakeOverTime;
    const bool isSameJob = aWorker.mLeftBy == aKey.mJob;
    turnover.mTakenBySameJob += isInTime && isSameJob ? 1 : 0;
    turnover.mTakenByOthers += isInTime && !isSameJob ? 1 : 0;
    aWorker.mLeftBy.clear();
  }
  const bool endsIdleTime = job.mActiveRuns == 0 &&
                            job.mState == BatchState::kRunning &&
                            !StepOf(job, aKey).mIsLasting;
  if (endsIdleTime) {
    const Duration idle = aNow - job.mIdleSince;
    ++turnover.mIdleTimes;
    turnover.mIdleSum += idle;
    turnover.mLongestIdle = std::max(turnover.mLongestIdle, idle);
  }
}

JobsByRuns CountJobsByRuns(const DispatchShard& aShard,
                           TimePoint aNow,
                           std::int64_t aNowMs)
{
  JobsByRuns counts;
  for (const auto& [id, job] : aShard.mJobs) {
    if (IsFinal(job.mState)) {
      continue;
    }
    const std::uint32_t runs = CountRuns(job);
    const bool isWaiting = !ReadySteps(aShard, job, aNowMs).empty();
    counts.mRuns += runs;
    counts.mIdle += job.mActiveRuns == 0 && isWaiting ? 1 : 0;
    counts.mWithOneRun += runs == 1 ? 1 : 0;
    counts.mWithTwoRuns += runs == 2 ? 1 : 0;
    counts.mWithMoreRuns += runs > 2 ? 1 : 0;
    counts.mOnTimeAndWaiting += isWaiting && aNow < job.mObjectiveAt ? 1 : 0;
  }
  return counts;
}

} // namespace verbenacroft
