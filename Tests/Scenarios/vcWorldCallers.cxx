#include "vcWorldParts.h"

/// What operators, submitters and callers do in a world.

namespace verbenacroft {

using namespace world;

namespace {

/// A live node of the kind in the data centre, or in any other.
Node* FindNode(World& aWorld, const std::string& aDataCentre, NodeKind aKind)
{
  std::vector<Node*> candidates;
  for (auto& [name, node] : aWorld.mNodes) {
    if (node.mKind == aKind && node.mDataCentre == aDataCentre &&
        node.mIsAlive && !node.mIsFrozen) {
      candidates.push_back(&node);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
  return candidates[choice(aWorld.mRandom)];
}

constexpr Duration kRetryDelay{ 700 };
constexpr int kMaxTries = 200;

} // namespace

const Configuration* NewestConfiguration(const World& aWorld)
{
  const Configuration* newest = nullptr;
  for (const auto& [name, node] : aWorld.mNodes) {
    if (node.mKind == NodeKind::kConfig && node.mIsAlive) {
      const auto& configuration = node.mConfig.mFollower.mState.mConfiguration;
      if (newest == nullptr || configuration.mRevision > newest->mRevision) {
        newest = &configuration;
      }
    }
  }
  return newest;
}

void SubmitEdits(World& aWorld,
                 const std::string& aDataCentre,
                 std::vector<ConfigEdit> aEdits,
                 std::function<void(const ChangeOutcome&)> aOnOutcome)
{
  Node* node = FindNode(aWorld, aDataCentre, NodeKind::kConfig);
  if (node == nullptr) {
    ChangeOutcome outcome;
    outcome.mStatus = ChangeStatus::kUnavailable;
    aOnOutcome(outcome);
    return;
  }
  ConfigChange change;
  change.mChange = "change-" + std::to_string(aWorld.mChanges.size());
  change.mEdits = std::move(aEdits);
  OperatorChange asked;
  asked.mAskedAt = aWorld.mNow;
  asked.mOnOutcome = std::move(aOnOutcome);
  // Tickets are told apart over all config processes.
  static constexpr std::uint64_t kTicketStep = 1'000'000;
  node->mConfig.mNextTicket = std::max(
    node->mConfig.mNextTicket, (aWorld.mChanges.size() + 1) * kTicketStep);
  asked.mOutcome.mRevision =
    SubmitChange(node->mConfig, std::move(change), aWorld.mNow);
  aWorld.mChanges.push_back(std::move(asked));
}

void ApplyWorld(World& aWorld, const Configuration& aConfiguration)
{
  const Configuration* current = NewestConfiguration(aWorld);
  const auto edits = DiffConfigurations(
    current == nullptr ? Configuration{} : *current, aConfiguration);
  if (edits.empty()) {
    return;
  }
  const auto dataCentre = aConfiguration.mDataCentres.front().mName;
  SubmitEdits(
    aWorld, dataCentre, edits, [&aWorld, aConfiguration](const auto& aOutcome) {
      if (aOutcome.mStatus == ChangeStatus::kInvalid) {
        Violate(aWorld,
                "the configuration was refused: " +
                  Describe(aOutcome.mFaults.front()));
      } else if (aOutcome.mStatus != ChangeStatus::kAccepted) {
        Schedule(aWorld, kRetryDelay, [&aWorld, aConfiguration] {
          ApplyWorld(aWorld, aConfiguration);
        });
      }
    });
}

void SetDrained(World& aWorld, const std::string& aName, bool aIsDrained)
{
  if (!aIsDrained) {
    aWorld.mDrainedAt.erase(aName);
  }
  const auto again = [&aWorld, aName, aIsDrained] {
    Schedule(aWorld, kRetryDelay, [&aWorld, aName, aIsDrained] {
      SetDrained(aWorld, aName, aIsDrained);
    });
  };
  // Any data centre's config process takes the change.
  std::vector<std::string> order;
  for (const auto& [name, node] : aWorld.mNodes) {
    if (node.mKind == NodeKind::kConfig && node.mIsAlive && !node.mIsFrozen &&
        !IsCut(aWorld, node.mDataCentre, kPlatform)) {
      order.push_back(name);
    }
  }
  if (order.empty()) {
    again();
    return;
  }
  const auto& config = aWorld.mNodes.at(order.front()).mConfig;
  const auto* found =
    FindNamed(config.mFollower.mState.mConfiguration.mDataCentres, aName);
  if (found == nullptr) {
    again();
    return;
  }
  DataCentre wanted = *found;
  if (wanted.mIsDrained == aIsDrained) {
    if (aIsDrained) {
      aWorld.mDrainedAt.try_emplace(aName, aWorld.mNow);
    }
    return;
  }
  wanted.mIsDrained = aIsDrained;
  wanted.mRevision = 0;
  SubmitEdits(
    aWorld,
    aWorld.mNodes.at(order.front()).mDataCentre,
    { { ObjectKind::kDataCentre,
        aName,
        found->mRevision,
        EncodeValue(wanted) } },
    [&aWorld, aName, aIsDrained, again](const ChangeOutcome& aOutcome) {
      if (aOutcome.mStatus != ChangeStatus::kAccepted) {
        again();
      } else if (aIsDrained) {
        aWorld.mDrainedAt[aName] = aWorld.mNow;
      }
    });
}

void SubmitJob(World& aWorld,
               const std::string& aDataCentre,
               const JobSpec& aSpec)
{
  auto& job = aWorld.mJobs[aSpec.mName];
  job.mSpec = aSpec;
  job.mDataCentre = aDataCentre;
  const auto again = [&aWorld, aDataCentre, aSpec] {
    auto& submitted = aWorld.mJobs[aSpec.mName];
    if (!submitted.mIsSettled && ++submitted.mTries < kMaxTries) {
      Schedule(aWorld, kRetryDelay, [&aWorld, aDataCentre, aSpec] {
        SubmitJob(aWorld, aDataCentre, aSpec);
      });
    }
  };
  Node* node = FindNode(aWorld, aDataCentre, NodeKind::kScheduler);
  if (node == nullptr) {
    again();
    return;
  }
  JobRequest request;
  request.mOp = JobRequestOp::kSubmit;
  request.mSpec = aSpec;
  const auto ticket =
    SubmitJobRequest(node->mScheduler, std::move(request), aWorld.mNow);
  AwaitDesk(
    aWorld, *node, ticket, [&aWorld, aSpec, again](const JobAnswer& aAnswer) {
      auto& submitted = aWorld.mJobs[aSpec.mName];
      submitted.mAnswer = aAnswer;
      aWorld.mTrace.push_back(
        std::to_string(aWorld.mNow.count()) + " answer " + aSpec.mName + " " +
        std::string(NameOf(aAnswer.mStatus)) + " " + aAnswer.mError);
      const bool isOpen = aAnswer.mStatus == JobRequestStatus::kNotRun ||
                          aAnswer.mStatus == JobRequestStatus::kUnknown;
      if (!isOpen) {
        submitted.mIsSettled = true;
      }
    });
  // The submitter repeats until it has been told; that is safe by the name.
  constexpr Duration kPatience{ 6'000 };
  Schedule(aWorld, kPatience, again);
}

void CancelJob(World& aWorld, const std::string& aName)
{
  auto& job = aWorld.mJobs[aName];
  job.mIsCancelled = true;
  Node* node = FindNode(aWorld, job.mDataCentre, NodeKind::kScheduler);
  if (node == nullptr) {
    return;
  }
  JobRequest request;
  request.mOp = JobRequestOp::kCancel;
  request.mName = aName;
  SubmitJobRequest(node->mScheduler, std::move(request), aWorld.mNow);
}

void SendRequest(World& aWorld,
                 const std::string& aDataCentre,
                 const std::string& aService)
{
  Node* node = FindNode(aWorld, aDataCentre, NodeKind::kRouter);
  if (node == nullptr) {
    return;
  }
  ++aWorld.mRequests;
  DetectProcessPause(node->mPool, aWorld.mNow);
  const auto task = PickTarget(node->mPool, aService, {}, aWorld.mNow);
  if (task.empty()) {
    return;
  }
  const auto& target = node->mPool.mTargets.at(task).mTarget;
  const auto leaving = aWorld.mLeavingAt.find(target.mInstance);
  const auto drained = aWorld.mDrainedAt.find(aDataCentre);
  constexpr Duration kLimit{ 3'000 };
  const bool isLate = (leaving != aWorld.mLeavingAt.end() &&
                       aWorld.mNow - leaving->second > kLimit) ||
                      (drained != aWorld.mDrainedAt.end() &&
                       aWorld.mNow - drained->second > kLimit);
  if (isLate && !IsCut(aWorld, aDataCentre, kPlatform)) {
    Violate(aWorld, "a request was sent to leaving target " + task);
  }
  ++aWorld.mServed;
}

void SendKeyed(World& aWorld,
               const std::string& aDataCentre,
               const std::string& aKey)
{
  Node* node = FindNode(aWorld, aDataCentre, NodeKind::kRouter);
  if (node == nullptr) {
    return;
  }
  ++aWorld.mKeyed[aKey].mAsked;
  const std::string address =
    FindSlotOwnerAddress(node->mKeys, FindKeySlot(aKey));
  Node* owner = FindByAddress(aWorld, address);
  if (owner == nullptr || owner->mKind != NodeKind::kRouter ||
      IsCut(aWorld, aDataCentre, owner->mDataCentre)) {
    return;
  }
  KeyClaim claim{ aKey, "same", std::to_string(aWorld.mNextNonce++) };
  DeliverAfter(aWorld, Duration{ 2 }, RefOf(*owner), [=, &aWorld] {
    const auto ticket = ClaimKey(owner->mKeys, claim, aWorld.mNow);
    DeliverAfter(aWorld, Duration{ 1'200 }, RefOf(*owner), [=, &aWorld] {
      for (const auto& reply : owner->mKeys.mReplies) {
        const bool isGranted =
          reply.mTicket == ticket &&
          (reply.mAnswer.mVerdict == KeyVerdict::kGranted ||
           aWorld.mMutation == Mutation::kRepeatedGrant);
        if (isGranted && ++aWorld.mKeyed[aKey].mExecutions > 1) {
          Violate(aWorld, "the request with key " + aKey + " ran twice");
        }
      }
    });
  });
}

} // namespace verbenacroft
