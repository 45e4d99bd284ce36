#include "vcDispatchReports.h"

#include "vcDispatchCrashes.h"
#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"
#include "vcDispatchWorkerSet.h"
#include "vcEndAcknowledgement.h"
#include "vcIncarnationFence.h"
#include "vcWorkerRuns.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Maximum number of ends in a report. A worker that lists this many may have
/// more that it doesn't list.
constexpr std::size_t kMaxListedEnds = 500;

/// What a report lists.
struct ListedRuns
{
  /// Runs that go on or have ended.
  std::set<RunKey> mRuns;
  /// Tasks of which a run goes on.
  std::set<TaskId> mRunningTasks;
};

ListedRuns ListedRunsOf(const WorkerReport& aReport)
{
  ListedRuns listed;
  for (const auto& row : aReport.mRunning) {
    listed.mRuns.insert({ row.mTask, row.mRun });
    listed.mRunningTasks.insert(row.mTask);
  }
  for (const auto& end : aReport.mEnded) {
    listed.mRuns.insert({ end.mTask, end.mRun });
  }
  return listed;
}

/// Removes the runs to stop of an earlier incarnation. Those whose start may
/// still reach the new one are stopped again there.
void RemoveRunsOfEarlierIncarnation(DispatchShard& aShard,
                                    DispatchWorker& aWorker)
{
  RemoveRunsToStop(aShard, aWorker, [](const RunKey&, const RunToStop& aRun) {
    return !aRun.mStart.mIsUncertain;
  });
  for (auto& [key, run] : aWorker.mRunsToStop) {
    run.mStopSentAt = kNever;
  }
}

/// Handles a restarted worker. The new incarnation runs nothing that ran
/// before. A start that was not answered, or not yet, may still reach it, and
/// is stopped there unless the report lists it already.
void OnNewIncarnation(DispatchShard& aShard,
                      DispatchWorker& aWorker,
                      const WorkerReport& aReport,
                      TimePoint aNow,
                      std::int64_t aNowMs)
{
  const ListedRuns listed = ListedRunsOf(aReport);
  const std::set<TaskId> tasks = aWorker.mTasks;
  // Another incarnation at the address is met with each renewal.
  if (!aWorker.mIsReplaced) {
    spdlog::info("worker.new-incarnation worker={} address={} lost={} "
                 "under_another_id={}",
                 aWorker.mEntry.mWorker,
                 aWorker.mEntry.mAddress,
                 tasks.size(),
                 aReport.mOutcome == OrderOutcome::kOtherIncarnation);
    OnWorkerCrashed(aShard, aWorker, aReport, aNow, aNowMs);
  }
  aWorker.mSeenIndex = 0;
  aWorker.mAckIndex = 0;
  aWorker.mAnsweredAckIndex = 0;
  aWorker.mUnacknowledgedSince = kNever;
  aWorker.mLeaseUntil = 0;
  aWorker.mStartsUntil = 0;
  aWorker.mEarlierLeasesUntil = kNever;
  aWorker.mIsReportedIdle = false;
  RemoveRunsOfEarlierIncarnation(aShard, aWorker);
  for (const auto& key : tasks) {
    DispatchTask& task = *FindTask(aShard, key);
    task.mFirstSeenClock = 0;
    task.mSeenAtWorkFor = Duration(0);
    if (listed.mRuns.contains({ key, task.mRun })) {
      continue;
    }
    if (task.mIsStartUncertain || task.mPhase == RunPhase::kStarting) {
      task.mIsStartUncertain = true;
      task.mPhase = RunPhase::kStopping;
      task.mStopSentAt = kNever;
    } else {
      OnRunLost(aShard, key, aNow);
    }
  }
}

/// Notes for how long the run has been seen at work.
/// @param aClock the worker's clock in ms, as of the report
void UpdateSeenAtWork(DispatchTask& aTask, std::int64_t aClock)
{
  if (aTask.mFirstSeenClock == 0) {
    aTask.mFirstSeenClock = aClock;
  }
  aTask.mSeenAtWorkFor =
    std::max(aTask.mSeenAtWorkFor, Duration(aClock - aTask.mFirstSeenClock));
}

void UpdateProgress(DispatchTask& aTask,
                    const RunningTask& aRow,
                    TimePoint aNow)
{
  const bool isChanged = aRow.mProgressPercent != aTask.mProgressPercent;
  if (isChanged || aTask.mProgressAt == kNever) {
    aTask.mProgressAt = aNow;
  }
  aTask.mProgressPercent = aRow.mProgressPercent;
}

