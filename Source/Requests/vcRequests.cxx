#include "vcRequests.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Prefix of the routes of store replies that belong to the journal of a slot.
constexpr std::string_view kJournalRoute = "journal/keys/";

std::string SlotName(std::uint64_t aIndex)
{
  return "k-" + std::to_string(aIndex);
}

/// True if this router owns the slot and has read its journal.
bool IsUsable(const IdempotencyState& aState,
              const std::string& aSlot,
              TimePoint aNow)
{
  const auto found = aState.mSlots.find(aSlot);
  return found != aState.mSlots.end() && !found->second.mIsLeaseExpired &&
         found->second.mJournal.mPhase == JournalPhase::kOpen &&
         Owns(aState.mOwnership, aSlot, aNow);
}

void QueueReply(IdempotencyState& aState,
                std::uint64_t aTicket,
                KeyAnswer aAnswer)
{
  aState.mReplies.push_back({ aTicket, std::move(aAnswer) });
}

void OpenSlot(IdempotencyState& aState,
              const std::string& aName,
              std::uint64_t aEpoch)
{
  KeySlot slot;
  slot.mJournal.mReader.mName = "keys/" + aName;
  slot.mJournal.mWriterName = aState.mOwnership.mSelf.mName;
  auto& inserted =
    aState.mSlots.insert_or_assign(aName, std::move(slot)).first->second;
  OpenJournal(inserted.mJournal, aEpoch, aState.mStore);
}

void HandleOwnershipEvents(IdempotencyState& aState)
{
  const auto events = std::move(aState.mOwnership.mEvents);
  aState.mOwnership.mEvents.clear();
  for (const auto& event : events) {
    const auto found = aState.mSlots.find(event.mPartition);
    if (event.mKind == OwnershipEventKind::kGained) {
      OpenSlot(aState, event.mPartition, event.mEpoch);
    } else if (event.mKind == OwnershipEventKind::kLost) {
      aState.mSlots.erase(event.mPartition);
    } else if (found != aState.mSlots.end()) {
      found->second.mIsLeaseExpired = true;
    }
  }
}

void AddRecord(KeySlot& aSlot, const KeyRecord& aRecord, TimePoint aNow)
{
  auto& entry = aSlot.mEntries[aRecord.mKey];
  entry.mRecord = aRecord;
  entry.mRecordedAt = aNow;
}

/// Rebuilds the entries of a slot from its journal. Records that cannot be
/// decoded are skipped. The answers are not journaled, so they are lost.
void ReplayKeys(KeySlot& aSlot, TimePoint aNow)
{
  aSlot.mEntries.clear();
  const auto apply = [&](const boost::json::value& aJson) {
    Faults faults;
    KeyRecord record;
    DecodeInto(aJson, "$", record, faults);
    if (faults.empty()) {
      AddRecord(aSlot, record, aNow);
    }
  };
  for (const auto& update : aSlot.mJournal.mUpdates) {
    if (update.mSnapshot && update.mSnapshot->mState.is_array()) {
      aSlot.mEntries.clear();
      for (const auto& json : update.mSnapshot->mState.get_array()) {
        apply(json);
      }
    }
    for (const auto& entry : update.mEntries) {
      for (const auto& json : entry.mRecords) {
        apply(json);
      }
    }
  }
  aSlot.mJournal.mUpdates.clear();
}

/// Removes the keys whose retention has ended and returns the others.
boost::json::value TakeSnapshot(KeySlot& aSlot, TimePoint aNow)
{
  std::erase_if(aSlot.mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mRecordedAt > kKeyRetention;
  });
  boost::json::array records;
  for (const auto& [key, entry] : aSlot.mEntries) {
    records.push_back(EncodeValue(entry.mRecord));
  }
  return records;
}

/// Marks the key of a claim that is past its deadline as refused, unless the
/// same request has claimed it again and still waits.
void MarkRefused(IdempotencyState& aState,
                 std::uint64_t aTicket,
                 const PendingClaim& aPending)
{
  const auto& claim = aPending.mClaim;
  const bool isClaimedAgain = std::any_of(
    aState.mPending.begin(), aState.mPending.end(), [&](const auto& aEntry) {
      const auto& other = aEntry.second.mClaim;
      return aEntry.first != aTicket && other.mKey == claim.mKey &&
             other.mNonce == claim.mNonce;
    });
  auto& entries = aState.mSlots.at(aPending.mSlot).mEntries;
  const auto found = entries.find(claim.mKey);
  if (!isClaimedAgain && found != entries.end() &&
      found->second.mRecord.mNonce == claim.mNonce) {
    found->second.mIsRefused = true;
  }
}

/// Grants the claims whose key is journaled. Claims that are past their
/// deadline or whose slot is not usable any more are answered "unavailable".
void FinishClaims(IdempotencyState& aState, TimePoint aNow)
{
  std::erase_if(aState.mPending, [&](const auto& aEntry) {
    const auto& pending = aEntry.second;
    const bool isUsable = IsUsable(aState, pending.mSlot, aNow);
    if (isUsable && aState.mSlots.at(pending.mSlot).mJournal.mDurable >=
                      pending.mSequence) {
      QueueReply(aState, aEntry.first, { KeyVerdict::kGranted, std::nullopt });
      return true;
    }
    if (!isUsable || aNow >= pending.mDeadline) {
      if (isUsable) {
        MarkRefused(aState, aEntry.first, pending);
      }
      QueueReply(
        aState, aEntry.first, { KeyVerdict::kUnavailable, std::nullopt });
      return true;
    }
    return false;
  });
}

} // namespace

