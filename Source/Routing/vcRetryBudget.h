#pragma once

/// Budget of retries and hedges: a part of the requests, so that they can't
/// multiply the load when targets fail.

#include <algorithm>

namespace verbenacroft {

struct RetryBudget
{
  double mTokens = 10;
};

constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 100;

/// Earns the part of a token that one request brings.
inline void EarnRetry(RetryBudget& aBudget)
{
  aBudget.mTokens =
    std::min(kMaxRetryTokens, aBudget.mTokens + kRetryTokensPerRequest);
}

/// Takes the token of one retry or hedge, if there is one.
inline bool TakeRetry(RetryBudget& aBudget)
{
  if (aBudget.mTokens < 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace verbenacroft
