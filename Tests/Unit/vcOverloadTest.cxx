/// The order of jobs when the work that is due doesn't fit the room. The loads
/// are those of a burst, of a steady overload and of a burst that ends.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr double kRate = 1'000;
constexpr PoolWork kRates{ kRate, kRate };

/// A job of the counted pool that needs all processors for `aMs`.
JobLoad MakeLoad(double aMs, double aTimeLeftMs, std::int32_t aPriority = 0)
{
  JobLoad load;
  load.mPriority = aPriority;
  load.mTimeLeftMs = aTimeLeftMs;
  load.mWork[0] = aMs * kRate;
  load.mValue = ValueOf(aMs, 100);
  return load;
}

std::size_t CountGivenUp(const std::vector<JobLoad>& aLoads)
{
  return static_cast<std::size_t>(
    std::count_if(aLoads.begin(), aLoads.end(), [](const JobLoad& aLoad) {
      return aLoad.mIsGivenUp;
    }));
}

/// Number of jobs that are in time if they run one after another by their
/// objectives, without those that are given up.
std::size_t CountInTime(std::vector<JobLoad> aLoads)
{
  std::erase_if(aLoads, [](const JobLoad& aLoad) { return aLoad.mIsGivenUp; });
  std::stable_sort(
    aLoads.begin(), aLoads.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mTimeLeftMs < aRight.mTimeLeftMs;
    });
  double busyMs = 0;
  std::size_t inTime = 0;
  for (const auto& load : aLoads) {
    busyMs += load.mWork[0] / kRate;
    inTime += busyMs <= load.mTimeLeftMs ? 1 : 0;
  }
  return inTime;
}

/// Jobs that arrive while they need `aLoad` times the processors: job `i` is
/// due 1 s after its arrival, and all of them wait by the end.
std::vector<JobLoad> MakeBacklog(double aLoad)
{
  constexpr int kJobs = 20;
  constexpr double kWorkMs = 100;
  std::vector<JobLoad> loads;
  for (int i = 0; i < kJobs; ++i) {
    // Every fifth job is three times as large.
    const double workMs = i % 5 == 4 ? 3 * kWorkMs : kWorkMs;
    loads.push_back(MakeLoad(workMs, kWorkMs * 1.4 * (i + 1) / aLoad));
  }
  return loads;
}

} // namespace

// Guards against a change of the order while all work fits.
TEST_CASE("no job is given up as long as all can be in time", "[overload]")
{
  auto loads = MakeBacklog(0.6);
  CHECK_FALSE(GiveUpJobs(loads, kRates));
  CHECK(CountGivenUp(loads) == 0);
}

// Guards against an overload in which every job is a little late.
TEST_CASE("under overload the jobs that are kept are in time", "[overload]")
{
  struct Row
  {
    const char* mName;
    double mLoad;
    /// Jobs in time by their objectives alone.
    std::size_t mMaxInTimeByObjective;
    std::size_t mMinInTime;
  };
  const auto row = GENERATE(values<Row>({
    { "a steady load of 1.3", 1.3, 8, 14 },
    { "a burst of 2.3 times the room", 2.3, 1, 8 },
  }));
  CAPTURE(row.mName);
  auto loads = MakeBacklog(row.mLoad);
  CHECK(CountInTime(loads) <= row.mMaxInTimeByObjective);
  REQUIRE(GiveUpJobs(loads, kRates));
  CHECK(CountInTime(loads) >= row.mMinInTime);
  // Those that are kept are all in time.
  CHECK(CountInTime(loads) + CountGivenUp(loads) == loads.size());
}

// Guards against jobs that stay given up after the load has gone.
TEST_CASE("once a burst has ended no job is given up", "[overload]")
{
  auto loads = MakeBacklog(2.3);
  REQUIRE(GiveUpJobs(loads, kRates));
  std::erase_if(loads, [](const JobLoad& aLoad) { return !aLoad.mIsGivenUp; });
  for (auto& load : loads) {
    load.mIsGivenUp = false;
    load.mTimeLeftMs += 5'000;
  }
  CHECK_FALSE(GiveUpJobs(loads, kRates));
}

