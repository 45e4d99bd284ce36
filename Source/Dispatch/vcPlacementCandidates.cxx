#include "vcPlacementCandidates.h"

#include "vcDispatchCrashes.h"

#include <tuple>

namespace verbenacroft {

namespace {

/// How long a job has had nothing running before one task of it is started
/// ahead of the usual order. The rest of `kMaxIdleTime` is for starts that are
/// refused, and for runs that end before they are reported.
constexpr Duration kTurnAfter{ 1'000 };

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

} // namespace

bool IsTurn(Tier aTier)
{
  return aTier == Tier::kTurn || aTier == Tier::kSuccession ||
         aTier == Tier::kLateTurn;
}

bool ComesBefore(const Candidate& aLeft, const Candidate& aRight)
{
  return RankOf(aLeft) < RankOf(aRight);
}

bool IsStartable(const DispatchTask& aTask, TimePoint aNow)
{
  return aTask.mPhase == RunPhase::kWaiting && aNow >= aTask.mRetryAt &&
         IsCrashHistorySafe(aTask);
}

bool IsWaiting(const DispatchTask& aTask, TimePoint aNow)
{
  return IsStartable(aTask, aNow) && MayStartBesideOthers(aTask, aNow);
}

std::uint32_t FirstWaiting(const DispatchStep& aStep, TimePoint aNow)
{
  const auto first = std::find_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [&](const DispatchTask& aTask) {
      return IsWaiting(aTask, aNow);
    });
  return static_cast<std::uint32_t>(first - aStep.mTasks.begin());
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
    const std::uint64_t heldUpTo =
      isLasting ? aHeld.mLongRunning : aHeld.mOthers;
    if (aJob.mCreatedAt <= heldUpTo) {
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
    } else if (step.mTier == Tier::kLate) {
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
