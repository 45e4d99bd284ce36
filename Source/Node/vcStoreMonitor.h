#pragma once

/// Counts, times and logs the calls to the key-value service, whichever service
/// implements it.

#include "vcKeyValue.h"

#include <array>

namespace verbenacroft {

/// Kind of a call to the key-value service.
enum class KvCall
{
  kRead,
  kRange,
  kWatch,
  kCommit,
  kGrant,
  kRenew,
  kRevoke,
};

template<>
struct EnumTable<KvCall>
{
  static constexpr auto kRows = std::to_array<NameRow<KvCall>>({
    { KvCall::kRead, "read" },
    { KvCall::kRange, "range" },
    { KvCall::kWatch, "watch" },
    { KvCall::kCommit, "commit" },
    { KvCall::kGrant, "grant" },
    { KvCall::kRenew, "renew" },
    { KvCall::kRevoke, "revoke" },
  });
};

/// Statistics of all calls of one kind since the start of the process.
struct KvCallStats
{
  /// Number of finished calls, indexed by `KvStatus`.
  std::array<std::uint64_t, EnumTable<KvStatus>::kRows.size()> mOutcomes{};
  /// Number of finished calls by duration; see `LatencyBoundsMs`.
  std::vector<std::uint64_t> mLatencies;
  /// Sum of the durations, in ms.
  double mLatencySumMs = 0;
};

/// Statistics by kind of call, indexed by `KvCall`.
using StoreStats = std::array<KvCallStats, EnumTable<KvCall>::kRows.size()>;

/// Wraps the functions of a store. Each call is counted and timed in `aStats`,
/// and logged as `store.call` if it failed or was slow. A rejected call is also
/// logged as the error `store.rejected`. `aStats` has to outlive the returned
/// store.
KeyValueStore MonitorStore(KeyValueStore aStore, StoreStats& aStats);

} // namespace verbenacroft
