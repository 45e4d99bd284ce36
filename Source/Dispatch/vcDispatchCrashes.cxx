#include "vcDispatchCrashes.h"

#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"
#include "vcSuspectIsolation.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace verbenacroft {

namespace {

/// A suspect whose run lasts for this long, and this many times as long as its
/// longest run before a crash, isn't suspected any more.
constexpr Duration kMinClearingRun{ 10'000 };
constexpr int kClearingRuns = 4;
/// Maximum number of suspects, so that their record fits into one value of the
/// store.
constexpr std::size_t kMaxSuspects = 500;
/// In a crash of many only a run that may have begun this long before it
/// counts, since a task that crashes its worker mostly does so at its start.
constexpr Duration kFreshRun{ 300 };
/// How long a crash is compared with others that are noticed after it.
constexpr Duration kReconsidered{ 30'000 };
/// A connection that breaks so soon before the next incarnation begins, or
/// later, may be broken by that one's machine.
constexpr Duration kMinDownTime{ 500 };

/// What a report of the next incarnation shows about the crash of the one
/// before.
struct CrashEvidence
{
  /// Latest possible start of the next incarnation, if it is known.
  std::optional<TimePoint> mBornBy;
  /// Runs that the next incarnation has started.
  std::set<std::pair<TaskId, std::uint32_t>> mStarted;
};

/// Latest possible start of the incarnation that sent the report. Nothing if
/// its clock didn't begin at its start, as a reading shows that reaches back
/// beyond the last report of the incarnation before.
std::optional<TimePoint> BornBy(const DispatchWorker& aWorker,
                                const WorkerReport& aReport,
                                TimePoint aNow)
{
  // Without a report to this owner nothing shows whether the clock began at the
  // start, and the runs of an owner before have no exact times.
  const bool isDated = aReport.mOutcome == OrderOutcome::kDone &&
                       aReport.mClock > 0 && aWorker.mHasAnswered;
  const TimePoint born = aNow - Duration(aReport.mClock);
  const bool isLater = born > aWorker.mLastReportAt;
  return isDated && isLater ? std::optional(born) : std::nullopt;
}

CrashEvidence EvidenceOf(const DispatchWorker& aWorker,
                         const WorkerReport& aReport,
                         TimePoint aNow)
{
  CrashEvidence evidence{ BornBy(aWorker, aReport, aNow), {} };
  for (const auto& row : aReport.mRunning) {
    evidence.mStarted.insert({ row.mTask, row.mRun });
  }
  for (const auto& end : aReport.mEnded) {
    evidence.mStarted.insert({ end.mTask, end.mRun });
  }
  return evidence;
}

LostRun LostRunOf(const DispatchShard& aShard, const TaskId& aKey)
{
  const DispatchTask& task = *FindTask(aShard, aKey);
  return { aKey,
           task.mRun,
           task.mFirstSeenClock != 0,
           IsSeenAtWork(task),
           task.mSeenAtWorkFor,
           task.mStartOrderedAt,
           task.mStartBrokenAt };
}

/// True if the worker was up when it was told to start the run. One that was
/// down before the start is silent until the next incarnation breaks the
/// connection; one that the task crashes at once closes its connections.
bool HasBegun(const LostRun& aRun, const CrashEvidence& aEvidence)
{
  if (aRun.mHasBegun || aRun.mStartBrokenAt == kNever) {
    return aRun.mHasBegun;
  }
  return !aEvidence.mBornBy ||
         aRun.mStartBrokenAt + kMinDownTime <= *aEvidence.mBornBy;
}

/// True if the next incarnation has started the run, or may have, if its number
/// isn't known. It may also have started an earlier run of the task, late.
bool WasStartedAgain(const LostRun& aRun, const CrashEvidence& aEvidence)
{
  if (aRun.mRun != 0) {
    return aEvidence.mStarted.contains({ aRun.mTask, aRun.mRun });
  }
  const auto first = aEvidence.mStarted.lower_bound({ aRun.mTask, 0 });
  return first != aEvidence.mStarted.end() && first->first == aRun.mTask;
}

/// True if the run began after the crash, if at all.
bool IsAfterCrash(const LostRun& aRun, const CrashEvidence& aEvidence)
{
  const bool isOrderedLater =
    aEvidence.mBornBy && aRun.mStartOrderedAt > *aEvidence.mBornBy;
  return isOrderedLater || WasStartedAgain(aRun, aEvidence);
}

/// Runs that may have caused a crash of the worker.
std::vector<LostRun> RunsOf(const DispatchShard& aShard,
                            const DispatchWorker& aWorker,
                            const CrashEvidence& aEvidence)
{
  std::vector<LostRun> runs;
  for (const auto& key : aWorker.mTasks) {
    runs.push_back(LostRunOf(aShard, key));
  }
  runs.insert(runs.end(), aWorker.mLostRuns.begin(), aWorker.mLostRuns.end());
  std::erase_if(
    runs, [&](const LostRun& aRun) { return IsAfterCrash(aRun, aEvidence); });
  for (auto& run : runs) {
    run.mHasBegun = HasBegun(run, aEvidence);
  }
  return runs;
}

/// Latest possible time of a crash of the worker.
TimePoint CrashedBy(const DispatchWorker& aWorker,
                    const CrashEvidence& aEvidence,
                    TimePoint aNow)
{
  const TimePoint noticed =
    IsSilent(aWorker) ? std::min(aWorker.mSilentSince, aNow) : aNow;
  return std::min(noticed, aEvidence.mBornBy.value_or(noticed));
}

/// True if the run may have begun just before the crash. What an owner before
/// recorded did.
bool MayBeFresh(const DispatchWorker& aWorker,
                const LostRun& aRun,
                TimePoint aCrashedBy)
{
  const TimePoint earliest = std::min(aWorker.mLastReportAt, aCrashedBy);
  return !aWorker.mHasAnswered || aRun.mStartOrderedAt + kFreshRun >= earliest;
}

/// True if a crash of many workers counts against the run.
bool CountsInGroup(const DispatchWorker& aWorker,
                   const LostRun& aRun,
                   TimePoint aCrashedBy)
{
  return !aRun.mIsSeenAtWork && aRun.mHasBegun &&
         MayBeFresh(aWorker, aRun, aCrashedBy);
}

/// The loss of a worker that has crashed by this time.
WorkerLoss LossOf(const DispatchWorker& aWorker, TimePoint aCrashedBy)
{
  const TimePoint aliveAt =
    aWorker.mHasAnswered ? aWorker.mLastReportAt : aCrashedBy;
  return { aWorker.mEntry.mWorker, std::min(aliveAt, aCrashedBy), aCrashedBy };
}

/// The runs of a worker that has crashed, all of them.
CrashSuspects AllRunsOf(const DispatchShard& aShard,
                        const DispatchWorker& aWorker,
                        const CrashEvidence& aEvidence,
                        TimePoint aNow)
{
  CrashSuspects suspects;
  suspects.mRuns = RunsOf(aShard, aWorker, aEvidence);
  suspects.mAll = suspects.mRuns.size();
  suspects.mUnseen = static_cast<std::size_t>(std::count_if(
    suspects.mRuns.begin(), suspects.mRuns.end(), [](const LostRun& aRun) {
      return !aRun.mIsSeenAtWork;
    }));
  suspects.mCrashedBy = CrashedBy(aWorker, aEvidence, aNow);
  return suspects;
}

/// Leaves the runs that a crash of the worker is counted against.
void LeaveSuspects(const DispatchShard& aShard,
                   const DispatchWorker& aWorker,
                   TimePoint aNow,
                   CrashSuspects& aSuspects)
{
  if (!aWorker.mWasLostTogether) {
    const WorkerLoss loss = LossOf(aWorker, aSuspects.mCrashedBy);
    aSuspects.mGroup = GroupOf(aShard, loss, aNow);
  }
  aSuspects.mHasOutsideCause =
    aWorker.mWasLostTogether || HasOutsideCause(aSuspects.mGroup);
  if (aSuspects.mHasOutsideCause) {
    std::erase_if(aSuspects.mRuns, [&](const LostRun& aRun) {
      return !CountsInGroup(aWorker, aRun, aSuspects.mCrashedBy);
    });
  } else if (aSuspects.mUnseen > 0) {
    std::erase_if(aSuspects.mRuns,
                  [](const LostRun& aRun) { return aRun.mIsSeenAtWork; });
  }
}

/// True if so many workers may have crashed under the task that it is given
/// up.
/// @param aMaxCrashes number of them that suffices if all had begun it
bool IsToBeGivenUp(const CrashHistory& aHistory, std::uint32_t aMaxCrashes)
{
  return aHistory.mCrashes >= aMaxCrashes ||
         aHistory.mCrashes + aHistory.mUnconfirmed >= kMaxPossibleCrashes;
}

void GiveUp(DispatchShard& aShard,
            const TaskId& aKey,
            const CrashHistory& aHistory,
            TimePoint aNow,
            std::int64_t aNowMs)
{
  spdlog::warn("task.given-up task={} crashes={} unconfirmed={}",
               Describe(aKey),
               aHistory.mCrashes,
               aHistory.mUnconfirmed);
  FailJob(aShard, aKey.mJob, aNow, aNowMs);
}

/// Counts a crash against a task.
/// @param aRanFor longest time for which the run may have lasted
void CountCrash(DispatchShard& aShard,
                const LostRun& aRun,
                Duration aRanFor,
                TimePoint aNow)
{
  const TaskId& aKey = aRun.mTask;
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
  if (isNew) {
    history.mCountedSince = aNow;
    history.mLeastSeenAtWork = aRun.mSeenAtWorkFor;
  }
  history.mLeastSeenAtWork =
    std::min(history.mLeastSeenAtWork, aRun.mSeenAtWorkFor);
  ++(aRun.mHasBegun ? history.mCrashes : history.mUnconfirmed);
  history.mLongestRun = std::max(history.mLongestRun, aRanFor);
  history.mIsStored = false;
  history.mCountedAt = aNow;
  aShard.mSuspects.insert(aKey);
  ++aShard.mSuspectsVersion;
  spdlog::info("task.suspected task={} crashes={} unconfirmed={} ran_ms={} "
               "seen_at_work_ms={}",
               Describe(aKey),
               history.mCrashes,
               history.mUnconfirmed,
               aRanFor.count(),
               aRun.mSeenAtWorkFor.count());
}

/// Takes a crash back that was counted against a task.
/// @param aCountedAt when it was counted
void TakeBackCrash(DispatchShard& aShard,
                   const CountedRun& aRun,
                   TimePoint aCountedAt)
{
  DispatchTask* task = FindTask(aShard, aRun.mTask);
  if (task == nullptr || task->mPhase == RunPhase::kDone) {
    return;
  }
  CrashHistory& history = task->mCrashHistory;
  std::uint32_t& count =
    aRun.mHasBegun ? history.mCrashes : history.mUnconfirmed;
  // The task may have been cleared, and have become a suspect anew.
  if (count == 0 || history.mCountedSince > aCountedAt) {
    return;
  }
  --count;
  history.mIsStored = false;
  spdlog::info("task.crash-taken-back task={} crashes={} unconfirmed={}",
               Describe(aRun.mTask),
               history.mCrashes,
               history.mUnconfirmed);
  if (!IsSuspect(*task)) {
    history = {};
    aShard.mSuspects.erase(aRun.mTask);
  }
  ++aShard.mSuspectsVersion;
}

/// Remembers the runs that the crash of the worker was counted against only
/// since it seemed to have crashed alone.
void RememberCrash(DispatchShard& aShard,
                   const DispatchWorker& aWorker,
                   const CrashSuspects& aSuspects,
                   TimePoint aNow)
{
  const WorkerLoss loss = LossOf(aWorker, aSuspects.mCrashedBy);
  RememberLoss(aShard, loss, aNow);
  CountedCrash crash{ loss, aNow, {} };
  for (const auto& run : aSuspects.mRuns) {
    if (!CountsInGroup(aWorker, run, aSuspects.mCrashedBy)) {
      crash.mRuns.push_back({ run.mTask, run.mHasBegun });
    }
  }
  if (!crash.mRuns.empty()) {
    aShard.mCountedCrashes.push_back(std::move(crash));
  }
}

/// True if the task's run lasts so long that the task isn't suspected any
/// more.
bool IsCleared(const DispatchTask& aTask)
{
  const Duration needed =
    std::max(kMinClearingRun, kClearingRuns * aTask.mCrashHistory.mLongestRun);
  return aTask.mSeenAtWorkFor >= needed;
}

} // namespace

Duration RanFor(const CrashSuspects& aSuspects, const LostRun& aRun)
{
  return std::max(aSuspects.mCrashedBy - aRun.mStartOrderedAt, Duration(0));
}

CrashSuspects RunsInDoubt(const DispatchShard& aShard,
                          const DispatchWorker& aWorker,
                          TimePoint aNow)
{
  const bool mayCount =
    IsSilent(aWorker) && !aWorker.mIsReplaced && !aWorker.mEntry.mIsDraining;
  if (!mayCount) {
    return {};
  }
  CrashSuspects suspects = AllRunsOf(aShard, aWorker, CrashEvidence{}, aNow);
  if (suspects.mUnseen == 0) {
    return {};
  }
  LeaveSuspects(aShard, aWorker, aNow, suspects);
  return suspects;
}

void InheritRunsInDoubt(DispatchShard& aShard, const InheritedSilence& aSilence)
{
  DispatchWorker* worker = FindWorker(aShard, aSilence.mWorker);
  if (worker == nullptr) {
    return;
  }
  worker->mIncarnation = aSilence.mIncarnation;
  worker->mWasLostTogether = aSilence.mHasOutsideCause;
  for (const auto& run : aSilence.mRuns) {
    const DispatchTask* task = OpenTask(aShard, run.mTask);
    if (task != nullptr && task->mPhase != RunPhase::kDone) {
      worker->mLostRuns.push_back({ run.mTask,
                                    0,
                                    run.mHasBegun,
                                    false,
                                    Duration(0),
                                    worker->mSilentSince - run.mRanFor });
    }
  }
  spdlog::info("worker.runs-in-doubt worker={} tasks={} outside_cause={}",
               aSilence.mWorker,
               worker->mLostRuns.size(),
               aSilence.mHasOutsideCause);
}

void OnWorkerCrashed(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const WorkerReport& aReport,
                     TimePoint aNow,
                     std::int64_t aNowMs)
{
  if (aWorker.mEntry.mIsDraining) {
    return;
  }
  const CrashEvidence evidence = EvidenceOf(aWorker, aReport, aNow);
  CrashSuspects suspects = AllRunsOf(aShard, aWorker, evidence, aNow);
  LeaveSuspects(aShard, aWorker, aNow, suspects);
  aWorker.mLostRuns.clear();
  aWorker.mWasLostTogether = false;
  ++aShard.mSilenceVersion;
  spdlog::warn("worker.crashed worker={} tasks={} suspects={} outside_cause={} "
               "together={} compared={} last_report_ms_ago={} "
               "at_least_ms_ago={}",
               aWorker.mEntry.mWorker,
               suspects.mAll,
               suspects.mRuns.size(),
               suspects.mHasOutsideCause,
               suspects.mGroup.mTogether,
               suspects.mGroup.mCompared,
               (aNow - aWorker.mLastReportAt).count(),
               (aNow - suspects.mCrashedBy).count());
  for (const auto& run : suspects.mRuns) {
    CountCrash(aShard, run, RanFor(suspects, run), aNow);
  }
  RememberCrash(aShard, aWorker, suspects, aNow);
  ReconsiderCrashes(aShard, aNow);
  // A task that has just been started apart from others is the culprit.
  constexpr std::uint32_t kCrashesOfCulprit = 2;
  const bool isNamed = suspects.mUnseen == 1 && !suspects.mHasOutsideCause &&
                       aWorker.mRunsToStop.empty();
  const std::uint32_t most = isNamed ? kCrashesOfCulprit : kMaxCrashes;
  for (const auto& run : suspects.mRuns) {
    const DispatchTask* task = FindTask(aShard, run.mTask);
    if (task != nullptr && IsToBeGivenUp(task->mCrashHistory, most)) {
      GiveUp(aShard, run.mTask, task->mCrashHistory, aNow, aNowMs);
    }
  }
}

void ReconsiderCrashes(DispatchShard& aShard, TimePoint aNow)
{
  std::erase_if(aShard.mCountedCrashes, [&](const CountedCrash& aCrash) {
    if (aNow - aCrash.mLoss.mLostBy > kReconsidered) {
      return true;
    }
    const bool isOfMany = HasOutsideCause(GroupOf(aShard, aCrash.mLoss, aNow));
    if (isOfMany) {
      for (const auto& run : aCrash.mRuns) {
        TakeBackCrash(aShard, run, aCrash.mCountedAt);
      }
    }
    return isOfMany;
  });
}

void NoteLostRun(const DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const TaskId& aKey)
{
  aWorker.mLostRuns.push_back(LostRunOf(aShard, aKey));
}

void ApplyCrashHistory(DispatchShard& aShard,
                       const TaskId& aKey,
                       const CrashHistory& aStored,
                       TimePoint aNow,
                       std::int64_t aNowMs)
{
  DispatchTask* task = OpenTask(aShard, aKey);
  const bool hasCrashes = aStored.mCrashes + aStored.mUnconfirmed > 0;
  if (task == nullptr || task->mPhase == RunPhase::kDone || !hasCrashes) {
    return;
  }
  task->mCrashHistory = aStored;
  task->mCrashHistory.mIsStored = true;
  task->mCrashHistory.mCountedSince = aNow;
  task->mCrashHistory.mCountedAt = aNow;
  aShard.mSuspects.insert(aKey);
  if (IsToBeGivenUp(aStored, kMaxCrashes)) {
    GiveUp(aShard, aKey, aStored, aNow, aNowMs);
  }
}

void MarkCrashHistoryStored(DispatchShard& aShard,
                            const TaskId& aKey,
                            const CrashHistory& aStored)
{
  DispatchTask* task = FindTask(aShard, aKey);
  if (task == nullptr) {
    return;
  }
  CrashHistory& history = task->mCrashHistory;
  if (history.mCrashes == aStored.mCrashes &&
      history.mUnconfirmed == aStored.mUnconfirmed) {
    history.mIsStored = true;
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

} // namespace verbenacroft
