#pragma once

/// Token bucket for retries and hedged requests. It limits them to a fraction
/// of the requests, so that they cannot multiply the load when targets fail.

#include <algorithm>

namespace verbenacroft {

/// Tokens that are available; a retry or a hedged request takes one.
struct RetryBudget
{
  double mTokens = 10;
};

/// Tokens that one request adds: at most one retry for 10 requests over time.
constexpr double kRetryTokensPerRequest = 0.1;
/// Maximum number of tokens; limits a burst of retries.
constexpr double kMaxRetryTokens = 100;

/// Adds the tokens for one request.
inline void AddRetryTokens(RetryBudget& aBudget)
{
  aBudget.mTokens =
    std::min(kMaxRetryTokens, aBudget.mTokens + kRetryTokensPerRequest);
}

/// Takes a token for one retry or hedged request. Returns false if less than
/// one token is left.
inline bool TakeRetryToken(RetryBudget& aBudget)
{
  if (aBudget.mTokens < 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace verbenacroft
