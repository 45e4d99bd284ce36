#pragma once

/// The fleet of one play with its nodes, jobs, faults and judges. Only the
/// sources of the fleet itself include this.

#include "vcFleet.h"

#include <boost/asio/awaitable.hpp>
#include <fmt/format.h>

namespace verbenacroft {

/// Time before the first job and the first fault.
inline constexpr Duration kQuietStart{ 5'000 };
/// After a calm of this length every shard has an owner at work. A node that is
/// small for the fleet and has a new lease waits 2.3 s before it claims, then
/// 0.2 s for each node before it and 0.06 s for each shard that it owns.
inline constexpr Duration kOwnedWithin{ 4'000 };
/// Time of the clock at which a play begins.
inline constexpr TimePoint kStart{ 1'000'000 };
/// Prefix of the keys of workers' entries.
inline constexpr const char* kWorkersPrefix = "servers/";
/// Prefix of the keys of operators' items.
inline constexpr const char* kOperatorKeyPrefix = "op/";
/// Suffix of the entry of a draining worker.
inline constexpr const char* kDraining = " draining";
/// Processors of a worker, in thousandths.
inline constexpr std::int64_t kWorkerCpu = 100'000;
/// Longer than the longest task that ends, so that a worker that leaves runs
/// nothing.
inline constexpr Duration kDrainTime{ 4'000 };
/// A worker's entry in the store outlives the worker by this time.
inline constexpr Duration kEntryOutlives{ 3'300 };
/// Host and path of the only queue.
inline constexpr const char* kHost = "desk.example";
inline constexpr const char* kQueuePath = "/q/";
/// Cancellations and evacuations take effect within this time.
inline constexpr Duration kObeyedWithin{ 3'000 };
/// From the start of one fault with small nodes to that of the next.
inline constexpr Duration kSmallNodeFault{ 9'000 };

/// Header with the key of a team, which is the team's name.
inline constexpr const char* kKeyHeader = "Key";
/// The team that has a quota, and the one that has none.
inline constexpr const char* kLimitedTeam = "limited";
inline constexpr const char* kOtherTeam = "other";

/// Terms of the only queue.
QueueTerms MakeTerms();

/// A moment at which something is changed.
struct Change
{
  TimePoint mAt{ 0 };
  std::string mWhat;
  std::function<void()> mDo;
};

/// How an owner loses its shard.
enum class OwnerLoss
{
  kKilled,
  kPaused,
  /// The store turns the owner away and has revoked its lease.
  kTurnedAway,
  /// The store is down and forgets all leases.
  kStoreDown,
  kLeaves,
};

template<>
struct EnumTable<OwnerLoss>
{
  static constexpr auto kRows = std::to_array<NameRow<OwnerLoss>>({
    { OwnerLoss::kKilled, "owner killed" },
    { OwnerLoss::kPaused, "owner paused" },
    { OwnerLoss::kTurnedAway, "owner turned away, its lease revoked" },
    { OwnerLoss::kStoreDown, "store down, leases forgotten" },
    { OwnerLoss::kLeaves, "owner leaves" },
  });
};

/// What happens to the nodes that are left when an owner is lost, so that they
/// claim its shard late.
enum class ClaimDelay
{
  /// The store is away and forgets all leases.
  kLeasesForgotten,
  /// The nodes are killed too, and are back some time later.
  kAllRestarted,
  /// The same, and the owner is back first.
  kOwnerRestarted,
  /// The store turns them away for longer than their leases last.
  kTurnedAway,
};

template<>
struct EnumTable<ClaimDelay>
{
  static constexpr auto kRows = std::to_array<NameRow<ClaimDelay>>({
    { ClaimDelay::kLeasesForgotten, "owner lost, leases forgotten" },
    { ClaimDelay::kAllRestarted, "owner lost, the others restarted" },
    { ClaimDelay::kOwnerRestarted, "all killed, the owner is back first" },
    { ClaimDelay::kTurnedAway, "owner lost, the others turned away" },
  });
};

/// What limits the calls of a node to its workers.
enum class CallLimit
{
  kLink,
  /// The link, but only for some seconds.
  kLinkForSomeTime,
  kProcessor,
};

template<>
struct EnumTable<CallLimit>
{
  static constexpr auto kRows = std::to_array<NameRow<CallLimit>>({
    { CallLimit::kLink, "links narrow" },
    { CallLimit::kLinkForSomeTime, "links narrow for some time" },
    { CallLimit::kProcessor, "processors slow" },
  });
};

/// Something that an owner has to settle while a worker reports.
struct OpenMatter
{
  TimePoint mSince{ kNever };
  /// When it was last found open.
  TimePoint mSeenAt{ kNever };
  TimePoint mLastReportAt{ kNever };
  /// Number of the worker's reports since it was first found open.
  int mReports = 0;
  bool mIsReported = false;
};

/// One play. Each source of the fleet defines the functions of one duty.
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    this->mStore.mRandom.seed(aOptions.mSeed + 1);
    this->mWorkers.mRandom.seed(aOptions.mSeed + 2);
    this->mWatchRandom.seed(aOptions.mSeed + 3);
    this->mSizeRandom.seed(aOptions.mSeed + 4);
  }

  ~Fleet()
  {
    for (auto& [name, life] : this->mLives) {
      EndLife(life);
    }
    UseManualTime(std::nullopt);
  }

  FleetResult Play();

private:
  int Draw(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(this->mRandom);
  }
  /// Draws for what only a fleet with small nodes has, so that the draws of the
  /// others stay as they are.
  int DrawSize(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(this->mSizeRandom);
  }
  bool Toss(int aPercent) { return this->Draw(1, 100) <= aPercent; }
  int DrawForWatches(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast,
                                              aMost)(this->mWatchRandom);
  }
  std::string DrawNode()
  {
    return fmt::format("node-{}",
                       this->Draw(1, static_cast<int>(this->mOptions.mNodes)));
  }
  std::string DrawWorker()
  {
    return fmt::format(
      "w{}", this->Draw(1, static_cast<int>(this->mOptions.mWorkers)));
  }
  /// The node that owns a drawn shard, or any.
  std::string DrawOwner();
  /// Some of the workers that the fleet begins with, but not all.
  std::set<std::string> DrawWorkers(int aMost);

  // The fleet and its clock.
  void DrawSizes();
  bool IsSmall(const std::string& aNode) const;
  /// Nodes that are small, or those that aren't.
  std::vector<std::string> NodesOfSize(bool aIsSmall) const;
  bool HasSmallNodes() const
  {
    return this->mOptions.mPlay == FleetPlay::kSmallNodes;
  }
  static void EndLife(NodeLife& aLife);
  void StartNode(const std::string& aName);
  void StopNode(const std::string& aName);
  void PauseNode(const std::string& aName);
  void ContinueNode(const std::string& aName);
  /// The node hands its shards over and stops.
  void RetireNode(const std::string& aName);
  void SetUp();
  void At(TimePoint aWhen, std::string aWhat, std::function<void()> aDo);
  void Schedule();
  void SortChanges();
  void Step();

  // Teams.
  bool HasTeams() const { return this->mOptions.mPlay == FleetPlay::kTeams; }
  /// The configuration that the operators' item holds as text.
  FleetConfig MakeConfig(std::string_view aText) const;
  /// The team that submits the job.
  std::string TeamOf(const JobId& aId) const;
  void SetFirstQuota();
  void ScheduleQuotas();
  /// Writes a version with this quota, in runs of a task.
  void SetQuota(int aVersion, int aRuns);

  // Callers.
  BatchSpec DrawJob(const JobId& aId);
  void SubmitJob();
  /// Sends the job to a drawn node.
  void SendSubmission(const JobId& aId, const BatchSpec& aSpec);
  void SubmitJobs();
  void OnAnswer(const JobId& aId,
                const BatchSpec& aSpec,
                int aStatus,
                Duration aTook);
  /// Cancels a drawn job that was accepted.
  void CancelJob();
  /// True if the job was accepted and no cancellation of it acknowledged.
  bool IsOwed(const JobId& aId) const;
  void CancelAtAnyNode(const JobId& aId);
  asio::awaitable<void> SendCancellation(NodeContext& aNode, JobId aId);
  /// An accepted job that nobody has cancelled has to be known.
  asio::awaitable<void> AskForState(NodeContext& aNode, JobId aId);
  /// The store does writes late, several times, and doesn't answer them.
  void ScheduleLateSubmissions();
  /// In that play the caller cancels such a job until that is acknowledged.
  void OnUnansweredSubmission(const JobId& aId, const BatchSpec& aSpec);
  void CancelUnansweredJobs();

  // Faults.
  void ScheduleFaults();
  void ScheduleStoreFault(TimePoint aAt, TimePoint aEnd);
  std::string DrawWatchedPrefix();
  void ScheduleWatchFault();
  /// Evacuates a data centre for some seconds.
  void ScheduleEvacuation(TimePoint aAt);
  void ScheduleNodeFault(TimePoint aAt, TimePoint aEnd);
  void ScheduleWorkerFault(TimePoint aAt, TimePoint aEnd);
  void ScheduleForgottenLeases(TimePoint aAt);
  void ScheduleLossOfLargeNodes(TimePoint aAt);

  // Releases.
  void AddWorker(const std::string& aName);
  void SetEntry(const std::string& aName, const std::string& aSuffix);
  /// The worker loses what it runs, and nobody reaches it any more.
  void LoseWorker(const std::string& aName);
  void RemoveEntry(const std::string& aName);
  void RemoveWorker(const std::string& aName);
  void ScheduleDrain(const std::string& aName, TimePoint aAt);
  /// @return when the last worker that is replaced has left
  TimePoint ScheduleRelease(TimePoint aAt);
  void ScheduleFreeze(TimePoint aAt);
  void CrashLastingWorker();

  // Takeovers and partitions.
  void ScheduleTakeovers();
  void ScheduleGoneWorkers(TimePoint aAt);
  OwnerLoss DrawOwnerLoss();
  void ScheduleOwnerLoss(OwnerLoss aLoss, TimePoint aAt, TimePoint aEnd);
  void LoseOwner(OwnerLoss aLoss, const std::string& aOwner, StoreMood aMood);
  void EndOwnerLoss(OwnerLoss aLoss, const std::string& aOwner);
  void SchedulePartition();
  void ScheduleLossOfOwnerAndWorkers();
  void ScheduleOwnersLostInSeries();
  OwnerLoss DrawLossOfOneOwner();
  /// Counts what the owner has waited for the workers that are gone.
  void OnOwnerLostInSeries();
  /// Notes a claim of the first shard that has just come.
  void NoteClaim();
  void ScheduleCheckAfterLastClaim();

  // Late claims.
  void ScheduleLateClaims();
  /// Loses the owner of the shard and delays the next claim.
  void DelayClaim(ClaimDelay aDelay, const std::string& aOwner);
  /// Ends that.
  void EndClaimDelay(ClaimDelay aDelay, const std::string& aOwner);

  // Restarts under the same id.
  void ScheduleRestarts();
  /// Some workers crash together, return and are cut off.
  /// @return when the last of them is reached again
  TimePoint ScheduleRestartsAt(TimePoint aAt);
  void ScheduleLossBesideRestarts(TimePoint aAt);
  /// Judges a claim of the first shard that has just come: an owner has to have
  /// been lost shortly before.
  void JudgeClaim();

  // Late ends.
  bool HasLateEnds() const
  {
    return this->mOptions.mPlay == FleetPlay::kLateEnds;
  }
  /// A job whose one step has a maximum per worker.
  BatchSpec DrawLimitedJob(const JobId& aId);
  void ScheduleLateEnds();
  /// Some workers are cut off, also from the store.
  /// @return when the last of them is reached again
  TimePoint ScheduleCuts(TimePoint aAt);
  void ScheduleLateOrders(TimePoint aAt, TimePoint aEnd);

  // Planned work after losses.
  void ScheduleLeavesBeforeSettled();
  /// The workers that the fleet begins with, in a drawn order.
  std::vector<std::string> ShuffledWorkers();
  /// An owner loses its shards, and these workers leave at that time.
  void ScheduleLossBesideLeaves(OwnerLoss aLoss,
                                TimePoint aAt,
                                const std::vector<std::string>& aLeaving);
  /// Notes which long-running tasks run, and reports those that have been
  /// without a run for too long.
  void WatchLasting();
  /// Until when a long-running task may be without a run beside room for it.
  TimePoint RoomDueAt(const TaskId& aTask, const TaskPlan& aPlan);

  // A rack that is lost and comes back.
  bool HasScarceRoom() const
  {
    return this->mOptions.mPlay == FleetPlay::kRackLostAndBack;
  }
  /// True if long-running tasks don't take their share of the processors yet.
  bool NeedsLargeTasks() const;
  /// A long-running job whose tasks need many processors.
  BatchSpec DrawLargeJob(const JobId& aId);
  void ScheduleRackLoss();
  /// True if a worker that nodes may use has room for the task.
  bool HasRoomFor(const TaskPlan& aPlan) const;

  /// From now on the node reaches only these workers, and only it does.
  void CutOff(const std::string& aNode, const std::set<std::string>& aWorkers);
  /// Ends that.
  void Rejoin(const std::string& aNode);
  // Limited links and processors.
  void ScheduleChokedOwner();
  void ScheduleCallLimit(CallLimit aLimit);
  /// Sets the bandwidth of every node, in bytes per second, and the time of its
  /// event loop for a reply, in ms.
  void LimitCalls(double aBytesPerSecond, double aReplyMs);
  /// Lets the long-running tasks be judged, some time after `mCalmAt`.
  void ScheduleCheckOfCalm();
  /// Lets them be judged at `aAt`.
  void ScheduleCheckOfWork(TimePoint aAt);

  // Tasks that crash their workers.
  void ScheduleDeadlyTasks();
  /// Makes a task of a new job deadly, in a small part of the jobs.
  void DrawDeadlyTask(const JobId& aId, const BatchSpec& aSpec);
  /// Lets the workers that have just crashed return some seconds later.
  void HandleCrashes();
  void ReturnWorker(const std::string& aName);
  /// The worker returns under a new id.
  void ReplaceWorker(const std::string& aName);
  /// Deadly tasks are given up, and nothing else.
  void CheckDeadlyTasks();

  // Bounds while workers report.
  /// Reports what has been open for longer than `aWithin`, and over some
  /// reports of the worker.
  void Watch(const std::string& aWhat,
             const DispatchWorker& aWorker,
             Duration aWithin);
  void WatchWorker(const std::string& aNode,
                   const DispatchShard& aShard,
                   const DispatchWorker& aWorker);
  /// Checks the bounds of every owner at work.
  void WatchBounds();

  // Judges.
  /// Asks every node for the number of waiting jobs of each shard.
  void AskForCounts();
  asio::awaitable<void> CheckCount(NodeContext& aNode, std::uint32_t aShard);
  /// A calm owner has to know the number, however few jobs come in.
  void CheckCountIsNotDue(const NodeContext& aNode, std::uint32_t aShard);
  /// Accepted jobs of a shard that have waited for too long to be left out.
  std::size_t LongWaiting(std::uint32_t aShard) const;
  void CheckOwners();
  void CheckLargeOwners();
  /// State of the job in the store.
  std::optional<BatchState> StoredState(const JobId& aId) const;
  /// True if the job has failed and one of its tasks may be given up: workers
  /// have crashed under it twice, and it was alone there the second time.
  bool IsGivenUp(const JobId& aId) const;
  void CheckLasting(const std::set<JobId>& aJobs);
  /// No accepted job is held back.
  void CheckBegun();
  void CheckEnd();
  void Problem(std::string aText);

  FleetOptions mOptions;
  std::mt19937_64 mRandom;
  /// Draws the faults of watches, apart from the other faults.
  std::mt19937_64 mWatchRandom;
  std::mt19937_64 mSizeRandom;
  /// Processors by node.
  std::map<std::string, double> mSizes;
  TimePoint mNow = kStart;
  TimePoint mCalmAt = kStart;
  TimePoint mEnd = kStart;
  /// The calm is interrupted between these times, in which the store is away
  /// and forgets leases.
  TimePoint mLeaseFaultsAt = TimePoint::max();
  TimePoint mLeaseFaultsEnd = TimePoint::max();
  MemoryStore mStore;
  MemoryFleet mWorkers;
  std::map<std::string, NodeLife> mLives;
  std::vector<Change> mChanges;
  std::vector<std::string> mJobs;
  std::map<JobId, TimePoint> mAcceptedAt;
  std::set<std::string> mLasting;
  std::set<JobId> mCancelled;
  /// Jobs of which a submission got no answer.
  std::set<JobId> mUncertainJobs;
  /// Those of them that have to be cancelled, and when each is cancelled next.
  std::map<JobId, TimePoint> mUnansweredJobs;
  /// Jobs with a deadly task. They can't be done and aren't missed.
  std::set<JobId> mDeadly;
  /// No job that is submitted later has a deadly task.
  TimePoint mDeadlyUntil = kStart;
  /// Number of times that the owner is still killed just after a crash.
  int mKillsLeft = 0;
  bool mIsOwnerKilled = false;
  /// Revision and time of the last claim of the first shard.
  std::uint64_t mClaim = 0;
  TimePoint mClaimedAt = kStart;
  TimePoint mWorkersGoneAt = kStart;
  /// When an owner was lost that no other has followed yet; `kNever` if none
  /// was. Only the play of restarts sets it.
  TimePoint mOwnerLostAt{ kNever };
  /// What the owners that were lost in series have waited for these workers,
  /// as far as it counts for the next one.
  Duration mWaited{ 0 };
  /// True from the loss of the last of them to the claim after it.
  bool mIsClaimAwaited = false;
  /// When the last loss was that nobody had planned; `kNever` if the fleet
  /// isn't watched for long-running tasks without a run.
  TimePoint mLossAt = kNever;
  /// When the rack was lost whose loss is watched.
  TimePoint mRackLostAt = kNever;
  /// When each long-running task was last seen to run.
  std::map<TaskId, TimePoint> mLastRanAt;
  /// Since when each that doesn't run has had room on a worker.
  std::map<TaskId, TimePoint> mRoomSince;
  /// Those that were reported.
  std::set<TaskId> mMissedTasks;
  /// Number of workers that have returned under a new id.
  int mReplacements = 0;
  /// What is open at present, by its description.
  std::map<std::string, OpenMatter> mOpenMatters;
  /// Jobs that were refused as not run.
  std::set<std::string> mRefused;
  FleetResult mResult;
};

} // namespace verbenacroft
