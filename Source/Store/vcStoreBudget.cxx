#include "vcStoreBudget.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Share of the bucket that is kept for calls of higher priority.
double ReservedShare(StorePriority aPriority)
{
  constexpr double kReservedPerLevel = 0.2;
  return kReservedPerLevel * static_cast<int>(aPriority);
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
  const double reserved = ReservedShare(aPriority) * aBudget.mBurst;
  if (aBudget.mTokens < reserved + 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace verbenacroft
