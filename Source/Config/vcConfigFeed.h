#pragma once

/// How the configuration spreads: a follower asks a server, or a peer, for
/// what is newer than its revision, and learns with the answer how old the
/// proof is that the revision was the newest.

#include "vcConfigChange.h"
#include "vcJournal.h"
#include "vcOwnership.h"

namespace verbenacroft {

/// Longest age of the proof with which a task may still be started. A start
/// carries the end of this time as its own limit, so that nothing starts in
/// a data centre 3 s after it was drained.
constexpr Duration kConfigLease{ 2'500 };

/// Answer to a follower.
struct ConfigFeed
{
  std::uint64_t mRevision = 0;
  /// Age of the proof when the answer was made; absent without a proof.
  std::optional<std::int64_t> mProofAge;
  /// Changes after the follower's revision, oldest first.
  std::vector<JournalEntry> mEntries;
  /// All of it, if the entries no longer reach back far enough.
  std::optional<ConfigStateRecord> mState;
};
BOOST_DESCRIBE_STRUCT(ConfigFeed, (), (mRevision, mProofAge, mEntries, mState))

/// A copy of the configuration and the proof of its age.
struct ConfigFollower
{
  ConfigStateRecord mState;
  /// Latest moment at which the copy is known to have been the newest.
  TimePoint mProvenAt = kNever;
  /// The last changes, for followers of this one.
  std::deque<JournalEntry> mRecent;
  /// Answers refused because they are older than this copy or have a gap.
  std::uint64_t mRefused = 0;
};

std::uint64_t RevisionOf(const ConfigFollower& aFollower);

/// Applies entries and a snapshot of the journal.
void FollowJournal(ConfigFollower& aFollower, const JournalUpdate& aNews);

/// Applies the answer to a question sent at `aSentAt`. Revisions never go
/// down: an older answer changes nothing and proves nothing.
void FollowFeed(ConfigFollower& aFollower,
                const ConfigFeed& aFeed,
                TimePoint aSentAt);

/// Notes that the copy was the newest at `aProvenAt`.
void NoteProof(ConfigFollower& aFollower, TimePoint aProvenAt);

/// Answer for a follower at revision `aAfter`.
ConfigFeed MakeFeed(const ConfigFollower& aFollower,
                    std::uint64_t aAfter,
                    TimePoint aNow);

/// Moment up to which tasks may be started under this copy.
TimePoint StartLimit(const ConfigFollower& aFollower);

} // namespace verbenacroft
