#include "vcOwnerPacing.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr double kBytesPerMbit = 125'000;
constexpr double kMsPerSecond = 1'000;
/// Parts of the link, in each direction, for renewals and for starts. The rest
/// is left to the store, to other orders and to callers.
constexpr double kReplyShare = 0.4;
constexpr double kStartShare = 0.6;
/// Part of the link that starts get however congested it is.
constexpr double kMinStartShare = 0.05;
/// Size of a reply without rows and of its call's headers in all layers, in
/// bytes.
constexpr double kReplyBytes = 500;
/// Size of a row for one run, in bytes.
constexpr double kRowBytes = 64;
/// Size of a start order without its texts, in bytes.
constexpr double kStartBytes = 450;
/// However congested, a worker is renewed this many times within a lease, so
/// that a lost call doesn't end the lease.
constexpr double kRenewalsPerLease = 4;
/// Messages that may be sent together, as a time of the link.
constexpr Duration kBurst{ 100 };
/// Shortest period after which the rates are adapted; longer than an answer
/// takes on a link that isn't congested.
constexpr Duration kPeriod{ 250 };
/// Fewer calls prove nothing.
constexpr std::uint32_t kMinCalls = 4;
/// The owner is congested if even the fastest answer takes longer than this.
constexpr Duration kCongestedLatency{ 100 };
/// Factor of what was used in a congested period.
constexpr double kDecrease = 0.7;
/// Factor of a rate after any other period, and the part of the maximum that is
/// added.
constexpr double kIncrease = 1.08;
constexpr double kIncreaseOfMax = 0.01;

/// True if the calls show that all workers are reached late, not only some.
bool ShowsCongestion(const CallCounts& aCounts)
{
  if (aCounts.mTimed > 0) {
    return aCounts.mLeastLatency > kCongestedLatency;
  }
  return aCounts.mFailed > aCounts.mAnswered;
}

double PerSecond(double aBytes, Duration aTime)
{
  return kMsPerSecond * aBytes / static_cast<double>(aTime.count());
}

/// @param aPeriod length of the period in which `AdaptiveRate::mUsed` was used
void Adapt(AdaptiveRate& aRate,
           bool aIsCongested,
           Duration aPeriod,
           double aMax)
{
  const double used = PerSecond(aRate.mUsed, aPeriod);
  aRate.mRate = aIsCongested ? kDecrease * std::min(aRate.mRate, used)
                             : kIncrease * aRate.mRate + kIncreaseOfMax * aMax;
  aRate.mUsed = 0;
}

void Limit(AdaptiveRate& aRate, const RateLimits& aLimits)
{
  aRate.mRate =
    std::clamp(aRate.mRate, aLimits.mMin, std::max(aLimits.mMin, aLimits.mMax));
}

} // namespace

double LinkBytesPerSecond(double aMbps)
{
  return aMbps * kBytesPerMbit;
}

double ReplyBytes(std::size_t aRuns)
{
  return kReplyBytes + kRowBytes * static_cast<double>(aRuns);
}

double StartBytes(std::size_t aTextBytes)
{
  return kStartBytes + static_cast<double>(aTextBytes);
}

TimePoint ReserveReply(OwnerPacing& aPacing, double aBytes, TimePoint aNow)
{
  aPacing.mReplies.mUsed += aBytes;
  if (aPacing.mReplies.mRate <= 0) {
    return aNow;
  }
  const double bytesPerMs = aPacing.mReplies.mRate / kMsPerSecond;
  const auto elapsed = static_cast<double>((aNow - aPacing.mBacklogAt).count());
  aPacing.mBacklog = std::max(aPacing.mBacklog - elapsed * bytesPerMs, 0.0);
  aPacing.mBacklogAt = aNow;
  const Duration drains(
    static_cast<std::int64_t>(aPacing.mBacklog / bytesPerMs));
  aPacing.mBacklog += aBytes;
  return aNow + std::max(drains - kBurst, Duration(0));
}

void AdaptRates(OwnerPacing& aPacing,
                double aLinkMbps,
                std::size_t aWorkers,
                std::size_t aRuns,
                Duration aMaxLease,
                TimePoint aNow)
{
  const double link = LinkBytesPerSecond(aLinkMbps);
  const double allReplies = kReplyBytes * static_cast<double>(aWorkers) +
                            kRowBytes * static_cast<double>(aRuns);
  const RateLimits replies{
    kReplyShare * link, kRenewalsPerLease * PerSecond(allReplies, aMaxLease)
  };
  const RateLimits starts{ kStartShare * link, kMinStartShare * link };
  const bool isFirst = aPacing.mPeriodAt == kNever;
  if (isFirst) {
    aPacing.mPeriodAt = aNow;
    aPacing.mReplies.mRate = replies.mMax;
    aPacing.mStarts.mRate = starts.mMax;
  }
  const CallCounts& period = aPacing.mPeriod;
  const Duration length = aNow - aPacing.mPeriodAt;
  const bool isOver =
    length >= kPeriod && period.mTimed + period.mFailed >= kMinCalls;
  if (isOver) {
    aPacing.mIsCongested = ShowsCongestion(period);
    Adapt(aPacing.mReplies, aPacing.mIsCongested, length, replies.mMax);
    Adapt(aPacing.mStarts, aPacing.mIsCongested, length, starts.mMax);
    aPacing.mPeriod = {};
    aPacing.mPeriodAt = aNow;
  }
  Limit(aPacing.mReplies, replies);
  Limit(aPacing.mStarts, starts);
}

double StartBudget(const OwnerPacing& aPacing,
                   double aLeft,
                   TimePoint aSince,
                   TimePoint aNow)
{
  const double bytesPerMs = aPacing.mStarts.mRate / kMsPerSecond;
  const auto elapsed = static_cast<double>((aNow - aSince).count());
  const double burst = bytesPerMs * static_cast<double>(kBurst.count());
  // A message is sent whole, however small the burst.
  return std::min(aLeft + elapsed * bytesPerMs, std::max(burst, 1.0));
}

} // namespace verbenacroft
