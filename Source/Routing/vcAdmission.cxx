#include "vcAdmission.h"

namespace verbenacroft {

namespace {

/// Part of the limit below which every request is taken.
constexpr double kOpenPart = 0.6;
/// Part of the limit above which only critical services are served.
constexpr double kCriticalPart = 0.85;

} // namespace

bool Admit(AdmissionState& aState,
           const Configuration& aConfiguration,
           const Service& aService)
{
  constexpr double kPercent = 100.0;
  const auto limit = static_cast<double>(aState.mLimit);
  const auto total = static_cast<double>(aState.mTotal);
  bool isAdmitted = total < limit * kOpenPart;
  if (!isAdmitted && total < limit) {
    const auto* backer = FindNamed(aConfiguration.mBackers, aService.mBacker);
    const double share =
      backer == nullptr ? 0.0
                        : static_cast<double>(backer->mSharePercent) / kPercent;
    const bool isWithinShare =
      static_cast<double>(aState.mByBacker[aService.mBacker]) < limit * share;
    const bool isClassServed = aService.mClass == ServiceClass::kCritical ||
                               total < limit * kCriticalPart;
    isAdmitted = isWithinShare && isClassServed;
  }
  if (!isAdmitted) {
    ++aState.mRefused[aService.mBacker];
  }
  return isAdmitted;
}

void NoteAdmitted(AdmissionState& aState, const std::string& aBacker)
{
  ++aState.mTotal;
  ++aState.mByBacker[aBacker];
}

void NoteReleased(AdmissionState& aState, const std::string& aBacker)
{
  --aState.mTotal;
  --aState.mByBacker[aBacker];
}

} // namespace verbenacroft
