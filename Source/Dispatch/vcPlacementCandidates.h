#pragma once

/// Candidates of a round of starts: the steps that are ready and have waiting
/// tasks, and the order in which they start. Internal to the Dispatch library.

#include "vcDispatchJobs.h"
#include "vcDispatchSuccession.h"

#include <algorithm>

namespace verbenacroft {

/// How long a job has had nothing running before one task of it is started
/// ahead of the usual order, and how long a long-running task has waited before
/// room is reserved for it. The rest of `kMaxIdleTime` is for starts that are
/// refused, and for runs that end before they are reported.
constexpr Duration kTurnAfter{ 1'000 };

/// Tiers of the steps of one priority, in the order in which they start.
enum class Tier
{
  /// Long-running tasks that should be at work by now.
  kOverdueLongRunning,
  /// One task of a job that has had nothing running for `kTurnAfter`.
  kTurn,
  /// As many tasks as fit of a job that can still meet its objective.
  kOnTime,
  /// The next task of a late job whose only run has just ended, in its room.
  kSuccession,
  /// One task of a late job that has nothing running.
  kLateTurn,
  /// As many tasks as fit of a late job.
  kLate,
  /// The same of a job whose result has no more use for its caller.
  kExpired,
};

/// A step with tasks that wait for a start.
struct Candidate
{
  /// First task of the step.
  TaskId mFirstTask;
  std::int32_t mPriority = 0;
  Tier mTier = Tier::kOnTime;
  bool mIsBestEffort = false;
  /// When the job should be done, or, of a turn, since when it has been idle.
  TimePoint mDueAt{ 0 };
};

/// True if only one task of the step starts, of a job that has nothing running.
bool IsTurn(Tier aTier);

/// True if only their objectives order the candidates: their groups, priorities
/// and tiers are the same.
bool HaveSameRank(const Candidate& aLeft, const Candidate& aRight);

/// The order in which candidates start.
bool ComesBefore(const Candidate& aLeft, const Candidate& aRight);

/// Calls `aVisit` with the first task of each step of a job that is ready and
/// has waiting tasks.
template<class Visit>
void VisitReadySteps(const DispatchShard& aShard,
                     const DispatchJob& aJob,
                     std::int64_t aNowMs,
                     Visit aVisit)
{
  const BatchSpec& spec = aJob.mRecord.mSpec;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    const std::int64_t dueAt = DueAtMs(spec, number);
    if (dueAt > aNowMs + aShard.mBounds.mMaxEarlyStart.count()) {
      return;
    }
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& tasks = occurrence.mSteps[s].mTasks;
      const bool hasWaiting =
        std::any_of(tasks.begin(), tasks.end(), [](const DispatchTask& aTask) {
          return aTask.mPhase == RunPhase::kWaiting;
        });
      if (!hasWaiting || !IsStepReady(aJob, occurrence, s)) {
        continue;
      }
      aVisit(TaskId{ aJob.mId, number, s, 0 });
    }
  }
}

/// Revisions of the store up to which the jobs wait that may run on workers
/// that haven't answered this owner.
struct HeldRevisions
{
  /// Long-running tasks of these jobs wait only if one of their runs may be
  /// unknown to this owner; see `MayRunUnseen`.
  std::uint64_t mLongRunning = 0;
  /// Not lower than that of long-running steps.
  std::uint64_t mOthers = 0;
};

/// These revisions at present.
HeldRevisions HeldRevisionsOf(const DispatchShard& aShard, TimePoint aNow);

/// True if a run of a long-running task may last on a worker that hasn't
/// answered this owner.
bool MayRunUnseen(const DispatchJob& aJob,
                  const DispatchTask& aTask,
                  const HeldRevisions& aHeld,
                  TimePoint aNow);

/// True if a start of the task may be ordered, at least on some workers.
bool IsStartable(const DispatchJob& aJob,
                 const DispatchTask& aTask,
                 const HeldRevisions& aHeld,
                 TimePoint aNow);

/// True if a start of the task may be ordered on any worker.
bool IsWaiting(const DispatchJob& aJob,
               const DispatchTask& aTask,
               const HeldRevisions& aHeld,
               TimePoint aNow);

/// Appends the steps of a job that are ready, aren't held and have waiting
/// tasks.
void CollectSteps(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const HeldRevisions& aHeld,
                  TimePoint aNow,
                  std::int64_t aNowMs,
                  std::vector<Candidate>& aOut);

/// The sorted steps in the order of the round, with turns for those whose job
/// has nothing running. The tasks of a gang start together, so no single one
/// has a turn.
/// @param aKept receives the rooms that are kept for some of them
std::vector<Candidate> WithTurns(DispatchShard& aShard,
                                 const std::vector<Candidate>& aSteps,
                                 KeptRooms& aKept,
                                 TimePoint aNow,
                                 std::int64_t aNowMs);

} // namespace verbenacroft
