#include "vcMembership.h"

#include "vcShardRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace verbenacroft {

namespace {

/// Renewals within the time to live of the lease.
constexpr int kRenewalsPerLease = 3;
/// Subtracted from the lease's time to live, since the store may count it from
/// shortly before the renewal was sent.
constexpr Duration kLeaseMargin{ 100 };
/// Pause after a failed store call.
constexpr Duration kRetry{ 150 };
/// Time after which a store call counts as failed, except for a watch.
constexpr Duration kMaxStoreCall{ 1'500 };
/// Longest wait of one watch call for events.
constexpr Duration kSystemWatchWait{ 3'000 };
/// Interval of complete reads of the records, in case a watch event was missed.
constexpr Duration kFullReadInterval{ 10'000 };

/// Attempts to read a page. The first page is read once, since its failure
/// undoes nothing.
constexpr int kPageAttempts = 3;

/// Number of the shard in the key of an owner's record.
std::optional<std::uint32_t> ShardFromOwnerKey(std::string_view aKey)
{
  const auto digits = aKey.substr(std::string_view(kOwnerPrefix).size());
  std::uint32_t shard = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), shard);
  if (error != std::errc{}) {
    return std::nullopt;
  }
  return shard;
}

void ApplyNode(NodeContext& aNode, const KvItem& aItem)
{
  const std::string name =
    aItem.mKey.substr(std::string_view(kNodePrefix).size());
  if (aItem.mIsRemoved) {
    aNode.mNodes.erase(name);
    aNode.mRelayFailedAt.erase(name);
    return;
  }
  const auto record = TryDecode<NodeRecord>(aItem.mValue);
  if (record) {
    aNode.mNodes[name] = *record;
    aNode.mPeerAddresses[name] = record->mPeerAddress;
  }
}

/// Updates the size of the fleet's nodes. An older item is ignored. A record
/// that can't be decoded counts as empty, so that it is replaced.
void ApplyNodeSize(NodeContext& aNode, const KvItem& aItem)
{
  if (aItem.mRevision < aNode.mNodeSizeRevision) {
    return;
  }
  const auto record = TryDecode<NodeSizeRecord>(aItem.mValue);
  aNode.mNodeSize = record.value_or(NodeSizeRecord{});
  aNode.mNodeSizeRevision = aItem.mIsRemoved ? 0 : aItem.mRevision;
}

void ApplySystemItem(NodeContext& aNode, const KvItem& aItem)
{
  const std::string_view key = aItem.mKey;
  if (key.starts_with(kOwnerPrefix)) {
    ApplyOwner(aNode, aItem);
  } else if (key.starts_with(kNodePrefix)) {
    ApplyNode(aNode, aItem);
  } else if (key == kLayoutKey && !aItem.mIsRemoved) {
    const auto layout = TryDecode<LayoutRecord>(aItem.mValue);
    if (layout && layout->mShards > 0) {
      aNode.mShards = layout->mShards;
    }
  } else if (key == kNodeSizeKey) {
    ApplyNodeSize(aNode, aItem);
  }
}

/// Applies an event of the watch. The events come in the order of their
/// revisions.
void ApplySystemEvent(NodeContext& aNode, const KvItem& aItem)
{
  ApplySystemItem(aNode, aItem);
  aNode.mSystemRevision = std::max(aNode.mSystemRevision, aItem.mRevision);
}

/// Stops all shards of the node, since other nodes may claim them from now on.
void OnLeaseLost(NodeContext& aNode)
{
  spdlog::warn("lease.lost lease={} shards={}",
               NumberOf(aNode.mLease),
               aNode.mRunners.size());
  aNode.mLease.reset();
  aNode.mLeaseValidUntil = kNever;
  aNode.mIsLeaseInDoubt = true;
  for (auto& [shard, runner] : aNode.mRunners) {
    runner->Stop();
  }
  aNode.mRunners.clear();
}

/// Obtains a lease and writes the node's record under it.
asio::awaitable<void> GrantLease(NodeContext& aNode)
{
  const Duration ttl = LeaseTtlOf(aNode.mSettings);
  const TimePoint sentAt = SuspendAwareNow();
  const KvReply reply = co_await aNode.mStore.mGrant(ttl);
  UpdateStoreHealth(aNode, reply);
  const auto lease = LeaseId::Of(reply.mLease);
  if (reply.mStatus != KvStatus::kOk || !lease) {
    co_return;
  }
  NodeRecord record{ PeerAddressOf(aNode.mSettings),
                     aNode.mSettings.mDataCentre,
                     aNode.mSettings.mProcessors };
  KvTransaction writeRecord;
  writeRecord.mPuts.push_back(
    LeasedPut(kNodePrefix + aNode.mSettings.mName, Encode(record), *lease));
  const KvReply written = co_await aNode.mStore.mCommit(std::move(writeRecord));
  UpdateStoreHealth(aNode, written);
  spdlog::info("lease.granted lease={} record_outcome={}",
               lease->Number(),
               NameOf(written.mStatus));
  if (written.mStatus != KvStatus::kOk) {
    // Other nodes find this one by its record only, so the caller retries with
    // a new lease.
    co_return;
  }
  aNode.mLease = lease;
  aNode.mLeaseValidUntil = sentAt + ttl - kLeaseMargin;
  aNode.mIsLeaseInDoubt = false;
}

/// Renews the lease. If the store no longer knows it, the lease is lost.
asio::awaitable<void> RenewLease(NodeContext& aNode, LeaseId aLease)
{
  const Duration ttl = LeaseTtlOf(aNode.mSettings);
  const TimePoint sentAt = SuspendAwareNow();
  const KvReply reply = co_await aNode.mStore.mRenew(aLease);
  UpdateStoreHealth(aNode, reply);
  if (aNode.mLease != aLease) {
    co_return;
  }
  if (reply.mStatus == KvStatus::kNotFound) {
    OnLeaseLost(aNode);
  } else if (reply.mStatus == KvStatus::kOk) {
    aNode.mLeaseValidUntil = sentAt + ttl - kLeaseMargin;
    aNode.mIsLeaseInDoubt = false;
  }
}

/// Reads one page, again if a call fails.
asio::awaitable<KvReply> ReadPage(NodeContext& aNode, KvRange aRange)
{
  const int attempts = aRange.mAfterKey.empty() ? 1 : kPageAttempts;
  KvReply page;
  for (int attempt = 1; attempt <= attempts; ++attempt) {
    page = co_await aNode.mStore.mRange(aRange);
    UpdateStoreHealth(aNode, page);
    const bool isDecided =
      page.mStatus == KvStatus::kOk || page.mStatus == KvStatus::kRejected;
    if (isDecided) {
      break;
    }
    if (attempt < attempts) {
      co_await Sleep(kRetry);
    }
  }
  co_return page;
}

/// Maximum number of entries that hand one shard over.
constexpr std::size_t kHandOverEntries = 5;

/// Commits the hand-over of some shards, if there are any.
asio::awaitable<void> CommitHandOver(NodeContext& aNode, KvTransaction aWrite)
{
  const std::size_t shards = aWrite.mDeletes.size();
  if (shards == 0) {
    co_return;
  }
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(aWrite));
  UpdateStoreHealth(aNode, reply);
  spdlog::info(
    "shard.hand-over shards={} outcome={}", shards, NameOf(reply.mStatus));
}

} // namespace

