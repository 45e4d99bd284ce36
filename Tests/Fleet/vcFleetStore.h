#pragma once

/// A key-value service in memory for the nodes of a test, with the faults
/// that its callers have to bear: outages for all or for some callers,
/// forgotten leases and history, lost, late and slow answers. It rejects what
/// the platform's store rejects.

#include "vcNode.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace verbenacroft {

/// What the store does with a call.
enum class StoreMood
{
  kServing,
  /// Nothing is done, and the caller is told so.
  kRefusing,
  /// Nothing is done, and the caller hears nothing.
  kSilent,
};

struct MemoryLease
{
  Duration mTtl{ 0 };
  TimePoint mEndsAt{ 0 };
};

/// A write that takes effect later than its caller was told anything.
struct LateWrite
{
  TimePoint mAt{ 0 };
  KvTransaction mWrite;
};

struct MemoryStore
{
  std::mt19937_64 mRandom;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 1;
  std::map<std::string, KvItem> mItems;
  std::map<std::uint64_t, MemoryLease> mLeases;
  std::deque<KvItem> mHistory;
  /// Changes up to this revision are no longer told.
  std::uint64_t mHistoryFrom = 0;
  std::vector<LateWrite> mLate;

  StoreMood mMood = StoreMood::kServing;
  /// Moods towards single callers, before the one above.
  std::map<std::string, StoreMood> mMoodFor;
  /// Part of the writes that are done and not answered, 0 to 1.
  double mLostShare = 0;
  /// Such a write is done seconds later, if its condition still holds.
  bool mIsLostLate = false;
  Duration mDelay{ 3 };
  /// Time in ms by which the events of a watch are late, by the watch's prefix.
  /// A watch without events isn't late.
  std::map<std::string, Duration> mWatchDelays;
  /// So many answers that nobody foresaw come next.
  int mMalformedNext = 0;
  /// Writes of nodes that were rejected, each with its time and the reason.
  std::vector<std::string> mRejectedWrites;
};

/// Ends leases whose time has come and does the late writes that are due.
void Advance(MemoryStore& aStore, TimePoint aNow);

/// Ends every lease at once, with its keys.
void ForgetLeases(MemoryStore& aStore);

/// Ends the lease under which `aKey` stands, if it has one.
void ForgetLeaseOf(MemoryStore& aStore, const std::string& aKey);

void ForgetHistory(MemoryStore& aStore);

/// Makes a write on behalf of somebody who is not a node of the fleet. It may
/// have any number of entries.
KvReply CommitNow(MemoryStore& aStore, const KvTransaction& aWrite);

/// The calls as the node `aCaller` makes them.
KeyValueStore MakeMemoryStore(MemoryStore& aStore, const std::string& aCaller);

} // namespace verbenacroft
