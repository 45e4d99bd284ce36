#include "vcLogRateLimiter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacroft {

namespace {

constexpr Duration kWindowLength{ 1'000 };

void CountDropped(LogRateLimiter& aLimiter, std::string_view aEvent)
{
  const auto found = aLimiter.mDropped.find(aEvent);
  if (found == aLimiter.mDropped.end()) {
    aLimiter.mDropped.emplace(aEvent, 1);
  } else {
    ++found->second;
  }
}

} // namespace

std::string_view EventName(std::string_view aMessage)
{
  return aMessage.substr(0, aMessage.find(' '));
}

bool IsFrequentEvent(std::string_view aEvent)
{
  constexpr std::array<std::string_view, 3> kPrefixes{ "task.",
                                                       "job.",
                                                       "caller." };
  return std::any_of(
    kPrefixes.begin(), kPrefixes.end(), [&](std::string_view aPrefix) {
      return aEvent.starts_with(aPrefix);
    });
}

DroppedLines AdvanceWindow(LogRateLimiter& aLimiter, TimePoint aNow)
{
  if (aNow - aLimiter.mWindowStart < kWindowLength) {
    return {};
  }
  aLimiter.mWindowStart = aNow;
  aLimiter.mFrequent = 0;
  aLimiter.mRare = 0;
  return std::exchange(aLimiter.mDropped, {});
}

bool AdmitLine(LogRateLimiter& aLimiter,
               std::string_view aEvent,
               bool aIsCongested)
{
  const bool isFrequent = IsFrequentEvent(aEvent);
  std::uint32_t& admitted = isFrequent ? aLimiter.mFrequent : aLimiter.mRare;
  const std::uint32_t limit =
    isFrequent ? aLimiter.mFrequentPerSecond : aLimiter.mRarePerSecond;
  if (admitted >= limit || (isFrequent && aIsCongested)) {
    CountDropped(aLimiter, aEvent);
    return false;
  }
  ++admitted;
  return true;
}

} // namespace verbenacroft
