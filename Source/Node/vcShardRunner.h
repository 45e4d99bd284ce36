#pragma once

/// Runs a shard on the node that owns it: sends the orders of the dispatch core
/// to the workers, records its state in the store, and passes the replies of
/// both back to the core.

#include "vcCrashRecords.h"
#include "vcMembership.h"
#include "vcNodeContext.h"
#include "vcShardLog.h"
#include "vcWorkerSetRecords.h"

#include <deque>

namespace verbenacroft {

/// A shard's worker set as last recorded, and the revisions of its records.
struct StoredWorkerSet
{
  WorkerSetRecord mWorkerSet;
  std::uint64_t mRevision = 0;
  InactiveWorkersRecord mInactive;
  /// Revision of the record of inactive workers; 0 if there is none.
  std::uint64_t mInactiveRevision = 0;
  IncarnationsRecord mIncarnations;
  /// A later write failed. It may have been carried out, so the store need not
  /// contain these records.
  bool mIsInDoubt = false;
};

/// Runs one epoch of a shard on the owning node. It is not restarted after it
/// has stopped.
class ShardRunner : public std::enable_shared_from_this<ShardRunner>
{
public:
  ShardRunner(NodeContext& aNode, std::uint32_t aShard, std::uint64_t aEpoch);

  /// Starts a coroutine that reads the shard from the store and then starts the
  /// shard's other coroutines.
  void Start();

  /// Stops the coroutines without further calls to the store or to workers.
  void Stop();

  /// Starts no more tasks, records the progress that isn't recorded yet and
  /// stops the coroutines.
  asio::awaitable<void> HandOver();

  /// Adds the hand-over of the shard to a write, after `HandOver`: the removal
  /// of the owner's record, and the records of the workers and of the waiting
  /// tasks for the next owner.
  void AddHandOver(KvTransaction& aWrite) const;

  /// The runner has stopped and takes no further action.
  bool IsStopped() const { return this->mIsStopped; }
  /// The shard's jobs have been read from the store.
  bool IsLoaded() const { return this->mIsLoaded; }
  /// Epoch of this owner.
  std::uint64_t Epoch() const { return this->mShard.mEpoch; }
  /// How far the inbox has been read.
  const InboxReads& Inbox() const { return this->mInboxReads; }
  /// The tasks that were ready and waited at the last line about the load.
  const WaitingSummary& WaitingTasksByReason() const { return this->mWaiting; }
  /// The jobs that had nothing running for too long at that time.
  const WaitingSummary& IdleJobsByReason() const { return this->mIdleJobs; }
  /// The long-running tasks that didn't run at that time; nothing if all did.
  const std::optional<LongRunningWait>& LongRunningWaits() const
  {
    return this->mLongRunningWait;
  }
  /// State of the dispatch core.
  const DispatchShard& State() const { return this->mShard; }

  /// State of a job as shown to callers, or nothing if the job is unknown. A
  /// job that has ended is shown as running until its final state is recorded.
  std::optional<BatchState> StateOf(const JobId& aJob) const;

  /// Number of jobs without a started task, by queue.
  std::map<std::string, std::uint64_t> Waiting() const;

private:
  /// Orders to one worker that have not been sent yet. Throttle orders are sent
  /// before stops, and stops before starts.
  struct OrderQueue
  {
    std::deque<StartOrder> mStarts;
    std::deque<StopOrder> mStops;
    std::deque<ThrottleOrder> mThrottleOrders;
    /// Number of coroutines that send these orders.
    int mSenders = 0;
  };

  /// Transaction that records the progress of jobs.
  struct ProgressWrite
  {
    KvTransaction mWrite;
    std::vector<JobId> mJobs;
  };

