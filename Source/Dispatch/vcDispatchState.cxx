#include "vcDispatchState.h"

#include <cmath>

namespace verbenacroft {

namespace {

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

RunStart StartOf(const DispatchTask& aTask)
{
  const bool isUncertain =
    aTask.mIsStartUncertain || aTask.mPhase == RunPhase::kStarting;
  return { aTask.mStartOrderedAt, aTask.mNotAfter, isUncertain };
}

Resources CountedNeeds(const StepSpec& aStep)
{
  return CountedNeeds(aStep.mNeeds, aStep.mIsFilling);
}

Resources CountedNeeds(const Resources& aNeeds, bool aIsBestEffort)
{
  Resources counted = aNeeds;
  if (aIsBestEffort) {
    counted.mMilliCpu = 0;
  }
  return counted;
}

void MarkStarted(DispatchJob& aJob)
{
  if (aJob.mState == BatchState::kQueued) {
    aJob.mState = BatchState::kRunning;
  }
}

} // namespace verbenacroft
