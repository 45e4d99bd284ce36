#include "vcSchedulerCore.h"

/// The desk: submission, status and cancellation of jobs, from callers and
/// from peers, up to the answer.

namespace verbenacroft::scheduler {

namespace {

constexpr Duration kDeskRetry{ 150 };

DeskAnswer Refusal(DeskStatus aStatus, std::string aError)
{
  DeskAnswer answer;
  answer.mStatus = aStatus;
  answer.mError = std::move(aError);
  return answer;
}

DeskAnswer StatusAnswer(JobStatus aStatus, DeskStatus aKind = DeskStatus::kOk)
{
  DeskAnswer answer;
  answer.mStatus = aKind;
  answer.mJob = std::move(aStatus);
  return answer;
}

JobStatus StatusOfClaim(const JobClaim& aClaim)
{
  JobStatus status;
  status.mName = aClaim.mJob.mSpec.mName;
  status.mBacker = aClaim.mJob.mSpec.mBacker;
  status.mState = aClaim.mJob.mState;
  status.mReason = aClaim.mJob.mReason;
  status.mTasks = aClaim.mJob.mSpec.mTasks;
  status.mDone = DoneTasks(aClaim.mJob);
  status.mShard = aClaim.mShard;
  return status;
}

/// Marks the request as answered; it is removed at the end of the step.
void Settle(SchedulerState& aState, std::uint64_t aTicket, DeskAnswer aAnswer)
{
  aState.mReplies.push_back({ aTicket, std::move(aAnswer) });
  aState.mDesk.erase(aTicket);
}

void SendClaimRead(SchedulerState& aState, DeskRequest& aRequest)
{
  StoreRequest request;
  request.mKey = JobKey(aRequest.mName);
  aRequest.mIsReading = true;
  aRequest.mRetryAt = kNever;
  aRequest.mCall = PushStoreCall(
    aState.mStore, "desk", StorePriority::kRest, std::move(request));
}

void SendClaimWrite(SchedulerState& aState, DeskRequest& aRequest)
{
  JobClaim claim;
  claim.mShard = aRequest.mShard;
  claim.mChange = aRequest.mChange;
  claim.mJob.mSpec = aRequest.mSpec;
  claim.mJob.mTasks.resize(static_cast<std::size_t>(aRequest.mSpec.mTasks));
  StoreRequest request;
  request.mOp = StoreOp::kWrite;
  request.mKey = JobKey(aRequest.mName);
  request.mValue = Encode(claim);
  aRequest.mIsReading = false;
  aRequest.mRetryAt = kNever;
  aRequest.mCall = PushStoreCall(
    aState.mStore, "desk", StorePriority::kRest, std::move(request));
}

void AskPeer(SchedulerState& aState,
             DeskRequest& aRequest,
             DeskOp aOp,
             TimePoint aNow)
{
  const std::string address = AddressOfOwner(aState, aRequest.mShard, aNow);
  if (address.empty()) {
    aRequest.mRetryAt = aNow + kDeskRetry;
    return;
  }
  PeerCall call;
  call.mId = aState.mNextCall++;
  call.mAddress = address;
  call.mRequest = { aOp, aRequest.mName, aRequest.mShard };
  aRequest.mPeerCall = call.mId;
  aRequest.mMayHaveRun = true;
  aRequest.mRetryAt = kNever;
  aState.mPeerCalls.push_back(std::move(call));
}

DeskOp PeerOpOf(DeskOp aOp)
{
  switch (aOp) {
    case DeskOp::kSubmit:
      return DeskOp::kAdopt;
    case DeskOp::kStatus:
      return DeskOp::kPeerStatus;
    default:
      return DeskOp::kPeerCancel;
  }
}

void CancelHere(Shard& aShard, DeskRequest& aRequest, const JobRecord& aJob)
{
  aRequest.mDurableShard = aShard.mName;
  aRequest.mDurableSequence = aShard.mJournal.mAppended;
  const bool mayCancel = aJob.mState == JobState::kActive;
  if (!mayCancel) {
    return;
  }
  ShardRecord record;
  record.mOp = ShardOp::kJobState;
  record.mName = aRequest.mName;
  record.mState = JobState::kCancelling;
  record.mReason = "cancelled on request";
  aRequest.mDurableSequence = Record(aShard, record);
}

/// Handles a request whose job is known on a shard that is owned here.
void ActHere(Shard& aShard, DeskRequest& aRequest, TimePoint aNow)
{
  const auto& job = aShard.mData.mJobs.at(aRequest.mName);
  const bool isCancel =
    aRequest.mOp == DeskOp::kCancel || aRequest.mOp == DeskOp::kPeerCancel;
  if (isCancel && job.mState == JobState::kMoving) {
    // Where the job goes is known once its claim is written.
    aRequest.mRetryAt = aNow + kDeskRetry;
    return;
  }
  if (isCancel) {
    CancelHere(aShard, aRequest, job);
    return;
  }
  aRequest.mDurableShard = aShard.mName;
  aRequest.mDurableSequence = aShard.mJournal.mAppended;
}

/// Owned shard that has the job, or null.
Shard* FindHolder(SchedulerState& aState,
                  const std::string& aJob,
                  TimePoint aNow)
{
  for (auto& [name, shard] : aState.mShards) {
    if (shard.mData.mJobs.contains(aJob)) {
      return FindOwned(aState, name, aNow);
    }
  }
  return nullptr;
}

bool IsSameSubmission(const JobSpec& aLeft, const JobSpec& aRight)
{
  return EncodeValue(aLeft) == EncodeValue(aRight);
}

/// Goes on once the claim is known to exist as `aClaim`.
void OnClaimKnown(SchedulerState& aState,
                  std::uint64_t aTicket,
                  const JobClaim& aClaim,
                  TimePoint aNow)
{
  auto& request = aState.mDesk.at(aTicket);
  if (request.mOp == DeskOp::kSubmit &&
      !IsSameSubmission(request.mSpec, aClaim.mJob.mSpec)) {
    Settle(aState,
           aTicket,
           Refusal(DeskStatus::kConflict,
                   "a job of this name with other content exists"));
    return;
  }
  if (IsFinal(aClaim.mJob.mState)) {
    Settle(aState, aTicket, StatusAnswer(StatusOfClaim(aClaim)));
    return;
  }
  request.mShard = aClaim.mShard;
  Shard* shard = FindOwned(aState, aClaim.mShard, aNow);
  if (shard != nullptr) {
    const auto job = shard->mData.mJobs.find(request.mName);
    const bool isNewer = job == shard->mData.mJobs.end() ||
                         job->second.mGeneration < aClaim.mJob.mGeneration;
    if (isNewer) {
      ReplaceJob(*shard, aClaim, aNow);
    }
    ActHere(*shard, request, aNow);
    return;
  }
  const bool isFromPeer = request.mOp == DeskOp::kAdopt ||
                          request.mOp == DeskOp::kPeerStatus ||
                          request.mOp == DeskOp::kPeerCancel;
  if (isFromPeer) {
    Settle(aState,
           aTicket,
           Refusal(DeskStatus::kNotRun, "the shard is not owned here"));
    return;
  }
  AskPeer(aState, request, PeerOpOf(request.mOp), aNow);
}

void OnReadReply(SchedulerState& aState,
                 std::uint64_t aTicket,
                 const StoreReply& aReply,
                 TimePoint aNow)
{
  auto& request = aState.mDesk.at(aTicket);
  const bool isAbsent =
    aReply.mStatus == StoreStatus::kNotFound ||
    (aReply.mStatus == StoreStatus::kOk && aReply.mEntries.empty());
  if (isAbsent) {
    if (request.mOp == DeskOp::kSubmit) {
      SendClaimWrite(aState, request);
    } else {
      Settle(
        aState, aTicket, Refusal(DeskStatus::kNotFound, "no job of this name"));
    }
    return;
  }
  if (aReply.mStatus == StoreStatus::kOk) {
    const auto claim = TryDecode<JobClaim>(aReply.mEntries.front().mValue);
    if (claim) {
      OnClaimKnown(aState, aTicket, *claim, aNow);
      return;
    }
  }
  request.mRetryAt = aNow + kDeskRetry;
}

void OnWriteReply(SchedulerState& aState,
                  std::uint64_t aTicket,
                  const StoreReply& aReply,
                  TimePoint aNow)
{
  auto& request = aState.mDesk.at(aTicket);
  const bool isRefused = IsRefused(aReply.mStatus);
  request.mMayHaveRun = request.mMayHaveRun || !isRefused;
  if (aReply.mStatus == StoreStatus::kOk) {
    JobClaim claim;
    claim.mShard = request.mShard;
    claim.mJob.mSpec = request.mSpec;
    claim.mJob.mTasks.resize(static_cast<std::size_t>(request.mSpec.mTasks));
    OnClaimKnown(aState, aTicket, claim, aNow);
  } else if (isRefused) {
    request.mRetryAt = aNow + kDeskRetry;
  } else {
    // Another submission, or our own whose answer was lost.
    SendClaimRead(aState, request);
  }
}

bool MayHaveTakenEffect(const DeskRequest& aRequest)
{
  const bool isWriting = aRequest.mCall != 0 && !aRequest.mIsReading;
  return aRequest.mMayHaveRun || isWriting || !aRequest.mDurableShard.empty();
}

void GiveUp(SchedulerState& aState, std::uint64_t aTicket)
{
  const auto& request = aState.mDesk.at(aTicket);
  const bool isRead =
    request.mOp == DeskOp::kStatus || request.mOp == DeskOp::kPeerStatus;
  const bool isUncertain = !isRead && MayHaveTakenEffect(request);
  Settle(aState,
         aTicket,
         Refusal(isUncertain ? DeskStatus::kUnknown : DeskStatus::kNotRun,
                 "no answer from the store or the shard's owner in time"));
}

} // namespace

void StartRequest(SchedulerState& aState, std::uint64_t aTicket, TimePoint aNow)
{
  auto& request = aState.mDesk.at(aTicket);
  Shard* holder = FindHolder(aState, request.mName, aNow);
  // Other content under the same name is found out by reading the claim.
  const bool isSame =
    holder == nullptr || request.mOp != DeskOp::kSubmit ||
    IsSameSubmission(request.mSpec,
                     holder->mData.mJobs.at(request.mName).mSpec);
  const bool isMoving =
    holder != nullptr &&
    holder->mData.mJobs.at(request.mName).mState == JobState::kMoving;
  if (holder != nullptr && isSame && !isMoving) {
    ActHere(*holder, request, aNow);
    return;
  }
  if (request.mOp != DeskOp::kSubmit) {
    SendClaimRead(aState, request);
    return;
  }
  request.mShard = ChooseShard(aState, request.mSpec, aNow);
  if (request.mShard.empty()) {
    Settle(aState,
           aTicket,
           Refusal(DeskStatus::kNotRun,
                   "no data centre where the job may run is in service"));
    return;
  }
  SendClaimWrite(aState, request);
}

namespace {

/// Answers a request whose record has become durable.
void AnswerDurable(SchedulerState& aState,
                   std::uint64_t aTicket,
                   TimePoint aNow)
{
  auto& request = aState.mDesk.at(aTicket);
  Shard* shard = FindOwned(aState, request.mDurableShard, aNow);
  const auto known = aState.mShards.find(request.mDurableShard);
  if (known == aState.mShards.end()) {
    GiveUp(aState, aTicket);
    return;
  }
  if (shard == nullptr || shard->mJournal.mDurable < request.mDurableSequence) {
    return;
  }
  const auto job = shard->mData.mJobs.find(request.mName);
  if (job == shard->mData.mJobs.end()) {
    // It has ended meanwhile; its claim tells how.
    request.mDurableShard.clear();
    SendClaimRead(aState, request);
    return;
  }
  const bool isNew =
    request.mOp == DeskOp::kSubmit || request.mOp == DeskOp::kAdopt;
  Settle(aState,
         aTicket,
         StatusAnswer(StatusOf(*shard, job->second),
                      isNew ? DeskStatus::kAccepted : DeskStatus::kOk));
}

} // namespace

void TickDesk(SchedulerState& aState, TimePoint aNow)
{
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, request] : aState.mDesk) {
    tickets.push_back(ticket);
  }
  for (const auto ticket : tickets) {
    auto& request = aState.mDesk.at(ticket);
    if (aNow >= request.mDeadline) {
      GiveUp(aState, ticket);
    } else if (!request.mDurableShard.empty()) {
      AnswerDurable(aState, ticket, aNow);
    } else if (request.mRetryAt != kNever && aNow >= request.mRetryAt) {
      SendClaimRead(aState, request);
    }
  }
}

