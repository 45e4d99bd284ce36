/// From when a new owner counts the wait for workers that don't answer it: the
/// end of the ownership before, not its own claim.

#include "vcFleetStore.h"

#include "vcMembership.h"
#include "vcShardClaims.h"
#include "vcShardRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

namespace verbenacroft {

namespace {

constexpr TimePoint kBegin{ 1'000'000 };
constexpr Duration kStep{ 5 };
constexpr std::uint32_t kGeneration = 4;
constexpr Duration kLongLease{ 60'000 };

/// A node that joins a fleet whose only shard has lost its owner, on a clock of
/// the test's own. The shard's only worker, `w1`, doesn't answer at first.
struct ClaimFixture
{
  ClaimFixture()
  {
    UseManualTime(this->mNow);
    this->mNode.emplace(this->mIo, NodeSettings{});
    this->mNode->mSettings.mName = "node-1";
    this->mNode->mSettings.mInternalIp = "127.0.0.1";
    this->mNode->mSettings.mInternalPorts = { 1, 2 };
    this->mNode->mOperators.emplace();
    this->mNode->mCodec.mDiscoveryPrefix = "servers/";
    this->mNode->mCodec.mDecodeWorker =
      [](std::string_view, std::string_view, Faults&) {
        WorkerEntry entry;
        entry.mWorker = "w1";
        entry.mService = "pool";
        entry.mAddress = "127.0.0.1:9000";
        return std::optional(entry);
      };
    this->mNode->mStore = MakeMemoryStore(this->mStore, "node-1");
    this->mNode->mWorkers.mRenew =
      [this](const WorkerAddress&,
             RenewOrder aOrder) -> asio::awaitable<WorkerReport> {
      this->NoteLease(aOrder);
      co_await Sleep(Duration(100));
      WorkerReport report;
      if (this->mIsAnswering) {
        report.mOutcome = OrderOutcome::kDone;
        report.mClock = this->WorkerClock();
        report.mIncarnation = 1;
      }
      co_return report;
    };
    this->Put(kLayoutKey, Encode(LayoutRecord{ 1 }));
    this->Put("servers/w1", "{}");
  }
  ~ClaimFixture()
  {
    this->mNode->mRunners.clear();
    UseManualTime(std::nullopt);
  }
  ClaimFixture(const ClaimFixture&) = delete;
  ClaimFixture& operator=(const ClaimFixture&) = delete;

  void Put(const std::string& aKey, std::string aValue)
  {
    KvTransaction write;
    write.mPuts.push_back(PersistentPut(aKey, std::move(aValue)));
    CommitNow(this->mStore, write);
  }

  /// Adds the records that an owner leaves.
  static void AddRecords(KvTransaction& aWrite,
                         const std::string& aOwner,
                         bool aIsSettled)
  {
    WorkerSetRecord workerSet;
    workerSet.mGeneration = kGeneration;
    workerSet.mWorkers = { { "w1", "127.0.0.1:9000" } };
    workerSet.mOwner = aOwner;
    workerSet.mIsSettled = aIsSettled;
    InactiveWorkersRecord inactive;
    inactive.mGeneration = kGeneration;
    inactive.mLeaseLimitMs = DispatchBounds{}.mLeaseLimit.count();
    AddWorkerSet(aWrite, 0, workerSet, inactive);
  }

  void PutRecords(const std::string& aOwner, bool aIsSettled)
  {
    KvTransaction write;
    AddRecords(write, aOwner, aIsSettled);
    CommitNow(this->mStore, write);
  }

  /// Claims the shard for a node under the lease `aLease`, which lasts.
  void PutOwner(const std::string& aName, std::uint64_t aLease)
  {
    this->PutOwnerRecord(aName, Encode(ShardOwnerRecord{ aName, "" }), aLease);
  }

  void PutOwnerRecord(const std::string& aName,
                      std::string aRecord,
                      std::uint64_t aLease)
  {
    this->mStore.mLeases[aLease] = { kLongLease, this->mNow + kLongLease };
    KvTransaction write;
    write.mPuts.push_back(
      LeasedPut(OwnerKey(0), std::move(aRecord), *LeaseId::Of(aLease)));
    AddRecords(write, aName, false);
    CommitNow(this->mStore, write);
  }

  /// From now on the replies to reads of the owner's record are slow.
  void DelayOwnerReads(Duration aDelay)
  {
    auto& read = this->mNode->mStore.mRead;
    read = [fast = read, aDelay](std::string aKey) -> asio::awaitable<KvReply> {
      const Duration delay = aKey == OwnerKey(0) ? aDelay : Duration(0);
      KvReply reply = co_await fast(std::move(aKey));
      co_await Sleep(delay);
      co_return reply;
    };
  }

  /// The worker's clock is as slow as one may be.
  std::int64_t WorkerClock() const
  {
    return static_cast<std::int64_t>(
      std::floor(static_cast<double>(this->mNow.count()) * kMinClockRate));
  }

  /// Notes until when a renewal lets runs last on the worker.
  void NoteLease(const RenewOrder& aOrder)
  {
    const double endAt =
      static_cast<double>(aOrder.mLeaseUntil) / kMinClockRate;
    this->mLeasedUntil =
      std::max(this->mLeasedUntil,
               TimePoint(static_cast<std::int64_t>(std::floor(endAt))));
  }

  void StartNode()
  {
    NodeContext& node = *this->mNode;
    node.mStartedAt = this->mNow;
    SpawnWithRestart(
      node, "system", [&node] { return WatchSystemRecords(node); });
    SpawnWithRestart(node, "claims", [&node] { return ClaimShards(node); });
  }

  void GetLease()
  {
    NodeContext& node = *this->mNode;
    SpawnWithRestart(node, "lease", [&node] { return KeepLease(node); });
  }

  void Run(Duration aTime)
  {
    const TimePoint until = this->mNow + aTime;
    while (this->mNow < until) {
      this->mNow += kStep;
      UseManualTime(this->mNow);
      Advance(this->mStore, this->mNow);
      this->mIo.restart();
      this->mIo.poll();
    }
  }

  /// Time from the node's start by which runs on the worker have ended.
  Duration RunsEndIn() const
  {
    const DispatchShard& shard = this->mNode->mRunners.at(0)->State();
    return shard.mUnansweredWorkers.at("w1").mRunsEndAt -
           this->mNode->mStartedAt;
  }

  TimePoint mNow = kBegin;
  bool mIsAnswering = false;
  TimePoint mLeasedUntil{ 0 };
  MemoryStore mStore;
  asio::io_context mIo{ 1 };
  std::optional<NodeContext> mNode;
};

/// Time without an owner, for example since no node has a lease.
constexpr Duration kUnowned{ 3'000 };
/// Until the node has read the records, or has claimed the shard.
constexpr Duration kStoreCalls{ 200 };

} // namespace

// Guards against lost tasks that wait for as long again as the shard has had no
// owner, and against two runs of one that an owner in between has renewed.
TEST_CASE("the wait for a lost worker counts from the end of the ownership",
          "[claims]")
{
  struct Row
  {
    const char* mName;
    const char* mOwner;
    bool mIsSettled;
    bool mIsClaimedInBetween;
    Duration mLeast;
    Duration mMost;
  };
  const Duration limit = DispatchBounds{}.mLeaseLimit;
  const Duration longest = LongestLease(DispatchBounds{});
  const auto row = GENERATE_COPY(values<Row>({
    { "another node owned it",
      "node-2",
      true,
      false,
      limit,
      limit + kStoreCalls },
    { "another node, which hadn't settled",
      "node-2",
      false,
      false,
      limit,
      limit + kStoreCalls },
    { "an owner came and went unseen",
      "node-2",
      true,
      true,
      kUnowned + limit,
      kUnowned + limit + kStoreCalls },
    { "an earlier process of the node owned it",
      "node-1",
      true,
      false,
      longest,
      longest },
    { "an earlier process of the node, which hadn't settled",
      "node-1",
      false,
      false,
      limit,
      limit + kStoreCalls },
  }));
  CAPTURE(row.mName);
  ClaimFixture fixture;
  fixture.PutRecords(row.mOwner, row.mIsSettled);
  fixture.StartNode();
  fixture.Run(kUnowned);
  if (row.mIsClaimedInBetween) {
    fixture.PutRecords(row.mOwner, row.mIsSettled);
  }
  fixture.GetLease();
  fixture.Run(kStoreCalls);
  REQUIRE(fixture.mNode->mRunners.contains(0));
  CHECK(fixture.RunsEndIn() >= row.mLeast);
  CHECK(fixture.RunsEndIn() <= row.mMost);
}

// Guards against tasks that are started again without a question to the worker
// that may list them as done, when the claim comes long after the leases.
TEST_CASE("a worker that may be well is asked however late the claim comes",
          "[claims]")
{
  ClaimFixture fixture;
  fixture.PutRecords("node-2", true);
  fixture.StartNode();
  fixture.Run(Duration(20'000));
  const TimePoint claimedAt = fixture.mNow;
  fixture.GetLease();
  fixture.Run(kStoreCalls);
  REQUIRE(fixture.mNode->mRunners.contains(0));
  const DispatchShard& shard = fixture.mNode->mRunners.at(0)->State();
  CHECK(shard.mUnansweredWorkers.at("w1").mRunsEndAt < claimedAt);
  CHECK_FALSE(IsBarrierClear(shard, claimedAt + kUnheardEndsWait));
}

// Guards against a former owner that isn't asked, and a wait that counts from
// the claim, since the reply to the claim was lost.
TEST_CASE("the former owner is known though the claim's reply was lost",
          "[claims]")
{
  ClaimFixture fixture;
  fixture.PutRecords("node-2", true);
  fixture.StartNode();
  fixture.Run(kUnowned);
  fixture.GetLease();
  // Until the node has its lease and its record.
  fixture.Run(Duration(20));
  fixture.mStore.mLostShare = 1;
  fixture.Run(Duration(3'000));
  fixture.mStore.mLostShare = 0;
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.mNode->mRunners.contains(0));
  REQUIRE(fixture.mNode->mFormerOwners.contains(0));
  CHECK(fixture.mNode->mFormerOwners.at(0).mNode == "node-2");
  CHECK(fixture.RunsEndIn() <= DispatchBounds{}.mLeaseLimit + kStoreCalls);
}

// Guards against two runs of a task: a node that claims its own shard again has
// renewed the worker until it noticed that its lease was lost.
TEST_CASE("the wait counts from the end of the node's own earlier ownership",
          "[claims]")
{
  // Between two renewals of the lease.
  const Duration phase =
    GENERATE(Duration(0), Duration(120), Duration(240), Duration(360));
  CAPTURE(phase.count());
  ClaimFixture fixture;
  fixture.mIsAnswering = true;
  fixture.PutRecords("node-1", true);
  fixture.StartNode();
  fixture.GetLease();
  fixture.Run(Duration(3'000) + phase);
  REQUIRE(fixture.mNode->mRunners.contains(0));
  const std::shared_ptr<ShardRunner> first = fixture.mNode->mRunners.at(0);
  REQUIRE(IsBarrierClear(first->State(), fixture.mNow));
  ForgetLeases(fixture.mStore);
  while (!first->IsStopped()) {
    fixture.Run(kStep);
  }
  fixture.mIsAnswering = false;
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.mNode->mRunners.contains(0));
  REQUIRE(fixture.mNode->mRunners.at(0) != first);
  const DispatchShard& shard = fixture.mNode->mRunners.at(0)->State();
  CHECK(shard.mUnansweredWorkers.at("w1").mRunsEndAt >= fixture.mLeasedUntil);
}

// Guards against two runs of a task: a slow reply from before a claim drops the
// new owner from the table, and the wait counts from then.
TEST_CASE("the wait doesn't count from a reply older than the owner",
          "[claims]")
{
  ClaimFixture fixture;
  fixture.Put(kNodeSizeKey, Encode(NodeSizeRecord{ 64 }));
  fixture.PutOwner("node-1", 901);
  fixture.DelayOwnerReads(Duration(500));
  fixture.StartNode();
  fixture.GetLease();
  // The node revokes the lease of its earlier process and reads the record.
  while (fixture.mStore.mItems.contains(OwnerKey(0))) {
    fixture.Run(kStep);
  }
  fixture.Run(Duration(50));
  fixture.PutOwner("node-2", 902);
  fixture.Run(Duration(1'500));
  REQUIRE(fixture.mStore.mItems.contains(OwnerKey(0)));
  ForgetLeaseOf(fixture.mStore, OwnerKey(0));
  const TimePoint endedAt = fixture.mNow;
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.mNode->mRunners.contains(0));
  const DispatchShard& shard = fixture.mNode->mRunners.at(0)->State();
  CHECK(shard.mUnansweredWorkers.at("w1").mRunsEndAt >=
        endedAt + DispatchBounds{}.mLeaseLimit);
}

// Guards against two runs of a task: an owner whose record another release has
// written in its own way isn't noticed, and the wait counts from its claim.
TEST_CASE("the wait doesn't count from an owner's unreadable record",
          "[claims]")
{
  ClaimFixture fixture;
  fixture.PutOwnerRecord("node-2", "[]", 902);
  fixture.StartNode();
  fixture.GetLease();
  fixture.Run(Duration(3'000));
  REQUIRE(fixture.mNode->mRunners.empty());
  ForgetLeaseOf(fixture.mStore, OwnerKey(0));
  const TimePoint endedAt = fixture.mNow;
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.mNode->mRunners.contains(0));
  const DispatchShard& shard = fixture.mNode->mRunners.at(0)->State();
  CHECK(shard.mUnansweredWorkers.at("w1").mRunsEndAt >=
        endedAt + DispatchBounds{}.mLeaseLimit);
}

} // namespace verbenacroft
