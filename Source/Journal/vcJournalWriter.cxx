#include "vcJournal.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kRetryDelay{ 100 };
constexpr std::uint64_t kMinBytesBeforeSnapshot = 64 * 1024;
/// Slots that stay free for entries written while a snapshot is under way.
constexpr std::uint64_t kSlotMargin = 128;

std::string RouteOf(const JournalWriter& aWriter)
{
  return "journal/" + aWriter.mReader.mName;
}

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

bool HasRoom(const JournalWriter& aWriter)
{
  const auto& reader = aWriter.mReader;
  return reader.mNext - reader.mSnapshotIndex < kJournalSlots;
}

JournalEvent Depose(JournalWriter& aWriter)
{
  aWriter.mPhase = JournalPhase::kDeposed;
  aWriter.mWrite.reset();
  aWriter.mSnapshot.reset();
  aWriter.mPending.clear();
  return JournalEvent::kDeposed;
}

/// The written entry is durable at `aRevision`.
JournalEvent Complete(JournalWriter& aWriter, std::uint64_t aRevision)
{
  auto write = std::move(*aWriter.mWrite);
  aWriter.mWrite.reset();
  StoreEntry entry;
  entry.mKey = JournalSlotKey(aWriter.mReader.mName, write.mEntry.mIndex);
  entry.mValue = Encode(write.mEntry);
  entry.mRevision = aRevision;
  auto news = Absorb(aWriter.mReader, { entry });
  if (aWriter.mSharing == JournalSharing::kShared) {
    aWriter.mNews.push_back(std::move(news));
  }
  aWriter.mDurable = std::max(aWriter.mDurable, write.mLastSequence);
  if (aWriter.mPhase == JournalPhase::kLoading) {
    aWriter.mPhase = JournalPhase::kOpen;
    return JournalEvent::kOpened;
  }
  return JournalEvent::kDurable;
}

/// The slot holds `aEntry`, which is not what was expected before the write.
JournalEvent OnSlotTaken(JournalWriter& aWriter,
                         const StoreEntry& aEntry,
                         StoreOutbox& aOut)
{
  const auto found = TryDecode<JournalEntry>(aEntry.mValue);
  if (found && found->mChange == aWriter.mWrite->mEntry.mChange) {
    return Complete(aWriter, aEntry.mRevision);
  }
  if (aWriter.mSharing == JournalSharing::kShared) {
    aWriter.mWrite.reset();
    SendLoad(aWriter, aOut);
    return JournalEvent::kOvertaken;
  }
  const bool isNewer = found && found->mEpoch > aWriter.mEpoch;
  if (aWriter.mPhase == JournalPhase::kLoading && !isNewer) {
    // The former owner wrote once more between our read and our claim.
    aWriter.mWrite.reset();
    SendLoad(aWriter, aOut);
    return JournalEvent::kNone;
  }
  return Depose(aWriter);
}

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
    // The same change is sent again: only one of the two can take effect.
    SendWrite(aWriter, aOut);
    return JournalEvent::kNone;
  }
  aWriter.mWrite->mRetryAt = aNow + kRetryDelay;
  return JournalEvent::kNone;
}

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
      return Complete(aWriter, aReply.mRevision);
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
  aWriter.mNews.push_back(Absorb(aWriter.mReader, aReply.mEntries));
  if (aWriter.mSharing == JournalSharing::kShared) {
    const bool wasLoading = aWriter.mPhase == JournalPhase::kLoading;
    aWriter.mPhase = JournalPhase::kOpen;
    return wasLoading ? JournalEvent::kOpened : JournalEvent::kNone;
  }
  if (aWriter.mReader.mEpoch >= aWriter.mEpoch) {
    return Depose(aWriter);
  }
  StartWrite(aWriter, {}, aWriter.mDurable, aOut);
  return JournalEvent::kNone;
}

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
    // A snapshot of a former writer, or our own whose answer was lost.
    // Each covers a committed prefix; the next one is due soon enough.
    Absorb(reader, { aReply.mEntries.front() });
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
                       HasRoom(aWriter);
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
  const bool isAll = aWriter.mPending.empty();
  if (aState && isAll && !aWriter.mSnapshot) {
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
  const bool isCovered =
    aWriter.mSnapshot && aWriter.mSnapshot->mIndex < aWriter.mReader.mNext;
  const bool isDue =
    !aWriter.mSnapshotRetryAt || *aWriter.mSnapshotRetryAt <= aNow;
  if (isCovered && aWriter.mSnapshotCall == 0 && isDue &&
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
