/// Bounds on the time for which a job has nothing running while other jobs keep
/// the workers busy. Workers are modelled by the run times of their tasks.

#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Time between two plannings, in each of which all workers report.
constexpr Duration kRound{ 100 };
/// Time for which the jobs are watched.
constexpr Duration kWatched{ 30'000 };
constexpr const char* kWorker = "w1";
constexpr std::int64_t kTaskMilliCpu = 1'000;
constexpr std::int64_t kWorkerMilliCpu = 12'000;
constexpr Duration kRunTime{ 1'000 };
/// Tasks of a job of the stream, and the time between two such jobs. Together
/// they need more than the workers have.
constexpr std::uint32_t kStreamTasks = 30;
constexpr Duration kStreamInterval{ 2'000 };
/// Fixed part of the objective of the stream's jobs: none is late.
constexpr std::int64_t kLongObjectiveMs = 600'000;

/// The only worker is discovered at `aNow`, and may be used.
void AddWorker(DispatchShard& aShard, TimePoint aNow)
{
  aShard.mEpoch = 10;
  WorkerEntry entry;
  entry.mWorker = kWorker;
  entry.mService = "pool";
  entry.mAddress = "127.0.0.1:9000";
  entry.mDataCentre = "north";
  entry.mCapacity.mMilliCpu = kWorkerMilliCpu;
  OnDiscovery(aShard, { entry }, aNow);
  aShard.mWorkers.at(kWorker).mIsRecorded = true;
}

/// Terms and size of a job of one step.
struct JobShape
{
  std::uint32_t mTasks = 1;
  /// Negative values make the job late.
  std::int64_t mObjectiveMs = 0;
  std::int32_t mPriority = 0;
  bool mIsBestEffort = true;
};

void AddJobOf(DispatchShard& aShard,
              const JobId& aJob,
              const JobShape& aShape,
              TimePoint aNow)
{
  BatchRecord record;
  record.mAcceptedAtMs = aNow.count();
  record.mTerms.mQueue = "queue";
  record.mTerms.mService = "pool";
  record.mTerms.mTargetMs = aShape.mObjectiveMs;
  record.mTerms.mPriority = aShape.mPriority;
  StepSpec step;
  step.mCount = aShape.mTasks;
  step.mNeeds.mMilliCpu = kTaskMilliCpu;
  step.mEstimateMs = kRunTime.count();
  step.mImage = "image";
  step.mIsFilling = aShape.mIsBestEffort;
  record.mSpec.mSteps.push_back(step);
  AddJob(aShard, aJob, record, 20, aNow, aNow.count());
}

/// The jobs that may be forgotten beside the stream.
struct IdleCase
{
  std::string mName;
  std::uint32_t mJobs = 1;
  JobShape mShape;
  bool mIsBounded = true;
};

/// The worker reports at `aNow` what runs and what has ended.
void Report(DispatchShard& aShard, WorkerReport aReport, TimePoint aNow)
{
  aReport.mOutcome = OrderOutcome::kDone;
  aReport.mClock = 100'000 + aNow.count();
  aReport.mIncarnation = 1;
  OnReport(aShard, kWorker, aReport, aNow, aNow, aNow.count());
}

/// A worker, the owner's decisions, the stream and the watched jobs.
class IdleModel
{
public:
  explicit IdleModel(const IdleCase& aCase)
    : mCase(aCase)
  {
    AddWorker(this->mShard, this->mNow);
    for (std::uint32_t i = 0; i < aCase.mJobs; ++i) {
      const JobId job = fmt::format("{:016x}", i);
      AddJobOf(this->mShard, job, aCase.mShape, this->mNow);
      this->mIdleSince[job] = this->mNow;
    }
    for (; this->mNow < kWatched; this->mNow += kRound) {
      this->Round();
    }
  }

  /// Longest time for which one of the jobs had nothing running.
  Duration mLongestIdle{ 0 };

private:
  /// Reports the runs, of which some have just ended. Tasks of the watched jobs
  /// end as stopped, so that these jobs always have waiting tasks.
  void Report()
  {
    WorkerReport report;
    for (auto run = this->mRuns.begin(); run != this->mRuns.end();) {
      const auto& [number, endsAt] = run->second;
      if (this->mNow >= endsAt) {
        const bool isWatched = this->mIdleSince.contains(run->first.mJob);
        report.mEnded.push_back({ ++this->mEnds,
                                  run->first,
                                  number,
                                  isWatched ? RunEnd::kStopped : RunEnd::kDone,
                                  "" });
        run = this->mRuns.erase(run);
        continue;
      }
      RunningTask row;
      row.mTask = run->first;
      row.mRun = number;
      report.mRunning.push_back(row);
      ++run;
    }
    verbenacroft::Report(this->mShard, std::move(report), this->mNow);
  }

  void Round()
  {
    if (this->mNow.count() % kStreamInterval.count() == 0) {
      const JobId job = fmt::format("{:016x}", 0xa000 + this->mNow.count());
      const JobShape wide{
        kStreamTasks, kLongObjectiveMs, 0, this->mCase.mShape.mIsBestEffort
      };
      AddJobOf(this->mShard, job, wide, this->mNow);
    }
    this->Report();
    DispatchActions actions;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    for (const auto& [worker, order] : actions.mStarts) {
      this->mRuns[order.mTask] = { order.mRun, this->mNow + kRunTime };
      OnStartReply(this->mShard,
                   worker,
                   order,
                   OrderReply{ OrderOutcome::kDone, 0 },
                   this->mNow);
    }
    this->Judge();
  }

  void Judge()
  {
    for (const auto& [task, run] : this->mRuns) {
      const auto found = this->mIdleSince.find(task.mJob);
      if (found != this->mIdleSince.end()) {
        found->second = this->mNow + kRound;
      }
    }
    for (const auto& [job, since] : this->mIdleSince) {
      this->mLongestIdle = std::max(this->mLongestIdle, this->mNow - since);
    }
  }

  const IdleCase& mCase;
  DispatchShard mShard;
  std::map<TaskId, std::pair<std::uint32_t, TimePoint>> mRuns;
  std::uint64_t mEnds = 0;
  /// Of the watched jobs: since when nothing of them runs.
  std::map<JobId, TimePoint> mIdleSince;
  TimePoint mNow{ 0 };
};

std::vector<IdleCase> IdleCases()
{
  constexpr std::int64_t kLateMs = -60'000;
  return {
    { "late, same priority", 1, { 3, kLateMs } },
    { "late, less urgent queue", 1, { 3, kLateMs, 1 } },
    { "several late jobs", 12, { 3, kLateMs } },
    { "late with many tasks", 4, { 30, kLateMs } },
    { "not late, later objective", 3, { 3, 2 * kLongObjectiveMs } },
    { "late, not best-effort", 1, { 3, kLateMs, 0, false } },
    { "not best-effort, less urgent queue",
      1,
      { 3, kLateMs, 1, false },
      false },
  };
}

} // namespace

// Guards against a job that never has a turn because jobs with an earlier
// objective, or that aren't late yet, keep coming.
TEST_CASE("a job isn't idle for long behind a stream of others", "[idle]")
{
  const IdleCase row = GENERATE(from_range(IdleCases()));
  INFO(row.mName);
  const IdleModel model(row);
  INFO("idle for " << model.mLongestIdle.count() << " ms");
  CHECK((model.mLongestIdle <= kMaxIdleTime) == row.mIsBounded);
}

// Guards against late jobs that have nothing running while one of them takes
// each part of a worker that becomes free.
TEST_CASE("a late job without a run comes before the others' next tasks",
          "[idle]")
{
  constexpr TimePoint kNow{ 10'000 };
  static constexpr const char* kSecondJob = "00000000000000a2";
  struct Row
  {
    const char* mName;
    std::int64_t mFirstObjectiveMs;
    bool mIsTurn;
  };
  const auto row = GENERATE(values<Row>({
    { "behind a late job", -60'000, true },
    { "behind a job that isn't late", kLongObjectiveMs, false },
  }));
  INFO(row.mName);
  DispatchShard shard;
  AddWorker(shard, kNow);
  Report(shard, {}, kNow);
  AddJobOf(shard, "00000000000000a1", { 30, row.mFirstObjectiveMs }, kNow);
  AddJobOf(shard, kSecondJob, { 1, -1 - kRunTime.count() }, kNow);
  DispatchActions actions;
  PlanStarts(shard, kNow, kNow.count(), actions);
  const bool isStarted =
    std::any_of(actions.mStarts.begin(),
                actions.mStarts.end(),
                [](const AddressedOrder<StartOrder>& aStart) {
                  return aStart.mOrder.mTask.mJob == kSecondJob;
                });
  CHECK(isStarted == row.mIsTurn);
}

} // namespace verbenacroft
