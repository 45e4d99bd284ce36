#include "vcShardPlan.h"

#include <algorithm>

/// Planning of service replicas on a shard: their number, the removal of
/// surplus replicas and the placement of missing ones.

namespace verbenacroft {

namespace {

/// Returns the part of `aTotal` for `aName` when `aTotal` is distributed in
/// proportion to the weights. Units left over by rounding go to the largest
/// remainders; among equal ones the order depends on the seed, so that not
/// all services give them to the same name.
std::int64_t ProportionalPart(
  std::int64_t aTotal,
  const std::map<std::string, std::int64_t>& aWeights,
  const std::string& aName,
  const std::string& aSeed)
{
  std::int64_t sum = 0;
  for (const auto& [name, weight] : aWeights) {
    sum += weight;
  }
  const auto own = aWeights.find(aName);
  if (sum == 0 || own == aWeights.end()) {
    return 0;
  }
  const std::int64_t whole = aTotal * own->second / sum;
  std::int64_t remaining = aTotal;
  std::vector<std::pair<std::int64_t, std::string>> order;
  for (const auto& [name, weight] : aWeights) {
    remaining -= aTotal * weight / sum;
    order.emplace_back(aTotal * weight % sum, name);
  }
  std::sort(order.begin(), order.end(), [&](const auto& aLeft, auto& aRight) {
    if (aLeft.first != aRight.first) {
      return aLeft.first > aRight.first;
    }
    return RendezvousWeight(aSeed, aLeft.second) >
           RendezvousWeight(aSeed, aRight.second);
  });
  for (std::int64_t i = 0; i < remaining; ++i) {
    if (order[static_cast<std::size_t>(i)].second == aName) {
      return whole + 1;
    }
  }
  return whole;
}

} // namespace

std::int64_t DesiredReplicas(const Configuration& aConfiguration,
                             const Service& aService,
                             const ShardWeights& aWeights,
                             const std::string& aDataCentre,
                             const std::string& aShard)
{
  std::map<std::string, std::int64_t> dataCentres;
  for (const auto& name : aService.mDataCentres) {
    if (!IsDrained(aConfiguration, name)) {
      dataCentres[name] = 1;
    }
  }
  const auto inDataCentre = ProportionalPart(
    aService.mReplicas, dataCentres, aDataCentre, aService.mName);
  if (inDataCentre == 0) {
    return 0;
  }
  const auto* dataCentre = FindNamed(aConfiguration.mDataCentres, aDataCentre);
  std::map<std::string, std::int64_t> shards;
  for (const auto& shard : ShardsOf(*dataCentre)) {
    const auto weight = aWeights.find(shard);
    shards[shard] = weight == aWeights.end() ? 0 : weight->second;
  }
  return ProportionalPart(inDataCentre, shards, aShard, aService.mName);
}

namespace plan {

namespace {

/// Time within which every router learns that a target is leaving.
constexpr Duration kMaxRouteUpdateTime{ 3'000 };

/// Replicas of a service that are not stopping and whose worker is listed,
/// reachable and not leaving.
struct RetainedReplicas
{
  std::int64_t mCount = 0;
  /// Names of the replicas, sorted.
  std::vector<std::string> mTasks;
};

bool IsRetained(const Shard& aShard, const TaskRecord& aTask)
{
  const auto& worker = aShard.mWorkers.at(aTask.mWorker);
  return worker.mIsListed && !worker.mIsUnreachable &&
         worker.mInstance.mState == InstanceState::kLive &&
         aShard.mTasks.at(aTask.mTask).mPhase != TaskPhase::kStopping;
}

/// Returns the retained replicas of each service, by its name.
std::map<std::string, RetainedReplicas> FindRetainedReplicas(
  const Shard& aShard)
{
  std::map<std::string, RetainedReplicas> retained;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind != TaskKind::kService) {
      continue;
    }
    auto& replicas = retained[task.mOwner];
    if (IsRetained(aShard, task)) {
      ++replicas.mCount;
      replicas.mTasks.push_back(name);
    }
  }
  return retained;
}

/// Sets the times at which routers stop sending to the replica and at which
/// it is stopped. Requests that are sent until the routers know are given
/// `aDeadline` to finish. Does nothing if the times are already set.
void MarkLeaving(Shard& aShard,
                 const std::string& aTask,
                 TimePoint aLeaveAt,
                 Duration aDeadline)
{
  auto& runtime = aShard.mTasks[aTask];
  if (!runtime.mLeaveAt) {
    runtime.mLeaveAt = aLeaveAt;
    runtime.mStopAt = aLeaveAt + kMaxRouteUpdateTime + aDeadline;
    ++aShard.mTargetVersion;
  }
}

/// Returns the service's request deadline. A service that is no longer
/// configured gets a default.
Duration DeadlineOf(const Configuration& aConfiguration,
                    const std::string& aService)
{
  constexpr Duration kDefaultDeadline{ 5'000 };
  const auto* service = FindNamed(aConfiguration.mServices, aService);
  return service == nullptr ? kDefaultDeadline : service->mDeadline;
}

/// Marks replicas that have to leave, clears the mark of replicas that may
/// stay after all, and stops replicas whose stop time is reached.
void PlanLeaving(Shard& aShard,
                 const ShardContext& aContext,
                 const std::set<std::string>& aSurplus)
{
  const bool isDrained =
    IsDrained(*aContext.mConfiguration, aContext.mDataCentre);
  std::vector<std::string> stops;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind != TaskKind::kService) {
      continue;
    }
    auto& runtime = aShard.mTasks[name];
    const auto& worker = aShard.mWorkers.at(task.mWorker);
    const bool isWorkerLeaving =
      worker.mInstance.mState == InstanceState::kLeaving;
    const auto deadline = DeadlineOf(*aContext.mConfiguration, task.mOwner);
    const auto now = aContext.mNow;
    if (isDrained) {
      MarkLeaving(
        aShard, name, *aShard.mDrainedSince + kRouteRemovalDelay, deadline);
    } else if (isWorkerLeaving || aSurplus.contains(name)) {
      MarkLeaving(aShard, name, now, deadline);
    } else if (runtime.mLeaveAt && runtime.mPhase != TaskPhase::kStopping) {
      runtime.mLeaveAt.reset();
      runtime.mStopAt.reset();
      ++aShard.mTargetVersion;
    }
    // `TargetsOf` marks the target as leaving from `mLeaveAt` on, so the table
    // changes at that time. Two plan intervals, since a plan may be late.
    if (runtime.mLeaveAt && *runtime.mLeaveAt <= now &&
        *runtime.mLeaveAt + kPlanInterval * 2 > now) {
      ++aShard.mTargetVersion;
    }
    if (runtime.mStopAt && *runtime.mStopAt <= now) {
      stops.push_back(name);
    }
  }
  for (const auto& name : stops) {
    StopTask(aShard, name);
  }
}

/// Returns the first replica name of the service that is not in use.
std::string FreeReplicaName(const Shard& aShard, const std::string& aService)
{
  for (std::int64_t i = 0;; ++i) {
    std::string name = aService + "@" + aShard.mName + "/" + std::to_string(i);
    if (!aShard.mData.mPlaced.contains(name)) {
      return name;
    }
  }
}

/// Places `aMissing` replicas. If one fits on no worker, it and the remaining
/// ones are counted as unplaced, and batch tasks are evicted for one replica.
void PlaceReplicas(Shard& aShard,
                   const ShardContext& aContext,
                   const Service& aService,
                   std::int64_t aMissing,
                   std::vector<WorkerView>& aViews)
{
  const auto weights = WeightsOf(PolicyOf(*aContext.mConfiguration));
  for (std::int64_t i = 0; i < aMissing; ++i) {
    CountSameOwner(aShard, aService.mName, aViews);
    PlacementRequest request;
    request.mKind = TaskKind::kService;
    request.mOwnerKind = InterferenceKindOf(aService.mName);
    request.mResources = aService.mResources;
    const auto chosen = ChooseWorker(
      aViews, request, aShard.mInterference, weights, aContext.mNow);
    if (!chosen) {
      aShard.mUnplacedReplicas += aMissing - i;
      EvictForCapacity(aShard, aContext, aService.mResources);
      return;
    }
    TaskRecord task;
    task.mTask = FreeReplicaName(aShard, aService.mName);
    task.mKind = TaskKind::kService;
    task.mOwner = aService.mName;
    task.mBacker = aService.mBacker;
    task.mResources = aService.mResources;
    CommitTask(aShard, std::move(task), aViews[*chosen], aContext);
  }
}

/// Adds all replicas but the first `aDesired` ones, in the order of their
/// names, to `aSurplus`. The names that sort last are mostly the newest.
void AddSurplus(const RetainedReplicas& aRetained,
                std::int64_t aDesired,
                std::set<std::string>& aSurplus)
{
  for (auto i = static_cast<std::size_t>(std::max<std::int64_t>(aDesired, 0));
       i < aRetained.mTasks.size();
       ++i) {
    aSurplus.insert(aRetained.mTasks[i]);
  }
}

} // namespace

void PlanServices(Shard& aShard,
                  const ShardContext& aContext,
                  std::vector<WorkerView>& aViews)
{
  const auto& configuration = *aContext.mConfiguration;
  const bool isDrained = IsDrained(configuration, aContext.mDataCentre);
  auto retained = FindRetainedReplicas(aShard);
  std::set<std::string> surplus;
  std::map<std::string, std::int64_t> desired;
  for (const auto& service : configuration.mServices) {
    desired[service.mName] = DesiredReplicas(configuration,
                                             service,
                                             *aContext.mWeights,
                                             aContext.mDataCentre,
                                             aShard.mName);
  }
  for (const auto& [name, replicas] : retained) {
    AddSurplus(replicas, desired[name], surplus);
  }
  PlanLeaving(aShard, aContext, surplus);
  aShard.mUnplacedReplicas = 0;
  if (isDrained || aContext.mStartLimit <= aContext.mNow) {
    return;
  }
  for (const auto& service : configuration.mServices) {
    const auto missing =
      desired[service.mName] - retained[service.mName].mCount;
    if (missing > 0) {
      PlaceReplicas(aShard, aContext, service, missing, aViews);
    }
  }
}

} // namespace plan

} // namespace verbenacroft
