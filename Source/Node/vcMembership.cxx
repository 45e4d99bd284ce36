#include "vcMembership.h"

#include "vcShardRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

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
/// Longest wait of one watch call for events.
constexpr Duration kSystemWatchWait{ 3'000 };
/// Interval of complete reads of the records, in case a watch event was missed.
constexpr Duration kFullReadInterval{ 10'000 };
/// Interval of the checks for shards without an owner.
constexpr Duration kClaimInterval{ 50 };
/// Delay of a claim per rank of the node, so that nodes of lower rank claim the
/// shard first.
constexpr Duration kRankDelay{ 200 };
/// Additional delay per shard that the node owns already, so that nodes without
/// shards claim first.
constexpr Duration kOwnedShardDelay{ 60 };
/// The size of the fleet counts as stable once no worker has been added for
/// this time.
constexpr Duration kFleetStableAfter{ 1'000 };
/// Longest time to wait for that, since no job is run before the number of
/// shards is known.
constexpr Duration kMaxFleetStartup{ 4'500 };
/// Interval of the counts of workers until the number of shards is known.
constexpr Duration kCountInterval{ 500 };

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

/// Updates the table of owners. An item older than the known owner is ignored.
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
  const auto record = TryDecode<ShardOwnerRecord>(aItem.mValue);
  if (!record) {
    spdlog::error("owner.unreadable key={}", aItem.mKey);
    return;
  }
  spdlog::info("owner.seen shard={} node={} epoch={}",
               *shard,
               record->mNode,
               aItem.mCreateRevision);
  aNode.mOwners[*shard] = { *record,
                            aItem.mCreateRevision,
                            LeaseId::Of(aItem.mLease) };
}

void ApplyNode(NodeContext& aNode, const KvItem& aItem)
{
  const std::string name =
    aItem.mKey.substr(std::string_view(kNodePrefix).size());
  if (aItem.mIsRemoved) {
    aNode.mNodes.erase(name);
    return;
  }
  const auto record = TryDecode<NodeRecord>(aItem.mValue);
  if (record) {
    aNode.mNodes[name] = *record;
  }
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
  }
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

/// Reads the owner of a shard from the store into the table of owners.
asio::awaitable<void> ReadOwner(NodeContext& aNode, std::uint32_t aShard)
{
  const KvReply read = co_await aNode.mStore.mRead(OwnerKey(aShard));
  UpdateStoreHealth(aNode, read);
  for (const auto& item : read.mItems) {
    ApplyOwner(aNode, item);
  }
  const auto known = aNode.mOwners.find(aShard);
  // A reply without a revision can't be compared with the known owner, and is
  // taken as current. At worst a newer owner is dropped from the table until
  // its watch event arrives.
  const bool isRemoved =
    read.mStatus == KvStatus::kNotFound && known != aNode.mOwners.end() &&
    (read.mRevision == 0 || known->second.mEpoch <= read.mRevision);
  if (isRemoved) {
    aNode.mOwners.erase(known);
  }
}

/// Revokes a lease that an earlier process of this node held, so that the
/// shards owned under it can be claimed.
asio::awaitable<void> RevokeEarlierLease(NodeContext& aNode,
                                         std::uint32_t aShard,
                                         LeaseId aLease)
{
  spdlog::info(
    "lease.revoke-earlier shard={} lease={}", aShard, aLease.Number());
  const KvReply reply = co_await aNode.mStore.mRevoke(aLease);
  UpdateStoreHealth(aNode, reply);
  co_await ReadOwner(aNode, aShard);
}

/// Removes an owner's record, unless it has been replaced in the store.
asio::awaitable<void> RemoveOwner(NodeContext& aNode,
                                  std::uint32_t aShard,
                                  ShardOwner aOwner)
{
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(aShard), aOwner.mEpoch });
  write.mDeletes.push_back(OwnerKey(aShard));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  UpdateStoreHealth(aNode, reply);
  spdlog::warn("owner.removed shard={} node={} epoch={} lease={} outcome={}",
               aShard,
               aOwner.mRecord.mNode,
               aOwner.mEpoch,
               NumberOf(aOwner.mLease),
               NameOf(reply.mStatus));
  co_await ReadOwner(aNode, aShard);
}

/// Writes the number of shards once the size of the fleet is stable.
asio::awaitable<void> WriteLayoutOnceStable(NodeContext& aNode,
                                            FleetSizeTracker& aTracker)
{
  const KvReply listed =
    co_await ReadAllPages(aNode, aNode.mCodec.mDiscoveryPrefix);
  const auto workers = static_cast<std::uint32_t>(listed.mItems.size());
  const bool isCounted = listed.mStatus == KvStatus::kOk && workers > 0;
  if (!isCounted || !IsFleetSizeStable(aTracker, workers, SuspendAwareNow())) {
    co_return;
  }
  const std::uint32_t each = aNode.mSettings.mWorkersPerShard;
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

/// Claims a shard under `aLease`, the lease that the node held when it decided
/// to claim. Does nothing if the node has lost that lease meanwhile.
asio::awaitable<void> Claim(NodeContext& aNode,
                            std::uint32_t aShard,
                            LeaseId aLease)
{
  const KvReply workerSetRead =
    co_await aNode.mStore.mRead(WorkerSetKey(aShard));
  UpdateStoreHealth(aNode, workerSetRead);
  const bool isRead = workerSetRead.mStatus == KvStatus::kOk ||
                      workerSetRead.mStatus == KvStatus::kNotFound;
  if (!isRead || aNode.mLease != aLease || aNode.mIsStopping) {
    co_return;
  }
  WorkerSetRecord workerSet;
  std::uint64_t workerSetRevision = 0;
  if (!workerSetRead.mItems.empty()) {
    workerSetRevision = workerSetRead.mItems[0].mRevision;
    workerSet = TryDecode<WorkerSetRecord>(workerSetRead.mItems[0].mValue)
                  .value_or(workerSet);
  }
  workerSet = NextWorkerSet(workerSet, aNode.mSettings.mName);
  ShardOwnerRecord owner{ aNode.mSettings.mName,
                          PeerAddressOf(aNode.mSettings) };
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(aShard), 0 });
  write.mConditions.push_back({ WorkerSetKey(aShard), workerSetRevision });
  write.mPuts.push_back(LeasedPut(OwnerKey(aShard), Encode(owner), aLease));
  write.mPuts.push_back(PersistentPut(WorkerSetKey(aShard), Encode(workerSet)));
  write.mPuts.push_back(PersistentPut(InboxOwnerKey(aShard), Encode(owner)));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  UpdateStoreHealth(aNode, reply);
  spdlog::info("shard.claim shard={} lease={} outcome={} revision={}",
               aShard,
               aLease.Number(),
               NameOf(reply.mStatus),
               reply.mRevision);
  if (reply.mStatus == KvStatus::kOk) {
    aNode.mOwners[aShard] = { owner, reply.mRevision, aLease };
  } else if (!IsTurnedDown(reply.mStatus)) {
    // After a conflict or a lost reply, the record shows who owns the shard.
    co_await ReadOwner(aNode, aShard);
  }
}

