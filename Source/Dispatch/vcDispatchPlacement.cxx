#include "vcDispatchPlacement.h"

#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"
#include "vcDispatchReservations.h"
#include "vcDispatchSharing.h"
#include "vcDispatchSuccession.h"
#include "vcOverload.h"
#include "vcPlacementRound.h"
#include "vcProbeStarts.h"
#include "vcRackLocality.h"
#include "vcSuspectIsolation.h"
#include "vcSuspectStarts.h"
#include "vcTeamQuota.h"
#include "vcWorkerRuns.h"

#include <algorithm>
#include <optional>
#include <span>
#include <variant>

namespace verbenacroft {

namespace {

/// Whether a step may take the room that is kept for the next task of another
/// job.
enum class KeptRoomUse
{
  kTake,
  kLeave,
};

/// Starts waiting tasks of a step one by one, as far as there is capacity.
/// @param aMaxStarts maximum number of tasks to start
void StartIndividually(DispatchShard& aShard,
                       const TaskId& aFirstTask,
                       std::uint32_t aMaxStarts,
                       KeptRoomUse aUse,
                       Round& aRound,
                       DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const std::string& service = job.mRecord.mTerms.mService;
  auto& usable = aRound.mUsable[service];
  const StepSpec& step = StepOf(job, aFirstTask);
  const bool leavesKept = aUse == KeptRoomUse::kLeave;
  FailedPlacements& failed =
    leavesKept ? aRound.mFailedBesideKept : aRound.mFailedPlacements;
  // Steps before it may have failed only since the room is kept for this one.
  const bool isKnownToFail =
    (aRound.mFailedPlacements.IsKnownToFail(service, step) ||
     failed.IsKnownToFail(service, step)) &&
    !HasReservation(aFirstTask, usable, aRound.mNow);
  if (isKnownToFail) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  needs.mKept = leavesKept ? &aRound.mKept : nullptr;
  StepWorkers workers(aShard, needs, usable, aRound.mNow);
  TaskId key = aFirstTask;
  std::uint32_t started = 0;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    if (aShard.mStartBudget <= 0 || started == aMaxStarts) {
      return;
    }
    const DispatchTask& task = *FindTask(aShard, key);
    if (!IsWaiting(job, task, aRound.mHeld, aRound.mNow)) {
      continue;
    }
    if (!MayTeamStart(aShard, job, needs.mStep, 1)) {
      return;
    }
    DispatchWorker* worker = workers.TakeBest(task.mAvoidedWorker);
    if (worker == nullptr) {
      // If the step limits its tasks per worker, other steps may still fit.
      if (needs.mStep.mMaxPerWorker == 0) {
        failed.Record(service, needs.mStep);
      }
      return;
    }
    const bool awaitsRack =
      AwaitsRack(aShard, needs, key, *worker, aRound.mRackPlaces, aRound.mNow);
    if (awaitsRack) {
      workers.PutBack(*worker);
      continue;
    }
    StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
    workers.PutBack(*worker);
    ++started;
  }
}

/// Starts the tasks of a long-running step that have found no room for long on
/// workers in quarantine: a failure there costs less than no run at all.
void StartInQuarantine(DispatchShard& aShard,
                       const TaskId& aFirstTask,
                       Round& aRound,
                       DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const auto& quarantined = aRound.mQuarantined[job.mRecord.mTerms.mService];
  if (quarantined.empty()) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  StepWorkers workers(aShard, needs, quarantined, aRound.mNow);
  const TimePoint readyAt =
    ReadyAt(job, aFirstTask, aRound.mNow, aRound.mNowMs);
  TaskId key = aFirstTask;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    const DispatchTask& task = *FindTask(aShard, key);
    const TimePoint since = std::max(readyAt, task.mWaitingSince);
    const bool mayStart = aShard.mStartBudget > 0 &&
                          IsWaiting(job, task, aRound.mHeld, aRound.mNow) &&
                          aRound.mNow - since >= kTakesKeptRoomAfter &&
                          MayTeamStart(aShard, job, needs.mStep, 1);
    if (!mayStart) {
      continue;
    }
    DispatchWorker* worker = workers.TakeBest(task.mAvoidedWorker);
    if (worker == nullptr) {
      return;
    }
    StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
    workers.PutBack(*worker);
  }
}

