#include "vcSuspectStarts.h"

#include "vcSuspectIsolation.h"
#include "vcTeamQuota.h"

#include <algorithm>
#include <tuple>
#include <variant>

namespace verbenacroft {

namespace {

/// A worker that is reserved for a suspect stays so for this long after the
/// last round in which the suspect waited.
constexpr Duration kReservationTime{ 300 };
/// One worker of so many may be reserved for a suspect, and one in any case. As
/// many may run suspects apart while long-running tasks wait for room.
constexpr std::size_t kWorkersForOneSuspect = 5;

/// The worker on which a suspect is started: one with room that meets a
/// condition, with as few runs as possible. Null if there is none.
template<class Condition>
DispatchWorker* ChooseApart(const DispatchShard& aShard,
                            const StepNeeds& aNeeds,
                            const Round& aRound,
                            const std::vector<DispatchWorker*>& aWorkers,
                            Condition aMayStart)
{
  DispatchWorker* best = nullptr;
  for (auto* worker : aWorkers) {
    const bool isFit = IsAllowed(aNeeds, *worker) && aMayStart(*worker) &&
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
    std::max<std::size_t>(1, aWorkers.size() / kWorkersForOneSuspect);
  if (best == nullptr || (std::get<0>(bestRank) && reserved >= most)) {
    return;
  }
  best->mReservedUntil = aRound.mNow + kReservationTime;
  aRound.mAwaited.insert(best);
}

/// True if a task of a long-running step has waited for long, and needs no
/// worker for itself.
bool HasLongWait(const DispatchShard& aShard,
                 const TaskId& aFirstTask,
                 const Round& aRound)
{
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  return StepOf(job, aFirstTask).mIsLasting &&
         LongRunningRequest(aShard, aFirstTask, aRound).mWorkers > 0;
}

/// Limits the workers that suspects may take to few while long-running tasks of
/// the service wait.
void LeavePlacesToOthers(const DispatchShard& aShard,
                         const std::vector<Candidate>& aCandidates,
                         Round& aRound)
{
  std::set<std::string> limited;
  for (const auto& candidate : aCandidates) {
    const DispatchJob& job = aShard.mJobs.at(candidate.mFirstTask.mJob);
    const std::string& service = job.mRecord.mTerms.mService;
    const bool isFirst = !limited.contains(service) &&
                         HasLongWait(aShard, candidate.mFirstTask, aRound);
    if (!isFirst) {
      continue;
    }
    limited.insert(service);
    const std::size_t isolated = aRound.mIsolated[service];
    const std::size_t most = std::max<std::size_t>(
      1, (aRound.mUsable[service].size() + isolated) / kWorkersForOneSuspect);
    std::size_t& places = aRound.mPlacesForSuspects[service];
    places = std::min(places, most > isolated ? most - isolated : 0);
  }
}

/// Starts a suspect on a worker where every run was seen at work, and leaves
/// the worker out of the round.
void StartIsolated(DispatchShard& aShard,
                   const TaskId& aKey,
                   Round& aRound,
                   DispatchActions& aActions)
{
  const DispatchTask& task = *FindTask(aShard, aKey);
  const StepNeeds needs = NeedsOf(aShard, aKey);
  std::size_t& places = aRound.mPlacesForSuspects[needs.mService];
  if (places == 0) {
    return;
  }
  auto& workers = aRound.mUsable[needs.mService];
  DispatchWorker* worker = ChooseApart(
    aShard, needs, aRound, workers, [&](const DispatchWorker& aWorker) {
      return !HasUnseenRun(aShard, aWorker);
    });
  if (worker == nullptr) {
    if (!MayStartBesideOthers(task, aRound.mNow)) {
      ReserveWorker(aShard, needs, aRound, workers);
    }
    return;
  }
  StartOn(aShard, aKey, *worker, task.mHighestRun + 1, aRound.mNow, aActions);
  FindTask(aShard, aKey)->mIsIsolated = true;
  worker->mReservedUntil = kNever;
  std::erase(workers, worker);
  --places;
}

/// Starts a suspect that isn't isolated on a worker that runs no other. Without
/// one it starts like other tasks.
void StartAmongOthers(DispatchShard& aShard,
                      const TaskId& aKey,
                      Round& aRound,
                      DispatchActions& aActions)
{
  const StepNeeds needs = NeedsOf(aShard, aKey);
  const auto& workers = aRound.mUsable[needs.mService];
  DispatchWorker* worker = ChooseApart(
    aShard, needs, aRound, workers, [&](const DispatchWorker& aWorker) {
      return aRound.mNow >= aWorker.mReservedUntil &&
             !HasSuspect(aShard, aWorker);
    });
  if (worker != nullptr) {
    const std::uint32_t run = FindTask(aShard, aKey)->mHighestRun + 1;
    StartOn(aShard, aKey, *worker, run, aRound.mNow, aActions);
  }
}

/// Starts the waiting suspects of a step.
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
    const DispatchTask* task = FindTask(aShard, *at);
    const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
    const bool mayStart = task != nullptr &&
                          IsStartable(job, *task, aRound.mHeld, aRound.mNow) &&
                          MayTeamStart(aShard, job, StepOf(job, *at), 1);
    if (!mayStart) {
      continue;
    }
    if (NeedsIsolation(*task)) {
      StartIsolated(aShard, *at, aRound, aActions);
    } else {
      StartAmongOthers(aShard, *at, aRound, aActions);
    }
  }
}

} // namespace

void StartSuspects(DispatchShard& aShard,
                   const std::vector<Candidate>& aCandidates,
                   Round& aRound,
                   DispatchActions& aActions)
{
  if (aShard.mSuspects.empty()) {
    return;
  }
  LeavePlacesToOthers(aShard, aCandidates, aRound);
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

} // namespace verbenacroft
