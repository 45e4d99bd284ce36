#pragma once

/// Core of the program verbenacroft-config: reads the journal of configuration
/// changes, writes the changes that operators submit and answers followers.

#include "vcConfigFeed.h"

namespace verbenacroft {

/// Time after which a submitted change that has not been applied is answered
/// with `kUnavailable` or, if it was part of a write, with `kUnknown`.
constexpr Duration kChangeTimeout{ 3'000 };

/// A submitted change that is not answered yet.
struct PendingChange
{
  std::uint64_t mTicket = 0;
  ConfigChange mChange;
  TimePoint mDeadline{ 0 };
  /// True once the change has been part of a write to the journal.
  bool mIsWritten = false;
};

/// Outcome of the change that was submitted under the ticket.
struct ChangeAnswer
{
  std::uint64_t mTicket = 0;
  ChangeOutcome mOutcome;
};

/// State of a configuration server.
struct ConfigServerState
{
  JournalWriter mJournal;
  ConfigFollower mFollower;
  std::vector<PendingChange> mPending;
  /// Outcomes that the program has yet to deliver.
  std::vector<ChangeAnswer> mAnswers;
  /// Identifier of the pending store call that watches the journal, or 0.
  std::uint64_t mWatchCall = 0;
  TimePoint mWatchSentAt = kNever;
  /// Store revision after which the watch reports changes; 0 reads all keys.
  std::uint64_t mWatchAfterRevision = 0;
  /// Resources of the largest known instance, from the instance list.
  std::optional<Resources> mMaxInstanceCapacity;
  std::uint64_t mNextTicket = 1;
};

/// Initialises the state of the server named `aName` and starts to read the
/// journal.
void StartConfigServer(ConfigServerState& aState,
                       const std::string& aName,
                       StoreOutbox& aOut);

/// Queues an operator's change.
/// @return the ticket under which its outcome appears in `mAnswers`.
std::uint64_t SubmitChange(ConfigServerState& aState,
                           ConfigChange aChange,
                           TimePoint aNow);

/// Retries journal calls, writes and answers pending changes and renews the
/// watch. Called periodically.
void TickConfigServer(ConfigServerState& aState,
                      TimePoint aNow,
                      StoreOutbox& aOut);

/// Handles the store's reply to one of the server's calls.
void OnConfigServerReply(ConfigServerState& aState,
                         std::uint64_t aCall,
                         const StoreReply& aReply,
                         TimePoint aNow,
                         StoreOutbox& aOut);

} // namespace verbenacroft
