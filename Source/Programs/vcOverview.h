#pragma once

/// State of the processes and shards as reported to operators: the JSON replies
/// to `/v1/overview` (one process) and `/v1/status` (all processes).

#include "vcScheduler.h"

namespace verbenacroft {

/// State of one shard as its owner reports it.
struct ShardOverview
{
  std::string mName;
  /// Epoch of the ownership.
  std::uint64_t mEpoch = 0;
  /// True once the ownership has expired.
  bool mIsLapsed = false;
  std::int64_t mWorkers = 0;
  /// Workers that are unreachable.
  std::int64_t mWorkersOutOfReach = 0;
  /// Workers that are in quarantine.
  std::int64_t mWorkersInQuarantine = 0;
  /// Placed tasks of services.
  std::int64_t mServiceTasks = 0;
  /// Placed tasks of batch jobs.
  std::int64_t mBatchTasks = 0;
  /// Jobs that the shard has on record.
  std::int64_t mJobs = 0;
  /// Service replicas for which the last plan found no capacity.
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

/// State of one process, the reply to `/v1/overview`. Only schedulers report
/// shards and the age of the configuration.
struct SchedulerOverview
{
  std::string mName;
  std::string mDataCentre;
  /// Revision of the configuration in force.
  std::uint64_t mRevision = 0;
  /// Time since the configuration was last confirmed to be current, in
  /// milliseconds.
  std::int64_t mProofAgeMs = 0;
  std::vector<ShardOverview> mShards;
};
BOOST_DESCRIBE_STRUCT(SchedulerOverview,
                      (),
                      (mName, mDataCentre, mRevision, mProofAgeMs, mShards))

/// State of one process in a `SystemOverview`.
struct ProcessOverview
{
  std::string mName;
  std::string mDataCentre;
  Role mRole = Role::kScheduler;
  /// True if the process replied; otherwise the members below are not set.
  bool mIsReachable = false;
  std::uint64_t mRevision = 0;
  std::vector<ShardOverview> mShards;
};
BOOST_DESCRIBE_STRUCT(
  ProcessOverview,
  (),
  (mName, mDataCentre, mRole, mIsReachable, mRevision, mShards))

/// State of all processes, the reply to `/v1/status`.
struct SystemOverview
{
  /// Configuration revision of the config process that replied, and the time
  /// since it was last confirmed to be current, in milliseconds.
  std::uint64_t mRevision = 0;
  std::int64_t mProofAgeMs = 0;
  std::vector<ProcessOverview> mProcesses;
};
BOOST_DESCRIBE_STRUCT(SystemOverview, (), (mRevision, mProofAgeMs, mProcesses))

/// Counts the workers, tasks and jobs of a shard.
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
