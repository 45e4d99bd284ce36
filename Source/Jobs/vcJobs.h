#pragma once

/// Public header of the Jobs library: batch jobs as submitted, as claimed by
/// name in the store, and as recorded by the shard that runs them.

#include "vcConfig.h"

#include <string>
#include <vector>

namespace verbenacroft {

/// A job as its submitter describes it. The name identifies it: submitting
/// the same name twice is one job.
struct JobSpec
{
  std::string mName;
  std::string mBacker;
  std::int64_t mTasks = 1;
  /// Size of one task.
  Resources mResources;
  /// Expected run time of one task, in milliseconds.
  std::int64_t mRunMs = 1'000;
  /// Where it may run; empty for everywhere.
  std::vector<std::string> mDataCentres;
  bool mIsUrgent = false;
  /// Failed runs of one task, on different workers, before the job fails.
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

enum class JobState
{
  kActive,
  kCancelling,
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

/// True if nothing more can happen to the job.
bool IsFinal(JobState aState);

/// Progress of one task of a job.
struct JobTaskRecord
{
  bool mIsDone = false;
  std::int64_t mCheckpoint = 0;
  std::int64_t mFailures = 0;
};
BOOST_DESCRIBE_STRUCT(JobTaskRecord, (), (mIsDone, mCheckpoint, mFailures))

struct JobRecord
{
  JobSpec mSpec;
  /// Counts the moves between shards.
  std::uint64_t mGeneration = 0;
  JobState mState = JobState::kActive;
  std::string mReason;
  std::vector<JobTaskRecord> mTasks;
};
BOOST_DESCRIBE_STRUCT(JobRecord,
                      (),
                      (mSpec, mGeneration, mState, mReason, mTasks))

/// Value of the key of a job's name: which shard has it, or how it ended.
/// The compare-and-swap of this key decides who may run the job.
struct JobClaim
{
  std::string mShard;
  std::string mChange;
  JobRecord mJob;
};
BOOST_DESCRIBE_STRUCT(JobClaim, (), (mShard, mChange, mJob))

/// Key of the claim of the job named `aName`.
std::string JobKey(const std::string& aName);

/// Faults of a submission: bad names and sizes, an unknown backer or data
/// centre, a task larger than any instance where it may run.
/// @param aLargest the largest instance of each data centre.
Faults CheckJob(const JobSpec& aSpec,
                const Configuration& aConfiguration,
                const std::map<std::string, Resources>& aLargest);

/// Number of finished tasks.
std::int64_t DoneTasks(const JobRecord& aJob);

/// Data centres in which the job may run now, in order of their names.
std::vector<std::string> EligibleDataCentres(
  const JobSpec& aSpec,
  const Configuration& aConfiguration);

/// What a submitter or an operator is told of a job.
struct JobStatus
{
  std::string mName;
  std::string mBacker;
  JobState mState = JobState::kActive;
  std::string mReason;
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
