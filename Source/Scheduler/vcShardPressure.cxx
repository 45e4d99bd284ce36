#include "vcShard.h"

#include <algorithm>

/// Throttling and moving of batch tasks that slow services down.

namespace verbenacroft {

namespace {

/// Returns the largest slow-down among the services on the worker, as a
/// fraction: 0 means an undisturbed run.
double WorstSlowdown(const Shard& aShard, const WorkerRuntime& aWorker)
{
  constexpr double kPercent = 100.0;
  double worst = 0;
  for (const auto& name : aWorker.mTasks) {
    const auto& runtime = aShard.mTasks.at(name);
    if (aShard.mData.mPlaced.at(name).mKind == TaskKind::kService) {
      worst = std::max(worst,
                       static_cast<double>(runtime.mSlowdown) / kPercent - 1.0);
    }
  }
  return worst;
}

std::vector<std::string> BatchTasksOn(const Shard& aShard,
                                      const WorkerRuntime& aWorker)
{
  std::vector<std::string> names;
  for (const auto& name : aWorker.mTasks) {
    if (aShard.mData.mPlaced.at(name).mKind == TaskKind::kBatch) {
      names.push_back(name);
    }
  }
  return names;
}

/// Returns the sum of the slow-downs, as fractions, that the batch task is
/// expected to cause to the services on the worker. 0.3 is the interference
/// coefficient assumed for a pair of which no slow-down was reported.
double ExpectedSlowdown(const Shard& aShard,
                        const WorkerRuntime& aWorker,
                        const std::string& aTask,
                        TimePoint aNow)
{
  const auto& task = aShard.mData.mPlaced.at(aTask);
  const double load = static_cast<double>(task.mResources.mMilliCpu) /
                      static_cast<double>(std::max<std::int64_t>(
                        aWorker.mInstance.mCapacity.mMilliCpu, 1));
  const Neighbour added{ InterferenceKindOf(task.mOwner), load };
  double slowdown = 0;
  for (const auto& name : aWorker.mTasks) {
    const auto& other = aShard.mData.mPlaced.at(name);
    if (other.mKind == TaskKind::kService) {
      slowdown += PredictSlowdown(aShard.mInterference,
                                  InterferenceKindOf(other.mOwner),
                                  { &added, 1 },
                                  0.3,
                                  0.0,
                                  aNow);
    }
  }
  return slowdown;
}

/// Stops the batch task with the largest expected slow-down of services, so
/// that it is placed again.
void MoveWorstBatchTask(Shard& aShard,
                        const WorkerRuntime& aWorker,
                        TimePoint aNow)
{
  std::string worst;
  double worstSlowdown = 0;
  for (const auto& name : BatchTasksOn(aShard, aWorker)) {
    const double slowdown = ExpectedSlowdown(aShard, aWorker, name, aNow);
    if (worst.empty() || slowdown > worstSlowdown) {
      worst = name;
      worstSlowdown = slowdown;
    }
  }
  if (!worst.empty()) {
    StopTask(aShard, worst);
  }
}

/// Throttles all batch tasks on the worker to `aPercent` of their processors.
void ThrottleBatchTasks(Shard& aShard,
                        WorkerRuntime& aWorker,
                        std::int64_t aPercent)
{
  for (const auto& name : BatchTasksOn(aShard, aWorker)) {
    aWorker.mThrottles[name] = aPercent;
  }
}

} // namespace

void RelievePressure(Shard& aShard, const ShardContext& aContext)
{
  const double limit = SlowdownLimit(PolicyOf(*aContext.mConfiguration));
  for (auto& [name, worker] : aShard.mWorkers) {
    const auto action = DecidePressureAction(
      worker.mPressure, WorstSlowdown(aShard, worker), limit, aContext.mNow);
    switch (action) {
      case PressureAction::kThrottle:
        ThrottleBatchTasks(aShard, worker, kThrottlePercent);
        break;
      case PressureAction::kRelease:
        ThrottleBatchTasks(aShard, worker, 100);
        break;
      case PressureAction::kMove:
        MoveWorstBatchTask(aShard, worker, aContext.mNow);
        break;
      case PressureAction::kNone:
        break;
    }
  }
}

} // namespace verbenacroft
