#pragma once

/// Sharing of a worker between serving and best-effort tasks: estimates how
/// much of their processors serving tasks leave idle, and how much load each
/// best-effort image adds to each serving image. Both are learned from the
/// workers' reports.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Updates the latency profiles, the interference model and the worker's usage
/// estimates from the tasks that a report lists as running.
void LearnFromReport(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const std::vector<RunningTask>& aRunning,
                     TimePoint aNow);

/// Processors that a new best-effort task may still use on the worker, in
/// thousandths; negative if the tasks there already need more than is free.
std::int64_t FreeBestEffortCpu(const DispatchWorker& aWorker);

/// Processors that all best-effort tasks on the worker together may use at
/// present, in thousandths.
double BestEffortCpuLimit(const DispatchWorker& aWorker);

/// Load of a serving task, from 0 to 1, at a latency ratio (tail latency
/// divided by its target). The task is modelled as a queue: at load L its
/// response times are 1 / (1 - L) times those of an idle queue.
double LoadAtLatencyRatio(const ServingProfile& aProfile, double aLatencyRatio);

/// Latency ratio above which a serving task counts as disturbed.
constexpr double kThrottleAboveRatio = 0.95;
/// Up to this latency ratio a serving task is well below its target.
constexpr double kRecoveryRatio = 0.7;

/// Highest latency ratio of a serving task in the worker's last report; 0 if
/// none was measured.
double WorstLatencyRatio(const DispatchWorker& aWorker);

/// A best-effort task that adds less load than this to a serving task is taken
/// not to disturb it, because the estimates are not more accurate than this.
constexpr double kMinAddedLoad = 0.05;

/// What the estimates need to know about a best-effort task.
struct BestEffortNeeds
{
  /// Kind of its image in the interference model.
  std::uint64_t mKind = 0;
  /// Processors that it needs, in thousandths.
  double mCpu = 0;
};

/// Needs of one task of a best-effort step.
BestEffortNeeds BestEffortNeedsOf(const StepSpec& aStep);

/// Estimated effect of one more best-effort task on the serving tasks of a
/// worker.
struct BestEffortEffect
{
  /// Maximum load that it adds to any serving image there; 0 if it adds less
  /// than `kMinAddedLoad` to each.
  double mAddedLoad = 0;
  /// Maximum load that a task of an average best-effort image would add if it
  /// needed the same processors.
  double mMeanEffect = 0;
  /// A serving image to which it adds load would come too close to its target.
  bool mIsOverLimit = false;
};

/// Estimates the effect of starting a best-effort task on the worker.
BestEffortEffect BestEffortEffectOf(const DispatchShard& aShard,
                                    const DispatchWorker& aWorker,
                                    const BestEffortNeeds& aNeeds,
                                    TimePoint aNow);

/// Counts the load added by a best-effort task that is placed after the
/// worker's last report and so not yet included in it.
void RecordBestEffortPlacement(const DispatchShard& aShard,
                               DispatchWorker& aWorker,
                               const BestEffortNeeds& aNeeds,
                               TimePoint aNow);

/// Predicted load that a best-effort task adds to the tasks of a serving image.
double AddedLoad(const DispatchShard& aShard,
                 const ServingLatency& aServing,
                 const BestEffortNeeds& aNeeds,
                 const DispatchWorker& aWorker,
                 TimePoint aNow);

} // namespace verbenacroft
