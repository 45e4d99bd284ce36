#include "vcAdmission.h"

namespace verbenacroft {

namespace {

/// Fraction of the limit below which every request is admitted.
constexpr double kUnrestrictedFraction = 0.6;
/// Fraction of the limit from which only critical services are admitted.
constexpr double kCriticalOnlyFraction = 0.85;

} // namespace

bool Admit(AdmissionState& aState,
           const Configuration& aConfiguration,
           const Service& aService)
{
  constexpr double kPercent = 100.0;
  const auto limit = static_cast<double>(aState.mLimit);
  const auto total = static_cast<double>(aState.mTotal);
  bool isAdmitted = total < limit * kUnrestrictedFraction;
  if (!isAdmitted && total < limit) {
    const auto* backer = FindNamed(aConfiguration.mBackers, aService.mBacker);
    const double share =
      backer == nullptr ? 0.0
                        : static_cast<double>(backer->mSharePercent) / kPercent;
    const bool isWithinShare =
      static_cast<double>(aState.mByBacker[aService.mBacker]) < limit * share;
    const bool isClassServed = aService.mClass == ServiceClass::kCritical ||
                               total < limit * kCriticalOnlyFraction;
    isAdmitted = isWithinShare && isClassServed;
  }
  if (!isAdmitted) {
    ++aState.mRefused[aService.mBacker];
  }
  return isAdmitted;
}

void RecordAdmission(AdmissionState& aState, const std::string& aBacker)
{
  ++aState.mTotal;
  ++aState.mByBacker[aBacker];
}

void RecordCompletion(AdmissionState& aState, const std::string& aBacker)
{
  --aState.mTotal;
  --aState.mByBacker[aBacker];
}

} // namespace verbenacroft