/// Handles a shard whose record names this node. If the record is held under an
/// earlier lease of this node, revokes that lease. If the runner of the
/// record's epoch has stopped, removes the record. If the epoch is new, starts
/// a runner.
asio::awaitable<void> ReconcileOwnShard(NodeContext& aNode,
                                        std::uint32_t aShard,
                                        ShardOwner aOwner)
{
  if (aNode.mIsStopping) {
    co_return;
  }
  if (aOwner.mLease != aNode.mLease) {
    co_await RevokeEarlierLease(aNode, aShard, *aOwner.mLease);
    co_return;
  }
  const auto runner = aNode.mRunners.find(aShard);
  // An epoch whose runner has stopped is never resumed.
  const bool isKnown = aNode.mLastEpochs[aShard] >= aOwner.mEpoch;
  if (isKnown && runner == aNode.mRunners.end()) {
    co_await RemoveOwner(aNode, aShard, aOwner);
  }
  if (isKnown) {
    co_return;
  }
  if (runner != aNode.mRunners.end()) {
    runner->second->Stop();
  }
  ++aNode.mCounters.mTakeovers;
  auto newRunner = std::make_shared<ShardRunner>(aNode, aShard, aOwner.mEpoch);
  aNode.mRunners[aShard] = newRunner;
  aNode.mLastEpochs[aShard] = aOwner.mEpoch;
  newRunner->Start();
}

/// Starts and stops runners according to the table of owners.
asio::awaitable<void> ReconcileRunners(NodeContext& aNode)
{
  const auto owners = aNode.mOwners;
  for (const auto& [shard, owner] : owners) {
    if (!owner.mLease) {
      continue;
    }
    if (owner.mRecord.mNode == aNode.mSettings.mName) {
      co_await ReconcileOwnShard(aNode, shard, owner);
      continue;
    }
    const auto runner = aNode.mRunners.find(shard);
    if (runner != aNode.mRunners.end()) {
      runner->second->Stop();
    }
  }
  std::erase_if(aNode.mRunners, [](const auto& aRunner) {
    return aRunner.second->IsStopped();
  });
}

/// Claims the shards that have no owner, after the delay of this node's rank.
/// A record without a lease counts as no owner and is removed first.
/// @param aOwnerlessSince first time at which each shard was seen without an
/// owner
asio::awaitable<void> ClaimOwnerless(
  NodeContext& aNode,
  std::map<std::uint32_t, TimePoint>& aOwnerlessSince,
  TimePoint aNow)
{
  for (std::uint32_t shard = 0; shard < aNode.mShards; ++shard) {
    const auto owner = aNode.mOwners.find(shard);
    const bool isStale =
      owner != aNode.mOwners.end() && !owner->second.mLease.has_value();
    if (owner != aNode.mOwners.end() && !isStale) {
      aOwnerlessSince.erase(shard);
      continue;
    }
    const TimePoint since =
      aOwnerlessSince.try_emplace(shard, aNow).first->second;
    const auto rank = ClaimRank(aNode.mNodes, aNode.mSettings.mName, shard);
    const auto owned = static_cast<std::int64_t>(aNode.mRunners.size());
    if (aNow - since < kRankDelay * rank + kOwnedShardDelay * owned) {
      continue;
    }
    aOwnerlessSince.erase(shard);
    if (isStale) {
      co_await RemoveOwner(aNode, shard, owner->second);
    }
    // The lease may have been lost during the store call.
    const auto lease = aNode.mLease;
    if (!lease || aNode.mIsLeaseInDoubt) {
      co_return;
    }
    co_await Claim(aNode, shard, *lease);
  }
}

