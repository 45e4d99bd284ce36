#include "vcSchedulerCore.h"

#include <algorithm>

/// Takeover, replay and release of shards, the choice of shards for jobs and
/// racks, and the distribution of events and replies to the scheduler's parts.

namespace verbenacroft {

using namespace scheduler;

namespace {

/// Age in milliseconds beyond which the addresses of another data centre are
/// read again.
constexpr Duration kMaxRemoteAge{ 2'000 };

/// Prefix of the data centre's keys in the store.
std::string DataCentrePrefix(const std::string& aName)
{
  return "dc/" + aName + "/";
}

/// Data centre of a shard whose name is `DATACENTRE-NUMBER`.
std::string DataCentreOfShard(const std::string& aShard)
{
  return aShard.substr(0, aShard.rfind('-'));
}

/// Counts the racks of each shard, over all data centres.
void UpdateWeights(SchedulerState& aState)
{
  aState.mWeights.clear();
  const auto& configuration = aState.mFollower.mState.mConfiguration;
  for (const auto& [name, racks] : aState.mRacks) {
    const auto* dataCentre = FindNamed(configuration.mDataCentres, name);
    if (dataCentre == nullptr) {
      continue;
    }
    for (const auto& rack : racks) {
      ++aState.mWeights[ShardOfRack(*dataCentre, rack)];
    }
  }
}

/// Sets the shards that this process may own to those that the configuration
/// gives its data centre.
void UpdatePartitions(SchedulerState& aState)
{
  const auto* dataCentre = FindNamed(
    aState.mFollower.mState.mConfiguration.mDataCentres, aState.mDataCentre);
  if (dataCentre == nullptr) {
    return;
  }
  const auto shards = ShardsOf(*dataCentre);
  SetPartitions(aState.mOwnership, { shards.begin(), shards.end() });
}

/// Listed instances of the shard, or no value while the configuration doesn't
/// declare the data centre. In that case its tasks are drained; an empty list
/// would make them count as ended.
std::optional<std::vector<Instance>> InstancesOf(const SchedulerState& aState,
                                                 const std::string& aShard)
{
  std::vector<Instance> instances;
  const auto* dataCentre = FindNamed(
    aState.mFollower.mState.mConfiguration.mDataCentres, aState.mDataCentre);
  if (dataCentre == nullptr) {
    return std::nullopt;
  }
  for (const auto& instance : aState.mInstances) {
    if (ShardOfRack(*dataCentre, instance.mRack) == aShard) {
      instances.push_back(instance);
    }
  }
  return instances;
}

/// Opens a shard under a new epoch with empty state; nothing of an earlier
/// ownership is kept.
void TakeOverShard(SchedulerState& aState,
                   const std::string& aName,
                   std::uint64_t aEpoch,
                   TimePoint aNow)
{
  Shard shard;
  shard.mName = aName;
  shard.mEpoch = aEpoch;
  shard.mJournal.mReader.mName = "shard/" + aName;
  shard.mJournal.mWriterName = aState.mName;
  const auto instances = InstancesOf(aState, aName);
  if (instances) {
    UpdateWorkers(shard, *instances, aNow);
  }
  auto& inserted =
    aState.mShards.insert_or_assign(aName, std::move(shard)).first->second;
  OpenJournal(inserted.mJournal, aEpoch, aState.mStore);
  ++aState.mCounters.mTakeovers;
}

/// Takes over shards that this process gained, drops those that it lost, and
/// marks those whose ownership expired.
void HandleOwnershipEvents(SchedulerState& aState, TimePoint aNow)
{
  const auto events = std::move(aState.mOwnership.mEvents);
  aState.mOwnership.mEvents.clear();
  for (const auto& event : events) {
    const auto found = aState.mShards.find(event.mPartition);
    switch (event.mKind) {
      case OwnershipEventKind::kGained:
        TakeOverShard(aState, event.mPartition, event.mEpoch, aNow);
        break;
      case OwnershipEventKind::kLost:
        aState.mShards.erase(event.mPartition);
        break;
      case OwnershipEventKind::kExpired:
        ++aState.mCounters.mExpirations;
        if (found != aState.mShards.end()) {
          found->second.mIsLapsed = true;
        }
        break;
    }
  }
  // Drop a shard whose ownership expired and that has a newer owner.
  std::erase_if(aState.mShards, [&](const auto& aEntry) {
    const auto partition = aState.mOwnership.mPartitions.find(aEntry.first);
    if (!aEntry.second.mIsLapsed ||
        partition == aState.mOwnership.mPartitions.end()) {
      return false;
    }
    return partition->second.mOwnerRevision > aEntry.second.mEpoch;
  });
}

/// Rebuilds the shard's state from the snapshot and entries of its journal.
/// Records that can't be decoded are skipped.
void Replay(Shard& aShard, TimePoint aNow)
{
  ShardData data;
  for (const auto& update : aShard.mJournal.mUpdates) {
    if (update.mSnapshot) {
      Faults faults;
      data = {};
      DecodeInto(update.mSnapshot->mState, "$", data, faults);
    }
    for (const auto& entry : update.mEntries) {
      for (const auto& json : entry.mRecords) {
        Faults faults;
        ShardRecord record;
        DecodeInto(json, "$", record, faults);
        if (faults.empty()) {
          ApplyRecord(data, record);
        }
      }
    }
  }
  aShard.mJournal.mUpdates.clear();
  aShard.mData = std::move(data);
  RebuildRuntime(aShard, aNow);
}

/// Retries refused journal calls and, once the flush interval has passed,
/// writes the pending records.
void FlushShard(SchedulerState& aState, Shard& aShard, TimePoint aNow)
{
  RetryJournal(aShard.mJournal, aNow, aState.mStore);
  const bool isDue = aNow - aShard.mJournal.mFlushedAt >= aState.mFlushInterval;
  if (!isDue || aShard.mJournal.mPending.empty() || aShard.mJournal.mWrite) {
    return;
  }
  std::optional<JournalRecord> snapshot;
  if (IsSnapshotDue(aShard.mJournal)) {
    snapshot = EncodeValue(aShard.mData);
  }
  Flush(aShard.mJournal, aNow, std::move(snapshot), aState.mStore);
}

/// Releases the shards whose journals are written and that have no call to a
/// worker under way, and those whose ownership expired.
void ReleaseIdleShards(SchedulerState& aState)
{
  std::vector<std::string> idle;
  for (const auto& [name, shard] : aState.mShards) {
    const bool isWritten =
      shard.mJournal.mPending.empty() && !shard.mJournal.mWrite;
    const bool hasSyncCall = std::any_of(
      shard.mWorkers.begin(), shard.mWorkers.end(), [](const auto& aEntry) {
        return aEntry.second.mSyncCall != 0;
      });
    if ((isWritten && !hasSyncCall) || shard.mIsLapsed) {
      idle.push_back(name);
    }
  }
  for (const auto& name : idle) {
    ReleasePartition(aState.mOwnership, name, aState.mStore);
    aState.mShards.erase(name);
  }
}

/// Handles the store's reply to a call of a shard's journal.
void OnJournalStoreReply(SchedulerState& aState,
                         const std::string& aShard,
                         std::uint64_t aCall,
                         const StoreReply& aReply,
                         TimePoint aNow)
{
  const auto found = aState.mShards.find(aShard);
  if (found == aState.mShards.end()) {
    return;
  }
  auto& shard = found->second;
  const auto event =
    OnJournalReply(shard.mJournal, aCall, aReply, aNow, aState.mStore);
  if (event == JournalEvent::kOpened) {
    Replay(shard, aNow);
  } else if (event == JournalEvent::kDurable) {
    RunDurableActions(shard);
  } else if (event == JournalEvent::kFenced) {
    ++aState.mCounters.mFenced;
    aState.mShards.erase(found);
  }
}

/// Handles the store's reply to the read of another data centre's members and
/// owners.
void OnRemoteReply(SchedulerState& aState,
                   std::uint64_t aCall,
                   const StoreReply& aReply,
                   TimePoint aNow)
{
  for (auto& [name, remote] : aState.mRemote) {
    if (remote.mCall != aCall) {
      continue;
    }
    remote.mCall = 0;
    if (aReply.mStatus != StoreStatus::kOk) {
      return;
    }
    const std::string prefix = DataCentrePrefix(name);
    std::map<std::string, std::string> addresses;
    for (const auto& entry : aReply.mEntries) {
      const auto member = TryDecode<Member>(entry.mValue);
      if (entry.mKey.starts_with(prefix + "member/") && member) {
        addresses[member->mName] = member->mPeerAddress;
      }
    }
    remote.mOwnerAddresses.clear();
    for (const auto& entry : aReply.mEntries) {
      const auto owner = TryDecode<OwnerRecord>(entry.mValue);
      const std::string ownerPrefix = prefix + "owner/";
      if (entry.mKey.starts_with(ownerPrefix) && owner) {
        remote.mOwnerAddresses[entry.mKey.substr(ownerPrefix.size())] =
          addresses[owner->mOwner];
      }
    }
    remote.mReadAt = aNow;
    return;
  }
}

} // namespace

namespace scheduler {

ShardContext ContextOf(const SchedulerState& aState,
                       const Shard& aShard,
                       TimePoint aNow)
{
  ShardContext context;
  context.mConfiguration = &aState.mFollower.mState.mConfiguration;
  context.mWeights = &aState.mWeights;
  context.mDataCentre = aState.mDataCentre;
  context.mNow = aNow;
  const bool isOwner =
    !aShard.mIsLapsed && Owns(aState.mOwnership, aShard.mName, aNow);
  context.mIsOwner = isOwner && aShard.mJournal.mPhase == JournalPhase::kOpen;
  if (context.mIsOwner && !aState.mIsLeaving) {
    context.mStartLimit = std::min(TaskStartDeadline(aState.mFollower),
                                   aState.mOwnership.mValidUntil);
  }
  return context;
}

Shard* FindOwnedShard(SchedulerState& aState,
                      const std::string& aShard,
                      TimePoint aNow)
{
  const auto found = aState.mShards.find(aShard);
  if (found == aState.mShards.end()) {
    return nullptr;
  }
  return ContextOf(aState, found->second, aNow).mIsOwner ? &found->second
                                                         : nullptr;
}

std::string FindOwnerAddress(SchedulerState& aState,
                             const std::string& aShard,
                             TimePoint aNow)
{
  const std::string dataCentre = DataCentreOfShard(aShard);
  if (dataCentre == aState.mDataCentre) {
    const auto partition = aState.mOwnership.mPartitions.find(aShard);
    if (partition == aState.mOwnership.mPartitions.end()) {
      return {};
    }
    const auto* member =
      FindNamed(aState.mOwnership.mMembers, partition->second.mOwner);
    return member == nullptr ? "" : member->mPeerAddress;
  }
  auto& remote = aState.mRemote[dataCentre];
  const bool isStale = aNow - remote.mReadAt > kMaxRemoteAge;
  if (isStale && aNow - remote.mRequestedAt > kMaxRemoteAge / 2) {
    StoreRequest request;
    request.mKey = DataCentrePrefix(dataCentre);
    request.mIsPrefix = true;
    remote.mRequestedAt = aNow;
    remote.mCall = PushStoreCall(
      aState.mStore, "remote", StorePriority::kOther, std::move(request));
  }
  const auto found = remote.mOwnerAddresses.find(aShard);
  return found == remote.mOwnerAddresses.end() ? "" : found->second;
}

std::string ChooseShard(const SchedulerState& aState,
                        const JobSpec& aSpec,
                        TimePoint aNow)
{
  const auto& configuration = aState.mFollower.mState.mConfiguration;
  const auto eligible = EligibleDataCentres(aSpec, configuration);
  std::vector<std::string> shards;
  for (const auto& name : eligible) {
    const auto all = ShardsOf(*FindNamed(configuration.mDataCentres, name));
    const bool isHere = name == aState.mDataCentre;
    if (isHere) {
      shards.clear();
    }
    for (const auto& shard : all) {
      const auto own = aState.mShards.find(shard);
      const bool isUsable = !isHere || own == aState.mShards.end() ||
                            ContextOf(aState, own->second, aNow).mIsOwner;
      if (isUsable) {
        shards.push_back(shard);
      }
    }
    if (isHere && !shards.empty()) {
      break;
    }
  }
  std::erase_if(shards, [&](const std::string& aShard) {
    const auto weight = aState.mWeights.find(aShard);
    return weight == aState.mWeights.end() || weight->second == 0;
  });
  std::string best;
  for (const auto& shard : shards) {
    if (best.empty() || RendezvousWeight(aSpec.mName, shard) >
                          RendezvousWeight(aSpec.mName, best)) {
      best = shard;
    }
  }
  return best;
}

} // namespace scheduler

SchedulerState MakeScheduler(const Member& aSelf)
{
  SchedulerState state;
  state.mName = aSelf.mName;
  state.mDataCentre = aSelf.mDataCentre;
  state.mOwnership.mSelf = aSelf;
  state.mOwnership.mSelf.mRole = Role::kScheduler;
  state.mOwnership.mPrefix = DataCentrePrefix(aSelf.mDataCentre);
  return state;
}

std::string ShardOfRack(const DataCentre& aDataCentre, const std::string& aRack)
{
  const auto shards = ShardsOf(aDataCentre);
  std::string best;
  for (const auto& shard : shards) {
    if (best.empty() ||
        RendezvousWeight(aRack, shard) > RendezvousWeight(aRack, best)) {
      best = shard;
    }
  }
  return best;
}

void TickScheduler(SchedulerState& aState, TimePoint aNow)
{
  TickOwnership(aState.mOwnership, aNow, aState.mStore);
  HandleOwnershipEvents(aState, aNow);
  for (auto& [name, shard] : aState.mShards) {
    const auto context = ContextOf(aState, shard, aNow);
    if (!aState.mIsLeaving) {
      PlanShard(shard, context);
      SyncWorkers(shard, context, aState.mNextCall, aState.mWorkerCalls);
    }
    if (context.mIsOwner) {
      TickClaims(aState, shard, aNow);
    }
    FlushShard(aState, shard, aNow);
  }
  TickJobRequests(aState, aNow);
  if (aState.mIsLeaving) {
    ReleaseIdleShards(aState);
  }
}

void OnStoreReply(SchedulerState& aState,
                  const std::string& aRoute,
                  std::uint64_t aCall,
                  const StoreReply& aReply,
                  TimePoint aNow)
{
  constexpr std::string_view kJournalRoutePrefix = "journal/shard/";
  if (aRoute.starts_with(kJournalRoutePrefix)) {
    OnJournalStoreReply(
      aState, aRoute.substr(kJournalRoutePrefix.size()), aCall, aReply, aNow);
  } else if (aRoute == "ownership") {
    OnOwnershipReply(aState.mOwnership, aCall, aReply, aNow, aState.mStore);
    HandleOwnershipEvents(aState, aNow);
  } else if (aRoute == "desk") {
    OnJobRequestStoreReply(aState, aCall, aReply, aNow);
  } else if (aRoute == "claims") {
    OnClaimStoreReply(aState, aCall, aReply, aNow);
  } else if (aRoute == "remote") {
    OnRemoteReply(aState, aCall, aReply, aNow);
  }
}

void OnWorkerReply(SchedulerState& aState,
                   const std::string& aShard,
                   const std::string& aWorker,
                   std::uint64_t aCall,
                   const std::optional<WorkerSyncReply>& aReply,
                   TimePoint aNow)
{
  const auto shard = aState.mShards.find(aShard);
  if (shard == aState.mShards.end()) {
    return;
  }
  const auto worker = shard->second.mWorkers.find(aWorker);
  const bool isAwaited =
    worker != shard->second.mWorkers.end() && worker->second.mSyncCall == aCall;
  if (!isAwaited) {
    ++shard->second.mCounters.mStaleReplies;
    return;
  }
  OnSyncReply(
    shard->second, aWorker, aReply, ContextOf(aState, shard->second, aNow));
}

void OnPeerReply(SchedulerState& aState,
                 std::uint64_t aCall,
                 const std::optional<JobAnswer>& aReply,
                 TimePoint aNow)
{
  OnJobRequestPeerReply(aState, aCall, aReply, aNow);
  OnClaimPeerReply(aState, aCall, aReply, aNow);
}

void OnInstances(SchedulerState& aState,
                 std::vector<Instance> aInstances,
                 TimePoint aNow)
{
  aState.mMaxInstanceCapacity.clear();
  aState.mRacks.clear();
  for (const auto& instance : aInstances) {
    aState.mRacks[instance.mDataCentre].insert(instance.mRack);
    auto& largest = aState.mMaxInstanceCapacity[instance.mDataCentre];
    largest = ElementwiseMax(largest, instance.mCapacity);
  }
  std::erase_if(aInstances, [&](const Instance& aInstance) {
    return aInstance.mDataCentre != aState.mDataCentre;
  });
  aState.mInstances = std::move(aInstances);
  UpdateWeights(aState);
  for (auto& [name, shard] : aState.mShards) {
    const auto instances = InstancesOf(aState, name);
    if (instances && ContextOf(aState, shard, aNow).mIsOwner) {
      UpdateWorkers(shard, *instances, aNow);
    }
  }
}

void OnConfigFeed(SchedulerState& aState,
                  const ConfigFeed& aFeed,
                  TimePoint aSentAt,
                  TimePoint /*aNow*/)
{
  const auto before = RevisionOf(aState.mFollower);
  ApplyFeed(aState.mFollower, aFeed, aSentAt);
  if (RevisionOf(aState.mFollower) != before) {
    UpdatePartitions(aState);
    UpdateWeights(aState);
  }
}

TargetReply HandleTargetRequest(const SchedulerState& aState,
                                const TargetRequest& aRequest,
                                TimePoint aNow)
{
  TargetReply answer;
  for (const auto& entry : aState.mShards) {
    const Shard& shard = entry.second;
    if (shard.mJournal.mPhase != JournalPhase::kOpen) {
      continue;
    }
    const bool isKnown =
      std::any_of(aRequest.mKnown.begin(),
                  aRequest.mKnown.end(),
                  [&](const TableVersion& aKnown) {
                    return aKnown.mShard == shard.mName &&
                           aKnown.mEpoch == shard.mEpoch &&
                           aKnown.mVersion == shard.mTargetVersion;
                  });
    // A new owner publishes a table only once every worker that has tasks has
    // reported them or has missed a synchronization. An incomplete table would
    // remove running targets from the routers.
    const bool isComplete = std::all_of(
      shard.mWorkers.begin(), shard.mWorkers.end(), [](const auto& aEntry) {
        return aEntry.second.mIsInventoried || aEntry.second.mMissedSyncs > 0 ||
               aEntry.second.mTasks.empty();
      });
    if (!isKnown && isComplete) {
      answer.mTables.push_back(TargetsOf(shard, aNow));
    }
  }
  return answer;
}

void LeaveScheduler(SchedulerState& aState, TimePoint aNow)
{
  aState.mIsLeaving = true;
  aState.mOwnership.mIsLeaving = true;
  for (auto& [name, shard] : aState.mShards) {
    if (ContextOf(aState, shard, aNow).mIsOwner) {
      EndUnsentTasks(shard, aNow);
    }
  }
}

bool HasLeft(const SchedulerState& aState)
{
  return aState.mIsLeaving && aState.mShards.empty() &&
         aState.mJobRequests.empty();
}

} // namespace verbenacroft
