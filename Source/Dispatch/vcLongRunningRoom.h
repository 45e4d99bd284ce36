#pragma once

/// Room for a long-running task that waits: where it would fit, and what keeps
/// it from there. It has no effect on placement.

#include "vcDispatchState.h"

namespace verbenacroft {

/// The workers of a shard, as a task of a long-running step sees them. Places
/// are tasks of the step that would fit, up to its limit on each worker.
struct LongRunningRoom
{
  Resources mNeeds;
  /// Workers that may start a task of the step, whether they have room or not.
  std::size_t mWorkers = 0;
  /// Places in the room that is free.
  std::size_t mPlaces = 0;
  /// The part of `mPlaces` on workers that are set aside: in quarantine, or
  /// reserved for a task that is suspected of a crash.
  std::size_t mSetAside = 0;
  /// The part of `mPlaces` on workers that are isolated for such a task.
  std::size_t mIsolated = 0;
  /// Places if no best-effort task used memory.
  std::size_t mWithoutBestEffort = 0;
  /// Places beside long-running tasks alone.
  std::size_t mBesideLongRunning = 0;
  /// Workers that are reserved for the step, and for long-running ones in all.
  std::size_t mReserved = 0;
  std::size_t mReservedInAll = 0;
  /// The worker with the most free processors, what is free there, and what its
  /// long-running and its best-effort tasks use.
  std::string mNearest;
  Resources mFree;
  Resources mLongRunning;
  Resources mBestEffort;
};

/// @param aTask any task of the step
LongRunningRoom RoomOfLongRunning(const DispatchShard& aShard,
                                  const TaskId& aTask,
                                  TimePoint aNow);

} // namespace verbenacroft
