/// What a worker runs counts for its capacity, for the quotas of teams and for
/// the maximum of a step, from the order to start a run until its end is
/// listed.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr const char* kTeam = "a";
/// Needs of a task of which a worker of 10 processors takes only one.
constexpr std::int64_t kMostOfAWorker = 6'000;

/// What keeps a second task of the step from a worker, or a third one from the
/// shard.
struct Limit
{
  const char* mName;
  std::uint32_t mMaxPerWorker;
  std::int64_t mMilliCpu;
  /// Tasks of the step that the quota of its team allows; 0 for no quota.
  std::int64_t mTeamTasks;
};

const std::vector<Limit> kLimits{ { "the step's maximum", 1, 1'000, 0 },
                                  { "the capacity", 0, kMostOfAWorker, 0 },
                                  { "the team's quota", 0, 1'000, 2 } };

/// Two workers and a job whose three tasks exceed the limit, so that one or two
/// run at a time. An earlier owner may have started some.
struct LimitFixture : DispatchFixture
{
  explicit LimitFixture(const Limit& aLimit)
    : DispatchFixture({ "w1", "w2" })
  {
    this->mShard.mRunBase = 256;
    BatchRecord record = MakeRecord(3);
    record.mTerms.mTeam = kTeam;
    StepSpec& step = record.mSpec.mSteps[0];
    step.mMaxPerWorker = aLimit.mMaxPerWorker;
    step.mNeeds.mMilliCpu = aLimit.mMilliCpu;
    Resources quota;
    quota.mMilliCpu = aLimit.mTeamTasks * aLimit.mMilliCpu;
    SetTeams(this->mShard, { { kTeam, {}, 1, quota } }, 1);
    AddJob(this->mShard, kJob, record, 5, this->mNow, this->mNow.count());
  }

  /// Number of tasks that are started on the worker in a round.
  std::map<std::string, std::size_t> Starts()
  {
    std::map<std::string, std::size_t> starts;
    for (const auto& start : this->Plan().mStarts) {
      ++starts[start.mWorker];
    }
    return starts;
  }

  /// The worker reports what it runs, some time after the last report.
  void ReportLater(const std::string& aWorker,
                   std::vector<RunningTask> aRunning,
                   std::vector<EndedRun> aEnded,
                   std::int64_t aBorn = kBorn)
  {
    this->mNow += Duration(100);
    this->Report(aWorker, std::move(aRunning), std::move(aEnded), aBorn);
  }
};

using Starts = std::map<std::string, std::size_t>;

} // namespace

// Guards against more tasks of a step on a worker than its maximum: a start
// beside a run that the worker is told to stop.
TEST_CASE("no limit is exceeded beside a run to stop that is listed",
          "[worker-runs]")
{
  const Limit limit = GENERATE(from_range(kLimits));
  CAPTURE(limit.mName);
  LimitFixture fixture(limit);
  fixture.Report("w2", { MakeRunning(3) }, {});
  REQUIRE(fixture.Task().mWorker == "w2");
  fixture.ReportLater("w1", { MakeRunning(2) }, {});
  CHECK(fixture.Starts().empty());
  fixture.ReportLater("w1", { MakeRunning(2) }, {});
  CHECK(fixture.Starts().empty());
  fixture.ReportLater("w1", {}, { MakeEnd(1, 2, RunEnd::kStopped) });
  CHECK(fixture.Starts() == Starts{ { "w1", 1 } });
}

// Guards against more tasks of a step on a worker than its maximum: a start
// beside a run that the late end of an earlier one has made needless, before
// the worker lists it.
TEST_CASE("no limit is exceeded beside a run that a late end supersedes",
          "[worker-runs]")
{
  const Limit limit = GENERATE(from_range(kLimits));
  CAPTURE(limit.mName);
  LimitFixture fixture(limit);
  fixture.Report("w1", { MakeRunning(3) }, {});
  REQUIRE(fixture.Task().mWorker == "w1");
  fixture.ReportLater("w2", {}, { MakeEnd(1, 2, RunEnd::kDone) });
  REQUIRE(fixture.Job().mOccurrences.at(0).mSteps[0].mDone == 1);
  CHECK(fixture.Starts() == Starts{ { "w2", 1 } });
  fixture.ReportLater("w1", { MakeRunning(3) }, {});
  CHECK(fixture.Starts().empty());
  fixture.ReportLater("w1", {}, { MakeEnd(1, 3, RunEnd::kStopped) });
  CHECK(fixture.Starts() == Starts{ { "w1", 1 } });
}

// Guards against the same where the superseded run's start has no answer: it
// may still begin until its deadline on the worker's clock.
TEST_CASE("no limit is exceeded beside a superseded start without an answer",
          "[worker-runs]")
{
  struct Row
  {
    const char* mName;
    /// What becomes of the start before the report that follows.
    void (*mDo)(LimitFixture&, const StartOrder&);
    /// That report shows that the start can't take effect any more.
    bool mIsOver;
  };
  const auto reply = [](LimitFixture& aFixture,
                        const StartOrder& aOrder,
                        OrderOutcome aOutcome) {
    const OrderReply answer{ aOutcome, kClock + aFixture.mNow.count() };
    OnStartReply(aFixture.mShard, "w1", aOrder, answer, aFixture.mNow);
  };
  static const auto kReply = reply;
  const auto row = GENERATE(values<Row>({
    { "nothing", [](LimitFixture&, const StartOrder&) {}, false },
    { "its call fails",
      [](LimitFixture& aFixture, const StartOrder& aOrder) {
        kReply(aFixture, aOrder, OrderOutcome::kUnknown);
      },
      false },
    { "its deadline passes",
      [](LimitFixture& aFixture, const StartOrder&) {
        aFixture.mNow += Duration(2'000);
      },
      true },
    { "it is refused",
      [](LimitFixture& aFixture, const StartOrder& aOrder) {
        kReply(aFixture, aOrder, OrderOutcome::kNoRoom);
      },
      true },
    { "it is carried out, and its end was listed and acknowledged",
      [](LimitFixture& aFixture, const StartOrder& aOrder) {
        kReply(aFixture, aOrder, OrderOutcome::kDone);
      },
      true },
    { "its stop is answered",
      [](LimitFixture& aFixture, const StartOrder& aOrder) {
        const StopOrder stop{ aOrder.mTask, aOrder.mRun, aOrder.mEpoch };
        const OrderReply answer{ OrderOutcome::kDone,
                                 kClock + aFixture.mNow.count() };
        OnStopReply(aFixture.mShard, "w1", stop, answer, aFixture.mNow);
      },
      true },
  }));
  const Limit limit = GENERATE(from_range(kLimits));
  CAPTURE(row.mName, limit.mName);
  LimitFixture fixture(limit);
  fixture.Task(1).mPhase = RunPhase::kDone;
  fixture.Task(2).mPhase = RunPhase::kDone;
  fixture.Silence("w2");
  const auto starts = fixture.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].mWorker == "w1");
  fixture.Task(1).mPhase = RunPhase::kWaiting;
  fixture.Task(2).mPhase = RunPhase::kWaiting;
  fixture.ReportLater("w2", {}, { MakeEnd(1, 2, RunEnd::kDone) });
  CHECK(fixture.Starts() == Starts{ { "w2", 1 } });
  fixture.mNow += Duration(100);
  row.mDo(fixture, starts[0].mOrder);
  fixture.ReportLater("w1", {}, {});
  CHECK(fixture.Starts() == (row.mIsOver ? Starts{ { "w1", 1 } } : Starts{}));
}

// Guards against a room that stays taken for good once the worker that had the
// superseded run is gone or has restarted.
TEST_CASE("a superseded run counts no longer once it can't last",
          "[worker-runs]")
{
  struct Row
  {
    const char* mName;
    void (*mEnd)(LimitFixture&);
  };
  const auto row = GENERATE(values<Row>({
    { "its worker restarts",
      [](LimitFixture& aFixture) {
        aFixture.ReportLater("w1", {}, {}, kBorn + 1);
        aFixture.FenceOff("w1", kBorn + 1);
      } },
    { "its worker is silent until its lease is over",
      [](LimitFixture& aFixture) {
        aFixture.Silence("w1");
        aFixture.mNow += Duration(20'000);
        ReapWorkers(aFixture.mShard, aFixture.mNow);
      } },
    { "its worker lists it no longer",
      [](LimitFixture& aFixture) { aFixture.ReportLater("w1", {}, {}); } },
  }));
  const Limit limit = GENERATE(from_range(kLimits));
  CAPTURE(row.mName, limit.mName);
  LimitFixture fixture(limit);
  fixture.Report("w1", { MakeRunning(3) }, {});
  fixture.ReportLater("w2", {}, { MakeEnd(1, 2, RunEnd::kDone) });
  const Resources needs = fixture.Job().mRecord.mSpec.mSteps[0].mNeeds;
  CHECK(fixture.Worker().mUsed == needs);
  CHECK(fixture.mShard.mTeamUse[kTeam].mKnown == needs);
  row.mEnd(fixture);
  CHECK(fixture.Worker().mUsed == Resources{});
  CHECK(fixture.mShard.mTeamUse[kTeam].mKnown == Resources{});
  CHECK(fixture.Worker().mRunsToStop.empty());
}

// Guards against the release of a whole gang by the end of an earlier run: its
// later runs are at work until they are stopped.
TEST_CASE("the runs of a gang that a late end supersedes count until they end",
          "[worker-runs]")
{
  DispatchFixture fixture({ "w1", "w2" });
  fixture.mShard.mRunBase = 256;
  BatchRecord record = MakeRecord(2);
  record.mSpec.mSteps[0].mIsGang = true;
  record.mSpec.mSteps[0].mMaxPerWorker = 1;
  const Resources needs = record.mSpec.mSteps[0].mNeeds;
  AddJob(fixture.mShard, kJob, record, 5, fixture.mNow, 0);
  fixture.Report("w1", { MakeRunning(3, 0) }, {});
  fixture.Report("w2", { MakeRunning(3, 1) }, {});
  const bool isSameRun = GENERATE(false, true);
  CAPTURE(isSameRun);
  const std::uint32_t ended = isSameRun ? 3 : 2;
  fixture.mNow += Duration(100);
  fixture.Report("w2", {}, { MakeEnd(1, ended, RunEnd::kDone, 1) });
  REQUIRE(fixture.Job().mState == BatchState::kCompleted);
  CHECK(fixture.Worker().mUsed == (isSameRun ? Resources{} : needs));
}

// Guards against the stop of a superseded run that waits for a report.
TEST_CASE("a superseded run is stopped at once", "[worker-runs]")
{
  LimitFixture fixture(kLimits[0]);
  fixture.Report("w1", { MakeRunning(3) }, {});
  fixture.ReportLater("w2", {}, { MakeEnd(1, 2, RunEnd::kDone) });
  const auto stops = fixture.Plan().mStops;
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].mWorker == "w1");
  CHECK(stops[0].mOrder.mTask == TaskId{ kJob, 0, 0, 0 });
  CHECK(stops[0].mOrder.mRun == 3);
}

