#pragma once

/// Waiting work: summaries of the tasks of a shard that are ready and wait for
/// a start, and of the jobs that have nothing running meanwhile, by the reason
/// why they wait. They have no effect on placement.

#include "vcDispatchState.h"
#include "vcErrorTable.h"
#include "vcLongRunningRoom.h"

#include <cstddef>
#include <optional>

namespace verbenacroft {

/// Why a task that is ready isn't started. The reasons from `kNotAllowed` to
/// `kPassedOver` are in the order of the tests of one worker: a task's reason
/// is the last one over all workers, that of the worker that comes nearest.
enum class WaitReason
{
  /// Its worker is silent, and its run there may last.
  kSilentWorker,
  /// Its start was ordered and isn't confirmed.
  kStarting,
  /// Its start has no answer and is being stopped.
  kStopping,
  /// It pauses after a refused start, or as a suspect of a crash.
  kPaused,
  /// The owner may start nothing, or is fenced.
  kStartsForbidden,
  /// The job may run on a worker that an earlier owner used and that hasn't
  /// answered; see `LastHeldRevision`.
  kBarrier,
  /// Not determined, because other tasks have waited for longer.
  kNotExamined,
  /// The team of the job has no quota left.
  kTeamLimit,
  /// A place on the task's preferred rack is expected soon.
  kAwaitsRack,
  /// No worker has the service and the label, or the step has its maximum of
  /// tasks on each worker that has.
  kNotAllowed,
  /// Every such worker is unlisted, not recorded, silent, draining, avoided, in
  /// an evacuated data centre, or has ends whose acknowledgement is overdue.
  kNoWorker,
  kNoCapacity,
  /// The free room is kept for a job that has been idle for longer.
  kReserved,
  /// Too little processor time is left for a best-effort task.
  kBestEffortCpu,
  /// Best-effort tasks are paused on the worker.
  kBestEffortPaused,
  /// A best-effort task would raise the predicted load of a serving image over
  /// its limit.
  kBestEffortDisturbs,
  /// A worker has room, but it is in quarantine, or reserved for a task that is
  /// suspected of a crash.
  kSetAside,
  /// A worker has room, but runs a task that is suspected of a crash and hasn't
  /// been seen at work for long enough; see `IsolatedWorkers`.
  kIsolated,
  /// A worker has room for one task, but the tasks of a gang start together.
  kGang,
  /// A worker has room, but the last round of starts didn't start the task.
  kPassedOver,
};

template<>
struct EnumTable<WaitReason>
{
  static constexpr auto kRows = std::to_array<NameRow<WaitReason>>({
    { WaitReason::kSilentWorker, "silent-worker" },
    { WaitReason::kStarting, "starting" },
    { WaitReason::kStopping, "stopping" },
    { WaitReason::kPaused, "paused" },
    { WaitReason::kStartsForbidden, "starts-forbidden" },
    { WaitReason::kBarrier, "barrier" },
    { WaitReason::kNotExamined, "not-examined" },
    { WaitReason::kTeamLimit, "team-limit" },
    { WaitReason::kAwaitsRack, "awaits-rack" },
    { WaitReason::kNotAllowed, "not-allowed" },
    { WaitReason::kNoWorker, "no-worker" },
    { WaitReason::kNoCapacity, "no-capacity" },
    { WaitReason::kReserved, "reserved" },
    { WaitReason::kBestEffortCpu, "best-effort-cpu" },
    { WaitReason::kBestEffortPaused, "best-effort-paused" },
    { WaitReason::kBestEffortDisturbs, "best-effort-disturbs" },
    { WaitReason::kSetAside, "set-aside" },
    { WaitReason::kIsolated, "isolated" },
    { WaitReason::kGang, "gang" },
    { WaitReason::kPassedOver, "passed-over" },
  });
};

/// Tasks, or idle jobs, that wait for the same reason.
struct WaitingTasks
{
  std::uint64_t mTasks = 0;
  /// Longest wait of these tasks, in ms.
  Duration mLongestWait{ 0 };
  /// The task that has waited longest, and its needs.
  TaskId mExample;
  Resources mNeeds;
};

/// Only reasons for which a task waits are contained.
using WaitingSummary = std::map<WaitReason, WaitingTasks>;

/// Maximum number of steps whose workers are examined for one summary, because
/// each is compared with all workers of the shard.
constexpr std::size_t kMaxExaminedSteps = 64;

/// Counts the tasks that are ready and wait. The steps that have waited longest
/// are examined first.
/// @param aNowMs current time in ms since 1970, for occurrences that are due
WaitingSummary SummarizeWaiting(const DispatchShard& aShard,
                                TimePoint aNow,
                                std::int64_t aNowMs,
                                std::size_t aMaxExamined = kMaxExaminedSteps);

/// Counts the jobs that have had nothing running for longer than
/// `kMaxIdleTime` although a task of theirs is ready, each as one task. Those
/// that have been idle for longest are examined first.
/// @param aNowMs current time in ms since 1970, for occurrences that are due
WaitingSummary SummarizeIdleJobs(const DispatchShard& aShard,
                                 TimePoint aNow,
                                 std::int64_t aNowMs,
                                 std::size_t aMaxExamined = kMaxExaminedSteps);

/// The long-running tasks that don't run, as far as this owner knows, and what
/// keeps the one that has waited for longest.
struct LongRunningWait
{
  std::uint64_t mTasks = 0;
  /// The task that has waited longest.
  TaskId mTask;
  /// Its wait, in ms: since the last report of its silent worker, else since
  /// its last run of this ownership, else since this owner has known it.
  Duration mWait{ 0 };
  WaitReason mReason = WaitReason::kPassedOver;
  /// The worker that it waits for, on which runs may last: its own, or the last
  /// one of the barrier. Empty if it waits for something else.
  std::string mWorker;
  /// Time until the runs there have ended, in ms; negative if they have.
  Duration mRunsEndIn{ 0 };
  /// Room for the task, unless its reason says that it may not start anyhow.
  std::optional<LongRunningRoom> mRoom;
};

/// The long-running tasks that don't run and are ready to; nothing if all do.
/// @param aNowMs current time in ms since 1970, for occurrences that are due
std::optional<LongRunningWait> FindLongRunningWait(const DispatchShard& aShard,
                                                   TimePoint aNow,
                                                   std::int64_t aNowMs);

} // namespace verbenacroft
