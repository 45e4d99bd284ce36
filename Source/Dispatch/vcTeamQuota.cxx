#include "vcTeamQuota.h"

#include "vcFairness.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace verbenacroft {

namespace {

/// A resource of a quota: its limit, what is used and what more is needed.
struct QuotaRow
{
  std::int64_t mLimit = 0;
  std::int64_t mUsed = 0;
  std::int64_t mNeeded = 0;
};

/// The resources that the limit bounds.
std::vector<QuotaRow> LimitedRows(const Resources& aLimit,
                                  const Resources& aUsed,
                                  const Resources& aNeeded)
{
  std::vector<QuotaRow> rows;
  const auto add = [&](std::int64_t Resources::*aMember) {
    if (aLimit.*aMember > 0) {
      rows.push_back({ aLimit.*aMember, aUsed.*aMember, aNeeded.*aMember });
    }
  };
  add(&Resources::mMilliCpu);
  add(&Resources::mMemoryMb);
  add(&Resources::mAccelerators);
  return rows;
}

/// Needs of so many tasks. A resource is at most `kMaxAmount`, so that the sum
/// over all jobs of a shard fits into 64 bits, whatever callers request.
Resources Times(const Resources& aNeeds, std::int64_t aCount)
{
  constexpr std::int64_t kMaxAmount = 100'000'000'000'000;
  const auto times = [&](std::int64_t aNeed) {
    return std::min(aNeed * aCount, kMaxAmount);
  };
  return { times(aNeeds.mMilliCpu),
           times(aNeeds.mMemoryMb),
           times(aNeeds.mAccelerators),
           times(aNeeds.mSlots) };
}

/// The share that `aAmount` of a limit needs, at most the whole.
std::uint32_t ShareOf(std::int64_t aAmount, std::int64_t aLimit)
{
  const double share = std::ceil(static_cast<double>(aAmount) *
                                 kWholeTeamShare / static_cast<double>(aLimit));
  return static_cast<std::uint32_t>(
    std::clamp(share, 0.0, static_cast<double>(kWholeTeamShare)));
}

/// The largest share that `aAmounts` need of any limited resource.
std::uint32_t LargestShare(const Resources& aLimit, const Resources& aAmounts)
{
  std::uint32_t share = 0;
  for (const auto& row : LimitedRows(aLimit, {}, aAmounts)) {
    share = std::max(share, ShareOf(row.mNeeded, row.mLimit));
  }
  return share;
}

/// Number of tasks of the step that wait for a start.
std::int64_t CountWaiting(const DispatchStep& aStep)
{
  return std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const DispatchTask& aTask) {
      return aTask.mPhase == RunPhase::kWaiting;
    });
}

/// Number of tasks of a step that may run on workers which haven't answered.
std::int64_t CountUnseenOfStep(const DispatchJob& aJob,
                               const DispatchStep& aStep,
                               const HeldRevisions& aHeld,
                               TimePoint aNow)
{
  if (aStep.mTasks.empty()) {
    return std::int64_t{ aStep.mCount } - aStep.mDone;
  }
  return std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [&](const DispatchTask& aTask) {
      return aTask.mPhase == RunPhase::kWaiting &&
             MayRunUnseen(aJob, aTask, aHeld, aNow);
    });
}

/// True if the candidates of the tier keep their order whatever their teams
/// use: long-running tasks must not be away for long, and a succession takes
/// only the room that its own job has left.
bool IsOrderKept(Tier aTier)
{
  return aTier == Tier::kOverdueLongRunning || aTier == Tier::kSuccession;
}

Resources TotalCapacity(const DispatchShard& aShard)
{
  Resources total;
  for (const auto& [name, worker] : aShard.mWorkers) {
    total += worker.mEntry.mCapacity;
  }
  return total;
}

/// Most that the runs on workers which haven't answered can use. A worker that
/// discovery doesn't list counts as the largest of the others.
Resources MaxUnseenUse(const DispatchShard& aShard)
{
  // Best-effort tasks use what others on the worker request and leave.
  constexpr std::int64_t kRequestsPerCapacity = 2;
  Resources largest;
  for (const auto& [name, worker] : aShard.mWorkers) {
    const Resources& capacity = worker.mEntry.mCapacity;
    largest.mMilliCpu = std::max(largest.mMilliCpu, capacity.mMilliCpu);
    largest.mMemoryMb = std::max(largest.mMemoryMb, capacity.mMemoryMb);
    largest.mAccelerators =
      std::max(largest.mAccelerators, capacity.mAccelerators);
  }
  Resources most;
  for (const auto& [name, unanswered] : aShard.mUnansweredWorkers) {
    const auto known = aShard.mWorkers.find(name);
    most +=
      known == aShard.mWorkers.end() ? largest : known->second.mEntry.mCapacity;
  }
  return Times(most, kRequestsPerCapacity);
}

