#include "vcDispatchSuccession.h"

#include "vcDispatchSharing.h"

namespace verbenacroft {

namespace {

/// How long the room is kept: the next start is ordered in the planning that
/// follows the report of the end, or a few later if it is refused.
constexpr Duration kKeptTime{ 300 };

void Add(WorkerRoom& aSum, const WorkerRoom& aRoom)
{
  aSum.mCounted += aRoom.mCounted;
  aSum.mBestEffortCpu += aRoom.mBestEffortCpu;
}

void Subtract(WorkerRoom& aSum, const WorkerRoom& aRoom)
{
  aSum.mCounted -= aRoom.mCounted;
  aSum.mBestEffortCpu -= aRoom.mBestEffortCpu;
}

} // namespace

WorkerRoom RoomOf(const StepSpec& aStep)
{
  return { CountedNeeds(aStep), aStep.mIsFilling ? aStep.mNeeds.mMilliCpu : 0 };
}

void KeptRooms::Keep(const JobId& aJob,
                     const DispatchWorker& aWorker,
                     const WorkerRoom& aRoom)
{
  const bool isNew = this->mRooms.try_emplace(aJob, &aWorker, aRoom).second;
  if (isNew) {
    Add(this->mSums[&aWorker], aRoom);
  }
}

void KeptRooms::Release(const JobId& aJob)
{
  const auto found = this->mRooms.find(aJob);
  if (found != this->mRooms.end()) {
    Subtract(this->mSums.at(found->second.mWorker), found->second.mRoom);
    this->mRooms.erase(found);
  }
}

WorkerRoom KeptRooms::KeptFrom(const JobId& aJob,
                               const DispatchWorker& aWorker) const
{
  const auto sum = this->mSums.find(&aWorker);
  if (sum == this->mSums.end()) {
    return {};
  }
  WorkerRoom kept = sum->second;
  const auto own = this->mRooms.find(aJob);
  if (own != this->mRooms.end() && own->second.mWorker == &aWorker) {
    Subtract(kept, own->second.mRoom);
  }
  return kept;
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
  return last.mImage == aStep.mImage && last.mIsFilling &&
         WorstLatencyRatio(aWorker) <= kRecoveryRatio;
}

} // namespace verbenacroft
