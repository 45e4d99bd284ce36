/// Bounds on the waits of accepted work: what ready tasks wait for, and that
/// the wait ends while there is room.

#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace verbenacroft {

namespace {

constexpr std::int64_t kWorkerClock = 100'000;
constexpr std::int64_t kAllPercent = 100;
constexpr const char* kLabel = "rack-1";

JobId IdOf(int aNumber)
{
  return fmt::format("{:016x}", aNumber);
}

TaskId TaskOf(int aJob, std::uint32_t aIndex = 0)
{
  return { IdOf(aJob), 0, 0, aIndex };
}

BatchRecord MakeRecord()
{
  BatchRecord record;
  record.mTerms.mQueue = "queue";
  record.mTerms.mService = "pool";
  record.mTerms.mMaxAttempts = 5;
  StepSpec step;
  step.mNeeds.mMilliCpu = 1'000;
  step.mEstimateMs = 1'000;
  record.mSpec.mSteps.push_back(step);
  return record;
}

BatchRecord MakeLongRunning()
{
  BatchRecord record = MakeRecord();
  record.mSpec.mSteps[0].mIsLasting = true;
  return record;
}

RunningTask RunningOf(const TaskId& aTask,
                      std::uint32_t aRun,
                      std::int64_t aPercent = 0)
{
  RunningTask row;
  row.mTask = aTask;
  row.mRun = aRun;
  row.mProgressPercent = aPercent;
  return row;
}

/// A shard of workers `w1`, `w2` and so on, of which only `w1` has `kLabel`.
/// All have answered at time 0.
struct WaitFixture
{
  explicit WaitFixture(int aWorkers)
  {
    this->mShard.mEpoch = 10;
    std::vector<WorkerEntry> entries;
    for (int i = 1; i <= aWorkers; ++i) {
      WorkerEntry entry;
      entry.mWorker = fmt::format("w{}", i);
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9000";
      entry.mDataCentre = "north";
      entry.mCapacity.mMilliCpu = 10'000;
      if (i == 1) {
        entry.mLabels = { kLabel };
      }
      entries.push_back(entry);
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    for (auto& [name, worker] : this->mShard.mWorkers) {
      worker.mIsRecorded = true;
      this->Report(name, {});
    }
  }

  void Report(const std::string& aWorker,
              std::vector<RunningTask> aRunning,
              std::vector<EndedRun> aEnded = {})
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = kWorkerClock + this->mNow.count();
    report.mIncarnation = 1;
    report.mRunning = std::move(aRunning);
    report.mEnded = std::move(aEnded);
    OnReport(this->mShard,
             aWorker,
             report,
             this->mNow,
             this->mNow,
             this->mNow.count());
  }

