#include "vcDispatchReports.h"

#include "vcDispatchCrashes.h"
#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"
#include "vcDispatchWorkerSet.h"
#include "vcEndAcknowledgement.h"
#include "vcIncarnationFence.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Maximum number of ends in a report. A worker that lists this many may have
/// more that it doesn't list.
constexpr std::size_t kMaxListedEnds = 500;

using RunKey = std::pair<TaskId, std::uint32_t>;

/// Adds a run to those that have to be stopped, unless it is one already.
void RequestStop(DispatchWorker& aWorker,
                 const TaskId& aTask,
                 std::uint32_t aRun,
                 TimePoint aNow)
{
  const auto [at, isNew] = aWorker.mRunsToStop.try_emplace(
    RunKey{ aTask, aRun }, RunToStop{ aNow, kNever });
  if (isNew) {
    spdlog::info("task.to-stop task={} run={} worker={}",
                 Describe(aTask),
                 aRun,
                 aWorker.mEntry.mWorker);
  }
}

/// Longest time for which a run with unknown needs closes its worker: that of a
/// lease and of a stop. A worker that lists it for longer must not stay closed
/// for ever.
Duration MaxClosedTime(const DispatchShard& aShard)
{
  return LongestLease(aShard.mBounds) + aShard.mBounds.mStopTimeout;
}

/// The step that a task belongs to, whether it is open or not; null if it isn't
/// known.
const StepSpec* FindStep(const DispatchShard& aShard, const TaskId& aTask)
{
  const auto job = aShard.mJobs.find(aTask.mJob);
  if (job == aShard.mJobs.end()) {
    return nullptr;
  }
  const auto& steps = job->second.mRecord.mSpec.mSteps;
  return aTask.mStep < steps.size() ? &steps[aTask.mStep] : nullptr;
}

/// Counts the runs to stop that the report lists: they use their worker's
/// capacity until it lists their end, also if it accepts starts beyond that. A
/// run whose needs aren't known may use all of it.
void CountRunsToStop(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const WorkerReport& aReport,
                     TimePoint aNow)
{
  Resources used;
  std::map<std::string, Resources> teamUsed;
  bool isClosed = false;
  for (const auto& row : aReport.mRunning) {
    const DispatchTask* task = FindTask(aShard, row.mTask);
    const StepSpec* step = FindStep(aShard, row.mTask);
    if (step == nullptr) {
      const RunToStop& run = aWorker.mRunsToStop.at({ row.mTask, row.mRun });
      const bool isExpected = aNow - run.mListedSince < MaxClosedTime(aShard);
      isClosed = isClosed || isExpected;
      continue;
    }
    const bool isAssignedHere = task != nullptr &&
                                task->mWorker == aWorker.mEntry.mWorker &&
                                task->mRun == row.mRun;
    if (!isAssignedHere) {
      used += CountedNeeds(*step);
      const auto& terms = aShard.mJobs.at(row.mTask.mJob).mRecord.mTerms;
      if (!terms.mTeam.empty()) {
        teamUsed[terms.mTeam] += step->mNeeds;
      }
    }
  }
  SetTeamRunsToStop(aShard, aWorker, std::move(teamUsed));
  SetUsedByRunsToStop(
    aWorker, isClosed ? ElementwiseMax(used, aWorker.mEntry.mCapacity) : used);
}

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
    spdlog::info("worker.new-incarnation worker={} lost={}",
                 aWorker.mEntry.mWorker,
                 tasks.size());
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
  aWorker.mRunsToStop.clear();
  SetUsedByRunsToStop(aWorker, {});
  SetTeamRunsToStop(aShard, aWorker, {});
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
    RequestStop(aWorker, aRow.mTask, aRow.mRun, aNow);
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
    RequestStop(aWorker, aRow.mTask, aRow.mRun, aNow);
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

/// Marks runs as lost that are assigned to the worker but missing in its
/// report. A run counts only if it was confirmed before the renewal was sent,
/// or if it was uncertain and its start can't take effect any more.
/// @param aIsFirstFenced the report is the first one from which on the worker
/// refuses all starts that were meant for an earlier incarnation
void OnMissingTasks(DispatchShard& aShard,
                    DispatchWorker& aWorker,
                    const WorkerReport& aReport,
                    const ListedRuns& aListed,
                    bool aIsFirstFenced,
                    TimePoint aSentAt,
                    TimePoint aNow)
{
  const bool isComplete = aReport.mEnded.size() < kMaxListedEnds;
  if (!isComplete) {
    return;
  }
  const std::set<TaskId> tasks = aWorker.mTasks;
  for (const auto& key : tasks) {
    const DispatchTask& task = *FindTask(aShard, key);
    if (IsAccountedFor(key, task.mRun, aListed)) {
      continue;
    }
    const bool isStartExpired =
      task.mIsStartUncertain &&
      (aIsFirstFenced || !MayStartTakeEffect(aWorker, task, aNow));
    const bool isLost = !task.mIsStartUncertain &&
                        task.mPhase != RunPhase::kStarting &&
                        task.mConfirmedAt < aSentAt;
    if (isStartExpired || isLost) {
      spdlog::info("task.lost task={} run={} worker={} never_started={}",
                   Describe(key),
                   task.mRun,
                   aWorker.mEntry.mWorker,
                   isStartExpired);
      OnRunLost(aShard, key, aNow);
    }
  }
}

void SetUnresponsive(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     TimePoint aNow)
{
  const bool isFirst = !aWorker.mIsUnresponsive && aWorker.mHasAnswered;
  if (isFirst) {
    aWorker.mSilentSince = aNow;
  }
  aShard.mSilenceVersion += aWorker.mIsUnresponsive ? 0 : 1;
  aWorker.mIsUnresponsive = true;
}

void ApplyReport(DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const WorkerReport& aReport,
                 bool aIsFirstFenced,
                 TimePoint aSentAt,
                 TimePoint aNow,
                 std::int64_t aNowMs)
{
  std::uint64_t seen = aWorker.mSeenIndex;
  for (const auto& end : aReport.mEnded) {
    if (end.mIndex > aWorker.mSeenIndex) {
      OnRunEnd(aShard, aWorker, end, aNow, aNowMs);
      seen = std::max(seen, end.mIndex);
    }
  }
  aWorker.mSeenIndex = seen;
  aWorker.mIsReportedIdle =
    aReport.mRunning.empty() && aReport.mEnded.size() < kMaxListedEnds;
  for (const auto& row : aReport.mRunning) {
    OnRunningTask(aShard, aWorker, row, aNow);
  }
  OnMissingTasks(aShard,
                 aWorker,
                 aReport,
                 ListedRunsOf(aReport),
                 aIsFirstFenced,
                 aSentAt,
                 aNow);
  CountRunsToStop(aShard, aWorker, aReport, aNow);
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
  ApplyReport(aShard, *worker, aReport, isFirstFenced, aSentAt, aNow, aNowMs);
}

} // namespace verbenacroft
