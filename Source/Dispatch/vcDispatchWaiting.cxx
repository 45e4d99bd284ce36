#include "vcDispatchWaiting.h"

#include "vcDispatchJobs.h"
#include "vcDispatchPlacement.h"
#include "vcDispatchWorkerSet.h"
#include "vcPlacementCandidates.h"

#include <algorithm>
#include <tuple>

namespace verbenacroft {

namespace {

/// A ready step and its waiting tasks.
struct WaitingStep
{
  /// The task that has waited longest.
  TaskId mOldest;
  TimePoint mSince{ 0 };
  std::uint64_t mTasks = 0;
};

WaitingStep MakeWaitingStep(const DispatchJob& aJob,
                            const TaskId& aFirstTask,
                            TimePoint aNow,
                            std::int64_t aNowMs)
{
  const DispatchStep& step = StepStateOf(aJob, aFirstTask);
  const TimePoint readyAt = ReadyAt(aJob, aFirstTask, aNow, aNowMs);
  WaitingStep waiting;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const DispatchTask& task = step.mTasks[i];
    if (task.mPhase != RunPhase::kWaiting) {
      continue;
    }
    const TimePoint since = std::max(readyAt, task.mWaitingSince);
    if (waiting.mTasks == 0 || since < waiting.mSince) {
      waiting.mOldest = aFirstTask;
      waiting.mOldest.mIndex = i;
      waiting.mSince = since;
    }
    ++waiting.mTasks;
  }
  return waiting;
}

/// The ready step of an idle job that has been ready for longest, as one
/// waiting unit, if the job has one that has waited for longer than
/// `kMaxIdleTime`.
std::optional<WaitingStep> LongIdleStep(const DispatchShard& aShard,
                                        const DispatchJob& aJob,
                                        TimePoint aNow,
                                        std::int64_t aNowMs)
{
  std::optional<WaitingStep> longest;
  if (aJob.mActiveRuns > 0) {
    return longest;
  }
  for (const auto& firstTask : ReadySteps(aShard, aJob, aNowMs)) {
    WaitingStep step = MakeWaitingStep(aJob, firstTask, aNow, aNowMs);
    step.mSince = IdleSince(aJob, firstTask, aNow, aNowMs);
    step.mTasks = 1;
    const bool isLong = aNow - step.mSince > kMaxIdleTime;
    if (isLong && (!longest || step.mSince < longest->mSince)) {
      longest = step;
    }
  }
  return longest;
}

/// The reason that keeps a task from a start whatever it needs.
std::optional<WaitReason> ReasonOfTask(const DispatchShard& aShard,
                                       const DispatchJob& aJob,
                                       const TaskId& aTask,
                                       const HeldRevisions& aHeld,
                                       TimePoint aNow)
{
  if (!aShard.mMayStart || aShard.mIsFenced) {
    return WaitReason::kStartsForbidden;
  }
  const DispatchTask& task = StepStateOf(aJob, aTask).mTasks.at(aTask.mIndex);
  const bool isHeld = StepOf(aJob, aTask).mIsLasting
                        ? MayRunUnseen(aJob, task, aHeld, aNow)
                        : aJob.mCreatedAt <= aHeld.mOthers;
  return isHeld ? std::optional(WaitReason::kBarrier) : std::nullopt;
}

void Count(WaitingSummary& aSummary,
           WaitReason aReason,
           const DispatchShard& aShard,
           const WaitingStep& aStep,
           TimePoint aNow)
{
  WaitingTasks& row = aSummary[aReason];
  const Duration wait = std::max(aNow - aStep.mSince, Duration(0));
  if (row.mTasks == 0 || wait > row.mLongestWait) {
    row.mLongestWait = wait;
    row.mExample = aStep.mOldest;
    row.mNeeds =
      StepOf(aShard.mJobs.at(aStep.mOldest.mJob), aStep.mOldest).mNeeds;
  }
  row.mTasks += aStep.mTasks;
}

/// Counts a step whose job waits for a reason of its own, or adds it to those
/// to examine.
void CountOrAdd(WaitingSummary& aSummary,
                std::vector<WaitingStep>& aToExamine,
                std::optional<WaitReason> aReason,
                const DispatchShard& aShard,
                const WaitingStep& aStep,
                TimePoint aNow)
{
  if (aReason) {
    Count(aSummary, *aReason, aShard, aStep, aNow);
  } else {
    aToExamine.push_back(aStep);
  }
}

bool HasWaitedLonger(const WaitingStep& aLeft, const WaitingStep& aRight)
{
  return std::tie(aLeft.mSince, aLeft.mOldest) <
         std::tie(aRight.mSince, aRight.mOldest);
}

/// Counts steps by the reason for which they wait. Only those that have waited
/// longest are examined.
void CountExamined(WaitingSummary& aSummary,
                   const DispatchShard& aShard,
                   std::vector<WaitingStep>& aSteps,
                   TimePoint aNow,
                   std::size_t aMaxExamined)
{
  const std::size_t examined = std::min(aMaxExamined, aSteps.size());
  std::partial_sort(aSteps.begin(),
                    aSteps.begin() + static_cast<std::ptrdiff_t>(examined),
                    aSteps.end(),
                    HasWaitedLonger);
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    const WaitReason reason = i < examined
                                ? WhyNotPlaced(aShard, aSteps[i].mOldest, aNow)
                                : WaitReason::kNotExamined;
    Count(aSummary, reason, aShard, aSteps[i], aNow);
  }
}

