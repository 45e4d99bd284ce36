/// Exhaustive check of the leases' extension: all orders of messages, losses,
/// restarts and clock steps, in small worlds of three or four nodes, a store
/// and a worker that only the owners reach. A task runs twice at once if a
/// claimant's wait is over while a lease of an owner before it lasts.

#include "vcLeaseExtension.h"

#include <catch2/catch.hpp>

#include <unordered_set>

namespace verbenacroft {

namespace {

constexpr std::size_t kNodes = 4;
/// Index of the worker's clock.
constexpr std::size_t kWorker = kNodes;
/// Revision at which node 0 has claimed the shard.
constexpr std::uint64_t kFirstEpoch = 10;

/// A step of the protocol that is left out.
enum class Omitted
{
  kNothing,
  kOneMember,
  kRefusalAfterEnd,
  kRefusalAfterClaim,
  kRecordBeforeConfirming,
  kAnswerNumber,
  kProofFromSending,
  kLongLimitOfOwner,
  kLongLimitOfClaimant,
  kBoundedChain,
  kCompleteTable,
  kRecordCondition,
  kGenerationOfClaim,
  kStoreBeforeDrop,
  kEndOfReplacedEpoch,
  kClockMargin,
};

/// How often each thing may happen in a world, and for how long it is followed.
struct Budgets
{
  int mTicks = 6;
  int mAsks = 2;
  /// Proofs of the store after the first one.
  int mProofs = 0;
  int mLapses = 1;
  int mRejoins = 0;
  int mRestarts = 0;
  int mClaims = 1;
  int mClockSteps = 0;
  int mAdoptions = 0;
  int mGenerations = 0;
  std::size_t mNodes = 3;
  /// Nodes from this one on join in the outage only.
  std::size_t mFirstJoiner = kNodes;
  /// They have joined, after the claim and unseen by the owner.
  bool mHaveJoined = false;
  /// This node keeps its record and its memory, and claims nothing.
  std::size_t mSteady = kNodes;
  /// They learn of the shard by their own claims only.
  bool mAreJoinersBlind = false;
  /// Node 0 doesn't reach the store.
  bool mIsOwnerCutOff = false;
  /// The members have confirmed once.
  bool mHaveConfirmed = false;
  /// Nodes send claims also while they know of an owner.
  bool mClaimsEarly = false;
  /// Node 1 has joined just before the claim, and the owner's table is older.
  bool mHasOldTable = false;
};

/// A node that may own the shard.
struct ModelNode
{
  ShardMember mMember;
  LeaseExtension mExtension;
  /// Its runner acts for the shard.
  bool mIsRunning = false;
  /// It has asked in this tick.
  bool mHasAsked = false;
  /// Revision of its record in the store; 0 if there is none.
  std::uint64_t mRecord = 0;
  /// Revision of the record that this process wrote; 0 if it wrote none.
  std::uint64_t mOwnRecord = 0;
  /// Revision of its first record.
  std::uint64_t mFirstRecord = 0;
  /// The epoch that its claim replaced, while it hasn't heard of its claim.
  std::uint64_t mPendingReplaced = 0;
  bool mIsShort = false;
  /// Its claim's time on its clock.
  TimePoint mClaimSentAt{ 0 };
  TimePoint mWaitUntil{ 0 };
  /// The next generation is in the store, which it doesn't know.
  bool mIsGenerationWritten = false;
  TimePoint mClock{ 0 };
};

/// A claim that the store hasn't carried out yet.
struct ClaimWrite
{
  std::uint64_t mReplaced = 0;
  std::uint64_t mGeneration = 0;
  std::uint64_t mRecord = 0;
  bool mIsShort = false;
};

/// What is under way between an owner and a member.
struct Channel
{
  std::optional<ConfirmOrder> mOrder;
  std::optional<ConfirmAnswer> mAnswer;
};

struct World
{
  Budgets mLeft;
  std::array<ModelNode, kNodes> mNodes;
  std::array<std::array<Channel, kNodes>, kNodes> mChannels;
  /// At most one of each node.
  std::array<std::optional<ClaimWrite>, kNodes> mWrites;
  std::uint64_t mRevision = kFirstEpoch;
  /// Owner in the store, or `kNodes`.
  std::size_t mOwner = 0;
  /// The last claim.
  ReplacedClaim mClaim{ kFirstEpoch, 1, true, 0 };
  std::uint64_t mWorkerEpoch = kFirstEpoch;
  TimePoint mWorkerClock{ 0 };
  TimePoint mLeaseEnd{ 0 };
};

std::string NameOfNode(std::size_t aNode)
{
  return std::to_string(aNode);
}

/// Settings in steps of a clock. The margin is one step of the short limit.
LeaseExtensionSettings SmallSettings(const Budgets& aBudgets)
{
  LeaseExtensionSettings settings;
  settings.mShortLimit = Duration(2);
  settings.mLongLimit = Duration(4);
  settings.mClockMargin = aBudgets.mClockSteps > 0 ? 0.5 : 0;
  settings.mDropAfter = Duration(0);
  return settings;
}

/// Appends what distinguishes worlds to a key. Numbers of orders only count by
/// whether they are open.
class WorldKey
{
public:
  explicit WorldKey(const World& aWorld)
  {
    this->Add(aWorld.mLeft);
    for (const ModelNode& node : aWorld.mNodes) {
      this->Add(node);
    }
    for (std::size_t owner = 0; owner < kNodes; ++owner) {
      for (std::size_t member = 0; member < kNodes; ++member) {
        this->Add(aWorld, owner, member);
      }
    }
    for (const auto& write : aWorld.mWrites) {
      this->Add(write ? write->mReplaced : 0);
      this->Add(write ? write->mGeneration : 0);
      this->Add(write ? write->mRecord : 0);
      this->Add(write && write->mIsShort);
    }
    this->Add(aWorld.mRevision);
    this->Add(aWorld.mOwner);
    this->Add(aWorld.mClaim.mEpoch);
    this->Add(aWorld.mClaim.mGeneration);
    this->Add(aWorld.mClaim.mIsBounded);
    this->Add(aWorld.mWorkerEpoch);
    this->Add(aWorld.mWorkerClock);
    this->Add(aWorld.mLeaseEnd);
  }
  std::string mText;

private:
  void Add(std::uint64_t aNumber)
  {
    this->mText.push_back(static_cast<char>(aNumber));
  }
  void Add(TimePoint aTime)
  {
    this->Add(static_cast<std::uint64_t>(aTime.count()));
  }
  void Add(const std::optional<TimePoint>& aTime)
  {
    this->Add(aTime.value_or(TimePoint(-1)));
  }
  void Add(const Budgets& aLeft)
  {
    for (const int left : { aLeft.mTicks,
                            aLeft.mAsks,
                            aLeft.mProofs,
                            aLeft.mLapses,
                            aLeft.mRejoins,
                            aLeft.mRestarts,
                            aLeft.mClaims,
                            aLeft.mClockSteps,
                            aLeft.mAdoptions,
                            aLeft.mGenerations }) {
      this->Add(static_cast<std::uint64_t>(left));
    }
  }
  void Add(const ModelNode& aNode)
  {
    this->Add(aNode.mMember.mEpoch);
    this->Add(aNode.mMember.mEndedAt);
    this->Add(aNode.mMember.mHasRecord);
    this->Add(aNode.mMember.mReplacedEpoch);
    this->Add(aNode.mMember.mAskedEpoch);
    this->Add(aNode.mMember.mAskedGeneration);
    this->Add(aNode.mRecord);
    this->Add(aNode.mOwnRecord);
    this->Add(aNode.mFirstRecord);
    this->Add(aNode.mPendingReplaced);
    this->Add(aNode.mIsShort);
    this->Add(aNode.mClaimSentAt);
    this->Add(aNode.mClock);
    this->Add(aNode.mIsRunning);
    if (aNode.mIsRunning) {
      this->Add(aNode.mHasAsked);
      this->Add(aNode.mWaitUntil);
      this->Add(aNode.mIsGenerationWritten);
      this->Add(aNode.mExtension);
    }
  }
  void Add(const LeaseExtension& aExtension)
  {
    this->Add(aExtension.mEpoch);
    this->Add(aExtension.mGeneration);
    this->Add(aExtension.mIsTableKnown);
    this->Add(aExtension.mIsEnded);
    this->Add(aExtension.mStoreProvedAt);
    this->Add(aExtension.mMembers.size());
    for (const auto& [name, member] : aExtension.mMembers) {
      this->Add(static_cast<std::uint64_t>(name[0]));
      this->Add(member.mIsAsked);
      this->Add(member.mOpenNumber > 0);
      // Nothing older than the last proof of the store extends anything.
      const TimePoint oldest = aExtension.mStoreProvedAt.value_or(TimePoint(0));
      this->Add(std::max(member.mOpenSentAt, oldest));
      this->Add(std::max(member.mConfirmedAt.value_or(oldest), oldest));
      this->Add(member.mAbsentSince);
    }
  }
  void Add(const World& aWorld, std::size_t aOwner, std::size_t aMember)
  {
    const Channel& channel = aWorld.mChannels[aOwner][aMember];
    this->Add(channel.mOrder.has_value());
    if (channel.mOrder) {
      this->Add(aWorld, aOwner, *channel.mOrder);
    }
    this->Add(channel.mAnswer.has_value());
    if (channel.mAnswer) {
      this->Add(aWorld, aOwner, channel.mAnswer->mOrder);
      this->Add(static_cast<std::uint64_t>(channel.mAnswer->mOutcome));
    }
  }
  void Add(const World& aWorld, std::size_t aOwner, const ConfirmOrder& aOrder)
  {
    const auto& members = aWorld.mNodes[aOwner].mExtension.mMembers;
    const auto member = members.find(aOrder.mMember);
    this->Add(aOrder.mEpoch);
    this->Add(aOrder.mGeneration);
    this->Add(member != members.end() &&
              member->second.mOpenNumber == aOrder.mNumber);
  }
};

/// Follows all worlds that come of the first one.
class WorldCheck
{
public:
  WorldCheck(const Budgets& aBudgets, Omitted aOmitted)
    : mSettings(SmallSettings(aBudgets))
    , mOmitted(aOmitted)
  {
    if (aOmitted == Omitted::kClockMargin) {
      this->mSettings.mClockMargin = 0;
    }
    this->Visit(this->First(aBudgets));
  }

