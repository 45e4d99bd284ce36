#pragma once

/// Logging by spdlog: one line an event, as text or as JSON.

#include <string>

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

} // namespace verbenacroft
