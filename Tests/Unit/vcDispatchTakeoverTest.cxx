/// What a new owner adopts and awaits, and which workers are recorded for the
/// next one.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

TEST_CASE("an adopted run keeps its number and isn't stopped", "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
  fixture.mShard.mRunBase = 256;
  fixture.Add(1, 5);
  fixture.Report("w1", { MakeRunning(3) }, {});
  REQUIRE(fixture.Task().mPhase == RunPhase::kRunning);
  fixture.mNow += Duration(100);
  fixture.Report("w1", { MakeRunning(3) }, {});
  CHECK(fixture.Plan().mStops.empty());
  fixture.Report("w1", {}, { MakeEnd(1, 3, RunEnd::kDone) });
  CHECK(fixture.Job().mState == BatchState::kCompleted);
}

TEST_CASE("a new owner's runs are above those of earlier owners", "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
  fixture.mShard.mRunBase = 256;
  fixture.Add(1, 5);
  const auto actions = fixture.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  CHECK(actions.mStarts[0].mOrder.mRun == 257);
}

TEST_CASE("workers of an earlier owner stay until they have answered",
          "[dispatch]")
{
  DispatchFixture fixture({});
  fixture.mShard.mWorkers["w1"].mEntry.mWorker = "w1";
  fixture.mShard.mUnansweredWorkers["w1"] = { TimePoint(9'000), 10 };
  ReapWorkers(fixture.mShard, TimePoint(1'000));
  CHECK(fixture.mShard.mWorkers.contains("w1"));
  ReapWorkers(fixture.mShard, TimePoint(9'001));
  CHECK_FALSE(fixture.mShard.mWorkers.contains("w1"));
}

// Guards against long-running tasks that wait, after a takeover, for the answer
// of a silent worker that can only tell of ends that they don't have.
TEST_CASE("after a takeover only tasks that may be done await ends",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    bool mIsLongRunning;
    Duration mAfterRunsEnd;
    bool mIsStarted;
  };
  const auto row = GENERATE(values<Row>({
    { "long-running, a run may last", true, Duration(-1), false },
    { "long-running, runs have ended", true, Duration(0), true },
    { "a run may last", false, Duration(-1), false },
    { "runs have ended, an end may be unheard", false, Duration(0), false },
    { "ends were awaited", false, kUnheardEndsWait, true },
  }));
  CAPTURE(row.mName);
  DispatchFixture fixture({ "w1", "w2" });
  constexpr Duration kRunsEndIn{ 500 };
  const std::uint64_t jobAt = 20;
  AddInactiveWorker(fixture.mShard, "w2", kRunsEndIn, jobAt, fixture.mNow);
  fixture.mShard.mWorkers.at("w2").mHasAnswered = false;
  BatchRecord record = MakeRecord(1);
  record.mSpec.mSteps[0].mIsLasting = row.mIsLongRunning;
  AddJob(
    fixture.mShard, kJob, record, jobAt, fixture.mNow, fixture.mNow.count());
  fixture.mNow += kRunsEndIn + row.mAfterRunsEnd;
  fixture.Report("w1", {}, {});
  CHECK(fixture.Plan().mStarts.size() == (row.mIsStarted ? 1 : 0));
}

// Guards against a takeover that waits for workers that a release has
// replaced, and against one that doesn't wait for a worker on which a task runs
// or may still start.
TEST_CASE("a draining worker is recorded while anything runs or may start "
          "there",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    void (*mPlay)(DispatchFixture&);
    bool mIsRecorded;
  };
  const auto row = GENERATE(values<Row>({
    { "nothing runs", [](DispatchFixture&) {}, false },
    { "ready",
      [](DispatchFixture& aShard) { aShard.SetDraining(false); },
      true },
    { "silent after its report",
      [](DispatchFixture& aShard) { aShard.Silence("w1"); },
      false },
    { "gone after its report",
      [](DispatchFixture& aShard) {
        OnDiscovery(aShard.mShard, {}, aShard.mNow);
      },
      false },
    { "taken over and not heard yet",
      [](DispatchFixture& aShard) {
        aShard.Worker() = {};
        AddActiveWorker(aShard.mShard, "w1", {}, aShard.mNow);
        aShard.SetDraining(true);
        aShard.Silence("w1");
      },
      true },
    { "a task runs",
      [](DispatchFixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", { MakeRunning(1) }, {});
      },
      true },
    { "silent while a task runs",
      [](DispatchFixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", { MakeRunning(1) }, {});
        aShard.Silence("w1");
      },
      true },
    { "a run of an unknown job",
      [](DispatchFixture& aShard) {
        aShard.Report("w1", { MakeRunning(1) }, {});
      },
      true },
    { "an end that isn't recorded",
      [](DispatchFixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kDone) });
      },
      true },
    { "an end that is recorded",
      [](DispatchFixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.Worker().mAckIndex = 1;
      },
      false },
    { "more ends than a report lists",
      [](DispatchFixture& aShard) {
        std::vector<EndedRun> ends;
        for (std::uint32_t i = 1; i <= 500; ++i) {
          ends.push_back(MakeEnd(i, i, RunEnd::kStopped));
        }
        aShard.Report("w1", {}, ends);
        aShard.Worker().mAckIndex = 500;
      },
      true },
    { "a new incarnation that may start what was sent to the earlier one",
      [](DispatchFixture& aShard) { aShard.Report("w1", {}, {}, kBorn + 1); },
      true },
    { "a new incarnation that hasn't started anything and refuses that",
      [](DispatchFixture& aShard) {
        aShard.Report("w1", {}, {}, kBorn + 1);
        aShard.FenceOff("w1", kBorn + 1);
      },
      false },
    { "another incarnation answered",
      [](DispatchFixture& aShard) {
        WorkerReport report;
        report.mOutcome = OrderOutcome::kOtherIncarnation;
        OnReport(aShard.mShard, "w1", report, aShard.mNow, aShard.mNow, 0);
      },
      true },
  }));
  CAPTURE(row.mName);
  DispatchFixture shard({ "w1" });
  shard.SetDraining(true);
  shard.AnswerLater();
  row.mPlay(shard);
  CHECK(MustBeRecorded(shard.mShard, shard.Worker(), shard.mNow) ==
        row.mIsRecorded);
}

// Guards against a task that starts on a worker that the next owner doesn't
// ask, because the order took effect after the worker left the worker set.
TEST_CASE("a draining worker is recorded until starts there are too late",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    void (*mPlay)(DispatchFixture&, const StartOrder&);
    bool mIsRecorded;
  };
  const auto row = GENERATE(values<Row>({
    { "a start in flight",
      [](DispatchFixture& aShard, const StartOrder&) {
        aShard.Report("w1", {}, {});
      },
      true },
    { "a start in flight past its deadline",
      [](DispatchFixture& aShard, const StartOrder&) { aShard.AnswerLater(); },
      true },
    { "an unanswered start before its deadline",
      [](DispatchFixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.mNow += Duration(1'500);
        aShard.Report("w1", {}, {});
      },
      true },
    { "an unanswered start past its deadline",
      [](DispatchFixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.mNow += Duration(1'501);
        aShard.Report("w1", {}, {});
      },
      true },
    { "an unanswered start that can't take effect any more",
      [](DispatchFixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.mNow += Duration(8'501);
        aShard.Report("w1", {}, {});
      },
      false },
    { "a start in flight of a task that is done elsewhere",
      [](DispatchFixture& aShard, const StartOrder&) {
        aShard.Report("w2", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.Report("w1", {}, {});
      },
      true },
    { "the same past its deadline",
      [](DispatchFixture& aShard, const StartOrder&) {
        aShard.Report("w2", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.AnswerLater();
      },
      true },
    { "the same, which can't take effect any more",
      [](DispatchFixture& aShard, const StartOrder&) {
        aShard.Report("w2", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.mNow += Duration(8'501);
        aShard.Report("w1", {}, {});
      },
      false },
    { "a start that may reach a new incarnation, whose clock is behind",
      [](DispatchFixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.AnswerLater();
        WorkerReport report;
        report.mOutcome = OrderOutcome::kDone;
        report.mClock = 1;
        report.mIncarnation = kBorn + 1;
        OnReport(aShard.mShard, "w1", report, aShard.mNow, aShard.mNow, 0);
      },
      true },
  }));
  CAPTURE(row.mName);
  DispatchFixture shard({ "w1", "w2" });
  shard.mShard.mWorkers.at("w2").mAvoidedUntil = TimePoint(60'000);
  shard.Add(1);
  const auto actions = shard.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  REQUIRE(actions.mStarts[0].mWorker == "w1");
  shard.SetDraining(true);
  row.mPlay(shard, actions.mStarts[0].mOrder);
  CHECK(MustBeRecorded(shard.mShard, shard.Worker(), shard.mNow) ==
        row.mIsRecorded);
}

// Guards against a worker that returns to the worker set after it was taken out
// and has left, and against one that stays out although it is used again.
TEST_CASE("a removed worker is recorded again only to be used", "[dispatch]")
{
  DispatchFixture shard({ "w1" });
  shard.SetDraining(true);
  shard.Worker().mIsRecorded = false;
  shard.Silence("w1");
  CHECK_FALSE(MustBeRecorded(shard.mShard, shard.Worker(), shard.mNow));
  shard.SetDraining(false);
  CHECK(MustBeRecorded(shard.mShard, shard.Worker(), shard.mNow));
  shard.AnswerLater();
  shard.Add(1);
  CHECK(shard.Plan().mStarts.empty());
  shard.Worker().mIsRecorded = true;
  CHECK(shard.Plan().mStarts.size() == 1);
}

TEST_CASE("old jobs wait for workers that haven't answered", "[dispatch]")
{
  struct Row
  {
    std::uint64_t mCreatedAt;
    std::int64_t mNowMs;
    bool mIsLeaseProved;
    std::size_t mStarts;
  };
  const auto row = GENERATE(values<Row>({ { 5, 1'000, true, 0 },
                                          { 20, 1'000, true, 1 },
                                          { 5, 9'001, true, 1 },
                                          { 5, 9'001, false, 0 } }));
  DispatchFixture fixture({ "w1" });
  fixture.mShard.mIsLeaseProved = row.mIsLeaseProved;
  fixture.mShard.mUnansweredWorkers["w2"] = { TimePoint(9'000), 10 };
  fixture.mNow = TimePoint(row.mNowMs);
  fixture.Answer();
  fixture.Add(1, row.mCreatedAt);
  CHECK(fixture.Plan().mStarts.size() == row.mStarts);
}

} // namespace verbenacroft
