#include "vcShard.h"

#include <algorithm>

/// What the owner of a shard decides: replicas of services, the order of
/// batch work, drains and stops.

namespace verbenacroft {

namespace {

/// Replacements elsewhere get this long before routes are taken away.
constexpr Duration kReplacementLead{ 1'000 };
/// Time in which every router learns that a target leaves.
constexpr Duration kRouteLag{ 3'000 };
/// Batch work of a drained data centre is stopped after the routes moved.
constexpr Duration kBatchLead{ 1'500 };
constexpr Duration kPlanInterval{ 50 };
constexpr std::size_t kPlacementsPerPlan = 200;
/// For this time after a restore the number of starts is limited.
constexpr Duration kRampTime{ 10'000 };
constexpr std::size_t kPlacementsPerPlanInRamp = 2;

/// Part of `aTotal` that falls to `aName` when it is shared out by weight.
/// Remainders go to names in an order that differs for each seed, so that
/// they don't all fall on the same one.
std::int64_t PartOf(std::int64_t aTotal,
                    const std::map<std::string, std::int64_t>& aWeights,
                    const std::string& aName,
                    const std::string& aSeed)
{
  std::int64_t sum = 0;
  for (const auto& [name, weight] : aWeights) {
    sum += weight;
  }
  const auto own = aWeights.find(aName);
  if (sum == 0 || own == aWeights.end()) {
    return 0;
  }
  const std::int64_t whole = aTotal * own->second / sum;
  std::int64_t rest = aTotal;
  std::vector<std::pair<std::int64_t, std::string>> order;
  for (const auto& [name, weight] : aWeights) {
    rest -= aTotal * weight / sum;
    order.emplace_back(aTotal * weight % sum, name);
  }
  std::sort(order.begin(), order.end(), [&](const auto& aLeft, auto& aRight) {
    if (aLeft.first != aRight.first) {
      return aLeft.first > aRight.first;
    }
    return RendezvousWeight(aSeed, aLeft.second) >
           RendezvousWeight(aSeed, aRight.second);
  });
  for (std::int64_t i = 0; i < rest; ++i) {
    if (order[static_cast<std::size_t>(i)].second == aName) {
      return whole + 1;
    }
  }
  return whole;
}

bool IsOpen(const WorkerRuntime& aWorker, TimePoint aNow)
{
  const bool isReachable = aWorker.mIsListed && aWorker.mIsInventoried &&
                           aWorker.mMissed == 0 && !aWorker.mIsGivenUp;
  return isReachable && aNow >= aWorker.mQuarantinedUntil &&
         aWorker.mInstance.mState == InstanceState::kLive;
}

/// A worker on probation runs one batch task at a time.
bool IsProbing(const WorkerRuntime& aWorker)
{
  return aWorker.mQuarantineBackoff > Duration{ 0 };
}

bool HasBatch(const Shard& aShard, const WorkerRuntime& aWorker)
{
  return std::any_of(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const auto& aTask) {
      return aShard.mData.mPlaced.at(aTask).mKind == TaskKind::kBatch;
    });
}

WorkerView ViewOf(const Shard& aShard,
                  const std::string& aName,
                  const WorkerRuntime& aWorker,
                  TimePoint aNow)
{
  WorkerView view;
  view.mName = aName;
  view.mRack = aWorker.mInstance.mRack;
  view.mCapacity = aWorker.mInstance.mCapacity;
  view.mCommitted = aWorker.mCommitted;
  view.mIsOpen =
    IsOpen(aWorker, aNow) && !(IsProbing(aWorker) && HasBatch(aShard, aWorker));
  const auto whole =
    static_cast<double>(std::max<std::int64_t>(view.mCapacity.mMilliCpu, 1));
  for (const auto& name : aWorker.mTasks) {
    const auto& task = aShard.mData.mPlaced.at(name);
    const Neighbour neighbour{ KindOf(task.mOwner),
                               static_cast<double>(task.mResources.mMilliCpu) /
                                 whole };
    if (task.mKind == TaskKind::kService) {
      view.mServices.push_back(neighbour);
    } else {
      view.mBatch.push_back(neighbour);
    }
  }
  return view;
}

std::vector<WorkerView> ViewsOf(const Shard& aShard, TimePoint aNow)
{
  std::vector<WorkerView> views;
  views.reserve(aShard.mWorkers.size());
  for (const auto& [name, worker] : aShard.mWorkers) {
    views.push_back(ViewOf(aShard, name, worker, aNow));
  }
  return views;
}

void CountSameOwner(const Shard& aShard,
                    const std::string& aOwner,
                    std::vector<WorkerView>& aViews)
{
  std::map<std::string, std::int64_t> byRack;
  for (auto& view : aViews) {
    const auto& worker = aShard.mWorkers.at(view.mName);
    view.mSameOwner = std::count_if(
      worker.mTasks.begin(), worker.mTasks.end(), [&](const auto& aTask) {
        return aShard.mData.mPlaced.at(aTask).mOwner == aOwner;
      });
    byRack[view.mRack] += view.mSameOwner;
  }
  for (auto& view : aViews) {
    view.mSameOwnerInRack = byRack[view.mRack];
  }
}

/// Commits the task to the worker: journal first, the start follows once
/// the record is durable.
void Commit(Shard& aShard,
            TaskRecord aTask,
            WorkerView& aView,
            const ShardContext& aContext)
{
  aTask.mWorker = aView.mName;
  aTask.mAttempt = aShard.mData.mLastAttempt + 1;
  auto& worker = aShard.mWorkers[aTask.mWorker];
  worker.mTasks.insert(aTask.mTask);
  worker.mCommitted += aTask.mResources;
  aView.mCommitted = worker.mCommitted;
  const Neighbour neighbour{ KindOf(aTask.mOwner),
                             static_cast<double>(aTask.mResources.mMilliCpu) /
                               static_cast<double>(std::max<std::int64_t>(
                                 aView.mCapacity.mMilliCpu, 1)) };
  auto& neighbours =
    aTask.mKind == TaskKind::kService ? aView.mServices : aView.mBatch;
  neighbours.push_back(neighbour);
  aShard.mLedger.mBackers[aTask.mBacker].mCommitted += aTask.mResources;
  TaskRuntime runtime;
  runtime.mPlacedAt = aContext.mNow;
  runtime.mCheckpoint = aTask.mCheckpoint;
  ShardRecord record;
  record.mOp = ShardOp::kStart;
  record.mName = aTask.mTask;
  record.mTask = aTask;
  runtime.mSequence = Record(aShard, record);
  aShard.mDeferred.push_back({ runtime.mSequence, aTask.mTask, 0, "" });
  aShard.mTasks[aTask.mTask] = std::move(runtime);
}

// ---------------------------------------------------------------- services

struct ServiceCount
{
  std::int64_t mStaying = 0;
  std::vector<std::string> mTasks;
};

bool IsStaying(const Shard& aShard, const TaskRecord& aTask)
{
  const auto& worker = aShard.mWorkers.at(aTask.mWorker);
  return worker.mIsListed && !worker.mIsGivenUp &&
         worker.mInstance.mState == InstanceState::kLive &&
         aShard.mTasks.at(aTask.mTask).mPhase != TaskPhase::kStopping;
}

std::map<std::string, ServiceCount> CountServices(const Shard& aShard)
{
  std::map<std::string, ServiceCount> counts;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind != TaskKind::kService) {
      continue;
    }
    auto& count = counts[task.mOwner];
    if (IsStaying(aShard, task)) {
      ++count.mStaying;
      count.mTasks.push_back(name);
    }
  }
  return counts;
}

void MarkLeaving(Shard& aShard,
                 const std::string& aTask,
                 TimePoint aLeaveAt,
                 Duration aDeadline)
{
  auto& runtime = aShard.mTasks[aTask];
  if (!runtime.mLeaveAt) {
    runtime.mLeaveAt = aLeaveAt;
    runtime.mStopAt = aLeaveAt + kRouteLag + aDeadline;
    ++aShard.mTargetVersion;
  }
}

Duration DeadlineOf(const Configuration& aConfiguration,
                    const std::string& aService)
{
  constexpr Duration kDeadlineOfRemoved{ 5'000 };
  const auto* service = FindNamed(aConfiguration.mServices, aService);
  return service == nullptr ? kDeadlineOfRemoved : service->mDeadline;
}

/// Marks replicas that have to leave, takes the mark back from those that
/// may stay after all, and stops those whose time has come.
void PlanLeaving(Shard& aShard,
                 const ShardContext& aContext,
                 const std::set<std::string>& aExcess)
{
  const bool isDrained =
    IsDrained(*aContext.mConfiguration, aContext.mDataCentre);
  std::vector<std::string> stops;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind != TaskKind::kService) {
      continue;
    }
    auto& runtime = aShard.mTasks[name];
    const auto& worker = aShard.mWorkers.at(task.mWorker);
    const bool isWorkerLeaving =
      worker.mInstance.mState == InstanceState::kLeaving;
    const auto deadline = DeadlineOf(*aContext.mConfiguration, task.mOwner);
    const auto now = aContext.mNow;
    if (isDrained) {
      MarkLeaving(
        aShard, name, *aShard.mDrainedSince + kReplacementLead, deadline);
    } else if (isWorkerLeaving || aExcess.contains(name)) {
      MarkLeaving(aShard, name, now, deadline);
    } else if (runtime.mLeaveAt && runtime.mPhase != TaskPhase::kStopping) {
      runtime.mLeaveAt.reset();
      runtime.mStopAt.reset();
      ++aShard.mTargetVersion;
    }
    if (runtime.mLeaveAt && *runtime.mLeaveAt <= now &&
        *runtime.mLeaveAt + kPlanInterval * 2 > now) {
      ++aShard.mTargetVersion;
    }
    if (runtime.mStopAt && *runtime.mStopAt <= now) {
      stops.push_back(name);
    }
  }
  for (const auto& name : stops) {
    StopTask(aShard, name);
  }
}

std::string FreeReplicaName(const Shard& aShard, const std::string& aService)
{
  for (std::int64_t i = 0;; ++i) {
    std::string name = aService + "@" + aShard.mName + "/" + std::to_string(i);
    if (!aShard.mData.mPlaced.contains(name)) {
      return name;
    }
  }
}

/// Excess of a backer's use over its share of the shard.
double ExcessOf(const Shard& aShard,
                const ShardContext& aContext,
                const std::string& aBacker,
                const Resources& aTotal)
{
  const auto found = aShard.mLedger.mBackers.find(aBacker);
  if (found == aShard.mLedger.mBackers.end()) {
    return 0;
  }
  const double weight = WeightOf(*aContext.mConfiguration, aBacker);
  return NormalisedShare(found->second.mCommitted, aTotal, weight) - 1.0;
}

/// Stops batch tasks on one worker so that `aNeeded` will fit. A worker on
/// which stops are already under way is waited for.
bool MakeRoom(Shard& aShard,
              const ShardContext& aContext,
              const Resources& aNeeded)
{
  const Resources total = TotalCapacity(aShard);
  std::optional<std::vector<std::string>> best;
  for (const auto& [name, worker] : aShard.mWorkers) {
    if (!IsOpen(worker, aContext.mNow)) {
      continue;
    }
    if (!worker.mStops.empty()) {
      return true;
    }
    std::vector<VictimCandidate> candidates;
    for (const auto& taskName : worker.mTasks) {
      const auto& task = aShard.mData.mPlaced.at(taskName);
      const auto& runtime = aShard.mTasks.at(taskName);
      if (task.mKind != TaskKind::kBatch ||
          runtime.mPhase != TaskPhase::kRunning) {
        continue;
      }
      VictimCandidate candidate;
      candidate.mTask = taskName;
      candidate.mResources = task.mResources;
      candidate.mLostWork = (aContext.mNow - runtime.mPlacedAt).count();
      candidate.mExcess = ExcessOf(aShard, aContext, task.mBacker, total);
      candidates.push_back(std::move(candidate));
    }
    auto victims = ChooseVictims(std::move(candidates),
                                 worker.mInstance.mCapacity - worker.mCommitted,
                                 aNeeded);
    if (victims && (!best || victims->size() < best->size())) {
      best = std::move(victims);
    }
  }
  if (!best) {
    return false;
  }
  for (const auto& task : *best) {
    StopTask(aShard, task);
  }
  return true;
}

void PlaceService(Shard& aShard,
                  const ShardContext& aContext,
                  const Service& aService,
                  std::int64_t aMissing,
                  std::vector<WorkerView>& aViews)
{
  const auto weights = WeightsOf(PolicyOf(*aContext.mConfiguration));
  for (std::int64_t i = 0; i < aMissing; ++i) {
    CountSameOwner(aShard, aService.mName, aViews);
    PlacementRequest request;
    request.mKind = TaskKind::kService;
    request.mOwnerKind = KindOf(aService.mName);
    request.mResources = aService.mResources;
    const auto chosen = ChooseWorker(
      aViews, request, aShard.mInterference, weights, aContext.mNow);
    if (!chosen) {
      aShard.mUnplacedReplicas += aMissing - i;
      MakeRoom(aShard, aContext, aService.mResources);
      return;
    }
    TaskRecord task;
    task.mTask = FreeReplicaName(aShard, aService.mName);
    task.mKind = TaskKind::kService;
    task.mOwner = aService.mName;
    task.mBacker = aService.mBacker;
    task.mResources = aService.mResources;
    Commit(aShard, std::move(task), aViews[*chosen], aContext);
  }
}

/// Newest replicas beyond the desired number, by name.
void AddExcess(const ServiceCount& aCount,
               std::int64_t aDesired,
               std::set<std::string>& aExcess)
{
  for (auto i = static_cast<std::size_t>(std::max<std::int64_t>(aDesired, 0));
       i < aCount.mTasks.size();
       ++i) {
    aExcess.insert(aCount.mTasks[i]);
  }
}

void PlanServices(Shard& aShard,
                  const ShardContext& aContext,
                  std::vector<WorkerView>& aViews)
{
  const auto& configuration = *aContext.mConfiguration;
  const bool isDrained = IsDrained(configuration, aContext.mDataCentre);
  auto counts = CountServices(aShard);
  std::set<std::string> excess;
  std::map<std::string, std::int64_t> desired;
  for (const auto& service : configuration.mServices) {
    desired[service.mName] = DesiredReplicas(configuration,
                                             service,
                                             *aContext.mWeights,
                                             aContext.mDataCentre,
                                             aShard.mName);
  }
  for (const auto& [name, count] : counts) {
    AddExcess(count, desired[name], excess);
  }
  PlanLeaving(aShard, aContext, excess);
  aShard.mUnplacedReplicas = 0;
  if (isDrained || aContext.mStartLimit <= aContext.mNow) {
    return;
  }
  for (const auto& service : configuration.mServices) {
    const auto missing =
      desired[service.mName] - counts[service.mName].mStaying;
    if (missing > 0) {
      PlaceService(aShard, aContext, service, missing, aViews);
    }
  }
}

// ------------------------------------------------------------------- batch

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

// ------------------------------------------------------------------- drain

void NoteDrain(Shard& aShard, const ShardContext& aContext)
{
  const bool isDrained =
    IsDrained(*aContext.mConfiguration, aContext.mDataCentre);
  if (isDrained && !aShard.mDrainedSince) {
    aShard.mDrainedSince = aContext.mNow;
  } else if (!isDrained && aShard.mDrainedSince) {
    aShard.mDrainedSince.reset();
    aShard.mRestoredAt = aContext.mNow;
  }
}

void SetJobState(Shard& aShard,
                 const std::string& aJob,
                 JobState aState,
                 const std::string& aReason)
{
  ShardRecord record;
  record.mOp = ShardOp::kJobState;
  record.mName = aJob;
  record.mState = aState;
  record.mReason = aReason;
  Record(aShard, record);
}

/// Sends the jobs of a drained data centre away; those that may run nowhere
/// else are stopped with a checkpoint and wait.
void DrainJobs(Shard& aShard, const ShardContext& aContext)
{
  if (!aShard.mDrainedSince ||
      aContext.mNow - *aShard.mDrainedSince < kBatchLead) {
    return;
  }
  std::vector<std::string> moving;
  for (const auto& [name, job] : aShard.mData.mJobs) {
    if (job.mState == JobState::kActive &&
        !EligibleDataCentres(job.mSpec, *aContext.mConfiguration).empty()) {
      moving.push_back(name);
    }
  }
  for (const auto& name : moving) {
    SetJobState(aShard, name, JobState::kMoving, "data centre drained");
  }
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind == TaskKind::kBatch) {
      StopTask(aShard, name);
    }
  }
}

