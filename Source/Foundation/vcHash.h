#pragma once

/// Stable hashing, which gives the same values on every instance and in every
/// version, and the comparison of secrets.

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenacroft {

/// 64-bit hash (XXH64) of `aText`.
std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/// Weight of `aCandidate` for `aKey` in rendezvous hashing. The candidate with
/// the highest weight is chosen for the key.
std::uint64_t RendezvousWeight(std::string_view aKey,
                               std::string_view aCandidate);

/// Compares two secrets. The time taken depends only on their lengths, so that
/// it does not reveal how many leading characters match.
bool SecretsEqual(std::string_view aLeft, std::string_view aRight);

} // namespace verbenacroft
