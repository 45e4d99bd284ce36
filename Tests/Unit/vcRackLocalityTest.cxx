/// How long a task waits for a place on its preferred rack.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr const char* kNear = "r1";
constexpr const char* kWaiting = "00000000000000c0";

/// A worker on rack r1, whose room a job takes, and one on rack r2. The runs of
/// the queue take `aRunMs`.
struct RackFixture : DispatchFixture
{
  RackFixture(double aRunMs, double aFactor, std::uint32_t aSeenRuns)
    : DispatchFixture({ "far", "near" })
  {
    this->mShard.mBounds.mFarFactor = aFactor;
    this->mShard.mRunTimes["queue"] = { aRunMs, aSeenRuns };
    this->mShard.mWorkers.at("near").mEntry.mLabels = { "a", kNear };
    this->mShard.mWorkers.at("far").mEntry.mLabels = { "a", "r2" };
  }

  void AddPreferring(const JobId& aId, std::uint32_t aTasks)
  {
    BatchRecord record = MakeRecord(aTasks);
    record.mSpec.mSteps[0].mNeeds.mMilliCpu = 5'000;
    record.mSpec.mSteps[0].mPreferredRack = kNear;
    record.mAcceptedAtMs = this->mNow.count();
    AddJob(this->mShard, aId, record, 20, this->mNow, this->mNow.count());
  }

  /// Both workers report what they were told to run.
  void AnswerRunning()
  {
    std::map<std::string, std::vector<RunningTask>> running;
    for (const auto& [name, worker] : this->mShard.mWorkers) {
      for (const auto& key : worker.mTasks) {
        RunningTask row;
        row.mTask = key;
        row.mRun = FindTask(this->mShard, key)->mRun;
        running[name].push_back(row);
      }
    }
    for (const auto& name : this->mNames) {
      this->Report(name, running[name], {});
    }
  }

  /// Fills the near worker with two tasks at time 0 and moves on.
  void FillNear(Duration aElapsed)
  {
    this->AddPreferring(kJob, 2);
    this->Plan();
    this->AnswerRunning();
    this->mNow += aElapsed;
    this->AnswerRunning();
  }

  /// Tasks of the job that the far worker was told to start.
  std::int64_t FarStarts(const DispatchActions& aActions, const JobId& aJob)
  {
    return std::count_if(
      aActions.mStarts.begin(), aActions.mStarts.end(), [&](const auto& aRow) {
        return aRow.mWorker == "far" && aRow.mOrder.mTask.mJob == aJob;
      });
  }
};

} // namespace

// Guards against waits that take longer than a start elsewhere would.
TEST_CASE("a wait pays if it is shorter than the loss elsewhere", "[racks]")
{
  struct Row
  {
    const char* mName;
    double mNearMs;
    double mFactor;
    std::optional<double> mPlaceInMs;
    double mWaitMs;
  };
  const auto row = GENERATE(values<Row>({
    { "no loss elsewhere", 1'000, 1, 0, 0 },
    { "no place is expected", 1'000, 3, std::nullopt, 0 },
    { "a place soon", 1'000, 1.5, 200, 500 },
    { "a place too late", 1'000, 1.5, 480, 0 },
    { "a short task", 100, 2, 90, 0 },
    { "a short task, a place now", 100, 2, 20, 100 },
    { "a long task waits no longer than until its turn", 8'000, 3, 300, 1'000 },
    { "a long task, a place after its turn", 8'000, 3, 1'200, 0 },
  }));
  CAPTURE(row.mName);
  CHECK(PayingWaitMs(row.mNearMs, row.mFactor, row.mPlaceInMs) ==
        Approx(row.mWaitMs));
}

// Guards against a task that starts far from its data although a near place is
// free soon, and against one that waits where that doesn't pay.
TEST_CASE("a task waits for a near place that becomes free soon", "[racks]")
{
  struct Row
  {
    const char* mName;
    double mRunMs;
    double mFactor;
    std::uint32_t mSeenRuns;
    Duration mElapsed;
    std::int64_t mFarStarts;
  };
  const auto row = GENERATE(values<Row>({
    { "soon", 1'000, 2, 10, Duration(800), 0 },
    { "late", 1'000, 1.5, 10, Duration(100), 1 },
    { "the factor isn't known", 1'000, 1, 10, Duration(800), 1 },
    { "too few runs are seen", 1'000, 2, 4, Duration(800), 1 },
    { "the runs there are overdue", 1'000, 2, 10, Duration(1'100), 1 },
  }));
  CAPTURE(row.mName);
  RackFixture fixture(row.mRunMs, row.mFactor, row.mSeenRuns);
  fixture.FillNear(row.mElapsed);
  fixture.AddPreferring(kWaiting, 1);
  CHECK(fixture.FarStarts(fixture.Plan(), kWaiting) == row.mFarStarts);
}

// Guards against many jobs that all wait for the same places.
TEST_CASE("each place is awaited by one task", "[racks]")
{
  RackFixture fixture(1'000, 2, 10);
  fixture.FillNear(Duration(800));
  fixture.AddPreferring(kWaiting, 3);
  // Two places become free near, so the third task starts at once.
  CHECK(fixture.FarStarts(fixture.Plan(), kWaiting) == 1);
  const auto waiting =
    SummarizeWaiting(fixture.mShard, fixture.mNow, fixture.mNow.count());
  CHECK(waiting.at(WaitReason::kAwaitsRack).mTasks == 2);
}

// Guards against waits without a bound: the runs near end later than expected,
// or the rack is lost.
TEST_CASE("a wait ends in time", "[racks]")
{
  const bool isLost = GENERATE(false, true);
  CAPTURE(isLost);
  RackFixture fixture(1'000, 2, 10);
  fixture.FillNear(Duration(800));
  fixture.AddPreferring(kWaiting, 1);
  REQUIRE(fixture.FarStarts(fixture.Plan(), kWaiting) == 0);
  if (isLost) {
    fixture.Silence("near");
  } else {
    fixture.mNow += Duration(400);
    fixture.AnswerRunning();
  }
  CHECK(fixture.FarStarts(fixture.Plan(), kWaiting) == 1);
}

} // namespace verbenacroft
