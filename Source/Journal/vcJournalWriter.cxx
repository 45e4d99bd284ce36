#include "vcJournal.h"

#include <algorithm>

/// Loading of a journal, and writing of its entries and snapshots.

namespace verbenacroft {

namespace {

/// Delay before a refused or lost call is repeated, in milliseconds.
constexpr Duration kRetryDelay{ 100 };
/// Bytes of entries after which a snapshot is due at the earliest, unless the
/// slots run out.
constexpr std::uint64_t kMinBytesBeforeSnapshot = 64 * 1024;
/// Number of free slots at which a snapshot is due, so that entries can be
/// written while the snapshot is under way.
constexpr std::uint64_t kSlotMargin = 128;

/// Route under which the store's replies return to this journal.
std::string RouteOf(const JournalWriter& aWriter)
{
  return "journal/" + aWriter.mReader.mName;
}

/// Reads the whole journal.
void SendLoad(JournalWriter& aWriter, StoreOutbox& aOut)
{
  StoreRequest request;
  request.mOp = StoreOp::kRead;
  request.mKey = JournalPrefix(aWriter.mReader.mName);
  request.mIsPrefix = true;
  aWriter.mLoadRetryAt.reset();
  aWriter.mLoadCall = PushStoreCall(
    aOut, RouteOf(aWriter), StorePriority::kJournal, std::move(request));
}

/// Writes the entry under way against its expected revision.
void SendWrite(JournalWriter& aWriter, StoreOutbox& aOut)
{
  auto& write = *aWriter.mWrite;
  StoreRequest request;
  request.mOp = StoreOp::kWrite;
  request.mKey = JournalSlotKey(aWriter.mReader.mName, write.mEntry.mIndex);
  request.mValue = Encode(write.mEntry);
  request.mExpectedRevision = write.mExpectedRevision;
  write.mIsVerifying = false;
  write.mRetryAt.reset();
  write.mCall = PushStoreCall(
    aOut, RouteOf(aWriter), StorePriority::kJournal, std::move(request));
}

/// Reads the slot of the entry under way to learn whether its write succeeded.
void SendVerify(JournalWriter& aWriter, StoreOutbox& aOut)
{
  auto& write = *aWriter.mWrite;
  StoreRequest request;
  request.mOp = StoreOp::kRead;
  request.mKey = JournalSlotKey(aWriter.mReader.mName, write.mEntry.mIndex);
  write.mIsVerifying = true;
  write.mRetryAt.reset();
  write.mCall = PushStoreCall(
    aOut, RouteOf(aWriter), StorePriority::kJournal, std::move(request));
}

/// Writes the snapshot against the revision of the one last read.
void SendSnapshot(JournalWriter& aWriter, StoreOutbox& aOut)
{
  StoreRequest request;
  request.mOp = StoreOp::kWrite;
  request.mKey = JournalSnapshotKey(aWriter.mReader.mName);
  request.mValue = Encode(*aWriter.mSnapshot);
  request.mExpectedRevision = aWriter.mReader.mSnapshotRevision;
  aWriter.mSnapshotRetryAt.reset();
  aWriter.mSnapshotCall = PushStoreCall(
    aOut, RouteOf(aWriter), StorePriority::kJournal, std::move(request));
}

/// Starts a write of `aRecords` at the next index.
void StartWrite(JournalWriter& aWriter,
                std::vector<JournalRecord> aRecords,
                std::uint64_t aLastSequence,
                StoreOutbox& aOut)
{
  JournalWrite write;
  write.mEntry.mIndex = aWriter.mReader.mNext;
  write.mExpectedRevision =
    aWriter.mReader.mSlotRevisions[write.mEntry.mIndex % kJournalSlots];
  write.mEntry.mEpoch = aWriter.mEpoch;
  write.mEntry.mChange = aWriter.mWriterName + "-" +
                         std::to_string(aWriter.mEpoch) + "-" +
                         std::to_string(++aWriter.mChanges);
  write.mEntry.mRecords = std::move(aRecords);
  write.mLastSequence = aLastSequence;
  aWriter.mWrite = std::move(write);
  SendWrite(aWriter, aOut);
}

/// True if the slot of the next index may be overwritten, since the last
/// snapshot covers the entry in it.
bool HasFreeSlot(const JournalWriter& aWriter)
{
  const auto& reader = aWriter.mReader;
  return reader.mNext - reader.mSnapshotIndex < kJournalSlots;
}

/// Stops the writer for good; drops its pending records, write and snapshot.
JournalEvent Fence(JournalWriter& aWriter)
{
  aWriter.mPhase = JournalPhase::kFenced;
  aWriter.mWrite.reset();
  aWriter.mSnapshot.reset();
  aWriter.mPending.clear();
  return JournalEvent::kFenced;
}

/// Completes the write; the entry is durable in the slot at `aRevision`.
JournalEvent CompleteWrite(JournalWriter& aWriter, std::uint64_t aRevision)
{
  auto write = std::move(*aWriter.mWrite);
  aWriter.mWrite.reset();
  StoreEntry entry;
  entry.mKey = JournalSlotKey(aWriter.mReader.mName, write.mEntry.mIndex);
  entry.mValue = Encode(write.mEntry);
  entry.mRevision = aRevision;
  auto update = DeliverInOrder(aWriter.mReader, { entry });
  if (aWriter.mSharing == JournalSharing::kShared) {
    aWriter.mUpdates.push_back(std::move(update));
  }
  aWriter.mDurable = std::max(aWriter.mDurable, write.mLastSequence);
  if (aWriter.mPhase == JournalPhase::kLoading) {
    aWriter.mPhase = JournalPhase::kOpen;
    return JournalEvent::kOpened;
  }
  return JournalEvent::kDurable;
}

/// Handles a slot whose entry `aEntry` differs from the one expected before the
/// write: it is the written entry itself or that of another writer.
JournalEvent OnSlotTaken(JournalWriter& aWriter,
                         const StoreEntry& aEntry,
                         StoreOutbox& aOut)
{
  const auto found = TryDecode<JournalEntry>(aEntry.mValue);
  if (found && found->mChange == aWriter.mWrite->mEntry.mChange) {
    return CompleteWrite(aWriter, aEntry.mRevision);
  }
  if (aWriter.mSharing == JournalSharing::kShared) {
    aWriter.mWrite.reset();
    SendLoad(aWriter, aOut);
    return JournalEvent::kIndexTaken;
  }
  const bool isNewer = found && found->mEpoch > aWriter.mEpoch;
  if (aWriter.mPhase == JournalPhase::kLoading && !isNewer) {
    // The former owner wrote another entry after this writer read the journal
    // and before it wrote its epoch.
    aWriter.mWrite.reset();
    SendLoad(aWriter, aOut);
    return JournalEvent::kNone;
  }
  return Fence(aWriter);
}

/// Handles the reply to a read that checks whether a write succeeded.
JournalEvent OnVerifyReply(JournalWriter& aWriter,
                           const StoreReply& aReply,
                           TimePoint aNow,
                           StoreOutbox& aOut)
{
  const auto expected = aWriter.mWrite->mExpectedRevision;
  if (aReply.mStatus == StoreStatus::kOk && !aReply.mEntries.empty() &&
      aReply.mEntries.front().mRevision != expected) {
    return OnSlotTaken(aWriter, aReply.mEntries.front(), aOut);
  }
  const bool isUnchanged = aReply.mStatus == StoreStatus::kOk ||
                           aReply.mStatus == StoreStatus::kNotFound;
  if (isUnchanged) {
    // Send the same entry against the same revision again. At most one of the
    // two writes can take effect.
    SendWrite(aWriter, aOut);
    return JournalEvent::kNone;
  }
  aWriter.mWrite->mRetryAt = aNow + kRetryDelay;
  return JournalEvent::kNone;
}

/// Handles the reply to a write of an entry, or to the check of its outcome.
JournalEvent OnWriteReply(JournalWriter& aWriter,
                          const StoreReply& aReply,
                          TimePoint aNow,
                          StoreOutbox& aOut)
{
  auto& write = *aWriter.mWrite;
  write.mCall = 0;
  if (write.mIsVerifying) {
    return OnVerifyReply(aWriter, aReply, aNow, aOut);
  }
  switch (aReply.mStatus) {
    case StoreStatus::kOk:
      return CompleteWrite(aWriter, aReply.mRevision);
    case StoreStatus::kConflict:
      if (!aReply.mEntries.empty()) {
        return OnSlotTaken(aWriter, aReply.mEntries.front(), aOut);
      }
      SendVerify(aWriter, aOut);
      return JournalEvent::kNone;
    case StoreStatus::kUnknown:
      write.mIsVerifying = true;
      write.mRetryAt = aNow + kRetryDelay;
      return JournalEvent::kNone;
    default:
      write.mRetryAt = aNow + kRetryDelay;
      return JournalEvent::kNone;
  }
}

/// Handles the reply to the read of the whole journal.
JournalEvent OnLoadReply(JournalWriter& aWriter,
                         const StoreReply& aReply,
                         TimePoint aNow,
                         StoreOutbox& aOut)
{
  aWriter.mLoadCall = 0;
  if (aReply.mStatus != StoreStatus::kOk) {
    aWriter.mLoadRetryAt = aNow + kRetryDelay;
    return JournalEvent::kNone;
  }
  aWriter.mUpdates.push_back(DeliverInOrder(aWriter.mReader, aReply.mEntries));
  if (aWriter.mSharing == JournalSharing::kShared) {
    const bool wasLoading = aWriter.mPhase == JournalPhase::kLoading;
    aWriter.mPhase = JournalPhase::kOpen;
    return wasLoading ? JournalEvent::kOpened : JournalEvent::kNone;
  }
  if (aWriter.mReader.mEpoch >= aWriter.mEpoch) {
    return Fence(aWriter);
  }
  StartWrite(aWriter, {}, aWriter.mDurable, aOut);
  return JournalEvent::kNone;
}

/// Handles the reply to the write of a snapshot.
JournalEvent OnSnapshotReply(JournalWriter& aWriter,
                             const StoreReply& aReply,
                             TimePoint aNow)
{
  aWriter.mSnapshotCall = 0;
  auto& reader = aWriter.mReader;
  if (aReply.mStatus == StoreStatus::kOk) {
    reader.mSnapshotRevision = aReply.mRevision;
    reader.mSnapshotIndex = aWriter.mSnapshot->mIndex;
    reader.mSnapshotBytes = Encode(*aWriter.mSnapshot).size();
    reader.mBytesSinceSnapshot = 0;
    aWriter.mSnapshot.reset();
  } else if (aReply.mStatus == StoreStatus::kConflict &&
             !aReply.mEntries.empty()) {
    // The snapshot in the store was written by a former writer, or by this one
    // and the reply was lost. Either covers only committed entries, so it is
    // kept, and the next snapshot is written when it is due.
    DeliverInOrder(reader, { aReply.mEntries.front() });
    aWriter.mSnapshot.reset();
  } else {
    aWriter.mSnapshotRetryAt = aNow + kRetryDelay;
  }
  return JournalEvent::kNone;
}

} // namespace

void OpenJournal(JournalWriter& aWriter,
                 std::uint64_t aEpoch,
                 StoreOutbox& aOut)
{
  aWriter.mEpoch = aEpoch;
  aWriter.mPhase = JournalPhase::kLoading;
  SendLoad(aWriter, aOut);
}

std::uint64_t Append(JournalWriter& aWriter, JournalRecord aRecord)
{
  aWriter.mPending.push_back(std::move(aRecord));
  return ++aWriter.mAppended;
}

bool IsSnapshotDue(const JournalWriter& aWriter)
{
  if (aWriter.mSnapshot) {
    return false;
  }
  const auto& reader = aWriter.mReader;
  const auto entries = reader.mNext - reader.mSnapshotIndex;
  const auto bytes =
    std::max(kMinBytesBeforeSnapshot, 2 * reader.mSnapshotBytes);
  return entries + kSlotMargin >= kJournalSlots ||
         reader.mBytesSinceSnapshot >= bytes;
}

void Flush(JournalWriter& aWriter,
           TimePoint aNow,
           std::optional<JournalRecord> aState,
           StoreOutbox& aOut)
{
  const bool isReady = aWriter.mPhase == JournalPhase::kOpen &&
                       !aWriter.mWrite && !aWriter.mPending.empty() &&
                       HasFreeSlot(aWriter);
  if (!isReady) {
    return;
  }
  std::vector<JournalRecord> records;
  std::size_t bytes = 0;
  while (!aWriter.mPending.empty() && bytes < kJournalEntryBytes) {
    bytes += boost::json::serialize(aWriter.mPending.front()).size();
    records.push_back(std::move(aWriter.mPending.front()));
    aWriter.mPending.pop_front();
  }
  const bool takesAll = aWriter.mPending.empty();
  if (aState && takesAll && !aWriter.mSnapshot) {
    aWriter.mSnapshot =
      JournalSnapshot{ aWriter.mReader.mNext, aWriter.mEpoch, *aState };
  }
  aWriter.mFlushedAt = aNow;
  StartWrite(aWriter,
             std::move(records),
             aWriter.mAppended - aWriter.mPending.size(),
             aOut);
}

void RetryJournal(JournalWriter& aWriter, TimePoint aNow, StoreOutbox& aOut)
{
  if (aWriter.mLoadRetryAt && *aWriter.mLoadRetryAt <= aNow) {
    SendLoad(aWriter, aOut);
  }
  auto& write = aWriter.mWrite;
  if (write && write->mRetryAt && *write->mRetryAt <= aNow) {
    if (write->mIsVerifying) {
      SendVerify(aWriter, aOut);
    } else {
      SendWrite(aWriter, aOut);
    }
  }
  const bool isCommitted =
    aWriter.mSnapshot && aWriter.mSnapshot->mIndex < aWriter.mReader.mNext;
  const bool isDue =
    !aWriter.mSnapshotRetryAt || *aWriter.mSnapshotRetryAt <= aNow;
  if (isCommitted && aWriter.mSnapshotCall == 0 && isDue &&
      aWriter.mPhase == JournalPhase::kOpen) {
    SendSnapshot(aWriter, aOut);
  }
}

JournalEvent OnJournalReply(JournalWriter& aWriter,
                            std::uint64_t aCall,
                            const StoreReply& aReply,
                            TimePoint aNow,
                            StoreOutbox& aOut)
{
  if (aCall == aWriter.mLoadCall) {
    return OnLoadReply(aWriter, aReply, aNow, aOut);
  }
  if (aWriter.mWrite && aCall == aWriter.mWrite->mCall) {
    return OnWriteReply(aWriter, aReply, aNow, aOut);
  }
  if (aWriter.mSnapshot && aCall == aWriter.mSnapshotCall) {
    return OnSnapshotReply(aWriter, aReply, aNow);
  }
  return JournalEvent::kNone;
}

} // namespace verbenacroft
