/// Which node claims a shard, what it may take for certain of the owner before
/// it, and when it may start tasks.

#include "vcNode.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

TEST_CASE("a node that may not start tasks names the cause", "[node]")
{
  static constexpr TimePoint kNow{ 100'000 };
  using Cause = StartsForbiddenCause;
  struct Row
  {
    const char* mName;
    std::optional<Cause> mCause;
    void (*mPrepare)(NodeContext&);
  };
  using N = NodeContext;
  const auto row = GENERATE(values<Row>({
    { "valid", std::nullopt, [](N&) {} },
    { "stopping",
      Cause::kStopping,
      [](N& aNode) { aNode.mIsStopping = true; } },
    { "no lease", Cause::kNoLease, [](N& aNode) { aNode.mLease.reset(); } },
    { "stalled",
      Cause::kLeaseInDoubt,
      [](N& aNode) { aNode.mIsLeaseInDoubt = true; } },
    { "expired while the store answers",
      Cause::kLeaseExpired,
      [](N& aNode) { aNode.mLeaseValidUntil = kNow; } },
    { "expired while the store is down",
      std::nullopt,
      [](N& aNode) {
        aNode.mLeaseValidUntil = kNow;
        aNode.mStoreFailedAt = kNow - Duration(10'000);
      } },
    { "grace period over",
      Cause::kLeaseExpired,
      [](N& aNode) {
        aNode.mLeaseValidUntil =
          kNow - DispatchBoundsOf(aNode.mSettings).mOwnerGracePeriod;
        aNode.mStoreFailedAt = kNow - Duration(10'000);
      } },
  }));
  INFO(row.mName);
  asio::io_context io;
  NodeContext node(io, {});
  node.mLease = LeaseId::Of(1);
  node.mIsLeaseInDoubt = false;
  node.mLeaseValidUntil = kNow + Duration(1);
  node.mLastStoreReplyAt = kNow;
  row.mPrepare(node);
  CHECK(WhyStartsForbidden(node, kNow) == row.mCause);
}

TEST_CASE("nodes with more processors claim every shard first", "[node]")
{
  const std::map<std::string, NodeRecord> nodes{
    { "small-1", { "127.0.0.1:1", "north", 0.12 } },
    { "small-2", { "127.0.0.1:2", "north", 0.12 } },
    { "large-1", { "127.0.0.1:3", "south", 0.5 } },
    { "large-2", { "127.0.0.1:4", "south", 0.5 } },
  };
  const auto shard = GENERATE(range(0U, 8U));
  std::set<std::uint32_t> ranks;
  for (const auto& [name, record] : nodes) {
    const std::uint32_t rank = ClaimRank(nodes, name, shard);
    ranks.insert(rank);
    CHECK((rank < 2) == (record.mProcessors > 0.3));
  }
  CHECK(ranks.size() == nodes.size());
}

// Guards against a small node that owns a shard because the store forgot the
// larger nodes' records.
TEST_CASE("a small node claims once larger nodes had time for a lease",
          "[node]")
{
  constexpr Duration kTtl{ 1'500 };
  const TimePoint held{ 100'000 };
  const TimePoint complete = held + LeaseRecoveryTime(kTtl);
  struct Row
  {
    ClaimStanding mStanding;
    TimePoint mEarliest;
  };
  const TimePoint before = held - Duration(5'000);
  const TimePoint after = complete + Duration(5'000);
  const auto row = GENERATE_COPY(values<Row>({
    // The rank and the shards owned count, whenever the lease was granted.
    { { 0, 0, false, held, held }, held },
    { { 0, 0, false, before, held }, before },
    { { 2, 0, false, held, held }, held + Duration(400) },
    { { 2, 3, false, after, held }, after + Duration(580) },
    // A small node waits, even if the shard had no owner for long.
    { { 0, 0, true, held, held }, complete },
    { { 0, 0, true, before, held }, complete },
    // Its rank counts from then on, by a table that is complete.
    { { 2, 1, true, held, held }, complete + Duration(460) },
    // With a lease held for long it claims as the others do.
    { { 0, 0, true, after, held }, after },
    { { 1, 2, true, after, held }, after + Duration(320) },
  }));
  CHECK(EarliestClaim(row.mStanding, kTtl) == row.mEarliest);
}

// Guards against a wait that ends before the larger nodes are back.
TEST_CASE("a small node's wait outlasts the calls for a new lease", "[node]")
{
  const auto ttl = GENERATE(
    values<Duration>({ Duration(1'500), Duration(3'000), Duration(10'000) }));
  // A commit that is never answered, or the pause before the next renewal.
  const Duration longest = std::max(Duration(1'500), ttl / 3);
  const Duration pauses(300);
  CHECK(LeaseRecoveryTime(ttl) > longest + pauses);
}

// Guards against a key that programs of an earlier release can't decode.
TEST_CASE("the record of the layout has one key", "[node]")
{
  LayoutRecord layout;
  layout.mShards = 3;
  CHECK(Encode(layout) == R"({"shards":3})");
  CHECK(TryDecode<LayoutRecord>(R"({"shards":3})")->mShards == 3);
  CHECK_FALSE(TryDecode<LayoutRecord>(R"({"shards":3,"other":1})"));
}

TEST_CASE("the record of the nodes' size keeps fractions", "[node]")
{
  const auto size = GENERATE(0.12, 0.5, 1.0, 16.0);
  const auto read = TryDecode<NodeSizeRecord>(Encode(NodeSizeRecord{ size }));
  REQUIRE(read);
  CHECK(read->mMostProcessors == size);
}

TEST_CASE("only an owner that can't act any more shortens the barrier",
          "[node]")
{
  struct Row
  {
    const char* mEarlierOwner;
    bool mIsSettled;
    bool mHasStopped;
  };
  const auto row = GENERATE(values<Row>({
    // Handed over, or an earlier life of the claimant.
    { "", true, true },
    { "node-1", true, true },
    // Another node, that may only be cut off.
    { "node-2", true, false },
    // Owners before it may still act.
    { "", false, false },
    { "node-1", false, false },
  }));
  WorkerSetRecord earlier;
  earlier.mGeneration = 4;
  earlier.mWorkers = { { "w1", "127.0.0.1:9000" } };
  earlier.mOwner = row.mEarlierOwner;
  earlier.mIsSettled = row.mIsSettled;
  const WorkerSetRecord crew = NextWorkerSet(earlier, "node-1");
  CHECK(crew.mHasEarlierStopped == row.mHasStopped);
  CHECK(crew.mOwner == "node-1");
  CHECK_FALSE(crew.mIsSettled);
  CHECK(crew.mGeneration == 5);
  CHECK(crew.mWorkers.size() == 1);
}

TEST_CASE("a fleet is up once it has stopped to grow, or after a while",
          "[node]")
{
  struct Row
  {
    std::vector<std::uint32_t> mCounts;
    bool mIsUp;
  };
  // Counts of every half second.
  const auto row = GENERATE(
    values<Row>({ { { 61 }, false },
                  { { 61, 200, 340 }, false },
                  { { 61, 200, 340, 350, 350, 350 }, true },
                  { { 10, 20, 30, 40, 50, 60, 70, 80, 90 }, false },
                  { { 10, 20, 30, 40, 50, 60, 70, 80, 90, 100 }, true } }));
  FleetSizeTracker count;
  TimePoint now{ 10'000 };
  bool isUp = false;
  for (const auto workers : row.mCounts) {
    isUp = IsFleetSizeStable(count, workers, now);
    now += Duration(500);
  }
  CHECK(isUp == row.mIsUp);
}

// Guards against tasks that wait beside room (LOST): a small node, whose link
// carries few workers, cut the fleet into shards that can't use each other's.
TEST_CASE("the largest nodes decide how many shards there are",
          "[membership][layout]")
{
  struct Row
  {
    const char* mName;
    bool mIsLargerKnown;
    Duration mCountedFor;
    bool mMayDecide;
  };
  const auto row = GENERATE(values<Row>({
    { "it is the largest", false, Duration(0), true },
    { "a larger one may decide", true, Duration(1'500), false },
    { "all stop to wait for more workers", true, Duration(4'500), false },
    { "the larger one counts a little later", true, Duration(6'000), false },
    { "the larger one doesn't decide", true, Duration(6'500), true },
  }));
  CAPTURE(row.mName);
  constexpr double kSmall = 0.12;
  constexpr double kLarge = 0.5;
  constexpr TimePoint kFirstCountAt{ 10'000 };
  asio::io_context io;
  NodeContext node(io, {});
  node.mSettings.mName = "small";
  node.mSettings.mProcessors = kSmall;
  node.mNodes["small"] = { "127.0.0.1:1", "north", kSmall };
  if (row.mIsLargerKnown) {
    node.mNodes["large"] = { "127.0.0.1:2", "north", kLarge };
  }
  FleetSizeTracker tracker;
  tracker.mFirstCountAt = kFirstCountAt;
  const TimePoint now = kFirstCountAt + row.mCountedFor;
  CHECK(MayDecideLayout(node, tracker, now) == row.mMayDecide);
}

} // namespace verbenacroft
