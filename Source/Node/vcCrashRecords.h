#pragma once

/// Record of the tasks of a shard under which workers have crashed, so that a
/// next owner goes on counting.

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
};
BOOST_DESCRIBE_STRUCT(CrashedTask, (), (mTask, mCrashes, mLongestRunMs))

/// Record of these tasks.
struct CrashedTasksRecord
{
  std::vector<CrashedTask> mTasks;
};
BOOST_DESCRIBE_STRUCT(CrashedTasksRecord, (), (mTasks))

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
