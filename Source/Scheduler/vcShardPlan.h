#pragma once

/// Parts of a shard's planning that its files share; not public.

#include "vcShard.h"

namespace verbenacroft::plan {

/// Replacements elsewhere get this long before routes are taken away.
constexpr Duration kReplacementLead{ 1'000 };

/// Least time between two plans of a shard.
constexpr Duration kPlanInterval{ 50 };

/// The shard's workers as the choice of a worker sees them.
std::vector<WorkerView> ViewsOf(const Shard& aShard, TimePoint aNow);

/// Counts the tasks of `aOwner` on each worker and in its rack.
void CountSameOwner(const Shard& aShard,
                    const std::string& aOwner,
                    std::vector<WorkerView>& aViews);

/// Commits the task to the worker: journal first, the start follows once
/// the record is durable.
void Commit(Shard& aShard,
            TaskRecord aTask,
            WorkerView& aView,
            const ShardContext& aContext);

/// Excess of a backer's use over its share of the shard.
double ExcessOf(const Shard& aShard,
                const ShardContext& aContext,
                const std::string& aBacker,
                const Resources& aTotal);

/// Stops batch tasks on one worker so that `aNeeded` will fit. A worker on
/// which stops are already under way is waited for.
/// @return false if no worker can be made to hold it.
bool MakeRoom(Shard& aShard,
              const ShardContext& aContext,
              const Resources& aNeeded);

/// Places the replicas that are missing and takes leave of those in excess.
void PlanServices(Shard& aShard,
                  const ShardContext& aContext,
                  std::vector<WorkerView>& aViews);

/// Places waiting batch tasks, in the order of fairness.
void PlanBatch(Shard& aShard,
               const ShardContext& aContext,
               std::vector<WorkerView>& aViews);

} // namespace verbenacroft::plan
