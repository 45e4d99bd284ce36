#include "vcDispatchPlacement.h"

#include "vcDispatchCrashes.h"
#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"
#include "vcDispatchProbes.h"
#include "vcDispatchReservations.h"
#include "vcDispatchSharing.h"
#include "vcDispatchSuccession.h"
#include "vcDispatchTurnover.h"
#include "vcDispatchWorkerSet.h"
#include "vcOwnerPacing.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <variant>

namespace verbenacroft {

namespace {

/// No task is started on a worker whose last report is older than this.
constexpr Duration kMaxReportAge{ 1'800 };
/// A best-effort task is started only where at least this fraction of the
/// processors that it needs is free.
constexpr double kMinFreeCpuFraction = 0.9;
/// If more than this fraction of a service's workers is in quarantine, the
/// failures are taken to be the jobs' fault, and all workers are used.
constexpr double kMaxQuarantinedFraction = 0.5;

/// A worker that is reserved for a suspect stays so for this long after the
/// last round in which the suspect waited.
constexpr Duration kReservationTime{ 300 };

/// How long a job has had nothing running before one task of it is started
/// ahead of the usual order. The rest of `kMaxIdleTime` is for starts that are
/// refused, and for runs that end before they are reported.
constexpr Duration kTurnAfter{ 1'000 };

/// Tiers of the steps of one priority, in the order in which they start.
enum class Tier
{
  /// Long-running tasks that should be at work by now.
  kOverdueLongRunning,
  /// One task of a job that has had nothing running for `kTurnAfter`.
  kTurn,
  /// As many tasks as fit of a job that can still meet its objective.
  kOnTime,
  /// The next task of a late job whose only run has just ended, in its room.
  kSuccession,
  /// One task of a late job that has nothing running.
  kLateTurn,
  /// As many tasks as fit of a late job.
  kLate,
};

bool IsTurn(Tier aTier)
{
  return aTier == Tier::kTurn || aTier == Tier::kSuccession ||
         aTier == Tier::kLateTurn;
}

/// A step with tasks that wait for a start.
struct Candidate
{
  /// First task of the step.
  TaskId mFirstTask;
  std::int32_t mPriority = 0;
  Tier mTier = Tier::kOnTime;
  bool mIsBestEffort = false;
  /// When the job should be done, or, of a turn, since when it has been idle.
  TimePoint mDueAt{ 0 };
};

/// Groups of candidates that start one after the other, whatever the priority.
enum class CandidateGroup
{
  /// Few, and each has callers of its own that wait.
  kOverdueLongRunning,
  /// They take no capacity from others. Behind more urgent queues a best-effort
  /// job could wait without a bound.
  kBestEffortTurns,
  kOthers,
};

CandidateGroup GroupOf(const Candidate& aCandidate)
{
  if (aCandidate.mTier == Tier::kOverdueLongRunning) {
    return CandidateGroup::kOverdueLongRunning;
  }
  const bool isTurn = aCandidate.mTier == Tier::kTurn;
  return isTurn && aCandidate.mIsBestEffort ? CandidateGroup::kBestEffortTurns
                                            : CandidateGroup::kOthers;
}

std::tuple<CandidateGroup, std::int32_t, Tier, TimePoint, const TaskId&> RankOf(
  const Candidate& aCandidate)
{
  return { GroupOf(aCandidate),
           aCandidate.mPriority,
           aCandidate.mTier,
           aCandidate.mDueAt,
           aCandidate.mFirstTask };
}

bool ComesBefore(const Candidate& aLeft, const Candidate& aRight)
{
  return RankOf(aLeft) < RankOf(aRight);
}

/// True if a start of the task may be ordered, at least on some workers.
bool IsStartable(const DispatchTask& aTask, TimePoint aNow)
{
  return aTask.mPhase == RunPhase::kWaiting && aNow >= aTask.mRetryAt &&
         IsCrashHistorySafe(aTask);
}

/// True if a start of the task may be ordered on any worker.
bool IsWaiting(const DispatchTask& aTask, TimePoint aNow)
{
  return IsStartable(aTask, aNow) && MayStartBesideOthers(aTask, aNow);
}

/// Calls `aVisit` with the first task of each step of a job that is ready and
/// has waiting tasks.
template<class Visit>
void VisitReadySteps(const DispatchShard& aShard,
                     const DispatchJob& aJob,
                     std::int64_t aNowMs,
                     Visit aVisit)
{
  const BatchSpec& spec = aJob.mRecord.mSpec;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    const std::int64_t dueAt = DueAtMs(spec, number);
    if (dueAt > aNowMs + aShard.mBounds.mMaxEarlyStart.count()) {
      return;
    }
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& tasks = occurrence.mSteps[s].mTasks;
      const bool hasWaiting =
        std::any_of(tasks.begin(), tasks.end(), [](const DispatchTask& aTask) {
          return aTask.mPhase == RunPhase::kWaiting;
        });
      if (!hasWaiting || !IsStepReady(aJob, occurrence, s)) {
        continue;
      }
      aVisit(TaskId{ aJob.mId, number, s, 0 });
    }
  }
}

Tier TierOf(bool aIsLongRunning, bool aIsScheduled, bool aIsOverdue)
{
  if (!aIsOverdue) {
    return Tier::kOnTime;
  }
  if (aIsLongRunning) {
    return Tier::kOverdueLongRunning;
  }
  // An occurrence is worked for until its last task ends, however late.
  return aIsScheduled ? Tier::kOnTime : Tier::kLate;
}

/// Revisions of the store up to which the jobs wait that may run on workers
/// that haven't answered this owner.
struct HeldRevisions
{
  std::uint64_t mLongRunning = 0;
  /// Not lower than that of long-running steps.
  std::uint64_t mOthers = 0;
};

/// Appends the steps of a job that are ready, aren't held and have waiting
/// tasks.
void CollectSteps(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const HeldRevisions& aHeld,
                  TimePoint aNow,
                  std::int64_t aNowMs,
                  std::vector<Candidate>& aOut)
{
  VisitReadySteps(aShard, aJob, aNowMs, [&](TaskId aFirstTask) {
    const std::int64_t dueAt =
      DueAtMs(aJob.mRecord.mSpec, aFirstTask.mOccurrence);
    const bool isLasting = StepOf(aJob, aFirstTask).mIsLasting;
    const std::uint64_t heldUpTo =
      isLasting ? aHeld.mLongRunning : aHeld.mOthers;
    if (aJob.mCreatedAt <= heldUpTo) {
      return;
    }
    Candidate candidate;
    candidate.mIsBestEffort = StepOf(aJob, aFirstTask).mIsFilling;
    candidate.mFirstTask = std::move(aFirstTask);
    candidate.mPriority = aJob.mRecord.mTerms.mPriority;
    candidate.mDueAt =
      dueAt > 0 ? aNow + Duration(dueAt - aNowMs) : aJob.mObjectiveAt;
    candidate.mTier = TierOf(isLasting, dueAt > 0, candidate.mDueAt <= aNow);
    aOut.push_back(std::move(candidate));
  });
}

/// The sorted steps in the order of the round, with turns for those whose job
/// has nothing running. The tasks of a gang start together, so no single one
/// has a turn.
/// @param aKept receives the rooms that are kept for some of them
std::vector<Candidate> WithTurns(DispatchShard& aShard,
                                 const std::vector<Candidate>& aSteps,
                                 KeptRooms& aKept,
                                 TimePoint aNow,
                                 std::int64_t aNowMs)
{
  std::vector<Candidate> candidates = aSteps;
  const auto steps = static_cast<std::ptrdiff_t>(aSteps.size());
  for (const auto& step : aSteps) {
    const DispatchJob& job = aShard.mJobs.at(step.mFirstTask.mJob);
    const bool isGang = StepOf(job, step.mFirstTask).mIsGang;
    if (job.mActiveRuns > 0 || isGang) {
      continue;
    }
    Candidate turn = step;
    turn.mDueAt = IdleSince(job, step.mFirstTask, aNow, aNowMs);
    if (aNow - turn.mDueAt >= kTurnAfter) {
      turn.mTier = Tier::kTurn;
    } else if (step.mTier == Tier::kLate) {
      const DispatchWorker* left = WorkerLeftBy(aShard, job, turn.mDueAt, aNow);
      turn.mTier = left != nullptr ? Tier::kSuccession : Tier::kLateTurn;
      if (left != nullptr) {
        aKept.Keep(job, StepOf(job, step.mFirstTask), *left);
      }
    } else {
      continue;
    }
    candidates.push_back(std::move(turn));
  }
  const auto turns = candidates.begin() + steps;
  std::sort(turns, candidates.end(), ComesBefore);
  std::inplace_merge(candidates.begin(), turns, candidates.end(), ComesBefore);
  return candidates;
}

bool HasLabel(const WorkerEntry& aEntry, const std::string& aLabel)
{
  return std::find(aEntry.mLabels.begin(), aEntry.mLabels.end(), aLabel) !=
         aEntry.mLabels.end();
}

/// Placement data that is common to all tasks of a step.
struct StepNeeds
{
  /// First task of the step.
  TaskId mFirstTask;
  const StepSpec& mStep;
  const std::string& mService;
  /// Needs that count against a worker's capacity: those of the step, without
  /// processors for best-effort tasks.
  Resources mCounted;
  /// Set only for a best-effort step.
  BestEffortNeeds mBestEffort;
  /// Number of the step's tasks on each worker.
  std::map<std::string, std::uint32_t> mOnWorker;
  /// Other than `kNone` if the task to place is a probe.
  ProbeStage mProbeStage = ProbeStage::kNone;
  /// Rooms that the task must leave to others; null if it may take them.
  const KeptRooms* mKept = nullptr;
  /// The task follows the job's last run in the room that this has left.
  bool mIsSuccessor = false;
};

StepNeeds NeedsOf(const DispatchShard& aShard, const TaskId& aKey)
{
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  StepNeeds needs{ { aKey.mJob, aKey.mOccurrence, aKey.mStep, 0 },
                   StepOf(job, aKey),
                   job.mRecord.mTerms.mService,
                   CountedNeeds(StepOf(job, aKey)),
                   {},
                   {},
                   ProbeStage::kNone,
                   nullptr,
                   false };
  if (needs.mStep.mIsFilling) {
    needs.mBestEffort = BestEffortNeedsOf(needs.mStep);
  }
  for (const auto& task : StepStateOf(job, aKey).mTasks) {
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
         !aWorker.mIsUnresponsive && !aWorker.mEntry.mIsDraining &&
         aNow >= aWorker.mAvoidedUntil &&
         aNow - aWorker.mLastReportAt < kMaxReportAge &&
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
  const std::uint32_t tasksThere =
    found == aNeeds.mOnWorker.end() ? 0 : found->second;
  return step.mMaxPerWorker == 0 || tasksThere < step.mMaxPerWorker;
}

/// True if the room is reserved for a job that has been idle for so long that
/// it may take the room of others' only runs.
bool TakesKeptRoom(const RoomReservation& aRoom, TimePoint aNow)
{
  return aNow - aRoom.mIdleSince >= kTakesKeptRoomAfter;
}

/// Cost of placing a task of the step on the worker, or why it doesn't fit.
using PlacementCost = std::variant<double, WaitReason>;

PlacementCost CostOf(const DispatchShard& aShard,
                     const StepNeeds& aNeeds,
                     const DispatchWorker& aWorker,
                     TimePoint aNow)
{
  const StepSpec& step = aNeeds.mStep;
  const DispatchJob& job = aShard.mJobs.at(aNeeds.mFirstTask.mJob);
  const WorkerRoom kept = aNeeds.mKept == nullptr
                            ? WorkerRoom{}
                            : aNeeds.mKept->KeptFrom(job, aWorker);
  const Resources after = aWorker.mUsed + kept.mCounted + aNeeds.mCounted;
  if (!Fits(after, aWorker.mEntry.mCapacity)) {
    return WaitReason::kNoCapacity;
  }
  const bool mayUseReserved =
    aNeeds.mIsSuccessor && !TakesKeptRoom(aWorker.mRoom, aNow);
  if (!mayUseReserved &&
      IsReservedForAnother(aShard, aWorker, aNeeds.mFirstTask, aNow)) {
    return WaitReason::kReserved;
  }
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aWorker.mEntry.mCapacity.mMilliCpu, 1));
  const double used = static_cast<double>(after.mMilliCpu) / capacity;
  const double bestEffort =
    static_cast<double>(aWorker.mBestEffortCpu) / capacity;
  constexpr double kOtherRackPenalty = 4;
  constexpr double kWarmUpPenalty = 2;
  double cost = 0;
  if (!step.mPreferredRack.empty() &&
      !HasLabel(aWorker.mEntry, step.mPreferredRack)) {
    cost += kOtherRackPenalty;
  }
  if (aWorker.mEntry.mWarmUpMs > 0) {
    cost += kWarmUpPenalty;
  }
  if (step.mIsFilling) {
    const auto needed = aNeeds.mBestEffort.mCpu;
    const auto freeCpu =
      static_cast<double>(FreeBestEffortCpu(aWorker) - kept.mBestEffortCpu);
    if (freeCpu < needed * kMinFreeCpuFraction) {
      return WaitReason::kBestEffortCpu;
    }
    if (aNow < aWorker.mNoBestEffortUntil) {
      return WaitReason::kBestEffortPaused;
    }
    const BestEffortEffect effect =
      BestEffortEffectOf(aShard, aWorker, aNeeds.mBestEffort, aNow);
    const bool isProbe = aNeeds.mProbeStage != ProbeStage::kNone;
    const bool isKnown =
      aNeeds.mIsSuccessor && IsKnownNotToDisturb(job, step, aWorker);
    if (isProbe ? !MayProbe(aWorker, aNeeds.mProbeStage, aNow)
                : effect.mIsOverLimit && !isKnown) {
      return WaitReason::kBestEffortDisturbs;
    }
    // Prefers workers that this task disturbs less than an average best-effort
    // task would. Workers where no task disturbs the serving tasks are then
    // left to the tasks that disturb more elsewhere.
    constexpr double kRelativeEffectWeight = 4;
    return cost + 2 * effect.mAddedLoad +
           kRelativeEffectWeight * (effect.mAddedLoad - effect.mMeanEffect) -
           freeCpu / capacity;
  }
  if (step.mTargetMs > 0) {
    // Serving images differ in how much best-effort tasks disturb them. If
    // they are kept on separate workers, all best-effort tasks can use the
    // workers of the images that are not disturbed.
    const auto same = aWorker.mServingImages.count(step.mImage);
    const auto others = aWorker.mServingImages.size() - same;
    return cost + 4 * static_cast<double>(others) -
           2 * static_cast<double>(same) + 2 * bestEffort - used;
  }
  return cost + std::max(0.0, used + bestEffort - 1) * 3 + used;
}

/// Why a task of the step isn't started on the worker.
WaitReason RefusalOf(const DispatchShard& aShard,
                     const StepNeeds& aNeeds,
                     const DispatchWorker& aWorker,
                     TimePoint aNow)
{
  if (!IsAllowed(aNeeds, aWorker)) {
    return WaitReason::kNotAllowed;
  }
  if (!IsUsable(aShard, aWorker, aNow)) {
    return WaitReason::kNoWorker;
  }
  const auto placed = CostOf(aShard, aNeeds, aWorker, aNow);
  const auto* refusal = std::get_if<WaitReason>(&placed);
  if (refusal != nullptr) {
    return *refusal;
  }
  return aNeeds.mStep.mIsGang ? WaitReason::kGang : WaitReason::kPassedOver;
}

/// A worker and the cost of placing a task of the step there.
struct RankedWorker
{
  double mCost = 0;
  DispatchWorker* mWorker = nullptr;
};

/// Orders a heap by cost with the lowest cost on top; ties are broken by name.
bool IsMoreExpensive(const RankedWorker& aLeft, const RankedWorker& aRight)
{
  return std::tie(aLeft.mCost, aLeft.mWorker->mEntry.mWorker) >
         std::tie(aRight.mCost, aRight.mWorker->mEntry.mWorker);
}

/// The workers that fit the tasks of one step, as a heap by cost. A start
/// changes only the cost of its own worker, so the cost of every other worker
/// is computed once per step.
class StepWorkers
{
public:
  StepWorkers(DispatchShard& aShard,
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
    std::make_heap(this->mHeap.begin(), this->mHeap.end(), IsMoreExpensive);
  }

