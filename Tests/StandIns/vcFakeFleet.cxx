#include "vcFakeFleet.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace verbenacroft {

namespace {

constexpr std::size_t kWorkersPerRack = 8;
/// Ports of services in scenarios, where nothing listens.
constexpr std::size_t kFirstPort = 10'000;
constexpr Duration kCheckpointInterval{ 2'000 };
constexpr Duration kReportInterval{ 5'000 };
constexpr double kFailureProgress = 50.0;

double UnitHash(std::uint64_t aSeed, const std::string& aText)
{
  constexpr double kScale = 1.0 / 18446744073709551616.0;
  return static_cast<double>(StableHash(aText, aSeed)) * kScale;
}

/// True run time over the declared one, from 0.3 to 3.
double RunTimeFactor(std::uint64_t aSeed, const std::string& aOwner)
{
  return std::exp((UnitHash(aSeed, aOwner + "#run") - 0.5) * 2.0 *
                  std::log(3.0));
}

bool IsBadJob(const std::string& aOwner)
{
  return aOwner.find("broken") != std::string::npos;
}

void Note(FakeFleet& aFleet,
          const FakeWorker& aWorker,
          const FakeTask& aTask,
          TimePoint aNow)
{
  RunEvent event;
  event.mTask = aTask.mStart.mTask;
  event.mAttempt = aTask.mStart.mAttempt;
  event.mKind = aTask.mStart.mKind;
  event.mWorker = aWorker.mInstance.mName;
  event.mDataCentre = aWorker.mInstance.mDataCentre;
  event.mAt = aNow;
  event.mState = aTask.mState;
  event.mCheckpoint = static_cast<std::int64_t>(aTask.mCheckpoint);
  aFleet.mEvents.push_back(std::move(event));
}

void EndRun(FakeFleet& aFleet,
            FakeWorker& aWorker,
            FakeTask& aTask,
            RunState aState,
            TimePoint aNow)
{
  aTask.mState = aState;
  aTask.mVersion = ++aWorker.mVersion;
  Note(aFleet, aWorker, aTask, aNow);
  if (aState == RunState::kFinished &&
      ++aFleet.mCompletions[aTask.mStart.mTask] > 1) {
    aFleet.mViolations.push_back("task " + aTask.mStart.mTask +
                                 " was completed twice");
  }
}

Resources CommittedOn(const FakeWorker& aWorker)
{
  Resources committed;
  for (const auto& [name, task] : aWorker.mTasks) {
    if (task.mState == RunState::kRunning) {
      committed += task.mStart.mResources;
    }
  }
  return committed;
}

void CheckCapacity(FakeFleet& aFleet, FakeWorker& aWorker)
{
  const Resources committed = CommittedOn(aWorker);
  aWorker.mHighest = ElementwiseMax(aWorker.mHighest, committed);
  if (!Fits(committed, aWorker.mInstance.mCapacity)) {
    aFleet.mViolations.push_back("worker " + aWorker.mInstance.mName +
                                 " is committed to " + Describe(committed));
  }
}

void CheckSingleRun(FakeFleet& aFleet, const TaskStart& aStart)
{
  if (aStart.mKind != TaskKind::kBatch) {
    return;
  }
  for (const auto& [name, worker] : aFleet.mWorkers) {
    const auto found = worker.mTasks.find(aStart.mTask);
    if (worker.mIsAlive && found != worker.mTasks.end() &&
        found->second.mState == RunState::kRunning) {
      aFleet.mViolations.push_back("task " + aStart.mTask +
                                   " was started while it runs on " + name);
    }
  }
  if (aFleet.mCompletions[aStart.mTask] > 0) {
    aFleet.mViolations.push_back("task " + aStart.mTask +
                                 " was started after it was completed");
  }
}

void StartRun(FakeFleet& aFleet,
              FakeWorker& aWorker,
              const WorkerSync& aSync,
              const TaskStart& aStart,
              TimePoint aNow)
{
  const auto found = aWorker.mTasks.find(aStart.mTask);
  const bool isRepeat = found != aWorker.mTasks.end() &&
                        found->second.mStart.mAttempt >= aStart.mAttempt;
  if (isRepeat || aStart.mNotAfter < aNow.count()) {
    return;
  }
  CheckSingleRun(aFleet, aStart);
  FakeTask task;
  task.mStart = aStart;
  task.mShard = aSync.mShard;
  task.mLeaseEnd = aNow + Duration{ aSync.mLeaseMs };
  task.mProgress = static_cast<double>(aStart.mCheckpoint);
  task.mCheckpoint = task.mProgress;
  task.mCheckpointAt = aNow;
  task.mWork = static_cast<double>(aStart.mRunMs) *
               RunTimeFactor(aFleet.mSeed, aStart.mOwner);
  task.mVersion = ++aWorker.mVersion;
  aWorker.mTasks[aStart.mTask] = task;
  Note(aFleet, aWorker, task, aNow);
  CheckCapacity(aFleet, aWorker);
}

TaskReport ReportOf(const FakeWorker& aWorker, const FakeTask& aTask)
{
  TaskReport report;
  report.mTask = aTask.mStart.mTask;
  report.mAttempt = aTask.mStart.mAttempt;
  report.mState = aTask.mState;
  report.mKind = aTask.mStart.mKind;
  report.mCheckpoint = static_cast<std::int64_t>(aTask.mCheckpoint);
  report.mUsage = aTask.mReportedUsage;
  report.mSlowdown = aTask.mReportedSlowdown;
  if (aTask.mStart.mKind == TaskKind::kService) {
    report.mAddress = aWorker.mServiceAddress;
  }
  return report;
}

double SlowdownOf(const FakeFleet& aFleet,
                  const FakeWorker& aWorker,
                  const FakeTask& aTask)
{
  double slowdown = 1.0;
  const auto whole = static_cast<double>(aWorker.mInstance.mCapacity.mMilliCpu);
  for (const auto& [name, other] : aWorker.mTasks) {
    if (&other == &aTask || other.mState != RunState::kRunning) {
      continue;
    }
    const double load =
      static_cast<double>(other.mStart.mResources.mMilliCpu) / whole;
    slowdown +=
      load *
      PairInterference(aFleet.mSeed, aTask.mStart.mOwner, other.mStart.mOwner);
  }
  return slowdown;
}

void StepTask(FakeFleet& aFleet,
              FakeWorker& aWorker,
              FakeTask& aTask,
              double aElapsedMs,
              TimePoint aNow)
{
  if (aTask.mLeaseEnd <= aNow) {
    EndRun(aFleet, aWorker, aTask, RunState::kExpired, aNow);
    return;
  }
  if (aTask.mStart.mKind == TaskKind::kService) {
    return;
  }
  const double share = static_cast<double>(aTask.mThrottle) / 100.0;
  aTask.mProgress += aElapsedMs * share / aTask.mSlowdown;
  const bool isFailing = aWorker.mFailsTasks || IsBadJob(aTask.mStart.mOwner);
  if (isFailing && aTask.mProgress > kFailureProgress) {
    EndRun(aFleet, aWorker, aTask, RunState::kFailed, aNow);
  } else if (aTask.mProgress >= aTask.mWork) {
    EndRun(aFleet, aWorker, aTask, RunState::kFinished, aNow);
  } else if (aNow - aTask.mCheckpointAt >= kCheckpointInterval) {
    aTask.mCheckpoint = aTask.mProgress;
    aTask.mCheckpointAt = aNow;
  }
}

/// Puts the measurements of this moment into the reports, for later.
void Measure(const FakeFleet& aFleet, FakeWorker& aWorker)
{
  constexpr double kPercent = 100.0;
  for (auto& [name, task] : aWorker.mTasks) {
    if (task.mState != RunState::kRunning) {
      continue;
    }
    const double factor =
      0.5 + 0.5 * UnitHash(aFleet.mSeed, task.mStart.mOwner + "#use");
    task.mSlowdown = SlowdownOf(aFleet, aWorker, task);
    task.mReportedUsage = task.mStart.mResources;
    task.mReportedUsage.mMilliCpu = static_cast<std::int64_t>(
      factor * static_cast<double>(task.mStart.mResources.mMilliCpu));
    task.mReportedUsage.mMemoryMb = static_cast<std::int64_t>(
      factor * static_cast<double>(task.mStart.mResources.mMemoryMb));
    task.mReportedSlowdown =
      static_cast<std::int64_t>(task.mSlowdown * kPercent);
    task.mVersion = ++aWorker.mVersion;
  }
}

void StepWorker(FakeFleet& aFleet, FakeWorker& aWorker, TimePoint aNow)
{
  const auto elapsed = static_cast<double>((aNow - aWorker.mSteppedAt).count());
  aWorker.mSteppedAt = aNow;
  for (auto& [name, task] : aWorker.mTasks) {
    if (task.mState == RunState::kRunning) {
      StepTask(aFleet, aWorker, task, elapsed, aNow);
    }
  }
  if (aNow - aWorker.mReportedAt >= kReportInterval) {
    aWorker.mReportedAt = aNow;
    Measure(aFleet, aWorker);
  }
}

void StopRuns(FakeFleet& aFleet,
              FakeWorker& aWorker,
              const WorkerSync& aSync,
              TimePoint aNow)
{
  for (const auto& stop : aSync.mStops) {
    const auto found = aWorker.mTasks.find(stop.mTask);
    if (found != aWorker.mTasks.end() &&
        found->second.mStart.mAttempt == stop.mAttempt &&
        found->second.mState == RunState::kRunning) {
      found->second.mCheckpoint = found->second.mProgress;
      EndRun(aFleet, aWorker, found->second, RunState::kStopped, aNow);
    }
  }
  for (const auto& forget : aSync.mForgets) {
    const auto found = aWorker.mTasks.find(forget.mTask);
    if (found != aWorker.mTasks.end() &&
        found->second.mStart.mAttempt == forget.mAttempt &&
        found->second.mState != RunState::kRunning) {
      aWorker.mTasks.erase(found);
    }
  }
}

/// Renews, starts and stops as a call that was not refused asks for.
void Obey(FakeFleet& aFleet,
          FakeWorker& aWorker,
          const WorkerSync& aSync,
          TimePoint aNow)
{
  if (aSync.mLeaseMs > 0) {
    for (auto& [name, task] : aWorker.mTasks) {
      if (task.mShard == aSync.mShard && task.mState == RunState::kRunning) {
        task.mLeaseEnd = aNow + Duration{ aSync.mLeaseMs };
      }
    }
  }
  StopRuns(aFleet, aWorker, aSync, aNow);
  for (const auto& throttle : aSync.mThrottles) {
    const auto found = aWorker.mTasks.find(throttle.mTask);
    if (found != aWorker.mTasks.end()) {
      found->second.mThrottle = throttle.mPercent;
    }
  }
  for (const auto& start : aSync.mStarts) {
    StartRun(aFleet, aWorker, aSync, start, aNow);
  }
}

} // namespace

double PairInterference(std::uint64_t aSeed,
                        const std::string& aVictim,
                        const std::string& aAggressor)
{
  const double draw = UnitHash(aSeed, aVictim + "|" + aAggressor);
  // A few pairs disturb each other much, most of them hardly.
  return draw > 0.8 ? 2.0 * (draw - 0.8) / 0.2 : 0.1 * draw;
}

void AddWorkers(FakeFleet& aFleet,
                const std::string& aDataCentre,
                std::size_t aCount,
                const Resources& aCapacity)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    FakeWorker worker;
    worker.mInstance.mName = aDataCentre + "-w" + std::to_string(i);
    worker.mInstance.mDataCentre = aDataCentre;
    worker.mInstance.mRack =
      aDataCentre + "-r" + std::to_string(i / kWorkersPerRack);
    worker.mInstance.mAddress = worker.mInstance.mName;
    worker.mInstance.mCapacity = aCapacity;
    worker.mServiceAddress =
      "127.0.0.1:" + std::to_string(kFirstPort + aFleet.mWorkers.size());
    aFleet.mWorkers[worker.mInstance.mName] = std::move(worker);
  }
}