/// Applies one running task of a report: confirms the expected run, adopts a
/// run of a waiting task, or requests the stop of any other run.
void OnRunningTask(DispatchShard& aShard,
                   DispatchWorker& aWorker,
                   const RunningTask& aRow,
                   TimePoint aNow)
{
  const TaskId key = aRow.mTask;
  DispatchTask* task = OpenTask(aShard, key);
  if (task == nullptr) {
    OnRunToStopListed(aShard, aWorker, { aRow.mTask, aRow.mRun }, aNow);
    return;
  }
  DispatchJob& job = aShard.mJobs.at(key.mJob);
  MarkStarted(job);
  const bool isAssignedHere = task->mWorker == aWorker.mEntry.mWorker;
  if (isAssignedHere && task->mRun == aRow.mRun) {
    if (task->mPhase == RunPhase::kStarting) {
      task->mPhase = RunPhase::kRunning;
      task->mConfirmedAt = aNow;
      // The start was carried out, whatever became of its answer.
      aWorker.mFailedStarts = 0;
    }
    task->mIsStartUncertain = false;
    UpdateSeenAtWork(*task, aWorker.mClock);
    if (!aRow.mCheckpoint.empty()) {
      task->mCheckpoint = aRow.mCheckpoint;
    }
    // Long-running tasks never end as done, so this is their success.
    const bool hasBegunWork = StepOf(job, key).mIsLasting &&
                              task->mProgressPercent < kAtWorkPercent &&
                              aRow.mProgressPercent >= kAtWorkPercent;
    if (hasBegunWork) {
      aWorker.mFailedJobs.clear();
    }
    UpdateProgress(*task, aRow, aNow);
    return;
  }
  const bool isAdoptable = task->mPhase == RunPhase::kWaiting &&
                           !IsFinal(job.mState) && aRow.mRun > task->mEndedRun;
  if (!isAdoptable) {
    OnRunToStopListed(aShard, aWorker, { aRow.mTask, aRow.mRun }, aNow);
    return;
  }
  Assign(aShard, key, aWorker.mEntry.mWorker, aRow.mRun);
  // Nobody starts a task elsewhere while it runs here.
  task->mNoUnseenRunAfter = aNow;
  task->mPhase = RunPhase::kRunning;
  task->mStartOrderedAt = aNow;
  task->mConfirmedAt = aNow;
  UpdateSeenAtWork(*task, aWorker.mClock);
  if (StepOf(job, key).mIsFilling) {
    task->mOrderedThrottlePercent = kUnknownThrottlePercent;
  }
  UpdateProgress(*task, aRow, aNow);
  if (!aRow.mCheckpoint.empty()) {
    task->mCheckpoint = aRow.mCheckpoint;
  }
  spdlog::info("task.adopt task={} run={} worker={}",
               Describe(aRow.mTask),
               aRow.mRun,
               aWorker.mEntry.mWorker);
}

/// True if the report shows what became of the task's run, or that another run
/// of the task goes on, beside which none may be started. The end of another
/// run shows nothing.
bool IsAccountedFor(const TaskId& aKey,
                    std::uint32_t aRun,
                    const ListedRuns& aListed)
{
  return aListed.mRunningTasks.contains(aKey) ||
         aListed.mRuns.contains({ aKey, aRun });
}

/// When a report was asked for and processed.
struct ReportTimes
{
  TimePoint mSentAt{ kNever };
  TimePoint mNow{ kNever };
  /// It is the first report from which on the worker refuses all starts that
  /// were meant for an earlier incarnation.
  bool mIsFirstFenced = false;
};

/// True if a run isn't at work that a complete report doesn't list: it was
/// confirmed before the renewal was sent, or its start was uncertain and can't
/// take effect any more.
bool IsGone(const DispatchWorker& aWorker,
            const RunStart& aStart,
            TimePoint aConfirmedAt,
            const ReportTimes& aTimes)
{
  return aStart.mIsUncertain
           ? aTimes.mIsFirstFenced ||
               !MayStartTakeEffect(aWorker, aStart, aTimes.mNow)
           : aConfirmedAt < aTimes.mSentAt;
}

/// Marks runs as lost that are assigned to the worker but missing in its
/// complete report.
void OnMissingTasks(DispatchShard& aShard,
                    DispatchWorker& aWorker,
                    const ListedRuns& aListed,
                    const ReportTimes& aTimes)
{
  const std::set<TaskId> tasks = aWorker.mTasks;
  for (const auto& key : tasks) {
    const DispatchTask& task = *FindTask(aShard, key);
    if (IsAccountedFor(key, task.mRun, aListed)) {
      continue;
    }
    const bool isStarting =
      task.mPhase == RunPhase::kStarting && !task.mIsStartUncertain;
    const bool isLost =
      !isStarting && IsGone(aWorker, StartOf(task), task.mConfirmedAt, aTimes);
    if (isLost) {
      spdlog::info("task.lost task={} run={} worker={} never_started={}",
                   Describe(key),
                   task.mRun,
                   aWorker.mEntry.mWorker,
                   task.mIsStartUncertain);
      OnRunLost(aShard, key, aTimes.mNow);
    }
  }
}

