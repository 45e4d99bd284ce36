#pragma once

/// The cores of the programs on a virtual clock, between small fakes of the
/// store and the workers. A seed replays exactly.

#include "vcConfig.h"
#include "vcFakeFleet.h"
#include "vcFakeStore.h"
#include "vcRequests.h"
#include "vcRouting.h"
#include "vcScheduler.h"

#include <functional>
#include <queue>
#include <random>
#include <set>

namespace verbenacroft {

/// A fault put into the cores on purpose, so that a check is seen to fail.
enum class Mutation
{
  kNone,
  kFreshProof,
  kEarlyDurable,
  kForgottenCommitment,
  kForgottenCompletion,
  kForgottenCheckpoint,
  kRepeatedGrant,
  kOldConfiguration,
  kKeptTargets,
};

template<>
struct EnumTable<Mutation>
{
  static constexpr auto kRows = std::to_array<NameRow<Mutation>>({
    { Mutation::kNone, "none" },
    { Mutation::kFreshProof, "fresh-proof" },
    { Mutation::kEarlyDurable, "early-durable" },
    { Mutation::kForgottenCommitment, "forgotten-commitment" },
    { Mutation::kForgottenCompletion, "forgotten-completion" },
    { Mutation::kForgottenCheckpoint, "forgotten-checkpoint" },
    { Mutation::kRepeatedGrant, "repeated-grant" },
    { Mutation::kOldConfiguration, "old-configuration" },
    { Mutation::kKeptTargets, "kept-targets" },
  });
};

enum class NodeKind
{
  kScheduler,
  kConfig,
  kRouter,
};

/// One process of the system.
struct Node
{
  std::string mName;
  std::string mDataCentre;
  NodeKind mKind = NodeKind::kScheduler;
  bool mIsAlive = false;
  bool mIsFrozen = false;
  /// Counts the starts; what was sent to an earlier one is dropped.
  std::uint64_t mLife = 0;
  std::vector<std::function<void()>> mHeld;
  SchedulerState mScheduler;
  ConfigServerState mConfig;
  StoreOutbox mConfigStore;
  IdempotencyState mKeys;
  TargetPool mPool;
  ConfigFollower mFollower;
  std::size_t mNextConfig = 0;
  bool mIsAsking = false;
  std::uint64_t mHighestRevision = 0;
};

struct WorldEvent
{
  TimePoint mAt{ 0 };
  std::uint64_t mOrder = 0;
  std::function<void()> mAction;
};

struct LaterFirst
{
  bool operator()(const WorldEvent& aLeft, const WorldEvent& aRight) const
  {
    return std::pair(aLeft.mAt, aLeft.mOrder) >
           std::pair(aRight.mAt, aRight.mOrder);
  }
};

/// What the submitter of a job was last told.
struct SubmittedJob
{
  JobSpec mSpec;
  std::string mDataCentre;
  bool mIsSettled = false;
  bool mIsCancelled = false;
  JobAnswer mAnswer;
  int mTries = 0;
};

/// Outcome of an operator's change.
struct OperatorChange
{
  TimePoint mAskedAt{ 0 };
  bool mIsAnswered = false;
  ChangeOutcome mOutcome;
  std::function<void(const ChangeOutcome&)> mOnOutcome;
};

/// What happened to a keyed request over all its repeats.
struct KeyedRequest
{
  int mExecutions = 0;
  int mSaidNotRun = 0;
  int mAsked = 0;
};

struct World
{
  explicit World(std::uint64_t aSeed);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  TimePoint mNow{ 100'000 };
  std::mt19937_64 mRandom;
  FakeStore mStore;
  FakeFleet mFleet;
  std::map<std::string, Node> mNodes;
  std::priority_queue<WorldEvent, std::vector<WorldEvent>, LaterFirst> mEvents;
  std::uint64_t mOrder = 0;
  std::set<std::pair<std::string, std::string>> mCuts;
  /// Part of the calls to workers that arrive up to 5 s late, 0 to 1.
  double mLateCalls = 0;
  Mutation mMutation = Mutation::kNone;
  std::map<std::string, SubmittedJob> mJobs;
  std::vector<OperatorChange> mChanges;
  std::map<std::string, KeyedRequest> mKeyed;
  std::vector<std::string> mViolations;
  /// When the drain of a data centre was accepted.
  std::map<std::string, TimePoint> mDrainedAt;
  /// When a worker was listed as leaving.
  std::map<std::string, TimePoint> mLeavingAt;
  std::uint64_t mAcceptedRevision = 0;
  TimePoint mAcceptedAt{ 0 };
  std::size_t mCheckedEvents = 0;
  std::uint64_t mNextNonce = 1;
  std::uint64_t mRequests = 0;
  std::uint64_t mServed = 0;
  std::vector<std::string> mTrace;
};

constexpr Duration kWorldTick{ 50 };

/// Adds `aSchedulers` schedulers, a config process, a router and workers to
/// a new data centre, and starts them.
void AddDataCentre(World& aWorld,
                   const std::string& aName,
                   std::size_t aSchedulers,
                   std::size_t aWorkers,
                   const Resources& aCapacity);

void StartNode(World& aWorld, const std::string& aName);
void KillNode(World& aWorld, const std::string& aName);
void FreezeNode(World& aWorld, const std::string& aName);
void ThawNode(World& aWorld, const std::string& aName);

/// Lets time pass, checking every promise after each step.
void RunFor(World& aWorld, Duration aTime);

bool IsCut(const World& aWorld,
           const std::string& aLeft,
           const std::string& aRight);

void Schedule(World& aWorld, Duration aDelay, std::function<void()> aAction);

/// Hands an operator's change to the data centre's config process.
void SubmitEdits(World& aWorld,
                 const std::string& aDataCentre,
                 std::vector<ConfigEdit> aEdits,
                 std::function<void(const ChangeOutcome&)> aOnOutcome);

/// Applies a configuration; repeated until it is accepted.
void ApplyWorld(World& aWorld, const Configuration& aConfiguration);

/// Drains or restores a data centre; repeated until it is accepted.
void SetDrained(World& aWorld, const std::string& aName, bool aIsDrained);

/// Submits a job, repeating while the answer is not-run or unknown.
void SubmitJob(World& aWorld,
               const std::string& aDataCentre,
               const JobSpec& aSpec);

void CancelJob(World& aWorld, const std::string& aName);

/// Sends a request to a target by way of the data centre's router.
void SendRequest(World& aWorld,
                 const std::string& aDataCentre,
                 const std::string& aService);

/// Sends a request with an idempotency key.
void SendKeyed(World& aWorld,
               const std::string& aDataCentre,
               const std::string& aKey);

/// True if the store holds the completion of the batch task.
bool IsCompletionRecorded(const World& aWorld, const std::string& aTask);

/// Kills a worker. A completion that it has not been able to report to the
/// journal ends with it, and the task has to run again.
void KillWorkerOf(World& aWorld, const std::string& aWorker);

/// Newest configuration known to any live config process.
const Configuration* NewestConfiguration(const World& aWorld);

/// Checks all promises that can be judged at this moment.
void CheckPromises(World& aWorld);

/// Puts the world's mutation into its cores.
void Mutate(World& aWorld, Node& aNode);

void Violate(World& aWorld, const std::string& aText);

} // namespace verbenacroft