  /// True if a task can run twice at once.
  bool FindsFault()
  {
    while (!this->mOpen.empty() && !this->mIsFaulty) {
      const World world = std::move(this->mOpen.back());
      this->mOpen.pop_back();
      this->Follow(world);
    }
    return this->mIsFaulty;
  }
  std::size_t Worlds() const { return this->mSeen.size(); }
  /// Latest end of a lease in any world, after the last proof of the store.
  Duration LongestLease() const { return this->mLongestLease; }

private:
  World First(const Budgets& aBudgets)
  {
    World world;
    world.mLeft = aBudgets;
    for (std::size_t node = 0; node < kNodes; ++node) {
      ModelNode& row = world.mNodes[node];
      const bool isMember =
        node < std::min(aBudgets.mNodes, aBudgets.mFirstJoiner);
      row.mMember.mNode = NameOfNode(node);
      row.mRecord = isMember ? kFirstEpoch - kNodes + node : 0;
      row.mOwnRecord = row.mRecord;
      row.mMember.mHasRecord = isMember;
      row.mFirstRecord = row.mRecord;
      if (isMember) {
        OnOwnerSeen(row.mMember, kFirstEpoch, NameOfNode(0));
      }
    }
    this->BeginToRun(world, 0);
    if (aBudgets.mHasOldTable) {
      this->ApplyTable(world, 0, kFirstEpoch - kNodes, { "0", "2" });
    } else {
      this->ReadTable(world, 0);
    }
    for (std::size_t node = aBudgets.mFirstJoiner; node < aBudgets.mNodes;
         ++node) {
      if (aBudgets.mHaveJoined) {
        WriteRecord(world, node);
      }
    }
    LeaseExtension& owner = world.mNodes[0].mExtension;
    const auto orders = aBudgets.mHaveConfirmed
                          ? AskMembers(owner, true, TimePoint(0))
                          : std::vector<ConfirmOrder>();
    for (const ConfirmOrder& order : orders) {
      ShardMember& member = world.mNodes[std::stoul(order.mMember)].mMember;
      OnConfirmAnswer(owner, Confirm(member, order));
    }
    return world;
  }

