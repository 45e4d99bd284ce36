#include "vcCrashRecords.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

CrashedTasksRecord CrashedTasksOf(const DispatchShard& aShard)
{
  CrashedTasksRecord record;
  for (const auto& key : aShard.mSuspects) {
    const DispatchTask* task = FindTask(aShard, key);
    if (task != nullptr && IsSuspect(*task)) {
      record.mTasks.push_back({ Describe(key),
                                task->mCrashHistory.mCrashes,
                                task->mCrashHistory.mLongestRun.count() });
    }
  }
  return record;
}

void ApplyCrashedTasks(DispatchShard& aShard,
                       const CrashedTasksRecord& aRecord,
                       TimePoint aNow,
                       std::int64_t aNowMs)
{
  for (const auto& row : aRecord.mTasks) {
    const auto key = ParseTaskId(row.mTask);
    if (!key) {
      spdlog::error("task.crashes-unreadable task={}", row.mTask);
      continue;
    }
    ApplyCrashHistory(
      aShard, *key, row.mCrashes, Duration(row.mLongestRunMs), aNow, aNowMs);
  }
}

void MarkStored(DispatchShard& aShard, const CrashedTasksRecord& aRecord)
{
  for (const auto& row : aRecord.mTasks) {
    const auto key = ParseTaskId(row.mTask);
    if (key) {
      MarkCrashHistoryStored(aShard, *key, row.mCrashes);
    }
  }
}

} // namespace verbenacroft
