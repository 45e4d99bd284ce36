#include "vcSchedulerCore.h"

/// Job requests: submission, status and cancellation of jobs, from callers and
/// from peers, until each is answered.

namespace verbenacroft::scheduler {

namespace {

/// Delay before the claim is read again, in milliseconds.
constexpr Duration kRequestRetryDelay{ 150 };

JobAnswer MakeErrorAnswer(JobRequestStatus aStatus, std::string aError)
{
  JobAnswer answer;
  answer.mStatus = aStatus;
  answer.mError = std::move(aError);
  return answer;
}

JobAnswer MakeStatusAnswer(JobStatus aStatus,
                           JobRequestStatus aKind = JobRequestStatus::kOk)
{
  JobAnswer answer;
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
  status.mDone = CountDoneTasks(aClaim.mJob);
  status.mShard = aClaim.mShard;
  return status;
}

/// Queues the answer and removes the request; references to the request are
/// invalid afterwards.
void AnswerRequest(SchedulerState& aState,
                   std::uint64_t aTicket,
                   JobAnswer aAnswer)
{
  aState.mReplies.push_back({ aTicket, std::move(aAnswer) });
  aState.mJobRequests.erase(aTicket);
}

/// Reads the job's claim from the store.
void SendClaimRead(SchedulerState& aState, JobRequest& aRequest)
{
  StoreRequest request;
  request.mKey = JobKey(aRequest.mName);
  aRequest.mIsReading = true;
  aRequest.mRetryAt = kNever;
  aRequest.mCall = PushStoreCall(
    aState.mStore, "desk", StorePriority::kOther, std::move(request));
}

/// Creates the claim of a submitted job on the chosen shard; fails if a claim
/// of this name exists.
void SendClaimWrite(SchedulerState& aState, JobRequest& aRequest)
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
    aState.mStore, "desk", StorePriority::kOther, std::move(request));
}

