#pragma once

/// Rate limit for the store calls of one process: a token bucket in which part
/// of the tokens is reserved for calls of higher priority.

#include "vcStoreMessages.h"

namespace verbenacroft {

/// State of the token bucket; each call takes one token.
struct StoreBudget
{
  /// Rate at which tokens are added.
  double mCallsPerSecond = 40;
  /// Capacity of the bucket, in calls.
  double mBurst = 80;
  /// Tokens available at `mRefilledAt`.
  double mTokens = 80;
  TimePoint mRefilledAt{ 0 };
};

/// Refills the bucket up to `aNow` and takes one token for a call of
/// `aPriority`.
/// @return false if only tokens reserved for higher priorities are left
bool TakeToken(StoreBudget& aBudget, StorePriority aPriority, TimePoint aNow);

} // namespace verbenacroft
