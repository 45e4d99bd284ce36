#pragma once

/// Occurrences of jobs in memory. An occurrence begins when it is due, or when
/// a report or the stored progress names one of its tasks. The tasks of a step
/// have a state only while the step is open: from when it is ready until it is
/// done. The memory of a job thus depends neither on the number of its
/// occurrences nor on the steps that are far ahead, and that of all jobs has a
/// limit, beyond which steps wait to be opened.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Memory that the state of one task takes, with its texts, in bytes.
constexpr std::size_t kTaskBytes = sizeof(DispatchTask) + 128;

/// The task with this id, whose step is opened if it isn't open yet, whatever
/// memory that takes.
/// @return null if there is no such task, or its step is done
DispatchTask* OpenTask(DispatchShard& aShard, const TaskId& aKey);

/// Begins the first occurrence of a new job if it is due, and opens its steps
/// that are ready if there is memory.
/// @param aNowMs current time in ms since 1970
void OpenFirstOccurrence(DispatchShard& aShard,
                         DispatchJob& aJob,
                         std::int64_t aNowMs);

/// Begins the occurrences of all jobs that are due and opens the steps that are
/// ready, of the most urgent and then of the oldest jobs first, as far as the
/// memory lasts. Further occurrences of a job that has begun one take at most
/// half of it, so that each job has something to run.
/// @param aNowMs current time in ms since 1970
void OpenReadySteps(DispatchShard& aShard, std::int64_t aNowMs);

/// Counts a task of an open step as done. A step that is done by it is closed,
/// and those that depend on it are ready at `aReadyAt`.
void CountTaskDone(DispatchShard& aShard,
                   DispatchJob& aJob,
                   const TaskId& aKey,
                   TimePoint aReadyAt);

/// True once all occurrences of the job are done.
bool AreOccurrencesDone(const DispatchJob& aJob);

/// The occurrences that are done, as inclusive ranges: first, last, first,
/// last, ...
std::vector<std::uint32_t> DoneOccurrences(const DispatchJob& aJob);

/// Notes that occurrences are done according to an earlier owner, which had
/// begun all those before them.
/// @param aRanges in the form of `DoneOccurrences`
void MarkOccurrencesDone(DispatchShard& aShard,
                         DispatchJob& aJob,
                         const std::vector<std::uint32_t>& aRanges);

/// Removes a job from the shard.
void EraseJob(DispatchShard& aShard, const JobId& aJob);

} // namespace verbenacroft
