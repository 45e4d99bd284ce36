#pragma once

/// Pacing of the calls that a shard's owner makes to its workers, by what its
/// own link and processor carry. If even the fastest worker answers late, more
/// calls would only lengthen the owner's queues, until no answer arrives before
/// its timeout: workers that are well would count as lost, and the owner would
/// lose its lease. Starts wait before renewals do, since a late start costs
/// time and a late renewal costs the runs of a worker.

#include "vcWorkerCalls.h"

namespace verbenacroft {

/// Limits of a rate, in bytes per second.
struct RateLimits
{
  /// Never exceeded.
  double mMax = 0;
  /// Kept however late the answers are.
  double mMin = 0;
};

/// A rate that adapts to congestion, in bytes per second.
struct AdaptiveRate
{
  /// 0 before the first call of `AdaptRates`.
  double mRate = 0;
  /// Bytes that were sent or asked for in the current period.
  double mUsed = 0;
};

/// State of the pacing of one owner.
struct OwnerPacing
{
  /// Replies to renewals, which the owner receives.
  AdaptiveRate mReplies;
  /// Start orders, which the owner sends.
  AdaptiveRate mStarts;
  /// Bytes of replies that were asked for and will not have arrived at
  /// `mBacklogAt` at their rate.
  double mBacklog = 0;
  TimePoint mBacklogAt{ kNever };
  /// Calls that ended in the current period, and when it began.
  CallCounts mPeriod;
  TimePoint mPeriodAt{ kNever };
  /// The last period in which enough calls ended was congested.
  bool mIsCongested = false;
};

/// Bytes per second of a link of this bandwidth.
double LinkBytesPerSecond(double aMbps);

/// Expected size in bytes of a reply that lists `aRuns` runs, with all that
/// its call adds on the link.
double ReplyBytes(std::size_t aRuns);

/// Expected size in bytes of a start order with texts of this size in all, with
/// all that its call adds on the link.
double StartBytes(std::size_t aTextBytes);

/// Reserves the link for a reply of `aBytes`.
/// @return when the call may be sent; not before `aNow`
TimePoint ReserveReply(OwnerPacing& aPacing, double aBytes, TimePoint aNow);

/// Lowers the rates if the calls of the last period show congestion, and raises
/// them otherwise. Has to be called periodically.
/// @param aLinkMbps bandwidth of the owner's link, in Mbit/s
/// @param aWorkers number of the owner's workers
/// @param aRuns number of runs that they list in all
/// @param aMaxLease longest lease that a worker grants
void AdaptRates(OwnerPacing& aPacing,
                double aLinkMbps,
                std::size_t aWorkers,
                std::size_t aRuns,
                Duration aMaxLease,
                TimePoint aNow);

/// Bytes of start orders that may be sent now.
/// @param aLeft what was left of them at `aSince`
double StartBudget(const OwnerPacing& aPacing,
                   double aLeft,
                   TimePoint aSince,
                   TimePoint aNow);

} // namespace verbenacroft
