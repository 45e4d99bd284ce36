#pragma once

/// Lines of log about a shard as a whole.

#include "vcDispatch.h"

namespace verbenacroft {

/// What runs on a worker, for a look at how tasks share it: kind, image,
/// needed processors, measurement, pace and progress of each. At the level
/// "debug" only.
void LogReport(DispatchShard& aShard,
               const std::string& aWorker,
               const WorkerReport& aReport);

/// How full the shard is.
void LogLoad(const DispatchShard& aShard, std::uint32_t aNumber);

} // namespace verbenacroft
