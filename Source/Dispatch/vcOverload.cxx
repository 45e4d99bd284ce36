#include "vcOverload.h"

#include "vcDispatchSharing.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>
#include <span>

namespace verbenacroft {

namespace {

constexpr std::size_t kCountedPool = 0;
constexpr std::size_t kBestEffortPool = 1;

/// Work of a job in all pools.
double TotalOf(const PoolWork& aWork)
{
  return std::accumulate(aWork.begin(), aWork.end(), 0.0);
}

double ValueDensity(const JobLoad& aLoad)
{
  return aLoad.mValue / std::max(TotalOf(aLoad.mWork), 1.0);
}

/// The jobs of one priority that are kept so far. Each pool has a heap of those
/// with work in it, the lowest value for its work on top.
class KeptJobs
{
public:
  void Add(const JobLoad& aLoad, std::size_t aIndex)
  {
    for (std::size_t p = 0; p < kPools; ++p) {
      if (aLoad.mWork[p] > 0) {
        this->mHeaps[p].emplace(ValueDensity(aLoad), aIndex);
      }
    }
  }

  /// Removes the job that frees most of a pool for the least value.
  /// @return its index; nothing if no job is left
  std::optional<std::size_t> TakeLeast(std::size_t aPool,
                                       const std::vector<JobLoad>& aLoads)
  {
    Heap& heap = this->mHeaps[aPool];
    while (!heap.empty()) {
      const std::size_t index = heap.top().second;
      heap.pop();
      // It may have been taken for another pool.
      if (!aLoads[index].mIsGivenUp) {
        return index;
      }
    }
    return std::nullopt;
  }

private:
  using Row = std::pair<double, std::size_t>;
  using Heap = std::priority_queue<Row, std::vector<Row>, std::greater<>>;

  std::array<Heap, kPools> mHeaps;
};

/// Times in ms for which each pool is busy.
struct PoolTimes
{
  PoolWork mMs{};

  void Add(const PoolWork& aWork, const PoolWork& aRates, double aSign)
  {
    for (std::size_t p = 0; p < kPools; ++p) {
      this->mMs[p] += aSign * aWork[p] / std::max(aRates[p], 1.0);
    }
  }

  /// The first pool in which a job isn't done in time behind all work so far,
  /// its own included; nothing if it is in time.
  std::optional<std::size_t> LatePool(const JobLoad& aLoad) const
  {
    for (std::size_t p = 0; p < kPools; ++p) {
      if (aLoad.mWork[p] > 0 && this->mMs[p] > aLoad.mTimeLeftMs) {
        return p;
      }
    }
    return std::nullopt;
  }

  void Add(const PoolTimes& aOther)
  {
    for (std::size_t p = 0; p < kPools; ++p) {
      this->mMs[p] += aOther.mMs[p];
    }
  }
};

/// A job of a service, its load and its whole work.
struct JobRow
{
  const DispatchJob* mJob = nullptr;
  double mWholeWork = 0;
  JobLoad mLoad;
};

/// The jobs of one service, and its processors.
struct ServiceLoad
{
  PoolWork mRates{};
  std::vector<JobRow> mRows;
};

/// The remaining work of a job. Runs count as whole until they have ended.
JobRow RowOf(const DispatchShard& aShard,
             const DispatchJob& aJob,
             TimePoint aNow)
{
  JobRow row;
  row.mJob = &aJob;
  row.mLoad.mPriority = aJob.mRecord.mTerms.mPriority;
  row.mLoad.mTimeLeftMs =
    static_cast<double>((aJob.mObjectiveAt - aNow).count());
  const auto& specs = aJob.mRecord.mSpec.mSteps;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const StepSpec& spec = specs[s];
      if (spec.mIsLasting) {
        continue;
      }
      const double each = static_cast<double>(spec.mNeeds.mMilliCpu) *
                          ExpectedRunMs(aShard, aJob, spec);
      const DispatchStep& step = occurrence.mSteps[s];
      row.mWholeWork += each * step.mCount;
      row.mLoad.mWork[spec.mIsFilling ? kBestEffortPool : kCountedPool] +=
        each * (step.mCount - step.mDone);
    }
  }
  return row;
}

