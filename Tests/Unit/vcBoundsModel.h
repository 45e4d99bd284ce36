#pragma once

/// A model of workers that run what the core of a shard tells them, with
/// watched jobs and a stream of others.

#include "vcDispatch.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

/// Time between two plannings, in each of which all workers report.
inline constexpr Duration kRound{ 100 };
inline constexpr Duration kWatched{ 30'000 };
inline constexpr Duration kRunTime{ 1'000 };
/// Time between two jobs of the stream.
inline constexpr Duration kStreamInterval{ 2'000 };
inline constexpr std::int64_t kWorkerMilliCpu = 12'000;
inline constexpr std::int64_t kLongObjectiveMs = 600'000;
inline constexpr std::int64_t kLateMs = -60'000;
inline constexpr const char* kServingImage = "serving";
inline constexpr const char* kMildImage = "mild";
inline constexpr const char* kDisturbingImage = "disturbing";
inline constexpr const char* kWatchedJob = "00000000000000a1";

/// Terms and size of a job of equal steps.
struct JobShape
{
  std::uint32_t mTasks = 1;
  /// Negative values make the job late.
  std::int64_t mObjectiveMs = 0;
  std::int32_t mPriority = 0;
  bool mIsBestEffort = true;
  const char* mImage = kMildImage;
  bool mIsGang = false;
  bool mIsLasting = false;
  /// Equal steps that are ready at once.
  std::uint32_t mSteps = 1;
  std::int64_t mMilliCpu = 1'000;
  Duration mRunTime = kRunTime;
  /// Each step follows the one before it.
  bool mIsChain = false;
  std::uint32_t mMaxPerWorker = 0;
};

/// Workers with one calm serving image, a stream of jobs, and watched jobs.
class BoundsModel
{
public:
  explicit BoundsModel(std::uint32_t aWorkers = 1,
                       std::int64_t aMilliCpu = kWorkerMilliCpu)
  {
    this->mShard.mEpoch = 10;
    std::vector<WorkerEntry> entries;
    for (std::uint32_t i = 0; i < aWorkers; ++i) {
      WorkerEntry entry;
      entry.mWorker = fmt::format("w{:02}", i);
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9000";
      entry.mDataCentre = "north";
      entry.mCapacity.mMilliCpu = aMilliCpu;
      entries.push_back(entry);
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    for (auto& [name, worker] : this->mShard.mWorkers) {
      worker.mIsRecorded = true;
    }
    ServingProfile& profile = this->mShard.mServingProfiles[kServingImage];
    profile.mMinLatencyRatio = 0.25;
    profile.mMeanLoad = 0.5;
    profile.mHighLoad = 0.5;
    this->Learn(kMildImage, 0);
    this->Learn(kDisturbingImage, 10);
  }

  void Add(const JobId& aJob, const JobShape& aShape)
  {
    BatchRecord record;
    record.mAcceptedAtMs = this->mNow.count();
    record.mTerms.mQueue = "queue";
    record.mTerms.mService = "pool";
    record.mTerms.mTargetMs = aShape.mObjectiveMs;
    record.mTerms.mPriority = aShape.mPriority;
    StepSpec step;
    step.mCount = aShape.mTasks;
    step.mNeeds.mMilliCpu = aShape.mMilliCpu;
    step.mEstimateMs = aShape.mRunTime.count();
    step.mImage = aShape.mImage;
    step.mIsFilling = aShape.mIsBestEffort;
    step.mIsGang = aShape.mIsGang;
    step.mIsLasting = aShape.mIsLasting;
    step.mMaxPerWorker = aShape.mMaxPerWorker;
    record.mSpec.mSteps.assign(aShape.mSteps, step);
    for (std::uint32_t i = 1; aShape.mIsChain && i < aShape.mSteps; ++i) {
      record.mSpec.mSteps[i].mAfter = { i - 1 };
    }
    AddJob(this->mShard, aJob, record, 20, this->mNow, this->mNow.count());
    this->mRunTimes[aJob] = aShape.mRunTime;
  }

  void Watch(const JobId& aJob, const JobShape& aShape)
  {
    this->Add(aJob, aShape);
    this->mIdleSince[aJob] = this->mNow;
  }

  /// Plays until `aUntil`, with a job of this shape every `kStreamInterval`.
  void Play(const JobShape& aStream, TimePoint aUntil = kWatched)
  {
    for (; this->mNow < aUntil; this->mNow += this->mInterval) {
      if (aStream.mTasks > 0 &&
          this->mNow.count() % kStreamInterval.count() == 0) {
        this->Add(fmt::format("{:016x}", 0xf0000 + this->mNow.count()),
                  aStream);
      }
      this->Round();
    }
  }

  DispatchActions Plan()
  {
    this->Report();
    DispatchActions actions;
    this->mShard.mStartBudget = this->mBudget;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    return actions;
  }

  DispatchShard mShard;
  TimePoint mNow{ 0 };
  /// Time between two plannings, and the number of plannings in which all
  /// workers report, one part of them in each.
  Duration mInterval{ kRound };
  std::int64_t mReportsIn = 1;
  /// Start budget of each round, in bytes.
  double mBudget = std::numeric_limits<double>::infinity();
  /// The first starts of watched jobs get this answer.
  OrderOutcome mFirstAnswer = OrderOutcome::kDone;
  std::uint32_t mFirstAnswers = 0;
  /// How runs of watched jobs end. Stopped tasks run again, so that their job
  /// always has waiting ones.
  RunEnd mWatchedEnd = RunEnd::kStopped;
  /// Longest time for which a watched job had nothing running.
  Duration mLongestIdle{ 0 };
  /// The same between two of its runs, and the sum of these times over all
  /// watched jobs.
  Duration mLongestGap{ 0 };
  Duration mGapSum{ 0 };
  /// Longest such time that the summary of idle jobs showed.
  Duration mLongestShown{ 0 };
  std::map<JobId, std::uint32_t> mDone;

private:
  struct Run
  {
    std::string mWorker;
    std::uint32_t mNumber = 0;
    TimePoint mEndsAt{ 0 };
  };

  void Learn(const char* aImage, double aCoefficient)
  {
    for (int i = 0; i < 100; ++i) {
      LearnInterference(this->mShard.mInterference,
                        InterferenceKindOf(kServingImage),
                        { { InterferenceKindOf(aImage), 0.2 } },
                        0.2 * aCoefficient,
                        this->mNow);
    }
  }

  void Report()
  {
    std::int64_t number = this->mNow / this->mInterval;
    for (auto& [name, worker] : this->mShard.mWorkers) {
      if (++number % this->mReportsIn != 0) {
        continue;
      }
      worker.mServingLatencies[kServingImage] = {
        InterferenceKindOf(kServingImage), 0.4, 0.5
      };
      WorkerReport report;
      report.mOutcome = OrderOutcome::kDone;
      report.mClock = 100'000 + this->mNow.count();
      report.mIncarnation = 1;
      for (auto run = this->mRuns.begin(); run != this->mRuns.end();) {
        if (run->second.mWorker != name) {
          ++run;
        } else if (this->mNow >= run->second.mEndsAt) {
          const bool isWatched = this->mIdleSince.contains(run->first.mJob);
          ++this->mDone[run->first.mJob];
          report.mEnded.push_back(
            { ++this->mEnds,
              run->first,
              run->second.mNumber,
              isWatched ? this->mWatchedEnd : RunEnd::kDone,
              "" });
          run = this->mRuns.erase(run);
        } else {
          RunningTask row;
          row.mTask = run->first;
          row.mRun = run->second.mNumber;
          report.mRunning.push_back(row);
          ++run;
        }
      }
      OnReport(
        this->mShard, name, report, this->mNow, this->mNow, this->mNow.count());
    }
  }

  void Round()
  {
    const DispatchActions actions = this->Plan();
    for (const auto& [worker, order] : actions.mStarts) {
      const bool isWatched = this->mIdleSince.contains(order.mTask.mJob);
      OrderReply reply;
      reply.mOutcome = OrderOutcome::kDone;
      if (isWatched && this->mFirstAnswers > 0) {
        --this->mFirstAnswers;
        reply.mOutcome = this->mFirstAnswer;
      } else {
        this->mRuns[order.mTask] = {
          worker, order.mRun, this->mNow + this->mRunTimes.at(order.mTask.mJob)
        };
      }
      OnStartReply(this->mShard, worker, order, reply, this->mNow);
    }
    this->JudgeIdleTimes();
    const auto shown =
      SummarizeIdleJobs(this->mShard, this->mNow, this->mNow.count());
    for (const auto& [reason, row] : shown) {
      this->mLongestShown = std::max(this->mLongestShown, row.mLongestWait);
    }
  }

  void JudgeIdleTimes()
  {
    for (const auto& [task, run] : this->mRuns) {
      const auto found = this->mIdleSince.find(task.mJob);
      if (found != this->mIdleSince.end()) {
        found->second = this->mNow + this->mInterval;
        this->mHasRun.insert(task.mJob);
      }
    }
    for (const auto& [job, since] : this->mIdleSince) {
      const Duration idle = this->mNow - since;
      this->mLongestIdle = std::max(this->mLongestIdle, idle);
      if (idle >= Duration(0) && this->mHasRun.contains(job)) {
        this->mLongestGap = std::max(this->mLongestGap, idle + this->mInterval);
        this->mGapSum += this->mInterval;
      }
    }
  }

  std::map<TaskId, Run> mRuns;
  std::map<JobId, Duration> mRunTimes;
  std::set<JobId> mHasRun;
  std::uint64_t mEnds = 0;
  std::map<JobId, TimePoint> mIdleSince;
};

} // namespace verbenacroft
