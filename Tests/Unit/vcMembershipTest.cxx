/// Which node claims a shard.

#include "vcMembership.h"

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

} // namespace verbenacroft
