#pragma once

/// State of a shard: its workers, its jobs and where their tasks run.

#include "vcCrashState.h"
#include "vcInterference.h"
#include "vcWorkerOrders.h"

#include <limits>
#include <map>
#include <optional>
#include <set>

namespace verbenacroft {

/// Time limits that the platform sets.
struct DispatchBounds
{
  /// Maximum lease that a worker grants.
  Duration mMaxLease{ 6'000 };
  /// Maximum time between an order to stop and the end of the run.
  Duration mStopTimeout{ 400 };
  /// Maximum time for which an owner without a valid lease may still renew
  /// workers if its program is of a release that knows no `mLeaseLimit`.
  Duration mOwnerGracePeriod{ 7'000 };
  /// No lease that an owner grants lasts for longer than this after the owner
  /// last asked the store for the proof of its ownership.
  Duration mLeaseLimit{ 8'500 };
  /// Maximum time by which an occurrence may start before it is due.
  Duration mMaxEarlyStart{ 0 };
  /// Maximum time for which a serving task may stay over its latency target.
  Duration mMaxOverTarget{ 4'000 };
  /// How long the final state of a job can be queried after its end.
  Duration mStatus{ 120'000 };
  /// Run time of a task on another rack than the one that it prefers, as a
  /// multiple of that on the preferred one.
  double mFarFactor = 1;
};

/// Minimum rate of a worker's clock relative to this process's clock. Elapsed
/// time is scaled by it before a lease is taken to have expired.
constexpr double kMinClockRate = 0.98;

/// Throttle percent of an adopted best-effort task, which an earlier owner may
/// have throttled.
constexpr std::int64_t kUnknownThrottlePercent = -1;

/// Progress of a long-running task that is at work.
constexpr std::int64_t kAtWorkPercent = 100;

/// Phase of a task's current run.
enum class RunPhase
{
  kWaiting,
  /// The start was ordered; the task is not yet known to run.
  kStarting,
  kRunning,
  kStopping,
  kDone,
};

/// State of one task and of its current run. A run is one attempt to execute
/// the task; a later run of the task has a higher number.
struct DispatchTask
{
  RunPhase mPhase = RunPhase::kWaiting;
  /// Number of the current run, or of the last one.
  std::uint32_t mRun = 0;
  /// Highest known run number, of this owner or an earlier one; the next start
  /// uses a higher number.
  std::uint32_t mHighestRun = 0;
  /// Highest run whose end has been processed.
  std::uint32_t mEndedRun = 0;
  /// Runs that failed; of a long-running step only the last. Workers report in
  /// any order, so a count and the highest run could not distinguish a new
  /// failure from a known one.
  std::set<std::uint32_t> mFailedRuns;
  std::string mCheckpoint;
  /// Worker of the current run; empty while waiting or done.
  std::string mWorker;
  /// Worker on which the last run failed or was stopped; used for the next run
  /// only if no other worker fits.
  std::string mAvoidedWorker;
  /// No start is ordered before this time, after a worker refused one for the
  /// task's own sake.
  TimePoint mRetryAt{ kNever };
  /// Until then the task waits for a place on its preferred rack
  /// (vcRackLocality.h); `kNever` if it doesn't.
  TimePoint mAwaitsRackUntil{ kNever };
  /// From this time on no run of the task can last that this owner doesn't
  /// know, whichever workers haven't answered it. Latest possible time: that
  /// isn't known.
  TimePoint mNoUnseenRunAfter{ TimePoint::max() };
  /// Reading of the worker's clock, in ms, after which it refuses the start.
  std::int64_t mNotAfter = 0;
  /// When the task last began to wait after a run of this ownership; `kNever`
  /// if no run has ended here. It is ready to start only from
  /// `DispatchStep::mReadyAt` on.
  TimePoint mWaitingSince{ kNever };
  /// When the start was ordered or the run was adopted.
  TimePoint mStartOrderedAt{ kNever };
  /// When the worker first confirmed the run.
  TimePoint mConfirmedAt{ kNever };
  /// Reading of the worker's clock, in ms, at which the run was first
  /// confirmed; 0 if it isn't known.
  std::int64_t mFirstSeenClock = 0;
  /// Time on the worker's clock from then to the last report that lists the
  /// run.
  Duration mSeenAtWorkFor{ 0 };
  CrashHistory mCrashHistory;
  /// The current run was started apart from others (vcSuspectIsolation.h).
  bool mIsIsolated = false;
  /// The start order was not answered: it may have been executed, or may still
  /// be.
  bool mIsStartUncertain = false;
  /// When the connection broke on which the start was ordered: the worker, or
  /// the next incarnation, was up then. `kNever` if it didn't.
  TimePoint mStartBrokenAt{ kNever };
  /// Throttle percent that was last ordered: the share of its full speed that
  /// the task may use.
  std::int64_t mOrderedThrottlePercent = 100;
  /// When the throttle was last ordered.
  TimePoint mThrottledAt{ kNever };
  /// The current run was started as a probe (vcDispatchProbes.h).
  bool mIsProbe = false;
  std::int64_t mProgressPercent = 0;
  /// When the reported progress last changed.
  TimePoint mProgressAt{ kNever };
  /// When the stop order was last sent.
  TimePoint mStopSentAt{ kNever };
};

/// Tasks of one step in one occurrence, and how many of them are done.
struct DispatchStep
{
  /// Empty before the step is opened and once it is done; see
  /// vcDispatchOccurrences.h.
  std::vector<DispatchTask> mTasks;
  /// Number of tasks that the step has.
  std::uint32_t mCount = 0;
  std::uint32_t mDone = 0;
  /// When the last step that this one depends on was done. Without such a step,
  /// when the job was accepted. When the job was added here, if neither is
  /// known.
  TimePoint mReadyAt{ kNever };
  /// Of a best-effort step: when this owner last started a task of it, or first
  /// found no worker for one.
  TimePoint mStarvedSince{ kNever };
};

/// One execution of all steps of a job; a scheduled job has several.
struct Occurrence
{
  std::vector<DispatchStep> mSteps;
  std::uint32_t mStepsDone = 0;
};

/// The last run of a job, if it ended as done (vcDispatchSuccession.h).
struct LastRun
{
  /// Empty if it didn't.
  std::string mWorker;
  std::uint32_t mStep = 0;
  /// It ran throttled, so a task at full speed may disturb more.
  bool mWasThrottled = false;
};

/// A job of the shard and the state of its tasks.
struct DispatchJob
{
  JobId mId;
  BatchRecord mRecord;
  /// Revision of the store at which the job was accepted.
  std::uint64_t mCreatedAt = 0;
  BatchState mState = BatchState::kQueued;
  /// The occurrences that have begun and aren't done, by number.
  std::map<std::uint32_t, Occurrence> mOccurrences;
  /// All occurrences before this one, and no others, have begun.
  std::uint32_t mNextOccurrence = 0;
  std::uint32_t mOccurrencesDone = 0;
  /// When the job was added here.
  TimePoint mAddedAt{ kNever };
  /// When the job was accepted, on this process's clock. It is at most
  /// `DispatchBounds::mStatus` before the time at which the job was added here.
  TimePoint mAcceptedAt{ 0 };
  /// When the job should be done to meet its objective, on this process's
  /// clock.
  TimePoint mObjectiveAt{ 0 };
  /// There is progress that has not been written to the store.
  bool mIsDirty = false;
  /// The final state is in the store and may be shown to callers.
  bool mIsFinalStored = false;
  /// Number of the job's runs that are assigned to workers.
  std::uint32_t mActiveRuns = 0;
  /// When the last of them ended, or the job was accepted. Only valid while
  /// there are none.
  TimePoint mIdleSince{ kNever };
  LastRun mLastRun;
  TimePoint mEndedAt{ kNever };
  /// The same in ms since 1970.
  std::int64_t mEndedAtMs = 0;
  /// Revision of the job's progress in the store; 0 if there is none.
  std::uint64_t mProgressRevision = 0;
};

/// Final state of a job whose end is in the store.
struct EndedJob
{
  BatchState mState = BatchState::kCompleted;
  /// In ms since 1970.
  std::int64_t mEndedAtMs = 0;
};

/// Latency and load of the tasks of one serving image on a worker. A latency
/// ratio is the tail latency divided by the target.
struct ServingLatency
{
  /// Kind of the image in the interference model.
  std::uint64_t mKind = 0;
  /// Highest latency ratio that a task reported.
  double mWorstRatio = 0;
  /// Load at that latency ratio, from 0 to 1.
  double mLoad = 0;
  /// Predicted part of the load that is due to best-effort tasks.
  double mAddedLoad = 0;
  /// The same for best-effort tasks placed since the last report.
  double mPlacedLoad = 0;
};

/// Estimated processor usage of a worker's serving tasks, in thousandths.
struct ServingCpuUsage
{
  /// Processors that the tasks in the last report requested.
  double mRequestedCpu = 0;
  /// Processors that they use at present.
  double mCurrentCpu = 0;
  /// Processors that they are expected to use once tasks with a low load return
  /// to their mean load.
  double mExpectedCpu = 0;
};

/// A worker's room that is kept for one step (vcDispatchReservations.h).
struct RoomReservation
{
  TaskId mFirstTask;
  /// Processors for best-effort tasks are kept, and none for others.
  bool mIsBestEffort = false;
  /// For a task that is long-running.
  bool mIsLongRunning = false;
  /// Of the step's queue; a lower value is more urgent.
  std::int32_t mPriority = 0;
  /// Since when its job has had nothing running, or the task has waited.
  TimePoint mWaitsSince{ kNever };
  TimePoint mUntil{ kNever };
};

/// Order to start a run, as far as it shows whether the run may still begin.
struct RunStart
{
  TimePoint mOrderedAt{ kNever };
  /// Reading of the worker's clock, in ms, after which it refuses the start.
  std::int64_t mNotAfter = 0;
  /// The order was not answered, or not yet: it may have been executed, or may
  /// still be.
  bool mIsUncertain = false;
};

/// What a run uses on its worker.
struct RunUse
{
  /// All that its task requests.
  Resources mNeeds;
  bool mIsBestEffort = false;
  bool mIsLongRunning = false;
  /// Image of a serving task; nothing for others.
  std::optional<std::string> mServingImage;
  /// Team of its job; empty if it has none.
  std::string mTeam;
};

/// A run of a task, by its number.
using RunKey = std::pair<TaskId, std::uint32_t>;

/// A run on a worker that is no longer needed. It counts there until the worker
/// lists its end.
struct RunToStop
{
  /// What is counted for it; nothing if its job isn't known.
  std::optional<RunUse> mUse;
  RunStart mStart;
  /// When it was last known that the run had begun or never would; only valid
  /// if its start isn't uncertain.
  TimePoint mConfirmedAt{ kNever };
  /// When a report listed it for the first time; `kNever` if none has.
  TimePoint mListedSince{ kNever };
  /// When its stop was last sent.
  TimePoint mStopSentAt{ kNever };
};

/// How far the calls for earlier incarnations of a worker are fenced off
/// (vcIncarnationFence.h).
enum class FenceStage
{
  /// The worker refuses them.
  kInForce,
  /// No fencing token is known that is new for the worker.
  kNeedsToken,
  /// The worker is asked with a new token and hasn't answered.
  kAsked,
};

/// A worker of the shard, what it last reported, and what runs on it.
struct DispatchWorker
{
  WorkerEntry mEntry;
  Endpoint mEndpoint;
  /// When discovery listed the worker for the first time; `kNever` if an owner
  /// before used it.
  TimePoint mFoundAt{ kNever };
  /// Discovery lists the worker at present.
  bool mIsListed = false;
  /// The worker set in the store contains this worker as active, so that the
  /// next owner knows where tasks may run. Cleared before a write that removes
  /// the worker or makes it inactive. Without it nothing is started and no
  /// lease is renewed.
  bool mIsRecorded = false;
  /// The worker set in the store contains this worker as inactive, or may
  /// contain it so if the reply to the last write was lost.
  bool mIsInactive = false;
  /// While it is inactive: no job that was accepted after this revision of the
  /// store was started here.
  std::uint64_t mNoJobsAfter = 0;
  /// The worker has answered a renewal with this owner's epoch.
  bool mHasAnswered = false;
  /// Start of the worker's incarnation, in ms since 1970; 0 if not known yet.
  std::int64_t mIncarnation = 0;
  /// Incarnation that the store's record of the worker set names; 0 if it
  /// names none.
  std::int64_t mRecordedIncarnation = 0;
  FenceStage mFenceStage = FenceStage::kInForce;
  /// Fencing token of the orders to this incarnation, if it is higher than the
  /// shard's epoch.
  std::uint64_t mFencingToken = 0;
  /// While the fence is pending: runs that calls for an earlier incarnation
  /// start may last until this time. Else `kNever`.
  TimePoint mLateRunsUntil{ kNever };
  /// Leases that such calls were granted before the fence was in force may last
  /// until this time. `kNever` if the worker hasn't restarted.
  TimePoint mRestartLeasesUntil{ kNever };
  /// No start, lease or acknowledgement was sent with the token, so that no
  /// call for an earlier incarnation has it.
  bool mIsTokenUnused = true;
  /// When an incarnation first showed that hasn't reported yet; `kNever` if
  /// there is none.
  TimePoint mUnmetRestartAt{ kNever };
  /// Last reading of the worker's clock in ms, and the latest time on this
  /// process's clock at which it can have been taken.
  std::int64_t mClock = 0;
  TimePoint mClockReadAt{ kNever };
  /// Latest lease end or start deadline that this owner ordered, in ms on the
  /// worker's clock.
  std::int64_t mLeaseUntil = 0;
  /// When the worker answered this owner for the first time, leases of earlier
  /// owners could last until this time. `kNever` if none can.
  TimePoint mEarlierLeasesUntil{ kNever };
  /// Latest start deadline that this owner ordered, in ms on the worker's
  /// clock. After it the worker refuses all starts ordered so far.
  std::int64_t mStartsUntil = 0;
  /// The last report, of the time `mClock`, listed no run, and all ends that
  /// aren't acknowledged.
  bool mIsReportedIdle = false;
  /// When the worker last answered a renewal, or was discovered.
  TimePoint mLastReportAt{ kNever };
  /// The last renewal did not succeed.
  bool mIsUnresponsive = false;
  /// When the first renewal since the last report failed, or, if the worker has
  /// never answered, when it became known. Only valid while it is silent.
  TimePoint mSilentSince{ kNever };
  /// Run ends up to this `EndedRun::mIndex` have been applied to the shard's
  /// state.
  std::uint64_t mSeenIndex = 0;
  /// Run ends up to this index are in the store; the worker may discard them.
  std::uint64_t mAckIndex = 0;
  /// Index that the last renewal told the worker to discard up to.
  std::uint64_t mSentAckIndex = 0;
  /// Highest such index of a renewal that this incarnation has answered.
  std::uint64_t mAnsweredAckIndex = 0;
  /// Since when ends could be acknowledged, with nothing acknowledged since;
  /// `kNever` if all that are in the store are.
  TimePoint mUnacknowledgedSince{ kNever };
  /// Tasks whose current run is here. What runs here are these runs and
  /// `mRunsToStop`; vcWorkerRuns.h changes them and the totals below.
  std::set<TaskId> mTasks;
  /// Runs here that are no longer needed, none of them a current one.
  std::map<RunKey, RunToStop> mRunsToStop;
  /// Needs of all runs; best-effort tasks count without processors.
  Resources mUsed;
  /// The part of it that current runs of long-running tasks need, which don't
  /// free their room.
  Resources mLongRunning;
  /// Processors that best-effort tasks request, in thousandths.
  std::int64_t mBestEffortCpu = 0;
  /// Number of runs of serving tasks, by image.
  std::map<std::string, std::uint32_t> mServingImages;
  /// Processors that serving tasks request, in thousandths.
  std::int64_t mServingCpu = 0;
  /// Processors that current runs of tasks request that neither serve nor are
  /// best-effort, in thousandths.
  std::int64_t mOrdinaryCpu = 0;
  /// Processor usage of the serving tasks in the last report.
  ServingCpuUsage mServingCpuUsage;
  /// Latency by serving image, as of the last report.
  std::map<std::string, ServingLatency> mServingLatencies;
  /// No task is started here before this time.
  TimePoint mAvoidedUntil{ kNever };
  /// Tasks of several jobs failed here in a row, or starts were not carried
  /// out. No task is started here before this time, unless most workers of the
  /// service are in quarantine.
  TimePoint mQuarantinedUntil{ kNever };
  /// Starts in a row that were not carried out, for the worker's sake. Those
  /// that were ordered before the last one failed don't count.
  std::uint32_t mFailedStarts = 0;
  /// When the last of them failed.
  TimePoint mStartFailedAt{ kNever };
  /// No best-effort task is started here before this time.
  TimePoint mNoBestEffortUntil{ kNever };
  /// When a probe was last started here.
  TimePoint mProbedAt{ kNever };
  /// Jobs whose tasks failed here since the last success, to distinguish a
  /// faulty worker from a faulty job.
  std::set<JobId> mFailedJobs;
  /// Time of the last report in which no serving task here was close to or over
  /// its latency target.
  TimePoint mOverTargetSince{ kNever };
  /// Another incarnation answers at the worker's address.
  bool mIsReplaced = false;
  /// Runs that were given up in the present silence, or that an owner before
  /// had there when the worker fell silent.
  std::vector<LostRun> mLostRuns;
  /// In that silence, an owner before found that many workers had fallen silent
  /// together with this one.
  bool mWasLostTogether = false;
  RoomReservation mRoom;
  /// The job whose only run has ended here, until the next start; empty if
  /// there is none.
  JobId mLeftBy;
  TimePoint mLeftAt{ kNever };
  /// Until then only a suspect may be started here.
  TimePoint mReservedUntil{ kNever };
};

/// Run times of a queue's tasks, learned from completed runs.
struct RunTimes
{
  double mMeanMs = 0;
  std::uint32_t mCount = 0;
};

/// Learned profile of a serving image. A task's load is the share of its
/// requested processors that it uses.
struct ServingProfile
{
  /// Smoothed minimum of the latency ratios that its tasks report.
  double mMinLatencyRatio = 0;
  double mMeanLoad = 0;
  /// Load that only about one report in eleven exceeds.
  double mHighLoad = 0;
  /// Mean over all best-effort images of the load that tasks of the image would
  /// add if they used all processors of a worker.
  double mMeanAddedLoad = 0;
  /// When the mean was last updated.
  TimePoint mMeanAddedLoadAt{ kNever };
};

/// Ends and starts of batch runs since the last log line
/// (vcDispatchTurnover.h).
struct RoomTurnover
{
  /// Ends of runs that were the only one of their job.
  std::uint64_t mOnlyRunsEnded = 0;
  /// Those after which the next start on the worker was of the same job, or of
  /// another one.
  std::uint64_t mTakenBySameJob = 0;
  std::uint64_t mTakenByOthers = 0;
  /// Times in which a job had nothing running that a start has ended.
  std::uint64_t mIdleTimes = 0;
  Duration mIdleSum{ 0 };
  Duration mLongestIdle{ 0 };
};

/// A cancellation that was read before its job, or without it.
struct PendingCancellation
{
  /// Revision of its record in the store.
  std::uint64_t mRevision = 0;
  /// When this owner read it.
  TimePoint mReadAt{ kNever };
};

/// A worker that an earlier owner used and that has not answered this one. It
/// may run tasks that an earlier owner started and that this one doesn't know.
struct UnansweredWorker
{
  /// All those runs have ended by this time.
  TimePoint mRunsEndAt{ kNever };
  /// They belong to jobs that were accepted up to this revision of the store.
  std::uint64_t mNoJobsAfter = 0;
  /// If the worker may be well, its answer is awaited until this time at least.
  TimePoint mAskedUntil{ kNever };
  /// Discovery lists a later incarnation than earlier owners knew: runs that
  /// their calls started there end by this time. Else `kNever`.
  TimePoint mRestartRunsEndAt{ kNever };
};

/// The last round's overload (vcOverload.h); all 0 without any.
struct OverloadSummary
{
  /// Jobs of the services whose work doesn't fit their processors.
  std::uint64_t mJobs = 0;
  /// Of them: jobs that could still be in time and are given up for others.
  std::uint64_t mGivenUp = 0;
  /// Of them: jobs whose result has no more use for their callers.
  std::uint64_t mExpired = 0;
};

/// Parts into which the limit of a team is divided between the shards.
constexpr std::uint32_t kWholeTeamShare = 10'000;

/// Quota of a team as the owner of one shard applies it (vcTeamQuota.h).
struct TeamQuota
{
  /// Most that the team's tasks may use on all workers of all shards. A
  /// resource of 0 has no limit.
  Resources mLimit;
  double mWeight = 1;
  /// Part of the limit that this shard may use, out of `kWholeTeamShare`.
  std::uint32_t mShare = kWholeTeamShare;
};

/// What the tasks of a team use on the workers of one shard, best-effort tasks
/// with all that they request.
struct TeamUse
{
  /// Runs that this owner knows, those included that are being stopped or whose
  /// start isn't confirmed.
  Resources mKnown;
  /// Runs that may last on workers that haven't answered this owner.
  Resources mUnseen;
};

/// State of a shard as its owner keeps it.
struct DispatchShard
{
  DispatchBounds mBounds;
  /// The store's revision at which the shard was acquired. It is the fencing
  /// token of the orders to a worker until that restarts.
  std::uint64_t mEpoch = 0;
  /// Revision of the latest write that this owner made on the condition of its
  /// ownership; 0 if there is none.
  std::uint64_t mLatestOwnWrite = 0;
  /// When this owner knew of its claim and began to ask the workers.
  TimePoint mClaimedAt{ kNever };
  /// Run numbers of this ownership start above this, and so above those of
  /// earlier owners.
  std::uint32_t mRunBase = 0;
  std::map<JobId, DispatchJob> mJobs;
  /// Memory that the occurrences of all jobs take, in bytes.
  std::size_t mOccurrenceBytes = 0;
  /// No step is opened beyond this; its tasks wait.
  std::size_t mMaxOccurrenceBytes = std::numeric_limits<std::size_t>::max();
  /// A step waits for that.
  bool mIsOccurrenceMemoryFull = false;
  std::map<JobId, EndedJob> mEndedJobs;
  /// Cancellations whose jobs aren't known, by job.
  std::map<JobId, PendingCancellation> mPendingCancellations;
  /// Tasks that may have crashed their workers.
  std::set<TaskId> mSuspects;
  /// Number of changes of the suspects and of their histories.
  std::uint64_t mSuspectsVersion = 0;
  /// Losses that are known, also of workers that have left the set since, and
  /// crashes that may turn out to be parts of a larger one (vcLossGroups.h).
  std::vector<WorkerLoss> mPastLosses;
  std::vector<CountedCrash> mCountedCrashes;
  /// Number of changes of the silent workers and of the runs there.
  std::uint64_t mSilenceVersion = 0;
  std::map<std::string, DispatchWorker> mWorkers;
  /// Data centres where nothing is started.
  std::set<std::string> mEvacuated;
  /// Workers that an earlier owner used and that have not answered this one, by
  /// name. Jobs that may run there aren't started; see `LastHeldRevision`.
  std::map<std::string, UnansweredWorker> mUnansweredWorkers;
  /// By queue.
  std::map<std::string, RunTimes> mRunTimes;
  /// By team; empty if the deployment has no teams.
  std::map<std::string, TeamQuota> mTeams;
  /// By team, also of teams that aren't configured any more.
  std::map<std::string, TeamUse> mTeamUse;
  /// Load that best-effort images add to serving images, which the model treats
  /// as their slow-down. The values are the learning rate, the maximum
  /// coefficient and the minimum norm.
  InterferenceModel mInterference{ 0.04, 10, 0.01, {} };
  /// By serving image.
  std::map<std::string, ServingProfile> mServingProfiles;
  /// Kinds of all best-effort images reported so far.
  std::set<std::uint64_t> mBestEffortKinds;
  /// No probe is started before this time.
  TimePoint mNextProbeAt{ kNever };
  RoomTurnover mTurnover;
  /// After the last round of starts, tasks still waited for room.
  bool mHasWaitingTasks = false;
  OverloadSummary mOverload;
  /// This owner is fenced: a worker refused its epoch because it has seen a
  /// higher one.
  bool mIsFenced = false;
  /// Starts are allowed; cleared while ownership is uncertain.
  bool mMayStart = true;
  /// Bytes of start orders that the owner's link has room for. Nothing is
  /// started once it is used up; the last order may exceed it.
  double mStartBudget = std::numeric_limits<double>::infinity();
  /// All runs that this owner has started or renewed end by this time, since
  /// another owner may count on it. It moves on with each proof of ownership.
  TimePoint mLeasesEndBy{ TimePoint::max() };
  /// The owner's lease is known to be valid. While it is not, another owner may
  /// be renewing the workers that do not answer this one.
  bool mIsLeaseProved = true;
};

/// An order and the name of the worker that it is sent to.
template<class Order>
struct AddressedOrder
{
  std::string mWorker;
  Order mOrder;
};

/// Orders that the caller has to send to the workers.
struct DispatchActions
{
  std::vector<AddressedOrder<StartOrder>> mStarts;
  std::vector<AddressedOrder<StopOrder>> mStops;
  std::vector<AddressedOrder<ThrottleOrder>> mThrottleOrders;
};

/// Returns the task with this id, or null if it doesn't exist or its step isn't
/// open.
DispatchTask* FindTask(DispatchShard& aShard, const TaskId& aKey);

/// Returns the task with this id, or null if it doesn't exist or its step isn't
/// open.
const DispatchTask* FindTask(const DispatchShard& aShard, const TaskId& aKey);

/// Returns the job with this id, or null.
DispatchJob* FindJob(DispatchShard& aShard, const JobId& aJob);

/// True if the worker hasn't answered the last renewal, or none yet.
bool IsSilent(const DispatchWorker& aWorker);

/// Returns the worker with this name, or null.
DispatchWorker* FindWorker(DispatchShard& aShard, const std::string& aWorker);

/// State of the task's step; its occurrence must have begun.
DispatchStep& StepStateOf(DispatchJob& aJob, const TaskId& aKey);

/// State of the task's step; its occurrence must have begun.
const DispatchStep& StepStateOf(const DispatchJob& aJob, const TaskId& aKey);

/// The step that the task belongs to; the task must exist.
const StepSpec& StepOf(const DispatchJob& aJob, const TaskId& aKey);

/// Estimates the worker's clock at `aNow`, in ms, from its last reading; 0 if
/// it was never read.
std::int64_t EstimateClock(const DispatchWorker& aWorker, TimePoint aNow);

/// Latest reading of the worker's clock, in ms, that it certainly shows by
/// `aTime`. Its clock has been read.
std::int64_t ClockReachedBy(const DispatchWorker& aWorker, TimePoint aTime);

/// The start of the task's current run.
RunStart StartOf(const DispatchTask& aTask);

/// Needs of a task of the step that count against the capacity of its worker.
Resources CountedNeeds(const StepSpec& aStep);

/// The part of a task's needs that counts against the capacity of its worker:
/// best-effort tasks use only processors that others leave.
Resources CountedNeeds(const Resources& aNeeds, bool aIsBestEffort);

/// Marks the job as running: a worker has started one of its tasks. An order
/// alone doesn't count, since it may be refused or lost.
void MarkStarted(DispatchJob& aJob);

} // namespace verbenacroft
