#include "vcDispatchProbes.h"

#include "vcDispatchSharing.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// How long no task of a step was started before it may start a probe, if
/// nothing of its job runs.
constexpr Duration kProbeAfter{ 3'000 };
/// The same before workers count that are not calm or run best-effort tasks.
constexpr Duration kProbeAnywhereAfter{ 6'000 };
/// How long no task of a step was started before it may start a probe beside
/// other runs of its job.
constexpr Duration kProbeBesideRunsAfter{ 15'000 };
/// Minimum time between probes on a worker, in which the effect of the first
/// one is reported.
constexpr Duration kProbeMeasureTime{ 2'000 };
/// Usual maximum number of probes per second, as a share of the shard's
/// workers.
constexpr double kUsualProbeShare = 0.15;
/// Time in which each step that waits for a probe gets its turn. More probes
/// than usual are started if it takes them.
constexpr Duration kMaxProbeDelay{ 5'000 };
/// Probes that were not started in this time may be started at once.
constexpr Duration kProbeBurstTime{ 200 };

Duration ProbeInterval(const DispatchShard& aShard, std::size_t aStarvedSteps)
{
  const double usual =
    kUsualProbeShare * static_cast<double>(aShard.mWorkers.size());
  const double needed = static_cast<double>(aStarvedSteps) /
                        std::chrono::duration<double>(kMaxProbeDelay).count();
  const double perSecond = std::max({ usual, needed, 1.0 });
  return Duration(static_cast<std::int64_t>(1'000 / perSecond));
}

} // namespace

ProbeStage ProbeStageOf(const DispatchJob& aJob,
                        const DispatchStep& aStep,
                        TimePoint aNow)
{
  if (aStep.mStarvedSince == kNever) {
    return ProbeStage::kNone;
  }
  const Duration waited = aNow - aStep.mStarvedSince;
  if (aJob.mActiveRuns > 0) {
    return waited >= kProbeBesideRunsAfter ? ProbeStage::kCalmWorkers
                                           : ProbeStage::kNone;
  }
  if (waited >= kProbeAnywhereAfter) {
    return ProbeStage::kAllWorkers;
  }
  return waited >= kProbeAfter ? ProbeStage::kCalmWorkers : ProbeStage::kNone;
}

bool MayProbe(const DispatchWorker& aWorker, ProbeStage aStage, TimePoint aNow)
{
  if (aNow - aWorker.mProbedAt < kProbeMeasureTime) {
    return false;
  }
  const bool hasBestEffort = aWorker.mBestEffortCpu > 0;
  const double worst = WorstLatencyRatio(aWorker);
  if (aStage == ProbeStage::kAllWorkers) {
    return worst <= (hasBestEffort ? kRecoveryRatio : kThrottleAboveRatio);
  }
  return aStage == ProbeStage::kCalmWorkers && !hasBestEffort &&
         worst <= kRecoveryRatio;
}

bool IsProbeDue(const DispatchShard& aShard, TimePoint aNow)
{
  return aNow >= aShard.mNextProbeAt;
}

void RecordProbe(DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const TaskId& aKey,
                 std::size_t aStarvedSteps,
                 TimePoint aNow)
{
  aShard.mNextProbeAt = std::max(aShard.mNextProbeAt, aNow - kProbeBurstTime) +
                        ProbeInterval(aShard, aStarvedSteps);
  aWorker.mProbedAt = aNow;
  FindTask(aShard, aKey)->mIsProbe = true;
  spdlog::info("task.probe task={} worker={} worst_latency_ratio={:.2f}",
               Describe(aKey),
               aWorker.mEntry.mWorker,
               WorstLatencyRatio(aWorker));
}

void ThrottleStartedProbe(DispatchShard& aShard,
                          const std::string& aWorker,
                          const StartOrder& aOrder,
                          TimePoint aNow,
                          DispatchActions& aActions)
{
  DispatchTask* task = FindTask(aShard, aOrder.mTask);
  const bool isCurrent = task != nullptr && task->mWorker == aWorker &&
                         task->mRun == aOrder.mRun &&
                         task->mPhase == RunPhase::kRunning;
  if (!isCurrent || !task->mIsProbe || task->mThrottledAt != kNever) {
    return;
  }
  task->mOrderedThrottlePercent = kProbeStartPercent;
  task->mThrottledAt = aNow;
  aActions.mThrottleOrders.push_back(
    { aWorker,
      { aOrder.mTask, aOrder.mRun, aShard.mEpoch, kProbeStartPercent } });
}

} // namespace verbenacroft
