#pragma once

/// Quotas of teams: which tasks may start within the part of a team's limit
/// that this shard has, and the order in which teams get room when there isn't
/// enough for all. Internal to the Dispatch library.

#include "vcPlacementCandidates.h"

namespace verbenacroft {

/// Applies the teams of a configuration. A team that the shard knows keeps its
/// share; a new one has an equal part of its limit in each shard.
/// @param aShards number of shards of the deployment
void SetTeams(DispatchShard& aShard,
              const std::vector<TeamConfig>& aTeams,
              std::uint32_t aShards);

/// Counts the runs that may last on workers which haven't answered this owner:
/// tasks of such jobs that wait, and that an earlier owner may have started.
void CountUnseenRuns(DispatchShard& aShard, const HeldRevisions& aHeld);

/// True if so many more tasks of a step fit into the quota of the job's team,
/// as far as this shard may use it. If the shard has the whole quota and the
/// team uses nothing, one task or gang may exceed it.
bool MayTeamStart(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const StepSpec& aStep,
                  std::uint32_t aTasks);

/// Orders the candidates of one priority and tier by the weighted dominant
/// shares of their teams, each with what the team's earlier candidates would
/// take. Those of one team keep their order, and so do turns and long-running
/// tasks, whose waits are bounded. Does nothing if the shard has no teams.
void OrderByTeamShare(const DispatchShard& aShard,
                      std::vector<Candidate>& aCandidates);

} // namespace verbenacroft
