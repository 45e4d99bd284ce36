#include "vcFakeStore.h"

namespace verbenacroft {

namespace {

StoreReply Status(StoreStatus aStatus)
{
  StoreReply reply;
  reply.mStatus = aStatus;
  return reply;
}

StoreReply Read(const FakeStore& aStore, const StoreRequest& aRequest)
{
  StoreReply reply;
  reply.mRevision = aStore.mRevision;
  if (!aRequest.mIsPrefix) {
    const auto found = aStore.mEntries.find(aRequest.mKey);
    if (found == aStore.mEntries.end()) {
      reply.mStatus = StoreStatus::kNotFound;
      return reply;
    }
    reply.mEntries.push_back(found->second);
    return reply;
  }
  for (auto it = aStore.mEntries.lower_bound(aRequest.mKey);
       it != aStore.mEntries.end() && it->first.starts_with(aRequest.mKey);
       ++it) {
    if (it->second.mRevision > aRequest.mAfterRevision) {
      reply.mEntries.push_back(it->second);
    }
  }
  return reply;
}

bool IsExpected(const FakeStore& aStore, const StoreRequest& aRequest)
{
  const auto found = aStore.mEntries.find(aRequest.mKey);
  const auto revision =
    found == aStore.mEntries.end() ? 0 : found->second.mRevision;
  return revision == aRequest.mExpectedRevision;
}

StoreReply Conflict(const FakeStore& aStore, const StoreRequest& aRequest)
{
  StoreReply reply = Status(StoreStatus::kConflict);
  const auto found = aStore.mEntries.find(aRequest.mKey);
  if (found != aStore.mEntries.end()) {
    reply.mEntries.push_back(found->second);
  }
  return reply;
}

StoreReply Write(FakeStore& aStore, const StoreRequest& aRequest)
{
  if (!IsExpected(aStore, aRequest)) {
    return Conflict(aStore, aRequest);
  }
  const bool isLeaseGone =
    aRequest.mLease != 0 && !aStore.mLeases.contains(aRequest.mLease);
  if (isLeaseGone || aRequest.mValue.size() > kMaxStoreValueBytes) {
    return Status(StoreStatus::kNotFound);
  }
  aStore.mLargestValue = std::max(aStore.mLargestValue, aRequest.mValue.size());
  StoreReply reply;
  reply.mRevision = ++aStore.mRevision;
  aStore.mEntries[aRequest.mKey] = {
    aRequest.mKey, aRequest.mValue, reply.mRevision, aRequest.mLease
  };
  return reply;
}

StoreReply Erase(FakeStore& aStore, const StoreRequest& aRequest)
{
  if (!IsExpected(aStore, aRequest)) {
    return Conflict(aStore, aRequest);
  }
  aStore.mEntries.erase(aRequest.mKey);
  StoreReply reply;
  reply.mRevision = ++aStore.mRevision;
  return reply;
}

StoreReply Renew(FakeStore& aStore,
                 const StoreRequest& aRequest,
                 TimePoint aNow)
{
  const auto found = aStore.mLeases.find(aRequest.mLease);
  if (found == aStore.mLeases.end()) {
    return Status(StoreStatus::kNotFound);
  }
  found->second.mExpiresAt = aNow + found->second.mTtl;
  StoreReply reply;
  reply.mLease = aRequest.mLease;
  return reply;
}

void DropLease(FakeStore& aStore, std::uint64_t aLease)
{
  aStore.mLeases.erase(aLease);
  const auto dropped = std::erase_if(aStore.mEntries, [&](const auto& aEntry) {
    return aEntry.second.mLease == aLease;
  });
  aStore.mRevision += dropped > 0 ? 1 : 0;
}

StoreReply Dispatch(FakeStore& aStore,
                    const StoreRequest& aRequest,
                    TimePoint aNow)
{
  StoreReply reply;
  switch (aRequest.mOp) {
    case StoreOp::kRead:
    case StoreOp::kWatch:
      return Read(aStore, aRequest);
    case StoreOp::kWrite:
      return Write(aStore, aRequest);
    case StoreOp::kErase:
      return Erase(aStore, aRequest);
    case StoreOp::kLeaseGrant:
      reply.mLease = aStore.mNextLease++;
      aStore.mLeases[reply.mLease] = { aRequest.mTtl, aNow + aRequest.mTtl };
      return reply;
    case StoreOp::kLeaseRenew:
      return Renew(aStore, aRequest, aNow);
    case StoreOp::kLeaseRevoke:
      DropLease(aStore, aRequest.mLease);
      return reply;
  }
  return reply;
}

bool IsRead(StoreOp aOp)
{
  return aOp == StoreOp::kRead || aOp == StoreOp::kWatch;
}

} // namespace

void ExpireLeases(FakeStore& aStore, TimePoint aNow)
{
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : aStore.mLeases) {
    if (lease.mExpiresAt <= aNow) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    DropLease(aStore, id);
  }
}

FakeStoreResult HandleStoreCall(FakeStore& aStore,
                                const StoreRequest& aRequest,
                                Duration aWaited,
                                TimePoint aNow)
{
  FakeStoreResult result;
  ExpireLeases(aStore, aNow);
  const bool isFirst = aWaited == Duration{ 0 };
  if (aStore.mFaults.mIsDown) {
    result.mReply = Status(StoreStatus::kUnavailable);
    return result;
  }
  if (isFirst) {
    ++aStore.mCounts[std::string(NameOf(aRequest.mOp))];
    auto& budget = IsRead(aRequest.mOp) ? aStore.mReads : aStore.mWrites;
    if (!TakeToken(budget, StorePriority::kLease, aNow)) {
      ++aStore.mCounts["rate-limited"];
      result.mReply = Status(StoreStatus::kRateLimited);
      return result;
    }
  }
  result.mReply = Dispatch(aStore, aRequest, aNow);
  result.mReply.mWaited = aWaited;
  if (aRequest.mOp == StoreOp::kWatch && result.mReply.mEntries.empty() &&
      aWaited < aRequest.mWait) {
    result.mIsWaiting = true;
    return result;
  }
  if (aStore.mFaults.mLostAnswers > 0) {
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    result.mIsLost = chance(aStore.mRandom) < aStore.mFaults.mLostAnswers;
  }
  return result;
}

} // namespace verbenacroft