/// Chooses workers for the members of a gang, in their order, as many as fit.
std::vector<std::string> ChooseForGang(DispatchShard& aShard,
                                       const StepNeeds& aNeeds,
                                       StepWorkers& aWorkers)
{
  std::vector<std::string> chosen;
  std::vector<DispatchTask> before;
  TaskId key = aNeeds.mFirstTask;
  for (; key.mIndex < aNeeds.mStep.mCount; ++key.mIndex) {
    DispatchWorker* worker = aWorkers.TakeBest({});
    if (worker == nullptr) {
      break;
    }
    const DispatchTask& task = *FindTask(aShard, key);
    before.push_back(task);
    // Reserves the room, so that it counts for the members that follow.
    Assign(aShard, key, worker->mEntry.mWorker, task.mHighestRun + 1);
    aWorkers.PutBack(*worker);
    chosen.push_back(worker->mEntry.mWorker);
  }
  for (key.mIndex = 0; key.mIndex < chosen.size(); ++key.mIndex) {
    Release(aShard, key, RunPhase::kWaiting);
    *FindTask(aShard, key) = std::move(before[key.mIndex]);
  }
  return chosen;
}

/// Starts all tasks of a gang, or none of them. All get the same run number and
/// the same checkpoint.
void StartGang(DispatchShard& aShard,
               const TaskId& aFirstTask,
               Round& aRound,
               DispatchActions& aActions)
{
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const auto& tasks = StepStateOf(aShard, aFirstTask).mTasks;
  std::uint32_t run = 0;
  std::string checkpoint;
  for (const auto& task : tasks) {
    // The members of a gang start together, so no suspect among them can start
    // apart.
    if (!IsStartable(job, task, aRound.mHeld, aRound.mNow)) {
      return;
    }
    if (task.mHighestRun >= run && !task.mCheckpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
    run = std::max(run, task.mHighestRun);
  }
  if (!MayTeamStart(aShard, job, needs.mStep, needs.mStep.mCount)) {
    return;
  }
  StepWorkers workers(
    aShard, needs, aRound.mUsable[needs.mService], aRound.mNow);
  const auto chosen = ChooseForGang(aShard, needs, workers);
  if (chosen.size() < needs.mStep.mCount) {
    return;
  }
  TaskId key = aFirstTask;
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    key.mIndex = i;
    FindTask(aShard, key)->mCheckpoint = checkpoint;
    DispatchWorker& worker = aShard.mWorkers.at(chosen[i]);
    StartOn(aShard, key, worker, run + 1, aRound.mNow, aActions);
  }
}

/// Reserves room for a step, or ends its reservations if it needs none.
void KeepRoom(const DispatchShard& aShard,
              const RoomRequest& aRequest,
              Round& aRound)
{
  const TaskId& first = aRequest.mFirstTask;
  const DispatchJob& job = aShard.mJobs.at(first.mJob);
  const std::string& service = job.mRecord.mTerms.mService;
  const StepSpec& step = StepOf(job, first);
  const auto& workers = aRound.mUsable[service];
  const bool isNeeded =
    aRequest.mWorkers > 0 &&
    MayTeamStart(aShard, job, step, step.mIsGang ? step.mCount : 1);
  if (!isNeeded) {
    EndReservation(first, workers);
    return;
  }
  FailedPlacements& failed = aRound.mFailedReservations;
  if (failed.IsKnownToFail(service, step)) {
    return;
  }
  const StepNeeds needs = NeedsOf(aShard, first);
  const auto mayRun = [&](const DispatchWorker& aWorker) {
    return IsAllowed(needs, aWorker);
  };
  const bool canFit =
    ReserveRoom(aShard, aRequest, workers, mayRun, aRound.mKept, aRound.mNow);
  if (!canFit && step.mMaxPerWorker == 0) {
    failed.Record(service, step);
  }
}

