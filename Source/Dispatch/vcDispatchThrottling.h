#pragma once

/// Throttling of best-effort tasks: they are slowed down while a serving task
/// on the same worker is close to its latency target.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Updates the learned models from a worker's latest report and orders new
/// throttles for the best-effort tasks on it.
/// @param aRunning the tasks that the report lists as running
/// @param aActions receives the throttle orders
void PlanThrottles(DispatchShard& aShard,
                   const std::string& aWorker,
                   const std::vector<RunningTask>& aRunning,
                   TimePoint aNow,
                   DispatchActions& aActions);

} // namespace verbenacroft