  static void WriteRecord(World& aWorld, std::size_t aNode)
  {
    ModelNode& node = aWorld.mNodes[aNode];
    node.mRecord = ++aWorld.mRevision;
    node.mOwnRecord = node.mRecord;
    node.mMember.mHasRecord = true;
  }

  void BeginToRun(World& aWorld, std::size_t aNode) const
  {
    ModelNode& node = aWorld.mNodes[aNode];
    node.mExtension = {};
    node.mExtension.mSettings = this->mSettings;
    if (this->mOmitted == Omitted::kLongLimitOfOwner) {
      node.mExtension.mSettings.mLongLimit *= 2;
    }
    node.mExtension.mOwner = NameOfNode(aNode);
    node.mExtension.mEpoch = aWorld.mClaim.mEpoch;
    node.mIsRunning = true;
    node.mIsGenerationWritten = false;
    OnStoreProof(node.mExtension, node.mClaimSentAt);
  }

  void ApplyTable(World& aWorld,
                  std::size_t aNode,
                  std::uint64_t aRevision,
                  std::set<std::string> aNames) const
  {
    ModelNode& node = aWorld.mNodes[aNode];
    if (this->mOmitted == Omitted::kOneMember) {
      aNames.erase("1");
    }
    if (this->mOmitted == Omitted::kCompleteTable) {
      aRevision = std::max(aRevision, node.mExtension.mEpoch);
    }
    OnNodeTable(
      node.mExtension, { aRevision, std::move(aNames), true }, node.mClock);
  }

