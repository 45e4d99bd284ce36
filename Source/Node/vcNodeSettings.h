#pragma once

/// Settings of a node.

#include "vcDispatch.h"

namespace verbenacroft {

struct NodeBounds
{
  /// Longest lease that a worker grants.
  Duration mMaxLeaseMs{ 6'000 };
  Duration mStopTimeoutMs{ 400 };
  Duration mHarmMs{ 4'000 };
  /// For how long the end of a job can be asked for.
  double mStatusSeconds = 120;
  /// Time from SIGTERM to SIGKILL.
  double mGraceSeconds = 6;
};
BOOST_DESCRIBE_STRUCT(
  NodeBounds,
  (),
  (mMaxLeaseMs, mStopTimeoutMs, mHarmMs, mStatusSeconds, mGraceSeconds))

struct NodeSettings
{
  std::string mName;
  std::string mDataCentre;
  /// Address for callers.
  std::string mCallerAddress;
  /// Address on which readiness is asked for.
  std::string mReadyAddress;
  /// IP number for peers and metrics.
  std::string mInternalIp;
  /// Ports for peers and for metrics, in this order.
  std::vector<std::uint16_t> mInternalPorts;
  std::string mStoreAddress;
  /// Shortest lease that the store grants.
  Duration mLeastLeaseMs{ 1'000 };
  NodeBounds mBounds;
  /// Processors that the process may use. Nodes with more of them own shards
  /// before those with less.
  double mProcessors = 1;
  /// Workers for which one shard is meant.
  std::uint32_t mWorkersPerShard = 400;
  /// Most lines of log a second; those beyond are counted, not written.
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
                       mLeastLeaseMs,
                       mBounds,
                       mProcessors,
                       mWorkersPerShard,
                       mLogLinesPerSecond,
                       mLogLevel))

void CheckNodeSettings(const NodeSettings& aSettings, Faults& aFaults);

DispatchBounds DispatchBoundsOf(const NodeSettings& aSettings);

/// Time to live of the node's lease in the store.
Duration LeaseTimeOf(const NodeSettings& aSettings);

} // namespace verbenacroft
