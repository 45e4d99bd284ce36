#pragma once

/// Probes: best-effort tasks that start where they are predicted to bring a
/// serving task too close to its target, because their step has waited for too
/// long. A prediction is corrected only by reports of the two together, so
/// without probes a wrong one would hold for good. A probe starts at a low
/// throttle and is raised or suspended by the throttling like any other
/// best-effort task.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Throttle percent at which a probe starts.
constexpr std::int64_t kProbeStartPercent = 20;

/// Workers on which a step may start a probe; ageing widens the choice.
enum class ProbeStage : std::uint8_t
{
  /// The step hasn't waited for long enough.
  kNone,
  /// Workers without best-effort tasks whose serving tasks are well below their
  /// targets.
  kCalmWorkers,
  /// Also workers with best-effort tasks, and workers without them whose
  /// serving tasks are closer to their targets.
  kAllWorkers,
};

/// Number of values of `ProbeStage`.
constexpr std::size_t kProbeStages = 3;

/// Stage of a step that found no place for its waiting tasks: by the time for
/// which its job has had nothing running, or, beside other runs of the job, by
/// the time for which none of the step's tasks has been started.
/// @param aTask any task of the step
/// @param aNowMs current time in ms since 1970
ProbeStage ProbeStageOf(const DispatchJob& aJob,
                        const TaskId& aTask,
                        TimePoint aNow,
                        std::int64_t aNowMs);

/// True if a probe may start on a worker at this stage. Free capacity is not
/// checked.
bool MayProbe(const DispatchWorker& aWorker, ProbeStage aStage, TimePoint aNow);

/// True if the shard's rate of probes allows one more now.
bool IsProbeDue(const DispatchShard& aShard, TimePoint aNow);

/// Counts a probe that was started and marks its task.
/// @param aIdleJobs number of jobs that have nothing running and wait for a
/// probe
void RecordProbe(DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const TaskId& aKey,
                 std::size_t aIdleJobs,
                 TimePoint aNow);

/// Orders the throttle of a probe that the worker has just started. The worker
/// runs it at full speed until then, so this doesn't wait for a report.
/// @param aActions receives the throttle order
void ThrottleStartedProbe(DispatchShard& aShard,
                          const std::string& aWorker,
                          const StartOrder& aOrder,
                          TimePoint aNow,
                          DispatchActions& aActions);

} // namespace verbenacroft
