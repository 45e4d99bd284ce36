#pragma once

/// The owner of one shard: carries the decisions of its core to the store
/// and the workers, and what these answer back to it.

#include "vcNodeContext.h"

#include <deque>

namespace verbenacroft {

/// A worker that a shard uses, for the next owner.
struct CrewMember
{
  std::string mWorker;
  std::string mAddress;
};
BOOST_DESCRIBE_STRUCT(CrewMember, (), (mWorker, mAddress))

struct CrewRecord
{
  /// Ownerships so far; run numbers of different owners never meet.
  std::uint32_t mGeneration = 0;
  std::vector<CrewMember> mWorkers;
  /// Node that may act on the workers; empty once it has handed over.
  std::string mOwner;
  /// All that owners before this one started is accounted for.
  bool mIsSettled = false;
  /// The owner before this one had certainly stopped to act when this one
  /// claimed the shard.
  bool mHasEarlierStopped = false;
};
BOOST_DESCRIBE_STRUCT(
  CrewRecord,
  (),
  (mGeneration, mWorkers, mOwner, mIsSettled, mHasEarlierStopped))

/// The record with which `aNode` claims the shard after `aEarlier`.
CrewRecord NextCrew(const CrewRecord& aEarlier, const std::string& aNode);

class ShardRunner : public std::enable_shared_from_this<ShardRunner>
{
public:
  ShardRunner(NodeContext& aNode, std::uint32_t aShard, std::uint64_t aEpoch);

  /// Reads the shard from the store and starts its loops.
  void Start();

  /// Ends the loops without another call.
  void Stop();

  /// Records what is not yet recorded and ends the loops.
  asio::awaitable<void> HandOver();

  /// The crew's record for the next owner, after `HandOver`.
  CrewRecord HandedOverCrew() const;

  bool IsStopped() const { return this->mIsStopped; }
  /// The jobs have been read from the store.
  bool IsLoaded() const { return this->mIsLoaded; }
  std::uint64_t Epoch() const { return this->mShard.mEpoch; }
  const DispatchShard& State() const { return this->mShard; }

  /// State of a job as it may be shown, or nothing if it isn't known here.
  std::optional<BatchState> StateOf(const JobId& aJob) const;

  /// Jobs without a started task, by queue.
  std::map<std::string, std::uint64_t> Waiting() const;

private:
  struct OrderLane
  {
    std::deque<StartOrder> mStarts;
    std::deque<StopOrder> mStops;
    std::deque<PaceOrder> mPaces;
    int mSenders = 0;
  };

  /// Runs a loop of the shard; the shard is given up if the loop fails.
  void Spawn(const char* aName, Loop aLoop);
  asio::awaitable<void> Run();
  asio::awaitable<bool> Load();
  asio::awaitable<bool> LoadCrew();
  /// Stops the runner if the items tell of a claim after its own.
  /// @return false if they do
  bool IsInboxMine(const std::vector<KvItem>& aItems);
  void ApplyInbox(const KvItem& aItem);
  void ApplyStoredProgress(const KvItem& aItem);

  asio::awaitable<void> FollowInbox(std::uint64_t aRevision);
  asio::awaitable<void> FollowDiscovery();
  asio::awaitable<void> FollowWorker(std::string aWorker);
  Duration PauseAfterReport(const std::string& aWorker, bool aIsGood);
  asio::awaitable<void> Tick();
  asio::awaitable<void> KeepRecorded();
  /// Records what the store doesn't have, one write after another.
  asio::awaitable<bool> RecordProgress();
  asio::awaitable<bool> RecordDirtyJobs();
  asio::awaitable<bool> CommitProgress(std::vector<JobId> aJobs);
  asio::awaitable<bool> RecordCrew();
  /// Starts are allowed on the workers that the store's record names.
  void MarkRecorded();
  asio::awaitable<void> ForgetOldJobs();
  void OnRecorded(const std::vector<JobId>& aJobs, std::uint64_t aRevision);
  void OnProgressConflict(const KvReply& aReply);

  void Plan();
  void PlanSoon();
  void Send(DispatchActions& aActions);
  void StartSenders(const std::string& aWorker);
  asio::awaitable<void> SendOrders(std::string aWorker);
  void SyncShard(TimePoint aNow);

  NodeContext& mNode;
  std::uint32_t mNumber;
  DispatchShard mShard;
  CrewRecord mCrew;
  std::uint64_t mCrewRevision = 0;
  std::map<std::string, OrderLane> mLanes;
  std::set<std::string> mFollowed;
  bool mIsStopped = false;
  bool mIsLoaded = false;
  bool mIsPlanDue = false;
  bool mIsRecording = false;
  /// How long the last planning took.
  Duration mPlanTime{ 0 };
  NodeTimer mRecordTimer;
};

} // namespace verbenacroft
