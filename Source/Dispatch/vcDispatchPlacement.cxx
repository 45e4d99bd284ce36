#include "vcDispatchPlacement.h"

#include "vcDispatchJobs.h"
#include "vcDispatchSharing.h"
#include "vcDispatchWorkers.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// A start is refused by its worker when it arrives later than this.
constexpr Duration kStartWindow{ 1'500 };
/// A worker that hasn't answered for so long is given nothing.
constexpr Duration kFreshReport{ 1'800 };
/// A step that finds no room this often ends the round: those behind it need
/// about as much.
constexpr int kMostMisses = 24;
/// A filling task is started with at least this share of its processors.
constexpr double kLeastFillingShare = 0.9;
struct Candidate
{
  TaskId mFirst;
  std::int32_t mPriority = 0;
  bool mIsLate = false;
  TimePoint mObjectiveAt{ 0 };
};

bool ComesBefore(const Candidate& aLeft, const Candidate& aRight)
{
  return std::tie(
           aLeft.mPriority, aLeft.mIsLate, aLeft.mObjectiveAt, aLeft.mFirst) <
         std::tie(aRight.mPriority,
                  aRight.mIsLate,
                  aRight.mObjectiveAt,
                  aRight.mFirst);
}

/// Steps of a job that wait for a start.
void CollectSteps(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  TimePoint aNow,
                  std::int64_t aNowMs,
                  std::vector<Candidate>& aOut)
{
  const BatchSpec& spec = aJob.mRecord.mSpec;
  for (std::uint32_t o = 0; o < aJob.mOccurrences.size(); ++o) {
    const std::int64_t dueAt = DueAtMs(spec, o);
    if (dueAt > aNowMs + aShard.mBounds.mEarly.count()) {
      return;
    }
    const Occurrence& occurrence = aJob.mOccurrences[o];
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& tasks = occurrence.mSteps[s].mTasks;
      const bool hasWaiting =
        std::any_of(tasks.begin(), tasks.end(), [](const TaskSlot& aTask) {
          return aTask.mPhase == RunPhase::kWaiting;
        });
      if (!hasWaiting || !IsStepReady(aJob, occurrence, s)) {
        continue;
      }
      Candidate candidate;
      candidate.mFirst = { aJob.mId, o, s, 0 };
      candidate.mPriority = aJob.mRecord.mTerms.mPriority;
      candidate.mObjectiveAt =
        dueAt > 0 ? aNow + Duration(dueAt - aNowMs) : aJob.mObjectiveAt;
      candidate.mIsLate = !spec.mSteps[s].mIsLasting && dueAt == 0 &&
                          candidate.mObjectiveAt < aNow;
      aOut.push_back(candidate);
    }
  }
}

bool HasLabel(const WorkerEntry& aEntry, const std::string& aLabel)
{
  return std::find(aEntry.mLabels.begin(), aEntry.mLabels.end(), aLabel) !=
         aEntry.mLabels.end();
}

/// What of a placement is the same for all tasks of a step.
struct StepNeeds
{
  const StepSpec& mStep;
  const std::string& mService;
  Resources mCounted;
  /// Only of a step whose tasks fill.
  FillingNeeds mFilling;
  /// Tasks of the step on each worker.
  std::map<std::string, std::uint32_t> mOnWorker;
};

StepNeeds NeedsOf(DispatchShard& aShard, const TaskId& aKey)
{
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  StepNeeds needs{ StepOf(job, aKey),
                   job.mRecord.mTerms.mService,
                   StepOf(job, aKey).mNeeds,
                   {},
                   {} };
  if (needs.mStep.mIsFilling) {
    needs.mCounted.mMilliCpu = 0;
    needs.mFilling = FillingNeedsOf(needs.mStep);
  }
  const auto& tasks =
    job.mOccurrences[aKey.mOccurrence].mSteps[aKey.mStep].mTasks;
  for (const auto& task : tasks) {
    if (!task.mWorker.empty()) {
      ++needs.mOnWorker[task.mWorker];
    }
  }
  return needs;
}

bool IsUsable(const DispatchShard& aShard,
              const DispatchWorker& aWorker,
              TimePoint aNow)
{
  return aWorker.mIsListed && aWorker.mIsRecorded && aWorker.mHasAnswered &&
         !aWorker.mIsSilent && !aWorker.mEntry.mIsDraining &&
         aNow >= aWorker.mAvoidedUntil &&
         aNow - aWorker.mLastHeardAt < kFreshReport &&
         !aShard.mEvacuated.contains(aWorker.mEntry.mDataCentre);
}

bool IsAllowed(const StepNeeds& aNeeds, const DispatchWorker& aWorker)
{
  const StepSpec& step = aNeeds.mStep;
  if (aWorker.mEntry.mService != aNeeds.mService) {
    return false;
  }
  if (!step.mRequiredLabel.empty() &&
      !HasLabel(aWorker.mEntry, step.mRequiredLabel)) {
    return false;
  }
  const auto found = aNeeds.mOnWorker.find(aWorker.mEntry.mWorker);
  const std::uint32_t there =
    found == aNeeds.mOnWorker.end() ? 0 : found->second;
  return step.mMaxPerWorker == 0 || there < step.mMaxPerWorker;
}

/// Cost of placing a task of the step on the worker; nothing if it can't be.
std::optional<double> CostOf(const DispatchShard& aShard,
                             const StepNeeds& aNeeds,
                             const DispatchWorker& aWorker,
                             TimePoint aNow)
{
  const Resources after = aWorker.mUsed + aNeeds.mCounted;
  if (!Fits(after, aWorker.mEntry.mCapacity)) {
    return std::nullopt;
  }
  const StepSpec& step = aNeeds.mStep;
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aWorker.mEntry.mCapacity.mMilliCpu, 1));
  const double used = static_cast<double>(after.mMilliCpu) / capacity;
  const double filling = static_cast<double>(aWorker.mFillingCpu) / capacity;
  constexpr double kFarPenalty = 4;
  constexpr double kColdPenalty = 2;
  double cost = 0;
  if (!step.mPreferredRack.empty() &&
      !HasLabel(aWorker.mEntry, step.mPreferredRack)) {
    cost += kFarPenalty;
  }
  if (aWorker.mEntry.mColdMs > 0) {
    cost += kColdPenalty;
  }
  if (step.mIsFilling) {
    const auto wanted = aNeeds.mFilling.mCpu;
    const auto room = static_cast<double>(FillingRoom(aWorker));
    if (room < wanted * kLeastFillingShare || aNow < aWorker.mNoFillingUntil) {
      return std::nullopt;
    }
    const FillingEffect effect =
      EffectOf(aShard, aWorker, aNeeds.mFilling, aNow);
    if (effect.mIsTooMuch) {
      return std::nullopt;
    }
    // A task that disturbs little leaves the workers that nothing disturbs
    // to those that disturb more.
    constexpr double kRegretWeight = 4;
    return cost + 2 * effect.mAdded +
           kRegretWeight * (effect.mAdded - effect.mUsual) - room / capacity;
  }
  if (step.mTargetMs > 0) {
    // Images differ in how much they mind filling tasks. Kept apart, those
    // that mind leave the workers of the others to all filling tasks.
    const auto same = aWorker.mServingImages.count(step.mImage);
    const auto others = aWorker.mServingImages.size() - same;
    return cost + 4 * static_cast<double>(others) -
           2 * static_cast<double>(same) + 2 * filling - used;
  }
  return cost + std::max(0.0, used + filling - 1) * 3 + used;
}

