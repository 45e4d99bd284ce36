#pragma once

/// Specification of a submitted job, and the record with which it is stored. A
/// job consists of steps; a step consists of tasks and may depend on earlier
/// steps.

#include "vcResources.h"

#include <map>
#include <string>
#include <vector>

namespace verbenacroft {

/// Identifier of a job: 16 hexadecimal digits, chosen by the caller.
using JobId = std::string;

/// True if `aText` has the form of a JobId.
bool IsJobId(std::string_view aText);

/// One step of a job.
struct StepSpec
{
  /// Number of tasks.
  std::uint32_t mCount = 1;
  /// Resources that each task needs.
  Resources mNeeds;
  /// Rough estimate of the run time of a task, in milliseconds.
  std::int64_t mEstimateMs = 0;
  /// Indexes of the steps that have to be done before this one starts.
  std::vector<std::uint32_t> mAfter;
  /// The tasks write checkpoints and can be resumed from them.
  bool mIsCheckpointing = false;
  /// The tasks have to run at the same time (gang scheduling).
  bool mIsGang = false;
  /// The tasks have to run in the same rack.
  bool mIsSameRack = false;
  /// Label that a worker needs to run the tasks; empty for any worker.
  std::string mRequiredLabel;
  /// Rack that is preferred; empty for no preference.
  std::string mPreferredRack;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t mMaxPerWorker = 0;
  /// Duplicate runs of a task are allowed.
  bool mAllowsDuplicates = false;
  /// The tasks are long-running: they run until the job is cancelled.
  bool mIsLasting = false;
  std::string mImage;
  /// Latency target of a task that serves requests, in milliseconds; 0 if it
  /// does not serve requests.
  std::int64_t mTargetMs = 0;
  /// The tasks are best-effort: they use only processors that other tasks
  /// leave idle.
  bool mIsFilling = false;
  /// Maximum number of tasks of the step that may be kept stopped at the same
  /// time. The value is stored, but no scheduling decision uses it.
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

/// A job as its caller specifies it.
struct BatchSpec
{
  /// Opaque text that is passed to the worker with each start of a task.
  std::string mText;
  std::vector<StepSpec> mSteps;
  /// Number of occurrences of a scheduled job; 0 for a job that runs once,
  /// immediately.
  std::uint32_t mRepeatCount = 0;
  /// Time at which the first occurrence is due, in milliseconds since 1970.
  std::int64_t mStartAtMs = 0;
  /// Time between two occurrences, in milliseconds.
  std::int64_t mIntervalMs = 0;
};
BOOST_DESCRIBE_STRUCT(BatchSpec,
                      (),
                      (mText, mSteps, mRepeatCount, mStartAtMs, mIntervalMs))

/// Settings of the queue of a job at the time when the job was submitted.
struct QueueTerms
{
  /// Name of the queue.
  std::string mQueue;
  /// Pool of workers that runs the tasks.
  std::string mService;
  /// Jobs with lower values come first.
  std::int32_t mPriority = 0;
  /// Number of failed runs of a task after which the job fails. It does not
  /// apply to long-running steps.
  std::uint32_t mMaxAttempts = 1;
  /// The objective for the duration of a job is mStretch times the estimated
  /// run time of its longest chain of dependent steps plus mTargetMs.
  double mStretch = 1;
  /// Fixed part of the objective, in milliseconds.
  std::int64_t mTargetMs = 0;
  /// Team that the job belongs to; empty if it belongs to none.
  std::string mTeam;
};
BOOST_DESCRIBE_STRUCT(
  QueueTerms,
  (),
  (mQueue, mService, mPriority, mMaxAttempts, mStretch, mTargetMs, mTeam))

/// A submitted job as it is stored; the record never changes.
struct BatchRecord
{
  QueueTerms mTerms;
  /// Time of day of the submission, in milliseconds since 1970.
  std::int64_t mAcceptedAtMs = 0;
  BatchSpec mSpec;
};
BOOST_DESCRIBE_STRUCT(BatchRecord, (), (mTerms, mAcceptedAtMs, mSpec))

/// Adds a fault to `aFaults` for each limit that `aSpec` exceeds (length of the
/// text, number of steps, tasks or occurrences) and for each invalid step: no
/// task, negative resources, or a dependency on itself or on a later or
/// unknown step.
void CheckBatchSpec(const BatchSpec& aSpec, Faults& aFaults);

/// Number of occurrences of the job, at least 1.
std::uint32_t OccurrencesOf(const BatchSpec& aSpec);

/// Identifier of a task: job, occurrence, step and index in the step.
struct TaskId
{
  JobId mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  // clang-tidy mistakes the generated comparison with 0 for one with a null
  // pointer.
  auto operator<=>(const TaskId&) const = default; // NOLINT
};

/// The identifier as "JOB.OCCURRENCE.STEP.INDEX".
std::string Describe(const TaskId& aTask);

/// Inverse of Describe(); nothing if `aText` does not have this form.
std::optional<TaskId> ParseTaskId(std::string_view aText);

} // namespace verbenacroft
