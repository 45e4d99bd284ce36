#pragma once

/// Runs on a worker: which runs are at work there, or may be, from the order to
/// start them until their ends are listed. Internal to the Dispatch library.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Number of a step's runs on one worker.
struct StepRuns
{
  /// Current runs of their tasks.
  std::uint32_t mCurrent = 0;
  /// Runs that are no longer needed.
  std::uint32_t mToStop = 0;
};

/// The runs on the worker of one step of one occurrence.
/// @param aFirstTask first task of the step
StepRuns RunsOfStep(const DispatchWorker& aWorker, const TaskId& aFirstTask);

} // namespace verbenacroft
