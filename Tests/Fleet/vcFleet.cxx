#include "vcFleetState.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kStep{ 5 };
constexpr Duration kJobInterval{ 250 };
constexpr const char* kConfig = "op/config";
/// Interval of the questions for the number of waiting jobs.
constexpr Duration kCountInterval{ 250 };
/// Processors of a node that isn't small.
constexpr double kLargeNode = 1;
/// Calm after these faults, in which lost tasks are started again.
constexpr Duration kCalmAfterSmallNodes{ 22'000 };
/// Longer than the 8.5 s for which an owner may ask.
constexpr std::int64_t kLongMaxLeaseMs = 10'000;

} // namespace

QueueTerms MakeTerms()
{
  QueueTerms terms;
  terms.mQueue = "queue";
  terms.mService = "pool";
  terms.mMaxAttempts = 3;
  terms.mTargetMs = 1'000;
  return terms;
}

void Fleet::DrawSizes()
{
  const auto nodes = static_cast<int>(this->mOptions.mNodes);
  int small = this->HasSmallNodes() ? this->DrawSize(1, nodes - 1) : 0;
  if (this->mOptions.mPlay == FleetPlay::kLateClaims) {
    small = nodes - 1;
  }
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
  settings.mBounds.mMaxLeaseMs = Duration(this->mWorkers.mMaxLeaseMs);
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
  node.mCodec.mCredentialHeader = kKeyHeader;
  node.mCodec.mDecodeConfig = [this](std::string_view aText, Faults&) {
    return std::optional(this->MakeConfig(aText));
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
      const auto space = aText.find(' ');
      entry.mDataCentre = aText.substr(0, space);
      entry.mIncarnation = std::stoll(std::string(aText.substr(space)));
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

void Fleet::PauseNode(const std::string& aName)
{
  const auto found = this->mLives.find(aName);
  if (found != this->mLives.end()) {
    found->second.mIsPaused = true;
  }
}

void Fleet::ContinueNode(const std::string& aName)
{
  const auto found = this->mLives.find(aName);
  if (found != this->mLives.end()) {
    found->second.mIsPaused = false;
    found->second.mGoesOnAt = this->mNow;
  }
}

void Fleet::RetireNode(const std::string& aName)
{
  const auto found = this->mLives.find(aName);
  if (found == this->mLives.end()) {
    return;
  }
  found->second.mNode->mIsStopping = true;
  asio::co_spawn(
    *found->second.mIo, LeaveFleet(*found->second.mNode), asio::detached);
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

std::set<std::string> Fleet::DrawWorkers(int aMost)
{
  const auto workers = static_cast<int>(this->mOptions.mWorkers);
  const int count = this->Draw(1, std::max(1, std::min(aMost, workers - 1)));
  std::set<std::string> names;
  while (std::ssize(names) < count) {
    names.insert(this->DrawWorker());
  }
  return names;
}

void Fleet::SetUp()
{
  UseManualTime(this->mNow);
  if (this->mOptions.mPlay == FleetPlay::kRestartsUnderId) {
    this->mWorkers.mMaxLeaseMs = kLongMaxLeaseMs;
  }
  this->DrawSizes();
  KvTransaction write;
  write.mPuts.push_back({ kConfig, "{}", 0 });
  CommitNow(this->mStore, write);
  if (this->HasTeams()) {
    this->SetFirstQuota();
  }
  for (std::uint32_t i = 1; i <= this->mOptions.mWorkers; ++i) {
    this->AddWorker(fmt::format("w{}", i));
  }
  for (std::uint32_t i = 1; i <= this->mOptions.mNodes; ++i) {
    this->StartNode(fmt::format("node-{}", i));
  }
}

void Fleet::At(TimePoint aWhen, std::string aWhat, std::function<void()> aDo)
{
  this->mChanges.push_back({ aWhen, std::move(aWhat), std::move(aDo) });
}

void Fleet::Schedule()
{
  const TimePoint releaseAt = kStart + kQuietStart + Duration(5'000);
  if (this->mOptions.mPlay == FleetPlay::kRelease) {
    const TimePoint left = this->ScheduleRelease(releaseAt);
    this->ScheduleFreeze(left + Duration(this->Draw(100, 1'500)));
  } else if (this->mOptions.mPlay == FleetPlay::kSuccessiveTakeovers) {
    this->ScheduleTakeovers();
  } else if (this->mOptions.mPlay == FleetPlay::kLongPartition) {
    this->SchedulePartition();
  } else if (this->mOptions.mPlay == FleetPlay::kOwnerAndWorkersLost) {
    this->ScheduleLossOfOwnerAndWorkers();
  } else if (this->mOptions.mPlay == FleetPlay::kOwnersLostInSeries) {
    this->ScheduleOwnersLostInSeries();
  } else if (this->mOptions.mPlay == FleetPlay::kLeavesBeforeSettled ||
             this->mOptions.mPlay == FleetPlay::kLossesAndLeaves) {
    this->ScheduleLeavesBeforeSettled();
  } else if (this->mOptions.mPlay == FleetPlay::kLateClaims) {
    this->ScheduleLateClaims();
  } else if (this->mOptions.mPlay == FleetPlay::kRestartsUnderId) {
    this->ScheduleRestarts();
  } else if (this->mOptions.mPlay == FleetPlay::kChokedOwner) {
    this->ScheduleChokedOwner();
  } else if (this->mOptions.mPlay == FleetPlay::kDeadlyTasks) {
    this->ScheduleDeadlyTasks();
  } else if (this->mOptions.mPlay == FleetPlay::kLateSubmissions) {
    this->ScheduleLateSubmissions();
  } else if (this->HasScarceRoom()) {
    this->ScheduleRackLoss();
  } else if (this->HasLateEnds()) {
    this->ScheduleLateEnds();
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
  if (this->HasTeams()) {
    this->ScheduleQuotas();
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
  this->HandleCrashes();
  this->NoteClaim();
  this->WatchLasting();
  for (auto& [name, life] : this->mLives) {
    if (!life.mIsPaused) {
      life.mIo->poll();
    }
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
    this->CancelUnansweredJobs();
    if (this->mNow >= nextCount) {
      nextCount += kCountInterval;
      this->AskForCounts();
      this->WatchBounds();
    }
    if (!isChecked && this->mNow >= owned) {
      isChecked = true;
      this->CheckOwners();
    }
  }
  this->CheckEnd();
  return this->mResult;
}

FleetResult PlayFleet(const FleetOptions& aOptions)
{
  return Fleet(aOptions).Play();
}

} // namespace verbenacroft
