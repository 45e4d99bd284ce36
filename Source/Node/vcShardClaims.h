#pragma once

/// Claims of shards that have no owner: which node claims first, and when.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Claims shards without an owner and runs the shards that the node owns, until
/// the node stops. Before that, determines the number of shards if no node has
/// done so yet.
asio::awaitable<void> ClaimShards(NodeContext& aNode);

/// Position of `aNode`, from 0, in the order in which nodes may claim `aShard`.
/// Nodes with more processors come first; a hash of node and shard decides
/// between equal ones.
std::uint32_t ClaimRank(const std::map<std::string, NodeRecord>& aNodes,
                        const std::string& aNode,
                        std::uint32_t aShard);

/// What decides when a node may claim a shard.
struct ClaimStanding
{
  /// Position of the node in the order of claims; see `ClaimRank`.
  std::uint32_t mRank = 0;
  /// Number of shards that the node owns already.
  std::size_t mOwnedShards = 0;
  /// A node with more processors has joined the fleet at some time.
  bool mIsSmall = false;
  /// Time since which the shard is known to have no owner.
  TimePoint mOwnerlessSince{ 0 };
  /// Time since which the node has held its lease and the store has answered.
  TimePoint mLeaseHeldSince{ 0 };
};

/// Earliest time at which the node may claim the shard. A small node first
/// holds its lease long enough for the other nodes to have theirs as well,
/// since a node without a lease is missing from the table of nodes, and the
/// rank takes no account of it.
/// @param aLeaseTtl time to live of a node's lease
TimePoint EarliestClaim(const ClaimStanding& aStanding, Duration aLeaseTtl);

} // namespace verbenacroft
