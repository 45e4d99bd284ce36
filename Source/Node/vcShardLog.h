#pragma once

/// Log lines about the workers, the load and the waiting work of a shard.

#include "vcDispatch.h"

namespace verbenacroft {

/// Logs the tasks that run on a worker, for analysing how they share it: kind
/// (S serving, F best-effort, P other), image, requested CPU in thousandths of
/// a processor, measured value (see `RunningTask::mMeasured`), throttle
/// percent, latency target in ms and progress in percent. Only at level
/// "debug".
void LogWorkerReport(DispatchShard& aShard,
                     const std::string& aWorker,
                     const WorkerReport& aReport);

/// How far an owner has read the inbox of its shard, and how fast its event
/// loop is. The counts and maxima cover the time since the last log line.
struct InboxReads
{
  /// Store revision up to which the inbox has been applied.
  std::uint64_t mRevision = 0;
  /// Time of the last reply that was applied.
  TimePoint mReadAt{ kNever };
  /// Whatever the store had accepted before this time has been applied.
  TimePoint mCompleteAt{ kNever };
  std::uint64_t mReplies = 0;
  std::uint64_t mEvents = 0;
  /// Longest time between two replies, in ms.
  Duration mMaxGap{ 0 };
  /// Longest time by which a timer of the event loop was late, in ms.
  Duration mMaxLoopDelay{ 0 };
  /// Longest planning, in ms.
  Duration mMaxPlanTime{ 0 };
};

/// Adds a reply that contained all events up to `aRevision`. The store answered
/// between the sending of the call and the arrival of the reply, so only the
/// time of sending is certain. That holds for a watch that waited in vain, too:
/// it may have been cut short. A reply of an earlier revision than the one
/// before proves nothing.
/// @param aSentAt when the call, or the first of several, was sent
void OnInboxRead(InboxReads& aReads,
                 std::uint64_t aRevision,
                 std::size_t aEvents,
                 TimePoint aSentAt,
                 TimePoint aNow);

/// Logs the reads of the inbox and starts the counts and maxima again.
/// @param aStoreRevision highest revision of the store that the node knows
void LogInboxReads(InboxReads& aReads,
                   std::uint32_t aShard,
                   std::uint64_t aStoreRevision,
                   TimePoint aNow);

/// Logs how much of the shard's capacity is in use.
/// @param aNumber number of the shard
void LogShardLoad(const DispatchShard& aShard, std::uint32_t aNumber);

/// Logs how the owner's calls to its workers went, and starts the counts again.
/// @param aNumber number of the shard
void LogWorkerCalls(CallCounts& aCalls,
                    const OwnerPacing& aPacing,
                    std::map<RenewalCause, std::uint32_t>& aRenewals,
                    std::uint32_t aNumber);

/// Logs the jobs that are given up, if the work that is due doesn't fit.
/// @param aNumber number of the shard
void LogOverload(const OverloadSummary& aOverload, std::uint32_t aNumber);

/// Logs the shard's waiting tasks, one line for each reason.
/// @param aNumber number of the shard
void LogWaiting(const WaitingSummary& aWaiting, std::uint32_t aNumber);

/// Logs how many runs the batch jobs have and which jobs took the room of ended
/// runs, and starts the counts again.
/// @param aNumber number of the shard
void LogTurnover(RoomTurnover& aTurnover,
                 const JobsByRuns& aJobs,
                 std::uint32_t aNumber);

/// Logs the long-running tasks that don't run, what keeps the one that has
/// waited for longest, and where there is room for it.
/// @param aNumber number of the shard
/// @param aStartBudget what the last round of starts left of its budget
void LogLongRunningWait(const LongRunningWait& aWait,
                        std::uint32_t aNumber,
                        double aStartBudget);

/// Logs the shard's idle jobs, one line for each reason.
/// @param aNumber number of the shard
void LogIdleJobs(const WaitingSummary& aIdle, std::uint32_t aNumber);

} // namespace verbenacroft
