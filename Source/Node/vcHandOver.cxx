#include "vcHandOver.h"

#include "vcWorkerSetRecords.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Time in ms from `aNow` until `aEndAt`; 0 if that has passed.
std::int64_t MsUntil(TimePoint aEndAt, TimePoint aNow)
{
  return std::max<std::int64_t>((aEndAt - aNow).count(), 0);
}

/// Adds the waiting tasks of a long-running step.
void AddWaitingTasks(const DispatchShard& aShard,
                     const DispatchJob& aJob,
                     const TaskId& aFirstTask,
                     TimePoint aNow,
                     std::vector<WaitingTask>& aWaiting)
{
  const auto& tasks = StepStateOf(aJob, aFirstTask).mTasks;
  TaskId key = aFirstTask;
  for (; key.mIndex < tasks.size(); ++key.mIndex) {
    const DispatchTask& task = tasks[key.mIndex];
    if (task.mPhase != RunPhase::kWaiting) {
      continue;
    }
    const TimePoint endAt = UnseenRunsEndAt(aShard, aJob, task, aNow);
    aWaiting.push_back({ Describe(key), MsUntil(endAt, aNow) });
  }
}

/// The long-running tasks of all jobs that wait for a start.
std::vector<WaitingTask> WaitingLongRunningTasks(const DispatchShard& aShard,
                                                 TimePoint aNow)
{
  std::vector<WaitingTask> waiting;
  for (const auto& [id, job] : aShard.mJobs) {
    const auto& steps = job.mRecord.mSpec.mSteps;
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < steps.size(); ++s) {
        if (steps[s].mIsLasting) {
          AddWaitingTasks(aShard, job, { id, number, s, 0 }, aNow, waiting);
        }
      }
    }
  }
  return waiting;
}

void ShortenWorker(DispatchShard& aShard,
                   const WorkerRunsEnd& aRow,
                   TimePoint aUnownedSince)
{
  const auto worker = aShard.mUnansweredWorkers.find(aRow.mWorker);
  if (worker != aShard.mUnansweredWorkers.end()) {
    TimePoint& endAt = worker->second.mRunsEndAt;
    endAt = std::min(endAt, aUnownedSince + Duration(aRow.mEndInMs));
  }
}

void ShortenTask(DispatchShard& aShard,
                 const WaitingTask& aRow,
                 TimePoint aUnownedSince)
{
  const auto key = ParseTaskId(aRow.mTask);
  if (!key) {
    spdlog::error("hand-over.task-unreadable task={}", aRow.mTask);
    return;
  }
  // The job may have ended meanwhile.
  DispatchTask* task = OpenTask(aShard, *key);
  if (task != nullptr) {
    task->mNoUnseenRunAfter = std::min(
      task->mNoUnseenRunAfter, aUnownedSince + Duration(aRow.mRunsEndInMs));
  }
}

} // namespace

HandOverRecord MakeHandOver(const DispatchShard& aShard,
                            const WorkerSetRecord& aWorkerSet,
                            TimePoint aNow)
{
  HandOverRecord record;
  record.mGeneration = aWorkerSet.mGeneration;
  for (const auto& member : aWorkerSet.mWorkers) {
    const auto worker = aShard.mWorkers.find(member.mWorker);
    if (worker != aShard.mWorkers.end()) {
      const TimePoint endAt = RunsEndAt(aShard, worker->second, aNow);
      record.mWorkers.push_back({ member.mWorker, MsUntil(endAt, aNow) });
    }
  }
  record.mWaiting = WaitingLongRunningTasks(aShard, aNow);
  return record;
}

void ApplyHandOver(DispatchShard& aShard,
                   const HandOverRecord& aRecord,
                   std::uint32_t aGeneration,
                   TimePoint aUnownedSince)
{
  if (aRecord.mGeneration + 1 != aGeneration) {
    return;
  }
  for (const auto& row : aRecord.mWorkers) {
    ShortenWorker(aShard, row, aUnownedSince);
  }
  for (const auto& row : aRecord.mWaiting) {
    ShortenTask(aShard, row, aUnownedSince);
  }
}

} // namespace verbenacroft
