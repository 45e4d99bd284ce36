#include "vcSizing.h"

#include <algorithm>
#include <cmath>

namespace verbenacroft {

namespace {

/// Reports needed before an estimate replaces the declared size.
constexpr std::int64_t kMinReports = 5;
/// Smoothing factor of the running means after the first reports.
constexpr double kSmoothingFactor = 0.1;
/// Mean deviations that are added to the mean processor usage.
constexpr double kDeviationFactor = 2.0;
/// Factor on the peak memory usage.
constexpr double kMemoryMarginFactor = 1.15;
/// Factor on the peak for each report. It is close to 1, so that a rare peak
/// still counts long afterwards.
constexpr double kPeakDecayFactor = 0.999;
/// Smallest estimate, as a fraction of the declared size.
constexpr double kMinDeclaredFraction = 0.2;

std::int64_t ClampSize(double aEstimate,
                       std::int64_t aDeclared,
                       std::int64_t aLargest)
{
  const double minSize = kMinDeclaredFraction * static_cast<double>(aDeclared);
  const double bounded = std::max(aEstimate, minSize);
  const auto size = static_cast<std::int64_t>(std::ceil(bounded));
  return std::clamp<std::int64_t>(size, 1, std::max<std::int64_t>(aLargest, 1));
}

} // namespace

void UpdateSizeEstimate(SizingModel& aModel,
                        const std::string& aOwner,
                        const Resources& aUsage)
{
  auto& estimate = aModel.mOwners[aOwner];
  const auto milliCpu = static_cast<double>(aUsage.mMilliCpu);
  const auto memory = static_cast<double>(aUsage.mMemoryMb);
  const double count = static_cast<double>(estimate.mReports) + 1.0;
  const double rate = std::max(kSmoothingFactor, 1.0 / count);
  const double error = milliCpu - estimate.mMeanMilliCpu;
  estimate.mMeanMilliCpu += rate * error;
  estimate.mDeviationMilliCpu +=
    rate * (std::abs(error) - estimate.mDeviationMilliCpu);
  estimate.mPeakMemoryMb =
    std::max(estimate.mPeakMemoryMb * kPeakDecayFactor, memory);
  ++estimate.mReports;
}

Resources CorrectedSize(const SizingModel& aModel,
                        const std::string& aOwner,
                        const Resources& aDeclared,
                        const Resources& aLargest)
{
  const auto found = aModel.mOwners.find(aOwner);
  if (found == aModel.mOwners.end() || found->second.mReports < kMinReports) {
    return aDeclared;
  }
  const auto& estimate = found->second;
  Resources size = aDeclared;
  size.mMilliCpu = ClampSize(estimate.mMeanMilliCpu +
                               kDeviationFactor * estimate.mDeviationMilliCpu,
                             aDeclared.mMilliCpu,
                             aLargest.mMilliCpu);
  size.mMemoryMb = ClampSize(estimate.mPeakMemoryMb * kMemoryMarginFactor,
                             aDeclared.mMemoryMb,
                             aLargest.mMemoryMb);
  return size;
}

} // namespace verbenacroft