void ApplyOwner(NodeContext& aNode, const KvItem& aItem)
{
  const auto shard = ShardFromOwnerKey(aItem.mKey);
  if (!shard) {
    return;
  }
  const auto known = aNode.mOwners.find(*shard);
  const bool isOld =
    known != aNode.mOwners.end() && known->second.mEpoch > aItem.mRevision;
  if (isOld) {
    return;
  }
  if (aItem.mIsRemoved) {
    spdlog::info("owner.gone shard={} revision={}", *shard, aItem.mRevision);
    aNode.mOwners.erase(*shard);
    return;
  }
  const auto read = TryDecode<ShardOwnerRecord>(aItem.mValue);
  if (!read) {
    spdlog::error("owner.unreadable key={}", aItem.mKey);
  }
  // The shard has an owner, also if it can't be told which node that is.
  const ShardOwnerRecord record = read.value_or(ShardOwnerRecord{});
  spdlog::info("owner.seen shard={} node={} epoch={}",
               *shard,
               record.mNode,
               aItem.mCreateRevision);
  aNode.mOwners[*shard] = { record,
                            aItem.mCreateRevision,
                            LeaseId::Of(aItem.mLease) };
}

asio::awaitable<KvReply> ReadAllPages(NodeContext& aNode, std::string aPrefix)
{
  KvReply all;
  KvRange range{ aPrefix, {} };
  bool isFirst = true;
  bool hasMore = true;
  while (hasMore) {
    KvReply page = co_await ReadPage(aNode, range);
    if (page.mStatus != KvStatus::kOk) {
      co_return page;
    }
    if (isFirst) {
      all.mStatus = KvStatus::kOk;
      all.mRevision = page.mRevision;
      isFirst = false;
    }
    hasMore = page.mHasMore && !page.mItems.empty();
    if (hasMore) {
      range.mAfterKey = page.mItems.back().mKey;
    }
    std::move(
      page.mItems.begin(), page.mItems.end(), std::back_inserter(all.mItems));
  }
  co_return all;
}

