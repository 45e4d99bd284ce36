#pragma once

/// Runs on a worker: the only account of what is at work there, or may be, from
/// the order to start a run until its end is listed or it can't last any more.
/// A worker's capacity, the quotas of teams and the maximum of a step per
/// worker are all checked against it. Internal to the Dispatch library.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Number of a step's runs on one worker.
struct StepRuns
{
  /// Current runs of their tasks.
  std::uint32_t mCurrent = 0;
  /// Runs that are no longer needed.
  std::uint32_t mToStop = 0;
};

/// The runs on the worker of one step of one occurrence.
/// @param aFirstTask first task of the step
StepRuns RunsOfStep(const DispatchWorker& aWorker, const TaskId& aFirstTask);

/// True if the worker lists a run of a job that isn't known. That may use all
/// of the worker; it counts so for as long as a lease and a stop can take, lest
/// a worker that lists it for longer stays closed for ever.
bool HasUnknownRun(const DispatchShard& aShard,
                   const DispatchWorker& aWorker,
                   TimePoint aNow);

/// Makes run `aRun` of the task its current one, on this worker.
void Assign(DispatchShard& aShard,
            const TaskId& aKey,
            const std::string& aWorker,
            std::uint32_t aRun);

/// Removes the task's current run, which isn't at work on its worker and can't
/// begin there any more, and sets the task's phase.
void Release(DispatchShard& aShard, const TaskId& aKey, RunPhase aPhase);

/// Releases a task that waits for a new start from `aNow` on.
void ReleaseToWait(DispatchShard& aShard, const TaskId& aKey, TimePoint aNow);

/// Marks a task as done by the end of another run. Its current run, which may
/// be at work, becomes a run to stop.
/// @param aEndedRun the run that has ended, for the log
void SupersedeRun(DispatchShard& aShard,
                  const TaskId& aKey,
                  std::uint32_t aEndedRun);

/// Notes that a run of the job has ended: without another one it is idle from
/// `aNow` on.
void NoteRunEnded(DispatchJob& aJob, TimePoint aNow);

/// Notes that a report lists a run that isn't its task's current one.
void OnRunToStopListed(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const RunKey& aRun,
                       TimePoint aNow);

/// Notes that a run to stop has begun, or never will: the next report that
/// doesn't list it shows that it isn't there.
void ConfirmRunToStop(RunToStop& aRun, TimePoint aNow);

/// The run to stop, or null.
RunToStop* FindRunToStop(DispatchWorker& aWorker, const RunKey& aRun);

/// Removes a run to stop that isn't at work and can't begin any more; does
/// nothing if there is no such run.
void RemoveRunToStop(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const RunKey& aRun);

/// Removes all runs to stop for which `aIsOver(RunKey, RunToStop)` holds.
template<class IsOver>
void RemoveRunsToStop(DispatchShard& aShard,
                      DispatchWorker& aWorker,
                      IsOver aIsOver)
{
  for (auto at = aWorker.mRunsToStop.begin();
       at != aWorker.mRunsToStop.end();) {
    const auto run = at++;
    if (aIsOver(run->first, run->second)) {
      RemoveRunToStop(aShard, aWorker, RunKey(run->first));
    }
  }
}

/// True if `aPredicate(RunStart)` holds for the start of a run on the worker.
template<class Predicate>
bool AnyStart(const DispatchShard& aShard,
              const DispatchWorker& aWorker,
              Predicate aPredicate)
{
  for (const auto& key : aWorker.mTasks) {
    if (aPredicate(StartOf(*FindTask(aShard, key)))) {
      return true;
    }
  }
  for (const auto& [run, toStop] : aWorker.mRunsToStop) {
    if (aPredicate(toStop.mStart)) {
      return true;
    }
  }
  return false;
}

} // namespace verbenacroft
