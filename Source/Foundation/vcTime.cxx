#include "vcTime.h"

#include <ctime>

namespace verbenacroft {

namespace {

/// Time set by `UseManualTime` for this thread.
thread_local std::optional<TimePoint> gManualTime;

} // namespace

TimePoint SuspendAwareNow()
{
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  if (gManualTime) {
    return *gManualTime;
  }
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs);
}

std::int64_t WallClockMs()
{
  if (gManualTime) {
    return gManualTime->count();
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void UseManualTime(std::optional<TimePoint> aNow)
{
  gManualTime = aNow;
}

bool IsTimeManual()
{
  return gManualTime.has_value();
}

} // namespace verbenacroft
