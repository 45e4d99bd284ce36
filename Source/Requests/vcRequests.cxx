#include "vcRequests.h"

namespace verbenacroft {

namespace {

constexpr Duration kClaimLimit{ 1'000 };
constexpr std::string_view kJournalRoute = "journal/keys/";

std::string SlotName(std::uint64_t aIndex)
{
  return "k-" + std::to_string(aIndex);
}

bool IsUsable(const KeysState& aState, const std::string& aSlot, TimePoint aNow)
{
  const auto found = aState.mSlots.find(aSlot);
  return found != aState.mSlots.end() && !found->second.mIsLapsed &&
         found->second.mJournal.mPhase == JournalPhase::kOpen &&
         Owns(aState.mOwnership, aSlot, aNow);
}

void Reply(KeysState& aState, std::uint64_t aTicket, KeyAnswer aAnswer)
{
  aState.mReplies.push_back({ aTicket, std::move(aAnswer) });
}

void OpenSlot(KeysState& aState, const std::string& aName, std::uint64_t aEpoch)
{
  KeySlot slot;
  slot.mJournal.mReader.mName = "keys/" + aName;
  slot.mJournal.mWriterName = aState.mOwnership.mSelf.mName;
  auto& placed =
    aState.mSlots.insert_or_assign(aName, std::move(slot)).first->second;
  OpenJournal(placed.mJournal, aEpoch, aState.mStore);
}

void HandleEvents(KeysState& aState)
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
      found->second.mIsLapsed = true;
    }
  }
}

void AddRecord(KeySlot& aSlot, const KeyRecord& aRecord, TimePoint aNow)
{
  auto& entry = aSlot.mEntries[aRecord.mKey];
  entry.mRecord = aRecord;
  entry.mSeenAt = aNow;
}

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
  for (const auto& news : aSlot.mJournal.mNews) {
    if (news.mSnapshot && news.mSnapshot->mState.is_array()) {
      aSlot.mEntries.clear();
      for (const auto& json : news.mSnapshot->mState.get_array()) {
        apply(json);
      }
    }
    for (const auto& entry : news.mEntries) {
      for (const auto& json : entry.mRecords) {
        apply(json);
      }
    }
  }
  aSlot.mJournal.mNews.clear();
}

boost::json::value SnapshotOf(KeySlot& aSlot, TimePoint aNow)
{
  std::erase_if(aSlot.mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSeenAt > kKeyRetention;
  });
  boost::json::array records;
  for (const auto& [key, entry] : aSlot.mEntries) {
    records.push_back(EncodeValue(entry.mRecord));
  }
  return records;
}

void SettleClaims(KeysState& aState, TimePoint aNow)
{
  std::erase_if(aState.mPending, [&](const auto& aEntry) {
    const auto& pending = aEntry.second;
    const bool isUsable = IsUsable(aState, pending.mSlot, aNow);
    if (isUsable && aState.mSlots.at(pending.mSlot).mJournal.mDurable >=
                      pending.mSequence) {
      Reply(aState, aEntry.first, { KeyVerdict::kGranted, std::nullopt });
      return true;
    }
    if (!isUsable || aNow >= pending.mDeadline) {
      Reply(aState, aEntry.first, { KeyVerdict::kUnavailable, std::nullopt });
      return true;
    }
    return false;
  });
}

} // namespace

KeysState MakeKeys(const Member& aSelf)
{
  KeysState state;
  state.mOwnership.mSelf = aSelf;
  state.mOwnership.mSelf.mRole = Role::kRouter;
  state.mOwnership.mPrefix = "keys/";
  std::set<std::string> slots;
  for (std::uint64_t i = 0; i < kKeySlots; ++i) {
    slots.insert(SlotName(i));
  }
  SetPartitions(state.mOwnership, slots);
  return state;
}

std::string SlotOfKey(const std::string& aKey)
{
  return SlotName(StableHash(aKey) % kKeySlots);
}

std::string AddressOfSlot(const KeysState& aState, const std::string& aSlot)
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

std::uint64_t ClaimKey(KeysState& aState, KeyClaim aClaim, TimePoint aNow)
{
  const auto ticket = aState.mNextTicket++;
  const std::string slotName = SlotOfKey(aClaim.mKey);
  if (!IsUsable(aState, slotName, aNow)) {
    Reply(aState, ticket, {});
    return ticket;
  }
  auto& slot = aState.mSlots.at(slotName);
  PendingClaim pending;
  pending.mSlot = slotName;
  pending.mDeadline = aNow + kClaimLimit;
  const auto found = slot.mEntries.find(aClaim.mKey);
  if (found != slot.mEntries.end()) {
    const auto& record = found->second.mRecord;
    if (record.mFingerprint != aClaim.mFingerprint) {
      Reply(aState, ticket, { KeyVerdict::kMismatch, std::nullopt });
      return ticket;
    }
    if (record.mNonce != aClaim.mNonce) {
      Reply(aState, ticket, { KeyVerdict::kDuplicate, found->second.mAnswer });
      return ticket;
    }
    pending.mSequence = found->second.mSequence;
  } else {
    const KeyRecord record{ aClaim.mKey, aClaim.mFingerprint, aClaim.mNonce };
    AddRecord(slot, record, aNow);
    pending.mSequence = Append(slot.mJournal, EncodeValue(record));
    slot.mEntries[aClaim.mKey].mSequence = pending.mSequence;
  }
  pending.mClaim = std::move(aClaim);
  aState.mPending[ticket] = std::move(pending);
  TickKeys(aState, aNow);
  return ticket;
}

void NoteKeyResult(KeysState& aState, const KeyResult& aResult)
{
  const auto slot = aState.mSlots.find(SlotOfKey(aResult.mKey));
  if (slot == aState.mSlots.end()) {
    return;
  }
  const auto entry = slot->second.mEntries.find(aResult.mKey);
  const bool isOwn = entry != slot->second.mEntries.end() &&
                     entry->second.mRecord.mNonce == aResult.mNonce;
  if (isOwn && aResult.mAnswer.mBody.size() <= kKeptAnswerBytes) {
    entry->second.mAnswer = aResult.mAnswer;
  }
}

void TickKeys(KeysState& aState, TimePoint aNow)
{
  TickOwnership(aState.mOwnership, aNow, aState.mStore);
  HandleEvents(aState);
  for (auto& [name, slot] : aState.mSlots) {
    RetryJournal(slot.mJournal, aNow, aState.mStore);
    std::optional<JournalRecord> snapshot;
    if (!slot.mJournal.mPending.empty() && IsSnapshotDue(slot.mJournal)) {
      snapshot = SnapshotOf(slot, aNow);
    }
    Flush(slot.mJournal, aNow, std::move(snapshot), aState.mStore);
  }
  SettleClaims(aState, aNow);
}

void OnKeysStoreReply(KeysState& aState,
                      const std::string& aRoute,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow)
{
  if (!aRoute.starts_with(kJournalRoute)) {
    OnOwnershipReply(aState.mOwnership, aCall, aReply, aNow, aState.mStore);
    HandleEvents(aState);
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
  } else if (event == JournalEvent::kDeposed) {
    aState.mSlots.erase(found);
  }
  SettleClaims(aState, aNow);
}

void LeaveKeys(KeysState& aState)
{
  for (const auto& [name, slot] : aState.mSlots) {
    ReleasePartition(aState.mOwnership, name, aState.mStore);
  }
  aState.mSlots.clear();
  aState.mOwnership.mIsLeaving = true;
}

} // namespace verbenacroft
