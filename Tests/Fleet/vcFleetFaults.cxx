/// The faults that a fleet draws: of the store, the nodes and the workers.

#include "vcFleetState.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr const char* kEvacuateSouth = "op/evacuate/south";

} // namespace

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
      this->PauseNode(*name);
    });
    this->At(aEnd, "node goes on", [=, this] { this->ContinueNode(*name); });
  } else if (kind == 3) {
    this->At(aAt, "node leaves", [=, this] {
      choose();
      this->RetireNode(*name);
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

} // namespace verbenacroft
