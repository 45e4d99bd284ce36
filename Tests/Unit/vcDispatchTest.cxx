/// The decisions of a shard's owner: takeover, ends of runs, failures,
/// cancellation, lapsed leases, placement and pacing.

#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr std::int64_t kBorn = 5'000;
constexpr std::int64_t kClock = 100'000;

WorkerEntry MakeEntry(const std::string& aName)
{
  WorkerEntry entry;
  entry.mWorker = aName;
  entry.mService = "pool";
  entry.mAddress = "127.0.0.1:9000";
  entry.mDataCentre = "north";
  entry.mCapacity.mMilliCpu = 10'000;
  entry.mCapacity.mMemoryMb = 10'000;
  return entry;
}

BatchRecord MakeRecord(std::uint32_t aTasks)
{
  BatchRecord record;
  record.mTerms.mQueue = "queue";
  record.mTerms.mService = "pool";
  record.mTerms.mMaxAttempts = 2;
  StepSpec step;
  step.mCount = aTasks;
  step.mNeeds.mMilliCpu = 1'000;
  step.mNeeds.mMemoryMb = 100;
  step.mEstimateMs = 1'000;
  record.mSpec.mSteps.push_back(step);
  return record;
}

/// A shard of some workers that have answered, as of time 0.
struct Fixture
{
  explicit Fixture(std::vector<std::string> aWorkers)
    : mNames(std::move(aWorkers))
  {
    this->mShard.mEpoch = 10;
    std::vector<WorkerEntry> entries;
    for (const auto& name : this->mNames) {
      entries.push_back(MakeEntry(name));
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    for (auto& [name, worker] : this->mShard.mWorkers) {
      worker.mIsRecorded = true;
    }
    this->Answer();
  }

  /// Every worker reports that nothing runs.
  void Answer()
  {
    for (const auto& name : this->mNames) {
      this->Report(name, {}, {});
    }
  }

  void Report(const std::string& aWorker,
              std::vector<RunningTask> aRunning,
              std::vector<EndedRun> aEnded,
              std::int64_t aBorn = kBorn)
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = kClock + this->mNow.count();
    report.mIncarnation = aBorn;
    report.mRunning = std::move(aRunning);
    report.mEnded = std::move(aEnded);
    OnReport(this->mShard,
             aWorker,
             report,
             this->mNow,
             this->mNow,
             this->mNow.count());
  }

  void Silence(const std::string& aWorker)
  {
    OnReport(this->mShard,
             aWorker,
             WorkerReport{},
             this->mNow,
             this->mNow,
             this->mNow.count());
  }

  void Add(std::uint32_t aTasks, std::uint64_t aCreatedAt = 20)
  {
    AddJob(this->mShard,
           kJob,
           MakeRecord(aTasks),
           aCreatedAt,
           this->mNow,
           this->mNow.count());
  }

  DispatchActions Plan()
  {
    DispatchActions actions;
    PlanStops(this->mShard, this->mNow, actions);
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    return actions;
  }

  /// Discovery lists `w1` as draining or as ready.
  void SetDraining(bool aIsDraining)
  {
    WorkerEntry entry = MakeEntry("w1");
    entry.mIsDraining = aIsDraining;
    entry.mLeavesInMs = 60'000;
    OnDiscovery(this->mShard, { entry }, this->mNow);
  }

