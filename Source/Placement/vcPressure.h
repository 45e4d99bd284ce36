#pragma once

/// Protection of services from batch tasks beside them: throttle first, then
/// checkpoint and move, with hysteresis so that lagging reports don't make
/// it act twice on the same cause.

#include "vcConfig.h"

namespace verbenacroft {

enum class PressureAction
{
  kNone,
  /// Throttle the batch tasks of the worker.
  kThrottle,
  kRelease,
  /// Checkpoint the batch task that does the most harm and place it anew.
  kMove,
};

/// Stage that one worker is in.
struct PressureState
{
  bool mIsThrottled = false;
  TimePoint mChangedAt = kNever;
};

/// Percentage of its processors that a throttled batch task keeps.
constexpr std::int64_t kThrottlePercent = 50;

/// Slow-down of a service, as a fraction, above which its worker acts. The
/// weight of tail latency lowers it, that of evictions raises it.
double PressureLimit(const Policy& aPolicy);

/// Next action for a worker whose services are slowed down by `aSlowdown`.
PressureAction DecidePressure(PressureState& aState,
                              double aSlowdown,
                              double aLimit,
                              TimePoint aNow);

} // namespace verbenacroft
