#include "vcDispatchSuccession.h"

#include "vcDispatchSharing.h"

namespace verbenacroft {

namespace {

/// How long the room is kept: the next start is ordered in the planning that
/// follows the report of the end, or a few later if it is refused.
constexpr Duration kKeptTime{ 300 };

/// The room that a task of the step needs.
WorkerRoom RoomOf(const StepSpec& aStep)
{
  return { CountedNeeds(aStep), aStep.mIsFilling ? aStep.mNeeds.mMilliCpu : 0 };
}

bool IsKeptFrom(const KeptRoom& aKept, const DispatchJob& aJob)
{
  const bool isMoreUrgent = aJob.mRecord.mTerms.mPriority < aKept.mPriority;
  // Best-effort jobs of less urgent queues keep their only run beside the
  // further runs of more urgent ones.
  const bool isFurtherRun = aKept.mIsBestEffort && aJob.mActiveRuns > 0;
  const bool mayTake = isMoreUrgent && !isFurtherRun;
  return aKept.mJob != aJob.mId && !mayTake;
}

} // namespace

void KeptRooms::Keep(const DispatchJob& aJob,
                     const StepSpec& aStep,
                     const DispatchWorker& aWorker)
{
  if (this->mWorkers.try_emplace(aJob.mId, &aWorker).second) {
    const std::int32_t priority = aJob.mRecord.mTerms.mPriority;
    this->mRooms[&aWorker].push_back(
      { aJob.mId, priority, aStep.mIsFilling, RoomOf(aStep) });
  }
}

void KeptRooms::Release(const JobId& aJob)
{
  const auto found = this->mWorkers.find(aJob);
  if (found == this->mWorkers.end()) {
    return;
  }
  std::erase_if(this->mRooms.at(found->second),
                [&](const KeptRoom& aKept) { return aKept.mJob == aJob; });
  this->mWorkers.erase(found);
}

WorkerRoom KeptRooms::KeptFrom(const DispatchJob& aJob,
                               const DispatchWorker& aWorker) const
{
  WorkerRoom sum;
  const auto rooms = this->mRooms.find(&aWorker);
  if (rooms == this->mRooms.end()) {
    return sum;
  }
  for (const auto& kept : rooms->second) {
    if (IsKeptFrom(kept, aJob)) {
      sum.mCounted += kept.mRoom.mCounted;
      sum.mBestEffortCpu += kept.mRoom.mBestEffortCpu;
    }
  }
  return sum;
}

void NoteRoomLeft(DispatchJob& aJob,
                  const TaskId& aKey,
                  const std::string& aWorker)
{
  const DispatchTask& task = StepStateOf(aJob, aKey).mTasks[aKey.mIndex];
  aJob.mLastRun = { aWorker,
                    aKey.mStep,
                    task.mIsProbe || task.mOrderedThrottlePercent < 100 };
}

DispatchWorker* WorkerLeftBy(DispatchShard& aShard,
                             const DispatchJob& aJob,
                             TimePoint aIdleSince,
                             TimePoint aNow)
{
  const bool isKept = aJob.mActiveRuns == 0 && aNow - aIdleSince <= kKeptTime;
  return isKept ? FindWorker(aShard, aJob.mLastRun.mWorker) : nullptr;
}

bool IsKnownNotToDisturb(const DispatchJob& aJob,
                         const StepSpec& aStep,
                         const DispatchWorker& aWorker)
{
  const StepSpec& last = aJob.mRecord.mSpec.mSteps[aJob.mLastRun.mStep];
  const bool isAsSmall = aStep.mNeeds.mMilliCpu <= last.mNeeds.mMilliCpu;
  return last.mImage == aStep.mImage && last.mIsFilling && isAsSmall &&
         WorstLatencyRatio(aWorker) <= kRecoveryRatio;
}

} // namespace verbenacroft
