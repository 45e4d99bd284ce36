#include "vcMembership.h"

#include "vcShardRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

#include <charconv>

namespace verbenacroft {

namespace {

/// Renewals in one lifetime of the lease.
constexpr int kRenewalsPerLease = 3;
/// The store may count the lease from a little before the renewal was sent.
constexpr Duration kLeaseMargin{ 100 };
constexpr Duration kRetry{ 150 };
constexpr Duration kSystemWait{ 3'000 };
/// The table is read afresh this often, in case an event was missed.
constexpr Duration kFullRead{ 10'000 };
constexpr Duration kClaimTick{ 50 };
/// A later rank claims a shard only after the earlier ones had this time.
constexpr Duration kRankDelay{ 200 };
/// Nodes that own shards already leave others to those that own none.
constexpr Duration kBusyDelay{ 60 };
/// The fleet counts as up once no worker has been added for this time, ...
constexpr Duration kSettleTime{ 1'000 };
/// ... or after this time, since jobs have to wait until then.
constexpr Duration kLongestSettle{ 4'500 };
/// How often the workers are counted until then.
constexpr Duration kCountInterval{ 500 };

std::optional<std::uint32_t> ShardInKey(std::string_view aKey)
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

void ApplyOwner(NodeContext& aNode, const KvItem& aItem)
{
  const auto shard = ShardInKey(aItem.mKey);
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

asio::awaitable<void> GrantLease(NodeContext& aNode)
{
  const Duration ttl = LeaseTimeOf(aNode.mSettings);
  const TimePoint sentAt = SuspendAwareNow();
  const KvReply reply = co_await aNode.mStore.mGrant(ttl);
  NoteStoreReply(aNode, reply);
  const auto lease = LeaseId::Of(reply.mLease);
  if (reply.mStatus != KvStatus::kOk || !lease) {
    co_return;
  }
  NodeRecord record{ PeerAddressOf(aNode.mSettings),
                     aNode.mSettings.mDataCentre,
                     aNode.mSettings.mProcessors };
  KvTransaction enter;
  enter.mPuts.push_back(
    LeasedPut(kNodePrefix + aNode.mSettings.mName, Encode(record), *lease));
  const KvReply entered = co_await aNode.mStore.mCommit(std::move(enter));
  NoteStoreReply(aNode, entered);
  spdlog::info("lease.granted lease={} entered={}",
               lease->Number(),
               NameOf(entered.mStatus));
  if (entered.mStatus != KvStatus::kOk) {
    // Without its record nobody would find the node: begin again.
    co_return;
  }
  aNode.mLease = lease;
  aNode.mLeaseValidUntil = sentAt + ttl - kLeaseMargin;
  aNode.mIsLeaseInDoubt = false;
}

asio::awaitable<void> RenewLease(NodeContext& aNode, LeaseId aLease)
{
  const Duration ttl = LeaseTimeOf(aNode.mSettings);
  const TimePoint sentAt = SuspendAwareNow();
  const KvReply reply = co_await aNode.mStore.mRenew(aLease);
  NoteStoreReply(aNode, reply);
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

/// Takes in the owner of a shard as the store shows it now.
asio::awaitable<void> ReadOwner(NodeContext& aNode, std::uint32_t aShard)
{
  const KvReply read = co_await aNode.mStore.mRead(OwnerKey(aShard));
  NoteStoreReply(aNode, read);
  for (const auto& item : read.mItems) {
    ApplyOwner(aNode, item);
  }
  const auto known = aNode.mOwners.find(aShard);
  // A store that doesn't say as of when has no such record: at worst an
  // owner that came since is forgotten until its event is heard.
  const bool isGone =
    read.mStatus == KvStatus::kNotFound && known != aNode.mOwners.end() &&
    (read.mRevision == 0 || known->second.mEpoch <= read.mRevision);
  if (isGone) {
    aNode.mOwners.erase(known);
  }
}

/// Ends the lease of this node's earlier life, so that its shards are free.
asio::awaitable<void> EndEarlierLife(NodeContext& aNode,
                                     std::uint32_t aShard,
                                     LeaseId aLease)
{
  spdlog::info(
    "lease.end-earlier-life shard={} lease={}", aShard, aLease.Number());
  const KvReply reply = co_await aNode.mStore.mRevoke(aLease);
  NoteStoreReply(aNode, reply);
  co_await ReadOwner(aNode, aShard);
}

/// Removes an owner's record, unless the store has another one by now.
asio::awaitable<void> RemoveOwner(NodeContext& aNode,
                                  std::uint32_t aShard,
                                  ShardOwner aOwner)
{
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(aShard), aOwner.mEpoch });
  write.mDeletes.push_back(OwnerKey(aShard));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  NoteStoreReply(aNode, reply);
  spdlog::warn("owner.removed shard={} node={} epoch={} lease={} outcome={}",
               aShard,
               aOwner.mRecord.mNode,
               aOwner.mEpoch,
               NumberOf(aOwner.mLease),
               NameOf(reply.mStatus));
  co_await ReadOwner(aNode, aShard);
}

/// Writes the number of shards, once the fleet is up.
asio::awaitable<void> DecideLayout(NodeContext& aNode, FleetCount& aCount)
{
  const KvReply listed = co_await ReadAll(aNode, aNode.mCodec.mDiscoveryPrefix);
  const auto workers = static_cast<std::uint32_t>(listed.mItems.size());
  const bool isCounted = listed.mStatus == KvStatus::kOk && workers > 0;
  if (!isCounted || !IsFleetUp(aCount, workers, SuspendAwareNow())) {
    co_return;
  }
  const std::uint32_t each = aNode.mSettings.mWorkersPerShard;
  LayoutRecord layout;
  layout.mShards = std::max<std::uint32_t>(1, (workers + each / 2) / each);
  KvTransaction write;
  write.mConditions.push_back({ kLayoutKey, 0 });
  write.mPuts.push_back(LastingPut(kLayoutKey, Encode(layout)));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  NoteStoreReply(aNode, reply);
  spdlog::info("layout.decided shards={} workers={} outcome={}",
               layout.mShards,
               workers,
               NameOf(reply.mStatus));
}

/// Claims a shard under the lease that the node had when it decided to.
asio::awaitable<void> Claim(NodeContext& aNode,
                            std::uint32_t aShard,
                            LeaseId aLease)
{
  const KvReply crewRead = co_await aNode.mStore.mRead(CrewKey(aShard));
  NoteStoreReply(aNode, crewRead);
  const bool isRead = crewRead.mStatus == KvStatus::kOk ||
                      crewRead.mStatus == KvStatus::kNotFound;
  if (!isRead || aNode.mLease != aLease || aNode.mIsStopping) {
    co_return;
  }
  CrewRecord crew;
  std::uint64_t crewRevision = 0;
  if (!crewRead.mItems.empty()) {
    crewRevision = crewRead.mItems[0].mRevision;
    crew = TryDecode<CrewRecord>(crewRead.mItems[0].mValue).value_or(crew);
  }
  crew = NextCrew(crew, aNode.mSettings.mName);
  ShardOwnerRecord owner{ aNode.mSettings.mName,
                          PeerAddressOf(aNode.mSettings) };
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(aShard), 0 });
  write.mConditions.push_back({ CrewKey(aShard), crewRevision });
  write.mPuts.push_back(LeasedPut(OwnerKey(aShard), Encode(owner), aLease));
  write.mPuts.push_back(LastingPut(CrewKey(aShard), Encode(crew)));
  write.mPuts.push_back(LastingPut(InboxOwnerKey(aShard), Encode(owner)));
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  NoteStoreReply(aNode, reply);
  spdlog::info("shard.claim shard={} lease={} outcome={} revision={}",
               aShard,
               aLease.Number(),
               NameOf(reply.mStatus),
               reply.mRevision);
  if (reply.mStatus == KvStatus::kOk) {
    aNode.mOwners[aShard] = { owner, reply.mRevision, aLease };
  } else if (reply.mStatus != KvStatus::kRefused) {
    // The record tells who owns the shard, also after a lost answer.
    co_await ReadOwner(aNode, aShard);
  }
}

/// Takes up, or gives up, a shard whose record names this node.
asio::awaitable<void> FollowOwnShard(NodeContext& aNode,
                                     std::uint32_t aShard,
                                     ShardOwner aOwner)
{
  if (aNode.mIsStopping) {
    co_return;
  }
  if (aOwner.mLease != aNode.mLease) {
    co_await EndEarlierLife(aNode, aShard, *aOwner.mLease);
    co_return;
  }
  const auto runner = aNode.mRunners.find(aShard);
  // Once an epoch has ended here it isn't taken up again.
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
  auto fresh = std::make_shared<ShardRunner>(aNode, aShard, aOwner.mEpoch);
  aNode.mRunners[aShard] = fresh;
  aNode.mLastEpochs[aShard] = aOwner.mEpoch;
  fresh->Start();
}

/// Starts and stops runners as the table of owners says.
asio::awaitable<void> FollowOwners(NodeContext& aNode)
{
  const auto owners = aNode.mOwners;
  for (const auto& [shard, owner] : owners) {
    if (!owner.mLease) {
      continue;
    }
    if (owner.mRecord.mNode == aNode.mSettings.mName) {
      co_await FollowOwnShard(aNode, shard, owner);
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

/// Claims the shards that have no owner, each node in its turn.
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
    if (aNow - since < kRankDelay * rank + kBusyDelay * owned) {
      continue;
    }
    aOwnerlessSince.erase(shard);
    if (isStale) {
      co_await RemoveOwner(aNode, shard, owner->second);
    }
    // The lease may have ended while this waited for the store.
    const auto lease = aNode.mLease;
    if (!lease || aNode.mIsLeaseInDoubt) {
      co_return;
    }
    co_await Claim(aNode, shard, *lease);
  }
}

} // namespace

asio::awaitable<KvReply> ReadAll(NodeContext& aNode, std::string aPrefix)
{
  KvReply all;
  KvRange range{ aPrefix, {} };
  bool isFirst = true;
  bool hasMore = true;
  while (hasMore) {
    KvReply page = co_await aNode.mStore.mRange(range);
    NoteStoreReply(aNode, page);
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

asio::awaitable<void> FollowWatch(NodeContext& aNode,
                                  KvWatch aWatch,
                                  TimePoint aUntil,
                                  ItemHandler aApply)
{
  bool isCurrent = true;
  while (isCurrent && SuspendAwareNow() < aUntil) {
    const KvReply news = co_await aNode.mStore.mWatch(aWatch);
    NoteStoreReply(aNode, news);
    isCurrent = news.mStatus != KvStatus::kCompacted;
    if (news.mStatus == KvStatus::kOk) {
      for (const auto& item : news.mItems) {
        aApply(aNode, item);
      }
      aWatch.mAfterRevision = std::max(aWatch.mAfterRevision, news.mRevision);
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

bool IsFleetUp(FleetCount& aCount, std::uint32_t aWorkers, TimePoint aNow)
{
  if (aCount.mCountedSince == kNever) {
    aCount.mCountedSince = aNow;
  }
  if (aWorkers > aCount.mWorkers) {
    aCount.mWorkers = aWorkers;
    aCount.mGrewAt = aNow;
  }
  return aNow - aCount.mGrewAt >= kSettleTime ||
         aNow - aCount.mCountedSince >= kLongestSettle;
}

bool MayStart(const NodeContext& aNode, TimePoint aNow)
{
  if (aNode.mIsLeaseInDoubt || !aNode.mLease || aNode.mIsStopping) {
    return false;
  }
  if (aNow < aNode.mLeaseValidUntil) {
    return true;
  }
  const DispatchBounds bounds = DispatchBoundsOf(aNode.mSettings);
  const Duration runOn = bounds.mOwnerRunOn - LeaseTimeOf(aNode.mSettings);
  return IsStoreDown(aNode, aNow) && aNow < aNode.mLeaseValidUntil + runOn;
}

asio::awaitable<void> KeepLease(NodeContext& aNode)
{
  const Duration interval = LeaseTimeOf(aNode.mSettings) / kRenewalsPerLease;
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

asio::awaitable<void> FollowSystem(NodeContext& aNode)
{
  while (true) {
    const KvReply all = co_await ReadAll(aNode, kSystemPrefix);
    if (all.mStatus != KvStatus::kOk) {
      co_await Sleep(kRetry);
      continue;
    }
    std::erase_if(aNode.mOwners, [&](const auto& aOwner) {
      return aOwner.second.mEpoch <= all.mRevision;
    });
    aNode.mNodes.clear();
    for (const auto& item : all.mItems) {
      ApplySystemItem(aNode, item);
    }
    const KvWatch watch{ kSystemPrefix, all.mRevision, kSystemWait };
    co_await FollowWatch(
      aNode, watch, SuspendAwareNow() + kFullRead, ApplySystemItem);
  }
}

asio::awaitable<void> ClaimShards(NodeContext& aNode)
{
  TimePoint lastTick = SuspendAwareNow();
  TimePoint countedAt = lastTick;
  FleetCount fleet;
  std::map<std::uint32_t, TimePoint> ownerlessSince;
  constexpr Duration kLongestTick{ 700 };
  while (!aNode.mIsStopping) {
    co_await Sleep(kClaimTick);
    const TimePoint now = SuspendAwareNow();
    if (now - lastTick > kLongestTick) {
      spdlog::warn("process.stood-still gap_ms={}", (now - lastTick).count());
      aNode.mIsLeaseInDoubt = true;
    }
    lastTick = now;
    if (!aNode.mLease || aNode.mIsLeaseInDoubt) {
      continue;
    }
    if (aNode.mShards == 0) {
      if (now - countedAt >= kCountInterval && aNode.mOperators) {
        countedAt = now;
        co_await DecideLayout(aNode, fleet);
        lastTick = SuspendAwareNow();
      }
      continue;
    }
    co_await FollowOwners(aNode);
    co_await ClaimOwnerless(aNode, ownerlessSince, now);
    co_await FollowOwners(aNode);
    lastTick = SuspendAwareNow();
  }
}

asio::awaitable<void> LeaveFleet(NodeContext& aNode)
{
  const auto runners = aNode.mRunners;
  KvTransaction leave;
  for (const auto& [shard, runner] : runners) {
    co_await runner->HandOver();
    leave.mConditions.push_back({ OwnerKey(shard), runner->Epoch() });
    leave.mDeletes.push_back(OwnerKey(shard));
    // Before it is loaded, the runner knows no crew that it could name.
    if (runner->IsLoaded()) {
      leave.mPuts.push_back(
        LastingPut(CrewKey(shard), Encode(runner->HandedOverCrew())));
    }
  }
  aNode.mRunners.clear();
  if (!leave.mDeletes.empty()) {
    const KvReply reply = co_await aNode.mStore.mCommit(std::move(leave));
    NoteStoreReply(aNode, reply);
    spdlog::info("shard.hand-over shards={} outcome={}",
                 runners.size(),
                 NameOf(reply.mStatus));
  }
  const auto lease = aNode.mLease;
  if (lease) {
    const KvReply reply = co_await aNode.mStore.mRevoke(*lease);
    NoteStoreReply(aNode, reply);
  }
}

} // namespace verbenacroft
