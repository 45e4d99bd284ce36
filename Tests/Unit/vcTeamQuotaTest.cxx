/// Quotas of teams in one shard, and the order of teams when there isn't room
/// for all.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A shard of two workers of 10 processors each, with the teams "a" and "b".
struct TeamFixture : DispatchFixture
{
  TeamFixture()
    : DispatchFixture({ "w1", "w2" })
  {
  }

  void SetLimit(std::int64_t aMilliCpu, double aWeight = 1)
  {
    Resources limit;
    limit.mMilliCpu = aMilliCpu;
    SetTeams(
      this->mShard, { { "a", {}, aWeight, limit }, { "b", {}, 1, {} } }, 1);
  }

  void AddOf(const std::string& aTeam,
             const JobId& aId,
             std::uint32_t aTasks,
             std::int64_t aMilliCpu = 1'000,
             std::uint64_t aCreatedAt = 20)
  {
    BatchRecord record = MakeRecord(aTasks);
    record.mTerms.mTeam = aTeam;
    record.mSpec.mSteps[0].mNeeds.mMilliCpu = aMilliCpu;
    record.mAcceptedAtMs = this->mNow.count();
    AddJob(
      this->mShard, aId, record, aCreatedAt, this->mNow, this->mNow.count());
  }

  /// Processors that the team's tasks use, in thousandths.
  std::int64_t UsedBy(const std::string& aTeam)
  {
    return this->mShard.mTeamUse[aTeam].mKnown.mMilliCpu;
  }
};

std::int64_t CountStarts(const DispatchActions& aActions, const JobId& aJob)
{
  return std::count_if(
    aActions.mStarts.begin(), aActions.mStarts.end(), [&](const auto& aStart) {
      return aStart.mOrder.mTask.mJob == aJob;
    });
}

constexpr const char* kOfA = "00000000000000a0";
constexpr const char* kOfB = "00000000000000b0";

} // namespace