/// The jobs that may be given up: neither scheduled ones, which are worked for
/// until their end, nor long-running ones.
std::map<std::string, ServiceLoad> CollectLoads(const DispatchShard& aShard,
                                                TimePoint aNow)
{
  std::map<std::string, ServiceLoad> services;
  for (const auto& [id, job] : aShard.mJobs) {
    if (IsFinal(job.mState) || job.mRecord.mSpec.mRepeatCount > 0) {
      continue;
    }
    JobRow row = RowOf(aShard, job, aNow);
    if (TotalOf(row.mLoad.mWork) > 0) {
      services[job.mRecord.mTerms.mService].mRows.push_back(row);
    }
  }
  for (const auto& [name, worker] : aShard.mWorkers) {
    const auto service = services.find(worker.mEntry.mService);
    const bool isInUse =
      worker.mIsListed && !worker.mIsUnresponsive && !worker.mEntry.mIsDraining;
    if (service == services.end() || !isInUse) {
      continue;
    }
    service->second.mRates[kCountedPool] += static_cast<double>(
      worker.mEntry.mCapacity.mMilliCpu - worker.mLongRunning.mMilliCpu);
    service->second.mRates[kBestEffortPool] +=
      static_cast<double>(worker.mBestEffortCpu +
                          std::max<std::int64_t>(0, FreeBestEffortCpu(worker)));
  }
  return services;
}

/// Sets the jobs' values by the mean work of their queues.
void SetValues(std::vector<JobRow>& aRows)
{
  struct QueueWork
  {
    double mSum = 0;
    double mJobs = 0;
  };
  std::map<std::string_view, QueueWork> queues;
  for (const auto& row : aRows) {
    QueueWork& queue = queues[row.mJob->mRecord.mTerms.mQueue];
    queue.mSum += row.mWholeWork;
    ++queue.mJobs;
  }
  for (auto& row : aRows) {
    const QueueWork& queue = queues[row.mJob->mRecord.mTerms.mQueue];
    row.mLoad.mValue = ValueOf(row.mWholeWork, queue.mSum / queue.mJobs);
  }
}

/// True if the job's result has no more use for its caller.
bool IsExpired(const DispatchJob& aJob, TimePoint aNow)
{
  const Duration allowed = aJob.mObjectiveAt - aJob.mAcceptedAt;
  return aNow > aJob.mAcceptedAt + kMaxLateFactor * allowed;
}

/// False for a step whose wait has to stay bounded without turns: of
/// long-running tasks, or of a gang whose job has had nothing running for long.
bool MayDemote(const DispatchShard& aShard,
               const Candidate& aStep,
               TimePoint aNow)
{
  const DispatchJob& job = aShard.mJobs.at(aStep.mFirstTask.mJob);
  const StepSpec& spec = StepOf(job, aStep.mFirstTask);
  const bool isIdleForLong =
    job.mActiveRuns == 0 && aNow - job.mIdleSince >= kTurnAfter;
  return !spec.mIsLasting && !(spec.mIsGang && isIdleForLong);
}

/// What the order of a job's steps becomes.
struct Demotion
{
  Tier mTier = Tier::kOnTime;
  /// Orders the steps within the tier, as `Candidate::mDueAt`.
  TimePoint mDueAt{ 0 };
};

/// Adds the demotions of a service's jobs, if its work doesn't fit.
/// @param aMayGiveUp jobs may be given up that could still be in time
void Demote(ServiceLoad& aService,
            bool aMayGiveUp,
            TimePoint aNow,
            OverloadSummary& aSummary,
            std::map<JobId, Demotion>& aDemotions)
{
  SetValues(aService.mRows);
  std::vector<JobLoad> loads;
  for (const auto& row : aService.mRows) {
    loads.push_back(row.mLoad);
  }
  if (!GiveUpJobs(loads, aService.mRates)) {
    return;
  }
  for (auto& load : loads) {
    load.mIsGivenUp = load.mIsGivenUp && aMayGiveUp;
  }
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const DispatchJob& job = *aService.mRows[i].mJob;
    const bool isExpired = IsExpired(job, aNow);
    PoolTimes own;
    own.Add(loads[i].mWork, aService.mRates, 1);
    const double ownMs = *std::max_element(own.mMs.begin(), own.mMs.end());
    const TimePoint doneAt = aNow + Duration(static_cast<std::int64_t>(ownMs));
    aSummary.mGivenUp += loads[i].mIsGivenUp ? 1 : 0;
    aSummary.mExpired += isExpired ? 1 : 0;
    if (isExpired) {
      aDemotions[job.mId] = { Tier::kExpired, job.mObjectiveAt };
    } else if (loads[i].mIsGivenUp) {
      aDemotions[job.mId] = { Tier::kLate, doneAt };
    }
  }
  aSummary.mJobs += loads.size();
}

/// True if all jobs are in time in any order, which is the usual case.
bool FitsAll(const std::vector<JobLoad>& aLoads, const PoolWork& aRates)
{
  PoolTimes all;
  for (const auto& load : aLoads) {
    all.Add(load.mWork, aRates, 1);
  }
  return std::none_of(aLoads.begin(), aLoads.end(), [&](const JobLoad& aLoad) {
    return all.LatePool(aLoad).has_value();
  });
}

