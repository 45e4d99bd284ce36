#pragma once

/// Distribution of the configuration. A follower (a router, a scheduler or
/// another configuration server) polls a configuration server for the changes
/// after its own revision. The answer also tells how long ago it was last
/// confirmed that the server's revision was the latest.

#include "vcConfigChange.h"
#include "vcJournal.h"
#include "vcOwnership.h"

namespace verbenacroft {

/// Maximum age of the last confirmation at which tasks may still be started.
/// Every order to start a task has the time at which this age is reached as its
/// deadline, so that no task starts in a data centre later than 3 s after it
/// was drained.
constexpr Duration kMaxConfirmationAge{ 2'500 };

/// Answer to a follower's poll.
struct ConfigFeed
{
  /// Revision of the answering server.
  std::uint64_t mRevision = 0;
  /// Age in ms, when the answer was made, of the last confirmation that the
  /// server's copy was the latest revision; absent if it was never confirmed.
  std::optional<std::int64_t> mProofAge;
  /// Changes after the follower's revision, oldest first.
  std::vector<JournalEntry> mEntries;
  /// The whole configuration, if the kept entries no longer reach back to the
  /// follower's revision.
  std::optional<ConfigStateRecord> mState;
};
BOOST_DESCRIBE_STRUCT(ConfigFeed, (), (mRevision, mProofAge, mEntries, mState))

/// A copy of the configuration and the time when it was last confirmed to be
/// the latest.
struct ConfigFollower
{
  ConfigStateRecord mState;
  /// Latest time at which the copy is known to have been the latest revision.
  TimePoint mConfirmedCurrentAt = kNever;
  /// Latest journal entries, kept to answer other followers.
  std::deque<JournalEntry> mRecentEntries;
  /// Number of answers and entries refused because they were older than this
  /// copy or did not follow directly on its revision.
  std::uint64_t mRefused = 0;
};

/// Returns the revision of the copy; 0 before the first update.
std::uint64_t RevisionOf(const ConfigFollower& aFollower);

/// Applies a snapshot and entries that were read from the journal.
void ApplyJournalUpdate(ConfigFollower& aFollower,
                        const JournalUpdate& aUpdate);

/// Applies the answer to a poll that was sent at `aSentAt`. The revision never
/// decreases: an answer with an older revision changes nothing and confirms
/// nothing.
void ApplyFeed(ConfigFollower& aFollower,
               const ConfigFeed& aFeed,
               TimePoint aSentAt);

/// Records that the copy was the latest revision at `aConfirmedAt`.
void ConfirmCurrent(ConfigFollower& aFollower, TimePoint aConfirmedAt);

/// Returns the answer for a follower at the revision `aAfterRevision`.
ConfigFeed MakeFeed(const ConfigFollower& aFollower,
                    std::uint64_t aAfterRevision,
                    TimePoint aNow);

/// Returns the time until which tasks may be started on the basis of this copy;
/// `kNever` if it was never confirmed.
TimePoint TaskStartDeadline(const ConfigFollower& aFollower);

} // namespace verbenacroft
