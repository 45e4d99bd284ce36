#pragma once

/// Cost of a placement: on which workers a task of a step may run, and which of
/// them suits it best. Internal to the Dispatch library.

#include "vcDispatchProbes.h"
#include "vcDispatchSharing.h"
#include "vcDispatchSuccession.h"
#include "vcDispatchWaiting.h"

#include <variant>

namespace verbenacroft {

/// Placement data that is common to all tasks of a step.
struct StepNeeds
{
  /// First task of the step.
  TaskId mFirstTask;
  const DispatchJob& mJob;
  const StepSpec& mStep;
  const std::string& mService;
  /// Label of the rack that the tasks should run on; empty if any will do.
  std::string mRack;
  /// Needs that count against a worker's capacity: those of the step, without
  /// processors for best-effort tasks.
  Resources mCounted;
  /// Set only for a best-effort step.
  BestEffortNeeds mBestEffort;
  /// Other than `kNone` if the task to place is a probe.
  ProbeStage mProbeStage = ProbeStage::kNone;
  /// Rooms that the task must leave to others; null if it may take them.
  const KeptRooms* mKept = nullptr;
  /// The task follows the job's last run in the room that this has left.
  bool mIsSuccessor = false;
};

/// True if the worker has the label.
bool HasLabel(const WorkerEntry& aEntry, const std::string& aLabel);

/// The data of the task's step, as it is now.
StepNeeds NeedsOf(const DispatchShard& aShard, const TaskId& aKey);

/// True if starts may be ordered on the worker now, whatever the task.
bool IsUsable(const DispatchShard& aShard,
              const DispatchWorker& aWorker,
              TimePoint aNow);

/// True if tasks start on the worker only in exceptions: it is in quarantine,
/// or reserved for a task that is suspected of a crash.
bool IsSetAside(const DispatchWorker& aWorker, TimePoint aNow);

/// Number of further tasks of the step that its maximum allows on the worker,
/// beside all its runs that are there or may be.
std::uint32_t PlacesOfStep(const StepNeeds& aNeeds,
                           const DispatchWorker& aWorker);

/// True if the worker is one of the service and the label and the limit of the
/// step allow another of its tasks there. Free capacity is not checked.
bool IsAllowed(const StepNeeds& aNeeds, const DispatchWorker& aWorker);

/// Cost of placing a task of the step on the worker, or why it doesn't fit.
using PlacementCost = std::variant<double, WaitReason>;

/// The cost of placing one more task of the step on the worker; a lower one is
/// better.
PlacementCost CostOf(const DispatchShard& aShard,
                     const StepNeeds& aNeeds,
                     const DispatchWorker& aWorker,
                     TimePoint aNow);

/// Why a task of the step isn't started on the worker.
WaitReason RefusalOf(const DispatchShard& aShard,
                     const StepNeeds& aNeeds,
                     const DispatchWorker& aWorker,
                     TimePoint aNow);

} // namespace verbenacroft
