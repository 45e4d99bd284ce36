#pragma once

/// Command line, settings, logging and signals of a program.

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

struct LogSettings
{
  std::string mLevel = "info";
  bool mJson = false;
};
BOOST_DESCRIBE_STRUCT(LogSettings, (), (mLevel, mJson))

/// Settings that every program on an entry instance has.
struct CommonSettings
{
  std::string mName;
  std::string mDataCentre;
  /// Address for peers.
  std::string mPeerAddress;
  /// Address for /metrics, /healthz and /readyz.
  std::string mMetricsAddress;
  std::vector<std::string> mStoreAddresses;
  std::string mInstanceListAddress;
  /// Secret that peers present to each other.
  std::string mPeerToken;
  double mStoreCallsPerSecond = 40;
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
                       mLog))

/// Adds the faults of the common settings.
void CheckCommon(const CommonSettings& aSettings, Faults& aFaults);

std::vector<Endpoint> ParseEndpoints(const std::vector<std::string>& aTexts);

StoreBudget BudgetOf(const CommonSettings& aSettings);

struct CommandLine
{
  std::string mSettingsPath;
  bool mCheckOnly = false;
  bool mLogJson = false;
  /// Set if the program is to end at once with this code.
  std::optional<ExitCode> mExit;
};

/// Parses the options that every program on an entry instance takes.
CommandLine ParseCommandLine(int aCount,
                             char** aArguments,
                             const std::string& aProgram,
                             const std::string& aPurpose);

/// Prints one line for each fault to standard error.
void PrintFaults(const std::string& aFile, const Faults& aFaults);

/// Prints why a program ends.
void PrintFailure(const std::string& aProgram, const std::exception& aError);

/// Runs a program on an entry instance: reads and checks its settings, then
/// calls `aRun`. Returns the exit code.
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
  try {
    return static_cast<int>(aRun(settings));
  } catch (const std::exception& error) {
    PrintFailure(aProgram, error);
    return static_cast<int>(ExitCode::kFailed);
  }
}

/// Calls `aStop` on the first SIGTERM or SIGINT and ends the process at
/// once, with a log line, on the second.
void HandleSignals(asio::io_context& aContext, std::function<void()> aStop);

/// Calls `aTick` every `aInterval` until the context stops.
void RunEvery(asio::io_context& aContext,
              Duration aInterval,
              std::function<void()> aTick);

} // namespace verbenacroft
