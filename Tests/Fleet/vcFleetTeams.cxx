/// Teams of a fleet: the quota of one of them, and its versions.

#include "vcFleetState.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace verbenacroft {

namespace {

constexpr const char* kConfigKey = "op/config";
/// What a task of a job requests, in thousandths of a processor.
constexpr std::int64_t kTaskMilliCpu = 1'000;
/// Quotas of the versions, in runs. The first is above the team's mean demand,
/// the second equals it.
constexpr int kQuota = 12;
constexpr int kLowQuota = 8;
constexpr int kHighQuota = 16;
/// A version is in force everywhere within this time. Until then the higher of
/// two quotas counts.
constexpr Duration kInForceWithin{ 3'000 };

/// Runs that a quota of `aRuns` allows: a tenth more, and one task.
std::size_t MaxRuns(int aRuns)
{
  const auto runs = static_cast<std::size_t>(aRuns);
  return runs + runs / 10 + 1;
}

} // namespace

FleetConfig Fleet::MakeConfig(std::string_view aText) const
{
  FleetConfig config;
  config.mVersion = 1;
  config.mQueues.push_back({ kHost, kQueuePath, MakeTerms(), false });
  if (!this->HasTeams()) {
    return config;
  }
  std::istringstream text{ std::string(aText) };
  int runs = 0;
  text >> config.mVersion >> runs;
  Resources limit;
  limit.mMilliCpu = runs * kTaskMilliCpu;
  config.mTeams.push_back({ kLimitedTeam, { kLimitedTeam }, 1, limit });
  config.mTeams.push_back({ kOtherTeam, { kOtherTeam }, 1, {} });
  return config;
}

std::string Fleet::TeamOf(const JobId& aId) const
{
  if (!this->HasTeams()) {
    return "";
  }
  return aId.back() % 2 == 0 ? kLimitedTeam : kOtherTeam;
}

void Fleet::SetQuota(int aVersion, int aRuns)
{
  KvTransaction write;
  write.mPuts.push_back(
    PersistentPut(kConfigKey, fmt::format("{} {}", aVersion, aRuns)));
  CommitNow(this->mStore, write);
  this->mWorkers.mMaxLimitedRuns =
    std::max(this->mWorkers.mMaxLimitedRuns, MaxRuns(aRuns));
}

void Fleet::SetFirstQuota()
{
  this->SetQuota(1, kQuota);
}

void Fleet::ScheduleQuotas()
{
  const auto change = [this](TimePoint aAt, int aVersion, int aRuns) {
    this->At(aAt,
             fmt::format("quota of {} runs", aRuns),
             [this, aVersion, aRuns] { this->SetQuota(aVersion, aRuns); });
    // Nodes that aren't in touch with the store apply it later, and only those.
    const bool isCalmThen = aAt > this->mCalmAt;
    if (isCalmThen) {
      this->At(aAt + kInForceWithin, "quota in force", [this, aRuns] {
        this->mWorkers.mMaxLimitedRuns = MaxRuns(aRuns);
      });
    }
  };
  constexpr Duration kLowered{ 9'000 };
  constexpr Duration kRaised{ 15'000 };
  constexpr Duration kLoweredInCalm{ 6'000 };
  change(kStart + kLowered, 2, kLowQuota);
  change(kStart + kRaised, 3, kHighQuota);
  change(this->mCalmAt + kLoweredInCalm, 4, kQuota);
}

} // namespace verbenacroft
