/// The judges of a fleet: waiting jobs, owners, and what has to be true at the
/// end.

#include "vcFleetState.h"

#include "vcPeers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A number of waiting jobs may leave out jobs that were accepted later.
constexpr Duration kCountedWithin{ 5'000 };

} // namespace

void Fleet::Problem(std::string aText)
{
  this->mResult.mProblems.push_back(
    fmt::format("{} ms: {}", (this->mNow - kStart).count(), aText));
}

std::size_t Fleet::LongWaiting(std::uint32_t aShard) const
{
  return static_cast<std::size_t>(std::count_if(
    this->mAcceptedAt.begin(), this->mAcceptedAt.end(), [&](const auto& aJob) {
      return ShardOf(aJob.first, this->mOptions.mShards) == aShard &&
             this->mNow - aJob.second > kCountedWithin &&
             !this->mCancelled.contains(aJob.first) &&
             !this->mWorkers.mBegun.contains(aJob.first);
    }));
}

void Fleet::CheckCountIsNotDue(const NodeContext& aNode, std::uint32_t aShard)
{
  const auto runner = aNode.mRunners.find(aShard);
  const bool isAtWork = runner != aNode.mRunners.end() &&
                        runner->second->IsLoaded() &&
                        !runner->second->IsStopped();
  const bool isCalm = this->mNow > this->mCalmAt + kOwnedWithin &&
                      (this->mNow < this->mLeaseFaultsAt ||
                       this->mNow > this->mLeaseFaultsEnd + kOwnedWithin);
  if (isAtWork && isCalm) {
    this->Problem(fmt::format("{} doesn't know how many jobs of shard {} wait",
                              aNode.mSettings.mName,
                              aShard));
  }
}

asio::awaitable<void> Fleet::CheckCount(NodeContext& aNode,
                                        std::uint32_t aShard)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = fmt::format("/peer/waiting/{}", aShard);
  const HttpResponse response = co_await HandlePeerRequest(aNode, request);
  const auto answer = TryDecode<PeerWaitingAnswer>(response.mBody);
  const bool isFact = answer && answer->mIsOwner;
  if (!isFact) {
    this->CheckCountIsNotDue(aNode, aShard);
    co_return;
  }
  const auto queue = answer->mWaiting.find(MakeTerms().mQueue);
  const std::size_t counted =
    queue == answer->mWaiting.end() ? 0 : queue->second;
  const std::size_t waiting = this->LongWaiting(aShard);
  if (2 * counted < waiting) {
    this->Problem(fmt::format("{} says that {} jobs of shard {} wait; {} do",
                              aNode.mSettings.mName,
                              counted,
                              aShard,
                              waiting));
  }
}

void Fleet::AskForCounts()
{
  for (auto& [name, life] : this->mLives) {
    for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
      asio::co_spawn(
        *life.mIo, this->CheckCount(*life.mNode, shard), asio::detached);
    }
  }
}

void Fleet::CheckOwners()
{
  for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
    const auto key = this->mStore.mItems.find(OwnerKey(shard));
    if (key == this->mStore.mItems.end()) {
      this->Problem(fmt::format("shard {} has no owner", shard));
      continue;
    }
    const auto record = TryDecode<ShardOwnerRecord>(key->second.mValue);
    const auto life = this->mLives.find(record ? record->mNode : "");
    const auto& runners =
      life == this->mLives.end()
        ? std::map<std::uint32_t, std::shared_ptr<ShardRunner>>{}
        : life->second.mNode->mRunners;
    const auto runner = runners.find(shard);
    const bool isAtWork =
      runner != runners.end() && runner->second->IsLoaded() &&
      !runner->second->IsStopped() &&
      runner->second->Epoch() == key->second.mCreateRevision;
    if (!isAtWork) {
      this->Problem(fmt::format("shard {} of {} isn't at work, lease {}",
                                shard,
                                record ? record->mNode : "?",
                                key->second.mLease));
    }
  }
}

void Fleet::CheckLargeOwners()
{
  for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
    const auto key = this->mStore.mItems.find(OwnerKey(shard));
    const auto record = key == this->mStore.mItems.end()
                          ? std::nullopt
                          : TryDecode<ShardOwnerRecord>(key->second.mValue);
    if (record && this->IsSmall(record->mNode)) {
      this->Problem(fmt::format(
        "shard {} is owned by {}, which is small", shard, record->mNode));
    }
  }
}

std::optional<BatchState> Fleet::StoredState(const JobId& aId) const
{
  const std::uint32_t shard = ShardOf(aId, this->mOptions.mShards);
  const auto item = this->mStore.mItems.find(ProgressKey(shard, aId));
  if (item == this->mStore.mItems.end()) {
    return std::nullopt;
  }
  const auto progress = TryDecode<BatchProgress>(item->second.mValue);
  return progress ? std::optional(progress->mState) : std::nullopt;
}

bool Fleet::IsGivenUp(const JobId& aId) const
{
  const auto& crashed = this->mWorkers.mCrashedUnder;
  const bool isAllowed =
    std::any_of(crashed.begin(), crashed.end(), [&](const auto& aRow) {
      return aRow.first.mJob == aId && aRow.second.mWasAlone;
    });
  return isAllowed && this->StoredState(aId) == BatchState::kFailed;
}

void Fleet::CheckLasting(const std::set<JobId>& aJobs)
{
  for (const auto& [task, plan] : this->mWorkers.mPlans) {
    const bool isOwed = plan.mIsLasting && aJobs.contains(task.mJob) &&
                        !this->mCancelled.contains(task.mJob) &&
                        !this->mDeadly.contains(task.mJob) &&
                        !this->IsGivenUp(task.mJob);
    if (isOwed && this->mWorkers.mRunning[task].empty()) {
      this->Problem(Describe(task) + " doesn't run");
    }
  }
}

void Fleet::CheckBegun()
{
  for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
    const std::size_t waiting = this->LongWaiting(shard);
    if (waiting > 0) {
      this->Problem(
        fmt::format("{} jobs of shard {} are held back", waiting, shard));
    }
  }
}

void Fleet::CheckEnd()
{
  // Two runs of a task at once are the gravest, so they are shown first.
  for (const auto& text : this->mWorkers.mProblems) {
    this->mResult.mProblems.push_back(text);
  }
  if (this->mOptions.mPlay == FleetPlay::kChokedOwner) {
    this->mResult.mProblems.insert(this->mResult.mProblems.begin(),
                                   this->mWorkers.mStartsAfterListing.begin(),
                                   this->mWorkers.mStartsAfterListing.end());
  }
  for (const auto& end : this->mWorkers.mRepeated) {
    if (this->mWorkers.mAcknowledged.contains(end)) {
      this->Problem(Describe(end.first) + " was started after its end");
    }
  }
  for (const auto& [task, places] : this->mWorkers.mRunning) {
    if (this->mRefused.contains(task.mJob)) {
      this->Problem(Describe(task) + " was started though its job was refused");
    }
  }
  for (const auto& id : this->mJobs) {
    if (this->mLasting.contains(id) || this->mCancelled.contains(id) ||
        this->mDeadly.contains(id) || this->IsGivenUp(id)) {
      continue;
    }
    if (this->StoredState(id) != BatchState::kCompleted) {
      this->Problem(fmt::format("job {} of shard {} isn't completed",
                                id,
                                ShardOf(id, this->mOptions.mShards)));
    }
  }
  this->CheckLasting(this->mLasting);
  this->CheckDeadlyTasks();
  for (const auto& text : this->mStore.mRejectedWrites) {
    this->mResult.mProblems.push_back(text);
  }
}

} // namespace verbenacroft
