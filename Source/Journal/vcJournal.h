#pragma once

/// Public header of the Journal library: an ordered log of records, stored in a
/// ring buffer of keys (slots) in the platform's store.
///
/// Slot `index % kJournalSlots` holds the entry with that index. Entries are
/// written by compare-and-swap: a write succeeds only if the slot still has the
/// revision that the writer last read. Therefore only one writer succeeds
/// for each index, and a former owner of an exclusive journal can never write
/// again. A slot is reused once a snapshot covers its entry; no key is ever
/// deleted.

#include "vcStore.h"

#include <deque>
#include <optional>

namespace verbenacroft {

/// Number of slots in the ring.
constexpr std::uint64_t kJournalSlots = 1024;

/// An entry takes no further record once its records have this size in bytes;
/// far below the limit of the store.
constexpr std::size_t kJournalEntryBytes = 128 * 1024;

/// One record; its content is up to the user of the journal.
using JournalRecord = boost::json::value;

/// A group of records that is committed as one entry.
struct JournalEntry
{
  std::uint64_t mIndex = 0;
  std::uint64_t mEpoch = 0;
  /// Unique id of the entry. If the reply to a write is lost, the writer reads
  /// the slot and compares the id to learn whether the write succeeded.
  std::string mChange;
  std::vector<JournalRecord> mRecords;
};
BOOST_DESCRIBE_STRUCT(JournalEntry, (), (mIndex, mEpoch, mChange, mRecords))

/// State after all entries up to and including `mIndex`, which it replaces.
struct JournalSnapshot
{
  std::uint64_t mIndex = 0;
  std::uint64_t mEpoch = 0;
  JournalRecord mState;
};
BOOST_DESCRIBE_STRUCT(JournalSnapshot, (), (mIndex, mEpoch, mState))

/// Snapshot and entries that a reader delivers, in order. The snapshot, if any,
/// replaces everything delivered before; the entries follow it.
struct JournalUpdate
{
  std::optional<JournalSnapshot> mSnapshot;
  std::vector<JournalEntry> mEntries;
};

/// Reading side of a journal: delivers entries of the store in the order of
/// their indexes.
struct JournalReader
{
  /// Name of the journal.
  std::string mName;
  /// Next index to deliver.
  std::uint64_t mNext = 1;
  /// Index, store revision and size in bytes of the latest snapshot.
  std::uint64_t mSnapshotIndex = 0;
  std::uint64_t mSnapshotRevision = 0;
  std::uint64_t mSnapshotBytes = 0;
  /// Bytes of the entries read since the latest snapshot.
  std::uint64_t mBytesSinceSnapshot = 0;
  /// Highest epoch of the snapshot and the delivered entries.
  std::uint64_t mEpoch = 0;
  /// Latest store revision known of each slot; 0 if none is known.
  std::vector<std::uint64_t> mSlotRevisions =
    std::vector<std::uint64_t>(kJournalSlots, 0);
  /// Entries beyond a gap, by index; delivered once the gap is filled.
  std::map<std::uint64_t, JournalEntry> mUndelivered;
  /// Number of entries and snapshots that could not be decoded; 0 is expected.
  std::uint64_t mMalformed = 0;
};

/// Prefix of the store keys of the journal `aName`.
std::string JournalPrefix(const std::string& aName);

/// Store key of the slot for the entry with the index `aIndex`.
std::string JournalSlotKey(const std::string& aName, std::uint64_t aIndex);

/// Store key of the journal's snapshot.
std::string JournalSnapshotKey(const std::string& aName);

/// Accepts store entries in any order and returns the snapshot and the entries
/// that can now be delivered in order. Keys of other journals are ignored.
JournalUpdate DeliverInOrder(JournalReader& aReader,
                             const std::vector<StoreEntry>& aEntries);

/// True if an entry is missing before one that was read. The whole journal must
/// then be read.
bool HasGap(const JournalReader& aReader);

/// Phase of a writer; records are written only while it is open.
enum class JournalPhase
{
  kClosed,
  kLoading,
  kOpen,
  /// Another writer has a higher epoch; nothing more may be written.
  kFenced,
};

/// Result of a reply from the store.
enum class JournalEvent
{
  kNone,
  /// The journal has been read; an exclusive writer has also written an entry
  /// with its epoch.
  kOpened,
  /// A group of records is durable.
  kDurable,
  /// Another writer has a higher epoch; nothing more may be written.
  kFenced,
  /// Another writer wrote an entry at this index first (shared journals only).
  /// The records of the group are dropped and the journal is read again.
  kIndexTaken,
};

/// Who may write: the one owner with the highest epoch (exclusive), or any
/// number of writers at the same time (shared).
enum class JournalSharing
{
  kExclusive,
  kShared,
};

/// The write of one entry that is under way.
struct JournalWrite
{
  /// Call to the store that is under way, or 0.
  std::uint64_t mCall = 0;
  JournalEntry mEntry;
  /// Sequence number of the last record in this entry or an earlier one.
  std::uint64_t mLastSequence = 0;
  /// Revision of the slot when the write was first sent. It is not updated by
  /// later reads, so that a retry never overwrites another writer's entry.
  std::uint64_t mExpectedRevision = 0;
  /// True while the slot is read back to learn whether the write succeeded.
  bool mIsVerifying = false;
  /// When to retry after a refusal or an unknown outcome; unset while a call is
  /// under way.
  std::optional<TimePoint> mRetryAt;
};

/// Writing side of a journal. Sequence numbers count the records that this
/// writer has appended, from 1.
struct JournalWriter
{
  JournalReader mReader;
  JournalSharing mSharing = JournalSharing::kExclusive;
  JournalPhase mPhase = JournalPhase::kClosed;
  std::uint64_t mEpoch = 0;
  /// Name of the writer's process; part of the entries' unique ids.
  std::string mWriterName;
  /// Number of entries this writer has started to write; part of their ids.
  std::uint64_t mChanges = 0;
  /// Records that are not yet part of an entry.
  std::deque<JournalRecord> mPending;
  /// Sequence number of the last appended record.
  std::uint64_t mAppended = 0;
  /// Sequence number of the last durable record.
  std::uint64_t mDurable = 0;
  /// Call that reads the whole journal and is under way, or 0.
  std::uint64_t mLoadCall = 0;
  std::optional<TimePoint> mLoadRetryAt;
  /// Write of an entry that is under way; one at a time.
  std::optional<JournalWrite> mWrite;
  /// Snapshot that is not written yet.
  std::optional<JournalSnapshot> mSnapshot;
  /// Call that writes the snapshot and is under way, or 0.
  std::uint64_t mSnapshotCall = 0;
  std::optional<TimePoint> mSnapshotRetryAt;
  /// When the last write of an entry was started by `Flush`.
  TimePoint mFlushedAt = kNever;
  /// Updates delivered by the reader; the user of the journal clears them after
  /// applying them. An exclusive writer's own entries are not included.
  std::vector<JournalUpdate> mUpdates;
};

/// Starts reading the journal. An exclusive writer then writes an entry with
/// its epoch, so that writers with lower epochs are fenced.
void OpenJournal(JournalWriter& aWriter,
                 std::uint64_t aEpoch,
                 StoreOutbox& aOut);

/// Adds a record to the next group.
/// @return its sequence number; durable once `mDurable` reaches it.
std::uint64_t Append(JournalWriter& aWriter, JournalRecord aRecord);

/// True if the next call of `Flush` should be given a snapshot.
bool IsSnapshotDue(const JournalWriter& aWriter);

/// Writes the next group of pending records, unless a write is under way, the
/// journal is not open or no slot is free. `aState`, if given, is the state
/// with every appended record applied. It becomes a snapshot if the group
/// contains all pending records and no other snapshot waits to be written.
void Flush(JournalWriter& aWriter,
           TimePoint aNow,
           std::optional<JournalRecord> aState,
           StoreOutbox& aOut);

/// Repeats refused and lost calls that are due, and writes a snapshot once the
/// entries that it covers are committed.
void RetryJournal(JournalWriter& aWriter, TimePoint aNow, StoreOutbox& aOut);

/// Handles the store's reply to one of the journal's calls. Replies to other
/// calls are ignored.
JournalEvent OnJournalReply(JournalWriter& aWriter,
                            std::uint64_t aCall,
                            const StoreReply& aReply,
                            TimePoint aNow,
                            StoreOutbox& aOut);

} // namespace verbenacroft
