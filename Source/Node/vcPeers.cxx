#include "vcPeers.h"

#include "vcServerSupport.h"
#include "vcShardRunner.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

constexpr std::string_view kJobPath = "/peer/job/";
constexpr std::string_view kWaitingPath = "/peer/waiting/";
constexpr std::string_view kCommitPath = "/peer/commit";
constexpr std::string_view kReadPath = "/peer/read";
constexpr Duration kAskTimeout{ 250 };
/// Longer than a call of the store, so that the relay's outcome is known.
constexpr Duration kRelayTimeout{ 1'200 };
/// Peers that are tried with a relay.
constexpr std::size_t kMostRelays = 2;

std::shared_ptr<ShardRunner> RunnerOf(const NodeContext& aNode,
                                      std::uint32_t aShard)
{
  const auto found = aNode.mRunners.find(aShard);
  const bool isReady = found != aNode.mRunners.end() &&
                       found->second->IsLoaded() && !found->second->IsStopped();
  return isReady ? found->second : nullptr;
}

PeerJobAnswer LocalJob(const NodeContext& aNode,
                       std::uint32_t aShard,
                       const JobId& aJob)
{
  PeerJobAnswer answer;
  const auto runner = RunnerOf(aNode, aShard);
  if (runner == nullptr) {
    return answer;
  }
  answer.mIsOwner = true;
  const auto state = runner->StateOf(aJob);
  answer.mIsKnown = state.has_value();
  answer.mState = state.value_or(BatchState::kQueued);
  return answer;
}

PeerWaitingAnswer LocalWaiting(const NodeContext& aNode, std::uint32_t aShard)
{
  PeerWaitingAnswer answer;
  const auto runner = RunnerOf(aNode, aShard);
  if (runner != nullptr) {
    answer.mIsOwner = true;
    answer.mWaiting = runner->Waiting();
  }
  return answer;
}

HttpRequest Ask(std::string aMethod, std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

/// Address of the shard's owner if that is another node.
std::optional<std::string> OwnerAddress(const NodeContext& aNode,
                                        std::uint32_t aShard)
{
  const auto owner = aNode.mOwners.find(aShard);
  const bool isOther = owner != aNode.mOwners.end() &&
                       owner->second.mRecord.mNode != aNode.mSettings.mName;
  if (!isOther) {
    return std::nullopt;
  }
  return owner->second.mRecord.mPeerAddress;
}

/// Peers to relay through: those of other data centres and of this one by
/// turns, since a cut mostly takes a whole data centre.
std::vector<std::string> RelayAddresses(const NodeContext& aNode)
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, record] : aNode.mNodes) {
    if (name == aNode.mSettings.mName) {
      continue;
    }
    const bool isNear = record.mDataCentre == aNode.mSettings.mDataCentre;
    (isNear ? near : far).push_back(record.mPeerAddress);
  }
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < std::max(near.size(), far.size()); ++i) {
    if (i < far.size()) {
      addresses.push_back(far[i]);
    }
    if (i < near.size()) {
      addresses.push_back(near[i]);
    }
  }
  addresses.resize(std::min(addresses.size(), kMostRelays));
  return addresses;
}

/// A peer that can't reach the store either says so at once, so that the
/// caller hears the truth while it waits.
KvReply RefusedByPeer()
{
  KvReply reply;
  reply.mStatus = KvStatus::kRefused;
  return reply;
}

/// Asks peers to make a call of the store.
asio::awaitable<KvReply> Relay(NodeContext& aNode,
                               std::string_view aPath,
                               std::string aBody)
{
  KvReply last;
  last.mStatus = KvStatus::kRefused;
  for (const auto& address : RelayAddresses(aNode)) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      continue;
    }
    ++aNode.mCounters.mRelayed;
    HttpCallOptions options;
    options.mTimeout = kRelayTimeout;
    HttpRequest request = Ask("POST", std::string(aPath), aBody);
    const HttpResult result =
      co_await aNode.mHttp.Call(*endpoint, std::move(request), options);
    if (result.mError && !result.mWasSent) {
      continue;
    }
    const auto reply =
      result.mError ? std::nullopt : TryDecode<KvReply>(result.mResponse.mBody);
    if (!reply) {
      last.mStatus = KvStatus::kUnknown;
      co_return last;
    }
    if (reply->mStatus != KvStatus::kRefused) {
      co_return *reply;
    }
  }
  co_return last;
}

} // namespace

