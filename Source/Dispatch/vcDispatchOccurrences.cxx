#include "vcDispatchOccurrences.h"

#include "vcDispatchJobs.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

namespace verbenacroft {

namespace {

std::size_t BytesOf(const Occurrence& aOccurrence)
{
  std::size_t bytes = aOccurrence.mSteps.size() * sizeof(DispatchStep);
  for (const auto& step : aOccurrence.mSteps) {
    bytes += step.mTasks.size() * kTaskBytes;
  }
  return bytes;
}

bool IsStepDone(const DispatchStep& aStep)
{
  return aStep.mDone == aStep.mCount;
}

bool IsOccurrenceDone(const DispatchJob& aJob, std::uint32_t aOccurrence)
{
  return aOccurrence < aJob.mNextOccurrence &&
         !aJob.mOccurrences.contains(aOccurrence);
}

Occurrence MakeOccurrence(const DispatchJob& aJob)
{
  Occurrence occurrence;
  for (const auto& spec : aJob.mRecord.mSpec.mSteps) {
    DispatchStep step;
    step.mCount = spec.mCount;
    step.mReadyAt = spec.mAfter.empty() ? aJob.mAcceptedAt : aJob.mAddedAt;
    occurrence.mSteps.push_back(std::move(step));
  }
  return occurrence;
}

/// Begins all occurrences before `aEnd` that haven't begun.
void BeginOccurrences(DispatchShard& aShard,
                      DispatchJob& aJob,
                      std::uint32_t aEnd)
{
  for (; aJob.mNextOccurrence < aEnd; ++aJob.mNextOccurrence) {
    Occurrence occurrence = MakeOccurrence(aJob);
    aShard.mOccurrenceBytes += BytesOf(occurrence);
    aJob.mOccurrences.emplace(aJob.mNextOccurrence, std::move(occurrence));
  }
}

/// Removes an occurrence that is done.
void EndOccurrence(DispatchShard& aShard,
                   DispatchJob& aJob,
                   std::map<std::uint32_t, Occurrence>::iterator aAt)
{
  aShard.mOccurrenceBytes -= BytesOf(aAt->second);
  aJob.mOccurrences.erase(aAt);
  ++aJob.mOccurrencesDone;
}

void OpenStep(DispatchShard& aShard, DispatchStep& aStep)
{
  aStep.mTasks.resize(aStep.mCount);
  for (auto& task : aStep.mTasks) {
    task.mHighestRun = aShard.mRunBase;
  }
  aShard.mOccurrenceBytes += aStep.mCount * kTaskBytes;
}

void CloseStep(DispatchShard& aShard, DispatchStep& aStep)
{
  aShard.mOccurrenceBytes -= aStep.mTasks.size() * kTaskBytes;
  aStep.mTasks = {};
}

/// True if the job has an occurrence that is due and hasn't begun.
bool IsNextDue(const DispatchShard& aShard,
               const DispatchJob& aJob,
               std::int64_t aNowMs)
{
  const BatchSpec& spec = aJob.mRecord.mSpec;
  const std::int64_t dueUntil = aNowMs + aShard.mBounds.mMaxEarlyStart.count();
  return aJob.mNextOccurrence < OccurrencesOf(spec) &&
         DueAtMs(spec, aJob.mNextOccurrence) <= dueUntil;
}

/// True if the step is ready and neither open nor done.
bool IsToOpen(const DispatchJob& aJob,
              const Occurrence& aOccurrence,
              std::uint32_t aStep)
{
  const DispatchStep& step = aOccurrence.mSteps[aStep];
  return step.mTasks.empty() && !IsStepDone(step) &&
         IsStepReady(aJob, aOccurrence, aStep);
}

/// Begins the occurrences of a job that are due.
/// @return false if one had to be left out
bool BeginDueOccurrences(DispatchShard& aShard,
                         DispatchJob& aJob,
                         std::int64_t aNowMs)
{
  while (IsNextDue(aShard, aJob, aNowMs)) {
    const bool isBeyondShare =
      aShard.mOccurrenceBytes > aShard.mMaxOccurrenceBytes / 2;
    if (!aJob.mOccurrences.empty() && isBeyondShare) {
      return false;
    }
    BeginOccurrences(aShard, aJob, aJob.mNextOccurrence + 1);
  }
  return true;
}

/// Opens the steps of the occurrences that have begun.
/// @return false if one had to be left out
bool OpenSteps(DispatchShard& aShard, DispatchJob& aJob)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      if (!IsToOpen(aJob, occurrence, s)) {
        continue;
      }
      DispatchStep& step = occurrence.mSteps[s];
      const std::size_t bytes =
        aShard.mOccurrenceBytes + step.mCount * kTaskBytes;
      if (bytes > aShard.mMaxOccurrenceBytes) {
        return false;
      }
      OpenStep(aShard, step);
    }
  }
  return true;
}

