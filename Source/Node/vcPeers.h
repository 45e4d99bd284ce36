#pragma once

/// What nodes ask each other: states of jobs, counts of waiting jobs, and
/// the relay of a call to the store for a node that can't reach it.

#include "vcNodeContext.h"

namespace verbenacroft {

/// What an owner knows of a job.
struct PeerJobAnswer
{
  bool mIsOwner = false;
  bool mIsKnown = false;
  BatchState mState = BatchState::kQueued;
};
BOOST_DESCRIBE_STRUCT(PeerJobAnswer, (), (mIsOwner, mIsKnown, mState))

/// An owner's count of jobs of which no task has started, by queue.
struct PeerWaitingAnswer
{
  bool mIsOwner = false;
  std::map<std::string, std::uint64_t> mWaiting;
};
BOOST_DESCRIBE_STRUCT(PeerWaitingAnswer, (), (mIsOwner, mWaiting))

/// Handler of the peers' address.
asio::awaitable<HttpResponse> AnswerPeer(NodeContext& aNode,
                                         const HttpRequest& aRequest);

asio::awaitable<PeerJobAnswer> AskOwner(NodeContext& aNode,
                                        std::uint32_t aShard,
                                        JobId aJob);

asio::awaitable<PeerWaitingAnswer> AskWaiting(NodeContext& aNode,
                                              std::uint32_t aShard);

/// Commits through the store, or through a peer if the store turns this
/// node away. `kRefused` is certain also with a relay.
asio::awaitable<KvReply> CommitAnyhow(NodeContext& aNode,
                                      KvTransaction aTransaction);

/// Reads through the store, or through a peer.
asio::awaitable<KvReply> ReadAnyhow(NodeContext& aNode, std::string aKey);

} // namespace verbenacroft
