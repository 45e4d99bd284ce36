#pragma once

/// Public header of the Jobs library: the specification of a submitted batch
/// job, the claim of its name in the store, and the record that the shard
/// which runs it keeps. The Scheduler library uses these types; jobs that
/// consist of steps are in the Batch library.

#include "vcConfig.h"

#include <string>
#include <vector>

namespace verbenacroft {

/// Specification of a job. The name identifies it: submitting the same name
/// twice creates one job.
struct JobSpec
{
  std::string mName;
  std::string mBacker;
  /// Number of tasks.
  std::int64_t mTasks = 1;
  /// Resources that each task needs.
  Resources mResources;
  /// Expected run time of one task, in milliseconds.
  std::int64_t mRunMs = 1'000;
  /// Names of the data centres in which it may run; empty for all.
  std::vector<std::string> mDataCentres;
  bool mIsUrgent = false;
  /// Number of failed runs of one task after which the job fails. Workers on
  /// which a task of the job failed are used again only if no other one fits.
  std::int64_t mMaxAttempts = 3;
};
BOOST_DESCRIBE_STRUCT(JobSpec,
                      (),
                      (mName,
                       mBacker,
                       mTasks,
                       mResources,
                       mRunMs,
                       mDataCentres,
                       mIsUrgent,
                       mMaxAttempts))

/// State of a job.
enum class JobState
{
  kActive,
  /// Cancelled, but some of its tasks may still run.
  kCancelling,
  /// Waits to be moved to another shard because its data centre was drained.
  kMoving,
  kDone,
  kFailed,
  kCancelled,
};

template<>
struct EnumTable<JobState>
{
  static constexpr auto kRows = std::to_array<NameRow<JobState>>({
    { JobState::kActive, "active" },
    { JobState::kCancelling, "cancelling" },
    { JobState::kMoving, "moving" },
    { JobState::kDone, "done" },
    { JobState::kFailed, "failed" },
    { JobState::kCancelled, "cancelled" },
  });
};

/// True if the state can no longer change.
bool IsFinal(JobState aState);

/// Progress of one task of a job.
struct JobTaskRecord
{
  bool mIsDone = false;
  /// Highest checkpoint that was reported; 0 for none.
  std::int64_t mCheckpoint = 0;
  /// Number of failed runs.
  std::int64_t mFailures = 0;
};
BOOST_DESCRIBE_STRUCT(JobTaskRecord, (), (mIsDone, mCheckpoint, mFailures))

/// Record of a job in the shard that runs it.
struct JobRecord
{
  JobSpec mSpec;
  /// Number of times that the job was moved between shards.
  std::uint64_t mGeneration = 0;
  JobState mState = JobState::kActive;
  /// Why the job failed or was cancelled; may be empty.
  std::string mReason;
  std::vector<JobTaskRecord> mTasks;
};
BOOST_DESCRIBE_STRUCT(JobRecord,
                      (),
                      (mSpec, mGeneration, mState, mReason, mTasks))

/// Value that is stored under the key of a job: the shard that the job belongs
/// to, or its result. The key is written with compare-and-swap, which decides
/// which shard may run the job.
struct JobClaim
{
  std::string mShard;
  /// Unique identifier of the request that wrote the claim.
  std::string mChange;
  JobRecord mJob;
};
BOOST_DESCRIBE_STRUCT(JobClaim, (), (mShard, mChange, mJob))

/// Store key of the claim of the job named `aName`.
std::string JobKey(const std::string& aName);

/// Validates a submission. Faults are: an invalid name, number of tasks, run
/// time or size, an unknown backer or data centre, and a task larger than every
/// instance on which it may run.
/// @param aLargest largest instance of each data centre by name; if it is empty
/// or has none of the allowed data centres, this last check is left out.
Faults CheckJob(const JobSpec& aSpec,
                const Configuration& aConfiguration,
                const std::map<std::string, Resources>& aLargest);

/// Number of tasks that are done.
std::int64_t CountDoneTasks(const JobRecord& aJob);

/// Names of the data centres in which the job may run and that are not
/// drained, sorted.
std::vector<std::string> EligibleDataCentres(
  const JobSpec& aSpec,
  const Configuration& aConfiguration);

/// Status of a job as reported to submitters and operators.
struct JobStatus
{
  std::string mName;
  std::string mBacker;
  JobState mState = JobState::kActive;
  std::string mReason;
  /// Number of tasks, and how many of them are done and running.
  std::int64_t mTasks = 0;
  std::int64_t mDone = 0;
  std::int64_t mRunning = 0;
  std::string mShard;
};
BOOST_DESCRIBE_STRUCT(
  JobStatus,
  (),
  (mName, mBacker, mState, mReason, mTasks, mDone, mRunning, mShard))

} // namespace verbenacroft
