/// What an owner that leaves tells the next one, and which long-running tasks
/// the next one starts before every worker of the shard has answered.

#include "vcHandOver.h"
#include "vcNode.h"
#include "vcWorkerSetRecords.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr std::uint64_t kEpoch = 50;
/// Revision at which a job was accepted before the owner claimed the shard.
constexpr std::uint64_t kAcceptedBefore = 20;
constexpr std::uint32_t kGeneration = 4;

BatchRecord MakeLongRunning(std::uint32_t aTasks)
{
  BatchRecord record;
  record.mTerms.mQueue = "queue";
  record.mTerms.mService = "pool";
  StepSpec step;
  step.mCount = aTasks;
  step.mNeeds.mMilliCpu = 1'000;
  step.mIsLasting = true;
  record.mSpec.mSteps.push_back(step);
  return record;
}

/// A shard of two workers, `w1` and `w2`, as of time 0. The owner before used
/// both, and only `w1` answers.
struct Takeover
{
  explicit Takeover(std::uint32_t aTasks = 1)
  {
    this->mShard.mEpoch = kEpoch;
    std::vector<WorkerEntry> entries;
    for (const auto* name : { "w1", "w2" }) {
      WorkerEntry entry;
      entry.mWorker = name;
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9000";
      entry.mCapacity.mMilliCpu = 10'000;
      entries.push_back(entry);
      AddActiveWorker(this->mShard, name, {}, this->mNow);
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    AddJob(this->mShard,
           kJob,
           MakeLongRunning(aTasks),
           kAcceptedBefore,
           this->mNow,
           this->mNow.count());
  }

  /// `w1` reports that it runs the first tasks of the job.
  void Report(std::uint32_t aTasks)
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = 100'000 + this->mNow.count();
    report.mIncarnation = 1;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      RunningTask row;
      row.mTask = { kJob, 0, 0, i };
      row.mRun = 1;
      report.mRunning.push_back(row);
    }
    OnReport(this->mShard, "w1", report, this->mNow, this->mNow, 0);
  }

  std::size_t CountStarts()
  {
    DispatchActions actions;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    return actions.mStarts.size();
  }

  TimePoint mNow{ 0 };
  DispatchShard mShard;
};

WorkerSetRecord MakeWorkerSet()
{
  WorkerSetRecord workerSet;
  workerSet.mGeneration = kGeneration;
  workerSet.mWorkers = { { "w1", "127.0.0.1:9000" },
                         { "w2", "127.0.0.1:9001" } };
  return workerSet;
}

} // namespace

// Guards against lost long-running tasks that wait for a worker which can't run
// them, and against two runs of one that it may run.
TEST_CASE("a long-running task waits only for workers that may run it",
          "[hand-over]")
{
  struct Row
  {
    const char* mName;
    void (*mPrepare)(Takeover&);
    std::size_t mStarts;
  };
  const auto row = GENERATE(values<Row>({
    { "nothing is known of it", [](Takeover& aShard) { aShard.Report(0); }, 0 },
    { "it was seen to run and is missing since",
      [](Takeover& aShard) {
        aShard.Report(1);
        aShard.mNow += Duration(100);
        aShard.Report(0);
      },
      1 },
    { "it waited at the hand-over",
      [](Takeover& aShard) {
        aShard.Report(0);
        const HandOverRecord record{ kGeneration,
                                     {},
                                     { { std::string(kJob) + ".0.0.0", 0 } } };
        ApplyHandOver(aShard.mShard, record, kGeneration + 1, aShard.mNow);
      },
      1 },
    { "it waited, and may run on a worker silent by then",
      [](Takeover& aShard) {
        aShard.Report(0);
        const HandOverRecord record{
          kGeneration, {}, { { std::string(kJob) + ".0.0.0", 500 } }
        };
        ApplyHandOver(aShard.mShard, record, kGeneration + 1, aShard.mNow);
      },
      0 },
    { "the record is of an earlier hand-over",
      [](Takeover& aShard) {
        aShard.Report(0);
        const HandOverRecord record{ kGeneration,
                                     {},
                                     { { std::string(kJob) + ".0.0.0", 0 } } };
        ApplyHandOver(aShard.mShard, record, kGeneration + 2, aShard.mNow);
      },
      0 },
  }));
  CAPTURE(row.mName);
  Takeover shard;
  row.mPrepare(shard);
  REQUIRE_FALSE(IsBarrierClear(shard.mShard, shard.mNow));
  CHECK(shard.CountStarts() == row.mStarts);
}

