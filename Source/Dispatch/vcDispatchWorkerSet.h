#pragma once

/// The worker set of a shard as the store records it for the next owner: which
/// workers the next owner has to ask before it starts tasks that may run there
/// already, and until when tasks may run on those that don't answer.
///
/// A recorded worker is active or inactive. The owner starts tasks and renews
/// leases on active workers only. A worker that has been silent for a while is
/// recorded as inactive, together with the time by which all runs there have
/// ended. That bound also holds for later owners, since each of them has to
/// record the worker as active before it uses it again. A takeover therefore
/// doesn't make the wait for a lost worker begin anew.

#include "vcDispatchState.h"

#include <optional>

namespace verbenacroft {

/// A worker that discovery lists and that doesn't answer may be well, and may
/// list tasks as done. After the end of all its runs its answer is awaited for
/// this long before such tasks are started elsewhere.
constexpr Duration kUnheardEndsWait{ 6'000 };

/// A worker that an owner before has found silent is asked for at least this
/// long, since this owner may reach it.
constexpr Duration kLeastAskedFor{ 1'000 };

/// True if the worker set in the store has to contain the worker: because tasks
/// may be started there, or because the next owner has to ask it what runs
/// there. A worker isn't contained any more once nothing can run there: it is
/// draining and has nothing left, or it is silent and its lease has ended.
bool MustBeRecorded(const DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow);

/// True if a recorded worker has to be recorded as inactive: it has been silent
/// for a while, it was inactive and hasn't answered since, or it has restarted
/// and runs there may last for longer than a next owner awaits.
bool MustBeInactive(const DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow);

/// Stops the use of a worker that is about to be recorded as inactive.
/// @param aLatestRevision no job that was accepted after this revision of the
/// store is known here
void Deactivate(const DispatchShard& aShard,
                DispatchWorker& aWorker,
                std::uint64_t aLatestRevision);

/// Time by which all runs on the worker have ended, whoever started them,
/// unless its lease is renewed or a task is started there. `kNever` if nothing
/// can run there.
TimePoint RunsEndAt(const DispatchShard& aShard,
                    const DispatchWorker& aWorker,
                    TimePoint aNow);

/// True if a start that wasn't answered may still take effect in
/// the next incarnation of its draining worker. That may have the same id, has
/// seen neither the start's stop nor an epoch, and its clock starts anew, so it
/// doesn't refuse the start as late.
bool MayStartInNextIncarnation(const DispatchWorker& aWorker,
                               const RunStart& aStart,
                               TimePoint aNow);

/// True if the worker's lease has certainly ended on its own clock.
bool IsLeaseOver(const DispatchWorker& aWorker, TimePoint aNow);

/// Longest time for which a worker's lease may last on this process's clock.
Duration LongestLease(const DispatchBounds& aBounds);

/// What is known of the owners before this one.
struct EarlierOwners
{
  /// None of them can act any more.
  bool mHaveStopped = false;
  /// `DispatchBounds::mLeaseLimit` that all of them kept to; nothing if one of
  /// them may have been a program that knows no such limit.
  std::optional<Duration> mLeaseLimit;
};

/// Adds a worker of the recorded worker set that was active when this owner
/// claimed the shard.
/// @param aUnownedSince no earlier owner can have proved its ownership after
/// this time
void AddActiveWorker(DispatchShard& aShard,
                     const std::string& aName,
                     const EarlierOwners& aEarlier,
                     TimePoint aUnownedSince);

/// Adds a worker that was recorded as inactive.
/// @param aRunsEndIn time from `aUnownedSince` by which all runs there have
/// ended
/// @param aNoJobsAfter earlier owners started no job there that was accepted
/// after this revision of the store
void AddInactiveWorker(DispatchShard& aShard,
                       const std::string& aName,
                       Duration aRunsEndIn,
                       std::uint64_t aNoJobsAfter,
                       TimePoint aUnownedSince);

/// Handles an answer of a worker that was unanswered so far, if it was. The
/// runs that it reports keep the leases of earlier owners until they are
/// renewed.
void OnFirstAnswer(DispatchShard& aShard,
                   DispatchWorker& aWorker,
                   TimePoint aNow);

/// Forgets the unanswered workers on which all runs of earlier owners have
/// ended and whose answer isn't awaited any more.
void ForgetEndedRuns(DispatchShard& aShard, TimePoint aNow);

/// Highest revision of the store at which a job can have been accepted that
/// runs on an unanswered worker, or may have ended there unheard; 0 if there is
/// none. Jobs accepted after it may be started.
std::uint64_t LastHeldRevision(const DispatchShard& aShard, TimePoint aNow);

/// The same for long-running tasks. They are never done, so no end of theirs is
/// awaited: they may be started once their runs have ended.
std::uint64_t LastHeldRevisionOfLongRunning(const DispatchShard& aShard,
                                            TimePoint aNow);

/// Time from which no run of a waiting task can last on an unanswered worker.
TimePoint UnseenRunsEndAt(const DispatchShard& aShard,
                          const DispatchJob& aJob,
                          const DispatchTask& aTask,
                          TimePoint aNow);

/// Latest time until which the answer of an unanswered worker is awaited;
/// `kNever` if every worker has answered.
TimePoint BarrierEndsAt(const DispatchShard& aShard);

/// True once no run started by an earlier owner can be unknown to this one:
/// every worker that an earlier owner used has answered, or the time has
/// passed, while this owner's lease is valid, for which its runs may last and
/// for which the answer of one that may be well is awaited.
bool IsBarrierClear(const DispatchShard& aShard, TimePoint aNow);

} // namespace verbenacroft
