#include "vcDispatchThrottling.h"

#include "vcDispatchProbes.h"
#include "vcDispatchSharing.h"
#include "vcIncarnationFence.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Best-effort tasks are throttled until a serving task beside them is expected
/// at this latency ratio. The gap to `kThrottleAboveRatio` is hysteresis. If
/// the serving task is already disturbed, `kRecoveryRatio` is used, so that it
/// recovers at once.
constexpr double kThrottledRatio = 0.85;
/// Throttle percent of a task that runs at full speed.
constexpr double kFullSpeedPercent = 100;
/// Ordered throttle percentages are multiples of this.
constexpr std::int64_t kThrottleStepPercent = 10;
/// Maximum increase of a throttle percentage by one order.
constexpr std::int64_t kMaxRaisePercent = 50;
/// Minimum time between an order and a raise, so that the effect of the order
/// has been measured.
constexpr Duration kMinRaiseInterval{ 800 };
/// Minimum throttle percent of best-effort tasks while no serving task on the
/// worker is above `kRecoveryRatio`. Tasks that keep running show whether they
/// disturb as much as was learned.
constexpr double kMinThrottlePercent = 20;
/// The same for a probe, while no serving task is above `kThrottledRatio`;
/// lower, since it is predicted to disturb.
constexpr double kMinProbePercent = 10;
/// How long no further best-effort task is started on a worker after a serving
/// task was disturbed there.
constexpr Duration kNoBestEffortTime{ 1'000 };
/// Fraction of the latency violation limit after which all best-effort tasks on
/// the worker are suspended, regardless of what was learned about them.
constexpr double kMaxOverTargetFraction = 0.4;

/// A best-effort task on the worker and the throttle percent chosen for it.
struct BestEffortTask
{
  const RunningTask* mRow = nullptr;
  DispatchTask* mTask = nullptr;
  BestEffortNeeds mNeeds;
  double mPercent = kFullSpeedPercent;
};

std::vector<BestEffortTask> BestEffortTasksOn(
  DispatchShard& aShard,
  const DispatchWorker& aWorker,
  const std::vector<RunningTask>& aRunning)
{
  std::vector<BestEffortTask> rows;
  for (const auto& row : aRunning) {
    const TaskId key = row.mTask;
    DispatchTask* task = FindTask(aShard, key);
    const bool isHere = task != nullptr &&
                        task->mWorker == aWorker.mEntry.mWorker &&
                        task->mRun == row.mRun;
    if (!isHere) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    if (step.mIsFilling) {
      rows.push_back(
        { &row, task, BestEffortNeedsOf(step), kFullSpeedPercent });
    }
  }
  return rows;
}

double ThrottlePercentOf(const DispatchTask& aTask)
{
  return aTask.mOrderedThrottlePercent == kUnknownThrottlePercent
           ? kFullSpeedPercent
           : static_cast<double>(aTask.mOrderedThrottlePercent);
}

/// A best-effort task and the load that it adds to a serving image at full
/// speed.
using AddingTask = std::pair<double, BestEffortTask*>;

/// The tasks that disturb a serving image: probes first, then those that add
/// the most load.
std::vector<AddingTask> DisturbingTasks(
  const DispatchShard& aShard,
  const DispatchWorker& aWorker,
  const ServingLatency& aLatency,
  std::vector<BestEffortTask>& aBestEffort,
  TimePoint aNow)
{
  std::vector<AddingTask> disturbing;
  for (auto& task : aBestEffort) {
    const double added =
      AddedLoad(aShard, aLatency, task.mNeeds, aWorker, aNow);
    if (added >= kMinAddedLoad) {
      disturbing.emplace_back(added, &task);
    }
  }
  std::sort(disturbing.begin(),
            disturbing.end(),
            [](const AddingTask& aLeft, const AddingTask& aRight) {
              return std::pair(aLeft.second->mTask->mIsProbe, aLeft.first) >
                     std::pair(aRight.second->mTask->mIsProbe, aRight.first);
            });
  return disturbing;
}

/// Lowers throttle percents in order until the load that the tasks add is less
/// by the excess.
void ReduceAddedLoad(const std::vector<AddingTask>& aTasks, double aExcess)
{
  for (const auto& [added, task] : aTasks) {
    if (aExcess <= 0) {
      return;
    }
    const double reduction = std::min(added, aExcess);
    aExcess -= reduction;
    task->mPercent =
      std::min(task->mPercent, kFullSpeedPercent * (1 - reduction / added));
  }
}

/// Chooses lower throttle percents, starting with probes and the tasks that add
/// the most load to a serving image, until the image is expected to stay at
/// `kThrottledRatio`, or at `kRecoveryRatio` if it is disturbed now.
void ThrottleForImage(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      const std::string& aImage,
                      const ServingLatency& aLatency,
                      std::vector<BestEffortTask>& aBestEffort,
                      TimePoint aNow)
{
  auto disturbing =
    DisturbingTasks(aShard, aWorker, aLatency, aBestEffort, aNow);
  double addedAtFullSpeed = 0;
  double removedByThrottles = 0;
  for (const auto& [added, task] : disturbing) {
    addedAtFullSpeed += added;
    removedByThrottles +=
      added * (1 - ThrottlePercentOf(*task->mTask) / kFullSpeedPercent);
  }
  const ServingProfile& profile = aShard.mServingProfiles.at(aImage);
  const double addable =
    LoadAtLatencyRatio(profile, kThrottledRatio) - addedAtFullSpeed;
  const double ownLoad =
    std::max(aLatency.mLoad - aLatency.mAddedLoad, profile.mMeanLoad);
  double excess = ownLoad - addable;
  if (aLatency.mWorstRatio > kThrottleAboveRatio) {
    excess = std::max(excess,
                      aLatency.mLoad + removedByThrottles -
                        LoadAtLatencyRatio(profile, kRecoveryRatio));
  }
  ReduceAddedLoad(disturbing, excess);
  // Placement didn't leave room for the image's high load beside probes.
  std::erase_if(disturbing, [](const AddingTask& aTask) {
    return !aTask.second->mTask->mIsProbe;
  });
  ReduceAddedLoad(disturbing, std::max(ownLoad, profile.mHighLoad) - addable);
}

/// Chooses lower throttle percents, starting with the tasks that have the least
/// progress, if the worker has too few free processors for all of them.
void ThrottleForCpu(const DispatchWorker& aWorker,
                    std::vector<BestEffortTask>& aBestEffort)
{
  double excess = -BestEffortCpuLimit(aWorker);
  for (const auto& task : aBestEffort) {
    excess += task.mNeeds.mCpu * task.mPercent / kFullSpeedPercent;
  }
  std::sort(aBestEffort.begin(),
            aBestEffort.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mRow->mProgressPercent <
                     aRight.mRow->mProgressPercent;
            });
  for (auto& task : aBestEffort) {
    if (excess <= 0) {
      return;
    }
    const double used = task.mNeeds.mCpu * task.mPercent / kFullSpeedPercent;
    const double reduction = std::min(used, excess);
    excess -= reduction;
    task.mPercent -=
      kFullSpeedPercent * reduction / std::max(task.mNeeds.mCpu, 1.0);
  }
}

