/// The play of planned work after losses: owners that hand their shard over
/// before they have settled, while draining workers leave.

#include "vcFleetState.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::size_t kMostGone = 3;
/// Owners that hand their shard over in series, and the time between two.
constexpr int kFewestLeaves = 1;
constexpr int kMostLeaves = 3;
constexpr int kNextLeaveMinMs = 1'500;
constexpr int kNextLeaveMaxMs = 4'000;
/// Workers that leave at each of these times, and how much earlier or later.
constexpr int kMostLeaving = 2;
constexpr int kLeavesBeforeMs = 300;
constexpr int kLeavesAfterMs = 500;
constexpr int kDrainMinMs = 1'500;
constexpr int kDrainMaxMs = 4'000;
/// Until a node that has handed over is back.
constexpr int kNodeBackMinMs = 2'000;
constexpr int kNodeBackMaxMs = 6'000;
/// A long-running task may be without a run for 6 s, and could run for less
/// than 3 s then.
constexpr Duration kLongestWithoutRun{ 9'000 };
/// After a loss the nodes have 4 s to catch up and 4 s of calm. A task that
/// could run from then on doesn't wait for 3 s.
constexpr Duration kRunsAgainAfterLoss{ 11'000 };
constexpr Duration kLongestBesideRoom{ 3'000 };
/// Time for which the tasks are watched after the last hand-over.
constexpr Duration kWatchedAfter{ 14'000 };

} // namespace

std::vector<std::string> Fleet::ShuffledWorkers()
{
  std::vector<std::string> names;
  for (std::uint32_t i = 1; i <= this->mOptions.mWorkers; ++i) {
    names.push_back(fmt::format("w{}", i));
  }
  std::shuffle(names.begin(), names.end(), this->mRandom);
  return names;
}

void Fleet::ScheduleLossBesideLeaves(OwnerLoss aLoss,
                                     TimePoint aAt,
                                     const std::vector<std::string>& aLeaving)
{
  const Duration back(this->Draw(kNodeBackMinMs, kNodeBackMaxMs));
  this->ScheduleOwnerLoss(aLoss, aAt, aAt + back);
  if (aLoss != OwnerLoss::kLeaves) {
    this->At(aAt, "nobody planned that", [=, this] {
      this->mLossAt = std::max(this->mLossAt, aAt + back);
    });
  }
  for (const auto& name : aLeaving) {
    const TimePoint leftAt =
      aAt + Duration(this->Draw(-kLeavesBeforeMs, kLeavesAfterMs));
    const TimePoint drainsAt =
      leftAt - Duration(this->Draw(kDrainMinMs, kDrainMaxMs));
    this->At(drainsAt, name + " drains", [=, this] {
      this->SetEntry(name, kDraining);
    });
    this->At(leftAt, name + " leaves", [=, this] { this->RemoveWorker(name); });
  }
}

void Fleet::ScheduleLeavesBeforeSettled()
{
  auto workers = this->ShuffledWorkers();
  const auto take = [&](std::size_t aCount) {
    const auto from = workers.end() - static_cast<std::ptrdiff_t>(aCount);
    std::vector<std::string> taken(from, workers.end());
    workers.erase(from, workers.end());
    return taken;
  };
  const TimePoint goneAt =
    kStart + kQuietStart + Duration(this->Draw(6'000, 9'000));
  const auto gone = static_cast<int>(kMostGone);
  for (const auto& name : take(static_cast<std::size_t>(this->Draw(1, gone)))) {
    this->At(goneAt, name + " is gone", [=, this] { this->LoseWorker(name); });
    this->At(goneAt + kEntryOutlives, name + " has no entry", [=, this] {
      this->RemoveEntry(name);
    });
  }
  const TimePoint ownerGoneAt = goneAt + Duration(this->Draw(-1'000, 800));
  this->At(ownerGoneAt, "owner is gone", [this] {
    this->StopNode(this->DrawOwner());
  });
  this->At(
    std::min(goneAt, ownerGoneAt), "long-running tasks are watched", [=, this] {
      this->mLossAt = std::max({ this->mLossAt, goneAt, ownerGoneAt });
    });
  TimePoint at = ownerGoneAt;
  const int leaves = this->Draw(kFewestLeaves, kMostLeaves);
  for (int i = 0; i < leaves; ++i) {
    at += Duration(this->Draw(kNextLeaveMinMs, kNextLeaveMaxMs));
    const int leaving = this->Draw(1, kMostLeaving);
    const bool isPlanned =
      this->mOptions.mPlay == FleetPlay::kLeavesBeforeSettled;
    const OwnerLoss loss =
      isPlanned ? OwnerLoss::kLeaves : this->DrawLossOfOneOwner();
    this->ScheduleLossBesideLeaves(
      loss, at, take(static_cast<std::size_t>(leaving)));
  }
  this->mCalmAt = at + kWatchedAfter;
}

TimePoint Fleet::RoomDueAt(const TaskId& aTask, const TaskPlan& aPlan)
{
  auto& since = this->mRoomSince.try_emplace(aTask, this->mNow).first->second;
  const bool waits = this->mWorkers.mRunning[aTask].empty();
  if (!waits || !this->HasRoomFor(aPlan)) {
    since = this->mNow;
  }
  return std::max(since + kLongestBesideRoom,
                  this->mRackLostAt + kLongestWithoutRun);
}

void Fleet::WatchLasting()
{
  if (this->mLossAt == kNever) {
    return;
  }
  for (const auto& [task, plan] : this->mWorkers.mPlans) {
    const bool isOwed = plan.mIsLasting && this->mLasting.contains(task.mJob) &&
                        !this->mCancelled.contains(task.mJob);
    if (!isOwed) {
      continue;
    }
    auto& lastRanAt =
      this->mLastRanAt.try_emplace(task, this->mNow).first->second;
    if (!this->mWorkers.mRunning[task].empty()) {
      lastRanAt = this->mNow;
    }
    const TimePoint runDueAt = this->HasScarceRoom()
                                 ? this->RoomDueAt(task, plan)
                                 : lastRanAt + kLongestWithoutRun;
    const TimePoint due =
      std::max(runDueAt, this->mLossAt + kRunsAgainAfterLoss);
    if (this->mNow > due && this->mMissedTasks.insert(task).second) {
      const TimePoint lossAt = std::max(this->mLossAt, this->mRackLostAt);
      this->Problem(fmt::format("{} hasn't run for {} ms, {} ms after a loss",
                                Describe(task),
                                (this->mNow - lastRanAt).count(),
                                (this->mNow - lossAt).count()));
    }
  }
}

} // namespace verbenacroft
