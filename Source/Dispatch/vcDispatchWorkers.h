#pragma once

/// Workers of a shard: handles discovery, the workers' replies, unresponsive
/// workers, lease renewal and orders to stop.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Applies the list of workers that discovery returned for this shard. Entries
/// with an invalid address are ignored. Workers that are no longer listed are
/// kept until nothing can run on them.
void OnDiscovery(DispatchShard& aShard,
                 const std::vector<WorkerEntry>& aEntries,
                 TimePoint aNow);

/// Builds the next renewal order for a worker.
/// @param aWait how long a responsive worker may delay its answer while no run
///   ends
RenewOrder MakeRenewal(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       Duration aWait,
                       TimePoint aNow);

/// Handles the outcome of a start order. If it was refused or not answered, the
/// worker is avoided for a short time; if it was refused for the task's own
/// sake, only the task waits for that time. A refused task waits again; a start
/// that was not answered stays uncertain until reports show whether the task
/// runs.
void OnStartReply(DispatchShard& aShard,
                  const std::string& aWorker,
                  const StartOrder& aOrder,
                  const OrderReply& aReply,
                  TimePoint aNow);

/// True if the task still waits for the outcome of this start. Otherwise the
/// start was given up or stopped, and is of no use if it hasn't been sent yet.
bool IsStartPending(DispatchShard& aShard,
                    const std::string& aWorker,
                    const StartOrder& aOrder);

/// Handles the outcome of a stop order. The end of the run itself comes with a
/// report.
void OnStopReply(DispatchShard& aShard,
                 const std::string& aWorker,
                 const StopOrder& aOrder,
                 const OrderReply& aReply,
                 TimePoint aNow);

/// Releases the tasks of unresponsive workers whose leases have certainly
/// expired. On a worker that discovery lists and that doesn't answer, a task
/// that may be done is released some time later. Removes workers that are no
/// longer listed and run nothing.
void ReapWorkers(DispatchShard& aShard, TimePoint aNow);

/// Orders the runs to stop that must not continue: those of ended jobs, those
/// that are no longer needed, stalled tasks, best-effort tasks that were
/// suspended for too long, and tasks on draining workers that have to move.
/// @param aActions receives the stop orders
void PlanStops(DispatchShard& aShard,
               TimePoint aNow,
               DispatchActions& aActions);

} // namespace verbenacroft
