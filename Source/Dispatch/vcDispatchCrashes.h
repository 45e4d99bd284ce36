#pragma once

/// Crashes of workers and the tasks that may have caused them. A task that
/// crashes each worker that starts it would take down the runs beside it again
/// and again, so it is given up after some crashes.
///
/// A crash alone doesn't show which task of the worker caused it. All runs that
/// were not seen at work for a while are suspected; if there is none, all runs.
/// A suspect is started apart from others that weren't seen at work yet, so
/// that the next crash names the culprit, and the others are cleared by their
/// runs.
///
/// Many workers that were lost together have a cause outside of them, so only
/// runs that had just begun are suspected. Members of such a group are noticed
/// one after another: what was counted before the group was known is taken
/// back.
///
/// A crash is noticed some time after it. The clock of the next incarnation
/// begins at its start, so it shows a time before which the crash came. A start
/// that was ordered later, or that the next incarnation has carried out, can't
/// have caused the crash.

#include "vcDispatchState.h"
#include "vcLossGroups.h"

namespace verbenacroft {

/// A task is not started again once this many workers have crashed under it.
constexpr std::uint32_t kMaxCrashes = 3;
/// The same if only some of them, or none, are known to have begun it. A worker
/// that is down when it is told to start a task looks the same as one that the
/// task crashes at once, so a few of them are no proof.
constexpr std::uint32_t kMaxPossibleCrashes = 5;

/// Runs that a crash of a worker is counted against.
struct CrashSuspects
{
  std::vector<LostRun> mRuns;
  /// Number of all runs that the worker had, and of those that weren't seen at
  /// work.
  std::size_t mAll = 0;
  std::size_t mUnseen = 0;
  /// The workers that were lost together with this one; all 0 if an owner
  /// before has counted them.
  LossGroup mGroup;
  /// Many workers crashed or fell silent together with this one.
  bool mHasOutsideCause = false;
  /// Latest possible time of the crash.
  TimePoint mCrashedBy{ kNever };
};

/// Longest time for which the run may have lasted.
Duration RanFor(const CrashSuspects& aSuspects, const LostRun& aRun);

/// Runs that are in doubt while a worker is silent: those not seen at work that
/// a crash is counted against, should the worker turn out to have crashed. None
/// if it isn't silent, its crash was counted, or it was draining.
CrashSuspects RunsInDoubt(const DispatchShard& aShard,
                          const DispatchWorker& aWorker,
                          TimePoint aNow);

/// A run that was in doubt under the owner before.
struct InheritedRun
{
  TaskId mTask;
  /// Longest time for which it may have run.
  Duration mRanFor{ 0 };
  /// The worker was up when it was told to start the run.
  bool mHasBegun = false;
};

/// A worker that was silent under the owner before, and its runs in doubt.
struct InheritedSilence
{
  std::string mWorker;
  /// Incarnation that fell silent.
  std::int64_t mIncarnation = 0;
  bool mHasOutsideCause = false;
  std::vector<InheritedRun> mRuns;
};

/// Takes over the runs that were in doubt under the owner before, before any
/// worker has answered this one. Does nothing if the shard doesn't have the
/// worker.
void InheritRunsInDoubt(DispatchShard& aShard,
                        const InheritedSilence& aSilence);

/// Counts a crash of the worker against the tasks that may have caused it, and
/// gives up those that have used up their crashes. The runs aren't released. A
/// worker that was draining has left and didn't crash.
/// @param aReport the report that shows another incarnation; the worker's state
/// is still that of the one before
/// @param aNowMs current time in ms since 1970
void OnWorkerCrashed(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const WorkerReport& aReport,
                     TimePoint aNow,
                     std::int64_t aNowMs);

/// Takes back what was counted for crashes that turn out to be parts of a
/// larger one. To be called when a worker falls silent or is found to have
/// crashed.
void ReconsiderCrashes(DispatchShard& aShard, TimePoint aNow);

/// Notes a run that is given up since the lease of its silent worker is over,
/// in case the worker turns out to have crashed.
void NoteLostRun(const DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const TaskId& aKey);

/// Restores the crash history that an earlier owner stored for a task. Does
/// nothing if the shard doesn't have the task.
/// @param aStored its numbers of crashes and its longest run
void ApplyCrashHistory(DispatchShard& aShard,
                       const TaskId& aKey,
                       const CrashHistory& aStored,
                       TimePoint aNow,
                       std::int64_t aNowMs);

/// Notes that the store has the history of a suspect with these numbers of
/// crashes.
void MarkCrashHistoryStored(DispatchShard& aShard,
                            const TaskId& aKey,
                            const CrashHistory& aStored);

/// Forgets the suspects that are done, have run for long enough, or whose job
/// has ended for good.
void ForgetClearedSuspects(DispatchShard& aShard);

} // namespace verbenacroft
