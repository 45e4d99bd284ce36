#include "vcShardPlan.h"

#include <algorithm>

/// Order and placement of waiting batch tasks.

namespace verbenacroft::plan {

namespace {

/// Maximum number of batch tasks that one plan places.
constexpr std::size_t kMaxPlacementsPerPlan = 200;
/// Time after the end of a drain in which fewer tasks are placed.
constexpr Duration kRampUpTime{ 10'000 };
/// Maximum number of batch tasks that one plan places in that time.
constexpr std::size_t kMaxPlacementsPerPlanInRampUp = 2;

/// Returns the index of the job's next waiting task, or nothing.
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

/// Names of the jobs with waiting tasks, by backer, in the order in which
/// they are served.
using Queues = std::map<std::string, std::deque<std::string>>;

/// Returns the queues of the urgent or of the other jobs. The jobs of a backer
/// are sorted by waiting time, longest first.
Queues MakeQueues(Shard& aShard, bool aIsUrgent)
{
  Queues queues;
  std::map<std::string, std::vector<std::pair<TimePoint, std::string>>>
    waitingJobs;
  for (const auto& [name, job] : aShard.mData.mJobs) {
    auto& runtime = aShard.mJobs[name];
    if (job.mState == JobState::kActive && job.mSpec.mIsUrgent == aIsUrgent &&
        NextWaiting(aShard, job, runtime)) {
      waitingJobs[job.mSpec.mBacker].push_back({ runtime.mWaitingSince, name });
    }
  }
  for (auto& [backer, jobs] : waitingJobs) {
    std::sort(jobs.begin(), jobs.end());
    for (auto& [since, name] : jobs) {
      queues[backer].push_back(std::move(name));
    }
  }
  return queues;
}

/// Returns the backer that is served next: the one with the lowest
/// `FairShareExcess`.
std::string NextBacker(const Shard& aShard,
                       const ShardContext& aContext,
                       const Queues& aQueues,
                       const Resources& aTotal)
{
  std::string best;
  double bestShare = 0;
  for (const auto& [backer, jobs] : aQueues) {
    const double share = FairShareExcess(aShard, aContext, backer, aTotal);
    if (best.empty() || share < bestShare) {
      best = backer;
      bestShare = share;
    }
  }
  return best;
}

/// Places the job's next waiting task. Workers on which a task of the job has
/// failed are used only if no other worker can hold it.
/// @return false if no task is waiting or no worker can hold it.
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
    largest = ElementwiseMax(largest, view.mCapacity);
  }
  PlacementRequest request;
  request.mOwnerKind = InterferenceKindOf(aJob.mSpec.mName);
  request.mResources = CorrectedSize(
    aShard.mSizing, aJob.mSpec.mName, aJob.mSpec.mResources, largest);
  std::vector<std::size_t> excludedWorkers;
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    if (aViews[i].mIsSchedulable &&
        runtime.mFailedWorkers.contains(aViews[i].mName)) {
      aViews[i].mIsSchedulable = false;
      excludedWorkers.push_back(i);
    }
  }
  const auto weights = WeightsOf(PolicyOf(*aContext.mConfiguration));
  auto chosen =
    ChooseWorker(aViews, request, aShard.mInterference, weights, aContext.mNow);
  for (const auto i : excludedWorkers) {
    aViews[i].mIsSchedulable = true;
  }
  if (!chosen && !excludedWorkers.empty()) {
    // No worker can hold the task but those on which the job has failed. The
    // task is placed on one of them again, so that it reaches its limit of
    // failures and the submitter is informed.
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
  CommitTask(aShard, std::move(task), aViews[*chosen], aContext);
  return true;
}

/// Places up to `aMaxPlacements` tasks from the queues and reduces it by their
/// number. A job without further waiting tasks, or whose next task fits on no
/// worker, is removed from its queue for this plan, so that it does not block
/// other jobs. For an urgent task that does not fit, batch tasks are evicted.
void PlaceFromQueues(Shard& aShard,
                     const ShardContext& aContext,
                     Queues aQueues,
                     bool aIsUrgent,
                     std::size_t& aMaxPlacements,
                     std::vector<WorkerView>& aViews)
{
  const Resources total = TotalCapacity(aShard);
  while (!aQueues.empty() && aMaxPlacements > 0) {
    const auto backer = NextBacker(aShard, aContext, aQueues, total);
    auto& jobs = aQueues[backer];
    const JobRecord& job = aShard.mData.mJobs.at(jobs.front());
    if (PlaceBatch(aShard, aContext, job, aViews)) {
      --aMaxPlacements;
      continue;
    }
    const bool isWaiting =
      NextWaiting(aShard, job, aShard.mJobs[job.mSpec.mName]).has_value();
    if (aIsUrgent && isWaiting) {
      EvictForCapacity(aShard, aContext, job.mSpec.mResources);
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
  const bool isRampUp = aContext.mNow - aShard.mRestoredAt < kRampUpTime;
  std::size_t maxPlacements =
    isRampUp ? kMaxPlacementsPerPlanInRampUp : kMaxPlacementsPerPlan;
  PlaceFromQueues(
    aShard, aContext, MakeQueues(aShard, true), true, maxPlacements, aViews);
  PlaceFromQueues(
    aShard, aContext, MakeQueues(aShard, false), false, maxPlacements, aViews);
}

} // namespace verbenacroft::plan
