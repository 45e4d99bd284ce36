#pragma once

/// Jobs of a shard: taking them up, ends of their runs, cancellation and
/// what has to be written to the store.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Takes up a job that lies in the store.
/// @param aNowMs time of day, to age the job
void AddJob(DispatchShard& aShard,
            const JobId& aId,
            BatchRecord aRecord,
            std::uint64_t aCreatedAt,
            TimePoint aNow,
            std::int64_t aNowMs);

/// Applies what an earlier owner recorded of a job.
void ApplyProgress(DispatchShard& aShard,
                   const JobId& aId,
                   const BatchProgress& aProgress);

/// Cancels a job and stops what runs of it.
void CancelJob(DispatchShard& aShard,
               const JobId& aId,
               TimePoint aNow,
               std::int64_t aNowMs);

/// A run of a task has ended on its worker.
void OnRunEnd(DispatchShard& aShard,
              DispatchWorker& aWorker,
              const EndedRun& aEnd,
              TimePoint aNow,
              std::int64_t aNowMs);

/// The run of a task is known to be gone without having ended as done.
void OnRunLost(DispatchShard& aShard, const TaskId& aKey);

/// What has to be recorded of a job.
BatchProgress ProgressOf(const DispatchJob& aJob);

/// True once every step that `aStep` waits for is done.
bool IsStepReady(const DispatchJob& aJob,
                 const Occurrence& aOccurrence,
                 std::uint32_t aStep);

/// When occurrence `aOccurrence` is due, in ms since 1970; 0 for at once.
std::int64_t DueAtMs(const BatchSpec& aSpec, std::uint32_t aOccurrence);

/// Expected run time of a task of `aJob`'s step, in ms.
double ExpectedRunMs(const DispatchShard& aShard,
                     const DispatchJob& aJob,
                     const StepSpec& aStep);

} // namespace verbenacroft
