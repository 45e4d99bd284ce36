#pragma once

/// Membership of a node in the fleet: its lease, the tables of nodes and of
/// shard owners, and claims of shards that have no owner.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Obtains the node's lease and renews it until the node stops. If the lease is
/// lost, obtains a new one.
asio::awaitable<void> KeepLease(NodeContext& aNode);

/// Keeps the tables of nodes and owners and the number of shards up to date
/// with the store. Never returns.
asio::awaitable<void> WatchSystemRecords(NodeContext& aNode);

/// Claims shards without an owner and runs the shards that the node owns, until
/// the node stops. Before that, determines the number of shards if no node has
/// done so yet.
asio::awaitable<void> ClaimShards(NodeContext& aNode);

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

/// Position of `aNode`, from 0, in the order in which nodes may claim `aShard`.
/// Nodes with more processors come first; a hash of node and shard decides
/// between equal ones.
std::uint32_t ClaimRank(const std::map<std::string, NodeRecord>& aNodes,
                        const std::string& aNode,
                        std::uint32_t aShard);

/// True while the node may start tasks: its lease is valid, so that no other
/// node can own its shards; or the store is down and the owner grace period
/// hasn't ended, so that no other node starts the tasks that this one may
/// start.
bool MayStartTasks(const NodeContext& aNode, TimePoint aNow);

/// Hands over the node's shards and revokes its lease.
asio::awaitable<void> LeaveFleet(NodeContext& aNode);

/// Reads all pages of the items below `aPrefix`.
/// @return all items with the revision of the first page, or the reply of the
/// first page that could not be read
asio::awaitable<KvReply> ReadAllPages(NodeContext& aNode, std::string aPrefix);

/// Applies an item that was written to or removed from the store.
using ItemHandler = void (*)(NodeContext&, const KvItem&);

/// Passes the events of a watch to `aApply` until `aUntil`, or until the store
/// has compacted the history that the watch needs.
/// @param aCompleteAt set to the time at which the call was sent whose events
/// were applied last
asio::awaitable<void> ApplyWatchEvents(NodeContext& aNode,
                                       KvWatch aWatch,
                                       TimePoint aUntil,
                                       ItemHandler aApply,
                                       TimePoint& aCompleteAt);

} // namespace verbenacroft
