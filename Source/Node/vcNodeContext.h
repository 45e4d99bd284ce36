#pragma once

/// State shared by the modules of a node: settings, connections, the operators'
/// configuration, and the known nodes and shard owners. Also the helpers that
/// run coroutines and the keys of this product in the store.

#include "vcCancellationBudget.h"
#include "vcFleetConfig.h"
#include "vcKeyValue.h"
#include "vcNodeSettings.h"
#include "vcStoreMonitor.h"
#include "vcTeamCredentials.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <map>
#include <memory>

namespace verbenacroft {

class ShardRunner;

/// Wait traits of `NodeTimer`: the longest time for which the event loop may
/// block before it checks the timer again. A manual clock may jump at any time,
/// so with it the event loop never blocks for a timer.
struct NodeTimerWait
{
  static Duration to_wait_duration(Duration aTime) // NOLINT
  {
    return IsTimeManual() ? Duration(0) : aTime;
  }
  static Duration to_wait_duration(SuspendAwareClock::time_point aAt) // NOLINT
  {
    return to_wait_duration(aAt - SuspendAwareClock::now());
  }
};

/// Timer on the suspend-aware clock.
using NodeTimer = asio::basic_waitable_timer<SuspendAwareClock, NodeTimerWait>;

/// Record of a node in the store, held under the node's lease.
struct NodeRecord
{
  /// Address for calls from other nodes, as `host:port`.
  std::string mPeerAddress;
  std::string mDataCentre;
  /// Processors that the node's process may use.
  double mProcessors = 1;
};
BOOST_DESCRIBE_STRUCT(NodeRecord, (), (mPeerAddress, mDataCentre, mProcessors))

/// Record of a shard's owner in the store, held under the owner's lease.
struct ShardOwnerRecord
{
  /// Name of the owning node.
  std::string mNode;
  /// Address of the owner for calls from other nodes, as `host:port`.
  std::string mPeerAddress;
};
BOOST_DESCRIBE_STRUCT(ShardOwnerRecord, (), (mNode, mPeerAddress))

/// Division of the deployment into shards; written once.
struct LayoutRecord
{
  std::uint32_t mShards = 0;
};
BOOST_DESCRIBE_STRUCT(LayoutRecord, (), (mShards))

/// Size of the fleet's nodes, held without a lease, so that it outlasts the
/// records of the nodes. Not part of `LayoutRecord`, since a program that
/// doesn't know a key of a record can't decode the record.
struct NodeSizeRecord
{
  /// Most processors of any node that has joined the fleet; never lowered.
  double mMostProcessors = 0;
};
BOOST_DESCRIBE_STRUCT(NodeSizeRecord, (), (mMostProcessors))

/// A shard's owner according to the store.
struct ShardOwner
{
  ShardOwnerRecord mRecord;
  /// Revision at which the owner's record was created.
  std::uint64_t mEpoch = 0;
  /// Lease under which the record is held. A record without a lease would
  /// outlive its node, so its shard may be claimed; the claiming node removes
  /// the record first.
  std::optional<LeaseId> mLease;
};

/// The owner that this node replaced when it claimed a shard.
struct FormerOwner
{
  /// Name of the node; empty if it had handed the shard over.
  std::string mNode;
  /// Generation of its worker set.
  std::uint32_t mGeneration = 0;
  /// Everything that owners before it had started was accounted for.
  bool mIsSettled = false;
  /// No owner can have proved its ownership from this time until the claim;
  /// nothing if that isn't known.
  std::optional<TimePoint> mUnownedSince = std::nullopt;
};

/// What this node knew of a shard's workers when it stopped to run the shard.
struct StoppedShard
{
  /// Generation of the shard's worker set.
  std::uint32_t mGeneration = 0;
  /// Time by which all runs on a worker have ended, by worker.
  std::map<std::string, TimePoint> mRunsEndAt;
};

/// Key prefixes and document formats of one platform: what operators, workers
/// and callers write, and the replies to callers. The decoders return nothing
/// and append to the faults if a document is malformed.
struct DocumentCodec
{
  /// Prefix of all items that operators write.
  std::string mOperatorsPrefix;
  std::string mConfigKey;
  /// Prefix of the keys that name the data centres under evacuation.
  std::string mEvacuationPrefix;
  /// Prefix of the workers' entries.
  std::string mDiscoveryPrefix;
  /// Header of a caller's request that carries the key of its team.
  std::string mCredentialHeader;
  std::function<std::optional<FleetConfig>(std::string_view, Faults&)>
    mDecodeConfig;
  std::function<std::optional<WorkerEntry>(std::string_view aKey,
                                           std::string_view aText,
                                           Faults&)>
    mDecodeWorker;
  std::function<std::optional<BatchSpec>(std::string_view, Faults&)> mDecodeJob;
  std::function<std::string(BatchState)> mEncodeState;
  std::function<std::string(std::uint64_t)> mEncodeWaiting;
};

/// Responses to the callers of one team.
struct TeamAnswers
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mUnauthorized = 0;
  std::uint64_t mOther = 0;
};

