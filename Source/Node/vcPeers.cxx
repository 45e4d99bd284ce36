#include "vcPeers.h"

#include "vcFormerOwner.h"
#include "vcServerSupport.h"
#include "vcShardRunner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::string_view kJobPath = "/peer/job/";
constexpr std::string_view kWaitingPath = "/peer/waiting/";
constexpr std::string_view kCommitPath = "/peer/commit";
constexpr std::string_view kReadPath = "/peer/read";
/// Timeout of a query of a shard's owner.
constexpr Duration kQueryTimeout{ 250 };
/// Maximum age of an owner's view of the inbox when it says how many jobs wait,
/// so that the count isn't too old once it has arrived.
constexpr Duration kMaxInboxAge = kMaxCountAge - kQueryTimeout;
/// Timeout of a relayed store call. It is longer than the timeout of a read
/// from the store, so that the relaying peer can report the outcome. A commit
/// may take longer; its outcome then is unknown to this node.
constexpr Duration kRelayTimeout{ 1'200 };
/// Maximum number of peers that are asked to relay one store call.
constexpr std::size_t kMaxRelays = 2;

/// Runner of a shard that this node owns and has loaded, or null.
std::shared_ptr<ShardRunner> FindLoadedRunner(const NodeContext& aNode,
                                              std::uint32_t aShard)
{
  const auto found = aNode.mRunners.find(aShard);
  const bool isReady = found != aNode.mRunners.end() &&
                       found->second->IsLoaded() && !found->second->IsStopped();
  return isReady ? found->second : nullptr;
}

/// Answer of this node about a job.
PeerJobAnswer LocalJobAnswer(const NodeContext& aNode,
                             std::uint32_t aShard,
                             const JobId& aJob)
{
  PeerJobAnswer answer;
  const auto runner = FindLoadedRunner(aNode, aShard);
  if (runner == nullptr) {
    return answer;
  }
  answer.mIsOwner = true;
  const auto state = runner->StateOf(aJob);
  answer.mIsKnown = state.has_value();
  answer.mState = state.value_or(BatchState::kQueued);
  return answer;
}

/// Answer of this node about the waiting jobs of a shard.
PeerWaitingAnswer LocalWaitingAnswer(const NodeContext& aNode,
                                     std::uint32_t aShard)
{
  PeerWaitingAnswer answer;
  const auto runner = FindLoadedRunner(aNode, aShard);
  if (runner == nullptr) {
    return answer;
  }
  const Duration age = SuspendAwareNow() - runner->Inbox().mCompleteAt;
  if (age > kMaxInboxAge) {
    return answer;
  }
  answer.mIsOwner = true;
  answer.mAge = age;
  answer.mWaiting = runner->Waiting();
  return answer;
}

/// Request to a peer.
HttpRequest MakePeerRequest(std::string aMethod,
                            std::string aTarget,
                            std::string aBody)
{
  HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

/// Peer address of the shard's owner, or nothing if the shard has no known
/// owner or this node owns it.
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

/// A peer that may make a store call for this node.
struct RelayPeer
{
  std::string mNode;
  std::string mAddress;
  /// When it last failed to; `kNever` if its last call succeeded.
  TimePoint mFailedAt{ kNever };
};

/// The peers that are asked to relay a call. Peers of other data centres and of
/// this one alternate, beginning with another data centre, since a network
/// partition mostly affects a whole data centre. Those that have failed come
/// last, the longest ago first: the table of nodes doesn't change during a
/// partition, so the same ones would always be asked.
std::vector<RelayPeer> RelayPeers(const NodeContext& aNode)
{
  std::vector<RelayPeer> sameDataCentre;
  std::vector<RelayPeer> otherDataCentres;
  for (const auto& [name, record] : aNode.mNodes) {
    if (name == aNode.mSettings.mName) {
      continue;
    }
    const bool isSameDataCentre =
      record.mDataCentre == aNode.mSettings.mDataCentre;
    const auto failed = aNode.mRelayFailedAt.find(name);
    (isSameDataCentre ? sameDataCentre : otherDataCentres)
      .push_back(
        { name,
          record.mPeerAddress,
          failed == aNode.mRelayFailedAt.end() ? kNever : failed->second });
  }
  std::vector<RelayPeer> peers;
  for (std::size_t i = 0;
       i < std::max(sameDataCentre.size(), otherDataCentres.size());
       ++i) {
    if (i < otherDataCentres.size()) {
      peers.push_back(otherDataCentres[i]);
    }
    if (i < sameDataCentre.size()) {
      peers.push_back(sameDataCentre[i]);
    }
  }
  std::stable_sort(peers.begin(),
                   peers.end(),
                   [](const RelayPeer& aLeft, const RelayPeer& aRight) {
                     return aLeft.mFailedAt < aRight.mFailedAt;
                   });
  peers.resize(std::min(peers.size(), kMaxRelays));
  return peers;
}

/// Reply to a relayed store call if this node can't reach the store either. It
/// is sent at once, so that the calling node still has time to use it.
KvReply RefusedReply()
{
  KvReply reply;
  reply.mStatus = KvStatus::kRefused;
  return reply;
}

/// Asks one peer to make a store call.
/// @return `kRefused` if it didn't get the call or didn't make it, and
/// `kUnknown` if it may have made it
asio::awaitable<KvReply> RelayThrough(NodeContext& aNode,
                                      std::string aAddress,
                                      std::string_view aPath,
                                      std::string aBody)
{
  KvReply failed;
  failed.mStatus = KvStatus::kRefused;
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return failed;
  }
  ++aNode.mCounters.mRelayedCalls;
  HttpCallOptions options;
  options.mTimeout = kRelayTimeout;
  HttpRequest request =
    MakePeerRequest("POST", std::string(aPath), std::move(aBody));
  const HttpResult result =
    co_await aNode.mHttp.Call(*endpoint, std::move(request), options);
  if (result.mError && !result.mWasSent) {
    co_return failed;
  }
  failed.mStatus = KvStatus::kUnknown;
  const auto reply =
    result.mError ? std::nullopt : TryDecode<KvReply>(result.mResponse.mBody);
  co_return reply.value_or(failed);
}

/// Asks peers to make a store call, one after another, until one of them
/// doesn't refuse. Stops at the first unknown outcome, since the call may have
/// taken effect.
/// @return `kRefused` if no peer could make the call
asio::awaitable<KvReply> Relay(NodeContext& aNode,
                               std::string_view aPath,
                               std::string aBody)
{
  KvReply last;
  last.mStatus = KvStatus::kRefused;
  for (const auto& peer : RelayPeers(aNode)) {
    last = co_await RelayThrough(aNode, peer.mAddress, aPath, aBody);
    if (IsAnswered(last.mStatus)) {
      aNode.mRelayFailedAt.erase(peer.mNode);
    } else {
      aNode.mRelayFailedAt[peer.mNode] = SuspendAwareNow();
    }
    if (last.mStatus != KvStatus::kRefused) {
      break;
    }
  }
  co_return last;
}

} // namespace

