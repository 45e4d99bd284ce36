#include "vcShard.h"

#include <algorithm>

/// Calls to the workers of a shard, which renew leases and start and stop
/// tasks, and handling of the task reports in the replies.

namespace verbenacroft {

namespace {

/// Maximum number of attempts that one call tells a worker to forget.
constexpr std::size_t kMaxForgetsPerSync = 200;
/// Maximum age of the measurements in a report. Interference is learned only
/// from workers whose set of tasks has not changed for this time, since older
/// measurements belong to another set.
constexpr Duration kMaxReportAge{ 5'000 };
/// Number of jobs that must fail on a worker before it is quarantined.
constexpr std::size_t kMinFailedJobsForQuarantine = 3;
/// Length of the first quarantine. Each further one before a task succeeds
/// is twice as long.
constexpr Duration kMinQuarantine{ 5'000 };
/// Maximum length of a quarantine.
constexpr Duration kMaxQuarantine{ 300'000 };

/// Estimates the worker's clock, in milliseconds, from its last reply. The
/// estimate is never ahead of the worker's clock. `mClock` must be set.
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

/// Adds the starts that are due to the call. Each is valid until the call's
/// delay limit or the start limit, whichever is earlier.
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
  const auto limit =
    std::min(aContext.mStartLimit - aContext.mNow, kMaxSyncDelay);
  const auto notAfter = WorkerClock(aWorker, aContext.mNow) + limit.count();
  for (const auto& name : aWorker.mTasks) {
    auto& runtime = aShard.mTasks[name];
    const auto& task = aShard.mData.mPlaced.at(name);
    if (runtime.mPhase != TaskPhase::kSending ||
        !ShouldTaskRun(aShard, aContext, task)) {
      continue;
    }
    runtime.mWasSent = true;
    runtime.mLastNotAfter = notAfter;
    aSync.mStarts.push_back(MakeStart(aShard, task, notAfter));
  }
}

/// Adds the attempts that the worker may forget to the call.
void AddForgets(WorkerRuntime& aWorker, TimePoint aNow, WorkerSync& aSync)
{
  const auto clock = WorkerClock(aWorker, aNow);
  for (auto& [task, item] : aWorker.mForgets) {
    if (!item.mNotBefore) {
      item.mNotBefore = clock + kMaxSyncDelay.count();
    }
    if (clock > *item.mNotBefore &&
        aSync.mForgets.size() < kMaxForgetsPerSync) {
      aSync.mForgets.push_back({ task, item.mAttempt });
    }
  }
}

/// Builds the next call to the worker. Before the worker's clock is known it
/// only asks for a reply, and an unreachable worker gets no lease, so that
/// the leases it holds expire.
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
  sync.mNotAfter = WorkerClock(aWorker, aContext.mNow) + kMaxSyncDelay.count();
  if (aWorker.mIsUnreachable) {
    return sync;
  }
  sync.mLeaseMs = kTaskLease.count();
  aWorker.mLeaseLimit =
    aContext.mNow + kMaxSyncDelay + kTaskLease + kLeaseMargin;
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

/// Returns true if a start may be sent now that has never been sent.
bool HasUnsentStart(const Shard& aShard,
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

/// Returns true if the worker has to be called now. Before the first
/// inventory and for new starts, calls are more frequent.
bool IsSyncDue(const Shard& aShard,
               const WorkerRuntime& aWorker,
               const ShardContext& aContext)
{
  if (aWorker.mSyncCall != 0 || aWorker.mInstance.mAddress.empty()) {
    return false;
  }
  constexpr Duration kShortInterval{ 50 };
  const auto age = aContext.mNow - aWorker.mSyncSentAt;
  const bool needsInventory = !aWorker.mClock || !aWorker.mIsInventoried;
  const auto interval = needsInventory && aWorker.mMissedSyncs == 0
                          ? kShortInterval
                          : kSyncInterval;
  return age >= interval ||
         (age >= kShortInterval && HasUnsentStart(aShard, aWorker, aContext));
}

/// Ends the tasks of an unreachable worker once every lease that it was
/// given has expired.
void EndExpiredTasks(Shard& aShard, WorkerRuntime& aWorker, TimePoint aNow)
{
  const bool isExpired = aWorker.mIsUnreachable && aWorker.mIsInventoried &&
                         aNow >= aWorker.mLeaseLimit;
  if (!isExpired) {
    return;
  }
  const std::set<std::string> tasks = aWorker.mTasks;
  for (const auto& task : tasks) {
    EndTask(
      aShard, task, TaskOutcome::kLost, aShard.mTasks[task].mCheckpoint, aNow);
  }
}

/// Counts a call without a reply. At the limit the worker counts as
/// unreachable, which changes the targets.
void RecordMissedSync(Shard& aShard, WorkerRuntime& aWorker)
{
  ++aWorker.mMissedSyncs;
  if (aWorker.mMissedSyncs >= kMaxMissedSyncs && !aWorker.mIsUnreachable) {
    aWorker.mIsUnreachable = true;
    ++aShard.mTargetVersion;
  }
}

/// Counts the jobs whose failures may be caused by the worker.
std::size_t CountSuspectFailures(const Shard& aShard,
                                 const WorkerRuntime& aWorker)
{
  // A job that also failed on other workers is no evidence against this one.
  return static_cast<std::size_t>(
    std::count_if(aWorker.mFailedJobs.begin(),
                  aWorker.mFailedJobs.end(),
                  [&](const auto& aJob) {
                    const auto job = aShard.mJobs.find(aJob);
                    return job == aShard.mJobs.end() ||
                           job->second.mFailedWorkers.size() <= 1;
                  }));
}

/// Records a failed batch task and quarantines the worker if too many jobs
/// failed there or the worker was on probation.
void RecordFailure(Shard& aShard,
                   WorkerRuntime& aWorker,
                   const TaskRecord& aTask,
                   TimePoint aNow)
{
  aShard.mJobs[aTask.mOwner].mFailedWorkers.insert(aTask.mWorker);
  aWorker.mFailedJobs.insert(aTask.mOwner);
  const bool isOnProbation = aWorker.mQuarantineBackoff > Duration{ 0 };
  if (!isOnProbation &&
      CountSuspectFailures(aShard, aWorker) < kMinFailedJobsForQuarantine) {
    return;
  }
  aWorker.mQuarantineBackoff =
    std::clamp(aWorker.mQuarantineBackoff * 2, kMinQuarantine, kMaxQuarantine);
  aWorker.mQuarantinedUntil = aNow + aWorker.mQuarantineBackoff;
  ++aShard.mCounters.mQuarantines;
}

void RecordSuccess(WorkerRuntime& aWorker)
{
  aWorker.mFailedJobs.clear();
  aWorker.mQuarantineBackoff = Duration{ 0 };
}

std::vector<Neighbour> NeighboursOf(const Shard& aShard,
                                    const WorkerRuntime& aWorker,
                                    const std::string& aTask)
{
  std::vector<Neighbour> neighbours;
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aWorker.mInstance.mCapacity.mMilliCpu, 1));
  for (const auto& name : aWorker.mTasks) {
    if (name == aTask) {
      continue;
    }
    const auto& task = aShard.mData.mPlaced.at(name);
    neighbours.push_back(
      { InterferenceKindOf(task.mOwner),
        static_cast<double>(task.mResources.mMilliCpu) / capacity });
  }
  return neighbours;
}

/// Updates the sizing and interference models from a report.
void UpdateModels(Shard& aShard,
                  const WorkerRuntime& aWorker,
                  const TaskRecord& aTask,
                  const TaskReport& aReport,
                  TimePoint aNow)
{
  constexpr double kPercent = 100.0;
  if (aReport.mUsage.mMilliCpu <= 0) {
    return;
  }
  UpdateSizeEstimate(aShard.mSizing, aTask.mOwner, aReport.mUsage);
  if (aNow - aWorker.mTasksChangedAt < kMaxReportAge) {
    return;
  }
  LearnInterference(aShard.mInterference,
                    InterferenceKindOf(aTask.mOwner),
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
    aWorker.mTasksChangedAt = aNow;
  }
  if (runtime.mAddress != aReport.mAddress) {
    runtime.mAddress = aReport.mAddress;
    ++aShard.mTargetVersion;
  }
  runtime.mUsage = aReport.mUsage;
  runtime.mSlowdown = aReport.mSlowdown;
  runtime.mCheckpoint = std::max(runtime.mCheckpoint, aReport.mCheckpoint);
  UpdateModels(aShard, aWorker, aTask, aReport, aNow);
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
    RecordFailure(aShard, aWorker, aTask, aNow);
  } else if (outcome == TaskOutcome::kDone) {
    RecordSuccess(aWorker);
  }
  EndTask(aShard, aTask.mTask, outcome, aReport.mCheckpoint, aNow);
}

/// Handles a run that is not placed on this worker according to the journal,
/// which means that its end was journalled. A running one is stopped; an
/// ended one may be forgotten.
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
    // The report is of an earlier attempt. The worker replaces it when the
    // current attempt starts.
    return;
  }
  if (aReport.mState == RunState::kRunning) {
    OnRunning(aShard, aWorker, task, aReport, aNow);
  } else {
    OnEnded(aShard, aWorker, task, aReport, aNow);
  }
}

