#include "vcFairness.h"

#include <algorithm>

namespace verbenacroft {

namespace {
/// Weight of a backer that is not declared, and smallest weight of any; it is
/// above 0 because shares are divided by it.
constexpr double kMinBackerWeight = 0.001;
constexpr double kPercent = 100.0;
constexpr double kMillisPerSecond = 1000.0;
} // namespace

double BackerWeight(const Configuration& aConfiguration,
                    const std::string& aBacker)
{
  const auto* backer = FindNamed(aConfiguration.mBackers, aBacker);
  if (backer == nullptr) {
    return kMinBackerWeight;
  }
  return std::max(static_cast<double>(backer->mSharePercent) / kPercent,
                  kMinBackerWeight);
}

double NormalisedShare(const Resources& aCommitted,
                       const Resources& aTotal,
                       double aWeight)
{
  return DominantShare(aCommitted, aTotal) / aWeight;
}

void AccrueUsage(FairnessLedger& aLedger,
                 const Configuration& aConfiguration,
                 const Resources& aTotal,
                 TimePoint aNow)
{
  if (aLedger.mUpdatedAt != kNever) {
    const double seconds =
      static_cast<double>((aNow - aLedger.mUpdatedAt).count()) /
      kMillisPerSecond;
    for (auto& [name, use] : aLedger.mBackers) {
      const auto milliCpu = static_cast<double>(use.mCommitted.mMilliCpu);
      const double quota = BackerWeight(aConfiguration, name) *
                           static_cast<double>(aTotal.mMilliCpu);
      use.mMilliCpuSeconds += milliCpu * seconds;
      use.mMemoryMbSeconds +=
        static_cast<double>(use.mCommitted.mMemoryMb) * seconds;
      use.mAcceleratorSeconds +=
        static_cast<double>(use.mCommitted.mAccelerators) * seconds;
      use.mBorrowedMilliCpuSeconds += std::max(0.0, milliCpu - quota) * seconds;
    }
  }
  aLedger.mUpdatedAt = aNow;
}

} // namespace verbenacroft
