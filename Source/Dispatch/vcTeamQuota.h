#pragma once

/// Quotas of teams: which tasks may start within the part of a team's limit
/// that this shard has, and the order in which teams get room when there isn't
/// enough for all. Internal to the Dispatch library.

#include "vcPlacementCandidates.h"

namespace verbenacroft {

/// Shares of one team in its limit, by shard; at most `kWholeTeamShare` in all.
/// The store's record of the team, which every shard's owner changes for its
/// own shard only.
struct TeamShares
{
  std::vector<std::uint32_t> mShares;
  /// Shards that need more than their shares, those that have waited for
  /// longest first.
  std::vector<std::uint32_t> mWanting;

  bool operator==(const TeamShares&) const = default;
};
BOOST_DESCRIBE_STRUCT(TeamShares, (), (mShares, mWanting))

/// What a team needs in one shard, in units of its shares.
struct TeamDemand
{
  /// For runs that are known or may last unseen.
  std::uint32_t mUsed = 0;
  /// For these and for the tasks that wait, at most the whole.
  std::uint32_t mWanted = 0;
  /// For the smallest task or gang that waits.
  std::uint32_t mNext = 0;
};

/// Equal shares of all shards.
TeamShares EqualTeamShares(std::uint32_t aShards);

/// True if the record is one of a deployment with so many shards, and shares
/// out no more than the whole.
bool IsValid(const TeamShares& aShares, std::uint32_t aShards);

/// What the team needs in this shard at present.
TeamDemand DemandOf(const DispatchShard& aShard,
                    const std::string& aTeam,
                    std::int64_t aNowMs);

/// The shares after the owner of `aShard` has changed its own. A share is
/// raised by what no shard has; it is lowered only if another shard wants more,
/// down to what is needed here or to the equal share, and never below what is
/// used. If no task fits into an equal share, the shards take turns.
TeamShares PlanTeamShares(const TeamShares& aShares,
                          std::uint32_t aShard,
                          const TeamDemand& aDemand);

/// Applies the teams of a configuration. A team that the shard knows keeps its
/// share. A new one has its whole limit in the only shard of a deployment; with
/// several shards it has none until the shares are read.
/// @param aShards number of shards of the deployment
void SetTeams(DispatchShard& aShard,
              const std::vector<TeamConfig>& aTeams,
              std::uint32_t aShards);

/// Counts the runs that may last on workers which haven't answered this owner:
/// tasks that an earlier owner may have started, also of jobs that have been
/// cancelled and of steps that aren't open here.
void CountUnseenRuns(DispatchShard& aShard,
                     const HeldRevisions& aHeld,
                     TimePoint aNow);

/// True if so many more tasks of a step fit into the quota of the job's team,
/// as far as this shard may use it. If the shard has the whole quota and the
/// team uses nothing, one task or gang may exceed it.
bool MayTeamStart(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const StepSpec& aStep,
                  std::uint32_t aTasks);

/// Orders the candidates of one priority and tier by the weighted dominant
/// shares of their teams, each with what the team's earlier candidates would
/// take. Those of one team keep their order, and so do overdue long-running
/// tasks and successions. Does nothing if the shard has no teams.
void OrderByTeamShare(const DispatchShard& aShard,
                      std::vector<Candidate>& aCandidates);

} // namespace verbenacroft
