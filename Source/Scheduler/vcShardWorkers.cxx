#include "vcShard.h"

#include <algorithm>

/// Calls to the workers of a shard: leases, starts, stops and what the
/// replies say of the tasks.

namespace verbenacroft {

namespace {

constexpr std::size_t kMaxForgetsPerSync = 200;
/// Reports lag by up to this; they say nothing of a younger composition.
constexpr Duration kReportLag{ 5'000 };
constexpr std::size_t kQuarantineJobs = 3;
constexpr Duration kFirstBackoff{ 5'000 };
constexpr Duration kLongestBackoff{ 300'000 };

/// Estimate of the worker's clock now; never ahead of it.
std::int64_t WorkerClock(const WorkerRuntime& aWorker, TimePoint aNow)
{
  return *aWorker.mClock + (aNow - aWorker.mClockReadAt).count();
}

TaskStart MakeStart(const Shard& aShard,
                    const TaskRecord& aTask,
                    std::int64_t aNotAfter)
{
  TaskStart start;
  start.mTask = aTask.mTask;
  start.mAttempt = aTask.mAttempt;
  start.mKind = aTask.mKind;
  start.mOwner = aTask.mOwner;
  start.mResources = aTask.mResources;
  start.mCheckpoint = aTask.mCheckpoint;
  start.mNotAfter = aNotAfter;
  const auto job = aShard.mData.mJobs.find(aTask.mOwner);
  if (aTask.mKind == TaskKind::kBatch && job != aShard.mData.mJobs.end()) {
    start.mRunMs = job->second.mSpec.mRunMs;
  }
  return start;
}

void AddStarts(Shard& aShard,
               const WorkerRuntime& aWorker,
               const ShardContext& aContext,
               WorkerSync& aSync)
{
  const bool mayStart = aContext.mIsOwner && aWorker.mIsInventoried &&
                        aContext.mStartLimit > aContext.mNow;
  if (!mayStart) {
    return;
  }
  const auto limit = std::min(aContext.mStartLimit - aContext.mNow, kSyncLimit);
  const auto notAfter = WorkerClock(aWorker, aContext.mNow) + limit.count();
  for (const auto& name : aWorker.mTasks) {
    auto& runtime = aShard.mTasks[name];
    const auto& task = aShard.mData.mPlaced.at(name);
    if (runtime.mPhase != TaskPhase::kSending ||
        !IsWanted(aShard, aContext, task)) {
      continue;
    }
    runtime.mWasSent = true;
    runtime.mLastNotAfter = notAfter;
    aSync.mStarts.push_back(MakeStart(aShard, task, notAfter));
  }
}

void AddForgets(WorkerRuntime& aWorker, TimePoint aNow, WorkerSync& aSync)
{
  const auto clock = WorkerClock(aWorker, aNow);
  for (auto& [task, item] : aWorker.mForgets) {
    if (!item.mNotBefore) {
      item.mNotBefore = clock + kSyncLimit.count();
    }
    if (clock > *item.mNotBefore &&
        aSync.mForgets.size() < kMaxForgetsPerSync) {
      aSync.mForgets.push_back({ task, item.mAttempt });
    }
  }
}

WorkerSync MakeSync(Shard& aShard,
                    WorkerRuntime& aWorker,
                    const ShardContext& aContext)
{
  WorkerSync sync;
  sync.mShard = aShard.mName;
  sync.mEpoch = aShard.mEpoch;
  sync.mSince = aWorker.mIsInventoried ? aWorker.mVersion : 0;
  if (!aWorker.mClock) {
    return sync;
  }
  sync.mNotAfter = WorkerClock(aWorker, aContext.mNow) + kSyncLimit.count();
  if (aWorker.mIsGivenUp) {
    return sync;
  }
  sync.mLeaseMs = kTaskLease.count();
  aWorker.mLeaseLimit = aContext.mNow + kSyncLimit + kTaskLease + kLeaseMargin;
  AddStarts(aShard, aWorker, aContext, sync);
  for (const auto& [task, attempt] : aWorker.mStops) {
    sync.mStops.push_back({ task, attempt });
  }
  for (const auto& [task, percent] : aWorker.mThrottles) {
    sync.mThrottles.push_back({ task, percent });
  }
  AddForgets(aWorker, aContext.mNow, sync);
  aWorker.mForgetsSent = sync.mForgets;
  return sync;
}

bool HasUrgentWork(const Shard& aShard,
                   const WorkerRuntime& aWorker,
                   const ShardContext& aContext)
{
  if (!aWorker.mClock) {
    return false;
  }
  const bool mayStart = aContext.mIsOwner && aWorker.mIsInventoried &&
                        aContext.mStartLimit > aContext.mNow;
  return std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const auto& aName) {
      const auto found = aShard.mTasks.find(aName);
      return found != aShard.mTasks.end() && mayStart &&
             found->second.mPhase == TaskPhase::kSending &&
             !found->second.mWasSent;
    });
}

bool IsSyncDue(const Shard& aShard,
               const WorkerRuntime& aWorker,
               const ShardContext& aContext)
{
  if (aWorker.mSyncCall != 0 || aWorker.mInstance.mAddress.empty()) {
    return false;
  }
  constexpr Duration kUrgentInterval{ 50 };
  const auto age = aContext.mNow - aWorker.mSyncSentAt;
  const bool isFirst = !aWorker.mClock || !aWorker.mIsInventoried;
  const auto interval =
    isFirst && aWorker.mMissed == 0 ? kUrgentInterval : kSyncInterval;
  return age >= interval ||
         (age >= kUrgentInterval && HasUrgentWork(aShard, aWorker, aContext));
}

/// Ends the tasks of a worker that is out of reach once every lease that
/// it was given has ended.
void ExpireWorker(Shard& aShard, WorkerRuntime& aWorker, TimePoint aNow)
{
  const bool isOver =
    aWorker.mIsGivenUp && aWorker.mIsInventoried && aNow >= aWorker.mLeaseLimit;
  if (!isOver) {
    return;
  }
  const std::set<std::string> tasks = aWorker.mTasks;
  for (const auto& task : tasks) {
    EndTask(
      aShard, task, TaskOutcome::kLost, aShard.mTasks[task].mCheckpoint, aNow);
  }
}

void NoteMiss(Shard& aShard, WorkerRuntime& aWorker)
{
  ++aWorker.mMissed;
  if (aWorker.mMissed >= kMissedLimit && !aWorker.mIsGivenUp) {
    aWorker.mIsGivenUp = true;
    ++aShard.mTargetVersion;
  }
}

std::size_t SuspectFailures(const Shard& aShard, const WorkerRuntime& aWorker)
{
  // A job that also failed elsewhere says nothing against this worker.
  return static_cast<std::size_t>(std::count_if(
    aWorker.mFailedJobs.begin(),
    aWorker.mFailedJobs.end(),
    [&](const auto& aJob) {
      const auto job = aShard.mJobs.find(aJob);
      return job == aShard.mJobs.end() || job->second.mFailedOn.size() <= 1;
    }));
}

void NoteFailure(Shard& aShard,
                 WorkerRuntime& aWorker,
                 const TaskRecord& aTask,
                 TimePoint aNow)
{
  aShard.mJobs[aTask.mOwner].mFailedOn.insert(aTask.mWorker);
  aWorker.mFailedJobs.insert(aTask.mOwner);
  const bool isProbe = aWorker.mQuarantineBackoff > Duration{ 0 };
  if (!isProbe && SuspectFailures(aShard, aWorker) < kQuarantineJobs) {
    return;
  }
  aWorker.mQuarantineBackoff =
    std::clamp(aWorker.mQuarantineBackoff * 2, kFirstBackoff, kLongestBackoff);
  aWorker.mQuarantinedUntil = aNow + aWorker.mQuarantineBackoff;
  ++aShard.mCounters.mQuarantines;
}

void NoteSuccess(WorkerRuntime& aWorker)
{
  aWorker.mFailedJobs.clear();
  aWorker.mQuarantineBackoff = Duration{ 0 };
}

std::vector<Neighbour> NeighboursOf(const Shard& aShard,
                                    const WorkerRuntime& aWorker,
                                    const std::string& aTask)
{
  std::vector<Neighbour> neighbours;
  const auto whole = static_cast<double>(
    std::max<std::int64_t>(aWorker.mInstance.mCapacity.mMilliCpu, 1));
  for (const auto& name : aWorker.mTasks) {
    if (name == aTask) {
      continue;
    }
    const auto& task = aShard.mData.mPlaced.at(name);
    neighbours.push_back(
      { KindOf(task.mOwner),
        static_cast<double>(task.mResources.mMilliCpu) / whole });
  }
  return neighbours;
}

void LearnFrom(Shard& aShard,
               const WorkerRuntime& aWorker,
               const TaskRecord& aTask,
               const TaskReport& aReport,
               TimePoint aNow)
{
  constexpr double kPercent = 100.0;
  if (aReport.mUsage.mMilliCpu <= 0) {
    return;
  }
  LearnSize(aShard.mSizing, aTask.mOwner, aReport.mUsage);
  if (aNow - aWorker.mCompositionChangedAt < kReportLag) {
    return;
  }
  Learn(aShard.mInterference,
        KindOf(aTask.mOwner),
        NeighboursOf(aShard, aWorker, aTask.mTask),
        static_cast<double>(aReport.mSlowdown) / kPercent - 1.0,
        aNow);
}

void OnRunning(Shard& aShard,
               WorkerRuntime& aWorker,
               const TaskRecord& aTask,
               const TaskReport& aReport,
               TimePoint aNow)
{
  auto& runtime = aShard.mTasks[aTask.mTask];
  if (runtime.mPhase == TaskPhase::kSending) {
    runtime.mPhase = TaskPhase::kRunning;
    ++aShard.mCounters.mStarts;
    aWorker.mCompositionChangedAt = aNow;
  }
  if (runtime.mAddress != aReport.mAddress) {
    runtime.mAddress = aReport.mAddress;
    ++aShard.mTargetVersion;
  }
  runtime.mUsage = aReport.mUsage;
  runtime.mSlowdown = aReport.mSlowdown;
  runtime.mCheckpoint = std::max(runtime.mCheckpoint, aReport.mCheckpoint);
  LearnFrom(aShard, aWorker, aTask, aReport, aNow);
}

TaskOutcome OutcomeOf(RunState aState)
{
  switch (aState) {
    case RunState::kFinished:
      return TaskOutcome::kDone;
    case RunState::kFailed:
      return TaskOutcome::kFailed;
    case RunState::kStopped:
      return TaskOutcome::kStopped;
    default:
      return TaskOutcome::kLost;
  }
}

void OnEnded(Shard& aShard,
             WorkerRuntime& aWorker,
             const TaskRecord& aTask,
             const TaskReport& aReport,
             TimePoint aNow)
{
  const auto outcome = OutcomeOf(aReport.mState);
  if (aTask.mKind == TaskKind::kBatch && outcome == TaskOutcome::kFailed) {
    NoteFailure(aShard, aWorker, aTask, aNow);
  } else if (outcome == TaskOutcome::kDone) {
    NoteSuccess(aWorker);
  }
  EndTask(aShard, aTask.mTask, outcome, aReport.mCheckpoint, aNow);
}

/// A run that the journal does not know: one whose end is on record.
void OnUnknownRun(Shard& aShard,
                  WorkerRuntime& aWorker,
                  const TaskReport& aReport)
{
  if (aReport.mState == RunState::kRunning) {
    ++aShard.mCounters.mUnknownRuns;
    aWorker.mStops[aReport.mTask] = aReport.mAttempt;
  } else {
    aWorker.mStops.erase(aReport.mTask);
    auto& item = aWorker.mForgets[aReport.mTask];
    if (item.mAttempt != aReport.mAttempt) {
      item = { aReport.mAttempt, {} };
    }
  }
}

void OnReport(Shard& aShard,
              const std::string& aWorkerName,
              WorkerRuntime& aWorker,
              const TaskReport& aReport,
              TimePoint aNow)
{
  const auto placed = aShard.mData.mPlaced.find(aReport.mTask);
  const bool isPlacedHere = placed != aShard.mData.mPlaced.end() &&
                            placed->second.mWorker == aWorkerName;
  if (!isPlacedHere) {
    OnUnknownRun(aShard, aWorker, aReport);
    return;
  }
  const TaskRecord task = placed->second;
  if (task.mAttempt != aReport.mAttempt) {
    // The record of an earlier attempt; the worker replaces it on a start.
    return;
  }
  if (aReport.mState == RunState::kRunning) {
    OnRunning(aShard, aWorker, task, aReport, aNow);
  } else {
    OnEnded(aShard, aWorker, task, aReport, aNow);
  }
}

/// With a whole inventory, a placed task that is not in it does not run,
/// unless a start that was sent can still arrive.
void EndAbsent(Shard& aShard,
               WorkerRuntime& aWorker,
               const WorkerSyncReply& aReply,
               TimePoint aNow)
{
  std::set<std::pair<std::string, std::uint32_t>> present;
  for (const auto& report : aReply.mTasks) {
    present.insert({ report.mTask, report.mAttempt });
  }
  const std::set<std::string> tasks = aWorker.mTasks;
  for (const auto& name : tasks) {
    const auto& task = aShard.mData.mPlaced.at(name);
    const auto& runtime = aShard.mTasks[name];
    const bool mayArrive =
      runtime.mPhase == TaskPhase::kDeferred ||
      (runtime.mWasSent && runtime.mPhase == TaskPhase::kSending);
    if (!present.contains({ name, task.mAttempt }) && !mayArrive) {
      EndTask(aShard, name, TaskOutcome::kLost, runtime.mCheckpoint, aNow);
    }
  }
}

/// A start that is no longer wanted has not run if it was never sent, or if
/// the worker refuses it by now and never showed it.
void EndUnstarted(Shard& aShard,
                  WorkerRuntime& aWorker,
                  const ShardContext& aContext)
{
  const std::set<std::string> tasks = aWorker.mTasks;
  for (const auto& name : tasks) {
    const auto& runtime = aShard.mTasks[name];
    const bool isRefused =
      !runtime.mWasSent || *aWorker.mClock > runtime.mLastNotAfter;
    const bool isWanted =
      IsWanted(aShard, aContext, aShard.mData.mPlaced.at(name));
    if (runtime.mPhase == TaskPhase::kSending && !isWanted && isRefused) {
      EndTask(aShard,
              name,
              TaskOutcome::kNotStarted,
              runtime.mCheckpoint,
              aContext.mNow);
    }
  }
}

} // namespace

void StopTask(Shard& aShard, const std::string& aTask)
{
  const auto placed = aShard.mData.mPlaced.find(aTask);
  if (placed == aShard.mData.mPlaced.end()) {
    return;
  }
  auto& runtime = aShard.mTasks[aTask];
  if (runtime.mPhase == TaskPhase::kRunning) {
    runtime.mPhase = TaskPhase::kStopping;
    auto& worker = aShard.mWorkers[placed->second.mWorker];
    worker.mStops[aTask] = placed->second.mAttempt;
  }
}

void SyncWorkers(Shard& aShard,
                 const ShardContext& aContext,
                 std::uint64_t& aNextCall,
                 std::vector<WorkerCall>& aCalls)
{
  for (auto& [name, worker] : aShard.mWorkers) {
    if (aContext.mIsOwner) {
      ExpireWorker(aShard, worker, aContext.mNow);
    }
    if (!IsSyncDue(aShard, worker, aContext)) {
      continue;
    }
    WorkerCall call;
    call.mId = aNextCall++;
    call.mShard = aShard.mName;
    call.mWorker = name;
    call.mAddress = worker.mInstance.mAddress;
    call.mSync = MakeSync(aShard, worker, aContext);
    worker.mSyncCall = call.mId;
    worker.mSyncSentAt = aContext.mNow;
    aCalls.push_back(std::move(call));
  }
}

void OnSyncReply(Shard& aShard,
                 const std::string& aWorker,
                 const std::optional<WorkerSyncReply>& aReply,
                 const ShardContext& aContext)
{
  auto& worker = aShard.mWorkers[aWorker];
  worker.mSyncCall = 0;
  if (!aReply) {
    NoteMiss(aShard, worker);
    return;
  }
  if (aReply->mStatus == SyncStatus::kStaleEpoch) {
    ++worker.mRefusedSyncs;
    return;
  }
  worker.mClock = aReply->mClock;
  worker.mClockReadAt = aContext.mNow;
  if (worker.mMissed >= kMissedLimit) {
    ++aShard.mTargetVersion;
  }
  worker.mMissed = 0;
  worker.mIsGivenUp = false;
  if (aReply->mStatus == SyncStatus::kExpired) {
    ++worker.mRefusedSyncs;
    return;
  }
  if (!aContext.mIsOwner) {
    // Leases go on; what the reply says is read again by the next owner.
    worker.mIsInventoried = false;
    return;
  }
  if (aReply->mVersion < worker.mVersion && !aReply->mIsFull) {
    worker.mIsInventoried = false;
    return;
  }
  if (!aReply->mIsFull && !worker.mIsInventoried) {
    return;
  }
  worker.mVersion = aReply->mVersion;
  for (const auto& forgotten : worker.mForgetsSent) {
    const auto found = worker.mForgets.find(forgotten.mTask);
    if (found != worker.mForgets.end() &&
        found->second.mAttempt == forgotten.mAttempt) {
      worker.mForgets.erase(found);
    }
  }
  worker.mForgetsSent.clear();
  if (aReply->mIsFull) {
    EndAbsent(aShard, worker, *aReply, aContext.mNow);
    worker.mIsInventoried = true;
  }
  for (const auto& report : aReply->mTasks) {
    OnReport(aShard, aWorker, worker, report, aContext.mNow);
  }
  EndUnstarted(aShard, worker, aContext);
}

} // namespace verbenacroft
