#include "vcPlacementCandidates.h"

#include "vcDispatchWorkerSet.h"
#include "vcSuspectIsolation.h"

#include <tuple>

namespace verbenacroft {

namespace {

/// Groups of candidates that start one after the other, whatever the priority.
enum class CandidateGroup
{
  /// Few, and each has callers of its own that wait.
  kOverdueLongRunning,
  /// They take no capacity from others. Behind more urgent queues a best-effort
  /// job could wait without a bound.
  kBestEffortTurns,
  kOthers,
};

CandidateGroup GroupOf(const Candidate& aCandidate)
{
  if (aCandidate.mTier == Tier::kOverdueLongRunning) {
    return CandidateGroup::kOverdueLongRunning;
  }
  const bool isTurn = aCandidate.mTier == Tier::kTurn;
  return isTurn && aCandidate.mIsBestEffort ? CandidateGroup::kBestEffortTurns
                                            : CandidateGroup::kOthers;
}

std::tuple<CandidateGroup, std::int32_t, Tier, TimePoint, const TaskId&> RankOf(
  const Candidate& aCandidate)
{
  return { GroupOf(aCandidate),
           aCandidate.mPriority,
           aCandidate.mTier,
           aCandidate.mDueAt,
           aCandidate.mFirstTask };
}

Tier TierOf(bool aIsLongRunning, bool aIsScheduled, bool aIsOverdue)
{
  if (!aIsOverdue) {
    return Tier::kOnTime;
  }
  if (aIsLongRunning) {
    return Tier::kOverdueLongRunning;
  }
  // An occurrence is worked for until its last task ends, however late.
  return aIsScheduled ? Tier::kOnTime : Tier::kLate;
}

/// True if each waiting task of a long-running step may run on a worker that
/// hasn't answered.
bool AreWaitingTasksHeld(const DispatchJob& aJob,
                         const TaskId& aFirstTask,
                         const HeldRevisions& aHeld,
                         TimePoint aNow)
{
  const auto& tasks = StepStateOf(aJob, aFirstTask).mTasks;
  return std::none_of(
    tasks.begin(), tasks.end(), [&](const DispatchTask& aTask) {
      return aTask.mPhase == RunPhase::kWaiting &&
             !MayRunUnseen(aJob, aTask, aHeld, aNow);
    });
}

} // namespace

bool IsTurn(Tier aTier)
{
  return aTier == Tier::kTurn || aTier == Tier::kSuccession ||
         aTier == Tier::kLateTurn;
}

bool HaveSameRank(const Candidate& aLeft, const Candidate& aRight)
{
  return GroupOf(aLeft) == GroupOf(aRight) &&
         aLeft.mPriority == aRight.mPriority && aLeft.mTier == aRight.mTier;
}

bool ComesBefore(const Candidate& aLeft, const Candidate& aRight)
{
  return RankOf(aLeft) < RankOf(aRight);
}

HeldRevisions HeldRevisionsOf(const DispatchShard& aShard, TimePoint aNow)
{
  return { LastHeldRevisionOfLongRunning(aShard, aNow),
           LastHeldRevision(aShard, aNow) };
}

bool MayRunUnseen(const DispatchJob& aJob,
                  const DispatchTask& aTask,
                  const HeldRevisions& aHeld,
                  TimePoint aNow)
{
  return aJob.mCreatedAt <= aHeld.mLongRunning &&
         aNow < aTask.mNoUnseenRunAfter;
}

bool IsStartable(const DispatchJob& aJob,
                 const DispatchTask& aTask,
                 const HeldRevisions& aHeld,
                 TimePoint aNow)
{
  return aTask.mPhase == RunPhase::kWaiting && aNow >= aTask.mRetryAt &&
         IsCrashHistorySafe(aTask) && !MayRunUnseen(aJob, aTask, aHeld, aNow);
}

bool IsWaiting(const DispatchJob& aJob,
               const DispatchTask& aTask,
               const HeldRevisions& aHeld,
               TimePoint aNow)
{
  return IsStartable(aJob, aTask, aHeld, aNow) &&
         MayStartBesideOthers(aTask, aNow);
}

void CollectSteps(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const HeldRevisions& aHeld,
                  TimePoint aNow,
                  std::int64_t aNowMs,
                  std::vector<Candidate>& aOut)
{
  VisitReadySteps(aShard, aJob, aNowMs, [&](TaskId aFirstTask) {
    const std::int64_t dueAt =
      DueAtMs(aJob.mRecord.mSpec, aFirstTask.mOccurrence);
    const bool isLasting = StepOf(aJob, aFirstTask).mIsLasting;
    const bool isHeld = isLasting
                          ? AreWaitingTasksHeld(aJob, aFirstTask, aHeld, aNow)
                          : aJob.mCreatedAt <= aHeld.mOthers;
    if (isHeld) {
      return;
    }
    Candidate candidate;
    candidate.mIsBestEffort = StepOf(aJob, aFirstTask).mIsFilling;
    candidate.mFirstTask = std::move(aFirstTask);
    candidate.mPriority = aJob.mRecord.mTerms.mPriority;
    candidate.mDueAt =
      dueAt > 0 ? aNow + Duration(dueAt - aNowMs) : aJob.mObjectiveAt;
    candidate.mTier = TierOf(isLasting, dueAt > 0, candidate.mDueAt <= aNow);
    aOut.push_back(std::move(candidate));
  });
}

std::vector<Candidate> WithTurns(DispatchShard& aShard,
                                 const std::vector<Candidate>& aSteps,
                                 KeptRooms& aKept,
                                 TimePoint aNow,
                                 std::int64_t aNowMs)
{
  std::vector<Candidate> candidates = aSteps;
  const auto steps = static_cast<std::ptrdiff_t>(aSteps.size());
  for (const auto& step : aSteps) {
    const DispatchJob& job = aShard.mJobs.at(step.mFirstTask.mJob);
    const bool isGang = StepOf(job, step.mFirstTask).mIsGang;
    if (job.mActiveRuns > 0 || isGang) {
      continue;
    }
    Candidate turn = step;
    turn.mDueAt = IdleSince(job, step.mFirstTask, aNow, aNowMs);
    if (aNow - turn.mDueAt >= kTurnAfter) {
      turn.mTier = Tier::kTurn;
    } else if (step.mTier >= Tier::kLate) {
      const DispatchWorker* left = WorkerLeftBy(aShard, job, turn.mDueAt, aNow);
      turn.mTier = left != nullptr ? Tier::kSuccession : Tier::kLateTurn;
      if (left != nullptr) {
        aKept.Keep(job, StepOf(job, step.mFirstTask), *left);
      }
    } else {
      continue;
    }
    candidates.push_back(std::move(turn));
  }
  const auto turns = candidates.begin() + steps;
  std::sort(turns, candidates.end(), ComesBefore);
  std::inplace_merge(candidates.begin(), turns, candidates.end(), ComesBefore);
  return candidates;
}

} // namespace verbenacroft
