/// Decisions: shares of slots, admission, victims, ownership by lease,
/// burn rates.

#include "vcBurn.h"
#include "vcOwnership.h"
#include "vcPlacement.h"
#include "vcRouting.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

TEST_CASE("shares of a target's slots add up to the slots", "[routing]")
{
  const auto slots = GENERATE(0, 1, 2, 3, 7, 8, 64);
  const auto routers = GENERATE(1, 2, 3, 5, 8, 11);
  std::int64_t sum = 0;
  for (int i = 0; i < routers; ++i) {
    sum += SlotShare("web@a-0/1", slots, routers, i);
  }
  CHECK(sum == slots);
  CHECK(SlotShare("web@a-0/1", slots, routers, routers) == 0);
}

TEST_CASE("a table of an older epoch or version is refused", "[routing]")
{
  TargetPool pool;
  const auto table = [](std::uint64_t aEpoch, std::uint64_t aVersion) {
    Target target;
    target.mTask = "t" + std::to_string(aEpoch);
    target.mService = "web";
    target.mAddress = "127.0.0.1:9";
    target.mSlots = 2;
    return TargetReply{ { { "a-0", aEpoch, aVersion, { target } } } };
  };
  UpdateTables(pool, table(5, 3));
  struct Row
  {
    std::uint64_t mEpoch;
    std::uint64_t mVersion;
    bool mIsTaken;
  };
  const auto row = GENERATE(values<Row>(
    { { 4, 9, false }, { 5, 2, false }, { 5, 4, true }, { 6, 1, true } }));
  UpdateTables(pool, table(row.mEpoch, row.mVersion));
  CHECK((pool.mStaleTables == 0) == row.mIsTaken);
}

