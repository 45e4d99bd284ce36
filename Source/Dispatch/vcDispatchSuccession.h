#pragma once

/// Succession: the room that the only run of a job leaves is kept for the next
/// task of the job, so that a late job that has one run at a time doesn't queue
/// anew after each of them. Jobs that can still meet their objective may take
/// the room, and so may one that has had nothing running for
/// `kTakesKeptRoomAfter`.

#include "vcDispatchState.h"

namespace verbenacroft {

/// How long a job has had nothing running before it may take room that is kept
/// for another. Up to then it waits for room that jobs with several runs leave.
constexpr Duration kTakesKeptRoomAfter{ 1'500 };

/// Room on a worker.
struct WorkerRoom
{
  /// As in `CountedNeeds`.
  Resources mCounted;
  /// Processors for best-effort tasks, in thousandths.
  std::int64_t mBestEffortCpu = 0;
};

/// Room that is kept for the next task of a job.
struct KeptRoom
{
  JobId mJob;
  /// Of the job's queue; a lower value is more urgent.
  std::int32_t mPriority = 0;
  bool mIsBestEffort = false;
  WorkerRoom mRoom;
};

/// The rooms that one round of starts keeps, at most one for each job.
class KeptRooms
{
public:
  /// Keeps room on the worker for a task of the job's step, unless room is kept
  /// for the job already.
  void Keep(const DispatchJob& aJob,
            const StepSpec& aStep,
            const DispatchWorker& aWorker);

  /// Ends what is kept for the job, if anything is.
  void Release(const JobId& aJob);

  /// The room on the worker that is kept from the job: that of others, unless
  /// the job is more urgent and, of best-effort room, has nothing running.
  WorkerRoom KeptFrom(const DispatchJob& aJob,
                      const DispatchWorker& aWorker) const;

private:
  std::map<const DispatchWorker*, std::vector<KeptRoom>> mRooms;
  /// By job, the worker on which its room is kept.
  std::map<JobId, const DispatchWorker*> mWorkers;
};

/// Notes on which worker a run of the job ended as done. Called after the run
/// was released.
void NoteRoomLeft(DispatchJob& aJob,
                  const TaskId& aKey,
                  const std::string& aWorker);

/// The worker that the job's only run left so recently that its room is kept;
/// null if there is none.
/// @param aIdleSince since when the job has had nothing running
DispatchWorker* WorkerLeftBy(DispatchShard& aShard,
                             const DispatchJob& aJob,
                             TimePoint aIdleSince,
                             TimePoint aNow);

/// True if a task of the step may follow the job's last run on a worker where
/// it is predicted to disturb: a task of the same image that needs no fewer
/// processors has just run there, and the serving tasks are well below their
/// targets.
bool IsKnownNotToDisturb(const DispatchJob& aJob,
                         const StepSpec& aStep,
                         const DispatchWorker& aWorker);

} // namespace verbenacroft