  /// `w1` reports that nothing runs after the deadlines of all starts so far.
  void AnswerLater()
  {
    this->mNow += Duration(2'000);
    this->Report("w1", {}, {});
  }

  DispatchWorker& Worker() { return this->mShard.mWorkers.at("w1"); }

  DispatchTask& Task(std::uint32_t aIndex = 0)
  {
    return *FindTask(this->mShard, { kJob, 0, 0, aIndex });
  }

  DispatchJob& Job() { return this->mShard.mJobs.at(kJob); }

  std::vector<std::string> mNames;
  TimePoint mNow{ 0 };
  DispatchShard mShard;
};

EndedRun MakeEnd(std::uint64_t aIndex,
                 std::uint32_t aRun,
                 RunEnd aHow,
                 std::uint32_t aTask = 0)
{
  EndedRun end;
  end.mIndex = aIndex;
  end.mTask = { kJob, 0, 0, aTask };
  end.mRun = aRun;
  end.mRunEnd = aHow;
  return end;
}

RunningTask MakeRunning(std::uint32_t aRun, std::uint32_t aTask = 0)
{
  RunningTask running;
  running.mTask = { kJob, 0, 0, aTask };
  running.mRun = aRun;
  return running;
}

void Renew(Fixture& aFixture)
{
  auto& worker = aFixture.mShard.mWorkers.at("w1");
  MakeRenewal(aFixture.mShard, worker, Duration(1'000), aFixture.mNow);
}

/// One task runs on the only worker, whose lease is renewed once more before
/// it falls silent.
void RunAndSilence(Fixture& aFixture)
{
  aFixture.Add(1);
  aFixture.Plan();
  aFixture.Report("w1", { MakeRunning(1) }, {});
  Renew(aFixture);
  aFixture.Silence("w1");
}

} // namespace

TEST_CASE("an adopted run keeps its number and isn't stopped", "[dispatch]")
{
  Fixture fixture({ "w1" });
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
  Fixture fixture({ "w1" });
  fixture.mShard.mRunBase = 256;
  fixture.Add(1, 5);
  const auto actions = fixture.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  CHECK(actions.mStarts[0].mOrder.mRun == 257);
}

// Guards against a start that brings a worker over its capacity: what is being
// stopped still uses it.
TEST_CASE("a run to stop counts on its worker until its end is listed",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    JobId mJob;
    void (*mEnd)(Fixture&, const RunningTask&);
  };
  const auto end = [](Fixture& aShard, const RunningTask& aRun) {
    EndedRun ended = MakeEnd(1, aRun.mRun, RunEnd::kStopped);
    ended.mTask = aRun.mTask;
    aShard.Report("w1", {}, { ended });
  };
  const auto restart = [](Fixture& aShard, const RunningTask&) {
    aShard.Report("w1", {}, {}, kBorn + 1);
  };
  const auto row = GENERATE_COPY(values<Row>({
    { "its task runs elsewhere", kJob, end },
    { "the same, and its worker restarts", kJob, restart },
    { "its job isn't known", "00000000000000a2", end },
    { "the same, and its worker restarts", "00000000000000a2", restart },
  }));
  CAPTURE(row.mName, row.mJob);
  Fixture fixture({ "w1", "w2" });
  fixture.mShard.mRunBase = 256;
  BatchRecord record = MakeRecord(1);
  record.mSpec.mSteps[0].mNeeds.mMilliCpu = 6'000;
  AddJob(fixture.mShard, kJob, record, 5, fixture.mNow, 0);
  fixture.Report("w2", { MakeRunning(3) }, {});
  REQUIRE(fixture.Task().mWorker == "w2");
  RunningTask other = MakeRunning(2);
  other.mTask.mJob = row.mJob;
  fixture.Report("w1", { other }, {});
  AddJob(fixture.mShard, "00000000000000a3", record, 20, fixture.mNow, 0);
  const auto actions = fixture.Plan();
  REQUIRE(actions.mStops.size() == 1);
  CHECK(actions.mStops[0].mOrder.mTask == other.mTask);
  CHECK(actions.mStarts.empty());
  fixture.mNow += Duration(100);
  fixture.Report("w1", { other }, {});
  CHECK(fixture.Plan().mStarts.empty());
  fixture.mNow += Duration(100);
  row.mEnd(fixture, other);
  const auto starts = fixture.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mWorker == "w1");
  CHECK(fixture.Worker().mUsed == record.mSpec.mSteps[0].mNeeds);
}