// Guards against the release of a run by the end of another one that happens to
// have its number.
TEST_CASE("the end of a run of the same number elsewhere releases nothing",
          "[worker-runs]")
{
  LimitFixture fixture(kLimits[0]);
  fixture.Report("w1", { MakeRunning(3) }, {});
  fixture.ReportLater("w2", {}, { MakeEnd(1, 3, RunEnd::kDone) });
  REQUIRE(fixture.Job().mOccurrences.at(0).mSteps[0].mDone == 1);
  const Resources needs = fixture.Job().mRecord.mSpec.mSteps[0].mNeeds;
  CHECK(fixture.Worker().mUsed == needs);
}

// Guards against a start with the number of a run that is being stopped.
TEST_CASE("a start has a higher number than each run that was listed",
          "[worker-runs]")
{
  constexpr std::uint32_t kListed = 260;
  LimitFixture fixture(kLimits[1]);
  fixture.Report("w2", { MakeRunning(257) }, {});
  fixture.ReportLater("w1", { MakeRunning(kListed) }, {});
  fixture.ReportLater("w2", {}, { MakeEnd(1, 257, RunEnd::kStopped) });
  const auto starts = fixture.Plan().mStarts;
  const auto first =
    std::find_if(starts.begin(), starts.end(), [](const auto& aStart) {
      return aStart.mOrder.mTask.mIndex == 0;
    });
  REQUIRE(first != starts.end());
  CHECK(first->mOrder.mRun > kListed);
}

