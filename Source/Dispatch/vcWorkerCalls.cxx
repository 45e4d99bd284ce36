#include "vcWorkerCalls.h"

#include <algorithm>

namespace verbenacroft {

std::optional<Duration> LatencyOf(const RenewOrder& aOrder,
                                  const WorkerReport& aReport,
                                  Duration aElapsed)
{
  // The end of a run ends the wait at a time that isn't known.
  const bool mayHaveEndedWait =
    aOrder.mWait > Duration(0) && !aReport.mEnded.empty();
  if (mayHaveEndedWait) {
    return std::nullopt;
  }
  return std::max(aElapsed - aOrder.mWait, Duration(0));
}

void CountCall(CallCounts& aCounts,
               OrderOutcome aOutcome,
               std::optional<Duration> aLatency)
{
  if (!IsAnswer(aOutcome)) {
    ++aCounts.mFailed;
    return;
  }
  ++aCounts.mAnswered;
  if (!aLatency) {
    return;
  }
  const bool isFirst = aCounts.mTimed == 0;
  aCounts.mLeastLatency =
    isFirst ? *aLatency : std::min(aCounts.mLeastLatency, *aLatency);
  aCounts.mMaxLatency = std::max(aCounts.mMaxLatency, *aLatency);
  ++aCounts.mTimed;
}

} // namespace verbenacroft
