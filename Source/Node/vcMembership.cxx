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
  aNode.mOwners[*shard] = { *record, aItem.mCreateRevision, aItem.mLease };
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
  spdlog::warn(
    "lease.lost lease={} shards={}", aNode.mLease, aNode.mRunners.size());
  aNode.mLease = 0;
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
  if (reply.mStatus != KvStatus::kOk || reply.mLease == 0) {
    co_return;
  }
  aNode.mLease = reply.mLease;
  aNode.mLeaseValidUntil = sentAt + ttl - kLeaseMargin;
  aNode.mIsLeaseInDoubt = false;
  spdlog::info("lease.granted lease={}", aNode.mLease);
  NodeRecord record{ PeerAddressOf(aNode.mSettings),
                     aNode.mSettings.mDataCentre,
                     aNode.mSettings.mProcessors };
  KvTransaction enter;
  enter.mPuts.push_back(
    { kNodePrefix + aNode.mSettings.mName, Encode(record), aNode.mLease });
  const KvReply entered = co_await aNode.mStore.mCommit(std::move(enter));
  NoteStoreReply(aNode, entered);
  if (entered.mStatus != KvStatus::kOk) {
    // Without its record nobody would find the node: begin again.
    OnLeaseLost(aNode);
  }
}

asio::awaitable<void> RenewLease(NodeContext& aNode)
{
  const Duration ttl = LeaseTimeOf(aNode.mSettings);
  const TimePoint sentAt = SuspendAwareNow();
  const std::uint64_t lease = aNode.mLease;
  const KvReply reply = co_await aNode.mStore.mRenew(lease);
  NoteStoreReply(aNode, reply);
  if (aNode.mLease != lease) {
    co_return;
  }
  if (reply.mStatus == KvStatus::kNotFound) {
    OnLeaseLost(aNode);
  } else if (reply.mStatus == KvStatus::kOk) {
    aNode.mLeaseValidUntil = sentAt + ttl - kLeaseMargin;
    aNode.mIsLeaseInDoubt = false;
  }
}

/// Ends the lease of this node's earlier life, so that its shards are free.
asio::awaitable<void> EndEarlierLife(NodeContext& aNode, std::uint64_t aLease)
{
  spdlog::info("lease.end-earlier-life lease={}", aLease);
  const KvReply reply = co_await aNode.mStore.mRevoke(aLease);
  NoteStoreReply(aNode, reply);
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
  write.mPuts.push_back({ kLayoutKey, Encode(layout), 0 });
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  NoteStoreReply(aNode, reply);
  spdlog::info("layout.decided shards={} workers={} outcome={}",
               layout.mShards,
               workers,
               NameOf(reply.mStatus));
}

asio::awaitable<void> Claim(NodeContext& aNode, std::uint32_t aShard)
{
  const std::uint64_t lease = aNode.mLease;
  const KvReply crewRead = co_await aNode.mStore.mRead(CrewKey(aShard));
  NoteStoreReply(aNode, crewRead);
  const bool isRead = crewRead.mStatus == KvStatus::kOk ||
                      crewRead.mStatus == KvStatus::kNotFound;
  if (!isRead || aNode.mLease != lease || aNode.mIsStopping) {
    co_return;
  }
  CrewRecord crew;
  std::uint64_t crewRevision = 0;
  if (!crewRead.mItems.empty()) {
    crewRevision = crewRead.mItems[0].mRevision;
    crew = TryDecode<CrewRecord>(crewRead.mItems[0].mValue).value_or(crew);
  }
  ++crew.mGeneration;
  ShardOwnerRecord owner{ aNode.mSettings.mName,
                          PeerAddressOf(aNode.mSettings) };
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(aShard), 0 });
  write.mConditions.push_back({ CrewKey(aShard), crewRevision });
  write.mPuts.push_back({ OwnerKey(aShard), Encode(owner), lease });
  write.mPuts.push_back({ CrewKey(aShard), Encode(crew), 0 });
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  NoteStoreReply(aNode, reply);
  spdlog::info("shard.claim shard={} outcome={} revision={}",
               aShard,
               NameOf(reply.mStatus),
               reply.mRevision);
  if (reply.mStatus == KvStatus::kOk) {
    aNode.mOwners[aShard] = { owner, reply.mRevision, lease };
  } else if (reply.mStatus != KvStatus::kRefused) {
    // The record tells who owns the shard, also after a lost answer.
    const KvReply read = co_await aNode.mStore.mRead(OwnerKey(aShard));
    NoteStoreReply(aNode, read);
    for (const auto& item : read.mItems) {
      ApplyOwner(aNode, item);
    }
  }
}