/// True if the task has a run, whether that is being stopped or not.
bool HasRun(const DispatchTask& aTask)
{
  return aTask.mPhase == RunPhase::kRunning ||
         (aTask.mPhase == RunPhase::kStopping && !aTask.mIsStartUncertain);
}

/// True if the task runs on a worker that answers.
bool IsKnownToRun(const DispatchShard& aShard, const DispatchTask& aTask)
{
  const auto worker = aShard.mWorkers.find(aTask.mWorker);
  return HasRun(aTask) && worker != aShard.mWorkers.end() &&
         !worker->second.mIsUnresponsive;
}

/// Since when a long-running task that doesn't run has waited.
TimePoint LongRunningWaitSince(const DispatchShard& aShard,
                               const DispatchJob& aJob,
                               const DispatchTask& aTask,
                               TimePoint aReadyAt)
{
  const auto worker = aShard.mWorkers.find(aTask.mWorker);
  const bool isLost = HasRun(aTask) && worker != aShard.mWorkers.end();
  if (isLost) {
    return worker->second.mLastReportAt;
  }
  return std::max({ aReadyAt, aJob.mAddedAt, aTask.mWaitingSince });
}

/// Sets what a long-running task waits for, and on which worker that depends.
void ExplainLongRunningWait(const DispatchShard& aShard,
                            const DispatchTask& aTask,
                            TimePoint aNow,
                            LongRunningWait& aWait)
{
  const DispatchJob& job = aShard.mJobs.at(aWait.mTask.mJob);
  const auto own = aShard.mWorkers.find(aTask.mWorker);
  if (own != aShard.mWorkers.end()) {
    aWait.mReason = HasRun(aTask) ? WaitReason::kSilentWorker
                    : aTask.mPhase == RunPhase::kStarting
                      ? WaitReason::kStarting
                      : WaitReason::kStopping;
    aWait.mWorker = own->first;
    aWait.mRunsEndIn = RunsEndAt(aShard, own->second, aNow) - aNow;
    return;
  }
  const HeldRevisions held = HeldRevisionsOf(aShard, aNow);
  const auto reason = ReasonOfTask(aShard, job, aWait.mTask, held, aNow);
  const WaitReason ofTask = IsWaiting(job, aTask, held, aNow)
                              ? WhyNotPlaced(aShard, aWait.mTask, aNow)
                              : WaitReason::kPaused;
  aWait.mReason = reason.value_or(ofTask);
  if (!reason) {
    aWait.mRoom = RoomOfLongRunning(aShard, aWait.mTask, aNow);
  }
  const auto& unanswered = aShard.mUnansweredWorkers;
  if (aWait.mReason != WaitReason::kBarrier || unanswered.empty()) {
    return;
  }
  const auto last = std::max_element(unanswered.begin(),
                                     unanswered.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.mRunsEndAt <
                                              aRight.second.mRunsEndAt;
                                     });
  aWait.mWorker = last->first;
  aWait.mRunsEndIn = last->second.mRunsEndAt - aNow;
}

