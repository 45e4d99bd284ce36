/// The state of occurrences and steps in memory: when it is made and dropped,
/// what the stored progress says of it, and that it has a limit.

#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr std::int64_t kInterval = 60'000;
constexpr std::uint32_t kTasks = 32;
constexpr std::int64_t kClock = 100'000;

/// A job of `kTasks` tasks that is due at 0 and then each minute.
BatchRecord MakeRecurring(std::uint32_t aOccurrences)
{
  BatchRecord record;
  record.mTerms.mService = "pool";
  StepSpec step;
  step.mCount = kTasks;
  step.mNeeds.mMilliCpu = 10;
  record.mSpec.mSteps.push_back(step);
  record.mSpec.mRepeatCount = aOccurrences;
  record.mSpec.mIntervalMs = kInterval;
  return record;
}

/// A shard with one worker, at time 0.
struct Fixture
{
  Fixture()
  {
    WorkerEntry entry;
    entry.mWorker = "w1";
    entry.mService = "pool";
    entry.mAddress = "127.0.0.1:9000";
    entry.mCapacity = { 1'000'000, 1'000'000, 0 };
    OnDiscovery(this->mShard, { entry }, this->mNow);
    this->mShard.mWorkers.at("w1").mIsRecorded = true;
    this->Report({}, {});
  }

  void Add(const JobId& aId, BatchRecord aRecord)
  {
    AddJob(
      this->mShard, aId, std::move(aRecord), 1, this->mNow, this->mNow.count());
  }

  void Report(std::vector<RunningTask> aRunning, std::vector<EndedRun> aEnded)
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = kClock + this->mNow.count();
    report.mIncarnation = 1;
    report.mRunning = std::move(aRunning);
    report.mEnded = std::move(aEnded);
    OnReport(
      this->mShard, "w1", report, this->mNow, this->mNow, this->mNow.count());
  }

  std::size_t Plan()
  {
    DispatchActions actions;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    for (const auto& row : actions.mStarts) {
      this->mStarted.push_back(row.mOrder);
    }
    return actions.mStarts.size();
  }

  /// The worker reports that all tasks that were started are done.
  void FinishStarted()
  {
    std::vector<EndedRun> ends;
    for (const auto& order : this->mStarted) {
      EndedRun end;
      end.mIndex = ++this->mEnds;
      end.mTask = order.mTask;
      end.mRun = order.mRun;
      ends.push_back(end);
    }
    this->mStarted.clear();
    this->Report({}, ends);
  }

  DispatchJob& Job() { return this->mShard.mJobs.at(kJob); }

  DispatchShard mShard;
  TimePoint mNow{ 0 };
  std::vector<StartOrder> mStarted;
  std::uint64_t mEnds = 0;
};

} // namespace

