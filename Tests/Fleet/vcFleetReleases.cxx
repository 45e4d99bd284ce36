/// Releases of a fleet: workers that come, drain and leave, and the pause of an
/// owner after them.

#include "vcFleetState.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Long-running tasks that stopped run again this soon after their owner was
/// paused: its lease has ended, another owner has asked the workers, and these
/// have started the tasks.
constexpr Duration kRunAgainWithin{ 5'000 };

} // namespace

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
  const MemoryWorker& worker = this->mWorkers.mWorkers.at(aName);
  const std::string text =
    fmt::format("{} {}{}", worker.mDataCentre, worker.mIncarnation, aSuffix);
  KvTransaction write;
  write.mPuts.push_back({ kWorkersPrefix + aName, text, 0 });
  CommitNow(this->mStore, write);
}

void Fleet::LoseWorker(const std::string& aName)
{
  Restart(this->mWorkers, aName, this->mNow);
  MemoryWorker& worker = this->mWorkers.mWorkers.at(aName);
  worker.mCutFrom.insert("*");
  worker.mIsGone = true;
}

void Fleet::RemoveEntry(const std::string& aName)
{
  KvTransaction write;
  write.mDeletes.push_back(kWorkersPrefix + aName);
  CommitNow(this->mStore, write);
}

void Fleet::RemoveWorker(const std::string& aName)
{
  this->LoseWorker(aName);
  this->RemoveEntry(aName);
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

} // namespace verbenacroft
