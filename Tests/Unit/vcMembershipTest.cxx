/// Which node claims a shard, and what it may take for certain of the owner
/// before it.

#include "vcNode.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

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

} // namespace verbenacroft