// Guards against the longest leases that are assumed of workers whose leases
// the owner that left has known.
TEST_CASE("a hand-over shortens the wait to what is left", "[hand-over]")
{
  struct Row
  {
    const char* mName;
    std::uint32_t mGeneration;
    std::int64_t mEndInMs;
    TimePoint mEndsAt;
  };
  const auto row = GENERATE(values<Row>({
    { "of the owner before", kGeneration + 1, 2'000, TimePoint(3'000) },
    { "of an owner before it", kGeneration + 2, 2'000, TimePoint(13'123) },
    { "a longer time than the limit",
      kGeneration + 1,
      60'000,
      TimePoint(13'123) },
  }));
  CAPTURE(row.mName);
  DispatchShard shard;
  shard.mEpoch = kEpoch;
  AddActiveWorker(shard, "w1", {}, TimePoint(0));
  const HandOverRecord record{ kGeneration, { { "w1", row.mEndInMs } }, {} };
  ApplyHandOver(shard, record, row.mGeneration, TimePoint(1'000));
  CHECK(BarrierEndsAt(shard) == row.mEndsAt);
}

// Guards against a run that the next owner doesn't expect any more.
TEST_CASE("a hand-over tells until when runs may last", "[hand-over]")
{
  constexpr std::uint32_t kTasks = 2;
  Takeover shard(kTasks);
  shard.Report(1);
  DispatchWorker& worker = shard.mShard.mWorkers.at("w1");
  MakeRenewal(shard.mShard, worker, Duration(0), shard.mNow);
  shard.mNow += Duration(1'000);
  const HandOverRecord record =
    MakeHandOver(shard.mShard, MakeWorkerSet(), shard.mNow);
  CHECK(record.mGeneration == kGeneration);
  REQUIRE(record.mWorkers.size() == 2);
  // A lease of 6 s at a slow clock, and the wait for one that is silent.
  CHECK(record.mWorkers[0].mEndInMs == 6'123 - 1'000);
  CHECK(record.mWorkers[1].mEndInMs == 13'123 - 1'000);
  REQUIRE(record.mWaiting.size() == 1);
  CHECK(record.mWaiting[0].mTask == std::string(kJob) + ".0.0.1");
  CHECK(record.mWaiting[0].mRunsEndInMs == 13'123 - 1'000);
}

// Guards against a wait that begins anew with each owner that leaves.
TEST_CASE("the wait of a lost task shrinks over hand-overs", "[hand-over]")
{
  Takeover first;
  first.Report(0);
  first.mNow += Duration(4'000);
  const HandOverRecord record =
    MakeHandOver(first.mShard, MakeWorkerSet(), first.mNow);
  Takeover second;
  ApplyHandOver(second.mShard, record, kGeneration + 1, second.mNow);
  second.mNow += Duration(4'000);
  // All workers of the second owner are silent by now.
  const HandOverRecord next =
    MakeHandOver(second.mShard, MakeWorkerSet(), second.mNow);
  REQUIRE(next.mWaiting.size() == 1);
  CHECK(next.mWaiting[0].mRunsEndInMs == 13'123 - 8'000);
}

// Guards against a hand-over that leaves this out.
TEST_CASE("a record of a hand-over is read back", "[hand-over]")
{
  const HandOverRecord record{ kGeneration, { { "w1", 5 } }, { { "t", 7 } } };
  const auto read = TryDecode<HandOverRecord>(Encode(record));
  REQUIRE(read);
  CHECK(read->mGeneration == kGeneration);
  REQUIRE(read->mWorkers.size() == 1);
  CHECK(read->mWorkers[0].mEndInMs == 5);
  REQUIRE(read->mWaiting.size() == 1);
  CHECK(read->mWaiting[0].mRunsEndInMs == 7);
}

} // namespace verbenacroft
