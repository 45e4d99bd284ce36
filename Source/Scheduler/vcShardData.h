#pragma once

/// What a shard's journal records: jobs with their progress, and tasks that
/// are committed to workers. The state is the records applied in order.

#include "vcJobs.h"

#include <map>

namespace verbenacroft {

/// A task committed to a worker.
struct TaskRecord
{
  std::string mTask;
  TaskKind mKind = TaskKind::kBatch;
  /// Name of the service or the job.
  std::string mOwner;
  std::string mBacker;
  /// Index within the job.
  std::int64_t mIndex = 0;
  std::string mWorker;
  std::uint32_t mAttempt = 0;
  Resources mResources;
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

enum class TaskOutcome
{
  kDone,
  kFailed,
  /// Stopped with a checkpoint.
  kStopped,
  /// Its worker is gone, or its lease has ended.
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

enum class ShardOp
{
  kAccept,
  kJobState,
  kStart,
  kEnd,
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

/// One record of a shard's journal.
struct ShardRecord
{
  ShardOp mOp = ShardOp::kStart;
  /// Name of the job or the task.
  std::string mName;
  std::optional<JobRecord> mJob;
  std::optional<TaskRecord> mTask;
  JobState mState = JobState::kActive;
  std::string mReason;
  TaskOutcome mOutcome = TaskOutcome::kDone;
  std::int64_t mCheckpoint = 0;
};
BOOST_DESCRIBE_STRUCT(
  ShardRecord,
  (),
  (mOp, mName, mJob, mTask, mState, mReason, mOutcome, mCheckpoint))

/// State of a shard; also the content of its snapshots.
struct ShardData
{
  std::map<std::string, JobRecord> mJobs;
  std::map<std::string, TaskRecord> mPlaced;
  std::uint32_t mLastAttempt = 0;
};
BOOST_DESCRIBE_STRUCT(ShardData, (), (mJobs, mPlaced, mLastAttempt))

/// Applies one record. A record that does not fit the state, such as the end
/// of a task that is not placed, changes nothing.
void ApplyRecord(ShardData& aData, const ShardRecord& aRecord);

} // namespace verbenacroft
