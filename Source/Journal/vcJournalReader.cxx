#include "vcJournal.h"

/// Store keys of a journal, and delivery of its entries in order.

namespace verbenacroft {

std::string JournalPrefix(const std::string& aName)
{
  return "journal/" + aName + "/";
}

std::string JournalSlotKey(const std::string& aName, std::uint64_t aIndex)
{
  return JournalPrefix(aName) + std::to_string(aIndex % kJournalSlots);
}

std::string JournalSnapshotKey(const std::string& aName)
{
  return JournalPrefix(aName) + "snapshot";
}

namespace {

/// Reads a snapshot. It is delivered only if it covers entries that have not
/// been delivered yet.
void ReadSnapshot(JournalReader& aReader,
                  const StoreEntry& aEntry,
                  JournalUpdate& aUpdate)
{
  if (aEntry.mRevision <= aReader.mSnapshotRevision) {
    return;
  }
  auto snapshot = TryDecode<JournalSnapshot>(aEntry.mValue);
  if (!snapshot) {
    ++aReader.mMalformed;
    return;
  }
  aReader.mSnapshotRevision = aEntry.mRevision;
  aReader.mSnapshotIndex = snapshot->mIndex;
  aReader.mSnapshotBytes = aEntry.mValue.size();
  aReader.mBytesSinceSnapshot = 0;
  aReader.mEpoch = std::max(aReader.mEpoch, snapshot->mEpoch);
  if (snapshot->mIndex >= aReader.mNext) {
    aReader.mNext = snapshot->mIndex + 1;
    aUpdate.mSnapshot = std::move(*snapshot);
  }
}

/// Reads the entry of a slot and holds it until it can be delivered in order.
void ReadSlot(JournalReader& aReader, const StoreEntry& aEntry)
{
  auto entry = TryDecode<JournalEntry>(aEntry.mValue);
  if (!entry) {
    ++aReader.mMalformed;
    return;
  }
  auto& revision = aReader.mSlotRevisions[entry->mIndex % kJournalSlots];
  if (aEntry.mRevision <= revision) {
    return;
  }
  revision = aEntry.mRevision;
  if (entry->mIndex >= aReader.mNext) {
    aReader.mBytesSinceSnapshot += aEntry.mValue.size();
    const auto index = entry->mIndex;
    aReader.mUndelivered.insert_or_assign(index, std::move(*entry));
  }
}

} // namespace

JournalUpdate DeliverInOrder(JournalReader& aReader,
                             const std::vector<StoreEntry>& aEntries)
{
  JournalUpdate update;
  const std::string prefix = JournalPrefix(aReader.mName);
  const std::string snapshotKey = JournalSnapshotKey(aReader.mName);
  for (const auto& entry : aEntries) {
    if (entry.mKey == snapshotKey) {
      ReadSnapshot(aReader, entry, update);
    }
  }
  for (const auto& entry : aEntries) {
    if (entry.mKey.starts_with(prefix) && entry.mKey != snapshotKey) {
      ReadSlot(aReader, entry);
    }
  }
  auto& undelivered = aReader.mUndelivered;
  undelivered.erase(undelivered.begin(),
                    undelivered.lower_bound(aReader.mNext));
  while (!undelivered.empty() && undelivered.begin()->first == aReader.mNext) {
    auto node = undelivered.extract(undelivered.begin());
    aReader.mEpoch = std::max(aReader.mEpoch, node.mapped().mEpoch);
    update.mEntries.push_back(std::move(node.mapped()));
    ++aReader.mNext;
  }
  return update;
}

bool HasGap(const JournalReader& aReader)
{
  return !aReader.mUndelivered.empty();
}

} // namespace verbenacroft
