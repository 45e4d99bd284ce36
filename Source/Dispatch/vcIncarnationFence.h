#pragma once

/// Incarnation fence: keeps calls that were meant for an earlier incarnation of
/// a worker from taking effect in the present one.
///
/// A worker that restarts under its id takes such a call for its own. The
/// deadline of the call is a reading of the earlier clock, which is far ahead
/// of the new one. So a start isn't refused as late, and a lease lasts for the
/// maximum from the arrival of the call. But a worker refuses fencing tokens
/// that are lower than the highest that it has seen. An owner that meets a new
/// incarnation therefore asks it with a token that it hasn't used for the
/// worker yet. It uses the worker again once that was answered, and once the
/// leases that were granted before don't outlast what a next owner awaits.
///
/// The tokens are revisions of the store at which a write of the owner was
/// carried out on the condition of its ownership. They are higher than its
/// epoch and lower than the epoch of the next owner.

#include "vcDispatchState.h"

namespace verbenacroft {

/// A call that isn't answered takes effect within this time, if at all.
constexpr Duration kLateCallTime{ 8'500 };

/// Fencing token of the orders to the worker.
std::uint64_t FencingTokenOf(const DispatchShard& aShard,
                             const DispatchWorker& aWorker);

/// Notes that a write of this owner was carried out at this revision, on the
/// condition of its ownership.
void NoteOwnWrite(DispatchShard& aShard, std::uint64_t aRevision);

/// Notes that the worker has restarted under its id, as its answer to the last
/// renewal says. Calls for the earlier incarnation have to be fenced off,
/// unless that renewal had a token that no start, lease or acknowledgement was
/// sent with.
/// @return true if they are fenced off from this answer on
bool OnRestart(const DispatchShard& aShard,
               DispatchWorker& aWorker,
               TimePoint aNow);

/// Notes that a worker has restarted, though no report of the new incarnation
/// has come: discovery lists it, or an order was answered by it.
void OnUnmetRestart(DispatchShard& aShard,
                    DispatchWorker& aWorker,
                    TimePoint aNow);

/// True while calls that were meant for an earlier incarnation may take effect.
bool IsFencePending(const DispatchWorker& aWorker);

/// True if a worker waits for a token, and the last write has given none.
bool NeedsToken(const DispatchShard& aShard);

/// Chooses the fencing token of the worker's next renewal. A silent worker is
/// asked with a new one at once, in case it has restarted.
std::uint64_t TokenOfNextRenewal(const DispatchShard& aShard,
                                 DispatchWorker& aWorker);

/// Handles an answer of the present incarnation to the last renewal.
/// @return true if the calls for earlier incarnations are fenced off from this
/// answer on
bool CompleteFence(const DispatchShard& aShard,
                   DispatchWorker& aWorker,
                   TimePoint aNow);

/// True if runs that calls for an earlier incarnation have started or renewed
/// may outlast what a next owner awaits of an active worker.
bool MayOutlastNextWait(const DispatchShard& aShard,
                        const DispatchWorker& aWorker);

/// True if nothing may be started on the worker and no lease renewed, since it
/// has restarted: its earlier calls still matter, or the store names another
/// incarnation of it.
bool IsHeldBack(const DispatchShard& aShard, const DispatchWorker& aWorker);

/// True if a start that wasn't answered may have taken effect in an
/// incarnation that is known to be there and that hasn't reported yet.
bool MayRunInUnmetIncarnation(const DispatchShard& aShard,
                              const DispatchWorker& aWorker,
                              const RunStart& aStart,
                              TimePoint aNow);

/// Time by which all runs have ended that calls for an earlier incarnation
/// started or renewed; `kNever` if there can't be any.
TimePoint RestartRunsEndAt(const DispatchShard& aShard,
                           const DispatchWorker& aWorker,
                           TimePoint aNow);

} // namespace verbenacroft
