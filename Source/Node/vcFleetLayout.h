#pragma once

/// What is recorded once for the whole fleet: the number of shards, which is
/// determined before the first claim, and the size of its nodes.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Growth of the number of workers while the fleet starts up.
struct FleetSizeTracker
{
  /// Highest count so far.
  std::uint32_t mWorkers = 0;
  /// Time of the first count.
  TimePoint mFirstCountAt = kNever;
  /// Time of the last count that was higher than all before it.
  TimePoint mLastGrowthAt = kNever;
};

/// Adds a count of workers.
/// @return true once the size of the fleet is stable, or has been observed for
/// so long that the number of shards is determined anyway
bool IsFleetSizeStable(FleetSizeTracker& aTracker,
                       std::uint32_t aWorkers,
                       TimePoint aNow);

/// True if this node may decide how many shards there are. The largest nodes
/// claim the shards, so their links decide; a smaller one does only if none of
/// them has for long.
bool MayDecideLayout(const NodeContext& aNode,
                     const FleetSizeTracker& aTracker,
                     TimePoint aNow);

/// Writes the number of shards once the size of the fleet is stable.
asio::awaitable<void> WriteLayoutOnceStable(NodeContext& aNode,
                                            FleetSizeTracker& aTracker);

/// True if the node has more processors than the fleet's record says, and no
/// other node of the table has to write that first.
bool MustWriteNodeSize(const NodeContext& aNode);

/// Writes this node's processors into the record of the fleet's node size,
/// unless the record was changed meanwhile.
asio::awaitable<void> WriteNodeSize(NodeContext& aNode);

} // namespace verbenacroft
