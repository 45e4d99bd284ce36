#include "vcCallerConfig.h"

#include "vcOperatorWatch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

bool ResolveQueue(const NodeContext& aNode, CallerRequest& aRequest)
{
  const QueueConfig* queue =
    FindQueue(aNode.mOperators->mConfig, aRequest.mHost, aRequest.mPath);
  if (queue == nullptr) {
    return false;
  }
  aRequest.mSubpath = aRequest.mPath.substr(queue->mPathPrefix.size());
  aRequest.mTerms = queue->mTerms;
  aRequest.mIsQueueOpen = queue->mIsOpen;
  return true;
}

bool WasConfigCurrent(const NodeContext& aNode, Duration aAge)
{
  const TimePoint currentAt =
    std::max(aNode.mOperatorsCompleteAt, aNode.mConfigReadAt);
  return SuspendAwareNow() - currentAt <= aAge;
}

std::optional<HttpResponse> AuthenticateCaller(const NodeContext& aNode,
                                               CallerRequest& aRequest)
{
  const NodeBounds& bounds = aNode.mSettings.mBounds;
  const bool mayAccept =
    !bounds.mStrictRevocation || WasConfigCurrent(aNode, bounds.mRevokeMs);
  const ConfigView view{ WasConfigCurrent(aNode, kMaxConfigAge), mayAccept };
  AuthResult result = Authenticate(
    aNode.mTeamCredentials, aRequest.mCredential, aRequest.mIsQueueOpen, view);
  aRequest.mTerms.mTeam = std::move(result.mTeam);
  switch (result.mOutcome) {
    case AuthOutcome::kAccepted:
      return std::nullopt;
    case AuthOutcome::kUnauthorized:
      return ErrorResponse(401, "the key belongs to no team");
    case AuthOutcome::kUncertain:
      return NotAcceptedResponse(aRequest.mPath,
                                 "the configuration may have changed");
  }
  return std::nullopt;
}

std::optional<HttpResponse> ResolveAgain(const NodeContext& aNode,
                                         CallerRequest& aRequest)
{
  const std::string job = aRequest.mSubpath;
  if (!ResolveQueue(aNode, aRequest) || aRequest.mSubpath != job) {
    return NoSuchQueueResponse();
  }
  return AuthenticateCaller(aNode, aRequest);
}

void AddConfigCondition(const NodeContext& aNode, KvTransaction& aWrite)
{
  if (aNode.mConfigRevision > 0) {
    aWrite.mConditions.push_back(
      { aNode.mCodec.mConfigKey, aNode.mConfigRevision });
  }
}

bool ApplyConfigOfConflict(NodeContext& aNode,
                           const KvTransaction& aWrite,
                           const KvReply& aReply,
                           TimePoint aSentAt)
{
  const std::string& key = aNode.mCodec.mConfigKey;
  const auto condition =
    std::find_if(aWrite.mConditions.begin(),
                 aWrite.mConditions.end(),
                 [&](const auto& aRow) { return aRow.mKey == key; });
  const auto item =
    std::find_if(aReply.mItems.begin(),
                 aReply.mItems.end(),
                 [&](const KvItem& aRow) { return aRow.mKey == key; });
  const bool isChanged = aReply.mStatus == KvStatus::kConflict &&
                         condition != aWrite.mConditions.end() &&
                         item != aReply.mItems.end() &&
                         item->mRevision != condition->mRevision;
  if (isChanged) {
    spdlog::info("config.changed-before-write revision={} written_by={}",
                 item->mRevision,
                 condition->mRevision);
    ApplyOperatorItem(aNode, *item);
    aNode.mConfigReadAt = std::max(aNode.mConfigReadAt, aSentAt);
  }
  return isChanged;
}

bool IsOfOtherTeam(const NodeContext& aNode,
                   const std::string& aJobTeam,
                   const std::string& aTeam)
{
  return aNode.mTeamCredentials.mAreRequired && !aJobTeam.empty() &&
         aJobTeam != aTeam;
}

bool ShowsOtherTeam(const NodeContext& aNode,
                    const KvReply& aReply,
                    const std::string& aKey,
                    const std::string& aTeam)
{
  for (const auto& item : aReply.mItems) {
    if (item.mKey == aKey && !item.mValue.empty()) {
      const auto record = TryDecode<BatchRecord>(item.mValue);
      return record && IsOfOtherTeam(aNode, record->mTerms.mTeam, aTeam);
    }
  }
  return false;
}

HttpResponse OtherTeamResponse(const NodeContext& aNode, const JobId& aJob)
{
  return WasConfigCurrent(aNode, kMaxConfigAge)
           ? ErrorResponse(403, "the job belongs to another team")
           : NotAcceptedResponse(aJob, "the configuration may have changed");
}

} // namespace verbenacroft
