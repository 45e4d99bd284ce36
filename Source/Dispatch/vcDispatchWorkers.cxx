#include "vcDispatchWorkers.h"

#include "vcDispatchJobs.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A stop that wasn't confirmed is sent again after this time.
constexpr Duration kStopAgain{ 500 };
/// How long a worker that refused for room or health is left alone.
constexpr Duration kRefusalRest{ 250 };
/// A worker that lists this many ends may hold more that it doesn't list.
constexpr std::size_t kMostListedEnds = 500;
/// A batch task whose progress doesn't change for so long stands still.
constexpr Duration kStandstill{ 2'000 };
/// A filling task that was made to rest for so long is moved elsewhere.
constexpr Duration kLongestRest{ 1'000 };
/// Runs are ended this much before their worker leaves.
constexpr Duration kLeaveMargin{ 600 };

using RunKey = std::pair<TaskId, std::uint32_t>;

/// Marks a run for stopping unless it is already.
void WantStopped(DispatchWorker& aWorker,
                 const TaskId& aTask,
                 std::uint32_t aRun)
{
  aWorker.mUnwanted.try_emplace(RunKey{ aTask, aRun }, kNever);
}

/// A new lifetime holds nothing of what ran before. A start without an
/// answer may yet reach it, and is stopped there.
void OnNewLifetime(DispatchShard& aShard, DispatchWorker& aWorker)
{
  const std::set<TaskId> tasks = aWorker.mTasks;
  spdlog::info("worker.new-lifetime worker={} lost={}",
               aWorker.mEntry.mWorker,
               tasks.size());
  aWorker.mSeenIndex = 0;
  aWorker.mAckIndex = 0;
  aWorker.mLeaseUntil = 0;
  aWorker.mUnwanted.clear();
  for (const auto& key : tasks) {
    TaskSlot& task = *FindTask(aShard, key);
    if (task.mIsUncertain) {
      task.mPhase = RunPhase::kStopping;
      task.mStopSentAt = kNever;
    } else {
      OnRunLost(aShard, key);
    }
  }
}

void NoteProgress(TaskSlot& aTask, const RunningTask& aRow, TimePoint aNow)
{
  const bool isMoving = aRow.mProgressPercent != aTask.mProgressPercent;
  if (isMoving || aTask.mProgressAt == kNever) {
    aTask.mProgressAt = aNow;
  }
  aTask.mProgressPercent = aRow.mProgressPercent;
}

/// Takes in one row of what runs on a worker.
void OnRunningRow(DispatchShard& aShard,
                  DispatchWorker& aWorker,
                  const RunningTask& aRow,
                  TimePoint aNow)
{
  const TaskId key = aRow.mTask;
  TaskSlot* task = FindTask(aShard, key);
  if (task == nullptr) {
    WantStopped(aWorker, aRow.mTask, aRow.mRun);
    return;
  }
  DispatchJob& job = aShard.mJobs.at(key.mJob);
  const bool isMine = task->mWorker == aWorker.mEntry.mWorker;
  if (isMine && task->mRun == aRow.mRun) {
    if (task->mPhase == RunPhase::kStarting) {
      task->mPhase = RunPhase::kRunning;
      task->mConfirmedAt = aNow;
    }
    task->mIsUncertain = false;
    if (!aRow.mCheckpoint.empty()) {
      task->mCheckpoint = aRow.mCheckpoint;
    }
    NoteProgress(*task, aRow, aNow);
    return;
  }
  const bool isAdoptable = task->mPhase == RunPhase::kWaiting &&
                           !IsFinal(job.mState) && aRow.mRun > task->mEndedRun;
  if (!isAdoptable) {
    WantStopped(aWorker, aRow.mTask, aRow.mRun);
    return;
  }
  Assign(aShard, key, aWorker.mEntry.mWorker, aRow.mRun);
  task->mPhase = RunPhase::kRunning;
  task->mOrderedAt = aNow;
  task->mConfirmedAt = aNow;
  task->mPacePercent = kUnknownPace;
  NoteProgress(*task, aRow, aNow);
  if (!aRow.mCheckpoint.empty()) {
    task->mCheckpoint = aRow.mCheckpoint;
  }
  spdlog::info("task.adopt task={} run={} worker={}",
               Describe(aRow.mTask),
               aRow.mRun,
               aWorker.mEntry.mWorker);
}

/// Finds the tasks that the worker should list and doesn't.
void OnMissingTasks(DispatchShard& aShard,
                    DispatchWorker& aWorker,
                    const WorkerReport& aReport,
                    const std::set<TaskId>& aListed,
                    TimePoint aSentAt)
{
  const bool isWhole = aReport.mEnded.size() < kMostListedEnds;
  if (!isWhole) {
    return;
  }
  const std::set<TaskId> tasks = aWorker.mTasks;
  for (const auto& key : tasks) {
    if (aListed.contains(key)) {
      continue;
    }
    const TaskSlot& task = *FindTask(aShard, key);
    const bool isTooLate = task.mIsUncertain && aReport.mClock > task.mNotAfter;
    const bool isGone = !task.mIsUncertain &&
                        task.mPhase != RunPhase::kStarting &&
                        task.mConfirmedAt < aSentAt;
    if (isTooLate || isGone) {
      spdlog::info("task.gone task={} run={} worker={} never_started={}",
                   Describe(key),
                   task.mRun,
                   aWorker.mEntry.mWorker,
                   isTooLate);
      OnRunLost(aShard, key);
    }
  }
}

void TakeInReport(DispatchShard& aShard,
                  DispatchWorker& aWorker,
                  const WorkerReport& aReport,
                  TimePoint aSentAt,
                  TimePoint aNow,
                  std::int64_t aNowMs)
{
  std::set<TaskId> listed;
  for (const auto& row : aReport.mRunning) {
    listed.insert(row.mTask);
  }
  std::uint64_t seen = aWorker.mSeenIndex;
  for (const auto& end : aReport.mEnded) {
    listed.insert(end.mTask);
    if (end.mIndex > aWorker.mSeenIndex) {
      OnRunEnd(aShard, aWorker, end, aNow, aNowMs);
      seen = std::max(seen, end.mIndex);
    }
  }
  aWorker.mSeenIndex = seen;
  for (const auto& row : aReport.mRunning) {
    OnRunningRow(aShard, aWorker, row, aNow);
  }
  OnMissingTasks(aShard, aWorker, aReport, listed, aSentAt);
}

bool IsLeaseOver(const DispatchWorker& aWorker, TimePoint aNow)
{
  if (aWorker.mClock == 0) {
    return true;
  }
  const auto elapsed =
    static_cast<double>((aNow - aWorker.mClockReadAt).count());
  const auto least =
    aWorker.mClock + static_cast<std::int64_t>(elapsed * kSlowestClock);
  return least > aWorker.mLeaseUntil;
}

/// True if the worker itself says that it leaves within the margin.
bool IsAboutToLeave(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  return aWorker.mEntry.mIsDraining &&
         Duration(aWorker.mEntry.mLeavesInMs) <
           aShard.mBounds.mStopTimeout + kLeaveMargin;
}

bool IsStandingStill(const StepSpec& aStep,
                     const TaskSlot& aTask,
                     TimePoint aNow)
{
  const bool isAtWork = aTask.mPhase == RunPhase::kRunning &&
                        aTask.mPacePercent > 0 && aTask.mProgressAt != kNever;
  const TimePoint since = std::max(aTask.mProgressAt, aTask.mPacedAt);
  return !aStep.mIsLasting && isAtWork && aNow - since > kStandstill;
}

/// True if the task rests for the sake of its neighbours, and has little to
/// lose by a move.
bool IsRestingLong(const StepSpec& aStep, const TaskSlot& aTask, TimePoint aNow)
{
  constexpr std::int64_t kLittleDone = 25;
  const bool isCheap =
    aStep.mIsCheckpointing || aTask.mProgressPercent < kLittleDone;
  return aStep.mIsFilling && aTask.mPacePercent == 0 && isCheap &&
         aNow - aTask.mPacedAt > kLongestRest;
}

bool MustStop(const DispatchShard& aShard,
              const DispatchJob& aJob,
              const DispatchWorker& aWorker,
              const TaskId& aKey,
              const TaskSlot& aTask,
              TimePoint aNow)
{
  if (aTask.mPhase == RunPhase::kStopping || IsFinal(aJob.mState)) {
    return true;
  }
  const StepSpec& step = StepOf(aJob, aKey);
  const bool isMoving = aWorker.mEntry.mIsDraining &&
                        (step.mIsLasting || IsAboutToLeave(aShard, aWorker));
  return isMoving || IsStandingStill(step, aTask, aNow) ||
         IsRestingLong(step, aTask, aNow);
}

} // namespace

void OnDiscovery(DispatchShard& aShard,
                 const std::vector<WorkerEntry>& aEntries,
                 TimePoint aNow)
{
  for (auto& [name, worker] : aShard.mWorkers) {
    worker.mIsListed = false;
  }
  for (const auto& entry : aEntries) {
    const auto endpoint = ParseEndpoint(entry.mAddress);
    if (!endpoint) {
      continue;
    }
    auto [at, isNew] = aShard.mWorkers.try_emplace(entry.mWorker);
    DispatchWorker& worker = at->second;
    if (isNew) {
      worker.mLastHeardAt = aNow;
      spdlog::info("worker.found worker={} data_centre={} address={}",
                   entry.mWorker,
                   entry.mDataCentre,
                   entry.mAddress);
    } else if (entry.mIsDraining && !worker.mEntry.mIsDraining) {
      spdlog::info("worker.draining worker={} leaves_in_ms={}",
                   entry.mWorker,
                   entry.mLeavesInMs);
    }
    worker.mEntry = entry;
    worker.mEndpoint = *endpoint;
    worker.mIsListed = true;
  }
}

RenewOrder MakeRenewal(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       Duration aWait,
                       TimePoint aNow)
{
  RenewOrder order;
  order.mEpoch = aShard.mEpoch;
  // A worker that was silent may be a new lifetime, whose ends would be
  // forgotten unseen.
  order.mAckIndex = aWorker.mIsSilent ? 0 : aWorker.mAckIndex;
  const std::int64_t clock = EstimateClock(aWorker, aNow);
  // A silent worker is only asked: what it may have heard but not answered
  // would prolong its lease, and its tasks could never be given up for lost.
  if (clock > 0 && !aWorker.mIsSilent) {
    order.mLeaseUntil = clock + aShard.mBounds.mMaxLease.count();
    aWorker.mLeaseUntil = std::max(aWorker.mLeaseUntil, order.mLeaseUntil);
    order.mWait = aWait;
  }
  return order;
}

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
    aShard.mIsDeposed = true;
    return;
  }
  if (aReport.mOutcome == OrderOutcome::kOtherLifetime) {
    OnNewLifetime(aShard, *worker);
    aShard.mUnansweredWorkers.erase(aWorker);
    worker->mIsSilent = true;
    return;
  }
  if (aReport.mOutcome != OrderOutcome::kDone) {
    if (!worker->mIsSilent) {
      spdlog::info("worker.silent worker={} outcome={} heard_ms_ago={}",
                   aWorker,
                   NameOf(aReport.mOutcome),
                   (aNow - worker->mLastHeardAt).count());
    }
    worker->mIsSilent = true;
    return;
  }
  const bool isReborn = worker->mBorn != 0 && aReport.mBorn != worker->mBorn;
  if (isReborn) {
    OnNewLifetime(aShard, *worker);
  }
  if (worker->mIsSilent) {
    spdlog::info("worker.heard worker={} born={}", aWorker, aReport.mBorn);
  }
  worker->mIsSilent = false;
  worker->mHasAnswered = true;
  worker->mBorn = aReport.mBorn;
  worker->mClock = aReport.mClock;
  worker->mClockReadAt = aNow;
  worker->mLastHeardAt = aNow;
  aShard.mUnansweredWorkers.erase(aWorker);
  TakeInReport(aShard, *worker, aReport, aSentAt, aNow, aNowMs);
}

