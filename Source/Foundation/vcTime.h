#pragma once

/// Time types and the clocks of a process. The core of a program receives the
/// time as an argument and never reads a clock; only its shell, the code that
/// does input and output, calls the clock functions declared here.

#include <chrono>
#include <cstdint>
#include <optional>

namespace verbenacroft {

/// Length of time in milliseconds.
using Duration = std::chrono::milliseconds;

/// Time on a clock of the process, in milliseconds. Values of the monotonic
/// clocks of different processes are not comparable.
using TimePoint = std::chrono::milliseconds;

/// Stands for an event that has not happened: about 32 years before the zero
/// of the clock, so that comparisons treat it as long past.
constexpr TimePoint kNever{ -1'000'000'000'000 };

/// Time on the monotonic clock of this process, which stops while the machine
/// is suspended. Not affected by `UseManualTime`.
inline TimePoint MonotonicNow()
{
  return std::chrono::duration_cast<TimePoint>(
    std::chrono::steady_clock::now().time_since_epoch());
}

/// Time on a monotonic clock that, unlike the steady clock, keeps running while
/// the machine is suspended. Leases are measured with it.
TimePoint SuspendAwareNow();

/// Time of day in milliseconds since the Unix epoch (1970-01-01 UTC).
std::int64_t WallClockMs();

/// For tests: `SuspendAwareNow` and `WallClockMs` return `aNow` in the calling
/// thread. `std::nullopt` switches back to the clocks of the machine.
void UseManualTime(std::optional<TimePoint> aNow);

/// True if `UseManualTime` has set the time of the calling thread.
bool IsTimeManual();

/// `SuspendAwareNow()` as a clock in the form that timers of the standard
/// library and of Asio take.
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
