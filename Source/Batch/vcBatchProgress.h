#pragma once

/// How far a job is, as its shard's owner records it in the store.

#include "vcBatchSpec.h"

namespace verbenacroft {

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

constexpr bool IsFinal(BatchState aState)
{
  return aState == BatchState::kCompleted || aState == BatchState::kFailed ||
         aState == BatchState::kCancelled;
}

/// What is recorded of a task that has run and is not done.
struct TaskProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  /// Number of its last known run.
  std::uint32_t mRun = 0;
  /// Runs that ended as failed.
  std::vector<std::uint32_t> mFailedRuns;
  std::string mCheckpoint;
};
BOOST_DESCRIBE_STRUCT(
  TaskProgress,
  (),
  (mOccurrence, mStep, mIndex, mRun, mFailedRuns, mCheckpoint))

/// Tasks of a step that are done, as ranges [first, last] one after another.
struct StepProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::vector<std::uint32_t> mDone;
};
BOOST_DESCRIBE_STRUCT(StepProgress, (), (mOccurrence, mStep, mDone))

struct BatchProgress
{
  BatchState mState = BatchState::kQueued;
  /// Time of day at which the job came to its end, in ms since 1970.
  std::int64_t mEndedAtMs = 0;
  std::vector<StepProgress> mSteps;
  std::vector<TaskProgress> mTasks;
};
BOOST_DESCRIBE_STRUCT(BatchProgress, (), (mState, mEndedAtMs, mSteps, mTasks))

/// Ranges of the set positions of `aDone`.
std::vector<std::uint32_t> RangesOf(const std::vector<bool>& aDone);

/// Sets the positions within `aRanges`; those beyond the end are ignored.
void SetRanges(const std::vector<std::uint32_t>& aRanges,
               std::vector<bool>& aDone);

} // namespace verbenacroft
