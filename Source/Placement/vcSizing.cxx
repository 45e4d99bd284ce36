#include "vcSizing.h"

#include <algorithm>
#include <cmath>

namespace verbenacroft {

namespace {

constexpr std::int64_t kMinReports = 5;
constexpr double kSmoothing = 0.1;
constexpr double kDeviations = 2.0;
constexpr double kMemoryMargin = 1.15;
/// Peaks are forgotten slowly, so that a rare one still counts.
constexpr double kPeakDecay = 0.999;
constexpr double kLeastPart = 0.2;

std::int64_t Bounded(double aSeen,
                     std::int64_t aDeclared,
                     std::int64_t aLargest)
{
  const double least = kLeastPart * static_cast<double>(aDeclared);
  const double bounded = std::max(aSeen, least);
  const auto size = static_cast<std::int64_t>(std::ceil(bounded));
  return std::clamp<std::int64_t>(size, 1, std::max<std::int64_t>(aLargest, 1));
}

} // namespace

void LearnSize(SizingModel& aModel,
               const std::string& aOwner,
               const Resources& aUsage)
{
  auto& estimate = aModel.mOwners[aOwner];
  const auto milliCpu = static_cast<double>(aUsage.mMilliCpu);
  const auto memory = static_cast<double>(aUsage.mMemoryMb);
  const double count = static_cast<double>(estimate.mReports) + 1.0;
  const double rate = std::max(kSmoothing, 1.0 / count);
  const double error = milliCpu - estimate.mMeanMilliCpu;
  estimate.mMeanMilliCpu += rate * error;
  estimate.mDeviationMilliCpu +=
    rate * (std::abs(error) - estimate.mDeviationMilliCpu);
  estimate.mPeakMemoryMb =
    std::max(estimate.mPeakMemoryMb * kPeakDecay, memory);
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
  size.mMilliCpu =
    Bounded(estimate.mMeanMilliCpu + kDeviations * estimate.mDeviationMilliCpu,
            aDeclared.mMilliCpu,
            aLargest.mMilliCpu);
  size.mMemoryMb = Bounded(estimate.mPeakMemoryMb * kMemoryMargin,
                           aDeclared.mMemoryMb,
                           aLargest.mMemoryMb);
  return size;
}

} // namespace verbenacroft
