#include "vcLineBudget.h"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacroft {

namespace {

constexpr Duration kWindow{ 1'000 };

void CountDropped(LineBudget& aBudget, std::string_view aEvent)
{
  const auto found = aBudget.mDropped.find(aEvent);
  if (found == aBudget.mDropped.end()) {
    aBudget.mDropped.emplace(aEvent, 1);
  } else {
    ++found->second;
  }
}

} // namespace

std::string_view EventOf(std::string_view aMessage)
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

DroppedLines OpenWindow(LineBudget& aBudget, TimePoint aNow)
{
  if (aNow - aBudget.mWindowStart < kWindow) {
    return {};
  }
  aBudget.mWindowStart = aNow;
  aBudget.mFrequent = 0;
  aBudget.mRare = 0;
  return std::exchange(aBudget.mDropped, {});
}

bool Admit(LineBudget& aBudget, std::string_view aEvent, bool aIsFull)
{
  const bool isFrequent = IsFrequentEvent(aEvent);
  std::uint32_t& lines = isFrequent ? aBudget.mFrequent : aBudget.mRare;
  const std::uint32_t limit =
    isFrequent ? aBudget.mFrequentPerSecond : aBudget.mRarePerSecond;
  if (lines >= limit || (isFrequent && aIsFull)) {
    CountDropped(aBudget, aEvent);
    return false;
  }
  ++lines;
  return true;
}

} // namespace verbenacroft
