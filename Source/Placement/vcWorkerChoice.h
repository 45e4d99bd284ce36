#pragma once

/// Choice of a worker for one task, and of victims to make room for it.

#include "vcConfig.h"
#include "vcInterference.h"

#include <optional>
#include <span>

namespace verbenacroft {

/// A worker as the choice sees it.
struct WorkerView
{
  std::string mName;
  std::string mRack;
  Resources mCapacity;
  Resources mCommitted;
  /// False while nothing may be started on it.
  bool mIsOpen = true;
  std::vector<Neighbour> mServices;
  std::vector<Neighbour> mBatch;
  /// Tasks of the same service or job already on it.
  std::int64_t mSameOwner = 0;
  /// Tasks of the same service or job in its rack.
  std::int64_t mSameOwnerInRack = 0;
};

struct PlacementRequest
{
  TaskKind mKind = TaskKind::kBatch;
  std::uint64_t mOwnerKind = 0;
  Resources mResources;
};

/// Weights and constants of the score.
struct PlacementWeights
{
  double mTailLatency = 1.0;
  double mEvictions = 1.0;
  double mThroughput = 1.0;
  /// Slow-down assumed of a pair of which nothing is known.
  double mPrior = 0.3;
  double mCaution = 0.5;
};

PlacementWeights WeightsOf(const Policy& aPolicy);

/// True if the worker is open and the task fits beside what is committed.
bool CanHold(const WorkerView& aWorker, const PlacementRequest& aRequest);

/// Cost of placing the task on the worker; lower is better.
double PlacementCost(const WorkerView& aWorker,
                     const PlacementRequest& aRequest,
                     const InterferenceModel& aModel,
                     const PlacementWeights& aWeights,
                     TimePoint aNow);

/// Index of the worker of lowest cost that can hold the task, or nothing.
/// Equal costs go to the earlier worker.
std::optional<std::size_t> ChooseWorker(std::span<const WorkerView> aWorkers,
                                        const PlacementRequest& aRequest,
                                        const InterferenceModel& aModel,
                                        const PlacementWeights& aWeights,
                                        TimePoint aNow);

/// First worker that can hold the task: the plain baseline.
std::optional<std::size_t> ChooseFirstFit(std::span<const WorkerView> aWorkers,
                                          const PlacementRequest& aRequest);

/// A batch task that could be stopped to make room.
struct VictimCandidate
{
  std::string mTask;
  Resources mResources;
  /// Work that would have to be done again, in milliseconds.
  std::int64_t mLostWork = 0;
  /// How often it was stopped before.
  std::int64_t mEvictions = 0;
  /// How far its backer is above its share; 0 or less if it is not.
  double mExcess = 0;
};

/// Smallest set of victims, by lost work, whose end makes room for
/// `aNeeded` within `aFree`; nothing if no set does.
std::optional<std::vector<std::string>> ChooseVictims(
  std::vector<VictimCandidate> aCandidates,
  const Resources& aFree,
  const Resources& aNeeded);

} // namespace verbenacroft
