#include "vcProgram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace verbenacroft {

namespace {
constexpr const char* kVersion = "0.1.0";
constexpr std::size_t kBytesPerMb = 1'000'000;
} // namespace

void CheckCommonSettings(const CommonSettings& aSettings, Faults& aFaults)
{
  CheckNotEmpty(aSettings.mName, "$.common.name", aFaults);
  CheckNotEmpty(aSettings.mDataCentre, "$.common.dataCentre", aFaults);
  CheckNotEmpty(aSettings.mPeerToken, "$.common.peerToken", aFaults);
  CheckEndpoint(aSettings.mPeerAddress, "$.common.peerAddress", aFaults);
  CheckEndpoint(aSettings.mMetricsAddress, "$.common.metricsAddress", aFaults);
  CheckEndpoint(
    aSettings.mInstanceListAddress, "$.common.instanceListAddress", aFaults);
  if (aSettings.mStoreAddresses.empty()) {
    aFaults.push_back(
      { "$.common.storeAddresses", "none", "one or more addresses" });
  }
  CheckEndpoints(aSettings.mStoreAddresses, "$.common.storeAddresses", aFaults);
  constexpr double kMinCallsPerSecond = 5;
  constexpr double kMaxCallsPerSecond = 1'000;
  if (aSettings.mStoreCallsPerSecond < kMinCallsPerSecond ||
      aSettings.mStoreCallsPerSecond > kMaxCallsPerSecond) {
    aFaults.push_back({ "$.common.storeCallsPerSecond",
                        std::to_string(aSettings.mStoreCallsPerSecond),
                        "5 to 1000" });
  }
  CheckMemoryLimit(aSettings.mMemoryMb, "$.common.memoryMb", aFaults);
}

void CheckMemoryLimit(std::uint32_t aMemoryMb,
                      const std::string& aPath,
                      Faults& aFaults)
{
  if (aMemoryMb < kMinMemoryMb) {
    aFaults.push_back({ aPath,
                        std::to_string(aMemoryMb),
                        std::to_string(kMinMemoryMb) + " or more" });
  }
}

void ApplyMemoryLimit(std::uint32_t aMemoryMb)
{
  ProcessHttpBudget().SetLimits(
    BudgetLimitsFor(aMemoryMb * kBytesPerMb, MaxDescriptors()));
}

std::vector<Endpoint> ParseEndpoints(const std::vector<std::string>& aTexts)
{
  std::vector<Endpoint> endpoints;
  for (const auto& text : aTexts) {
    const auto endpoint = ParseEndpoint(text);
    if (endpoint) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

StoreBudget StoreBudgetOf(const CommonSettings& aSettings)
{
  // Capacity of the bucket, as the number of seconds that it takes to refill.
  constexpr double kBurstSeconds = 2;
  StoreBudget budget;
  budget.mCallsPerSecond = aSettings.mStoreCallsPerSecond;
  budget.mBurst = aSettings.mStoreCallsPerSecond * kBurstSeconds;
  budget.mTokens = budget.mBurst;
  return budget;
}

CommandLine ParseCommandLine(int aCount,
                             char** aArguments,
                             const std::string& aProgram,
                             const std::string& aPurpose)
{
  CommandLine line;
  cxxopts::Options options(aProgram, aPurpose);
  auto add = options.add_options();
  add("settings",
      "settings file, JSON with comments",
      cxxopts::value<std::string>());
  add("check-settings", "check the settings file and exit");
  add("log-json", "log one JSON object a line");
  add("memory-mb",
      "memory limit of the process in MB, in place of that in the settings",
      cxxopts::value<std::uint32_t>());
  add("version", "print the version and exit");
  add("help", "print this help and exit");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      line.mExit = ExitCode::kOk;
    } else if (parsed.count("version") > 0) {
      std::cout << aProgram << " " << kVersion << "\n";
      line.mExit = ExitCode::kOk;
    } else if (parsed.count("settings") == 0) {
      std::cerr << aProgram << ": --settings FILE is required\n";
      line.mExit = ExitCode::kBadSettings;
    } else {
      line.mSettingsPath = parsed["settings"].as<std::string>();
    }
    line.mCheckOnly = parsed.count("check-settings") > 0;
    line.mLogJson = parsed.count("log-json") > 0;
    if (parsed.count("memory-mb") > 0) {
      line.mMemoryMb = parsed["memory-mb"].as<std::uint32_t>();
    }
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << aProgram << ": " << error.what() << "; see --help\n";
    line.mExit = ExitCode::kBadSettings;
  }
  return line;
}

void PrintFaults(const std::string& aFile, const Faults& aFaults)
{
  for (const auto& fault : aFaults) {
    std::cerr << aFile << ": " << Describe(fault) << "\n";
  }
}

void PrintFailure(const std::string& aProgram, const std::exception& aError)
{
  std::cerr << aProgram << ": " << aError.what() << "\n";
}

namespace {

/// Waits for two signals: the first starts a drain, the second exits.
asio::awaitable<void> WatchSignals(std::function<void()> aStop)
{
  auto executor = co_await asio::this_coro::executor;
  asio::signal_set signals(executor, SIGTERM, SIGINT);
  const int first = co_await signals.async_wait(asio::use_awaitable);
  spdlog::info("signal received signal={} action=drain", first);
  aStop();
  const int second = co_await signals.async_wait(asio::use_awaitable);
  spdlog::warn("second signal received signal={} action=exit", second);
  std::_Exit(static_cast<int>(ExitCode::kFailed));
}

asio::awaitable<void> TickForever(Duration aInterval,
                                  std::function<void()> aTick)
{
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  while (true) {
    aTick();
    timer.expires_after(aInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

/// Rethrows the exception of a coroutine out of `io_context::run`.
void RethrowFailure(const std::exception_ptr& aError)
{
  if (aError) {
    std::rethrow_exception(aError);
  }
}

} // namespace

void HandleSignals(asio::io_context& aContext, std::function<void()> aStop)
{
  asio::co_spawn(aContext, WatchSignals(std::move(aStop)), RethrowFailure);
}

void RunEvery(asio::io_context& aContext,
              Duration aInterval,
              std::function<void()> aTick)
{
  asio::co_spawn(
    aContext, TickForever(aInterval, std::move(aTick)), RethrowFailure);
}

} // namespace verbenacroft