  /// Removes the worker with the lowest cost and returns it; `aAvoided` is
  /// chosen only if there is no other.
  /// @return null if none is left
  DispatchWorker* TakeBest(const std::string& aAvoided)
  {
    DispatchWorker* best = this->Pop();
    const bool isAvoided = best != nullptr && best->mEntry.mWorker == aAvoided;
    if (!isAvoided || this->mHeap.empty()) {
      return best;
    }
    DispatchWorker* other = this->Pop();
    this->PutBack(*best);
    return other;
  }

  /// Adds a worker again with its present cost, if it still has free capacity.
  void PutBack(DispatchWorker& aWorker)
  {
    if (this->Add(aWorker)) {
      std::push_heap(this->mHeap.begin(), this->mHeap.end(), IsMoreExpensive);
    }
  }

private:
  bool Add(DispatchWorker& aWorker)
  {
    if (!IsAllowed(this->mNeeds, aWorker)) {
      return false;
    }
    const auto placed = CostOf(this->mShard, this->mNeeds, aWorker, this->mNow);
    const auto* cost = std::get_if<double>(&placed);
    if (cost != nullptr) {
      this->mHeap.push_back({ *cost, &aWorker });
    }
    return cost != nullptr;
  }

  DispatchWorker* Pop()
  {
    if (this->mHeap.empty()) {
      return nullptr;
    }
    std::pop_heap(this->mHeap.begin(), this->mHeap.end(), IsMoreExpensive);
    DispatchWorker* worker = this->mHeap.back().mWorker;
    this->mHeap.pop_back();
    return worker;
  }

