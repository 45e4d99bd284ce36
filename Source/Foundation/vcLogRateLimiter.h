#pragma once

/// Limits the number of log lines per second. Events of single tasks, jobs and
/// calls have one limit and all other events have a second one, so that rare
/// events, such as the takeover of a shard, are still logged in a second with
/// many tasks.

#include "vcTime.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenacroft {

/// Name of the event of a log message: its first word.
std::string_view EventName(std::string_view aMessage);

/// True for events of single tasks, jobs and calls ("frequent events"). All
/// other events are called rare.
bool IsFrequentEvent(std::string_view aEvent);

/// Limits and counts of the current window of one second.
struct LogRateLimiter
{
  /// Limit on lines of frequent events, per second.
  std::uint32_t mFrequentPerSecond = 0;
  /// Limit on lines of rare events, per second.
  std::uint32_t mRarePerSecond = 0;
  /// Start of the current window, on the clock of the caller.
  TimePoint mWindowStart{ kNever };
  /// Lines of frequent events that the window has admitted.
  std::uint32_t mFrequent = 0;
  /// Lines of rare events that the window has admitted.
  std::uint32_t mRare = 0;
  /// Number of dropped lines of the window, by event.
  std::map<std::string, std::uint64_t, std::less<>> mDropped;
};

/// Number of dropped lines of a finished window, by event.
using DroppedLines = std::map<std::string, std::uint64_t, std::less<>>;

/// Starts a new window if the current one has lasted for at least a second.
/// @return the dropped lines of the window that ended; empty if none ended
DroppedLines AdvanceWindow(LogRateLimiter& aLimiter, TimePoint aNow);

/// Decides whether to write a log line of the event `aEvent`, and counts it as
/// admitted or dropped.
/// @param aIsCongested the queue of the writer is filling up; frequent events
///   are dropped whatever their limit
/// @return true if the line is to be written
bool AdmitLine(LogRateLimiter& aLimiter,
               std::string_view aEvent,
               bool aIsCongested);

} // namespace verbenacroft
