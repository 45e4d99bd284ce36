#pragma once

/// Records of the tasks of a shard under which workers have crashed, or may
/// have, so that a next owner goes on counting.

#include "vcDispatch.h"
#include "vcNodeContext.h"

namespace verbenacroft {

/// A task under which workers have crashed.
struct CrashedTask
{
  /// The task's identifier as text.
  std::string mTask;
  /// Number of workers that have crashed under it.
  std::uint32_t mCrashes = 0;
  /// Longest time in ms for which it may have run before such a crash.
  std::int64_t mLongestRunMs = 0;
  /// Number of workers that have crashed without having confirmed its start.
  std::uint32_t mUnconfirmed = 0;
};
BOOST_DESCRIBE_STRUCT(CrashedTask,
                      (),
                      (mTask, mCrashes, mLongestRunMs, mUnconfirmed))

/// Record of these tasks.
struct CrashedTasksRecord
{
  std::vector<CrashedTask> mTasks;
};
BOOST_DESCRIBE_STRUCT(CrashedTasksRecord, (), (mTasks))

/// A run that its worker had begun only just when it fell silent.
struct SilentRun
{
  /// The task's identifier as text.
  std::string mTask;
  /// Longest time in ms for which it may have run.
  std::int64_t mRanForMs = 0;
  /// The worker was up when it was told to start the run.
  bool mHasBegun = false;

  bool operator==(const SilentRun&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilentRun, (), (mTask, mRanForMs, mHasBegun))

/// A silent worker that may have crashed under one of its runs.
struct SilentWorker
{
  /// Name of the worker.
  std::string mWorker;
  /// Start of the incarnation that fell silent, in ms since 1970.
  std::int64_t mIncarnation = 0;
  /// Many workers fell silent together with it.
  bool mHasOutsideCause = false;
  /// The runs that the crash would be counted against.
  std::vector<SilentRun> mRuns;

  bool operator==(const SilentWorker&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilentWorker,
                      (),
                      (mWorker, mIncarnation, mHasOutsideCause, mRuns))

/// Record of these workers. A key of its own, since a program that doesn't know
/// it then can still read the counts. It holds only together with the counts of
/// the same write: a crash that was counted is no longer in it.
struct SilentWorkersRecord
{
  std::vector<SilentWorker> mWorkers;

  bool operator==(const SilentWorkersRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilentWorkersRecord, (), (mWorkers))

/// The record of a shard's silent workers, up to a maximum number of runs.
SilentWorkersRecord SilentWorkersOf(const DispatchShard& aShard,
                                    TimePoint aNow);

/// Applies the record of an earlier owner, once the workers, the jobs and their
/// progress are loaded.
void ApplySilentWorkers(DispatchShard& aShard,
                        const SilentWorkersRecord& aRecord);

/// The record of a shard's present suspects.
CrashedTasksRecord CrashedTasksOf(const DispatchShard& aShard);

/// Applies the record of an earlier owner, once the jobs and their progress are
/// loaded.
/// @param aNowMs current time in ms since 1970
void ApplyCrashedTasks(DispatchShard& aShard,
                       const CrashedTasksRecord& aRecord,
                       TimePoint aNow,
                       std::int64_t aNowMs);

/// Notes that the store has this record.
void MarkStored(DispatchShard& aShard, const CrashedTasksRecord& aRecord);

} // namespace verbenacroft