  DispatchShard& mShard;
  const StepNeeds& mNeeds;
  TimePoint mNow;
  std::vector<RankedWorker> mHeap;
};

/// Needs for which a round found no worker. Steps that need as much or more of
/// the same kind are not tried again in that round.
class FailedPlacements
{
public:
  void Record(const std::string& aService, const StepSpec& aStep)
  {
    this->mFailedNeeds[KeyOf(aService, aStep)].push_back(aStep.mNeeds);
  }

  bool IsKnownToFail(const std::string& aService, const StepSpec& aStep) const
  {
    const auto found = this->mFailedNeeds.find(KeyOf(aService, aStep));
    if (found == this->mFailedNeeds.end()) {
      return false;
    }
    const Resources& needed = aStep.mNeeds;
    return std::any_of(
      found->second.begin(),
      found->second.end(),
      [&](const Resources& aFailed) { return Fits(aFailed, needed); });
  }

private:
  /// Service, required label, image of a best-effort step (such images differ
  /// in the workers that they fit on), and whether the step is best-effort.
  using Key = std::tuple<std::string, std::string, std::string, bool>;

  static Key KeyOf(const std::string& aService, const StepSpec& aStep)
  {
    return { aService,
             aStep.mRequiredLabel,
             aStep.mIsFilling ? aStep.mImage : std::string(),
             aStep.mIsFilling };
  }

