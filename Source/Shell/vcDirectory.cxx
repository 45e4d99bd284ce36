#include "vcDirectory.h"

#include "vcStoreCalls.h"

namespace verbenacroft {

namespace {
/// Maximum age, in ms, of the cached members of all data centres.
constexpr Duration kMaxAllMembersAge{ 1'000 };
} // namespace

Directory::Directory(StoreClient& aStore,
                     const Member& aSelf,
                     std::string aPeerToken)
  : mStore(aStore)
  , mPeerToken(std::move(aPeerToken))
{
  this->mState.mSelf = aSelf;
  this->mState.mPrefix = "dc/" + aSelf.mDataCentre + "/";
}

void Directory::Step(asio::io_context& aContext)
{
  TickOwnership(this->mState, MonotonicNow(), this->mOutbox);
  StartStoreCalls(
    aContext,
    this->mStore,
    this->mOutbox,
    [this](const auto&, auto aCall, const auto& aReply) {
      OnOwnershipReply(
        this->mState, aCall, aReply, MonotonicNow(), this->mOutbox);
    });
}

std::vector<Member> Directory::Members(Role aRole) const
{
  std::vector<Member> members;
  for (const auto& member : this->mState.mMembers) {
    if (member.mRole == aRole && !member.mIsLeaving) {
      members.push_back(member);
    }
  }
  return members;
}

asio::awaitable<std::vector<Member>> Directory::AllMembers()
{
  const TimePoint now = MonotonicNow();
  if (now - this->mAllMembersReadAt < kMaxAllMembersAge) {
    co_return this->mAllMembers;
  }
  this->mAllMembersReadAt = now;
  StoreRequest request;
  request.mKey = "dc/";
  request.mIsPrefix = true;
  const StoreReply reply =
    co_await this->mStore.Call(std::move(request), StorePriority::kOther);
  if (reply.mStatus == StoreStatus::kOk) {
    this->mAllMembers.clear();
    for (const auto& entry : reply.mEntries) {
      const bool isMember = entry.mKey.find("/member/") != std::string::npos;
      const auto member = TryDecode<Member>(entry.mValue);
      if (isMember && member) {
        this->mAllMembers.push_back(*member);
      }
    }
  }
  co_return this->mAllMembers;
}

const std::string& Directory::PeerToken() const
{
  return this->mPeerToken;
}

void Directory::Leave()
{
  this->mState.mIsLeaving = true;
}

} // namespace verbenacroft
