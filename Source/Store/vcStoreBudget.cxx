#include "vcStoreBudget.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Tokens of the bucket that are kept for calls of higher priority.
double Reserved(const StoreBudget& aBudget, StorePriority aPriority)
{
  constexpr double kParts = 5;
  return aBudget.mBurst * static_cast<int>(aPriority) / kParts;
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
  if (aBudget.mTokens < Reserved(aBudget, aPriority) + 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace verbenacroft