asio::awaitable<HttpResponse> AnswerPeer(NodeContext& aNode,
                                         const HttpRequest& aRequest)
{
  const std::string path(PathOf(aRequest));
  const std::string body = aRequest.mBody;
  if (path.starts_with(kJobPath) && aNode.mShards > 0) {
    const JobId job = path.substr(kJobPath.size());
    co_return JsonResponse(
      Encode(LocalJob(aNode, ShardOf(job, aNode.mShards), job)));
  }
  if (path.starts_with(kWaitingPath)) {
    const auto shard =
      std::strtoul(path.c_str() + kWaitingPath.size(), nullptr, 10);
    co_return JsonResponse(
      Encode(LocalWaiting(aNode, static_cast<std::uint32_t>(shard))));
  }
  const bool isRelay = path == kCommitPath || path == kReadPath;
  if (isRelay && IsStoreDown(aNode, SuspendAwareNow())) {
    co_return JsonResponse(Encode(RefusedByPeer()));
  }
  if (path == kCommitPath) {
    Faults faults;
    auto transaction = Decode<KvTransaction>(body, faults);
    if (!faults.empty()) {
      co_return ErrorResponse(400, Describe(faults[0]));
    }
    const KvReply reply = co_await aNode.mStore.mCommit(std::move(transaction));
    NoteStoreReply(aNode, reply);
    co_return JsonResponse(Encode(reply));
  }
  if (path == kReadPath) {
    const KvReply reply = co_await aNode.mStore.mRead(body);
    NoteStoreReply(aNode, reply);
    co_return JsonResponse(Encode(reply));
  }
  co_return ErrorResponse(404, "no such path");
}

asio::awaitable<PeerJobAnswer> AskOwner(NodeContext& aNode,
                                        std::uint32_t aShard,
                                        JobId aJob)
{
  const PeerJobAnswer local = LocalJob(aNode, aShard, aJob);
  const auto address = OwnerAddress(aNode, aShard);
  if (local.mIsOwner || !address) {
    co_return local;
  }
  HttpRequest request = Ask("GET", std::string(kJobPath) + aJob, {});
  const auto answer = co_await CallPeer<PeerJobAnswer>(
    aNode.mHttp, *address, std::move(request), kAskTimeout);
  co_return answer.value_or(PeerJobAnswer{});
}

asio::awaitable<PeerWaitingAnswer> AskWaiting(NodeContext& aNode,
                                              std::uint32_t aShard)
{
  const PeerWaitingAnswer local = LocalWaiting(aNode, aShard);
  const auto address = OwnerAddress(aNode, aShard);
  if (local.mIsOwner || !address) {
    co_return local;
  }
  HttpRequest request =
    Ask("GET", std::string(kWaitingPath) + std::to_string(aShard), {});
  const auto answer = co_await CallPeer<PeerWaitingAnswer>(
    aNode.mHttp, *address, std::move(request), kAskTimeout);
  co_return answer.value_or(PeerWaitingAnswer{});
}

asio::awaitable<KvReply> CommitAnyhow(NodeContext& aNode,
                                      KvTransaction aTransaction)
{
  KvReply reply;
  reply.mStatus = KvStatus::kRefused;
  if (!IsStoreDown(aNode, SuspendAwareNow())) {
    reply = co_await aNode.mStore.mCommit(aTransaction);
    NoteStoreReply(aNode, reply);
  }
  if (reply.mStatus == KvStatus::kRefused) {
    std::string body = Encode(aTransaction);
    reply = co_await Relay(aNode, kCommitPath, std::move(body));
  }
  co_return reply;
}

asio::awaitable<KvReply> ReadAnyhow(NodeContext& aNode, std::string aKey)
{
  KvReply reply;
  reply.mStatus = KvStatus::kRefused;
  if (!IsStoreDown(aNode, SuspendAwareNow())) {
    reply = co_await aNode.mStore.mRead(aKey);
    NoteStoreReply(aNode, reply);
  }
  const bool isAnswer =
    reply.mStatus != KvStatus::kRefused && reply.mStatus != KvStatus::kUnknown;
  if (!isAnswer) {
    reply = co_await Relay(aNode, kReadPath, std::move(aKey));
  }
  co_return reply;
}

} // namespace verbenacroft