DispatchWorker* ChooseWorker(DispatchShard& aShard,
                             const StepNeeds& aNeeds,
                             const std::string& aAvoided,
                             TimePoint aNow)
{
  constexpr double kAvoidedPenalty = 8;
  DispatchWorker* best = nullptr;
  double bestCost = 0;
  for (auto& [name, worker] : aShard.mWorkers) {
    if (!IsUsable(aShard, worker, aNow) || !IsAllowed(aNeeds, worker)) {
      continue;
    }
    auto cost = CostOf(aShard, aNeeds, worker, aNow);
    if (!cost) {
      continue;
    }
    if (name == aAvoided) {
      *cost += kAvoidedPenalty;
    }
    if (best == nullptr || *cost < bestCost) {
      best = &worker;
      bestCost = *cost;
    }
  }
  return best;
}

void StartOn(DispatchShard& aShard,
             const TaskId& aKey,
             DispatchWorker& aWorker,
             std::uint32_t aRun,
             TimePoint aNow,
             DispatchActions& aActions)
{
  TaskSlot& task = *FindTask(aShard, aKey);
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  Assign(aShard, aKey, aWorker.mEntry.mWorker, aRun);
  task.mPhase = RunPhase::kStarting;
  task.mOrderedAt = aNow;
  task.mNotAfter = EstimateClock(aWorker, aNow) + kStartWindow.count();
  aWorker.mLeaseUntil = std::max(aWorker.mLeaseUntil, task.mNotAfter);
  StartOrder order;
  order.mTask = aKey;
  order.mRun = aRun;
  order.mText = job.mRecord.mSpec.mText;
  order.mCheckpoint = task.mCheckpoint;
  order.mEpoch = aShard.mEpoch;
  order.mNotAfter = task.mNotAfter;
  const StepSpec& step = StepOf(job, aKey);
  if (step.mIsFilling) {
    NotePlacedFilling(aShard, aWorker, FillingNeedsOf(step), aNow);
  }
  spdlog::info("task.start task={} run={} worker={} failures={} waited_ms={}",
               Describe(order.mTask),
               aRun,
               aWorker.mEntry.mWorker,
               task.mFailedRuns.size(),
               (aNow - job.mAcceptedAt).count());
  aActions.mStarts.push_back({ aWorker.mEntry.mWorker, std::move(order) });
}

