#include "vcSchedulerCore.h"

/// Claims of jobs in the store: the final state of ended jobs, and moves to
/// another shard. The compare-and-swap of the claim is what moves a job; it
/// is made only after every task of the job has provably ended here.

namespace verbenacroft::scheduler {

namespace {

constexpr Duration kClaimRetry{ 300 };

bool IsClaimDue(const JobRecord& aJob, const JobRuntime& aRuntime)
{
  const bool isAtRest = aRuntime.mPlacedTasks == 0;
  return isAtRest && (IsFinal(aJob.mState) || aJob.mState == JobState::kMoving);
}

void SendRead(SchedulerState& aState,
              const std::string& aJob,
              JobRuntime& aRuntime)
{
  StoreRequest request;
  request.mKey = JobKey(aJob);
  aRuntime.mStage = ClaimStage::kReading;
  aRuntime.mStoreCall = PushStoreCall(
    aState.mStore, "claims", StorePriority::kRest, std::move(request));
}

void SendWrite(SchedulerState& aState,
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
    aState.mStore, "claims", StorePriority::kRest, std::move(request));
}

void Forget(Shard& aShard, const std::string& aJob)
{
  ShardRecord record;
  record.mOp = ShardOp::kForget;
  record.mName = aJob;
  Record(aShard, record);
  aShard.mJobs.erase(aJob);
}

void HandOver(SchedulerState& aState,
              Shard& aShard,
              const std::string& aJob,
              TimePoint aNow)
{
  auto& runtime = aShard.mJobs[aJob];
  runtime.mStage = ClaimStage::kHandingOver;
  runtime.mRetryAt = aNow + kClaimRetry;
  const Shard* own = FindOwned(aState, runtime.mTargetShard, aNow);
  if (own != nullptr) {
    const bool isTaken = own->mData.mJobs.contains(aJob) &&
                         own->mJournal.mDurable == own->mJournal.mAppended;
    if (isTaken) {
      Forget(aShard, aJob);
      return;
    }
    // The other shard is owned here as well: the desk takes the job up.
    DeskRequest request;
    request.mOp = DeskOp::kAdopt;
    request.mName = aJob;
    request.mShard = runtime.mTargetShard;
    SubmitToDesk(aState, std::move(request), aNow);
    return;
  }
  const std::string address =
    AddressOfOwner(aState, runtime.mTargetShard, aNow);
  if (address.empty()) {
    return;
  }
  PeerCall call;
  call.mId = aState.mNextCall++;
  call.mAddress = address;
  call.mRequest = { DeskOp::kAdopt, aJob, runtime.mTargetShard };
  runtime.mPeerCall = call.mId;
  aState.mPeerCalls.push_back(std::move(call));
}

void StayHere(Shard& aShard, const std::string& aJob)
{
  ShardRecord record;
  record.mOp = ShardOp::kJobState;
  record.mName = aJob;
  record.mState = JobState::kActive;
  Record(aShard, record);
}

/// Decides with the claim at hand what is to be written.
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
  runtime.mRetryAt = aNow + kClaimRetry;
  if (!found) {
    return;
  }
  const bool isOurs =
    found->mShard == aShard.mName && found->mJob.mGeneration == job.mGeneration;
  if (IsFinal(found->mJob.mState)) {
    Forget(aShard, aJob);
    return;
  }
  if (!isOurs && found->mShard == aShard.mName) {
    // The job went away and came back: its newer life replaces this one.
    ReplaceJob(aShard, *found, aNow);
    return;
  }
  if (!isOurs) {
    // Our earlier write took effect although its answer was lost.
    runtime.mTargetShard = found->mShard;
    HandOver(aState, aShard, aJob, aNow);
    return;
  }
  runtime.mClaimRevision = aEntry.mRevision;
  JobClaim claim = *found;
  claim.mJob = job;
  auto stage = ClaimStage::kWritingEnd;
  if (job.mState == JobState::kMoving) {
    const auto target = ChooseShard(aState, job.mSpec, aNow);
    if (target == aShard.mName) {
      // The data centre was restored before the job had left.
      StayHere(aShard, aJob);
      return;
    }
    if (target.empty()) {
      return;
    }
    claim.mShard = target;
    ++claim.mJob.mGeneration;
    claim.mJob.mState = JobState::kActive;
    claim.mJob.mReason.clear();
    runtime.mTargetShard = target;
    stage = ClaimStage::kWritingMove;
  }
  SendWrite(aState, claim, stage, runtime);
}

struct Found
{
  Shard* mShard = nullptr;
  std::string mJob;
};

Found FindCall(SchedulerState& aState,
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
    Forget(aShard, name);
  }
  ShardRecord record;
  record.mOp = ShardOp::kAccept;
  record.mName = name;
  record.mJob = aClaim.mJob;
  aShard.mJobs[name].mWaitingSince = aNow;
  return Record(aShard, record);
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
    // A job being handed over is read again: the other shard may have it.
    if (runtime.mStage == ClaimStage::kIdle ||
        runtime.mStage == ClaimStage::kHandingOver) {
      SendRead(aState, name, runtime);
    }
  }
}

void OnClaimStoreReply(SchedulerState& aState,
                       std::uint64_t aCall,
                       const StoreReply& aReply,
                       TimePoint aNow)
{
  const Found found = FindCall(aState, &JobRuntime::mStoreCall, aCall);
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
      HandOver(aState, *found.mShard, found.mJob, aNow);
    } else {
      Forget(*found.mShard, found.mJob);
    }
    return;
  }
  // Refused, conflicting or unknown: read again and decide anew.
  runtime.mStage = ClaimStage::kIdle;
  runtime.mRetryAt = aNow + kClaimRetry;
}

void OnClaimPeerReply(SchedulerState& aState,
                      std::uint64_t aCall,
                      const std::optional<DeskAnswer>& aReply,
                      TimePoint /*aNow*/)
{
  const Found found = FindCall(aState, &JobRuntime::mPeerCall, aCall);
  if (found.mShard == nullptr) {
    return;
  }
  auto& runtime = found.mShard->mJobs[found.mJob];
  if (runtime.mStage != ClaimStage::kHandingOver) {
    return;
  }
  runtime.mPeerCall = 0;
  const bool isTaken = aReply && (aReply->mStatus == DeskStatus::kAccepted ||
                                  aReply->mStatus == DeskStatus::kOk);
  if (isTaken) {
    Forget(*found.mShard, found.mJob);
  }
}

} // namespace verbenacroft::scheduler
