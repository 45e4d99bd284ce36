#pragma once

/// Protection of services against resource pressure, the interference by batch
/// tasks on the same worker. Batch tasks are throttled first; if that is not
/// enough, one is checkpointed and moved. Hysteresis and a minimum time between
/// actions prevent delayed reports from causing two actions for the same cause.

#include "vcConfig.h"

namespace verbenacroft {

/// Action to take on one worker.
enum class PressureAction
{
  kNone,
  /// Throttle the batch tasks of the worker.
  kThrottle,
  /// Remove the throttle.
  kRelease,
  /// Checkpoint the batch task that slows down the services most, and place
  /// it again.
  kMove,
};

/// State of the protection on one worker.
struct PressureState
{
  bool mIsThrottled = false;
  /// Time of the last action.
  TimePoint mChangedAt = kNever;
};

/// Percentage of its processors that a throttled batch task may use.
constexpr std::int64_t kThrottlePercent = 50;

/// Slow-down of a service, as a fraction, above which an action is taken on
/// its worker. A higher weight of tail latency lowers the limit; a higher
/// weight of evictions raises it.
double SlowdownLimit(const Policy& aPolicy);

/// Next action for a worker whose services are slowed down by the fraction
/// `aSlowdown`, with the limit `aLimit`. Updates `aState` to match the action.
PressureAction DecidePressureAction(PressureState& aState,
                                    double aSlowdown,
                                    double aLimit,
                                    TimePoint aNow);

} // namespace verbenacroft
