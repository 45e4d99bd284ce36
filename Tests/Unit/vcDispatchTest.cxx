/// The decisions of a shard's owner: ends of runs, failures, cancellation,
/// lapsed leases and placement.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace verbenacroft {

// Guards against a start that brings a worker over its capacity: what is being
// stopped still uses it.
TEST_CASE("a run to stop counts on its worker until its end is listed",
          "[dispatch]")
{
  struct Row
  {
    const char* mName;
    JobId mJob;
    void (*mEnd)(DispatchFixture&, const RunningTask&);
  };
  const auto end = [](DispatchFixture& aShard, const RunningTask& aRun) {
    EndedRun ended = MakeEnd(1, aRun.mRun, RunEnd::kStopped);
    ended.mTask = aRun.mTask;
    aShard.Report("w1", {}, { ended });
  };
  const auto restart = [](DispatchFixture& aShard, const RunningTask&) {
    aShard.Report("w1", {}, {}, kBorn + 1);
    aShard.FenceOff("w1", kBorn + 1);
  };
  const auto row = GENERATE_COPY(values<Row>({
    { "its task runs elsewhere", kJob, end },
    { "the same, and its worker restarts", kJob, restart },
    { "its job isn't known", "00000000000000a2", end },
    { "the same, and its worker restarts", "00000000000000a2", restart },
  }));
  CAPTURE(row.mName, row.mJob);
  DispatchFixture fixture({ "w1", "w2" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1", "w2" });
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

TEST_CASE("failed runs count once each, in whatever order they are heard",
          "[dispatch]")
{
  DispatchFixture fixture({ "w1", "w2" });
  fixture.Add(1, 5);
  fixture.Report("w2", {}, { MakeEnd(1, 2, RunEnd::kFailed) });
  CHECK_FALSE(IsFinal(fixture.Job().mState));
  fixture.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kFailed) });
  CHECK(fixture.Job().mState == BatchState::kFailed);
  CHECK(fixture.Plan().mStarts.empty());
}

TEST_CASE("a failure that is listed again is no second failure", "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
  fixture.Add(1, 5);
  const EndedRun end = MakeEnd(1, 1, RunEnd::kFailed);
  fixture.Report("w1", {}, { end });
  BatchProgress progress = ProgressOf(fixture.Job());
  DispatchFixture next({ "w1" });
  next.Add(1, 5);
  ApplyProgress(next.mShard, kJob, progress);
  next.Report("w1", {}, { end });
  CHECK(next.Task().mFailedRuns.size() == 1);
  CHECK_FALSE(IsFinal(next.Job().mState));
}

TEST_CASE("a cancellation that is read before its job still holds",
          "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
  CancelJob(fixture.mShard, kJob, 21, fixture.mNow, 0);
  fixture.Add(1);
  CHECK(fixture.Job().mState == BatchState::kCancelled);
  CHECK(fixture.Plan().mStarts.empty());
}

TEST_CASE("a start without an answer blocks its task until it is late",
          "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1", "w2" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1" });
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
  DispatchFixture fixture({ "w1" });
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
    // The earlier incarnation may have answered the stop.
    { false, kBorn + 1, true, 100, false },
    { true, kBorn + 1, true, 100, false },
  }));
  DispatchFixture shard({ "w1" });
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
  DispatchFixture shard({ "w1" });
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
  DispatchFixture shard({ "w1" });
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
  DispatchFixture fixture({ "w1" });
  fixture.Add(1);
  spoil(fixture.mShard);
  CHECK(fixture.Plan().mStarts.empty());
}

TEST_CASE("a new lifetime's ends aren't acknowledged unseen", "[dispatch]")
{
  DispatchFixture shard({ "w1" });
  DispatchWorker& worker = shard.mShard.mWorkers.at("w1");
  worker.mAckIndex = 5;
  const auto ackIndex = [&] {
    return MakeRenewal(shard.mShard, worker, Duration(0), shard.mNow).mAckIndex;
  };
  CHECK(ackIndex() == 5);
  shard.Silence("w1");
  CHECK(ackIndex() == 0);
}

// Guards against a task that runs again after its end (TWICE): a renewal that
// was meant for the earlier incarnation acknowledges ends of the new one, which
// then are never reported.
TEST_CASE("a worker isn't told again what it has discarded", "[dispatch]")
{
  DispatchFixture shard({ "w1" });
  DispatchWorker& worker = shard.Worker();
  const auto ackIndex = [&] {
    return MakeRenewal(shard.mShard, worker, Duration(0), shard.mNow).mAckIndex;
  };
  worker.mAckIndex = 5;
  CHECK(ackIndex() == 5);
  shard.Silence("w1");
  CHECK(ackIndex() == 0);
  // The renewal with the index wasn't answered.
  shard.Report("w1", {}, {});
  CHECK(ackIndex() == 5);
  shard.Report("w1", {}, {});
  CHECK(ackIndex() == 0);
  worker.mAckIndex = 6;
  CHECK(ackIndex() == 6);
  shard.Report("w1", {}, {});
  // No acknowledgement is under way together with a start.
  worker.mAckIndex = 7;
  shard.Add(1);
  const auto starts = shard.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(ackIndex() == 0);
  const OrderReply done{ OrderOutcome::kDone, kClock };
  OnStartReply(shard.mShard, "w1", starts[0].mOrder, done, shard.mNow);
  CHECK(ackIndex() == 7);
}

// Load pattern: a queue of steps that no worker can hold, all due before one
// that fits anywhere, as after a data centre's workers were taken away.
TEST_CASE("steps without room don't keep back those that need less",
          "[dispatch]")
{
  DispatchFixture shard({ "w1", "w2" });
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
  DispatchFixture shard(row.mWorkers);
  shard.Add(1);
  shard.Task().mAvoidedWorker = "w1";
  const DispatchActions actions = shard.Plan();
  REQUIRE(actions.mStarts.size() == 1);
  CHECK(actions.mStarts[0].mWorker == row.mExpected);
}

TEST_CASE("a worker's capacity is never exceeded", "[dispatch]")
{
  DispatchFixture fixture({ "w1" });
  fixture.Add(25);
  CHECK(fixture.Plan().mStarts.size() == 10);
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
