#pragma once

/// Reports of a shard's workers: which runs are confirmed, adopted, ended, lost
/// or have to stop.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Handles the outcome of a renewal: a worker's report or a missing answer.
/// @param aSentAt when the renewal was sent
/// @param aNowMs current time in ms since 1970
void OnReport(DispatchShard& aShard,
              const std::string& aWorker,
              const WorkerReport& aReport,
              TimePoint aSentAt,
              TimePoint aNow,
              std::int64_t aNowMs);

} // namespace verbenacroft