asio::awaitable<void> ApplyWatchEvents(NodeContext& aNode,
                                       KvWatch aWatch,
                                       TimePoint aUntil,
                                       ItemHandler aApply,
                                       TimePoint& aCompleteAt)
{
  bool isCurrent = true;
  while (isCurrent && SuspendAwareNow() < aUntil) {
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply reply = co_await aNode.mStore.mWatch(aWatch);
    UpdateStoreHealth(aNode, reply);
    isCurrent = reply.mStatus != KvStatus::kCompacted;
    if (reply.mStatus == KvStatus::kOk) {
      for (const auto& item : reply.mItems) {
        aApply(aNode, item);
      }
      const bool isComplete = reply.mRevision >= aWatch.mAfterRevision;
      aCompleteAt = isComplete ? sentAt : aCompleteAt;
      aWatch.mAfterRevision = std::max(aWatch.mAfterRevision, reply.mRevision);
    } else {
      co_await Sleep(kRetry);
    }
  }
}

TimePoint LeasesEndBy(const NodeContext& aNode)
{
  // The lease counts from the sending of its last renewal.
  const DispatchBounds bounds = DispatchBoundsOf(aNode.mSettings);
  return aNode.mLeaseValidUntil - LeaseTtlOf(aNode.mSettings) +
         bounds.mLeaseLimit;
}

std::optional<StartsForbiddenCause> WhyStartsForbidden(const NodeContext& aNode,
                                                       TimePoint aNow)
{
  if (aNode.mIsStopping) {
    return StartsForbiddenCause::kStopping;
  }
  if (!aNode.mLease) {
    return StartsForbiddenCause::kNoLease;
  }
  if (aNode.mIsLeaseInDoubt) {
    return StartsForbiddenCause::kLeaseInDoubt;
  }
  if (aNow < aNode.mLeaseValidUntil) {
    return std::nullopt;
  }
  const bool mayStartWithoutStore =
    IsStoreDown(aNode, aNow) && aNow + kMaxStartDelay < LeasesEndBy(aNode);
  return mayStartWithoutStore
           ? std::nullopt
           : std::optional(StartsForbiddenCause::kLeaseExpired);
}

Duration LeaseRecoveryTime(Duration aLeaseTtl)
{
  // A call that was sent before the store returned may have to fail first, the
  // next renewal shows that the lease is lost, and a pause follows each.
  return kMaxStoreCall + aLeaseTtl / kRenewalsPerLease + 2 * kRetry;
}

asio::awaitable<void> KeepLease(NodeContext& aNode)
{
  const Duration interval = LeaseTtlOf(aNode.mSettings) / kRenewalsPerLease;
  while (!aNode.mIsStopping) {
    const auto lease = aNode.mLease;
    if (lease) {
      co_await RenewLease(aNode, *lease);
    } else {
      co_await GrantLease(aNode);
    }
    const bool isGood = aNode.mLease && aNode.mStoreFailedAt == kNever;
    co_await Sleep(isGood ? interval : kRetry);
  }
}

asio::awaitable<void> WatchSystemRecords(NodeContext& aNode)
{
  while (true) {
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply all = co_await ReadAllPages(aNode, kSystemPrefix);
    if (all.mStatus != KvStatus::kOk) {
      co_await Sleep(kRetry);
      continue;
    }
    // An owner that claimed its shard after the read is missing from the reply,
    // and is kept.
    std::erase_if(aNode.mOwners, [&](const auto& aOwner) {
      return aOwner.second.mEpoch <= all.mRevision;
    });
    aNode.mNodes.clear();
    for (const auto& item : all.mItems) {
      ApplySystemItem(aNode, item);
    }
    aNode.mSystemCompleteAt = sentAt;
    aNode.mSystemRevision = std::max(aNode.mSystemRevision, all.mRevision);
    const KvWatch watch{ kSystemPrefix, all.mRevision, kSystemWatchWait };
    co_await ApplyWatchEvents(aNode,
                              watch,
                              SuspendAwareNow() + kFullReadInterval,
                              ApplySystemEvent,
                              aNode.mSystemCompleteAt);
  }
}

asio::awaitable<void> LeaveFleet(NodeContext& aNode)
{
  const auto runners = aNode.mRunners;
  std::vector<KvTransaction> writes(1);
  for (const auto& [shard, runner] : runners) {
    co_await runner->HandOver();
    if (EntriesOf(writes.back()) + kHandOverEntries >
        kMaxKvTransactionEntries) {
      writes.emplace_back();
    }
    runner->AddHandOver(writes.back());
  }
  aNode.mRunners.clear();
  for (auto& write : writes) {
    co_await CommitHandOver(aNode, std::move(write));
  }
  const auto lease = aNode.mLease;
  if (lease) {
    const KvReply reply = co_await aNode.mStore.mRevoke(*lease);
    UpdateStoreHealth(aNode, reply);
  }
}

} // namespace verbenacroft
