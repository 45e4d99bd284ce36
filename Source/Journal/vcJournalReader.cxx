#include "vcJournal.h"

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

void AbsorbSnapshot(JournalReader& aReader,
                    const StoreEntry& aEntry,
                    JournalNews& aNews)
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
    aNews.mSnapshot = std::move(*snapshot);
  }
}

void AbsorbSlot(JournalReader& aReader, const StoreEntry& aEntry)
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
    aReader.mAhead.insert_or_assign(index, std::move(*entry));
  }
}

} // namespace

JournalNews Absorb(JournalReader& aReader,
                   const std::vector<StoreEntry>& aEntries)
{
  JournalNews news;
  const std::string prefix = JournalPrefix(aReader.mName);
  const std::string snapshotKey = JournalSnapshotKey(aReader.mName);
  for (const auto& entry : aEntries) {
    if (entry.mKey == snapshotKey) {
      AbsorbSnapshot(aReader, entry, news);
    }
  }
  for (const auto& entry : aEntries) {
    if (entry.mKey.starts_with(prefix) && entry.mKey != snapshotKey) {
      AbsorbSlot(aReader, entry);
    }
  }
  auto& ahead = aReader.mAhead;
  ahead.erase(ahead.begin(), ahead.lower_bound(aReader.mNext));
  while (!ahead.empty() && ahead.begin()->first == aReader.mNext) {
    auto node = ahead.extract(ahead.begin());
    aReader.mEpoch = std::max(aReader.mEpoch, node.mapped().mEpoch);
    news.mEntries.push_back(std::move(node.mapped()));
    ++aReader.mNext;
  }
  return news;
}

bool HasGap(const JournalReader& aReader)
{
  return !aReader.mAhead.empty();
}

} // namespace verbenacroft
