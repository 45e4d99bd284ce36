#include "vcCancellationBudget.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Part of the store's writes for cancellations of jobs that it doesn't know.
constexpr double kShareOfWrites = 0.05;
/// A bucket holds the tokens of this time, and this many at least: callers that
/// give up together come all at once.
constexpr double kBurstSeconds = 10;
constexpr double kLeastBurst = 20;
constexpr double kTeamShare = 0.5;
constexpr double kMsPerSecond = 1'000;

/// How fast a bucket is filled, and how much it holds.
struct BucketSize
{
  double mPerSecond = 0;
  double mMost = 0;
};

/// The size of a bucket that has this part of the node's budget.
BucketSize SizeOf(double aPerSecond, double aShare)
{
  const double most = std::max(kLeastBurst, kBurstSeconds * aPerSecond);
  return { aShare * aPerSecond, aShare * most };
}

/// Adds the tokens that have come since the bucket was filled last.
void Refill(TokenBucket& aBucket, const BucketSize& aSize, TimePoint aNow)
{
  if (aBucket.mFilledAt == kNever) {
    aBucket.mTokens = aSize.mMost;
  } else {
    const auto elapsedMs =
      static_cast<double>((aNow - aBucket.mFilledAt).count());
    const double added = aSize.mPerSecond * elapsedMs / kMsPerSecond;
    aBucket.mTokens = std::min(aSize.mMost, aBucket.mTokens + added);
  }
  aBucket.mFilledAt = aNow;
}

} // namespace

bool TakeCancellation(CancellationBudget& aBudget,
                      const std::string& aTeam,
                      double aPerSecond,
                      TimePoint aNow)
{
  // Without teams all callers share the whole budget.
  const double teamShare = aTeam.empty() ? 1 : kTeamShare;
  TokenBucket& team = aBudget.mTeams[aTeam];
  Refill(aBudget.mNode, SizeOf(aPerSecond, 1), aNow);
  Refill(team, SizeOf(aPerSecond, teamShare), aNow);
  if (aBudget.mNode.mTokens < 1 || team.mTokens < 1) {
    return false;
  }
  --aBudget.mNode.mTokens;
  --team.mTokens;
  return true;
}

double CancellationsPerSecond(const NodeSettings& aSettings, std::size_t aNodes)
{
  const auto nodes = static_cast<double>(std::max<std::size_t>(aNodes, 1));
  return kShareOfWrites * aSettings.mStoreWritesPerSecond / nodes;
}

} // namespace verbenacroft