// Guards against large jobs that are given up although they fit, and against
// small ones that are given up for them.
TEST_CASE("the job that frees most for the least value is given up",
          "[overload]")
{
  struct Row
  {
    const char* mName;
    std::vector<JobLoad> mLoads;
    std::vector<bool> mGivenUp;
  };
  const auto row = GENERATE(values<Row>({
    { "the large one fits",
      { MakeLoad(300, 900), MakeLoad(100, 1'000) },
      { false, false } },
    { "it doesn't fit beside the others",
      { MakeLoad(900, 950), MakeLoad(100, 1'000), MakeLoad(100, 1'000) },
      { true, false, false } },
    { "it alone can't be in time",
      { MakeLoad(900, 100), MakeLoad(50, 500) },
      { true, false } },
    { "a late job isn't given up once more",
      { MakeLoad(900, -5), MakeLoad(100, 150) },
      { false, false } },
    { "the less urgent one gives way",
      { MakeLoad(100, 150, 0), MakeLoad(100, 150, 2) },
      { false, true } },
    { "late work of an urgent queue comes first",
      { MakeLoad(900, -5, 0), MakeLoad(100, 150, 2) },
      { false, true } },
  }));
  CAPTURE(row.mName);
  auto loads = row.mLoads;
  GiveUpJobs(loads, kRates);
  std::vector<bool> givenUp;
  for (const auto& load : loads) {
    givenUp.push_back(load.mIsGivenUp);
  }
  CHECK(givenUp == row.mGivenUp);
}

// Guards against a shortage of one pool for which jobs of the other are given
// up.
TEST_CASE("only jobs of the pool that is short are given up", "[overload]")
{
  std::vector<JobLoad> loads{ MakeLoad(100, 10'000), MakeLoad(90, 100) };
  // The value of the first for its work is lower.
  loads[0].mValue = 0.01;
  loads.push_back(MakeLoad(90, 100));
  loads[1].mWork = { 0, 90 * kRate };
  loads[2].mWork = { 0, 90 * kRate };
  REQUIRE(GiveUpJobs(loads, kRates));
  CHECK_FALSE(loads[0].mIsGivenUp);
  CHECK(CountGivenUp(loads) == 1);
}

// Guards against a backlog in which all jobs are late already and none counts
// as overloaded.
TEST_CASE("a backlog of late jobs is an overload", "[overload]")
{
  struct Row
  {
    double mWorkMs;
    bool mIsOverloaded;
  };
  const auto row = GENERATE(values<Row>({ { 900, false }, { 1'100, true } }));
  std::vector<JobLoad> loads{ MakeLoad(row.mWorkMs, -5) };
  CHECK(GiveUpJobs(loads, kRates) == row.mIsOverloaded);
  CHECK(CountGivenUp(loads) == 0);
}

// Guards against best-effort work that counts against other processors.
TEST_CASE("each pool has its own processors", "[overload]")
{
  std::vector<JobLoad> loads{ MakeLoad(100, 150), MakeLoad(100, 150) };
  loads[1].mWork = { 0, 100 * kRate };
  CHECK_FALSE(GiveUpJobs(loads, kRates));
  loads[1].mWork = { 100 * kRate, 0 };
  CHECK(GiveUpJobs(loads, kRates));
}

// Guards against a job without use to its caller that takes the room of others,
// or that never runs again.
TEST_CASE("an expired job gives way and keeps its turn", "[overload]")
{
  DispatchFixture fixture({ "w1" });
  const auto add = [&](const JobId& aId, std::uint32_t aTasks) {
    BatchRecord record = MakeRecord(aTasks);
    record.mAcceptedAtMs = fixture.mNow.count();
    AddJob(fixture.mShard, aId, record, 20, fixture.mNow, fixture.mNow.count());
  };
  add("00000000000000e0", 5);
  DispatchJob& expired = fixture.mShard.mJobs.at("00000000000000e0");
  fixture.mNow = TimePoint(10'000);
  fixture.Answer();
  // More work than fits, all of it due.
  for (int i = 0; i < 10; ++i) {
    add("00000000000000b" + std::to_string(i), 10);
  }
  std::vector<Candidate> steps;
  for (const auto& [id, job] : fixture.mShard.mJobs) {
    CollectSteps(fixture.mShard, job, {}, fixture.mNow, 10'000, steps);
  }
  DemoteUnderOverload(fixture.mShard, steps, fixture.mNow);
  const auto step =
    std::find_if(steps.begin(), steps.end(), [&](const Candidate& aStep) {
      return aStep.mFirstTask.mJob == expired.mId;
    });
  REQUIRE(step != steps.end());
  CHECK(step->mTier == Tier::kExpired);
  CHECK(fixture.mShard.mOverload.mExpired == 1);
  CHECK(fixture.mShard.mOverload.mGivenUp > 0);
  const DispatchActions actions = fixture.Plan();
  const auto starts = std::count_if(
    actions.mStarts.begin(), actions.mStarts.end(), [&](const auto& aStart) {
      return aStart.mOrder.mTask.mJob == expired.mId;
    });
  CHECK(starts == 1);
}

} // namespace verbenacroft