  void Add(int aJob, BatchRecord aRecord)
  {
    AddJob(this->mShard,
           IdOf(aJob),
           std::move(aRecord),
           20,
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

  /// The task's run on its worker is confirmed at a progress, and fails 10 ms
  /// later.
  void FailAt(const TaskId& aTask, std::int64_t aPercent)
  {
    const DispatchTask& task = this->Task(aTask);
    const std::string worker = task.mWorker;
    const std::uint32_t run = task.mRun;
    this->Report(worker, { RunningOf(aTask, run, aPercent) });
    this->mNow += Duration(10);
    EndedRun end;
    end.mIndex = this->mShard.mWorkers.at(worker).mSeenIndex + 1;
    end.mTask = aTask;
    end.mRun = run;
    end.mRunEnd = RunEnd::kFailed;
    this->Report(worker, {}, { end });
  }

  DispatchTask& Task(const TaskId& aTask)
  {
    return *FindTask(this->mShard, aTask);
  }

  TimePoint mNow{ 0 };
  DispatchShard mShard;
};

} // namespace

// Guards against a start that is tried again and again on the worker that
// answers no start, which stays the one with the most free capacity.
TEST_CASE("a task whose start had no effect is tried on another worker",
          "[waits]")
{
  const auto outcome = GENERATE(OrderOutcome::kUnknown, OrderOutcome::kNotSent);
  WaitFixture shard(2);
  shard.Add(1, MakeRecord());
  const auto starts = shard.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  const std::string first = starts[0].mWorker;
  OnStartReply(shard.mShard,
               first,
               starts[0].mOrder,
               OrderReply{ outcome, 0 },
               shard.mNow);
  shard.mNow += Duration(1'600);
  shard.Report("w1", {});
  shard.Report("w2", {});
  const auto next = shard.Plan().mStarts;
  REQUIRE(next.size() == 1);
  CHECK(next[0].mWorker != first);
}

// Guards against a task that stands still and is never moved, because the
// owner that watches it has adopted it.
TEST_CASE("a task that stands still is moved, whoever started it", "[waits]")
{
  const bool isAdopted = GENERATE(false, true);
  WaitFixture shard(1);
  shard.Add(1, MakeRecord());
  if (!isAdopted) {
    REQUIRE(shard.Plan().mStarts.size() == 1);
  }
  const RunningTask row = RunningOf(TaskOf(1), 1, 10);
  shard.Report("w1", { row });
  shard.mNow += Duration(2'100);
  shard.Report("w1", { row });
  CHECK(shard.Plan().mStops.size() == 1);
}

// Guards against a long task that is stopped as stalled before its progress
// can have changed by a percent, and so begins anew for ever.
TEST_CASE("a task is stalled only if a percent takes too long for its length",
          "[waits]")
{
  struct Row
  {
    std::int64_t mEstimateMs;
    std::int64_t mThrottlePercent;
    Duration mUnchanged;
    std::size_t mStops;
  };
  const auto row = GENERATE(values<Row>({
    { 1'000, 100, Duration(1'900), 0 },
    { 1'000, 100, Duration(2'100), 1 },
    // A percent takes 4 s.
    { 400'000, 100, Duration(5'000), 0 },
    { 400'000, 100, Duration(13'000), 1 },
    // A percent takes 2 s at a fifth of full speed.
    { 40'000, 20, Duration(3'000), 0 },
    { 40'000, 20, Duration(7'000), 1 },
  }));
  WaitFixture shard(1);
  BatchRecord record = MakeRecord();
  record.mSpec.mSteps[0].mEstimateMs = row.mEstimateMs;
  shard.Add(1, record);
  REQUIRE(shard.Plan().mStarts.size() == 1);
  shard.Report("w1", { RunningOf(TaskOf(1), 1, 10) });
  shard.Task(TaskOf(1)).mOrderedThrottlePercent = row.mThrottlePercent;
  shard.mNow += row.mUnchanged;
  CHECK(shard.Plan().mStops.size() == row.mStops);
}

