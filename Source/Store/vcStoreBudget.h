#pragma once

/// Budget of store calls for one process: a token bucket whose last tokens
/// are kept for calls of higher priority.

#include "vcStoreMessages.h"

namespace verbenacroft {

struct StoreBudget
{
  double mCallsPerSecond = 40;
  double mBurst = 80;
  double mTokens = 80;
  TimePoint mRefilledAt{ 0 };
};

/// Takes a token if one is left for `aPriority`.
bool TakeToken(StoreBudget& aBudget, StorePriority aPriority, TimePoint aNow);

} // namespace verbenacroft