/// True if late jobs alone need all processors of a pool for some time, so that
/// new ones will be late too.
bool IsBacklogLate(const std::vector<JobLoad>& aLoads, const PoolWork& aRates)
{
  constexpr double kLateBacklogMs = 1'000;
  PoolTimes late;
  for (const auto& load : aLoads) {
    if (load.mTimeLeftMs <= 0) {
      late.Add(load.mWork, aRates, 1);
    }
  }
  return std::any_of(late.mMs.begin(), late.mMs.end(), [](double aMs) {
    return aMs > kLateBacklogMs;
  });
}

/// Gives up jobs of one priority.
/// @param aJobs their indexes, by their objectives
/// @param aBusy the work of more urgent priorities, to which theirs is added
/// @return true if a job is given up
bool GiveUpInPriority(std::vector<JobLoad>& aLoads,
                      std::span<const std::size_t> aJobs,
                      const PoolWork& aRates,
                      PoolTimes& aBusy)
{
  const PoolTimes moreUrgent = aBusy;
  KeptJobs kept;
  // Late jobs still come before those of less urgent priorities.
  PoolTimes late;
  bool isAnyGivenUp = false;
  const auto giveUp = [&](JobLoad& aLoad) {
    aLoad.mIsGivenUp = true;
    isAnyGivenUp = true;
    late.Add(aLoad.mWork, aRates, 1);
  };
  for (const std::size_t index : aJobs) {
    JobLoad& load = aLoads[index];
    PoolTimes alone = moreUrgent;
    alone.Add(load.mWork, aRates, 1);
    if (load.mTimeLeftMs <= 0) {
      late.Add(load.mWork, aRates, 1);
      continue;
    }
    if (alone.LatePool(load)) {
      giveUp(load);
      continue;
    }
    kept.Add(load, index);
    aBusy.Add(load.mWork, aRates, 1);
    while (!load.mIsGivenUp) {
      const auto pool = aBusy.LatePool(load);
      const auto least = pool ? kept.TakeLeast(*pool, aLoads) : std::nullopt;
      if (!least) {
        break;
      }
      aBusy.Add(aLoads[*least].mWork, aRates, -1);
      giveUp(aLoads[*least]);
    }
  }
  aBusy.Add(late);
  return isAnyGivenUp;
}

} // namespace

double ValueOf(double aWork, double aMeanWork)
{
  constexpr double kFixedValue = 0.3;
  constexpr double kMaxValue = 4;
  const double relative = aMeanWork > 0 ? aWork / aMeanWork : 1;
  return std::min(kMaxValue, kFixedValue + (1 - kFixedValue) * relative);
}

bool GiveUpJobs(std::vector<JobLoad>& aLoads, const PoolWork& aRates)
{
  if (FitsAll(aLoads, aRates)) {
    return false;
  }
  std::vector<std::size_t> order(aLoads.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return std::tie(aLoads[aLeft].mPriority, aLoads[aLeft].mTimeLeftMs) <
             std::tie(aLoads[aRight].mPriority, aLoads[aRight].mTimeLeftMs);
    });
  PoolTimes busy;
  bool isOverloaded = false;
  for (auto begin = order.begin(); begin != order.end();) {
    const std::int32_t priority = aLoads[*begin].mPriority;
    const auto end = std::find_if(begin, order.end(), [&](std::size_t aIndex) {
      return aLoads[aIndex].mPriority != priority;
    });
    const std::span<const std::size_t> jobs(begin, end);
    isOverloaded = GiveUpInPriority(aLoads, jobs, aRates, busy) || isOverloaded;
    begin = end;
  }
  return isOverloaded || IsBacklogLate(aLoads, aRates);
}

void DemoteUnderOverload(DispatchShard& aShard,
                         std::vector<Candidate>& aSteps,
                         TimePoint aNow)
{
  aShard.mOverload = {};
  std::map<JobId, Demotion> demotions;
  // Teams get room by their weights, so none has jobs given up for another's.
  const bool mayGiveUp = aShard.mTeams.empty();
  for (auto& [name, service] : CollectLoads(aShard, aNow)) {
    Demote(service, mayGiveUp, aNow, aShard.mOverload, demotions);
  }
  for (auto& step : aSteps) {
    const auto demotion = demotions.find(step.mFirstTask.mJob);
    const bool mayDemote =
      (step.mTier == Tier::kOnTime || step.mTier == Tier::kLate) &&
      MayDemote(aShard, step, aNow);
    if (demotion != demotions.end() && mayDemote) {
      step.mTier = demotion->second.mTier;
      step.mDueAt = demotion->second.mDueAt;
    }
  }
}

} // namespace verbenacroft
