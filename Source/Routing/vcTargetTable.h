#pragma once

/// Targets as one router sees them, and the choice among them.

#include "vcSchedulerMessages.h"

#include <set>

namespace verbenacroft {

struct TargetState
{
  Target mTarget;
  std::string mShard;
  Endpoint mEndpoint;
  /// Requests that this router may have at the target at once.
  std::int64_t mShare = 0;
  std::int64_t mOutstanding = 0;
  /// Smoothed latency, in milliseconds.
  double mLatencyMs = 0;
  int mFailures = 0;
  TimePoint mEjectedUntil = kNever;
  /// Gone from the tables; kept until its requests have ended.
  bool mIsGone = false;
};

struct TargetPool
{
  std::map<std::string, TargetState> mTargets;
  /// Targets of each service, by task.
  std::map<std::string, std::vector<std::string>> mByService;
  /// What was last taken from each shard.
  std::map<std::string, TableVersion> mVersions;
  /// Which scheduler each shard's table last came from.
  std::map<std::string, std::string> mSources;
  /// Instances that the platform lists as leaving or no longer lists.
  std::set<std::string> mLeavingInstances;
  /// Routers that share the targets, and which of them this is.
  std::int64_t mRouters = 1;
  std::int64_t mRouterIndex = 0;
  std::uint64_t mStaleTables = 0;
  TimePoint mTickedAt = kNever;
  /// After a pause of the process nothing is sent before this time.
  TimePoint mHeldUntil = kNever;
  /// From when on the data centre's targets count as leaving.
  std::optional<TimePoint> mDrainedFrom;
};

/// Notices a pause of the process: what is known may be old, and for a short
/// time, in which it is read anew, no target is picked.
void NoteTick(TargetPool& aPool, TimePoint aNow);

/// Takes from the configuration whether the data centre is drained.
void UpdateDrained(TargetPool& aPool, bool aIsDrained, TimePoint aNow);

/// Part of `aSlots` that the router at `aIndex` of `aRouters` may use. The
/// parts add up to the slots, so that no target gets more than it has.
std::int64_t SlotShare(const std::string& aTask,
                       std::int64_t aSlots,
                       std::int64_t aRouters,
                       std::int64_t aIndex);

/// What to ask `aScheduler`: what is newer than the tables it gave before.
TargetQuestion QuestionFor(const TargetPool& aPool,
                           const std::string& aScheduler);

/// Time between two questions to the same one of `aSchedulers`. It grows with
/// their number, up to a part of the time in which routes have to move.
Duration TableInterval(std::size_t aSchedulers);

/// Notes that the tables came from `aScheduler`.
void NoteSource(TargetPool& aPool,
                const std::string& aScheduler,
                const TargetAnswer& aAnswer);

/// Takes newer tables; one of an older epoch or version is refused.
void UpdateTables(TargetPool& aPool, const TargetAnswer& aAnswer);

/// Takes the instance list's view of which instances are leaving.
void UpdateLeaving(TargetPool& aPool, std::set<std::string> aLeaving);

void SetShares(TargetPool& aPool, std::int64_t aRouters, std::int64_t aIndex);

/// True if the service has a target that is not leaving.
bool HasTargets(const TargetPool& aPool,
                const std::string& aService,
                TimePoint aNow);

/// Target with a free slot and the lowest expected wait, or an empty text.
/// Targets in `aAvoid` are taken only if there is no other.
std::string PickTarget(const TargetPool& aPool,
                       const std::string& aService,
                       const std::set<std::string>& aAvoid,
                       TimePoint aNow);

void NoteSent(TargetPool& aPool, const std::string& aTask);

/// Notes the end of a request; a target that keeps failing, or is far slower
/// than the others, gets none for a while.
void NoteEnded(TargetPool& aPool,
               const std::string& aTask,
               bool aIsGood,
               double aLatencyMs,
               TimePoint aNow);

} // namespace verbenacroft
