#pragma once

/// Counts of the calls that a shard's owner makes to its workers, and the times
/// of their answers. If even the fastest worker answers late, the cause is the
/// owner's own link or processor; if only some do, it is on their side.

#include "vcWorkerOrders.h"

#include <optional>

namespace verbenacroft {

/// Calls to workers that have ended since some moment.
struct CallCounts
{
  std::uint32_t mAnswered = 0;
  std::uint32_t mFailed = 0;
  /// Answers whose time is known, since the worker didn't delay them itself.
  std::uint32_t mTimed = 0;
  /// Shortest and longest time of those, in ms.
  Duration mLeastLatency{ 0 };
  Duration mMaxLatency{ 0 };
};

/// Time that the answer to a renewal took, without the time for which the
/// worker waited; nothing if that isn't known.
/// @param aElapsed time from the call to its answer
std::optional<Duration> LatencyOf(const RenewOrder& aOrder,
                                  const WorkerReport& aReport,
                                  Duration aElapsed);

/// Counts a call that has ended.
/// @param aLatency as returned by `LatencyOf`; ignored if there is no answer
void CountCall(CallCounts& aCounts,
               OrderOutcome aOutcome,
               std::optional<Duration> aLatency);

} // namespace verbenacroft
