#include "vcShardLog.h"

#include "vcDispatch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

/// What runs on a worker, for a look at how tasks share it: kind, image,
/// needed processors, measurement, pace and progress of each.
void LogReport(DispatchShard& aShard,
               const std::string& aWorker,
               const WorkerReport& aReport)
{
  if (!spdlog::should_log(spdlog::level::debug)) {
    return;
  }
  std::string rows;
  for (const auto& row : aReport.mRunning) {
    const TaskId key = row.mTask;
    const TaskSlot* task = FindTask(aShard, key);
    if (task == nullptr) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    const char* kind = step.mTargetMs > 0 ? "S" : step.mIsFilling ? "F" : "P";
    rows += fmt::format("{}:{}:{}:{}:{}:{}:{};",
                        kind,
                        step.mImage,
                        step.mNeeds.mMilliCpu,
                        row.mMeasured,
                        task->mPacePercent,
                        step.mTargetMs,
                        row.mProgressPercent);
  }
  spdlog::debug("worker.report worker={} capacity_mcpu={} rows={}",
                aWorker,
                aShard.mWorkers.at(aWorker).mEntry.mCapacity.mMilliCpu,
                rows);
}

/// One line that says how full the shard is.
void LogLoad(const DispatchShard& aShard, std::uint32_t aNumber)
{
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t filling = 0;
  std::size_t runs = 0;
  std::size_t silent = 0;
  std::size_t serving = 0;
  std::size_t servingWorkers = 0;
  std::size_t mixedWorkers = 0;
  std::size_t noFilling = 0;
  std::int64_t room = 0;
  double servingUse = 0;
  for (const auto& [name, worker] : aShard.mWorkers) {
    capacity += worker.mEntry.mCapacity.mMilliCpu;
    used += worker.mUsed.mMilliCpu;
    filling += worker.mFillingCpu;
    runs += worker.mTasks.size();
    for (const auto& [image, count] : worker.mServingImages) {
      serving += count;
    }
    servingWorkers += worker.mServingImages.empty() ? 0 : 1;
    mixedWorkers += worker.mServingImages.size() > 1 ? 1 : 0;
    silent += worker.mIsSilent ? 1 : 0;
    room += std::max<std::int64_t>(FillingRoom(worker), 0);
    servingUse += worker.mServingUse.mNow;
    noFilling += worker.mNoFillingUntil > SuspendAwareNow() ? 1 : 0;
  }
  spdlog::info(
    "shard.load shard={} workers={} silent={} capacity_mcpu={} "
    "used_mcpu={} filling_mcpu={} filling_room_mcpu={} "
    "serving_use_mcpu={:.0f} runs={} serving={} "
    "serving_workers={} mixed_workers={} no_filling_workers={} jobs={}",
    aNumber,
    aShard.mWorkers.size(),
    silent,
    capacity,
    used,
    filling,
    room,
    servingUse,
    runs,
    serving,
    servingWorkers,
    mixedWorkers,
    noFilling,
    aShard.mJobs.size());
  for (const auto& [image, profile] : aShard.mServingProfiles) {
    spdlog::debug("shard.image shard={} image={} least_share={:.3f} "
                  "mean_load={:.2f} high_load={:.2f} mean_added={:.2f}",
                  aNumber,
                  image,
                  profile.mLeastShare,
                  profile.mMeanLoad,
                  profile.mHighLoad,
                  profile.mMeanAdded);
  }
}

} // namespace verbenacroft
