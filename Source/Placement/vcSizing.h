#pragma once

/// Declared sizes corrected by reported use, and run times by past runs.

#include "vcResources.h"

#include <map>
#include <string>

namespace verbenacroft {

/// What is known of the tasks of one service or job.
struct SizeEstimate
{
  double mMeanMilliCpu = 0;
  double mDeviationMilliCpu = 0;
  double mPeakMemoryMb = 0;
  std::int64_t mReports = 0;
};

struct SizingModel
{
  std::map<std::string, SizeEstimate> mOwners;
};

/// Takes one report of a task's use.
void LearnSize(SizingModel& aModel,
               const std::string& aOwner,
               const Resources& aUsage);

/// Size to commit for a task declared as `aDeclared`: what was seen with a
/// margin once enough reports are in, and the declaration before. It is
/// never below a fixed part of the declaration, and accelerators and slots
/// are taken as declared.
Resources CorrectedSize(const SizingModel& aModel,
                        const std::string& aOwner,
                        const Resources& aDeclared,
                        const Resources& aLargest);

} // namespace verbenacroft
