#include "vcConfigFeed.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::size_t kKeptEntries = 256;

void FollowEntry(ConfigFollower& aFollower, const JournalEntry& aEntry)
{
  if (aEntry.mIndex != RevisionOf(aFollower) + 1) {
    ++aFollower.mRefused;
    return;
  }
  ApplyChanges(aFollower.mState, aEntry.mRecords, aEntry.mIndex);
  aFollower.mRecent.push_back(aEntry);
  if (aFollower.mRecent.size() > kKeptEntries) {
    aFollower.mRecent.pop_front();
  }
}

} // namespace

std::uint64_t RevisionOf(const ConfigFollower& aFollower)
{
  return aFollower.mState.mConfiguration.mRevision;
}

void FollowJournal(ConfigFollower& aFollower, const JournalUpdate& aNews)
{
  if (aNews.mSnapshot && aNews.mSnapshot->mIndex > RevisionOf(aFollower)) {
    Faults faults;
    ConfigStateRecord state;
    DecodeInto(aNews.mSnapshot->mState, "$", state, faults);
    if (faults.empty()) {
      state.mConfiguration.mRevision = aNews.mSnapshot->mIndex;
      aFollower.mState = std::move(state);
      aFollower.mRecent.clear();
    }
  }
  for (const auto& entry : aNews.mEntries) {
    if (entry.mIndex > RevisionOf(aFollower)) {
      FollowEntry(aFollower, entry);
    }
  }
}

void NoteProof(ConfigFollower& aFollower, TimePoint aProvenAt)
{
  aFollower.mProvenAt = std::max(aFollower.mProvenAt, aProvenAt);
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
      FollowEntry(aFollower, entry);
    }
  }
  const bool isCurrent = RevisionOf(aFollower) == aFeed.mRevision;
  if (isCurrent && aFeed.mProofAge) {
    NoteProof(aFollower, aSentAt - Duration{ *aFeed.mProofAge });
  }
}

ConfigFeed MakeFeed(const ConfigFollower& aFollower,
                    std::uint64_t aAfter,
                    TimePoint aNow)
{
  ConfigFeed feed;
  feed.mRevision = RevisionOf(aFollower);
  if (aFollower.mProvenAt != kNever) {
    feed.mProofAge = (aNow - aFollower.mProvenAt).count();
  }
  if (aAfter >= feed.mRevision) {
    return feed;
  }
  const auto& recent = aFollower.mRecent;
  if (recent.empty() || recent.front().mIndex > aAfter + 1) {
    feed.mState = aFollower.mState;
    return feed;
  }
  for (const auto& entry : recent) {
    if (entry.mIndex > aAfter) {
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
