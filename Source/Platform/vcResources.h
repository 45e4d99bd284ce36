#pragma once

/// Resource vectors: the capacity of an instance or the demand of a task.

#include "vcFoundation.h"

#include <cstdint>

namespace verbenacroft {

/// Amount of each resource.
struct Resources
{
  /// Processor time in thousandths of a processor.
  std::int64_t mMilliCpu = 0;
  /// Memory in megabytes.
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
  /// Request slots of a service; each connection is bound to a slot.
  std::int64_t mSlots = 0;

  bool operator==(const Resources&) const = default;
};
BOOST_DESCRIBE_STRUCT(Resources,
                      (),
                      (mMilliCpu, mMemoryMb, mAccelerators, mSlots))

/// Sums and differences are taken in each dimension and may be negative.
Resources operator+(const Resources& aLeft, const Resources& aRight);
Resources operator-(const Resources& aLeft, const Resources& aRight);
Resources& operator+=(Resources& aLeft, const Resources& aRight);
Resources& operator-=(Resources& aLeft, const Resources& aRight);

/// True if `aPart` does not exceed `aWhole` in any dimension.
bool Fits(const Resources& aPart, const Resources& aWhole);

/// Elementwise maximum.
Resources ElementwiseMax(const Resources& aLeft, const Resources& aRight);

/// Dominant share: the largest fraction of `aWhole` that `aPart` uses in any
/// dimension. A dimension that `aWhole` lacks counts as 1 if `aPart` needs it
/// and as 0 otherwise.
double DominantShare(const Resources& aPart, const Resources& aWhole);

/// Text form for messages, such as
/// "4000m cpu, 512 MB, 1 accelerators, 2 slots".
std::string Describe(const Resources& aResources);

} // namespace verbenacroft
