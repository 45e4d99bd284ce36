#pragma once

/// A node's link and event loop, as far as its calls to workers need them: a
/// call whose messages queue there for too long fails for the caller, though
/// the worker answers it and its bytes are still carried.

#include "vcNode.h"

#include <map>

namespace verbenacroft {

/// What has to be carried, in units of the rate at which it is carried.
struct CarryQueue
{
  double mBacklog = 0;
  TimePoint mAt{ 0 };
};

/// Link and event loop of one node.
struct NodeLink
{
  /// Bandwidth in each direction, in bytes per second; 0 for no limit.
  double mBytesPerSecond = 0;
  /// Time of the event loop for one reply, in ms.
  double mReplyMs = 0;
  CarryQueue mSent;
  CarryQueue mReceived;
  /// Replies that have arrived and that the event loop hasn't read.
  CarryQueue mUnread;
  /// Connections without a call, by worker.
  std::map<std::string, std::uint32_t> mIdleConnections;
};

/// True if calls have to queue at all.
bool IsLimited(const NodeLink& aLink);

/// Queues a message that the node sends.
/// @return when it has been carried
TimePoint QueueSent(NodeLink& aLink, double aBytes, TimePoint aNow);

/// Queues a message that the node receives.
/// @return when it has been carried
TimePoint QueueReceived(NodeLink& aLink, double aBytes, TimePoint aNow);

/// Queues a reply that has been carried.
/// @return when the event loop has read it
TimePoint QueueUnread(NodeLink& aLink, TimePoint aNow);

} // namespace verbenacroft