asio::awaitable<HttpResponse> HandlePeerRequest(NodeContext& aNode,
                                                const HttpRequest& aRequest)
{
  const std::string path(PathOf(aRequest));
  const std::string body = aRequest.mBody;
  if (path.starts_with(kJobPath) && aNode.mShards > 0) {
    const JobId job = path.substr(kJobPath.size());
    co_return JsonResponse(
      Encode(LocalJobAnswer(aNode, ShardOf(job, aNode.mShards), job)));
  }
  if (path.starts_with(kWaitingPath)) {
    const auto shard =
      std::strtoul(path.c_str() + kWaitingPath.size(), nullptr, 10);
    co_return JsonResponse(
      Encode(LocalWaitingAnswer(aNode, static_cast<std::uint32_t>(shard))));
  }
  if (path.starts_with(kFormerOwnerPath)) {
    const auto shard =
      std::strtoul(path.c_str() + kFormerOwnerPath.size(), nullptr, 10);
    const auto epoch = std::strtoull(body.c_str(), nullptr, 10);
    co_return JsonResponse(
      Encode(AnswerNewOwner(aNode, static_cast<std::uint32_t>(shard), epoch)));
  }
  const bool isRelay = path == kCommitPath || path == kReadPath;
  if (isRelay && IsStoreDown(aNode, SuspendAwareNow())) {
    co_return JsonResponse(Encode(RefusedReply()));
  }
  if (path == kCommitPath) {
    Faults faults;
    auto transaction = Decode<KvTransaction>(body, faults);
    if (!faults.empty()) {
      co_return ErrorResponse(400, Describe(faults[0]));
    }
    const KvReply reply = co_await aNode.mStore.mCommit(std::move(transaction));
    UpdateStoreHealth(aNode, reply);
    co_return JsonResponse(Encode(reply));
  }
  if (path == kReadPath) {
    const KvReply reply = co_await aNode.mStore.mRead(body);
    UpdateStoreHealth(aNode, reply);
    co_return JsonResponse(Encode(reply));
  }
  co_return ErrorResponse(404, "no such path");
}

