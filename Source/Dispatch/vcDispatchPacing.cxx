#include "vcDispatchPacing.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Shares of a serving task's target above which filling work is slowed down
/// and below which it is sped up again. The gap between them is hysteresis.
constexpr double kSlowDownAbove = 0.75;
constexpr double kSpeedUpBelow = 0.5;
constexpr std::int64_t kFirstSlowdown = 40;
constexpr std::int64_t kSpeedUpStep = 30;
constexpr std::int64_t kFullPace = 100;
/// How long a worker has to be calm before its filling work speeds up.
constexpr Duration kCalmTime{ 1'500 };
/// No further filling work is started beside a task that was disturbed.
constexpr Duration kNoFillingTime{ 5'000 };

/// Highest share of its target that a serving task on the worker has reached.
double WorstShare(DispatchShard& aShard,
                  const std::vector<RunningTask>& aRunning)
{
  double worst = 0;
  for (const auto& row : aRunning) {
    const DispatchJob* job = FindJob(aShard, row.mTask.mJob);
    const TaskKey key = KeyOf(row.mTask);
    if (job == nullptr || FindTask(aShard, key) == nullptr) {
      continue;
    }
    const StepSpec& step = StepOf(*job, key);
    if (step.mTargetMs > 0) {
      worst = std::max(worst,
                       static_cast<double>(row.mMeasured) /
                         static_cast<double>(step.mTargetMs));
    }
  }
  return worst;
}

std::int64_t NextPace(std::int64_t aPace, double aWorst)
{
  if (aWorst > kSlowDownAbove) {
    return aPace > kFirstSlowdown ? kFirstSlowdown : 0;
  }
  return std::min(kFullPace, aPace + kSpeedUpStep);
}

} // namespace

void PlanPaces(DispatchShard& aShard,
               const std::string& aWorker,
               const std::vector<RunningTask>& aRunning,
               TimePoint aNow,
               DispatchActions& aActions)
{
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  if (worker == nullptr || worker->mFillingCpu == 0) {
    return;
  }
  const double worst = WorstShare(aShard, aRunning);
  if (worst > kSpeedUpBelow) {
    worker->mCalmSince = aNow;
  }
  const bool isDisturbed = worst > kSlowDownAbove;
  const bool isCalm = aNow - worker->mCalmSince > kCalmTime;
  if (isDisturbed) {
    worker->mNoFillingUntil = aNow + kNoFillingTime;
  }
  if (!isDisturbed && !isCalm) {
    return;
  }
  for (const auto& row : aRunning) {
    const TaskKey key = KeyOf(row.mTask);
    TaskSlot* task = FindTask(aShard, key);
    const bool isHere = task != nullptr && task->mWorker == aWorker &&
                        task->mRun == row.mRun;
    if (!isHere || !StepOf(aShard.mJobs.at(key.mJob), key).mIsFilling) {
      continue;
    }
    const std::int64_t pace = NextPace(row.mPacePercent, worst);
    if (pace == row.mPacePercent) {
      continue;
    }
    spdlog::info("task.pace task={} run={} worker={} from={} to={} "
                 "worst_share={:.2f}",
                 Describe(row.mTask),
                 row.mRun,
                 aWorker,
                 row.mPacePercent,
                 pace,
                 worst);
    aActions.mPaces.push_back(
      { aWorker, { row.mTask, row.mRun, aShard.mEpoch, pace } });
  }
  if (!isDisturbed) {
    worker->mCalmSince = aNow;
  }
}

} // namespace verbenacroft