/// Room for the members of a gang that has been idle for long. They start
/// together, so what becomes free on the reserved workers is kept until all of
/// them fit.
RoomRequest GangRequest(const DispatchShard& aShard,
                        const TaskId& aFirstTask,
                        Round& aRound)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const TimePoint idleSince =
    IdleSince(job, aFirstTask, aRound.mNow, aRound.mNowMs);
  const bool isLong =
    job.mActiveRuns == 0 && aRound.mNow - idleSince >= kTurnAfter;
  if (!isLong) {
    return { aFirstTask, idleSince, 0 };
  }
  const StepNeeds needs = NeedsOf(aShard, aFirstTask);
  std::vector<DispatchWorker*> allowed;
  const auto& usable = aRound.mUsable[needs.mService];
  std::copy_if(
    usable.begin(),
    usable.end(),
    std::back_inserter(allowed),
    [&](const DispatchWorker* aWorker) { return IsAllowed(needs, *aWorker); });
  const std::size_t workers =
    WorkersForGang(needs.mStep, allowed, MaxReserved(usable.size()));
  return { aFirstTask, idleSince, workers };
}

/// Starts the step's next task in the room that the job's last run has left, if
/// it still fits there.
void StartSuccessor(DispatchShard& aShard,
                    const TaskId& aFirstTask,
                    Round& aRound,
                    DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const DispatchStep& state = StepStateOf(aShard, aFirstTask);
  TaskId key = aFirstTask;
  key.mIndex = FirstWaiting(job, state, aRound);
  DispatchWorker* worker = FindWorker(aShard, job.mLastRun.mWorker);
  if (worker == nullptr || key.mIndex == state.mTasks.size()) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  needs.mKept = &aRound.mKept;
  needs.mIsSuccessor = true;
  const auto& usable = aRound.mUsable[needs.mService];
  const bool isUsable =
    std::find(usable.begin(), usable.end(), worker) != usable.end();
  const DispatchTask& task = state.mTasks[key.mIndex];
  const bool fits =
    isUsable && MayTeamStart(aShard, job, needs.mStep, 1) &&
    task.mAvoidedWorker != worker->mEntry.mWorker &&
    IsAllowed(needs, *worker) &&
    std::holds_alternative<double>(CostOf(aShard, needs, *worker, aRound.mNow));
  if (!fits) {
    return;
  }
  const bool isOverLimit =
    needs.mStep.mIsFilling &&
    BestEffortEffectOf(aShard, *worker, needs.mBestEffort, aRound.mNow)
      .mIsOverLimit;
  StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
  // At full speed it may disturb where the last run, throttled, didn't.
  FindTask(aShard, key)->mIsProbe = isOverLimit && job.mLastRun.mWasThrottled;
}

/// Starts one task of a job that has nothing running.
void StartTurn(DispatchShard& aShard,
               const Candidate& aTurn,
               Round& aRound,
               DispatchActions& aActions)
{
  const TaskId& first = aTurn.mFirstTask;
  const DispatchJob& job = aShard.mJobs.at(first.mJob);
  if (aTurn.mTier == Tier::kSuccession) {
    StartSuccessor(aShard, first, aRound, aActions);
    aRound.mKept.Release(first.mJob);
  }
  const auto startOne = [&](KeptRoomUse aUse) {
    if (job.mActiveRuns == 0) {
      StartIndividually(aShard, first, 1, aUse, aRound, aActions);
    }
  };
  startOne(KeptRoomUse::kLeave);
  if (aTurn.mTier != Tier::kTurn) {
    return;
  }
  if (aRound.mNow - aTurn.mDueAt >= kTakesKeptRoomAfter) {
    startOne(KeptRoomUse::kTake);
  }
  if (!StepOf(job, first).mIsLasting) {
    const TimePoint idleSince =
      IdleSince(job, first, aRound.mNow, aRound.mNowMs);
    const std::size_t workers = job.mActiveRuns > 0 ? 0 : 1;
    KeepRoom(aShard, { first, idleSince, workers }, aRound);
  }
}

