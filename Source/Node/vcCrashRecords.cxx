#include "vcCrashRecords.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// Maximum number of runs in the record of the silent workers, so that it stays
/// small when many workers fall silent at once.
constexpr std::size_t kMaxSilentRuns = 200;

CrashHistory HistoryOf(const CrashedTask& aRow)
{
  CrashHistory history;
  history.mCrashes = aRow.mCrashes;
  history.mUnconfirmed = aRow.mUnconfirmed;
  history.mLongestRun = Duration(aRow.mLongestRunMs);
  return history;
}

} // namespace

SilentWorkersRecord SilentWorkersOf(const DispatchShard& aShard, TimePoint aNow)
{
  SilentWorkersRecord record;
  std::size_t runs = 0;
  std::size_t omitted = 0;
  for (const auto& [name, worker] : aShard.mWorkers) {
    const CrashSuspects suspects = RunsInDoubt(aShard, worker, aNow);
    if (suspects.mRuns.empty()) {
      continue;
    }
    if (runs + suspects.mRuns.size() > kMaxSilentRuns) {
      ++omitted;
      continue;
    }
    runs += suspects.mRuns.size();
    SilentWorker row{
      name, worker.mIncarnation, suspects.mHasOutsideCause, {}
    };
    for (const auto& run : suspects.mRuns) {
      row.mRuns.push_back(
        { Describe(run.mTask), RanFor(suspects, run).count(), run.mHasBegun });
    }
    record.mWorkers.push_back(std::move(row));
  }
  if (omitted > 0) {
    spdlog::warn("shard.silent-workers-omitted workers={} recorded={}",
                 omitted,
                 record.mWorkers.size());
  }
  return record;
}

void ApplySilentWorkers(DispatchShard& aShard,
                        const SilentWorkersRecord& aRecord)
{
  for (const auto& row : aRecord.mWorkers) {
    InheritedSilence silence{
      row.mWorker, row.mIncarnation, row.mHasOutsideCause, {}
    };
    for (const auto& run : row.mRuns) {
      const auto key = ParseTaskId(run.mTask);
      if (key) {
        silence.mRuns.push_back(
          { *key, Duration(run.mRanForMs), run.mHasBegun });
      } else {
        spdlog::error("task.silent-run-unreadable task={}", run.mTask);
      }
    }
    InheritRunsInDoubt(aShard, silence);
  }
}

CrashedTasksRecord CrashedTasksOf(const DispatchShard& aShard)
{
  CrashedTasksRecord record;
  for (const auto& key : aShard.mSuspects) {
    const DispatchTask* task = FindTask(aShard, key);
    if (task != nullptr && IsSuspect(*task)) {
      record.mTasks.push_back({ Describe(key),
                                task->mCrashHistory.mCrashes,
                                task->mCrashHistory.mLongestRun.count(),
                                task->mCrashHistory.mUnconfirmed });
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
    ApplyCrashHistory(aShard, *key, HistoryOf(row), aNow, aNowMs);
  }
}

void MarkStored(DispatchShard& aShard, const CrashedTasksRecord& aRecord)
{
  for (const auto& row : aRecord.mTasks) {
    const auto key = ParseTaskId(row.mTask);
    if (key) {
      MarkCrashHistoryStored(aShard, *key, HistoryOf(row));
    }
  }
}

} // namespace verbenacroft
