#include "vcDispatchState.h"

#include <cmath>

namespace verbenacroft {

namespace {

/// Adds the needs of a task of the step to the worker's totals (`aSign` is 1)
/// or subtracts them (-1).
void CountNeeds(DispatchWorker& aWorker, const StepSpec& aStep, int aSign)
{
  const Resources needs = CountedNeeds(aStep);
  if (aStep.mIsFilling) {
    aWorker.mBestEffortCpu += aSign * aStep.mNeeds.mMilliCpu;
  }
  if (aStep.mTargetMs > 0) {
    auto& count = aWorker.mServingImages[aStep.mImage];
    count += static_cast<std::uint32_t>(aSign);
    if (count == 0) {
      aWorker.mServingImages.erase(aStep.mImage);
    }
    aWorker.mServingCpu += aSign * needs.mMilliCpu;
  }
  const auto add = [&](Resources& aTotal) {
    if (aSign > 0) {
      aTotal += needs;
    } else {
      aTotal -= needs;
    }
  };
  add(aWorker.mUsed);
  if (aStep.mIsLasting) {
    add(aWorker.mLongRunning);
  }
}

/// Adds a task of the step to what the job's team uses (`aSign` is 1), or
/// subtracts it (-1).
void CountTeamUse(DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const StepSpec& aStep,
                  int aSign)
{
  const std::string& team = aJob.mRecord.mTerms.mTeam;
  if (team.empty()) {
    return;
  }
  Resources& known = aShard.mTeamUse[team].mKnown;
  if (aSign > 0) {
    known += aStep.mNeeds;
  } else {
    known -= aStep.mNeeds;
  }
}

/// The task with this id, or null; constant if the shard is.
template<class Shard>
auto FindTaskIn(Shard& aShard, const TaskId& aKey)
  -> decltype(FindTask(aShard, aKey))
{
  const auto job = aShard.mJobs.find(aKey.mJob);
  if (job == aShard.mJobs.end()) {
    return nullptr;
  }
  const auto occurrence = job->second.mOccurrences.find(aKey.mOccurrence);
  if (occurrence == job->second.mOccurrences.end()) {
    return nullptr;
  }
  auto& steps = occurrence->second.mSteps;
  if (aKey.mStep >= steps.size() ||
      aKey.mIndex >= steps[aKey.mStep].mTasks.size()) {
    return nullptr;
  }
  return &steps[aKey.mStep].mTasks[aKey.mIndex];
}

} // namespace

DispatchJob* FindJob(DispatchShard& aShard, const JobId& aJob)
{
  const auto found = aShard.mJobs.find(aJob);
  return found == aShard.mJobs.end() ? nullptr : &found->second;
}

bool IsSilent(const DispatchWorker& aWorker)
{
  return aWorker.mIsUnresponsive || !aWorker.mHasAnswered;
}

DispatchWorker* FindWorker(DispatchShard& aShard, const std::string& aWorker)
{
  const auto found = aShard.mWorkers.find(aWorker);
  return found == aShard.mWorkers.end() ? nullptr : &found->second;
}

DispatchTask* FindTask(DispatchShard& aShard, const TaskId& aKey)
{
  return FindTaskIn(aShard, aKey);
}

const DispatchTask* FindTask(const DispatchShard& aShard, const TaskId& aKey)
{
  return FindTaskIn(aShard, aKey);
}

DispatchStep& StepStateOf(DispatchJob& aJob, const TaskId& aKey)
{
  return aJob.mOccurrences.at(aKey.mOccurrence).mSteps.at(aKey.mStep);
}

const DispatchStep& StepStateOf(const DispatchJob& aJob, const TaskId& aKey)
{
  return aJob.mOccurrences.at(aKey.mOccurrence).mSteps.at(aKey.mStep);
}

const StepSpec& StepOf(const DispatchJob& aJob, const TaskId& aKey)
{
  return aJob.mRecord.mSpec.mSteps[aKey.mStep];
}

std::int64_t EstimateClock(const DispatchWorker& aWorker, TimePoint aNow)
{
  if (aWorker.mClock == 0) {
    return 0;
  }
  return aWorker.mClock + (aNow - aWorker.mClockReadAt).count();
}

std::int64_t ClockReachedBy(const DispatchWorker& aWorker, TimePoint aTime)
{
  const double elapsed = static_cast<double>(aTime.count()) -
                         static_cast<double>(aWorker.mClockReadAt.count());
  return aWorker.mClock +
         static_cast<std::int64_t>(std::floor(elapsed * kMinClockRate));
}

Resources CountedNeeds(const StepSpec& aStep)
{
  Resources needs = aStep.mNeeds;
  if (aStep.mIsFilling) {
    needs.mMilliCpu = 0;
  }
  return needs;
}

void SetUsedByRunsToStop(DispatchWorker& aWorker, const Resources& aUsed)
{
  aWorker.mUsed -= aWorker.mUsedByRunsToStop;
  aWorker.mUsedByRunsToStop = aUsed;
  aWorker.mUsed += aUsed;
}

void SetTeamRunsToStop(DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       std::map<std::string, Resources> aUsed)
{
  for (const auto& [team, used] : aWorker.mTeamRunsToStop) {
    aShard.mTeamUse[team].mKnown -= used;
  }
  aWorker.mTeamRunsToStop = std::move(aUsed);
  for (const auto& [team, used] : aWorker.mTeamRunsToStop) {
    aShard.mTeamUse[team].mKnown += used;
  }
}

void Assign(DispatchShard& aShard,
            const TaskId& aKey,
            const std::string& aWorker,
            std::uint32_t aRun)
{
  DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  DispatchTask& task = *FindTask(aShard, aKey);
  DispatchWorker& worker = aShard.mWorkers.at(aWorker);
  task.mWorker = aWorker;
  task.mRun = aRun;
  task.mHighestRun = std::max(task.mHighestRun, aRun);
  task.mOrderedThrottlePercent = 100;
  task.mProgressPercent = 0;
  task.mProgressAt = kNever;
  task.mThrottledAt = kNever;
  task.mIsProbe = false;
  task.mIsStartUncertain = false;
  task.mStartBrokenAt = kNever;
  task.mAwaitsRackUntil = kNever;
  task.mStopSentAt = kNever;
  task.mFirstSeenClock = 0;
  task.mSeenAtWorkFor = Duration(0);
  worker.mTasks.insert(aKey);
  CountNeeds(worker, StepOf(job, aKey), 1);
  CountTeamUse(aShard, job, StepOf(job, aKey), 1);
  ++job.mActiveRuns;
}

void MarkStarted(DispatchJob& aJob)
{
  if (aJob.mState == BatchState::kQueued) {
    aJob.mState = BatchState::kRunning;
  }
}

void Release(DispatchShard& aShard, const TaskId& aKey, RunPhase aPhase)
{
  DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  DispatchTask& task = *FindTask(aShard, aKey);
  DispatchWorker* worker = FindWorker(aShard, task.mWorker);
  if (worker != nullptr && worker->mTasks.erase(aKey) > 0) {
    CountNeeds(*worker, StepOf(job, aKey), -1);
    CountTeamUse(aShard, job, StepOf(job, aKey), -1);
    --job.mActiveRuns;
    aShard.mSilenceVersion += worker->mIsUnresponsive ? 1 : 0;
  }
  task.mWorker.clear();
  task.mIsStartUncertain = false;
  task.mStartBrokenAt = kNever;
  task.mPhase = aPhase;
}

void NoteRunEnded(DispatchJob& aJob, TimePoint aNow)
{
  if (aJob.mActiveRuns == 0) {
    aJob.mIdleSince = aNow;
  }
}

void ReleaseToWait(DispatchShard& aShard, const TaskId& aKey, TimePoint aNow)
{
  // A start that was refused or not answered ran nothing.
  const bool wasSeen = FindTask(aShard, aKey)->mPhase != RunPhase::kStarting;
  Release(aShard, aKey, RunPhase::kWaiting);
  if (wasSeen) {
    DispatchJob& job = aShard.mJobs.at(aKey.mJob);
    NoteRunEnded(job, aNow);
    job.mLastRun = {};
  }
  FindTask(aShard, aKey)->mWaitingSince = aNow;
}

} // namespace verbenacroft
