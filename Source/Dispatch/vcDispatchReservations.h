#pragma once

/// Reservations of room: a task that needs much of a worker finds no place
/// where smaller ones take each part that becomes free. Once its job has been
/// idle for long enough, one worker starts no others of its kind until there is
/// room for it.

#include "vcDispatchSuccession.h"

#include <functional>
#include <span>

namespace verbenacroft {

/// True if the worker's free room is kept from the step. A reservation for a
/// best-effort step keeps other best-effort tasks away; one for any other step
/// those that aren't best-effort, unless they are long-running or more urgent.
/// @param aFirstTask first task of the step that looks for room
bool IsReservedForAnother(const DispatchShard& aShard,
                          const DispatchWorker& aWorker,
                          const TaskId& aFirstTask,
                          TimePoint aNow);

/// True if one of the workers is reserved for the step.
bool HasReservation(const TaskId& aFirstTask,
                    std::span<DispatchWorker* const> aWorkers,
                    TimePoint aNow);

/// Reserves the worker that lacks the least room for a task of the step, or
/// renews the step's reservation. Workers where runs of jobs that have several
/// leave enough are preferred. Does nothing if only long-running tasks are in
/// the way, or if too many of the workers are reserved.
/// @param aIdleSince since when the step's job has had nothing running
/// @param aKept room that is free for others only
/// @param aWorkers the usable workers of the step's service
/// @param aMayRun tells whether the step's label and limits allow a worker
/// @return false if no worker would suit; one that needs more won't either
bool ReserveRoom(const DispatchShard& aShard,
                 const TaskId& aFirstTask,
                 TimePoint aIdleSince,
                 std::span<DispatchWorker* const> aWorkers,
                 const std::function<bool(const DispatchWorker&)>& aMayRun,
                 const KeptRooms& aKept,
                 TimePoint aNow);

/// Ends the step's reservation, if it has one among these workers.
void EndReservation(const TaskId& aFirstTask,
                    std::span<DispatchWorker* const> aWorkers);

} // namespace verbenacroft
