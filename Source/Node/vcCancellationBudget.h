#pragma once

/// Budget of a node for cancellations of jobs that the store doesn't know. Each
/// costs a write and a record that is kept for minutes, and anybody may send
/// them with identifiers of their own. Internal to the Node library.

#include "vcNodeSettings.h"

#include <map>
#include <string>

namespace verbenacroft {

/// A rate limit: tokens come at a fixed rate, up to a maximum, and each use
/// takes one.
struct TokenBucket
{
  double mTokens = 0;
  TimePoint mFilledAt{ kNever };
};

/// What the callers of one node have left.
struct CancellationBudget
{
  TokenBucket mNode;
  /// By team: none takes more than half of the node's rate.
  std::map<std::string, TokenBucket> mTeams;
};

/// Takes a token for a cancellation by `aTeam`.
/// @param aPerSecond tokens per second of the node
/// @return false if none is left
bool TakeCancellation(CancellationBudget& aBudget,
                      const std::string& aTeam,
                      double aPerSecond,
                      TimePoint aNow);

/// Such cancellations per second that each of `aNodes` nodes may store, so that
/// all of them leave most of the store's writes to others.
double CancellationsPerSecond(const NodeSettings& aSettings,
                              std::size_t aNodes);

} // namespace verbenacroft