// Guards against a worker that takes nothing for as long as it lists a run that
// no stop ends.
TEST_CASE("a run with unknown needs closes its worker for a bounded time",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  fixture.mShard.mRunBase = 256;
  RunningTask unknown = MakeRunning(2);
  unknown.mTask.mJob = "00000000000000a2";
  fixture.Add(1);
  const TimePoint bound = LongestLease(fixture.mShard.mBounds) +
                          fixture.mShard.mBounds.mStopTimeout + fixture.mNow;
  while (fixture.mNow < bound) {
    fixture.Report("w1", { unknown }, {});
    CHECK(fixture.Plan().mStarts.empty());
    fixture.mNow += Duration(100);
  }
  fixture.Report("w1", { unknown }, {});
  CHECK(fixture.Plan().mStarts.size() == 1);
}

// Guards against a run that counts twice: once as a run to stop, once as the
// run of its task.
TEST_CASE("a run to stop that becomes its task's run counts once", "[dispatch]")
{
  Fixture fixture({ "w1", "w2" });
  fixture.mShard.mRunBase = 256;
  fixture.Add(1, 5);
  fixture.Report("w2", { MakeRunning(3) }, {});
  fixture.Report("w1", { MakeRunning(4) }, {});
  fixture.Report("w2", {}, { MakeEnd(1, 3, RunEnd::kStopped) });
  REQUIRE(fixture.Task().mPhase == RunPhase::kWaiting);
  fixture.Report("w1", { MakeRunning(4) }, {});
  REQUIRE(fixture.Task().mWorker == "w1");
  const Resources needs = fixture.Job().mRecord.mSpec.mSteps[0].mNeeds;
  CHECK(fixture.Worker().mUsed == needs);
  fixture.Report("w1", {}, { MakeEnd(1, 4, RunEnd::kStopped) });
  CHECK(fixture.Worker().mUsed == Resources{});
}