IdempotencyState MakeIdempotencyState(const Member& aSelf)
{
  IdempotencyState state;
  state.mOwnership.mSelf = aSelf;
  state.mOwnership.mSelf.mRole = Role::kRouter;
  state.mOwnership.mPrefix = "keys/";
  std::set<std::string> slots;
  for (std::uint64_t i = 0; i < kKeySlotCount; ++i) {
    slots.insert(SlotName(i));
  }
  SetPartitions(state.mOwnership, slots);
  return state;
}

std::string FindKeySlot(const std::string& aKey)
{
  return SlotName(StableHash(aKey) % kKeySlotCount);
}

std::string FindSlotOwnerAddress(const IdempotencyState& aState,
                                 const std::string& aSlot)
{
  const auto found = aState.mOwnership.mPartitions.find(aSlot);
  if (found == aState.mOwnership.mPartitions.end()) {
    return {};
  }
  for (const auto& member : aState.mOwnership.mMembers) {
    if (member.mName == found->second.mOwner) {
      return member.mPeerAddress;
    }
  }
  return {};
}

std::uint64_t ClaimKey(IdempotencyState& aState,
                       KeyClaim aClaim,
                       TimePoint aNow,
                       Duration aMaxWait)
{
  const auto ticket = aState.mNextTicket++;
  const std::string slotName = FindKeySlot(aClaim.mKey);
  if (!IsUsable(aState, slotName, aNow)) {
    QueueReply(aState, ticket, {});
    return ticket;
  }
  auto& slot = aState.mSlots.at(slotName);
  PendingClaim pending;
  pending.mSlot = slotName;
  pending.mDeadline = aNow + aMaxWait;
  const auto found = slot.mEntries.find(aClaim.mKey);
  const bool isClaimed = found != slot.mEntries.end();
  if (isClaimed) {
    const auto& record = found->second.mRecord;
    if (record.mFingerprint != aClaim.mFingerprint) {
      QueueReply(aState, ticket, { KeyVerdict::kMismatch, std::nullopt });
      return ticket;
    }
    if (record.mNonce != aClaim.mNonce && !found->second.mIsRefused) {
      QueueReply(
        aState, ticket, { KeyVerdict::kDuplicate, found->second.mAnswer });
      return ticket;
    }
  }
  if (isClaimed && found->second.mRecord.mNonce == aClaim.mNonce) {
    found->second.mIsRefused = false;
    pending.mSequence = found->second.mSequence;
  } else {
    const KeyRecord record{ aClaim.mKey, aClaim.mFingerprint, aClaim.mNonce };
    slot.mEntries.erase(aClaim.mKey);
    AddRecord(slot, record, aNow);
    pending.mSequence = Append(slot.mJournal, EncodeValue(record));
    slot.mEntries[aClaim.mKey].mSequence = pending.mSequence;
  }
  pending.mClaim = std::move(aClaim);
  aState.mPending[ticket] = std::move(pending);
  TickIdempotency(aState, aNow);
  return ticket;
}

void RecordKeyResult(IdempotencyState& aState, const KeyResult& aResult)
{
  const auto slot = aState.mSlots.find(FindKeySlot(aResult.mKey));
  if (slot == aState.mSlots.end()) {
    return;
  }
  const auto entry = slot->second.mEntries.find(aResult.mKey);
  const bool isFromHolder = entry != slot->second.mEntries.end() &&
                            entry->second.mRecord.mNonce == aResult.mNonce;
  if (isFromHolder && aResult.mAnswer.mBody.size() <= kMaxStoredAnswerBytes) {
    entry->second.mAnswer = aResult.mAnswer;
  }
}

void TickIdempotency(IdempotencyState& aState, TimePoint aNow)
{
  TickOwnership(aState.mOwnership, aNow, aState.mStore);
  HandleOwnershipEvents(aState);
  for (auto& [name, slot] : aState.mSlots) {
    RetryJournal(slot.mJournal, aNow, aState.mStore);
    std::optional<JournalRecord> snapshot;
    if (!slot.mJournal.mPending.empty() && IsSnapshotDue(slot.mJournal)) {
      snapshot = TakeSnapshot(slot, aNow);
    }
    Flush(slot.mJournal, aNow, std::move(snapshot), aState.mStore);
  }
  FinishClaims(aState, aNow);
}

void OnIdempotencyStoreReply(IdempotencyState& aState,
                             const std::string& aRoute,
                             std::uint64_t aCall,
                             const StoreReply& aReply,
                             TimePoint aNow)
{
  if (!aRoute.starts_with(kJournalRoute)) {
    OnOwnershipReply(aState.mOwnership, aCall, aReply, aNow, aState.mStore);
    HandleOwnershipEvents(aState);
    return;
  }
  const auto found = aState.mSlots.find(aRoute.substr(kJournalRoute.size()));
  if (found == aState.mSlots.end()) {
    return;
  }
  const auto event =
    OnJournalReply(found->second.mJournal, aCall, aReply, aNow, aState.mStore);
  if (event == JournalEvent::kOpened) {
    ReplayKeys(found->second, aNow);
  } else if (event == JournalEvent::kFenced) {
    aState.mSlots.erase(found);
  }
  FinishClaims(aState, aNow);
}

void ReleaseKeySlots(IdempotencyState& aState)
{
  for (const auto& [name, slot] : aState.mSlots) {
    ReleasePartition(aState.mOwnership, name, aState.mStore);
  }
  aState.mSlots.clear();
  aState.mOwnership.mIsLeaving = true;
}

} // namespace verbenacroft
