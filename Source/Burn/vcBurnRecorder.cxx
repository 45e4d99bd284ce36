#include "vcBurn.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kMinute{ 60'000 };
constexpr Duration kHour{ 3'600'000 };
// Slices of one minute for six hours and of one hour for three days, plus the
// current slice of each.
constexpr std::size_t kMaxMinuteSlices = 361;
constexpr std::size_t kMaxHourSlices = 73;

std::size_t FindBucket(double aLatencyMs)
{
  const auto found = std::lower_bound(
    kLatencyBoundsMs.begin(), kLatencyBoundsMs.end(), aLatencyMs);
  return static_cast<std::size_t>(found - kLatencyBoundsMs.begin());
}

BurnCounts& FindOrAddSlice(std::deque<BurnSlice>& aSlices,
                           Duration aLength,
                           std::size_t aMaxSlices,
                           TimePoint aNow)
{
  const TimePoint start = aNow - aNow % aLength;
  if (aSlices.empty() || aSlices.back().mStart != start) {
    aSlices.push_back({ start, {} });
  }
  if (aSlices.size() > aMaxSlices) {
    aSlices.pop_front();
  }
  return aSlices.back().mCounts;
}

/// Sums the slices that begin at or after `aSince`. A slice that began earlier
/// is left out, even if it ends after `aSince`.
BurnCounts SumSince(const std::deque<BurnSlice>& aSlices, TimePoint aSince)
{
  BurnCounts sum;
  for (const auto& slice : aSlices) {
    if (slice.mStart >= aSince) {
      AddCounts(sum, slice.mCounts);
    }
  }
  return sum;
}

} // namespace

void AddCounts(BurnCounts& aSum, const BurnCounts& aPart)
{
  aSum.mTotal += aPart.mTotal;
  aSum.mGood += aPart.mGood;
  aSum.mErrors += aPart.mErrors;
  aSum.mBuckets.resize(kLatencyBoundsMs.size() + 1);
  for (std::size_t i = 0; i < aPart.mBuckets.size(); ++i) {
    if (i < aSum.mBuckets.size()) {
      aSum.mBuckets[i] += aPart.mBuckets[i];
    }
  }
}

void RecordRequest(BurnRecorder& aRecorder,
                   const Service& aService,
                   double aLatencyMs,
                   bool aIsError,
                   TimePoint aNow)
{
  auto& series = aRecorder.mServices[aService.mName];
  series.mBacker = aService.mBacker;
  series.mTotalLatencyMs += aLatencyMs;
  const auto latency = static_cast<double>(aService.mObjectiveLatency.count());
  const bool isGood = !aIsError && aLatencyMs <= latency;
  const auto bucket = FindBucket(aLatencyMs);
  for (BurnCounts* counts :
       { &FindOrAddSlice(series.mMinutes, kMinute, kMaxMinuteSlices, aNow),
         &FindOrAddSlice(series.mHours, kHour, kMaxHourSlices, aNow),
         &series.mCountsSinceStart }) {
    counts->mBuckets.resize(kLatencyBoundsMs.size() + 1);
    ++counts->mTotal;
    counts->mGood += isGood ? 1 : 0;
    counts->mErrors += aIsError ? 1 : 0;
    ++counts->mBuckets[bucket];
  }
}

BurnRouterReport MakeRouterReport(const BurnRecorder& aRecorder,
                                  const Configuration& aConfiguration,
                                  TimePoint aNow)
{
  // Longer windows are summed from the slices of hours.
  constexpr Duration kMaxMinuteSliceWindow{ 6 * 3'600'000 };
  BurnRouterReport report;
  report.mCoveredMs = (aNow - aRecorder.mStartedAt).count();
  for (const auto& service : aConfiguration.mServices) {
    BurnServiceReport row;
    row.mService = service.mName;
    row.mBacker = service.mBacker;
    row.mObjectivePercent = service.mObjectivePercent;
    row.mObjectiveLatencyMs = service.mObjectiveLatency.count();
    const auto found = aRecorder.mServices.find(service.mName);
    for (const auto& window : kBurnWindows) {
      if (found == aRecorder.mServices.end()) {
        row.mWindows.emplace_back();
        continue;
      }
      const auto& slices = window.mLength <= kMaxMinuteSliceWindow
                             ? found->second.mMinutes
                             : found->second.mHours;
      row.mWindows.push_back(SumSince(slices, aNow - window.mLength));
    }
    report.mServices.push_back(std::move(row));
  }
  return report;
}

double BurnRate(const BurnCounts& aCounts, double aObjectivePercent)
{
  constexpr double kPercent = 100.0;
  if (aCounts.mTotal == 0) {
    return 0;
  }
  const double badFraction =
    static_cast<double>(aCounts.mTotal - aCounts.mGood) /
    static_cast<double>(aCounts.mTotal);
  return badFraction / (1.0 - aObjectivePercent / kPercent);
}

double QuantileMs(const BurnCounts& aCounts, double aQuantile)
{
  const double targetCount = aQuantile * static_cast<double>(aCounts.mTotal);
  double cumulativeCount = 0;
  for (std::size_t i = 0; i < aCounts.mBuckets.size(); ++i) {
    cumulativeCount += static_cast<double>(aCounts.mBuckets[i]);
    if (cumulativeCount >= targetCount && cumulativeCount > 0) {
      return i < kLatencyBoundsMs.size() ? kLatencyBoundsMs[i]
                                         : kLatencyBoundsMs.back();
    }
  }
  return 0;
}

BurnReport MergeReports(const std::vector<BurnRouterReport>& aReports,
                        const std::vector<std::string>& aUnreachable)
{
  BurnReport merged;
  merged.mUnreachable = aUnreachable;
  std::map<std::string, BurnServiceReport> byService;
  for (const auto& report : aReports) {
    merged.mMerged.push_back(report.mRouter);
    merged.mLeastCoveredMs =
      merged.mLeastCoveredMs == 0
        ? report.mCoveredMs
        : std::min(merged.mLeastCoveredMs, report.mCoveredMs);
    for (const auto& row : report.mServices) {
      auto [found, isNew] = byService.try_emplace(row.mService, row);
      for (std::size_t i = 0; !isNew && i < row.mWindows.size() &&
                              i < found->second.mWindows.size();
           ++i) {
        AddCounts(found->second.mWindows[i], row.mWindows[i]);
      }
    }
  }
  for (auto& [name, row] : byService) {
    merged.mServices.push_back(std::move(row));
  }
  return merged;
}

} // namespace verbenacroft
