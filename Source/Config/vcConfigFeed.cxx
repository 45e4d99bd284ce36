#include "vcConfigFeed.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Followers that are further behind receive the whole configuration.
constexpr std::size_t kMaxRecentEntries = 256;

void ApplyEntry(ConfigFollower& aFollower, const JournalEntry& aEntry)
{
  if (aEntry.mIndex != RevisionOf(aFollower) + 1) {
    ++aFollower.mRefused;
    return;
  }
  ApplyChanges(aFollower.mState, aEntry.mRecords, aEntry.mIndex);
  aFollower.mRecent.push_back(aEntry);
  if (aFollower.mRecent.size() > kMaxRecentEntries) {
    aFollower.mRecent.pop_front();
  }
}

} // namespace

std::uint64_t RevisionOf(const ConfigFollower& aFollower)
{
  return aFollower.mState.mConfiguration.mRevision;
}

void FollowJournal(ConfigFollower& aFollower, const JournalUpdate& aUpdate)
{
  if (aUpdate.mSnapshot && aUpdate.mSnapshot->mIndex > RevisionOf(aFollower)) {
    Faults faults;
    ConfigStateRecord state;
    DecodeInto(aUpdate.mSnapshot->mState, "$", state, faults);
    if (faults.empty()) {
      state.mConfiguration.mRevision = aUpdate.mSnapshot->mIndex;
      aFollower.mState = std::move(state);
      aFollower.mRecent.clear();
    }
  }
  for (const auto& entry : aUpdate.mEntries) {
    if (entry.mIndex > RevisionOf(aFollower)) {
      ApplyEntry(aFollower, entry);
    }
  }
}

void NoteProof(ConfigFollower& aFollower, TimePoint aConfirmedAt)
{
  aFollower.mProvenAt = std::max(aFollower.mProvenAt, aConfirmedAt);
}

void FollowFeed(ConfigFollower& aFollower,
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
    aFollower.mRecent.clear();
  }
  for (const auto& entry : aFeed.mEntries) {
    if (entry.mIndex > RevisionOf(aFollower)) {
      ApplyEntry(aFollower, entry);
    }
  }
  const bool isCurrent = RevisionOf(aFollower) == aFeed.mRevision;
  if (isCurrent && aFeed.mProofAge) {
    NoteProof(aFollower, aSentAt - Duration{ *aFeed.mProofAge });
  }
}

ConfigFeed MakeFeed(const ConfigFollower& aFollower,
                    std::uint64_t aAfterRevision,
                    TimePoint aNow)
{
  ConfigFeed feed;
  feed.mRevision = RevisionOf(aFollower);
  if (aFollower.mProvenAt != kNever) {
    feed.mProofAge = (aNow - aFollower.mProvenAt).count();
  }
  if (aAfterRevision >= feed.mRevision) {
    return feed;
  }
  const auto& recent = aFollower.mRecent;
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

TimePoint StartLimit(const ConfigFollower& aFollower)
{
  return aFollower.mProvenAt == kNever ? kNever
                                       : aFollower.mProvenAt + kConfigLease;
}

} // namespace verbenacroft
