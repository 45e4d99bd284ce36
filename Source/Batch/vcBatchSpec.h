#pragma once

/// What a caller submits: a job whose steps have tasks and depend on earlier
/// steps, and the record under which the job is stored.

#include "vcResources.h"

#include <map>
#include <string>
#include <vector>

namespace verbenacroft {

/// Identifier of a job: 16 hexadecimal digits, chosen by the caller.
using JobId = std::string;

bool IsJobId(std::string_view aText);

/// The tasks of one step of a job.
struct StepSpec
{
  std::uint32_t mCount = 1;
  /// Needs of each task.
  Resources mNeeds;
  /// Rough estimate of a task's run time.
  std::int64_t mEstimateMs = 0;
  /// Numbers of the steps that have to be done before.
  std::vector<std::uint32_t> mAfter;
  bool mIsCheckpointing = false;
  bool mIsGang = false;
  bool mIsSameRack = false;
  std::string mRequiredLabel;
  std::string mPreferredRack;
  /// Most tasks of the step on one worker; 0 for no limit.
  std::uint32_t mMaxPerWorker = 0;
  bool mAllowsDuplicates = false;
  /// The tasks run until the job is cancelled.
  bool mIsLasting = false;
  std::string mImage;
  /// Response time that a serving task has to stay below; 0 if it serves
  /// nobody.
  std::int64_t mTargetMs = 0;
  /// The tasks use only processors that others leave idle.
  bool mIsFilling = false;
  /// Tasks that may be away at once by the scheduler's doing.
  std::uint32_t mMayMiss = 0;
};
BOOST_DESCRIBE_STRUCT(StepSpec,
                      (),
                      (mCount,
                       mNeeds,
                       mEstimateMs,
                       mAfter,
                       mIsCheckpointing,
                       mIsGang,
                       mIsSameRack,
                       mRequiredLabel,
                       mPreferredRack,
                       mMaxPerWorker,
                       mAllowsDuplicates,
                       mIsLasting,
                       mImage,
                       mTargetMs,
                       mIsFilling,
                       mMayMiss))

struct BatchSpec
{
  /// Opaque text that every start of a task carries.
  std::string mText;
  std::vector<StepSpec> mSteps;
  /// Occurrences of a scheduled job; 0 for a job that runs once, at once.
  std::uint32_t mRepeatCount = 0;
  /// When the first occurrence is due, in milliseconds since 1970.
  std::int64_t mStartAtMs = 0;
  std::int64_t mIntervalMs = 0;
};
BOOST_DESCRIBE_STRUCT(BatchSpec,
                      (),
                      (mText, mSteps, mRepeatCount, mStartAtMs, mIntervalMs))

/// What the queue of a job says of it, as of its submission.
struct QueueTerms
{
  std::string mQueue;
  /// The pool of workers that runs the tasks.
  std::string mService;
  /// 0 comes first.
  std::int32_t mPriority = 0;
  std::uint32_t mMaxAttempts = 1;
  /// The objective is this many times the longest chain of work ...
  double mStretch = 1;
  /// ... and this much more.
  std::int64_t mTargetMs = 0;
};
BOOST_DESCRIBE_STRUCT(
  QueueTerms,
  (),
  (mQueue, mService, mPriority, mMaxAttempts, mStretch, mTargetMs))

/// A submitted job as it lies in the store; it never changes.
struct BatchRecord
{
  QueueTerms mTerms;
  /// Time of day of the submission, in milliseconds since 1970.
  std::int64_t mAcceptedAtMs = 0;
  BatchSpec mSpec;
};
BOOST_DESCRIBE_STRUCT(BatchRecord, (), (mTerms, mAcceptedAtMs, mSpec))

/// Adds a fault for each step that can't be: no task, negative needs, a
/// dependency on itself, a later or an unknown step.
void CheckBatchSpec(const BatchSpec& aSpec, Faults& aFaults);

/// Number of times that the steps run.
std::uint32_t OccurrencesOf(const BatchSpec& aSpec);

/// One task: occurrence, step and index within a job.
struct TaskId
{
  JobId mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  // The linter takes the comparison with 0 inside for a null pointer.
  auto operator<=>(const TaskId&) const = default; // NOLINT
};

/// "JOB.OCCURRENCE.STEP.INDEX".
std::string Describe(const TaskId& aTask);

std::optional<TaskId> ParseTaskId(std::string_view aText);

} // namespace verbenacroft
