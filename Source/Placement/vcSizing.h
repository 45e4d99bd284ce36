#pragma once

/// Correction of declared task sizes by the usage that workers report.

#include "vcResources.h"

#include <map>
#include <string>

namespace verbenacroft {

/// Usage estimate for the tasks of one service or job.
struct SizeEstimate
{
  /// Exponentially smoothed mean, in thousandths of a processor.
  double mMeanMilliCpu = 0;
  /// Smoothed mean absolute deviation from the mean.
  double mDeviationMilliCpu = 0;
  /// Slowly decaying peak, in megabytes.
  double mPeakMemoryMb = 0;
  std::int64_t mReports = 0;
};

/// Usage estimates by the name of the service or job.
struct SizingModel
{
  std::map<std::string, SizeEstimate> mOwners;
};

/// Updates the estimate of `aOwner` from one report of a task's usage.
void UpdateSizeEstimate(SizingModel& aModel,
                        const std::string& aOwner,
                        const Resources& aUsage);

/// Size to commit for a task declared as `aDeclared`: the declared size until
/// there are enough reports, and then the estimated usage plus a margin. The
/// estimate is at least a fixed fraction of the declared size and at most
/// `aLargest`. Accelerators and slots are always as declared.
Resources CorrectedSize(const SizingModel& aModel,
                        const std::string& aOwner,
                        const Resources& aDeclared,
                        const Resources& aLargest);

} // namespace verbenacroft