// Guards against run numbers that rise with each round in which a gang finds
// room for some of its members only, up to those of the next owner.
TEST_CASE("a gang that waits for room uses up no run numbers", "[worker-runs]")
{
  constexpr int kRounds = 300;
  DispatchFixture fixture({ "w1", "w2" });
  BatchRecord record = MakeRecord(2);
  record.mSpec.mSteps[0].mIsGang = true;
  record.mSpec.mSteps[0].mMaxPerWorker = 1;
  AddJob(fixture.mShard, kJob, record, 20, fixture.mNow, 0);
  fixture.Silence("w2");
  for (int i = 0; i < kRounds; ++i) {
    fixture.mNow += Duration(10);
    fixture.Report("w1", {}, {});
    REQUIRE(fixture.Plan().mStarts.empty());
  }
  CHECK(fixture.Worker().mUsed == Resources{});
  fixture.Report("w2", {}, {});
  const auto starts = fixture.Plan().mStarts;
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].mOrder.mRun == 1);
  CHECK(starts[1].mOrder.mRun == 1);
}

// Guards against a worker that leaves the record while the start of a
// superseded run may still reach its next incarnation.
TEST_CASE("a draining worker isn't vacated beside a superseded start",
          "[worker-runs]")
{
  const bool isPast = GENERATE(false, true);
  CAPTURE(isPast);
  DispatchFixture fixture({ "w1", "w2" });
  fixture.mShard.mRunBase = 256;
  fixture.Silence("w2");
  fixture.Add(1);
  const auto starts = fixture.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  const OrderReply unknown{ OrderOutcome::kUnknown, 0 };
  OnStartReply(fixture.mShard, "w1", starts[0].mOrder, unknown, fixture.mNow);
  WorkerEntry leaving = MakeEntry("w1");
  leaving.mIsDraining = true;
  leaving.mLeavesInMs = 60'000;
  OnDiscovery(fixture.mShard, { leaving, MakeEntry("w2") }, fixture.mNow);
  fixture.Report("w2", {}, { MakeEnd(1, 2, RunEnd::kDone) });
  REQUIRE(fixture.Job().mState == BatchState::kCompleted);
  fixture.mNow += Duration(2'000);
  fixture.Report("w1", {}, {});
  CHECK(MustBeRecorded(fixture.mShard, fixture.Worker(), fixture.mNow));
  fixture.mNow += isPast ? kLateCallTime : Duration(100);
  fixture.Report("w1", {}, {});
  CHECK(MustBeRecorded(fixture.mShard, fixture.Worker(), fixture.mNow) !=
        isPast);
}

} // namespace verbenacroft