/// A job that has steps to open.
struct JobToOpen
{
  std::int32_t mPriority = 0;
  std::uint64_t mCreatedAt = 0;
  DispatchJob* mJob = nullptr;
};

bool ComesBefore(const JobToOpen& aLeft, const JobToOpen& aRight)
{
  return std::tie(aLeft.mPriority, aLeft.mCreatedAt, aLeft.mJob->mId) <
         std::tie(aRight.mPriority, aRight.mCreatedAt, aRight.mJob->mId);
}

/// True if a step of the job has to be opened or an occurrence has to begin.
bool HasStepsToOpen(const DispatchShard& aShard,
                    const DispatchJob& aJob,
                    std::int64_t aNowMs)
{
  if (IsNextDue(aShard, aJob, aNowMs)) {
    return true;
  }
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      if (IsToOpen(aJob, occurrence, s)) {
        return true;
      }
    }
  }
  return false;
}

void NoteMemoryFull(DispatchShard& aShard, bool aIsFull)
{
  if (aIsFull != aShard.mIsOccurrenceMemoryFull) {
    spdlog::warn("shard.task-memory epoch={} is_full={} bytes={} max_bytes={}",
                 aShard.mEpoch,
                 aIsFull,
                 aShard.mOccurrenceBytes,
                 aShard.mMaxOccurrenceBytes);
  }
  aShard.mIsOccurrenceMemoryFull = aIsFull;
}

} // namespace

DispatchTask* OpenTask(DispatchShard& aShard, const TaskId& aKey)
{
  DispatchTask* open = FindTask(aShard, aKey);
  if (open != nullptr) {
    return open;
  }
  DispatchJob* job = FindJob(aShard, aKey.mJob);
  if (job == nullptr) {
    return nullptr;
  }
  const BatchSpec& spec = job->mRecord.mSpec;
  const bool exists = aKey.mOccurrence < OccurrencesOf(spec) &&
                      aKey.mStep < spec.mSteps.size() &&
                      aKey.mIndex < spec.mSteps[aKey.mStep].mCount;
  if (!exists || IsOccurrenceDone(*job, aKey.mOccurrence)) {
    return nullptr;
  }
  BeginOccurrences(aShard, *job, aKey.mOccurrence + 1);
  DispatchStep& step = StepStateOf(*job, aKey);
  if (IsStepDone(step)) {
    return nullptr;
  }
  OpenStep(aShard, step);
  return &step.mTasks[aKey.mIndex];
}

void OpenFirstOccurrence(DispatchShard& aShard,
                         DispatchJob& aJob,
                         std::int64_t aNowMs)
{
  // Steps that wait for memory come first.
  if (IsNextDue(aShard, aJob, aNowMs) && !aShard.mIsOccurrenceMemoryFull) {
    BeginOccurrences(aShard, aJob, 1);
    OpenSteps(aShard, aJob);
  }
}

