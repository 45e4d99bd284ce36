#include "vcShardClaims.h"

#include "vcFleetLayout.h"
#include "vcFormerOwner.h"
#include "vcMembership.h"
#include "vcShardRunner.h"
#include "vcStoredRecord.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Interval of the checks for shards without an owner.
constexpr Duration kClaimInterval{ 50 };
/// Delay of a claim per rank of the node, so that nodes of lower rank claim the
/// shard first.
constexpr Duration kRankDelay{ 200 };
/// Additional delay per shard that the node owns already, so that nodes without
/// shards claim first.
constexpr Duration kOwnedShardDelay{ 60 };
/// Interval of the counts of workers until the number of shards is known.
constexpr Duration kCountInterval{ 500 };
/// Interval of the attempts to write the size of the fleet's nodes.
constexpr Duration kNodeSizeInterval{ 500 };

/// A shard that has no owner according to the table of owners, and that this
/// node doesn't run.
struct UnownedShard
{
  /// When that was seen first.
  TimePoint mSince{ kNever };
  /// `NodeContext::mSystemRevision` at that time.
  std::uint64_t mSystemRevision = 0;
};

/// What a node remembers from one check for ownerless shards to the next.
struct ClaimState
{
  /// Since when the turns of the nodes to claim a shard count, by shard.
  std::map<std::uint32_t, TimePoint> mOwnerlessSince;
  /// The shards without an owner, whether the node may claim them or not.
  std::map<std::uint32_t, UnownedShard> mUnowned;
  /// Lease that was valid at the last check.
  std::optional<LeaseId> mLease;
  /// Time since which the node has held it and the store has answered.
  TimePoint mLeaseHeldSince{ 0 };
  /// Time of the last attempt to write the size of the fleet's nodes.
  TimePoint mNodeSizeWrittenAt{ 0 };
};

void UpdateLeaseHeldSince(const NodeContext& aNode,
                          ClaimState& aState,
                          TimePoint aNow)
{
  const bool isHeld = aNode.mLease && aNode.mLease == aState.mLease &&
                      !aNode.mIsLeaseInDoubt && !IsStoreDown(aNode, aNow);
  if (!isHeld) {
    aState.mLease = aNode.mLease;
    aState.mLeaseHeldSince = aNow;
  }
}

/// True if this node still acts as the owner of the shard. Its record may be
/// gone already, which the node notices with the next renewal of its lease.
bool IsRunning(const NodeContext& aNode, std::uint32_t aShard)
{
  const auto runner = aNode.mRunners.find(aShard);
  return runner != aNode.mRunners.end() && !runner->second->IsStopped();
}

/// Notes which shards have no owner and since when.
void NoteUnowned(const NodeContext& aNode, ClaimState& aState, TimePoint aNow)
{
  for (std::uint32_t shard = 0; shard < aNode.mShards; ++shard) {
    if (aNode.mOwners.contains(shard) || IsRunning(aNode, shard)) {
      aState.mUnowned.erase(shard);
    } else {
      aState.mUnowned.try_emplace(shard,
                                  UnownedShard{ aNow, aNode.mSystemRevision });
    }
  }
}

/// Epoch of a shard's owner according to the table of owners; 0 if it has none.
std::uint64_t KnownEpoch(const NodeContext& aNode, std::uint32_t aShard)
{
  const auto known = aNode.mOwners.find(aShard);
  return known == aNode.mOwners.end() ? 0 : known->second.mEpoch;
}

