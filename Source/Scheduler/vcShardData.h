#pragma once

/// Content of a shard's journal: jobs with their progress, and tasks that
/// are committed to workers. The state results from applying the records in
/// order.

#include "vcJobs.h"

#include <map>

namespace verbenacroft {

/// A task committed to a worker.
struct TaskRecord
{
  std::string mTask;
  TaskKind mKind = TaskKind::kBatch;
  /// Name of the service or job.
  std::string mOwner;
  std::string mBacker;
  /// Index within the job; 0 for a service.
  std::int64_t mIndex = 0;
  std::string mWorker;
  /// Number of this run; each start in the shard has a higher one than all
  /// starts before it.
  std::uint32_t mAttempt = 0;
  Resources mResources;
  /// Work done before this run, in milliseconds of undisturbed run time.
  std::int64_t mCheckpoint = 0;
};
BOOST_DESCRIBE_STRUCT(TaskRecord,
                      (),
                      (mTask,
                       mKind,
                       mOwner,
                       mBacker,
                       mIndex,
                       mWorker,
                       mAttempt,
                       mResources,
                       mCheckpoint))

/// How a placed task ended.
enum class TaskOutcome
{
  kDone,
  kFailed,
  /// It was stopped with a checkpoint.
  kStopped,
  /// Its worker was removed or does not know it, or its lease has expired.
  kLost,
  /// The start never took effect.
  kNotStarted,
};

template<>
struct EnumTable<TaskOutcome>
{
  static constexpr auto kRows = std::to_array<NameRow<TaskOutcome>>({
    { TaskOutcome::kDone, "done" },
    { TaskOutcome::kFailed, "failed" },
    { TaskOutcome::kStopped, "stopped" },
    { TaskOutcome::kLost, "lost" },
    { TaskOutcome::kNotStarted, "not-started" },
  });
};

/// Kind of a journal record.
enum class ShardOp
{
  /// The shard accepts a job.
  kAccept,
  /// A job's state changes.
  kJobState,
  /// A task is committed to a worker.
  kStart,
  /// A placed task has ended.
  kEnd,
  /// A job is removed from the shard.
  kForget,
};

template<>
struct EnumTable<ShardOp>
{
  static constexpr auto kRows = std::to_array<NameRow<ShardOp>>({
    { ShardOp::kAccept, "accept" },
    { ShardOp::kJobState, "job-state" },
    { ShardOp::kStart, "start" },
    { ShardOp::kEnd, "end" },
    { ShardOp::kForget, "forget" },
  });
};

/// A record of a shard's journal. Members that the operation does not use
/// keep their defaults.
struct ShardRecord
{
  ShardOp mOp = ShardOp::kStart;
  /// Name of the job or task.
  std::string mName;
  /// Set for `kAccept`.
  std::optional<JobRecord> mJob;
  /// Set for `kStart`.
  std::optional<TaskRecord> mTask;
  /// State and reason are used by `kJobState`.
  JobState mState = JobState::kActive;
  std::string mReason;
  /// Outcome and checkpoint are used by `kEnd`.
  TaskOutcome mOutcome = TaskOutcome::kDone;
  std::int64_t mCheckpoint = 0;
};
BOOST_DESCRIBE_STRUCT(
  ShardRecord,
  (),
  (mOp, mName, mJob, mTask, mState, mReason, mOutcome, mCheckpoint))

/// Journalled state of a shard; also the content of its snapshots.
struct ShardData
{
  std::map<std::string, JobRecord> mJobs;
  /// Tasks that are committed to workers, by name.
  std::map<std::string, TaskRecord> mPlaced;
  /// Highest attempt number that was given to a task.
  std::uint32_t mLastAttempt = 0;
};
BOOST_DESCRIBE_STRUCT(ShardData, (), (mJobs, mPlaced, mLastAttempt))

/// Applies a record to the state. A record that does not match the state,
/// such as the end of a task that is not placed, changes nothing.
void ApplyRecord(ShardData& aData, const ShardRecord& aRecord);

} // namespace verbenacroft