/// Sends the request to the owner of the job's shard, or schedules a retry
/// while the owner's address is not known.
void CallShardOwner(SchedulerState& aState,
                    JobRequest& aRequest,
                    JobRequestOp aOp,
                    TimePoint aNow)
{
  const std::string address = FindOwnerAddress(aState, aRequest.mShard, aNow);
  if (address.empty()) {
    aRequest.mRetryAt = aNow + kRequestRetryDelay;
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

/// Operation that a peer is asked for on behalf of a caller's operation.
JobRequestOp PeerOpOf(JobRequestOp aOp)
{
  switch (aOp) {
    case JobRequestOp::kSubmit:
      return JobRequestOp::kAdopt;
    case JobRequestOp::kStatus:
      return JobRequestOp::kPeerStatus;
    default:
      return JobRequestOp::kPeerCancel;
  }
}

/// Journals the cancellation of an active job. In other states there is nothing
/// to record, and the answer waits for the records that exist.
void CancelLocally(Shard& aShard, JobRequest& aRequest, const JobRecord& aJob)
{
  aRequest.mDurableShard = aShard.mName;
  aRequest.mDurableSequence = aShard.mJournal.mAppended;
  const bool isActive = aJob.mState == JobState::kActive;
  if (!isActive) {
    return;
  }
  ShardRecord record;
  record.mOp = ShardOp::kJobState;
  record.mName = aRequest.mName;
  record.mState = JobState::kCancelling;
  record.mReason = "cancelled on request";
  aRequest.mDurableSequence = ApplyAndJournal(aShard, record);
}

/// Handles a request for a job of a shard that this process owns.
void HandleLocally(Shard& aShard, JobRequest& aRequest, TimePoint aNow)
{
  const auto& job = aShard.mData.mJobs.at(aRequest.mName);
  const bool isCancel = aRequest.mOp == JobRequestOp::kCancel ||
                        aRequest.mOp == JobRequestOp::kPeerCancel;
  if (isCancel && job.mState == JobState::kMoving) {
    // The job's next shard is known only after its claim is written.
    aRequest.mRetryAt = aNow + kRequestRetryDelay;
    return;
  }
  if (isCancel) {
    CancelLocally(aShard, aRequest, job);
    return;
  }
  aRequest.mDurableShard = aShard.mName;
  aRequest.mDurableSequence = aShard.mJournal.mAppended;
}

/// Returns the owned shard that has the job, or null.
Shard* FindShardOfJob(SchedulerState& aState,
                      const std::string& aJob,
                      TimePoint aNow)
{
  for (auto& [name, shard] : aState.mShards) {
    if (shard.mData.mJobs.contains(aJob)) {
      return FindOwnedShard(aState, name, aNow);
    }
  }
  return nullptr;
}

bool IsSameSubmission(const JobSpec& aLeft, const JobSpec& aRight)
{
  return EncodeValue(aLeft) == EncodeValue(aRight);
}

/// Continues the request with the job's claim: answers it, handles it here, or
/// sends it to the owner of the job's shard.
void OnClaimFound(SchedulerState& aState,
                  std::uint64_t aTicket,
                  const JobClaim& aClaim,
                  TimePoint aNow)
{
  auto& request = aState.mJobRequests.at(aTicket);
  if (request.mOp == JobRequestOp::kSubmit &&
      !IsSameSubmission(request.mSpec, aClaim.mJob.mSpec)) {
    AnswerRequest(
      aState,
      aTicket,
      MakeErrorAnswer(
        JobRequestStatus::kConflict,
        "a job of this name with a different specification exists"));
    return;
  }
  if (IsFinal(aClaim.mJob.mState)) {
    AnswerRequest(aState, aTicket, MakeStatusAnswer(StatusOfClaim(aClaim)));
    return;
  }
  request.mShard = aClaim.mShard;
  Shard* shard = FindOwnedShard(aState, aClaim.mShard, aNow);
  if (shard != nullptr) {
    const auto job = shard->mData.mJobs.find(request.mName);
    const bool isNewer = job == shard->mData.mJobs.end() ||
                         job->second.mGeneration < aClaim.mJob.mGeneration;
    if (isNewer) {
      ReplaceJob(*shard, aClaim, aNow);
    }
    HandleLocally(*shard, request, aNow);
    return;
  }
  const bool isFromPeer = request.mOp == JobRequestOp::kAdopt ||
                          request.mOp == JobRequestOp::kPeerStatus ||
                          request.mOp == JobRequestOp::kPeerCancel;
  if (isFromPeer) {
    AnswerRequest(aState,
                  aTicket,
                  MakeErrorAnswer(JobRequestStatus::kNotRun,
                                  "this scheduler does not own the shard"));
    return;
  }
  CallShardOwner(aState, request, PeerOpOf(request.mOp), aNow);
}

void OnReadReply(SchedulerState& aState,
                 std::uint64_t aTicket,
                 const StoreReply& aReply,
                 TimePoint aNow)
{
  auto& request = aState.mJobRequests.at(aTicket);
  const bool isAbsent =
    aReply.mStatus == StoreStatus::kNotFound ||
    (aReply.mStatus == StoreStatus::kOk && aReply.mEntries.empty());
  if (isAbsent) {
    if (request.mOp == JobRequestOp::kSubmit) {
      SendClaimWrite(aState, request);
    } else {
      AnswerRequest(aState,
                    aTicket,
                    MakeErrorAnswer(JobRequestStatus::kNotFound,
                                    "no job of this name exists"));
    }
    return;
  }
  if (aReply.mStatus == StoreStatus::kOk) {
    const auto claim = TryDecode<JobClaim>(aReply.mEntries.front().mValue);
    if (claim) {
      OnClaimFound(aState, aTicket, *claim, aNow);
      return;
    }
  }
  request.mRetryAt = aNow + kRequestRetryDelay;
}

void OnWriteReply(SchedulerState& aState,
                  std::uint64_t aTicket,
                  const StoreReply& aReply,
                  TimePoint aNow)
{
  auto& request = aState.mJobRequests.at(aTicket);
  const bool isRefused = IsRefused(aReply.mStatus);
  request.mMayHaveRun = request.mMayHaveRun || !isRefused;
  if (aReply.mStatus == StoreStatus::kOk) {
    JobClaim claim;
    claim.mShard = request.mShard;
    claim.mJob.mSpec = request.mSpec;
    claim.mJob.mTasks.resize(static_cast<std::size_t>(request.mSpec.mTasks));
    OnClaimFound(aState, aTicket, claim, aNow);
  } else if (isRefused) {
    request.mRetryAt = aNow + kRequestRetryDelay;
  } else {
    // The claim exists or the outcome is unknown: it was written by another
    // submission, or by this one and the reply was lost.
    SendClaimRead(aState, request);
  }
}

/// True if the job's claim or record may have been written for the request.
bool MayHaveTakenEffect(const JobRequest& aRequest)
{
  const bool isWriting = aRequest.mCall != 0 && !aRequest.mIsReading;
  return aRequest.mMayHaveRun || isWriting || !aRequest.mDurableShard.empty();
}

/// Answers the request as failed: with an unknown outcome if it may have
/// changed something, else as not run.
void FailRequest(SchedulerState& aState, std::uint64_t aTicket)
{
  const auto& request = aState.mJobRequests.at(aTicket);
  const bool isRead = request.mOp == JobRequestOp::kStatus ||
                      request.mOp == JobRequestOp::kPeerStatus;
  const bool isUncertain = !isRead && MayHaveTakenEffect(request);
  AnswerRequest(
    aState,
    aTicket,
    MakeErrorAnswer(isUncertain ? JobRequestStatus::kUnknown
                                : JobRequestStatus::kNotRun,
                    "the store or the shard's owner did not answer in time"));
}

} // namespace

void StartRequest(SchedulerState& aState, std::uint64_t aTicket, TimePoint aNow)
{
  auto& request = aState.mJobRequests.at(aTicket);
  Shard* jobShard = FindShardOfJob(aState, request.mName, aNow);
  // A submission whose specification differs from that of the job is not
  // handled here: its write of the claim fails, and the claim is then read and
  // compared.
  const bool isSame =
    jobShard == nullptr || request.mOp != JobRequestOp::kSubmit ||
    IsSameSubmission(request.mSpec,
                     jobShard->mData.mJobs.at(request.mName).mSpec);
  const bool isMoving =
    jobShard != nullptr &&
    jobShard->mData.mJobs.at(request.mName).mState == JobState::kMoving;
  if (jobShard != nullptr && isSame && !isMoving) {
    HandleLocally(*jobShard, request, aNow);
    return;
  }
  if (request.mOp != JobRequestOp::kSubmit) {
    SendClaimRead(aState, request);
    return;
  }
  request.mShard = ChooseShard(aState, request.mSpec, aNow);
  if (request.mShard.empty()) {
    AnswerRequest(
      aState,
      aTicket,
      MakeErrorAnswer(JobRequestStatus::kNotRun,
                      "no data centre that the job may run in is in service"));
    return;
  }
  SendClaimWrite(aState, request);
}

namespace {

/// Answers the request if its record has become durable, or fails it if the
/// shard is no longer held here.
void AnswerDurable(SchedulerState& aState,
                   std::uint64_t aTicket,
                   TimePoint aNow)
{
  auto& request = aState.mJobRequests.at(aTicket);
  Shard* shard = FindOwnedShard(aState, request.mDurableShard, aNow);
  const auto known = aState.mShards.find(request.mDurableShard);
  if (known == aState.mShards.end()) {
    FailRequest(aState, aTicket);
    return;
  }
  if (shard == nullptr || shard->mJournal.mDurable < request.mDurableSequence) {
    return;
  }
  const auto job = shard->mData.mJobs.find(request.mName);
  if (job == shard->mData.mJobs.end()) {
    // The job has ended meanwhile; its claim has the final state.
    request.mDurableShard.clear();
    SendClaimRead(aState, request);
    return;
  }
  const bool isNew =
    request.mOp == JobRequestOp::kSubmit || request.mOp == JobRequestOp::kAdopt;
  AnswerRequest(aState,
                aTicket,
                MakeStatusAnswer(StatusOf(*shard, job->second),
                                 isNew ? JobRequestStatus::kAccepted
                                       : JobRequestStatus::kOk));
}

} // namespace

void TickJobRequests(SchedulerState& aState, TimePoint aNow)
{
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, request] : aState.mJobRequests) {
    tickets.push_back(ticket);
  }
  for (const auto ticket : tickets) {
    auto& request = aState.mJobRequests.at(ticket);
    if (aNow >= request.mDeadline) {
      FailRequest(aState, ticket);
    } else if (!request.mDurableShard.empty()) {
      AnswerDurable(aState, ticket, aNow);
    } else if (request.mRetryAt != kNever && aNow >= request.mRetryAt) {
      SendClaimRead(aState, request);
    }
  }
}

