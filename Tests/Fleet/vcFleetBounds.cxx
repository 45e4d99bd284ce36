/// Bounds on what an owner may leave undecided while a worker reports: starts
/// without an answer, and ends that aren't acknowledged.

#include "vcFleetState.h"

#include <fmt/format.h>

namespace verbenacroft {

namespace {

/// The bounds hold as long as reports come: so many, over this time at least.
constexpr int kReports = 3;
/// A start whose deadline has passed on the worker's clock is decided by then.
constexpr Duration kStartDecidedWithin{ 3'000 };
/// Ends that are in the store are acknowledged by then. Starts may hold that up
/// until the last of them is past its deadline, on a draining worker for
/// longer.
constexpr Duration kAcknowledgedWithin = kMaxAckDelay + Duration(4'000);

/// The worker answers this owner, and earlier calls are fenced off.
bool IsReporting(const DispatchWorker& aWorker)
{
  return aWorker.mHasAnswered && !aWorker.mIsUnresponsive &&
         !IsFencePending(aWorker);
}

} // namespace

void Fleet::Watch(const std::string& aWhat,
                  const DispatchWorker& aWorker,
                  Duration aWithin)
{
  OpenMatter& matter = this->mOpenMatters[aWhat];
  matter.mSeenAt = this->mNow;
  if (matter.mSince == kNever) {
    matter.mSince = this->mNow;
  }
  matter.mReports += aWorker.mLastReportAt > matter.mLastReportAt ? 1 : 0;
  matter.mLastReportAt = aWorker.mLastReportAt;
  const bool isOverdue =
    matter.mReports > kReports && this->mNow - matter.mSince > aWithin;
  if (isOverdue && !matter.mIsReported) {
    matter.mIsReported = true;
    this->Problem(aWhat + " for too long");
  }
}

void Fleet::WatchWorker(const std::string& aNode,
                        const DispatchShard& aShard,
                        const DispatchWorker& aWorker)
{
  const std::string& name = aWorker.mEntry.mWorker;
  for (const auto& key : aWorker.mTasks) {
    const DispatchTask& task = *FindTask(aShard, key);
    const bool isUndecided =
      task.mIsStartUncertain &&
      !MayStartTakeEffect(aWorker, StartOf(task), this->mNow);
    if (isUndecided) {
      this->Watch(fmt::format("{}: run {} of {} on {} is undecided",
                              aNode,
                              task.mRun,
                              Describe(key),
                              name),
                  aWorker,
                  kStartDecidedWithin);
    }
  }
  if (aWorker.mUnacknowledgedSince == kNever) {
    return;
  }
  const Duration late =
    aWorker.mEntry.mIsDraining ? kLateCallTime : Duration(0);
  this->Watch(fmt::format("{}: ends of {} since {} ms aren't acknowledged",
                          aNode,
                          name,
                          (aWorker.mUnacknowledgedSince - kStart).count()),
              aWorker,
              kAcknowledgedWithin + late);
}

void Fleet::WatchBounds()
{
  for (const auto& [name, life] : this->mLives) {
    for (const auto& [shard, runner] : life.mNode->mRunners) {
      const bool isAtWork =
        !life.mIsPaused && runner->IsLoaded() && !runner->IsStopped();
      if (!isAtWork) {
        continue;
      }
      for (const auto& [id, worker] : runner->State().mWorkers) {
        if (IsReporting(worker)) {
          this->WatchWorker(name, runner->State(), worker);
        }
      }
    }
  }
  std::erase_if(this->mOpenMatters, [&](const auto& aRow) {
    return aRow.second.mSeenAt < this->mNow;
  });
}

} // namespace verbenacroft