/// Starts the waiting tasks of a step one by one.
/// @return false if one of them found no worker
bool StartSingly(DispatchShard& aShard,
                 const TaskId& aFirst,
                 TimePoint aNow,
                 DispatchActions& aActions)
{
  StepNeeds needs = NeedsOf(aShard, aFirst);
  TaskId key = aFirst;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    const TaskSlot& task = *FindTask(aShard, key);
    if (task.mPhase != RunPhase::kWaiting) {
      continue;
    }
    DispatchWorker* worker =
      ChooseWorker(aShard, needs, task.mAvoidedWorker, aNow);
    if (worker == nullptr) {
      return false;
    }
    ++needs.mOnWorker[worker->mEntry.mWorker];
    StartOn(aShard, key, *worker, task.mHighestRun + 1, aNow, aActions);
  }
  return true;
}

/// Starts all tasks of a gang, or none of them.
bool StartGang(DispatchShard& aShard,
               const TaskId& aFirst,
               TimePoint aNow,
               DispatchActions& aActions)
{
  StepNeeds needs = NeedsOf(aShard, aFirst);
  const auto& tasks = aShard.mJobs.at(aFirst.mJob)
                        .mOccurrences[aFirst.mOccurrence]
                        .mSteps[aFirst.mStep]
                        .mTasks;
  std::uint32_t run = 0;
  std::string checkpoint;
  for (const auto& task : tasks) {
    if (task.mPhase != RunPhase::kWaiting) {
      return true;
    }
    if (task.mHighestRun >= run && !task.mCheckpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
    run = std::max(run, task.mHighestRun);
  }
  std::vector<std::string> chosen;
  TaskId key = aFirst;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    DispatchWorker* worker = ChooseWorker(aShard, needs, {}, aNow);
    if (worker == nullptr) {
      break;
    }
    // Takes the room for the members that follow.
    Assign(aShard, key, worker->mEntry.mWorker, run + 1);
    chosen.push_back(worker->mEntry.mWorker);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    Release(aShard,
            { aFirst.mJob, aFirst.mOccurrence, aFirst.mStep, i },
            RunPhase::kWaiting);
  }
  if (chosen.size() < needs.mStep.mCount) {
    return false;
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    key.mIndex = i;
    FindTask(aShard, key)->mCheckpoint = checkpoint;
    StartOn(
      aShard, key, aShard.mWorkers.at(chosen[i]), run + 1, aNow, aActions);
  }
  return true;
}

} // namespace

void PlanStarts(DispatchShard& aShard,
                TimePoint aNow,
                std::int64_t aNowMs,
                DispatchActions& aActions)
{
  if (!aShard.mMayStart || aShard.mIsDeposed) {
    return;
  }
  const bool isClear = IsBarrierClear(aShard, aNow);
  std::vector<Candidate> candidates;
  for (const auto& [id, job] : aShard.mJobs) {
    const bool isKnown = isClear || job.mCreatedAt > aShard.mEpoch;
    if (isKnown && !IsFinal(job.mState)) {
      CollectSteps(aShard, job, aNow, aNowMs, candidates);
    }
  }
  std::sort(candidates.begin(), candidates.end(), ComesBefore);
  int misses = 0;
  for (const auto& candidate : candidates) {
    const StepSpec& step =
      StepOf(aShard.mJobs.at(candidate.mFirst.mJob), candidate.mFirst);
    const bool isPlaced =
      step.mIsGang ? StartGang(aShard, candidate.mFirst, aNow, aActions)
                   : StartSingly(aShard, candidate.mFirst, aNow, aActions);
    misses += isPlaced ? 0 : 1;
    if (misses > kMostMisses) {
      return;
    }
  }
}

} // namespace verbenacroft