  void ReadTable(World& aWorld, std::size_t aNode) const
  {
    std::set<std::string> names;
    for (std::size_t other = 0; other < kNodes; ++other) {
      if (aWorld.mNodes[other].mRecord > 0) {
        names.insert(NameOfNode(other));
      }
    }
    this->ApplyTable(aWorld, aNode, aWorld.mRevision, std::move(names));
  }

  static bool OwnsInStore(const World& aWorld, std::size_t aNode)
  {
    return aWorld.mOwner == aNode &&
           aWorld.mNodes[aNode].mExtension.mEpoch == aWorld.mClaim.mEpoch;
  }

  /// Owners that reach the worker renew its lease for as long as they may.
  void Renew(World& aWorld)
  {
    for (ModelNode& node : aWorld.mNodes) {
      if (!node.mIsRunning || node.mExtension.mEpoch != aWorld.mWorkerEpoch) {
        continue;
      }
      const TimePoint endsAt = LeasesEndOf(node.mExtension).mAt;
      const TimePoint onWorker = aWorld.mWorkerClock + (endsAt - node.mClock);
      aWorld.mLeaseEnd = std::max(aWorld.mLeaseEnd, onWorker);
      this->mLongestLease =
        std::max(this->mLongestLease,
                 endsAt - node.mExtension.mStoreProvedAt.value_or(endsAt));
    }
  }

  /// Adds a world to those to follow, unless nothing runs in it any more.
  void Visit(World aWorld)
  {
    this->Renew(aWorld);
    if (aWorld.mLeaseEnd <= aWorld.mWorkerClock) {
      return;
    }
    for (const ModelNode& node : aWorld.mNodes) {
      this->mIsFaulty =
        this->mIsFaulty ||
        (node.mIsRunning && node.mExtension.mEpoch > aWorld.mWorkerEpoch &&
         node.mClock >= node.mWaitUntil);
    }
    if (this->mSeen.insert(WorldKey(aWorld).mText).second) {
      this->mOpen.push_back(std::move(aWorld));
    }
  }

