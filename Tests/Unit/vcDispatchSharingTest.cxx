/// How best-effort tasks make way for the serving tasks beside them.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

TEST_CASE("filling work rests beside a task over its target", "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
  BatchRecord record = MakeRecord(1);
  StepSpec serving = record.mSpec.mSteps[0];
  serving.mIsLasting = true;
  serving.mTargetMs = 50;
  serving.mImage = "serves";
  StepSpec filling = record.mSpec.mSteps[0];
  filling.mIsFilling = true;
  filling.mImage = "fills";
  record.mSpec.mSteps = { serving, filling };
  AddJob(fixture.mShard, kJob, record, 20, fixture.mNow, 0);
  fixture.Plan();
  RunningTask server = MakeRunning(1);
  RunningTask filler = MakeRunning(1);
  filler.mTask.mStep = 1;
  filler.mMeasured = 1'000;
  const auto paces = [&](std::int64_t aTailMs) {
    fixture.mNow += Duration(1'500);
    server.mMeasured = aTailMs;
    fixture.Report("w1", { server, filler }, {});
    DispatchActions actions;
    PlanThrottles(
      fixture.mShard, "w1", { server, filler }, fixture.mNow, actions);
    return actions.mThrottleOrders;
  };
  CHECK(paces(20).empty());
  const auto slowed = paces(80);
  REQUIRE(slowed.size() == 1);
  CHECK(slowed[0].mOrder.mPercent == 0);
  CHECK(paces(80).empty());
  const auto raised = paces(20);
  REQUIRE(raised.size() == 1);
  CHECK(raised[0].mOrder.mPercent > 0);
}

/// A worker on which one task serves and some fill, as its reports show them.
struct SharedWorker
{
  explicit SharedWorker(std::uint32_t aFilling)
  {
    BatchRecord record = MakeRecord(1);
    StepSpec serving = record.mSpec.mSteps[0];
    serving.mNeeds.mMilliCpu = 8'000;
    serving.mIsLasting = true;
    serving.mTargetMs = 50;
    serving.mImage = "serves";
    StepSpec filling = record.mSpec.mSteps[0];
    filling.mCount = aFilling;
    filling.mIsFilling = true;
    filling.mImage = "fills";
    record.mSpec.mSteps = { serving, filling };
    AddJob(this->mFixture.mShard, kJob, record, 20, this->mFixture.mNow, 0);
    this->mFixture.Plan();
  }

  /// What the filling tasks use follows their paces.
  std::vector<RunningTask> Rows(std::int64_t aTailMs)
  {
    std::vector<RunningTask> rows{ MakeRunning(1) };
    rows[0].mMeasured = aTailMs;
    const auto& tasks =
      this->mFixture.Job().mOccurrences.at(0).mSteps[1].mTasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
      if (tasks[i].mWorker.empty()) {
        continue;
      }
      RunningTask row = MakeRunning(tasks[i].mRun);
      row.mTask.mStep = 1;
      row.mTask.mIndex = i;
      row.mMeasured = 10 * tasks[i].mOrderedThrottlePercent;
      rows.push_back(row);
    }
    return rows;
  }

  std::vector<AddressedOrder<ThrottleOrder>> Report(std::int64_t aTailMs,
                                                    Duration aAfter)
  {
    this->mFixture.mNow += aAfter;
    const auto rows = this->Rows(aTailMs);
    this->mFixture.Report("w1", rows, {});
    DispatchActions actions;
    PlanThrottles(
      this->mFixture.mShard, "w1", rows, this->mFixture.mNow, actions);
    return actions.mThrottleOrders;
  }

  DispatchFixture mFixture{ { "w1" } };
};

TEST_CASE("work that was learned to disturb nobody isn't slowed for others",
          "[dispatch]")
{
  constexpr Duration kApart{ 500 };
  SharedWorker worker(1);
  // The same response times, whether the task fills or not.
  for (int i = 0; i < 100; ++i) {
    worker.Report(i % 2 == 0 ? 15 : 30, kApart);
  }
  CHECK(worker.Report(52, kApart).empty());
}

TEST_CASE("work that fills rests before a task is over its target too long",
          "[dispatch]")
{
  constexpr Duration kApart{ 500 };
  SharedWorker worker(1);
  for (int i = 0; i < 100; ++i) {
    worker.Report(i % 2 == 0 ? 15 : 30, kApart);
  }
  Duration over{ 0 };
  while (worker.Report(52, kApart).empty() && over < Duration(60'000)) {
    over += kApart;
  }
  CHECK(over <= worker.mFixture.mShard.mBounds.mMaxOverTarget / 2);
}

TEST_CASE("work that fills leaves processors for serving tasks at high load",
          "[dispatch]")
{
  constexpr Duration kApart{ 500 };
  SharedWorker worker(4);
  for (int i = 0; i < 60; ++i) {
    worker.Report(i % 2 == 0 ? 15 : 25, kApart);
  }
  // Three quarters of its 8 processors, beside 4 that fill, are too much.
  CHECK_FALSE(worker.Report(47, kApart).empty());
}

TEST_CASE("images that serve are kept apart", "[dispatch]")
{
  DispatchFixture fixture({ "w1", "w2" });
  BatchRecord record = MakeRecord(2);
  record.mSpec.mSteps[0].mIsLasting = true;
  record.mSpec.mSteps[0].mTargetMs = 50;
  record.mSpec.mSteps[0].mImage = "a";
  StepSpec other = record.mSpec.mSteps[0];
  other.mImage = "b";
  record.mSpec.mSteps.push_back(other);
  AddJob(fixture.mShard, kJob, record, 20, fixture.mNow, 0);
  fixture.Plan();
  for (const auto& [name, worker] : fixture.mShard.mWorkers) {
    CHECK(worker.mServingImages.size() == 1);
  }
}

} // namespace verbenacroft
