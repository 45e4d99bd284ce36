#include "vcPressure.h"

namespace verbenacroft {

namespace {

/// Slow-down limit, as a fraction, when both policy weights are equal.
constexpr double kBaseSlowdownLimit = 0.3;
/// A throttle is released below this fraction of the limit (hysteresis).
constexpr double kReleaseFraction = 0.4;
/// Minimum time between two actions on a worker. It is longer than the delay
/// of reports, so that the effect of an action is visible before the next one.
constexpr Duration kMinActionInterval{ 12'000 };

} // namespace

double SlowdownLimit(const Policy& aPolicy)
{
  return kBaseSlowdownLimit * (1.0 + aPolicy.mEvictions) /
         (1.0 + aPolicy.mTailLatency);
}

PressureAction DecidePressureAction(PressureState& aState,
                                    double aSlowdown,
                                    double aLimit,
                                    TimePoint aNow)
{
  if (aNow - aState.mChangedAt < kMinActionInterval) {
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
  if (aState.mIsThrottled && aSlowdown < aLimit * kReleaseFraction) {
    aState.mChangedAt = aNow;
    aState.mIsThrottled = false;
    return PressureAction::kRelease;
  }
  return PressureAction::kNone;
}

} // namespace verbenacroft
