#include "vcFleetLayout.h"

#include "vcMembership.h"
#include "vcShardClaims.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// The size of the fleet counts as stable once no worker has been added for
/// this time.
constexpr Duration kFleetStableAfter{ 1'000 };
/// Longest time to wait for that, since no job is run before the number of
/// shards is known.
constexpr Duration kMaxFleetStartup{ 4'500 };
/// How much longer a node waits for one with more processors to decide. Those
/// may have begun to count later, and a node that is gone is no longer known
/// after its lease has ended.
constexpr Duration kLargerDecidesWithin{ 2'000 };

/// True if no other known node has more processors.
bool IsLargest(const NodeContext& aNode)
{
  return std::none_of(
    aNode.mNodes.begin(), aNode.mNodes.end(), [&](const auto& aRow) {
      return aRow.second.mProcessors > aNode.mSettings.mProcessors;
    });
}

} // namespace

bool IsFleetSizeStable(FleetSizeTracker& aTracker,
                       std::uint32_t aWorkers,
                       TimePoint aNow)
{
  if (aTracker.mFirstCountAt == kNever) {
    aTracker.mFirstCountAt = aNow;
  }
  if (aWorkers > aTracker.mWorkers) {
    aTracker.mWorkers = aWorkers;
    aTracker.mLastGrowthAt = aNow;
  }
  return aNow - aTracker.mLastGrowthAt >= kFleetStableAfter ||
         aNow - aTracker.mFirstCountAt >= kMaxFleetStartup;
}

bool MayDecideLayout(const NodeContext& aNode,
                     const FleetSizeTracker& aTracker,
                     TimePoint aNow)
{
  const Duration countedFor = aNow - aTracker.mFirstCountAt;
  return IsLargest(aNode) ||
         countedFor >= kMaxFleetStartup + kLargerDecidesWithin;
}

asio::awaitable<void> WriteLayoutOnceStable(NodeContext& aNode,
                                            FleetSizeTracker& aTracker)
{
  const KvReply listed =
    co_await ReadAllPages(aNode, aNode.mCodec.mDiscoveryPrefix);
  const auto workers = static_cast<std::uint32_t>(listed.mItems.size());
  const bool isCounted = listed.mStatus == KvStatus::kOk && workers > 0;
  const TimePoint now = SuspendAwareNow();
  const bool mustDecide = isCounted &&
                          IsFleetSizeStable(aTracker, workers, now) &&
                          MayDecideLayout(aNode, aTracker, now);
  if (!mustDecide) {
    co_return;
  }
  const std::uint32_t each = WorkersPerShardOf(aNode.mSettings);
  LayoutRecord layout;
  layout.mShards = std::max<std::uint32_t>(1, (workers + each / 2) / each);
  KvTransaction write;
  write.mConditions.push_back({ kLayoutKey, 0 });
  write.mPuts.push_back(PersistentPut(kLayoutKey, Encode(layout)));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  UpdateStoreHealth(aNode, reply);
  spdlog::info("layout.decided shards={} workers={} outcome={}",
               layout.mShards,
               workers,
               NameOf(reply.mStatus));
}

bool MustWriteNodeSize(const NodeContext& aNode)
{
  const bool isLarger =
    aNode.mSettings.mProcessors > aNode.mNodeSize.mMostProcessors;
  return isLarger && ClaimRank(aNode.mNodes, aNode.mSettings.mName, 0) == 0;
}

asio::awaitable<void> WriteNodeSize(NodeContext& aNode)
{
  const NodeSizeRecord record{ aNode.mSettings.mProcessors };
  KvTransaction write;
  write.mConditions.push_back({ kNodeSizeKey, aNode.mNodeSizeRevision });
  write.mPuts.push_back(PersistentPut(kNodeSizeKey, Encode(record)));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  UpdateStoreHealth(aNode, reply);
  spdlog::info("node-size.raised processors={} outcome={}",
               record.mMostProcessors,
               NameOf(reply.mStatus));
  const bool isNewest =
    reply.mStatus == KvStatus::kOk && reply.mRevision > aNode.mNodeSizeRevision;
  if (isNewest) {
    aNode.mNodeSize = record;
    aNode.mNodeSizeRevision = reply.mRevision;
  }
}

} // namespace verbenacroft