// Guards against starts beyond a team's quota, and against a quota that stops
// teams without one or work that fits.
TEST_CASE("a team starts what fits into its quota", "[teams]")
{
  struct Row
  {
    const char* mName;
    std::int64_t mLimit;
    std::int64_t mTaskCpu;
    std::uint32_t mTasks;
    std::int64_t mStarts;
  };
  const auto row = GENERATE(values<Row>({
    { "no limit", 0, 1'000, 8, 8 },
    { "all fits", 8'000, 1'000, 8, 8 },
    { "a part fits", 5'500, 1'000, 8, 5 },
    { "one task alone exceeds it", 500, 1'000, 8, 1 },
  }));
  CAPTURE(row.mName);
  TeamFixture fixture;
  fixture.SetLimit(row.mLimit);
  fixture.AddOf("a", kOfA, row.mTasks, row.mTaskCpu);
  fixture.AddOf("b", kOfB, 2);
  const DispatchActions actions = fixture.Plan();
  CHECK(CountStarts(actions, kOfA) == row.mStarts);
  CHECK(CountStarts(actions, kOfB) == 2);
  CHECK(fixture.UsedBy("a") == row.mStarts * row.mTaskCpu);
  if (row.mStarts < row.mTasks) {
    const auto waiting =
      SummarizeWaiting(fixture.mShard, fixture.mNow, fixture.mNow.count());
    CHECK(waiting.at(WaitReason::kTeamLimit).mTasks ==
          row.mTasks - static_cast<std::uint64_t>(row.mStarts));
  }
}

// Guards against use that isn't returned once runs have ended, or is returned
// while a run is still being stopped.
TEST_CASE("a team's use follows its runs", "[teams]")
{
  TeamFixture fixture;
  fixture.SetLimit(3'000);
  fixture.AddOf("a", kJob, 4);
  fixture.Plan();
  REQUIRE(fixture.UsedBy("a") == 3'000);
  std::map<std::string, std::vector<RunningTask>> running;
  std::map<std::string, std::vector<EndedRun>> ended;
  for (std::uint32_t i = 0; i < 3; ++i) {
    const std::string worker = fixture.Task(i).mWorker;
    if (i == 0) {
      ended[worker].push_back(MakeEnd(1, 1, RunEnd::kDone, i));
    } else {
      running[worker].push_back(MakeRunning(1, i));
    }
  }
  for (const auto& name : fixture.mNames) {
    fixture.Report(name, running[name], ended[name]);
  }
  CHECK(fixture.UsedBy("a") == 2'000);
  // The quota is free for one more.
  const DispatchActions actions = fixture.Plan();
  CHECK(CountStarts(actions, kJob) == 1);
  CHECK(fixture.UsedBy("a") == 3'000);
}

// Guards against a lowered limit that starts go on beyond, and against one that
// is raised without effect.
TEST_CASE("a new limit takes effect with the next round", "[teams]")
{
  TeamFixture fixture;
  fixture.SetLimit(4'000);
  fixture.AddOf("a", kOfA, 8);
  CHECK(CountStarts(fixture.Plan(), kOfA) == 4);
  fixture.SetLimit(2'000);
  CHECK(CountStarts(fixture.Plan(), kOfA) == 0);
  fixture.SetLimit(6'000);
  CHECK(CountStarts(fixture.Plan(), kOfA) == 2);
}

// Guards against two owners that each start up to the whole quota: the next one
// counts what may still run on workers that haven't answered it.
TEST_CASE("tasks that may run unseen count against the quota", "[teams]")
{
  TeamFixture fixture;
  fixture.SetLimit(5'000);
  UnansweredWorker silent;
  silent.mRunsEndAt = fixture.mNow + Duration(5'000);
  silent.mNoJobsAfter = 30;
  silent.mAskedUntil = silent.mRunsEndAt;
  fixture.mShard.mUnansweredWorkers["gone"] = silent;
  fixture.AddOf("a", kOfA, 4, 1'000, 20);
  fixture.AddOf("a", "00000000000000a1", 4, 1'000, 40);
  const DispatchActions actions = fixture.Plan();
  CHECK(CountStarts(actions, kOfA) == 0);
  CHECK(CountStarts(actions, "00000000000000a1") == 1);
}

// Guards against shares of several shards that exceed the whole, against a
// share that is lowered while its runs go on, and against one that stays
// unused.
TEST_CASE("a shard changes its share by what it needs", "[teams]")
{
  struct Row
  {
    const char* mName;
    TeamShares mShares;
    TeamDemand mDemand;
    TeamShares mPlanned;
  };
  const auto row = GENERATE(values<Row>({
    { "it needs no more",
      { { 5'000, 5'000 }, {} },
      { 100, 5'000 },
      { { 5'000, 5'000 }, {} } },
    { "nothing is free",
      { { 5'000, 5'000 }, {} },
      { 5'000, 9'000 },
      { { 5'000, 5'000 }, { 0 } } },
    { "some is free",
      { { 5'000, 3'000 }, { 0 } },
      { 5'000, 9'000 },
      { { 7'000, 3'000 }, { 0 } } },
    { "all that it needs is free",
      { { 5'000, 3'000 }, { 0 } },
      { 5'000, 6'000 },
      { { 6'000, 3'000 }, {} } },
    { "another wants more and it needs none",
      { { 5'000, 5'000 }, { 1 } },
      { 0, 0 },
      { { 0, 5'000 }, { 1 } } },
    { "another wants more while runs go on",
      { { 8'000, 2'000 }, { 1 } },
      { 7'000, 9'000 },
      { { 7'000, 2'000 }, { 1, 0 } } },
    { "both want more and have equal shares",
      { { 5'000, 5'000 }, { 1 } },
      { 4'000, 9'000 },
      { { 5'000, 5'000 }, { 1, 0 } } },
  }));
  CAPTURE(row.mName);
  const TeamShares planned = PlanTeamShares(row.mShares, 0, row.mDemand);
  CHECK(planned.mShares == row.mPlanned.mShares);
  CHECK(planned.mWanting == row.mPlanned.mWanting);
  CHECK(IsValid(planned, 2));
}

// Guards against two shards that never agree, or that share out too much, as
// their demand changes.
TEST_CASE("shares follow the demand of the shards", "[teams]")
{
  TeamShares shares = EqualTeamShares(3);
  const auto settle = [&](const std::vector<TeamDemand>& aDemands) {
    constexpr int kRounds = 4;
    for (int round = 0; round < kRounds; ++round) {
      for (std::uint32_t shard = 0; shard < aDemands.size(); ++shard) {
        shares = PlanTeamShares(shares, shard, aDemands[shard]);
        REQUIRE(IsValid(shares, 3));
      }
    }
  };
  settle({ { 0, 10'000 }, { 0, 0 }, { 0, 0 } });
  CHECK(shares.mShares[0] == 10'000);
  // The others get their part back once the runs have ended.
  settle({ { 6'000, 10'000 }, { 0, 10'000 }, { 0, 0 } });
  CHECK(shares.mShares[0] == 6'000);
  // At least the equal share.
  CHECK(shares.mShares[1] >= 3'333);
  settle({ { 3'000, 10'000 }, { 4'000, 10'000 }, { 0, 10'000 } });
  CHECK(shares.mShares[2] >= 2'600);
}

// Guards against a quota that fits a task only as a whole, so that no shard
// ever has enough of it.
TEST_CASE("shards take turns with a quota of one task", "[teams]")
{
  TeamShares shares = EqualTeamShares(2);
  std::vector<int> starts{ 0, 0 };
  constexpr int kRounds = 12;
  for (int round = 0; round < kRounds; ++round) {
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
      shares = PlanTeamShares(shares, shard, { 0, 10'000, 10'000 });
      REQUIRE(IsValid(shares, 2));
      // The task runs for less than a round.
      starts[shard] += shares.mShares[shard] == kWholeTeamShare ? 1 : 0;
    }
  }
  CHECK(starts[0] >= 2);
  CHECK(starts[1] >= 2);
}

// Guards against a team that takes all the room since its jobs came first.
TEST_CASE("room goes by the teams' weights", "[teams]")
{
  struct Row
  {
    double mWeight;
    std::int64_t mMinStartsOfA;
    std::int64_t mMaxStartsOfA;
  };
  const auto row =
    GENERATE(values<Row>({ { 1, 8, 12 }, { 3, 13, 17 }, { 0.25, 2, 6 } }));
  CAPTURE(row.mWeight);
  TeamFixture fixture;
  fixture.SetLimit(0, row.mWeight);
  for (int i = 0; i < 20; ++i) {
    const std::string digits = (i < 10 ? "0" : "") + std::to_string(i);
    fixture.AddOf("a", "00000000000000" + digits, 1);
    fixture.AddOf("b", "000000000000b0" + digits, 1);
  }
  const DispatchActions actions = fixture.Plan();
  REQUIRE(actions.mStarts.size() == 20);
  const auto ofA = std::count_if(
    actions.mStarts.begin(), actions.mStarts.end(), [](const auto& aStart) {
      return aStart.mOrder.mTask.mJob[12] != 'b';
    });
  CHECK(ofA >= row.mMinStartsOfA);
  CHECK(ofA <= row.mMaxStartsOfA);
}

} // namespace verbenacroft
