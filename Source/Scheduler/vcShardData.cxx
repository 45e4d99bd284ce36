#include "vcShardData.h"

#include <algorithm>

/// Application of journal records to the state of a shard.

namespace verbenacroft {

namespace {

void ApplyStart(ShardData& aData, const TaskRecord& aTask)
{
  aData.mLastAttempt = std::max(aData.mLastAttempt, aTask.mAttempt);
  aData.mPlaced.insert_or_assign(aTask.mTask, aTask);
}

void ApplyEnd(ShardData& aData, const ShardRecord& aRecord)
{
  const auto placed = aData.mPlaced.find(aRecord.mName);
  if (placed == aData.mPlaced.end()) {
    return;
  }
  const TaskRecord task = placed->second;
  aData.mPlaced.erase(placed);
  const auto job = aData.mJobs.find(task.mOwner);
  const auto index = static_cast<std::size_t>(task.mIndex);
  if (task.mKind != TaskKind::kBatch || job == aData.mJobs.end() ||
      index >= job->second.mTasks.size()) {
    return;
  }
  auto& progress = job->second.mTasks[index];
  progress.mIsDone = progress.mIsDone || aRecord.mOutcome == TaskOutcome::kDone;
  progress.mFailures += aRecord.mOutcome == TaskOutcome::kFailed ? 1 : 0;
  progress.mCheckpoint = std::max(progress.mCheckpoint, aRecord.mCheckpoint);
}

void ApplyJobState(ShardData& aData, const ShardRecord& aRecord)
{
  const auto job = aData.mJobs.find(aRecord.mName);
  if (job != aData.mJobs.end()) {
    job->second.mState = aRecord.mState;
    job->second.mReason = aRecord.mReason;
  }
}

} // namespace

void ApplyRecord(ShardData& aData, const ShardRecord& aRecord)
{
  switch (aRecord.mOp) {
    case ShardOp::kAccept:
      if (aRecord.mJob) {
        aData.mJobs.try_emplace(aRecord.mName, *aRecord.mJob);
      }
      break;
    case ShardOp::kJobState:
      ApplyJobState(aData, aRecord);
      break;
    case ShardOp::kStart:
      if (aRecord.mTask) {
        ApplyStart(aData, *aRecord.mTask);
      }
      break;
    case ShardOp::kEnd:
      ApplyEnd(aData, aRecord);
      break;
    case ShardOp::kForget:
      aData.mJobs.erase(aRecord.mName);
      break;
  }
}

} // namespace verbenacroft
