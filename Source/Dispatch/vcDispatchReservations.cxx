#include "vcDispatchReservations.h"

#include "vcDispatchSharing.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace verbenacroft {

namespace {

/// A reservation ends this long after the last round in which its step found no
/// room, so that a job that ends or is cancelled holds nothing.
constexpr Duration kReservationTime{ 300 };
/// One worker of so many may be reserved, and one in any case.
constexpr std::size_t kWorkersForOneReserved = 5;

bool IsReserved(const DispatchWorker& aWorker, TimePoint aNow)
{
  return aNow < aWorker.mRoom.mUntil;
}

/// True if the step may reserve the worker. One that is long-running may also
/// take the reservation of one that is neither that nor best-effort: where few
/// workers suit, a series of those would leave it none.
bool CanBeReserved(const DispatchWorker& aWorker,
                   const StepSpec& aStep,
                   TimePoint aNow)
{
  const RoomReservation& room = aWorker.mRoom;
  const bool givesWay =
    aStep.mIsLasting && !room.mIsLongRunning && !room.mIsBestEffort;
  return !IsReserved(aWorker, aNow) || givesWay;
}

/// Room that a best-effort task lacks, in thousandths of a processor; nothing
/// if another limit keeps it from the worker.
std::optional<double> MissingBestEffortRoom(const DispatchShard& aShard,
                                            const DispatchWorker& aWorker,
                                            const StepSpec& aStep,
                                            const WorkerRoom& aKept,
                                            TimePoint aNow)
{
  const BestEffortNeeds needs = BestEffortNeedsOf(aStep);
  const auto missing = needs.mCpu + static_cast<double>(aKept.mBestEffortCpu) -
                       static_cast<double>(FreeBestEffortCpu(aWorker));
  const bool canBeFreed =
    missing <= static_cast<double>(aWorker.mBestEffortCpu);
  const bool isOpen =
    aNow >= aWorker.mNoBestEffortUntil &&
    Fits(aWorker.mUsed + CountedNeeds(aStep), aWorker.mEntry.mCapacity) &&
    !BestEffortEffectOf(aShard, aWorker, needs, aNow).mIsOverLimit;
  return isOpen && canBeFreed ? std::optional(missing) : std::nullopt;
}

/// True if a task that isn't best-effort fits beside the long-running ones,
/// which don't free their room.
bool CanBecomeFree(const DispatchWorker& aWorker, const StepSpec& aStep)
{
  return Fits(aWorker.mLongRunning + aStep.mNeeds, aWorker.mEntry.mCapacity);
}

/// The same for any other task.
std::optional<double> MissingRoom(const DispatchWorker& aWorker,
                                  const StepSpec& aStep,
                                  const WorkerRoom& aKept)
{
  if (!CanBecomeFree(aWorker, aStep)) {
    return std::nullopt;
  }
  const Resources after = aWorker.mUsed + aKept.mCounted + aStep.mNeeds;
  return static_cast<double>(after.mMilliCpu -
                             aWorker.mEntry.mCapacity.mMilliCpu);
}

/// Processors, in thousandths, of the runs on the worker that aren't the only
/// one of their job, or are being stopped.
double SpareCpu(const DispatchShard& aShard,
                const DispatchWorker& aWorker,
                bool aIsBestEffort)
{
  std::int64_t spare = 0;
  for (const auto& key : aWorker.mTasks) {
    const DispatchJob& job = aShard.mJobs.at(key.mJob);
    const StepSpec& step = StepOf(job, key);
    const bool isSpare = job.mActiveRuns > 1 && !step.mIsLasting &&
                         step.mIsFilling == aIsBestEffort;
    spare += isSpare ? step.mNeeds.mMilliCpu : 0;
  }
  for (const auto& [key, run] : aWorker.mRunsToStop) {
    const bool isSpare = run.mUse && run.mUse->mIsBestEffort == aIsBestEffort;
    spare += isSpare ? run.mUse->mNeeds.mMilliCpu : 0;
  }
  return static_cast<double>(spare);
}

/// Number of tasks of the step that fit on a worker beside its long-running
/// tasks.
std::size_t PlacesOn(const DispatchWorker& aWorker, const StepSpec& aStep)
{
  const std::size_t most =
    aStep.mMaxPerWorker == 0 ? aStep.mCount : aStep.mMaxPerWorker;
  Resources used = aWorker.mLongRunning;
  std::size_t places = 0;
  while (places < most && Fits(used + aStep.mNeeds, aWorker.mEntry.mCapacity)) {
    used += aStep.mNeeds;
    ++places;
  }
  return places;
}

/// Renews the step's reservations, and ends those of workers where no further
/// task of it can run: its own tasks, or other long-running ones, have taken
/// the room or the places there.
/// @return the number that was renewed
std::size_t RenewReservations(
  const TaskId& aFirstTask,
  const StepSpec& aStep,
  std::span<DispatchWorker* const> aWorkers,
  const std::function<bool(const DispatchWorker&)>& aMayRun,
  TimePoint aNow)
{
  std::size_t renewed = 0;
  for (auto* worker : aWorkers) {
    if (!IsReserved(*worker, aNow) || worker->mRoom.mFirstTask != aFirstTask) {
      continue;
    }
    const bool isOfUse =
      aMayRun(*worker) && (aStep.mIsFilling || CanBecomeFree(*worker, aStep));
    if (isOfUse) {
      worker->mRoom.mUntil = aNow + kReservationTime;
      ++renewed;
    } else {
      worker->mRoom = {};
    }
  }
  return renewed;
}

/// Number of the workers that are reserved for long-running tasks, or for
/// others, so that neither use up the places of the other.
std::size_t CountReserved(std::span<DispatchWorker* const> aWorkers,
                          bool aIsLongRunning,
                          TimePoint aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aWorkers.begin(), aWorkers.end(), [&](const DispatchWorker* aWorker) {
      return IsReserved(*aWorker, aNow) &&
             aWorker->mRoom.mIsLongRunning == aIsLongRunning;
    }));
}

} // namespace