void OnJobRequestStoreReply(SchedulerState& aState,
                            std::uint64_t aCall,
                            const StoreReply& aReply,
                            TimePoint aNow)
{
  for (auto& [ticket, request] : aState.mJobRequests) {
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

void OnJobRequestPeerReply(SchedulerState& aState,
                           std::uint64_t aCall,
                           const std::optional<JobAnswer>& aReply,
                           TimePoint aNow)
{
  for (auto& [ticket, request] : aState.mJobRequests) {
    if (request.mPeerCall != aCall) {
      continue;
    }
    request.mPeerCall = 0;
    const bool isFinal = aReply &&
                         aReply->mStatus != JobRequestStatus::kNotRun &&
                         aReply->mStatus != JobRequestStatus::kUnknown;
    if (isFinal) {
      const auto found = ticket;
      AnswerRequest(aState, found, *aReply);
    } else {
      request.mRetryAt = aNow + kRequestRetryDelay;
    }
    return;
  }
}

} // namespace verbenacroft::scheduler

namespace verbenacroft {

namespace {

/// Why no job request can be accepted now, or an empty string.
std::string UnavailableReason(const SchedulerState& aState)
{
  if (aState.mIsLeaving) {
    return "the scheduler is shutting down";
  }
  if (RevisionOf(aState.mFollower) == 0) {
    return "the scheduler has no configuration yet";
  }
  return {};
}

} // namespace

std::uint64_t SubmitJobRequest(SchedulerState& aState,
                               JobRequest aRequest,
                               TimePoint aNow)
{
  /// Time in milliseconds after which a request is answered as failed.
  constexpr Duration kRequestTimeout{ 5'000 };
  const auto ticket = aState.mNextTicket++;
  const std::string unavailable = UnavailableReason(aState);
  if (!unavailable.empty()) {
    JobAnswer answer;
    answer.mStatus = JobRequestStatus::kNotRun;
    answer.mError = unavailable;
    aState.mReplies.push_back({ ticket, std::move(answer) });
    return ticket;
  }
  aRequest.mDeadline = aNow + kRequestTimeout;
  if (aRequest.mOp == JobRequestOp::kSubmit) {
    aRequest.mName = aRequest.mSpec.mName;
    aRequest.mChange = aState.mName + "-" + std::to_string(ticket);
    const Faults faults = CheckJob(aRequest.mSpec,
                                   aState.mFollower.mState.mConfiguration,
                                   aState.mMaxInstanceCapacity);
    if (!faults.empty()) {
      JobAnswer answer;
      answer.mStatus = JobRequestStatus::kInvalid;
      answer.mError = Describe(faults.front());
      answer.mFaults = faults;
      aState.mReplies.push_back({ ticket, std::move(answer) });
      return ticket;
    }
  }
  aState.mJobRequests[ticket] = std::move(aRequest);
  scheduler::StartRequest(aState, ticket, aNow);
  return ticket;
}

} // namespace verbenacroft
