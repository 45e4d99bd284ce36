#pragma once

/// How far a job is, as its shard's owner records it in the store.

#include "vcJobSpec.h"

namespace verbenacroft {

enum class JobState
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

template<>
struct EnumTable<JobState>
{
  static constexpr auto kRows = std::to_array<NameRow<JobState>>({
    { JobState::kQueued, "queued" },
    { JobState::kRunning, "running" },
    { JobState::kCompleted, "completed" },
    { JobState::kFailed, "failed" },
    { JobState::kCancelled, "cancelled" },
  });
};

constexpr bool IsFinal(JobState aState)
{
  return aState == JobState::kCompleted || aState == JobState::kFailed ||
         aState == JobState::kCancelled;
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
  std::uint32_t mFailures = 0;
  std::string mCheckpoint;
};
BOOST_DESCRIBE_STRUCT(
  TaskProgress,
  (),
  (mOccurrence, mStep, mIndex, mRun, mFailures, mCheckpoint))

/// Tasks of a step that are done, as ranges [first, last] one after another.
struct StepProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::vector<std::uint32_t> mDone;
};
BOOST_DESCRIBE_STRUCT(StepProgress, (), (mOccurrence, mStep, mDone))

struct JobProgress
{
  JobState mState = JobState::kQueued;
  /// Time of day at which the job came to its end, in ms since 1970.
  std::int64_t mEndedAtMs = 0;
  std::vector<StepProgress> mSteps;
  std::vector<TaskProgress> mTasks;
};
BOOST_DESCRIBE_STRUCT(JobProgress, (), (mState, mEndedAtMs, mSteps, mTasks))

/// Ranges of the set positions of `aDone`.
std::vector<std::uint32_t> RangesOf(const std::vector<bool>& aDone);

/// Sets the positions within `aRanges`; those beyond the end are ignored.
void SetRanges(const std::vector<std::uint32_t>& aRanges,
               std::vector<bool>& aDone);

} // namespace verbenacroft
