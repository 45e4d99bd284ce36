#include "vcFormerOwner.h"

#include "vcServerSupport.h"
#include "vcShardRunner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Timeout of the request.
constexpr Duration kAskTimeout{ 500 };

void StopEarlierEpoch(NodeContext& aNode,
                      std::uint32_t aShard,
                      std::uint64_t aNewEpoch)
{
  const auto runner = aNode.mRunners.find(aShard);
  const bool isEarlier =
    runner != aNode.mRunners.end() && runner->second->Epoch() < aNewEpoch;
  if (!isEarlier) {
    return;
  }
  spdlog::warn("shard.lost shard={} epoch={} reason=new-owner-asks",
               aShard,
               runner->second->Epoch());
  runner->second->Stop();
}

void Shorten(UnansweredWorker& aWorker, TimePoint aEndAt)
{
  aWorker.mRunsEndAt = std::min(aWorker.mRunsEndAt, aEndAt);
}

} // namespace

FormerOwner FormerOwnerOf(const WorkerSetRecord& aEarlier)
{
  return { aEarlier.mOwner, aEarlier.mGeneration, aEarlier.mIsSettled };
}

FormerOwnerAnswer AnswerNewOwner(NodeContext& aNode,
                                 std::uint32_t aShard,
                                 std::uint64_t aNewEpoch)
{
  StopEarlierEpoch(aNode, aShard, aNewEpoch);
  FormerOwnerAnswer answer;
  answer.mNode = aNode.mSettings.mName;
  const auto stopped = aNode.mStoppedShards.find(aShard);
  if (stopped == aNode.mStoppedShards.end()) {
    return answer;
  }
  const TimePoint now = SuspendAwareNow();
  answer.mGeneration = stopped->second.mGeneration;
  for (const auto& [worker, endAt] : stopped->second.mRunsEndAt) {
    const auto endIn = std::max<std::int64_t>((endAt - now).count(), 0);
    answer.mWorkers.push_back({ worker, endIn });
  }
  return answer;
}

void RememberStoppedShard(NodeContext& aNode,
                          std::uint32_t aShard,
                          std::uint32_t aGeneration,
                          const DispatchShard& aState,
                          TimePoint aNow)
{
  StoppedShard stopped;
  stopped.mGeneration = aGeneration;
  for (const auto& [name, worker] : aState.mWorkers) {
    stopped.mRunsEndAt[name] = RunsEndAt(aState, worker, aNow);
  }
  aNode.mStoppedShards[aShard] = std::move(stopped);
}

asio::awaitable<std::optional<FormerOwnerAnswer>>
AskFormerOwner(NodeContext& aNode, std::uint32_t aShard, std::uint64_t aEpoch)
{
  const std::string& name = aNode.mFormerOwners.at(aShard).mNode;
  if (name == aNode.mSettings.mName) {
    co_return AnswerNewOwner(aNode, aShard, aEpoch);
  }
  const auto known = aNode.mPeerAddresses.find(name);
  if (known == aNode.mPeerAddresses.end()) {
    co_return std::nullopt;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = std::string(kFormerOwnerPath) + std::to_string(aShard);
  request.mBody = std::to_string(aEpoch);
  std::string address = known->second;
  auto answer = co_await CallPeer<FormerOwnerAnswer>(
    aNode.mHttp, std::move(address), std::move(request), kAskTimeout);
  // An address may have been given to another node.
  const bool isFromFormer = answer && answer->mNode == name;
  if (!isFromFormer) {
    co_return std::nullopt;
  }
  co_return answer;
}

void ApplyFormerOwnerAnswer(DispatchShard& aShard,
                            const FormerOwner& aFormer,
                            const FormerOwnerAnswer& aAnswer,
                            std::uint32_t aGeneration,
                            TimePoint aNow)
{
  if (aFormer.mGeneration + 1 != aGeneration) {
    return;
  }
  // All owners before it had been accounted for, and it has stopped now.
  if (aFormer.mIsSettled) {
    const TimePoint endAt = aNow + LongestLease(aShard.mBounds);
    for (auto& [name, worker] : aShard.mUnansweredWorkers) {
      Shorten(worker, endAt);
    }
  }
  if (aAnswer.mGeneration != aFormer.mGeneration) {
    return;
  }
  for (const auto& row : aAnswer.mWorkers) {
    const auto worker = aShard.mUnansweredWorkers.find(row.mWorker);
    if (worker != aShard.mUnansweredWorkers.end()) {
      Shorten(worker->second, aNow + Duration(row.mEndInMs));
    }
  }
}

} // namespace verbenacroft
