#include "vcJobSubmission.h"

#include "vcCancellationRecord.h"
#include "vcPeers.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Attempts to store a job. Another attempt follows only if the outcome of the
/// previous one is unknown.
constexpr int kStoreAttempts = 2;
/// No attempt begins later than this after the first one, so that the caller
/// still receives the outcome.
constexpr Duration kLastAttemptWithin{ 300 };
/// Attempts to write by the current configuration, which may change between
/// two of them.
constexpr int kConfigAttempts = 3;

/// Outcome of the storing of a job.
enum class SubmitOutcome
{
  kStored,
  /// Certainly not stored, and may be tried again.
  kRefused,
  /// Certainly not stored; the store would reject it again.
  kRejected,
  /// Certainly not stored, since the configuration has changed.
  kConfigChanged,
  /// Another team's job has the identifier, or its cancellation.
  kOfOtherTeam,
  /// Certainly not stored: the caller has cancelled the job before, and was
  /// told that it doesn't exist.
  kCancelled,
  kUnknown,
};

/// True if the reply to a write shows that the job is stored.
bool ShowsJob(const KvReply& aReply, std::uint32_t aShard, const JobId& aJob)
{
  return std::any_of(
    aReply.mItems.begin(), aReply.mItems.end(), [&](const KvItem& aItem) {
      const bool isOfJob = aItem.mKey == InboxJobKey(aShard, aJob) ||
                           aItem.mKey == ProgressKey(aShard, aJob);
      return isOfJob && aItem.mRevision > 0 && !aItem.mIsRemoved;
    });
}

/// The outcome that a reply to a write shows, if a cancellation stands without
/// the job.
std::optional<SubmitOutcome> CancelledOutcome(const NodeContext& aNode,
                                              const KvReply& aReply,
                                              const std::string& aKey,
                                              const std::string& aTeam)
{
  const auto item =
    std::find_if(aReply.mItems.begin(),
                 aReply.mItems.end(),
                 [&](const KvItem& aRow) { return aRow.mKey == aKey; });
  const bool isCancelled = aReply.mStatus == KvStatus::kConflict &&
                           item != aReply.mItems.end() && item->mRevision > 0 &&
                           !item->mIsRemoved;
  if (!isCancelled) {
    return std::nullopt;
  }
  const auto record = TryDecode<CancellationRecord>(item->mValue);
  const bool isOther = record && IsOfOtherTeam(aNode, record->mTeam, aTeam);
  return isOther ? SubmitOutcome::kOfOtherTeam : SubmitOutcome::kCancelled;
}

/// Stores a job unless it is stored already.
asio::awaitable<SubmitOutcome> StoreJob(NodeContext& aNode,
                                        std::uint32_t aShard,
                                        JobId aJob,
                                        std::string aTeam,
                                        KvTransaction aWrite)
{
  const TimePoint since = SuspendAwareNow();
  for (int attempt = 0; attempt < kStoreAttempts; ++attempt) {
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply reply = co_await CommitWithRelay(aNode, aWrite);
    const bool isStoredBefore =
      reply.mStatus == KvStatus::kConflict && ShowsJob(reply, aShard, aJob);
    const std::string key = InboxJobKey(aShard, aJob);
    if (isStoredBefore && ShowsOtherTeam(aNode, reply, key, aTeam)) {
      co_return SubmitOutcome::kOfOtherTeam;
    }
    if (reply.mStatus == KvStatus::kOk || isStoredBefore) {
      co_return SubmitOutcome::kStored;
    }
    // In both cases an earlier attempt can't take effect any more either.
    const auto cancelled =
      CancelledOutcome(aNode, reply, CancelKey(aShard, aJob), aTeam);
    if (cancelled) {
      co_return *cancelled;
    }
    if (ApplyConfigOfConflict(aNode, aWrite, reply, sentAt)) {
      co_return SubmitOutcome::kConfigChanged;
    }
    if (IsTurnedDown(reply.mStatus)) {
      // An earlier attempt, of unknown outcome, may still take effect.
      const SubmitOutcome outcome = reply.mStatus == KvStatus::kRejected
                                      ? SubmitOutcome::kRejected
                                      : SubmitOutcome::kRefused;
      co_return attempt == 0 ? outcome : SubmitOutcome::kUnknown;
    }
    // A read would only hold the answer up until the caller's deadline.
    if (IsStoreDown(aNode, SuspendAwareNow())) {
      break;
    }
    const KvReply stored = co_await aNode.mStore.mRead(key);
    UpdateStoreHealth(aNode, stored);
    if (!stored.mItems.empty()) {
      const bool isOther = ShowsOtherTeam(aNode, stored, key, aTeam);
      co_return isOther ? SubmitOutcome::kOfOtherTeam : SubmitOutcome::kStored;
    }
    if (SuspendAwareNow() - since > kLastAttemptWithin) {
      break;
    }
  }
  co_return SubmitOutcome::kUnknown;
}

/// The write that stores a job.
KvTransaction MakeSubmission(const NodeContext& aNode,
                             std::uint32_t aShard,
                             const JobId& aJob,
                             const BatchRecord& aRecord)
{
  KvTransaction write;
  write.mConditions.push_back({ InboxJobKey(aShard, aJob), 0 });
  write.mConditions.push_back({ ProgressKey(aShard, aJob), 0 });
  write.mConditions.push_back({ CancelKey(aShard, aJob), 0 });
  AddConfigCondition(aNode, write);
  write.mPuts.push_back(
    PersistentPut(InboxJobKey(aShard, aJob), Encode(aRecord)));
  return write;
}

} // namespace

asio::awaitable<HttpResponse> HandleSubmission(NodeContext& aNode,
                                               CallerRequest aRequest)
{
  Faults faults;
  auto spec = aNode.mCodec.mDecodeJob(aRequest.mBody, faults);
  if (!spec) {
    co_return ErrorResponse(
      400, faults.empty() ? "malformed job" : Describe(faults[0]));
  }
  const JobId id = aRequest.mSubpath;
  const std::uint32_t shard = ShardOf(id, aNode.mShards);
  for (int attempt = 0; attempt < kConfigAttempts; ++attempt) {
    const BatchRecord record{ aRequest.mTerms, WallClockMs(), *spec };
    KvTransaction write = MakeSubmission(aNode, shard, id, record);
    const SubmitOutcome outcome = co_await StoreJob(
      aNode, shard, id, aRequest.mTerms.mTeam, std::move(write));
    switch (outcome) {
      case SubmitOutcome::kStored:
        co_return JsonResponse("{}");
      case SubmitOutcome::kRefused:
        co_return NotAcceptedResponse(id, "the store can't be reached");
      case SubmitOutcome::kRejected:
        co_return RejectedResponse();
      case SubmitOutcome::kUnknown:
        co_return OutcomeUnknownResponse();
      case SubmitOutcome::kOfOtherTeam:
        co_return OtherTeamResponse(aNode, id);
      case SubmitOutcome::kCancelled:
        co_return ErrorResponse(503, "the job was cancelled before it came");
      case SubmitOutcome::kConfigChanged:
        break;
    }
    auto refusal = ResolveAgain(aNode, aRequest);
    if (refusal) {
      co_return std::move(*refusal);
    }
  }
  co_return NotAcceptedResponse(id, "the configuration keeps changing");
}

} // namespace verbenacroft