/// Reads the owner of a shard from the store into the table of owners.
asio::awaitable<void> ReadOwner(NodeContext& aNode, std::uint32_t aShard)
{
  const std::uint64_t epochBefore = KnownEpoch(aNode, aShard);
  const KvReply read = co_await aNode.mStore.mRead(OwnerKey(aShard));
  UpdateStoreHealth(aNode, read);
  for (const auto& item : read.mItems) {
    ApplyOwner(aNode, item);
  }
  // A reply without a revision can't be compared with an owner that was seen
  // after the read was sent.
  const std::uint64_t epoch = KnownEpoch(aNode, aShard);
  const bool isRemoved = read.mStatus == KvStatus::kNotFound &&
                         (epoch == epochBefore || epoch <= read.mRevision);
  if (isRemoved) {
    aNode.mOwners.erase(aShard);
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

/// Records of a shard that a claim replaces.
struct ClaimedRecords
{
  StoredRecord<WorkerSetRecord> mWorkerSet;
  StoredRecord<InactiveWorkersRecord> mInactive;
  StoredRecord<IncarnationsRecord> mIncarnations;
};

/// Reads the records that the claim of a shard replaces.
/// @return nothing if the store could not be read
asio::awaitable<std::optional<ClaimedRecords>> ReadClaimedRecords(
  NodeContext& aNode,
  std::uint32_t aShard)
{
  auto workerSet =
    co_await ReadRecord<WorkerSetRecord>(aNode, WorkerSetKey(aShard));
  if (!workerSet) {
    co_return std::nullopt;
  }
  auto inactive = co_await ReadRecord<InactiveWorkersRecord>(
    aNode, InactiveWorkersKey(aShard));
  if (!inactive) {
    co_return std::nullopt;
  }
  auto incarnations =
    co_await ReadRecord<IncarnationsRecord>(aNode, IncarnationsKey(aShard));
  if (!incarnations) {
    co_return std::nullopt;
  }
  co_return ClaimedRecords{ std::move(*workerSet),
                            std::move(*inactive),
                            std::move(*incarnations) };
}

/// True if the former owner was an earlier process of this node, and all owners
/// before that had been accounted for.
bool WasEarlierProcess(const NodeContext& aNode,
                       std::uint32_t aShard,
                       const FormerOwner& aFormer)
{
  const auto lastEpoch = aNode.mLastEpochs.find(aShard);
  const bool hasRun =
    lastEpoch != aNode.mLastEpochs.end() && lastEpoch->second > 0;
  return !hasRun && aFormer.mIsSettled &&
         aFormer.mNode == aNode.mSettings.mName;
}

/// Time since which no owner can have proved its ownership of the shard, if
/// that is known. Each claim writes the worker set, so nobody has claimed the
/// shard since the table of owners was complete up to the set's revision.
std::optional<TimePoint> UnownedSince(const NodeContext& aNode,
                                      const ClaimState& aState,
                                      std::uint32_t aShard,
                                      const ClaimedRecords& aRecords)
{
  const FormerOwner former = FormerOwnerOf(aRecords.mWorkerSet.mRecord);
  if (WasEarlierProcess(aNode, aShard, former)) {
    return aNode.mStartedAt;
  }
  const auto unowned = aState.mUnowned.find(aShard);
  const bool isKnown =
    unowned != aState.mUnowned.end() &&
    aRecords.mWorkerSet.mRevision <= unowned->second.mSystemRevision;
  return isKnown ? std::optional(unowned->second.mSince) : std::nullopt;
}

/// The write that claims a shard.
KvTransaction MakeClaim(const NodeContext& aNode,
                        std::uint32_t aShard,
                        LeaseId aLease,
                        const ShardOwnerRecord& aOwner,
                        const ClaimedRecords& aRecords)
{
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(aShard), 0 });
  write.mConditions.push_back(
    { WorkerSetKey(aShard), aRecords.mWorkerSet.mRevision });
  write.mConditions.push_back(
    { InactiveWorkersKey(aShard), aRecords.mInactive.mRevision });
  write.mPuts.push_back(LeasedPut(OwnerKey(aShard), Encode(aOwner), aLease));
  write.mPuts.push_back(PersistentPut(InboxOwnerKey(aShard), Encode(aOwner)));
  AddWorkerSet(
    write,
    aShard,
    NextWorkerSet(aRecords.mWorkerSet.mRecord, aNode.mSettings.mName),
    NextInactiveWorkers(aRecords.mInactive.mRecord,
                        aRecords.mWorkerSet.mRecord,
                        DispatchBoundsOf(aNode.mSettings).mLeaseLimit));
  // Always written together with the worker set, whose condition holds for it.
  write.mPuts.push_back(
    PersistentPut(IncarnationsKey(aShard),
                  Encode(NextIncarnations(aRecords.mIncarnations.mRecord,
                                          aRecords.mWorkerSet.mRecord))));
  return write;
}

