#pragma once

/// State of a shard: its workers, its jobs and where their tasks run.

#include "vcInterference.h"
#include "vcWorkerOrders.h"

#include <map>
#include <set>

namespace verbenacroft {

/// Bounds that the platform sets.
struct DispatchBounds
{
  /// Longest lease that a worker grants.
  Duration mMaxLease{ 6'000 };
  /// Longest time between an order to stop and the end of the run.
  Duration mStopTimeout{ 400 };
  /// Longest time for which an owner without a valid lease may go on.
  Duration mOwnerRunOn{ 7'000 };
  /// How much earlier than due an occurrence may start.
  Duration mEarly{ 0 };
  /// How long a serving task may stay over its target.
  Duration mHarm{ 4'000 };
  /// For how long final states are answered.
  Duration mStatus{ 120'000 };
};

/// A worker's clock may run this much slower than ours.
constexpr double kSlowestClock = 0.98;

/// Pace of a task that an earlier owner may have slowed down.
constexpr std::int64_t kUnknownPace = -1;

enum class RunPhase
{
  kWaiting,
  /// Ordered to start; not yet known to run.
  kStarting,
  kRunning,
  kStopping,
  kDone,
};

struct TaskSlot
{
  RunPhase mPhase = RunPhase::kWaiting;
  /// The current run, or the last one.
  std::uint32_t mRun = 0;
  /// No run above this is known, of this owner or an earlier one; the next
  /// start takes a higher one.
  std::uint32_t mHighestRun = 0;
  /// Highest run whose end is accounted for.
  std::uint32_t mEndedRun = 0;
  /// Runs that ended as failed. Workers report in any order, so a count
  /// and the highest run would not tell a new failure from a known one.
  std::set<std::uint32_t> mFailedRuns;
  std::string mCheckpoint;
  /// Worker of the current run; empty while waiting or done.
  std::string mWorker;
  /// Worker on which the last run failed or stood still.
  std::string mAvoidedWorker;
  /// The worker's clock from which the start is refused there.
  std::int64_t mNotAfter = 0;
  TimePoint mOrderedAt{ kNever };
  TimePoint mConfirmedAt{ kNever };
  /// The start was not answered: it may have been or be yet carried out.
  bool mIsUncertain = false;
  /// Share of its pace that the task was last ordered to keep, in percent.
  std::int64_t mPacePercent = 100;
  /// When the pace was ordered last.
  TimePoint mPacedAt{ kNever };
  std::int64_t mProgressPercent = 0;
  /// When the progress was last seen to change.
  TimePoint mProgressAt{ kNever };
  TimePoint mStopSentAt{ kNever };
};

struct StepSlots
{
  std::vector<TaskSlot> mTasks;
  std::uint32_t mDone = 0;
};

/// One pass over the steps of a job.
struct Occurrence
{
  std::vector<StepSlots> mSteps;
  std::uint32_t mStepsDone = 0;
};

struct DispatchJob
{
  JobId mId;
  BatchRecord mRecord;
  /// Revision of the store at which the job was accepted.
  std::uint64_t mCreatedAt = 0;
  BatchState mState = BatchState::kQueued;
  std::vector<Occurrence> mOccurrences;
  std::uint32_t mOccurrencesDone = 0;
  /// When the job was accepted, on this process's clock.
  TimePoint mAcceptedAt{ 0 };
  /// When the job misses its objective, on this process's clock.
  TimePoint mObjectiveAt{ 0 };
  /// There is progress that the store doesn't have.
  bool mIsDirty = false;
  /// The state is in the store and may be shown.
  bool mIsFinalStored = false;
  /// Runs that the job still has somewhere.
  std::uint32_t mRunsOut = 0;
  TimePoint mEndedAt{ kNever };
  std::int64_t mEndedAtMs = 0;
  /// Revision of the job's progress in the store; 0 if there is none.
  std::uint64_t mProgressRevision = 0;
};

/// What is kept of a job whose end is in the store.
struct EndedJob
{
  BatchState mState = BatchState::kCompleted;
  std::int64_t mEndedAtMs = 0;
};

/// How close the tasks of a serving image on a worker are to their target.
struct ServingShare
{
  std::uint64_t mKind = 0;
  /// Highest share of the target that a task reported.
  double mWorst = 0;
  /// The load that goes with it, from 0 to 1.
  double mLoad = 0;
  /// What filling tasks add to the load, as far as is learned.
  double mAdded = 0;
  /// The same of those that were placed since the report.
  double mPlaced = 0;
};

/// Processors that a worker's serving tasks use, in thousandths.
struct ServingUse
{
  /// What the tasks of the last report asked for.
  double mReported = 0;
  /// What they use now.
  double mNow = 0;
  /// What they will use once those with little load are back at their mean.
  double mExpected = 0;
};

struct DispatchWorker
{
  WorkerEntry mEntry;
  Endpoint mEndpoint;
  /// Discovery lists the worker at present.
  bool mIsListed = false;
  /// The store says that this shard uses the worker, so that the next owner
  /// knows where tasks may run.
  bool mIsRecorded = false;
  /// The worker has answered this owner's epoch.
  bool mHasAnswered = false;
  std::int64_t mBorn = 0;
  /// Last reading of the worker's clock, and the latest moment on this
  /// process's clock at which it can have been read.
  std::int64_t mClock = 0;
  TimePoint mClockReadAt{ kNever };
  /// Longest lease that this owner asked for, on the worker's clock.
  std::int64_t mLeaseUntil = 0;
  TimePoint mLastHeardAt{ kNever };
  bool mIsSilent = false;
  /// Ends up to here have been taken into the shard's state.
  std::uint64_t mSeenIndex = 0;
  /// Ends up to here are in the store and may be forgotten.
  std::uint64_t mAckIndex = 0;
  /// Needs of what runs here; filling tasks count without processors.
  Resources mUsed;
  /// Processors that filling tasks here would use, in thousandths.
  std::int64_t mFillingCpu = 0;
  std::set<TaskId> mTasks;
  /// Serving tasks here, by image.
  std::map<std::string, std::uint32_t> mServingImages;
  /// Processors that serving tasks here have asked for, in thousandths.
  std::int64_t mServingCpu = 0;
  /// What the last report says of the serving tasks here.
  ServingUse mServingUse;
  /// By image of a serving task, as of the last report.
  std::map<std::string, ServingShare> mServingShares;
  /// Nothing is started here before this.
  TimePoint mAvoidedUntil{ kNever };
  /// No filling task is started here before this.
  TimePoint mNoFillingUntil{ kNever };
  /// Jobs of the failures in a row, to tell a bad worker from a bad job.
  std::set<JobId> mFailedJobs;
  /// Runs that nobody wants any more, and when their stop was sent last.
  std::map<std::pair<TaskId, std::uint32_t>, TimePoint> mUnwanted;
  /// Since when a serving task here is over its target, if one is.
  TimePoint mOverTargetSince{ kNever };
};

/// Run times of a queue's tasks, learned from those that were done.
struct RunTimes
{
  double mMeanMs = 0;
  std::uint32_t mCount = 0;
};

/// What is learned of an image that serves. A task's load is the share of
/// the processors it asked for that it uses.
struct ServingProfile
{
  /// Lowest share of its target that a task reports.
  double mLeastShare = 0;
  double mMeanLoad = 0;
  /// Load that is seldom exceeded.
  double mHighLoad = 0;
  /// Load that a whole worker of filling tasks would add: the mean over
  /// their images.
  double mMeanAdded = 0;
  TimePoint mMeanAddedAt{ kNever };
};

struct DispatchShard
{
  DispatchBounds mBounds;
  /// Fences every order; the store's revision at which the shard was taken.
  std::uint64_t mEpoch = 0;
  /// First run number of this ownership, above those of earlier owners.
  std::uint32_t mRunBase = 0;
  std::map<JobId, DispatchJob> mJobs;
  std::map<JobId, EndedJob> mEndedJobs;
  /// Cancellations that were read before their jobs.
  std::set<JobId> mCancelledEarly;
  std::map<std::string, DispatchWorker> mWorkers;
  std::set<std::string> mEvacuated;
  /// Workers that an earlier owner used and that haven't answered yet.
  std::set<std::string> mUnansweredWorkers;
  /// Jobs accepted before this owner's epoch may run unseen on an unanswered
  /// worker until then.
  TimePoint mBarrierUntil{ kNever };
  std::map<std::string, RunTimes> mRunTimes;
  InterferenceModel mInterference{ 0.04, 10, 0.01, {} };
  /// By image of a serving task.
  std::map<std::string, ServingProfile> mServingProfiles;
  /// Kinds of the images of filling tasks that were reported so far.
  std::set<std::uint64_t> mFillingKinds;
  /// A worker refused this owner's epoch for a higher one.
  bool mIsDeposed = false;
  /// Starts are allowed; cleared while ownership is in doubt.
  bool mMayStart = true;
  /// The owner's lease is proved to be valid. While it isn't, another owner
  /// may be renewing the workers that this one doesn't hear.
  bool mIsLeaseProved = true;
};

/// An order and the worker that it is meant for.
template<class Order>
struct OrderTo
{
  std::string mWorker;
  Order mOrder;
};

/// What the shell has to send.
struct DispatchActions
{
  std::vector<OrderTo<StartOrder>> mStarts;
  std::vector<OrderTo<StopOrder>> mStops;
  std::vector<OrderTo<PaceOrder>> mPaces;
};

/// The task at `aKey`, or null.
TaskSlot* FindTask(DispatchShard& aShard, const TaskId& aKey);
DispatchJob* FindJob(DispatchShard& aShard, const JobId& aJob);
DispatchWorker* FindWorker(DispatchShard& aShard, const std::string& aWorker);

const StepSpec& StepOf(const DispatchJob& aJob, const TaskId& aKey);

/// The worker's clock now, by its last reading; 0 if it was never read.
std::int64_t EstimateClock(const DispatchWorker& aWorker, TimePoint aNow);

/// Gives the task a run on a worker and takes the room it needs there.
void Assign(DispatchShard& aShard,
            const TaskId& aKey,
            const std::string& aWorker,
            std::uint32_t aRun);

/// Takes the task's run away from its worker and frees the room there.
void Release(DispatchShard& aShard, const TaskId& aKey, RunPhase aPhase);

} // namespace verbenacroft
