/// The play of late ends: workers are cut off, and their tasks start elsewhere
/// before the ends of the first runs are heard.

#include "vcFleetState.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Tasks of a step: with a maximum, some of them wait for others to end.
constexpr int kFewestTasks = 4;
constexpr int kMostTasks = 10;
/// What a task needs, in thousandths of a processor, and for how long it works.
struct TaskSize
{
  std::int64_t mMilliCpu = 0;
  int mShortestWorkMs = 0;
  int mLongestWorkMs = 0;
};
/// Of these a worker takes six, so that its capacity limits their number.
constexpr TaskSize kLargeTask{ 16'000, 200, 1'500 };
/// Only the maximum of their step limits the number of these. They work so long
/// that some still wait when the ends of others are heard late.
constexpr TaskSize kSmallTask{ 2'000, 1'000, 6'000 };
/// Maximum of the steps, in runs per worker.
constexpr int kMostPerWorker = 2;
constexpr Duration kStopTime{ 350 };
/// How often workers are cut off together, and how many at most.
constexpr int kCuts = 3;
constexpr int kMostCutOff = 3;
/// They are cut off one after another.
constexpr int kLatestCutMs = 500;
/// For how long: longer than leases last, and for half of the workers so long
/// that also an end on a worker that may be well is no longer awaited.
constexpr int kShortestCutMs = 5'500;
constexpr int kLongestCutMs = 14'500;
/// From the end of the last cut to the next one.
constexpr int kNextCutMinMs = 300;
constexpr int kNextCutMaxMs = 2'000;
/// An owner is lost this long after the cut, and back this long after that.
constexpr int kOwnerLostMaxMs = 12'000;
constexpr int kOwnerBackMinMs = 1'000;
constexpr int kOwnerBackMaxMs = 6'000;

} // namespace

BatchSpec Fleet::DrawLimitedJob(const JobId& aId)
{
  const bool isLarge = this->mOptions.mSeed % 2 == 1;
  const TaskSize& size = isLarge ? kLargeTask : kSmallTask;
  StepSpec step;
  step.mCount =
    static_cast<std::uint32_t>(this->Draw(kFewestTasks, kMostTasks));
  step.mNeeds.mMilliCpu = size.mMilliCpu;
  step.mNeeds.mMemoryMb = 100;
  step.mEstimateMs = 500;
  step.mMaxPerWorker =
    static_cast<std::uint32_t>(this->Draw(1, kMostPerWorker));
  this->mWorkers.mMaxPerWorker[{ aId, 0, 0, 0 }] = step.mMaxPerWorker;
  for (std::uint32_t i = 0; i < step.mCount; ++i) {
    TaskPlan plan;
    plan.mWork =
      Duration(this->Draw(size.mShortestWorkMs, size.mLongestWorkMs));
    plan.mMilliCpu = size.mMilliCpu;
    this->mWorkers.mPlans[{ aId, 0, 0, i }] = plan;
  }
  BatchSpec spec;
  spec.mSteps.push_back(step);
  return spec;
}

void Fleet::ScheduleLateEnds()
{
  this->mWorkers.mCapacity = kWorkerCpu;
  this->mWorkers.mStopTime = kStopTime;
  const bool isOwnerLost = this->Toss(50);
  const bool hasLateOrders = this->Toss(50);
  TimePoint at = kStart + kQuietStart + Duration(this->Draw(2'000, 4'000));
  for (int i = 0; i < kCuts; ++i) {
    const TimePoint end = this->ScheduleCuts(at);
    this->mCalmAt = std::max(this->mCalmAt, end);
    if (isOwnerLost) {
      const TimePoint lostAt = at + Duration(this->Draw(0, kOwnerLostMaxMs));
      const TimePoint back =
        lostAt + Duration(this->Draw(kOwnerBackMinMs, kOwnerBackMaxMs));
      const OwnerLoss loss =
        this->Toss(50) ? OwnerLoss::kKilled : OwnerLoss::kPaused;
      this->ScheduleOwnerLoss(loss, lostAt, back);
      this->mCalmAt = std::max(this->mCalmAt, back);
    }
    if (hasLateOrders) {
      this->ScheduleLateOrders(at, end);
    }
    at = end + Duration(this->Draw(kNextCutMinMs, kNextCutMaxMs));
  }
}

TimePoint Fleet::ScheduleCuts(TimePoint aAt)
{
  TimePoint reachedAt = aAt;
  for (const auto& name : this->DrawWorkers(kMostCutOff)) {
    const TimePoint cutAt = aAt + Duration(this->Draw(0, kLatestCutMs));
    const TimePoint endAt =
      cutAt + Duration(this->Draw(kShortestCutMs, kLongestCutMs));
    this->At(cutAt, name + " is cut off", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.insert("*");
    });
    // Half of them still reach the store, so discovery goes on listing them.
    if (this->Toss(50)) {
      this->At(cutAt + kEntryOutlives, name + " isn't listed", [=, this] {
        this->RemoveEntry(name);
      });
    }
    this->At(endAt, name + " is reached", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.erase("*");
      this->SetEntry(name, "");
    });
    reachedAt = std::max(reachedAt, endAt);
  }
  return reachedAt;
}

void Fleet::ScheduleLateOrders(TimePoint aAt, TimePoint aEnd)
{
  constexpr double kLateShare = 0.3;
  const std::string name = this->DrawWorker();
  this->At(aAt, name + " carries orders out late", [=, this] {
    this->mWorkers.mWorkers.at(name).mLateShare = kLateShare;
  });
  this->At(aEnd, name + " carries orders out on time", [=, this] {
    this->mWorkers.mWorkers.at(name).mLateShare = 0;
  });
}

} // namespace verbenacroft