  void Follow(const World& aWorld)
  {
    this->PassTime(aWorld);
    for (std::size_t node = 0; node < aWorld.mLeft.mNodes; ++node) {
      this->FollowNode(aWorld, node);
      this->FollowOwner(aWorld, node);
      for (std::size_t other = 0; other < aWorld.mLeft.mNodes; ++other) {
        this->FollowChannel(aWorld, node, other);
      }
    }
  }

  void PassTime(const World& aWorld)
  {
    if (aWorld.mLeft.mTicks == 0) {
      return;
    }
    World next = aWorld;
    --next.mLeft.mTicks;
    next.mWorkerClock += Duration(1);
    for (ModelNode& node : next.mNodes) {
      node.mClock += Duration(1);
      node.mHasAsked = false;
    }
    this->Visit(next);
    if (aWorld.mLeft.mClockSteps == 0) {
      return;
    }
    --next.mLeft.mClockSteps;
    for (std::size_t clock = 0; clock <= kWorker; ++clock) {
      for (const Duration step : { Duration(-1), Duration(1) }) {
        World stepped = next;
        (clock == kWorker ? stepped.mWorkerClock
                          : stepped.mNodes[clock].mClock) += step;
        this->Visit(std::move(stepped));
      }
    }
  }

  /// What a node does with the store, and what happens to it.
  void FollowNode(const World& aWorld, std::size_t aNode)
  {
    const ModelNode& node = aWorld.mNodes[aNode];
    const bool isCutOff = aWorld.mLeft.mIsOwnerCutOff && aNode == 0;
    const bool isBlind =
      aWorld.mLeft.mAreJoinersBlind && aNode >= aWorld.mLeft.mFirstJoiner;
    if (!isCutOff && !isBlind) {
      this->ReadStore(aWorld, aNode);
    }
    if (aNode == aWorld.mLeft.mSteady) {
      return;
    }
    if (node.mRecord > 0 && aWorld.mLeft.mLapses > 0) {
      World next = aWorld;
      --next.mLeft.mLapses;
      ++next.mRevision;
      next.mNodes[aNode].mRecord = 0;
      next.mOwner = aWorld.mOwner == aNode ? kNodes : aWorld.mOwner;
      this->Visit(std::move(next));
    }
    if (node.mRecord == 0 && aWorld.mLeft.mRejoins > 0) {
      World next = aWorld;
      --next.mLeft.mRejoins;
      WriteRecord(next, aNode);
      this->Visit(std::move(next));
    }
    if (isCutOff) {
      return;
    }
    if (aWorld.mLeft.mRestarts > 0) {
      World next = aWorld;
      --next.mLeft.mRestarts;
      ModelNode& restarted = next.mNodes[aNode];
      const ModelNode before = restarted;
      restarted = {};
      restarted.mMember.mNode = NameOfNode(aNode);
      restarted.mMember.mHasRecord =
        this->mOmitted == Omitted::kRecordBeforeConfirming;
      restarted.mClock = before.mClock;
      restarted.mRecord = before.mRecord;
      restarted.mFirstRecord = before.mFirstRecord;
      this->Visit(std::move(next));
    }
    this->Claim(aWorld, aNode);
    this->CarryOut(aWorld, aNode);
    this->HearOfClaim(aWorld, aNode);
  }

  void ReadStore(const World& aWorld, std::size_t aNode)
  {
    World next = aWorld;
    ModelNode& node = next.mNodes[aNode];
    if (next.mOwner == kNodes) {
      OnOwnerGone(node.mMember, node.mClock);
    } else {
      OnOwnerSeen(node.mMember, next.mClaim.mEpoch, NameOfNode(next.mOwner));
    }
    if (node.mIsRunning) {
      this->ReadTable(next, aNode);
      node.mIsRunning = OwnsInStore(next, aNode);
    }
    this->Visit(std::move(next));
  }

