#include "vcDispatchJobs.h"

#include "vcDispatchOccurrences.h"
#include "vcDispatchSuccession.h"
#include "vcDispatchTurnover.h"
#include "vcWorkerRuns.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Minimum weight of a new run time in the learned mean.
constexpr double kLearningRate = 0.05;
/// Number of runs after which the learned mean replaces the callers' estimates.
constexpr std::uint32_t kMinLearnedRuns = 10;
/// A worker is put into quarantine when tasks of this many different jobs fail
/// there in a row.
constexpr std::size_t kBadWorkerFailures = 2;
/// How long such a worker is in quarantine.
constexpr Duration kQuarantineTime{ 3'000 };

/// Expected time of the critical path through the job's steps, in ms.
double CriticalPathMs(const DispatchShard& aShard, const DispatchJob& aJob)
{
  const auto& steps = aJob.mRecord.mSpec.mSteps;
  std::vector<double> ends(steps.size(), 0);
  double longest = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    double start = 0;
    for (const auto after : steps[i].mAfter) {
      start = std::max(start, ends[after]);
    }
    ends[i] = start + ExpectedRunMs(aShard, aJob, steps[i]);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

void EndJob(DispatchJob& aJob,
            BatchState aState,
            TimePoint aNow,
            std::int64_t aNowMs)
{
  aJob.mState = aState;
  aJob.mEndedAt = aNow;
  aJob.mEndedAtMs = aNowMs;
  aJob.mIsDirty = true;
  spdlog::info("job.end job={} queue={} state={} age_ms={}",
               aJob.mId,
               aJob.mRecord.mTerms.mQueue,
               NameOf(aState),
               (aNow - aJob.mAcceptedAt).count());
}

/// True if the run is the task's current one, on this worker.
bool IsCurrentRun(const DispatchTask& aTask,
                  const DispatchWorker& aWorker,
                  std::uint32_t aRun)
{
  return aTask.mWorker == aWorker.mEntry.mWorker && aTask.mRun == aRun;
}

/// A run that has ended as done, and where.
struct DoneRun
{
  std::uint32_t mRun = 0;
  const DispatchWorker& mWorker;
};

/// True if the task's current run has ended. The members of a gang end together
/// on their workers.
bool HasCurrentRunEnded(const StepSpec& aStep,
                        const DispatchTask& aTask,
                        const DoneRun& aEnded)
{
  return aStep.mIsGang ? aTask.mRun == aEnded.mRun
                       : IsCurrentRun(aTask, aEnded.mWorker, aEnded.mRun);
}

/// Marks a task as done. If it isn't the current run that has ended so, that
/// goes on until it is stopped.
void MarkDone(DispatchShard& aShard,
              const TaskId& aKey,
              const DoneRun& aEnded,
              TimePoint aNow,
              std::int64_t aNowMs)
{
  DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  const DispatchTask* task = FindTask(aShard, aKey);
  if (task == nullptr || task->mPhase == RunPhase::kDone) {
    return;
  }
  const std::string worker = task->mWorker;
  if (worker.empty()) {
    Release(aShard, aKey, RunPhase::kDone);
  } else if (HasCurrentRunEnded(StepOf(job, aKey), *task, aEnded)) {
    Release(aShard, aKey, RunPhase::kDone);
    NoteRunEnded(job, aNow);
    NoteRoomLeft(job, aKey, worker);
    CountRunEnd(aShard, aKey, worker, aNow);
  } else {
    SupersedeRun(aShard, aKey, aEnded.mRun);
    NoteRunEnded(job, aNow);
    job.mLastRun = {};
  }
  CountTaskDone(aShard, job, aKey, aNow);
  if (AreOccurrencesDone(job) && !IsFinal(job.mState)) {
    EndJob(job, BatchState::kCompleted, aNow, aNowMs);
  }
}

/// Marks a task as done whose run has ended so. The members of a gang end
/// together, so that the end of one stands for all of them: the others' may
/// never be heard.
void MarkRunDone(DispatchShard& aShard,
                 const TaskId& aKey,
                 const DoneRun& aEnded,
                 TimePoint aNow,
                 std::int64_t aNowMs)
{
  const StepSpec& step = StepOf(aShard.mJobs.at(aKey.mJob), aKey);
  if (!step.mIsGang) {
    MarkDone(aShard, aKey, aEnded, aNow, aNowMs);
    return;
  }
  TaskId member = aKey;
  for (member.mIndex = 0; member.mIndex < step.mCount; ++member.mIndex) {
    MarkDone(aShard, member, aEnded, aNow, aNowMs);
  }
}

/// Updates the mean run time of the job's queue from a run that is done. Runs
/// of a task that has a checkpoint don't count, because such a run may have
/// done only a part of the task.
void LearnRunTime(DispatchShard& aShard,
                  const DispatchJob& aJob,
                  const DispatchTask& aTask,
                  TimePoint aNow)
{
  const bool isCompleteRun = aTask.mPhase == RunPhase::kRunning &&
                             aTask.mCheckpoint.empty() &&
                             aTask.mStartOrderedAt != kNever;
  if (!isCompleteRun) {
    return;
  }
  const auto elapsed =
    static_cast<double>((aNow - aTask.mStartOrderedAt).count());
  RunTimes& times = aShard.mRunTimes[aJob.mRecord.mTerms.mQueue];
  ++times.mCount;
  const double rate =
    std::max(kLearningRate, 1.0 / static_cast<double>(times.mCount));
  times.mMeanMs += rate * (elapsed - times.mMeanMs);
}

/// Puts a worker into quarantine when tasks of several jobs fail there in a
/// row. Failures of a single job do not count against a worker, because the job
/// may fail everywhere.
void CountWorkerFailure(DispatchWorker& aWorker,
                        const JobId& aJob,
                        TimePoint aNow)
{
  aWorker.mFailedJobs.insert(aJob);
  if (aWorker.mFailedJobs.size() < kBadWorkerFailures) {
    return;
  }
  aWorker.mQuarantinedUntil = aNow + kQuarantineTime;
  spdlog::info("worker.quarantine worker={} failures={} for_ms={}",
               aWorker.mEntry.mWorker,
               aWorker.mFailedJobs.size(),
               kQuarantineTime.count());
}

/// Records a failed run of a task. Of a long-running step, whose attempts
/// aren't limited, only the last failure is kept, so that the record doesn't
/// grow.
/// @return false if the failure isn't new
bool RecordFailedRun(const StepSpec& aStep,
                     DispatchTask& aTask,
                     std::uint32_t aRun)
{
  if (!aStep.mIsLasting) {
    return aTask.mFailedRuns.insert(aRun).second;
  }
  const bool isNew =
    aTask.mFailedRuns.empty() || aRun > *aTask.mFailedRuns.rbegin();
  if (isNew) {
    aTask.mFailedRuns = { aRun };
  }
  return isNew;
}

/// Marks the tasks of a step as done that an earlier owner recorded as done.
void ApplyStepProgress(DispatchShard& aShard,
                       DispatchJob& aJob,
                       const StepProgress& aProgress)
{
  const BatchSpec& spec = aJob.mRecord.mSpec;
  const bool isKnown = aProgress.mOccurrence < OccurrencesOf(spec) &&
                       aProgress.mStep < spec.mSteps.size();
  if (!isKnown) {
    spdlog::error("job.progress names an unknown step job={} step={}",
                  aJob.mId,
                  aProgress.mStep);
    return;
  }
  std::vector<bool> done(spec.mSteps[aProgress.mStep].mCount);
  SetRanges(aProgress.mDone, done);
  for (std::uint32_t i = 0; i < done.size(); ++i) {
    const TaskId key{ aJob.mId, aProgress.mOccurrence, aProgress.mStep, i };
    DispatchTask* task = done[i] ? OpenTask(aShard, key) : nullptr;
    if (task != nullptr && task->mPhase != RunPhase::kDone) {
      task->mPhase = RunPhase::kDone;
      CountTaskDone(aShard, aJob, key, aJob.mAddedAt);
    }
  }
}

void OnFailedRun(DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const TaskId& aKey,
                 std::uint32_t aRun,
                 TimePoint aNow,
                 std::int64_t aNowMs)
{
  DispatchJob& job = aShard.mJobs.at(aKey.mJob);
  DispatchTask& task = *FindTask(aShard, aKey);
  const StepSpec& step = StepOf(job, aKey);
  if (!RecordFailedRun(step, task, aRun)) {
    return;
  }
  const bool isCurrent = IsCurrentRun(task, aWorker, aRun);
  // Long-running tasks may fail at any time, also on a sound worker.
  const bool wasAtWork =
    step.mIsLasting && isCurrent && task.mProgressPercent >= kAtWorkPercent;
  if (!wasAtWork) {
    CountWorkerFailure(aWorker, aKey.mJob, aNow);
  }
  task.mAvoidedWorker = aWorker.mEntry.mWorker;
  const bool hasNoAttemptsLeft =
    !step.mIsLasting &&
    task.mFailedRuns.size() >= job.mRecord.mTerms.mMaxAttempts;
  if (hasNoAttemptsLeft && !IsFinal(job.mState)) {
    EndJob(job, BatchState::kFailed, aNow, aNowMs);
  }
}

/// The tasks of a step that are done, as inclusive ranges of their indexes.
std::vector<std::uint32_t> DoneRanges(const DispatchStep& aStep)
{
  if (aStep.mTasks.empty()) {
    return { 0, aStep.mCount - 1 };
  }
  std::vector<bool> done;
  for (const auto& task : aStep.mTasks) {
    done.push_back(task.mPhase == RunPhase::kDone);
  }
  return RangesOf(done);
}

} // namespace

bool HasLearnedRunTime(const DispatchShard& aShard, const DispatchJob& aJob)
{
  const auto found = aShard.mRunTimes.find(aJob.mRecord.mTerms.mQueue);
  return found != aShard.mRunTimes.end() &&
         found->second.mCount >= kMinLearnedRuns;
}

double ExpectedRunMs(const DispatchShard& aShard,
                     const DispatchJob& aJob,
                     const StepSpec& aStep)
{
  return HasLearnedRunTime(aShard, aJob)
           ? aShard.mRunTimes.at(aJob.mRecord.mTerms.mQueue).mMeanMs
           : static_cast<double>(aStep.mEstimateMs);
}

std::int64_t DueAtMs(const BatchSpec& aSpec, std::uint32_t aOccurrence)
{
  if (aSpec.mRepeatCount == 0) {
    return 0;
  }
  return aSpec.mStartAtMs + aSpec.mIntervalMs * aOccurrence;
}

TimePoint ReadyAt(const DispatchJob& aJob,
                  const TaskId& aTask,
                  TimePoint aNow,
                  std::int64_t aNowMs)
{
  const DispatchStep& step = StepStateOf(aJob, aTask);
  const std::int64_t dueAt = DueAtMs(aJob.mRecord.mSpec, aTask.mOccurrence);
  if (dueAt == 0) {
    return step.mReadyAt;
  }
  return std::max(step.mReadyAt, aNow + Duration(dueAt - aNowMs));
}

TimePoint IdleSince(const DispatchJob& aJob,
                    const TaskId& aTask,
                    TimePoint aNow,
                    std::int64_t aNowMs)
{
  return std::max(aJob.mIdleSince, ReadyAt(aJob, aTask, aNow, aNowMs));
}

void AddJob(DispatchShard& aShard,
            const JobId& aId,
            BatchRecord aRecord,
            std::uint64_t aCreatedAt,
            TimePoint aNow,
            std::int64_t aNowMs)
{
  if (aShard.mJobs.contains(aId)) {
    return;
  }
  DispatchJob job;
  job.mId = aId;
  job.mRecord = std::move(aRecord);
  job.mCreatedAt = aCreatedAt;
  const std::int64_t age = std::clamp<std::int64_t>(
    aNowMs - job.mRecord.mAcceptedAtMs, 0, aShard.mBounds.mStatus.count());
  job.mAcceptedAt = aNow - Duration(age);
  job.mIdleSince = job.mAcceptedAt;
  job.mAddedAt = aNow;
  const QueueTerms& terms = job.mRecord.mTerms;
  const double objective = terms.mStretch * CriticalPathMs(aShard, job) +
                           static_cast<double>(terms.mTargetMs);
  job.mObjectiveAt =
    job.mAcceptedAt + Duration(static_cast<std::int64_t>(objective));
  DispatchJob& added = aShard.mJobs.emplace(aId, std::move(job)).first->second;
  OpenFirstOccurrence(aShard, added, aNowMs);
  const auto cancellation = aShard.mPendingCancellations.find(aId);
  if (cancellation != aShard.mPendingCancellations.end()) {
    const std::uint64_t revision = cancellation->second.mRevision;
    aShard.mPendingCancellations.erase(cancellation);
    CancelJob(aShard, aId, revision, aNow, aNowMs);
  }
}

void ApplyProgress(DispatchShard& aShard,
                   const JobId& aId,
                   const BatchProgress& aProgress)
{
  DispatchJob* job = FindJob(aShard, aId);
  if (job == nullptr) {
    return;
  }
  MarkOccurrencesDone(aShard, *job, aProgress.mDoneOccurrences);
  for (const auto& step : aProgress.mSteps) {
    ApplyStepProgress(aShard, *job, step);
  }
  for (const auto& row : aProgress.mTasks) {
    DispatchTask* task =
      OpenTask(aShard, { aId, row.mOccurrence, row.mStep, row.mIndex });
    if (task != nullptr && task->mPhase != RunPhase::kDone) {
      task->mHighestRun = std::max(task->mHighestRun, row.mRun);
      task->mEndedRun = row.mRun;
      task->mFailedRuns = { row.mFailedRuns.begin(), row.mFailedRuns.end() };
      task->mCheckpoint = row.mCheckpoint;
    }
  }
  const bool hasBegun = !aProgress.mDoneOccurrences.empty() ||
                        !aProgress.mSteps.empty() || !aProgress.mTasks.empty();
  job->mState = IsFinal(aProgress.mState) || !hasBegun ? aProgress.mState
                                                       : BatchState::kRunning;
  job->mIsFinalStored = IsFinal(job->mState);
}

void CancelJob(DispatchShard& aShard,
               const JobId& aId,
               std::uint64_t aRevision,
               TimePoint aNow,
               std::int64_t aNowMs)
{
  DispatchJob* job = FindJob(aShard, aId);
  if (job == nullptr && !aShard.mEndedJobs.contains(aId)) {
    aShard.mPendingCancellations[aId] = { aRevision, aNow };
  } else if (job != nullptr && !IsFinal(job->mState)) {
    EndJob(*job, BatchState::kCancelled, aNow, aNowMs);
  }
}

void FailJob(DispatchShard& aShard,
             const JobId& aId,
             TimePoint aNow,
             std::int64_t aNowMs)
{
  DispatchJob* job = FindJob(aShard, aId);
  if (job != nullptr && !IsFinal(job->mState)) {
    EndJob(*job, BatchState::kFailed, aNow, aNowMs);
  }
}

void OnRunLost(DispatchShard& aShard, const TaskId& aKey, TimePoint aNow)
{
  DispatchTask* task = FindTask(aShard, aKey);
  if (task != nullptr && !task->mWorker.empty()) {
    ReleaseToWait(aShard, aKey, aNow);
  }
}

void OnRunEnd(DispatchShard& aShard,
              DispatchWorker& aWorker,
              const EndedRun& aEnd,
              TimePoint aNow,
              std::int64_t aNowMs)
{
  const TaskId key = aEnd.mTask;
  RemoveRunToStop(aShard, aWorker, { aEnd.mTask, aEnd.mRun });
  DispatchTask* task = OpenTask(aShard, key);
  if (task == nullptr) {
    return;
  }
  DispatchJob& job = aShard.mJobs.at(key.mJob);
  const bool isLongRunning = StepOf(job, key).mIsLasting;
  spdlog::info("task.end task={} run={} worker={} how={} age_ms={}",
               Describe(aEnd.mTask),
               aEnd.mRun,
               aWorker.mEntry.mWorker,
               NameOf(aEnd.mRunEnd),
               (aNow - task->mStartOrderedAt).count());
  MarkStarted(job);
  job.mIsDirty = job.mIsDirty || !job.mIsFinalStored;
  if (aEnd.mRunEnd == RunEnd::kDone && !isLongRunning) {
    aWorker.mFailedJobs.clear();
    if (IsCurrentRun(*task, aWorker, aEnd.mRun)) {
      LearnRunTime(aShard, job, *task, aNow);
    }
    MarkRunDone(aShard, key, { aEnd.mRun, aWorker }, aNow, aNowMs);
    return;
  }
  if (aEnd.mRunEnd == RunEnd::kFailed) {
    OnFailedRun(aShard, aWorker, key, aEnd.mRun, aNow, aNowMs);
  }
  task->mEndedRun = std::max(task->mEndedRun, aEnd.mRun);
  const bool isCurrent = IsCurrentRun(*task, aWorker, aEnd.mRun);
  const bool isLatest = aEnd.mRun >= task->mRun;
  task->mHighestRun = std::max(task->mHighestRun, aEnd.mRun);
  if (isLatest && !aEnd.mCheckpoint.empty() &&
      task->mPhase != RunPhase::kDone) {
    task->mCheckpoint = aEnd.mCheckpoint;
  }
  if (isCurrent) {
    ReleaseToWait(aShard, key, aNow);
    NoteRunEnded(job, aNow);
  }
}

BatchProgress ProgressOf(const DispatchJob& aJob)
{
  BatchProgress progress;
  progress.mState = aJob.mState;
  progress.mEndedAtMs = aJob.mEndedAtMs;
  if (IsFinal(aJob.mState)) {
    return progress;
  }
  progress.mDoneOccurrences = DoneOccurrences(aJob);
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const DispatchStep& step = occurrence.mSteps[s];
      if (step.mDone > 0) {
        progress.mSteps.push_back({ number, s, DoneRanges(step) });
      }
      for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
        const DispatchTask& task = step.mTasks[i];
        const bool hasProgress =
          task.mPhase != RunPhase::kDone &&
          (!task.mFailedRuns.empty() || !task.mCheckpoint.empty());
        if (hasProgress) {
          progress.mTasks.push_back(
            { number,
              s,
              i,
              task.mEndedRun,
              { task.mFailedRuns.begin(), task.mFailedRuns.end() },
              task.mCheckpoint });
        }
      }
    }
  }
  return progress;
}

std::string EncodeProgress(const DispatchJob& aJob, std::size_t aMaxBytes)
{
  BatchProgress progress = ProgressOf(aJob);
  std::string text = Encode(progress);
  if (text.size() <= aMaxBytes) {
    return text;
  }
  const std::size_t wholeBytes = text.size();
  for (auto& task : progress.mTasks) {
    task.mCheckpoint.clear();
  }
  std::erase_if(progress.mTasks, [](const TaskProgress& aTask) {
    return aTask.mFailedRuns.empty();
  });
  text = Encode(progress);
  spdlog::warn("job.checkpoints-not-stored job={} bytes={} max_bytes={} "
               "without_checkpoints={}",
               aJob.mId,
               wholeBytes,
               aMaxBytes,
               text.size());
  return text;
}

bool IsStepReady(const DispatchJob& aJob,
                 const Occurrence& aOccurrence,
                 std::uint32_t aStep)
{
  const auto& after = aJob.mRecord.mSpec.mSteps[aStep].mAfter;
  return std::all_of(
    after.begin(), after.end(), [&](std::uint32_t aDependency) {
      const DispatchStep& step = aOccurrence.mSteps[aDependency];
      return step.mDone == step.mCount;
    });
}

} // namespace verbenacroft
