#pragma once

/// A shard as its owner holds it in memory: the journalled state, and the
/// runtime state of its workers, tasks and jobs. Free functions plan its
/// work, call its workers and handle their replies. Time is passed in, and
/// calls to workers are returned to the caller, which sends them.

#include "vcPlacement.h"
#include "vcSchedulerMessages.h"

#include <deque>
#include <set>

namespace verbenacroft {

/// Lease given to each task with every renewal. It is longer than a takeover
/// of the shard takes, so tasks keep running while the owner changes.
constexpr Duration kTaskLease{ 20'000 };

/// Longest delay of a call to a worker. The worker refuses a call that
/// arrives later than this.
constexpr Duration kMaxSyncDelay{ 2'000 };

/// Time between two regular calls to a worker.
constexpr Duration kSyncInterval{ 1'000 };

/// Consecutive unanswered calls after which a worker counts as unreachable.
constexpr int kMaxMissedSyncs = 5;

/// Allowance for clock drift and scheduling delays over one task lease.
constexpr Duration kLeaseMargin{ 1'000 };

/// Progress of a placed task, as the shard's owner knows it.
enum class TaskPhase
{
  /// The start record is not yet durable, so nothing may be sent.
  kDeferred,
  /// The start is sent with each call until the worker reports the task.
  kSending,
  /// The worker reported the task as running.
  kRunning,
  /// A stop with a checkpoint is requested with each call.
  kStopping,
};

/// Runtime state of a placed task.
struct TaskRuntime
{
  TaskPhase mPhase = TaskPhase::kDeferred;
  /// Journal sequence number of the start record; 0 after a replay.
  std::uint64_t mSequence = 0;
  bool mWasSent = false;
  /// Worker clock, in milliseconds, after which the worker refuses every
  /// start that was sent.
  std::int64_t mLastNotAfter = 0;
  TimePoint mPlacedAt{ 0 };
  /// Resource use in the last report.
  Resources mUsage;
  /// Run time relative to an undisturbed run, in percent, in the last report.
  std::int64_t mSlowdown = 100;
  /// Work done so far, in milliseconds of undisturbed run time.
  std::int64_t mCheckpoint = 0;
  /// Address on which a service replica accepts requests; empty until it is
  /// reported.
  std::string mAddress;
  /// Time from which routers are told to send no new requests.
  std::optional<TimePoint> mLeaveAt;
  /// Time at which the replica is stopped.
  std::optional<TimePoint> mStopAt;
  std::int64_t mThrottlePercent = 100;
};

/// An ended attempt that its worker may forget. The worker is told so only
/// when its clock has passed the limit of every start that was sent: a
/// delayed start of a forgotten attempt would run the attempt again.
struct PendingForget
{
  std::uint32_t mAttempt = 0;
  /// Worker clock, in milliseconds, after which the attempt may be
  /// forgotten; empty until the worker's clock was first checked.
  std::optional<std::int64_t> mNotBefore;
};

/// Runtime state of a worker.
struct WorkerRuntime
{
  Instance mInstance;
  /// True while the instance list contains the worker.
  bool mIsListed = true;
  /// Identifier of the pending call to the worker; 0 if there is none.
  std::uint64_t mSyncCall = 0;
  TimePoint mSyncSentAt = kNever;
  /// The worker's clock, in milliseconds, in its last reply; empty before
  /// the first one.
  std::optional<std::int64_t> mClock;
  /// Local time at which `mClock` was received.
  TimePoint mClockReadAt{ 0 };
  /// Version of the worker's inventory up to which its reports were handled.
  std::uint64_t mVersion = 0;
  /// True once a full inventory has arrived under this epoch.
  bool mIsInventoried = false;
  /// Latest end of any task lease that this owner may have given.
  TimePoint mLeaseLimit{ 0 };
  /// Consecutive calls without a reply.
  int mMissedSyncs = 0;
  /// True from `kMaxMissedSyncs` missed calls until the next reply, except
  /// one that refuses the epoch of the call.
  bool mIsUnreachable = false;
  /// Attempts that the worker is told to stop, by task.
  std::map<std::string, std::uint32_t> mStops;
  /// Ended attempts that the worker may forget, by task: the end is durable,
  /// or the journal has no such placement.
  std::map<std::string, PendingForget> mForgets;
  /// Attempts in the last call that the worker was told to forget.
  std::vector<TaskRef> mForgetsSent;
  /// Percentage of its processors that a batch task may use, by task.
  std::map<std::string, std::int64_t> mThrottles;
  /// Tasks that are placed on the worker.
  std::set<std::string> mTasks;
  /// Sum of the resources of `mTasks`.
  Resources mCommitted;
  /// Jobs of which a task failed here since the last success.
  std::set<std::string> mFailedJobs;
  TimePoint mQuarantinedUntil = kNever;
  /// Length of the last quarantine; 0 after a task has succeeded.
  Duration mQuarantineBackoff{ 0 };
  /// Time at which a task last started or ended here.
  TimePoint mTasksChangedAt = kNever;
  /// Calls that the worker refused as late or as of an older epoch.
  std::uint64_t mRefusedSyncs = 0;
  PressureState mPressure;
};

/// Step of an update of a job's claim in the store.
enum class ClaimStage
{
  kIdle,
  kReading,
  /// Writing the job's final state.
  kWritingEnd,
  /// Assigning the claim to another shard. The write is decisive even if the
  /// job's last task ends in the meantime.
  kWritingMove,
  /// Notifying the shard to which the job was moved.
  kHandingOver,
};

/// Runtime state of a job.
struct JobRuntime
{
  ClaimStage mStage = ClaimStage::kIdle;
  /// Pending call to the store. Calls to the store and to peers are numbered
  /// independently.
  std::uint64_t mStoreCall = 0;
  /// Pending call to a peer.
  std::uint64_t mPeerCall = 0;
  /// Store revision of the claim as last read.
  std::uint64_t mClaimRevision = 0;
  /// Shard to which the job is moved.
  std::string mDestinationShard;
  TimePoint mRetryAt = kNever;
  /// Workers on which a task of the job failed.
  std::set<std::string> mFailedWorkers;
  /// Time at which the job or the shard was taken over, or at which one of
  /// the job's tasks last ended. Jobs of a backer are served in this order.
  TimePoint mWaitingSince{ 0 };
  std::int64_t mPlacedTasks = 0;
  /// No task with a lower index is waiting.
  std::int64_t mNextIndex = 0;
};

/// An action that must wait until a journal record is durable.
struct DeferredAction
{
  /// Journal sequence number of the record.
  std::uint64_t mSequence = 0;
  /// The task to start, or the ended task that its worker may forget.
  std::string mTask;
  /// Attempt that the worker may forget; 0 for a start.
  std::uint32_t mAttempt = 0;
  /// Worker that ran the attempt and may forget it; empty for a start.
  std::string mForgetWorker;
};

/// Event counts of a shard since this owner took it over.
struct ShardCounters
{
  /// Tasks first reported as running to this owner, including those that ran
  /// before it took over.
  std::uint64_t mStarts = 0;
  std::uint64_t mDone = 0;
  std::uint64_t mFailed = 0;
  /// Tasks that ended because they were stopped.
  std::uint64_t mEvictions = 0;
  std::uint64_t mLost = 0;
  /// Running tasks that workers reported and the journal does not know.
  std::uint64_t mUnknownRuns = 0;
  std::uint64_t mQuarantines = 0;
  /// Replies to calls that were no longer pending.
  std::uint64_t mStaleReplies = 0;
};

/// A shard with its journalled state and its runtime state.
struct Shard
{
  std::string mName;
  /// Epoch of this ownership. Workers refuse calls of an older epoch.
  std::uint64_t mEpoch = 0;
  /// True once the ownership has expired.
  bool mIsLapsed = false;
  JournalWriter mJournal;
  /// Journalled state, including records that are not yet durable.
  ShardData mData;
  std::map<std::string, TaskRuntime> mTasks;
  std::map<std::string, WorkerRuntime> mWorkers;
  std::map<std::string, JobRuntime> mJobs;
  /// Actions that wait for durable records, by sequence number.
  std::deque<DeferredAction> mDeferredActions;
  /// Resources in use by each backer.
  FairnessLedger mLedger;
  InterferenceModel mInterference;
  SizingModel mSizing;
  ShardCounters mCounters;
  /// Version of the table from `TargetsOf`; incremented when it may change.
  std::uint64_t mTargetVersion = 1;
  /// Time of the last plan.
  TimePoint mPlannedAt = kNever;
  /// Time at which the data centre was found to be drained; empty while it
  /// is not.
  std::optional<TimePoint> mDrainedSince;
  /// Time at which the end of the last drain was found.
  TimePoint mRestoredAt = kNever;
  /// Replicas for which the last plan found no capacity.
  std::int64_t mUnplacedReplicas = 0;
  std::int64_t mWaitingTasks = 0;
};

/// Number of racks of each shard, over all data centres. Replicas and jobs
/// are distributed in proportion to it; a shard without racks gets none.
using ShardWeights = std::map<std::string, std::int64_t>;

/// Inputs to a shard's functions from outside the shard.
struct ShardContext
{
  /// Never null when passed to a function, nor is `mWeights`.
  const Configuration* mConfiguration = nullptr;
  const ShardWeights* mWeights = nullptr;
  std::string mDataCentre;
  TimePoint mNow{ 0 };
  /// Time until which tasks may be started: until then both the proof that
  /// the configuration is current and the ownership are valid. `kNever`
  /// while this process is leaving or does not own the shard.
  TimePoint mStartLimit = kNever;
  /// True if this process owns the shard and its journal is open.
  bool mIsOwner = false;
};

/// A call to a worker that the caller has to send.
struct WorkerCall
{
  /// Identifies the call's reply.
  std::uint64_t mId = 0;
  std::string mShard;
  std::string mWorker;
  std::string mAddress;
  WorkerSync mSync;
};

/// Applies the record to the shard's state and appends it to the journal.
/// @return the record's sequence number.
std::uint64_t ApplyAndJournal(Shard& aShard, const ShardRecord& aRecord);

/// Journals the end of a placed task and releases its resources. Does
/// nothing if the task is not placed. `aCheckpoint` is the work done so far,
/// in milliseconds of undisturbed run time.
void EndTask(Shard& aShard,
             const std::string& aTask,
             TaskOutcome aOutcome,
             std::int64_t aCheckpoint,
             TimePoint aNow);

/// Ends placed tasks whose start was never sent, so that the next owner does
/// not have to find out whether they run. Workers without an inventory under
/// this epoch are left out, since an earlier owner may have sent the start.
void EndUnsentTasks(Shard& aShard, TimePoint aNow);

/// Rebuilds the runtime state from the journalled state after a replay.
void RebuildRuntime(Shard& aShard, TimePoint aNow);

/// Updates the workers from the shard's part of the instance list and ends
/// the tasks of workers that are no longer listed.
void UpdateWorkers(Shard& aShard,
                   const std::vector<Instance>& aInstances,
                   TimePoint aNow);

/// Adds the calls to workers that are due to `aCalls`. Each takes its
/// identifier from `aNextCall`, which is then incremented.
void SyncWorkers(Shard& aShard,
                 const ShardContext& aContext,
                 std::uint64_t& aNextCall,
                 std::vector<WorkerCall>& aCalls);

/// Handles a worker's reply. An empty `aReply` means that the call failed.
void OnSyncReply(Shard& aShard,
                 const std::string& aWorker,
                 const std::optional<WorkerSyncReply>& aReply,
                 const ShardContext& aContext);

/// Runs the deferred actions whose records are durable.
void RunDurableActions(Shard& aShard);

/// Plans the shard if a plan is due: places, stops and moves tasks according
/// to the configuration.
void PlanShard(Shard& aShard, const ShardContext& aContext);

/// Returns true while the task should run where it was placed: the data
/// centre is not drained, the worker is listed and not leaving, and the job of
/// a batch task is active. Surplus replicas are found by `PlanServices`.
bool ShouldTaskRun(const Shard& aShard,
                   const ShardContext& aContext,
                   const TaskRecord& aTask);

/// Requests that a running task is stopped with a checkpoint. Does nothing
/// in any other phase.
void StopTask(Shard& aShard, const std::string& aTask);

/// Throttles batch tasks on workers whose services are slowed down or stops
/// them to be placed again, and lifts the throttle once services recover.
void RelievePressure(Shard& aShard, const ShardContext& aContext);

/// Returns the number of the service's replicas that the shard has to run.
std::int64_t DesiredReplicas(const Configuration& aConfiguration,
                             const Service& aService,
                             const ShardWeights& aWeights,
                             const std::string& aDataCentre,
                             const std::string& aShard);

/// Gives jobs their final state: done when all tasks are done, failed when a
/// task has failed too often, cancelled when no task of a cancelled job is
/// placed.
void FinishJobs(Shard& aShard);

/// Returns the job's status as shown to users.
JobStatus StatusOf(const Shard& aShard, const JobRecord& aJob);

/// Returns the shard's targets for routers. Replicas are marked as leaving
/// when they have to stop or when their worker is unreachable.
TargetTable TargetsOf(const Shard& aShard, TimePoint aNow);

/// Returns the sum of the capacities of the listed workers.
Resources TotalCapacity(const Shard& aShard);

/// Returns the identifier of the job's task at `aIndex`.
std::string BatchTaskName(const std::string& aJob, std::int64_t aIndex);

} // namespace verbenacroft
