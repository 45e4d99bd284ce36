/// Bounds on the time for which a job has nothing running while other jobs keep
/// the workers busy. Workers are modelled by the run times of their tasks.

#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace verbenacroft {

namespace {

/// Time between two plannings, in each of which all workers report.
constexpr Duration kRound{ 100 };
/// Time for which the jobs are watched.
constexpr Duration kWatched{ 30'000 };
constexpr std::int64_t kTaskMilliCpu = 1'000;
constexpr std::int64_t kWorkerMilliCpu = 12'000;
constexpr Duration kRunTime{ 1'000 };
/// Tasks of a job of the stream, and the time between two such jobs. Together
/// they need more than the workers have.
constexpr std::uint32_t kStreamTasks = 30;
constexpr Duration kStreamInterval{ 2'000 };
/// Fixed part of the objective of the stream's jobs: none is late.
constexpr std::int64_t kLongObjectiveMs = 600'000;

/// The jobs that may be forgotten beside the stream.
struct IdleCase
{
  std::string mName;
  std::uint32_t mJobs = 1;
  std::uint32_t mTasks = 3;
  /// Of their queue; negative values make them late.
  std::int64_t mObjectiveMs = -60'000;
  bool mIsBestEffort = true;
  std::int32_t mPriority = 1;
  bool mIsBounded = true;
};

/// A worker, the owner's decisions, the stream and the watched jobs.
class IdleModel
{
public:
  explicit IdleModel(const IdleCase& aCase)
    : mCase(aCase)
  {
    this->mShard.mEpoch = 10;
    WorkerEntry entry;
    entry.mWorker = "w1";
    entry.mService = "pool";
    entry.mAddress = "127.0.0.1:9000";
    entry.mDataCentre = "north";
    entry.mCapacity.mMilliCpu = kWorkerMilliCpu;
    OnDiscovery(this->mShard, { entry }, this->mNow);
    this->mShard.mWorkers.at("w1").mIsRecorded = true;
    for (std::uint32_t i = 0; i < aCase.mJobs; ++i) {
      const JobId job = fmt::format("{:016x}", i);
      this->Add(job, aCase.mTasks, aCase.mObjectiveMs, aCase.mPriority);
      this->mIdleSince[job] = this->mNow;
    }
    for (; this->mNow < kWatched; this->mNow += kRound) {
      this->Round();
    }
  }

  /// Longest time for which one of the jobs had nothing running.
  Duration mLongestIdle{ 0 };

private:
  void Add(const JobId& aJob,
           std::uint32_t aTasks,
           std::int64_t aObjectiveMs,
           std::int32_t aPriority)
  {
    BatchRecord record;
    record.mTerms.mQueue = "queue";
    record.mTerms.mService = "pool";
    record.mTerms.mTargetMs = aObjectiveMs;
    record.mTerms.mPriority = aPriority;
    StepSpec step;
    step.mCount = aTasks;
    step.mNeeds.mMilliCpu = kTaskMilliCpu;
    step.mEstimateMs = kRunTime.count();
    step.mImage = "image";
    step.mIsFilling = this->mCase.mIsBestEffort;
    record.mSpec.mSteps.push_back(step);
    AddJob(this->mShard, aJob, record, 20, this->mNow, this->mNow.count());
  }

  /// Reports the runs, of which some have just ended. Tasks of the watched jobs
  /// end as stopped, so that these jobs always have waiting tasks.
  void Report()
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = 100'000 + this->mNow.count();
    report.mIncarnation = 1;
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
    OnReport(
      this->mShard, "w1", report, this->mNow, this->mNow, this->mNow.count());
  }

  void Round()
  {
    if (this->mNow.count() % kStreamInterval.count() == 0) {
      this->Add(fmt::format("{:016x}", 0xa000 + this->mNow.count()),
                kStreamTasks,
                kLongObjectiveMs,
                0);
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
  IdleCase ordinary{ "late, not best-effort, same priority" };
  ordinary.mIsBestEffort = false;
  ordinary.mPriority = 0;
  IdleCase urgent = ordinary;
  urgent.mName = "not best-effort, behind a more urgent queue";
  urgent.mPriority = 1;
  urgent.mIsBounded = false;
  return {
    { "late, same priority", 1, 3, -60'000, true, 0 },
    { "late, less urgent queue", 1, 3, -60'000, true, 1 },
    { "several late jobs", 12, 3, -60'000, true, 0 },
    { "late with many tasks", 4, 30, -60'000, true, 0 },
    { "not late, later objective", 3, 3, 2 * kLongObjectiveMs, true, 0 },
    ordinary,
    urgent,
  };
}

} // namespace

// Guards against a job that never has a turn because jobs with an earlier
// objective, or that aren't late yet, keep coming.
TEST_CASE("a job isn't idle for long behind a stream of others",
          "[.][red-idle-order]")
{
  const IdleCase row = GENERATE(from_range(IdleCases()));
  INFO(row.mName);
  const IdleModel model(row);
  INFO("idle for " << model.mLongestIdle.count() << " ms");
  CHECK((model.mLongestIdle <= kMaxIdleTime) == row.mIsBounded);
}

} // namespace verbenacroft
