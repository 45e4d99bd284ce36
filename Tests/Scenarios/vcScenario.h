#pragma once

/// Runs a Lua script against a world. The verbs are listed in
/// docs/SCENARIOS.md.

#include "vcWorld.h"

namespace verbenacroft {

struct ScenarioOptions
{
  std::string mPath;
  std::uint64_t mSeed = 1;
  Mutation mMutation = Mutation::kNone;
  bool mIsTraced = false;
};

struct ScenarioResult
{
  bool mIsPassed = false;
  /// Broken promises, failed expectations or the script's error.
  std::vector<std::string> mProblems;
  std::vector<std::string> mTrace;
};

ScenarioResult RunScenario(const ScenarioOptions& aOptions);

} // namespace verbenacroft
