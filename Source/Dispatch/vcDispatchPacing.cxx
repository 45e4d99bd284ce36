#include "vcDispatchPacing.h"

#include "vcDispatchSharing.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Shares of a serving task's target above which filling work is slowed down
/// and below which it is sped up again. The gap between them is hysteresis.
constexpr double kSlowDownAbove = 0.95;
constexpr double kSpeedUpBelow = 0.7;
constexpr std::int64_t kFullPace = 100;
constexpr std::int64_t kSpeedUpStep = 50;
/// How long a worker has to be calm before its filling work speeds up.
constexpr Duration kCalmTime{ 1'000 };
/// No further filling work is started beside a task that was disturbed.
constexpr Duration kNoFillingTime{ 2'000 };
/// Disturbed for longer than this, all filling work on a worker rests.
constexpr Duration kDisturbedTime{ 700 };

/// A filling task on the worker and what it adds to the worst share.
struct Filling
{
  const RunningTask* mRow = nullptr;
  TaskSlot* mTask = nullptr;
  double mAdds = 0;
};

/// Image of the serving task that is closest to its target, or over it.
std::pair<std::string, double> WorstOf(const DispatchWorker& aWorker)
{
  std::pair<std::string, double> worst;
  for (const auto& [image, share] : aWorker.mServingShares) {
    if (share > worst.second) {
      worst = { image, share };
    }
  }
  return worst;
}

std::vector<Filling> FillingOn(DispatchShard& aShard,
                               const DispatchWorker& aWorker,
                               const std::vector<RunningTask>& aRunning,
                               const std::string& aImage,
                               TimePoint aNow)
{
  std::vector<Filling> rows;
  for (const auto& row : aRunning) {
    const TaskId key = row.mTask;
    TaskSlot* task = FindTask(aShard, key);
    const bool isHere = task != nullptr &&
                        task->mWorker == aWorker.mEntry.mWorker &&
                        task->mRun == row.mRun;
    if (!isHere) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    if (step.mIsFilling) {
      rows.push_back(
        { &row, task, AddedShare(aShard, aImage, step, aWorker, aNow) });
    }
  }
  std::sort(
    rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAdds > aRight.mAdds;
    });
  return rows;
}

void OrderPace(const DispatchShard& aShard,
               const std::string& aWorker,
               const Filling& aFilling,
               std::int64_t aPercent,
               double aWorst,
               TimePoint aNow,
               DispatchActions& aActions)
{
  if (aFilling.mTask->mPacePercent == aPercent) {
    return;
  }
  spdlog::info("task.pace task={} run={} worker={} from={} to={} "
               "worst_share={:.2f}",
               Describe(aFilling.mRow->mTask),
               aFilling.mRow->mRun,
               aWorker,
               aFilling.mTask->mPacePercent,
               aPercent,
               aWorst);
  aFilling.mTask->mPacePercent = aPercent;
  aFilling.mTask->mPacedAt = aNow;
  aActions.mPaces.push_back(
    { aWorker,
      { aFilling.mRow->mTask, aFilling.mRow->mRun, aShard.mEpoch, aPercent } });
}

/// Rests the tasks that add most, until what they add covers the excess.
void SlowDown(const DispatchShard& aShard,
              DispatchWorker& aWorker,
              const std::vector<Filling>& aFilling,
              double aWorst,
              TimePoint aNow,
              DispatchActions& aActions)
{
  const bool isLasting = aNow - aWorker.mDisturbedSince > kDisturbedTime;
  double excess = aWorst - kSpeedUpBelow;
  for (const auto& filling : aFilling) {
    if (excess <= 0 && !isLasting) {
      return;
    }
    if (filling.mTask->mPacePercent != 0) {
      excess -= filling.mAdds;
    }
    OrderPace(
      aShard, aWorker.mEntry.mWorker, filling, 0, aWorst, aNow, aActions);
  }
}

/// Speeds up the slowed task that adds least.
void SpeedUp(const DispatchShard& aShard,
             DispatchWorker& aWorker,
             const std::vector<Filling>& aFilling,
             double aWorst,
             TimePoint aNow,
             DispatchActions& aActions)
{
  for (auto at = aFilling.rbegin(); at != aFilling.rend(); ++at) {
    const std::int64_t pace = at->mTask->mPacePercent;
    if (pace == kFullPace) {
      continue;
    }
    const std::int64_t next = pace == kUnknownPace
                                ? kFullPace
                                : std::min(kFullPace, pace + kSpeedUpStep);
    OrderPace(
      aShard, aWorker.mEntry.mWorker, *at, next, aWorst, aNow, aActions);
    aWorker.mCalmSince = aNow;
    return;
  }
}

} // namespace

void PlanPaces(DispatchShard& aShard,
               const std::string& aWorker,
               const std::vector<RunningTask>& aRunning,
               TimePoint aNow,
               DispatchActions& aActions)
{
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  if (worker == nullptr) {
    return;
  }
  LearnSharing(aShard, *worker, aRunning, aNow);
  const auto [image, worst] = WorstOf(*worker);
  if (worst <= kSlowDownAbove) {
    worker->mDisturbedSince = aNow;
  }
  if (worst > kSpeedUpBelow) {
    worker->mCalmSince = aNow;
  }
  if (worker->mFillingCpu == 0) {
    return;
  }
  const auto filling = FillingOn(aShard, *worker, aRunning, image, aNow);
  if (worst > kSlowDownAbove) {
    worker->mNoFillingUntil = aNow + kNoFillingTime;
    SlowDown(aShard, *worker, filling, worst, aNow, aActions);
  } else if (aNow - worker->mCalmSince > kCalmTime) {
    SpeedUp(aShard, *worker, filling, worst, aNow, aActions);
  }
}

} // namespace verbenacroft
