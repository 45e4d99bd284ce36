#pragma once

/// Time as the cores see it: an argument, never a clock that they read.

#include <chrono>
#include <cstdint>
#include <optional>

namespace verbenacroft {

using Duration = std::chrono::milliseconds;

/// Milliseconds of a process's own monotonic clock. Values of different
/// processes are not comparable.
using TimePoint = std::chrono::milliseconds;

/// A moment that every comparison treats as long past.
constexpr TimePoint kNever{ -1'000'000'000'000 };

/// The monotonic clock of this process. Only the shells call it.
inline TimePoint MonotonicNow()
{
  return std::chrono::duration_cast<TimePoint>(
    std::chrono::steady_clock::now().time_since_epoch());
}

/// A clock that, unlike the steady clock, runs on while the machine is
/// suspended. Leases are counted on it. Only the shells call it.
TimePoint SuspendAwareNow();

/// Time of day in milliseconds since 1970. Only the shells call it.
std::int64_t WallClockMs();

/// For tests: both clocks above show `aNow` in the calling thread, or the
/// machine's time again if nothing is given.
void UseManualTime(std::optional<TimePoint> aNow);

bool IsTimeManual();

/// `SuspendAwareNow()` as a clock for timers.
struct SuspendAwareClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SuspendAwareClock>;
  static constexpr bool is_steady = true;

  static time_point now() // NOLINT(readability-identifier-naming)
  {
    return time_point(SuspendAwareNow());
  }
};

} // namespace verbenacroft