void OnStartReply(DispatchShard& aShard,
                  const std::string& aWorker,
                  const StartOrder& aOrder,
                  const OrderReply& aReply,
                  TimePoint aNow)
{
  const TaskId key = aOrder.mTask;
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  TaskSlot* task = FindTask(aShard, key);
  const bool isCurrent = worker != nullptr && task != nullptr &&
                         task->mWorker == aWorker && task->mRun == aOrder.mRun;
  if (aReply.mOutcome == OrderOutcome::kStaleEpoch) {
    aShard.mIsDeposed = true;
  }
  if (!isCurrent) {
    return;
  }
  if (aReply.mOutcome == OrderOutcome::kDone) {
    if (task->mPhase == RunPhase::kStarting) {
      task->mPhase = RunPhase::kRunning;
      task->mConfirmedAt = aNow;
    }
    return;
  }
  spdlog::info("task.start-refused task={} run={} worker={} outcome={}",
               Describe(aOrder.mTask),
               aOrder.mRun,
               aWorker,
               NameOf(aReply.mOutcome));
  if (aReply.mOutcome == OrderOutcome::kUnknown) {
    task->mIsUncertain = task->mPhase == RunPhase::kStarting;
    worker->mAvoidedUntil = aNow + kRefusalRest;
    return;
  }
  if (task->mPhase != RunPhase::kStarting) {
    return;
  }
  worker->mAvoidedUntil = aNow + kRefusalRest;
  Release(aShard, key, RunPhase::kWaiting);
}