/// Orders the throttle percent that was chosen for a task, rounded down to a
/// multiple of `kThrottleStepPercent`. A reduction is ordered at once; a raise
/// is limited in size and follows the last order after a minimum time.
void OrderThrottle(const DispatchShard& aShard,
                   const DispatchWorker& aWorker,
                   const BestEffortTask& aTask,
                   double aWorst,
                   TimePoint aNow,
                   DispatchActions& aActions)
{
  DispatchTask& task = *aTask.mTask;
  const auto target = static_cast<std::int64_t>(aTask.mPercent) /
                      kThrottleStepPercent * kThrottleStepPercent;
  const bool isRaise = target > task.mOrderedThrottlePercent;
  const bool isKnown = task.mOrderedThrottlePercent != kUnknownThrottlePercent;
  const bool isTooSoon =
    isRaise && isKnown && aNow - task.mThrottledAt < kMinRaiseInterval;
  if (target == task.mOrderedThrottlePercent || isTooSoon) {
    return;
  }
  const std::int64_t percent =
    isRaise && isKnown
      ? std::min(target, task.mOrderedThrottlePercent + kMaxRaisePercent)
      : target;
  spdlog::info("task.throttle task={} run={} worker={} from={} to={} "
               "worst_latency_ratio={:.2f} serving_use_mcpu={:.0f}",
               Describe(aTask.mRow->mTask),
               aTask.mRow->mRun,
               aWorker.mEntry.mWorker,
               task.mOrderedThrottlePercent,
               percent,
               aWorst,
               aWorker.mServingCpuUsage.mCurrentCpu);
  task.mOrderedThrottlePercent = percent;
  task.mThrottledAt = aNow;
  aActions.mThrottleOrders.push_back({ aWorker.mEntry.mWorker,
                                       { aTask.mRow->mTask,
                                         aTask.mRow->mRun,
                                         FencingTokenOf(aShard, aWorker),
                                         percent } });
}

