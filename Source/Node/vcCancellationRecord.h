#pragma once

/// Record of a cancellation in the inbox of a job's shard. One that stands
/// without its job voids every submission of the job: a submission is stored on
/// the condition that there is none. So a caller who was told that a job
/// doesn't exist can rely on it, even if a submission without an answer is
/// carried out later. The owner of the shard removes such a record once no
/// submission can be late any more. Internal to the Node library.

#include "vcBatch.h"

namespace verbenacroft {

/// A cancellation of a job.
struct CancellationRecord
{
  /// Team of the caller who cancelled; empty in a deployment without teams.
  std::string mTeam;
};
BOOST_DESCRIBE_STRUCT(CancellationRecord, (), (mTeam))

} // namespace verbenacroft
