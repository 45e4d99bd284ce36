#pragma once

/// What operators declare: queues of jobs and the pools that run them.

#include "vcBatchSpec.h"

#include <set>

namespace verbenacroft {

/// A queue takes the jobs whose host and path match.
struct QueueConfig
{
  std::string mHost;
  std::string mPathPrefix;
  QueueTerms mTerms;
};

struct FleetConfig
{
  std::uint64_t mVersion = 0;
  std::vector<QueueConfig> mQueues;
};

/// What a node knows of the operators' wishes.
struct OperatorState
{
  FleetConfig mConfig;
  /// Data centres in which nothing may be started.
  std::set<std::string> mEvacuated;
};

/// Queue with the longest prefix that fits, or nothing.
const QueueConfig* FindQueue(const FleetConfig& aConfig,
                             std::string_view aHost,
                             std::string_view aPath);

} // namespace verbenacroft