asio::awaitable<PeerJobAnswer> QueryOwnerForJob(NodeContext& aNode,
                                                std::uint32_t aShard,
                                                JobId aJob)
{
  const PeerJobAnswer local = LocalJobAnswer(aNode, aShard, aJob);
  const auto address = OwnerAddress(aNode, aShard);
  if (local.mIsOwner || !address) {
    co_return local;
  }
  HttpRequest request =
    MakePeerRequest("GET", std::string(kJobPath) + aJob, {});
  const auto answer = co_await CallPeer<PeerJobAnswer>(
    aNode.mHttp, *address, std::move(request), kQueryTimeout);
  co_return answer.value_or(PeerJobAnswer{});
}

asio::awaitable<PeerWaitingAnswer> QueryOwnerForWaiting(NodeContext& aNode,
                                                        std::uint32_t aShard)
{
  const PeerWaitingAnswer local = LocalWaitingAnswer(aNode, aShard);
  const auto address = OwnerAddress(aNode, aShard);
  if (local.mIsOwner || !address) {
    co_return local;
  }
  HttpRequest request = MakePeerRequest(
    "GET", std::string(kWaitingPath) + std::to_string(aShard), {});
  const auto answer = co_await CallPeer<PeerWaitingAnswer>(
    aNode.mHttp, *address, std::move(request), kQueryTimeout);
  co_return answer.value_or(PeerWaitingAnswer{});
}

asio::awaitable<KvReply> CommitWithRelay(NodeContext& aNode,
                                         KvTransaction aTransaction)
{
  KvReply reply;
  reply.mStatus = KvStatus::kRefused;
  if (!IsStoreDown(aNode, SuspendAwareNow())) {
    reply = co_await aNode.mStore.mCommit(aTransaction);
    UpdateStoreHealth(aNode, reply);
  }
  if (reply.mStatus == KvStatus::kRefused) {
    std::string body = Encode(aTransaction);
    reply = co_await Relay(aNode, kCommitPath, std::move(body));
  }
  co_return reply;
}

asio::awaitable<KvReply> ReadWithRelay(NodeContext& aNode, std::string aKey)
{
  KvReply reply;
  reply.mStatus = KvStatus::kRefused;
  if (!IsStoreDown(aNode, SuspendAwareNow())) {
    reply = co_await aNode.mStore.mRead(aKey);
    UpdateStoreHealth(aNode, reply);
  }
  if (!IsAnswered(reply.mStatus)) {
    reply = co_await Relay(aNode, kReadPath, std::move(aKey));
  }
  co_return reply;
}

} // namespace verbenacroft
