#pragma once

/// Sharing of a worker between serving tasks and tasks that fill: how much of
/// their processors serving tasks leave idle, and how much each image of a
/// filling task adds to the response times of each image that serves. Both
/// are learned from the workers' reports.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Learns from a worker's report.
void LearnSharing(DispatchShard& aShard,
                  DispatchWorker& aWorker,
                  const std::vector<RunningTask>& aRunning,
                  TimePoint aNow);

/// Processors that filling tasks may still take on the worker, in
/// thousandths; negative if they take too much already.
std::int64_t FillingRoom(const DispatchWorker& aWorker);

/// Highest share of its target that a serving task on the worker is expected
/// to reach with one more filling task.
double ExpectedShare(const DispatchShard& aShard,
                     const DispatchWorker& aWorker,
                     const StepSpec& aFilling,
                     TimePoint aNow);

/// Notes that a filling task was placed since the worker's last report.
void NotePlacedFilling(const DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const StepSpec& aFilling,
                       TimePoint aNow);

/// What a filling task adds to the share of target of an image that serves.
double AddedShare(const DispatchShard& aShard,
                  const std::string& aServingImage,
                  const StepSpec& aFilling,
                  const DispatchWorker& aWorker,
                  TimePoint aNow);

} // namespace verbenacroft
