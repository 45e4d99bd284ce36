/// vcFleet: plays a fleet with random faults for one or many seeds.

#include "vcFleet.h"

#include <cxxopts.hpp>
#include <spdlog/spdlog.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace verbenacroft {
namespace {

constexpr std::size_t kShownProblems = 4;

void Print(const FleetOptions& aOptions, const FleetResult& aResult)
{
  std::cout << "seed " << aOptions.mSeed << " failed with "
            << aResult.mProblems.size() << " problems; again: vcFleet --seeds "
            << aOptions.mSeed
            << (aOptions.mHasSmallNodes ? " --small-nodes" : "") << " --log\n";
  for (const auto& fault : aResult.mFaults) {
    std::cout << "    " << fault << "\n";
  }
  const auto shown = std::min(kShownProblems, aResult.mProblems.size());
  for (std::size_t i = 0; i < shown; ++i) {
    std::cout << "  " << aResult.mProblems[i] << "\n";
  }
}

int PlaySeeds(const FleetOptions& aOptions,
              std::uint64_t aFirst,
              std::uint64_t aLast,
              unsigned aThreads)
{
  std::atomic<std::uint64_t> next{ aFirst };
  std::atomic<std::uint64_t> failed{ 0 };
  std::mutex mutex;
  const auto work = [&] {
    for (auto seed = next++; seed <= aLast; seed = next++) {
      FleetOptions options = aOptions;
      options.mSeed = seed;
      const FleetResult result = PlayFleet(options);
      if (!result.mProblems.empty()) {
        ++failed;
        const std::lock_guard lock(mutex);
        Print(options, result);
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < aThreads; ++i) {
      threads.emplace_back(work);
    }
  }
  std::cout << aLast - aFirst + 1 - failed << " passed, " << failed
            << " failed\n";
  return failed == 0 ? 0 : 1;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  cxxopts::Options options("vcFleet", "Plays a fleet with random faults.");
  auto add = options.add_options();
  add("seeds", "N or N..M", cxxopts::value<std::string>()->default_value("1"));
  add("threads",
      "seeds played at a time",
      cxxopts::value<unsigned>()->default_value("4"));
  add("small-nodes", "with nodes of few processors among the others");
  add("log", "print the nodes' logs");
  add("help", "print this help and exit");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    spdlog::set_level(parsed.count("log") > 0 ? spdlog::level::info
                                              : spdlog::level::off);
    const std::string seeds = parsed["seeds"].as<std::string>();
    const auto dots = seeds.find("..");
    const std::uint64_t first = std::stoull(seeds);
    const std::uint64_t last =
      dots == std::string::npos ? first : std::stoull(seeds.substr(dots + 2));
    FleetOptions fleet;
    fleet.mHasSmallNodes = parsed.count("small-nodes") > 0;
    return PlaySeeds(fleet, first, last, parsed["threads"].as<unsigned>());
  } catch (const std::exception& error) {
    std::cerr << "vcFleet: " << error.what() << "\n";
    return 2;
  }
}
