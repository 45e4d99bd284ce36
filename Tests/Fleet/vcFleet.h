#pragma once

/// Nodes of one fleet, with the very code that the program runs, against a
/// store and workers in memory, on a clock of the test's own. Each seed draws
/// its own faults; after them the fleet has to keep every promise.

#include "vcFleetStore.h"
#include "vcFleetWorkers.h"

#include <functional>
#include <memory>

namespace verbenacroft {

/// One life of a node's process.
struct NodeLife
{
  /// Declared first: it has to outlive what the node holds.
  std::unique_ptr<asio::io_context> mIo;
  std::unique_ptr<NodeContext> mNode;
  bool mIsPaused = false;
  /// End of its last pause.
  TimePoint mGoesOnAt{ kNever };
};

struct FleetOptions
{
  std::uint64_t mSeed = 1;
  std::uint32_t mNodes = 4;
  std::uint32_t mShards = 3;
  std::uint32_t mWorkers = 6;
  /// Time in which faults begin.
  Duration mFaultTime{ 25'000 };
  /// Time after the last fault has ended.
  Duration mCalmTime{ 22'000 };
  /// The seed also draws nodes with few processors. In the calm the store then
  /// forgets all leases, once with the large nodes alive and once without them.
  bool mHasSmallNodes = false;
};

struct FleetResult
{
  std::vector<std::string> mProblems;
  std::vector<std::string> mFaults;
};

/// Plays one seed.
FleetResult PlayFleet(const FleetOptions& aOptions);

} // namespace verbenacroft
