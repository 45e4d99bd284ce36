#pragma once

/// Rack locality: the rack near which a task should run, and how long it pays
/// to wait for a place there. A task takes longer on another rack by a known
/// factor, so a wait pays as long as it is shorter than that loss. Internal to
/// the Dispatch library.

#include "vcDispatchState.h"

#include <string>
#include <vector>

namespace verbenacroft {

struct StepNeeds;

/// A run on a worker of a rack whose end is expected.
struct ExpectedEnd
{
  TimePoint mEndsAt{ 0 };
  const DispatchWorker* mWorker = nullptr;
  /// What the run leaves, without processors if it is best-effort.
  Resources mLeaves;
  /// Processors that a best-effort run leaves, in thousandths.
  std::int64_t mLeavesBestEffortCpu = 0;
  /// A task waits for this place already.
  bool mIsTaken = false;
};

/// Runs on the racks that tasks of a round of starts prefer, by label of the
/// rack and in the order of their expected ends.
struct RackPlaces
{
  std::map<std::string, std::vector<ExpectedEnd>> mEnds;
};

/// Label of the rack that the tasks of a step should run on; empty if any rack
/// will do.
std::string PreferredRackOf(const DispatchJob& aJob, const TaskId& aFirstTask);

/// How long a task may wait for a near place, in ms; 0 if no wait pays.
/// @param aNearMs expected run time near its data
/// @param aFarFactor factor by which it is longer elsewhere
/// @param aPlaceInMs time until a near place becomes free; nothing if none is
/// expected
double PayingWaitMs(double aNearMs,
                    double aFarFactor,
                    std::optional<double> aPlaceInMs);

/// Decides whether a task waits for a place on its preferred rack, since the
/// worker that suits it best now isn't there. Sets
/// `DispatchTask::mAwaitsRackUntil` when it begins to wait, or gives up.
/// @param aBest the best worker for the task
bool AwaitsRack(DispatchShard& aShard,
                const StepNeeds& aNeeds,
                const TaskId& aTask,
                const DispatchWorker& aBest,
                RackPlaces& aPlaces,
                TimePoint aNow);

} // namespace verbenacroft
