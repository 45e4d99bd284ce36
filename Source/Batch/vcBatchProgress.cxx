#include "vcBatchProgress.h"

namespace verbenacroft {

std::vector<std::uint32_t> RangesOf(const std::vector<bool>& aDone)
{
  std::vector<std::uint32_t> ranges;
  for (std::uint32_t i = 0; i < aDone.size(); ++i) {
    if (!aDone[i]) {
      continue;
    }
    const bool extendsLastRange = !ranges.empty() && ranges.back() + 1 == i;
    if (extendsLastRange) {
      ranges.back() = i;
    } else {
      ranges.push_back(i);
      ranges.push_back(i);
    }
  }
  return ranges;
}

void SetRanges(const std::vector<std::uint32_t>& aRanges,
               std::vector<bool>& aDone)
{
  for (std::size_t first = 0; first + 1 < aRanges.size(); first += 2) {
    for (std::size_t i = aRanges[first]; i <= aRanges[first + 1]; ++i) {
      if (i < aDone.size()) {
        aDone[i] = true;
      }
    }
  }
}

} // namespace verbenacroft
