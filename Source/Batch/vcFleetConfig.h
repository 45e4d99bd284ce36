#pragma once

/// Configuration by operators: the queues of jobs, the pools of workers that
/// run them, and the data centres that are evacuated.

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
};

/// The operators' configuration of all queues.
struct FleetConfig
{
  std::uint64_t mVersion = 0;
  std::vector<QueueConfig> mQueues;
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