/// Starts the tasks of one candidate.
void StartCandidate(DispatchShard& aShard,
                    const Candidate& aCandidate,
                    Round& aRound,
                    DispatchActions& aActions)
{
  const TaskId& first = aCandidate.mFirstTask;
  const DispatchJob& job = aShard.mJobs.at(first.mJob);
  const StepSpec& step = StepOf(job, first);
  if (step.mIsGang) {
    StartGang(aShard, first, aRound, aActions);
    KeepRoom(aShard, GangRequest(aShard, first, aRound), aRound);
    return;
  }
  if (!IsTurn(aCandidate.mTier)) {
    const bool isLate = aCandidate.mTier >= Tier::kLate;
    const KeptRoomUse use = isLate ? KeptRoomUse::kLeave : KeptRoomUse::kTake;
    StartIndividually(aShard, first, step.mCount, use, aRound, aActions);
    if (step.mIsLasting) {
      StartInQuarantine(aShard, first, aRound, aActions);
      KeepRoom(aShard, LongRunningRequest(aShard, first, aRound), aRound);
    }
    return;
  }
  // Another step of the job may have had its turn in this round.
  if (job.mActiveRuns == 0) {
    StartTurn(aShard, aCandidate, aRound, aActions);
  }
}

/// Since when the tasks of a candidate have waited that are owed a start
/// whatever the order: turns, and long-running tasks. Nothing for others.
std::optional<TimePoint> OwedSince(const DispatchShard& aShard,
                                   const Candidate& aCandidate,
                                   const Round& aRound)
{
  if (aCandidate.mTier == Tier::kTurn) {
    return aCandidate.mDueAt;
  }
  const TaskId& first = aCandidate.mFirstTask;
  if (!StepOf(aShard.mJobs.at(first.mJob), first).mIsLasting) {
    return std::nullopt;
  }
  const RoomRequest request = LongRunningRequest(aShard, first, aRound);
  return request.mWorkers > 0 ? std::optional(request.mWaitsSince)
                              : std::nullopt;
}

/// Starts one task of those that are owed a start, by preference the one that
/// has waited longest, though the round has used up its budget: the order alone
/// would let it wait for as long as more urgent ones do that. What it takes is
/// missing in the next rounds.
/// @param aRest the candidates that the round hasn't come to
void StartOverBudget(DispatchShard& aShard,
                     std::span<const Candidate> aRest,
                     Round& aRound,
                     DispatchActions& aActions)
{
  std::vector<std::pair<TimePoint, const Candidate*>> owed;
  for (const auto& candidate : aRest) {
    const auto since = OwedSince(aShard, candidate, aRound);
    if (since) {
      owed.emplace_back(*since, &candidate);
    }
  }
  std::stable_sort(
    owed.begin(), owed.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  // Enough for one start, since the last one may exceed the budget.
  constexpr double kLentBytes = 1;
  const double left = aShard.mStartBudget;
  aShard.mStartBudget = kLentBytes;
  for (const auto& [since, candidate] : owed) {
    if (aShard.mStartBudget <= 0) {
      break;
    }
    StartCandidate(aShard, *candidate, aRound, aActions);
  }
  aShard.mStartBudget += left - kLentBytes;
}

/// Starts the candidates in their order, as far as the budget goes.
/// @return false if it is used up
bool StartInOrder(DispatchShard& aShard,
                  const std::vector<Candidate>& aCandidates,
                  Round& aRound,
                  DispatchActions& aActions)
{
  const bool hadBudget = aShard.mStartBudget > 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aShard.mStartBudget > 0) {
      StartCandidate(aShard, aCandidates[i], aRound, aActions);
      continue;
    }
    if (hadBudget) {
      StartOverBudget(
        aShard, std::span(aCandidates).subspan(i), aRound, aActions);
    }
    return false;
  }
  return true;
}

