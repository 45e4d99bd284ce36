#pragma once

/// Settings of a node. A member `mName` is read from the key `name` of the
/// settings file.

#include "vcDispatch.h"

namespace verbenacroft {

/// Time limits. They can be reloaded without a restart: `mGraceSeconds` takes
/// effect at once, the others for shards that are taken over afterwards.
struct NodeBounds
{
  /// Longest lease that a worker grants, in ms.
  Duration mMaxLeaseMs{ 6'000 };
  /// Longest time between a stop order and the end of the run, in ms.
  Duration mStopTimeoutMs{ 400 };
  /// Latency violation limit: how long a serving task may stay over its latency
  /// target, in ms.
  Duration mHarmMs{ 4'000 };
  /// Minimum time for which the final state of a job stays available to
  /// callers, in seconds.
  double mStatusSeconds = 120;
  /// Time from SIGTERM to SIGKILL, in seconds.
  double mGraceSeconds = 6;
  /// A team's key is accepted only by a configuration that was current within
  /// `mRevokeMs`. Otherwise a node that can't reach the store accepts the keys
  /// that it knows.
  bool mStrictRevocation = false;
  /// Longest time for which a revoked key may be accepted, in ms.
  Duration mRevokeMs{ 5'000 };
  /// Run time of a task on another rack than the one that it prefers, as a
  /// multiple of that on the preferred one.
  double mFarFactor = 1;
};
BOOST_DESCRIBE_STRUCT(NodeBounds,
                      (),
                      (mMaxLeaseMs,
                       mStopTimeoutMs,
                       mHarmMs,
                       mStatusSeconds,
                       mGraceSeconds,
                       mStrictRevocation,
                       mRevokeMs,
                       mFarFactor))

/// Settings of a node.
struct NodeSettings
{
  /// Name of the node, unique in the fleet.
  std::string mName;
  std::string mDataCentre;
  /// Address for callers, as `host:port`.
  std::string mCallerAddress;
  /// Address of the readiness check, as `host:port`.
  std::string mReadyAddress;
  /// IP address for peers and metrics.
  std::string mInternalIp;
  /// Port for peers and port for metrics, in this order.
  std::vector<std::uint16_t> mInternalPorts;
  /// Address of the store, as `host:port`.
  std::string mStoreAddress;
  /// Writes per second that the store takes from all nodes together.
  double mStoreWritesPerSecond = 400;
  /// Shortest lease that the store grants, in ms.
  Duration mLeastLeaseMs{ 1'000 };
  NodeBounds mBounds;
  /// Processors that the process may use. Nodes with more processors claim
  /// shards first.
  double mProcessors = 1;
  /// Bandwidth of the instance's network link, in Mbit/s.
  double mLinkMbps = 100;
  /// Memory limit of the process, in MB. A quarter of it is for the tasks of
  /// the shards that the node owns.
  std::uint32_t mMemoryMb = 160;
  /// Intended number of workers per shard, if the link carries as many.
  std::uint32_t mWorkersPerShard = 400;
  /// Maximum number of log lines per second. Further lines are counted but not
  /// written.
  std::uint32_t mLogLinesPerSecond = 500;
  std::string mLogLevel = "info";
};
BOOST_DESCRIBE_STRUCT(NodeSettings,
                      (),
                      (mName,
                       mDataCentre,
                       mCallerAddress,
                       mReadyAddress,
                       mInternalIp,
                       mInternalPorts,
                       mStoreAddress,
                       mStoreWritesPerSecond,
                       mLeastLeaseMs,
                       mBounds,
                       mProcessors,
                       mLinkMbps,
                       mMemoryMb,
                       mWorkersPerShard,
                       mLogLinesPerSecond,
                       mLogLevel))

/// Appends a fault for each setting that is missing or out of range.
void CheckNodeSettings(const NodeSettings& aSettings, Faults& aFaults);

/// Number of workers per shard that the owner's link carries, at most
/// `mWorkersPerShard`.
std::uint32_t WorkersPerShardOf(const NodeSettings& aSettings);

/// Memory for the occurrences of the jobs of all shards that the node owns, in
/// bytes.
std::size_t OccurrenceMemoryOf(const NodeSettings& aSettings);

/// Bounds of the dispatch core that follow from the settings.
DispatchBounds DispatchBoundsOf(const NodeSettings& aSettings);

/// Time to live of the node's lease in the store.
Duration LeaseTtlOf(const NodeSettings& aSettings);

} // namespace verbenacroft