/// Claims a shard under `aLease`, the lease that the node held when it decided
/// to claim. Does nothing if the node has lost that lease meanwhile.
asio::awaitable<void> Claim(NodeContext& aNode,
                            const ClaimState& aState,
                            std::uint32_t aShard,
                            LeaseId aLease)
{
  const auto records = co_await ReadClaimedRecords(aNode, aShard);
  if (!records || aNode.mLease != aLease || aNode.mIsStopping) {
    co_return;
  }
  ShardOwnerRecord owner{ aNode.mSettings.mName,
                          PeerAddressOf(aNode.mSettings) };
  KvTransaction write = MakeClaim(aNode, aShard, aLease, owner, *records);
  FormerOwner former = FormerOwnerOf(records->mWorkerSet.mRecord);
  former.mUnownedSince = UnownedSince(aNode, aState, aShard, *records);
  // Before the write, since it may be carried out although its reply is lost.
  aNode.mFormerOwners[aShard] = former;
  const KvReply reply = co_await aNode.mStore.mCommit(std::move(write));
  UpdateStoreHealth(aNode, reply);
  const TimePoint now = SuspendAwareNow();
  spdlog::info("shard.claim shard={} lease={} outcome={} revision={} "
               "unowned_ms={}",
               aShard,
               aLease.Number(),
               NameOf(reply.mStatus),
               reply.mRevision,
               (now - former.mUnownedSince.value_or(now)).count());
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

/// Standing of this node for the claim of a shard without an owner.
ClaimStanding StandingOf(const NodeContext& aNode,
                         const ClaimState& aState,
                         std::uint32_t aShard)
{
  ClaimStanding standing;
  standing.mRank = ClaimRank(aNode.mNodes, aNode.mSettings.mName, aShard);
  standing.mOwnedShards = aNode.mRunners.size();
  standing.mIsSmall =
    aNode.mSettings.mProcessors < aNode.mNodeSize.mMostProcessors;
  standing.mOwnerlessSince = aState.mOwnerlessSince.at(aShard);
  standing.mLeaseHeldSince = aState.mLeaseHeldSince;
  return standing;
}

/// Claims the shards that have no owner, once this node's turn has come. A
/// record without a lease counts as no owner and is removed first.
asio::awaitable<void> ClaimOwnerless(NodeContext& aNode,
                                     ClaimState& aState,
                                     TimePoint aNow)
{
  const Duration leaseTtl = LeaseTtlOf(aNode.mSettings);
  for (std::uint32_t shard = 0; shard < aNode.mShards; ++shard) {
    const auto owner = aNode.mOwners.find(shard);
    const bool isStale =
      owner != aNode.mOwners.end() && !owner->second.mLease.has_value();
    if (owner != aNode.mOwners.end() && !isStale) {
      aState.mOwnerlessSince.erase(shard);
      continue;
    }
    aState.mOwnerlessSince.try_emplace(shard, aNow);
    if (aNow < EarliestClaim(StandingOf(aNode, aState, shard), leaseTtl)) {
      continue;
    }
    aState.mOwnerlessSince.erase(shard);
    if (isStale) {
      co_await RemoveOwner(aNode, shard, owner->second);
    }
    // The lease may have been lost during the store call.
    const auto lease = aNode.mLease;
    if (!lease || aNode.mIsLeaseInDoubt) {
      co_return;
    }
    co_await Claim(aNode, aState, shard, *lease);
  }
}

} // namespace

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

TimePoint EarliestClaim(const ClaimStanding& aStanding, Duration aLeaseTtl)
{
  const TimePoint tableCompleteAt =
    aStanding.mLeaseHeldSince + LeaseRecoveryTime(aLeaseTtl);
  const TimePoint turnsFrom =
    aStanding.mIsSmall ? std::max(aStanding.mOwnerlessSince, tableCompleteAt)
                       : aStanding.mOwnerlessSince;
  const auto owned = static_cast<std::int64_t>(aStanding.mOwnedShards);
  return turnsFrom + kRankDelay * aStanding.mRank + kOwnedShardDelay * owned;
}

asio::awaitable<void> ClaimShards(NodeContext& aNode)
{
  TimePoint lastTick = SuspendAwareNow();
  TimePoint countedAt = lastTick;
  FleetSizeTracker fleet;
  ClaimState state;
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
    UpdateLeaseHeldSince(aNode, state, now);
    NoteUnowned(aNode, state, now);
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
    co_await ClaimOwnerless(aNode, state, now);
    co_await ReconcileRunners(aNode);
    if (now - state.mNodeSizeWrittenAt >= kNodeSizeInterval &&
        MustWriteNodeSize(aNode)) {
      state.mNodeSizeWrittenAt = now;
      co_await WriteNodeSize(aNode);
    }
    lastTick = SuspendAwareNow();
  }
}

} // namespace verbenacroft
