#include "vcLossGroups.h"

#include <algorithm>
#include <utility>

namespace verbenacroft {

namespace {

/// If at least this many workers were lost together, and this part of all, the
/// cause is outside of them.
constexpr std::size_t kMinTogether = 4;
constexpr double kMinPartTogether = 0.1;
/// A worker that has not reported for this long may be lost. A report may take
/// a second, as the worker waits for a run to end.
constexpr Duration kOverdue{ 1'200 };
/// A report may arrive this long after its worker was lost.
constexpr Duration kReportDelay{ 500 };
/// How long a loss is remembered. A crash may be noticed some leases later.
constexpr Duration kLossRemembered{ 30'000 };

/// Earliest time at which the worker can have been lost.
TimePoint LostFrom(const WorkerLoss& aLoss)
{
  return aLoss.mAliveAt - kReportDelay;
}

/// True if the two workers may have been lost at the same time.
bool MayBeTogether(const WorkerLoss& aLeft, const WorkerLoss& aRight)
{
  return LostFrom(aLeft) <= aRight.mLostBy && LostFrom(aRight) <= aLeft.mLostBy;
}

/// The most losses that may have come at one moment, at which the worker of
/// `aLoss` may have been lost too.
std::size_t MostAtOnce(const WorkerLoss& aLoss,
                       const std::vector<WorkerLoss>& aOthers)
{
  std::vector<TimePoint> from{ LostFrom(aLoss) };
  std::vector<TimePoint> until{ aLoss.mLostBy };
  for (const auto& other : aOthers) {
    from.push_back(std::max(LostFrom(aLoss), LostFrom(other)));
    until.push_back(std::min(aLoss.mLostBy, other.mLostBy));
  }
  std::sort(from.begin(), from.end());
  std::sort(until.begin(), until.end());
  std::size_t most = 0;
  std::size_t ended = 0;
  for (std::size_t begun = 0; begun < from.size(); ++begun) {
    while (until[ended] < from[begun]) {
      ++ended;
    }
    most = std::max(most, begun + 1 - ended);
  }
  return most;
}

/// The present loss of the worker if it may have come together with `aLoss`.
std::optional<WorkerLoss> PresentLossWith(const DispatchWorker& aWorker,
                                          const WorkerLoss& aLoss,
                                          TimePoint aNow)
{
  auto loss = PresentLossOf(aWorker, aNow);
  const bool isOther = loss && loss->mWorker != aLoss.mWorker;
  return isOther && MayBeTogether(*loss, aLoss) ? std::move(loss)
                                                : std::nullopt;
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
  if (aWorker.mEntry.mIsDraining) {
    return std::nullopt;
  }
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
  std::vector<WorkerLoss> others;
  LossGroup group;
  for (const auto& [name, worker] : aShard.mWorkers) {
    group.mCompared += WasThere(worker, aLoss) ? 1 : 0;
    auto loss = PresentLossWith(worker, aLoss, aNow);
    if (loss) {
      others.push_back(std::move(*loss));
    }
  }
  for (const auto& past : aShard.mPastLosses) {
    if (past.mWorker == aLoss.mWorker || !MayBeTogether(past, aLoss)) {
      continue;
    }
    const auto worker = aShard.mWorkers.find(past.mWorker);
    const bool hasLeft = worker == aShard.mWorkers.end();
    group.mCompared += hasLeft ? 1 : 0;
    if (hasLeft || !PresentLossWith(worker->second, aLoss, aNow)) {
      others.push_back(past);
    }
  }
  group.mTogether = MostAtOnce(aLoss, others);
  return group;
}

bool HasOutsideCause(const LossGroup& aGroup)
{
  const double part = kMinPartTogether * static_cast<double>(aGroup.mCompared);
  return aGroup.mTogether >= kMinTogether &&
         static_cast<double>(aGroup.mTogether) >= part;
}

} // namespace verbenacroft
