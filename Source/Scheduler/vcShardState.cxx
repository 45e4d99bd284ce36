#include "vcShard.h"

/// Journalling of changes, runtime state derived from them, and the views of
/// a shard for users and routers.

namespace verbenacroft {

std::string BatchTaskName(const std::string& aJob, std::int64_t aIndex)
{
  return aJob + "/" + std::to_string(aIndex);
}

std::uint64_t ApplyAndJournal(Shard& aShard, const ShardRecord& aRecord)
{
  ApplyRecord(aShard.mData, aRecord);
  return Append(aShard.mJournal, EncodeValue(aRecord));
}

void EndTask(Shard& aShard,
             const std::string& aTask,
             TaskOutcome aOutcome,
             std::int64_t aCheckpoint,
             TimePoint aNow)
{
  const auto placed = aShard.mData.mPlaced.find(aTask);
  if (placed == aShard.mData.mPlaced.end()) {
    return;
  }
  const TaskRecord task = placed->second;
  auto& worker = aShard.mWorkers[task.mWorker];
  worker.mTasks.erase(aTask);
  worker.mCommitted -= task.mResources;
  worker.mStops.erase(aTask);
  worker.mThrottles.erase(aTask);
  worker.mTasksChangedAt = aNow;
  aShard.mLedger.mBackers[task.mBacker].mCommitted -= task.mResources;
  aShard.mTasks.erase(aTask);
  ++aShard.mTargetVersion;
  if (task.mKind == TaskKind::kBatch) {
    auto& job = aShard.mJobs[task.mOwner];
    --job.mPlacedTasks;
    job.mNextIndex = std::min(job.mNextIndex, task.mIndex);
    job.mWaitingSince = aNow;
  }
  ShardRecord record;
  record.mOp = ShardOp::kEnd;
  record.mName = aTask;
  record.mOutcome = aOutcome;
  record.mCheckpoint = aCheckpoint;
  const auto sequence = ApplyAndJournal(aShard, record);
  aShard.mDeferredActions.push_back(
    { sequence, aTask, task.mAttempt, task.mWorker });
  switch (aOutcome) {
    case TaskOutcome::kDone:
      ++aShard.mCounters.mDone;
      break;
    case TaskOutcome::kFailed:
      ++aShard.mCounters.mFailed;
      break;
    case TaskOutcome::kStopped:
      ++aShard.mCounters.mEvictions;
      break;
    case TaskOutcome::kLost:
      ++aShard.mCounters.mLost;
      break;
    case TaskOutcome::kNotStarted:
      break;
  }
}

void EndUnsentTasks(Shard& aShard, TimePoint aNow)
{
  std::vector<std::string> unsentTasks;
  for (const auto& [name, runtime] : aShard.mTasks) {
    const bool isWaiting = runtime.mPhase == TaskPhase::kDeferred ||
                           runtime.mPhase == TaskPhase::kSending;
    const auto& task = aShard.mData.mPlaced.at(name);
    if (isWaiting && !runtime.mWasSent &&
        aShard.mWorkers[task.mWorker].mIsInventoried) {
      unsentTasks.push_back(name);
    }
  }
  for (const auto& name : unsentTasks) {
    EndTask(aShard,
            name,
            TaskOutcome::kNotStarted,
            aShard.mTasks[name].mCheckpoint,
            aNow);
  }
}

void RebuildRuntime(Shard& aShard, TimePoint aNow)
{
  aShard.mTasks.clear();
  aShard.mJobs.clear();
  aShard.mDeferredActions.clear();
  aShard.mLedger = {};
  for (auto& [name, worker] : aShard.mWorkers) {
    worker.mTasks.clear();
    worker.mCommitted = {};
    worker.mIsInventoried = false;
  }
  for (const auto& [name, job] : aShard.mData.mJobs) {
    aShard.mJobs[name].mWaitingSince = aNow;
  }
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    auto& worker = aShard.mWorkers[task.mWorker];
    worker.mTasks.insert(name);
    worker.mCommitted += task.mResources;
    aShard.mLedger.mBackers[task.mBacker].mCommitted += task.mResources;
    auto& runtime = aShard.mTasks[name];
    runtime.mPhase = TaskPhase::kSending;
    runtime.mPlacedAt = aNow;
    runtime.mCheckpoint = task.mCheckpoint;
    if (task.mKind == TaskKind::kBatch) {
      ++aShard.mJobs[task.mOwner].mPlacedTasks;
    }
  }
}