  void Claim(const World& aWorld, std::size_t aNode)
  {
    const ModelNode& node = aWorld.mNodes[aNode];
    const bool isIdle =
      !node.mIsRunning && node.mPendingReplaced == 0 && !aWorld.mWrites[aNode];
    const bool isDue = aWorld.mOwner == kNodes ||
                       node.mMember.mEndedAt.has_value() ||
                       aWorld.mLeft.mClaimsEarly;
    const bool canClaim =
      isIdle && isDue && node.mRecord > 0 && aWorld.mLeft.mClaims > 0;
    if (!canClaim) {
      return;
    }
    ReplacedClaim replaced = aWorld.mClaim;
    replaced.mRecordRevision = node.mOwnRecord;
    if (this->mOmitted == Omitted::kRecordCondition) {
      replaced.mRecordRevision = node.mFirstRecord;
    }
    if (this->mOmitted == Omitted::kBoundedChain) {
      replaced.mIsBounded = true;
    }
    if (this->mOmitted == Omitted::kGenerationOfClaim) {
      replaced.mGeneration = node.mMember.mAskedGeneration;
    }
    World next = aWorld;
    ModelNode& claimant = next.mNodes[aNode];
    --next.mLeft.mClaims;
    claimant.mIsShort = CountsShortLimit(node.mMember, replaced) ||
                        this->mOmitted == Omitted::kLongLimitOfClaimant;
    claimant.mPendingReplaced = aWorld.mClaim.mEpoch;
    claimant.mClaimSentAt = claimant.mClock;
    if (this->mOmitted != Omitted::kRefusalAfterClaim) {
      OnClaimSent(claimant.mMember, aWorld.mClaim.mEpoch);
    }
    next.mWrites[aNode] = { aWorld.mClaim.mEpoch,
                            aWorld.mClaim.mGeneration,
                            node.mRecord,
                            claimant.mIsShort };
    this->Visit(std::move(next));
  }

  /// The store carries a claim out, or its conditions don't hold any more.
  void CarryOut(const World& aWorld, std::size_t aNode)
  {
    const auto& write = aWorld.mWrites[aNode];
    if (!write) {
      return;
    }
    World next = aWorld;
    next.mWrites[aNode].reset();
    const bool holds = aWorld.mOwner == kNodes &&
                       aWorld.mNodes[aNode].mRecord == write->mRecord &&
                       aWorld.mClaim.mEpoch == write->mReplaced &&
                       aWorld.mClaim.mGeneration == write->mGeneration;
    if (holds) {
      next.mOwner = aNode;
      next.mClaim = { ++next.mRevision, 1, write->mIsShort, 0 };
    }
    this->Visit(std::move(next));
  }

  void HearOfClaim(const World& aWorld, std::size_t aNode)
  {
    const std::uint64_t replaced = aWorld.mNodes[aNode].mPendingReplaced;
    if (replaced == 0 || aWorld.mWrites[aNode]) {
      return;
    }
    World next = aWorld;
    ModelNode& node = next.mNodes[aNode];
    node.mPendingReplaced = 0;
    if (next.mOwner == aNode) {
      const bool isOldEnd = this->mOmitted == Omitted::kEndOfReplacedEpoch;
      node.mWaitUntil =
        EarlierLeasesEndBy(node.mMember,
                           this->mSettings,
                           isOldEnd ? node.mMember.mEpoch : replaced,
                           node.mIsShort,
                           node.mClock);
      this->BeginToRun(next, aNode);
      OnOwnerSeen(node.mMember, next.mClaim.mEpoch, NameOfNode(aNode));
    }
    this->Visit(std::move(next));
  }

  /// What an owner does.
  void FollowOwner(const World& aWorld, std::size_t aNode)
  {
    if (!aWorld.mNodes[aNode].mIsRunning) {
      return;
    }
    this->ProveByStore(aWorld, aNode);
    this->Ask(aWorld, aNode);
    const bool adopts =
      aWorld.mLeft.mAdoptions > 0 &&
      aWorld.mNodes[aNode].mExtension.mEpoch > aWorld.mWorkerEpoch;
    if (adopts) {
      World next = aWorld;
      --next.mLeft.mAdoptions;
      next.mWorkerEpoch = next.mNodes[aNode].mExtension.mEpoch;
      this->Visit(std::move(next));
    }
    this->ChangeGeneration(aWorld, aNode);
  }

