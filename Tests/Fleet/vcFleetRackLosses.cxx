/// The play of a rack that is lost and comes back: its workers crash at one
/// moment and return under new ids, while others have room for what they ran.

#include "vcFleetState.h"

#include <fmt/format.h>

#include <numeric>

namespace verbenacroft {

namespace {

/// What a long-running task needs, in thousandths of a processor. Five of them
/// fill a worker.
constexpr int kSmallestTask = 18'000;
constexpr int kLargestTask = 19'500;
/// Part of all processors that these tasks take, in percent.
constexpr std::int64_t kLargeTasksPercent = 81;
/// Workers of the rack that is lost, and until they are back.
constexpr int kFewestLost = 6;
constexpr int kMostLost = 8;
constexpr int kBackAfterMinMs = 3'000;
constexpr int kBackAfterMaxMs = 6'000;
/// They come back one after another.
constexpr int kBackSpreadMs = 1'000;
/// In this part of the seeds an owner is killed so long after the loss, and is
/// back this long after that.
constexpr int kOwnerLostPercent = 25;
constexpr int kOwnerLostMaxMs = 1'500;
constexpr int kOwnerBackMinMs = 2'000;
constexpr int kOwnerBackMaxMs = 5'000;
/// Workers that leave after the return, and when.
constexpr std::size_t kLeaving = 7;
constexpr int kLeaveAfterMinMs = 500;
constexpr int kLeaveAfterMaxMs = 2'000;
/// Time for which the tasks are watched after the return.
constexpr Duration kWatchedAfter{ 14'000 };
/// Room that small tasks may take before the worker reports them.
constexpr std::int64_t kSlack = 5'000;

} // namespace

bool Fleet::NeedsLargeTasks() const
{
  const auto& plans = this->mWorkers.mPlans;
  const std::int64_t taken = std::accumulate(
    plans.begin(),
    plans.end(),
    std::int64_t{ 0 },
    [](std::int64_t aSum, const auto& aRow) {
      return aSum + (aRow.second.mIsLasting ? aRow.second.mMilliCpu : 0);
    });
  const std::int64_t all = this->mOptions.mWorkers * kWorkerCpu;
  return 100 * taken < kLargeTasksPercent * all;
}

BatchSpec Fleet::DrawLargeJob(const JobId& aId)
{
  StepSpec step;
  step.mCount = static_cast<std::uint32_t>(this->Draw(1, 3));
  step.mNeeds.mMilliCpu = this->Draw(kSmallestTask, kLargestTask);
  step.mNeeds.mMemoryMb = 100;
  step.mEstimateMs = 500;
  step.mIsLasting = true;
  for (std::uint32_t i = 0; i < step.mCount; ++i) {
    TaskPlan& plan = this->mWorkers.mPlans[{ aId, 0, 0, i }];
    plan.mIsLasting = true;
    plan.mMilliCpu = step.mNeeds.mMilliCpu;
  }
  BatchSpec spec;
  spec.mSteps.push_back(step);
  return spec;
}

void Fleet::ScheduleRackLoss()
{
  this->mWorkers.mCapacity = kWorkerCpu;
  const auto workers = this->ShuffledWorkers();
  const auto lost =
    static_cast<std::size_t>(this->Draw(kFewestLost, kMostLost));
  const TimePoint at =
    kStart + kQuietStart + Duration(this->Draw(9'000, 12'000));
  const TimePoint backAt =
    at + Duration(this->Draw(kBackAfterMinMs, kBackAfterMaxMs));
  for (std::size_t i = 0; i < lost; ++i) {
    const std::string& name = workers[i];
    this->At(at, name + " is lost", [=, this] { this->LoseWorker(name); });
    const TimePoint returnAt = backAt + Duration(this->Draw(0, kBackSpreadMs));
    this->At(std::min(returnAt, at + kEntryOutlives),
             name + " has no entry",
             [=, this] { this->RemoveEntry(name); });
    this->At(returnAt, name + " is back under a new id", [=, this] {
      this->ReplaceWorker(name);
    });
  }
  this->At(at, "long-running tasks are watched", [=, this] {
    this->mRackLostAt = at;
    // The bound after a loss is that of an owner that is lost too.
    this->mLossAt = kStart;
  });
  if (this->Toss(kOwnerLostPercent)) {
    const TimePoint lostAt = at + Duration(this->Draw(0, kOwnerLostMaxMs));
    const Duration back(this->Draw(kOwnerBackMinMs, kOwnerBackMaxMs));
    this->ScheduleOwnerLoss(OwnerLoss::kKilled, lostAt, lostAt + back);
    this->At(lostAt, "nobody planned that", [=, this] {
      this->mLossAt = lostAt + back;
    });
  }
  for (std::size_t i = 0; i < kLeaving; ++i) {
    const std::string& name = workers[lost + i];
    const TimePoint leavesAt =
      backAt + Duration(this->Draw(kLeaveAfterMinMs, kLeaveAfterMaxMs));
    this->At(leavesAt, name + " drains", [=, this] {
      this->SetEntry(name, kDraining);
    });
    this->At(leavesAt + kDrainTime, name + " leaves", [=, this] {
      this->RemoveWorker(name);
    });
  }
  this->mCalmAt = backAt + kWatchedAfter;
}

bool Fleet::HasRoomFor(const TaskPlan& aPlan) const
{
  for (const auto& [name, worker] : this->mWorkers.mWorkers) {
    const auto entry = this->mStore.mItems.find(kWorkersPrefix + name);
    const bool isUsable = entry != this->mStore.mItems.end() &&
                          !entry->second.mValue.ends_with(kDraining) &&
                          !worker.mIsGone && worker.mCutFrom.empty();
    std::int64_t used = aPlan.mMilliCpu + kSlack;
    for (const auto& [task, run] : worker.mRuns) {
      used += this->mWorkers.mPlans.at(task).mMilliCpu;
    }
    if (isUsable && used <= kWorkerCpu) {
      return true;
    }
  }
  return false;
}

} // namespace verbenacroft
