#pragma once

/// Choice of a worker for one task, and of the batch tasks to stop if no
/// worker has enough free capacity.

#include "vcConfig.h"
#include "vcInterference.h"

#include <optional>
#include <span>

namespace verbenacroft {

/// State of a worker that the choice depends on.
struct WorkerView
{
  std::string mName;
  std::string mRack;
  Resources mCapacity;
  /// Sum of the sizes of the tasks placed on it.
  Resources mCommitted;
  /// False while no task may be started on it.
  bool mIsSchedulable = true;
  /// Service tasks and batch tasks that run on it.
  std::vector<Neighbour> mServices;
  std::vector<Neighbour> mBatch;
  /// Number of tasks of the request's service or job on it.
  std::int64_t mSameOwnerTasks = 0;
  /// Number of tasks of the request's service or job in its rack.
  std::int64_t mSameOwnerTasksInRack = 0;
};

/// A task to place.
struct PlacementRequest
{
  TaskKind mKind = TaskKind::kBatch;
  /// Kind of its service or job in the interference model.
  std::uint64_t mOwnerKind = 0;
  Resources mResources;
};

/// Weights and constants of the placement cost.
struct PlacementWeights
{
  /// Weight of the slow-down of services.
  double mTailLatency = 1.0;
  /// Weight of the policy for evictions; the placement cost does not use it.
  double mEvictions = 1.0;
  /// Weight of the slow-down of batch tasks.
  double mThroughput = 1.0;
  /// Interference coefficient of a pair without evidence.
  double mPriorCoefficient = 0.3;
  /// Weight of the uncertainty of an interference coefficient.
  double mUncertaintyWeight = 0.5;
};

/// Weights of the policy, with the default constants.
PlacementWeights WeightsOf(const Policy& aPolicy);

/// True if the worker accepts tasks and has enough free capacity.
bool CanHold(const WorkerView& aWorker, const PlacementRequest& aRequest);

/// Cost of placing the task on the worker; it has no unit, and lower is better.
double PlacementCost(const WorkerView& aWorker,
                     const PlacementRequest& aRequest,
                     const InterferenceModel& aModel,
                     const PlacementWeights& aWeights,
                     TimePoint aNow);

/// Index of the worker with the lowest cost among those that can hold the
/// task, or nothing. Of equal costs the first one is chosen.
std::optional<std::size_t> ChooseWorker(std::span<const WorkerView> aWorkers,
                                        const PlacementRequest& aRequest,
                                        const InterferenceModel& aModel,
                                        const PlacementWeights& aWeights,
                                        TimePoint aNow);

/// Index of the first worker that can hold the task; a baseline for comparison.
std::optional<std::size_t> ChooseFirstFit(std::span<const WorkerView> aWorkers,
                                          const PlacementRequest& aRequest);

/// A batch task that may be stopped to free capacity.
struct VictimCandidate
{
  std::string mTask;
  Resources mResources;
  /// Work that would have to be done again, in milliseconds.
  std::int64_t mLostWorkMs = 0;
  /// Number of times that it was stopped before.
  std::int64_t mEvictions = 0;
  /// Amount by which its backer exceeds its share; 0 or less if it does not.
  double mShareExcess = 0;
};

/// Names of the tasks to stop so that `aNeeded` fits into `aFree` plus what
/// they release, or nothing if stopping all candidates is not enough. Tasks of
/// backers above their share come first, then those with fewer evictions, then
/// those with less lost work. The choice is greedy: no chosen task could be
/// left out, but a smaller set may exist.
std::optional<std::vector<std::string>> ChooseVictims(
  std::vector<VictimCandidate> aCandidates,
  const Resources& aFree,
  const Resources& aNeeded);

} // namespace verbenacroft
