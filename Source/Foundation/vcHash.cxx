#include "vcHash.h"

#include <cstddef>

#include <xxhash.h>

namespace verbenacroft {

std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t RendezvousWeight(std::string_view aKey,
                               std::string_view aCandidate)
{
  return StableHash(aCandidate, StableHash(aKey));
}

bool SecretsEqual(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^
                  static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

} // namespace verbenacroft
