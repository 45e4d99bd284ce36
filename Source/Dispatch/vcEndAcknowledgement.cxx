#include "vcEndAcknowledgement.h"

#include "vcDispatchWorkerSet.h"
#include "vcIncarnationFence.h"
#include "vcWorkerRuns.h"

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
                        const RunStart& aStart,
                        TimePoint aNow)
{
  return IsFencePending(aWorker) || aWorker.mClock <= aStart.mNotAfter ||
         MayStartInNextIncarnation(aWorker, aStart, aNow);
}

bool HasStartUnderWay(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      TimePoint aNow)
{
  const auto mayBegin = [&](const RunStart& aStart) {
    return aStart.mIsUncertain && MayStartTakeEffect(aWorker, aStart, aNow);
  };
  return AnyStart(aShard, aWorker, mayBegin);
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