TEST_CASE("workers of an earlier owner stay until they have answered",
          "[dispatch]")
{
  Fixture fixture({});
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
  Fixture fixture({ "w1", "w2" });
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
    void (*mPlay)(Fixture&);
    bool mIsRecorded;
  };
  const auto row = GENERATE(values<Row>({
    { "nothing runs", [](Fixture&) {}, false },
    { "ready", [](Fixture& aShard) { aShard.SetDraining(false); }, true },
    { "silent after its report",
      [](Fixture& aShard) { aShard.Silence("w1"); },
      false },
    { "gone after its report",
      [](Fixture& aShard) { OnDiscovery(aShard.mShard, {}, aShard.mNow); },
      false },
    { "taken over and not heard yet",
      [](Fixture& aShard) {
        aShard.Worker() = {};
        AddActiveWorker(aShard.mShard, "w1", {}, aShard.mNow);
        aShard.SetDraining(true);
        aShard.Silence("w1");
      },
      true },
    { "a task runs",
      [](Fixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", { MakeRunning(1) }, {});
      },
      true },
    { "silent while a task runs",
      [](Fixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", { MakeRunning(1) }, {});
        aShard.Silence("w1");
      },
      true },
    { "a run of an unknown job",
      [](Fixture& aShard) { aShard.Report("w1", { MakeRunning(1) }, {}); },
      true },
    { "an end that isn't recorded",
      [](Fixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kDone) });
      },
      true },
    { "an end that is recorded",
      [](Fixture& aShard) {
        aShard.Add(1);
        aShard.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.Worker().mAckIndex = 1;
      },
      false },
    { "more ends than a report lists",
      [](Fixture& aShard) {
        std::vector<EndedRun> ends;
        for (std::uint32_t i = 1; i <= 500; ++i) {
          ends.push_back(MakeEnd(i, i, RunEnd::kStopped));
        }
        aShard.Report("w1", {}, ends);
        aShard.Worker().mAckIndex = 500;
      },
      true },
    { "a new incarnation that hasn't started anything",
      [](Fixture& aShard) { aShard.Report("w1", {}, {}, kBorn + 1); },
      false },
    { "another incarnation answered",
      [](Fixture& aShard) {
        WorkerReport report;
        report.mOutcome = OrderOutcome::kOtherIncarnation;
        OnReport(aShard.mShard, "w1", report, aShard.mNow, aShard.mNow, 0);
      },
      true },
  }));
  CAPTURE(row.mName);
  Fixture shard({ "w1" });
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
    void (*mPlay)(Fixture&, const StartOrder&);
    bool mIsRecorded;
  };
  const auto row = GENERATE(values<Row>({
    { "a start in flight",
      [](Fixture& aShard, const StartOrder&) { aShard.Report("w1", {}, {}); },
      true },
    { "a start in flight past its deadline",
      [](Fixture& aShard, const StartOrder&) { aShard.AnswerLater(); },
      true },
    { "an unanswered start before its deadline",
      [](Fixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.mNow += Duration(1'500);
        aShard.Report("w1", {}, {});
      },
      true },
    { "an unanswered start past its deadline",
      [](Fixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.mNow += Duration(1'501);
        aShard.Report("w1", {}, {});
      },
      true },
    { "an unanswered start that can't take effect any more",
      [](Fixture& aShard, const StartOrder& aStart) {
        OnStartReply(aShard.mShard, "w1", aStart, {}, aShard.mNow);
        aShard.mNow += Duration(8'501);
        aShard.Report("w1", {}, {});
      },
      false },
    { "a start in flight of a task that is done elsewhere",
      [](Fixture& aShard, const StartOrder&) {
        aShard.Report("w2", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.Report("w1", {}, {});
      },
      true },
    { "the same past its deadline",
      [](Fixture& aShard, const StartOrder&) {
        aShard.Report("w2", {}, { MakeEnd(1, 1, RunEnd::kDone) });
        aShard.AnswerLater();
      },
      false },
    { "a start that may reach a new incarnation, whose clock is behind",
      [](Fixture& aShard, const StartOrder& aStart) {
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
  Fixture shard({ "w1", "w2" });
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
  Fixture shard({ "w1" });
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
  Fixture fixture({ "w1" });
  fixture.mShard.mIsLeaseProved = row.mIsLeaseProved;
  fixture.mShard.mUnansweredWorkers["w2"] = { TimePoint(9'000), 10 };
  fixture.mNow = TimePoint(row.mNowMs);
  fixture.Answer();
  fixture.Add(1, row.mCreatedAt);
  CHECK(fixture.Plan().mStarts.size() == row.mStarts);
}

TEST_CASE("failed runs count once each, in whatever order they are heard",
          "[dispatch]")
{
  Fixture fixture({ "w1", "w2" });
  fixture.Add(1, 5);
  fixture.Report("w2", {}, { MakeEnd(1, 2, RunEnd::kFailed) });
  CHECK_FALSE(IsFinal(fixture.Job().mState));
  fixture.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kFailed) });
  CHECK(fixture.Job().mState == BatchState::kFailed);
  CHECK(fixture.Plan().mStarts.empty());
}

TEST_CASE("a failure that is listed again is no second failure", "[dispatch]")
{
  Fixture fixture({ "w1" });
  fixture.Add(1, 5);
  const EndedRun end = MakeEnd(1, 1, RunEnd::kFailed);
  fixture.Report("w1", {}, { end });
  BatchProgress progress = ProgressOf(fixture.Job());
  Fixture next({ "w1" });
  next.Add(1, 5);
  ApplyProgress(next.mShard, kJob, progress);
  next.Report("w1", {}, { end });
  CHECK(next.Task().mFailedRuns.size() == 1);
  CHECK_FALSE(IsFinal(next.Job().mState));
}

TEST_CASE("a cancellation that is read before its job still holds",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  CancelJob(fixture.mShard, kJob, fixture.mNow, 0);
  fixture.Add(1);
  CHECK(fixture.Job().mState == BatchState::kCancelled);
  CHECK(fixture.Plan().mStarts.empty());
}

TEST_CASE("a start without an answer blocks its task until it is late",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  fixture.Add(1);
  const auto actions = fixture.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  OnStartReply(
    fixture.mShard, "w1", actions.mStarts[0].mOrder, {}, fixture.mNow);
  fixture.mNow += Duration(1'000);
  fixture.Report("w1", {}, {});
  CHECK(fixture.Plan().mStarts.empty());
  fixture.mNow += Duration(1'000);
  fixture.Report("w1", {}, {});
  CHECK(fixture.Plan().mStarts.size() == 1);
}

/// A worker that gets a start and doesn't run it must not make its job look
/// started.
TEST_CASE("a job waits until a worker has started one of its tasks",
          "[dispatch]")
{
  struct Row
  {
    OrderOutcome mOutcome;
    BatchState mState;
  };
  const auto row = GENERATE(
    values<Row>({ { OrderOutcome::kDone, BatchState::kRunning },
                  { OrderOutcome::kUnknown, BatchState::kQueued },
                  { OrderOutcome::kOtherIncarnation, BatchState::kQueued },
                  { OrderOutcome::kNoRoom, BatchState::kQueued },
                  { OrderOutcome::kLate, BatchState::kQueued } }));
  Fixture fixture({ "w1" });
  fixture.Add(1);
  CHECK(fixture.Job().mState == BatchState::kQueued);
  const auto actions = fixture.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  CHECK(fixture.Job().mState == BatchState::kQueued);
  const OrderReply reply{ row.mOutcome, 0 };
  OnStartReply(
    fixture.mShard, "w1", actions.mStarts[0].mOrder, reply, fixture.mNow);
  CHECK(fixture.Job().mState == row.mState);
}

/// The answer to a start may be lost while its task runs or ends.
TEST_CASE("a job has started once a worker lists a task of it", "[dispatch]")
{
  struct Row
  {
    bool mIsOrdered;
    bool mIsEnded;
  };
  const auto row = GENERATE(values<Row>(
    { { true, false }, { true, true }, { false, false }, { false, true } }));
  Fixture fixture({ "w1" });
  fixture.Add(2, 5);
  if (row.mIsOrdered) {
    const auto actions = fixture.Plan();
    OnStartReply(
      fixture.mShard, "w1", actions.mStarts[0].mOrder, {}, fixture.mNow);
  }
  CHECK(fixture.Job().mState == BatchState::kQueued);
  if (row.mIsEnded) {
    fixture.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kFailed) });
  } else {
    fixture.Report("w1", { MakeRunning(1) }, {});
  }
  CHECK(fixture.Job().mState == BatchState::kRunning);
}

TEST_CASE("a silent worker keeps its tasks until its lease has ended",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  RunAndSilence(fixture);
  OnDiscovery(fixture.mShard, {}, fixture.mNow);
  // A clock that runs 2% slow ends a lease of 6 s after 6.13 s of ours.
  ReapWorkers(fixture.mShard, TimePoint(6'100));
  CHECK(fixture.Task().mPhase == RunPhase::kRunning);
  ReapWorkers(fixture.mShard, TimePoint(6'200));
  CHECK(fixture.Task().mPhase == RunPhase::kWaiting);
}

// Guards against two runs of a task: it is done on a worker that is well, but
// the owner doesn't hear of that and takes the end of the lease for the loss of
// the task.
TEST_CASE("a task isn't started elsewhere while its worker may list it as done",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    bool mIsListed;
    bool mIsLasting;
    OrderOutcome mOutcome;
    bool mIsAwaited;
  };
  const auto row = GENERATE(values<Row>({
    { "unheard", true, false, OrderOutcome::kUnknown, true },
    { "not reached", true, false, OrderOutcome::kNotSent, true },
    { "gone from discovery", false, false, OrderOutcome::kUnknown, false },
    { "a long-running task", true, true, OrderOutcome::kUnknown, false },
    { "unhealthy", true, false, OrderOutcome::kUnhealthy, true },
    { "unreadable", true, false, OrderOutcome::kMalformed, true },
    { "replaced", true, false, OrderOutcome::kOtherIncarnation, false },
  }));
  INFO(row.mName);
  Fixture fixture({ "w1", "w2" });
  fixture.Add(1);
  fixture.Job().mRecord.mSpec.mSteps[0].mIsLasting = row.mIsLasting;
  const auto actions = fixture.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  const std::string worker = actions.mStarts[0].mWorker;
  fixture.Report(worker, { MakeRunning(1) }, {});
  fixture.mNow += Duration(1);
  WorkerReport failure;
  failure.mOutcome = row.mOutcome;
  OnReport(fixture.mShard,
           worker,
           failure,
           fixture.mNow,
           fixture.mNow,
           fixture.mNow.count());
  if (!row.mIsListed) {
    OnDiscovery(fixture.mShard, {}, fixture.mNow);
  }
  // Only the start's deadline had extended the lease.
  fixture.mNow = TimePoint(2'000);
  ReapWorkers(fixture.mShard, fixture.mNow);
  CHECK((fixture.Task().mPhase == RunPhase::kRunning) == row.mIsAwaited);
  if (!row.mIsAwaited) {
    return;
  }
  SECTION("the worker answers again")
  {
    fixture.Report(worker, {}, { MakeEnd(1, 1, RunEnd::kDone) });
    CHECK(fixture.Job().mState == BatchState::kCompleted);
    CHECK(fixture.Plan().mStarts.empty());
  }
  SECTION("the worker doesn't answer")
  {
    ReapWorkers(fixture.mShard, TimePoint(9'000));
    CHECK(fixture.Task().mPhase == RunPhase::kWaiting);
  }
}

TEST_CASE("questions to a silent worker don't prolong its lease", "[dispatch]")
{
  Fixture fixture({ "w1" });
  RunAndSilence(fixture);
  for (int i = 0; i < 20; ++i) {
    fixture.mNow += Duration(300);
    Renew(fixture);
  }
  OnDiscovery(fixture.mShard, {}, fixture.mNow);
  ReapWorkers(fixture.mShard, TimePoint(6'200));
  CHECK(fixture.Task().mPhase == RunPhase::kWaiting);
}

TEST_CASE("an owner in doubt gives no silent worker's task up for lost",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  RunAndSilence(fixture);
  OnDiscovery(fixture.mShard, {}, fixture.mNow);
  const auto isProved = GENERATE(false, true);
  fixture.mShard.mIsLeaseProved = isProved;
  ReapWorkers(fixture.mShard, TimePoint(6'200));
  CHECK((fixture.Task().mPhase == RunPhase::kWaiting) == isProved);
}

TEST_CASE("a new lifetime of a worker holds nothing of the one before",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  fixture.Add(1);
  fixture.Plan();
  fixture.Report("w1", { MakeRunning(1) }, {});
  fixture.mNow += Duration(100);
  fixture.Report("w1", {}, {}, kBorn + 1);
  CHECK(fixture.Task().mPhase == RunPhase::kWaiting);
}

TEST_CASE("a start that may reach a new lifetime is stopped there first",
          "[dispatch]")
{
  Fixture fixture({ "w1" });
  fixture.Add(1);
  const auto actions = fixture.Plan();
  OnStartReply(
    fixture.mShard, "w1", actions.mStarts[0].mOrder, {}, fixture.mNow);
  fixture.mNow += Duration(100);
  fixture.Report("w1", {}, {}, kBorn + 1);
  const auto next = fixture.Plan();
  CHECK(next.mStarts.empty());
  REQUIRE(next.mStops.size() == 1);
  CHECK(next.mStops[0].mOrder.mRun == actions.mStarts[0].mOrder.mRun);
}

// Guards against two runs at once: the task of a start that is still on its way
// was started elsewhere once its stop was ordered or its worker had restarted.
TEST_CASE("a start without an answer yet blocks its task while it is stopped",
          "[dispatch]")
{
  struct Row
  {
    bool mIsDraining;
    std::int64_t mBorn;
    bool mIsStopAnswered;
    std::int64_t mAfterMs;
    bool mIsWaiting;
  };
  const auto row = GENERATE(values<Row>({
    { true, kBorn, false, 1'400, false },
    { true, kBorn, false, 8'400, false },
    { true, kBorn, false, 8'600, true },
    { true, kBorn, true, 100, false },
    { true, kBorn, true, 8'400, false },
    { true, kBorn, true, 8'600, true },
    { false, kBorn + 1, false, 100, false },
    { false, kBorn + 1, true, 100, true },
    { true, kBorn + 1, true, 100, false },
  }));
  Fixture shard({ "w1" });
  BatchRecord record = MakeRecord(1);
  record.mSpec.mSteps[0].mIsLasting = true;
  AddJob(shard.mShard, kJob, record, 20, shard.mNow, 0);
  const auto start = shard.Plan().mStarts.at(0).mOrder;
  shard.SetDraining(row.mIsDraining);
  shard.Report("w1", {}, {}, row.mBorn);
  const auto stop = shard.Plan().mStops.at(0).mOrder;
  OrderReply done;
  done.mOutcome = OrderOutcome::kDone;
  if (row.mIsStopAnswered) {
    OnStopReply(shard.mShard, "w1", stop, done, shard.mNow);
  }
  OnStartReply(shard.mShard, "w1", start, {}, shard.mNow);
  shard.mNow += Duration(row.mAfterMs);
  shard.Report("w1", {}, {}, row.mBorn);
  CHECK((shard.Task().mPhase == RunPhase::kWaiting) == row.mIsWaiting);
}

// Guards against two runs at once: an unanswered start took effect in the next
// incarnation, which had the same id, after its task was started elsewhere.
TEST_CASE("an unanswered start on a draining worker blocks its task for longer",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    bool mIsDraining;
    std::int64_t mAfterMs;
    bool mIsWaiting;
  };
  const auto row = GENERATE(values<Row>({
    { "before its deadline", false, 1'400, false },
    { "past its deadline", false, 1'600, true },
    { "past it on a draining worker", true, 1'600, false },
    { "when it may still arrive", true, 8'400, false },
    { "when it can't arrive any more", true, 8'600, true },
  }));
  CAPTURE(row.mName);
  Fixture shard({ "w1" });
  shard.Add(1);
  const auto start = shard.Plan().mStarts.at(0).mOrder;
  OnStartReply(shard.mShard, "w1", start, {}, shard.mNow);
  shard.SetDraining(row.mIsDraining);
  shard.mNow += Duration(row.mAfterMs);
  shard.Report("w1", {}, {});
  CHECK((shard.Task().mPhase == RunPhase::kWaiting) == row.mIsWaiting);
}

// Guards against a task that is held by its draining worker until the end of
// the wait though the worker goes on.
TEST_CASE("a worker that is ready again gives an unanswered start up",
          "[dispatch]")
{
  Fixture shard({ "w1" });
  shard.Add(1);
  const auto start = shard.Plan().mStarts.at(0).mOrder;
  OnStartReply(shard.mShard, "w1", start, {}, shard.mNow);
  shard.SetDraining(true);
  shard.mNow += Duration(2'000);
  shard.Report("w1", {}, {});
  REQUIRE(shard.Task().mPhase != RunPhase::kWaiting);
  shard.SetDraining(false);
  shard.Report("w1", {}, {});
  CHECK(shard.Task().mPhase == RunPhase::kWaiting);
}

TEST_CASE("nothing starts where it must not", "[dispatch]")
{
  using Spoil = void (*)(DispatchShard&);
  const auto spoil = GENERATE(values<Spoil>({
    [](DispatchShard& aShard) { aShard.mEvacuated.insert("north"); },
    [](DispatchShard& aShard) {
      aShard.mWorkers.at("w1").mEntry.mIsDraining = true;
    },
    [](DispatchShard& aShard) {
      aShard.mWorkers.at("w1").mEntry.mService = "other";
    },
    [](DispatchShard& aShard) { aShard.mWorkers.at("w1").mIsListed = false; },
    [](DispatchShard& aShard) { aShard.mWorkers.at("w1").mIsRecorded = false; },
    [](DispatchShard& aShard) {
      aShard.mWorkers.at("w1").mEntry.mCapacity.mMilliCpu = 999;
    },
    [](DispatchShard& aShard) { aShard.mMayStart = false; },
    [](DispatchShard& aShard) { aShard.mIsFenced = true; },
  }));
  Fixture fixture({ "w1" });
  fixture.Add(1);
  spoil(fixture.mShard);
  CHECK(fixture.Plan().mStarts.empty());
}

TEST_CASE("a new lifetime's ends aren't acknowledged unseen", "[dispatch]")
{
  Fixture shard({ "w1" });
  DispatchWorker& worker = shard.mShard.mWorkers.at("w1");
  worker.mAckIndex = 5;
  const auto ackIndex = [&] {
    return MakeRenewal(shard.mShard, worker, Duration(0), shard.mNow).mAckIndex;
  };
  CHECK(ackIndex() == 5);
  shard.Silence("w1");
  CHECK(ackIndex() == 0);
}

// Load pattern: a queue of steps that no worker can hold, all due before one
// that fits anywhere, as after a data centre's workers were taken away.
TEST_CASE("steps without room don't keep back those that need less",
          "[dispatch]")
{
  Fixture shard({ "w1", "w2" });
  constexpr int kLargeJobs = 60;
  for (int i = 0; i < kLargeJobs; ++i) {
    BatchRecord record = MakeRecord(1);
    record.mTerms.mPriority = 0;
    record.mSpec.mSteps[0].mNeeds.mMilliCpu = 11'000 + i;
    AddJob(shard.mShard,
           fmt::format("{:016x}", i + 1),
           record,
           20,
           shard.mNow,
           shard.mNow.count());
  }
  BatchRecord small = MakeRecord(2);
  small.mTerms.mPriority = 1;
  AddJob(shard.mShard, kJob, small, 20, shard.mNow, shard.mNow.count());
  CHECK(shard.Plan().mStarts.size() == 2);
}

TEST_CASE("a task avoids the worker on which it failed while there is another",
          "[dispatch]")
{
  struct Row
  {
    std::vector<std::string> mWorkers;
    const char* mExpected;
  };
  const auto row =
    GENERATE(values<Row>({ { { "w1" }, "w1" }, { { "w1", "w2" }, "w2" } }));
  Fixture shard(row.mWorkers);
  shard.Add(1);
  shard.Task().mAvoidedWorker = "w1";
  const DispatchActions actions = shard.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  CHECK(actions.mStarts[0].mWorker == row.mExpected);
}

TEST_CASE("a worker's capacity is never exceeded", "[dispatch]")
{
  Fixture fixture({ "w1" });
  fixture.Add(25);
  CHECK(fixture.Plan().mStarts.size() == 10);
}

TEST_CASE("filling work rests beside a task over its target", "[dispatch]")
{
  Fixture fixture({ "w1" });
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

  Fixture mFixture{ { "w1" } };
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
  Fixture fixture({ "w1", "w2" });
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

TEST_CASE("progress is restored as it was recorded", "[dispatch]")
{
  const auto done = GENERATE(values<std::vector<bool>>(
    { {}, { true }, { false, true }, { true, true, false, true } }));
  std::vector<bool> restored(done.size());
  SetRanges(RangesOf(done), restored);
  CHECK(restored == done);
}

TEST_CASE("a job that can't be is refused with its place", "[batch]")
{
  using Spoil = void (*)(BatchSpec&);
  const auto spoil = GENERATE(values<Spoil>({
    [](BatchSpec& aSpec) { aSpec.mSteps[0].mCount = 0; },
    [](BatchSpec& aSpec) { aSpec.mSteps[0].mNeeds.mMemoryMb = -1; },
    [](BatchSpec& aSpec) { aSpec.mSteps[0].mAfter = { 0 }; },
    [](BatchSpec& aSpec) { aSpec.mSteps[0].mAfter = { 7 }; },
    [](BatchSpec& aSpec) { aSpec.mSteps.clear(); },
    [](BatchSpec& aSpec) { aSpec.mText.assign(4'001, 'x'); },
  }));
  BatchSpec spec = MakeRecord(1).mSpec;
  Faults faults;
  CheckBatchSpec(spec, faults);
  REQUIRE(faults.empty());
  spoil(spec);
  CheckBatchSpec(spec, faults);
  CHECK(faults.size() == 1);
}

TEST_CASE("names of tasks are read back", "[batch]")
{
  const TaskId task{ kJob, 2, 0, 17 };
  CHECK(ParseTaskId(Describe(task)) == task);
  const auto bad = GENERATE("", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4");
  CHECK_FALSE(ParseTaskId(bad));
}

} // namespace verbenacroft
