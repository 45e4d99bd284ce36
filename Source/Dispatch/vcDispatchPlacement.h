#pragma once

/// Placement: selects the tasks to start next and the workers to run them.

#include "vcDispatchState.h"
#include "vcDispatchWaiting.h"

namespace verbenacroft {

/// A worker refuses a start that arrives later than this after it was ordered.
constexpr Duration kMaxStartDelay{ 1'500 };

/// Starts the tasks that are ready and fit on a worker. The order is by
/// priority, then jobs that can still meet their objective before late ones,
/// then the earliest objective. Ahead of it, one task starts of each job of
/// which nothing has run for some time, so that no order lets a job wait
/// without a bound. Started tasks are assigned to their workers immediately,
/// before the workers answer. Best-effort steps that have waited for too long
/// then start probes (vcDispatchProbes.h).
/// @param aNowMs current time in ms since 1970, for occurrences that are due
/// @param aActions receives the start orders
void PlanStarts(DispatchShard& aShard,
                TimePoint aNow,
                std::int64_t aNowMs,
                DispatchActions& aActions);

/// First tasks of the steps of a job that are ready and have waiting tasks.
/// @param aNowMs current time in ms since 1970, for occurrences that are due
std::vector<TaskId> ReadySteps(const DispatchShard& aShard,
                               const DispatchJob& aJob,
                               std::int64_t aNowMs);

/// Why the task, which must exist and wait, isn't started on any worker. Of the
/// reasons of all workers it is the last in the order of `WaitReason`.
WaitReason WhyNotPlaced(const DispatchShard& aShard,
                        const TaskId& aKey,
                        TimePoint aNow);

} // namespace verbenacroft
