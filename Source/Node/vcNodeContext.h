#pragma once

/// What the parts of a node share: its settings, its connections, and what
/// it knows of operators, other nodes and owners.

#include "vcFleetConfig.h"
#include "vcKeyValue.h"
#include "vcNodeSettings.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <map>
#include <memory>

namespace verbenacroft {

class ShardRunner;

/// How long the event loop may sleep before it looks at a timer. A manual
/// clock may jump at any time, so it is looked at in every round.
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

using NodeTimer = asio::basic_waitable_timer<SuspendAwareClock, NodeTimerWait>;

/// Record of a node under its lease.
struct NodeRecord
{
  std::string mPeerAddress;
  std::string mDataCentre;
  double mProcessors = 1;
};
BOOST_DESCRIBE_STRUCT(NodeRecord, (), (mPeerAddress, mDataCentre, mProcessors))

/// Record of a shard's owner under the owner's lease.
struct ShardOwnerRecord
{
  std::string mNode;
  std::string mPeerAddress;
};
BOOST_DESCRIBE_STRUCT(ShardOwnerRecord, (), (mNode, mPeerAddress))

/// How the deployment is divided; written once.
struct LayoutRecord
{
  std::uint32_t mShards = 0;
};
BOOST_DESCRIBE_STRUCT(LayoutRecord, (), (mShards))

/// A shard's owner as the store shows it.
struct ShardOwner
{
  ShardOwnerRecord mRecord;
  std::uint64_t mEpoch = 0;
  /// A record without a lease outlives its node and counts for nothing.
  std::optional<LeaseId> mLease;
};

/// Reads and writes what a worker says in the words of one platform.
struct DocumentCodec
{
  std::string mOperatorsPrefix;
  std::string mConfigKey;
  std::string mEvacuationPrefix;
  std::string mDiscoveryPrefix;
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

/// Counts and latencies that the metrics page shows.
struct NodeCounters
{
  std::map<std::string, std::uint64_t> mAnswers;
  std::uint64_t mRelayed = 0;
  std::uint64_t mTakeovers = 0;
  /// Answers to callers by latency bucket; see kLatencyBoundsMs.
  std::vector<std::uint64_t> mLatencies;
  double mLatencySumMs = 0;
};

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
  HttpClient mHttp;
  KeyValueStore mStore;
  WorkerPort mWorkers;
  DocumentCodec mCodec;
  NodeCounters mCounters;

  /// Empty until the first configuration is read.
  std::optional<OperatorState> mOperators;
  std::map<std::string, NodeRecord> mNodes;
  std::map<std::uint32_t, ShardOwner> mOwners;
  std::uint32_t mShards = 0;
  std::map<std::uint32_t, std::shared_ptr<ShardRunner>> mRunners;

  /// Last epoch of each shard that this node has owned.
  std::map<std::uint32_t, std::uint64_t> mLastEpochs;

  /// This node's lease in the store.
  std::optional<LeaseId> mLease;
  /// The store holds the lease at least until then.
  TimePoint mLeaseValidUntil{ kNever };
  /// The process stood still; nothing starts before a renewal succeeds.
  bool mIsLeaseInDoubt = true;
  /// Last answer of the store to any call.
  TimePoint mStoreHeardAt{ kNever };
  /// The store's last call failed and none has succeeded since then.
  TimePoint mStoreFailedAt{ kNever };
  bool mIsStopping = false;
};

/// Pauses the calling coroutine.
asio::awaitable<void> Sleep(Duration aTime);

using Loop = std::function<asio::awaitable<void>()>;

/// Runs a loop for as long as the node lives. An error that leaves it, say
/// of a message that nobody foresaw, is logged, and the loop begins anew.
void RunGuarded(NodeContext& aNode, std::string aName, Loop aLoop);

/// Runs a coroutine once. An error that leaves it is logged and passed on.
void SpawnGuarded(NodeContext& aNode,
                  std::string aName,
                  Loop aLoop,
                  std::function<void()> aOnFailure);

/// Notes whether the store answered, with a line when that changes.
void NoteStoreReply(NodeContext& aNode, const KvReply& aReply);

/// True while the store is known not to answer. Renewals of the lease go on
/// and show when it is back.
bool IsStoreDown(const NodeContext& aNode, TimePoint aNow);

std::string PeerAddressOf(const NodeSettings& aSettings);

/// Shard of a job or of a worker, by its identifier alone.
std::uint32_t ShardOf(std::string_view aName, std::uint32_t aShards);

/// Keys of this product in the store.
constexpr const char* kSystemPrefix = "vc/sys/";
constexpr const char* kLayoutKey = "vc/sys/layout";
constexpr const char* kNodePrefix = "vc/sys/node/";
constexpr const char* kOwnerPrefix = "vc/sys/own/";
std::string OwnerKey(std::uint32_t aShard);
/// The shard's workers, for the next owner.
std::string CrewKey(std::uint32_t aShard);
/// Jobs and cancellations, written by any node.
std::string InboxPrefix(std::uint32_t aShard);
std::string InboxJobKey(std::uint32_t aShard, const JobId& aJob);
std::string CancelKey(std::uint32_t aShard, const JobId& aJob);
/// Written with each claim of the shard. It stands in the inbox, so that an
/// earlier owner that still reads the inbox learns of the claim before it
/// learns of any job that came after it.
std::string InboxOwnerKey(std::uint32_t aShard);
/// Progress, written by the owner.
std::string ProgressPrefix(std::uint32_t aShard);
std::string ProgressKey(std::uint32_t aShard, const JobId& aJob);
/// The job that a key below `aPrefix` is about; a dot may follow it.
JobId JobInKey(std::string_view aKey, std::string_view aPrefix);

} // namespace verbenacroft
