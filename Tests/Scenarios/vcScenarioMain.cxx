/// vcScenario: runs a scenario for one or many seeds.

#include "vcScenario.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace verbenacroft {
namespace {

struct SeedRange
{
  std::uint64_t mFirst = 1;
  std::uint64_t mLast = 1;
};

SeedRange ParseSeeds(const std::string& aText)
{
  const auto dots = aText.find("..");
  SeedRange range;
  range.mFirst = std::stoull(aText.substr(0, dots));
  range.mLast = dots == std::string::npos ? range.mFirst
                                          : std::stoull(aText.substr(dots + 2));
  return range;
}

constexpr std::size_t kShownProblems = 3;

void Print(std::uint64_t aSeed, const ScenarioResult& aResult, bool aIsTraced)
{
  if (aIsTraced) {
    for (const auto& line : aResult.mTrace) {
      std::cout << "  " << line << "\n";
    }
  }
  if (aResult.mIsPassed) {
    return;
  }
  std::cout << "seed " << aSeed << " failed with " << aResult.mProblems.size()
            << " problems\n";
  for (std::size_t i = 0;
       i < std::min(kShownProblems, aResult.mProblems.size());
       ++i) {
    std::cout << "  " << aResult.mProblems[i] << "\n";
  }
}

struct Totals
{
  std::uint64_t mPassed = 0;
  std::uint64_t mFailed = 0;
};

Totals RunSeeds(const ScenarioOptions& aOptions,
                SeedRange aSeeds,
                unsigned aThreads)
{
  std::atomic<std::uint64_t> next{ aSeeds.mFirst };
  std::mutex mutex;
  Totals totals;
  const auto work = [&] {
    for (auto seed = next++; seed <= aSeeds.mLast; seed = next++) {
      ScenarioOptions options = aOptions;
      options.mSeed = seed;
      const auto result = RunScenario(options);
      const std::lock_guard lock(mutex);
      Print(seed, result, aOptions.mIsTraced);
      (result.mIsPassed ? totals.mPassed : totals.mFailed) += 1;
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < aThreads; ++i) {
    threads.emplace_back(work);
  }
  threads.clear();
  return totals;
}

/// With a mutation the scenario passes if some seed fails.
int Judge(const ScenarioOptions& aOptions, const Totals& aTotals)
{
  std::cout << aTotals.mPassed << " passed, " << aTotals.mFailed << " failed\n";
  if (aOptions.mMutation == Mutation::kNone) {
    return aTotals.mFailed == 0 ? 0 : 1;
  }
  const bool isFound = aTotals.mFailed > 0;
  std::cout << "mutation " << NameOf(aOptions.mMutation)
            << (isFound ? " was found\n" : " WAS NOT FOUND\n");
  return isFound ? 0 : 1;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  cxxopts::Options options("vcScenario", "Runs a scenario.");
  auto add = options.add_options();
  add("script", "Lua script", cxxopts::value<std::string>());
  add("seeds", "N or N..M", cxxopts::value<std::string>()->default_value("1"));
  add("threads",
      "seeds run at a time",
      cxxopts::value<unsigned>()->default_value("4"));
  add("mutation",
      "fault to put into the cores; a seed has to find it",
      cxxopts::value<std::string>()->default_value("none"));
  add("trace", "print what the script traces");
  add("help", "print this help and exit");
  options.parse_positional({ "script" });
  options.positional_help("SCRIPT");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0 || parsed.count("script") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : 2;
    }
    const auto mutation =
      ValueOf<Mutation>(parsed["mutation"].as<std::string>());
    if (!mutation) {
      std::cerr << "vcScenario: --mutation: unknown name\n";
      return 2;
    }
    ScenarioOptions scenario;
    scenario.mPath = parsed["script"].as<std::string>();
    scenario.mMutation = *mutation;
    scenario.mIsTraced = parsed.count("trace") > 0;
    const auto totals = RunSeeds(scenario,
                                 ParseSeeds(parsed["seeds"].as<std::string>()),
                                 parsed["threads"].as<unsigned>());
    return Judge(scenario, totals);
  } catch (const std::exception& error) {
    std::cerr << "vcScenario: " << error.what() << "\n";
    return 2;
  }
}
