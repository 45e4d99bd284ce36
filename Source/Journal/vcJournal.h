#pragma once

/// Public header of the Journal library: an ordered log of records kept in a
/// ring of compare-and-swap keys of the platform's store.
///
/// Slot `index % kJournalSlots` holds the entry of that index. An entry is
/// written only against the revision that the writer last saw in its slot,
/// so that one writer wins each index and a former writer fails for good.
/// Slots are reused after a snapshot covers them; nothing is deleted.

#include "vcStore.h"

#include <deque>
#include <optional>

namespace verbenacroft {

/// Number of slots in the ring.
constexpr std::uint64_t kJournalSlots = 1024;

/// Largest payload of one entry, in bytes; far below the store's limit.
constexpr std::size_t kJournalEntryBytes = 128 * 1024;

using JournalRecord = boost::json::value;

/// One committed entry: a group of records.
struct JournalEntry
{
  std::uint64_t mIndex = 0;
  std::uint64_t mEpoch = 0;
  /// Unique for each entry, so that a lost answer is resolved by reading.
  std::string mChange;
  std::vector<JournalRecord> mRecords;
};
BOOST_DESCRIBE_STRUCT(JournalEntry, (), (mIndex, mEpoch, mChange, mRecords))

/// State that replaces all entries up to and including `mIndex`.
struct JournalSnapshot
{
  std::uint64_t mIndex = 0;
  std::uint64_t mEpoch = 0;
  JournalRecord mState;
};
BOOST_DESCRIBE_STRUCT(JournalSnapshot, (), (mIndex, mEpoch, mState))

/// What a reader learned from entries of the store, in order.
struct JournalNews
{
  std::optional<JournalSnapshot> mSnapshot;
  std::vector<JournalEntry> mEntries;
};

/// Reading side: puts entries of the store into order.
struct JournalReader
{
  std::string mName;
  /// Next index to deliver.
  std::uint64_t mNext = 1;
  std::uint64_t mSnapshotIndex = 0;
  std::uint64_t mSnapshotRevision = 0;
  std::uint64_t mSnapshotBytes = 0;
  std::uint64_t mBytesSinceSnapshot = 0;
  std::uint64_t mEpoch = 0;
  std::vector<std::uint64_t> mSlotRevisions =
    std::vector<std::uint64_t>(kJournalSlots, 0);
  std::map<std::uint64_t, JournalEntry> mAhead;
  /// Entries that can't be decoded; none is ever expected.
  std::uint64_t mMalformed = 0;
};

/// Prefix of the journal's keys.
std::string JournalPrefix(const std::string& aName);

/// Key of the slot of `aIndex`.
std::string JournalSlotKey(const std::string& aName, std::uint64_t aIndex);

std::string JournalSnapshotKey(const std::string& aName);

/// Takes entries in any order and returns what is now known in sequence.
JournalNews Absorb(JournalReader& aReader,
                   const std::vector<StoreEntry>& aEntries);

/// True if entries are known beyond a gap: the whole journal must be read.
bool HasGap(const JournalReader& aReader);

enum class JournalPhase
{
  kClosed,
  kLoading,
  kOpen,
  kDeposed,
};

enum class JournalEvent
{
  kNone,
  /// The journal has been read and the writer's epoch is on record.
  kOpened,
  kDurable,
  /// Another writer has a higher epoch; nothing more may be written.
  kDeposed,
  /// Another writer took the index (shared journals only).
  kOvertaken,
};

/// Whether one owner with an epoch writes, or any number of writers.
enum class JournalSharing
{
  kExclusive,
  kShared,
};

struct JournalWrite
{
  std::uint64_t mCall = 0;
  JournalEntry mEntry;
  std::uint64_t mLastSequence = 0;
  /// Revision of the slot when the write was first made; it never changes,
  /// whatever is read meanwhile, so that no other entry is overwritten.
  std::uint64_t mExpectedRevision = 0;
  /// True while the slot is read back to learn what became of the write.
  bool mIsVerifying = false;
  /// When to send again after a refusal; unset while a call is under way.
  std::optional<TimePoint> mRetryAt;
};

struct JournalWriter
{
  JournalReader mReader;
  JournalSharing mSharing = JournalSharing::kExclusive;
  JournalPhase mPhase = JournalPhase::kClosed;
  std::uint64_t mEpoch = 0;
  std::string mWriterName;
  std::uint64_t mChanges = 0;
  std::deque<JournalRecord> mPending;
  std::uint64_t mAppended = 0;
  std::uint64_t mDurable = 0;
  std::uint64_t mLoadCall = 0;
  std::optional<TimePoint> mLoadRetryAt;
  std::optional<JournalWrite> mWrite;
  std::optional<JournalSnapshot> mSnapshot;
  std::uint64_t mSnapshotCall = 0;
  std::optional<TimePoint> mSnapshotRetryAt;
  TimePoint mFlushedAt = kNever;
  /// Everything read since the last `TakeNews`.
  std::vector<JournalNews> mNews;
};

/// Starts reading the journal; an exclusive writer then records its epoch.
void OpenJournal(JournalWriter& aWriter,
                 std::uint64_t aEpoch,
                 StoreOutbox& aOut);

/// Adds a record to the next group.
/// @return its sequence number; durable once `mDurable` reaches it.
std::uint64_t Append(JournalWriter& aWriter, JournalRecord aRecord);

/// True if a snapshot should be given to the next `Flush`.
bool IsSnapshotDue(const JournalWriter& aWriter);

/// Writes the next group unless a write is under way. `aState`, if given, is
/// the state with every appended record applied; it becomes a snapshot.
void Flush(JournalWriter& aWriter,
           TimePoint aNow,
           std::optional<JournalRecord> aState,
           StoreOutbox& aOut);

/// Sends again what was refused or lost.
void RetryJournal(JournalWriter& aWriter, TimePoint aNow, StoreOutbox& aOut);

/// Handles the reply to one of the journal's calls.
JournalEvent OnJournalReply(JournalWriter& aWriter,
                            std::uint64_t aCall,
                            const StoreReply& aReply,
                            TimePoint aNow,
                            StoreOutbox& aOut);

} // namespace verbenacroft
