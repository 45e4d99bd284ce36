#pragma once

/// Losses of workers that have one cause, such as their rack or their software.
/// Whether many workers were lost together is judged by when each was last
/// alive and first silent. The order in which the owner learns that they have
/// crashed has no influence, nor which of them have left the shard's set since.
/// Internal to the Dispatch library.

#include "vcDispatchState.h"

namespace verbenacroft {

/// The losses that may have one cause with a given one.
struct LossGroup
{
  /// Number of workers in the group, the given one included.
  std::size_t mTogether = 0;
  /// Number of workers that the shard had when the group was lost.
  std::size_t mCompared = 0;
};

/// When the worker was lost, or may have been. Nothing if it is well, or is
/// draining, since then it leaves.
std::optional<WorkerLoss> PresentLossOf(const DispatchWorker& aWorker,
                                        TimePoint aNow);

/// Remembers a loss for a while, and forgets old ones.
void RememberLoss(DispatchShard& aShard, WorkerLoss aLoss, TimePoint aNow);

/// The group of a loss.
LossGroup GroupOf(const DispatchShard& aShard,
                  const WorkerLoss& aLoss,
                  TimePoint aNow);

/// True if so many workers were lost together that none of them was lost by
/// what ran there.
bool HasOutsideCause(const LossGroup& aGroup);

} // namespace verbenacroft
