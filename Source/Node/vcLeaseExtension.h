#pragma once

/// How long an owner may let the leases of its workers last while the store
/// can't prove its ownership, and from when a claimant counts its wait for
/// them. Free of time and network; the caller passes the time of its own steady
/// clock.
///
/// A proof of ownership shows that nobody had claimed the shard when the proof
/// was asked for. A renewal that the store answered is one. Another is that
/// every member of the shard confirms the epoch: each node that may count only
/// the short limit after a claim. Leases end by the short limit after the last
/// proof, and by the long limit after the last proof of the store.
///
/// A confirmation binds only the node that gave it: it doesn't confirm an epoch
/// whose end it knows, and it counts its wait from no earlier than that end.
///
/// It has no caller yet: see "Two limits instead of one" in
/// docs/PLATFORM-DESIGN.md for what has to come first.

#include "vcCodec.h"
#include "vcErrorTable.h"
#include "vcTime.h"

#include <map>
#include <optional>
#include <set>

namespace verbenacroft {

/// Limits of the leases. All nodes of a fleet have to use the same.
struct LeaseExtensionSettings
{
  /// Longest time from a proof of ownership to the end of the leases.
  Duration mShortLimit{ 6'500 };
  /// Longest time from a proof of the store to the end of the leases. The short
  /// limit: leases are never extended.
  Duration mLongLimit{ 36'500 };
  /// By how much the clocks of an owner, a worker and a claimant may differ, as
  /// a part of the time that they count.
  double mClockMargin = 0.04;
  /// Members without a record for this long are to be dropped.
  Duration mDropAfter{ 20'000 };
};

/// Appends a fault for each setting that is out of range.
/// @param aLongestLease longest lease of a worker
/// @param aPath path of the settings, such as "$.extension"
void CheckLeaseExtension(const LeaseExtensionSettings& aSettings,
                         Duration aLongestLease,
                         const std::string& aPath,
                         Faults& aFaults);

/// Asks a node to confirm that a shard has the owner of this epoch.
struct ConfirmOrder
{
  std::string mOwner;
  /// Name of the node that is asked.
  std::string mMember;
  std::uint32_t mShard = 0;
  std::uint64_t mEpoch = 0;
  /// Generation of the owner's members.
  std::uint64_t mGeneration = 0;
  /// Number of the order, ascending for each epoch.
  std::uint64_t mNumber = 0;
};
BOOST_DESCRIBE_STRUCT(ConfirmOrder,
                      (),
                      (mOwner, mMember, mShard, mEpoch, mGeneration, mNumber))

/// What came of an order to confirm an epoch.
enum class ConfirmOutcome
{
  kConfirmed,
  /// The order names another node or shard.
  kMisdirected,
  /// The node doesn't know the epoch.
  kUnknownEpoch,
  /// The node knows that the epoch has ended, or has sent a claim that replaces
  /// it.
  kEnded,
  /// The process hasn't written its node's record, so a claim of an earlier
  /// process may still be carried out.
  kNoRecord,
};

template<>
struct EnumTable<ConfirmOutcome>
{
  static constexpr auto kRows = std::to_array<NameRow<ConfirmOutcome>>({
    { ConfirmOutcome::kConfirmed, "confirmed" },
    { ConfirmOutcome::kMisdirected, "misdirected" },
    { ConfirmOutcome::kUnknownEpoch, "unknown-epoch" },
    { ConfirmOutcome::kEnded, "ended" },
    { ConfirmOutcome::kNoRecord, "no-record" },
  });
};

/// Answer to a `ConfirmOrder`, with the order's fields.
struct ConfirmAnswer
{
  ConfirmOrder mOrder;
  ConfirmOutcome mOutcome = ConfirmOutcome::kMisdirected;
};
BOOST_DESCRIBE_STRUCT(ConfirmAnswer, (), (mOrder, mOutcome))

/// What a node remembers of a shard that it may claim.
struct ShardMember
{
  /// Name of the node.
  std::string mNode;
  std::uint32_t mShard = 0;
  /// Last epoch that the node knows, and its owner; 0 if it knows none.
  std::uint64_t mEpoch = 0;
  std::string mOwner;
  /// When the node knew that this epoch had ended; nothing before.
  std::optional<TimePoint> mEndedAt = std::nullopt;
  /// The process has written its node's record.
  bool mHasRecord = false;
  /// Last epoch that the node has sent a claim to replace; 0 if there is none.
  std::uint64_t mReplacedEpoch = 0;
  /// Last epoch whose owner has asked this process, and the generation of its
  /// members; 0 if there is none.
  std::uint64_t mAskedEpoch = 0;
  std::uint64_t mAskedGeneration = 0;
};

/// Notes that the store shows an owner of the shard.
void OnOwnerSeen(ShardMember& aMember,
                 std::uint64_t aEpoch,
                 const std::string& aOwner);

/// Notes that the store shows no owner of the shard.
void OnOwnerGone(ShardMember& aMember, TimePoint aNow);

/// Notes that the node sends a claim, whether it will be carried out or not.
void OnClaimSent(ShardMember& aMember, std::uint64_t aReplacedEpoch);

/// Answers the owner of a shard. An epoch that is known to have ended isn't
/// confirmed.
ConfirmAnswer Confirm(ShardMember& aMember, const ConfirmOrder& aOrder);

/// The claim that a claim replaces, as the conditions of the claim's write
/// prove it.
struct ReplacedClaim
{
  /// Revision of the claim.
  std::uint64_t mEpoch = 0;
  /// Generation of its owner's members.
  std::uint64_t mGeneration = 0;
  /// The leases of all owners before it end by the short limit after it.
  bool mIsBounded = false;
  /// The claimant's own record has stood unchanged since this revision; 0 if it
  /// has none.
  std::uint64_t mRecordRevision = 0;
};

/// True if a node that claims the shard has to count only the short limit.
/// Asked before the claim is written, which records it as
/// `ReplacedClaim::mIsBounded`.
bool CountsShortLimit(const ShardMember& aMember,
                      const ReplacedClaim& aReplaced);

/// Time by which the leases of all owners before a claim have ended. Asked
/// before the claim itself is noted with `OnOwnerSeen`.
/// @param aIsShort `CountsShortLimit` of the claim
/// @param aClaimKnownAt when this node knew that its claim was written
TimePoint EarlierLeasesEndBy(const ShardMember& aMember,
                             const LeaseExtensionSettings& aSettings,
                             std::uint64_t aReplacedEpoch,
                             bool aIsShort,
                             TimePoint aClaimKnownAt);

/// A node that may count only the short limit if it claims the shard.
struct ConfirmingNode
{
  /// The node was asked in this generation. It may remember that, so it is no
  /// longer a member only in the next one.
  bool mIsAsked = false;
  /// Number of the last order and when it was sent; 0 if none is open.
  std::uint64_t mOpenNumber = 0;
  TimePoint mOpenSentAt{ kNever };
  /// When the last order that the node confirmed was sent.
  std::optional<TimePoint> mConfirmedAt = std::nullopt;
  /// Since when the table hasn't had the node; nothing if it has.
  std::optional<TimePoint> mAbsentSince = std::nullopt;
};

/// Proofs of one ownership, as the owner knows them.
struct LeaseExtension
{
  LeaseExtensionSettings mSettings;
  std::string mOwner;
  std::uint32_t mShard = 0;
  std::uint64_t mEpoch = 0;
  /// Generation of the members, which the store has.
  std::uint64_t mGeneration = 1;
  /// The table of nodes was complete at the epoch, and each record in it could
  /// be decoded.
  bool mIsTableKnown = false;
  std::map<std::string, ConfirmingNode> mMembers;
  /// Number of the last order.
  std::uint64_t mLastNumber = 0;
  /// When the store was asked for its last proof.
  std::optional<TimePoint> mStoreProvedAt = std::nullopt;
  /// A member knows that the epoch has ended.
  bool mIsEnded = false;
};

/// The nodes of the fleet as the owner knows them.
struct NodeTable
{
  /// The table contains all nodes up to this revision.
  std::uint64_t mRevision = 0;
  /// Names of all nodes with a record.
  std::set<std::string> mNodes;
  /// Each record could be decoded.
  bool mIsReadable = true;
};

/// Updates the members from the table of nodes.
void OnNodeTable(LeaseExtension& aExtension,
                 const NodeTable& aTable,
                 TimePoint aNow);

/// True if a member has had no record for long. The owner should write the next
/// generation to the store, on the condition that it still owns the shard.
bool IsNextGenerationDue(const LeaseExtension& aExtension, TimePoint aNow);

/// Notes that the store has the next generation, which drops the members
/// without a record. All others have to be asked again.
void OnNextGeneration(LeaseExtension& aExtension);

/// Notes a renewal of the owner's lease that the store answered.
void OnStoreProof(LeaseExtension& aExtension, TimePoint aSentAt);

/// Orders to all members, or only to those that haven't been asked yet. Answers
/// to earlier orders of these members are late from then on.
std::vector<ConfirmOrder> AskMembers(LeaseExtension& aExtension,
                                     bool aOnlyNew,
                                     TimePoint aNow);

/// What an owner makes of an answer.
enum class AnswerUse
{
  kCounted,
  /// Of another owner, shard, epoch or node.
  kForeign,
  /// Not to the open order of the node.
  kLate,
  kRefused,
};

template<>
struct EnumTable<AnswerUse>
{
  static constexpr auto kRows = std::to_array<NameRow<AnswerUse>>({
    { AnswerUse::kCounted, "counted" },
    { AnswerUse::kForeign, "foreign" },
    { AnswerUse::kLate, "late" },
    { AnswerUse::kRefused, "refused" },
  });
};

/// Applies an answer. Only one that is counted can extend anything.
AnswerUse OnConfirmAnswer(LeaseExtension& aExtension,
                          const ConfirmAnswer& aAnswer);

/// Why leases end when they do.
enum class ExtensionState
{
  /// The store proves the ownership, and no member's confirmation is newer.
  kStore,
  /// All members have confirmed since the last proof of the store.
  kMembers,
  /// The long limit ends the leases.
  kLongLimit,
};

template<>
struct EnumTable<ExtensionState>
{
  static constexpr auto kRows = std::to_array<NameRow<ExtensionState>>({
    { ExtensionState::kStore, "store" },
    { ExtensionState::kMembers, "members" },
    { ExtensionState::kLongLimit, "long-limit" },
  });
};

/// Latest end of the leases that the owner may grant.
struct LeasesEnd
{
  TimePoint mAt{ 0 };
  ExtensionState mState = ExtensionState::kStore;
};

/// Latest end of the leases that the owner may grant, on its clock.
LeasesEnd LeasesEndOf(const LeaseExtension& aExtension);

} // namespace verbenacroft
