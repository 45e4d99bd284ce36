#include "vcWorkerChoice.h"

#include <algorithm>
#include <limits>

namespace verbenacroft {

namespace {

constexpr double kRackSpreadCost = 0.1;
constexpr double kWorkerSpreadCost = 0.5;
constexpr double kFitCost = 0.3;
/// Weight of disturbing services against being disturbed as a batch task.
constexpr double kServiceHarm = 2.0;

double Load(const Resources& aPart, const Resources& aWhole)
{
  return aWhole.mMilliCpu <= 0 ? 0.0
                               : static_cast<double>(aPart.mMilliCpu) /
                                   static_cast<double>(aWhole.mMilliCpu);
}

/// Slow-down that the new task inflicts on the services of the worker.
double HarmToServices(const WorkerView& aWorker,
                      const PlacementRequest& aRequest,
                      const InterferenceModel& aModel,
                      const PlacementWeights& aWeights,
                      TimePoint aNow)
{
  const std::vector<Neighbour> added = {
    { aRequest.mOwnerKind, Load(aRequest.mResources, aWorker.mCapacity) }
  };
  double harm = 0;
  for (const auto& service : aWorker.mServices) {
    harm += Predict(
      aModel, service.mKind, added, aWeights.mPrior, aWeights.mCaution, aNow);
  }
  return harm;
}

/// Slow-down that the new task will suffer from what is there.
double HarmSuffered(const WorkerView& aWorker,
                    const PlacementRequest& aRequest,
                    const InterferenceModel& aModel,
                    const PlacementWeights& aWeights,
                    TimePoint aNow)
{
  const auto& caution = aWeights.mCaution;
  return Predict(aModel,
                 aRequest.mOwnerKind,
                 aWorker.mServices,
                 aWeights.mPrior,
                 caution,
                 aNow) +
         Predict(aModel,
                 aRequest.mOwnerKind,
                 aWorker.mBatch,
                 aWeights.mPrior,
                 caution,
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
  return aWorker.mIsOpen &&
         Fits(aWorker.mCommitted + aRequest.mResources, aWorker.mCapacity);
}

double PlacementCost(const WorkerView& aWorker,
                     const PlacementRequest& aRequest,
                     const InterferenceModel& aModel,
                     const PlacementWeights& aWeights,
                     TimePoint aNow)
{
  const double fill =
    DominantShare(aWorker.mCommitted + aRequest.mResources, aWorker.mCapacity);
  const double suffered =
    HarmSuffered(aWorker, aRequest, aModel, aWeights, aNow);
  if (aRequest.mKind == TaskKind::kService) {
    return aWeights.mTailLatency * suffered + kFitCost * fill +
           kWorkerSpreadCost * static_cast<double>(aWorker.mSameOwner) +
           kRackSpreadCost * static_cast<double>(aWorker.mSameOwnerInRack);
  }
  const double harm = HarmToServices(aWorker, aRequest, aModel, aWeights, aNow);
  // A full worker leaves large gaps elsewhere; accelerators are kept free
  // for tasks that need them.
  const bool wastesAccelerators = aRequest.mResources.mAccelerators == 0 &&
                                  aWorker.mCapacity.mAccelerators > 0;
  return aWeights.mTailLatency * kServiceHarm * harm +
         aWeights.mThroughput * suffered - kFitCost * fill +
         (wastesAccelerators ? kFitCost : 0.0);
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
    return std::tuple(aCandidate.mExcess <= 0,
                      aCandidate.mEvictions,
                      aCandidate.mLostWork,
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
  // Victims that turn out not to be needed are spared, the dearest first.
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
