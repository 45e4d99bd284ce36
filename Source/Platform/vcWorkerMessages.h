#pragma once

/// Messages to and from the platform's worker interface.
///
/// One call, `sync`, renews the leases of all tasks of a shard on a worker,
/// starts and stops tasks and returns what changed since the last call.

#include "vcResources.h"

#include <string>
#include <vector>

namespace verbenacroft {

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

enum class RunState
{
  kRunning,
  kFinished,
  kFailed,
  /// Stopped on request; a batch task has left a checkpoint.
  kStopped,
  /// Its lease ended without a renewal.
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

struct TaskStart
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
  TaskKind mKind = TaskKind::kBatch;
  /// Name of the service or the job.
  std::string mOwner;
  Resources mResources;
  /// Work done so far, in milliseconds of undisturbed run time.
  std::int64_t mCheckpoint = 0;
  /// The worker's clock at which the start must be refused.
  std::int64_t mNotAfter = 0;
  /// Declared run time in milliseconds; 0 for a service.
  std::int64_t mRunMs = 0;
};
BOOST_DESCRIBE_STRUCT(
  TaskStart,
  (),
  (mTask, mAttempt, mKind, mOwner, mResources, mCheckpoint, mNotAfter, mRunMs))

struct TaskThrottle
{
  std::string mTask;
  /// Percentage of its processors that the task may use.
  std::int64_t mPercent = 100;
};
BOOST_DESCRIBE_STRUCT(TaskThrottle, (), (mTask, mPercent))

/// One attempt of a task, so that a delayed call can't reach the next one.
struct TaskRef
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
};
BOOST_DESCRIBE_STRUCT(TaskRef, (), (mTask, mAttempt))

struct WorkerSync
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  /// The worker's clock at which the whole call must be refused; 0 on first
  /// contact, when the call may renew and start nothing.
  std::int64_t mNotAfter = 0;
  /// Lease given to each task of the shard; 0 renews nothing.
  std::int64_t mLeaseMs = 0;
  /// Return what changed after this version of the inventory.
  std::uint64_t mSince = 0;
  std::vector<TaskStart> mStarts;
  /// Tasks to stop with a checkpoint.
  std::vector<TaskRef> mStops;
  std::vector<TaskThrottle> mThrottles;
  /// Ended tasks that the worker need remember no longer.
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

struct TaskReport
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
  RunState mState = RunState::kRunning;
  TaskKind mKind = TaskKind::kBatch;
  std::int64_t mCheckpoint = 0;
  /// Use as last measured; it lags.
  Resources mUsage;
  /// Slow-down against an undisturbed run in percent, as last measured.
  std::int64_t mSlowdown = 100;
  /// Where a service answers requests.
  std::string mAddress;
};
BOOST_DESCRIBE_STRUCT(
  TaskReport,
  (),
  (mTask, mAttempt, mState, mKind, mCheckpoint, mUsage, mSlowdown, mAddress))

enum class SyncStatus
{
  kOk,
  kStaleEpoch,
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

struct WorkerSyncReply
{
  SyncStatus mStatus = SyncStatus::kOk;
  /// The worker's clock, in milliseconds.
  std::int64_t mClock = 0;
  std::uint64_t mVersion = 0;
  /// True if `mTasks` is the whole inventory of the shard.
  bool mIsFull = false;
  std::vector<TaskReport> mTasks;
};
BOOST_DESCRIBE_STRUCT(WorkerSyncReply,
                      (),
                      (mStatus, mClock, mVersion, mIsFull, mTasks))

} // namespace verbenacroft
