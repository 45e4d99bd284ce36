#pragma once

/// Command line, settings, logging, signals and timers of a program.

#include "vcStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace verbenacroft {

/// Exit codes of every program.
enum class ExitCode : int
{
  kOk = 0,
  kFailed = 1,
  kBadSettings = 2,
};

/// Settings of the log.
struct LogSettings
{
  /// Minimum level that is logged.
  std::string mLevel = "info";
  /// Log one JSON object per line.
  bool mJson = false;
};
BOOST_DESCRIBE_STRUCT(LogSettings, (), (mLevel, mJson))

/// Settings that all programs on an entry instance have in common.
struct CommonSettings
{
  std::string mName;
  std::string mDataCentre;
  /// Address on which the process listens for peers.
  std::string mPeerAddress;
  /// Address on which the process serves /metrics, /healthz and /readyz.
  std::string mMetricsAddress;
  std::vector<std::string> mStoreAddresses;
  std::string mInstanceListAddress;
  /// Secret that peers present to each other.
  std::string mPeerToken;
  /// Rate limit of calls to the store, 5 to 1000 per second.
  double mStoreCallsPerSecond = 40;
  /// Memory limit of the process, in MB.
  std::uint32_t mMemoryMb = 512;
  LogSettings mLog;
};
BOOST_DESCRIBE_STRUCT(CommonSettings,
                      (),
                      (mName,
                       mDataCentre,
                       mPeerAddress,
                       mMetricsAddress,
                       mStoreAddresses,
                       mInstanceListAddress,
                       mPeerToken,
                       mStoreCallsPerSecond,
                       mMemoryMb,
                       mLog))

/// Checks the common settings and adds a fault for each invalid value.
void CheckCommonSettings(const CommonSettings& aSettings, Faults& aFaults);

/// Parses addresses of the form `IP:port`; malformed ones are skipped.
std::vector<Endpoint> ParseEndpoints(const std::vector<std::string>& aTexts);

/// Returns a full budget of store calls with the configured rate.
StoreBudget StoreBudgetOf(const CommonSettings& aSettings);

/// Parsed options of a program.
struct CommandLine
{
  std::string mSettingsPath;
  /// Only check the settings file, then exit.
  bool mCheckOnly = false;
  /// Log JSON even if the settings file does not ask for it.
  bool mLogJson = false;
  /// Memory limit of the process in MB, in place of the one in the settings.
  std::optional<std::uint32_t> mMemoryMb;
  /// Set if the program should exit immediately with this code.
  std::optional<ExitCode> mExit;
};

/// Parses the options that all programs on an entry instance have in common.
/// Handles --help and --version, and prints errors to standard error.
CommandLine ParseCommandLine(int aCount,
                             char** aArguments,
                             const std::string& aProgram,
                             const std::string& aPurpose);

/// Least memory limit of a process, in MB. The largest step of a job alone
/// takes less than its part of so much memory.
constexpr std::uint32_t kMinMemoryMb = 64;

/// Adds a fault if a memory limit is too low.
void CheckMemoryLimit(std::uint32_t aMemoryMb,
                      const std::string& aPath,
                      Faults& aFaults);

/// Divides the memory and the descriptors of the process: sets the limits of
/// all its servers.
void ApplyMemoryLimit(std::uint32_t aMemoryMb);

/// Prints one line for each fault to standard error.
void PrintFaults(const std::string& aFile, const Faults& aFaults);

/// Prints the error that ends a program to standard error.
void PrintFailure(const std::string& aProgram, const std::exception& aError);

/// Runs a program on an entry instance: reads its settings, checks them with
/// `aCheck`, sets up logging and calls `aRun`, which returns an `ExitCode`.
/// Returns the exit code of the process; an exception from `aRun` is printed
/// and gives `kFailed`.
template<class Settings, class Check, class Run>
int RunProgram(int aCount,
               char** aArguments,
               const std::string& aProgram,
               const std::string& aPurpose,
               Check aCheck,
               Run aRun)
{
  const CommandLine line =
    ParseCommandLine(aCount, aArguments, aProgram, aPurpose);
  if (line.mExit) {
    return static_cast<int>(*line.mExit);
  }
  Faults faults;
  auto settings = LoadSettings<Settings>(line.mSettingsPath, faults);
  auto& memoryMb = settings.mCommon.mMemoryMb;
  memoryMb = line.mMemoryMb.value_or(memoryMb);
  if (faults.empty()) {
    aCheck(settings, faults);
  }
  if (!faults.empty()) {
    PrintFaults(line.mSettingsPath, faults);
    return static_cast<int>(ExitCode::kBadSettings);
  }
  if (line.mCheckOnly) {
    return static_cast<int>(ExitCode::kOk);
  }
  settings.mCommon.mLog.mJson = settings.mCommon.mLog.mJson || line.mLogJson;
  SetUpLogging({ aProgram,
                 settings.mCommon.mName,
                 settings.mCommon.mLog.mLevel,
                 settings.mCommon.mLog.mJson });
  ApplyMemoryLimit(memoryMb);
  try {
    return static_cast<int>(aRun(settings));
  } catch (const std::exception& error) {
    PrintFailure(aProgram, error);
    return static_cast<int>(ExitCode::kFailed);
  }
}

/// Calls `aStop` on the first SIGTERM or SIGINT. The second one is logged and
/// ends the process immediately with `kFailed`.
void HandleSignals(asio::io_context& aContext, std::function<void()> aStop);

/// Calls `aTick` until the context stops, and waits for `aInterval` after each
/// call. An exception from `aTick` leaves `io_context::run`.
void RunEvery(asio::io_context& aContext,
              Duration aInterval,
              std::function<void()> aTick);

} // namespace verbenacroft
