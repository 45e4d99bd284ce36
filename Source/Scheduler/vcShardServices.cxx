#include "vcShardPlan.h"

#include <algorithm>

/// Replicas of services on a shard: how many, which leave, where new ones go.

namespace verbenacroft {

namespace {

/// Part of `aTotal` that falls to `aName` when it is shared out by weight.
/// Remainders go to names in an order that differs for each seed, so that
/// they don't all fall on the same one.
std::int64_t PartOf(std::int64_t aTotal,
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
  std::int64_t rest = aTotal;
  std::vector<std::pair<std::int64_t, std::string>> order;
  for (const auto& [name, weight] : aWeights) {
    rest -= aTotal * weight / sum;
    order.emplace_back(aTotal * weight % sum, name);
  }
  std::sort(order.begin(), order.end(), [&](const auto& aLeft, auto& aRight) {
    if (aLeft.first != aRight.first) {
      return aLeft.first > aRight.first;
    }
    return RendezvousWeight(aSeed, aLeft.second) >
           RendezvousWeight(aSeed, aRight.second);
  });
  for (std::int64_t i = 0; i < rest; ++i) {
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
  const auto here =
    PartOf(aService.mReplicas, dataCentres, aDataCentre, aService.mName);
  if (here == 0) {
    return 0;
  }
  const auto* dataCentre = FindNamed(aConfiguration.mDataCentres, aDataCentre);
  std::map<std::string, std::int64_t> shards;
  for (const auto& shard : ShardsOf(*dataCentre)) {
    const auto weight = aWeights.find(shard);
    shards[shard] = weight == aWeights.end() ? 0 : weight->second;
  }
  return PartOf(here, shards, aShard, aService.mName);
}

namespace plan {

namespace {

/// Time in which every router learns that a target leaves.
constexpr Duration kRouteLag{ 3'000 };

struct ServiceCount
{
  std::int64_t mStaying = 0;
  std::vector<std::string> mTasks;
};

bool IsStaying(const Shard& aShard, const TaskRecord& aTask)
{
  const auto& worker = aShard.mWorkers.at(aTask.mWorker);
  return worker.mIsListed && !worker.mIsGivenUp &&
         worker.mInstance.mState == InstanceState::kLive &&
         aShard.mTasks.at(aTask.mTask).mPhase != TaskPhase::kStopping;
}

std::map<std::string, ServiceCount> CountServices(const Shard& aShard)
{
  std::map<std::string, ServiceCount> counts;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind != TaskKind::kService) {
      continue;
    }
    auto& count = counts[task.mOwner];
    if (IsStaying(aShard, task)) {
      ++count.mStaying;
      count.mTasks.push_back(name);
    }
  }
  return counts;
}

void MarkLeaving(Shard& aShard,
                 const std::string& aTask,
                 TimePoint aLeaveAt,
                 Duration aDeadline)
{
  auto& runtime = aShard.mTasks[aTask];
  if (!runtime.mLeaveAt) {
    runtime.mLeaveAt = aLeaveAt;
    runtime.mStopAt = aLeaveAt + kRouteLag + aDeadline;
    ++aShard.mTargetVersion;
  }
}

Duration DeadlineOf(const Configuration& aConfiguration,
                    const std::string& aService)
{
  constexpr Duration kDeadlineOfRemoved{ 5'000 };
  const auto* service = FindNamed(aConfiguration.mServices, aService);
  return service == nullptr ? kDeadlineOfRemoved : service->mDeadline;
}

/// Marks replicas that have to leave, takes the mark back from those that
/// may stay after all, and stops those whose time has come.
void PlanLeaving(Shard& aShard,
                 const ShardContext& aContext,
                 const std::set<std::string>& aExcess)
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
        aShard, name, *aShard.mDrainedSince + kReplacementLead, deadline);
    } else if (isWorkerLeaving || aExcess.contains(name)) {
      MarkLeaving(aShard, name, now, deadline);
    } else if (runtime.mLeaveAt && runtime.mPhase != TaskPhase::kStopping) {
      runtime.mLeaveAt.reset();
      runtime.mStopAt.reset();
      ++aShard.mTargetVersion;
    }
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

std::string FreeReplicaName(const Shard& aShard, const std::string& aService)
{
  for (std::int64_t i = 0;; ++i) {
    std::string name = aService + "@" + aShard.mName + "/" + std::to_string(i);
    if (!aShard.mData.mPlaced.contains(name)) {
      return name;
    }
  }
}

void PlaceService(Shard& aShard,
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
    request.mOwnerKind = KindOf(aService.mName);
    request.mResources = aService.mResources;
    const auto chosen = ChooseWorker(
      aViews, request, aShard.mInterference, weights, aContext.mNow);
    if (!chosen) {
      aShard.mUnplacedReplicas += aMissing - i;
      MakeRoom(aShard, aContext, aService.mResources);
      return;
    }
    TaskRecord task;
    task.mTask = FreeReplicaName(aShard, aService.mName);
    task.mKind = TaskKind::kService;
    task.mOwner = aService.mName;
    task.mBacker = aService.mBacker;
    task.mResources = aService.mResources;
    Commit(aShard, std::move(task), aViews[*chosen], aContext);
  }
}

/// Newest replicas beyond the desired number, by name.
void AddExcess(const ServiceCount& aCount,
               std::int64_t aDesired,
               std::set<std::string>& aExcess)
{
  for (auto i = static_cast<std::size_t>(std::max<std::int64_t>(aDesired, 0));
       i < aCount.mTasks.size();
       ++i) {
    aExcess.insert(aCount.mTasks[i]);
  }
}

} // namespace

void PlanServices(Shard& aShard,
                  const ShardContext& aContext,
                  std::vector<WorkerView>& aViews)
{
  const auto& configuration = *aContext.mConfiguration;
  const bool isDrained = IsDrained(configuration, aContext.mDataCentre);
  auto counts = CountServices(aShard);
  std::set<std::string> excess;
  std::map<std::string, std::int64_t> desired;
  for (const auto& service : configuration.mServices) {
    desired[service.mName] = DesiredReplicas(configuration,
                                             service,
                                             *aContext.mWeights,
                                             aContext.mDataCentre,
                                             aShard.mName);
  }
  for (const auto& [name, count] : counts) {
    AddExcess(count, desired[name], excess);
  }
  PlanLeaving(aShard, aContext, excess);
  aShard.mUnplacedReplicas = 0;
  if (isDrained || aContext.mStartLimit <= aContext.mNow) {
    return;
  }
  for (const auto& service : configuration.mServices) {
    const auto missing =
      desired[service.mName] - counts[service.mName].mStaying;
    if (missing > 0) {
      PlaceService(aShard, aContext, service, missing, aViews);
    }
  }
}

} // namespace plan

} // namespace verbenacroft
