#pragma once

/// Buckets of the latency histograms on a node's metrics page.

#include "vcTime.h"

#include <algorithm>
#include <vector>

namespace verbenacroft {

/// Upper bounds of the buckets, in ms. A histogram has one more bucket, for the
/// durations above every bound.
inline const std::vector<double>& LatencyBoundsMs()
{
  static const std::vector<double> bounds{ 2,   5,   10,  20,    50,
                                           100, 250, 500, 1'000, 3'000 };
  return bounds;
}

/// Adds a duration to a histogram, which may be empty at first.
inline void CountLatency(std::vector<std::uint64_t>& aBuckets,
                         Duration aDuration)
{
  const auto& bounds = LatencyBoundsMs();
  aBuckets.resize(bounds.size() + 1);
  const auto elapsed = static_cast<double>(aDuration.count());
  const auto bucket =
    std::lower_bound(bounds.begin(), bounds.end(), elapsed) - bounds.begin();
  ++aBuckets[static_cast<std::size_t>(bucket)];
}

} // namespace verbenacroft
