#pragma once

/// Workers of a shard: what discovery and the workers themselves say, what
/// their silence means, and the renewal of their leases.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Takes over what discovery lists for this shard. Workers that are no
/// longer listed stay until nothing can run on them.
void OnDiscovery(DispatchShard& aShard,
                 const std::vector<WorkerEntry>& aEntries,
                 TimePoint aNow);

/// The next renewal for a worker.
RenewOrder MakeRenewal(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       Duration aWait,
                       TimePoint aNow);

/// A worker has answered a renewal that was sent at `aSentAt`, or has not
/// answered it.
void OnReport(DispatchShard& aShard,
              const std::string& aWorker,
              const WorkerReport& aReport,
              TimePoint aSentAt,
              TimePoint aNow,
              std::int64_t aNowMs);

void OnStartReply(DispatchShard& aShard,
                  const std::string& aWorker,
                  const StartOrder& aOrder,
                  const OrderReply& aReply,
                  TimePoint aNow);

void OnStopReply(DispatchShard& aShard,
                 const std::string& aWorker,
                 const StopOrder& aOrder,
                 const OrderReply& aReply,
                 TimePoint aNow);

/// Frees the tasks of silent workers whose leases have certainly ended, and
/// forgets workers that are gone.
void ReapWorkers(DispatchShard& aShard, TimePoint aNow);

/// Orders to stop what must not run on: tasks of ended jobs, runs that
/// nobody wants, tasks that stand still, tasks on workers about to leave.
void PlanStops(DispatchShard& aShard,
               TimePoint aNow,
               DispatchActions& aActions);

/// True once nothing can run of which this owner doesn't know.
bool IsBarrierClear(const DispatchShard& aShard, TimePoint aNow);

} // namespace verbenacroft
