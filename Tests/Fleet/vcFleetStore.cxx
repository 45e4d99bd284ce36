#include "vcFleetStore.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace verbenacroft {

namespace {

constexpr Duration kCallTimeout{ 1'500 };
constexpr Duration kRenewTimeout{ 700 };
constexpr Duration kReadTimeout{ 1'000 };
constexpr Duration kWatchPoll{ 10 };
constexpr int kShortestLateMs = 1'000;
constexpr int kLongestLateMs = 6'000;

void Publish(MemoryStore& aStore, const KvItem& aItem)
{
  aStore.mHistory.push_back(aItem);
}

void Remove(MemoryStore& aStore, const std::string& aKey)
{
  if (aStore.mItems.erase(aKey) == 0) {
    return;
  }
  KvItem event;
  event.mKey = aKey;
  event.mRevision = aStore.mRevision;
  event.mIsRemoved = true;
  Publish(aStore, event);
}

void EndLease(MemoryStore& aStore, std::uint64_t aLease)
{
  aStore.mLeases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : aStore.mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  if (!keys.empty()) {
    ++aStore.mRevision;
  }
  for (const auto& key : keys) {
    Remove(aStore, key);
  }
}

KvReply Answer(const MemoryStore& aStore, KvStatus aStatus)
{
  KvReply reply;
  reply.mStatus = aStatus;
  reply.mRevision = aStore.mRevision;
  return reply;
}

KvReply ReadItems(const MemoryStore& aStore, const KvRange& aRange)
{
  KvReply reply = Answer(aStore, KvStatus::kOk);
  for (const auto& [key, item] : aStore.mItems) {
    if (key.starts_with(aRange.mPrefix) && key > aRange.mAfterKey) {
      reply.mItems.push_back(item);
    }
  }
  return reply;
}

KvReply EventsAfter(const MemoryStore& aStore, const KvWatch& aWatch)
{
  if (aWatch.mAfterRevision < aStore.mHistoryFrom) {
    return Answer(aStore, KvStatus::kCompacted);
  }
  KvReply reply = Answer(aStore, KvStatus::kOk);
  for (const auto& item : aStore.mHistory) {
    if (item.mRevision > aWatch.mAfterRevision &&
        item.mKey.starts_with(aWatch.mPrefix)) {
      reply.mItems.push_back(item);
    }
  }
  return reply;
}

StoreMood MoodFor(const MemoryStore& aStore, const std::string& aCaller)
{
  const auto found = aStore.mMoodFor.find(aCaller);
  return found == aStore.mMoodFor.end() ? aStore.mMood : found->second;
}

/// Waits as the store lets its callers wait.
/// @return the outcome if the call is not served, else nothing
asio::awaitable<std::optional<KvReply>> Admit(MemoryStore& aStore,
                                              std::string aCaller,
                                              Duration aTimeout)
{
  const TimePoint until = SuspendAwareNow() + aTimeout;
  co_await Sleep(std::min(aStore.mDelay, aTimeout));
  if (aStore.mMalformedNext > 0) {
    --aStore.mMalformedNext;
    throw std::runtime_error("an answer that can't be");
  }
  if (aStore.mDelay >= aTimeout) {
    co_return KvReply{};
  }
  const StoreMood mood = MoodFor(aStore, aCaller);
  if (mood == StoreMood::kRefusing) {
    co_return Answer(aStore, KvStatus::kRefused);
  }
  if (mood == StoreMood::kSilent) {
    co_await Sleep(until - SuspendAwareNow());
    co_return KvReply{};
  }
  co_return std::nullopt;
}

bool IsLost(MemoryStore& aStore)
{
  std::uniform_real_distribution<double> share(0, 1);
  return share(aStore.mRandom) < aStore.mLostShare;
}

/// Why the store rejects a write, or nothing.
std::optional<std::string> RejectionOf(const KvTransaction& aWrite)
{
  const std::size_t entries = EntriesOf(aWrite);
  if (entries > kMaxKvTransactionEntries) {
    return fmt::format(
      "{} entries, over {}", entries, kMaxKvTransactionEntries);
  }
  for (const auto& put : aWrite.mPuts) {
    if (put.mValue.size() > kMaxKvValueBytes) {
      return fmt::format("a value of {} bytes", put.mValue.size());
    }
  }
  return std::nullopt;
}

void NoteRejectedWrite(MemoryStore& aStore,
                       const std::string& aCaller,
                       const std::string& aReason)
{
  aStore.mRejectedWrites.push_back(
    fmt::format("{} ms: {} sent a write that the store rejects: {}",
                SuspendAwareNow().count(),
                aCaller,
                aReason));
}

asio::awaitable<KvReply> Commit(MemoryStore& aStore,
                                std::string aCaller,
                                KvTransaction aWrite)
{
  const TimePoint until = SuspendAwareNow() + kCallTimeout;
  const auto refusal = co_await Admit(aStore, aCaller, kCallTimeout);
  if (refusal) {
    co_return *refusal;
  }
  const auto rejection = RejectionOf(aWrite);
  if (rejection) {
    NoteRejectedWrite(aStore, aCaller, *rejection);
    co_return Answer(aStore, KvStatus::kRejected);
  }
  if (!IsLost(aStore)) {
    co_return CommitNow(aStore, aWrite);
  }
  if (aStore.mIsLostLate) {
    std::uniform_int_distribution<int> late(kShortestLateMs, kLongestLateMs);
    const TimePoint at = SuspendAwareNow() + Duration(late(aStore.mRandom));
    aStore.mLate.push_back({ at, std::move(aWrite) });
  } else {
    CommitNow(aStore, aWrite);
  }
  co_await Sleep(until - SuspendAwareNow());
  co_return KvReply{};
}

Duration WatchDelay(const MemoryStore& aStore, const std::string& aPrefix)
{
  const auto found = aStore.mWatchDelays.find(aPrefix);
  return found == aStore.mWatchDelays.end() ? Duration(0) : found->second;
}

asio::awaitable<KvReply> Watch(MemoryStore& aStore,
                               std::string aCaller,
                               KvWatch aWatch)
{
  const TimePoint until = SuspendAwareNow() + aWatch.mWait;
  while (true) {
    const auto refusal = co_await Admit(aStore, aCaller, kCallTimeout);
    if (refusal) {
      co_return *refusal;
    }
    KvReply reply = EventsAfter(aStore, aWatch);
    const bool isDone = reply.mStatus != KvStatus::kOk ||
                        !reply.mItems.empty() || SuspendAwareNow() >= until;
    if (isDone) {
      const bool isLate = !reply.mItems.empty();
      co_await Sleep(isLate ? WatchDelay(aStore, aWatch.mPrefix) : Duration(0));
      co_return reply;
    }
    co_await Sleep(kWatchPoll);
  }
}

asio::awaitable<KvReply> Grant(MemoryStore& aStore,
                               std::string aCaller,
                               Duration aTtl)
{
  const auto refusal =
    co_await Admit(aStore, std::move(aCaller), kRenewTimeout);
  if (refusal) {
    co_return *refusal;
  }
  KvReply reply = Answer(aStore, KvStatus::kOk);
  reply.mLease = aStore.mNextLease++;
  aStore.mLeases[reply.mLease] = { aTtl, SuspendAwareNow() + aTtl };
  co_return reply;
}

asio::awaitable<KvReply> Renew(MemoryStore& aStore,
                               std::string aCaller,
                               LeaseId aLease)
{
  const auto refusal =
    co_await Admit(aStore, std::move(aCaller), kRenewTimeout);
  if (refusal) {
    co_return *refusal;
  }
  const auto found = aStore.mLeases.find(aLease.Number());
  if (found == aStore.mLeases.end()) {
    co_return Answer(aStore, KvStatus::kNotFound);
  }
  found->second.mEndsAt = SuspendAwareNow() + found->second.mTtl;
  co_return Answer(aStore, KvStatus::kOk);
}

asio::awaitable<KvReply> Revoke(MemoryStore& aStore,
                                std::string aCaller,
                                LeaseId aLease)
{
  const auto refusal = co_await Admit(aStore, std::move(aCaller), kCallTimeout);
  if (refusal) {
    co_return *refusal;
  }
  const bool isKnown = aStore.mLeases.contains(aLease.Number());
  if (isKnown) {
    EndLease(aStore, aLease.Number());
  }
  co_return Answer(aStore, isKnown ? KvStatus::kOk : KvStatus::kNotFound);
}

asio::awaitable<KvReply> Range(MemoryStore& aStore,
                               std::string aCaller,
                               KvRange aRange)
{
  const auto refusal = co_await Admit(aStore, std::move(aCaller), kCallTimeout);
  co_return refusal ? *refusal : ReadItems(aStore, aRange);
}

asio::awaitable<KvReply> Read(MemoryStore& aStore,
                              std::string aCaller,
                              std::string aKey)
{
  const auto refusal = co_await Admit(aStore, std::move(aCaller), kReadTimeout);
  if (refusal) {
    co_return *refusal;
  }
  const auto found = aStore.mItems.find(aKey);
  const bool isThere = found != aStore.mItems.end();
  // As on the platform, "not found" doesn't say as of when.
  KvReply reply;
  reply.mStatus = KvStatus::kNotFound;
  if (isThere) {
    reply = Answer(aStore, KvStatus::kOk);
    reply.mItems.push_back(found->second);
  }
  co_return reply;
}

} // namespace

KvReply CommitNow(MemoryStore& aStore, const KvTransaction& aWrite)
{
  bool isMet = true;
  KvReply conflict = Answer(aStore, KvStatus::kConflict);
  for (const auto& condition : aWrite.mConditions) {
    const auto found = aStore.mItems.find(condition.mKey);
    const bool isThere = found != aStore.mItems.end();
    isMet =
      isMet && condition.mRevision == (isThere ? found->second.mRevision : 0);
    if (isThere) {
      conflict.mItems.push_back(found->second);
    }
  }
  if (!isMet) {
    return conflict;
  }
  for (const auto& put : aWrite.mPuts) {
    if (put.mLease != 0 && !aStore.mLeases.contains(put.mLease)) {
      return Answer(aStore, KvStatus::kNotFound);
    }
  }
  ++aStore.mRevision;
  for (const auto& put : aWrite.mPuts) {
    KvItem& item = aStore.mItems[put.mKey];
    item.mCreateRevision =
      item.mCreateRevision == 0 ? aStore.mRevision : item.mCreateRevision;
    item.mKey = put.mKey;
    item.mValue = put.mValue;
    item.mRevision = aStore.mRevision;
    item.mLease = put.mLease;
    Publish(aStore, item);
  }
  for (const auto& key : aWrite.mDeletes) {
    Remove(aStore, key);
  }
  return Answer(aStore, KvStatus::kOk);
}

void Advance(MemoryStore& aStore, TimePoint aNow)
{
  std::vector<std::uint64_t> ended;
  for (const auto& [lease, row] : aStore.mLeases) {
    if (row.mEndsAt <= aNow) {
      ended.push_back(lease);
    }
  }
  for (const auto lease : ended) {
    EndLease(aStore, lease);
  }
  std::vector<LateWrite> due;
  std::erase_if(aStore.mLate, [&](const LateWrite& aRow) {
    const bool isDue = aRow.mAt <= aNow;
    if (isDue) {
      due.push_back(aRow);
    }
    return isDue;
  });
  for (const auto& row : due) {
    CommitNow(aStore, row.mWrite);
  }
}

void ForgetLeases(MemoryStore& aStore)
{
  while (!aStore.mLeases.empty()) {
    EndLease(aStore, aStore.mLeases.begin()->first);
  }
}

void ForgetLeaseOf(MemoryStore& aStore, const std::string& aKey)
{
  const auto found = aStore.mItems.find(aKey);
  if (found != aStore.mItems.end() && found->second.mLease != 0) {
    EndLease(aStore, found->second.mLease);
  }
}

void ForgetHistory(MemoryStore& aStore)
{
  aStore.mHistory.clear();
  aStore.mHistoryFrom = aStore.mRevision;
}

KeyValueStore MakeMemoryStore(MemoryStore& aStore, const std::string& aCaller)
{
  KeyValueStore store;
  store.mRead = [&aStore, aCaller](std::string aKey) {
    return Read(aStore, aCaller, std::move(aKey));
  };
  store.mRange = [&aStore, aCaller](KvRange aRange) {
    return Range(aStore, aCaller, std::move(aRange));
  };
  store.mWatch = [&aStore, aCaller](KvWatch aWatch) {
    return Watch(aStore, aCaller, std::move(aWatch));
  };
  store.mCommit = [&aStore, aCaller](KvTransaction aWrite) {
    return Commit(aStore, aCaller, std::move(aWrite));
  };
  store.mGrant = [&aStore, aCaller](Duration aTtl) {
    return Grant(aStore, aCaller, aTtl);
  };
  store.mRenew = [&aStore, aCaller](LeaseId aLease) {
    return Renew(aStore, aCaller, aLease);
  };
  store.mRevoke = [&aStore, aCaller](LeaseId aLease) {
    return Revoke(aStore, aCaller, aLease);
  };
  return store;
}

} // namespace verbenacroft
