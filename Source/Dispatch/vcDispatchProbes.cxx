#include "vcDispatchProbes.h"

#include "vcDispatchJobs.h"
#include "vcDispatchSharing.h"
#include "vcIncarnationFence.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// How long a job has had nothing running before it may start a probe.
constexpr Duration kProbeAfter{ 1'000 };
/// The same before workers count that are not calm or run best-effort tasks.
constexpr Duration kProbeAnywhereAfter{ 1'500 };
/// How long no task of a step was started before it may start a probe beside
/// other runs of its job.
constexpr Duration kProbeBesideRunsAfter{ 15'000 };
/// Minimum time between probes on a worker, in which the effect of the first
/// one is reported.
constexpr Duration kProbeMeasureTime{ 1'500 };
/// Usual maximum number of probes per second, as a share of the shard's
/// workers.
constexpr double kUsualProbeShare = 0.15;
/// Time in which each idle job that waits for a probe gets its turn. More
/// probes than usual are started if it takes them.
constexpr Duration kMaxProbeDelay{ 1'000 };
static_assert(kProbeAnywhereAfter + kMaxProbeDelay < kMaxIdleTime);
/// Probes that were not started in this time may be started at once.
constexpr Duration kProbeBurstTime{ 200 };

Duration ProbeInterval(const DispatchShard& aShard, std::size_t aIdleJobs)
{
  const double usual =
    kUsualProbeShare * static_cast<double>(aShard.mWorkers.size());
  const double needed = static_cast<double>(aIdleJobs) /
                        std::chrono::duration<double>(kMaxProbeDelay).count();
  const double perSecond = std::max({ usual, needed, 1.0 });
  return Duration(static_cast<std::int64_t>(1'000 / perSecond));
}

} // namespace

ProbeStage ProbeStageOf(const DispatchJob& aJob,
                        const TaskId& aTask,
                        TimePoint aNow,
                        std::int64_t aNowMs)
{
  if (aJob.mActiveRuns > 0) {
    const DispatchStep& step = StepStateOf(aJob, aTask);
    const bool isStarved = step.mStarvedSince != kNever &&
                           aNow - step.mStarvedSince >= kProbeBesideRunsAfter;
    return isStarved ? ProbeStage::kCalmWorkers : ProbeStage::kNone;
  }
  const Duration idle = aNow - IdleSince(aJob, aTask, aNow, aNowMs);
  if (idle >= kProbeAnywhereAfter) {
    return ProbeStage::kAllWorkers;
  }
  return idle >= kProbeAfter ? ProbeStage::kCalmWorkers : ProbeStage::kNone;
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
                 std::size_t aIdleJobs,
                 TimePoint aNow)
{
  aShard.mNextProbeAt = std::max(aShard.mNextProbeAt, aNow - kProbeBurstTime) +
                        ProbeInterval(aShard, aIdleJobs);
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
      { aOrder.mTask,
        aOrder.mRun,
        FencingTokenOf(aShard, aShard.mWorkers.at(aWorker)),
        kProbeStartPercent } });
}

} // namespace verbenacroft