  /// Runs a coroutine of the shard. The runner stops if the coroutine fails.
  void Spawn(const char* aName, CoroutineFunction aMakeCoroutine);
  /// Loads the shard, with retries, and starts its coroutines.
  asio::awaitable<void> Run();
  /// Reads the worker set, the inbox and the progress from the store.
  /// @return false if a read failed or the shard has another owner
  asio::awaitable<bool> Load();
  /// Reads the worker set and adds its workers.
  /// @return false if the worker set could not be read
  asio::awaitable<bool> LoadWorkerSet();
  /// Applies what the owner before has left, if it has handed the shard over.
  /// The jobs are loaded.
  /// @return false if that could not be read
  asio::awaitable<bool> LoadHandOver();
  /// What the recorded worker set says of earlier owners.
  EarlierOwners KnownOfEarlierOwners() const;
  /// No owner before this one can have proved its ownership after this time.
  /// The claim at the latest, however long it takes to load the shard.
  TimePoint UnownedSince() const;
  /// Adds the workers of the recorded worker set and the times until which runs
  /// of earlier owners may last there.
  void AddStoredWorkers(TimePoint aNow);
  /// Stops the runner if the items contain a claim later than its own.
  /// @return false if they do
  bool CheckInboxOwner(const std::vector<KvItem>& aItems);
  /// Adds a job or cancels one. Jobs that are already known are ignored.
  void ApplyInbox(const KvItem& aItem);
  /// Applies the stored progress of a job.
  void ApplyStoredProgress(const KvItem& aItem);

  /// Applies new items of the inbox until the runner stops.
  asio::awaitable<void> WatchInbox(std::uint64_t aRevision);
  /// Reads the entries of the shard's workers periodically, and starts to poll
  /// new workers.
  asio::awaitable<void> PollDiscovery();
  /// Decodes the listed entries of the shard's workers. An entry that names no
  /// worker is left out, with one line for as long as its fault is the same.
  std::vector<WorkerEntry> DecodeEntries(const std::vector<KvItem>& aItems);
  /// Starts to poll the workers that aren't polled yet.
  void PollNewWorkers();
  /// Renews the lease of a worker and evaluates its reports, for as long as the
  /// shard uses the worker.
  asio::awaitable<void> PollWorker(std::string aWorker);
  /// Records a worker that has answered at once if its lease isn't renewed
  /// before: it is inactive, or has restarted.
  asio::awaitable<void> RecordAnswered(std::string aWorker);
  /// Waits until the owner's link has room for the worker's next report.
  asio::awaitable<void> WaitForLink(std::string aWorker);
  /// Counts a call to a worker that has ended.
  void OnCallEnded(OrderOutcome aOutcome, std::optional<Duration> aLatency);
  /// Waits from a report until the next renewal.
  asio::awaitable<void> PauseBeforeNextRenewal(std::string aWorker,
                                               bool aIsGood);
  /// Removes lost workers, stops tasks and plans at a fixed interval. Stops the
  /// runner once the shard is fenced.
  asio::awaitable<void> Tick();
  /// Records progress and removes old jobs periodically.
  asio::awaitable<void> RecordPeriodically();
  /// Records the progress that the store doesn't have, one write after another.
  /// @return false if a write failed
  asio::awaitable<bool> RecordProgress();
  /// Records all jobs that are dirty when it begins, in several transactions if
  /// they don't fit into one, and then acknowledges the task ends seen by then.
  /// A rejected transaction doesn't keep it from the others.
  /// @return false if a write failed; then nothing is acknowledged
  asio::awaitable<bool> RecordDirtyJobs();
  /// Makes one transaction of the progress of the first jobs of `aJobs`, as
  /// many as fit in their present state, and removes them from `aJobs`. They
  /// no longer count as dirty.
  ProgressWrite TakeProgress(std::deque<JobId>& aJobs);
  /// Commits the progress of jobs, which are dirty again if the write fails.
  /// @return outcome of the write
  asio::awaitable<KvStatus> CommitProgress(ProgressWrite aProgress);
  /// Records the worker set if it has changed, and allows starts on its active
  /// workers. Only one such write runs at a time.
  /// @return false if the write failed or another one is running
  asio::awaitable<bool> RecordWorkerSet();
  /// Records workers as inactive soon after they have fallen silent.
  asio::awaitable<void> RecordSilentWorkers();
  /// Reads the records of the tasks under which workers have crashed, and of
  /// the silent workers. A record that can't be decoded counts as empty.
  /// @return false if they could not be read
  asio::awaitable<bool> LoadCrashes();
  /// Applies the record of the silent workers. The counts have been read.
  void ApplySilentWorkersItem(const KvItem& aItem);
  /// Writes these records when they change, until the runner stops.
  asio::awaitable<void> RecordCrashes();
  /// True if the record of the silent workers has to be written.
  bool MustRecordSilentWorkers(TimePoint aNow);
  /// The write of `RecordCrashes`.
  /// @return false if it failed
  asio::awaitable<bool> WriteCrashes();
  /// Asks the former owner how long unanswered workers may run its tasks, until
  /// it has answered or nothing depends on it any more.
  asio::awaitable<void> LearnFromFormerOwner();
  /// The write of `RecordWorkerSet`.
  asio::awaitable<bool> WriteWorkerSet();
  /// Commits a write on the condition that this runner's node still owns the
  /// shard in its epoch.
  asio::awaitable<KvReply> CommitAsOwner(KvTransaction aWrite);
  /// Chooses the worker set that has to be recorded, and forbids starts on all
  /// workers that aren't active in it.
  void ChooseWorkerSet(WorkerSetRecord& aWorkerSet,
                       InactiveWorkersRecord& aInactive);
  /// The present incarnations of the workers in the set.
  IncarnationsRecord IncarnationsOf(const WorkerSetRecord& aWorkerSet) const;
  /// Stops the use of a silent worker.
  /// @return what has to be recorded of it
  InactiveWorker MakeInactive(DispatchWorker& aWorker, TimePoint aNow);
  /// Allows starts on the active workers in the recorded worker set.
  void MarkRecordedWorkers();
  /// Removes ended jobs from memory and, after their retention time, from the
  /// store.
  asio::awaitable<void> RemoveOldJobs();
  /// Removes the records of some old jobs from the store, in one transaction.
  /// @return true if it succeeded and there may be more
  asio::awaitable<bool> RemoveOldRecords();
  /// Removes some old cancellations whose jobs never came from the store, in
  /// one transaction.
  /// @return true if it succeeded and there may be more
  asio::awaitable<bool> RemoveOldCancellations();
  /// Takes the present revisions of these jobs' cancellations from the reply to
  /// a removal that failed since one of them has changed.
  void OnCancellationsChanged(const std::set<JobId>& aJobs,
                              const KvReply& aReply);
  /// Handles a successful write of the progress of jobs.
  void OnProgressRecorded(const std::vector<JobId>& aJobs,
                          std::uint64_t aRevision);
  /// Takes the current revisions from the reply to a failed write. Stops the
  /// runner if the shard has another owner.
  void OnProgressConflict(const KvReply& aReply);

