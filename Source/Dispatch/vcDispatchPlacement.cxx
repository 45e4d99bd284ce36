#include "vcDispatchPlacement.h"

#include "vcDispatchJobs.h"
#include "vcDispatchSharing.h"
#include "vcDispatchWorkers.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

namespace verbenacroft {

namespace {

/// A start is refused by its worker when it arrives later than this.
constexpr Duration kStartWindow{ 1'500 };
/// A worker that hasn't answered for so long is given nothing.
constexpr Duration kFreshReport{ 1'800 };
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

/// A worker and the cost of a task of the step there.
struct Place
{
  double mCost = 0;
  DispatchWorker* mWorker = nullptr;
};

/// Orders a heap by cost, the least on top; the name settles ties.
bool IsDearer(const Place& aLeft, const Place& aRight)
{
  return std::tie(aLeft.mCost, aLeft.mWorker->mEntry.mWorker) >
         std::tie(aRight.mCost, aRight.mWorker->mEntry.mWorker);
}

/// The places for the tasks of one step. A start changes only the cost of
/// its own worker, so the others are looked at once a step.
class StepPlaces
{
public:
  StepPlaces(DispatchShard& aShard,
             const StepNeeds& aNeeds,
             const std::vector<DispatchWorker*>& aWorkers,
             TimePoint aNow)
    : mShard(aShard)
    , mNeeds(aNeeds)
    , mNow(aNow)
  {
    for (auto* worker : aWorkers) {
      this->Add(*worker);
    }
    std::make_heap(this->mPlaces.begin(), this->mPlaces.end(), IsDearer);
  }

  /// Takes the best worker out; `aAvoided` only where there is no other.
  /// @return null if none is left
  DispatchWorker* Take(const std::string& aAvoided)
  {
    DispatchWorker* best = this->Pop();
    const bool isAvoided = best != nullptr && best->mEntry.mWorker == aAvoided;
    if (!isAvoided || this->mPlaces.empty()) {
      return best;
    }
    DispatchWorker* other = this->Pop();
    this->PutBack(*best);
    return other;
  }

  /// Puts a worker back at its present cost, if it has room left.
  void PutBack(DispatchWorker& aWorker)
  {
    if (this->Add(aWorker)) {
      std::push_heap(this->mPlaces.begin(), this->mPlaces.end(), IsDearer);
    }
  }

private:
  bool Add(DispatchWorker& aWorker)
  {
    if (!IsAllowed(this->mNeeds, aWorker)) {
      return false;
    }
    const auto cost = CostOf(this->mShard, this->mNeeds, aWorker, this->mNow);
    if (cost) {
      this->mPlaces.push_back({ *cost, &aWorker });
    }
    return cost.has_value();
  }

  DispatchWorker* Pop()
  {
    if (this->mPlaces.empty()) {
      return nullptr;
    }
    std::pop_heap(this->mPlaces.begin(), this->mPlaces.end(), IsDearer);
    DispatchWorker* worker = this->mPlaces.back().mWorker;
    this->mPlaces.pop_back();
    return worker;
  }

  DispatchShard& mShard;
  const StepNeeds& mNeeds;
  TimePoint mNow;
  std::vector<Place> mPlaces;
};

/// Needs for which a round found no worker. Steps that need as much of the
/// same kind needn't be tried again in that round.
class Misses
{
public:
  void Note(const std::string& aService, const StepSpec& aStep)
  {
    this->mRows[KeyOf(aService, aStep)].push_back(aStep.mNeeds);
  }

  bool IsHopeless(const std::string& aService, const StepSpec& aStep) const
  {
    const auto found = this->mRows.find(KeyOf(aService, aStep));
    if (found == this->mRows.end()) {
      return false;
    }
    const Resources& wanted = aStep.mNeeds;
    return std::any_of(
      found->second.begin(),
      found->second.end(),
      [&](const Resources& aMissed) { return Fits(aMissed, wanted); });
  }

private:
  /// Service, label, and the image of a step that fills, since images differ
  /// in the workers that they fit on.
  using Key = std::tuple<std::string, std::string, std::string, bool>;

  static Key KeyOf(const std::string& aService, const StepSpec& aStep)
  {
    return { aService,
             aStep.mRequiredLabel,
             aStep.mIsFilling ? aStep.mImage : std::string(),
             aStep.mIsFilling };
  }

  std::map<Key, std::vector<Resources>> mRows;
};

/// What one round of starts works with.
struct Round
{
  TimePoint mNow{ 0 };
  /// Workers that may be given something, by service.
  std::map<std::string, std::vector<DispatchWorker*>> mUsable;
  Misses mMisses;
};

Round MakeRound(DispatchShard& aShard, TimePoint aNow)
{
  Round round;
  round.mNow = aNow;
  for (auto& [name, worker] : aShard.mWorkers) {
    if (IsUsable(aShard, worker, aNow)) {
      round.mUsable[worker.mEntry.mService].push_back(&worker);
    }
  }
  return round;
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

/// Starts the waiting tasks of a step one by one, as far as there is room.
void StartSingly(DispatchShard& aShard,
                 const TaskId& aFirst,
                 Round& aRound,
                 DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirst.mJob);
  const std::string& service = job.mRecord.mTerms.mService;
  if (aRound.mMisses.IsHopeless(service, StepOf(job, aFirst))) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirst);
  StepPlaces places(aShard, needs, aRound.mUsable[needs.mService], aRound.mNow);
  TaskId key = aFirst;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    const TaskSlot& task = *FindTask(aShard, key);
    if (task.mPhase != RunPhase::kWaiting) {
      continue;
    }
    DispatchWorker* worker = places.Take(task.mAvoidedWorker);
    if (worker == nullptr) {
      // With a limit on each worker, other steps may yet find room.
      if (needs.mStep.mMaxPerWorker == 0) {
        aRound.mMisses.Note(service, needs.mStep);
      }
      return;
    }
    ++needs.mOnWorker[worker->mEntry.mWorker];
    StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
    places.PutBack(*worker);
  }
}

/// Starts all tasks of a gang, or none of them.
void StartGang(DispatchShard& aShard,
               const TaskId& aFirst,
               Round& aRound,
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
      return;
    }
    if (task.mHighestRun >= run && !task.mCheckpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
    run = std::max(run, task.mHighestRun);
  }
  StepPlaces places(aShard, needs, aRound.mUsable[needs.mService], aRound.mNow);
  std::vector<std::string> chosen;
  TaskId key = aFirst;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    DispatchWorker* worker = places.Take({});
    if (worker == nullptr) {
      break;
    }
    // Takes the room for the members that follow.
    Assign(aShard, key, worker->mEntry.mWorker, run + 1);
    ++needs.mOnWorker[worker->mEntry.mWorker];
    places.PutBack(*worker);
    chosen.push_back(worker->mEntry.mWorker);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    Release(aShard,
            { aFirst.mJob, aFirst.mOccurrence, aFirst.mStep, i },
            RunPhase::kWaiting);
  }
  if (chosen.size() < needs.mStep.mCount) {
    return;
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    key.mIndex = i;
    FindTask(aShard, key)->mCheckpoint = checkpoint;
    DispatchWorker& worker = aShard.mWorkers.at(chosen[i]);
    StartOn(aShard, key, worker, run + 1, aRound.mNow, aActions);
  }
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
  Round round = MakeRound(aShard, aNow);
  for (const auto& candidate : candidates) {
    const StepSpec& step =
      StepOf(aShard.mJobs.at(candidate.mFirst.mJob), candidate.mFirst);
    if (step.mIsGang) {
      StartGang(aShard, candidate.mFirst, round, aActions);
    } else {
      StartSingly(aShard, candidate.mFirst, round, aActions);
    }
  }
}

} // namespace verbenacroft