/// Maximum number of entries that hand one shard over.
constexpr std::size_t kHandOverEntries = 3;

/// Adds the hand-over of one shard, after `ShardRunner::HandOver`.
void AddHandOver(KvTransaction& aWrite,
                 std::uint32_t aShard,
                 const ShardRunner& aRunner)
{
  aWrite.mConditions.push_back({ OwnerKey(aShard), aRunner.Epoch() });
  aWrite.mDeletes.push_back(OwnerKey(aShard));
  // A runner that isn't loaded doesn't know the worker set yet.
  if (aRunner.IsLoaded()) {
    aWrite.mPuts.push_back(PersistentPut(
      WorkerSetKey(aShard), Encode(aRunner.HandedOverWorkerSet())));
  }
}

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

asio::awaitable<KvReply> ReadAllPages(NodeContext& aNode, std::string aPrefix)
{
  KvReply all;
  KvRange range{ aPrefix, {} };
  bool isFirst = true;
  bool hasMore = true;
  while (hasMore) {
    KvReply page = co_await aNode.mStore.mRange(range);
    UpdateStoreHealth(aNode, page);
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

std::uint32_t ClaimRank(const std::map<std::string, NodeRecord>& aNodes,
                        const std::string& aNode,
                        std::uint32_t aShard)
{
  const std::string key = "shard-" + std::to_string(aShard);
  const auto self = aNodes.find(aNode);
  const double processors = self == aNodes.end() ? 0 : self->second.mProcessors;
  const auto mine = std::pair(processors, RendezvousWeight(key, aNode));
  std::uint32_t rank = 0;
  for (const auto& [name, record] : aNodes) {
    const auto other =
      std::pair(record.mProcessors, RendezvousWeight(key, name));
    if (name != aNode && other > mine) {
      ++rank;
    }
  }
  return rank;
}

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

bool MayStartTasks(const NodeContext& aNode, TimePoint aNow)
{
  if (aNode.mIsLeaseInDoubt || !aNode.mLease || aNode.mIsStopping) {
    return false;
  }
  if (aNow < aNode.mLeaseValidUntil) {
    return true;
  }
  const DispatchBounds bounds = DispatchBoundsOf(aNode.mSettings);
  const Duration gracePeriod =
    bounds.mOwnerGracePeriod - LeaseTtlOf(aNode.mSettings);
  return IsStoreDown(aNode, aNow) &&
         aNow < aNode.mLeaseValidUntil + gracePeriod;
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
    const KvWatch watch{ kSystemPrefix, all.mRevision, kSystemWatchWait };
    co_await ApplyWatchEvents(aNode,
                              watch,
                              SuspendAwareNow() + kFullReadInterval,
                              ApplySystemItem,
                              aNode.mSystemCompleteAt);
  }
}

asio::awaitable<void> ClaimShards(NodeContext& aNode)
{
  TimePoint lastTick = SuspendAwareNow();
  TimePoint countedAt = lastTick;
  FleetSizeTracker fleet;
  std::map<std::uint32_t, TimePoint> ownerlessSince;
  // Longer gaps between checks mean that the process was stalled, and that its
  // lease may have expired.
  constexpr Duration kMaxTickGap{ 700 };
  while (!aNode.mIsStopping) {
    co_await Sleep(kClaimInterval);
    const TimePoint now = SuspendAwareNow();
    if (now - lastTick > kMaxTickGap) {
      spdlog::warn("process.stalled gap_ms={}", (now - lastTick).count());
      aNode.mIsLeaseInDoubt = true;
    }
    // Set again after store calls, so that a slow store isn't taken for a
    // stall.
    lastTick = now;
    if (!aNode.mLease || aNode.mIsLeaseInDoubt) {
      continue;
    }
    if (aNode.mShards == 0) {
      if (now - countedAt >= kCountInterval && aNode.mOperators) {
        countedAt = now;
        co_await WriteLayoutOnceStable(aNode, fleet);
        lastTick = SuspendAwareNow();
      }
      continue;
    }
    co_await ReconcileRunners(aNode);
    co_await ClaimOwnerless(aNode, ownerlessSince, now);
    co_await ReconcileRunners(aNode);
    lastTick = SuspendAwareNow();
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
    AddHandOver(writes.back(), shard, *runner);
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