/// Starts and stops runners as the table of owners says.
asio::awaitable<void> FollowOwners(NodeContext& aNode)
{
  const auto owners = aNode.mOwners;
  for (const auto& [shard, owner] : owners) {
    const bool isMine = owner.mRecord.mNode == aNode.mSettings.mName;
    const auto runner = aNode.mRunners.find(shard);
    // Once an epoch has ended here it isn't taken up again.
    const bool isRunning = aNode.mLastEpochs[shard] >= owner.mEpoch;
    if (isMine && owner.mLease != aNode.mLease) {
      co_await EndEarlierLife(aNode, owner.mLease);
      continue;
    }
    if (isMine && !isRunning && !aNode.mIsStopping) {
      if (runner != aNode.mRunners.end()) {
        runner->second->Stop();
      }
      ++aNode.mCounters.mTakeovers;
      auto fresh = std::make_shared<ShardRunner>(aNode, shard, owner.mEpoch);
      aNode.mRunners[shard] = fresh;
      aNode.mLastEpochs[shard] = owner.mEpoch;
      fresh->Start();
    }
    if (!isMine && runner != aNode.mRunners.end()) {
      runner->second->Stop();
      aNode.mRunners.erase(runner);
    }
  }
  for (auto at = aNode.mRunners.begin(); at != aNode.mRunners.end();) {
    at = at->second->IsStopped() ? aNode.mRunners.erase(at) : std::next(at);
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
  if (aNode.mIsLeaseInDoubt || aNode.mLease == 0 || aNode.mIsStopping) {
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
    const bool hasLease = aNode.mLease != 0;
    if (hasLease) {
      co_await RenewLease(aNode);
    } else {
      co_await GrantLease(aNode);
    }
    const bool isGood = aNode.mLease != 0 && aNode.mStoreFailedAt == kNever;
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
    if (aNode.mLease == 0 || aNode.mIsLeaseInDoubt) {
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
    for (std::uint32_t shard = 0; shard < aNode.mShards; ++shard) {
      if (aNode.mOwners.contains(shard)) {
        ownerlessSince.erase(shard);
        continue;
      }
      const TimePoint since =
        ownerlessSince.try_emplace(shard, now).first->second;
      const auto rank = ClaimRank(aNode.mNodes, aNode.mSettings.mName, shard);
      const auto owned = static_cast<std::int64_t>(aNode.mRunners.size());
      if (now - since >= kRankDelay * rank + kBusyDelay * owned) {
        co_await Claim(aNode, shard);
        ownerlessSince.erase(shard);
      }
    }
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
  }
  aNode.mRunners.clear();
  if (!leave.mDeletes.empty()) {
    const KvReply reply = co_await aNode.mStore.mCommit(std::move(leave));
    NoteStoreReply(aNode, reply);
    spdlog::info("shard.hand-over shards={} outcome={}",
                 runners.size(),
                 NameOf(reply.mStatus));
  }
  if (aNode.mLease != 0) {
    const KvReply reply = co_await aNode.mStore.mRevoke(aNode.mLease);
    NoteStoreReply(aNode, reply);
  }
}

} // namespace verbenacroft