/// Removes the runs to stop that a complete report shows to be gone.
void RemoveMissingRunsToStop(DispatchShard& aShard,
                             DispatchWorker& aWorker,
                             const ListedRuns& aListed,
                             const ReportTimes& aTimes)
{
  RemoveRunsToStop(
    aShard, aWorker, [&](const RunKey& aKey, const RunToStop& aRun) {
      return !aListed.mRuns.contains(aKey) &&
             IsGone(aWorker, aRun.mStart, aRun.mConfirmedAt, aTimes);
    });
}

void SetUnresponsive(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     TimePoint aNow)
{
  const bool isFirst = !aWorker.mIsUnresponsive && aWorker.mHasAnswered;
  if (isFirst) {
    aWorker.mSilentSince = aNow;
  }
  const bool isNews = !aWorker.mIsUnresponsive;
  aWorker.mIsUnresponsive = true;
  if (isNews) {
    ++aShard.mSilenceVersion;
    ReconsiderCrashes(aShard, aNow);
  }
}

void ApplyReport(DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const WorkerReport& aReport,
                 const ReportTimes& aTimes,
                 std::int64_t aNowMs)
{
  std::uint64_t seen = aWorker.mSeenIndex;
  for (const auto& end : aReport.mEnded) {
    if (end.mIndex > aWorker.mSeenIndex) {
      OnRunEnd(aShard, aWorker, end, aTimes.mNow, aNowMs);
      seen = std::max(seen, end.mIndex);
    }
  }
  aWorker.mSeenIndex = seen;
  const bool isComplete = aReport.mEnded.size() < kMaxListedEnds;
  aWorker.mIsReportedIdle = aReport.mRunning.empty() && isComplete;
  for (const auto& row : aReport.mRunning) {
    OnRunningTask(aShard, aWorker, row, aTimes.mNow);
  }
  if (isComplete) {
    const ListedRuns listed = ListedRunsOf(aReport);
    OnMissingTasks(aShard, aWorker, listed, aTimes);
    RemoveMissingRunsToStop(aShard, aWorker, listed, aTimes);
  }
}

} // namespace

void OnReport(DispatchShard& aShard,
              const std::string& aWorker,
              const WorkerReport& aReport,
              TimePoint aSentAt,
              TimePoint aNow,
              std::int64_t aNowMs)
{
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  if (worker == nullptr) {
    return;
  }
  if (aReport.mOutcome == OrderOutcome::kStaleEpoch) {
    aShard.mIsFenced = true;
    return;
  }
  if (aReport.mOutcome == OrderOutcome::kOtherIncarnation) {
    OnNewIncarnation(aShard, *worker, aReport, aNow, aNowMs);
    worker->mIsReplaced = true;
    aShard.mUnansweredWorkers.erase(aWorker);
    SetUnresponsive(aShard, *worker, aNow);
    return;
  }
  if (aReport.mOutcome != OrderOutcome::kDone) {
    if (!worker->mIsUnresponsive) {
      spdlog::info(
        "worker.unresponsive worker={} outcome={} last_report_ms_ago={}",
        aWorker,
        NameOf(aReport.mOutcome),
        (aNow - worker->mLastReportAt).count());
    }
    SetUnresponsive(aShard, *worker, aNow);
    return;
  }
  const bool isNewIncarnation =
    worker->mIncarnation != 0 && aReport.mIncarnation != worker->mIncarnation;
  bool isFirstFenced = false;
  if (isNewIncarnation) {
    OnNewIncarnation(aShard, *worker, aReport, aNow, aNowMs);
    isFirstFenced = OnRestart(aShard, *worker, aNow);
  } else {
    OnRenewalAnswered(*worker, aNow);
  }
  if (worker->mIsUnresponsive) {
    spdlog::info("worker.responsive worker={} incarnation={}",
                 aWorker,
                 aReport.mIncarnation);
  }
  aShard.mSilenceVersion += IsSilent(*worker) ? 1 : 0;
  worker->mIsUnresponsive = false;
  worker->mIsReplaced = false;
  worker->mLostRuns.clear();
  worker->mWasLostTogether = false;
  worker->mHasAnswered = true;
  worker->mIncarnation = aReport.mIncarnation;
  worker->mClock = aReport.mClock;
  worker->mClockReadAt = aNow;
  worker->mLastReportAt = aNow;
  worker->mUnmetRestartAt = kNever;
  OnFirstAnswer(aShard, *worker, aNow);
  if (!isNewIncarnation) {
    isFirstFenced = CompleteFence(aShard, *worker, aNow);
  }
  ApplyReport(
    aShard, *worker, aReport, { aSentAt, aNow, isFirstFenced }, aNowMs);
}

} // namespace verbenacroft
