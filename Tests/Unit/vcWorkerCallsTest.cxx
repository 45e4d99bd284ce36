/// The counts of an owner's calls to its workers.

#include "vcDispatch.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

TEST_CASE("only answers whose time is known tell how late workers are",
          "[calls]")
{
  struct Row
  {
    const char* mName;
    Duration mWait;
    bool mHasEnd;
    std::optional<Duration> mLatency;
  };
  const auto row = GENERATE(values<Row>({
    { "answered at once", Duration(0), true, Duration(1'200) },
    { "waited in vain", Duration(1'000), false, Duration(200) },
    { "waited less than it might", Duration(1'500), false, Duration(0) },
    { "a run ended meanwhile", Duration(1'000), true, std::nullopt },
  }));
  INFO(row.mName);
  RenewOrder order;
  order.mWait = row.mWait;
  WorkerReport report;
  report.mEnded.resize(row.mHasEnd ? 1 : 0);
  CHECK(LatencyOf(order, report, Duration(1'200)) == row.mLatency);
}

TEST_CASE("calls are counted by their outcome and latency", "[calls]")
{
  CallCounts counts;
  CountCall(counts, OrderOutcome::kDone, Duration(30));
  CountCall(counts, OrderOutcome::kLate, Duration(10));
  CountCall(counts, OrderOutcome::kDone, std::nullopt);
  CountCall(counts, OrderOutcome::kUnknown, Duration(800));
  CountCall(counts, OrderOutcome::kNotSent, std::nullopt);
  CHECK(counts.mAnswered == 3);
  CHECK(counts.mFailed == 2);
  CHECK(counts.mTimed == 2);
  CHECK(counts.mLeastLatency == Duration(10));
  CHECK(counts.mMaxLatency == Duration(30));
}

} // namespace verbenacroft
