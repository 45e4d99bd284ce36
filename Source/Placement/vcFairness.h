#pragma once

/// Weighted dominant-resource fairness over backers.

#include "vcConfig.h"

#include <map>

namespace verbenacroft {

/// Use of one backer.
struct BackerUse
{
  Resources mCommitted;
  /// Integral of processor use, in thousandths of a processor times
  /// seconds; memory and accelerators likewise.
  double mMilliCpuSeconds = 0;
  double mMemoryMbSeconds = 0;
  double mAcceleratorSeconds = 0;
  /// Part of the processor integral that lay above the backer's share.
  double mBorrowedMilliCpuSeconds = 0;
  /// Tasks of other backers stopped so that this one got its share.
  std::int64_t mReclaims = 0;
};

/// Account of use, for all backers of a shard.
struct FairnessLedger
{
  std::map<std::string, BackerUse> mBackers;
  TimePoint mUpdatedAt = kNever;
};

/// Share of `aBacker` as a weight; an undeclared backer has almost none.
double WeightOf(const Configuration& aConfiguration,
                const std::string& aBacker);

/// Dominant share divided by the weight: the lowest is served first.
double NormalisedShare(const Resources& aCommitted,
                       const Resources& aTotal,
                       double aWeight);

/// Adds the time since the last call to every backer's account.
void Accrue(FairnessLedger& aLedger,
            const Configuration& aConfiguration,
            const Resources& aTotal,
            TimePoint aNow);

} // namespace verbenacroft
