#include "vcFleet.h"

#include "vcPeers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iostream>

namespace verbenacroft {

namespace {

constexpr Duration kStep{ 5 };
constexpr Duration kJobInterval{ 250 };
/// Part of the jobs that last until they are cancelled, in percent, while jobs
/// come one at a time. They stay, so there are fewer of them among many jobs.
constexpr int kLastingPercent = 10;
constexpr Duration kQuietStart{ 5'000 };
/// After a calm of this length every shard has an owner at work. A node that is
/// small for the fleet and has a new lease waits 2.3 s before it claims, then
/// 0.2 s for each node before it and 0.06 s for each shard that it owns.
constexpr Duration kOwnedWithin{ 4'000 };
constexpr TimePoint kStart{ 1'000'000 };
constexpr const char* kWorkersPrefix = "servers/";
constexpr const char* kOperatorKeyPrefix = "op/";
constexpr const char* kConfig = "op/config";
constexpr const char* kDraining = " draining";
constexpr std::int64_t kWorkerCpu = 100'000;
/// Longer than the longest task that ends, so that a worker that leaves runs
/// nothing.
constexpr Duration kDrainTime{ 4'000 };
/// Long-running tasks that stopped run again this soon after their owner was
/// paused: its lease has ended, another owner has asked the workers, and these
/// have started the tasks.
constexpr Duration kRunAgainWithin{ 5'000 };
constexpr const char* kHost = "desk.example";
constexpr const char* kQueuePath = "/q/";
/// Interval of the questions for the number of waiting jobs.
constexpr Duration kCountInterval{ 250 };
/// A number of waiting jobs may leave out jobs that were accepted later.
constexpr Duration kCountedWithin{ 5'000 };
/// Cancellations and evacuations take effect within this time.
constexpr Duration kObeyedWithin{ 3'000 };
constexpr const char* kEvacuateSouth = "op/evacuate/south";
/// Callers wait 3 s.
constexpr Duration kLongestAnswer{ 2'900 };
/// Processors of a node that isn't small.
constexpr double kLargeNode = 1;
/// From the start of one fault with small nodes to that of the next.
constexpr Duration kSmallNodeFault{ 9'000 };
/// Calm after these faults, in which lost tasks are started again.
constexpr Duration kCalmAfterSmallNodes{ 22'000 };

QueueTerms MakeTerms()
{
  QueueTerms terms;
  terms.mQueue = "queue";
  terms.mService = "pool";
  terms.mMaxAttempts = 3;
  terms.mTargetMs = 1'000;
  return terms;
}

/// A moment at which something is changed.
struct Change
{
  TimePoint mAt{ 0 };
  std::string mWhat;
  std::function<void()> mDo;
};

class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    this->mStore.mRandom.seed(aOptions.mSeed + 1);
    this->mWorkers.mRandom.seed(aOptions.mSeed + 2);
    this->mWatchRandom.seed(aOptions.mSeed + 3);
    this->mSizeRandom.seed(aOptions.mSeed + 4);
  }

  ~Fleet()
  {
    for (auto& [name, life] : this->mLives) {
      EndLife(life);
    }
    UseManualTime(std::nullopt);
  }

  FleetResult Play();

private:
  int Draw(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(this->mRandom);
  }
  /// Draws for what only a fleet with small nodes has, so that the draws of the
  /// others stay as they are.
  int DrawSize(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(this->mSizeRandom);
  }
  bool Toss(int aPercent) { return this->Draw(1, 100) <= aPercent; }
  std::string DrawNode()
  {
    return fmt::format("node-{}",
                       this->Draw(1, static_cast<int>(this->mOptions.mNodes)));
  }
  std::string DrawWorker()
  {
    return fmt::format(
      "w{}", this->Draw(1, static_cast<int>(this->mOptions.mWorkers)));
  }
  /// The node that owns a drawn shard, or any.
  std::string DrawOwner();

  void DrawSizes();
  bool IsSmall(const std::string& aNode) const;
  /// Nodes that are small, or those that aren't.
  std::vector<std::string> NodesOfSize(bool aIsSmall) const;

  static void EndLife(NodeLife& aLife);
  void StartNode(const std::string& aName);
  void StopNode(const std::string& aName);
  void SetUp();
  BatchSpec DrawJob(const JobId& aId);
  void SubmitJob();
  void SubmitJobs();
  void OnAnswer(const JobId& aId,
                const BatchSpec& aSpec,
                int aStatus,
                Duration aTook);
  void At(TimePoint aWhen, std::string aWhat, std::function<void()> aDo);
  void ScheduleFaults();
  void ScheduleStoreFault(TimePoint aAt, TimePoint aEnd);
  int DrawForWatches(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast,
                                              aMost)(this->mWatchRandom);
  }
  std::string DrawWatchedPrefix();
  void ScheduleWatchFault();
  /// Evacuates a data centre for some seconds.
  void ScheduleEvacuation(TimePoint aAt);
  /// Cancels a drawn job that was accepted.
  void CancelJob();
  asio::awaitable<void> SendCancellation(NodeContext& aNode, JobId aId);
  void ScheduleNodeFault(TimePoint aAt, TimePoint aEnd);
  void ScheduleWorkerFault(TimePoint aAt, TimePoint aEnd);
  void AddWorker(const std::string& aName);
  void SetEntry(const std::string& aName, const std::string& aSuffix);
  void RemoveWorker(const std::string& aName);
  void ScheduleDrain(const std::string& aName, TimePoint aAt);
  /// @return when the last worker that is replaced has left
  TimePoint ScheduleRelease(TimePoint aAt);
  void ScheduleFreeze(TimePoint aAt);
  void CrashLastingWorker();
  void CheckLasting(const std::set<JobId>& aJobs);
  void Schedule();
  void SortChanges();
  bool HasSmallNodes() const
  {
    return this->mOptions.mPlay == FleetPlay::kSmallNodes;
  }
  void ScheduleForgottenLeases(TimePoint aAt);
  void ScheduleLossOfLargeNodes(TimePoint aAt);
  void Step();
  /// Asks every node for the number of waiting jobs of each shard.
  void AskForCounts();
  asio::awaitable<void> CheckCount(NodeContext& aNode, std::uint32_t aShard);
  /// A calm owner has to know the number, however few jobs come in.
  void CheckCountIsNotDue(const NodeContext& aNode, std::uint32_t aShard);
  /// Accepted jobs of a shard that have waited for too long to be left out.
  std::size_t LongWaiting(std::uint32_t aShard) const;
  void CheckOwners();
  void CheckLargeOwners();
  void CheckEnd();
  void Problem(std::string aText);

  FleetOptions mOptions;
  std::mt19937_64 mRandom;
  /// Draws the faults of watches, apart from the other faults.
  std::mt19937_64 mWatchRandom;
  std::mt19937_64 mSizeRandom;
  /// Processors by node.
  std::map<std::string, double> mSizes;
  TimePoint mNow = kStart;
  TimePoint mCalmAt = kStart;
  TimePoint mEnd = kStart;
  /// The calm is interrupted between these times, in which the store is away
  /// and forgets leases.
  TimePoint mLeaseFaultsAt = TimePoint::max();
  TimePoint mLeaseFaultsEnd = TimePoint::max();
  MemoryStore mStore;
  MemoryFleet mWorkers;
  std::map<std::string, NodeLife> mLives;
  std::vector<Change> mChanges;
  std::vector<std::string> mJobs;
  std::map<JobId, TimePoint> mAcceptedAt;
  std::set<std::string> mLasting;
  std::set<JobId> mCancelled;
  /// Jobs that were refused as not run.
  std::set<std::string> mRefused;
  FleetResult mResult;
};

void Fleet::Problem(std::string aText)
{
  this->mResult.mProblems.push_back(
    fmt::format("{} ms: {}", (this->mNow - kStart).count(), aText));
}

void Fleet::DrawSizes()
{
  const auto nodes = static_cast<int>(this->mOptions.mNodes);
  const int small = this->HasSmallNodes() ? this->DrawSize(1, nodes - 1) : 0;
  for (int i = 1; i <= nodes; ++i) {
    const double size =
      i <= small ? this->DrawSize(10, 90) / 100.0 : kLargeNode;
    this->mSizes[fmt::format("node-{}", i)] = size;
  }
}

bool Fleet::IsSmall(const std::string& aNode) const
{
  return this->mSizes.at(aNode) < kLargeNode;
}

std::vector<std::string> Fleet::NodesOfSize(bool aIsSmall) const
{
  std::vector<std::string> names;
  for (const auto& [name, size] : this->mSizes) {
    if (this->IsSmall(name) == aIsSmall) {
      names.push_back(name);
    }
  }
  return names;
}

void Fleet::EndLife(NodeLife& aLife)
{
  if (aLife.mNode) {
    aLife.mNode->mRunners.clear();
  }
  // Ends the coroutines, which still refer to the node.
  aLife.mIo.reset();
  aLife.mNode.reset();
}

void Fleet::StartNode(const std::string& aName)
{
  this->StopNode(aName);
  NodeSettings settings;
  settings.mName = aName;
  settings.mDataCentre = "north";
  settings.mInternalIp = "127.0.0.1";
  settings.mInternalPorts = { 1, 2 };
  settings.mProcessors = this->mSizes.at(aName);
  settings.mWorkersPerShard = this->mOptions.mWorkers / this->mOptions.mShards;
  NodeLife life;
  life.mIo = std::make_unique<asio::io_context>(1);
  life.mNode = std::make_unique<NodeContext>(*life.mIo, settings);
  NodeContext& node = *life.mNode;
  node.mStore = MakeMemoryStore(this->mStore, aName);
  node.mWorkers = MakeMemoryWorkers(this->mWorkers, aName);
  node.mCodec.mOperatorsPrefix = kOperatorKeyPrefix;
  node.mCodec.mConfigKey = kConfig;
  node.mCodec.mEvacuationPrefix = "op/evacuate/";
  node.mCodec.mDiscoveryPrefix = kWorkersPrefix;
  node.mCodec.mDecodeConfig = [](std::string_view, Faults&) {
    FleetConfig config;
    config.mVersion = 1;
    config.mQueues.push_back({ kHost, kQueuePath, MakeTerms() });
    return std::optional(config);
  };
  node.mCodec.mDecodeJob = [](std::string_view aText, Faults& aFaults) {
    return std::optional(Decode<BatchSpec>(aText, aFaults));
  };
  node.mCodec.mEncodeState = [](BatchState) { return std::string("{}"); };
  node.mCodec.mEncodeWaiting = [](std::uint64_t) { return std::string("{}"); };
  node.mCodec.mDecodeWorker =
    [](std::string_view aKey, std::string_view aText, Faults&) {
      WorkerEntry entry;
      entry.mWorker = aKey.substr(std::string_view(kWorkersPrefix).size());
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9";
      entry.mIsDraining = aText.ends_with(kDraining);
      entry.mLeavesInMs = kDrainTime.count();
      entry.mDataCentre = aText.substr(0, aText.find(' '));
      entry.mCapacity.mMilliCpu = kWorkerCpu;
      entry.mCapacity.mMemoryMb = kWorkerCpu;
      return std::optional(entry);
    };
  SpawnWithRestart(node, "lease", [&node] { return KeepLease(node); });
  SpawnWithRestart(
    node, "system", [&node] { return WatchSystemRecords(node); });
  SpawnWithRestart(
    node, "operators", [&node] { return WatchOperatorItems(node); });
  SpawnWithRestart(node, "claims", [&node] { return ClaimShards(node); });
  this->mLives[aName] = std::move(life);
}

void Fleet::StopNode(const std::string& aName)
{
  const auto found = this->mLives.find(aName);
  if (found != this->mLives.end()) {
    EndLife(found->second);
    this->mLives.erase(found);
  }
}

std::string Fleet::DrawOwner()
{
  const auto shard = static_cast<std::uint32_t>(
    this->Draw(0, static_cast<int>(this->mOptions.mShards) - 1));
  const auto found = this->mStore.mItems.find(OwnerKey(shard));
  const auto record = found == this->mStore.mItems.end()
                        ? std::nullopt
                        : TryDecode<ShardOwnerRecord>(found->second.mValue);
  return record ? record->mNode : this->DrawNode();
}

void Fleet::SetUp()
{
  UseManualTime(this->mNow);
  this->DrawSizes();
  KvTransaction write;
  write.mPuts.push_back({ kConfig, "{}", 0 });
  CommitNow(this->mStore, write);
  for (std::uint32_t i = 1; i <= this->mOptions.mWorkers; ++i) {
    this->AddWorker(fmt::format("w{}", i));
  }
  for (std::uint32_t i = 1; i <= this->mOptions.mNodes; ++i) {
    this->StartNode(fmt::format("node-{}", i));
  }
}

BatchSpec Fleet::DrawJob(const JobId& aId)
{
  BatchSpec spec;
  const bool isLasting = this->Toss(std::max(
    1, kLastingPercent / static_cast<int>(this->mOptions.mJobsAtOnce)));
  const int steps = isLasting ? 1 : this->Draw(1, 2);
  for (int s = 0; s < steps; ++s) {
    StepSpec step;
    step.mCount = static_cast<std::uint32_t>(this->Draw(1, 3));
    step.mNeeds.mMilliCpu = 1'000;
    step.mNeeds.mMemoryMb = 100;
    step.mEstimateMs = 500;
    step.mIsLasting = isLasting;
    if (s > 0) {
      step.mAfter = { 0 };
    }
    spec.mSteps.push_back(step);
    for (std::uint32_t i = 0; i < step.mCount; ++i) {
      const TaskId task{ aId, 0, static_cast<std::uint32_t>(s), i };
      this->mWorkers.mPlans[task] = { Duration(this->Draw(100, 2'500)),
                                      isLasting };
    }
  }
  return spec;
}

void Fleet::SubmitJob()
{
  const JobId id = fmt::format("{:016x}", this->mRandom());
  const BatchSpec spec = this->DrawJob(id);
  const auto life = this->mLives.find(this->DrawNode());
  const bool isThere = life != this->mLives.end() && !life->second.mIsPaused &&
                       !life->second.mNode->mIsStopping;
  if (!isThere) {
    return;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = kQueuePath + id;
  request.mHeaders = { { "Host", kHost } };
  request.mBody = Encode(spec);
  asio::co_spawn(
    *life->second.mIo,
    [this, &node = *life->second.mNode, request, id, spec]()
      -> asio::awaitable<void> {
      const TimePoint sentAt = SuspendAwareNow();
      int status = 0;
      try {
        status = (co_await HandleCallerRequest(node, request)).mStatus;
      } catch (const std::exception&) {
        // The server answers so for a handler that throws.
        status = 500;
      }
      // A process that is paused can't answer.
      const TimePoint since =
        std::max(sentAt, this->mLives.at(node.mSettings.mName).mGoesOnAt);
      this->OnAnswer(id, spec, status, SuspendAwareNow() - since);
    },
    asio::detached);
}

void Fleet::SubmitJobs()
{
  for (std::uint32_t i = 0; i < this->mOptions.mJobsAtOnce; ++i) {
    this->SubmitJob();
  }
}

void Fleet::OnAnswer(const JobId& aId,
                     const BatchSpec& aSpec,
                     int aStatus,
                     Duration aTook)
{
  constexpr int kAccepted = 200;
  constexpr int kNotRun = 503;
  if (aStatus == kAccepted) {
    this->mJobs.push_back(aId);
    this->mAcceptedAt[aId] = this->mNow;
    this->mLasting.insert(aSpec.mSteps[0].mIsLasting ? aId : JobId());
  } else if (aStatus == kNotRun) {
    this->mRefused.insert(aId);
  }
  if (aTook > kLongestAnswer) {
    this->Problem(fmt::format(
      "job {} was answered {} after {} ms", aId, aStatus, aTook.count()));
  }
}

void Fleet::At(TimePoint aWhen, std::string aWhat, std::function<void()> aDo)
{
  this->mChanges.push_back({ aWhen, std::move(aWhat), std::move(aDo) });
}

void Fleet::ScheduleStoreFault(TimePoint aAt, TimePoint aEnd)
{
  const StoreMood mood =
    this->Toss(50) ? StoreMood::kSilent : StoreMood::kRefusing;
  const int kind = this->Draw(1, 7);
  if (kind == 7) {
    this->At(aAt, "store answers nonsense", [this] {
      this->mStore.mMalformedNext = this->Draw(1, 30);
    });
  } else if (kind == 1) {
    const bool isForgetting = this->Toss(60);
    this->At(aAt, "store down", [this, mood, isForgetting] {
      this->mStore.mMood = mood;
      if (isForgetting) {
        ForgetLeases(this->mStore);
      }
    });
    this->At(
      aEnd, "store back", [this] { this->mStore.mMood = StoreMood::kServing; });
  } else if (kind == 2) {
    const bool isRevoking = this->Toss(50);
    const auto turned = std::make_shared<std::string>();
    this->At(aAt, "store turns an owner away", [=, this] {
      *turned = this->DrawOwner();
      this->mStore.mMoodFor[*turned] = mood;
      if (isRevoking) {
        ForgetLeaseOf(this->mStore, kNodePrefix + *turned);
      }
    });
    this->At(aEnd, "store serves it again", [=, this] {
      this->mStore.mMoodFor.erase(*turned);
    });
  } else if (kind == 3) {
    const bool isLate = this->Toss(50);
    const double share = this->Draw(2, 10) / 10.0;
    this->At(aAt, "answers lost", [=, this] {
      this->mStore.mLostShare = share;
      this->mStore.mIsLostLate = isLate;
    });
    this->At(aEnd, "answers heard", [this] { this->mStore.mLostShare = 0; });
  } else if (kind == 4) {
    const Duration delay(this->Draw(50, 900));
    this->At(aAt, "store slow", [=, this] { this->mStore.mDelay = delay; });
    this->At(aEnd, "store fast", [this] { this->mStore.mDelay = Duration(3); });
  } else if (kind == 5) {
    this->At(aAt, "history gone", [this] { ForgetHistory(this->mStore); });
  } else {
    this->At(aAt, "leases gone", [this] { ForgetLeases(this->mStore); });
  }
}

std::string Fleet::DrawWatchedPrefix()
{
  const int shards = static_cast<int>(this->mOptions.mShards);
  const int drawn = this->DrawForWatches(0, shards);
  return drawn == shards ? kOperatorKeyPrefix
                         : InboxPrefix(static_cast<std::uint32_t>(drawn));
}

void Fleet::ScheduleWatchFault()
{
  const std::string prefix = this->DrawWatchedPrefix();
  const auto faultTime = static_cast<int>(this->mOptions.mFaultTime.count());
  const TimePoint at =
    kStart + kQuietStart + Duration(this->DrawForWatches(0, faultTime));
  const Duration delay(this->DrawForWatches(1'000, 9'000));
  const TimePoint end = at + Duration(this->DrawForWatches(2'000, 12'000));
  this->mCalmAt = std::max(this->mCalmAt, end + delay + Duration(2'000));
  this->At(at, "events of " + prefix + " late", [=, this] {
    this->mStore.mWatchDelays[prefix] = delay;
  });
  this->At(end, "events of " + prefix + " on time", [=, this] {
    this->mStore.mWatchDelays.erase(prefix);
  });
  if (this->mOptions.mPlay == FleetPlay::kWatches) {
    this->ScheduleEvacuation(at + Duration(this->DrawForWatches(0, 1'000)));
  }
}

void Fleet::ScheduleEvacuation(TimePoint aAt)
{
  constexpr Duration kEvacuated{ 12'000 };
  this->mCalmAt = std::max(this->mCalmAt, aAt + kEvacuated);
  this->At(aAt, "south evacuated", [this] {
    KvTransaction write;
    write.mPuts.push_back({ kEvacuateSouth, "{}", 0 });
    CommitNow(this->mStore, write);
    this->mWorkers.mNoStartInFrom["south"] = this->mNow + kObeyedWithin;
  });
  this->At(aAt + kEvacuated, "evacuation over", [this] {
    KvTransaction write;
    write.mDeletes.push_back(kEvacuateSouth);
    CommitNow(this->mStore, write);
    this->mWorkers.mNoStartInFrom.erase("south");
  });
}

void Fleet::CancelJob()
{
  if (this->mJobs.empty()) {
    return;
  }
  // Jobs that came lately may still have starts before them.
  constexpr int kLately = 12;
  const int jobs = static_cast<int>(this->mJobs.size());
  const int drawn = this->DrawForWatches(std::max(0, jobs - kLately), jobs - 1);
  const JobId id = this->mJobs[static_cast<std::size_t>(drawn)];
  const auto node = fmt::format(
    "node-{}",
    this->DrawForWatches(1, static_cast<int>(this->mOptions.mNodes)));
  NodeLife& life = this->mLives.at(node);
  asio::co_spawn(
    *life.mIo, this->SendCancellation(*life.mNode, id), asio::detached);
}

asio::awaitable<void> Fleet::SendCancellation(NodeContext& aNode, JobId aId)
{
  HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = kQueuePath + aId;
  request.mHeaders = { { "Host", kHost } };
  const HttpResponse response = co_await HandleCallerRequest(aNode, request);
  constexpr int kAccepted = 200;
  if (response.mStatus == kAccepted) {
    this->mCancelled.insert(aId);
    this->mWorkers.mNoStartOfJobFrom.try_emplace(aId,
                                                 this->mNow + kObeyedWithin);
  }
}

void Fleet::ScheduleNodeFault(TimePoint aAt, TimePoint aEnd)
{
  const int kind = this->Draw(1, 4);
  const auto name = std::make_shared<std::string>();
  const bool isOwner = this->Toss(80);
  const auto choose = [=, this] {
    *name = isOwner ? this->DrawOwner() : this->DrawNode();
  };
  const auto restart = [=, this] { this->StartNode(*name); };
  if (kind == 1) {
    this->At(aAt, "node killed", [=, this] {
      choose();
      this->StopNode(*name);
    });
    this->At(aEnd, "node back", restart);
  } else if (kind == 2) {
    this->At(aAt, "node paused", [=, this] {
      choose();
      const auto found = this->mLives.find(*name);
      if (found != this->mLives.end()) {
        found->second.mIsPaused = true;
      }
    });
    this->At(aEnd, "node goes on", [=, this] {
      const auto found = this->mLives.find(*name);
      if (found != this->mLives.end()) {
        found->second.mIsPaused = false;
        found->second.mGoesOnAt = this->mNow;
      }
    });
  } else if (kind == 3) {
    this->At(aAt, "node leaves", [=, this] {
      choose();
      const auto found = this->mLives.find(*name);
      if (found == this->mLives.end()) {
        return;
      }
      found->second.mNode->mIsStopping = true;
      asio::co_spawn(
        *found->second.mIo, LeaveFleet(*found->second.mNode), asio::detached);
    });
    this->At(aAt + Duration(3'000), "node back", restart);
  } else {
    this->At(aAt, "all nodes killed", [this] {
      for (auto& [other, life] : this->mLives) {
        EndLife(life);
      }
      this->mLives.clear();
    });
    this->At(aEnd, "all nodes back", [this] {
      for (std::uint32_t i = 1; i <= this->mOptions.mNodes; ++i) {
        this->StartNode(fmt::format("node-{}", i));
      }
    });
  }
}

void Fleet::ScheduleWorkerFault(TimePoint aAt, TimePoint aEnd)
{
  const int kind = this->Draw(1, 5);
  const std::string name = this->DrawWorker();
  if (kind == 5) {
    this->At(aAt, "worker reports nonsense", [=, this] {
      this->mWorkers.mWorkers.at(name).mIsMalformedNext = true;
    });
  } else if (kind == 1) {
    this->At(aAt, "worker cut off", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.insert("*");
    });
    this->At(aEnd, "worker reached", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.erase("*");
    });
  } else if (kind == 2) {
    const std::string node = this->DrawNode();
    this->At(aAt, "worker cut from a node", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.insert(node);
    });
    this->At(aEnd, "worker reached by it", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.erase(node);
    });
  } else if (kind == 3) {
    this->At(aAt, "worker crashes", [=, this] {
      Restart(this->mWorkers, name, this->mNow);
    });
  } else {
    this->At(aAt, "orders late", [=, this] {
      this->mWorkers.mWorkers.at(name).mLateShare = 0.5;
    });
    this->At(aEnd, "orders on time", [=, this] {
      this->mWorkers.mWorkers.at(name).mLateShare = 0;
    });
  }
}

void Fleet::AddWorker(const std::string& aName)
{
  MemoryWorker worker;
  worker.mName = aName;
  worker.mDataCentre =
    this->mWorkers.mWorkers.size() % 2 == 1 ? "north" : "south";
  worker.mClockStart = this->mNow - Duration(this->Draw(1, 100'000));
  this->mWorkers.mWorkers[aName] = worker;
  this->SetEntry(aName, "");
}

void Fleet::SetEntry(const std::string& aName, const std::string& aSuffix)
{
  const std::string& dataCentre = this->mWorkers.mWorkers.at(aName).mDataCentre;
  KvTransaction write;
  write.mPuts.push_back({ kWorkersPrefix + aName, dataCentre + aSuffix, 0 });
  CommitNow(this->mStore, write);
}

void Fleet::RemoveWorker(const std::string& aName)
{
  Restart(this->mWorkers, aName, this->mNow);
  this->mWorkers.mWorkers.at(aName).mCutFrom.insert("*");
  KvTransaction write;
  write.mDeletes.push_back(kWorkersPrefix + aName);
  CommitNow(this->mStore, write);
}

void Fleet::ScheduleDrain(const std::string& aName, TimePoint aAt)
{
  this->At(
    aAt, aName + " drains", [=, this] { this->SetEntry(aName, kDraining); });
  const TimePoint end = aAt + kDrainTime;
  const bool isLeaving =
    this->mOptions.mPlay == FleetPlay::kRelease || this->Toss(60);
  if (isLeaving) {
    this->At(end, aName + " leaves", [=, this] { this->RemoveWorker(aName); });
    return;
  }
  const bool isRestarting = this->Toss(50);
  this->At(end, aName + " is ready again", [=, this] {
    if (isRestarting) {
      Restart(this->mWorkers, aName, this->mNow);
    }
    this->SetEntry(aName, "");
  });
}

TimePoint Fleet::ScheduleRelease(TimePoint aAt)
{
  constexpr int kFirstDrainMs = 1'000;
  constexpr int kLastDrainMs = 2'000;
  for (std::uint32_t i = 1; i <= this->mOptions.mWorkers / 2; ++i) {
    const std::string replacement =
      fmt::format("w{}", this->mOptions.mWorkers + i);
    this->At(aAt, replacement + " is new", [=, this] {
      this->AddWorker(replacement);
    });
    const Duration after(this->Draw(kFirstDrainMs, kLastDrainMs));
    this->ScheduleDrain(fmt::format("w{}", i), aAt + after);
  }
  return aAt + Duration(kLastDrainMs) + kDrainTime;
}

void Fleet::CrashLastingWorker()
{
  for (const auto& [name, worker] : this->mWorkers.mWorkers) {
    const bool isLasting = std::any_of(
      worker.mRuns.begin(), worker.mRuns.end(), [this](const auto& aRun) {
        return this->mWorkers.mPlans[aRun.first].mIsLasting;
      });
    if (isLasting) {
      Restart(this->mWorkers, name, this->mNow);
      return;
    }
  }
}

void Fleet::ScheduleFreeze(TimePoint aAt)
{
  const auto owner = std::make_shared<std::string>();
  const auto jobs = std::make_shared<std::set<JobId>>();
  this->At(aAt, "owner paused, a worker crashes", [=, this] {
    *owner = this->DrawOwner();
    *jobs = this->mLasting;
    this->mLives.at(*owner).mIsPaused = true;
    this->CrashLastingWorker();
  });
  this->At(aAt + kRunAgainWithin, "long-running tasks run again", [=, this] {
    this->CheckLasting(*jobs);
  });
  this->mCalmAt = aAt + Duration(8'000);
  this->At(this->mCalmAt, "owner goes on", [=, this] {
    NodeLife& life = this->mLives.at(*owner);
    life.mIsPaused = false;
    life.mGoesOnAt = this->mNow;
  });
}

void Fleet::CheckLasting(const std::set<JobId>& aJobs)
{
  for (const auto& [task, plan] : this->mWorkers.mPlans) {
    const bool isOwed = plan.mIsLasting && aJobs.contains(task.mJob) &&
                        !this->mCancelled.contains(task.mJob);
    if (isOwed && this->mWorkers.mRunning[task].empty()) {
      this->Problem(Describe(task) + " doesn't run");
    }
  }
}

void Fleet::Schedule()
{
  const TimePoint releaseAt = kStart + kQuietStart + Duration(5'000);
  if (this->mOptions.mPlay == FleetPlay::kRelease) {
    const TimePoint left = this->ScheduleRelease(releaseAt);
    this->ScheduleFreeze(left + Duration(this->Draw(100, 1'500)));
  } else {
    this->ScheduleFaults();
  }
  if (this->mOptions.mPlay == FleetPlay::kReleaseAmidFaults) {
    this->ScheduleRelease(releaseAt);
  }
  this->mEnd = this->mCalmAt + this->mOptions.mCalmTime;
  if (this->HasSmallNodes()) {
    const TimePoint from = this->mCalmAt + kOwnedWithin + Duration(1'000);
    this->ScheduleForgottenLeases(from);
    this->ScheduleLossOfLargeNodes(from + kSmallNodeFault);
    this->mLeaseFaultsAt = from;
    this->mLeaseFaultsEnd = from + 2 * kSmallNodeFault;
    this->mEnd = this->mLeaseFaultsEnd + kCalmAfterSmallNodes;
  }
  this->SortChanges();
}

void Fleet::SortChanges()
{
  std::stable_sort(this->mChanges.begin(),
                   this->mChanges.end(),
                   [](const Change& aLeft, const Change& aRight) {
                     return aLeft.mAt < aRight.mAt;
                   });
}

void Fleet::ScheduleFaults()
{
  const int count =
    this->mOptions.mPlay == FleetPlay::kWatches ? 0 : this->Draw(2, 8);
  const auto faultTime = static_cast<int>(this->mOptions.mFaultTime.count());
  for (int i = 0; i < count; ++i) {
    const TimePoint at =
      kStart + kQuietStart + Duration(this->Draw(0, faultTime));
    const TimePoint end = at + Duration(this->Draw(200, 6'000));
    // A node that leaves is back 3 s later, a late order comes after 8 s.
    this->mCalmAt = std::max(this->mCalmAt, end + Duration(8'000));
    const int kind = this->Draw(1, 10);
    if (kind <= 5) {
      this->ScheduleStoreFault(at, end);
    } else if (kind <= 8) {
      this->ScheduleNodeFault(at, end);
    } else {
      this->ScheduleWorkerFault(at, end);
    }
  }
  this->ScheduleWatchFault();
}

void Fleet::ScheduleForgottenLeases(TimePoint aAt)
{
  const bool isSilent = this->DrawSize(0, 1) == 1;
  const TimePoint back = aAt + Duration(this->DrawSize(500, 3'000));
  const TimePoint start = back + Duration(this->DrawSize(-50, 150));
  const auto small = this->NodesOfSize(true);
  const auto last = static_cast<int>(small.size()) - 1;
  const std::string& name =
    small[static_cast<std::size_t>(this->DrawSize(0, last))];
  this->At(aAt, "leases forgotten in an outage", [=, this] {
    this->mStore.mMood = isSilent ? StoreMood::kSilent : StoreMood::kRefusing;
    this->StopNode(name);
    ForgetLeases(this->mStore);
  });
  this->At(
    back, "store back", [this] { this->mStore.mMood = StoreMood::kServing; });
  this->At(start, "small node starts", [=, this] { this->StartNode(name); });
  this->At(back + kOwnedWithin, "owners are judged", [this] {
    this->CheckOwners();
    this->CheckLargeOwners();
  });
}

void Fleet::ScheduleLossOfLargeNodes(TimePoint aAt)
{
  const auto large = this->NodesOfSize(false);
  this->At(aAt, "large nodes killed, leases forgotten", [=, this] {
    for (const auto& name : large) {
      this->StopNode(name);
    }
    ForgetLeases(this->mStore);
  });
  const TimePoint owned = aAt + kOwnedWithin;
  this->At(owned, "owners are judged", [this] { this->CheckOwners(); });
  this->At(aAt + kSmallNodeFault, "large nodes back", [=, this] {
    for (const auto& name : large) {
      this->StartNode(name);
    }
  });
}

void Fleet::Step()
{
  this->mNow += kStep;
  UseManualTime(this->mNow);
  while (!this->mChanges.empty() && this->mChanges.front().mAt <= this->mNow) {
    const Change change = std::move(this->mChanges.front());
    this->mChanges.erase(this->mChanges.begin());
    this->mResult.mFaults.push_back(
      fmt::format("{} ms: {}", (this->mNow - kStart).count(), change.mWhat));
    change.mDo();
  }
  Advance(this->mStore, this->mNow);
  Advance(this->mWorkers, this->mNow);
  for (auto& [name, life] : this->mLives) {
    if (!life.mIsPaused) {
      life.mIo->poll();
    }
  }
}

std::size_t Fleet::LongWaiting(std::uint32_t aShard) const
{
  return static_cast<std::size_t>(std::count_if(
    this->mAcceptedAt.begin(), this->mAcceptedAt.end(), [&](const auto& aJob) {
      return ShardOf(aJob.first, this->mOptions.mShards) == aShard &&
             this->mNow - aJob.second > kCountedWithin &&
             !this->mCancelled.contains(aJob.first) &&
             !this->mWorkers.mBegun.contains(aJob.first);
    }));
}

void Fleet::CheckCountIsNotDue(const NodeContext& aNode, std::uint32_t aShard)
{
  const auto runner = aNode.mRunners.find(aShard);
  const bool isAtWork = runner != aNode.mRunners.end() &&
                        runner->second->IsLoaded() &&
                        !runner->second->IsStopped();
  const bool isCalm = this->mNow > this->mCalmAt + kOwnedWithin &&
                      (this->mNow < this->mLeaseFaultsAt ||
                       this->mNow > this->mLeaseFaultsEnd + kOwnedWithin);
  if (isAtWork && isCalm) {
    this->Problem(fmt::format("{} doesn't know how many jobs of shard {} wait",
                              aNode.mSettings.mName,
                              aShard));
  }
}

asio::awaitable<void> Fleet::CheckCount(NodeContext& aNode,
                                        std::uint32_t aShard)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = fmt::format("/peer/waiting/{}", aShard);
  const HttpResponse response = co_await HandlePeerRequest(aNode, request);
  const auto answer = TryDecode<PeerWaitingAnswer>(response.mBody);
  const bool isFact = answer && answer->mIsOwner;
  if (!isFact) {
    this->CheckCountIsNotDue(aNode, aShard);
    co_return;
  }
  const auto queue = answer->mWaiting.find(MakeTerms().mQueue);
  const std::size_t counted =
    queue == answer->mWaiting.end() ? 0 : queue->second;
  const std::size_t waiting = this->LongWaiting(aShard);
  if (2 * counted < waiting) {
    this->Problem(fmt::format("{} says that {} jobs of shard {} wait; {} do",
                              aNode.mSettings.mName,
                              counted,
                              aShard,
                              waiting));
  }
}

void Fleet::AskForCounts()
{
  for (auto& [name, life] : this->mLives) {
    for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
      asio::co_spawn(
        *life.mIo, this->CheckCount(*life.mNode, shard), asio::detached);
    }
  }
}

void Fleet::CheckOwners()
{
  for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
    const auto key = this->mStore.mItems.find(OwnerKey(shard));
    if (key == this->mStore.mItems.end()) {
      this->Problem(fmt::format("shard {} has no owner", shard));
      continue;
    }
    const auto record = TryDecode<ShardOwnerRecord>(key->second.mValue);
    const auto life = this->mLives.find(record ? record->mNode : "");
    const auto& runners =
      life == this->mLives.end()
        ? std::map<std::uint32_t, std::shared_ptr<ShardRunner>>{}
        : life->second.mNode->mRunners;
    const auto runner = runners.find(shard);
    const bool isAtWork =
      runner != runners.end() && runner->second->IsLoaded() &&
      !runner->second->IsStopped() &&
      runner->second->Epoch() == key->second.mCreateRevision;
    if (!isAtWork) {
      this->Problem(fmt::format("shard {} of {} isn't at work, lease {}",
                                shard,
                                record ? record->mNode : "?",
                                key->second.mLease));
    }
  }
}

void Fleet::CheckLargeOwners()
{
  for (std::uint32_t shard = 0; shard < this->mOptions.mShards; ++shard) {
    const auto key = this->mStore.mItems.find(OwnerKey(shard));
    const auto record = key == this->mStore.mItems.end()
                          ? std::nullopt
                          : TryDecode<ShardOwnerRecord>(key->second.mValue);
    if (record && this->IsSmall(record->mNode)) {
      this->Problem(fmt::format(
        "shard {} is owned by {}, which is small", shard, record->mNode));
    }
  }
}

void Fleet::CheckEnd()
{
  for (const auto& end : this->mWorkers.mRepeated) {
    if (this->mWorkers.mAcknowledged.contains(end)) {
      this->Problem(Describe(end.first) + " was started after its end");
    }
  }
  for (const auto& [task, places] : this->mWorkers.mRunning) {
    if (this->mRefused.contains(task.mJob)) {
      this->Problem(Describe(task) + " was started though its job was refused");
    }
  }
  for (const auto& id : this->mJobs) {
    if (this->mLasting.contains(id) || this->mCancelled.contains(id)) {
      continue;
    }
    const std::uint32_t shard = ShardOf(id, this->mOptions.mShards);
    const auto item = this->mStore.mItems.find(ProgressKey(shard, id));
    const auto progress = item == this->mStore.mItems.end()
                            ? std::nullopt
                            : TryDecode<BatchProgress>(item->second.mValue);
    if (!progress || progress->mState != BatchState::kCompleted) {
      this->Problem(
        fmt::format("job {} of shard {} isn't completed", id, shard));
    }
  }
  this->CheckLasting(this->mLasting);
  for (const auto& text : this->mWorkers.mProblems) {
    this->mResult.mProblems.push_back(text);
  }
  for (const auto& text : this->mStore.mRejectedWrites) {
    this->mResult.mProblems.push_back(text);
  }
}

FleetResult Fleet::Play()
{
  this->SetUp();
  this->Schedule();
  const TimePoint lastJob = this->mCalmAt;
  const TimePoint owned = this->mCalmAt + kOwnedWithin;
  TimePoint nextJob = kStart + kQuietStart;
  TimePoint nextCount = nextJob;
  bool isChecked = false;
  while (this->mNow < this->mEnd) {
    this->Step();
    if (this->mNow >= nextJob && this->mNow < lastJob) {
      nextJob += kJobInterval;
      this->SubmitJobs();
      if (this->mOptions.mPlay == FleetPlay::kWatches) {
        this->CancelJob();
      }
    }
    if (this->mNow >= nextCount) {
      nextCount += kCountInterval;
      this->AskForCounts();
    }
    if (!isChecked && this->mNow >= owned) {
      isChecked = true;
      this->CheckOwners();
    }
  }
  this->CheckEnd();
  return this->mResult;
}

} // namespace

FleetResult PlayFleet(const FleetOptions& aOptions)
{
  return Fleet(aOptions).Play();
}

} // namespace verbenacroft
