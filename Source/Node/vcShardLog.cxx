#include "vcShardLog.h"

#include "vcDispatch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Field names of the log line of a summary.
struct SummaryNames
{
  const char* mEvent;
  const char* mCount;
  const char* mTime;
};

/// Logs a summary, one line for each reason.
void LogSummary(const SummaryNames& aNames,
                const WaitingSummary& aSummary,
                std::uint32_t aNumber)
{
  for (const auto& [reason, row] : aSummary) {
    spdlog::info("{} shard={} reason={} {}={} {}={} example={} need_mcpu={} "
                 "need_mb={}",
                 aNames.mEvent,
                 aNumber,
                 NameOf(reason),
                 aNames.mCount,
                 row.mTasks,
                 aNames.mTime,
                 row.mLongestWait.count(),
                 Describe(row.mExample),
                 row.mNeeds.mMilliCpu,
                 row.mNeeds.mMemoryMb);
  }
}

} // namespace

void LogWorkerReport(DispatchShard& aShard,
                     const std::string& aWorker,
                     const WorkerReport& aReport)
{
  if (!spdlog::should_log(spdlog::level::debug)) {
    return;
  }
  std::string rows;
  for (const auto& row : aReport.mRunning) {
    const TaskId key = row.mTask;
    const DispatchTask* task = FindTask(aShard, key);
    if (task == nullptr) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    const char* kind = step.mTargetMs > 0 ? "S" : step.mIsFilling ? "F" : "P";
    rows += fmt::format("{}:{}:{}:{}:{}:{}:{};",
                        kind,
                        step.mImage,
                        step.mNeeds.mMilliCpu,
                        row.mMeasured,
                        task->mOrderedThrottlePercent,
                        step.mTargetMs,
                        row.mProgressPercent);
  }
  spdlog::debug("worker.report worker={} capacity_mcpu={} rows={}",
                aWorker,
                aShard.mWorkers.at(aWorker).mEntry.mCapacity.mMilliCpu,
                rows);
}

void OnInboxRead(InboxReads& aReads,
                 std::uint64_t aRevision,
                 std::size_t aEvents,
                 TimePoint aSentAt,
                 TimePoint aNow)
{
  if (aReads.mReadAt != kNever) {
    aReads.mMaxGap = std::max(aReads.mMaxGap, aNow - aReads.mReadAt);
  }
  if (aRevision >= aReads.mRevision) {
    aReads.mRevision = aRevision;
    aReads.mCompleteAt = std::max(aReads.mCompleteAt, aSentAt);
  }
  aReads.mReadAt = aNow;
  ++aReads.mReplies;
  aReads.mEvents += aEvents;
}

void LogInboxReads(InboxReads& aReads,
                   std::uint32_t aShard,
                   std::uint64_t aStoreRevision,
                   TimePoint aNow)
{
  spdlog::info("shard.inbox shard={} revision={} store_revision={} "
               "read_ms_ago={} complete_ms_ago={} replies={} events={} "
               "max_gap_ms={} max_loop_delay_ms={} max_plan_ms={}",
               aShard,
               aReads.mRevision,
               aStoreRevision,
               (aNow - aReads.mReadAt).count(),
               (aNow - aReads.mCompleteAt).count(),
               aReads.mReplies,
               aReads.mEvents,
               aReads.mMaxGap.count(),
               aReads.mMaxLoopDelay.count(),
               aReads.mMaxPlanTime.count());
  aReads = { .mRevision = aReads.mRevision,
             .mReadAt = aReads.mReadAt,
             .mCompleteAt = aReads.mCompleteAt };
}

void LogShardLoad(const DispatchShard& aShard, std::uint32_t aNumber)
{
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t bestEffort = 0;
  std::size_t runs = 0;
  std::size_t unresponsive = 0;
  std::size_t serving = 0;
  std::size_t servingWorkers = 0;
  std::size_t mixedWorkers = 0;
  std::size_t noBestEffort = 0;
  std::int64_t freeBestEffort = 0;
  double servingUsage = 0;
  std::size_t reserved = 0;
  const TimePoint now = SuspendAwareNow();
  for (const auto& [name, worker] : aShard.mWorkers) {
    capacity += worker.mEntry.mCapacity.mMilliCpu;
    used += worker.mUsed.mMilliCpu;
    bestEffort += worker.mBestEffortCpu;
    runs += worker.mTasks.size();
    for (const auto& [image, count] : worker.mServingImages) {
      serving += count;
    }
    servingWorkers += worker.mServingImages.empty() ? 0 : 1;
    mixedWorkers += worker.mServingImages.size() > 1 ? 1 : 0;
    unresponsive += worker.mIsUnresponsive ? 1 : 0;
    freeBestEffort += std::max<std::int64_t>(FreeBestEffortCpu(worker), 0);
    servingUsage += worker.mServingCpuUsage.mCurrentCpu;
    noBestEffort += worker.mNoBestEffortUntil > now ? 1 : 0;
    reserved += worker.mReservedUntil > now ? 1 : 0;
  }
  spdlog::info(
    "shard.load shard={} workers={} unresponsive={} capacity_mcpu={} "
    "used_mcpu={} best_effort_mcpu={} free_best_effort_mcpu={} "
    "serving_use_mcpu={:.0f} runs={} serving={} "
    "serving_workers={} mixed_workers={} no_best_effort_workers={} jobs={} "
    "suspects={} isolated_workers={} reserved_for_suspects={}",
    aNumber,
    aShard.mWorkers.size(),
    unresponsive,
    capacity,
    used,
    bestEffort,
    freeBestEffort,
    servingUsage,
    runs,
    serving,
    servingWorkers,
    mixedWorkers,
    noBestEffort,
    aShard.mJobs.size(),
    aShard.mSuspects.size(),
    IsolatedWorkers(aShard).size(),
    reserved);
  for (const auto& [image, profile] : aShard.mServingProfiles) {
    spdlog::debug("shard.image shard={} image={} min_latency_ratio={:.3f} "
                  "mean_load={:.2f} high_load={:.2f} mean_added={:.2f}",
                  aNumber,
                  image,
                  profile.mMinLatencyRatio,
                  profile.mMeanLoad,
                  profile.mHighLoad,
                  profile.mMeanAddedLoad);
  }
}

