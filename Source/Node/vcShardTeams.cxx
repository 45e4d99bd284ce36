/// Shares of a shard in the limits of teams, and their records in the store.

#include "vcShardRunner.h"

#include "vcMembership.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Interval at which the shares are read and changed. A share moves to a shard
/// that wants it within two of its own and one of another shard.
constexpr Duration kTeamSharesInterval{ 300 };
constexpr const char* kTeamSharesPrefix = "vc/team-shares/";
/// The store takes keys of at most 200 bytes.
constexpr std::size_t kMaxTeamKeyBytes = 150;

/// Key of the record of a team's shares.
std::string TeamSharesKey(const std::string& aTeam)
{
  return kTeamSharesPrefix + (aTeam.size() <= kMaxTeamKeyBytes
                                ? aTeam
                                : std::to_string(StableHash(aTeam)));
}

bool HasLimit(const TeamQuota& aQuota)
{
  return aQuota.mLimit != Resources{};
}

} // namespace

void ShardRunner::CopyTeams(const FleetConfig& aConfig)
{
  if (aConfig.mVersion != this->mTeamsVersion) {
    this->mTeamsVersion = aConfig.mVersion;
    SetTeams(this->mShard, aConfig.mTeams, this->mNode.mShards);
  }
}

asio::awaitable<void> ShardRunner::ShareTeamLimits()
{
  while (!this->mIsStopped) {
    const bool hasLimits =
      std::any_of(this->mShard.mTeams.begin(),
                  this->mShard.mTeams.end(),
                  [](const auto& aTeam) { return HasLimit(aTeam.second); });
    if (hasLimits) {
      co_await this->UpdateTeamShares();
    }
    co_await Sleep(kTeamSharesInterval);
  }
}

asio::awaitable<void> ShardRunner::UpdateTeamShares()
{
  const KvReply read = co_await ReadAllPages(this->mNode, kTeamSharesPrefix);
  if (read.mStatus != KvStatus::kOk || this->mIsStopped) {
    co_return;
  }
  std::map<std::string, KvItem> items;
  for (const auto& item : read.mItems) {
    items[item.mKey] = item;
  }
  // A new version of the configuration may change the teams during a write.
  std::vector<std::string> teams;
  for (const auto& [team, quota] : this->mShard.mTeams) {
    if (HasLimit(quota)) {
      teams.push_back(team);
    }
  }
  const TimePoint now = SuspendAwareNow();
  CountUnseenRuns(this->mShard, HeldRevisionsOf(this->mShard, now), now);
  for (const auto& team : teams) {
    KvItem item = items[TeamSharesKey(team)];
    co_await this->UpdateTeamShare(team, std::move(item));
    if (this->mIsStopped) {
      co_return;
    }
  }
}

asio::awaitable<void> ShardRunner::UpdateTeamShare(std::string aTeam,
                                                   KvItem aItem)
{
  const std::uint32_t shards = this->mNode.mShards;
  const auto read = aItem.mRevision == 0
                      ? std::optional(EqualTeamShares(shards))
                      : TryDecode<TeamShares>(aItem.mValue);
  const auto quota = this->mShard.mTeams.find(aTeam);
  if (quota == this->mShard.mTeams.end()) {
    co_return;
  }
  if (!read || !IsValid(*read, shards)) {
    spdlog::warn("team.shares-unreadable shard={} team={} revision={}",
                 this->mShardNumber,
                 aTeam,
                 aItem.mRevision);
    quota->second.mShare = 0;
    co_return;
  }
  const TeamShares planned = PlanTeamShares(
    *read, this->mShardNumber, DemandOf(this->mShard, aTeam, WallClockMs()));
  const std::uint32_t before = read->mShares.at(this->mShardNumber);
  const std::uint32_t after = planned.mShares.at(this->mShardNumber);
  // The lower one holds until the write is known to be carried out.
  quota->second.mShare = std::min(before, after);
  if (planned == *read) {
    co_return;
  }
  KvTransaction write;
  write.mConditions.push_back({ TeamSharesKey(aTeam), aItem.mRevision });
  write.mPuts.push_back(PersistentPut(TeamSharesKey(aTeam), Encode(planned)));
  const KvReply reply = co_await this->CommitAsOwner(std::move(write));
  spdlog::info("team.share shard={} team={} before={} after={} wanting={} "
               "outcome={}",
               this->mShardNumber,
               aTeam,
               before,
               after,
               planned.mWanting.size(),
               NameOf(reply.mStatus));
  const auto current = this->mShard.mTeams.find(aTeam);
  if (reply.mStatus == KvStatus::kOk && current != this->mShard.mTeams.end()) {
    current->second.mShare = after;
  }
}

} // namespace verbenacroft
