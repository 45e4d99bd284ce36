#pragma once

/// State of a job according to the store. Internal to the Node library.

#include "vcNodeContext.h"

namespace verbenacroft {

/// State of a job according to the store.
struct StoredJob
{
  /// False if the store could not be read.
  bool mIsRead = false;
  /// The store has the job's record or its progress.
  bool mIsKnown = false;
  BatchState mState = BatchState::kQueued;
  /// Revision of the job's record in the inbox; 0 once the job has ended.
  std::uint64_t mRevision = 0;
  /// Team that the job belongs to, as long as it hasn't ended.
  std::string mTeam;
};

/// Reads the job's record and its progress.
asio::awaitable<StoredJob> ReadJob(NodeContext& aNode, JobId aJob);

} // namespace verbenacroft