bool IsReservedForAnother(const DispatchShard& aShard,
                          const DispatchWorker& aWorker,
                          const TaskId& aFirstTask,
                          TimePoint aNow)
{
  const RoomReservation& room = aWorker.mRoom;
  if (!IsReserved(aWorker, aNow) || room.mFirstTask == aFirstTask) {
    return false;
  }
  const DispatchJob& job = aShard.mJobs.at(aFirstTask.mJob);
  const StepSpec& step = StepOf(job, aFirstTask);
  if (step.mIsFilling != room.mIsBestEffort) {
    return false;
  }
  const bool isMoreUrgent =
    !room.mIsLongRunning && job.mRecord.mTerms.mPriority < room.mPriority;
  return step.mIsFilling || !(step.mIsLasting || isMoreUrgent);
}

bool HasReservation(const TaskId& aFirstTask,
                    std::span<DispatchWorker* const> aWorkers,
                    TimePoint aNow)
{
  return std::any_of(
    aWorkers.begin(), aWorkers.end(), [&](const DispatchWorker* aWorker) {
      return IsReserved(*aWorker, aNow) &&
             aWorker->mRoom.mFirstTask == aFirstTask;
    });
}

bool ReserveRoom(const DispatchShard& aShard,
                 const RoomRequest& aRequest,
                 std::span<DispatchWorker* const> aWorkers,
                 const std::function<bool(const DispatchWorker&)>& aMayRun,
                 const KeptRooms& aKept,
                 TimePoint aNow)
{
  const TaskId& first = aRequest.mFirstTask;
  const DispatchJob& job = aShard.mJobs.at(first.mJob);
  const StepSpec& step = StepOf(job, first);
  const std::size_t own =
    RenewReservations(first, step, aWorkers, aMayRun, aNow);
  const bool isEnough = own >= aRequest.mWorkers ||
                        CountReserved(aWorkers, step.mIsLasting, aNow) >=
                          MaxReserved(aWorkers.size());
  if (isEnough) {
    return true;
  }
  // Whether it is reserved for another step, or only takes jobs' only runs.
  using Rank = std::tuple<bool, bool, double>;
  DispatchWorker* best = nullptr;
  Rank bestRank;
  for (auto* worker : aWorkers) {
    if (!CanBeReserved(*worker, step, aNow) || !aMayRun(*worker)) {
      continue;
    }
    const WorkerRoom kept = aKept.KeptFrom(job, *worker);
    const auto missing =
      step.mIsFilling ? MissingBestEffortRoom(aShard, *worker, step, kept, aNow)
                      : MissingRoom(*worker, step, kept);
    if (!missing) {
      continue;
    }
    const bool takesOnlyRuns =
      *missing > SpareCpu(aShard, *worker, step.mIsFilling);
    const Rank rank{ IsReserved(*worker, aNow), takesOnlyRuns, *missing };
    if (best == nullptr || rank < bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  if (best == nullptr) {
    return false;
  }
  best->mRoom = { .mFirstTask = first,
                  .mIsBestEffort = step.mIsFilling,
                  .mIsLongRunning = step.mIsLasting,
                  .mPriority = job.mRecord.mTerms.mPriority,
                  .mWaitsSince = aRequest.mWaitsSince,
                  .mUntil = aNow + kReservationTime };
  spdlog::info("worker.reserved worker={} task={} missing_mcpu={:.0f} "
               "takes_only_runs={} long_running={}",
               best->mEntry.mWorker,
               Describe(first),
               std::get<2>(bestRank),
               std::get<1>(bestRank),
               step.mIsLasting);
  return true;
}

std::size_t MaxReserved(std::size_t aWorkers)
{
  return std::max<std::size_t>(1, aWorkers / kWorkersForOneReserved);
}

std::size_t WorkersForGang(const StepSpec& aStep,
                           std::span<DispatchWorker* const> aWorkers,
                           std::size_t aMaxWorkers)
{
  std::vector<std::size_t> places;
  for (const auto* worker : aWorkers) {
    places.push_back(PlacesOn(*worker, aStep));
  }
  std::sort(places.begin(), places.end(), std::greater<>());
  std::size_t fitting = 0;
  for (std::size_t i = 0; i < std::min(aMaxWorkers, places.size()); ++i) {
    fitting += places[i];
    if (fitting >= aStep.mCount) {
      return i + 1;
    }
  }
  return 0;
}

void EndReservation(const TaskId& aFirstTask,
                    std::span<DispatchWorker* const> aWorkers)
{
  for (auto* worker : aWorkers) {
    if (worker->mRoom.mFirstTask == aFirstTask) {
      worker->mRoom = {};
    }
  }
}

} // namespace verbenacroft
