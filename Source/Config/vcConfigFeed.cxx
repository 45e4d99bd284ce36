#include "vcConfigFeed.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Number of journal entries kept for followers. A follower that is further
/// behind receives the whole configuration.
constexpr std::size_t kMaxRecentEntries = 256;

void ApplyEntry(ConfigFollower& aFollower, const JournalEntry& aEntry)
{
  if (aEntry.mIndex != RevisionOf(aFollower) + 1) {
    ++aFollower.mRefused;
    return;
  }
  ApplyChanges(aFollower.mState, aEntry.mRecords, aEntry.mIndex);
  aFollower.mRecentEntries.push_back(aEntry);
  if (aFollower.mRecentEntries.size() > kMaxRecentEntries) {
    aFollower.mRecentEntries.pop_front();
  }
}

} // namespace

std::uint64_t RevisionOf(const ConfigFollower& aFollower)
{
  return aFollower.mState.mConfiguration.mRevision;
}

void ApplyJournalUpdate(ConfigFollower& aFollower, const JournalUpdate& aUpdate)
{
  if (aUpdate.mSnapshot && aUpdate.mSnapshot->mIndex > RevisionOf(aFollower)) {
    Faults faults;
    ConfigStateRecord state;
    DecodeInto(aUpdate.mSnapshot->mState, "$", state, faults);
    if (faults.empty()) {
      state.mConfiguration.mRevision = aUpdate.mSnapshot->mIndex;
      aFollower.mState = std::move(state);
      aFollower.mRecentEntries.clear();
    }
  }
  for (const auto& entry : aUpdate.mEntries) {
    if (entry.mIndex > RevisionOf(aFollower)) {
      ApplyEntry(aFollower, entry);
    }
  }
}

void ConfirmCurrent(ConfigFollower& aFollower, TimePoint aConfirmedAt)
{
  aFollower.mConfirmedCurrentAt =
    std::max(aFollower.mConfirmedCurrentAt, aConfirmedAt);
}

void ApplyFeed(ConfigFollower& aFollower,
               const ConfigFeed& aFeed,
               TimePoint aSentAt)
{
  if (aFeed.mRevision < RevisionOf(aFollower)) {
    ++aFollower.mRefused;
    return;
  }
  if (aFeed.mState &&
      aFeed.mState->mConfiguration.mRevision > RevisionOf(aFollower)) {
    aFollower.mState = *aFeed.mState;
    aFollower.mRecentEntries.clear();
  }
  for (const auto& entry : aFeed.mEntries) {
    if (entry.mIndex > RevisionOf(aFollower)) {
      ApplyEntry(aFollower, entry);
    }
  }
  const bool isCurrent = RevisionOf(aFollower) == aFeed.mRevision;
  if (isCurrent && aFeed.mProofAge) {
    ConfirmCurrent(aFollower, aSentAt - Duration{ *aFeed.mProofAge });
  }
}

ConfigFeed MakeFeed(const ConfigFollower& aFollower,
                    std::uint64_t aAfterRevision,
                    TimePoint aNow)
{
  ConfigFeed feed;
  feed.mRevision = RevisionOf(aFollower);
  if (aFollower.mConfirmedCurrentAt != kNever) {
    feed.mProofAge = (aNow - aFollower.mConfirmedCurrentAt).count();
  }
  if (aAfterRevision >= feed.mRevision) {
    return feed;
  }
  const auto& recent = aFollower.mRecentEntries;
  if (recent.empty() || recent.front().mIndex > aAfterRevision + 1) {
    feed.mState = aFollower.mState;
    return feed;
  }
  for (const auto& entry : recent) {
    if (entry.mIndex > aAfterRevision) {
      feed.mEntries.push_back(entry);
    }
  }
  return feed;
}

TimePoint TaskStartDeadline(const ConfigFollower& aFollower)
{
  return aFollower.mConfirmedCurrentAt == kNever
           ? kNever
           : aFollower.mConfirmedCurrentAt + kMaxConfirmationAge;
}

} // namespace verbenacroft