  /// Plans starts and queues the orders.
  void Plan();
  /// Plans after a short delay, once for all events until then.
  void SchedulePlanning();
  /// Queues the orders and starts to send them.
  void EnqueueOrders(DispatchActions& aActions);
  /// Starts as many senders as the queued orders need, up to a maximum.
  void StartSenders(const std::string& aWorker);
  /// Sends the queued orders of a worker until none is left.
  asio::awaitable<void> SendOrders(std::string aWorker);
  /// True if the shard knows all cancellations and evacuations that were
  /// acknowledged until lately, or couldn't because the store was down.
  bool KnowsRecentOrders(TimePoint aNow);
  /// Memory for the occurrences of this shard's jobs, in bytes: what those of
  /// the node's other shards leave.
  std::size_t MaxOccurrenceBytes() const;
  /// Copies the teams of a new version of the configuration to the core.
  void CopyTeams(const FleetConfig& aConfig);
  /// Reads and changes this shard's shares in the limits of teams until the
  /// runner stops.
  asio::awaitable<void> ShareTeamLimits();
  /// Reads the shares of all teams and changes those of this shard.
  asio::awaitable<void> UpdateTeamShares();
  /// Applies and changes this shard's share of one team.
  /// @param aItem the team's record, with revision 0 if there is none
  asio::awaitable<void> UpdateTeamShare(std::string aTeam, KvItem aItem);
  /// Copies the memory limit, the state of the lease and the evacuations from
  /// the node to the core.
  void CopyNodeStateToShard(TimePoint aNow);
  /// Why the shard may start nothing at present; nothing if it may.
  std::optional<StartsForbiddenCause> WhyShardMayNotStart(TimePoint aNow);
  /// Logs that starts become forbidden or allowed, or are forbidden for another
  /// cause than before.
  void LogStartsForbidden(std::optional<StartsForbiddenCause> aCause,
                          TimePoint aNow);
  /// Logs the start of the barrier of a takeover, if there is one.
  void LogBarrierStart(TimePoint aNow);
  /// Logs once that the barrier has become clear. Has to be called before the
  /// core forgets the workers that haven't answered.
  void LogBarrierEnd(TimePoint aNow);