void LogWorkerCalls(CallCounts& aCalls,
                    const OwnerPacing& aPacing,
                    std::map<RenewalCause, std::uint32_t>& aRenewals,
                    std::uint32_t aNumber)
{
  spdlog::info(
    "shard.calls shard={} answered={} failed={} timed={} "
    "least_ms={} max_ms={} reply_rate={:.0f} start_rate={:.0f} congested={} "
    "after_waits={} after_ends={} near_target={} retries={}",
    aNumber,
    aCalls.mAnswered,
    aCalls.mFailed,
    aCalls.mTimed,
    aCalls.mLeastLatency.count(),
    aCalls.mMaxLatency.count(),
    aPacing.mReplies.mRate,
    aPacing.mStarts.mRate,
    aPacing.mIsCongested,
    aRenewals[RenewalCause::kWait],
    aRenewals[RenewalCause::kEnd],
    aRenewals[RenewalCause::kNearTarget],
    aRenewals[RenewalCause::kRetry]);
  aRenewals.clear();
  aCalls = {};
}

void LogOverload(const OverloadSummary& aOverload, std::uint32_t aNumber)
{
  if (aOverload.mJobs > 0) {
    spdlog::info("shard.overload shard={} jobs={} given_up={} expired={}",
                 aNumber,
                 aOverload.mJobs,
                 aOverload.mGivenUp,
                 aOverload.mExpired);
  }
}

void LogWaiting(const WaitingSummary& aWaiting, std::uint32_t aNumber)
{
  LogSummary({ "shard.waiting", "tasks", "oldest_ms" }, aWaiting, aNumber);
}

void LogTurnover(RoomTurnover& aTurnover,
                 const JobsByRuns& aJobs,
                 std::uint32_t aNumber)
{
  spdlog::info("shard.turnover shard={} idle={} one_run={} two_runs={} "
               "more_runs={} runs={} on_time_waiting={} only_runs_ended={} "
               "same_job={} other_job={} idle_times={} idle_ms={} "
               "longest_idle_ms={}",
               aNumber,
               aJobs.mIdle,
               aJobs.mWithOneRun,
               aJobs.mWithTwoRuns,
               aJobs.mWithMoreRuns,
               aJobs.mRuns,
               aJobs.mOnTimeAndWaiting,
               aTurnover.mOnlyRunsEnded,
               aTurnover.mTakenBySameJob,
               aTurnover.mTakenByOthers,
               aTurnover.mIdleTimes,
               aTurnover.mIdleSum.count(),
               aTurnover.mLongestIdle.count());
  aTurnover = {};
}

void LogIdleJobs(const WaitingSummary& aIdle, std::uint32_t aNumber)
{
  LogSummary({ "shard.idle-jobs", "jobs", "longest_ms" }, aIdle, aNumber);
}

void LogLongRunningWait(const LongRunningWait& aWait,
                        std::uint32_t aNumber,
                        double aStartBudget)
{
  spdlog::info("shard.long-running-wait shard={} tasks={} longest_ms={} "
               "example={} reason={} worker={} runs_end_in_ms={}",
               aNumber,
               aWait.mTasks,
               aWait.mWait.count(),
               Describe(aWait.mTask),
               NameOf(aWait.mReason),
               aWait.mWorker,
               aWait.mRunsEndIn.count());
  if (!aWait.mRoom) {
    return;
  }
  const LongRunningRoom& room = *aWait.mRoom;
  spdlog::info("shard.long-running-room shard={} example={} need_mcpu={} "
               "need_mb={} workers={} places={} set_aside={} isolated={} "
               "without_best_effort={} beside_long_running={} reserved={} "
               "reserved_in_all={} start_budget={:.0f} nearest={} free_mcpu={} "
               "free_mb={} long_running_mcpu={} best_effort_mb={}",
               aNumber,
               Describe(aWait.mTask),
               room.mNeeds.mMilliCpu,
               room.mNeeds.mMemoryMb,
               room.mWorkers,
               room.mPlaces,
               room.mSetAside,
               room.mIsolated,
               room.mWithoutBestEffort,
               room.mBesideLongRunning,
               room.mReserved,
               room.mReservedInAll,
               aStartBudget,
               room.mNearest,
               room.mFree.mMilliCpu,
               room.mFree.mMemoryMb,
               room.mLongRunning.mMilliCpu,
               room.mBestEffort.mMemoryMb);
}

} // namespace verbenacroft
