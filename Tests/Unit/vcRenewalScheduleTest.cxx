/// When a worker is renewed next, and how long it may wait for an end.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr TimePoint kNow{ 10'000 };

/// A worker with two ends that are seen, recorded, acknowledged and known to
/// the worker as far as given.
DispatchWorker MakeWorker(std::uint64_t aRecorded, std::uint64_t aAnswered)
{
  DispatchWorker worker;
  worker.mSeenIndex = 2;
  worker.mAckIndex = aRecorded;
  worker.mAnsweredAckIndex = aAnswered;
  return worker;
}

} // namespace

// Guards against renewals that only bring ends which are known already, and
// against pauses where an early report is needed.
TEST_CASE("the pause after a report follows from what it is needed for",
          "[renewals]")
{
  struct Row
  {
    const char* mName;
    DispatchWorker mWorker;
    bool mIsGood;
    bool mHasWaitingTasks;
    RenewalCause mCause;
    Duration mMin;
    Duration mMax;
  };
  const DispatchWorker calm = MakeWorker(2, 2);
  const DispatchWorker unrecorded = MakeWorker(1, 1);
  const DispatchWorker unacknowledged = MakeWorker(2, 1);
  DispatchWorker asked = unrecorded;
  asked.mFenceStage = FenceStage::kAsked;
  DispatchWorker inactive = unrecorded;
  inactive.mIsInactive = true;
  DispatchWorker disturbed = unrecorded;
  disturbed.mNoBestEffortUntil = kNow + Duration(100);
  disturbed.mBestEffortCpu = 1'000;
  DispatchWorker nearTarget = disturbed;
  nearTarget.mBestEffortCpu = 0;
  using enum RenewalCause;
  const auto row = GENERATE_COPY(values<Row>({
    { "the renewal failed",
      calm,
      false,
      false,
      kRetry,
      Duration(200),
      Duration(200) },
    { "the fence is asked for",
      asked,
      true,
      false,
      kRetry,
      Duration(15),
      Duration(15) },
    { "the worker is inactive",
      inactive,
      true,
      false,
      kRetry,
      Duration(100),
      Duration(100) },
    { "nothing has ended",
      calm,
      true,
      true,
      kWait,
      Duration(15),
      Duration(15) },
    { "ends can be acknowledged",
      unacknowledged,
      true,
      true,
      kWait,
      Duration(15),
      Duration(15) },
    { "ends aren't recorded",
      unrecorded,
      true,
      false,
      kEnd,
      Duration(100),
      Duration(250) },
    { "ends aren't recorded and tasks wait",
      unrecorded,
      true,
      true,
      kEnd,
      Duration(40),
      Duration(160) },
    { "best-effort tasks disturb",
      disturbed,
      true,
      true,
      kNearTarget,
      Duration(80),
      Duration(80) },
    { "near the target without best-effort tasks",
      nearTarget,
      true,
      true,
      kEnd,
      Duration(40),
      Duration(160) },
  }));
  CAPTURE(row.mName);
  DispatchShard shard;
  shard.mHasWaitingTasks = row.mHasWaitingTasks;
  const RenewalPause pause =
    PauseAfterReport(shard, row.mWorker, row.mIsGood, kNow);
  CHECK(pause.mCause == row.mCause);
  CHECK(pause.mMin == row.mMin);
  CHECK(pause.mMax == row.mMax);
}

// Guards against leases that end, and throttling that comes late, since the
// worker waits for an end.
TEST_CASE("a worker waits for an end unless a report is needed sooner",
          "[renewals]")
{
  struct Row
  {
    const char* mName;
    Duration mLeaseLeft;
    bool mIsDisturbed;
    Duration mWait;
  };
  const auto row = GENERATE(values<Row>({
    { "calm", Duration(8'000), false, Duration(1'000) },
    { "leases end soon", Duration(2'999), false, Duration(350) },
    { "best-effort tasks disturb", Duration(8'000), true, Duration(350) },
  }));
  CAPTURE(row.mName);
  DispatchShard shard;
  shard.mLeasesEndBy = kNow + row.mLeaseLeft;
  DispatchWorker worker;
  if (row.mIsDisturbed) {
    worker.mNoBestEffortUntil = kNow + Duration(1);
    worker.mBestEffortCpu = 1'000;
  }
  CHECK(ReportWaitOf(shard, worker, kNow) == row.mWait);
}

// Guards against renewals in a loop while a start has no answer: until then the
// worker's ends can't be acknowledged.
TEST_CASE("ends beside an unanswered start are awaited", "[renewals]")
{
  DispatchFixture fixture({ "w1" });
  fixture.Add(2);
  fixture.Plan();
  DispatchWorker& worker = fixture.Worker();
  CHECK_FALSE(MustAwaitRecord(fixture.mShard, worker, fixture.mNow));
  worker.mSeenIndex = 1;
  CHECK(MustAwaitRecord(fixture.mShard, worker, fixture.mNow));
  worker.mAckIndex = 1;
  CHECK(MustAwaitRecord(fixture.mShard, worker, fixture.mNow));
  fixture.Report("w1", { MakeRunning(1), MakeRunning(1, 1) }, {});
  CHECK_FALSE(MustAwaitRecord(fixture.mShard, worker, fixture.mNow));
}

} // namespace verbenacroft
