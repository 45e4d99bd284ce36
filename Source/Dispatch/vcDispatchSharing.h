#pragma once

/// Sharing of a worker between serving tasks and tasks that fill: how much of
/// their processors serving tasks leave idle, and how much load each
/// image of a filling task adds to each image that serves. Both
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

/// Processors that all filling tasks on the worker may use just now, in
/// thousandths.
double FillingRoomNow(const DispatchWorker& aWorker);

/// Load of a serving task at a share of its target. Its response times are
/// taken for those of a queue: with the load L they are 1 / (1 - L) times
/// those of an idle one.
double LoadAt(const ServingProfile& aProfile, double aShare);

/// A filling task that adds less load than this to a serving task doesn't
/// disturb it: the estimates aren't better than that.
constexpr double kLeastAdded = 0.05;

/// A filling task's kind and the processors it needs, in thousandths.
struct FillingNeeds
{
  std::uint64_t mKind = 0;
  double mCpu = 0;
};

FillingNeeds FillingNeedsOf(const StepSpec& aStep);

/// What one more filling task would do to the serving tasks of a worker.
struct FillingEffect
{
  /// Most load that it adds to any image there.
  double mAdded = 0;
  /// The same of a task of the usual filling image.
  double mUsual = 0;
  /// An image to which it adds load would come too close to its target.
  bool mIsTooMuch = false;
};

FillingEffect EffectOf(const DispatchShard& aShard,
                       const DispatchWorker& aWorker,
                       const FillingNeeds& aFilling,
                       TimePoint aNow);

/// Notes that a filling task was placed since the worker's last report.
void NotePlacedFilling(const DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const FillingNeeds& aFilling,
                       TimePoint aNow);

/// Load that a filling task adds to the tasks of an image that serves.
double AddedLoad(const DispatchShard& aShard,
                 const ServingShare& aServing,
                 const FillingNeeds& aFilling,
                 const DispatchWorker& aWorker,
                 TimePoint aNow);

} // namespace verbenacroft
