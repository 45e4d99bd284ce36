#include "vcShardPlan.h"

#include <algorithm>

/// Views of a shard's workers for placement, assignment of tasks to workers,
/// and eviction of batch tasks for urgent work.

namespace verbenacroft::plan {

namespace {

/// Returns true if new tasks may be placed on the worker.
bool IsAvailable(const WorkerRuntime& aWorker, TimePoint aNow)
{
  const bool isReachable = aWorker.mIsListed && aWorker.mIsInventoried &&
                           aWorker.mMissedSyncs == 0 && !aWorker.mIsUnreachable;
  return isReachable && aNow >= aWorker.mQuarantinedUntil &&
         aWorker.mInstance.mState == InstanceState::kLive;
}

/// Returns true from the start of a quarantine until a task has succeeded.
/// Between the end of the quarantine and that success, the worker runs one
/// batch task at a time.
bool IsOnProbation(const WorkerRuntime& aWorker)
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
  view.mIsSchedulable = IsAvailable(aWorker, aNow) &&
                        !(IsOnProbation(aWorker) && HasBatch(aShard, aWorker));
  const auto capacity =
    static_cast<double>(std::max<std::int64_t>(view.mCapacity.mMilliCpu, 1));
  for (const auto& name : aWorker.mTasks) {
    const auto& task = aShard.mData.mPlaced.at(name);
    const Neighbour neighbour{ InterferenceKindOf(task.mOwner),
                               static_cast<double>(task.mResources.mMilliCpu) /
                                 capacity };
    if (task.mKind == TaskKind::kService) {
      view.mServices.push_back(neighbour);
    } else {
      view.mBatch.push_back(neighbour);
    }
  }
  return view;
}

} // namespace

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
  std::map<std::string, std::int64_t> countByRack;
  for (auto& view : aViews) {
    const auto& worker = aShard.mWorkers.at(view.mName);
    view.mSameOwnerTasks = std::count_if(
      worker.mTasks.begin(), worker.mTasks.end(), [&](const auto& aTask) {
        return aShard.mData.mPlaced.at(aTask).mOwner == aOwner;
      });
    countByRack[view.mRack] += view.mSameOwnerTasks;
  }
  for (auto& view : aViews) {
    view.mSameOwnerTasksInRack = countByRack[view.mRack];
  }
}

void CommitTask(Shard& aShard,
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
  const Neighbour neighbour{ InterferenceKindOf(aTask.mOwner),
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
  runtime.mSequence = ApplyAndJournal(aShard, record);
  aShard.mDeferredActions.push_back({ runtime.mSequence, aTask.mTask, 0, "" });
  aShard.mTasks[aTask.mTask] = std::move(runtime);
}

double FairShareExcess(const Shard& aShard,
                       const ShardContext& aContext,
                       const std::string& aBacker,
                       const Resources& aTotal)
{
  const auto found = aShard.mLedger.mBackers.find(aBacker);
  if (found == aShard.mLedger.mBackers.end()) {
    return 0;
  }
  const double weight = BackerWeight(*aContext.mConfiguration, aBacker);
  return NormalisedShare(found->second.mCommitted, aTotal, weight) - 1.0;
}

bool EvictForCapacity(Shard& aShard,
                      const ShardContext& aContext,
                      const Resources& aNeeded)
{
  const Resources total = TotalCapacity(aShard);
  std::optional<std::vector<std::string>> bestVictims;
  for (const auto& [name, worker] : aShard.mWorkers) {
    if (!IsAvailable(worker, aContext.mNow)) {
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
      candidate.mLostWorkMs = (aContext.mNow - runtime.mPlacedAt).count();
      candidate.mShareExcess =
        FairShareExcess(aShard, aContext, task.mBacker, total);
      candidates.push_back(std::move(candidate));
    }
    auto victims = ChooseVictims(std::move(candidates),
                                 worker.mInstance.mCapacity - worker.mCommitted,
                                 aNeeded);
    if (victims && (!bestVictims || victims->size() < bestVictims->size())) {
      bestVictims = std::move(victims);
    }
  }
  if (!bestVictims) {
    return false;
  }
  for (const auto& task : *bestVictims) {
    StopTask(aShard, task);
  }
  return true;
}

} // namespace verbenacroft::plan