void OpenReadySteps(DispatchShard& aShard, std::int64_t aNowMs)
{
  std::vector<JobToOpen> jobs;
  for (auto& [id, job] : aShard.mJobs) {
    if (!IsFinal(job.mState) && HasStepsToOpen(aShard, job, aNowMs)) {
      jobs.push_back({ job.mRecord.mTerms.mPriority, job.mCreatedAt, &job });
    }
  }
  std::sort(jobs.begin(), jobs.end(), ComesBefore);
  bool isFull = false;
  for (const auto& job : jobs) {
    const bool hasBegun = BeginDueOccurrences(aShard, *job.mJob, aNowMs);
    const bool isOpen = OpenSteps(aShard, *job.mJob);
    isFull = isFull || !hasBegun || !isOpen;
  }
  NoteMemoryFull(aShard, isFull);
}

void CountTaskDone(DispatchShard& aShard,
                   DispatchJob& aJob,
                   const TaskId& aKey,
                   TimePoint aReadyAt)
{
  const auto at = aJob.mOccurrences.find(aKey.mOccurrence);
  Occurrence& occurrence = at->second;
  DispatchStep& step = occurrence.mSteps[aKey.mStep];
  ++step.mDone;
  if (!IsStepDone(step)) {
    return;
  }
  CloseStep(aShard, step);
  ++occurrence.mStepsDone;
  const auto& specs = aJob.mRecord.mSpec.mSteps;
  for (std::size_t i = 0; i < specs.size(); ++i) {
    const auto& after = specs[i].mAfter;
    if (std::find(after.begin(), after.end(), aKey.mStep) != after.end()) {
      occurrence.mSteps[i].mReadyAt = aReadyAt;
    }
  }
  if (occurrence.mStepsDone == occurrence.mSteps.size()) {
    EndOccurrence(aShard, aJob, at);
  }
}

bool AreOccurrencesDone(const DispatchJob& aJob)
{
  return aJob.mOccurrencesDone == OccurrencesOf(aJob.mRecord.mSpec);
}

std::vector<std::uint32_t> DoneOccurrences(const DispatchJob& aJob)
{
  std::vector<std::uint32_t> ranges;
  std::uint32_t first = 0;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    if (first < number) {
      ranges.insert(ranges.end(), { first, number - 1 });
    }
    first = number + 1;
  }
  if (first < aJob.mNextOccurrence) {
    ranges.insert(ranges.end(), { first, aJob.mNextOccurrence - 1 });
  }
  return ranges;
}

void MarkOccurrencesDone(DispatchShard& aShard,
                         DispatchJob& aJob,
                         const std::vector<std::uint32_t>& aRanges)
{
  const std::uint32_t count = OccurrencesOf(aJob.mRecord.mSpec);
  for (std::size_t i = 0; i + 1 < aRanges.size(); i += 2) {
    const std::uint32_t first = aRanges[i];
    const std::uint32_t end = std::min(aRanges[i + 1], count - 1) + 1;
    if (first >= end) {
      spdlog::error("job.progress names unknown occurrences job={} first={}",
                    aJob.mId,
                    first);
      continue;
    }
    BeginOccurrences(aShard, aJob, first);
    auto at = aJob.mOccurrences.lower_bound(first);
    while (at != aJob.mOccurrences.end() && at->first < end) {
      EndOccurrence(aShard, aJob, at++);
    }
    if (aJob.mNextOccurrence < end) {
      aJob.mOccurrencesDone += end - aJob.mNextOccurrence;
      aJob.mNextOccurrence = end;
    }
  }
}

void EraseJob(DispatchShard& aShard, const JobId& aJob)
{
  const DispatchJob* job = FindJob(aShard, aJob);
  if (job == nullptr) {
    return;
  }
  for (const auto& [number, occurrence] : job->mOccurrences) {
    aShard.mOccurrenceBytes -= BytesOf(occurrence);
  }
  aShard.mJobs.erase(aJob);
}

} // namespace verbenacroft
