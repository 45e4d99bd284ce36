#include "vcLongRunningRoom.h"

#include "vcPlacementCost.h"
#include "vcSuspectIsolation.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// What the best-effort tasks of a worker use.
Resources BestEffortNeedsOn(const DispatchShard& aShard,
                            const DispatchWorker& aWorker)
{
  Resources needs;
  for (const auto& key : aWorker.mTasks) {
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    if (step.mIsFilling) {
      needs += CountedNeeds(step);
    }
  }
  return needs;
}

/// Number of tasks of the step that fit beside what is used.
std::size_t PlacesBeside(const StepNeeds& aNeeds,
                         const DispatchWorker& aWorker,
                         Resources aUsed)
{
  const std::size_t most = PlacesOfStep(aNeeds, aWorker);
  std::size_t places = 0;
  for (; places < most; ++places) {
    aUsed += aNeeds.mCounted;
    if (!Fits(aUsed, aWorker.mEntry.mCapacity)) {
      break;
    }
  }
  return places;
}

} // namespace

LongRunningRoom RoomOfLongRunning(const DispatchShard& aShard,
                                  const TaskId& aTask,
                                  TimePoint aNow)
{
  const StepNeeds needs = NeedsOf(aShard, aTask);
  LongRunningRoom room;
  room.mNeeds = needs.mStep.mNeeds;
  const std::set<std::string> isolated = IsolatedWorkers(aShard);
  for (const auto& [name, worker] : aShard.mWorkers) {
    if (aNow < worker.mRoom.mUntil && worker.mRoom.mIsLongRunning) {
      ++room.mReservedInAll;
      room.mReserved += worker.mRoom.mFirstTask == needs.mFirstTask ? 1 : 0;
    }
    if (!IsAllowed(needs, worker) || !IsUsable(aShard, worker, aNow)) {
      continue;
    }
    ++room.mWorkers;
    const Resources bestEffort = BestEffortNeedsOn(aShard, worker);
    const std::size_t places = PlacesBeside(needs, worker, worker.mUsed);
    room.mPlaces += places;
    room.mSetAside += IsSetAside(worker, aNow) ? places : 0;
    room.mIsolated += isolated.contains(name) ? places : 0;
    room.mWithoutBestEffort +=
      PlacesBeside(needs, worker, worker.mUsed - bestEffort);
    room.mBesideLongRunning += PlacesBeside(needs, worker, worker.mLongRunning);
    const Resources free = worker.mEntry.mCapacity - worker.mUsed;
    if (room.mNearest.empty() || free.mMilliCpu > room.mFree.mMilliCpu) {
      room.mNearest = name;
      room.mFree = free;
      room.mLongRunning = worker.mLongRunning;
      room.mBestEffort = bestEffort;
    }
  }
  return room;
}

} // namespace verbenacroft
