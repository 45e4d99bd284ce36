#include "vcOverload.h"

#include "vcDispatchSharing.h"

#include <algorithm>
#include <numeric>

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

/// Orders a heap of indexes with the lowest value for its work on top.
struct IsDenser
{
  const std::vector<JobLoad>& mLoads;

  bool operator()(std::size_t aLeft, std::size_t aRight) const
  {
    return ValueDensity(this->mLoads[aLeft]) >
           ValueDensity(this->mLoads[aRight]);
  }
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

  /// True if a job with this work isn't done in time behind all work so far,
  /// its own included.
  bool IsTooLate(const JobLoad& aLoad) const
  {
    for (std::size_t p = 0; p < kPools; ++p) {
      if (aLoad.mWork[p] > 0 && this->mMs[p] > aLoad.mTimeLeftMs) {
        return true;
      }
    }
    return false;
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
      services[job.mRecord.mTerms.mService].mRows.push_back(std::move(row));
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

/// What the order of a job's steps becomes.
struct Demotion
{
  Tier mTier = Tier::kOnTime;
  /// When it would be done if it had all processors from now on.
  TimePoint mDoneAt{ 0 };
};

/// Adds the demotions of a service's jobs, if its work doesn't fit.
void Demote(ServiceLoad& aService,
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
      aDemotions[job.mId] = { Tier::kExpired, doneAt };
    } else if (loads[i].mIsGivenUp || loads[i].mTimeLeftMs <= 0) {
      aDemotions[job.mId] = { Tier::kLate, doneAt };
    }
  }
  aSummary.mJobs += loads.size();
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
    std::vector<std::size_t> kept;
    PoolTimes late;
    for (auto at = begin; at != end; ++at) {
      JobLoad& load = aLoads[*at];
      if (load.mTimeLeftMs <= 0) {
        late.Add(load.mWork, aRates, 1);
        continue;
      }
      kept.push_back(*at);
      std::push_heap(kept.begin(), kept.end(), IsDenser{ aLoads });
      busy.Add(load.mWork, aRates, 1);
      while (!kept.empty() && busy.IsTooLate(load) && !load.mIsGivenUp) {
        std::pop_heap(kept.begin(), kept.end(), IsDenser{ aLoads });
        JobLoad& givenUp = aLoads[kept.back()];
        kept.pop_back();
        givenUp.mIsGivenUp = true;
        busy.Add(givenUp.mWork, aRates, -1);
        late.Add(givenUp.mWork, aRates, 1);
        isOverloaded = true;
      }
    }
    // Late jobs of this priority still come before less urgent ones.
    for (std::size_t p = 0; p < kPools; ++p) {
      busy.mMs[p] += late.mMs[p];
    }
    begin = end;
  }
  return isOverloaded;
}

void DemoteUnderOverload(DispatchShard& aShard,
                         std::vector<Candidate>& aSteps,
                         TimePoint aNow)
{
  aShard.mOverload = {};
  std::map<JobId, Demotion> demotions;
  for (auto& [name, service] : CollectLoads(aShard, aNow)) {
    Demote(service, aNow, aShard.mOverload, demotions);
  }
  for (auto& step : aSteps) {
    const auto demotion = demotions.find(step.mFirstTask.mJob);
    const bool mayDemote =
      step.mTier == Tier::kOnTime || step.mTier == Tier::kLate;
    if (demotion != demotions.end() && mayDemote) {
      step.mTier = demotion->second.mTier;
      step.mDueAt = demotion->second.mDoneAt;
    }
  }
}

} // namespace verbenacroft
