#pragma once

/// Progress of a job, as the owner of its shard records it in the store.

#include "vcBatchSpec.h"

namespace verbenacroft {

/// State of a job.
enum class BatchState
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

template<>
struct EnumTable<BatchState>
{
  static constexpr auto kRows = std::to_array<NameRow<BatchState>>({
    { BatchState::kQueued, "queued" },
    { BatchState::kRunning, "running" },
    { BatchState::kCompleted, "completed" },
    { BatchState::kFailed, "failed" },
    { BatchState::kCancelled, "cancelled" },
  });
};

/// True if the state can no longer change.
constexpr bool IsFinal(BatchState aState)
{
  return aState == BatchState::kCompleted || aState == BatchState::kFailed ||
         aState == BatchState::kCancelled;
}

/// Progress of a task that has been started and is not done.
struct TaskProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  /// Number of its last known run.
  std::uint32_t mRun = 0;
  /// Numbers of the runs that failed.
  std::vector<std::uint32_t> mFailedRuns;
  /// Last checkpoint that a worker reported; empty if there is none.
  std::string mCheckpoint;
};
BOOST_DESCRIBE_STRUCT(
  TaskProgress,
  (),
  (mOccurrence, mStep, mIndex, mRun, mFailedRuns, mCheckpoint))

/// Progress of one step in one occurrence of the job.
struct StepProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  /// Indexes of the tasks that are done, as inclusive ranges in ascending
  /// order: first, last, first, last, ...
  std::vector<std::uint32_t> mDone;
};
BOOST_DESCRIBE_STRUCT(StepProgress, (), (mOccurrence, mStep, mDone))

/// Progress of a job.
struct BatchProgress
{
  BatchState mState = BatchState::kQueued;
  /// Time of day at which the job ended, in milliseconds since 1970; 0 before.
  std::int64_t mEndedAtMs = 0;
  /// Occurrences that are done, as inclusive ranges in ascending order: first,
  /// last, first, last, ... The rows below are those of other occurrences.
  std::vector<std::uint32_t> mDoneOccurrences;
  std::vector<StepProgress> mSteps;
  std::vector<TaskProgress> mTasks;
};
BOOST_DESCRIBE_STRUCT(BatchProgress,
                      (),
                      (mState, mEndedAtMs, mDoneOccurrences, mSteps, mTasks))

/// Positions that are set in `aDone`, as inclusive ranges: first, last, first,
/// last, ...
std::vector<std::uint32_t> RangesOf(const std::vector<bool>& aDone);

/// Sets the positions of `aDone` that lie in `aRanges`, which has the form that
/// RangesOf() returns. Positions past the end of `aDone` are ignored.
void SetRanges(const std::vector<std::uint32_t>& aRanges,
               std::vector<bool>& aDone);

} // namespace verbenacroft
