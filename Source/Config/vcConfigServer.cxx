#include "vcConfigServer.h"

#include <algorithm>

namespace verbenacroft {

namespace {

const std::string kJournalName = "config";
/// Longest time that the store holds a watch without a change.
constexpr Duration kMaxWatchWait{ 400 };
/// Time after which a watch without a reply is sent again.
constexpr Duration kWatchTimeout{ 1'500 };
/// Minimum time between two watches.
constexpr Duration kMinWatchInterval{ 100 };

void SendWatch(ConfigServerState& aState, TimePoint aNow, StoreOutbox& aOut)
{
  StoreRequest request;
  request.mOp = StoreOp::kWatch;
  request.mKey = JournalPrefix(kJournalName);
  request.mIsPrefix = true;
  request.mAfterRevision = aState.mWatchAfterRevision;
  request.mWait = kMaxWatchWait;
  aState.mWatchSentAt = aNow;
  aState.mWatchCall = PushStoreCall(
    aOut, "config", StorePriority::kConfiguration, std::move(request));
}

void TakeUpdates(ConfigServerState& aState)
{
  for (const auto& update : aState.mJournal.mUpdates) {
    ApplyJournalUpdate(aState.mFollower, update);
  }
  aState.mJournal.mUpdates.clear();
}

void AddAnswer(ConfigServerState& aState,
               const PendingChange& aChange,
               ChangeOutcome aOutcome)
{
  aState.mAnswers.push_back({ aChange.mTicket, std::move(aOutcome) });
}

/// Checks `aChange` against `aScratch`. Returns the outcome of a change that is
/// refused. Otherwise applies the change to `aScratch` and returns nothing.
std::optional<ChangeOutcome> CheckChange(const ConfigServerState& aState,
                                         const ConfigChange& aChange,
                                         ConfigStateRecord& aScratch)
{
  ChangeOutcome outcome;
  outcome.mConflicts = FindConflicts(aScratch.mConfiguration, aChange.mEdits);
  if (!outcome.mConflicts.empty()) {
    outcome.mStatus = ChangeStatus::kConflict;
    return outcome;
  }
  Configuration changed = aScratch.mConfiguration;
  ApplyEdits(
    changed, aChange.mEdits, aState.mJournal.mReader.mNext, outcome.mFaults);
  if (outcome.mFaults.empty()) {
    outcome.mFaults = CheckConfiguration(changed, aState.mMaxInstanceCapacity);
    CheckTransition(aScratch.mConfiguration, changed, outcome.mFaults);
  }
  if (!outcome.mFaults.empty()) {
    outcome.mStatus = ChangeStatus::kInvalid;
    return outcome;
  }
  aScratch.mConfiguration = std::move(changed);
  return std::nullopt;
}

/// Answers the pending changes that have been applied from the journal and
/// those whose deadline has passed.
void AnswerPending(ConfigServerState& aState, TimePoint aNow)
{
  std::erase_if(aState.mPending, [&](const PendingChange& aPending) {
    ChangeOutcome outcome;
    outcome.mRevision =
      FindChangeRevision(aState.mFollower.mState, aPending.mChange.mChange);
    if (outcome.mRevision != 0) {
      AddAnswer(aState, aPending, outcome);
      return true;
    }
    if (aNow >= aPending.mDeadline) {
      outcome.mStatus = aPending.mIsWritten ? ChangeStatus::kUnknown
                                            : ChangeStatus::kUnavailable;
      AddAnswer(aState, aPending, outcome);
      return true;
    }
    return false;
  });
}

/// Writes the pending changes to the journal if it is open and no write or load
/// is in progress. Refuses the changes that fail the checks; a change that was
/// already part of a write is checked and written again.
void WritePending(ConfigServerState& aState, TimePoint aNow, StoreOutbox& aOut)
{
  auto& journal = aState.mJournal;
  const bool isIdle = journal.mPhase == JournalPhase::kOpen &&
                      !journal.mWrite && journal.mLoadCall == 0;
  if (!isIdle || aState.mPending.empty()) {
    return;
  }
  journal.mPending.clear();
  ConfigStateRecord scratch = aState.mFollower.mState;
  std::vector<boost::json::value> records;
  std::erase_if(aState.mPending, [&](PendingChange& aPending) {
    auto refusal = CheckChange(aState, aPending.mChange, scratch);
    if (refusal) {
      AddAnswer(aState, aPending, std::move(*refusal));
      return true;
    }
    aPending.mIsWritten = true;
    records.push_back(EncodeValue(aPending.mChange));
    return false;
  });
  for (auto& record : records) {
    Append(journal, std::move(record));
  }
  std::optional<JournalRecord> snapshot;
  if (IsSnapshotDue(journal)) {
    scratch.mConfiguration.mRevision = journal.mReader.mNext;
    for (const auto& pending : aState.mPending) {
      scratch.mRecent.push_back(
        { pending.mChange.mChange, journal.mReader.mNext });
    }
    snapshot = EncodeValue(scratch);
  }
  Flush(journal, aNow, std::move(snapshot), aOut);
}

void OnWatchReply(ConfigServerState& aState, const StoreReply& aReply)
{
  aState.mWatchCall = 0;
  if (aReply.mStatus != StoreStatus::kOk) {
    return;
  }
  auto& reader = aState.mJournal.mReader;
  ApplyJournalUpdate(aState.mFollower, DeliverInOrder(reader, aReply.mEntries));
  aState.mWatchAfterRevision =
    std::max(aState.mWatchAfterRevision, aReply.mRevision);
  if (HasGap(reader)) {
    // Entries were overwritten in the ring before they were read; read the
    // whole journal again.
    aState.mWatchAfterRevision = 0;
    return;
  }
  // The store replied no earlier than `waited` after the request was sent, so
  // the reply contains every entry that existed at `mWatchSentAt + waited`.
  const auto waited = std::min(aReply.mWaited, kMaxWatchWait);
  ConfirmCurrent(aState.mFollower, aState.mWatchSentAt + waited);
}

} // namespace

void StartConfigServer(ConfigServerState& aState,
                       const std::string& aName,
                       StoreOutbox& aOut)
{
  aState.mJournal.mReader.mName = kJournalName;
  aState.mJournal.mSharing = JournalSharing::kShared;
  aState.mJournal.mWriterName = aName;
  OpenJournal(aState.mJournal, 0, aOut);
}

std::uint64_t SubmitChange(ConfigServerState& aState,
                           ConfigChange aChange,
                           TimePoint aNow)
{
  PendingChange pending;
  pending.mTicket = aState.mNextTicket++;
  pending.mChange = std::move(aChange);
  pending.mDeadline = aNow + kChangeTimeout;
  aState.mPending.push_back(std::move(pending));
  return aState.mPending.back().mTicket;
}

void TickConfigServer(ConfigServerState& aState,
                      TimePoint aNow,
                      StoreOutbox& aOut)
{
  RetryJournal(aState.mJournal, aNow, aOut);
  TakeUpdates(aState);
  AnswerPending(aState, aNow);
  WritePending(aState, aNow, aOut);
  const bool isStuck =
    aState.mWatchCall != 0 && aNow - aState.mWatchSentAt > kWatchTimeout;
  const bool isDue = aNow - aState.mWatchSentAt >= kMinWatchInterval;
  if ((aState.mWatchCall == 0 && isDue) || isStuck) {
    SendWatch(aState, aNow, aOut);
  }
}

void OnConfigServerReply(ConfigServerState& aState,
                         std::uint64_t aCall,
                         const StoreReply& aReply,
                         TimePoint aNow,
                         StoreOutbox& aOut)
{
  if (aCall == aState.mWatchCall) {
    OnWatchReply(aState, aReply);
  } else {
    OnJournalReply(aState.mJournal, aCall, aReply, aNow, aOut);
    TakeUpdates(aState);
  }
  AnswerPending(aState, aNow);
  WritePending(aState, aNow, aOut);
}

} // namespace verbenacroft
