#pragma once

/// Weighted dominant resource fairness between backers: accounts the resources
/// that each backer uses and orders backers by their weighted share.

#include "vcConfig.h"

#include <map>

namespace verbenacroft {

/// Resource usage of one backer.
struct BackerUse
{
  /// Resources that are committed to the backer's tasks now.
  Resources mCommitted;
  /// Integrals of the committed resources over time: thousandths of a
  /// processor, megabytes and accelerators, each times seconds.
  double mMilliCpuSeconds = 0;
  double mMemoryMbSeconds = 0;
  double mAcceleratorSeconds = 0;
  /// Part of mMilliCpuSeconds that exceeded the backer's share.
  double mBorrowedMilliCpuSeconds = 0;
  /// Number of tasks of other backers that were stopped to give this backer
  /// its share.
  std::int64_t mReclaims = 0;
};

/// Resource usage of all backers of a shard.
struct FairnessLedger
{
  std::map<std::string, BackerUse> mBackers;
  /// Time up to which the integrals are complete.
  TimePoint mUpdatedAt = kNever;
};

/// Configured share of `aBacker` as a fraction, at least 0.001. An undeclared
/// backer gets 0.001.
double BackerWeight(const Configuration& aConfiguration,
                    const std::string& aBacker);

/// Dominant share of `aCommitted` in `aTotal` divided by `aWeight`. The backer
/// with the lowest value is served first.
double NormalisedShare(const Resources& aCommitted,
                       const Resources& aTotal,
                       double aWeight);

/// Adds the usage since the previous call to the integrals of every backer.
/// The first call only sets the start time.
void AccrueUsage(FairnessLedger& aLedger,
                 const Configuration& aConfiguration,
                 const Resources& aTotal,
                 TimePoint aNow);

} // namespace verbenacroft
