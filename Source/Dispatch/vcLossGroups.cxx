#include "vcLossGroups.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace verbenacroft {

namespace {

/// Workers that were lost within this time of each other were lost together.
constexpr Duration kTogether{ 1'000 };
/// If at least this many were, and this part of all workers, the cause is
/// outside of them.
constexpr std::size_t kMinTogether = 4;
constexpr double kMinPartTogether = 0.1;
/// A worker that has not reported for this long may be lost. A report may take
/// a second, as the worker waits for a run to end.
constexpr Duration kOverdue{ 1'200 };
/// How long a loss is remembered. A crash may be noticed some leases later.
constexpr Duration kLossRemembered{ 30'000 };

/// True if the two workers may have been lost at the same time, or nearly.
bool AreTogether(const WorkerLoss& aLeft, const WorkerLoss& aRight)
{
  const bool isNear =
    std::chrono::abs(aLeft.mLostBy - aRight.mLostBy) <= kTogether;
  const bool doOverlap =
    aLeft.mAliveAt <= aRight.mLostBy && aRight.mAliveAt <= aLeft.mLostBy;
  return isNear || doOverlap;
}

/// True if the shard had the worker at the time of the loss.
bool WasThere(const DispatchWorker& aWorker, const WorkerLoss& aLoss)
{
  return aWorker.mFoundAt <= aLoss.mLostBy;
}

} // namespace

std::optional<WorkerLoss> PresentLossOf(const DispatchWorker& aWorker,
                                        TimePoint aNow)
{
  const std::string& name = aWorker.mEntry.mWorker;
  if (!aWorker.mIsUnresponsive) {
    const bool isOverdue =
      aWorker.mHasAnswered && aNow - aWorker.mLastReportAt > kOverdue;
    return isOverdue
             ? std::optional(WorkerLoss{ name, aWorker.mLastReportAt, aNow })
             : std::nullopt;
  }
  // Nothing is known of when a worker was alive that hasn't answered this
  // owner.
  const TimePoint aliveAt =
    aWorker.mHasAnswered ? aWorker.mLastReportAt : aWorker.mSilentSince;
  return WorkerLoss{ name, aliveAt, aWorker.mSilentSince };
}

void RememberLoss(DispatchShard& aShard, WorkerLoss aLoss, TimePoint aNow)
{
  std::erase_if(aShard.mPastLosses, [&](const WorkerLoss& aOther) {
    return aNow - aOther.mLostBy > kLossRemembered;
  });
  aShard.mPastLosses.push_back(std::move(aLoss));
}

LossGroup GroupOf(const DispatchShard& aShard,
                  const WorkerLoss& aLoss,
                  TimePoint aNow)
{
  std::set<std::string_view> together{ aLoss.mWorker };
  std::set<std::string_view> left;
  for (const auto& other : aShard.mPastLosses) {
    if (AreTogether(aLoss, other)) {
      together.insert(other.mWorker);
      if (!aShard.mWorkers.contains(other.mWorker)) {
        left.insert(other.mWorker);
      }
    }
  }
  LossGroup group{ 0, left.size() };
  for (const auto& [name, worker] : aShard.mWorkers) {
    group.mCompared += WasThere(worker, aLoss) ? 1 : 0;
    const auto loss = PresentLossOf(worker, aNow);
    if (loss && AreTogether(aLoss, *loss)) {
      together.insert(name);
    }
  }
  group.mTogether = together.size();
  return group;
}

bool HasOutsideCause(const LossGroup& aGroup)
{
  const double part = kMinPartTogether * static_cast<double>(aGroup.mCompared);
  return aGroup.mTogether >= kMinTogether &&
         static_cast<double>(aGroup.mTogether) >= part;
}

} // namespace verbenacroft