/// Counters and latencies for the metrics page.
struct NodeCounters
{
  /// Responses to callers by method and status, for instance "GET 200".
  std::map<std::string, std::uint64_t> mAnswers;
  /// Responses to callers by team, in a deployment with teams.
  std::map<std::string, TeamAnswers> mTeamAnswers;
  /// Store calls that this node asked a peer to make.
  std::uint64_t mRelayedCalls = 0;
  /// Shards that this node has taken over.
  std::uint64_t mTakeovers = 0;
  /// Responses to callers by latency bucket; see `LatencyBoundsMs`.
  std::vector<std::uint64_t> mLatencies;
  /// Sum of the latencies of all responses to callers, in ms.
  double mLatencySumMs = 0;
};

/// State of one node. All of it is used on the thread of `mIo` only.
struct NodeContext
{
  NodeContext(asio::io_context& aIo, NodeSettings aSettings)
    : mIo(aIo)
    , mSettings(std::move(aSettings))
    , mHttp(aIo)
  {
  }

  asio::io_context& mIo;
  NodeSettings mSettings;
  /// When this process began.
  TimePoint mStartedAt = SuspendAwareNow();
  HttpClient mHttp;
  KeyValueStore mStore;
  WorkerPort mWorkers;
  DocumentCodec mCodec;
  NodeCounters mCounters;
  StoreStats mStoreStats;

  CancellationBudget mCancellationBudget;

  /// Empty until the first configuration or evacuation is read.
  std::optional<OperatorState> mOperators;
  /// Of that configuration.
  TeamCredentials mTeamCredentials;
  /// Whatever operators had written before this time has been applied.
  TimePoint mOperatorsCompleteAt{ kNever };
  /// Revision of the configuration's item as last read, whether it could be
  /// decoded or not; 0 before.
  std::uint64_t mConfigRevision = 0;
  /// The configuration was current at this time, if that is later than
  /// `mOperatorsCompleteAt`.
  TimePoint mConfigReadAt{ kNever };
  /// Live nodes by name, this one included.
  std::map<std::string, NodeRecord> mNodes;
  /// When peers last failed to make a store call for this node, by name; only
  /// those whose last such call failed.
  std::map<std::string, TimePoint> mRelayFailedAt;
  /// Last known addresses of the nodes for calls from other nodes, by name. A
  /// node without a lease has no record, but may still answer.
  std::map<std::string, std::string> mPeerAddresses;
  /// Owners by shard number.
  std::map<std::uint32_t, ShardOwner> mOwners;
  /// Number of shards; 0 until the layout is known.
  std::uint32_t mShards = 0;
  /// Whatever was written to the system records (nodes, owners and the number
  /// of shards) before this time has been applied.
  TimePoint mSystemCompleteAt{ kNever };
  /// All system records up to this revision of the store have been applied.
  std::uint64_t mSystemRevision = 0;
  /// Empty until the record is read, or while there is none.
  NodeSizeRecord mNodeSize;
  /// Revision of that record; 0 if there is none.
  std::uint64_t mNodeSizeRevision = 0;
  /// Runners of the shards that this node owns, by shard number.
  std::map<std::uint32_t, std::shared_ptr<ShardRunner>> mRunners;

  /// Owners that this node has replaced, by shard number.
  std::map<std::uint32_t, FormerOwner> mFormerOwners;
  /// Shards that this node has run before, by shard number.
  std::map<std::uint32_t, StoppedShard> mStoppedShards;
  /// Last epoch in which this node owned each shard, by shard number.
  std::map<std::uint32_t, std::uint64_t> mLastEpochs;

