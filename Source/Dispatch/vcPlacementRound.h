#pragma once

/// Round of starts: the usable workers, what was tried in vain, and the start
/// of a task on the worker that was chosen. Internal to the Dispatch library.

#include "vcDispatchReservations.h"
#include "vcPlacementCandidates.h"
#include "vcPlacementCost.h"
#include "vcRackLocality.h"

#include <array>
#include <tuple>

namespace verbenacroft {

/// A worker and the cost of placing a task of the step there.
struct RankedWorker
{
  double mCost = 0;
  DispatchWorker* mWorker = nullptr;
};

/// The workers that fit the tasks of one step, as a heap by cost. A start
/// changes only the cost of its own worker, so the cost of every other worker
/// is computed once per step.
class StepWorkers
{
public:
  /// @param aNeeds must outlive this object; `PutBack` uses its present counts
  /// @param aWorkers the workers to choose from
  StepWorkers(DispatchShard& aShard,
              const StepNeeds& aNeeds,
              const std::vector<DispatchWorker*>& aWorkers,
              TimePoint aNow);

  /// Removes the worker with the lowest cost and returns it; `aAvoided` is
  /// chosen only if there is no other.
  /// @return null if none is left
  DispatchWorker* TakeBest(const std::string& aAvoided);

  /// Adds a worker again with its present cost, if it still has free capacity.
  void PutBack(DispatchWorker& aWorker);

private:
  bool Add(DispatchWorker& aWorker);

  DispatchWorker* Pop();

  DispatchShard& mShard;
  const StepNeeds& mNeeds;
  TimePoint mNow;
  std::vector<RankedWorker> mHeap;
};

/// Needs for which a round found no worker. Steps that need as much or more of
/// the same kind are not tried again in that round.
class FailedPlacements
{
public:
  /// Records that no worker fits a task of the step.
  void Record(const std::string& aService, const StepSpec& aStep);

  /// True if a step of the same kind that needs no more than this one is
  /// recorded.
  bool IsKnownToFail(const std::string& aService, const StepSpec& aStep) const;

private:
  /// Service, required label, image of a best-effort step (such images differ
  /// in the workers that they fit on), whether the step is best-effort, and
  /// whether it is long-running, since these may take room that is reserved.
  using Key = std::tuple<std::string, std::string, std::string, bool, bool>;

  static Key KeyOf(const std::string& aService, const StepSpec& aStep);

  std::map<Key, std::vector<Resources>> mFailedNeeds;
};

/// State of one round of starts.
struct Round
{
  TimePoint mNow{ 0 };
  /// The same in ms since 1970.
  std::int64_t mNowMs = 0;
  HeldRevisions mHeld;
  /// Workers on which tasks may be started, by service.
  std::map<std::string, std::vector<DispatchWorker*>> mUsable;
  /// Workers in quarantine beside others that aren't, by service.
  std::map<std::string, std::vector<DispatchWorker*>> mQuarantined;
  /// Number of workers that run a suspect apart from others, by service.
  std::map<std::string, std::size_t> mIsolated;
  /// Number of workers that suspects may still take in this round, by service.
  std::map<std::string, std::size_t> mPlacesForSuspects;
  /// Reserved workers for which a suspect already waits in this round.
  std::set<const DispatchWorker*> mAwaited;
  FailedPlacements mFailedPlacements;
  /// The same for steps that leave kept rooms to others.
  FailedPlacements mFailedBesideKept;
  RackPlaces mRackPlaces;
  /// Rooms that are kept for jobs whose only run has just ended.
  KeptRooms mKept;
  /// The same for reservations.
  FailedPlacements mFailedReservations;
  /// The same for probes, by stage.
  std::array<FailedPlacements, kProbeStages> mFailedProbes;
};

/// A round with the workers of each service on which tasks may be started now,
/// before any start.
Round MakeRound(DispatchShard& aShard, TimePoint aNow, std::int64_t aNowMs);

/// Index of the first task of a job's step that may be started on any worker;
/// the number of its tasks if there is none.
std::uint32_t FirstWaiting(const DispatchJob& aJob,
                           const DispatchStep& aStep,
                           const Round& aRound);

/// Room for the tasks of a long-running step that have waited for long, each
/// for itself: they run all the time, so that others of their job run says
/// nothing.
RoomRequest LongRunningRequest(const DispatchShard& aShard,
                               const TaskId& aFirstTask,
                               const Round& aRound);

/// The state of the step of a task, which must exist.
DispatchStep& StepStateOf(DispatchShard& aShard, const TaskId& aKey);

/// Assigns the task to the worker and orders the start of the run.
/// @param aActions receives the start order
void StartOn(DispatchShard& aShard,
             const TaskId& aKey,
             DispatchWorker& aWorker,
             std::uint32_t aRun,
             TimePoint aNow,
             DispatchActions& aActions);

} // namespace verbenacroft