/// True if a task of one of the steps still waits and isn't long-running.
bool HasWaitingTasks(const DispatchShard& aShard,
                     const std::vector<Candidate>& aSteps,
                     const Round& aRound)
{
  return std::any_of(aSteps.begin(), aSteps.end(), [&](const Candidate& aStep) {
    const DispatchJob& job = aShard.mJobs.at(aStep.mFirstTask.mJob);
    const DispatchStep& state = StepStateOf(job, aStep.mFirstTask);
    return !StepOf(job, aStep.mFirstTask).mIsLasting &&
           FirstWaiting(job, state, aRound) < state.mTasks.size();
  });
}

} // namespace

std::vector<TaskId> ReadySteps(const DispatchShard& aShard,
                               const DispatchJob& aJob,
                               std::int64_t aNowMs)
{
  std::vector<TaskId> steps;
  VisitReadySteps(aShard, aJob, aNowMs, [&](TaskId aFirstTask) {
    steps.push_back(std::move(aFirstTask));
  });
  return steps;
}

WaitReason WhyNotPlaced(const DispatchShard& aShard,
                        const TaskId& aKey,
                        TimePoint aNow)
{
  const StepNeeds needs = NeedsOf(aShard, aKey);
  const std::uint32_t tasks = needs.mStep.mIsGang ? needs.mStep.mCount : 1;
  if (!MayTeamStart(aShard, needs.mJob, needs.mStep, tasks)) {
    return WaitReason::kTeamLimit;
  }
  if (aNow < FindTask(aShard, aKey)->mAwaitsRackUntil) {
    return WaitReason::kAwaitsRack;
  }
  const std::set<std::string> isolated = IsolatedWorkers(aShard);
  WaitReason nearest = WaitReason::kNotAllowed;
  for (const auto& [name, worker] : aShard.mWorkers) {
    const WaitReason reason = RefusalOf(aShard, needs, worker, aNow);
    const bool hasRoom = reason >= WaitReason::kSetAside;
    const bool isIsolated = hasRoom && isolated.contains(name);
    nearest = std::max(nearest, isIsolated ? WaitReason::kIsolated : reason);
  }
  return nearest;
}

void PlanStarts(DispatchShard& aShard,
                TimePoint aNow,
                std::int64_t aNowMs,
                DispatchActions& aActions)
{
  OpenReadySteps(aShard, aNowMs);
  if (!aShard.mMayStart || aShard.mIsFenced) {
    return;
  }
  Round round = MakeRound(aShard, aNow, aNowMs);
  CountUnseenRuns(aShard, round.mHeld, aNow);
  std::vector<Candidate> steps;
  for (const auto& [id, job] : aShard.mJobs) {
    if (!IsFinal(job.mState)) {
      CollectSteps(aShard, job, round.mHeld, aNow, aNowMs, steps);
    }
  }
  DemoteUnderOverload(aShard, steps, aNow);
  std::sort(steps.begin(), steps.end(), ComesBefore);
  StartSuspects(aShard, steps, round, aActions);
  auto candidates = WithTurns(aShard, steps, round.mKept, aNow, aNowMs);
  OrderByTeamShare(aShard, candidates);
  if (StartInOrder(aShard, candidates, round, aActions)) {
    StartProbes(aShard, steps, round, aActions);
  }
  aShard.mHasWaitingTasks = HasWaitingTasks(aShard, steps, round);
}

} // namespace verbenacroft
