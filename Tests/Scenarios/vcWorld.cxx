#include "vcWorldParts.h"

namespace verbenacroft {

using namespace world;

namespace {

constexpr Duration kStoreTimeout{ 800 };
constexpr Duration kWorkerTimeout{ 1'000 };
constexpr Duration kPeerTimeout{ 1'000 };
constexpr Duration kFeedInterval{ 200 };
constexpr Duration kInstanceInterval{ 500 };
constexpr Duration kTableInterval{ 100 };

Duration Latency(World& aWorld,
                 const std::string& aLeft,
                 const std::string& aRight)
{
  constexpr Duration kNear{ 1 };
  constexpr Duration kFar{ 2 };
  std::uniform_int_distribution<int> jitter(0, 1);
  return (aLeft == aRight ? kNear : kFar) + Duration{ jitter(aWorld.mRandom) };
}

/// Runs `aAction` at the node, if it is still the same life; a frozen node
/// gets it when it thaws.
void Deliver(World& aWorld,
             const std::string& aNode,
             std::uint64_t aLife,
             std::function<void()> aAction)
{
  auto& node = aWorld.mNodes.at(aNode);
  if (!node.mIsAlive || node.mLife != aLife) {
    return;
  }
  if (node.mIsFrozen) {
    node.mHeld.push_back(std::move(aAction));
    return;
  }
  aAction();
}

} // namespace

namespace world {

NodeRef RefOf(const Node& aNode)
{
  return { aNode.mName, aNode.mLife };
}

void DeliverAfter(World& aWorld,
                  Duration aDelay,
                  const NodeRef& aNode,
                  std::function<void()> aAction)
{
  Schedule(aWorld, aDelay, [&aWorld, aNode, action = std::move(aAction)] {
    Deliver(aWorld, aNode.mName, aNode.mLife, action);
  });
}

} // namespace world

namespace {

using ReplyTo = std::function<void(const StoreReply&)>;

/// Polls a watch at the store until it has something to tell.
void HandleAtStore(World& aWorld,
                   const NodeRef& aNode,
                   const std::string& aDataCentre,
                   const StoreRequest& aRequest,
                   TimePoint aArrivedAt,
                   const std::shared_ptr<bool>& aIsSettled,
                   const ReplyTo& aReply)
{
  constexpr Duration kPoll{ 20 };
  const Duration waited = aWorld.mNow - aArrivedAt;
  const auto result =
    HandleStoreCall(aWorld.mStore, aRequest, waited, aWorld.mNow);
  if (result.mIsWaiting) {
    Schedule(aWorld, kPoll, [=, &aWorld] {
      HandleAtStore(
        aWorld, aNode, aDataCentre, aRequest, aArrivedAt, aIsSettled, aReply);
    });
    return;
  }
  if (result.mIsLost || IsCut(aWorld, aDataCentre, kPlatform)) {
    return;
  }
  const Duration back =
    Latency(aWorld, aDataCentre, kPlatform) + aWorld.mStore.mFaults.mDelay;
  DeliverAfter(aWorld, back, aNode, [=, reply = result.mReply] {
    if (!*aIsSettled) {
      *aIsSettled = true;
      aReply(reply);
    }
  });
}

void CallStore(World& aWorld,
               const Node& aNode,
               const StoreRequest& aRequest,
               const ReplyTo& aReply)
{
  auto isSettled = std::make_shared<bool>(false);
  DeliverAfter(aWorld, kStoreTimeout + aRequest.mWait, RefOf(aNode), [=] {
    if (!*isSettled) {
      *isSettled = true;
      StoreReply lost;
      lost.mStatus = StoreStatus::kUnknown;
      aReply(lost);
    }
  });
  if (IsCut(aWorld, aNode.mDataCentre, kPlatform)) {
    return;
  }
  const Duration there = Latency(aWorld, aNode.mDataCentre, kPlatform);
  Schedule(
    aWorld,
    there,
    [=, &aWorld, ref = RefOf(aNode), dataCentre = aNode.mDataCentre] {
      HandleAtStore(
        aWorld, ref, dataCentre, aRequest, aWorld.mNow, isSettled, aReply);
    });
}

void StepNode(World& aWorld, Node& aNode);

void PumpStoreCalls(
  World& aWorld,
  Node& aNode,
  StoreOutbox& aOutbox,
  const std::function<void(const StoreCall&, const StoreReply&)>& aHandler)
{
  for (auto& call : std::exchange(aOutbox.mCalls, {})) {
    CallStore(aWorld,
              aNode,
              call.mRequest,
              [&aWorld, &aNode, call, aHandler](const StoreReply& aReply) {
                aHandler(call, aReply);
                StepNode(aWorld, aNode);
              });
  }
}

void CallWorker(World& aWorld, Node& aNode, const WorkerCall& aCall)
{
  auto isSettled = std::make_shared<bool>(false);
  const auto answer = [&aWorld, &aNode, aCall, isSettled](
                        const std::optional<WorkerSyncReply>& aReply) {
    if (*isSettled) {
      return;
    }
    *isSettled = true;
    OnWorkerReply(aNode.mScheduler,
                  aCall.mShard,
                  aCall.mWorker,
                  aCall.mId,
                  aReply,
                  aWorld.mNow);
    StepNode(aWorld, aNode);
  };
  DeliverAfter(
    aWorld, kWorkerTimeout, RefOf(aNode), [answer] { answer(std::nullopt); });
  if (IsCut(aWorld, aNode.mName, aCall.mWorker) ||
      IsCut(aWorld, aNode.mDataCentre, aCall.mWorker)) {
    return;
  }
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  Duration there{ 1 };
  if (chance(aWorld.mRandom) < aWorld.mLateCalls) {
    there += Duration{ static_cast<int>(5'000 * chance(aWorld.mRandom)) };
  }
  const WorkerSync sync = aCall.mSync;
  Schedule(aWorld, there, [=, &aWorld, ref = RefOf(aNode)] {
    const auto reply =
      HandleSync(aWorld.mFleet, aCall.mWorker, sync, aWorld.mNow);
    if (reply) {
      DeliverAfter(aWorld, Duration{ 1 }, ref, [=] { answer(reply); });
    }
  });
}

} // namespace

namespace world {

Node* FindByAddress(World& aWorld, const std::string& aAddress)
{
  const auto found = aWorld.mNodes.find(aAddress);
  return found == aWorld.mNodes.end() || !found->second.mIsAlive
           ? nullptr
           : &found->second;
}

void AwaitDesk(World& aWorld,
               Node& aNode,
               std::uint64_t aTicket,
               const std::function<void(const JobAnswer&)>& aThen)
{
  constexpr Duration kPoll{ 20 };
  auto& replies = aNode.mScheduler.mReplies;
  const auto found = std::find_if(
    replies.begin(), replies.end(), [&](const JobRequestReply& aReply) {
      return aReply.mTicket == aTicket;
    });
  if (found != replies.end()) {
    const JobAnswer answer = found->mAnswer;
    replies.erase(found);
    aThen(answer);
    return;
  }
  DeliverAfter(aWorld, kPoll, RefOf(aNode), [&aWorld, &aNode, aTicket, aThen] {
    AwaitDesk(aWorld, aNode, aTicket, aThen);
  });
}

} // namespace world

namespace {

void CallPeer(World& aWorld, Node& aNode, const PeerCall& aCall)
{
  auto isSettled = std::make_shared<bool>(false);
  const auto answer = [&aWorld, &aNode, aCall, isSettled](
                        const std::optional<JobAnswer>& aReply) {
    if (!*isSettled) {
      *isSettled = true;
      OnPeerReply(aNode.mScheduler, aCall.mId, aReply, aWorld.mNow);
      StepNode(aWorld, aNode);
    }
  };
  DeliverAfter(
    aWorld, kPeerTimeout, RefOf(aNode), [answer] { answer(std::nullopt); });
  Node* peer = FindByAddress(aWorld, aCall.mAddress);
  if (peer == nullptr || IsCut(aWorld, aNode.mDataCentre, peer->mDataCentre)) {
    return;
  }
  const Duration there = Latency(aWorld, aNode.mDataCentre, peer->mDataCentre);
  const NodeRef asker = RefOf(aNode);
  DeliverAfter(aWorld, there, RefOf(*peer), [=, &aWorld, &aNode] {
    JobRequest request;
    request.mOp = aCall.mRequest.mOp;
    request.mName = aCall.mRequest.mName;
    request.mShard = aCall.mRequest.mShard;
    const auto ticket =
      SubmitJobRequest(peer->mScheduler, std::move(request), aWorld.mNow);
    StepNode(aWorld, *peer);
    AwaitDesk(aWorld, *peer, ticket, [=, &aWorld, &aNode](const auto& aReply) {
      if (!IsCut(aWorld, aNode.mDataCentre, peer->mDataCentre)) {
        DeliverAfter(aWorld, there, asker, [=] { answer(aReply); });
      }
    });
  });
}

void StepScheduler(World& aWorld, Node& aNode)
{
  auto& state = aNode.mScheduler;
  TickScheduler(state, aWorld.mNow);
  PumpStoreCalls(
    aWorld,
    aNode,
    state.mStore,
    [&aWorld, &aNode](const StoreCall& aCall, const auto& aReply) {
      OnStoreReply(
        aNode.mScheduler, aCall.mRoute, aCall.mId, aReply, aWorld.mNow);
    });
  for (const auto& call : std::exchange(state.mWorkerCalls, {})) {
    CallWorker(aWorld, aNode, call);
  }
  for (const auto& call : std::exchange(state.mPeerCalls, {})) {
    CallPeer(aWorld, aNode, call);
  }
}

void DeliverOutcomes(World& aWorld, Node& aNode)
{
  for (auto& answer : std::exchange(aNode.mConfig.mAnswers, {})) {
    for (auto& change : aWorld.mChanges) {
      const bool isThis = change.mOutcome.mRevision == answer.mTicket &&
                          !change.mIsAnswered && change.mAskedAt != kNever;
      if (isThis) {
        change.mIsAnswered = true;
        change.mOutcome = answer.mOutcome;
        // Handed over from a copy: the outcome may ask for another change.
        const auto then = change.mOnOutcome;
        const ChangeOutcome outcome = answer.mOutcome;
        if (outcome.mStatus == ChangeStatus::kAccepted &&
            outcome.mRevision > aWorld.mAcceptedRevision) {
          aWorld.mAcceptedRevision = outcome.mRevision;
          aWorld.mAcceptedAt = aWorld.mNow;
        }
        then(outcome);
        break;
      }
    }
  }
}

void StepConfig(World& aWorld, Node& aNode)
{
  TickConfigServer(aNode.mConfig, aWorld.mNow, aNode.mConfigStore);
  PumpStoreCalls(
    aWorld,
    aNode,
    aNode.mConfigStore,
    [&aWorld, &aNode](const StoreCall& aCall, const auto& aReply) {
      OnConfigServerReply(
        aNode.mConfig, aCall.mId, aReply, aWorld.mNow, aNode.mConfigStore);
    });
  DeliverOutcomes(aWorld, aNode);
}

void StepRouter(World& aWorld, Node& aNode)
{
  DetectProcessPause(aNode.mPool, aWorld.mNow);
  if (RevisionOf(aNode.mFollower) > 0 &&
      aWorld.mMutation != Mutation::kKeptTargets) {
    UpdateDrained(
      aNode.mPool,
      IsDrained(aNode.mFollower.mState.mConfiguration, aNode.mDataCentre),
      aWorld.mNow);
  }
  TickIdempotency(aNode.mKeys, aWorld.mNow);
  PumpStoreCalls(aWorld,
                 aNode,
                 aNode.mKeys.mStore,
                 [&aWorld, &aNode](const StoreCall& aCall, const auto& aReply) {
                   OnIdempotencyStoreReply(
                     aNode.mKeys, aCall.mRoute, aCall.mId, aReply, aWorld.mNow);
                 });
}

void StepNode(World& aWorld, Node& aNode)
{
  Mutate(aWorld, aNode);
  switch (aNode.mKind) {
    case NodeKind::kScheduler:
      StepScheduler(aWorld, aNode);
      break;
    case NodeKind::kConfig:
      StepConfig(aWorld, aNode);
      break;
    case NodeKind::kRouter:
      StepRouter(aWorld, aNode);
      break;
  }
}

std::uint64_t RevisionAt(const Node& aNode)
{
  switch (aNode.mKind) {
    case NodeKind::kScheduler:
      return RevisionOf(aNode.mScheduler.mFollower);
    case NodeKind::kConfig:
      return RevisionOf(aNode.mConfig.mFollower);
    default:
      return RevisionOf(aNode.mFollower);
  }
}

void TakeFeed(World& aWorld,
              Node& aNode,
              const ConfigFeed& aFeed,
              TimePoint aSentAt)
{
  if (aNode.mKind == NodeKind::kScheduler) {
    OnConfigFeed(aNode.mScheduler, aFeed, aSentAt, aWorld.mNow);
  } else if (aNode.mKind == NodeKind::kConfig) {
    ApplyFeed(aNode.mConfig.mFollower, aFeed, aSentAt);
  } else {
    ApplyFeed(aNode.mFollower, aFeed, aSentAt);
  }
}

/// Config processes in the order in which the node asks them: its own data
/// centre's first.
std::vector<std::string> ConfigOrder(const World& aWorld, const Node& aNode)
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, other] : aWorld.mNodes) {
    if (other.mKind == NodeKind::kConfig && name != aNode.mName) {
      (other.mDataCentre == aNode.mDataCentre ? near : far).push_back(name);
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

void AskFeed(World& aWorld, Node& aNode)
{
  constexpr Duration kProofAgeBeforeAsking{ 1'000 };
  const auto order = ConfigOrder(aWorld, aNode);
  const bool isFresh =
    aNode.mKind == NodeKind::kConfig &&
    aWorld.mNow - aNode.mConfig.mFollower.mConfirmedCurrentAt <
      kProofAgeBeforeAsking;
  if (order.empty() || isFresh) {
    return;
  }
  const std::string& target = order[aNode.mNextConfig % order.size()];
  ++aNode.mNextConfig;
  Node& server = aWorld.mNodes.at(target);
  const TimePoint sentAt = aWorld.mNow;
  const auto after = RevisionAt(aNode);
  if (!server.mIsAlive ||
      IsCut(aWorld, aNode.mDataCentre, server.mDataCentre)) {
    return;
  }
  const Duration there = Latency(aWorld, aNode.mDataCentre, server.mDataCentre);
  const NodeRef asker = RefOf(aNode);
  DeliverAfter(aWorld, there, RefOf(server), [=, &aWorld, &aNode, &server] {
    const auto feed = MakeFeed(server.mConfig.mFollower, after, aWorld.mNow);
    if (IsCut(aWorld, aNode.mDataCentre, server.mDataCentre)) {
      return;
    }
    DeliverAfter(aWorld, there, asker, [=, &aWorld, &aNode] {
      constexpr std::int64_t kStaleProofMs = 1'000;
      TakeFeed(aWorld, aNode, feed, sentAt);
      if (feed.mProofAge && *feed.mProofAge < kStaleProofMs) {
        --aNode.mNextConfig;
      }
    });
  });
}

void ReadList(World& aWorld, Node& aNode)
{
  if (IsCut(aWorld, aNode.mDataCentre, kPlatform)) {
    return;
  }
  const auto list = ListInstances(aWorld.mFleet);
  if (aNode.mKind == NodeKind::kScheduler) {
    OnInstances(aNode.mScheduler, list.mInstances, aWorld.mNow);
  } else if (aNode.mKind == NodeKind::kRouter) {
    std::set<std::string> leaving;
    for (const auto& instance : list.mInstances) {
      if (instance.mState == InstanceState::kLeaving) {
        leaving.insert(instance.mName);
      }
    }
    if (aWorld.mMutation != Mutation::kKeptTargets) {
      UpdateLeavingInstances(aNode.mPool, std::move(leaving));
    }
  }
}

void ReadTables(World& aWorld, Node& aNode)
{
  if (aWorld.mMutation == Mutation::kKeptTargets &&
      !aNode.mPool.mTargets.empty()) {
    return;
  }
  for (auto& [name, other] : aWorld.mNodes) {
    const bool isReachable = other.mKind == NodeKind::kScheduler &&
                             other.mIsAlive && !other.mIsFrozen &&
                             other.mDataCentre == aNode.mDataCentre;
    if (!isReachable) {
      continue;
    }
    const auto answer = HandleTargetRequest(
      other.mScheduler, MakeTargetRequest(aNode.mPool, name), aWorld.mNow);
    RecordTableSources(aNode.mPool, name, answer);
    UpdateTables(aNode.mPool, answer);
  }
}

void Every(World& aWorld,
           const Node& aNode,
           Duration aInterval,
           void (*aAction)(World&, Node&))
{
  DeliverAfter(aWorld,
               aInterval,
               RefOf(aNode),
               [&aWorld, name = aNode.mName, aInterval, aAction] {
                 auto& node = aWorld.mNodes.at(name);
                 aAction(aWorld, node);
                 Every(aWorld, node, aInterval, aAction);
               });
}

void AddNode(World& aWorld,
             const std::string& aName,
             const std::string& aDataCentre,
             NodeKind aKind)
{
  Node node;
  node.mName = aName;
  node.mDataCentre = aDataCentre;
  node.mKind = aKind;
  aWorld.mNodes[aName] = std::move(node);
}

} // namespace

World::World(std::uint64_t aSeed)
  : mRandom(aSeed)
{
  this->mFleet.mSeed = aSeed;
  this->mStore.mRandom.seed(aSeed + 1);
}

void Schedule(World& aWorld, Duration aDelay, std::function<void()> aAction)
{
  aWorld.mEvents.push(
    { aWorld.mNow + aDelay, aWorld.mOrder++, std::move(aAction) });
}

bool IsCut(const World& aWorld,
           const std::string& aLeft,
           const std::string& aRight)
{
  return aWorld.mCuts.contains({ aLeft, aRight }) ||
         aWorld.mCuts.contains({ aRight, aLeft });
}

void Violate(World& aWorld, const std::string& aText)
{
  aWorld.mViolations.push_back(std::to_string(aWorld.mNow.count()) +
                               " ms: " + aText);
}

void AddDataCentre(World& aWorld,
                   const std::string& aName,
                   std::size_t aSchedulers,
                   std::size_t aWorkers,
                   const Resources& aCapacity)
{
  AddWorkers(aWorld.mFleet, aName, aWorkers, aCapacity);
  for (std::size_t i = 0; i < aSchedulers; ++i) {
    AddNode(
      aWorld, aName + "-s" + std::to_string(i), aName, NodeKind::kScheduler);
  }
  AddNode(aWorld, aName + "-c", aName, NodeKind::kConfig);
  AddNode(aWorld, aName + "-r", aName, NodeKind::kRouter);
  for (auto& [name, node] : aWorld.mNodes) {
    if (node.mDataCentre == aName) {
      StartNode(aWorld, name);
    }
  }
}

void StartNode(World& aWorld, const std::string& aName)
{
  auto& node = aWorld.mNodes.at(aName);
  if (node.mIsAlive) {
    return;
  }
  node.mIsAlive = true;
  node.mIsFrozen = false;
  node.mHeld.clear();
  ++node.mLife;
  node.mHighestRevision = 0;
  Member self;
  // A new life is a new process and has a name of its own to its peers,
  // but keeps the address.
  self.mName = aName;
  self.mDataCentre = node.mDataCentre;
  self.mPeerAddress = aName;
  node.mFollower = {};
  if (node.mKind == NodeKind::kScheduler) {
    node.mScheduler = MakeScheduler(self);
    Every(aWorld, node, kInstanceInterval, ReadList);
  } else if (node.mKind == NodeKind::kConfig) {
    node.mConfig = {};
    node.mConfigStore = {};
    StartConfigServer(node.mConfig, aName, node.mConfigStore);
    // The writer's name is part of the change names, which are unique.
    node.mConfig.mJournal.mWriterName =
      aName + "." + std::to_string(node.mLife);
  } else {
    node.mPool = {};
    node.mKeys = MakeIdempotencyState(self);
    Every(aWorld, node, kInstanceInterval, ReadList);
    Every(aWorld, node, kTableInterval, ReadTables);
  }
  Every(aWorld, node, kFeedInterval, AskFeed);
  Every(aWorld, node, kWorldTick, StepNode);
}

void KillNode(World& aWorld, const std::string& aName)
{
  aWorld.mNodes.at(aName).mIsAlive = false;
}

void FreezeNode(World& aWorld, const std::string& aName)
{
  aWorld.mNodes.at(aName).mIsFrozen = true;
}

void ThawNode(World& aWorld, const std::string& aName)
{
  auto& node = aWorld.mNodes.at(aName);
  node.mIsFrozen = false;
  if (!node.mIsAlive) {
    return;
  }
  for (auto& action : std::exchange(node.mHeld, {})) {
    action();
  }
}

void RunFor(World& aWorld, Duration aTime)
{
  const TimePoint end = aWorld.mNow + aTime;
  while (!aWorld.mEvents.empty() && aWorld.mEvents.top().mAt <= end) {
    const WorldEvent event = aWorld.mEvents.top();
    aWorld.mEvents.pop();
    if (event.mAt > aWorld.mNow) {
      aWorld.mNow = event.mAt;
      CheckPromises(aWorld);
    }
    event.mAction();
  }
  aWorld.mNow = end;
  StepFleet(aWorld.mFleet, aWorld.mNow);
  CheckPromises(aWorld);
}

} // namespace verbenacroft
