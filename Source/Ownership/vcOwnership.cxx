#include "vcOwnership.h"

#include <algorithm>

namespace verbenacroft {

namespace {

const std::string kRoute = "ownership";
/// A lease call or a scan is repeated if it has no reply after this time.
constexpr Duration kCallTimeout{ 1'500 };

std::string OwnerKey(const OwnershipState& aState, const std::string& aName)
{
  return aState.mPrefix + "owner/" + aName;
}

std::string OwnMemberKey(const OwnershipState& aState)
{
  return aState.mPrefix + "member/" + aState.mSelf.mName;
}

/// Drops the lease, and with it the ownership of every partition and every
/// claim that waits for a reply.
void DropLease(OwnershipState& aState)
{
  aState.mLease = 0;
  aState.mMemberLease = 0;
  for (auto& [name, partition] : aState.mPartitions) {
    if (partition.mEpoch != 0) {
      aState.mEvents.push_back(
        { OwnershipEventKind::kExpired, name, partition.mEpoch });
      partition.mEpoch = 0;
    }
    partition.mClaimCall = 0;
    partition.mVacantSince.reset();
  }
}

void SendLease(OwnershipState& aState, TimePoint aNow, StoreOutbox& aOut)
{
  StoreRequest request;
  aState.mIsGranting = aState.mLease == 0;
  request.mOp =
    aState.mIsGranting ? StoreOp::kLeaseGrant : StoreOp::kLeaseRenew;
  request.mLease = aState.mLease;
  request.mTtl = aState.mSettings.mTtl;
  aState.mLeaseSentAt = aNow;
  aState.mLeaseCall =
    PushStoreCall(aOut, kRoute, StorePriority::kLease, std::move(request));
}

void SendMember(OwnershipState& aState, StoreOutbox& aOut)
{
  StoreRequest request;
  request.mOp = StoreOp::kWrite;
  request.mKey = OwnMemberKey(aState);
  Member self = aState.mSelf;
  self.mIsLeaving = aState.mIsLeaving;
  request.mValue = Encode(self);
  request.mExpectedRevision = aState.mMemberRevision;
  request.mLease = aState.mLease;
  aState.mMemberLeavingWritten = aState.mIsLeaving;
  aState.mMemberCall =
    PushStoreCall(aOut, kRoute, StorePriority::kOther, std::move(request));
}

void SendScan(OwnershipState& aState, TimePoint aNow, StoreOutbox& aOut)
{
  StoreRequest request;
  request.mOp = StoreOp::kRead;
  request.mKey = aState.mPrefix;
  request.mIsPrefix = true;
  aState.mScanSentAt = aNow;
  aState.mScanCall =
    PushStoreCall(aOut, kRoute, StorePriority::kLease, std::move(request));
}

/// Sends a claim. Its expected revision is 0, so it succeeds only if the
/// partition has no owner.
void SendClaim(OwnershipState& aState,
               const std::string& aName,
               Partition& aPartition,
               StoreOutbox& aOut)
{
  OwnerRecord record;
  record.mOwner = aState.mSelf.mName;
  record.mChange = record.mOwner + "-" + std::to_string(aState.mLease) + "-" +
                   std::to_string(++aState.mChanges);
  aPartition.mChange = record.mChange;
  StoreRequest request;
  request.mOp = StoreOp::kWrite;
  request.mKey = OwnerKey(aState, aName);
  request.mValue = Encode(record);
  request.mLease = aState.mLease;
  aPartition.mClaimCall =
    PushStoreCall(aOut, kRoute, StorePriority::kLease, std::move(request));
}

/// Rank of this process among the candidates for `aName`; 0 is the first.
std::size_t RankOf(const OwnershipState& aState, const std::string& aName)
{
  const auto ownWeight = RendezvousWeight(aName, aState.mSelf.mName);
  return static_cast<std::size_t>(std::count_if(
    aState.mMembers.begin(), aState.mMembers.end(), [&](const Member& aOther) {
      return aOther.mRole == aState.mSelf.mRole && !aOther.mIsLeaving &&
             aOther.mName != aState.mSelf.mName &&
             RendezvousWeight(aName, aOther.mName) > ownWeight;
    }));
}

/// Claims partitions without an owner. The first candidate claims immediately,
/// and each further one after an additional delay, so that candidates rarely
/// compete.
void ClaimVacant(OwnershipState& aState, TimePoint aNow, StoreOutbox& aOut)
{
  for (auto& [name, partition] : aState.mPartitions) {
    if (!partition.mVacantSince || partition.mClaimCall != 0 ||
        partition.mEpoch != 0) {
      continue;
    }
    const auto delay = aState.mSettings.mTakeoverDelayPerRank *
                       static_cast<Duration::rep>(RankOf(aState, name));
    if (aNow - *partition.mVacantSince >= delay) {
      SendClaim(aState, name, partition, aOut);
    }
  }
}

void GainOwnership(OwnershipState& aState,
                   const std::string& aName,
                   Partition& aPartition,
                   std::uint64_t aEpoch)
{
  aPartition.mEpoch = aEpoch;
  aPartition.mOwner = aState.mSelf.mName;
  aPartition.mOwnerRevision = aEpoch;
  aPartition.mVacantSince.reset();
  aState.mEvents.push_back({ OwnershipEventKind::kGained, aName, aEpoch });
}

void LoseOwnership(OwnershipState& aState,
                   const std::string& aName,
                   Partition& aPartition)
{
  aState.mEvents.push_back(
    { OwnershipEventKind::kLost, aName, aPartition.mEpoch });
  aPartition.mEpoch = 0;
}

void OnLeaseReply(OwnershipState& aState, const StoreReply& aReply)
{
  aState.mLeaseCall = 0;
  if (aReply.mStatus == StoreStatus::kOk) {
    if (aState.mIsGranting) {
      aState.mLease = aReply.mLease;
    }
    aState.mValidUntil =
      aState.mLeaseSentAt + aState.mSettings.mTtl - aState.mSettings.mMargin;
  } else if (aReply.mStatus == StoreStatus::kNotFound) {
    aState.mValidUntil = kNever;
    DropLease(aState);
  }
}

void OnMemberReply(OwnershipState& aState, const StoreReply& aReply)
{
  aState.mMemberCall = 0;
  if (aReply.mStatus == StoreStatus::kOk) {
    aState.mMemberRevision = aReply.mRevision;
    aState.mMemberLease = aState.mLease;
  } else if (aReply.mStatus == StoreStatus::kConflict) {
    aState.mMemberRevision =
      aReply.mEntries.empty() ? 0 : aReply.mEntries.front().mRevision;
  }
}

void ApplyOwner(OwnershipState& aState,
                const std::string& aName,
                const StoreEntry* aEntry,
                TimePoint aNow)
{
  auto& partition = aState.mPartitions[aName];
  if (aEntry == nullptr) {
    // The epoch is kept: a key that was created after the read was sent is
    // missing from the reply.
    partition.mOwner.clear();
    if (!partition.mVacantSince && partition.mEpoch == 0) {
      partition.mVacantSince = aNow;
    }
    return;
  }
  const auto record = TryDecode<OwnerRecord>(aEntry->mValue);
  partition.mOwner = record ? record->mOwner : "";
  partition.mOwnerRevision = aEntry->mRevision;
  partition.mVacantSince.reset();
  const bool isOurs = record && record->mOwner == aState.mSelf.mName &&
                      aEntry->mLease == aState.mLease && aState.mLease != 0;
  if (partition.mEpoch != 0 && aEntry->mRevision > partition.mEpoch) {
    LoseOwnership(aState, aName, partition);
  } else if (partition.mEpoch == 0 && isOurs && partition.mClaimCall == 0 &&
             record->mChange == partition.mChange) {
    // The reply to the claim was lost, but the read shows that it succeeded.
    GainOwnership(aState, aName, partition, aEntry->mRevision);
  }
}

void OnScanReply(OwnershipState& aState,
                 const StoreReply& aReply,
                 TimePoint aNow)
{
  aState.mScanCall = 0;
  if (aReply.mStatus != StoreStatus::kOk) {
    return;
  }
  aState.mScannedAt = aState.mScanSentAt;
  std::map<std::string, const StoreEntry*> owners;
  std::vector<Member> members;
  const std::string ownerPrefix = aState.mPrefix + "owner/";
  const std::string memberPrefix = aState.mPrefix + "member/";
  for (const auto& entry : aReply.mEntries) {
    if (entry.mKey.starts_with(ownerPrefix)) {
      owners[entry.mKey.substr(ownerPrefix.size())] = &entry;
    } else if (entry.mKey.starts_with(memberPrefix)) {
      const auto member = TryDecode<Member>(entry.mValue);
      if (member) {
        members.push_back(*member);
      }
    }
  }
  aState.mMembers = std::move(members);
  for (auto& [name, partition] : aState.mPartitions) {
    const auto found = owners.find(name);
    ApplyOwner(
      aState, name, found == owners.end() ? nullptr : found->second, aNow);
  }
}

void OnClaimReply(OwnershipState& aState,
                  const std::string& aName,
                  Partition& aPartition,
                  const StoreReply& aReply)
{
  aPartition.mClaimCall = 0;
  if (aReply.mStatus == StoreStatus::kOk) {
    GainOwnership(aState, aName, aPartition, aReply.mRevision);
    return;
  }
  // The claim was refused, another process owns the partition, or the outcome
  // is unknown; the next scan shows the owner.
  aPartition.mVacantSince.reset();
}

} // namespace

void SetPartitions(OwnershipState& aState,
                   const std::set<std::string>& aPartitions)
{
  for (const auto& name : aPartitions) {
    aState.mPartitions.try_emplace(name);
  }
  for (auto it = aState.mPartitions.begin(); it != aState.mPartitions.end();) {
    const bool isRemoved = !aPartitions.contains(it->first);
    if (isRemoved && it->second.mEpoch == 0) {
      it = aState.mPartitions.erase(it);
    } else {
      ++it;
    }
  }
}

bool HoldsLease(const OwnershipState& aState, TimePoint aNow)
{
  return aState.mLease != 0 && aNow < aState.mValidUntil;
}

bool Owns(const OwnershipState& aState,
          const std::string& aPartition,
          TimePoint aNow)
{
  const auto found = aState.mPartitions.find(aPartition);
  return found != aState.mPartitions.end() && found->second.mEpoch != 0 &&
         HoldsLease(aState, aNow);
}

void TickOwnership(OwnershipState& aState, TimePoint aNow, StoreOutbox& aOut)
{
  if (aState.mLease != 0 && aNow >= aState.mValidUntil) {
    DropLease(aState);
  }
  const auto& settings = aState.mSettings;
  const bool hasLeaseCallTimedOut =
    aState.mLeaseCall != 0 && aNow - aState.mLeaseSentAt > kCallTimeout;
  if ((aState.mLeaseCall == 0 || hasLeaseCallTimedOut) &&
      aNow - aState.mLeaseSentAt >= settings.mRenewInterval) {
    SendLease(aState, aNow, aOut);
  }
  const bool hasScanTimedOut =
    aState.mScanCall != 0 && aNow - aState.mScanSentAt > kCallTimeout;
  if ((aState.mScanCall == 0 || hasScanTimedOut) &&
      aNow - aState.mScanSentAt >= settings.mScanInterval) {
    SendScan(aState, aNow, aOut);
  }
  if (!HoldsLease(aState, aNow)) {
    return;
  }
  const bool isMemberStale =
    aState.mMemberLease != aState.mLease ||
    (aState.mIsLeaving && !aState.mMemberLeavingWritten);
  if (aState.mMemberCall == 0 && isMemberStale) {
    SendMember(aState, aOut);
  }
  if (!aState.mIsLeaving && aState.mScannedAt != kNever) {
    ClaimVacant(aState, aNow, aOut);
  }
}

void OnOwnershipReply(OwnershipState& aState,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow,
                      StoreOutbox& /*aOut*/)
{
  if (aCall == aState.mLeaseCall) {
    OnLeaseReply(aState, aReply);
  } else if (aCall == aState.mMemberCall) {
    OnMemberReply(aState, aReply);
  } else if (aCall == aState.mScanCall) {
    OnScanReply(aState, aReply, aNow);
  } else {
    for (auto& [name, partition] : aState.mPartitions) {
      if (partition.mClaimCall == aCall) {
        OnClaimReply(aState, name, partition, aReply);
        break;
      }
    }
  }
}

void ReleasePartition(OwnershipState& aState,
                      const std::string& aPartition,
                      StoreOutbox& aOut)
{
  auto& partition = aState.mPartitions[aPartition];
  if (partition.mEpoch == 0) {
    return;
  }
  StoreRequest request;
  request.mOp = StoreOp::kErase;
  request.mKey = OwnerKey(aState, aPartition);
  request.mExpectedRevision = partition.mEpoch;
  PushStoreCall(aOut, kRoute, StorePriority::kLease, std::move(request));
  LoseOwnership(aState, aPartition, partition);
}

void LeaveOwnership(OwnershipState& aState, StoreOutbox& aOut)
{
  aState.mIsLeaving = true;
  for (auto& [name, partition] : aState.mPartitions) {
    ReleasePartition(aState, name, aOut);
  }
}

} // namespace verbenacroft
