#include "vcShardPlan.h"

#include <algorithm>

/// The order in which waiting batch tasks are served, and their placement.

namespace verbenacroft::plan {

namespace {

constexpr std::size_t kPlacementsPerPlan = 200;
/// For this time after a restore the number of starts is limited.
constexpr Duration kRampTime{ 10'000 };
constexpr std::size_t kPlacementsPerPlanInRamp = 2;

/// Index of the job's next task that waits, or nothing.
std::optional<std::int64_t> NextWaiting(const Shard& aShard,
                                        const JobRecord& aJob,
                                        JobRuntime& aRuntime)
{
  const auto count = static_cast<std::int64_t>(aJob.mTasks.size());
  for (auto i = aRuntime.mNextIndex; i < count; ++i) {
    const bool isDone = aJob.mTasks[static_cast<std::size_t>(i)].mIsDone;
    if (!isDone &&
        !aShard.mData.mPlaced.contains(BatchTaskName(aJob.mSpec.mName, i))) {
      aRuntime.mNextIndex = i;
      return i;
    }
  }
  aRuntime.mNextIndex = count;
  return std::nullopt;
}

/// Jobs that wait, for each backer in the order they are served.
using Queues = std::map<std::string, std::deque<std::string>>;

Queues MakeQueues(Shard& aShard, bool aIsUrgent)
{
  Queues queues;
  std::map<std::string, std::vector<std::pair<TimePoint, std::string>>> sorted;
  for (const auto& [name, job] : aShard.mData.mJobs) {
    auto& runtime = aShard.mJobs[name];
    if (job.mState == JobState::kActive && job.mSpec.mIsUrgent == aIsUrgent &&
        NextWaiting(aShard, job, runtime)) {
      sorted[job.mSpec.mBacker].push_back({ runtime.mWaitingSince, name });
    }
  }
  for (auto& [backer, jobs] : sorted) {
    std::sort(jobs.begin(), jobs.end());
    for (auto& [since, name] : jobs) {
      queues[backer].push_back(std::move(name));
    }
  }
  return queues;
}

/// Backer whose turn it is: the one with the lowest normalised share.
std::string NextBacker(const Shard& aShard,
                       const ShardContext& aContext,
                       const Queues& aQueues,
                       const Resources& aTotal)
{
  std::string best;
  double bestShare = 0;
  for (const auto& [backer, jobs] : aQueues) {
    const double share = ExcessOf(aShard, aContext, backer, aTotal);
    if (best.empty() || share < bestShare) {
      best = backer;
      bestShare = share;
    }
  }
  return best;
}

bool PlaceBatch(Shard& aShard,
                const ShardContext& aContext,
                const JobRecord& aJob,
                std::vector<WorkerView>& aViews)
{
  auto& runtime = aShard.mJobs[aJob.mSpec.mName];
  const auto index = NextWaiting(aShard, aJob, runtime);
  if (!index) {
    return false;
  }
  Resources largest;
  for (const auto& view : aViews) {
    largest = Largest(largest, view.mCapacity);
  }
  PlacementRequest request;
  request.mOwnerKind = KindOf(aJob.mSpec.mName);
  request.mResources = CorrectedSize(
    aShard.mSizing, aJob.mSpec.mName, aJob.mSpec.mResources, largest);
  std::vector<std::size_t> closed;
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    if (aViews[i].mIsOpen && runtime.mFailedOn.contains(aViews[i].mName)) {
      aViews[i].mIsOpen = false;
      closed.push_back(i);
    }
  }
  const auto weights = WeightsOf(PolicyOf(*aContext.mConfiguration));
  auto chosen =
    ChooseWorker(aViews, request, aShard.mInterference, weights, aContext.mNow);
  for (const auto i : closed) {
    aViews[i].mIsOpen = true;
  }
  if (!chosen && !closed.empty()) {
    // It failed wherever it could run: it is tried there again, so that it
    // reaches its limit and the submitter is told.
    chosen = ChooseWorker(
      aViews, request, aShard.mInterference, weights, aContext.mNow);
  }
  if (!chosen) {
    return false;
  }
  TaskRecord task;
  task.mTask = BatchTaskName(aJob.mSpec.mName, *index);
  task.mOwner = aJob.mSpec.mName;
  task.mBacker = aJob.mSpec.mBacker;
  task.mIndex = *index;
  task.mResources = request.mResources;
  task.mCheckpoint = aJob.mTasks[static_cast<std::size_t>(*index)].mCheckpoint;
  ++runtime.mPlacedTasks;
  Commit(aShard, std::move(task), aViews[*chosen], aContext);
  return true;
}

/// Serves the queues in turn. A job that does not fit leaves the queue for
/// this round and holds up nobody.
void ServeQueues(Shard& aShard,
                 const ShardContext& aContext,
                 Queues aQueues,
                 bool aIsUrgent,
                 std::size_t& aBudget,
                 std::vector<WorkerView>& aViews)
{
  const Resources total = TotalCapacity(aShard);
  while (!aQueues.empty() && aBudget > 0) {
    const auto backer = NextBacker(aShard, aContext, aQueues, total);
    auto& jobs = aQueues[backer];
    const JobRecord& job = aShard.mData.mJobs.at(jobs.front());
    if (PlaceBatch(aShard, aContext, job, aViews)) {
      --aBudget;
      continue;
    }
    const bool isWaiting =
      NextWaiting(aShard, job, aShard.mJobs[job.mSpec.mName]).has_value();
    if (aIsUrgent && isWaiting) {
      MakeRoom(aShard, aContext, job.mSpec.mResources);
    }
    jobs.pop_front();
    if (jobs.empty()) {
      aQueues.erase(backer);
    }
  }
}

} // namespace

void PlanBatch(Shard& aShard,
               const ShardContext& aContext,
               std::vector<WorkerView>& aViews)
{
  const bool mayStart =
    aContext.mStartLimit > aContext.mNow &&
    !IsDrained(*aContext.mConfiguration, aContext.mDataCentre);
  if (!mayStart) {
    return;
  }
  const bool isRamp = aContext.mNow - aShard.mRestoredAt < kRampTime;
  std::size_t budget = isRamp ? kPlacementsPerPlanInRamp : kPlacementsPerPlan;
  ServeQueues(aShard, aContext, MakeQueues(aShard, true), true, budget, aViews);
  ServeQueues(
    aShard, aContext, MakeQueues(aShard, false), false, budget, aViews);
}

} // namespace verbenacroft::plan