void UpdateWorkers(Shard& aShard,
                   const std::vector<Instance>& aInstances,
                   TimePoint aNow)
{
  std::set<std::string> listed;
  for (const auto& instance : aInstances) {
    listed.insert(instance.mName);
    auto& worker = aShard.mWorkers[instance.mName];
    if (worker.mInstance.mAddress != instance.mAddress) {
      worker.mClock.reset();
      worker.mIsInventoried = false;
    }
    worker.mInstance = instance;
    worker.mIsListed = true;
  }
  std::vector<std::string> endedTasks;
  for (auto& [name, worker] : aShard.mWorkers) {
    if (listed.contains(name)) {
      continue;
    }
    // The platform lists an instance until it has ended, so an instance that
    // is no longer listed runs nothing.
    const bool wasListed = worker.mIsListed && !worker.mInstance.mName.empty();
    worker.mIsListed = false;
    if (wasListed || !worker.mTasks.empty()) {
      endedTasks.insert(
        endedTasks.end(), worker.mTasks.begin(), worker.mTasks.end());
    }
  }
  for (const auto& task : endedTasks) {
    EndTask(
      aShard, task, TaskOutcome::kLost, aShard.mTasks[task].mCheckpoint, aNow);
  }
  std::erase_if(aShard.mWorkers, [](const auto& aEntry) {
    return !aEntry.second.mIsListed && aEntry.second.mTasks.empty() &&
           aEntry.second.mForgets.empty();
  });
}

void RunDurableActions(Shard& aShard)
{
  auto& deferred = aShard.mDeferredActions;
  while (!deferred.empty() &&
         deferred.front().mSequence <= aShard.mJournal.mDurable) {
    const DeferredAction item = std::move(deferred.front());
    deferred.pop_front();
    if (!item.mForgetWorker.empty()) {
      const auto worker = aShard.mWorkers.find(item.mForgetWorker);
      if (worker != aShard.mWorkers.end()) {
        worker->second.mForgets[item.mTask] = { item.mAttempt, {} };
      }
      continue;
    }
    const auto task = aShard.mTasks.find(item.mTask);
    if (task != aShard.mTasks.end() &&
        task->second.mPhase == TaskPhase::kDeferred) {
      task->second.mPhase = TaskPhase::kSending;
    }
  }
}

JobStatus StatusOf(const Shard& aShard, const JobRecord& aJob)
{
  JobStatus status;
  status.mName = aJob.mSpec.mName;
  status.mBacker = aJob.mSpec.mBacker;
  status.mState = aJob.mState;
  status.mReason = aJob.mReason;
  status.mTasks = aJob.mSpec.mTasks;
  status.mDone = CountDoneTasks(aJob);
  status.mShard = aShard.mName;
  const auto runtime = aShard.mJobs.find(aJob.mSpec.mName);
  if (runtime != aShard.mJobs.end()) {
    status.mRunning = runtime->second.mPlacedTasks;
  }
  return status;
}

TargetTable TargetsOf(const Shard& aShard, TimePoint aNow)
{
  TargetTable table;
  table.mShard = aShard.mName;
  table.mEpoch = aShard.mEpoch;
  table.mVersion = aShard.mTargetVersion;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    const auto runtime = aShard.mTasks.find(name);
    const bool isServing = task.mKind == TaskKind::kService &&
                           runtime != aShard.mTasks.end() &&
                           !runtime->second.mAddress.empty();
    if (!isServing) {
      continue;
    }
    Target target;
    target.mTask = name;
    target.mService = task.mOwner;
    target.mInstance = task.mWorker;
    target.mAddress = runtime->second.mAddress;
    target.mSlots = task.mResources.mSlots;
    const auto& leaveAt = runtime->second.mLeaveAt;
    const auto worker = aShard.mWorkers.find(task.mWorker);
    const bool isUnreachable =
      worker == aShard.mWorkers.end() || worker->second.mIsUnreachable;
    target.mIsLeaving = (leaveAt && *leaveAt <= aNow) || isUnreachable;
    table.mTargets.push_back(std::move(target));
  }
  return table;
}

Resources TotalCapacity(const Shard& aShard)
{
  Resources total;
  for (const auto& [name, worker] : aShard.mWorkers) {
    if (worker.mIsListed) {
      total += worker.mInstance.mCapacity;
    }
  }
  return total;
}

} // namespace verbenacroft