void OnStopReply(DispatchShard& aShard,
                 const std::string& aWorker,
                 const StopOrder& aOrder,
                 const OrderReply& aReply,
                 TimePoint aNow)
{
  const TaskId key = aOrder.mTask;
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  TaskSlot* task = FindTask(aShard, key);
  if (aReply.mOutcome == OrderOutcome::kStaleEpoch) {
    aShard.mIsDeposed = true;
  }
  if (worker == nullptr || aReply.mOutcome != OrderOutcome::kDone) {
    return;
  }
  const bool isCurrent =
    task != nullptr && task->mWorker == aWorker && task->mRun == aOrder.mRun;
  if (!isCurrent) {
    return;
  }
  // What is running is listed as stopped; what never came is refused from
  // now on, which the next report shows.
  if (task->mIsUncertain) {
    task->mIsUncertain = false;
    task->mConfirmedAt = aNow;
  }
}

bool IsBarrierClear(const DispatchShard& aShard, TimePoint aNow)
{
  return aShard.mUnansweredWorkers.empty() ||
         (aShard.mIsLeaseProved && aNow >= aShard.mBarrierUntil);
}

void ReapWorkers(DispatchShard& aShard, TimePoint aNow)
{
  // What may run on them is over, also if the lease comes into doubt later.
  if (IsBarrierClear(aShard, aNow)) {
    aShard.mUnansweredWorkers.clear();
  }
  for (auto at = aShard.mWorkers.begin(); at != aShard.mWorkers.end();) {
    DispatchWorker& worker = at->second;
    const bool isOver =
      aShard.mIsLeaseProved && worker.mIsSilent && IsLeaseOver(worker, aNow);
    if (isOver && !worker.mTasks.empty()) {
      spdlog::info("worker.lease-over worker={} tasks={} heard_ms_ago={}",
                   at->first,
                   worker.mTasks.size(),
                   (aNow - worker.mLastHeardAt).count());
      const std::set<TaskId> tasks = worker.mTasks;
      for (const auto& key : tasks) {
        OnRunLost(aShard, key);
      }
    }
    // What an earlier owner started may still run on a worker that hasn't
    // answered, listed or not.
    const bool isOwed = aShard.mUnansweredWorkers.contains(at->first);
    const bool isGone = !worker.mIsListed && worker.mTasks.empty() && !isOwed &&
                        (isOver || !worker.mHasAnswered);
    at = isGone ? aShard.mWorkers.erase(at) : std::next(at);
  }
}

