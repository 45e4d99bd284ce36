#pragma once

/// Pacing: work that fills idle processors is slowed down while a serving
/// task beside it is close to its response-time target.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Judges the latest report of a worker and orders new paces.
void PlanPaces(DispatchShard& aShard,
               const std::string& aWorker,
               const std::vector<RunningTask>& aRunning,
               TimePoint aNow,
               DispatchActions& aActions);

} // namespace verbenacroft
