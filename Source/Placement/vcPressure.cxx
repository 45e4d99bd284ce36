#include "vcPressure.h"

namespace verbenacroft {

namespace {

constexpr double kBaseLimit = 0.3;
/// Part of the limit below which a throttle is taken back.
constexpr double kReleasePart = 0.4;
/// Longer than reports lag, so that each action shows before the next.
constexpr Duration kHold{ 12'000 };

} // namespace

double PressureLimit(const Policy& aPolicy)
{
  return kBaseLimit * (1.0 + aPolicy.mEvictions) / (1.0 + aPolicy.mTailLatency);
}

PressureAction DecidePressure(PressureState& aState,
                              double aSlowdown,
                              double aLimit,
                              TimePoint aNow)
{
  if (aNow - aState.mChangedAt < kHold) {
    return PressureAction::kNone;
  }
  if (aSlowdown > aLimit) {
    aState.mChangedAt = aNow;
    if (!aState.mIsThrottled) {
      aState.mIsThrottled = true;
      return PressureAction::kThrottle;
    }
    return PressureAction::kMove;
  }
  if (aState.mIsThrottled && aSlowdown < aLimit * kReleasePart) {
    aState.mChangedAt = aNow;
    aState.mIsThrottled = false;
    return PressureAction::kRelease;
  }
  return PressureAction::kNone;
}

} // namespace verbenacroft
