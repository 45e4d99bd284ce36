#include "vcShardPlan.h"

#include <algorithm>

/// Planning of a shard by its owner: drains, unwanted tasks, final states of
/// jobs, and the order of the planning steps.

namespace verbenacroft {

namespace {

/// Time between a drain of the data centre and the stop of its batch tasks.
/// It is longer than `kRouteRemovalDelay`, so that routes are removed first.
constexpr Duration kBatchDrainDelay{ 1'500 };

void UpdateDrainState(Shard& aShard, const ShardContext& aContext)
{
  const bool isDrained =
    IsDrained(*aContext.mConfiguration, aContext.mDataCentre);
  if (isDrained && !aShard.mDrainedSince) {
    aShard.mDrainedSince = aContext.mNow;
  } else if (!isDrained && aShard.mDrainedSince) {
    aShard.mDrainedSince.reset();
    aShard.mRestoredAt = aContext.mNow;
  }
}

void SetJobState(Shard& aShard,
                 const std::string& aJob,
                 JobState aState,
                 const std::string& aReason)
{
  ShardRecord record;
  record.mOp = ShardOp::kJobState;
  record.mName = aJob;
  record.mState = aState;
  record.mReason = aReason;
  ApplyAndJournal(aShard, record);
}

/// Once the data centre has been drained for `kBatchDrainDelay`, stops all
/// batch tasks with a checkpoint and marks the jobs that may run in another
/// data centre as moving. The other jobs wait here.
void DrainJobs(Shard& aShard, const ShardContext& aContext)
{
  if (!aShard.mDrainedSince ||
      aContext.mNow - *aShard.mDrainedSince < kBatchDrainDelay) {
    return;
  }
  std::vector<std::string> movingJobs;
  for (const auto& [name, job] : aShard.mData.mJobs) {
    if (job.mState == JobState::kActive &&
        !EligibleDataCentres(job.mSpec, *aContext.mConfiguration).empty()) {
      movingJobs.push_back(name);
    }
  }
  for (const auto& name : movingJobs) {
    SetJobState(aShard, name, JobState::kMoving, "data centre drained");
  }
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind == TaskKind::kBatch) {
      StopTask(aShard, name);
    }
  }
}

/// Stops batch tasks on leaving workers and of jobs that are not active. In a
/// drained data centre, running tasks are left to `DrainJobs`, which stops
/// them after a delay. Tasks whose start was never sent are ended at once.
void StopUnwanted(Shard& aShard, const ShardContext& aContext)
{
  std::vector<std::string> stops;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind == TaskKind::kBatch &&
        !ShouldTaskRun(aShard, aContext, task)) {
      stops.push_back(name);
    }
  }
  for (const auto& name : stops) {
    if (!IsDrained(*aContext.mConfiguration, aContext.mDataCentre)) {
      StopTask(aShard, name);
    }
    const auto& task = aShard.mData.mPlaced.at(name);
    const auto& runtime = aShard.mTasks[name];
    if (runtime.mPhase == TaskPhase::kSending && !runtime.mWasSent &&
        aShard.mWorkers[task.mWorker].mIsInventoried) {
      EndTask(aShard,
              name,
              TaskOutcome::kNotStarted,
              runtime.mCheckpoint,
              aContext.mNow);
    }
  }
}

} // namespace

bool ShouldTaskRun(const Shard& aShard,
                   const ShardContext& aContext,
                   const TaskRecord& aTask)
{
  if (IsDrained(*aContext.mConfiguration, aContext.mDataCentre)) {
    return false;
  }
  const auto worker = aShard.mWorkers.find(aTask.mWorker);
  if (worker == aShard.mWorkers.end() || !worker->second.mIsListed ||
      worker->second.mInstance.mState == InstanceState::kLeaving) {
    return false;
  }
  if (aTask.mKind == TaskKind::kService) {
    return true;
  }
  const auto job = aShard.mData.mJobs.find(aTask.mOwner);
  return job != aShard.mData.mJobs.end() &&
         job->second.mState == JobState::kActive;
}

void FinishJobs(Shard& aShard)
{
  std::vector<std::pair<std::string, JobState>> changes;
  std::string reason;
  for (const auto& entry : aShard.mData.mJobs) {
    const std::string& name = entry.first;
    const JobRecord& job = entry.second;
    const auto& runtime = aShard.mJobs[name];
    const bool isRunning = runtime.mPlacedTasks > 0;
    if (job.mState == JobState::kCancelling && !isRunning) {
      changes.emplace_back(name, JobState::kCancelled);
    } else if (job.mState == JobState::kActive ||
               job.mState == JobState::kMoving) {
      const bool hasFailed = std::any_of(
        job.mTasks.begin(), job.mTasks.end(), [&](const auto& aTask) {
          return !aTask.mIsDone && aTask.mFailures >= job.mSpec.mMaxAttempts;
        });
      if (hasFailed) {
        changes.emplace_back(name, JobState::kFailed);
      } else if (CountDoneTasks(job) == job.mSpec.mTasks) {
        changes.emplace_back(name, JobState::kDone);
      }
    }
  }
  for (const auto& [name, state] : changes) {
    const bool isFailed = state == JobState::kFailed;
    SetJobState(aShard,
                name,
                state,
                isFailed ? "a task failed on as many workers as allowed" : "");
    if (isFailed) {
      for (auto& [workerName, worker] : aShard.mWorkers) {
        worker.mFailedJobs.erase(name);
      }
    }
  }
}

void PlanShard(Shard& aShard, const ShardContext& aContext)
{
  const bool isReady = aContext.mIsOwner &&
                       aShard.mJournal.mPhase == JournalPhase::kOpen &&
                       aContext.mNow - aShard.mPlannedAt >= plan::kPlanInterval;
  if (!isReady || aContext.mConfiguration->mRevision == 0) {
    return;
  }
  aShard.mPlannedAt = aContext.mNow;
  UpdateDrainState(aShard, aContext);
  FinishJobs(aShard);
  DrainJobs(aShard, aContext);
  StopUnwanted(aShard, aContext);
  RelievePressure(aShard, aContext);
  auto views = plan::ViewsOf(aShard, aContext.mNow);
  plan::PlanServices(aShard, aContext, views);
  plan::PlanBatch(aShard, aContext, views);
  AccrueUsage(aShard.mLedger,
              *aContext.mConfiguration,
              TotalCapacity(aShard),
              aContext.mNow);
}

} // namespace verbenacroft