/// Stops batch tasks on workers that leave and of jobs that don't go on.
void StopUnwanted(Shard& aShard, const ShardContext& aContext)
{
  std::vector<std::string> stops;
  for (const auto& [name, task] : aShard.mData.mPlaced) {
    if (task.mKind == TaskKind::kBatch && !IsWanted(aShard, aContext, task)) {
      stops.push_back(name);
    }
  }
  for (const auto& name : stops) {
    if (!IsDrained(*aContext.mConfiguration, aContext.mDataCentre)) {
      StopTask(aShard, name);
    }
    const auto& task = aShard.mData.mPlaced.at(name);
    const auto& runtime = aShard.mTasks[name];
    if (runtime.mPhase == TaskPhase::kSending && !runtime.mWasSent &&
        aShard.mWorkers[task.mWorker].mIsInventoried) {
      EndTask(aShard,
              name,
              TaskOutcome::kNotStarted,
              runtime.mCheckpoint,
              aContext.mNow);
    }
  }
}

} // namespace

bool IsWanted(const Shard& aShard,
              const ShardContext& aContext,
              const TaskRecord& aTask)
{
  if (IsDrained(*aContext.mConfiguration, aContext.mDataCentre)) {
    return false;
  }
  const auto worker = aShard.mWorkers.find(aTask.mWorker);
  if (worker == aShard.mWorkers.end() || !worker->second.mIsListed ||
      worker->second.mInstance.mState == InstanceState::kLeaving) {
    return false;
  }
  if (aTask.mKind == TaskKind::kService) {
    return true;
  }
  const auto job = aShard.mData.mJobs.find(aTask.mOwner);
  return job != aShard.mData.mJobs.end() &&
         job->second.mState == JobState::kActive;
}

