#pragma once

/// What the programs tell operators of themselves.

#include "vcScheduler.h"

namespace verbenacroft {

struct ShardOverview
{
  std::string mName;
  std::uint64_t mEpoch = 0;
  bool mIsLapsed = false;
  std::int64_t mWorkers = 0;
  std::int64_t mWorkersOutOfReach = 0;
  std::int64_t mWorkersInQuarantine = 0;
  std::int64_t mServiceTasks = 0;
  std::int64_t mBatchTasks = 0;
  std::int64_t mJobs = 0;
  std::int64_t mUnplacedReplicas = 0;
};
BOOST_DESCRIBE_STRUCT(ShardOverview,
                      (),
                      (mName,
                       mEpoch,
                       mIsLapsed,
                       mWorkers,
                       mWorkersOutOfReach,
                       mWorkersInQuarantine,
                       mServiceTasks,
                       mBatchTasks,
                       mJobs,
                       mUnplacedReplicas))

struct SchedulerOverview
{
  std::string mName;
  std::string mDataCentre;
  std::uint64_t mRevision = 0;
  std::int64_t mProofAgeMs = 0;
  std::vector<ShardOverview> mShards;
};
BOOST_DESCRIBE_STRUCT(SchedulerOverview,
                      (),
                      (mName, mDataCentre, mRevision, mProofAgeMs, mShards))

/// One process as the status command shows it.
struct ProcessOverview
{
  std::string mName;
  std::string mDataCentre;
  Role mRole = Role::kScheduler;
  bool mIsReachable = false;
  std::uint64_t mRevision = 0;
  std::vector<ShardOverview> mShards;
};
BOOST_DESCRIBE_STRUCT(
  ProcessOverview,
  (),
  (mName, mDataCentre, mRole, mIsReachable, mRevision, mShards))

struct SystemOverview
{
  std::uint64_t mRevision = 0;
  std::int64_t mProofAgeMs = 0;
  std::vector<ProcessOverview> mProcesses;
};
BOOST_DESCRIBE_STRUCT(SystemOverview, (), (mRevision, mProofAgeMs, mProcesses))

inline ShardOverview OverviewOf(const Shard& aShard, TimePoint aNow)
{
  ShardOverview overview;
  overview.mName = aShard.mName;
  overview.mEpoch = aShard.mEpoch;
  overview.mIsLapsed = aShard.mIsLapsed;
  overview.mJobs = static_cast<std::int64_t>(aShard.mData.mJobs.size());
  overview.mUnplacedReplicas = aShard.mUnplacedReplicas;
  for (const auto& [name, worker] : aShard.mWorkers) {
    ++overview.mWorkers;
    overview.mWorkersOutOfReach += worker.mIsUnreachable ? 1 : 0;
    overview.mWorkersInQuarantine += worker.mQuarantinedUntil > aNow ? 1 : 0;
  }
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    (task.mKind == TaskKind::kService ? overview.mServiceTasks
                                      : overview.mBatchTasks) += 1;
  }
  return overview;
}

} // namespace verbenacroft
