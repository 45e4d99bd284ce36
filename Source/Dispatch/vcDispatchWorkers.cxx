#include "vcDispatchWorkers.h"

#include "vcDispatchJobs.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A stop order that was not confirmed is sent again after this time.
constexpr Duration kStopRetryInterval{ 500 };
/// How long a worker is avoided after it refused a start (for lack of capacity,
/// bad health or another reason) or did not answer it.
constexpr Duration kRefusalAvoidTime{ 250 };
/// A task is stalled if its progress has not changed for this long at full
/// speed, unless it is long-running or suspended.
constexpr Duration kStallTimeout{ 2'000 };
constexpr std::int64_t kFullSpeedPercent = 100;
/// A best-effort task that was suspended for this long is moved to another
/// worker.
constexpr Duration kMaxSuspension{ 1'000 };
/// The same for a probe: no other worker was predicted to suit it better, so a
/// move gains nothing if the load of the serving tasks falls again soon.
constexpr Duration kMaxProbeSuspension{ 4'000 };
/// Runs are stopped this long, plus the stop timeout, before their worker may
/// leave.
constexpr Duration kLeaveMargin{ 600 };

bool IsLeaseOver(const DispatchWorker& aWorker, TimePoint aNow)
{
  if (aWorker.mClock == 0) {
    return true;
  }
  const auto elapsed =
    static_cast<double>((aNow - aWorker.mClockReadAt).count());
  const auto minClock =
    aWorker.mClock + static_cast<std::int64_t>(elapsed * kMinClockRate);
  return minClock > aWorker.mLeaseUntil;
}

/// True if discovery lists the worker as draining and it may leave within the
/// stop timeout plus the margin.
bool IsAboutToLeave(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  return aWorker.mEntry.mIsDraining &&
         Duration(aWorker.mEntry.mLeavesInMs) <
           aShard.mBounds.mStopTimeout + kLeaveMargin;
}

bool IsStalled(const StepSpec& aStep, const DispatchTask& aTask, TimePoint aNow)
{
  const bool isRunning = aTask.mPhase == RunPhase::kRunning &&
                         aTask.mOrderedThrottlePercent > 0 &&
                         aTask.mProgressAt != kNever;
  if (aStep.mIsLasting || !isRunning) {
    return false;
  }
  const TimePoint since = std::max(aTask.mProgressAt, aTask.mThrottledAt);
  const Duration timeout =
    kStallTimeout * kFullSpeedPercent / aTask.mOrderedThrottlePercent;
  return aNow - since > timeout;
}

/// True if a best-effort task has been suspended for too long and a move loses
/// little of its progress.
bool IsSuspendedTooLong(const StepSpec& aStep,
                        const DispatchTask& aTask,
                        TimePoint aNow)
{
  constexpr std::int64_t kMaxLostProgressPercent = 25;
  const bool isCheapToMove =
    aStep.mIsCheckpointing || aTask.mProgressPercent < kMaxLostProgressPercent;
  const Duration limit = aTask.mIsProbe ? kMaxProbeSuspension : kMaxSuspension;
  return aStep.mIsFilling && aTask.mOrderedThrottlePercent == 0 &&
         isCheapToMove && aNow - aTask.mThrottledAt > limit;
}

bool MustStop(const DispatchShard& aShard,
              const DispatchJob& aJob,
              const DispatchWorker& aWorker,
              const TaskId& aKey,
              const DispatchTask& aTask,
              TimePoint aNow)
{
  if (aTask.mPhase == RunPhase::kStopping || IsFinal(aJob.mState)) {
    return true;
  }
  const StepSpec& step = StepOf(aJob, aKey);
  const bool mustMove = aWorker.mEntry.mIsDraining &&
                        (step.mIsLasting || IsAboutToLeave(aShard, aWorker));
  return mustMove || IsStalled(step, aTask, aNow) ||
         IsSuspendedTooLong(step, aTask, aNow);
}

/// True if nothing runs on the worker and no start that was ordered so far can
/// begin there. The last report decides, not the list of tasks alone: a task
/// may be taken off that list, because it is done elsewhere, while its start is
/// on its way. A worker that has reported refuses earlier owners, and its ends
/// are in the store. Silence afterwards changes nothing. A new incarnation's
/// clock is behind the deadlines of starts that may still reach it.
bool IsVacated(const DispatchWorker& aWorker)
{
  return aWorker.mIsReportedIdle && aWorker.mTasks.empty() &&
         aWorker.mClock > aWorker.mStartsUntil &&
         aWorker.mAckIndex >= aWorker.mSeenIndex;
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
      worker.mLastReportAt = aNow;
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
  // A worker that was unresponsive may be a new incarnation, which would
  // discard ends that were never processed here.
  order.mAckIndex = aWorker.mIsUnresponsive ? 0 : aWorker.mAckIndex;
  const std::int64_t clock = EstimateClock(aWorker, aNow);
  // An unresponsive worker is only asked for a report. A renewal that it
  // received but did not answer would extend its lease, and its tasks could
  // never be declared lost.
  if (clock > 0 && !aWorker.mIsUnresponsive) {
    order.mLeaseUntil = clock + aShard.mBounds.mMaxLease.count();
    aWorker.mLeaseUntil = std::max(aWorker.mLeaseUntil, order.mLeaseUntil);
    order.mWait = aWait;
  }
  return order;
}

void OnStartReply(DispatchShard& aShard,
                  const std::string& aWorker,
                  const StartOrder& aOrder,
                  const OrderReply& aReply,
                  TimePoint aNow)
{
  const TaskId key = aOrder.mTask;
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  DispatchTask* task = FindTask(aShard, key);
  const bool isCurrent = worker != nullptr && task != nullptr &&
                         task->mWorker == aWorker && task->mRun == aOrder.mRun;
  if (aReply.mOutcome == OrderOutcome::kStaleEpoch) {
    aShard.mIsFenced = true;
  }
  if (!isCurrent) {
    return;
  }
  if (aReply.mOutcome == OrderOutcome::kDone) {
    MarkStarted(aShard.mJobs.at(key.mJob));
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
    // A start that is being stopped stays as uncertain as it is: the stop may
    // have been answered already.
    task->mIsStartUncertain =
      task->mIsStartUncertain || task->mPhase == RunPhase::kStarting;
    worker->mAvoidedUntil = aNow + kRefusalAvoidTime;
    return;
  }
  task->mIsStartUncertain = false;
  if (task->mPhase != RunPhase::kStarting) {
    return;
  }
  worker->mAvoidedUntil = aNow + kRefusalAvoidTime;
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
  DispatchTask* task = FindTask(aShard, key);
  if (aReply.mOutcome == OrderOutcome::kStaleEpoch) {
    aShard.mIsFenced = true;
  }
  if (worker == nullptr || aReply.mOutcome != OrderOutcome::kDone) {
    return;
  }
  const bool isCurrent =
    task != nullptr && task->mWorker == aWorker && task->mRun == aOrder.mRun;
  if (!isCurrent) {
    return;
  }
  // If the run had started, a report lists it as stopped. If its start has not
  // arrived, the worker refuses it from now on, and the next report shows that
  // the run is missing.
  if (task->mIsStartUncertain) {
    task->mIsStartUncertain = false;
    task->mConfirmedAt = aNow;
  }
}

bool IsBarrierClear(const DispatchShard& aShard, TimePoint aNow)
{
  return aShard.mUnansweredWorkers.empty() ||
         (aShard.mIsLeaseProved && aNow >= aShard.mBarrierUntil);
}

bool MustBeRecorded(const DispatchWorker& aWorker)
{
  if (aWorker.mIsRecorded) {
    return !aWorker.mEntry.mIsDraining || !IsVacated(aWorker);
  }
  // Nothing starts on a worker that isn't recorded, so nothing runs there.
  return aWorker.mIsListed && !aWorker.mEntry.mIsDraining;
}

void ReapWorkers(DispatchShard& aShard, TimePoint aNow)
{
  // Runs of earlier owners on these workers have ended; this remains true if
  // this owner's lease becomes uncertain later.
  if (IsBarrierClear(aShard, aNow)) {
    aShard.mUnansweredWorkers.clear();
  }
  for (auto at = aShard.mWorkers.begin(); at != aShard.mWorkers.end();) {
    DispatchWorker& worker = at->second;
    const bool isLeaseOver = aShard.mIsLeaseProved && worker.mIsUnresponsive &&
                             IsLeaseOver(worker, aNow);
    if (isLeaseOver && !worker.mTasks.empty()) {
      spdlog::info("worker.lease-over worker={} tasks={} last_report_ms_ago={}",
                   at->first,
                   worker.mTasks.size(),
                   (aNow - worker.mLastReportAt).count());
      const std::set<TaskId> tasks = worker.mTasks;
      for (const auto& key : tasks) {
        OnRunLost(aShard, key);
      }
    }
    // Runs that an earlier owner started may still exist on a worker that has
    // not answered, whether discovery lists it or not.
    const bool isUnanswered = aShard.mUnansweredWorkers.contains(at->first);
    const bool isRemovable = !worker.mIsListed && worker.mTasks.empty() &&
                             !isUnanswered &&
                             (isLeaseOver || !worker.mHasAnswered);
    at = isRemovable ? aShard.mWorkers.erase(at) : std::next(at);
  }
}

void PlanStops(DispatchShard& aShard, TimePoint aNow, DispatchActions& aActions)
{
  for (auto& [name, worker] : aShard.mWorkers) {
    if (worker.mIsUnresponsive) {
      continue;
    }
    for (auto& [run, sentAt] : worker.mRunsToStop) {
      if (aNow - sentAt >= kStopRetryInterval) {
        sentAt = aNow;
        aActions.mStops.push_back(
          { name, { run.first, run.second, aShard.mEpoch } });
      }
    }
    for (const auto& key : worker.mTasks) {
      DispatchTask& task = *FindTask(aShard, key);
      const DispatchJob& job = aShard.mJobs.at(key.mJob);
      if (aNow - task.mStopSentAt < kStopRetryInterval ||
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
                     (aNow - task.mStartOrderedAt).count());
      }
      // The stop may overtake a start that has no answer yet.
      task.mIsStartUncertain =
        task.mIsStartUncertain || task.mPhase == RunPhase::kStarting;
      task.mPhase = RunPhase::kStopping;
      task.mStopSentAt = aNow;
      aActions.mStops.push_back({ name, { key, task.mRun, aShard.mEpoch } });
    }
  }
}

} // namespace verbenacroft
