#include "vcWorkerRuns.h"

#include <iterator>

namespace verbenacroft {

StepRuns RunsOfStep(const DispatchWorker& aWorker, const TaskId& aFirstTask)
{
  TaskId nextStep = aFirstTask;
  ++nextStep.mStep;
  const auto current = std::distance(aWorker.mTasks.lower_bound(aFirstTask),
                                     aWorker.mTasks.lower_bound(nextStep));
  const auto toStop =
    std::distance(aWorker.mRunsToStop.lower_bound({ aFirstTask, 0 }),
                  aWorker.mRunsToStop.lower_bound({ nextStep, 0 }));
  return { static_cast<std::uint32_t>(current),
           static_cast<std::uint32_t>(toStop) };
}

} // namespace verbenacroft
