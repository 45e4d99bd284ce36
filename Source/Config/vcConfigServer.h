#pragma once

/// Core of the program verbenacroft-config: follows the journal of changes,
/// commits operators' changes to it and answers followers.

#include "vcConfigFeed.h"

namespace verbenacroft {

/// Longest time an operator waits for the outcome of a change.
constexpr Duration kChangeLimit{ 3'000 };

struct PendingChange
{
  std::uint64_t mTicket = 0;
  ConfigChange mChange;
  TimePoint mDeadline{ 0 };
  /// True once the change is part of a write.
  bool mIsWritten = false;
};

struct ChangeAnswer
{
  std::uint64_t mTicket = 0;
  ChangeOutcome mOutcome;
};

struct ConfigServerState
{
  JournalWriter mJournal;
  ConfigFollower mFollower;
  std::vector<PendingChange> mPending;
  std::vector<ChangeAnswer> mAnswers;
  std::uint64_t mWatchCall = 0;
  TimePoint mWatchSentAt = kNever;
  std::uint64_t mWatchAfter = 0;
  std::optional<Resources> mLargest;
  std::uint64_t mNextTicket = 1;
};

/// Prepares the state of a server named `aName` and reads the journal.
void StartConfigServer(ConfigServerState& aState,
                       const std::string& aName,
                       StoreOutbox& aOut);

/// Takes an operator's change; its answer appears under the ticket.
std::uint64_t SubmitChange(ConfigServerState& aState,
                           ConfigChange aChange,
                           TimePoint aNow);

/// Watches, writes and answers what is due.
void TickConfigServer(ConfigServerState& aState,
                      TimePoint aNow,
                      StoreOutbox& aOut);

/// Handles the reply to one of the server's calls.
void OnConfigServerReply(ConfigServerState& aState,
                         std::uint64_t aCall,
                         const StoreReply& aReply,
                         TimePoint aNow,
                         StoreOutbox& aOut);

} // namespace verbenacroft
