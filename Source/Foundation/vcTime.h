#pragma once

/// Time as the cores see it: an argument, never a clock that they read.

#include <chrono>

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

} // namespace verbenacroft
