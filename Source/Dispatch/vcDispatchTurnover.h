#pragma once

/// Turnover: which jobs take the room that ended runs leave, and for how long
/// jobs have nothing running between two runs. Long-running tasks don't count.
/// The counts have no effect on placement.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Batch jobs by the number of their runs. A job without a run counts only if
/// one of its tasks is ready.
struct JobsByRuns
{
  std::uint64_t mIdle = 0;
  std::uint64_t mWithOneRun = 0;
  std::uint64_t mWithTwoRuns = 0;
  std::uint64_t mWithMoreRuns = 0;
  /// Runs of all of them.
  std::uint64_t mRuns = 0;
  /// Jobs that can still meet their objective and have waiting tasks.
  std::uint64_t mOnTimeAndWaiting = 0;
};

/// Counts a run that has ended. Called after the run was released.
void CountRunEnd(DispatchShard& aShard,
                 const TaskId& aKey,
                 const std::string& aWorker,
                 TimePoint aNow);

/// Counts a start. Called before the task is assigned to the worker.
void CountStart(DispatchShard& aShard,
                const TaskId& aKey,
                DispatchWorker& aWorker,
                TimePoint aNow);

/// Counts the batch jobs by the number of their runs.
/// @param aNowMs current time in ms since 1970, for occurrences that are due
JobsByRuns CountJobsByRuns(const DispatchShard& aShard,
                           TimePoint aNow,
                           std::int64_t aNowMs);

} // namespace verbenacroft
