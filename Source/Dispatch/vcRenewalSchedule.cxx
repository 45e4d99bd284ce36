#include "vcRenewalSchedule.h"

#include "vcEndAcknowledgement.h"

namespace verbenacroft {

namespace {

/// How long a worker may wait for the end of a task before it reports.
constexpr Duration kReportWait{ 1'000 };
/// Shorter wait while a serving task beside best-effort tasks is close to its
/// latency target, or while the workers' leases end soon, so that they are
/// renewed soon after the owner has proved its ownership again.
constexpr Duration kShortReportWait{ 350 };
/// The workers' leases end soon if they can't last for longer than this.
constexpr Duration kShortLease{ 3'000 };
/// Pause between a report and the next renewal, so that task ends close
/// together share one report.
constexpr Duration kReportPause{ 15 };
/// Pause after a renewal that failed.
constexpr Duration kFailedPause{ 200 };
/// Pause while a worker that has answered again is still recorded as inactive.
constexpr Duration kReactivationPause{ 100 };
/// Pause after ends while best-effort tasks have to be throttled by each
/// report.
constexpr Duration kThrottlingPause{ 80 };
/// Pause after ends while tasks wait that may use the room.
constexpr RenewalPause kPauseWithWaiting{ RenewalCause::kEnd,
                                          Duration(40),
                                          Duration(160) };
/// Pause after ends otherwise. It delays the end of a step, so it is short
/// beside the shortest objectives.
constexpr RenewalPause kPauseWithoutWaiting{ RenewalCause::kEnd,
                                             Duration(100),
                                             Duration(250) };

/// True if reports of the worker decide how far best-effort tasks there are
/// throttled.
bool IsThrottling(const DispatchWorker& aWorker, TimePoint aNow)
{
  return aNow < aWorker.mNoBestEffortUntil && aWorker.mBestEffortCpu > 0;
}

} // namespace

bool MustAwaitRecord(const DispatchShard& aShard,
                     const DispatchWorker& aWorker,
                     TimePoint aNow)
{
  const bool isUnrecorded = aWorker.mAckIndex < aWorker.mSeenIndex;
  const bool isUnacknowledged = aWorker.mAckIndex > aWorker.mAnsweredAckIndex;
  return isUnrecorded ||
         (isUnacknowledged && HasStartUnderWay(aShard, aWorker, aNow));
}

RenewalPause PauseAfterReport(const DispatchShard& aShard,
                              const DispatchWorker& aWorker,
                              bool aIsGood,
                              TimePoint aNow)
{
  const auto fixed = [](RenewalCause aCause, Duration aPause) {
    return RenewalPause{ aCause, aPause, aPause };
  };
  if (!aIsGood) {
    return fixed(RenewalCause::kRetry, kFailedPause);
  }
  if (aWorker.mFenceStage == FenceStage::kAsked) {
    return fixed(RenewalCause::kRetry, kReportPause);
  }
  if (aWorker.mIsInactive) {
    return fixed(RenewalCause::kRetry, kReactivationPause);
  }
  if (!MustAwaitRecord(aShard, aWorker, aNow)) {
    return fixed(RenewalCause::kWait, kReportPause);
  }
  if (IsThrottling(aWorker, aNow)) {
    return fixed(RenewalCause::kNearTarget, kThrottlingPause);
  }
  return aShard.mHasWaitingTasks ? kPauseWithWaiting : kPauseWithoutWaiting;
}

Duration ReportWaitOf(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      TimePoint aNow)
{
  const bool isLeaseShort = aShard.mLeasesEndBy - aNow < kShortLease;
  return isLeaseShort || IsThrottling(aWorker, aNow) ? kShortReportWait
                                                     : kReportWait;
}

} // namespace verbenacroft
