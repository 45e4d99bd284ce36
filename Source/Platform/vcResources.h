#pragma once

/// Amounts of what an instance offers and a task takes.

#include "vcFoundation.h"

#include <cstdint>

namespace verbenacroft {

struct Resources
{
  /// Thousandths of a processor.
  std::int64_t mMilliCpu = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
  /// Request slots of a service; connections are bound to them.
  std::int64_t mSlots = 0;

  bool operator==(const Resources&) const = default;
};
BOOST_DESCRIBE_STRUCT(Resources,
                      (),
                      (mMilliCpu, mMemoryMb, mAccelerators, mSlots))

Resources operator+(const Resources& aLeft, const Resources& aRight);
Resources operator-(const Resources& aLeft, const Resources& aRight);
Resources& operator+=(Resources& aLeft, const Resources& aRight);
Resources& operator-=(Resources& aLeft, const Resources& aRight);

/// True if `aPart` is at most `aWhole` in every dimension.
bool Fits(const Resources& aPart, const Resources& aWhole);

/// Larger of the two in each dimension.
Resources Largest(const Resources& aLeft, const Resources& aRight);

/// Largest share of `aWhole` that `aPart` takes in any dimension.
double DominantShare(const Resources& aPart, const Resources& aWhole);

/// "4000m cpu, 512 MB, 1 accelerators, 2 slots".
std::string Describe(const Resources& aResources);

} // namespace verbenacroft