// Guards against a suspended task that keeps its progress and its worker for
// as long as the serving tasks there need it, while other workers are free.
TEST_CASE("a suspended task is moved once that costs less than it has waited",
          "[waits]")
{
  struct Row
  {
    std::int64_t mProgressPercent;
    bool mIsCheckpointing;
    Duration mSuspended;
    std::size_t mStops;
  };
  const auto row = GENERATE(values<Row>({
    { 10, false, Duration(900), 0 },
    { 10, false, Duration(1'100), 1 },
    { 50, true, Duration(1'100), 1 },
    // Half of 10 s would be lost.
    { 50, false, Duration(4'900), 0 },
    { 50, false, Duration(5'100), 1 },
  }));
  WaitFixture shard(1);
  BatchRecord record = MakeRecord();
  StepSpec& step = record.mSpec.mSteps[0];
  step.mIsFilling = true;
  step.mIsCheckpointing = row.mIsCheckpointing;
  step.mEstimateMs = 10'000;
  shard.Add(1, record);
  REQUIRE(shard.Plan().mStarts.size() == 1);
  shard.Report("w1", { RunningOf(TaskOf(1), 1, row.mProgressPercent) });
  DispatchTask& task = shard.Task(TaskOf(1));
  task.mOrderedThrottlePercent = 0;
  task.mThrottledAt = shard.mNow;
  shard.mNow += row.mSuspended;
  CHECK(shard.Plan().mStops.size() == row.mStops);
}

// Guards against a quarantine of sound workers on which only long-running
// tasks run: these may fail at any time and never end as done.
TEST_CASE("a long-running task that was at work doesn't fail by its worker",
          "[waits]")
{
  struct Row
  {
    std::int64_t mPercent;
    std::size_t mStarts;
  };
  const auto row = GENERATE(values<Row>({ { 0, 0 }, { kAllPercent, 1 } }));
  WaitFixture shard(4);
  BatchRecord record = MakeLongRunning();
  record.mSpec.mSteps[0].mRequiredLabel = kLabel;
  for (const int job : { 1, 2 }) {
    shard.Add(job, record);
    REQUIRE(shard.Plan().mStarts.size() == 1);
  }
  shard.FailAt(TaskOf(1), row.mPercent);
  shard.Plan();
  shard.FailAt(TaskOf(2), row.mPercent);
  CHECK(shard.Task(TaskOf(2)).mPhase == RunPhase::kWaiting);
  const auto starts = shard.Plan().mStarts;
  const auto restarted =
    std::count_if(starts.begin(), starts.end(), [](const auto& aStart) {
      return aStart.mOrder.mTask.mJob == IdOf(2);
    });
  CHECK(static_cast<std::size_t>(restarted) == row.mStarts);
}

// Guards against failing jobs that put every worker of a service into
// quarantine, so that nothing else starts beside free workers.
TEST_CASE("failures on most workers of a service aren't the workers' fault",
          "[waits]")
{
  struct Row
  {
    int mFailing;
    std::size_t mUsed;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 4 },
    { 1, 3 },
    { 2, 2 },
    { 3, 4 },
    { 4, 4 },
  }));
  constexpr int kWorkers = 4;
  WaitFixture shard(kWorkers);
  BatchRecord failing = MakeLongRunning();
  failing.mSpec.mSteps[0].mCount = kWorkers;
  failing.mSpec.mSteps[0].mMaxPerWorker = 1;
  for (const int job : { 1, 2 }) {
    shard.Add(job, failing);
  }
  REQUIRE(shard.Plan().mStarts.size() == 2 * kWorkers);
  for (const int job : { 1, 2 }) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      const std::string worker = shard.Task(TaskOf(job, i)).mWorker;
      if (worker <= fmt::format("w{}", row.mFailing)) {
        shard.FailAt(TaskOf(job, i), 0);
      }
    }
  }
  BatchRecord sound = MakeRecord();
  sound.mTerms.mPriority = -1;
  sound.mSpec.mSteps[0].mCount = kWorkers;
  sound.mSpec.mSteps[0].mMaxPerWorker = 1;
  shard.Add(3, sound);
  const auto starts = shard.Plan().mStarts;
  const auto used =
    std::count_if(starts.begin(), starts.end(), [](const auto& aStart) {
      return aStart.mOrder.mTask.mJob == IdOf(3);
    });
  CHECK(static_cast<std::size_t>(used) == row.mUsed);
}

// Guards against best-effort tasks that a new owner suspends, and then moves,
// because it doesn't know their worker's capacity yet.
TEST_CASE("nothing is throttled on a worker of unknown capacity", "[waits]")
{
  const bool isListed = GENERATE(false, true);
  WaitFixture shard(isListed ? 1 : 0);
  DispatchWorker& worker = shard.mShard.mWorkers["w1"];
  worker.mEntry.mWorker = "w1";
  BatchRecord serving = MakeLongRunning();
  serving.mSpec.mSteps[0].mImage = "serving";
  serving.mSpec.mSteps[0].mTargetMs = 100;
  shard.Add(1, serving);
  BatchRecord bestEffort = MakeRecord();
  bestEffort.mSpec.mSteps[0].mImage = "best-effort";
  bestEffort.mSpec.mSteps[0].mIsFilling = true;
  shard.Add(2, bestEffort);
  std::vector<RunningTask> running{ RunningOf(TaskOf(1), 1, kAllPercent),
                                    RunningOf(TaskOf(2), 1, 10) };
  running[0].mMeasured = 20;
  running[1].mMeasured = 500;
  shard.Report("w1", running);
  shard.mNow += Duration(1'300);
  shard.Report("w1", running);
  DispatchActions actions;
  PlanThrottles(shard.mShard, "w1", running, shard.mNow, actions);
  const bool isThrottled = std::any_of(
    actions.mThrottleOrders.begin(),
    actions.mThrottleOrders.end(),
    [](const auto& aRow) { return aRow.mOrder.mPercent < kAllPercent; });
  CHECK(!isThrottled);
}

// Guards against a record that grows with every failure until the store
// rejects it, and with it the progress of all other jobs of the shard.
TEST_CASE("the record of a long-running task doesn't grow with its failures",
          "[waits]")
{
  constexpr std::uint32_t kFailures = 300;
  constexpr std::size_t kMaxBytes = 200;
  WaitFixture shard(2);
  shard.Add(1, MakeLongRunning());
  for (std::uint32_t i = 0; i < kFailures; ++i) {
    REQUIRE(shard.Plan().mStarts.size() == 1);
    shard.FailAt(TaskOf(1), kAllPercent);
    shard.mNow += Duration(10);
    shard.Report("w1", {});
    shard.Report("w2", {});
  }
  const BatchProgress progress = ProgressOf(shard.mShard.mJobs.at(IdOf(1)));
  REQUIRE(progress.mTasks.size() == 1);
  CHECK(progress.mTasks[0].mRun == kFailures);
  CHECK(Encode(progress).size() < kMaxBytes);
}

// Guards against a job whose starts every worker refuses, so that all workers
// are avoided one after another and other jobs wait.
TEST_CASE("a start refused for the task's own sake holds back only the task",
          "[waits]")
{
  struct Row
  {
    OrderOutcome mOutcome;
    bool mIsOtherStarted;
  };
  const auto row = GENERATE(values<Row>({
    { OrderOutcome::kNoRoom, false },
    { OrderOutcome::kUnhealthy, false },
    { OrderOutcome::kNotSent, false },
    { OrderOutcome::kMalformed, true },
    { OrderOutcome::kNoTicket, true },
    { OrderOutcome::kOldRun, true },
  }));
  WaitFixture shard(1);
  shard.Add(1, MakeRecord());
  const auto starts = shard.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  OnStartReply(shard.mShard,
               "w1",
               starts[0].mOrder,
               OrderReply{ row.mOutcome, 0 },
               shard.mNow);
  shard.Add(2, MakeRecord());
  const auto next = shard.Plan().mStarts;
  const bool isOtherStarted =
    next.size() == 1 && next[0].mOrder.mTask.mJob == IdOf(2);
  CHECK(isOtherStarted == row.mIsOtherStarted);
  CHECK(shard.Task(TaskOf(1)).mPhase == RunPhase::kWaiting);
  shard.mNow += Duration(300);
  CHECK(shard.Plan().mStarts.size() == (row.mIsOtherStarted ? 1 : 2));
}

// Guards against a step that is never started because smaller ones take each
// part of a worker that becomes free.
TEST_CASE("a large step isn't passed over for ever", "[waits]")
{
  constexpr std::uint32_t kSmallTasks = 10;
  constexpr int kRounds = 200;
  WaitFixture shard(1);
  BatchRecord small = MakeRecord();
  small.mSpec.mSteps[0].mCount = kSmallTasks;
  shard.Add(1, small);
  REQUIRE(shard.Plan().mStarts.size() == kSmallTasks);
  BatchRecord large = MakeRecord();
  large.mTerms.mPriority = -1;
  large.mSpec.mSteps[0].mNeeds.mMilliCpu = 5'000;
  shard.Add(2, large);
  std::set<TaskId> running = shard.mShard.mWorkers.at("w1").mTasks;
  bool isStarted = false;
  // In each round one small task ends and another one comes.
  for (int i = 0; i < kRounds && !isStarted; ++i) {
    shard.mNow += Duration(100);
    EndedRun end;
    end.mIndex = static_cast<std::uint64_t>(i) + 1;
    end.mTask = *running.begin();
    end.mRun = 1;
    running.erase(running.begin());
    std::vector<RunningTask> rows;
    for (const auto& task : running) {
      rows.push_back(RunningOf(task, 1, i % 100));
    }
    shard.Report("w1", rows, { end });
    shard.Add(10 + i, MakeRecord());
    shard.Plan();
    running = shard.mShard.mWorkers.at("w1").mTasks;
    isStarted = running.contains(TaskOf(2));
  }
  CHECK(isStarted);
}

// Guards against a gang that is neither done nor started again, since the
// worker of one member was lost before the end of that member was read, and
// against steps after it that never start.
TEST_CASE("the end of one member stands for its gang", "[dispatch]")
{
  constexpr std::int64_t kOtherIncarnation = 2;
  WaitFixture shard(2);
  BatchRecord gang = MakeRecord();
  gang.mSpec.mSteps[0].mIsGang = true;
  gang.mSpec.mSteps[0].mCount = 2;
  gang.mSpec.mSteps[0].mMaxPerWorker = 1;
  gang.mSpec.mSteps.push_back(MakeRecord().mSpec.mSteps[0]);
  gang.mSpec.mSteps[1].mAfter = { 0 };
  shard.Add(1, gang);
  REQUIRE(shard.Plan().mStarts.size() == 2);
  const std::string first = shard.Task(TaskOf(1, 0)).mWorker;
  const std::string second = shard.Task(TaskOf(1, 1)).mWorker;
  shard.Report(first, { RunningOf(TaskOf(1, 0), 1, 99) });
  shard.Report(second, { RunningOf(TaskOf(1, 1), 1, 99) });
  EndedRun end;
  end.mIndex = 1;
  end.mTask = TaskOf(1, 0);
  end.mRun = 1;
  shard.mNow += Duration(100);
  shard.Report(first, {}, { end });
  shard.mShard.mWorkers.at(second).mIncarnation = kOtherIncarnation;
  shard.Report(second, {});
  const auto starts = shard.Plan().mStarts;
  REQUIRE_FALSE(starts.empty());
  for (const auto& row : starts) {
    CHECK(row.mOrder.mTask.mStep == 1);
  }
}

// Guards against a second run of a gang that is done, and a job that waits for
// it, when the end of one member reaches only the next owner.
TEST_CASE("a member that is still listed doesn't keep its gang from being done",
          "[dispatch]")
{
  WaitFixture shard(2);
  BatchRecord gang = MakeRecord();
  gang.mSpec.mSteps[0].mIsGang = true;
  gang.mSpec.mSteps[0].mCount = 2;
  gang.mSpec.mSteps[0].mMaxPerWorker = 1;
  shard.Add(1, gang);
  REQUIRE(shard.Plan().mStarts.size() == 2);
  const std::string first = shard.Task(TaskOf(1, 0)).mWorker;
  const std::string second = shard.Task(TaskOf(1, 1)).mWorker;
  EndedRun end;
  end.mIndex = 1;
  end.mTask = TaskOf(1, 0);
  end.mRun = 1;
  shard.Report(first, {}, { end });
  CHECK(shard.mShard.mJobs.at(IdOf(1)).mState == BatchState::kCompleted);
  // A report that was made before the end.
  shard.Report(second, { RunningOf(TaskOf(1, 1), 1, 99) });
  CHECK(shard.mShard.mWorkers.at(second).mTasks.empty());
  CHECK(shard.Plan().mStarts.empty());
}

} // namespace verbenacroft
