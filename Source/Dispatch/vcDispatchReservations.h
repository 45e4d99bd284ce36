#pragma once

/// Reservations of room: a task that needs much of a worker finds no place
/// where smaller ones take each part that becomes free. Once its job has been
/// idle for long enough, one worker starts no others of its kind until there is
/// room for it. The same holds for each long-running task that has waited for
/// long enough, whether others of its job run or not. For a gang as many
/// workers are reserved as its members take.

#include "vcDispatchSuccession.h"

#include <functional>
#include <span>

namespace verbenacroft {

/// True if the worker's free room is kept from the step. A reservation for a
/// best-effort step keeps other best-effort tasks away; one for any other step
/// those that aren't best-effort, unless they are long-running. More urgent
/// ones are kept away only from the room of a long-running task, which comes
/// first.
/// @param aFirstTask first task of the step that looks for room
bool IsReservedForAnother(const DispatchShard& aShard,
                          const DispatchWorker& aWorker,
                          const TaskId& aFirstTask,
                          TimePoint aNow);

/// True if one of the workers is reserved for the step.
bool HasReservation(const TaskId& aFirstTask,
                    std::span<DispatchWorker* const> aWorkers,
                    TimePoint aNow);

/// For whom room is reserved.
struct RoomRequest
{
  /// First task of the step.
  TaskId mFirstTask;
  /// Since when the step's job has had nothing running, or the task of a
  /// long-running step that has waited longest has waited.
  TimePoint mWaitsSince{ kNever };
  /// Workers to reserve, each for one task.
  std::size_t mWorkers = 1;
};

/// Renews the step's reservations but for those where no further task of it can
/// run and, while it has too few, reserves the worker that lacks the least room
/// for a task of it, one in each round.
/// Workers where runs of jobs that have several leave enough are preferred. A
/// long-running step takes the worker that is reserved for another kind of step
/// if there is no other.
/// Does nothing if only long-running tasks are in the way, or if too many of
/// the workers are reserved.
/// @param aKept room that is free for others only
/// @param aWorkers the usable workers of the step's service
/// @param aMayRun tells whether the step's label and limits allow a worker
/// @return false if no worker would suit; one that needs more won't either
bool ReserveRoom(const DispatchShard& aShard,
                 const RoomRequest& aRequest,
                 std::span<DispatchWorker* const> aWorkers,
                 const std::function<bool(const DispatchWorker&)>& aMayRun,
                 const KeptRooms& aKept,
                 TimePoint aNow);

/// Most workers of so many that are reserved for long-running tasks, and for
/// others.
std::size_t MaxReserved(std::size_t aWorkers);

/// Number of workers on which the members of a gang fit together, once only
/// long-running tasks run there beside them; 0 if these are too many, so that
/// nothing is kept for a gang that may never start.
/// @param aWorkers the workers that may run a member
std::size_t WorkersForGang(const StepSpec& aStep,
                           std::span<DispatchWorker* const> aWorkers,
                           std::size_t aMaxWorkers);

/// Ends the step's reservations among these workers.
void EndReservation(const TaskId& aFirstTask,
                    std::span<DispatchWorker* const> aWorkers);

} // namespace verbenacroft
