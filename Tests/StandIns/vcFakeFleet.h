#pragma once

/// Stand-in of workers: capacities, tasks under leases, checkpoints, lagging
/// reports, and pair interference from a seeded table. It refuses nothing
/// for lack of capacity, so that it can witness a broken promise.

#include "vcPlatform.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenacroft {

struct FakeTask
{
  TaskStart mStart;
  std::string mShard;
  RunState mState = RunState::kRunning;
  TimePoint mLeaseEnd{ 0 };
  /// Work done, in milliseconds of undisturbed run time.
  double mProgress = 0;
  double mCheckpoint = 0;
  TimePoint mCheckpointAt{ 0 };
  double mWork = 0;
  std::int64_t mThrottle = 100;
  double mSlowdown = 1.0;
  Resources mReportedUsage;
  std::int64_t mReportedSlowdown = 100;
  std::uint64_t mVersion = 0;
};

struct FakeWorker
{
  Instance mInstance;
  std::string mServiceAddress;
  bool mIsAlive = true;
  /// The worker fails every batch task shortly after its start.
  bool mFailsTasks = false;
  std::uint64_t mVersion = 0;
  std::map<std::string, std::uint64_t> mEpochs;
  std::map<std::string, FakeTask> mTasks;
  TimePoint mSteppedAt{ 0 };
  TimePoint mReportedAt{ 0 };
  Resources mHighest;
};

/// What a promise's checker needs to know of the past.
struct RunEvent
{
  std::string mTask;
  std::uint32_t mAttempt = 0;
  TaskKind mKind = TaskKind::kBatch;
  std::string mWorker;
  std::string mDataCentre;
  TimePoint mAt{ 0 };
  RunState mState = RunState::kRunning;
  std::int64_t mCheckpoint = 0;
};

struct FakeFleet
{
  std::map<std::string, FakeWorker> mWorkers;
  std::uint64_t mSeed = 1;
  std::uint64_t mListVersion = 1;
  std::vector<RunEvent> mEvents;
  std::map<std::string, std::int64_t> mCompletions;
  /// Broken promises, in words.
  std::vector<std::string> mViolations;
  std::uint64_t mRefusedSyncs = 0;
};

/// Adds workers named "<dc>-wN" in racks of eight, to one data centre.
void AddWorkers(FakeFleet& aFleet,
                const std::string& aDataCentre,
                std::size_t aCount,
                const Resources& aCapacity);

/// Handles a call to a worker; nothing if it is not alive.
std::optional<WorkerSyncReply> HandleSync(FakeFleet& aFleet,
                                          const std::string& aWorker,
                                          const WorkerSync& aSync,
                                          TimePoint aNow);

/// Moves all tasks on to `aNow`.
void StepFleet(FakeFleet& aFleet, TimePoint aNow);

/// Kills a worker with all that runs on it.
void KillWorker(FakeFleet& aFleet, const std::string& aWorker, TimePoint aNow);

/// The instance list: live and leaving workers. A dead one is listed until
/// it is removed.
InstanceList ListInstances(const FakeFleet& aFleet);

/// Slow-down factor that `aAggressor` at full load causes to `aVictim`.
double PairInterference(std::uint64_t aSeed,
                        const std::string& aVictim,
                        const std::string& aAggressor);

} // namespace verbenacroft