/// Adds the tasks of a long-running step that don't run.
void AddLongRunningWaits(const DispatchShard& aShard,
                         const DispatchJob& aJob,
                         const TaskId& aFirstTask,
                         TimePoint aNow,
                         std::int64_t aNowMs,
                         std::optional<LongRunningWait>& aLongest)
{
  const TimePoint readyAt = ReadyAt(aJob, aFirstTask, aNow, aNowMs);
  const auto& tasks = StepStateOf(aJob, aFirstTask).mTasks;
  TaskId key = aFirstTask;
  for (; key.mIndex < tasks.size(); ++key.mIndex) {
    const DispatchTask& task = tasks[key.mIndex];
    if (IsKnownToRun(aShard, task)) {
      continue;
    }
    const Duration wait =
      aNow - LongRunningWaitSince(aShard, aJob, task, readyAt);
    if (!aLongest) {
      aLongest.emplace();
    }
    const bool isLongest = aLongest->mTasks == 0 || wait > aLongest->mWait;
    ++aLongest->mTasks;
    if (isLongest) {
      aLongest->mTask = key;
      aLongest->mWait = wait;
    }
  }
}

/// Calls `aVisit` with the first task of each long-running step of a job whose
/// turn has come.
template<class Visit>
void VisitLongRunningSteps(const DispatchShard& aShard,
                           const DispatchJob& aJob,
                           std::int64_t aNowMs,
                           Visit aVisit)
{
  const auto& steps = aJob.mRecord.mSpec.mSteps;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    const bool isDue = DueAtMs(aJob.mRecord.mSpec, number) <=
                       aNowMs + aShard.mBounds.mMaxEarlyStart.count();
    for (std::uint32_t s = 0; isDue && s < steps.size(); ++s) {
      if (steps[s].mIsLasting && IsStepReady(aJob, occurrence, s)) {
        aVisit(TaskId{ aJob.mId, number, s, 0 });
      }
    }
  }
}

} // namespace

WaitingSummary SummarizeWaiting(const DispatchShard& aShard,
                                TimePoint aNow,
                                std::int64_t aNowMs,
                                std::size_t aMaxExamined)
{
  const HeldRevisions held = HeldRevisionsOf(aShard, aNow);
  WaitingSummary summary;
  std::vector<WaitingStep> steps;
  for (const auto& [id, job] : aShard.mJobs) {
    if (IsFinal(job.mState)) {
      continue;
    }
    for (const auto& firstTask : ReadySteps(aShard, job, aNowMs)) {
      const WaitingStep step = MakeWaitingStep(job, firstTask, aNow, aNowMs);
      const auto reason = ReasonOfTask(aShard, job, step.mOldest, held, aNow);
      CountOrAdd(summary, steps, reason, aShard, step, aNow);
    }
  }
  CountExamined(summary, aShard, steps, aNow, aMaxExamined);
  return summary;
}

WaitingSummary SummarizeIdleJobs(const DispatchShard& aShard,
                                 TimePoint aNow,
                                 std::int64_t aNowMs,
                                 std::size_t aMaxExamined)
{
  const HeldRevisions held = HeldRevisionsOf(aShard, aNow);
  WaitingSummary summary;
  std::vector<WaitingStep> steps;
  for (const auto& [id, job] : aShard.mJobs) {
    if (IsFinal(job.mState)) {
      continue;
    }
    const auto step = LongIdleStep(aShard, job, aNow, aNowMs);
    if (step) {
      const auto reason = ReasonOfTask(aShard, job, step->mOldest, held, aNow);
      CountOrAdd(summary, steps, reason, aShard, *step, aNow);
    }
  }
  CountExamined(summary, aShard, steps, aNow, aMaxExamined);
  return summary;
}

std::optional<LongRunningWait> FindLongRunningWait(const DispatchShard& aShard,
                                                   TimePoint aNow,
                                                   std::int64_t aNowMs)
{
  std::optional<LongRunningWait> longest;
  for (const auto& row : aShard.mJobs) {
    const DispatchJob& job = row.second;
    if (IsFinal(job.mState)) {
      continue;
    }
    VisitLongRunningSteps(aShard, job, aNowMs, [&](const TaskId& aFirstTask) {
      AddLongRunningWaits(aShard, job, aFirstTask, aNow, aNowMs, longest);
    });
  }
  if (longest) {
    const DispatchTask& task = *FindTask(aShard, longest->mTask);
    ExplainLongRunningWait(aShard, task, aNow, *longest);
  }
  return longest;
}

} // namespace verbenacroft
