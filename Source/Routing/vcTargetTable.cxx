#include "vcTargetTable.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// A longer time between two ticks means that the process was paused.
constexpr Duration kMaxTickGap{ 1'000 };
/// Time without routing after a pause; long enough for one request for the
/// configuration and one for the target tables.
constexpr Duration kRefreshTime{ 600 };
/// Delay between a drain of the data centre and the removal of its routes, in
/// which replacements start in other data centres.
constexpr Duration kRouteRemovalDelay{ 1'000 };
/// Consecutive failures after which a target is ejected.
constexpr int kFailuresBeforeEjection = 3;
/// Time for which other targets are preferred to an ejected one.
constexpr Duration kEjectionTime{ 5'000 };
/// Weight of a new latency in the exponential moving average.
constexpr double kLatencySmoothing = 0.1;
/// Latency that is assumed for a new target or a new address.
constexpr double kInitialLatencyMs = 1.0;
/// A target whose latency exceeds the median of its service by this factor is
/// ejected.
constexpr double kSlowLatencyFactor = 5.0;
/// Latency up to which a target is never ejected for being slow.
constexpr double kMinSlowLatencyMs = 20.0;

/// True if the target must not receive new requests.
bool IsLeaving(const TargetPool& aPool,
               const TargetState& aTarget,
               TimePoint aNow)
{
  const bool isDrained =
    aPool.mDrainEffectiveAt && *aPool.mDrainEffectiveAt <= aNow;
  return isDrained || aTarget.mIsUnlisted || aTarget.mTarget.mIsLeaving ||
         aPool.mLeavingInstances.contains(aTarget.mTarget.mInstance);
}

void UpdateMaxOutstanding(TargetPool& aPool, TargetState& aTarget)
{
  aTarget.mMaxOutstanding = SlotShare(aTarget.mTarget.mTask,
                                      aTarget.mTarget.mSlots,
                                      aPool.mRouters,
                                      aPool.mRouterIndex);
}

void UpdateTarget(TargetPool& aPool,
                  const std::string& aShard,
                  const Target& aTarget)
{
  const auto endpoint = ParseEndpoint(aTarget.mAddress);
  if (!endpoint) {
    return;
  }
  auto [found, isNew] = aPool.mTargets.try_emplace(aTarget.mTask);
  auto& state = found->second;
  if (state.mEndpoint != *endpoint) {
    state.mLatencyMs = kInitialLatencyMs;
    state.mFailures = 0;
    state.mEjectedUntil = kNever;
  }
  state.mTarget = aTarget;
  state.mShard = aShard;
  state.mEndpoint = *endpoint;
  state.mIsUnlisted = false;
  UpdateMaxOutstanding(aPool, state);
}

/// Rebuilds the lists of tasks by service from the listed targets.
void RebuildIndex(TargetPool& aPool)
{
  aPool.mByService.clear();
  for (const auto& [task, state] : aPool.mTargets) {
    if (!state.mIsUnlisted) {
      aPool.mByService[state.mTarget.mService].push_back(task);
    }
  }
}

/// Replaces the targets of one shard. Targets that the table does not list are
/// removed once no request to them is in flight.
void UpdateTable(TargetPool& aPool, const TargetTable& aTable)
{
  auto& known = aPool.mTableVersions[aTable.mShard];
  const bool isOlder =
    aTable.mEpoch < known.mEpoch ||
    (aTable.mEpoch == known.mEpoch && aTable.mVersion < known.mVersion);
  if (isOlder) {
    ++aPool.mStaleTables;
    return;
  }
  known = { aTable.mShard, aTable.mEpoch, aTable.mVersion };
  for (auto& [task, state] : aPool.mTargets) {
    state.mIsUnlisted = state.mIsUnlisted || state.mShard == aTable.mShard;
  }
  for (const auto& target : aTable.mTargets) {
    UpdateTarget(aPool, aTable.mShard, target);
  }
  std::erase_if(aPool.mTargets, [](const auto& aEntry) {
    return aEntry.second.mIsUnlisted && aEntry.second.mOutstanding == 0;
  });
}

/// Returns the expected time until a further request is answered, in
/// milliseconds: the requests at the target, including the further one, times
/// the latency of one request. The latency counts as at least 0.01 ms, so that
/// the number of requests matters also for very fast targets.
double ExpectedWait(const TargetState& aTarget)
{
  return static_cast<double>(aTarget.mOutstanding + 1) *
         std::max(aTarget.mLatencyMs, 0.01);
}

double MedianLatency(const TargetPool& aPool, const std::string& aService)
{
  const auto found = aPool.mByService.find(aService);
  if (found == aPool.mByService.end() || found->second.empty()) {
    return 0;
  }
  std::vector<double> latencies;
  for (const auto& task : found->second) {
    latencies.push_back(aPool.mTargets.at(task).mLatencyMs);
  }
  const auto middle =
    latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

/// Ejects the target, unless too many targets of its service are ejected.
void Eject(TargetPool& aPool, TargetState& aTarget, TimePoint aNow)
{
  const auto& tasks = aPool.mByService[aTarget.mTarget.mService];
  const auto ejected =
    std::count_if(tasks.begin(), tasks.end(), [&](const auto& aTask) {
      return aPool.mTargets.at(aTask).mEjectedUntil > aNow;
    });
  // At most half of the targets of a service are ejected at the same time.
  if (static_cast<std::size_t>(ejected + 1) * 2 <= tasks.size()) {
    aTarget.mEjectedUntil = aNow + kEjectionTime;
    aTarget.mFailures = 0;
  }
}

} // namespace

std::int64_t SlotShare(const std::string& aTask,
                       std::int64_t aSlots,
                       std::int64_t aRouters,
                       std::int64_t aIndex)
{
  if (aRouters <= 0 || aIndex < 0 || aIndex >= aRouters) {
    return 0;
  }
  const auto offset = static_cast<std::int64_t>(
    StableHash(aTask) % static_cast<std::uint64_t>(aRouters));
  const auto position = (aIndex + offset) % aRouters;
  return aSlots / aRouters + (position < aSlots % aRouters ? 1 : 0);
}

TargetRequest MakeTargetRequest(const TargetPool& aPool,
                                const std::string& aScheduler)
{
  TargetRequest request;
  for (const auto& [shard, source] : aPool.mTableSources) {
    const auto known = aPool.mTableVersions.find(shard);
    if (source == aScheduler && known != aPool.mTableVersions.end()) {
      request.mKnown.push_back(known->second);
    }
  }
  return request;
}

Duration TablePollInterval(std::size_t aSchedulers)
{
  constexpr Duration kMinInterval{ 100 };
  constexpr Duration kMaxInterval{ 1'000 };
  constexpr Duration kPerScheduler{ 20 };
  const auto count = static_cast<Duration::rep>(aSchedulers);
  return std::clamp(kPerScheduler * count, kMinInterval, kMaxInterval);
}

void RecordTableSources(TargetPool& aPool,
                        const std::string& aScheduler,
                        const TargetReply& aAnswer)
{
  for (const auto& table : aAnswer.mTables) {
    const auto known = aPool.mTableVersions.find(table.mShard);
    const bool isNotOlder = known == aPool.mTableVersions.end() ||
                            table.mEpoch >= known->second.mEpoch;
    if (isNotOlder) {
      aPool.mTableSources[table.mShard] = aScheduler;
    }
  }
}

void UpdateTables(TargetPool& aPool, const TargetReply& aAnswer)
{
  for (const auto& table : aAnswer.mTables) {
    UpdateTable(aPool, table);
  }
  if (!aAnswer.mTables.empty()) {
    RebuildIndex(aPool);
  }
}

void UpdateLeavingInstances(TargetPool& aPool, std::set<std::string> aLeaving)
{
  aPool.mLeavingInstances = std::move(aLeaving);
}

void DetectProcessPause(TargetPool& aPool, TimePoint aNow)
{
  const bool wasPaused =
    aPool.mLastTickAt != kNever && aNow - aPool.mLastTickAt > kMaxTickGap;
  if (wasPaused) {
    aPool.mNoRoutingUntil = aNow + kRefreshTime;
  }
  aPool.mLastTickAt = aNow;
}

void UpdateDrained(TargetPool& aPool, bool aIsDrained, TimePoint aNow)
{
  if (!aIsDrained) {
    aPool.mDrainEffectiveAt.reset();
  } else if (!aPool.mDrainEffectiveAt) {
    // After a pause of the process the drain may have begun long ago, so the
    // routes are removed without a delay.
    const bool isRoutingSuspended = aNow < aPool.mNoRoutingUntil;
    aPool.mDrainEffectiveAt =
      isRoutingSuspended ? aNow : aNow + kRouteRemovalDelay;
  }
}

void SetRouterShares(TargetPool& aPool,
                     std::int64_t aRouters,
                     std::int64_t aIndex)
{
  aPool.mRouters = aRouters;
  aPool.mRouterIndex = aIndex;
  for (auto& [task, target] : aPool.mTargets) {
    UpdateMaxOutstanding(aPool, target);
  }
}

bool HasTargets(const TargetPool& aPool,
                const std::string& aService,
                TimePoint aNow)
{
  const auto found = aPool.mByService.find(aService);
  if (found == aPool.mByService.end()) {
    return false;
  }
  return std::any_of(
    found->second.begin(), found->second.end(), [&](const auto& aTask) {
      return !IsLeaving(aPool, aPool.mTargets.at(aTask), aNow);
    });
}

std::string PickTarget(const TargetPool& aPool,
                       const std::string& aService,
                       const std::set<std::string>& aAvoid,
                       TimePoint aNow)
{
  const auto found = aPool.mByService.find(aService);
  if (found == aPool.mByService.end() || aNow < aPool.mNoRoutingUntil) {
    return {};
  }
  std::string best;
  // Penalty and expected wait. A target with a lower penalty is preferred
  // regardless of its expected wait.
  std::pair<int, double> bestCost;
  for (const auto& task : found->second) {
    const auto& target = aPool.mTargets.at(task);
    if (IsLeaving(aPool, target, aNow) ||
        target.mOutstanding >= target.mMaxOutstanding) {
      continue;
    }
    const int penalty =
      (aAvoid.contains(task) ? 2 : 0) + (target.mEjectedUntil > aNow ? 1 : 0);
    const std::pair<int, double> cost(penalty, ExpectedWait(target));
    if (best.empty() || cost < bestCost) {
      best = task;
      bestCost = cost;
    }
  }
  return best;
}

void RecordTargetRequest(TargetPool& aPool, const std::string& aTask)
{
  ++aPool.mTargets[aTask].mOutstanding;
}

void RecordTargetResult(TargetPool& aPool,
                        const std::string& aTask,
                        bool aIsGood,
                        double aLatencyMs,
                        TimePoint aNow)
{
  const auto found = aPool.mTargets.find(aTask);
  if (found == aPool.mTargets.end()) {
    return;
  }
  auto& target = found->second;
  --target.mOutstanding;
  if (!aIsGood) {
    if (++target.mFailures >= kFailuresBeforeEjection) {
      Eject(aPool, target, aNow);
    }
    return;
  }
  target.mFailures = 0;
  target.mLatencyMs += kLatencySmoothing * (aLatencyMs - target.mLatencyMs);
  const bool isSlow =
    target.mLatencyMs > kMinSlowLatencyMs &&
    target.mLatencyMs >
      kSlowLatencyFactor * MedianLatency(aPool, target.mTarget.mService);
  if (isSlow && target.mEjectedUntil <= aNow) {
    Eject(aPool, target, aNow);
    // Reset the average, so that only further slow answers can eject the target
    // again.
    target.mLatencyMs = kMinSlowLatencyMs;
  }
}

} // namespace verbenacroft
