#pragma once

/// Logging by spdlog: one line an event, as text or as JSON.

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenacroft {

struct LogOptions
{
  std::string mProgram;
  std::string mInstance;
  std::string mLevel = "info";
  bool mIsJson = false;
};

/// Sets the process-wide logger up. An unknown level is treated as "info".
void SetUpLogging(const LogOptions& aOptions);

/// Sets the process-wide logger up to write JSON lines to standard output
/// from a thread of its own: a line never waits for its reader, and at most
/// `aLinesPerSecond` are written. Messages have the form
/// "name key=value key=value".
void SetUpEventLog(const LogOptions& aOptions, std::uint32_t aLinesPerSecond);

/// JSON members of a message, each led by a comma.
std::string EventAsMembers(std::string_view aPayload);

} // namespace verbenacroft
