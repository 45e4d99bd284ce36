#include "vcStoreBudget.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Tokens reserved for calls of a higher priority than `aPriority`: none for
/// the highest, and a further fifth of the burst for each lower one.
double ReservedTokens(const StoreBudget& aBudget, StorePriority aPriority)
{
  constexpr double kBurstFractions = 5;
  return aBudget.mBurst * static_cast<int>(aPriority) / kBurstFractions;
}

} // namespace

bool TakeToken(StoreBudget& aBudget, StorePriority aPriority, TimePoint aNow)
{
  constexpr double kMillisPerSecond = 1000.0;
  const auto elapsed = std::max(aNow - aBudget.mRefilledAt, Duration{ 0 });
  const double refill = aBudget.mCallsPerSecond *
                        static_cast<double>(elapsed.count()) / kMillisPerSecond;
  aBudget.mTokens = std::min(aBudget.mBurst, aBudget.mTokens + refill);
  aBudget.mRefilledAt = aNow;
  if (aBudget.mTokens < ReservedTokens(aBudget, aPriority) + 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace verbenacroft
