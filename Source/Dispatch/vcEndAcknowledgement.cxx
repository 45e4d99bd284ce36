#include "vcEndAcknowledgement.h"

#include "vcDispatchWorkerSet.h"
#include "vcIncarnationFence.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Counts the wait of the ends that are left, if there are any, from now on.
void RestartAckDelay(DispatchWorker& aWorker, TimePoint aNow)
{
  const bool isUnacknowledged = aWorker.mAckIndex > aWorker.mAnsweredAckIndex;
  aWorker.mUnacknowledgedSince = isUnacknowledged ? aNow : kNever;
}

} // namespace

bool MayStartTakeEffect(const DispatchWorker& aWorker,
                        const DispatchTask& aTask,
                        TimePoint aNow)
{
  return IsFencePending(aWorker) || aWorker.mClock <= aTask.mNotAfter ||
         MayStartInNextIncarnation(aWorker, aTask, aNow);
}

bool HasStartUnderWay(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      TimePoint aNow)
{
  return std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskId& aKey) {
      const DispatchTask& task = *FindTask(aShard, aKey);
      const bool isOutcomeUnknown =
        task.mIsStartUncertain || task.mPhase == RunPhase::kStarting;
      return isOutcomeUnknown && MayStartTakeEffect(aWorker, task, aNow);
    });
}

void OnEndsRecorded(DispatchWorker& aWorker,
                    std::uint64_t aIndex,
                    TimePoint aNow)
{
  aWorker.mAckIndex = std::max(aWorker.mAckIndex, aIndex);
  if (aWorker.mUnacknowledgedSince == kNever) {
    RestartAckDelay(aWorker, aNow);
  }
}

void OnRenewalAnswered(DispatchWorker& aWorker, TimePoint aNow)
{
  if (aWorker.mSentAckIndex <= aWorker.mAnsweredAckIndex) {
    return;
  }
  aWorker.mAnsweredAckIndex = aWorker.mSentAckIndex;
  RestartAckDelay(aWorker, aNow);
}

bool IsAckOverdue(const DispatchWorker& aWorker, TimePoint aNow)
{
  return aWorker.mUnacknowledgedSince != kNever &&
         aNow - aWorker.mUnacknowledgedSince >= kMaxAckDelay;
}

} // namespace verbenacroft
