#include "vcWorkerChoice.h"

#include <algorithm>
#include <limits>

namespace verbenacroft {

namespace {

/// Cost of each task of the same service in the rack.
constexpr double kSameRackCost = 0.1;
/// Cost of each task of the same service on the worker.
constexpr double kSameWorkerCost = 0.5;
/// Weight of the worker's utilisation, and cost of using a worker with
/// accelerators for a batch task that needs none.
constexpr double kUtilisationCost = 0.3;
/// Weight of the slow-down of services, relative to that of the batch task.
constexpr double kServiceSlowdownWeight = 2.0;

/// Fraction of the processors of `aWhole` that `aPart` uses.
double Load(const Resources& aPart, const Resources& aWhole)
{
  return aWhole.mMilliCpu <= 0 ? 0.0
                               : static_cast<double>(aPart.mMilliCpu) /
                                   static_cast<double>(aWhole.mMilliCpu);
}

/// Sum of the slow-downs that the new task causes to the worker's services.
double AddedServiceSlowdown(const WorkerView& aWorker,
                            const PlacementRequest& aRequest,
                            const InterferenceModel& aModel,
                            const PlacementWeights& aWeights,
                            TimePoint aNow)
{
  const std::vector<Neighbour> added = {
    { aRequest.mOwnerKind, Load(aRequest.mResources, aWorker.mCapacity) }
  };
  double serviceSlowdown = 0;
  for (const auto& service : aWorker.mServices) {
    serviceSlowdown += PredictSlowdown(aModel,
                                       service.mKind,
                                       added,
                                       aWeights.mPriorCoefficient,
                                       aWeights.mUncertaintyWeight,
                                       aNow);
  }
  return serviceSlowdown;
}

/// Slow-down of the new task caused by the tasks that run on the worker.
double ExpectedTaskSlowdown(const WorkerView& aWorker,
                            const PlacementRequest& aRequest,
                            const InterferenceModel& aModel,
                            const PlacementWeights& aWeights,
                            TimePoint aNow)
{
  const auto& uncertaintyWeight = aWeights.mUncertaintyWeight;
  return PredictSlowdown(aModel,
                         aRequest.mOwnerKind,
                         aWorker.mServices,
                         aWeights.mPriorCoefficient,
                         uncertaintyWeight,
                         aNow) +
         PredictSlowdown(aModel,
                         aRequest.mOwnerKind,
                         aWorker.mBatch,
                         aWeights.mPriorCoefficient,
                         uncertaintyWeight,
                         aNow);
}

} // namespace

PlacementWeights WeightsOf(const Policy& aPolicy)
{
  PlacementWeights weights;
  weights.mTailLatency = aPolicy.mTailLatency;
  weights.mEvictions = aPolicy.mEvictions;
  weights.mThroughput = aPolicy.mThroughput;
  return weights;
}

bool CanHold(const WorkerView& aWorker, const PlacementRequest& aRequest)
{
  return aWorker.mIsSchedulable &&
         Fits(aWorker.mCommitted + aRequest.mResources, aWorker.mCapacity);
}

double PlacementCost(const WorkerView& aWorker,
                     const PlacementRequest& aRequest,
                     const InterferenceModel& aModel,
                     const PlacementWeights& aWeights,
                     TimePoint aNow)
{
  const double utilisation =
    DominantShare(aWorker.mCommitted + aRequest.mResources, aWorker.mCapacity);
  const double taskSlowdown =
    ExpectedTaskSlowdown(aWorker, aRequest, aModel, aWeights, aNow);
  if (aRequest.mKind == TaskKind::kService) {
    return aWeights.mTailLatency * taskSlowdown +
           kUtilisationCost * utilisation +
           kSameWorkerCost * static_cast<double>(aWorker.mSameOwnerTasks) +
           kSameRackCost * static_cast<double>(aWorker.mSameOwnerTasksInRack);
  }
  const double serviceSlowdown =
    AddedServiceSlowdown(aWorker, aRequest, aModel, aWeights, aNow);
  // Batch tasks prefer workers with high utilisation, so that large free
  // blocks remain on others. Accelerators are kept free for tasks that need
  // them.
  const bool wastesAccelerators = aRequest.mResources.mAccelerators == 0 &&
                                  aWorker.mCapacity.mAccelerators > 0;
  return aWeights.mTailLatency * kServiceSlowdownWeight * serviceSlowdown +
         aWeights.mThroughput * taskSlowdown - kUtilisationCost * utilisation +
         (wastesAccelerators ? kUtilisationCost : 0.0);
}

std::optional<std::size_t> ChooseWorker(std::span<const WorkerView> aWorkers,
                                        const PlacementRequest& aRequest,
                                        const InterferenceModel& aModel,
                                        const PlacementWeights& aWeights,
                                        TimePoint aNow)
{
  std::optional<std::size_t> best;
  double bestCost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    if (!CanHold(aWorkers[i], aRequest)) {
      continue;
    }
    const double cost =
      PlacementCost(aWorkers[i], aRequest, aModel, aWeights, aNow);
    if (cost < bestCost) {
      bestCost = cost;
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t> ChooseFirstFit(std::span<const WorkerView> aWorkers,
                                          const PlacementRequest& aRequest)
{
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    if (CanHold(aWorkers[i], aRequest)) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::vector<std::string>> ChooseVictims(
  std::vector<VictimCandidate> aCandidates,
  const Resources& aFree,
  const Resources& aNeeded)
{
  const auto key = [](const VictimCandidate& aCandidate) {
    return std::tuple(aCandidate.mShareExcess <= 0,
                      aCandidate.mEvictions,
                      aCandidate.mLostWorkMs,
                      aCandidate.mTask);
  };
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const auto& aLeft, const auto& aRight) {
              return key(aLeft) < key(aRight);
            });
  Resources free = aFree;
  std::vector<VictimCandidate> chosen;
  for (const auto& candidate : aCandidates) {
    if (Fits(aNeeded, free)) {
      break;
    }
    free += candidate.mResources;
    chosen.push_back(candidate);
  }
  if (!Fits(aNeeded, free)) {
    return std::nullopt;
  }
  // Drop victims that are not needed, starting with the least preferred.
  std::vector<std::string> names;
  for (auto it = chosen.rbegin(); it != chosen.rend(); ++it) {
    if (Fits(aNeeded, free - it->mResources)) {
      free -= it->mResources;
    } else {
      names.push_back(it->mTask);
    }
  }
  return names;
}

} // namespace verbenacroft