  void ProveByStore(const World& aWorld, std::size_t aNode)
  {
    const bool isOwner = OwnsInStore(aWorld, aNode);
    if (isOwner && aWorld.mLeft.mProofs == 0) {
      return;
    }
    World next = aWorld;
    ModelNode& node = next.mNodes[aNode];
    node.mIsRunning = isOwner;
    if (isOwner) {
      --next.mLeft.mProofs;
      OnStoreProof(node.mExtension, node.mClock);
    }
    this->Visit(std::move(next));
  }

  /// New orders get lost where one is under way, or take its place.
  void Ask(const World& aWorld, std::size_t aNode)
  {
    if (aWorld.mNodes[aNode].mHasAsked || aWorld.mLeft.mAsks == 0) {
      return;
    }
    for (const bool isReplaced : { false, true }) {
      World next = aWorld;
      --next.mLeft.mAsks;
      ModelNode& node = next.mNodes[aNode];
      node.mHasAsked = true;
      for (auto& order : AskMembers(node.mExtension, false, node.mClock)) {
        const std::size_t member = std::stoul(order.mMember);
        auto& slot = next.mChannels[aNode][member].mOrder;
        if (isReplaced || !slot) {
          slot = std::move(order);
        }
      }
      this->Visit(std::move(next));
    }
  }

  void ChangeGeneration(const World& aWorld, std::size_t aNode)
  {
    const ModelNode& node = aWorld.mNodes[aNode];
    World next = aWorld;
    ModelNode& changed = next.mNodes[aNode];
    const bool isOmitted = this->mOmitted == Omitted::kStoreBeforeDrop;
    if (node.mIsGenerationWritten) {
      changed.mIsGenerationWritten = false;
      OnNextGeneration(changed.mExtension);
      this->Visit(std::move(next));
      return;
    }
    const bool writes = aWorld.mLeft.mGenerations > 0 &&
                        (isOmitted || OwnsInStore(aWorld, aNode)) &&
                        IsNextGenerationDue(node.mExtension, node.mClock);
    if (!writes) {
      return;
    }
    --next.mLeft.mGenerations;
    if (!isOmitted) {
      ++next.mRevision;
      ++next.mClaim.mGeneration;
    }
    changed.mIsGenerationWritten = true;
    this->Visit(std::move(next));
  }

  /// Messages arrive. One that gets lost is one that never arrives.
  void FollowChannel(const World& aWorld,
                     std::size_t aOwner,
                     std::size_t aOther)
  {
    const Channel& channel = aWorld.mChannels[aOwner][aOther];
    if (channel.mOrder) {
      World next = aWorld;
      ShardMember& member = next.mNodes[aOther].mMember;
      const auto endedAt = member.mEndedAt;
      if (this->mOmitted == Omitted::kRefusalAfterEnd) {
        member.mEndedAt.reset();
      }
      Channel& changed = next.mChannels[aOwner][aOther];
      changed.mAnswer = Confirm(member, *channel.mOrder);
      changed.mOrder.reset();
      member.mEndedAt = endedAt;
      this->Visit(std::move(next));
    }
    if (channel.mAnswer && aWorld.mNodes[aOwner].mIsRunning) {
      this->ReceiveAnswer(aWorld, aOwner, aOther);
    }
  }

  void ReceiveAnswer(const World& aWorld,
                     std::size_t aOwner,
                     std::size_t aOther)
  {
    World next = aWorld;
    Channel& channel = next.mChannels[aOwner][aOther];
    ModelNode& node = next.mNodes[aOwner];
    const auto member = node.mExtension.mMembers.find(NameOfNode(aOther));
    if (member != node.mExtension.mMembers.end()) {
      if (this->mOmitted == Omitted::kAnswerNumber) {
        channel.mAnswer->mOrder.mNumber = member->second.mOpenNumber;
      }
      if (this->mOmitted == Omitted::kProofFromSending) {
        member->second.mOpenSentAt = node.mClock;
      }
    }
    OnConfirmAnswer(node.mExtension, *channel.mAnswer);
    channel.mAnswer.reset();
    this->Visit(std::move(next));
  }

