#pragma once

/// Public header of the Burn library: counts of good and bad requests for
/// each service over several windows, and the report made from the counts of
/// all routers.

#include "vcConfig.h"

#include <array>
#include <deque>
#include <map>

namespace verbenacroft {

/// Windows of the report.
struct BurnWindow
{
  std::string_view mName;
  Duration mLength;
};

constexpr std::array<BurnWindow, 4> kBurnWindows = { {
  { "5m", Duration{ 5 * 60'000 } },
  { "1h", Duration{ 60 * 60'000 } },
  { "6h", Duration{ 6 * 3'600'000 } },
  { "3d", Duration{ 72LL * 3'600'000 } },
} };

/// Upper bounds of the latency buckets, in milliseconds.
constexpr std::array<double, 14> kLatencyBoundsMs = {
  1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1'000, 2'000, 5'000, 10'000
};

/// Counts of one stretch of time.
struct BurnCounts
{
  std::int64_t mTotal = 0;
  /// Answered without an error and within the objective's latency.
  std::int64_t mGood = 0;
  std::int64_t mErrors = 0;
  std::vector<std::int64_t> mBuckets;
};
BOOST_DESCRIBE_STRUCT(BurnCounts, (), (mTotal, mGood, mErrors, mBuckets))

void AddCounts(BurnCounts& aSum, const BurnCounts& aPart);

struct BurnSlice
{
  TimePoint mStart{ 0 };
  BurnCounts mCounts;
};

/// Counts of one service at one router. Slices of a minute are kept for six
/// hours, slices of an hour for three days.
struct BurnSeries
{
  std::string mBacker;
  std::deque<BurnSlice> mMinutes;
  std::deque<BurnSlice> mHours;
  BurnCounts mAll;
  double mSumMs = 0;
};

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

/// What one router answers to the report.
struct BurnRouterReport
{
  std::string mRouter;
  std::string mDataCentre;
  /// How far back its counts reach.
  std::int64_t mCoveredMs = 0;
  std::vector<BurnServiceReport> mServices;
};
BOOST_DESCRIBE_STRUCT(BurnRouterReport,
                      (),
                      (mRouter, mDataCentre, mCoveredMs, mServices))

BurnRouterReport MakeRouterReport(const BurnRecorder& aRecorder,
                                  const Configuration& aConfiguration,
                                  TimePoint aNow);

/// Burn rate: part of bad requests over the part that the objective allows;
/// 1 uses the budget up exactly. 0 without requests.
double BurnRate(const BurnCounts& aCounts, double aObjectivePercent);

/// Latency below which the part `aQuantile` of the requests lies, by the
/// bounds of the buckets.
double QuantileMs(const BurnCounts& aCounts, double aQuantile);

/// The merged report.
struct BurnReport
{
  std::vector<BurnServiceReport> mServices;
  /// Routers whose counts are part of the report, and those that gave none.
  std::vector<std::string> mMerged;
  std::vector<std::string> mUnreachable;
  std::int64_t mLeastCoveredMs = 0;
};
BOOST_DESCRIBE_STRUCT(BurnReport,
                      (),
                      (mServices, mMerged, mUnreachable, mLeastCoveredMs))

BurnReport MergeReports(const std::vector<BurnRouterReport>& aReports,
                        const std::vector<std::string>& aUnreachable);

/// Table for people.
std::string BurnTable(const BurnReport& aReport);

/// One self-contained HTML page with a plot.
std::string BurnPage(const BurnReport& aReport);

} // namespace verbenacroft
