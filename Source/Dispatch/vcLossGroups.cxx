#include "vcLossGroups.h"

#include <algorithm>
#include <map>
#include <vector>

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

/// Losses of different workers, by name.
using LossesByWorker = std::map<std::string, WorkerLoss>;

/// Adds the part of a loss in which the worker of `aLoss` may have been lost
/// too, unless there is none or the losses have one of the worker.
/// @return true if it was added
bool AddIfTogether(LossesByWorker& aLosses,
                   const WorkerLoss& aLoss,
                   const WorkerLoss& aOther)
{
  if (!MayBeTogether(aLoss, aOther)) {
    return false;
  }
  const WorkerLoss common{ aOther.mWorker,
                           std::max(aLoss.mAliveAt, aOther.mAliveAt),
                           std::min(aLoss.mLostBy, aOther.mLostBy) };
  return aLosses.try_emplace(aOther.mWorker, common).second;
}

/// The most losses that may have come at one moment.
std::size_t MostAtOnce(const LossesByWorker& aLosses)
{
  std::vector<TimePoint> from;
  std::vector<TimePoint> until;
  for (const auto& [name, loss] : aLosses) {
    from.push_back(LostFrom(loss));
    until.push_back(loss.mLostBy);
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
  LossesByWorker losses{ { aLoss.mWorker, aLoss } };
  LossGroup group;
  for (const auto& other : aShard.mPastLosses) {
    const bool hasLeft = !aShard.mWorkers.contains(other.mWorker);
    const bool isNew = AddIfTogether(losses, aLoss, other);
    group.mCompared += isNew && hasLeft ? 1 : 0;
  }
  for (const auto& [name, worker] : aShard.mWorkers) {
    group.mCompared += WasThere(worker, aLoss) ? 1 : 0;
    const auto loss = PresentLossOf(worker, aNow);
    if (loss) {
      AddIfTogether(losses, aLoss, *loss);
    }
  }
  group.mTogether = MostAtOnce(losses);
  return group;
}

bool HasOutsideCause(const LossGroup& aGroup)
{
  const double part = kMinPartTogether * static_cast<double>(aGroup.mCompared);
  return aGroup.mTogether >= kMinTogether &&
         static_cast<double>(aGroup.mTogether) >= part;
}

} // namespace verbenacroft
