#include "vcResources.h"

#include <algorithm>

namespace verbenacroft {

Resources operator+(const Resources& aLeft, const Resources& aRight)
{
  Resources sum = aLeft;
  sum += aRight;
  return sum;
}

Resources operator-(const Resources& aLeft, const Resources& aRight)
{
  Resources difference = aLeft;
  difference -= aRight;
  return difference;
}

Resources& operator+=(Resources& aLeft, const Resources& aRight)
{
  aLeft.mMilliCpu += aRight.mMilliCpu;
  aLeft.mMemoryMb += aRight.mMemoryMb;
  aLeft.mAccelerators += aRight.mAccelerators;
  aLeft.mSlots += aRight.mSlots;
  return aLeft;
}

Resources& operator-=(Resources& aLeft, const Resources& aRight)
{
  aLeft.mMilliCpu -= aRight.mMilliCpu;
  aLeft.mMemoryMb -= aRight.mMemoryMb;
  aLeft.mAccelerators -= aRight.mAccelerators;
  aLeft.mSlots -= aRight.mSlots;
  return aLeft;
}

bool Fits(const Resources& aPart, const Resources& aWhole)
{
  return aPart.mMilliCpu <= aWhole.mMilliCpu &&
         aPart.mMemoryMb <= aWhole.mMemoryMb &&
         aPart.mAccelerators <= aWhole.mAccelerators &&
         aPart.mSlots <= aWhole.mSlots;
}

Resources ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  Resources result;
  result.mMilliCpu = std::max(aLeft.mMilliCpu, aRight.mMilliCpu);
  result.mMemoryMb = std::max(aLeft.mMemoryMb, aRight.mMemoryMb);
  result.mAccelerators = std::max(aLeft.mAccelerators, aRight.mAccelerators);
  result.mSlots = std::max(aLeft.mSlots, aRight.mSlots);
  return result;
}

namespace {

/// Fraction of `aWhole` that `aPart` uses.
double Fraction(std::int64_t aPart, std::int64_t aWhole)
{
  if (aWhole <= 0) {
    return aPart > 0 ? 1.0 : 0.0;
  }
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

double DominantShare(const Resources& aPart, const Resources& aWhole)
{
  return std::max({ Fraction(aPart.mMilliCpu, aWhole.mMilliCpu),
                    Fraction(aPart.mMemoryMb, aWhole.mMemoryMb),
                    Fraction(aPart.mAccelerators, aWhole.mAccelerators),
                    Fraction(aPart.mSlots, aWhole.mSlots) });
}

std::string Describe(const Resources& aResources)
{
  return std::to_string(aResources.mMilliCpu) + "m cpu, " +
         std::to_string(aResources.mMemoryMb) + " MB, " +
         std::to_string(aResources.mAccelerators) + " accelerators, " +
         std::to_string(aResources.mSlots) + " slots";
}

} // namespace verbenacroft
