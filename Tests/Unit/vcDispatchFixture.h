#pragma once

/// A shard of some workers for tests of its owner's decisions, with what its
/// workers report and the jobs that it is given.

#include "vcDispatch.h"

namespace verbenacroft {

inline constexpr const char* kJob = "00000000000000a1";
inline constexpr std::int64_t kBorn = 5'000;
inline constexpr std::int64_t kClock = 100'000;

inline WorkerEntry MakeEntry(const std::string& aName)
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

inline BatchRecord MakeRecord(std::uint32_t aTasks)
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
struct DispatchFixture
{
  explicit DispatchFixture(std::vector<std::string> aWorkers)
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

  /// A write of the owner is carried out, and the worker's present incarnation
  /// reports what it runs to a renewal with a new fencing token.
  void FenceOff(const std::string& aWorker,
                std::int64_t aBorn,
                std::vector<RunningTask> aRunning = {},
                std::vector<EndedRun> aEnded = {})
  {
    DispatchWorker& worker = this->mShard.mWorkers.at(aWorker);
    NoteOwnWrite(this->mShard, FencingTokenOf(this->mShard, worker) + 1);
    MakeRenewal(this->mShard, worker, Duration(0), this->mNow);
    this->Report(aWorker, std::move(aRunning), std::move(aEnded), aBorn);
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

inline EndedRun MakeEnd(std::uint64_t aIndex,
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

inline RunningTask MakeRunning(std::uint32_t aRun, std::uint32_t aTask = 0)
{
  RunningTask running;
  running.mTask = { kJob, 0, 0, aTask };
  running.mRun = aRun;
  return running;
}

inline void Renew(DispatchFixture& aFixture)
{
  auto& worker = aFixture.mShard.mWorkers.at("w1");
  MakeRenewal(aFixture.mShard, worker, Duration(1'000), aFixture.mNow);
}

/// One task runs on the only worker, whose lease is renewed once more before
/// it falls silent.
inline void RunAndSilence(DispatchFixture& aFixture)
{
  aFixture.Add(1);
  aFixture.Plan();
  aFixture.Report("w1", { MakeRunning(1) }, {});
  Renew(aFixture);
  aFixture.Silence("w1");
}

} // namespace verbenacroft