TEST_CASE("a scheduler is asked about the shards it gave last", "[routing]")
{
  TargetPool pool;
  const auto take = [&](const char* aFrom, std::uint64_t aEpoch) {
    const TargetReply answer{ { { "a-0", aEpoch, 1, {} } } };
    RecordTableSources(pool, aFrom, answer);
    UpdateTables(pool, answer);
  };
  take("s0", 1);
  REQUIRE(MakeTargetRequest(pool, "s0").mKnown.size() == 1);
  CHECK(MakeTargetRequest(pool, "s1").mKnown.empty());
  take("s1", 2);
  take("s0", 1);
  CHECK(MakeTargetRequest(pool, "s0").mKnown.empty());
  CHECK(MakeTargetRequest(pool, "s1").mKnown.front().mEpoch == 2);
  CHECK(TablePollInterval(2) == Duration{ 100 });
  CHECK(TablePollInterval(60) == Duration{ 1'000 });
}

TEST_CASE("after a pause no target is picked until tables are read",
          "[routing]")
{
  TargetPool pool;
  Target target;
  target.mTask = "t";
  target.mService = "web";
  target.mAddress = "127.0.0.1:9";
  target.mSlots = 2;
  UpdateTables(pool, { { { "a-0", 1, 1, { target } } } });
  DetectProcessPause(pool, TimePoint{ 1'000 });
  CHECK(PickTarget(pool, "web", {}, TimePoint{ 1'000 }) == "t");
  DetectProcessPause(pool, TimePoint{ 9'000 });
  CHECK(PickTarget(pool, "web", {}, TimePoint{ 9'000 }).empty());
  CHECK(PickTarget(pool, "web", {}, TimePoint{ 9'700 }) == "t");
}

TEST_CASE("overload is refused by share and class", "[routing]")
{
  Configuration configuration;
  configuration.mBackers = { { "one", 70, 0 }, { "two", 30, 0 } };
  Service critical;
  critical.mBacker = "one";
  Service standard;
  standard.mBacker = "two";
  standard.mClass = ServiceClass::kStandard;
  struct Row
  {
    std::int64_t mOne;
    std::int64_t mTwo;
    bool mIsCriticalTaken;
    bool mIsStandardTaken;
  };
  const auto row = GENERATE(values<Row>({
    { 10, 10, true, true },
    { 60, 5, true, true },
    { 40, 31, true, false },
    { 70, 5, false, true },
    { 65, 22, true, false },
    { 60, 40, false, false },
  }));
  AdmissionState state;
  state.mLimit = 100;
  state.mTotal = row.mOne + row.mTwo;
  state.mByBacker = { { "one", row.mOne }, { "two", row.mTwo } };
  CHECK(Admit(state, configuration, critical) == row.mIsCriticalTaken);
  CHECK(Admit(state, configuration, standard) == row.mIsStandardTaken);
}

TEST_CASE("victims are few and cheap", "[placement]")
{
  const std::vector<VictimCandidate> candidates = {
    { "dear", { 4'000, 0, 0, 0 }, 9'000, 0, 0.5 },
    { "cheap", { 2'000, 0, 0, 0 }, 100, 0, 0.5 },
    { "within-share", { 8'000, 0, 0, 0 }, 10, 0, -0.5 },
  };
  struct Row
  {
    std::int64_t mNeeded;
    std::vector<std::string> mVictims;
  };
  const auto row = GENERATE(values<Row>({
    { 1'000, {} },
    { 3'000, { "cheap" } },
    { 5'000, { "dear" } },
    { 7'000, { "dear", "cheap" } },
  }));
  const auto victims =
    ChooseVictims(candidates, { 1'000, 0, 0, 0 }, { row.mNeeded, 0, 0, 0 });
  REQUIRE(victims);
  CHECK(*victims == row.mVictims);
  CHECK_FALSE(
    ChooseVictims(candidates, { 1'000, 0, 0, 0 }, { 90'000, 0, 0, 0 }));
}

TEST_CASE("a lease is counted from the moment of sending", "[ownership]")
{
  OwnershipState state;
  StoreOutbox out;
  SetPartitions(state, { "p" });
  const TimePoint sentAt{ 10'000 };
  TickOwnership(state, sentAt, out);
  StoreReply granted;
  granted.mLease = 7;
  OnOwnershipReply(
    state, state.mLeaseCall, granted, sentAt + Duration{ 700 }, out);
  state.mPartitions["p"].mEpoch = 3;
  const auto& settings = state.mSettings;
  const TimePoint end = sentAt + settings.mTtl - settings.mMargin;
  CHECK(Owns(state, "p", end - Duration{ 1 }));
  CHECK_FALSE(Owns(state, "p", end));
  TickOwnership(state, end, out);
  REQUIRE(state.mEvents.size() == 1);
  CHECK(state.mEvents.front().mKind == OwnershipEventKind::kExpired);
}

TEST_CASE("the budget keeps tokens for leases", "[store]")
{
  StoreBudget budget{ 10, 10, 10, TimePoint{ 0 } };
  int rest = 0;
  while (TakeToken(budget, StorePriority::kOther, TimePoint{ 0 })) {
    ++rest;
  }
  int lease = 0;
  while (TakeToken(budget, StorePriority::kLease, TimePoint{ 0 })) {
    ++lease;
  }
  CHECK(rest == 4);
  CHECK(lease == 6);
}

TEST_CASE("burn is bad requests over what the objective allows", "[burn]")
{
  struct Row
  {
    std::int64_t mTotal;
    std::int64_t mGood;
    double mObjective;
    double mBurn;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 0, 99.0, 0.0 },
    { 1'000, 1'000, 99.0, 0.0 },
    { 1'000, 990, 99.0, 1.0 },
    { 1'000, 900, 99.0, 10.0 },
  }));
  BurnCounts counts;
  counts.mTotal = row.mTotal;
  counts.mGood = row.mGood;
  CHECK(BurnRate(counts, row.mObjective) == Approx(row.mBurn));
}

TEST_CASE("an unreachable router is named in the report", "[burn]")
{
  const auto report = MergeReports({}, { "127.0.0.1:1" });
  CHECK(BurnTable(report).find("NOT REACHED") != std::string::npos);
  CHECK(BurnPage(report).find("127.0.0.1:1") != std::string::npos);
}

} // namespace verbenacroft
