#include "vcPlacementRound.h"

#include "vcDispatchJobs.h"
#include "vcDispatchPlacement.h"
#include "vcDispatchTurnover.h"
#include "vcIncarnationFence.h"
#include "vcOwnerPacing.h"
#include "vcSuspectIsolation.h"
#include "vcWorkerRuns.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <variant>

namespace verbenacroft {

namespace {

/// If more than this fraction of a service's workers is in quarantine, the
/// failures are taken to be the jobs' fault, and all workers are used.
constexpr double kMaxQuarantinedFraction = 0.5;

/// Orders a heap by cost with the lowest cost on top; ties are broken by name.
bool IsMoreExpensive(const RankedWorker& aLeft, const RankedWorker& aRight)
{
  return std::tie(aLeft.mCost, aLeft.mWorker->mEntry.mWorker) >
         std::tie(aRight.mCost, aRight.mWorker->mEntry.mWorker);
}

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

/// Fields of the log line of a start that name the runs of the step which the
/// worker has already; empty if there are none or the step has no maximum.
std::string DescribeRunsBeside(const DispatchWorker& aWorker,
                               const StepSpec& aStep,
                               const TaskId& aTask)
{
  if (aStep.mMaxPerWorker == 0) {
    return "";
  }
  const StepRuns runs =
    RunsOfStep(aWorker, { aTask.mJob, aTask.mOccurrence, aTask.mStep, 0 });
  if (runs.mCurrent + runs.mToStop == 0) {
    return "";
  }
  return fmt::format(" step_runs={} step_runs_to_stop={} max_per_worker={}",
                     runs.mCurrent,
                     runs.mToStop,
                     aStep.mMaxPerWorker);
}

} // namespace

StepWorkers::StepWorkers(DispatchShard& aShard,
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

DispatchWorker* StepWorkers::TakeBest(const std::string& aAvoided)
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

void StepWorkers::PutBack(DispatchWorker& aWorker)
{
  if (this->Add(aWorker)) {
    std::push_heap(this->mHeap.begin(), this->mHeap.end(), IsMoreExpensive);
  }
}

bool StepWorkers::Add(DispatchWorker& aWorker)
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

DispatchWorker* StepWorkers::Pop()
{
  if (this->mHeap.empty()) {
    return nullptr;
  }
  std::pop_heap(this->mHeap.begin(), this->mHeap.end(), IsMoreExpensive);
  DispatchWorker* worker = this->mHeap.back().mWorker;
  this->mHeap.pop_back();
  return worker;
}

void FailedPlacements::Record(const std::string& aService,
                              const StepSpec& aStep)
{
  this->mFailedNeeds[KeyOf(aService, aStep)].push_back(aStep.mNeeds);
}

bool FailedPlacements::IsKnownToFail(const std::string& aService,
                                     const StepSpec& aStep) const
{
  const auto found = this->mFailedNeeds.find(KeyOf(aService, aStep));
  if (found == this->mFailedNeeds.end()) {
    return false;
  }
  const Resources& needed = aStep.mNeeds;
  return std::any_of(
    found->second.begin(), found->second.end(), [&](const Resources& aFailed) {
      return Fits(aFailed, needed);
    });
}

FailedPlacements::Key FailedPlacements::KeyOf(const std::string& aService,
                                              const StepSpec& aStep)
{
  return { aService,
           aStep.mRequiredLabel,
           aStep.mIsFilling ? aStep.mImage : std::string(),
           aStep.mIsFilling,
           aStep.mIsLasting };
}

Round MakeRound(DispatchShard& aShard, TimePoint aNow, std::int64_t aNowMs)
{
  Round round;
  round.mNow = aNow;
  round.mNowMs = aNowMs;
  round.mHeld = HeldRevisionsOf(aShard, aNow);
  const std::set<std::string> isolated = IsolatedWorkers(aShard);
  for (auto& [name, worker] : aShard.mWorkers) {
    if (!IsUsable(aShard, worker, aNow)) {
      continue;
    }
    if (isolated.contains(name)) {
      ++round.mIsolated[worker.mEntry.mService];
      continue;
    }
    const bool isQuarantined = aNow < worker.mQuarantinedUntil;
    auto& workers = isQuarantined ? round.mQuarantined : round.mUsable;
    workers[worker.mEntry.mService].push_back(&worker);
  }
  for (const auto& [service, workers] : round.mUsable) {
    round.mPlacesForSuspects[service] =
      PlacesForSuspects(workers.size(), round.mIsolated[service]);
  }
  for (auto& [service, workers] : round.mQuarantined) {
    auto& usable = round.mUsable[service];
    if (AreMost(workers.size(), usable.size())) {
      usable.insert(usable.end(), workers.begin(), workers.end());
      workers.clear();
    }
  }
  return round;
}

std::uint32_t FirstWaiting(const DispatchJob& aJob,
                           const DispatchStep& aStep,
                           const Round& aRound)
{
  const auto first = std::find_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [&](const DispatchTask& aTask) {
      return IsWaiting(aJob, aTask, aRound.mHeld, aRound.mNow);
    });
  return static_cast<std::uint32_t>(first - aStep.mTasks.begin());
}

RoomRequest LongRunningRequest(const DispatchShard& aShard,
                               const TaskId& aFirstTask,
                               const Round& aRound)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const TimePoint readyAt =
    ReadyAt(job, aFirstTask, aRound.mNow, aRound.mNowMs);
  RoomRequest request{ aFirstTask, aRound.mNow, 0 };
  for (const auto& task : StepStateOf(job, aFirstTask).mTasks) {
    const TimePoint since = std::max(readyAt, task.mWaitingSince);
    const bool isLong = IsWaiting(job, task, aRound.mHeld, aRound.mNow) &&
                        aRound.mNow - since >= kTurnAfter;
    if (isLong) {
      ++request.mWorkers;
      request.mWaitsSince = std::min(request.mWaitsSince, since);
    }
  }
  return request;
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
  const StepSpec& step = StepOf(job, aKey);
  const std::string beside = DescribeRunsBeside(aWorker, step, aKey);
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
  order.mEpoch = FencingTokenOf(aShard, aWorker);
  aWorker.mIsTokenUnused = false;
  order.mNotAfter = task.mNotAfter;
  if (step.mIsFilling) {
    StepStateOf(aShard, aKey).mStarvedSince = aNow;
    RecordBestEffortPlacement(aShard, aWorker, BestEffortNeedsOf(step), aNow);
  }
  spdlog::info("task.start task={} run={} worker={} failures={} waited_ms={}{}",
               Describe(order.mTask),
               aRun,
               aWorker.mEntry.mWorker,
               task.mFailedRuns.size(),
               (aNow - job.mAcceptedAt).count(),
               beside);
  aShard.mStartBudget -=
    StartBytes(order.mText.size() + order.mCheckpoint.size());
  aActions.mStarts.push_back({ aWorker.mEntry.mWorker, std::move(order) });
}

} // namespace verbenacroft
