#pragma once

/// Messages to and from the platform's worker interface.
///
/// The interface has a single call, `sync`. It renews the leases of all tasks
/// that a shard has on a worker, starts and stops tasks, and returns the tasks
/// that changed since the previous call.

#include "vcResources.h"

#include <string>
#include <vector>

namespace verbenacroft {

/// Kind of workload that a task belongs to.
enum class TaskKind
{
  kService,
  kBatch,
};

template<>
struct EnumTable<TaskKind>
{
  static constexpr auto kRows = std::to_array<NameRow<TaskKind>>({
    { TaskKind::kService, "service" },
    { TaskKind::kBatch, "batch" },
  });
};

/// State of one attempt of a task on a worker.
enum class RunState
{
  kRunning,
  kFinished,
  kFailed,
  /// Stopped on request; a batch task has written a checkpoint.
  kStopped,
  /// Ended by the worker because its lease was not renewed in time.
  kExpired,
};

template<>
struct EnumTable<RunState>
{
  static constexpr auto kRows = std::to_array<NameRow<RunState>>({
    { RunState::kRunning, "running" },
    { RunState::kFinished, "finished" },
    { RunState::kFailed, "failed" },
    { RunState::kStopped, "stopped" },
    { RunState::kExpired, "expired" },
  });
};

/// Request to start one attempt of a task.
struct TaskStart
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
  TaskKind mKind = TaskKind::kBatch;
  /// Name of the service or the job.
  std::string mOwner;
  Resources mResources;
  /// Work completed by earlier attempts, in milliseconds of run time without
  /// interference from other tasks.
  std::int64_t mCheckpoint = 0;
  /// Time on the worker's clock, in milliseconds, after which the worker must
  /// refuse the start.
  std::int64_t mNotAfter = 0;
  /// Declared run time in milliseconds; 0 for a service.
  std::int64_t mRunMs = 0;
};
BOOST_DESCRIBE_STRUCT(
  TaskStart,
  (),
  (mTask, mAttempt, mKind, mOwner, mResources, mCheckpoint, mNotAfter, mRunMs))

/// Limit on the processor time of a task.
struct TaskThrottle
{
  std::string mTask;
  /// Share of its processors that the task may use, in percent.
  std::int64_t mPercent = 100;
};
BOOST_DESCRIBE_STRUCT(TaskThrottle, (), (mTask, mPercent))

/// Identifies one attempt of a task, so that a delayed call cannot affect a
/// later attempt.
struct TaskRef
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
};
BOOST_DESCRIBE_STRUCT(TaskRef, (), (mTask, mAttempt))

/// Request of the `sync` call.
struct WorkerSync
{
  std::string mShard;
  /// Epoch of the shard's owner; the worker rejects an epoch older than the
  /// latest one that it has seen.
  std::uint64_t mEpoch = 0;
  /// Time on the worker's clock, in milliseconds, after which the worker must
  /// refuse the whole call. It is 0 on first contact, when the worker's clock
  /// is not known yet; such a call must not renew or start anything.
  std::int64_t mNotAfter = 0;
  /// Duration of the lease that each task of the shard receives, in
  /// milliseconds; 0 renews no lease.
  std::int64_t mLeaseMs = 0;
  /// Only changes after this version of the inventory are returned; 0 requests
  /// the complete inventory.
  std::uint64_t mSince = 0;
  std::vector<TaskStart> mStarts;
  /// Attempts to stop after writing a checkpoint.
  std::vector<TaskRef> mStops;
  std::vector<TaskThrottle> mThrottles;
  /// Ended attempts that the worker may delete from its inventory.
  std::vector<TaskRef> mForgets;
};
BOOST_DESCRIBE_STRUCT(WorkerSync,
                      (),
                      (mShard,
                       mEpoch,
                       mNotAfter,
                       mLeaseMs,
                       mSince,
                       mStarts,
                       mStops,
                       mThrottles,
                       mForgets))

/// State of one attempt of a task, as the worker reports it.
struct TaskReport
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
  RunState mState = RunState::kRunning;
  TaskKind mKind = TaskKind::kBatch;
  /// Work saved so far, in milliseconds as in `TaskStart::mCheckpoint`.
  std::int64_t mCheckpoint = 0;
  /// Latest measured resource usage; it lags behind the actual usage.
  Resources mUsage;
  /// Latest measured run time in percent of the run time without interference;
  /// 100 means no slowdown.
  std::int64_t mSlowdown = 100;
  /// Address at which a service accepts requests.
  std::string mAddress;
};
BOOST_DESCRIBE_STRUCT(
  TaskReport,
  (),
  (mTask, mAttempt, mState, mKind, mCheckpoint, mUsage, mSlowdown, mAddress))

/// Outcome of a `sync` call.
enum class SyncStatus
{
  kOk,
  /// The worker has seen a higher epoch of the shard; the call is rejected.
  kStaleEpoch,
  /// The call arrived after `WorkerSync::mNotAfter`.
  kExpired,
};

template<>
struct EnumTable<SyncStatus>
{
  static constexpr auto kRows = std::to_array<NameRow<SyncStatus>>({
    { SyncStatus::kOk, "ok" },
    { SyncStatus::kStaleEpoch, "stale-epoch" },
    { SyncStatus::kExpired, "expired" },
  });
};

/// Reply to the `sync` call.
struct WorkerSyncReply
{
  SyncStatus mStatus = SyncStatus::kOk;
  /// The worker's clock, in milliseconds.
  std::int64_t mClock = 0;
  /// Version of the inventory, for `WorkerSync::mSince` of the next call.
  std::uint64_t mVersion = 0;
  /// True if `mTasks` is the shard's complete inventory on this worker and not
  /// only the changes.
  bool mIsFull = false;
  std::vector<TaskReport> mTasks;
};
BOOST_DESCRIBE_STRUCT(WorkerSyncReply,
                      (),
                      (mStatus, mClock, mVersion, mIsFull, mTasks))

} // namespace verbenacroft
