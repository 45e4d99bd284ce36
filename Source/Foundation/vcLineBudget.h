#pragma once

/// Bounds the lines of log of each second. Events that come with every task,
/// job or call have one budget, all others another, so that a takeover can be
/// read in the log of a busy second.

#include "vcTime.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenacroft {

/// Name of an event: the first word of its message.
std::string_view EventOf(std::string_view aMessage);

/// True for events of single tasks, jobs and calls.
bool IsFrequentEvent(std::string_view aEvent);

struct LineBudget
{
  std::uint32_t mFrequentPerSecond = 0;
  std::uint32_t mRarePerSecond = 0;
  TimePoint mWindowStart{ kNever };
  std::uint32_t mFrequent = 0;
  std::uint32_t mRare = 0;
  /// Lines of the window that were not written, by event.
  std::map<std::string, std::uint64_t, std::less<>> mDropped;
};

/// Lines of the second before that were not written, by event.
using DroppedLines = std::map<std::string, std::uint64_t, std::less<>>;

/// Opens a new window if the last one is over.
/// @return what the last one dropped; nothing within a window
DroppedLines OpenWindow(LineBudget& aBudget, TimePoint aNow);

/// Counts a line.
/// @param aIsFull the writer is behind; only rare events are let through
/// @return true if it is to be written
bool Admit(LineBudget& aBudget, std::string_view aEvent, bool aIsFull);

} // namespace verbenacroft