Resources Lesser(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.mMilliCpu, aRight.mMilliCpu),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators),
           std::min(aLeft.mSlots, aRight.mSlots) };
}

double WeightOf(const DispatchShard& aShard, const std::string& aTeam)
{
  const auto quota = aShard.mTeams.find(aTeam);
  return quota == aShard.mTeams.end() ? 1 : quota->second.mWeight;
}

/// A candidate and the share of its team at which it would start.
struct SharedCandidate
{
  double mShare = 0;
  Candidate mCandidate;
};

} // namespace

TeamShares EqualTeamShares(std::uint32_t aShards)
{
  TeamShares shares;
  shares.mShares.assign(aShards, kWholeTeamShare / std::max(1U, aShards));
  return shares;
}

bool IsValid(const TeamShares& aShares, std::uint32_t aShards)
{
  const std::uint64_t sum = std::accumulate(
    aShares.mShares.begin(), aShares.mShares.end(), std::uint64_t{ 0 });
  return aShares.mShares.size() == aShards && sum <= kWholeTeamShare;
}

TeamDemand DemandOf(const DispatchShard& aShard,
                    const std::string& aTeam,
                    std::int64_t aNowMs)
{
  TeamDemand demand;
  const auto quota = aShard.mTeams.find(aTeam);
  if (quota == aShard.mTeams.end()) {
    return demand;
  }
  const auto use = aShard.mTeamUse.find(aTeam);
  Resources used;
  if (use != aShard.mTeamUse.end()) {
    used = use->second.mKnown + use->second.mUnseen;
  }
  Resources waiting;
  std::uint32_t next = kWholeTeamShare;
  for (const auto& row : aShard.mJobs) {
    const DispatchJob& job = row.second;
    if (job.mRecord.mTerms.mTeam != aTeam || IsFinal(job.mState)) {
      continue;
    }
    VisitReadySteps(aShard, job, aNowMs, [&](const TaskId& aFirstTask) {
      const StepSpec& step = StepOf(job, aFirstTask);
      waiting += Times(step.mNeeds, CountWaiting(StepStateOf(job, aFirstTask)));
      const Resources first =
        Times(step.mNeeds, step.mIsGang ? step.mCount : 1);
      next = std::min(next, LargestShare(quota->second.mLimit, first));
    });
  }
  for (const auto& row : LimitedRows(quota->second.mLimit, used, waiting)) {
    demand.mUsed = std::max(demand.mUsed, ShareOf(row.mUsed, row.mLimit));
    demand.mWanted =
      std::max(demand.mWanted, ShareOf(row.mUsed + row.mNeeded, row.mLimit));
  }
  demand.mNext = demand.mWanted > demand.mUsed ? next : 0;
  return demand;
}

TeamShares PlanTeamShares(const TeamShares& aShares,
                          std::uint32_t aShard,
                          const TeamDemand& aDemand)
{
  TeamShares planned = aShares;
  auto& wanting = planned.mWanting;
  std::uint32_t& own = planned.mShares.at(aShard);
  const auto shards = static_cast<std::uint32_t>(planned.mShares.size());
  const std::uint32_t equal = kWholeTeamShare / shards;
  const std::uint32_t sum = std::accumulate(
    planned.mShares.begin(), planned.mShares.end(), std::uint32_t{ 0 });
  if (aDemand.mWanted > own) {
    own = std::min(aDemand.mWanted, own + kWholeTeamShare - sum);
  }
  const std::uint32_t withNext =
    std::min(kWholeTeamShare, aDemand.mUsed + aDemand.mNext);
  const bool isFirst = wanting.empty() || wanting.front() == aShard;
  const bool isOnlyOne = wanting.empty() || (isFirst && wanting.size() == 1);
  if (!isOnlyOne) {
    const std::uint32_t inTurn = isFirst ? withNext : 0;
    const std::uint32_t needed =
      withNext <= equal ? std::min(aDemand.mWanted, equal) : inTurn;
    own = std::min(own, std::max(aDemand.mUsed, needed));
  }
  const bool isWanting = aDemand.mWanted > own;
  const bool isListed =
    std::find(wanting.begin(), wanting.end(), aShard) != wanting.end();
  // Once the next task fits, the turn is another shard's.
  const bool isServed = isListed && own >= withNext;
  if (isListed && (!isWanting || isServed)) {
    std::erase(wanting, aShard);
  }
  if (isWanting && (!isListed || isServed)) {
    wanting.push_back(aShard);
  }
  return planned;
}

