#pragma once

/// Order of jobs when the work that is due doesn't fit the room. By their
/// objectives alone every job would be a little late. Instead some jobs are
/// given up early, so that the others meet their objectives: the method of
/// Moore and Hodgson, weighted by what callers lose. Internal to the Dispatch
/// library.

#include "vcPlacementCandidates.h"

namespace verbenacroft {

/// A job's result has no more use for its caller after this multiple of the
/// time that its objective allows.
constexpr int kMaxLateFactor = 3;

/// Pools of processors that the tasks of jobs share: those that count against
/// the capacity of workers, and those that best-effort tasks use.
constexpr std::size_t kPools = 2;

/// Work by pool, in thousandths of a processor times ms.
using PoolWork = std::array<double, kPools>;

/// What a job still needs, and what its completion in time is worth.
struct JobLoad
{
  std::int32_t mPriority = 0;
  /// Time left until the objective, in ms; negative if it has passed.
  double mTimeLeftMs = 0;
  PoolWork mWork{};
  /// Value to the caller of a completion in time.
  double mValue = 1;
  /// Set by `GiveUpJobs`.
  bool mIsGivenUp = false;
};

/// Gives up jobs that would keep others from their objectives, those first that
/// free the most room for the least value. Jobs of more urgent priorities take
/// room first.
/// @param aRates processors by pool, in thousandths
/// @return true if the work doesn't fit: a job is given up, or late ones alone
/// need all processors of a pool for some time
bool GiveUpJobs(std::vector<JobLoad>& aLoads, const PoolWork& aRates);

/// Relative value of a job to its caller by its work.
/// @param aMeanWork mean work of the jobs of its queue
double ValueOf(double aWork, double aMeanWork);

/// Lowers the tier of the steps of jobs that are given up to `kLate`, with a
/// `Candidate::mDueAt` by which those with less work left come first, and that
/// of jobs whose result has no more use for their callers to `kExpired`. Late
/// jobs keep their order: by the work left, large ones had no run for seconds.
/// Scheduled jobs and long-running steps stay as they are. In a deployment with
/// teams no job is given up for another.
/// Sets `DispatchShard::mOverload`.
void DemoteUnderOverload(DispatchShard& aShard,
                         std::vector<Candidate>& aSteps,
                         TimePoint aNow);

} // namespace verbenacroft
