#pragma once

/// One shard as its owner holds it: the journalled state and what is known
/// of its workers and tasks at this moment.

#include "vcPlacement.h"
#include "vcSchedulerMessages.h"

#include <deque>
#include <set>

namespace verbenacroft {

/// Lease given to each task with every renewal. It outlasts a takeover.
constexpr Duration kTaskLease{ 20'000 };

/// Time after which a worker refuses a call that was delayed.
constexpr Duration kSyncLimit{ 2'000 };

constexpr Duration kSyncInterval{ 1'000 };

/// Calls without an answer after which a worker counts as out of reach.
constexpr int kMissedLimit = 5;

/// Drift of the clocks and slack of scheduling over one task lease.
constexpr Duration kLeaseMargin{ 1'000 };

enum class TaskPhase
{
  /// Journalled, but not yet durable: nothing may be sent.
  kDeferred,
  kSending,
  kRunning,
  kStopping,
};

struct TaskRuntime
{
  TaskPhase mPhase = TaskPhase::kDeferred;
  std::uint64_t mSequence = 0;
  bool mWasSent = false;
  /// The worker's clock after which no start that was sent can act.
  std::int64_t mLastNotAfter = 0;
  TimePoint mPlacedAt{ 0 };
  Resources mUsage;
  std::int64_t mSlowdown = 100;
  std::int64_t mCheckpoint = 0;
  std::string mAddress;
  /// When routers are told to send nothing more, and when it is stopped.
  std::optional<TimePoint> mLeaveAt;
  std::optional<TimePoint> mStopAt;
  std::int64_t mThrottlePercent = 100;
};

/// An ended attempt that its worker need remember no longer, but only once
/// the worker's clock has passed the limit of every start that was sent: a
/// late start of a forgotten attempt would run it again.
struct ForgetItem
{
  std::uint32_t mAttempt = 0;
  std::optional<std::int64_t> mNotBefore;
};

struct WorkerRuntime
{
  Instance mInstance;
  bool mIsListed = true;
  std::uint64_t mSyncCall = 0;
  TimePoint mSyncSentAt = kNever;
  /// The worker's clock and our clock when it was read.
  std::optional<std::int64_t> mClock;
  TimePoint mClockReadAt{ 0 };
  std::uint64_t mVersion = 0;
  /// True once a whole inventory has arrived under this epoch.
  bool mIsInventoried = false;
  /// Latest end of any task lease that this owner may have given.
  TimePoint mLeaseLimit{ 0 };
  int mMissed = 0;
  bool mIsGivenUp = false;
  /// Attempts to stop, by task.
  std::map<std::string, std::uint32_t> mStops;
  /// Ended attempts whose end is durable, by task.
  std::map<std::string, ForgetItem> mForgets;
  std::vector<TaskRef> mForgetsSent;
  std::map<std::string, std::int64_t> mThrottles;
  std::set<std::string> mTasks;
  Resources mCommitted;
  /// Jobs that failed here since the last success.
  std::set<std::string> mFailedJobs;
  TimePoint mQuarantinedUntil = kNever;
  Duration mQuarantineBackoff{ 0 };
  TimePoint mCompositionChangedAt = kNever;
  std::uint64_t mRefusedSyncs = 0;
  PressureState mPressure;
};

enum class ClaimStage
{
  kIdle,
  kReading,
  kWritingEnd,
  /// The claim is given to another shard; what was written decides, also if
  /// the job's last task ends meanwhile.
  kWritingMove,
  /// Telling the shard that the job was moved to.
  kHandingOver,
};

struct JobRuntime
{
  ClaimStage mStage = ClaimStage::kIdle;
  /// Calls under way to the store and to a peer; numbered apart.
  std::uint64_t mStoreCall = 0;
  std::uint64_t mPeerCall = 0;
  std::uint64_t mClaimRevision = 0;
  std::string mTargetShard;
  TimePoint mRetryAt = kNever;
  std::set<std::string> mFailedOn;
  /// Start of the job's first task that still waits.
  TimePoint mWaitingSince{ 0 };
  std::int64_t mPlacedTasks = 0;
  std::int64_t mNextIndex = 0;
};

struct Deferred
{
  std::uint64_t mSequence = 0;
  /// A task to start, or a finished task that its worker may forget.
  std::string mTask;
  std::uint32_t mAttempt = 0;
  std::string mForgetAt;
};

struct ShardCounters
{
  std::uint64_t mStarts = 0;
  std::uint64_t mDone = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mEvictions = 0;
  std::uint64_t mLost = 0;
  std::uint64_t mUnknownRuns = 0;
  std::uint64_t mQuarantines = 0;
  std::uint64_t mStaleReplies = 0;
};

struct Shard
{
  std::string mName;
  std::uint64_t mEpoch = 0;
  bool mIsLapsed = false;
  JournalWriter mJournal;
  ShardData mData;
  std::map<std::string, TaskRuntime> mTasks;
  std::map<std::string, WorkerRuntime> mWorkers;
  std::map<std::string, JobRuntime> mJobs;
  std::deque<Deferred> mDeferred;
  FairnessLedger mLedger;
  InterferenceModel mInterference;
  SizingModel mSizing;
  ShardCounters mCounters;
  std::uint64_t mTargetVersion = 1;
  TimePoint mPlannedAt = kNever;
  /// Since when the data centre is known to be drained.
  std::optional<TimePoint> mDrainedSince;
  TimePoint mRestoredAt = kNever;
  std::int64_t mUnplacedReplicas = 0;
  std::int64_t mWaitingTasks = 0;
};

/// Racks that belong to each shard, over all data centres. Replicas and
/// jobs are shared out in proportion; a shard without racks gets none.
using ShardWeights = std::map<std::string, std::int64_t>;

/// What the steps of a shard need to know of the rest.
struct ShardContext
{
  const Configuration* mConfiguration = nullptr;
  const ShardWeights* mWeights = nullptr;
  std::string mDataCentre;
  TimePoint mNow{ 0 };
  /// Up to when tasks may be started: the configuration's proof and the
  /// ownership both hold until then.
  TimePoint mStartLimit = kNever;
  bool mIsOwner = false;
};

struct WorkerCall
{
  std::uint64_t mId = 0;
  std::string mShard;
  std::string mWorker;
  std::string mAddress;
  WorkerSync mSync;
};

/// Appends a record to the journal and applies it.
std::uint64_t Record(Shard& aShard, const ShardRecord& aRecord);

/// Records the end of a placed task and frees what it held.
void EndTask(Shard& aShard,
             const std::string& aTask,
             TaskOutcome aOutcome,
             std::int64_t aCheckpoint,
             TimePoint aNow);

/// Takes back the starts that were never sent, so that a successor does not
/// have to find out.
void EndUnsent(Shard& aShard, TimePoint aNow);

/// Rebuilds what is derived from the journalled state after it was read.
void RebuildRuntime(Shard& aShard, TimePoint aNow);

/// Takes the part of the instance list that belongs to the shard.
void UpdateWorkers(Shard& aShard,
                   const std::vector<Instance>& aInstances,
                   TimePoint aNow);

/// Makes the calls to workers that are due.
void SyncWorkers(Shard& aShard,
                 const ShardContext& aContext,
                 std::uint64_t& aNextCall,
                 std::vector<WorkerCall>& aCalls);

/// Handles a worker's reply, or the lack of one.
void OnSyncReply(Shard& aShard,
                 const std::string& aWorker,
                 const std::optional<WorkerSyncReply>& aReply,
                 const ShardContext& aContext);

/// Releases what the journal has made durable.
void ReleaseDurable(Shard& aShard);

/// Places, stops and moves what the configuration asks for.
void PlanShard(Shard& aShard, const ShardContext& aContext);

/// True while the task should run where it was placed.
bool IsWanted(const Shard& aShard,
              const ShardContext& aContext,
              const TaskRecord& aTask);

/// Asks for a stop with a checkpoint.
void StopTask(Shard& aShard, const std::string& aTask);

/// Throttles and moves batch tasks that slow services down.
void RelievePressure(Shard& aShard, const ShardContext& aContext);

/// Replicas of the service that belong on the shard.
std::int64_t DesiredReplicas(const Configuration& aConfiguration,
                             const Service& aService,
                             const ShardWeights& aWeights,
                             const std::string& aDataCentre,
                             const std::string& aShard);

/// Settles jobs whose tasks have all ended.
void SettleJobs(Shard& aShard);

JobStatus StatusOf(const Shard& aShard, const JobRecord& aJob);

/// The shard's targets for routers.
TargetTable TargetsOf(const Shard& aShard, TimePoint aNow);

/// Sum of the capacities of the listed workers.
Resources TotalCapacity(const Shard& aShard);

/// Task identifier of the job's task at `aIndex`.
std::string BatchTaskName(const std::string& aJob, std::int64_t aIndex);

} // namespace verbenacroft
