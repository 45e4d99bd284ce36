#include "vcShard.h"

#include <algorithm>

/// Acts on reports that batch tasks slow services down.

namespace verbenacroft {

namespace {

/// Largest slow-down of a service of the worker, as a fraction.
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

std::vector<std::string> BatchOn(const Shard& aShard,
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

/// Harm that the batch task is expected to do to the worker's services.
double HarmOf(const Shard& aShard,
              const WorkerRuntime& aWorker,
              const std::string& aTask,
              TimePoint aNow)
{
  const auto& task = aShard.mData.mPlaced.at(aTask);
  const double load = static_cast<double>(task.mResources.mMilliCpu) /
                      static_cast<double>(std::max<std::int64_t>(
                        aWorker.mInstance.mCapacity.mMilliCpu, 1));
  const Neighbour added{ KindOf(task.mOwner), load };
  double harm = 0;
  for (const auto& name : aWorker.mTasks) {
    const auto& other = aShard.mData.mPlaced.at(name);
    if (other.mKind == TaskKind::kService) {
      harm += Predict(aShard.mInterference,
                      KindOf(other.mOwner),
                      { &added, 1 },
                      0.3,
                      0.0,
                      aNow);
    }
  }
  return harm;
}

void MoveWorst(Shard& aShard, const WorkerRuntime& aWorker, TimePoint aNow)
{
  std::string worst;
  double worstHarm = 0;
  for (const auto& name : BatchOn(aShard, aWorker)) {
    const double harm = HarmOf(aShard, aWorker, name, aNow);
    if (worst.empty() || harm > worstHarm) {
      worst = name;
      worstHarm = harm;
    }
  }
  if (!worst.empty()) {
    StopTask(aShard, worst);
  }
}

void SetThrottle(Shard& aShard, WorkerRuntime& aWorker, std::int64_t aPercent)
{
  for (const auto& name : BatchOn(aShard, aWorker)) {
    aWorker.mThrottles[name] = aPercent;
  }
}

} // namespace

void RelievePressure(Shard& aShard, const ShardContext& aContext)
{
  const double limit = PressureLimit(PolicyOf(*aContext.mConfiguration));
  for (auto& [name, worker] : aShard.mWorkers) {
    const auto action = DecidePressure(
      worker.mPressure, WorstSlowdown(aShard, worker), limit, aContext.mNow);
    switch (action) {
      case PressureAction::kThrottle:
        SetThrottle(aShard, worker, kThrottlePercent);
        break;
      case PressureAction::kRelease:
        SetThrottle(aShard, worker, 100);
        break;
      case PressureAction::kMove:
        MoveWorst(aShard, worker, aContext.mNow);
        break;
      case PressureAction::kNone:
        break;
    }
  }
}

} // namespace verbenacroft
