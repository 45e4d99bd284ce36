#include "vcFleetConfig.h"

namespace verbenacroft {

namespace {

std::string_view WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

const QueueConfig* FindQueue(const FleetConfig& aConfig,
                             std::string_view aHost,
                             std::string_view aPath)
{
  const QueueConfig* best = nullptr;
  for (const auto& queue : aConfig.mQueues) {
    const bool isMatch =
      queue.mHost == WithoutPort(aHost) && aPath.starts_with(queue.mPathPrefix);
    const bool isLonger =
      best == nullptr || queue.mPathPrefix.size() > best->mPathPrefix.size();
    if (isMatch && isLonger) {
      best = &queue;
    }
  }
  return best;
}

} // namespace verbenacroft
