#include "vcSuspectIsolation.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// A run that was seen at work for this long isn't likely to crash its worker.
constexpr Duration kMinSeenAtWork{ 500 };
/// The same for a suspect is a multiple of its longest run before a crash, up
/// to a maximum, since its worker takes nothing else meanwhile.
constexpr int kSeenRuns = 2;
constexpr Duration kMaxSeenAtWork{ 5'000 };
/// A suspect that has found no place apart for this long is started anywhere.
constexpr Duration kMaxApartWait{ 5'000 };

} // namespace

bool IsSuspect(const DispatchTask& aTask)
{
  const CrashHistory& history = aTask.mCrashHistory;
  return history.mCrashes > 0 || history.mUnconfirmed > 0;
}

bool NeedsIsolation(const DispatchTask& aTask)
{
  return IsSuspect(aTask) &&
         aTask.mCrashHistory.mLeastSeenAtWork < kMaxSeenAtWork;
}

bool IsSeenAtWork(const DispatchTask& aTask)
{
  const Duration longestRun =
    NeedsIsolation(aTask) ? aTask.mCrashHistory.mLongestRun : Duration(0);
  const Duration needed =
    std::clamp(kSeenRuns * longestRun, kMinSeenAtWork, kMaxSeenAtWork);
  return aTask.mSeenAtWorkFor >= needed;
}

bool IsCrashHistorySafe(const DispatchTask& aTask)
{
  return !IsSuspect(aTask) || aTask.mCrashHistory.mIsStored;
}

bool MayStartBesideOthers(const DispatchTask& aTask, TimePoint aNow)
{
  const TimePoint since =
    std::max(aTask.mWaitingSince, aTask.mCrashHistory.mCountedAt);
  const bool hasWaited = aNow - since > kMaxApartWait;
  return IsCrashHistorySafe(aTask) && (!NeedsIsolation(aTask) || hasWaited);
}

bool HasUnseenRun(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  const bool hasUnseenTask = std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskId& aKey) {
      return !IsSeenAtWork(*FindTask(aShard, aKey));
    });
  return hasUnseenTask || !aWorker.mRunsToStop.empty();
}

bool HasSuspect(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  return std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskId& aKey) {
      return aShard.mSuspects.contains(aKey);
    });
}

std::set<std::string> IsolatedWorkers(const DispatchShard& aShard)
{
  std::set<std::string> workers;
  for (const auto& key : aShard.mSuspects) {
    const DispatchTask* task = FindTask(aShard, key);
    const bool isIsolated = task != nullptr && !task->mWorker.empty() &&
                            task->mIsIsolated && !IsSeenAtWork(*task);
    if (isIsolated) {
      workers.insert(task->mWorker);
    }
  }
  return workers;
}

} // namespace verbenacroft