void OnDeskStoreReply(SchedulerState& aState,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow)
{
  for (auto& [ticket, request] : aState.mDesk) {
    if (request.mCall != aCall) {
      continue;
    }
    request.mCall = 0;
    const auto found = ticket;
    if (request.mIsReading) {
      OnReadReply(aState, found, aReply, aNow);
    } else {
      OnWriteReply(aState, found, aReply, aNow);
    }
    return;
  }
}

void OnDeskPeerReply(SchedulerState& aState,
                     std::uint64_t aCall,
                     const std::optional<DeskAnswer>& aReply,
                     TimePoint aNow)
{
  for (auto& [ticket, request] : aState.mDesk) {
    if (request.mPeerCall != aCall) {
      continue;
    }
    request.mPeerCall = 0;
    const bool isFinal = aReply && aReply->mStatus != DeskStatus::kNotRun &&
                         aReply->mStatus != DeskStatus::kUnknown;
    if (isFinal) {
      const auto found = ticket;
      Settle(aState, found, *aReply);
    } else {
      request.mRetryAt = aNow + kDeskRetry;
    }
    return;
  }
}

} // namespace verbenacroft::scheduler

namespace verbenacroft {

namespace {

/// Why nothing can be taken at the desk now, or an empty text.
std::string WhyClosed(const SchedulerState& aState)
{
  if (aState.mIsLeaving) {
    return "the scheduler is leaving";
  }
  if (RevisionOf(aState.mFollower) == 0) {
    return "the scheduler has no configuration yet";
  }
  return {};
}

} // namespace

std::uint64_t SubmitToDesk(SchedulerState& aState,
                           DeskRequest aRequest,
                           TimePoint aNow)
{
  constexpr Duration kDeskLimit{ 5'000 };
  const auto ticket = aState.mNextTicket++;
  const std::string closed = WhyClosed(aState);
  if (!closed.empty()) {
    DeskAnswer answer;
    answer.mStatus = DeskStatus::kNotRun;
    answer.mError = closed;
    aState.mReplies.push_back({ ticket, std::move(answer) });
    return ticket;
  }
  aRequest.mDeadline = aNow + kDeskLimit;
  if (aRequest.mOp == DeskOp::kSubmit) {
    aRequest.mName = aRequest.mSpec.mName;
    aRequest.mChange = aState.mName + "-" + std::to_string(ticket);
    const Faults faults = CheckJob(
      aRequest.mSpec, aState.mFollower.mState.mConfiguration, aState.mLargest);
    if (!faults.empty()) {
      DeskAnswer answer;
      answer.mStatus = DeskStatus::kInvalid;
      answer.mError = Describe(faults.front());
      answer.mFaults = faults;
      aState.mReplies.push_back({ ticket, std::move(answer) });
      return ticket;
    }
  }
  aState.mDesk[ticket] = std::move(aRequest);
  scheduler::StartRequest(aState, ticket, aNow);
  return ticket;
}

} // namespace verbenacroft
