#pragma once

/// Stable hashing: equal on every instance and in every version.

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenacroft {

/// 64-bit hash of `aText`.
std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/// Weight of `aCandidate` for `aKey` in rendezvous hashing; the highest wins.
std::uint64_t RendezvousWeight(std::string_view aKey,
                               std::string_view aCandidate);

/// Compares two secrets in time that depends on their lengths only.
bool SecretsEqual(std::string_view aLeft, std::string_view aRight);

} // namespace verbenacroft