  NodeContext& mNode;
  /// Number of the shard.
  std::uint32_t mShardNumber;
  DispatchShard mShard;
  StoredWorkerSet mStored;
  /// Revision of the record of the tasks under which workers have crashed; 0 if
  /// there is none.
  std::uint64_t mCrashesRevision = 0;
  /// `DispatchShard::mSuspectsVersion` of that record.
  std::uint64_t mStoredSuspectsVersion = 0;
  /// Revision of the record of the silent workers; 0 if there is none.
  std::uint64_t mSilentWorkersRevision = 0;
  /// That record; nothing if it isn't known or doesn't hold.
  std::optional<SilentWorkersRecord> mStoredSilentWorkers;
  /// `DispatchShard::mSilenceVersion` of that record.
  std::uint64_t mStoredSilenceVersion = 0;
  /// When that record was last written.
  TimePoint mSilentWorkersWrittenAt{ kNever };
  /// A write of the worker set is running.
  bool mIsRecordingWorkerSet = false;
  /// Orders to send, by worker.
  std::map<std::string, OrderQueue> mOrderQueues;
  /// Path of the first fault of each entry of the list that names no worker,
  /// by key.
  std::map<std::string, std::string> mSkippedEntries;
  /// Workers whose leases are being renewed.
  std::set<std::string> mPolledWorkers;
  /// Calls to workers since the last log line.
  CallCounts mCalls;
  OwnerPacing mPacing;
  /// Renewals since the last log line, by their causes.
  std::map<RenewalCause, std::uint32_t> mRenewals;
  /// Version of the configuration whose teams the core has.
  std::uint64_t mTeamsVersion = 0;
  /// When the start budget of the shard was last filled up.
  TimePoint mStartBudgetAt{ kNever };
  InboxReads mInboxReads;
  WaitingSummary mWaiting;
  /// Jobs that had nothing running for too long, at the same time.
  WaitingSummary mIdleJobs;
  /// Long-running tasks that didn't run, at the same time.
  std::optional<LongRunningWait> mLongRunningWait;
  /// Why starts are forbidden; nothing while they are allowed.
  std::optional<StartsForbiddenCause> mForbiddenCause;
  /// When starts became forbidden.
  TimePoint mForbiddenAt{ kNever };
  /// When the barrier began; `kNever` if there is none or its end was logged.
  TimePoint mBarrierStartedAt{ kNever };
  /// When the store was last seen to be down.
  TimePoint mStoreDownAt{ kNever };
  bool mIsStopped = false;
  bool mIsLoaded = false;
  bool mIsPlanningScheduled = false;
  /// A write of jobs' progress is running.
  bool mIsRecording = false;
  /// Jobs in the last rejected write. Each of them is written alone until that
  /// succeeds, so that one that the store rejects doesn't hold back others.
  std::set<JobId> mJobsWrittenAlone;
  /// Duration of the last planning.
  Duration mPlanTime{ 0 };
  /// Delay of the next write of progress; cancelled to write at once.
  NodeTimer mRecordTimer;
};

} // namespace verbenacroft
