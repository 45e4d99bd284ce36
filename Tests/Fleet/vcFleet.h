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
  /// The only faults are late events of watches. Every node then is in touch
  /// all the time, and cancellations and evacuations have to take effect.
  bool mHasOnlyWatchFaults = false;
  /// Time after the last fault has ended.
  Duration mCalmTime{ 22'000 };
};

struct FleetResult
{
  std::vector<std::string> mProblems;
  std::vector<std::string> mFaults;
};

/// Plays one seed.
FleetResult PlayFleet(const FleetOptions& aOptions);

} // namespace verbenacroft
