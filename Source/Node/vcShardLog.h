#pragma once

/// Log lines about the workers and the load of a shard.

#include "vcDispatch.h"

namespace verbenacroft {

/// Logs the tasks that run on a worker, for analysing how they share it: kind
/// (S serving, F best-effort, P other), image, requested CPU in thousandths of
/// a processor, measured value (see `RunningTask::mMeasured`), throttle
/// percent, latency target in ms and progress in percent. Only at level
/// "debug".
void LogWorkerReport(DispatchShard& aShard,
                     const std::string& aWorker,
                     const WorkerReport& aReport);

/// Logs how much of the shard's capacity is in use.
/// @param aNumber number of the shard
void LogShardLoad(const DispatchShard& aShard, std::uint32_t aNumber);

} // namespace verbenacroft
