#pragma once

/// Logging with spdlog. Each event is one line, as text or as a JSON object.

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenacroft {

/// Options of the process-wide logger.
struct LogOptions
{
  /// Name of the program, part of every line.
  std::string mProgram;
  /// Name of the instance, part of every line.
  std::string mInstance;
  /// Lowest level that is logged, by its spdlog name.
  std::string mLevel = "info";
  /// Write JSON lines instead of text. `SetUpEventLog` always writes JSON.
  bool mIsJson = false;
};

/// Sets up the process-wide logger to write synchronously to standard error.
/// The logger has no lock, so that only one thread may log at a time. An
/// unknown level, and the level "off", are treated as "info".
void SetUpLogging(const LogOptions& aOptions);

/// Sets up the process-wide logger to write JSON lines to standard output from
/// a separate thread, so that logging never blocks on a slow reader. Lines
/// beyond the limits are dropped; their number is logged as `log.dropped`. If
/// the reader stalls, the oldest lines are lost without being counted. The
/// logger has no lock, so that only one thread may log at a time. Messages have
/// the form "name key=value key=value". The level is treated as in
/// `SetUpLogging`.
/// @param aLinesPerSecond limit on lines of frequent events (see
///   `IsFrequentEvent`); rare events have a fixed limit of their own
void SetUpEventLog(const LogOptions& aOptions, std::uint32_t aLinesPerSecond);

/// Converts a message of the form "name key=value" to members of a JSON object,
/// each preceded by a comma. The words without a key are joined to the member
/// "event". If the message starts with a key, "log" is put before these words.
std::string EventToJsonMembers(std::string_view aPayload);

} // namespace verbenacroft
