#include "vcTargetTable.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kPauseLimit{ 1'000 };
/// Covers a question for the configuration and one for the tables.
constexpr Duration kHoldTime{ 600 };
/// Replacements in other data centres get this long before routes move.
constexpr Duration kReplacementLead{ 1'000 };
constexpr int kFailuresBeforeEjection = 3;
constexpr Duration kEjectionTime{ 5'000 };
constexpr double kSmoothing = 0.1;
constexpr double kFirstLatencyMs = 1.0;
/// A target this much slower than the service's median is ejected.
constexpr double kSlowFactor = 5.0;
constexpr double kSlowLeastMs = 20.0;

bool IsLeaving(const TargetPool& aPool,
               const TargetState& aTarget,
               TimePoint aNow)
{
  const bool isDrained = aPool.mDrainedFrom && *aPool.mDrainedFrom <= aNow;
  return isDrained || aTarget.mIsGone || aTarget.mTarget.mIsLeaving ||
         aPool.mLeavingInstances.contains(aTarget.mTarget.mInstance);
}

void Share(TargetPool& aPool, TargetState& aTarget)
{
  aTarget.mShare = SlotShare(aTarget.mTarget.mTask,
                             aTarget.mTarget.mSlots,
                             aPool.mRouters,
                             aPool.mRouterIndex);
}

void TakeTarget(TargetPool& aPool,
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
    state.mLatencyMs = kFirstLatencyMs;
    state.mFailures = 0;
    state.mEjectedUntil = kNever;
  }
  state.mTarget = aTarget;
  state.mShard = aShard;
  state.mEndpoint = *endpoint;
  state.mIsGone = false;
  Share(aPool, state);
}

void RebuildIndex(TargetPool& aPool)
{
  aPool.mByService.clear();
  for (const auto& [task, state] : aPool.mTargets) {
    if (!state.mIsGone) {
      aPool.mByService[state.mTarget.mService].push_back(task);
    }
  }
}

void TakeTable(TargetPool& aPool, const TargetTable& aTable)
{
  auto& known = aPool.mVersions[aTable.mShard];
  const bool isOlder =
    aTable.mEpoch < known.mEpoch ||
    (aTable.mEpoch == known.mEpoch && aTable.mVersion < known.mVersion);
  if (isOlder) {
    ++aPool.mStaleTables;
    return;
  }
  known = { aTable.mShard, aTable.mEpoch, aTable.mVersion };
  for (auto& [task, state] : aPool.mTargets) {
    state.mIsGone = state.mIsGone || state.mShard == aTable.mShard;
  }
  for (const auto& target : aTable.mTargets) {
    TakeTarget(aPool, aTable.mShard, target);
  }
  std::erase_if(aPool.mTargets, [](const auto& aEntry) {
    return aEntry.second.mIsGone && aEntry.second.mOutstanding == 0;
  });
}

/// Expected wait: requests ahead times the latency of one.
double CostOf(const TargetState& aTarget)
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

void Eject(TargetPool& aPool, TargetState& aTarget, TimePoint aNow)
{
  const auto& tasks = aPool.mByService[aTarget.mTarget.mService];
  const auto ejected =
    std::count_if(tasks.begin(), tasks.end(), [&](const auto& aTask) {
      return aPool.mTargets.at(aTask).mEjectedUntil > aNow;
    });
  // At most half of a service's targets are ejected at a time.
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

TargetQuestion QuestionFor(const TargetPool& aPool,
                           const std::string& aScheduler)
{
  TargetQuestion question;
  for (const auto& [shard, source] : aPool.mSources) {
    const auto known = aPool.mVersions.find(shard);
    if (source == aScheduler && known != aPool.mVersions.end()) {
      question.mKnown.push_back(known->second);
    }
  }
  return question;
}

Duration TableInterval(std::size_t aSchedulers)
{
  constexpr Duration kShortest{ 100 };
  constexpr Duration kLongest{ 1'000 };
  constexpr Duration kPerScheduler{ 20 };
  const auto count = static_cast<Duration::rep>(aSchedulers);
  return std::clamp(kPerScheduler * count, kShortest, kLongest);
}

void NoteSource(TargetPool& aPool,
                const std::string& aScheduler,
                const TargetAnswer& aAnswer)
{
  for (const auto& table : aAnswer.mTables) {
    const auto known = aPool.mVersions.find(table.mShard);
    const bool isNewest =
      known == aPool.mVersions.end() || table.mEpoch >= known->second.mEpoch;
    if (isNewest) {
      aPool.mSources[table.mShard] = aScheduler;
    }
  }
}

void UpdateTables(TargetPool& aPool, const TargetAnswer& aAnswer)
{
  for (const auto& table : aAnswer.mTables) {
    TakeTable(aPool, table);
  }
  if (!aAnswer.mTables.empty()) {
    RebuildIndex(aPool);
  }
}

void UpdateLeaving(TargetPool& aPool, std::set<std::string> aLeaving)
{
  aPool.mLeavingInstances = std::move(aLeaving);
}

void NoteTick(TargetPool& aPool, TimePoint aNow)
{
  const bool wasPaused =
    aPool.mTickedAt != kNever && aNow - aPool.mTickedAt > kPauseLimit;
  if (wasPaused) {
    aPool.mHeldUntil = aNow + kHoldTime;
  }
  aPool.mTickedAt = aNow;
}

void UpdateDrained(TargetPool& aPool, bool aIsDrained, TimePoint aNow)
{
  if (!aIsDrained) {
    aPool.mDrainedFrom.reset();
  } else if (!aPool.mDrainedFrom) {
    // After a pause the drain may be long past.
    const bool isHeld = aNow < aPool.mHeldUntil;
    aPool.mDrainedFrom = isHeld ? aNow : aNow + kReplacementLead;
  }
}

void SetShares(TargetPool& aPool, std::int64_t aRouters, std::int64_t aIndex)
{
  aPool.mRouters = aRouters;
  aPool.mRouterIndex = aIndex;
  for (auto& [task, target] : aPool.mTargets) {
    Share(aPool, target);
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
  if (found == aPool.mByService.end() || aNow < aPool.mHeldUntil) {
    return {};
  }
  std::string best;
  // Preferred targets come first, whatever their cost.
  std::pair<int, double> bestCost;
  for (const auto& task : found->second) {
    const auto& target = aPool.mTargets.at(task);
    if (IsLeaving(aPool, target, aNow) ||
        target.mOutstanding >= target.mShare) {
      continue;
    }
    const int penalty =
      (aAvoid.contains(task) ? 2 : 0) + (target.mEjectedUntil > aNow ? 1 : 0);
    const std::pair<int, double> cost(penalty, CostOf(target));
    if (best.empty() || cost < bestCost) {
      best = task;
      bestCost = cost;
    }
  }
  return best;
}

void NoteSent(TargetPool& aPool, const std::string& aTask)
{
  ++aPool.mTargets[aTask].mOutstanding;
}

void NoteEnded(TargetPool& aPool,
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
  target.mLatencyMs += kSmoothing * (aLatencyMs - target.mLatencyMs);
  const bool isSlow =
    target.mLatencyMs > kSlowLeastMs &&
    target.mLatencyMs >
      kSlowFactor * MedianLatency(aPool, target.mTarget.mService);
  if (isSlow && target.mEjectedUntil <= aNow) {
    Eject(aPool, target, aNow);
    target.mLatencyMs = kSlowLeastMs;
  }
}

} // namespace verbenacroft
