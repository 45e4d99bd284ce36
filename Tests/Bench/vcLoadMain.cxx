/// vcLoad: a small load program. It sends requests at a fixed rate, or as
/// fast as they are answered, and prints quantiles of the latency, counted
/// from the moment at which each request was due.

#include "vcHttp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace verbenacroft {
namespace {

using Clock = std::chrono::steady_clock;

struct LoadOptions
{
  Endpoint mEndpoint;
  std::string mPath;
  HttpHeaders mHeaders;
  /// Requests a second; 0 for as many as are answered.
  double mRate = 0;
  double mSeconds = 5;
  int mConnections = 16;
};

struct LoadState
{
  std::vector<double> mLatenciesMs;
  std::uint64_t mErrors = 0;
  std::uint64_t mSent = 0;
  Clock::time_point mStart;
  Clock::time_point mEnd;
};

/// Moment at which the next request is due; each connection takes the next.
Clock::time_point NextDue(const LoadOptions& aOptions, LoadState& aState)
{
  const auto number = static_cast<double>(aState.mSent++);
  if (aOptions.mRate <= 0) {
    return Clock::now();
  }
  return aState.mStart +
         std::chrono::duration_cast<Clock::duration>(
           std::chrono::duration<double>(number / aOptions.mRate));
}

asio::awaitable<void> RunConnection(asio::io_context& aContext,
                                    HttpClient& aClient,
                                    const LoadOptions& aOptions,
                                    LoadState& aState)
{
  asio::steady_timer timer(aContext);
  while (true) {
    const auto due = NextDue(aOptions, aState);
    if (due >= aState.mEnd) {
      co_return;
    }
    if (due > Clock::now()) {
      timer.expires_at(due);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    HttpRequest request;
    request.mTarget = aOptions.mPath;
    request.mHeaders = aOptions.mHeaders;
    HttpCallOptions options;
    const HttpResult result = co_await aClient.Call(
      aOptions.mEndpoint, std::move(request), std::move(options));
    const bool isGood = !result.mError && result.mResponse.mStatus == 200;
    aState.mErrors += isGood ? 0 : 1;
    aState.mLatenciesMs.push_back(
      std::chrono::duration<double, std::milli>(Clock::now() - due).count());
  }
}

double Quantile(const std::vector<double>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::size_t>(aPart * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

int RunLoad(const LoadOptions& aOptions)
{
  asio::io_context context{ 1 };
  HttpClient client(context);
  LoadState state;
  state.mStart = Clock::now();
  state.mEnd =
    state.mStart + std::chrono::duration_cast<Clock::duration>(
                     std::chrono::duration<double>(aOptions.mSeconds));
  for (int i = 0; i < aOptions.mConnections; ++i) {
    asio::co_spawn(
      context, RunConnection(context, client, aOptions, state), asio::detached);
  }
  context.run();
  const double seconds =
    std::chrono::duration<double>(Clock::now() - state.mStart).count();
  auto& latencies = state.mLatenciesMs;
  std::sort(latencies.begin(), latencies.end());
  std::cout << "requests " << latencies.size() << " errors " << state.mErrors
            << " per_second " << static_cast<double>(latencies.size()) / seconds
            << " p50_ms " << Quantile(latencies, 0.5) << " p99_ms "
            << Quantile(latencies, 0.99) << " p999_ms "
            << Quantile(latencies, 0.999) << "\n";
  return state.mErrors == 0 ? 0 : 1;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  cxxopts::Options options("vcLoad", "Sends HTTP requests and times them.");
  auto add = options.add_options();
  add("address", "IP number and port", cxxopts::value<std::string>());
  add("path", "path", cxxopts::value<std::string>()->default_value("/"));
  add("header", "NAME=VALUE", cxxopts::value<std::vector<std::string>>());
  add("rate",
      "requests a second, 0 for no limit",
      cxxopts::value<double>()->default_value("0"));
  add("seconds", "how long", cxxopts::value<double>()->default_value("5"));
  add("connections",
      "requests at a time",
      cxxopts::value<int>()->default_value("16"));
  try {
    const auto parsed = options.parse(aCount, aArguments);
    LoadOptions load;
    const auto endpoint = ParseEndpoint(parsed["address"].as<std::string>());
    if (!endpoint) {
      std::cerr << "vcLoad: --address: allowed: an IP number and a port\n";
      return 2;
    }
    load.mEndpoint = *endpoint;
    load.mPath = parsed["path"].as<std::string>();
    load.mRate = parsed["rate"].as<double>();
    load.mSeconds = parsed["seconds"].as<double>();
    load.mConnections = parsed["connections"].as<int>();
    if (parsed.count("header") > 0) {
      for (const auto& text : parsed["header"].as<std::vector<std::string>>()) {
        const auto equals = text.find('=');
        load.mHeaders.push_back(
          { text.substr(0, equals), text.substr(equals + 1) });
      }
    }
    return RunLoad(load);
  } catch (const std::exception& error) {
    std::cerr << "vcLoad: " << error.what() << "\n";
    return 2;
  }
}