  LeaseExtensionSettings mSettings;
  Omitted mOmitted;
  bool mIsFaulty = false;
  Duration mLongestLease{ 0 };
  std::vector<World> mOpen;
  std::unordered_set<std::string> mSeen;
};

} // namespace

TEST_CASE("no order of messages lets a task run twice", "[extension-check]")
{
  struct Row
  {
    const char* mName;
    Budgets mBudgets;
    std::vector<Omitted> mFaultWithout;
  };
  const Row row = GENERATE(values<Row>({
    { "two members",
      { .mTicks = 4, .mAsks = 2, .mProofs = 1 },
      { Omitted::kOneMember, Omitted::kRefusalAfterEnd } },
    { "two members, answers come late",
      { .mTicks = 4, .mAsks = 3 },
      { Omitted::kAnswerNumber, Omitted::kProofFromSending } },
    { "a node joins and claims",
      { .mTicks = 6, .mAsks = 3, .mRejoins = 1, .mFirstJoiner = 2 },
      { Omitted::kLongLimitOfOwner, Omitted::kLongLimitOfClaimant } },
    { "the owner's table is older than its claim",
      { .mTicks = 4, .mHasOldTable = true },
      { Omitted::kCompleteTable } },
    { "a member loses its record and comes back",
      { .mTicks = 2, .mAsks = 1, .mLapses = 2, .mRejoins = 1, .mSteady = 2 },
      { Omitted::kRecordCondition } },
    { "a member is dropped and comes back",
      { .mTicks = 2,
        .mAsks = 1,
        .mLapses = 2,
        .mRejoins = 1,
        .mGenerations = 1,
        .mSteady = 2,
        .mHaveConfirmed = true },
      { Omitted::kGenerationOfClaim, Omitted::kStoreBeforeDrop } },
    { "two owners are lost",
      { .mTicks = 2,
        .mAsks = 1,
        .mLapses = 2,
        .mClaims = 2,
        .mFirstJoiner = 2,
        .mHaveJoined = true,
        .mIsOwnerCutOff = true },
      { Omitted::kRefusalAfterClaim } },
    { "two owners are lost, the second reaches the worker",
      { .mTicks = 3, .mAsks = 0, .mLapses = 2, .mClaims = 2, .mAdoptions = 1 },
      { Omitted::kEndOfReplacedEpoch } },
    { "a node joins, claims and is lost",
      { .mTicks = 2,
        .mAsks = 1,
        .mLapses = 2,
        .mClaims = 2,
        .mNodes = 4,
        .mFirstJoiner = 2,
        .mHaveJoined = true,
        .mSteady = 1,
        .mAreJoinersBlind = true,
        .mIsOwnerCutOff = true },
      { Omitted::kBoundedChain } },
    { "a process restarts while its claim is under way",
      { .mTicks = 2,
        .mAsks = 1,
        .mLapses = 2,
        .mRestarts = 1,
        .mClaims = 2,
        .mFirstJoiner = 2,
        .mHaveJoined = true,
        .mAreJoinersBlind = true,
        .mIsOwnerCutOff = true,
        .mClaimsEarly = true },
      { Omitted::kRecordBeforeConfirming } },
    { "a clock goes wrong",
      { .mTicks = 4, .mAsks = 1, .mClockSteps = 1 },
      { Omitted::kClockMargin } },
  }));
  CAPTURE(row.mName);
  WorldCheck whole(row.mBudgets, Omitted::kNothing);
  CHECK_FALSE(whole.FindsFault());
  for (const Omitted omitted : row.mFaultWithout) {
    CAPTURE(static_cast<int>(omitted));
    WorldCheck part(row.mBudgets, omitted);
    CHECK(part.FindsFault());
  }
}

} // namespace verbenacroft