  std::map<Key, std::vector<Resources>> mFailedNeeds;
};

/// State of one round of starts.
struct Round
{
  TimePoint mNow{ 0 };
  /// The same in ms since 1970.
  std::int64_t mNowMs = 0;
  /// Workers on which tasks may be started, by service.
  std::map<std::string, std::vector<DispatchWorker*>> mUsable;
  /// Number of workers that suspects may still take in this round, by service.
  std::map<std::string, std::size_t> mPlacesForSuspects;
  /// Reserved workers for which a suspect already waits in this round.
  std::set<const DispatchWorker*> mAwaited;
  FailedPlacements mFailedPlacements;
  /// The same for steps that leave kept rooms to others.
  FailedPlacements mFailedBesideKept;
  /// Rooms that are kept for jobs whose only run has just ended.
  KeptRooms mKept;
  /// The same for reservations.
  FailedPlacements mFailedReservations;
  /// The same for probes, by stage.
  std::array<FailedPlacements, kProbeStages> mFailedProbes;
};

bool AreMost(std::size_t aQuarantined, std::size_t aOthers)
{
  const auto all = static_cast<double>(aQuarantined + aOthers);
  return static_cast<double>(aQuarantined) > kMaxQuarantinedFraction * all;
}

/// Number of workers that suspects may take, so that the other steps keep as
/// many.
/// @param aIsolated number of workers that suspects have now
std::size_t PlacesForSuspects(std::size_t aOthers, std::size_t aIsolated)
{
  const std::size_t most = std::max<std::size_t>(1, (aOthers + aIsolated) / 2);
  return most > aIsolated ? most - aIsolated : 0;
}

Round MakeRound(DispatchShard& aShard, TimePoint aNow, std::int64_t aNowMs)
{
  Round round;
  round.mNow = aNow;
  round.mNowMs = aNowMs;
  std::map<std::string, std::vector<DispatchWorker*>> quarantined;
  std::map<std::string, std::size_t> isolatedOf;
  const std::set<std::string> isolated = IsolatedWorkers(aShard);
  for (auto& [name, worker] : aShard.mWorkers) {
    if (!IsUsable(aShard, worker, aNow)) {
      continue;
    }
    if (isolated.contains(name)) {
      ++isolatedOf[worker.mEntry.mService];
      continue;
    }
    const bool isQuarantined = aNow < worker.mQuarantinedUntil;
    auto& workers = isQuarantined ? quarantined : round.mUsable;
    workers[worker.mEntry.mService].push_back(&worker);
  }
  for (const auto& [service, workers] : round.mUsable) {
    round.mPlacesForSuspects[service] =
      PlacesForSuspects(workers.size(), isolatedOf[service]);
  }
  for (const auto& [service, workers] : quarantined) {
    auto& usable = round.mUsable[service];
    if (AreMost(workers.size(), usable.size())) {
      usable.insert(usable.end(), workers.begin(), workers.end());
    }
  }
  return round;
}

DispatchStep& StepStateOf(DispatchShard& aShard, const TaskId& aKey)
{
  return StepStateOf(aShard.mJobs.at(aKey.mJob), aKey);
}

void StartOn(DispatchShard& aShard,
             const TaskId& aKey,
             DispatchWorker& aWorker,
             std::uint32_t aRun,
             TimePoint aNow,
             DispatchActions& aActions)
{
  DispatchTask& task = *FindTask(aShard, aKey);
  const DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  CountStart(aShard, aKey, aWorker, aNow);
  Assign(aShard, aKey, aWorker.mEntry.mWorker, aRun);
  task.mPhase = RunPhase::kStarting;
  task.mStartOrderedAt = aNow;
  task.mNotAfter =
    std::min(EstimateClock(aWorker, aNow) + kMaxStartDelay.count(),
             ClockReachedBy(aWorker, aShard.mLeasesEndBy));
  // A worker that accepts the start may run tasks until the start deadline even
  // if its lease is not renewed.
  aWorker.mLeaseUntil = std::max(aWorker.mLeaseUntil, task.mNotAfter);
  aWorker.mStartsUntil = std::max(aWorker.mStartsUntil, task.mNotAfter);
  StartOrder order;
  order.mTask = aKey;
  order.mRun = aRun;
  order.mText = job.mRecord.mSpec.mText;
  order.mCheckpoint = task.mCheckpoint;
  order.mEpoch = aShard.mEpoch;
  order.mNotAfter = task.mNotAfter;
  const StepSpec& step = StepOf(job, aKey);
  if (step.mIsFilling) {
    StepStateOf(aShard, aKey).mStarvedSince = aNow;
    RecordBestEffortPlacement(aShard, aWorker, BestEffortNeedsOf(step), aNow);
  }
  spdlog::info("task.start task={} run={} worker={} failures={} waited_ms={}",
               Describe(order.mTask),
               aRun,
               aWorker.mEntry.mWorker,
               task.mFailedRuns.size(),
               (aNow - job.mAcceptedAt).count());
  aShard.mStartBudget -=
    StartBytes(order.mText.size() + order.mCheckpoint.size());
  aActions.mStarts.push_back({ aWorker.mEntry.mWorker, std::move(order) });
}

/// Whether a step may take the room that is kept for the next task of another
/// job.
enum class KeptRoomUse
{
  kTake,
  kLeave,
};

/// Starts waiting tasks of a step one by one, as far as there is capacity.
/// @param aMaxStarts maximum number of tasks to start
void StartIndividually(DispatchShard& aShard,
                       const TaskId& aFirstTask,
                       std::uint32_t aMaxStarts,
                       KeptRoomUse aUse,
                       Round& aRound,
                       DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const std::string& service = job.mRecord.mTerms.mService;
  auto& usable = aRound.mUsable[service];
  const StepSpec& step = StepOf(job, aFirstTask);
  const bool leavesKept = aUse == KeptRoomUse::kLeave;
  FailedPlacements& failed =
    leavesKept ? aRound.mFailedBesideKept : aRound.mFailedPlacements;
  // Steps before it may have failed only since the room is kept for this one.
  const bool isKnownToFail =
    (aRound.mFailedPlacements.IsKnownToFail(service, step) ||
     failed.IsKnownToFail(service, step)) &&
    !HasReservation(aFirstTask, usable, aRound.mNow);
  if (isKnownToFail) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  needs.mKept = leavesKept ? &aRound.mKept : nullptr;
  StepWorkers workers(aShard, needs, usable, aRound.mNow);
  TaskId key = aFirstTask;
  std::uint32_t started = 0;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    if (aShard.mStartBudget <= 0 || started == aMaxStarts) {
      return;
    }
    const DispatchTask& task = *FindTask(aShard, key);
    if (!IsWaiting(task, aRound.mNow)) {
      continue;
    }
    DispatchWorker* worker = workers.TakeBest(task.mAvoidedWorker);
    if (worker == nullptr) {
      // If the step limits its tasks per worker, other steps may still fit.
      if (needs.mStep.mMaxPerWorker == 0) {
        failed.Record(service, needs.mStep);
      }
      return;
    }
    ++needs.mOnWorker[worker->mEntry.mWorker];
    StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
    workers.PutBack(*worker);
    ++started;
  }
}

