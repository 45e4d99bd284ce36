#include "vcSchedulerCore.h"

/// Updates of job claims in the store: the final state of ended jobs, and
/// moves of jobs to another shard. A job moves when the compare-and-swap of its
/// claim succeeds. The claim is written only after every task of the job is
/// known to have ended on this shard, so that no task runs on two shards.

namespace verbenacroft::scheduler {

namespace {

/// Delay before a claim is read again, in milliseconds.
constexpr Duration kClaimRetryDelay{ 300 };

/// True if the job has ended or is moving and none of its tasks is placed.
bool IsClaimDue(const JobRecord& aJob, const JobRuntime& aRuntime)
{
  const bool hasNoPlacedTasks = aRuntime.mPlacedTasks == 0;
  return hasNoPlacedTasks &&
         (IsFinal(aJob.mState) || aJob.mState == JobState::kMoving);
}

/// Reads the job's claim from the store.
void SendClaimRead(SchedulerState& aState,
                   const std::string& aJob,
                   JobRuntime& aRuntime)
{
  StoreRequest request;
  request.mKey = JobKey(aJob);
  aRuntime.mStage = ClaimStage::kReading;
  aRuntime.mStoreCall = PushStoreCall(
    aState.mStore, "claims", StorePriority::kOther, std::move(request));
}

/// Writes the claim if its revision is still the one that was read.
void SendClaimWrite(SchedulerState& aState,
                    const JobClaim& aClaim,
                    ClaimStage aStage,
                    JobRuntime& aRuntime)
{
  StoreRequest request;
  request.mOp = StoreOp::kWrite;
  request.mKey = JobKey(aClaim.mJob.mSpec.mName);
  request.mValue = Encode(aClaim);
  request.mExpectedRevision = aRuntime.mClaimRevision;
  aRuntime.mStage = aStage;
  aRuntime.mStoreCall = PushStoreCall(
    aState.mStore, "claims", StorePriority::kOther, std::move(request));
}

/// Journals the removal of the job and drops its runtime state.
void RemoveJob(Shard& aShard, const std::string& aJob)
{
  ShardRecord record;
  record.mOp = ShardOp::kForget;
  record.mName = aJob;
  ApplyAndJournal(aShard, record);
  aShard.mJobs.erase(aJob);
}

/// Tells the owner of the job's target shard to adopt the job. The job is
/// removed from this shard once the owner has it durably. Until then, the
/// claim is read again after `kClaimRetryDelay`.
void NotifyTargetShard(SchedulerState& aState,
                       Shard& aShard,
                       const std::string& aJob,
                       TimePoint aNow)
{
  auto& runtime = aShard.mJobs[aJob];
  runtime.mStage = ClaimStage::kHandingOver;
  runtime.mRetryAt = aNow + kClaimRetryDelay;
  const Shard* targetShard =
    FindOwnedShard(aState, runtime.mDestinationShard, aNow);
  if (targetShard != nullptr) {
    const bool isAccepted =
      targetShard->mData.mJobs.contains(aJob) &&
      targetShard->mJournal.mDurable == targetShard->mJournal.mAppended;
    if (isAccepted) {
      RemoveJob(aShard, aJob);
      return;
    }
    // This process also owns the target shard: submit a local request.
    JobRequest request;
    request.mOp = JobRequestOp::kAdopt;
    request.mName = aJob;
    request.mShard = runtime.mDestinationShard;
    SubmitJobRequest(aState, std::move(request), aNow);
    return;
  }
  const std::string address =
    FindOwnerAddress(aState, runtime.mDestinationShard, aNow);
  if (address.empty()) {
    return;
  }
  PeerCall call;
  call.mId = aState.mNextCall++;
  call.mAddress = address;
  call.mRequest = { JobRequestOp::kAdopt, aJob, runtime.mDestinationShard };
  runtime.mPeerCall = call.mId;
  aState.mPeerCalls.push_back(std::move(call));
}

/// Makes a moving job active again on this shard.
void ReactivateJob(Shard& aShard, const std::string& aJob)
{
  ShardRecord record;
  record.mOp = ShardOp::kJobState;
  record.mName = aJob;
  record.mState = JobState::kActive;
  ApplyAndJournal(aShard, record);
}

/// Compares the claim that was read with the job. A claim that still has this
/// shard and generation is written with the job's end or next shard. Otherwise
/// the claim is decisive: the job is removed, replaced or handed over to the
/// shard that the claim names.
void OnClaimRead(SchedulerState& aState,
                 Shard& aShard,
                 const std::string& aJob,
                 const StoreEntry& aEntry,
                 TimePoint aNow)
{
  auto& runtime = aShard.mJobs[aJob];
  const auto& job = aShard.mData.mJobs.at(aJob);
  const auto found = TryDecode<JobClaim>(aEntry.mValue);
  runtime.mStage = ClaimStage::kIdle;
  runtime.mRetryAt = aNow + kClaimRetryDelay;
  if (!found) {
    return;
  }
  const bool isCurrentClaim =
    found->mShard == aShard.mName && found->mJob.mGeneration == job.mGeneration;
  if (IsFinal(found->mJob.mState)) {
    RemoveJob(aShard, aJob);
    return;
  }
  if (!isCurrentClaim && found->mShard == aShard.mName) {
    // The job moved to another shard and back: the newer generation in the
    // claim replaces the one on this shard.
    ReplaceJob(aShard, *found, aNow);
    return;
  }
  if (!isCurrentClaim) {
    // An earlier write took effect although its reply was lost.
    runtime.mDestinationShard = found->mShard;
    NotifyTargetShard(aState, aShard, aJob, aNow);
    return;
  }
  runtime.mClaimRevision = aEntry.mRevision;
  JobClaim claim = *found;
  claim.mJob = job;
  auto stage = ClaimStage::kWritingEnd;
  if (job.mState == JobState::kMoving) {
    const auto target = ChooseShard(aState, job.mSpec, aNow);
    if (target == aShard.mName) {
      // The data centre was restored before the job moved.
      ReactivateJob(aShard, aJob);
      return;
    }
    if (target.empty()) {
      return;
    }
    claim.mShard = target;
    ++claim.mJob.mGeneration;
    claim.mJob.mState = JobState::kActive;
    claim.mJob.mReason.clear();
    runtime.mDestinationShard = target;
    stage = ClaimStage::kWritingMove;
  }
  SendClaimWrite(aState, claim, stage, runtime);
}

/// Shard and name of a job; the shard is null if no job was found.
struct JobLocation
{
  Shard* mShard = nullptr;
  std::string mJob;
};

/// Finds the job that waits for the reply to a call. `aField` selects calls to
/// the store or to a peer, which are numbered independently.
JobLocation FindJobOfCall(SchedulerState& aState,
                          std::uint64_t JobRuntime::*aField,
                          std::uint64_t aCall)
{
  for (auto& [shardName, shard] : aState.mShards) {
    for (auto& [name, runtime] : shard.mJobs) {
      if (runtime.*aField == aCall && shard.mData.mJobs.contains(name)) {
        return { &shard, name };
      }
    }
  }
  return {};
}

} // namespace

std::uint64_t ReplaceJob(Shard& aShard, const JobClaim& aClaim, TimePoint aNow)
{
  const auto& name = aClaim.mJob.mSpec.mName;
  if (aShard.mData.mJobs.contains(name)) {
    RemoveJob(aShard, name);
  }
  ShardRecord record;
  record.mOp = ShardOp::kAccept;
  record.mName = name;
  record.mJob = aClaim.mJob;
  aShard.mJobs[name].mWaitingSince = aNow;
  return ApplyAndJournal(aShard, record);
}

void TickClaims(SchedulerState& aState, Shard& aShard, TimePoint aNow)
{
  std::vector<std::string> due;
  for (const auto& [name, job] : aShard.mData.mJobs) {
    const auto& runtime = aShard.mJobs[name];
    if (IsClaimDue(job, runtime) && aNow >= runtime.mRetryAt &&
        aShard.mJournal.mDurable == aShard.mJournal.mAppended) {
      due.push_back(name);
    }
  }
  for (const auto& name : due) {
    auto& runtime = aShard.mJobs[name];
    // While the target shard is being notified, the claim is read again: the
    // target shard may have accepted the job or even finished it.
    if (runtime.mStage == ClaimStage::kIdle ||
        runtime.mStage == ClaimStage::kHandingOver) {
      SendClaimRead(aState, name, runtime);
    }
  }
}

void OnClaimStoreReply(SchedulerState& aState,
                       std::uint64_t aCall,
                       const StoreReply& aReply,
                       TimePoint aNow)
{
  const JobLocation found =
    FindJobOfCall(aState, &JobRuntime::mStoreCall, aCall);
  if (found.mShard == nullptr) {
    return;
  }
  auto& runtime = found.mShard->mJobs[found.mJob];
  runtime.mStoreCall = 0;
  const bool wasReading = runtime.mStage == ClaimStage::kReading;
  const bool isOk = aReply.mStatus == StoreStatus::kOk;
  if (isOk && wasReading && !aReply.mEntries.empty()) {
    OnClaimRead(
      aState, *found.mShard, found.mJob, aReply.mEntries.front(), aNow);
    return;
  }
  if (isOk && !wasReading) {
    if (runtime.mStage == ClaimStage::kWritingMove) {
      NotifyTargetShard(aState, *found.mShard, found.mJob, aNow);
    } else {
      RemoveJob(*found.mShard, found.mJob);
    }
    return;
  }
  // Refused, in conflict or of unknown outcome: read the claim again and
  // evaluate it.
  runtime.mStage = ClaimStage::kIdle;
  runtime.mRetryAt = aNow + kClaimRetryDelay;
}

void OnClaimPeerReply(SchedulerState& aState,
                      std::uint64_t aCall,
                      const std::optional<JobAnswer>& aReply,
                      TimePoint /*aNow*/)
{
  const JobLocation found =
    FindJobOfCall(aState, &JobRuntime::mPeerCall, aCall);
  if (found.mShard == nullptr) {
    return;
  }
  auto& runtime = found.mShard->mJobs[found.mJob];
  if (runtime.mStage != ClaimStage::kHandingOver) {
    return;
  }
  runtime.mPeerCall = 0;
  const bool isAccepted =
    aReply && (aReply->mStatus == JobRequestStatus::kAccepted ||
               aReply->mStatus == JobRequestStatus::kOk);
  if (isAccepted) {
    RemoveJob(*found.mShard, found.mJob);
  }
}

} // namespace verbenacroft::scheduler