void SetTeams(DispatchShard& aShard,
              const std::vector<TeamConfig>& aTeams,
              std::uint32_t aShards)
{
  std::map<std::string, TeamQuota> teams;
  for (const auto& team : aTeams) {
    const auto known = aShard.mTeams.find(team.mName);
    const std::uint32_t first = aShards <= 1 ? kWholeTeamShare : 0;
    const std::uint32_t share =
      known == aShard.mTeams.end() ? first : known->second.mShare;
    teams[team.mName] = { team.mLimit, team.mWeight, share };
  }
  aShard.mTeams = std::move(teams);
}

void CountUnseenRuns(DispatchShard& aShard,
                     const HeldRevisions& aHeld,
                     TimePoint aNow)
{
  for (auto& [team, use] : aShard.mTeamUse) {
    use.mUnseen = {};
  }
  if (aShard.mTeams.empty() || aHeld.mLongRunning == 0) {
    return;
  }
  for (const auto& [id, job] : aShard.mJobs) {
    const std::string& team = job.mRecord.mTerms.mTeam;
    if (team.empty() || job.mCreatedAt > aHeld.mLongRunning) {
      continue;
    }
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (std::size_t s = 0; s < occurrence.mSteps.size(); ++s) {
        aShard.mTeamUse[team].mUnseen +=
          Times(job.mRecord.mSpec.mSteps[s].mNeeds,
                CountUnseenOfStep(job, occurrence.mSteps[s], aHeld, aNow));
      }
    }
  }
  const Resources most = MaxUnseenUse(aShard);
  for (auto& [team, use] : aShard.mTeamUse) {
    use.mUnseen = Lesser(use.mUnseen, most);
  }
}

bool MayTeamStart(const DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const StepSpec& aStep,
                  std::uint32_t aTasks)
{
  const std::string& team = aJob.mRecord.mTerms.mTeam;
  const auto quota = aShard.mTeams.find(team);
  if (team.empty() || quota == aShard.mTeams.end()) {
    return true;
  }
  const auto found = aShard.mTeamUse.find(team);
  const TeamUse use =
    found == aShard.mTeamUse.end() ? TeamUse{} : found->second;
  const auto rows = LimitedRows(quota->second.mLimit,
                                use.mKnown + use.mUnseen,
                                Times(aStep.mNeeds, aTasks));
  const std::int64_t share = quota->second.mShare;
  const bool fits =
    std::all_of(rows.begin(), rows.end(), [&](const QuotaRow& aRow) {
      const std::int64_t part =
        aRow.mLimit / kWholeTeamShare * share +
        aRow.mLimit % kWholeTeamShare * share / kWholeTeamShare;
      return aRow.mNeeded == 0 || aRow.mUsed + aRow.mNeeded <= part;
    });
  const bool isUnused =
    std::all_of(rows.begin(), rows.end(), [](const QuotaRow& aRow) {
      return aRow.mUsed == 0;
    });
  return fits || (share == kWholeTeamShare && isUnused);
}

void OrderByTeamShare(const DispatchShard& aShard,
                      std::vector<Candidate>& aCandidates)
{
  if (aShard.mTeams.empty()) {
    return;
  }
  const Resources total = TotalCapacity(aShard);
  std::map<std::string, Resources> uses;
  for (const auto& [team, use] : aShard.mTeamUse) {
    uses[team] = use.mKnown;
  }
  std::vector<SharedCandidate> rows;
  rows.reserve(aCandidates.size());
  for (auto& candidate : aCandidates) {
    const DispatchJob& job = aShard.mJobs.at(candidate.mFirstTask.mJob);
    const std::string& team = job.mRecord.mTerms.mTeam;
    Resources& use = uses[team];
    rows.push_back(
      { NormalisedShare(use, total, WeightOf(aShard, team)), candidate });
    const std::int64_t tasks =
      IsTurn(candidate.mTier)
        ? 1
        : CountWaiting(StepStateOf(job, candidate.mFirstTask));
    use += Times(StepOf(job, candidate.mFirstTask).mNeeds, tasks);
  }
  for (auto begin = rows.begin(); begin != rows.end();) {
    const auto end =
      std::find_if(begin, rows.end(), [&](const SharedCandidate& aRow) {
        return !HaveSameRank(aRow.mCandidate, begin->mCandidate);
      });
    if (!IsOrderKept(begin->mCandidate.mTier)) {
      std::stable_sort(begin, end, [](const auto& aLeft, const auto& aRight) {
        return aLeft.mShare < aRight.mShare;
      });
    }
    begin = end;
  }
  std::transform(
    rows.begin(), rows.end(), aCandidates.begin(), [](SharedCandidate& aRow) {
      return std::move(aRow.mCandidate);
    });
}

} // namespace verbenacroft