/// Starts all tasks of a gang, or none of them. All get the same run number and
/// the same checkpoint.
void StartGang(DispatchShard& aShard,
               const TaskId& aFirstTask,
               Round& aRound,
               DispatchActions& aActions)
{
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  const auto& tasks = StepStateOf(aShard, aFirstTask).mTasks;
  std::uint32_t run = 0;
  std::string checkpoint;
  for (const auto& task : tasks) {
    // The members of a gang start together, so no suspect among them can start
    // apart.
    if (!IsStartable(task, aRound.mNow)) {
      return;
    }
    if (task.mHighestRun >= run && !task.mCheckpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
    run = std::max(run, task.mHighestRun);
  }
  StepWorkers workers(
    aShard, needs, aRound.mUsable[needs.mService], aRound.mNow);
  std::vector<std::string> chosen;
  TaskId key = aFirstTask;
  for (; key.mIndex < needs.mStep.mCount; ++key.mIndex) {
    DispatchWorker* worker = workers.TakeBest({});
    if (worker == nullptr) {
      break;
    }
    // Reserves the capacity, so that it counts for the members that follow.
    Assign(aShard, key, worker->mEntry.mWorker, run + 1);
    ++needs.mOnWorker[worker->mEntry.mWorker];
    workers.PutBack(*worker);
    chosen.push_back(worker->mEntry.mWorker);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    Release(aShard,
            { aFirstTask.mJob, aFirstTask.mOccurrence, aFirstTask.mStep, i },
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

/// Reserves room for a step whose turn found none, or ends its reservation.
void KeepRoom(const DispatchShard& aShard,
              const TaskId& aFirstTask,
              Round& aRound)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const std::string& service = job.mRecord.mTerms.mService;
  const StepSpec& step = StepOf(job, aFirstTask);
  const auto& workers = aRound.mUsable[service];
  if (job.mActiveRuns > 0) {
    EndReservation(aFirstTask, workers);
    return;
  }
  FailedPlacements& failed = aRound.mFailedReservations;
  if (failed.IsKnownToFail(service, step)) {
    return;
  }
  const StepNeeds needs = NeedsOf(aShard, aFirstTask);
  const auto mayRun = [&](const DispatchWorker& aWorker) {
    return IsAllowed(needs, aWorker);
  };
  const TimePoint idleSince =
    IdleSince(job, aFirstTask, aRound.mNow, aRound.mNowMs);
  const bool canFit = ReserveRoom(
    aShard, aFirstTask, idleSince, workers, mayRun, aRound.mKept, aRound.mNow);
  if (!canFit && step.mMaxPerWorker == 0) {
    failed.Record(service, step);
  }
}

/// Index of the first task of a step that waits for a start; the number of its
/// tasks if none waits.
std::uint32_t FirstWaiting(const DispatchStep& aStep, TimePoint aNow)
{
  const auto first = std::find_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [&](const DispatchTask& aTask) {
      return IsWaiting(aTask, aNow);
    });
  return static_cast<std::uint32_t>(first - aStep.mTasks.begin());
}

/// Starts the step's next task in the room that the job's last run has left, if
/// it still fits there.
void StartSuccessor(DispatchShard& aShard,
                    const TaskId& aFirstTask,
                    Round& aRound,
                    DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const DispatchStep& state = StepStateOf(aShard, aFirstTask);
  TaskId key = aFirstTask;
  key.mIndex = FirstWaiting(state, aRound.mNow);
  DispatchWorker* worker = FindWorker(aShard, job.mLastRun.mWorker);
  if (worker == nullptr || key.mIndex == state.mTasks.size()) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  needs.mKept = &aRound.mKept;
  needs.mIsSuccessor = true;
  const auto& usable = aRound.mUsable[needs.mService];
  const bool isUsable =
    std::find(usable.begin(), usable.end(), worker) != usable.end();
  const DispatchTask& task = state.mTasks[key.mIndex];
  const bool fits =
    isUsable && task.mAvoidedWorker != worker->mEntry.mWorker &&
    IsAllowed(needs, *worker) &&
    std::holds_alternative<double>(CostOf(aShard, needs, *worker, aRound.mNow));
  if (!fits) {
    return;
  }
  const bool isOverLimit =
    needs.mStep.mIsFilling &&
    BestEffortEffectOf(aShard, *worker, needs.mBestEffort, aRound.mNow)
      .mIsOverLimit;
  StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
  // At full speed it may disturb where the last run, throttled, didn't.
  FindTask(aShard, key)->mIsProbe = isOverLimit && job.mLastRun.mWasThrottled;
}

/// Starts one task of a job that has nothing running.
void StartTurn(DispatchShard& aShard,
               const Candidate& aTurn,
               Round& aRound,
               DispatchActions& aActions)
{
  const TaskId& first = aTurn.mFirstTask;
  const DispatchJob& job = aShard.mJobs.at(first.mJob);
  if (aTurn.mTier == Tier::kSuccession) {
    StartSuccessor(aShard, first, aRound, aActions);
    aRound.mKept.Release(first.mJob);
  }
  const auto startOne = [&](KeptRoomUse aUse) {
    if (job.mActiveRuns == 0) {
      StartIndividually(aShard, first, 1, aUse, aRound, aActions);
    }
  };
  startOne(KeptRoomUse::kLeave);
  if (aTurn.mTier != Tier::kTurn) {
    return;
  }
  if (aRound.mNow - aTurn.mDueAt >= kTakesKeptRoomAfter) {
    startOne(KeptRoomUse::kTake);
  }
  KeepRoom(aShard, first, aRound);
}

/// Starts the tasks of one candidate.
void StartCandidate(DispatchShard& aShard,
                    const Candidate& aCandidate,
                    Round& aRound,
                    DispatchActions& aActions)
{
  const TaskId& first = aCandidate.mFirstTask;
  const DispatchJob& job = aShard.mJobs.at(first.mJob);
  const StepSpec& step = StepOf(job, first);
  if (step.mIsGang) {
    StartGang(aShard, first, aRound, aActions);
    return;
  }
  if (!IsTurn(aCandidate.mTier)) {
    const KeptRoomUse use = aCandidate.mTier == Tier::kLate
                              ? KeptRoomUse::kLeave
                              : KeptRoomUse::kTake;
    StartIndividually(aShard, first, step.mCount, use, aRound, aActions);
    return;
  }
  // Another step of the job may have had its turn in this round.
  if (job.mActiveRuns == 0) {
    StartTurn(aShard, aCandidate, aRound, aActions);
  }
}

/// The worker on which a suspect is started: one where every run was seen at
/// work, with as few runs as possible. Null if there is none.
DispatchWorker* ChooseApart(const DispatchShard& aShard,
                            const StepNeeds& aNeeds,
                            const Round& aRound,
                            const std::vector<DispatchWorker*>& aWorkers)
{
  DispatchWorker* best = nullptr;
  for (auto* worker : aWorkers) {
    const bool isFit = IsAllowed(aNeeds, *worker) &&
                       !HasUnseenRun(aShard, *worker) &&
                       std::holds_alternative<double>(
                         CostOf(aShard, aNeeds, *worker, aRound.mNow));
    const bool isBetter =
      best == nullptr || worker->mTasks.size() < best->mTasks.size();
    if (isFit && isBetter) {
      best = worker;
    }
  }
  return best;
}

/// Keeps a worker free of other starts, until all runs there were seen at work
/// and a suspect can be started.
void ReserveWorker(const DispatchShard& aShard,
                   const StepNeeds& aNeeds,
                   Round& aRound,
                   const std::vector<DispatchWorker*>& aWorkers)
{
  // One worker of so many may be reserved, and one in any case.
  constexpr std::size_t kWorkersForOneReserved = 5;
  using Rank = std::tuple<bool, bool, std::size_t>;
  DispatchWorker* best = nullptr;
  Rank bestRank;
  std::size_t reserved = 0;
  for (auto* worker : aWorkers) {
    const bool isReserved = aRound.mNow < worker->mReservedUntil;
    reserved += isReserved ? 1 : 0;
    if (!IsAllowed(aNeeds, *worker) || aRound.mAwaited.contains(worker)) {
      continue;
    }
    const bool hasRoom = std::holds_alternative<double>(
      CostOf(aShard, aNeeds, *worker, aRound.mNow));
    const Rank rank{ !isReserved, !hasRoom, worker->mTasks.size() };
    if (best == nullptr || rank < bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  const std::size_t most =
    std::max<std::size_t>(1, aWorkers.size() / kWorkersForOneReserved);
  if (best == nullptr || (std::get<0>(bestRank) && reserved >= most)) {
    return;
  }
  best->mReservedUntil = aRound.mNow + kReservationTime;
  aRound.mAwaited.insert(best);
}

/// Starts the waiting suspects of a step, each apart from runs that weren't
/// seen at work yet.
void StartSuspectsOf(DispatchShard& aShard,
                     const TaskId& aFirstTask,
                     Round& aRound,
                     DispatchActions& aActions)
{
  const std::set<TaskId> suspects = aShard.mSuspects;
  for (auto at = suspects.lower_bound(aFirstTask); at != suspects.end(); ++at) {
    TaskId first = *at;
    first.mIndex = 0;
    if (first != aFirstTask) {
      return;
    }
    const DispatchTask* suspect = FindTask(aShard, *at);
    if (suspect == nullptr || !IsStartable(*suspect, aRound.mNow)) {
      continue;
    }
    const DispatchTask& task = *suspect;
    const StepNeeds needs = NeedsOf(aShard, *at);
    std::size_t& places = aRound.mPlacesForSuspects[needs.mService];
    if (places == 0) {
      return;
    }
    auto& workers = aRound.mUsable[needs.mService];
    DispatchWorker* worker = ChooseApart(aShard, needs, aRound, workers);
    if (worker == nullptr) {
      if (!MayStartBesideOthers(task, aRound.mNow)) {
        ReserveWorker(aShard, needs, aRound, workers);
      }
      continue;
    }
    StartOn(aShard, *at, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
    worker->mReservedUntil = kNever;
    std::erase(workers, worker);
    --places;
  }
}

/// Starts the waiting suspects, and then leaves the workers that are reserved
/// for others out of the round.
void StartSuspects(DispatchShard& aShard,
                   const std::vector<Candidate>& aCandidates,
                   Round& aRound,
                   DispatchActions& aActions)
{
  if (aShard.mSuspects.empty()) {
    return;
  }
  for (const auto& candidate : aCandidates) {
    const TaskId& key = candidate.mFirstTask;
    if (!StepOf(aShard.mJobs.at(key.mJob), key).mIsGang) {
      StartSuspectsOf(aShard, key, aRound, aActions);
    }
  }
  for (auto& [service, workers] : aRound.mUsable) {
    std::erase_if(workers, [&](const DispatchWorker* aWorker) {
      return aRound.mNow < aWorker->mReservedUntil;
    });
  }
}

/// Starts one task of a best-effort step as a probe, if a worker is eligible.
void StartProbe(DispatchShard& aShard,
                const TaskId& aFirstTask,
                std::size_t aIdleSteps,
                Round& aRound,
                DispatchActions& aActions)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const DispatchStep& state = StepStateOf(aShard, aFirstTask);
  const ProbeStage stage =
    ProbeStageOf(job, aFirstTask, aRound.mNow, aRound.mNowMs);
  FailedPlacements& failed =
    aRound.mFailedProbes.at(static_cast<std::size_t>(stage));
  if (failed.IsKnownToFail(job.mRecord.mTerms.mService,
                           StepOf(job, aFirstTask))) {
    return;
  }
  StepNeeds needs = NeedsOf(aShard, aFirstTask);
  needs.mProbeStage = stage;
  TaskId key = aFirstTask;
  key.mIndex = FirstWaiting(state, aRound.mNow);
  const DispatchTask& task = state.mTasks[key.mIndex];
  StepWorkers workers(
    aShard, needs, aRound.mUsable[needs.mService], aRound.mNow);
  DispatchWorker* worker = workers.TakeBest(task.mAvoidedWorker);
  if (worker == nullptr) {
    if (needs.mStep.mMaxPerWorker == 0) {
      failed.Record(needs.mService, needs.mStep);
    }
    return;
  }
  StartOn(aShard, key, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
  RecordProbe(aShard, *worker, key, aIdleSteps, aRound.mNow);
}

/// A step that has waited for long enough to start a probe.
struct StarvedStep
{
  /// Other tasks of its job run.
  bool mIsBesideRuns = false;
  /// Since when its job has been idle or, beside other runs, since when no task
  /// of the step was started.
  TimePoint mSince{ 0 };
  TaskId mFirstTask;
};

bool ProbesBefore(const StarvedStep& aLeft, const StarvedStep& aRight)
{
  return std::tie(aLeft.mIsBesideRuns, aLeft.mSince, aLeft.mFirstTask) <
         std::tie(aRight.mIsBesideRuns, aRight.mSince, aRight.mFirstTask);
}

/// Notes the best-effort steps among the candidates that still have waiting
/// tasks, and returns those that have waited long enough for a probe. Steps of
/// idle jobs come first, then those that have waited longest.
std::vector<StarvedStep> StarvedSteps(DispatchShard& aShard,
                                      const std::vector<Candidate>& aCandidates,
                                      const Round& aRound)
{
  const TimePoint now = aRound.mNow;
  std::vector<StarvedStep> starved;
  for (const auto& candidate : aCandidates) {
    const TaskId& key = candidate.mFirstTask;
    const DispatchJob& job = aShard.mJobs.at(key.mJob);
    const StepSpec& step = StepOf(job, key);
    DispatchStep& state = StepStateOf(aShard, key);
    const bool mayProbe = step.mIsFilling && !step.mIsGang;
    if (!mayProbe || FirstWaiting(state, now) == state.mTasks.size()) {
      continue;
    }
    if (state.mStarvedSince == kNever) {
      state.mStarvedSince = now;
    }
    if (ProbeStageOf(job, key, now, aRound.mNowMs) == ProbeStage::kNone) {
      continue;
    }
    const bool isBesideRuns = job.mActiveRuns > 0;
    const TimePoint since = isBesideRuns
                              ? state.mStarvedSince
                              : IdleSince(job, key, now, aRound.mNowMs);
    starved.push_back({ isBesideRuns, since, key });
  }
  std::sort(starved.begin(), starved.end(), ProbesBefore);
  return starved;
}

/// Number of jobs among the steps that have nothing running.
std::size_t CountIdleJobs(const std::vector<StarvedStep>& aSteps)
{
  std::set<std::string_view> jobs;
  for (const auto& step : aSteps) {
    if (!step.mIsBesideRuns) {
      jobs.insert(step.mFirstTask.mJob);
    }
  }
  return jobs.size();
}

/// Starts probes for steps that no worker is predicted to suit, at a limited
/// rate.
void StartProbes(DispatchShard& aShard,
                 const std::vector<Candidate>& aCandidates,
                 Round& aRound,
                 DispatchActions& aActions)
{
  const auto starved = StarvedSteps(aShard, aCandidates, aRound);
  const std::size_t idleJobs = CountIdleJobs(starved);
  for (const auto& step : starved) {
    if (!IsProbeDue(aShard, aRound.mNow)) {
      return;
    }
    // A probe of another step of the job may have been started.
    const TaskId& key = step.mFirstTask;
    const DispatchJob& job = aShard.mJobs.at(key.mJob);
    const ProbeStage stage = ProbeStageOf(job, key, aRound.mNow, aRound.mNowMs);
    if (stage != ProbeStage::kNone) {
      StartProbe(
        aShard, key, job.mActiveRuns > 0 ? 0 : idleJobs, aRound, aActions);
    }
  }
}

} // namespace

std::vector<TaskId> ReadySteps(const DispatchShard& aShard,
                               const DispatchJob& aJob,
                               std::int64_t aNowMs)
{
  std::vector<TaskId> steps;
  VisitReadySteps(aShard, aJob, aNowMs, [&](TaskId aFirstTask) {
    steps.push_back(std::move(aFirstTask));
  });
  return steps;
}

WaitReason WhyNotPlaced(const DispatchShard& aShard,
                        const TaskId& aKey,
                        TimePoint aNow)
{
  const StepNeeds needs = NeedsOf(aShard, aKey);
  WaitReason nearest = WaitReason::kNotAllowed;
  for (const auto& [name, worker] : aShard.mWorkers) {
    nearest = std::max(nearest, RefusalOf(aShard, needs, worker, aNow));
  }
  return nearest;
}

void PlanStarts(DispatchShard& aShard,
                TimePoint aNow,
                std::int64_t aNowMs,
                DispatchActions& aActions)
{
  OpenReadySteps(aShard, aNowMs);
  if (!aShard.mMayStart || aShard.mIsFenced) {
    return;
  }
  const HeldRevisions held{ LastHeldRevisionOfLongRunning(aShard, aNow),
                            LastHeldRevision(aShard, aNow) };
  std::vector<Candidate> steps;
  for (const auto& [id, job] : aShard.mJobs) {
    const bool isHeld = job.mCreatedAt <= held.mLongRunning;
    if (!isHeld && !IsFinal(job.mState)) {
      CollectSteps(aShard, job, held, aNow, aNowMs, steps);
    }
  }
  std::sort(steps.begin(), steps.end(), ComesBefore);
  Round round = MakeRound(aShard, aNow, aNowMs);
  StartSuspects(aShard, steps, round, aActions);
  const auto candidates = WithTurns(aShard, steps, round.mKept, aNow, aNowMs);
  for (const auto& candidate : candidates) {
    if (aShard.mStartBudget <= 0) {
      return;
    }
    StartCandidate(aShard, candidate, round, aActions);
  }
  StartProbes(aShard, steps, round, aActions);
}

} // namespace verbenacroft