void PlanStops(DispatchShard& aShard, TimePoint aNow, DispatchActions& aActions)
{
  for (auto& [name, worker] : aShard.mWorkers) {
    if (worker.mIsSilent) {
      continue;
    }
    for (auto& [run, sentAt] : worker.mUnwanted) {
      if (aNow - sentAt >= kStopAgain) {
        sentAt = aNow;
        aActions.mStops.push_back(
          { name, { run.first, run.second, aShard.mEpoch } });
      }
    }
    for (const auto& key : worker.mTasks) {
      TaskSlot& task = *FindTask(aShard, key);
      const DispatchJob& job = aShard.mJobs.at(key.mJob);
      if (aNow - task.mStopSentAt < kStopAgain ||
          !MustStop(aShard, job, worker, key, task, aNow)) {
        continue;
      }
      if (task.mPhase == RunPhase::kRunning) {
        task.mAvoidedWorker = name;
        spdlog::info("task.stop task={} run={} worker={} job_state={} "
                     "draining={} ran_ms={}",
                     Describe(key),
                     task.mRun,
                     name,
                     NameOf(job.mState),
                     worker.mEntry.mIsDraining,
                     (aNow - task.mOrderedAt).count());
      }
      task.mPhase = RunPhase::kStopping;
      task.mStopSentAt = aNow;
      aActions.mStops.push_back({ name, { key, task.mRun, aShard.mEpoch } });
    }
  }
}

} // namespace verbenacroft
