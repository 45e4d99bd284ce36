#pragma once

/// Target tables of one router and the selection of a target for a request.

#include "vcSchedulerMessages.h"

#include <set>

namespace verbenacroft {

/// A target and what this router has observed of it.
struct TargetState
{
  Target mTarget;
  /// Shard whose table listed the target last.
  std::string mShard;
  Endpoint mEndpoint;
  /// Maximum number of concurrent requests from this router to the target.
  std::int64_t mMaxOutstanding = 0;
  /// Requests that were sent to the target and have not ended.
  std::int64_t mOutstanding = 0;
  /// Exponential moving average of the latency of successful requests, in
  /// milliseconds.
  double mLatencyMs = 0;
  /// Failed requests since the last success, ejection or change of address.
  int mFailures = 0;
  /// The target is ejected until this time: other targets are preferred to it.
  TimePoint mEjectedUntil = kNever;
  /// True if no table lists the target any more. The entry is kept until its
  /// requests have ended.
  bool mIsUnlisted = false;
};

/// All targets that one router knows.
struct TargetPool
{
  /// By the name of the task.
  std::map<std::string, TargetState> mTargets;
  /// Names of the tasks of each service, by the name of the service.
  std::map<std::string, std::vector<std::string>> mByService;
  /// Epoch and version of the last accepted table of each shard.
  std::map<std::string, TableVersion> mTableVersions;
  /// Scheduler that sent the last table of each shard.
  std::map<std::string, std::string> mTableSources;
  /// Instances that the platform lists as leaving. Their targets receive no
  /// requests.
  std::set<std::string> mLeavingInstances;
  /// Number of routers that share the targets, and the index of this router.
  std::int64_t mRouters = 1;
  std::int64_t mRouterIndex = 0;
  /// Tables that were refused because of an older epoch or version.
  std::uint64_t mStaleTables = 0;
  /// Time of the last call of DetectProcessPause().
  TimePoint mLastTickAt = kNever;
  /// After a pause of the process no target is selected before this time.
  TimePoint mNoRoutingUntil = kNever;
  /// Time from which the targets of the data centre count as leaving; empty if
  /// the data centre is not drained.
  std::optional<TimePoint> mDrainEffectiveAt;
};

/// Detects a pause of the process, after which the configuration and the target
/// tables may be out of date. After a pause no target is selected for a short
/// time, in which the router program reads both again. Must be called
/// regularly, since a long time without a call is taken for a pause.
void DetectProcessPause(TargetPool& aPool, TimePoint aNow);

/// Applies the drain flag that the configuration holds for the data centre. If
/// it is set, all targets count as leaving after a delay, in which replacements
/// start in other data centres; right after a pause of the process there is no
/// delay.
void UpdateDrained(TargetPool& aPool, bool aIsDrained, TimePoint aNow);

/// Returns how many of the `aSlots` slots of a target the router with index
/// `aIndex` of `aRouters` routers may use. The results of all routers add up to
/// `aSlots`, so that the routers together never exceed the slots of a target.
/// If the slots do not divide evenly, a hash of the task name selects the
/// routers that get one more. The result is 0 if the index is out of range.
std::int64_t SlotShare(const std::string& aTask,
                       std::int64_t aSlots,
                       std::int64_t aRouters,
                       std::int64_t aIndex);

/// Returns the request for the target tables of `aScheduler`. It names the
/// versions of the tables that this scheduler sent before, so that only newer
/// ones are returned.
TargetRequest MakeTargetRequest(const TargetPool& aPool,
                                const std::string& aScheduler);

/// Returns the time between two requests for tables to the same one of
/// `aSchedulers` schedulers. It grows with their number, but only up to a
/// fraction of the time within which the routes must follow a change.
Duration TablePollInterval(std::size_t aSchedulers);

/// Records `aScheduler` as the source of the tables in `aAnswer`, except those
/// of an older epoch than the known table.
void RecordTableSources(TargetPool& aPool,
                        const std::string& aScheduler,
                        const TargetReply& aAnswer);

/// Applies the tables in `aAnswer`. A table of an older epoch or version is
/// refused and counted. Targets whose address cannot be parsed are ignored.
void UpdateTables(TargetPool& aPool, const TargetReply& aAnswer);

/// Replaces the set of instances that are leaving, as read from the instance
/// list of the platform.
void UpdateLeavingInstances(TargetPool& aPool, std::set<std::string> aLeaving);

/// Sets the number of routers and the index of this one, and recomputes the
/// maximum number of concurrent requests to each target.
void SetRouterShares(TargetPool& aPool,
                     std::int64_t aRouters,
                     std::int64_t aIndex);

/// Returns true if the service has a target that is not leaving.
bool HasTargets(const TargetPool& aPool,
                const std::string& aService,
                TimePoint aNow);

/// Returns the task of the target with a free slot and the lowest expected
/// wait. Ejected targets are selected only if no other has a free slot, and
/// those in `aAvoid` only after the ejected ones. Returns an empty string if no
/// target has a free slot or routing is suspended after a pause of the process.
std::string PickTarget(const TargetPool& aPool,
                       const std::string& aService,
                       const std::set<std::string>& aAvoid,
                       TimePoint aNow);

/// Counts a request that is sent to the target.
void RecordTargetRequest(TargetPool& aPool, const std::string& aTask);

/// Records the end of a request and its latency in milliseconds. A target that
/// fails repeatedly, or is far slower than the others of its service, is
/// ejected for a few seconds, unless more than half of the targets of its
/// service would then be ejected.
/// @param aIsGood False if there was no answer or its status is 500 or higher.
/// The latency is then not used.
void RecordTargetResult(TargetPool& aPool,
                        const std::string& aTask,
                        bool aIsGood,
                        double aLatencyMs,
                        TimePoint aNow);

} // namespace verbenacroft