  /// This node's lease in the store, if it holds one.
  std::optional<LeaseId> mLease;
  /// The store keeps the lease at least until this time.
  TimePoint mLeaseValidUntil{ kNever };
  /// True after the process was stalled, and while the node has no lease. No
  /// task is started until the lease is granted or renewed.
  bool mIsLeaseInDoubt = true;
  /// Highest revision of the store in any reply to this node.
  std::uint64_t mLatestRevision = 0;
  /// Time of the last store call whose outcome is known and not a refusal.
  TimePoint mLastStoreReplyAt{ kNever };
  /// Time of the first store call since then that was refused or whose outcome
  /// is unknown; `kNever` if the last call was answered.
  TimePoint mStoreFailedAt{ kNever };
  /// The node is shutting down.
  bool mIsStopping = false;
};

/// Suspends the calling coroutine for `aTime`.
asio::awaitable<void> Sleep(Duration aTime);

/// Returns the coroutine to run.
using CoroutineFunction = std::function<asio::awaitable<void>()>;

/// Runs a coroutine on the node's event loop. If an exception leaves it, for
/// instance because of an unexpected message, the exception is logged and the
/// coroutine is started again after a pause.
/// @param aName name of the coroutine in log lines
void SpawnWithRestart(NodeContext& aNode,
                      std::string aName,
                      CoroutineFunction aMakeCoroutine);

/// Runs a coroutine once on the node's event loop. If an exception leaves it,
/// the exception is logged and `aOnFailure` is called.
/// @param aName name of the coroutine in log lines
void SpawnOnce(NodeContext& aNode,
               std::string aName,
               CoroutineFunction aMakeCoroutine,
               std::function<void()> aOnFailure);

/// Records whether the store answered a call, and logs when the store becomes
/// unavailable or available again.
void UpdateStoreHealth(NodeContext& aNode, const KvReply& aReply);

/// True while store calls fail or go unanswered. The lease is still renewed
/// meanwhile, which shows when the store is available again.
bool IsStoreDown(const NodeContext& aNode, TimePoint aNow);

/// Address of the node for calls from other nodes, as `host:port`.
std::string PeerAddressOf(const NodeSettings& aSettings);

/// Shard of a job or of a worker. It depends only on the identifier and on the
/// number of shards.
std::uint32_t ShardOf(std::string_view aName, std::uint32_t aShards);

/// Keys of this product in the store.
constexpr const char* kSystemPrefix = "vc/sys/";
constexpr const char* kLayoutKey = "vc/sys/layout";
/// Key of the `NodeSizeRecord`.
constexpr const char* kNodeSizeKey = "vc/sys/node-size";
constexpr const char* kNodePrefix = "vc/sys/node/";
constexpr const char* kOwnerPrefix = "vc/sys/own/";
/// Key of the shard's `ShardOwnerRecord`.
std::string OwnerKey(std::uint32_t aShard);
/// Key of the shard's `WorkerSetRecord`.
std::string WorkerSetKey(std::uint32_t aShard);
/// Key of the shard's `InactiveWorkersRecord`.
std::string InactiveWorkersKey(std::uint32_t aShard);
/// Key of the shard's `IncarnationsRecord`.
std::string IncarnationsKey(std::uint32_t aShard);
/// Key of the shard's `HandOverRecord`.
std::string HandOverKey(std::uint32_t aShard);
/// Key of the shard's `CrashedTasksRecord`.
std::string CrashedTasksKey(std::uint32_t aShard);
/// Key of the shard's `SilentWorkersRecord`; it begins with that of the
/// `CrashedTasksRecord`.
std::string SilentWorkersKey(std::uint32_t aShard);
/// Prefix of the shard's inbox: jobs and cancellations, written by any node.
std::string InboxPrefix(std::uint32_t aShard);
/// Key of a job in the inbox of its shard.
std::string InboxJobKey(std::uint32_t aShard, const JobId& aJob);
/// Key of a request to cancel a job, in the inbox of its shard.
std::string CancelKey(std::uint32_t aShard, const JobId& aJob);
/// Key of an owner record in the inbox, written with each claim of the shard.
/// It is part of the inbox so that an earlier owner that still reads the inbox
/// sees the claim before any job that was added after it.
std::string InboxOwnerKey(std::uint32_t aShard);
/// Prefix of the records of the jobs' progress, written by the shard's owner.
std::string ProgressPrefix(std::uint32_t aShard);
/// Key of the progress of one job.
std::string ProgressKey(std::uint32_t aShard, const JobId& aJob);
/// Identifier of the job in a key below `aPrefix`: the rest of the key up to
/// the first dot, if there is one.
JobId JobIdFromKey(std::string_view aKey, std::string_view aPrefix);

} // namespace verbenacroft