/// Minimum throttle percent of a best-effort task at the worst latency ratio on
/// its worker.
double MinThrottlePercent(const DispatchTask& aTask, double aWorst)
{
  if (aTask.mIsProbe) {
    return aWorst <= kThrottledRatio ? kMinProbePercent : 0;
  }
  return aWorst <= kRecoveryRatio ? kMinThrottlePercent : 0;
}

/// Maximum throttle percent: a probe has to be measured at a low one first.
double MaxThrottlePercent(const DispatchTask& aTask)
{
  const bool isNewProbe = aTask.mIsProbe && aTask.mThrottledAt == kNever;
  return isNewProbe ? static_cast<double>(kProbeStartPercent)
                    : kFullSpeedPercent;
}

bool IsOverTargetTooLong(const DispatchShard& aShard,
                         const DispatchWorker& aWorker,
                         TimePoint aNow)
{
  const auto limit =
    static_cast<double>(aShard.mBounds.mMaxOverTarget.count()) *
    kMaxOverTargetFraction;
  const auto elapsed =
    static_cast<double>((aNow - aWorker.mOverTargetSince).count());
  return elapsed > limit;
}

/// Chooses the throttle percent of each best-effort task on the worker.
void ChooseThrottles(const DispatchShard& aShard,
                     const DispatchWorker& aWorker,
                     double aWorst,
                     std::vector<BestEffortTask>& aBestEffort,
                     TimePoint aNow)
{
  for (const auto& [image, latency] : aWorker.mServingLatencies) {
    ThrottleForImage(aShard, aWorker, image, latency, aBestEffort, aNow);
  }
  if (aWorker.mServingCpu > 0) {
    ThrottleForCpu(aWorker, aBestEffort);
  }
  const bool isOverTooLong = IsOverTargetTooLong(aShard, aWorker, aNow);
  for (auto& row : aBestEffort) {
    if (isOverTooLong) {
      row.mPercent = 0;
      continue;
    }
    row.mPercent = std::clamp(row.mPercent,
                              MinThrottlePercent(*row.mTask, aWorst),
                              MaxThrottlePercent(*row.mTask));
  }
}

} // namespace

void PlanThrottles(DispatchShard& aShard,
                   const std::string& aWorker,
                   const std::vector<RunningTask>& aRunning,
                   TimePoint aNow,
                   DispatchActions& aActions)
{
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  // A worker of an earlier owner may report before discovery has listed it.
  const bool isCapacityKnown =
    worker != nullptr && worker->mEntry.mCapacity.mMilliCpu > 0;
  if (!isCapacityKnown) {
    return;
  }
  LearnFromReport(aShard, *worker, aRunning, aNow);
  const double worst = WorstLatencyRatio(*worker);
  if (worst <= kThrottleAboveRatio) {
    worker->mOverTargetSince = aNow;
  }
  if (worker->mBestEffortCpu == 0) {
    return;
  }
  auto bestEffort = BestEffortTasksOn(aShard, *worker, aRunning);
  ChooseThrottles(aShard, *worker, worst, bestEffort, aNow);
  bool isThrottled = IsOverTargetTooLong(aShard, *worker, aNow);
  for (const auto& row : bestEffort) {
    isThrottled = isThrottled || row.mPercent < ThrottlePercentOf(*row.mTask);
    OrderThrottle(aShard, *worker, row, worst, aNow, aActions);
  }
  if (isThrottled && worst > kThrottleAboveRatio) {
    worker->mNoBestEffortUntil = aNow + kNoBestEffortTime;
  }
}

} // namespace verbenacroft
