#pragma once

/// What an owner that hands a shard over leaves in the store for the next one:
/// how long runs may last on each worker, and which long-running tasks don't
/// run. It has stopped for good, and nobody can ask it afterwards. Without this
/// record the next owner would have to assume the longest leases, so the wait
/// for workers that are lost would begin anew with each owner that leaves.

#include "vcFormerOwner.h"

namespace verbenacroft {

/// A long-running task that has no known run.
struct WaitingTask
{
  /// The task, as `Describe` writes it.
  std::string mTask;
  /// Time in ms, from any moment after the record was written, from which no
  /// run of it can last on any worker.
  std::int64_t mRunsEndInMs = 0;
};
BOOST_DESCRIBE_STRUCT(WaitingTask, (), (mTask, mRunsEndInMs))

/// Record of a hand-over. A key of its own: a program that doesn't know it
/// ignores it, and makes it void by its claim.
struct HandOverRecord
{
  /// Generation of the worker set that was handed over.
  std::uint32_t mGeneration = 0;
  /// The workers of that set. The times count from any moment after the record
  /// was written.
  std::vector<WorkerRunsEnd> mWorkers;
  /// The long-running tasks that wait. All others may run on a worker of the
  /// set.
  std::vector<WaitingTask> mWaiting;
};
BOOST_DESCRIBE_STRUCT(HandOverRecord, (), (mGeneration, mWorkers, mWaiting))

/// The record of an owner that has stopped to send orders.
/// @param aWorkerSet the worker set that it hands over
HandOverRecord MakeHandOver(const DispatchShard& aShard,
                            const WorkerSetRecord& aWorkerSet,
                            TimePoint aNow);

/// Shortens the waits of a new owner to what the record says, if the owner
/// before it has written the record. The shard's workers and jobs are loaded.
/// @param aGeneration generation of the new owner's worker set
/// @param aUnownedSince time from which the times of the record count
void ApplyHandOver(DispatchShard& aShard,
                   const HandOverRecord& aRecord,
                   std::uint32_t aGeneration,
                   TimePoint aUnownedSince);

} // namespace verbenacroft
