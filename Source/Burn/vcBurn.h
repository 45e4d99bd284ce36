#pragma once

/// Public header of the Burn library: counts of good and bad requests of each
/// service over several time windows, and the report of error budget burn rates
/// that merges the counts of all routers.

#include "vcConfig.h"

#include <array>
#include <deque>
#include <map>

namespace verbenacroft {

/// A time window of the report.
struct BurnWindow
{
  std::string_view mName;
  Duration mLength;
};

/// Windows of the report, shortest first.
constexpr std::array<BurnWindow, 4> kBurnWindows = { {
  { "5m", Duration{ 5 * 60'000 } },
  { "1h", Duration{ 60 * 60'000 } },
  { "6h", Duration{ 6 * 3'600'000 } },
  { "3d", Duration{ 72LL * 3'600'000 } },
} };

/// Upper bounds of the latency buckets, in milliseconds. One more bucket holds
/// the requests above the last bound.
constexpr std::array<double, 14> kLatencyBoundsMs = {
  1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1'000, 2'000, 5'000, 10'000
};

/// Counts of the requests within a period.
struct BurnCounts
{
  std::int64_t mTotal = 0;
  /// Answered without an error and within the objective's latency.
  std::int64_t mGood = 0;
  std::int64_t mErrors = 0;
  /// Requests per latency bucket, in the order of `kLatencyBoundsMs`.
  std::vector<std::int64_t> mBuckets;
};
BOOST_DESCRIBE_STRUCT(BurnCounts, (), (mTotal, mGood, mErrors, mBuckets))

/// Adds `aPart` to `aSum`.
void AddCounts(BurnCounts& aSum, const BurnCounts& aPart);

/// Counts of the minute or hour that begins at `mStart`.
struct BurnSlice
{
  TimePoint mStart{ 0 };
  BurnCounts mCounts;
};

/// Counts of one service at one router. Slices of one minute are kept for six
/// hours, slices of one hour for three days.
struct BurnSeries
{
  std::string mBacker;
  std::deque<BurnSlice> mMinutes;
  std::deque<BurnSlice> mHours;
  /// Counts since the router started.
  BurnCounts mCountsSinceStart;
  /// Sum of the latencies since the router started, in ms.
  double mTotalLatencyMs = 0;
};

/// Counts of all services at one router, by the service's name.
struct BurnRecorder
{
  std::map<std::string, BurnSeries> mServices;
  TimePoint mStartedAt{ 0 };
};

/// Counts one answered or refused request.
void RecordRequest(BurnRecorder& aRecorder,
                   const Service& aService,
                   double aLatencyMs,
                   bool aIsError,
                   TimePoint aNow);

/// Counts of one service over the windows.
struct BurnServiceReport
{
  std::string mService;
  std::string mBacker;
  double mObjectivePercent = 0;
  std::int64_t mObjectiveLatencyMs = 0;
  /// In the order of `kBurnWindows`.
  std::vector<BurnCounts> mWindows;
};
BOOST_DESCRIBE_STRUCT(
  BurnServiceReport,
  (),
  (mService, mBacker, mObjectivePercent, mObjectiveLatencyMs, mWindows))

/// Counts that one router contributes to the report.
struct BurnRouterReport
{
  std::string mRouter;
  std::string mDataCentre;
  /// Time since the router started, in ms. Counts of a longer window cover only
  /// this period.
  std::int64_t mCoveredMs = 0;
  std::vector<BurnServiceReport> mServices;
};
BOOST_DESCRIBE_STRUCT(BurnRouterReport,
                      (),
                      (mRouter, mDataCentre, mCoveredMs, mServices))

/// Returns the counts of every configured service over all windows. The caller
/// sets `mRouter` and `mDataCentre`.
BurnRouterReport MakeRouterReport(const BurnRecorder& aRecorder,
                                  const Configuration& aConfiguration,
                                  TimePoint aNow);

/// Returns the burn rate: the fraction of bad requests divided by the fraction
/// that the objective allows. A rate of 1 consumes exactly the error budget. It
/// is 0 if there were no requests.
double BurnRate(const BurnCounts& aCounts, double aObjectivePercent);

/// Returns the upper bound in ms of the bucket that contains the quantile
/// `aQuantile` (0 to 1) of the latencies. Latencies above the last bound count
/// as the last bound. Returns 0 if there were no requests.
double QuantileMs(const BurnCounts& aCounts, double aQuantile);

/// The merged report of all routers.
struct BurnReport
{
  std::vector<BurnServiceReport> mServices;
  /// Routers whose counts are part of the report.
  std::vector<std::string> mMerged;
  /// Addresses of the routers that did not answer.
  std::vector<std::string> mUnreachable;
  /// Smallest `mCoveredMs` of the merged routers.
  std::int64_t mLeastCoveredMs = 0;
};
BOOST_DESCRIBE_STRUCT(BurnReport,
                      (),
                      (mServices, mMerged, mUnreachable, mLeastCoveredMs))

/// Sums the counts of the routers for each service. The backer and objective of
/// a service are those of the first report that contains it.
BurnReport MergeReports(const std::vector<BurnRouterReport>& aReports,
                        const std::vector<std::string>& aUnreachable);

/// Formats the report as a plain-text table.
std::string BurnTable(const BurnReport& aReport);

/// Formats the report as a self-contained HTML page with a bar chart.
std::string BurnPage(const BurnReport& aReport);

} // namespace verbenacroft
