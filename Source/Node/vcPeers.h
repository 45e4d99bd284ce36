#pragma once

/// Calls between nodes: queries of a shard's owner for the state of a job or
/// the number of waiting jobs, and relayed store calls for a node that can't
/// reach the store.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Answer of a node about a job of a shard.
struct PeerJobAnswer
{
  /// The node owns the shard and has loaded it.
  bool mIsOwner = false;
  /// The job is known, so `mState` is valid.
  bool mIsKnown = false;
  BatchState mState = BatchState::kQueued;
};
BOOST_DESCRIBE_STRUCT(PeerJobAnswer, (), (mIsOwner, mIsKnown, mState))

/// Maximum age of a number of waiting jobs, by the callers' contract.
constexpr Duration kMaxCountAge{ 2'000 };

/// Answer of a node about the waiting jobs of a shard.
struct PeerWaitingAnswer
{
  /// The node owns the shard, and has read its inbox lately enough to know.
  bool mIsOwner = false;
  /// Jobs that were accepted longer ago than this, in ms, are counted.
  std::optional<Duration> mAge;
  /// Number of jobs without a started task, by queue.
  std::map<std::string, std::uint64_t> mWaiting;
};
BOOST_DESCRIBE_STRUCT(PeerWaitingAnswer, (), (mIsOwner, mAge, mWaiting))

/// Handles a request of another node.
asio::awaitable<HttpResponse> HandlePeerRequest(NodeContext& aNode,
                                                const HttpRequest& aRequest);

/// Queries the owner of a shard for the state of a job. `mIsOwner` is false if
/// the owner is unknown or doesn't answer in time.
asio::awaitable<PeerJobAnswer> QueryOwnerForJob(NodeContext& aNode,
                                                std::uint32_t aShard,
                                                JobId aJob);

/// Queries the owner of a shard for its waiting jobs. `mIsOwner` is false if
/// the owner is unknown, doesn't answer in time, or doesn't know because its
/// view of the inbox is too old.
asio::awaitable<PeerWaitingAnswer> QueryOwnerForWaiting(NodeContext& aNode,
                                                        std::uint32_t aShard);

/// Commits a transaction, directly or, if the store can't be reached or refuses
/// the call, through a peer. `kRefused` and `kRejected` mean that the
/// transaction was certainly not applied, also if it was relayed. A rejected
/// one is not relayed, since the store would reject it again.
asio::awaitable<KvReply> CommitWithRelay(NodeContext& aNode,
                                         KvTransaction aTransaction);

/// Reads one key, directly or, if the store doesn't answer, through a peer.
asio::awaitable<KvReply> ReadWithRelay(NodeContext& aNode, std::string aKey);

} // namespace verbenacroft
