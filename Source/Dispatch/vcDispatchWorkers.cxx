#include "vcDispatchWorkers.h"

#include "vcDispatchCrashes.h"
#include "vcDispatchJobs.h"
#include "vcDispatchWorkerSet.h"
#include "vcEndAcknowledgement.h"
#include "vcIncarnationFence.h"
#include "vcLossGroups.h"
#include "vcWorkerRuns.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A stop order that was not confirmed is sent again after this time.
constexpr Duration kStopRetryInterval{ 500 };
/// How long a worker is avoided after it refused a start (for lack of capacity,
/// bad health or another reason) or did not answer it.
constexpr Duration kRefusalAvoidTime{ 250 };
/// How long a task waits after a worker refused its start for the task's own
/// sake.
constexpr Duration kRefusedTaskPause{ 250 };
/// A worker that fails to carry out this many starts in a row is put into
/// quarantine. It looks free, so it is preferred, and a task remembers only the
/// last worker that failed.
constexpr std::uint32_t kMaxFailedStarts = 2;
/// How long such a worker is in quarantine, and how long if it fails again.
constexpr Duration kFailedStartsQuarantine{ 3'000 };
constexpr Duration kRepeatedQuarantine{ 6'000 };
/// A task is stalled if its progress has not changed for this long, unless it
/// is long-running or suspended.
constexpr Duration kStallTimeout{ 2'000 };
/// The same as a part of the progress, since workers report it in whole
/// percents: a task isn't stalled before it should have got on by this much.
constexpr double kStallPercent = 3;
/// A best-effort task that was suspended for this long is moved to another
/// worker, if that loses little of its progress.
constexpr Duration kMaxSuspension{ 1'000 };
/// The same for a probe: no other worker was predicted to suit it better, so a
/// move gains nothing if the load of the serving tasks falls again soon.
constexpr Duration kMaxProbeSuspension{ 4'000 };
/// Runs are stopped this long, plus the stop timeout, before their worker may
/// leave.
constexpr Duration kLeaveMargin{ 600 };
/// How long a silent worker is asked whether it has crashed, after its runs
/// were given up.
constexpr Duration kCrashShownWithin{ 15'000 };

/// True if a start was refused because of the task or of the order, so that
/// other tasks may well start on the worker.
bool IsTasksFault(OrderOutcome aRefusal)
{
  return aRefusal == OrderOutcome::kOldRun ||
         aRefusal == OrderOutcome::kMalformed ||
         aRefusal == OrderOutcome::kNoTicket;
}

/// Avoids a worker that has not carried out a start, for longer if it did so
/// before.
void OnFailedStart(DispatchWorker& aWorker,
                   const DispatchTask& aTask,
                   TimePoint aNow)
{
  aWorker.mAvoidedUntil = aNow + kRefusalAvoidTime;
  if (aTask.mStartOrderedAt < aWorker.mStartFailedAt) {
    return;
  }
  aWorker.mStartFailedAt = aNow;
  ++aWorker.mFailedStarts;
  if (aWorker.mFailedStarts < kMaxFailedStarts) {
    return;
  }
  const Duration quarantine = aWorker.mFailedStarts == kMaxFailedStarts
                                ? kFailedStartsQuarantine
                                : kRepeatedQuarantine;
  aWorker.mQuarantinedUntil =
    std::max(aWorker.mQuarantinedUntil, aNow + quarantine);
  spdlog::info("worker.quarantine worker={} failed_starts={} for_ms={}",
               aWorker.mEntry.mWorker,
               aWorker.mFailedStarts,
               quarantine.count());
}

/// True if the worker refuses this owner's present token, so it has seen that
/// of a next owner. Orders to an earlier incarnation have a lower one.
bool IsRefusedForNextOwner(const DispatchShard& aShard,
                           const DispatchWorker* aWorker,
                           std::uint64_t aToken,
                           OrderOutcome aOutcome)
{
  return aOutcome == OrderOutcome::kStaleEpoch && aWorker != nullptr &&
         aToken >= FencingTokenOf(aShard, *aWorker);
}

/// True if the reply's clock is behind what the worker's clock showed when the
/// start was ordered: the worker has restarted since.
bool IsFromLaterIncarnation(const DispatchWorker& aWorker,
                            const RunStart& aStart,
                            const OrderReply& aReply)
{
  return aReply.mClock != 0 &&
         aReply.mClock < ClockReachedBy(aWorker, aStart.mOrderedAt);
}

/// Handles the reply to a start whose run has become needless meanwhile.
void OnStartReplyOfRunToStop(DispatchShard& aShard,
                             DispatchWorker* aWorker,
                             const StartOrder& aOrder,
                             const OrderReply& aReply,
                             TimePoint aNow)
{
  const RunKey key{ aOrder.mTask, aOrder.mRun };
  RunToStop* run = aWorker == nullptr ? nullptr : FindRunToStop(*aWorker, key);
  const bool isUnanswered = aReply.mOutcome == OrderOutcome::kBroken ||
                            aReply.mOutcome == OrderOutcome::kUnknown;
  if (run == nullptr || isUnanswered) {
    return;
  }
  const bool isDone = aReply.mOutcome == OrderOutcome::kDone;
  if (isDone && IsFromLaterIncarnation(*aWorker, run->mStart, aReply)) {
    run->mStart.mIsUncertain = true;
    OnUnmetRestart(aShard, *aWorker, aNow);
  } else if (isDone) {
    ConfirmRunToStop(*run, aNow);
  } else if (run->mStart.mIsUncertain) {
    RemoveRunToStop(aShard, *aWorker, key);
  }
}

/// True if discovery lists the worker as draining and it may leave within the
/// stop timeout plus the margin.
bool IsAboutToLeave(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  return aWorker.mEntry.mIsDraining &&
         Duration(aWorker.mEntry.mLeavesInMs) <
           aShard.mBounds.mStopTimeout + kLeaveMargin;
}

/// Expected run time of one task of the step, in ms, at full speed. The time
/// that was learned for the queue may be that of shorter steps.
double LongestExpectedRunMs(const DispatchShard& aShard,
                            const DispatchJob& aJob,
                            const StepSpec& aStep)
{
  return std::max(ExpectedRunMs(aShard, aJob, aStep),
                  static_cast<double>(aStep.mEstimateMs));
}

/// Time in which the progress of a task that isn't suspended has to change.
Duration StallTimeout(const DispatchShard& aShard,
                      const DispatchJob& aJob,
                      const StepSpec& aStep,
                      const DispatchTask& aTask)
{
  const double percentMs = LongestExpectedRunMs(aShard, aJob, aStep) /
                           static_cast<double>(aTask.mOrderedThrottlePercent);
  return std::max(
    kStallTimeout,
    Duration(static_cast<std::int64_t>(kStallPercent * percentMs)));
}

bool IsStalled(const DispatchShard& aShard,
               const DispatchJob& aJob,
               const StepSpec& aStep,
               const DispatchTask& aTask,
               TimePoint aNow)
{
  const bool isRunning = aTask.mPhase == RunPhase::kRunning &&
                         aTask.mOrderedThrottlePercent > 0 &&
                         aTask.mProgressAt != kNever;
  if (aStep.mIsLasting || !isRunning) {
    return false;
  }
  const TimePoint since = std::max(aTask.mProgressAt, aTask.mThrottledAt);
  return aNow - since > StallTimeout(aShard, aJob, aStep, aTask);
}

/// Longest time for which a best-effort task is suspended. A task that would
/// lose much of its progress by a move waits until it could have caught up.
Duration MaxSuspension(const DispatchShard& aShard,
                       const DispatchJob& aJob,
                       const StepSpec& aStep,
                       const DispatchTask& aTask)
{
  constexpr std::int64_t kMaxLostProgressPercent = 25;
  constexpr double kWholePercent = 100;
  const bool isCheapToMove =
    aStep.mIsCheckpointing || aTask.mProgressPercent < kMaxLostProgressPercent;
  const Duration least = aTask.mIsProbe ? kMaxProbeSuspension : kMaxSuspension;
  if (isCheapToMove) {
    return least;
  }
  const double lostMs = LongestExpectedRunMs(aShard, aJob, aStep) *
                        static_cast<double>(aTask.mProgressPercent) /
                        kWholePercent;
  return std::max(least, Duration(static_cast<std::int64_t>(lostMs)));
}

bool IsSuspendedTooLong(const DispatchShard& aShard,
                        const DispatchJob& aJob,
                        const StepSpec& aStep,
                        const DispatchTask& aTask,
                        TimePoint aNow)
{
  return aStep.mIsFilling && aTask.mOrderedThrottlePercent == 0 &&
         aNow - aTask.mThrottledAt > MaxSuspension(aShard, aJob, aStep, aTask);
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
  return mustMove || IsStalled(aShard, aJob, step, aTask, aNow) ||
         IsSuspendedTooLong(aShard, aJob, step, aTask, aNow);
}

/// True if the task may have ended as done on a worker that is well, though no
/// report of it arrives. The lease proves only that the task doesn't run.
bool MayBeDoneUnheard(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      const TaskId& aKey,
                      TimePoint aNow)
{
  const bool mayBeWell = aWorker.mIsListed && !aWorker.mIsReplaced;
  const bool isAwaited =
    aNow < RunsEndAt(aShard, aWorker, aNow) + kUnheardEndsWait;
  return mayBeWell && isAwaited &&
         !StepOf(aShard.mJobs.at(aKey.mJob), aKey).mIsLasting;
}

/// Name of another worker of the shard that had the address of this one; empty
/// if there is none.
std::string PredecessorOf(const DispatchShard& aShard,
                          const WorkerEntry& aEntry)
{
  const auto found = std::find_if(
    aShard.mWorkers.begin(), aShard.mWorkers.end(), [&](const auto& aRow) {
      return aRow.first != aEntry.mWorker &&
             aRow.second.mEntry.mAddress == aEntry.mAddress;
    });
  return found == aShard.mWorkers.end() ? std::string() : found->first;
}

/// Gives up the runs on an unresponsive worker whose lease is over.
void ReleaseLostRuns(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     TimePoint aNow)
{
  const std::set<TaskId> tasks = aWorker.mTasks;
  std::size_t released = 0;
  for (const auto& key : tasks) {
    const DispatchTask& task = *FindTask(aShard, key);
    const bool isHeld =
      MayBeDoneUnheard(aShard, aWorker, key, aNow) ||
      MayRunInUnmetIncarnation(aShard, aWorker, StartOf(task), aNow);
    if (!isHeld) {
      NoteLostRun(aShard, aWorker, key);
      OnRunLost(aShard, key, aNow);
      ++released;
    }
  }
  RemoveRunsToStop(aShard, aWorker, [&](const RunKey&, const RunToStop& aRun) {
    return !MayRunInUnmetIncarnation(aShard, aWorker, aRun.mStart, aNow);
  });
  if (released > 0) {
    spdlog::info("worker.lease-over worker={} tasks={} awaited={} listed={} "
                 "last_report_ms_ago={}",
                 aWorker.mEntry.mWorker,
                 released,
                 aWorker.mTasks.size(),
                 aWorker.mIsListed,
                 (aNow - aWorker.mLastReportAt).count());
  }
}

/// Remembers the loss of a worker that leaves the set while it is silent. That
/// of one whose next incarnation has answered is remembered already.
void RememberIfLost(DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow)
{
  const auto loss = PresentLossOf(aWorker, aNow);
  if (loss && !aWorker.mIsReplaced) {
    RememberLoss(aShard, *loss, aNow);
  }
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
      // This owner may have used it before, with a higher token than its epoch.
      worker.mFencingToken = aShard.mLatestOwnWrite;
      worker.mIsTokenUnused = false;
      worker.mFoundAt = aNow;
      worker.mLastReportAt = aNow;
      worker.mSilentSince = aNow;
      spdlog::info("worker.found worker={} data_centre={} address={} "
                   "succeeds={}",
                   entry.mWorker,
                   entry.mDataCentre,
                   entry.mAddress,
                   PredecessorOf(aShard, entry));
    } else if (entry.mIsDraining && !worker.mEntry.mIsDraining) {
      spdlog::info("worker.draining worker={} leaves_in_ms={}",
                   entry.mWorker,
                   entry.mLeavesInMs);
    }
    worker.mEntry = entry;
    worker.mEndpoint = *endpoint;
    worker.mIsListed = true;
    const bool hasRestarted =
      worker.mIncarnation != 0 && entry.mIncarnation > worker.mIncarnation;
    if (IsSilent(worker) && hasRestarted) {
      OnUnmetRestart(aShard, worker, aNow);
    }
  }
}

RenewOrder MakeRenewal(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       Duration aWait,
                       TimePoint aNow)
{
  RenewOrder order;
  order.mEpoch = TokenOfNextRenewal(aShard, aWorker);
  const std::int64_t clock = EstimateClock(aWorker, aNow);
  // An unresponsive worker is only asked for a report. A renewal that it
  // received but did not answer would extend its lease, and its tasks could
  // never be declared lost.
  const bool isOnlyAsked =
    clock == 0 || aWorker.mIsUnresponsive || IsFencePending(aWorker);
  aWorker.mSentAckIndex = 0;
  if (isOnlyAsked) {
    return order;
  }
  aWorker.mIsTokenUnused = false;
  const bool mustAck = aWorker.mAckIndex > aWorker.mAnsweredAckIndex &&
                       !HasStartUnderWay(aShard, aWorker, aNow);
  order.mAckIndex = mustAck ? aWorker.mAckIndex : 0;
  aWorker.mSentAckIndex = order.mAckIndex;
  // An inactive worker is asked again soon, since it is used once it is
  // recorded as active.
  // Starts wait for the answer to an acknowledgement.
  const bool isAwaited = aWorker.mIsInactive || mustAck;
  order.mWait = isAwaited ? Duration(0) : aWait;
  // The next owner counts on the end of the runs on workers that aren't active.
  const std::int64_t leaseUntil =
    std::min(clock + aShard.mBounds.mMaxLease.count(),
             ClockReachedBy(aWorker, aShard.mLeasesEndBy));
  const bool mayRenew = aWorker.mIsRecorded && !IsHeldBack(aShard, aWorker);
  if (mayRenew && leaseUntil > clock) {
    order.mLeaseUntil = leaseUntil;
    aWorker.mLeaseUntil = std::max(aWorker.mLeaseUntil, order.mLeaseUntil);
  }
  return order;
}

bool IsStartPending(DispatchShard& aShard,
                    const std::string& aWorker,
                    const StartOrder& aOrder)
{
  const DispatchTask* task = FindTask(aShard, aOrder.mTask);
  return task != nullptr && task->mPhase == RunPhase::kStarting &&
         task->mWorker == aWorker && task->mRun == aOrder.mRun;
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
  if (IsRefusedForNextOwner(aShard, worker, aOrder.mEpoch, aReply.mOutcome)) {
    aShard.mIsFenced = true;
  }
  if (!isCurrent) {
    OnStartReplyOfRunToStop(aShard, worker, aOrder, aReply, aNow);
    return;
  }
  if (aReply.mOutcome == OrderOutcome::kDone) {
    worker->mFailedStarts = 0;
    MarkStarted(aShard.mJobs.at(key.mJob));
    if (IsFromLaterIncarnation(*worker, StartOf(*task), aReply)) {
      task->mIsStartUncertain = true;
      OnUnmetRestart(aShard, *worker, aNow);
      return;
    }
    if (task->mPhase == RunPhase::kStarting) {
      task->mPhase = RunPhase::kRunning;
      task->mConfirmedAt = aNow;
      task->mFirstSeenClock = aReply.mClock;
    }
    return;
  }
  spdlog::info("task.start-refused task={} run={} worker={} outcome={}",
               Describe(aOrder.mTask),
               aOrder.mRun,
               aWorker,
               NameOf(aReply.mOutcome));
  // A worker that carries out no start keeps its free capacity, and would be
  // chosen again.
  task->mAvoidedWorker = aWorker;
  const bool isBroken = aReply.mOutcome == OrderOutcome::kBroken;
  if (isBroken || aReply.mOutcome == OrderOutcome::kUnknown) {
    task->mStartBrokenAt = isBroken ? aNow : kNever;
    ++aShard.mSilenceVersion;
    // A start that is being stopped stays as uncertain as it is: the stop may
    // have been answered already.
    task->mIsStartUncertain =
      task->mIsStartUncertain || task->mPhase == RunPhase::kStarting;
    OnFailedStart(*worker, *task, aNow);
    return;
  }
  task->mIsStartUncertain = false;
  if (task->mPhase != RunPhase::kStarting) {
    return;
  }
  if (IsTasksFault(aReply.mOutcome)) {
    task->mRetryAt = aNow + kRefusedTaskPause;
  } else if (aReply.mOutcome == OrderOutcome::kNoRoom) {
    // Smaller tasks may well start there.
    worker->mAvoidedUntil = aNow + kRefusalAvoidTime;
  } else {
    OnFailedStart(*worker, *task, aNow);
  }
  if (task->mIsProbe) {
    // It measures nothing, so another one needn't wait for its effect.
    worker->mProbedAt = kNever;
  }
  ReleaseToWait(aShard, key, aNow);
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
  if (IsRefusedForNextOwner(aShard, worker, aOrder.mEpoch, aReply.mOutcome)) {
    aShard.mIsFenced = true;
  }
  if (worker == nullptr || aReply.mOutcome != OrderOutcome::kDone) {
    return;
  }
  // The next incarnation knows nothing of a stop that this one has answered.
  const bool isForEarlierIncarnation =
    IsFencePending(*worker) || aOrder.mEpoch < FencingTokenOf(aShard, *worker);
  if (isForEarlierIncarnation) {
    return;
  }
  // If the run had started, a report lists it as stopped. If its start has not
  // arrived, the worker refuses it from now on, and the next report shows that
  // the run is missing.
  const auto isRefusedFromNowOn = [&](const RunStart& aStart) {
    return aStart.mIsUncertain &&
           !MayStartInNextIncarnation(*worker, aStart, aNow);
  };
  const bool isCurrent =
    task != nullptr && task->mWorker == aWorker && task->mRun == aOrder.mRun;
  if (isCurrent && isRefusedFromNowOn(StartOf(*task))) {
    task->mIsStartUncertain = false;
    task->mConfirmedAt = aNow;
  }
  RunToStop* run = FindRunToStop(*worker, { key, aOrder.mRun });
  if (run != nullptr && isRefusedFromNowOn(run->mStart)) {
    ConfirmRunToStop(*run, aNow);
  }
}

void ReapWorkers(DispatchShard& aShard, TimePoint aNow)
{
  // Those runs have ended for good, also if this owner's lease becomes
  // uncertain later.
  ForgetEndedRuns(aShard, aNow);
  for (auto at = aShard.mWorkers.begin(); at != aShard.mWorkers.end();) {
    DispatchWorker& worker = at->second;
    const bool isLeaseOver = aShard.mIsLeaseProved && worker.mIsUnresponsive &&
                             IsLeaseOver(worker, aNow);
    if (isLeaseOver) {
      ReleaseLostRuns(aShard, worker, aNow);
    }
    // Runs that an earlier owner started may still exist on a worker that has
    // not answered, whether discovery lists it or not.
    const bool isUnanswered = aShard.mUnansweredWorkers.contains(at->first);
    // A worker that has crashed shows it when its machine is back.
    const bool mayShowCrash = !worker.mLostRuns.empty() &&
                              aNow - worker.mSilentSince < kCrashShownWithin;
    const bool hasRuns = !worker.mTasks.empty() || !worker.mRunsToStop.empty();
    const bool isRemovable = !worker.mIsListed && !hasRuns && !isUnanswered &&
                             !mayShowCrash &&
                             (isLeaseOver || !worker.mHasAnswered);
    if (!isRemovable) {
      ++at;
      continue;
    }
    RememberIfLost(aShard, worker, aNow);
    at = aShard.mWorkers.erase(at);
  }
}

void PlanStops(DispatchShard& aShard, TimePoint aNow, DispatchActions& aActions)
{
  for (auto& [name, worker] : aShard.mWorkers) {
    if (worker.mIsUnresponsive) {
      continue;
    }
    const std::uint64_t token = FencingTokenOf(aShard, worker);
    for (auto& [run, stop] : worker.mRunsToStop) {
      if (aNow - stop.mStopSentAt >= kStopRetryInterval) {
        stop.mStopSentAt = aNow;
        aActions.mStops.push_back({ name, { run.first, run.second, token } });
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
      aActions.mStops.push_back({ name, { key, task.mRun, token } });
    }
  }
}

} // namespace verbenacroft