std::int64_t DesiredReplicas(const Configuration& aConfiguration,
                             const Service& aService,
                             const ShardWeights& aWeights,
                             const std::string& aDataCentre,
                             const std::string& aShard)
{
  std::map<std::string, std::int64_t> dataCentres;
  for (const auto& name : aService.mDataCentres) {
    if (!IsDrained(aConfiguration, name)) {
      dataCentres[name] = 1;
    }
  }
  const auto here =
    PartOf(aService.mReplicas, dataCentres, aDataCentre, aService.mName);
  if (here == 0) {
    return 0;
  }
  const auto* dataCentre = FindNamed(aConfiguration.mDataCentres, aDataCentre);
  std::map<std::string, std::int64_t> shards;
  for (const auto& shard : ShardsOf(*dataCentre)) {
    const auto weight = aWeights.find(shard);
    shards[shard] = weight == aWeights.end() ? 0 : weight->second;
  }
  return PartOf(here, shards, aShard, aService.mName);
}

void SettleJobs(Shard& aShard)
{
  std::vector<std::pair<std::string, JobState>> changes;
  std::string reason;
  for (const auto& [name, job] : aShard.mData.mJobs) {
    const auto& runtime = aShard.mJobs[name];
    const bool isRunning = runtime.mPlacedTasks > 0;
    if (job.mState == JobState::kCancelling && !isRunning) {
      changes.emplace_back(name, JobState::kCancelled);
    } else if (job.mState == JobState::kActive ||
               job.mState == JobState::kMoving) {
      const bool hasFailed = std::any_of(
        job.mTasks.begin(), job.mTasks.end(), [&](const auto& aTask) {
          return !aTask.mIsDone && aTask.mFailures >= job.mSpec.mMaxAttempts;
        });
      if (hasFailed) {
        changes.emplace_back(name, JobState::kFailed);
      } else if (DoneTasks(job) == job.mSpec.mTasks) {
        changes.emplace_back(name, JobState::kDone);
      }
    }
  }
  for (const auto& [name, state] : changes) {
    const bool isFailed = state == JobState::kFailed;
    SetJobState(aShard,
                name,
                state,
                isFailed ? "a task failed on as many workers as allowed" : "");
    if (isFailed) {
      for (auto& [workerName, worker] : aShard.mWorkers) {
        worker.mFailedJobs.erase(name);
      }
    }
  }
}

void PlanShard(Shard& aShard, const ShardContext& aContext)
{
  const bool isReady = aContext.mIsOwner &&
                       aShard.mJournal.mPhase == JournalPhase::kOpen &&
                       aContext.mNow - aShard.mPlannedAt >= kPlanInterval;
  if (!isReady || aContext.mConfiguration->mRevision == 0) {
    return;
  }
  aShard.mPlannedAt = aContext.mNow;
  NoteDrain(aShard, aContext);
  SettleJobs(aShard);
  DrainJobs(aShard, aContext);
  StopUnwanted(aShard, aContext);
  RelievePressure(aShard, aContext);
  auto views = ViewsOf(aShard, aContext.mNow);
  PlanServices(aShard, aContext, views);
  PlanBatch(aShard, aContext, views);
  Accrue(aShard.mLedger,
         *aContext.mConfiguration,
         TotalCapacity(aShard),
         aContext.mNow);
}

} // namespace verbenacroft