std::optional<WorkerSyncReply> HandleSync(FakeFleet& aFleet,
                                          const std::string& aWorker,
                                          const WorkerSync& aSync,
                                          TimePoint aNow)
{
  const auto found = aFleet.mWorkers.find(aWorker);
  if (found == aFleet.mWorkers.end() || !found->second.mIsAlive) {
    return std::nullopt;
  }
  auto& worker = found->second;
  StepWorker(aFleet, worker, aNow);
  WorkerSyncReply reply;
  reply.mClock = aNow.count();
  auto& epoch = worker.mEpochs[aSync.mShard];
  if (aSync.mEpoch < epoch) {
    ++aFleet.mRefusedSyncs;
    reply.mStatus = SyncStatus::kStaleEpoch;
    return reply;
  }
  epoch = aSync.mEpoch;
  const bool isFirst = aSync.mNotAfter == 0;
  if (!isFirst && aSync.mNotAfter < aNow.count()) {
    ++aFleet.mRefusedSyncs;
    reply.mStatus = SyncStatus::kExpired;
    return reply;
  }
  if (!isFirst) {
    Obey(aFleet, worker, aSync, aNow);
  }
  reply.mVersion = worker.mVersion;
  reply.mIsFull = aSync.mSince == 0 || aSync.mSince > worker.mVersion;
  for (const auto& [name, task] : worker.mTasks) {
    const bool isNew = reply.mIsFull || task.mVersion > aSync.mSince;
    if (task.mShard == aSync.mShard && isNew) {
      reply.mTasks.push_back(ReportOf(worker, task));
    }
  }
  return reply;
}

void StepFleet(FakeFleet& aFleet, TimePoint aNow)
{
  for (auto& [name, worker] : aFleet.mWorkers) {
    if (worker.mIsAlive) {
      StepWorker(aFleet, worker, aNow);
    }
  }
}

void KillWorker(FakeFleet& aFleet, const std::string& aWorker, TimePoint aNow)
{
  auto& worker = aFleet.mWorkers.at(aWorker);
  worker.mIsAlive = false;
  for (auto& [name, task] : worker.mTasks) {
    if (task.mState == RunState::kRunning) {
      EndRun(aFleet, worker, task, RunState::kExpired, aNow);
    }
  }
  worker.mTasks.clear();
}

InstanceList ListInstances(const FakeFleet& aFleet)
{
  InstanceList list;
  list.mVersion = aFleet.mListVersion;
  for (const auto& [name, worker] : aFleet.mWorkers) {
    list.mInstances.push_back(worker.mInstance);
  }
  return list;
}

} // namespace verbenacroft
