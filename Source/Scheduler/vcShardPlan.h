#pragma once

/// Internal header shared by the files that implement a shard's planning.

#include "vcShard.h"

namespace verbenacroft::plan {

/// Time between a drain of the data centre and the removal of routes to its
/// replicas. Replacements in other data centres start in this time.
constexpr Duration kRouteRemovalDelay{ 1'000 };

/// Minimum time between two plans of a shard.
constexpr Duration kPlanInterval{ 50 };

/// Returns the shard's workers in the form that `ChooseWorker` takes.
std::vector<WorkerView> ViewsOf(const Shard& aShard, TimePoint aNow);

/// Sets in each view the number of tasks of the service or job `aOwner` on
/// the worker and in its rack.
void CountSameOwner(const Shard& aShard,
                    const std::string& aOwner,
                    std::vector<WorkerView>& aViews);

/// Assigns the task to the worker and journals the start. The start is sent
/// to the worker once the record is durable.
void CommitTask(Shard& aShard,
                TaskRecord aTask,
                WorkerView& aView,
                const ShardContext& aContext);

/// Returns how far the committed resources of a backer exceed its fair share
/// of the shard, as a fraction of that share; negative below the share, and 0
/// for a backer that is not in the shard's ledger.
double FairShareExcess(const Shard& aShard,
                       const ShardContext& aContext,
                       const std::string& aBacker,
                       const Resources& aTotal);

/// Stops batch tasks on one worker so that `aNeeded` will fit there. Stops
/// nothing while an available worker still has stops pending, since these
/// may free the capacity.
/// @return false if no worker can provide the capacity.
bool EvictForCapacity(Shard& aShard,
                      const ShardContext& aContext,
                      const Resources& aNeeded);

/// Places missing replicas of services and stops surplus ones.
void PlanServices(Shard& aShard,
                  const ShardContext& aContext,
                  std::vector<WorkerView>& aViews);

/// Places waiting batch tasks: first those of urgent jobs, then those of other
/// jobs. In each of the two groups, the backer with the lowest
/// `FairShareExcess` is served next.
void PlanBatch(Shard& aShard,
               const ShardContext& aContext,
               std::vector<WorkerView>& aViews);

} // namespace verbenacroft::plan
