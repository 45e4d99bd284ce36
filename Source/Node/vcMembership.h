#pragma once

/// Membership of a node in the fleet: its lease, and the tables of nodes and of
/// shard owners.

#include "vcErrorTable.h"
#include "vcNodeContext.h"

namespace verbenacroft {

/// Obtains the node's lease and renews it until the node stops. If the lease is
/// lost, obtains a new one.
asio::awaitable<void> KeepLease(NodeContext& aNode);

/// Time in which every node that reaches the store has a lease again after the
/// store has forgotten all leases.
/// @param aLeaseTtl time to live of a node's lease
Duration LeaseRecoveryTime(Duration aLeaseTtl);

/// Keeps the tables of nodes and owners and the number of shards up to date
/// with the store. Never returns.
asio::awaitable<void> WatchSystemRecords(NodeContext& aNode);

/// Updates the table of owners. An item older than the known owner is ignored.
void ApplyOwner(NodeContext& aNode, const KvItem& aItem);

/// Time by which all leases end that this node grants to workers. The next
/// owner of a shard counts on it, also if this node is cut off and doesn't
/// learn of the other.
TimePoint LeasesEndBy(const NodeContext& aNode);

/// Why the owner of a shard may start no task.
enum class StartsForbiddenCause
{
  kNoLease,
  /// The process was stalled, and the lease hasn't been renewed since.
  kLeaseInDoubt,
  kStopping,
  /// The lease has expired and, if the store is down, the leases of the workers
  /// end too soon for a start.
  kLeaseExpired,
  /// The view of the shard's inbox is too old.
  kOldInbox,
  /// The view of the operators' items is too old.
  kOldOperators,
};

template<>
struct EnumTable<StartsForbiddenCause>
{
  static constexpr auto kRows = std::to_array<NameRow<StartsForbiddenCause>>({
    { StartsForbiddenCause::kNoLease, "no-lease" },
    { StartsForbiddenCause::kLeaseInDoubt, "lease-in-doubt" },
    { StartsForbiddenCause::kStopping, "stopping" },
    { StartsForbiddenCause::kLeaseExpired, "lease-expired" },
    { StartsForbiddenCause::kOldInbox, "old-inbox" },
    { StartsForbiddenCause::kOldOperators, "old-operators" },
  });
};

/// Returns nothing while the node may start tasks: its lease is valid, so that
/// no other node can own its shards; or the store is down and a start still
/// takes effect before `LeasesEndBy`, so that no other node starts the tasks
/// that this one may start. Otherwise the cause; the views are not checked.
std::optional<StartsForbiddenCause> WhyStartsForbidden(const NodeContext& aNode,
                                                       TimePoint aNow);

/// Hands over the node's shards and revokes its lease.
asio::awaitable<void> LeaveFleet(NodeContext& aNode);

/// Reads all pages of the items below `aPrefix`. A later page that can't be
/// read is tried again a few times, so that the pages before it aren't read in
/// vain.
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
