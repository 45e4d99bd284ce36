#include "vcLeaseExtension.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// The clocks of an owner, a worker and a claimant may each be 2% slow or fast.
constexpr double kLeastClockMargin = 0.04;

Duration PartOf(Duration aTime, double aPart)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aPart));
}

void CheckAtLeast(Duration aTime,
                  Duration aLeast,
                  const std::string& aPath,
                  Faults& aFaults)
{
  if (aTime < aLeast) {
    aFaults.push_back({ aPath,
                        std::to_string(aTime.count()),
                        std::to_string(aLeast.count()) + " or more" });
  }
}

/// When the last proof of the members was asked for; nothing if one of them
/// hasn't confirmed.
std::optional<TimePoint> MembersProvedAt(const LeaseExtension& aExtension)
{
  const bool isUsable = aExtension.mIsTableKnown && !aExtension.mIsEnded &&
                        aExtension.mStoreProvedAt.has_value();
  if (!isUsable || aExtension.mMembers.empty()) {
    return std::nullopt;
  }
  TimePoint provedAt = TimePoint::max();
  for (const auto& [name, member] : aExtension.mMembers) {
    if (!member.mConfirmedAt) {
      return std::nullopt;
    }
    provedAt = std::min(provedAt, *member.mConfirmedAt);
  }
  return provedAt;
}

} // namespace

void CheckLeaseExtension(const LeaseExtensionSettings& aSettings,
                         Duration aLongestLease,
                         const std::string& aPath,
                         Faults& aFaults)
{
  CheckAtLeast(
    aSettings.mShortLimit, aLongestLease, aPath + ".shortLimitMs", aFaults);
  CheckAtLeast(aSettings.mLongLimit,
               aSettings.mShortLimit,
               aPath + ".longLimitMs",
               aFaults);
  const bool isMarginWide = aSettings.mClockMargin >= kLeastClockMargin;
  if (!isMarginWide) {
    aFaults.push_back({ aPath + ".clockMargin",
                        std::to_string(aSettings.mClockMargin),
                        std::to_string(kLeastClockMargin) + " or more" });
  }
  CheckAtLeast(
    aSettings.mDropAfter, Duration(0), aPath + ".dropAfterMs", aFaults);
}

void OnOwnerSeen(ShardMember& aMember,
                 std::uint64_t aEpoch,
                 const std::string& aOwner)
{
  if (aEpoch <= aMember.mEpoch) {
    return;
  }
  aMember.mEpoch = aEpoch;
  aMember.mOwner = aOwner;
  aMember.mEndedAt.reset();
}

void OnOwnerGone(ShardMember& aMember, TimePoint aNow)
{
  if (!aMember.mEndedAt) {
    aMember.mEndedAt = aNow;
  }
}

void OnClaimSent(ShardMember& aMember, std::uint64_t aReplacedEpoch)
{
  aMember.mReplacedEpoch = std::max(aMember.mReplacedEpoch, aReplacedEpoch);
}

ConfirmAnswer Confirm(ShardMember& aMember, const ConfirmOrder& aOrder)
{
  ConfirmAnswer answer{ aOrder, ConfirmOutcome::kConfirmed };
  if (aOrder.mMember != aMember.mNode || aOrder.mShard != aMember.mShard) {
    answer.mOutcome = ConfirmOutcome::kMisdirected;
    return answer;
  }
  if (!aMember.mHasRecord) {
    answer.mOutcome = ConfirmOutcome::kNoRecord;
    return answer;
  }
  if (aOrder.mEpoch < aMember.mEpoch ||
      aOrder.mEpoch <= aMember.mReplacedEpoch) {
    answer.mOutcome = ConfirmOutcome::kEnded;
    return answer;
  }
  if (aOrder.mEpoch > aMember.mEpoch || aOrder.mOwner != aMember.mOwner) {
    answer.mOutcome = ConfirmOutcome::kUnknownEpoch;
    return answer;
  }
  if (aMember.mEndedAt) {
    answer.mOutcome = ConfirmOutcome::kEnded;
    return answer;
  }
  aMember.mAskedEpoch = aOrder.mEpoch;
  aMember.mAskedGeneration = aOrder.mGeneration;
  return answer;
}

bool CountsShortLimit(const ShardMember& aMember,
                      const ReplacedClaim& aReplaced)
{
  // The owner's table was complete at its epoch, and has had the record since.
  const bool hasStood = aReplaced.mRecordRevision > 0 &&
                        aReplaced.mRecordRevision <= aReplaced.mEpoch;
  const bool wasAsked = aMember.mAskedEpoch == aReplaced.mEpoch &&
                        aMember.mAskedGeneration == aReplaced.mGeneration;
  return aReplaced.mIsBounded && (hasStood || wasAsked);
}

