#pragma once

/// Acknowledgement of run ends: when a worker is told that it may discard them.
///
/// A start and an acknowledgement must not be under way to a worker at the same
/// time. If both reached a new incarnation, the acknowledgement would discard
/// the end of the start's run before it was processed here. Two bounds keep
/// them from waiting for each other for ever: a start holds acknowledgements up
/// only until it can't take effect any more, and a worker whose
/// acknowledgements are held up for too long is given no more starts.
/// Internal to the Dispatch library.

#include "vcDispatchState.h"

namespace verbenacroft {

/// A worker that could have been told for this long to discard ends takes no
/// further starts until it has been told so.
constexpr Duration kMaxAckDelay{ 1'000 };

/// True if a start that has no known outcome may still take effect on its
/// worker: by the last reading of the worker's clock it isn't past its
/// deadline, or it may reach an incarnation whose clock is behind that.
bool MayStartTakeEffect(const DispatchWorker& aWorker,
                        const RunStart& aStart,
                        TimePoint aNow);

/// True if a start that was ordered on the worker has no known outcome and may
/// still take effect.
bool HasStartUnderWay(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      TimePoint aNow);

/// Notes that all ends up to this index are in the store.
void OnEndsRecorded(DispatchWorker& aWorker,
                    std::uint64_t aIndex,
                    TimePoint aNow);

/// Notes that the present incarnation has answered the last renewal, and so
/// has discarded what that acknowledged.
void OnRenewalAnswered(DispatchWorker& aWorker, TimePoint aNow);

/// True if ends have waited for too long to be acknowledged.
bool IsAckOverdue(const DispatchWorker& aWorker, TimePoint aNow);

} // namespace verbenacroft
