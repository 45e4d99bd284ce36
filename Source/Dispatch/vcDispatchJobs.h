#pragma once

/// Jobs of a shard: adding and cancelling them, handling the ends of their
/// runs, and the progress that is written to the store.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Adds a job that was read from the store. Does nothing if the shard already
/// has it.
/// @param aCreatedAt revision of the store at which the job was accepted
/// @param aNowMs current time in ms since 1970, used to compute the job's age
void AddJob(DispatchShard& aShard,
            const JobId& aId,
            BatchRecord aRecord,
            std::uint64_t aCreatedAt,
            TimePoint aNow,
            std::int64_t aNowMs);

/// Restores the progress that an earlier owner recorded for a job. Steps and
/// tasks that the job doesn't have are ignored.
void ApplyProgress(DispatchShard& aShard,
                   const JobId& aId,
                   const BatchProgress& aProgress);

/// Cancels a job unless it has ended. The next `PlanStops` stops its runs. If
/// the job is not known yet, `AddJob` cancels it when it is added.
/// @param aRevision of the cancellation's record in the store
/// @param aNowMs current time in ms since 1970, recorded as the job's end
void CancelJob(DispatchShard& aShard,
               const JobId& aId,
               std::uint64_t aRevision,
               TimePoint aNow,
               std::int64_t aNowMs);

/// Ends a job as failed unless it has ended. The next `PlanStops` stops its
/// runs.
/// @param aNowMs current time in ms since 1970, recorded as the job's end
void FailJob(DispatchShard& aShard,
             const JobId& aId,
             TimePoint aNow,
             std::int64_t aNowMs);

/// Handles the end of a run that `aWorker` reported.
/// @param aNowMs current time in ms since 1970
void OnRunEnd(DispatchShard& aShard,
              DispatchWorker& aWorker,
              const EndedRun& aEnd,
              TimePoint aNow,
              std::int64_t aNowMs);

/// Handles a run that is known to be lost without having completed. The task
/// waits for a new start.
void OnRunLost(DispatchShard& aShard, const TaskId& aKey, TimePoint aNow);

/// Progress of a job in the form that is written to the store. If the job has
/// ended, only its state and end time are set.
BatchProgress ProgressOf(const DispatchJob& aJob);

/// The progress of a job as text of at most `aMaxBytes`, as far as possible. If
/// it is longer, checkpoints are left out: runs that a later owner starts then
/// begin anew, while the store would reject the whole record.
std::string EncodeProgress(const DispatchJob& aJob, std::size_t aMaxBytes);

/// True once every step that `aStep` depends on is done in the occurrence.
bool IsStepReady(const DispatchJob& aJob,
                 const Occurrence& aOccurrence,
                 std::uint32_t aStep);

/// When occurrence `aOccurrence` is due, in ms since 1970; 0 for a job that
/// isn't scheduled and may start at once.
std::int64_t DueAtMs(const BatchSpec& aSpec, std::uint32_t aOccurrence);

/// When the step of the task became ready, or its occurrence is due if that is
/// later. Only valid for a step that is ready.
/// @param aNowMs current time in ms since 1970
TimePoint ReadyAt(const DispatchJob& aJob,
                  const TaskId& aTask,
                  TimePoint aNow,
                  std::int64_t aNowMs);

/// A job with a ready task has nothing running for at most this long, if there
/// is capacity.
constexpr Duration kMaxIdleTime{ 3'000 };

/// Since when a job without a run could have had one of the task's step, which
/// is ready.
/// @param aNowMs current time in ms since 1970
TimePoint IdleSince(const DispatchJob& aJob,
                    const TaskId& aTask,
                    TimePoint aNow,
                    std::int64_t aNowMs);

/// True if enough runs of the job's queue were seen to know their mean.
bool HasLearnedRunTime(const DispatchShard& aShard, const DispatchJob& aJob);

/// Expected run time in ms of a task of `aJob`'s step: the mean that was
/// learned for the job's queue, or the caller's estimate until enough runs were
/// seen.
double ExpectedRunMs(const DispatchShard& aShard,
                     const DispatchJob& aJob,
                     const StepSpec& aStep);

} // namespace verbenacroft
