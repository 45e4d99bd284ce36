#pragma once

/// The node's lease, the table of nodes and owners, and the claims of shards
/// that have no owner.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Obtains the node's lease and renews it until the node stops.
asio::awaitable<void> KeepLease(NodeContext& aNode);

/// Follows the store's records of nodes, owners and layout.
asio::awaitable<void> FollowSystem(NodeContext& aNode);

/// Claims shards without an owner, and decides on the layout at first.
asio::awaitable<void> ClaimShards(NodeContext& aNode);

/// Workers counted while the fleet comes up.
struct FleetCount
{
  std::uint32_t mWorkers = 0;
  TimePoint mCountedSince = kNever;
  TimePoint mGrewAt = kNever;
};

/// Takes in a new count.
/// @return true once the fleet's size can be judged
bool IsFleetUp(FleetCount& aCount, std::uint32_t aWorkers, TimePoint aNow);

/// Place of `aNode` in the order in which nodes may claim `aShard`.
std::uint32_t ClaimRank(const std::map<std::string, NodeRecord>& aNodes,
                        const std::string& aNode,
                        std::uint32_t aShard);

/// True while the node may start tasks: nobody else can own its shards, or,
/// while the store is away, nobody starts there what this node may start.
bool MayStart(const NodeContext& aNode, TimePoint aNow);

/// Gives up the node's shards and its lease.
asio::awaitable<void> LeaveFleet(NodeContext& aNode);

/// Reads all pages below `aPrefix`.
/// @return the items, with the revision as of the first page
asio::awaitable<KvReply> ReadAll(NodeContext& aNode, std::string aPrefix);

using ItemHandler = void (*)(NodeContext&, const KvItem&);

/// Passes the events of a watch to `aApply` until `aUntil`, or until the
/// history that it needs is gone.
asio::awaitable<void> FollowWatch(NodeContext& aNode,
                                  KvWatch aWatch,
                                  TimePoint aUntil,
                                  ItemHandler aApply);

} // namespace verbenacroft