/// Ends placed tasks that are missing from a full inventory. Such a task does
/// not run, unless its start record is not durable yet, or this owner has sent
/// its start, which can still arrive.
void EndMissingTasks(Shard& aShard,
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

/// Ends tasks that should no longer be started and that have not run: either
/// the start was never sent, or the worker has never reported the task and
/// its clock has passed the limit of the start.
void EndUnstartedTasks(Shard& aShard,
                       WorkerRuntime& aWorker,
                       const ShardContext& aContext)
{
  const std::set<std::string> tasks = aWorker.mTasks;
  for (const auto& name : tasks) {
    const auto& runtime = aShard.mTasks[name];
    const bool cannotStart =
      !runtime.mWasSent || *aWorker.mClock > runtime.mLastNotAfter;
    const bool isWanted =
      ShouldTaskRun(aShard, aContext, aShard.mData.mPlaced.at(name));
    if (runtime.mPhase == TaskPhase::kSending && !isWanted && cannotStart) {
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
      EndExpiredTasks(aShard, worker, aContext.mNow);
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
    RecordMissedSync(aShard, worker);
    return;
  }
  if (aReply->mStatus == SyncStatus::kStaleEpoch) {
    ++worker.mRefusedSyncs;
    return;
  }
  worker.mClock = aReply->mClock;
  worker.mClockReadAt = aContext.mNow;
  if (worker.mMissedSyncs >= kMaxMissedSyncs) {
    ++aShard.mTargetVersion;
  }
  worker.mMissedSyncs = 0;
  worker.mIsUnreachable = false;
  if (aReply->mStatus == SyncStatus::kExpired) {
    ++worker.mRefusedSyncs;
    return;
  }
  if (!aContext.mIsOwner) {
    // The call renewed the leases. The reports are ignored, since the next
    // owner reads the full inventory again.
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
    EndMissingTasks(aShard, worker, *aReply, aContext.mNow);
    worker.mIsInventoried = true;
  }
  for (const auto& report : aReply->mTasks) {
    OnReport(aShard, aWorker, worker, report, aContext.mNow);
  }
  EndUnstartedTasks(aShard, worker, aContext);
}

} // namespace verbenacroft