// Guards against an owner that runs out of memory over a job that is due often:
// the state of each task of each occurrence was made when the job was read.
TEST_CASE("the memory of a job doesn't depend on how often it is due",
          "[occurrences]")
{
  const std::uint32_t occurrences =
    GENERATE(1U, 20U, 1'000U, 43'200U, 100'000U);
  const int jobs = GENERATE(1, 100);
  CAPTURE(occurrences, jobs);
  Fixture fixture;
  for (int i = 0; i < jobs; ++i) {
    fixture.Add(fmt::format("{:016x}", i), MakeRecurring(occurrences));
  }
  fixture.Plan();
  const auto bytesOfOne = sizeof(DispatchStep) + kTasks * kTaskBytes;
  CHECK(fixture.mShard.mOccurrenceBytes ==
        static_cast<std::size_t>(jobs) * bytesOfOne);
}

TEST_CASE("an occurrence begins when it is due and goes once it is done",
          "[occurrences]")
{
  constexpr std::uint32_t kOccurrences = 5;
  Fixture fixture;
  fixture.Add(kJob, MakeRecurring(kOccurrences));
  for (std::uint32_t i = 0; i < kOccurrences; ++i) {
    CAPTURE(i);
    CHECK(fixture.Plan() == kTasks);
    CHECK(fixture.Job().mOccurrences.size() == 1);
    CHECK(fixture.Plan() == 0);
    fixture.FinishStarted();
    CHECK(fixture.Job().mOccurrences.empty());
    CHECK(fixture.mShard.mOccurrenceBytes == 0);
    CHECK(IsFinal(fixture.Job().mState) == (i + 1 == kOccurrences));
    fixture.mNow += Duration(kInterval);
    fixture.Report({}, {});
  }
  CHECK(fixture.Job().mState == BatchState::kCompleted);
}

// Guards against a record of progress that grows with each occurrence, and
// against occurrences that run again after a takeover.
TEST_CASE("stored progress names done occurrences by their ranges",
          "[occurrences]")
{
  constexpr std::uint32_t kOccurrences = 10'000;
  Fixture fixture;
  fixture.Add(kJob, MakeRecurring(kOccurrences));
  BatchProgress stored;
  // Of occurrence 7, which took longer, half of the tasks are done.
  stored.mDoneOccurrences = { 0, 6, 8, 9'000 };
  stored.mSteps.push_back({ 7, 0, { 0, kTasks / 2 - 1 } });
  ApplyProgress(fixture.mShard, kJob, stored);
  fixture.mNow += Duration(9'001 * kInterval);
  fixture.Report({}, {});
  CHECK(fixture.Plan() == kTasks / 2 + kTasks);
  for (const auto& order : fixture.mStarted) {
    const TaskId& task = order.mTask;
    CHECK((task.mOccurrence == 9'001 ||
           (task.mOccurrence == 7 && task.mIndex >= kTasks / 2)));
  }
  const BatchProgress progress = ProgressOf(fixture.Job());
  CHECK(progress.mDoneOccurrences == stored.mDoneOccurrences);
  fixture.FinishStarted();
  CHECK(ProgressOf(fixture.Job()).mDoneOccurrences ==
        std::vector<std::uint32_t>{ 0, 9'001 });
  const auto read = TryDecode<BatchProgress>(Encode(progress));
  REQUIRE(read);
  CHECK(read->mDoneOccurrences == stored.mDoneOccurrences);
}

// Guards against progress of an earlier release, which names each occurrence.
TEST_CASE("occurrences that are recorded step by step are done",
          "[occurrences]")
{
  Fixture fixture;
  fixture.Add(kJob, MakeRecurring(3));
  BatchProgress stored;
  stored.mSteps.push_back({ 0, 0, { 0, kTasks - 1 } });
  stored.mSteps.push_back({ 1, 0, { 0, kTasks - 1 } });
  ApplyProgress(fixture.mShard, kJob, stored);
  CHECK(fixture.Job().mOccurrencesDone == 2);
  fixture.mNow += Duration(2 * kInterval);
  fixture.Report({}, {});
  CHECK(fixture.Plan() == kTasks);
  fixture.FinishStarted();
  CHECK(fixture.Job().mState == BatchState::kCompleted);
}

// Guards against runs that are stopped, or started again, since the owner
// hasn't opened their step: of an earlier owner whose clock is ahead, or that
// had not recorded yet that the step before is done.
TEST_CASE("a run of a step that isn't open is adopted", "[occurrences]")
{
  struct Row
  {
    const char* mName;
    std::uint32_t mOccurrence;
    std::uint32_t mStep;
    bool mIsAdopted;
    std::size_t mStarts;
  };
  const auto row = GENERATE(values<Row>({
    { "not due yet", 2, 0, true, kTasks },
    { "its step isn't ready", 0, 1, true, kTasks },
    { "no such occurrence", 3, 0, false, kTasks },
    // What it needs isn't known, so the worker may be full.
    { "no such step", 0, 2, false, 0 },
  }));
  CAPTURE(row.mName);
  Fixture fixture;
  BatchRecord record = MakeRecurring(3);
  record.mSpec.mSteps.push_back(record.mSpec.mSteps[0]);
  record.mSpec.mSteps[1].mAfter = { 0 };
  fixture.Add(kJob, record);
  RunningTask running;
  running.mTask = { kJob, row.mOccurrence, row.mStep, 1 };
  running.mRun = 1;
  fixture.Report({ running }, {});
  const DispatchTask* task = FindTask(fixture.mShard, running.mTask);
  CHECK((task != nullptr) == row.mIsAdopted);
  CHECK(fixture.mShard.mWorkers.at("w1").mRunsToStop.empty() == row.mIsAdopted);
  // Nothing is started that isn't due or ready.
  CHECK(fixture.Plan() == row.mStarts);
}

// Guards against a shard in which no end is acknowledged any more, since the
// store rejects the progress of a job with many checkpoints.
TEST_CASE("progress is stored without checkpoints if it is too large",
          "[occurrences]")
{
  constexpr std::uint32_t kManyTasks = 10'000;
  constexpr std::size_t kMaxBytes = 1'000'000;
  const std::size_t checkpointBytes = GENERATE(10U, 100U);
  CAPTURE(checkpointBytes);
  Fixture fixture;
  BatchRecord record = MakeRecurring(0);
  record.mSpec.mSteps[0].mCount = kManyTasks;
  fixture.Add(kJob, record);
  for (std::uint32_t i = 0; i < kManyTasks; ++i) {
    OpenTask(fixture.mShard, { kJob, 0, 0, i })->mCheckpoint =
      std::string(checkpointBytes, 'c');
  }
  OpenTask(fixture.mShard, { kJob, 0, 0, 7 })->mFailedRuns = { 3 };
  const std::string text = EncodeProgress(fixture.Job(), kMaxBytes);
  CHECK(text.size() <= kMaxBytes);
  const auto read = TryDecode<BatchProgress>(text);
  REQUIRE(read);
  const bool isWhole = checkpointBytes < 50;
  CHECK(read->mTasks.size() == (isWhole ? kManyTasks : 1));
  const auto failed =
    std::find_if(read->mTasks.begin(),
                 read->mTasks.end(),
                 [](const auto& aTask) { return !aTask.mFailedRuns.empty(); });
  REQUIRE(failed != read->mTasks.end());
  CHECK(failed->mIndex == 7);
  CHECK(failed->mFailedRuns == std::vector<std::uint32_t>{ 3 });
}

// Guards against an owner that is ended by jobs in the store, however large:
// the steps beyond its memory wait, and each of them runs in the end.
TEST_CASE("steps beyond the memory wait for those before them", "[occurrences]")
{
  struct Row
  {
    const char* mName;
    int mJobs;
    std::uint32_t mSteps;
    std::uint32_t mOccurrences;
  };
  const auto row = GENERATE(values<Row>({
    { "many jobs", 12, 1, 0 },
    { "a job with many steps", 1, 12, 0 },
    { "a job that is overdue often", 1, 1, 12 },
  }));
  CAPTURE(row.mName);
  Fixture fixture;
  const std::size_t bytesOfStep = kTasks * kTaskBytes;
  fixture.mShard.mMaxOccurrenceBytes = 4 * bytesOfStep;
  for (int i = 0; i < row.mJobs; ++i) {
    BatchRecord record = MakeRecurring(row.mOccurrences);
    record.mSpec.mIntervalMs = 0;
    record.mSpec.mSteps.resize(row.mSteps, record.mSpec.mSteps[0]);
    fixture.Add(fmt::format("{:016x}", i), record);
  }
  std::size_t started = 0;
  for (int round = 0; round < 40; ++round) {
    started += fixture.Plan();
    CHECK(fixture.mShard.mOccurrenceBytes <=
          fixture.mShard.mMaxOccurrenceBytes);
    fixture.FinishStarted();
  }
  CHECK(started == 12 * kTasks);
  for (const auto& [id, job] : fixture.mShard.mJobs) {
    CHECK(job.mState == BatchState::kCompleted);
  }
  CHECK(fixture.mShard.mOccurrenceBytes == 0);
  CHECK_FALSE(fixture.mShard.mIsOccurrenceMemoryFull);
}

} // namespace verbenacroft