TimePoint EarlierLeasesEndBy(const ShardMember& aMember,
                             const LeaseExtensionSettings& aSettings,
                             std::uint64_t aReplacedEpoch,
                             bool aIsShort,
                             TimePoint aClaimKnownAt)
{
  // The end of an earlier epoch tells nothing of the replaced one.
  const bool isEndKnown =
    aMember.mEpoch == aReplacedEpoch && aMember.mEndedAt.has_value();
  const TimePoint endedAt =
    isEndKnown ? std::min(*aMember.mEndedAt, aClaimKnownAt) : aClaimKnownAt;
  const Duration limit =
    aIsShort ? aSettings.mShortLimit : aSettings.mLongLimit;
  return endedAt + limit + PartOf(limit, aSettings.mClockMargin);
}

void OnNodeTable(LeaseExtension& aExtension,
                 const NodeTable& aTable,
                 TimePoint aNow)
{
  aExtension.mIsTableKnown =
    aTable.mRevision >= aExtension.mEpoch && aTable.mIsReadable;
  if (aTable.mRevision < aExtension.mEpoch) {
    return;
  }
  for (const std::string& name : aTable.mNodes) {
    if (name != aExtension.mOwner) {
      aExtension.mMembers[name].mAbsentSince.reset();
    }
  }
  for (auto& [name, member] : aExtension.mMembers) {
    if (!aTable.mNodes.contains(name) && !member.mAbsentSince) {
      member.mAbsentSince = aNow;
    }
  }
  std::erase_if(aExtension.mMembers, [](const auto& aRow) {
    return aRow.second.mAbsentSince && !aRow.second.mIsAsked;
  });
}

bool IsNextGenerationDue(const LeaseExtension& aExtension, TimePoint aNow)
{
  return std::any_of(aExtension.mMembers.begin(),
                     aExtension.mMembers.end(),
                     [&](const auto& aRow) {
                       const auto absentSince = aRow.second.mAbsentSince;
                       return absentSince && aNow - *absentSince >=
                                               aExtension.mSettings.mDropAfter;
                     });
}

void OnNextGeneration(LeaseExtension& aExtension)
{
  ++aExtension.mGeneration;
  std::erase_if(aExtension.mMembers, [](const auto& aRow) {
    return aRow.second.mAbsentSince.has_value();
  });
  for (auto& [name, member] : aExtension.mMembers) {
    member.mIsAsked = false;
  }
}

void OnStoreProof(LeaseExtension& aExtension, TimePoint aSentAt)
{
  aExtension.mStoreProvedAt =
    std::max(aExtension.mStoreProvedAt.value_or(aSentAt), aSentAt);
  aExtension.mIsEnded = false;
}

std::vector<ConfirmOrder> AskMembers(LeaseExtension& aExtension,
                                     bool aOnlyNew,
                                     TimePoint aNow)
{
  std::vector<ConfirmOrder> orders;
  for (auto& [name, member] : aExtension.mMembers) {
    if (aOnlyNew && member.mIsAsked) {
      continue;
    }
    member.mIsAsked = true;
    member.mOpenNumber = ++aExtension.mLastNumber;
    member.mOpenSentAt = aNow;
    orders.push_back({ aExtension.mOwner,
                       name,
                       aExtension.mShard,
                       aExtension.mEpoch,
                       aExtension.mGeneration,
                       member.mOpenNumber });
  }
  return orders;
}

AnswerUse OnConfirmAnswer(LeaseExtension& aExtension,
                          const ConfirmAnswer& aAnswer)
{
  const ConfirmOrder& order = aAnswer.mOrder;
  const auto member = aExtension.mMembers.find(order.mMember);
  const bool isOwn =
    order.mOwner == aExtension.mOwner && order.mShard == aExtension.mShard &&
    order.mEpoch == aExtension.mEpoch && member != aExtension.mMembers.end();
  if (!isOwn) {
    return AnswerUse::kForeign;
  }
  if (order.mNumber == 0 || order.mNumber != member->second.mOpenNumber) {
    return AnswerUse::kLate;
  }
  member->second.mOpenNumber = 0;
  if (aAnswer.mOutcome != ConfirmOutcome::kConfirmed) {
    aExtension.mIsEnded =
      aExtension.mIsEnded || aAnswer.mOutcome == ConfirmOutcome::kEnded;
    return AnswerUse::kRefused;
  }
  member->second.mConfirmedAt = member->second.mOpenSentAt;
  return AnswerUse::kCounted;
}

LeasesEnd LeasesEndOf(const LeaseExtension& aExtension)
{
  if (!aExtension.mStoreProvedAt) {
    return {};
  }
  const TimePoint storeProvedAt = *aExtension.mStoreProvedAt;
  const TimePoint byStore = storeProvedAt + aExtension.mSettings.mShortLimit;
  const auto membersProvedAt = MembersProvedAt(aExtension);
  if (!membersProvedAt || *membersProvedAt <= storeProvedAt) {
    return { byStore, ExtensionState::kStore };
  }
  const TimePoint byMembers =
    *membersProvedAt + aExtension.mSettings.mShortLimit;
  const TimePoint longest = storeProvedAt + aExtension.mSettings.mLongLimit;
  return byMembers <= longest
           ? LeasesEnd{ byMembers, ExtensionState::kMembers }
           : LeasesEnd{ longest, ExtensionState::kLongLimit };
}

} // namespace verbenacroft
