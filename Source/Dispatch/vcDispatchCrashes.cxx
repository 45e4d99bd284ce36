#include "vcDispatchCrashes.h"

#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A run that was seen at work for this long isn't likely to crash its worker.
constexpr Duration kMinSeenAtWork{ 500 };
/// The same for a suspect is a multiple of its longest run before a crash, up
/// to a maximum, since its worker takes nothing else meanwhile.
constexpr int kSeenRuns = 2;
constexpr Duration kMaxSeenAtWork{ 5'000 };
/// A suspect whose run lasts for this long, and this many times as long as its
/// longest run before a crash, isn't suspected any more.
constexpr Duration kMinClearingRun{ 10'000 };
constexpr int kClearingRuns = 4;
/// A suspect that has found no place apart for this long is started anywhere.
constexpr Duration kMaxApartWait{ 5'000 };
/// Maximum number of suspects, so that their record fits into one value of the
/// store.
constexpr std::size_t kMaxSuspects = 500;
/// Workers that fell silent within this time of each other did so together.
constexpr Duration kTogether{ 1'000 };
/// If at least this many did, and this part of all workers, the cause is
/// outside of them, such as their rack or their software.
constexpr std::size_t kMinTogether = 4;
constexpr double kMinPartTogether = 0.1;
/// Then only a run that began this long before its worker fell silent counts,
/// since a task that crashes its worker mostly does so at its start.
constexpr Duration kFreshRun{ 300 };

LostRun LostRunOf(const DispatchShard& aShard, const TaskId& aKey)
{
  const DispatchTask& task = *FindTask(aShard, aKey);
  return { aKey, IsSeenAtWork(task), task.mStartOrderedAt };
}

/// Runs that may have caused a crash of the worker.
std::vector<LostRun> RunsOf(const DispatchShard& aShard,
                            const DispatchWorker& aWorker)
{
  std::vector<LostRun> runs;
  for (const auto& key : aWorker.mTasks) {
    runs.push_back(LostRunOf(aShard, key));
  }
  runs.insert(runs.end(), aWorker.mLostRuns.begin(), aWorker.mLostRuns.end());
  return runs;
}

/// True if many workers fell silent together with this one.
bool HasOutsideCause(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  // A worker that has restarted at once wasn't silent.
  if (!aWorker.mIsUnresponsive) {
    return false;
  }
  const auto together = std::count_if(
    aShard.mWorkers.begin(), aShard.mWorkers.end(), [&](const auto& aRow) {
      const DispatchWorker& other = aRow.second;
      const Duration apart =
        std::chrono::abs(other.mSilentSince - aWorker.mSilentSince);
      return other.mIsUnresponsive && apart <= kTogether;
    });
  const double part =
    kMinPartTogether * static_cast<double>(aShard.mWorkers.size());
  return together >= static_cast<std::ptrdiff_t>(kMinTogether) &&
         static_cast<double>(together) >= part;
}

void GiveUp(DispatchShard& aShard,
            const TaskId& aKey,
            std::uint32_t aCrashes,
            TimePoint aNow,
            std::int64_t aNowMs)
{
  spdlog::warn("task.given-up task={} crashes={}", Describe(aKey), aCrashes);
  FailJob(aShard, aKey.mJob, aNow, aNowMs);
}

/// Counts a crash against a task.
/// @param aRanFor longest time for which the run may have lasted
void CountCrash(DispatchShard& aShard,
                const TaskId& aKey,
                Duration aRanFor,
                TimePoint aNow)
{
  DispatchTask* task = FindTask(aShard, aKey);
  if (task == nullptr || task->mPhase == RunPhase::kDone) {
    return;
  }
  const bool isNew = !aShard.mSuspects.contains(aKey);
  if (isNew && aShard.mSuspects.size() >= kMaxSuspects) {
    spdlog::warn("task.not-suspected task={} suspects={}",
                 Describe(aKey),
                 aShard.mSuspects.size());
    return;
  }
  CrashHistory& history = task->mCrashHistory;
  ++history.mCrashes;
  history.mLongestRun = std::max(history.mLongestRun, aRanFor);
  history.mIsStored = false;
  history.mCountedAt = aNow;
  aShard.mSuspects.insert(aKey);
  ++aShard.mSuspectsVersion;
  spdlog::info("task.suspected task={} crashes={} ran_ms={}",
               Describe(aKey),
               history.mCrashes,
               aRanFor.count());
}

/// True if the task's run lasts so long that the task isn't suspected any more.
bool IsCleared(const DispatchTask& aTask)
{
  const Duration needed =
    std::max(kMinClearingRun, kClearingRuns * aTask.mCrashHistory.mLongestRun);
  return aTask.mSeenAtWorkFor >= needed;
}

} // namespace

bool IsSuspect(const DispatchTask& aTask)
{
  return aTask.mCrashHistory.mCrashes > 0;
}

bool IsSeenAtWork(const DispatchTask& aTask)
{
  const Duration needed =
    std::clamp(kSeenRuns * aTask.mCrashHistory.mLongestRun,
               kMinSeenAtWork,
               kMaxSeenAtWork);
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
  return !IsSuspect(aTask) ||
         (IsCrashHistorySafe(aTask) && aNow - since > kMaxApartWait);
}

void OnWorkerCrashed(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     TimePoint aNow,
                     std::int64_t aNowMs)
{
  if (aWorker.mEntry.mIsDraining) {
    return;
  }
  std::vector<LostRun> runs = RunsOf(aShard, aWorker);
  aWorker.mLostRuns.clear();
  const auto all = runs.size();
  const auto unseen = static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [](const LostRun& aRun) {
      return !aRun.mIsSeenAtWork;
    }));
  const bool hasOutsideCause = HasOutsideCause(aShard, aWorker);
  const TimePoint silentSince =
    aWorker.mIsUnresponsive ? std::min(aWorker.mSilentSince, aNow) : aNow;
  if (hasOutsideCause) {
    std::erase_if(runs, [&](const LostRun& aRun) {
      return aRun.mIsSeenAtWork ||
             silentSince - aRun.mStartOrderedAt > kFreshRun;
    });
  } else if (unseen > 0) {
    std::erase_if(runs, [](const LostRun& aRun) { return aRun.mIsSeenAtWork; });
  }
  spdlog::warn("worker.crashed worker={} tasks={} suspects={} outside_cause={}",
               aWorker.mEntry.mWorker,
               all,
               runs.size(),
               hasOutsideCause);
  for (const auto& run : runs) {
    const Duration ranFor =
      std::max(silentSince - run.mStartOrderedAt, Duration(0));
    CountCrash(aShard, run.mTask, ranFor, aNow);
  }
  // A task that has just been started apart from others is the culprit.
  constexpr std::uint32_t kCrashesOfCulprit = 2;
  const bool isNamed = unseen == 1 && !hasOutsideCause;
  const std::uint32_t most = isNamed ? kCrashesOfCulprit : kMaxCrashes;
  for (const auto& run : runs) {
    const DispatchTask* task = FindTask(aShard, run.mTask);
    if (task != nullptr && task->mCrashHistory.mCrashes >= most) {
      GiveUp(aShard, run.mTask, task->mCrashHistory.mCrashes, aNow, aNowMs);
    }
  }
}

void NoteLostRun(const DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const TaskId& aKey)
{
  aWorker.mLostRuns.push_back(LostRunOf(aShard, aKey));
}

void ApplyCrashHistory(DispatchShard& aShard,
                       const TaskId& aKey,
                       std::uint32_t aCrashes,
                       Duration aLongestRun,
                       TimePoint aNow,
                       std::int64_t aNowMs)
{
  DispatchTask* task = OpenTask(aShard, aKey);
  if (task == nullptr || task->mPhase == RunPhase::kDone || aCrashes == 0) {
    return;
  }
  task->mCrashHistory = { aCrashes, aLongestRun, true, aNow };
  aShard.mSuspects.insert(aKey);
  if (aCrashes >= kMaxCrashes) {
    GiveUp(aShard, aKey, aCrashes, aNow, aNowMs);
  }
}

void MarkCrashHistoryStored(DispatchShard& aShard,
                            const TaskId& aKey,
                            std::uint32_t aCrashes)
{
  DispatchTask* task = FindTask(aShard, aKey);
  if (task != nullptr && task->mCrashHistory.mCrashes == aCrashes) {
    task->mCrashHistory.mIsStored = true;
  }
}

void ForgetClearedSuspects(DispatchShard& aShard)
{
  const auto forgotten =
    std::erase_if(aShard.mSuspects, [&](const TaskId& aKey) {
      DispatchTask* task = FindTask(aShard, aKey);
      if (task == nullptr || task->mPhase == RunPhase::kDone) {
        return true;
      }
      // The next owner has to learn that the job has failed, or why it has to.
      if (aShard.mJobs.at(aKey.mJob).mIsFinalStored) {
        return true;
      }
      if (!IsCleared(*task)) {
        return false;
      }
      spdlog::info("task.cleared task={} crashes={}",
                   Describe(aKey),
                   task->mCrashHistory.mCrashes);
      task->mCrashHistory = {};
      return true;
    });
  aShard.mSuspectsVersion += forgotten > 0 ? 1 : 0;
}

bool HasUnseenRun(const DispatchShard& aShard, const DispatchWorker& aWorker)
{
  return std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskId& aKey) {
      return !IsSeenAtWork(*FindTask(aShard, aKey));
    });
}

std::set<std::string> IsolatedWorkers(const DispatchShard& aShard)
{
  std::set<std::string> workers;
  for (const auto& key : aShard.mSuspects) {
    const DispatchTask* task = FindTask(aShard, key);
    const bool isUnseen =
      task != nullptr && !task->mWorker.empty() && !IsSeenAtWork(*task);
    if (isUnseen) {
      workers.insert(task->mWorker);
    }
  }
  return workers;
}

} // namespace verbenacroft
