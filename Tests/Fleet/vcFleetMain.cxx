/// vcFleet: plays a fleet with random faults for one or many seeds.

#include "vcFleet.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace verbenacroft {
namespace {

constexpr std::size_t kShownProblems = 4;

/// The arguments that play the same again.
std::string ArgumentsOf(const FleetOptions& aOptions)
{
  const bool hasFactor = aOptions.mLinkFactor != 1;
  return fmt::format(
    "--seeds {} --play {} --nodes {} --shards {} --workers {} "
    "--jobs-at-once {}{}",
    aOptions.mSeed,
    NameOf(aOptions.mPlay),
    aOptions.mNodes,
    aOptions.mShards,
    aOptions.mWorkers,
    aOptions.mJobsAtOnce,
    hasFactor ? fmt::format(" --link-factor {}", aOptions.mLinkFactor) : "");
}

void Print(const FleetOptions& aOptions, const FleetResult& aResult)
{
  std::cout << "seed " << aOptions.mSeed << " failed with "
            << aResult.mProblems.size() << " problems; again: vcFleet "
            << ArgumentsOf(aOptions) << " --log\n";
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
  std::cout << NameOf(aOptions.mPlay) << ": " << aLast - aFirst + 1 - failed
            << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

/// The play that was asked for, or all of them.
/// @throws std::invalid_argument if there is no play of that name
std::vector<FleetPlay> PlaysOf(const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("play") == 0) {
    std::vector<FleetPlay> plays;
    plays.reserve(EnumTable<FleetPlay>::kRows.size());
    for (const auto& row : EnumTable<FleetPlay>::kRows) {
      plays.push_back(row.mValue);
    }
    return plays;
  }
  const auto play = ValueOf<FleetPlay>(aParsed["play"].as<std::string>());
  if (!play) {
    throw std::invalid_argument("no such play");
  }
  return { *play };
}

FleetOptions FleetOptionsOf(const cxxopts::ParseResult& aParsed)
{
  FleetOptions options;
  const auto read = [&](const char* aName, std::uint32_t& aOut) {
    if (aParsed.count(aName) > 0) {
      aOut = std::max(1U, aParsed[aName].as<std::uint32_t>());
    }
  };
  read("nodes", options.mNodes);
  read("shards", options.mShards);
  read("workers", options.mWorkers);
  read("jobs-at-once", options.mJobsAtOnce);
  if (aParsed.count("link-factor") > 0) {
    options.mLinkFactor = aParsed["link-factor"].as<double>();
  }
  return options;
}

/// Sets what a play prescribes.
void AdaptToPlay(FleetOptions& aOptions)
{
  const bool isLeaves = aOptions.mPlay == FleetPlay::kLeavesBeforeSettled ||
                        aOptions.mPlay == FleetPlay::kLossesAndLeaves;
  // Enough work that every worker runs some of it.
  constexpr std::uint32_t kManyJobs = 4;
  const bool hasManyJobs = HasManyLastingJobs(aOptions.mPlay);
  // Tasks that end in fast succession on each of many workers.
  constexpr std::uint32_t kChokedWorkers = 120;
  constexpr std::uint32_t kChokedJobs = 10;
  const bool isChoked = aOptions.mPlay == FleetPlay::kChokedOwner;
  if (isChoked) {
    aOptions.mWorkers = std::max(aOptions.mWorkers, kChokedWorkers);
    aOptions.mJobsAtOnce = std::max(aOptions.mJobsAtOnce, kChokedJobs);
  }
  // Enough workers that some are left while others are down.
  constexpr std::uint32_t kManyWorkers = 12;
  const bool hasDeadlyTasks = aOptions.mPlay == FleetPlay::kDeadlyTasks;
  const bool losesMany =
    hasDeadlyTasks || isLeaves || aOptions.mPlay == FleetPlay::kRestartsUnderId;
  if (losesMany) {
    aOptions.mWorkers = std::max(aOptions.mWorkers, kManyWorkers);
  }
  // Enough workers that a rack is a small part, and enough jobs to fill them
  // before it is lost.
  constexpr std::uint32_t kWorkersOfRacks = 60;
  constexpr std::uint32_t kSomeJobs = 5;
  const bool losesRack = aOptions.mPlay == FleetPlay::kRackLostAndBack;
  if (losesRack) {
    aOptions.mWorkers = std::max(aOptions.mWorkers, kWorkersOfRacks);
    aOptions.mJobsAtOnce = std::max(aOptions.mJobsAtOnce, kSomeJobs);
  }
  // One node is lost and up to three leave, and one at least is always there.
  constexpr std::uint32_t kManyNodes = 6;
  if (isLeaves) {
    aOptions.mNodes = std::max(aOptions.mNodes, kManyNodes);
  }
  // The owner that loses its shard has to be that of all tasks.
  const bool needsOneShard = hasManyJobs || isChoked || hasDeadlyTasks ||
                             losesRack ||
                             aOptions.mPlay == FleetPlay::kLateEnds ||
                             aOptions.mPlay == FleetPlay::kRelease;
  if (needsOneShard) {
    aOptions.mShards = 1;
  }
  if (hasManyJobs) {
    aOptions.mJobsAtOnce = std::max(aOptions.mJobsAtOnce, kManyJobs);
  }
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
  add("nodes", "nodes of the fleet", cxxopts::value<std::uint32_t>());
  add("shards", "shards of the fleet", cxxopts::value<std::uint32_t>());
  add("workers",
      "workers, at least as many as shards",
      cxxopts::value<std::uint32_t>());
  add("jobs-at-once",
      "jobs submitted together, every 250 ms",
      cxxopts::value<std::uint32_t>());
  add("link-factor",
      "how many times as much the limited links and processors carry",
      cxxopts::value<double>());
  add("play",
      "one of the plays; all of them if it isn't given",
      cxxopts::value<std::string>());
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
    const auto threads = parsed["threads"].as<unsigned>();
    int status = 0;
    for (const auto play : PlaysOf(parsed)) {
      FleetOptions options = FleetOptionsOf(parsed);
      options.mPlay = play;
      AdaptToPlay(options);
      status = std::max(status, PlaySeeds(options, first, last, threads));
    }
    return status;
  } catch (const std::exception& error) {
    std::cerr << "vcFleet: " << error.what() << "\n";
    return 2;
  }
}
