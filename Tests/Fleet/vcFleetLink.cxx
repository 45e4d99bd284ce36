#include "vcFleetLink.h"

#include <algorithm>
#include <cmath>

namespace verbenacroft {

namespace {

constexpr double kMsPerSecond = 1'000;

/// @param aPerMs rate at which the queue is carried
TimePoint Queue(CarryQueue& aQueue,
                double aAmount,
                double aPerMs,
                TimePoint aNow)
{
  const auto elapsed = static_cast<double>((aNow - aQueue.mAt).count());
  aQueue.mBacklog = std::max(aQueue.mBacklog - elapsed * aPerMs, 0.0);
  aQueue.mBacklog += aAmount;
  aQueue.mAt = aNow;
  const double ms = std::ceil(aQueue.mBacklog / aPerMs);
  return aNow + Duration(static_cast<std::int64_t>(ms));
}

TimePoint QueueOnLink(const NodeLink& aLink,
                      CarryQueue& aQueue,
                      double aBytes,
                      TimePoint aNow)
{
  if (aLink.mBytesPerSecond <= 0) {
    return aNow;
  }
  return Queue(aQueue, aBytes, aLink.mBytesPerSecond / kMsPerSecond, aNow);
}

} // namespace

bool IsLimited(const NodeLink& aLink)
{
  return aLink.mBytesPerSecond > 0 || aLink.mReplyMs > 0;
}

TimePoint QueueSent(NodeLink& aLink, double aBytes, TimePoint aNow)
{
  return QueueOnLink(aLink, aLink.mSent, aBytes, aNow);
}

TimePoint QueueReceived(NodeLink& aLink, double aBytes, TimePoint aNow)
{
  return QueueOnLink(aLink, aLink.mReceived, aBytes, aNow);
}

TimePoint QueueUnread(NodeLink& aLink, TimePoint aNow)
{
  return Queue(aLink.mUnread, aLink.mReplyMs, 1, aNow);
}

} // namespace verbenacroft
