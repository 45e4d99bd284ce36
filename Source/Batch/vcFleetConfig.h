#pragma once

/// Configuration by operators: the queues of jobs, the pools of workers that
/// run them, the teams that share them, and the data centres that are
/// evacuated.

#include "vcBatchSpec.h"

#include <set>

namespace verbenacroft {

/// A queue, and the requests whose jobs it receives.
struct QueueConfig
{
  /// Host of the request, without a port.
  std::string mHost;
  /// Prefix of the path of the request.
  std::string mPathPrefix;
  QueueTerms mTerms;
  /// Requests need no team's key.
  bool mIsOpen = false;
};

/// A team that shares the deployment with others.
struct TeamConfig
{
  std::string mName;
  /// Keys that authenticate the team's callers. They must not be logged.
  std::vector<std::string> mKeys;
  /// Share of the team, relative to those of the others, when there isn't room
  /// for the work of all.
  double mWeight = 1;
  /// Most that the team's tasks may use at the same time on all workers. A
  /// resource of 0 has no limit.
  Resources mLimit;
};

/// The operators' configuration of all queues and teams.
struct FleetConfig
{
  std::uint64_t mVersion = 0;
  std::vector<QueueConfig> mQueues;
  /// Empty if the deployment has no teams; then no request needs a key.
  std::vector<TeamConfig> mTeams;
};

/// Settings by operators, as last read by a node.
struct OperatorState
{
  FleetConfig mConfig;
  /// Names of the data centres in which no task may be started.
  std::set<std::string> mEvacuated;
};

/// The queue for a request with host `aHost` and path `aPath`: of all matching
/// queues the one with the longest path prefix; null if none matches. A port in
/// `aHost` is ignored.
const QueueConfig* FindQueue(const FleetConfig& aConfig,
                             std::string_view aHost,
                             std::string_view aPath);

} // namespace verbenacroft
