#pragma once

/// Which task starts next, and where.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Starts what is ready and fits, in the order of priority, then of the
/// objectives that can still be met. The tasks are assigned at once.
/// @param aNowMs time of day, for occurrences that are due
void PlanStarts(DispatchShard& aShard,
                TimePoint aNow,
                std::int64_t aNowMs,
                DispatchActions& aActions);

} // namespace verbenacroft
