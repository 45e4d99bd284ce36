/// Which reason a shard gives for a task that waits, and for how long it says
/// that the task has waited.

#include "vcDispatch.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kService = "pool";
constexpr TimePoint kNow{ 10'000 };
constexpr std::uint64_t kEpoch = 10;
/// From the preparation of a row to its question.
constexpr Duration kLater{ 2'000 };
/// Longer than a job may be idle.
constexpr Duration kLongIdle = kMaxIdleTime + Duration(1);

DispatchWorker& AddWorker(DispatchShard& aShard, const std::string& aName)
{
  DispatchWorker& worker = aShard.mWorkers[aName];
  worker.mEntry.mWorker = aName;
  worker.mEntry.mService = kService;
  worker.mEntry.mDataCentre = "north";
  worker.mEntry.mCapacity.mMilliCpu = 10'000;
  worker.mEntry.mCapacity.mMemoryMb = 10'000;
  worker.mIsListed = true;
  worker.mIsRecorded = true;
  worker.mHasAnswered = true;
  worker.mLastReportAt = kNow;
  return worker;
}

BatchRecord MakeRecord()
{
  BatchRecord record;
  record.mAcceptedAtMs = kNow.count();
  record.mTerms.mQueue = "queue";
  record.mTerms.mService = kService;
  StepSpec step;
  step.mImage = "image";
  step.mNeeds.mMilliCpu = 1'000;
  step.mNeeds.mMemoryMb = 100;
  record.mSpec.mSteps.push_back(step);
  return record;
}

/// A shard whose only worker is free, and a job that is not added yet.
struct Fixture
{
  Fixture()
  {
    this->mShard.mEpoch = kEpoch;
    AddWorker(this->mShard, "w1");
  }

  DispatchWorker& Worker() { return this->mShard.mWorkers.at("w1"); }
  StepSpec& Step() { return this->mRecord.mSpec.mSteps.front(); }

  void Add(const JobId& aJob = kJob)
  {
    AddJob(this->mShard,
           aJob,
           this->mRecord,
           this->mCreatedAt,
           this->mNow,
           this->mNow.count());
  }

  WaitingSummary Summarize(std::size_t aMaxExamined = kMaxExaminedSteps)
  {
    // As each planning does.
    OpenReadySteps(this->mShard, this->mNow.count());
    return SummarizeWaiting(
      this->mShard, this->mNow, this->mNow.count(), aMaxExamined);
  }

  DispatchActions Plan()
  {
    DispatchActions actions;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    return actions;
  }

  /// The worker reports the end of the only run of the step.
  void End(std::uint32_t aStep, RunEnd aHow)
  {
    EndedRun end;
    end.mTask = { kJob, 0, aStep, 0 };
    end.mRun = 1;
    end.mRunEnd = aHow;
    OnRunEnd(this->mShard, this->Worker(), end, this->mNow, this->mNow.count());
  }

  Duration LongestWait()
  {
    const WaitingSummary summary = this->Summarize();
    REQUIRE(summary.size() == 1);
    return summary.begin()->second.mLongestWait;
  }

  TimePoint mNow = kNow;
  BatchRecord mRecord = MakeRecord();
  std::uint64_t mCreatedAt = kEpoch + 1;
  DispatchShard mShard;
};

/// A serving task on the worker is as loaded as it may be.
void AddLoadedServingImage(Fixture& aFixture)
{
  ServingProfile& profile = aFixture.mShard.mServingProfiles["serving"];
  profile.mMinLatencyRatio = 0.5;
  profile.mMeanLoad = 0.9;
  profile.mHighLoad = 0.9;
  aFixture.Worker().mServingLatencies["serving"].mLoad = 0.9;
}

} // namespace

// Each row also compares the reason with what the planning then does.
TEST_CASE("a task that waits has the reason that keeps it from a start",
          "[waiting]")
{
  struct Row
  {
    const char* mName;
    WaitReason mReason;
    void (*mPrepare)(Fixture&);
  };
  using F = Fixture;
  const auto row = GENERATE(values<Row>({
    { "uncertain ownership",
      WaitReason::kStartsForbidden,
      [](F& aShard) { aShard.mShard.mMayStart = false; } },
    { "fenced",
      WaitReason::kStartsForbidden,
      [](F& aShard) { aShard.mShard.mIsFenced = true; } },
    { "older than the epoch",
      WaitReason::kBarrier,
      [](F& aShard) {
        aShard.mCreatedAt = kEpoch - 1;
        aShard.mShard.mUnansweredWorkers["w2"] = { kNow + Duration(1),
                                                   aShard.mShard.mEpoch };
      } },
    { "later than the epoch",
      WaitReason::kPassedOver,
      [](F& aShard) {
        aShard.mShard.mUnansweredWorkers["w2"] = { kNow + Duration(1),
                                                   aShard.mShard.mEpoch };
      } },
    { "no workers",
      WaitReason::kNotAllowed,
      [](F& aShard) { aShard.mShard.mWorkers.clear(); } },
    { "another service",
      WaitReason::kNotAllowed,
      [](F& aShard) { aShard.Worker().mEntry.mService = "other"; } },
    { "a label that no worker has",
      WaitReason::kNotAllowed,
      [](F& aShard) { aShard.Step().mRequiredLabel = "ssd"; } },
    { "not listed",
      WaitReason::kNoWorker,
      [](F& aShard) { aShard.Worker().mIsListed = false; } },
    { "not recorded",
      WaitReason::kNoWorker,
      [](F& aShard) { aShard.Worker().mIsRecorded = false; } },
    { "unresponsive",
      WaitReason::kNoWorker,
      [](F& aShard) { aShard.Worker().mIsUnresponsive = true; } },
    { "an old report",
      WaitReason::kNoWorker,
      [](F& aShard) {
        aShard.Worker().mLastReportAt = kNow - Duration(5'000);
      } },
    { "draining",
      WaitReason::kNoWorker,
      [](F& aShard) { aShard.Worker().mEntry.mIsDraining = true; } },
    { "avoided",
      WaitReason::kNoWorker,
      [](F& aShard) { aShard.Worker().mAvoidedUntil = kNow + Duration(1); } },
    { "evacuated",
      WaitReason::kNoWorker,
      [](F& aShard) { aShard.mShard.mEvacuated = { "north" }; } },
    { "full",
      WaitReason::kNoCapacity,
      [](F& aShard) { aShard.Worker().mUsed.mMilliCpu = 9'500; } },
    { "processors in use",
      WaitReason::kBestEffortCpu,
      [](F& aShard) {
        aShard.Step().mIsFilling = true;
        aShard.Worker().mBestEffortCpu = 8'500;
      } },
    { "paused",
      WaitReason::kBestEffortPaused,
      [](F& aShard) {
        aShard.Step().mIsFilling = true;
        aShard.Worker().mNoBestEffortUntil = kNow + Duration(1);
      } },
    { "a loaded serving image",
      WaitReason::kBestEffortDisturbs,
      [](F& aShard) {
        aShard.Step().mIsFilling = true;
        AddLoadedServingImage(aShard);
      } },
    { "room for one of two",
      WaitReason::kGang,
      [](F& aShard) {
        aShard.Step().mIsGang = true;
        aShard.Step().mCount = 2;
        aShard.Step().mNeeds.mMilliCpu = 6'000;
      } },
    { "room", WaitReason::kPassedOver, [](F&) {} },
  }));
  INFO(row.mName);
  Fixture fixture;
  row.mPrepare(fixture);
  fixture.Add();
  const WaitingSummary summary = fixture.Summarize();
  REQUIRE(summary.size() == 1);
  CHECK(NameOf(summary.begin()->first) == NameOf(row.mReason));
  CHECK(summary.begin()->second.mTasks == fixture.Step().mCount);
  CHECK(summary.begin()->second.mNeeds == fixture.Step().mNeeds);
  const bool isStarted = !fixture.Plan().mStarts.empty();
  CHECK(isStarted == (row.mReason == WaitReason::kPassedOver));
}

TEST_CASE("a step with its maximum on each worker is not allowed", "[waiting]")
{
  Fixture fixture;
  fixture.Step().mCount = 3;
  fixture.Step().mMaxPerWorker = 1;
  fixture.Add();
  REQUIRE(fixture.Plan().mStarts.size() == 1);
  const WaitingSummary summary = fixture.Summarize();
  REQUIRE(summary.size() == 1);
  const WaitingTasks& waiting = summary.at(WaitReason::kNotAllowed);
  CHECK(waiting.mTasks == 2);
  CHECK(Describe(waiting.mExample) == std::string(kJob) + ".0.0.1");
}

TEST_CASE("the reason is that of the worker that comes nearest", "[waiting]")
{
  Fixture fixture;
  fixture.Worker().mUsed.mMilliCpu = 9'500;
  AddWorker(fixture.mShard, "w0").mEntry.mIsDraining = true;
  AddWorker(fixture.mShard, "w2").mEntry.mService = "other";
  fixture.Add();
  CHECK(WhyNotPlaced(fixture.mShard, { kJob, 0, 0, 0 }, kNow) ==
        WaitReason::kNoCapacity);
}

TEST_CASE("steps beyond the limit are counted but not examined", "[waiting]")
{
  Fixture fixture;
  fixture.Worker().mIsListed = false;
  fixture.Add("00000000000000b1");
  fixture.Add("00000000000000b2");
  fixture.mRecord.mAcceptedAtMs -= 500;
  fixture.Add("00000000000000b3");
  const WaitingSummary summary = fixture.Summarize(1);
  REQUIRE(summary.size() == 2);
  const WaitingTasks& examined = summary.at(WaitReason::kNoWorker);
  CHECK(examined.mTasks == 1);
  CHECK(examined.mExample.mJob == "00000000000000b3");
  CHECK(examined.mLongestWait == Duration(500));
  CHECK(summary.at(WaitReason::kNotExamined).mTasks == 2);
}

TEST_CASE("tasks that run, are done or aren't due don't wait", "[waiting]")
{
  Fixture fixture;
  fixture.mRecord.mSpec.mRepeatCount = 1;
  fixture.mRecord.mSpec.mStartAtMs = kNow.count() + 1'000;
  fixture.Add();
  CHECK(fixture.Summarize().empty());
  fixture.mNow += Duration(1'200);
  CHECK(fixture.LongestWait() == Duration(200));
  fixture.Worker().mLastReportAt = fixture.mNow;
  REQUIRE(fixture.Plan().mStarts.size() == 1);
  CHECK(fixture.Summarize().empty());
  fixture.End(0, RunEnd::kDone);
  CHECK(fixture.Summarize().empty());
}

TEST_CASE("a task waits from the end of its last run on", "[waiting]")
{
  Fixture fixture;
  fixture.mRecord.mAcceptedAtMs -= 700;
  fixture.mRecord.mTerms.mMaxAttempts = 2;
  fixture.Add();
  CHECK(fixture.LongestWait() == Duration(700));
  REQUIRE(fixture.Plan().mStarts.size() == 1);
  fixture.mNow += Duration(400);
  fixture.End(0, RunEnd::kFailed);
  fixture.mNow += Duration(300);
  CHECK(fixture.LongestWait() == Duration(300));
}

TEST_CASE("a step waits from the end of the step before it on", "[waiting]")
{
  Fixture fixture;
  fixture.mRecord.mAcceptedAtMs -= 700;
  StepSpec second = fixture.Step();
  second.mAfter = { 0 };
  fixture.mRecord.mSpec.mSteps.push_back(second);
  fixture.Add();
  REQUIRE(fixture.Plan().mStarts.size() == 1);
  fixture.mNow += Duration(400);
  fixture.End(0, RunEnd::kDone);
  fixture.mNow += Duration(300);
  CHECK(fixture.LongestWait() == Duration(300));
  CHECK(fixture.Summarize().begin()->second.mExample.mStep == 1);
}

// A trial assignment of a gang that finds no place must not make its wait look
// short.
TEST_CASE("a gang that isn't started goes on waiting", "[waiting]")
{
  Fixture fixture;
  fixture.Step().mIsGang = true;
  fixture.Step().mCount = 2;
  fixture.Step().mNeeds.mMilliCpu = 6'000;
  fixture.Add();
  fixture.mNow += Duration(800);
  REQUIRE(fixture.Plan().mStarts.empty());
  CHECK(fixture.LongestWait() == Duration(800));
}

// Guards against idle jobs that no log line shows.
TEST_CASE("a job counts as idle once nothing of it has run for too long",
          "[waiting]")
{
  struct Row
  {
    const char* mName;
    std::uint64_t mIdleJobs;
    void (*mPrepare)(Fixture&);
  };
  const auto row = GENERATE(values<Row>({
    { "not for long enough",
      0,
      [](Fixture& aShard) {
        aShard.Add();
        aShard.mNow += kMaxIdleTime;
      } },
    { "two jobs that nothing was started of",
      2,
      [](Fixture& aShard) {
        aShard.Add();
        aShard.Add("00000000000000a2");
        aShard.mNow += kLongIdle;
      } },
    { "one task runs, another waits",
      0,
      [](Fixture& aShard) {
        aShard.Step().mCount = 2;
        aShard.Step().mNeeds.mMilliCpu = 6'000;
        aShard.Add();
        REQUIRE(aShard.Plan().mStarts.size() == 1);
        aShard.mNow += kLongIdle;
      } },
    { "its only run has failed just now",
      0,
      [](Fixture& aShard) {
        aShard.mRecord.mTerms.mMaxAttempts = 2;
        aShard.Add();
        REQUIRE(aShard.Plan().mStarts.size() == 1);
        aShard.mNow += kLongIdle;
        aShard.End(0, RunEnd::kFailed);
      } },
    { "the step after became ready just now",
      0,
      [](Fixture& aShard) {
        aShard.mRecord.mSpec.mSteps.push_back(aShard.Step());
        aShard.mRecord.mSpec.mSteps[1].mAfter = { 0 };
        aShard.Add();
        REQUIRE(aShard.Plan().mStarts.size() == 1);
        aShard.mNow += kLongIdle;
        aShard.End(0, RunEnd::kDone);
      } },
    { "its only run ended long ago",
      1,
      [](Fixture& aShard) {
        aShard.mRecord.mTerms.mMaxAttempts = 2;
        aShard.Add();
        REQUIRE(aShard.Plan().mStarts.size() == 1);
        aShard.End(0, RunEnd::kFailed);
        aShard.mNow += kLongIdle;
      } },
    { "not due",
      0,
      [](Fixture& aShard) {
        aShard.mRecord.mSpec.mRepeatCount = 1;
        aShard.mRecord.mSpec.mStartAtMs = kNow.count() + kLongIdle.count();
        aShard.Add();
        aShard.mNow += kLongIdle;
      } },
  }));
  INFO(row.mName);
  Fixture shard;
  row.mPrepare(shard);
  std::uint64_t idle = 0;
  for (const auto& [reason, tasks] :
       SummarizeIdleJobs(shard.mShard, shard.mNow, shard.mNow.count())) {
    idle += tasks.mTasks;
  }
  CHECK(idle == row.mIdleJobs);
}

TEST_CASE("a long-running task that doesn't run tells what it waits for",
          "[waiting]")
{
  struct Row
  {
    const char* mName;
    void (*mPrepare)(Fixture&);
    std::optional<WaitReason> mReason;
    Duration mWait;
    const char* mWorker;
  };
  using F = Fixture;
  const auto row = GENERATE(values<Row>({
    { "it has not been started",
      [](F&) {},
      WaitReason::kPassedOver,
      kLater,
      "" },
    { "its start isn't answered",
      [](F& aShard) { aShard.Plan(); },
      WaitReason::kStarting,
      kLater,
      "w1" },
    { "it runs",
      [](F& aShard) {
        aShard.Plan();
        FindTask(aShard.mShard, { kJob, 0, 0, 0 })->mPhase = RunPhase::kRunning;
      },
      std::nullopt,
      {},
      "" },
    { "its run is being stopped",
      [](F& aShard) {
        aShard.Plan();
        FindTask(aShard.mShard, { kJob, 0, 0, 0 })->mPhase =
          RunPhase::kStopping;
      },
      std::nullopt,
      {},
      "" },
    { "its start isn't answered and is being stopped",
      [](F& aShard) {
        aShard.Plan();
        DispatchTask& task = *FindTask(aShard.mShard, { kJob, 0, 0, 0 });
        task.mPhase = RunPhase::kStopping;
        task.mIsStartUncertain = true;
      },
      WaitReason::kStopping,
      kLater,
      "w1" },
    { "its worker is silent",
      [](F& aShard) {
        aShard.Plan();
        FindTask(aShard.mShard, { kJob, 0, 0, 0 })->mPhase = RunPhase::kRunning;
        aShard.Worker().mIsUnresponsive = true;
        aShard.Worker().mLastReportAt = kNow - Duration(500);
      },
      WaitReason::kSilentWorker,
      kLater + Duration(500),
      "w1" },
    { "it may run on the last of several workers",
      [](F& aShard) {
        aShard.mShard.mUnansweredWorkers["w2"] = { kNow + 2 * kLater, 90 };
        aShard.mShard.mUnansweredWorkers["w3"] = { kNow + 3 * kLater, 90 };
      },
      WaitReason::kBarrier,
      kLater,
      "w3" },
    { "a start was refused",
      [](F& aShard) {
        FindTask(aShard.mShard, { kJob, 0, 0, 0 })->mRetryAt =
          kNow + 2 * kLater;
      },
      WaitReason::kPaused,
      kLater,
      "" },
  }));
  INFO(row.mName);
  Fixture fixture;
  fixture.Step().mIsLasting = true;
  fixture.Add();
  fixture.Worker().mLastReportAt = kNow + kLater;
  OpenReadySteps(fixture.mShard, kNow.count());
  row.mPrepare(fixture);
  const TimePoint now = kNow + kLater;
  const auto wait = FindLongRunningWait(fixture.mShard, now, now.count());
  REQUIRE(wait.has_value() == row.mReason.has_value());
  if (!wait) {
    return;
  }
  CHECK(NameOf(wait->mReason) == NameOf(*row.mReason));
  CHECK(wait->mTasks == 1);
  CHECK(wait->mWait == row.mWait);
  CHECK(wait->mWorker == row.mWorker);
}

} // namespace verbenacroft
