/// The play of deadly tasks: each crashes the workers that start it, and takes
/// down the runs beside it.

#include "vcFleetState.h"

#include <fmt/format.h>

namespace verbenacroft {

namespace {

/// Jobs that are submitted within this time may have a deadly task.
constexpr Duration kDeadlyTime{ 10'000 };
/// Part of these jobs, in percent.
constexpr int kDeadlyPercent = 10;
/// Time after the last of them in which crashes go on.
constexpr Duration kCrashesEndWithin{ 25'000 };
/// From a crash until the worker is back.
constexpr int kBackAfterMinMs = 1'000;
constexpr int kBackAfterMaxMs = 4'000;
/// From a start to the crash that it causes.
constexpr int kCrashesAfterMinMs = 1;
constexpr int kCrashesAfterMaxMs = 40;
/// A node that was killed starts again after this time.
constexpr Duration kNodeBackAfter{ 4'000 };

} // namespace

void Fleet::ScheduleDeadlyTasks()
{
  this->mDeadlyUntil = kStart + kQuietStart + kDeadlyTime;
  this->mCalmAt = this->mDeadlyUntil + kCrashesEndWithin;
  this->mKillsLeft = this->Draw(0, 2);
  this->mIsOwnerKilled = this->mKillsLeft > 0;
}

void Fleet::DrawDeadlyTask(const JobId& aId, const BatchSpec& aSpec)
{
  const bool isDeadly = this->mOptions.mPlay == FleetPlay::kDeadlyTasks &&
                        this->mNow < this->mDeadlyUntil &&
                        this->Toss(kDeadlyPercent);
  if (!isDeadly) {
    return;
  }
  const int count = static_cast<int>(aSpec.mSteps[0].mCount);
  const auto index = static_cast<std::uint32_t>(this->Draw(0, count - 1));
  this->mWorkers.mPlans[{ aId, 0, 0, index }].mCrashesAfter =
    Duration(this->Draw(kCrashesAfterMinMs, kCrashesAfterMaxMs));
  this->mDeadly.insert(aId);
}

void Fleet::HandleCrashes()
{
  for (const auto& name : this->mWorkers.mCrashed) {
    const Duration after(this->Draw(kBackAfterMinMs, kBackAfterMaxMs));
    this->At(this->mNow + after, name + " is back", [=, this] {
      this->ReturnWorker(name);
    });
  }
  if (!this->mWorkers.mCrashed.empty() && this->mKillsLeft > 0) {
    --this->mKillsLeft;
    const std::string owner = this->DrawOwner();
    this->StopNode(owner);
    this->At(this->mNow + kNodeBackAfter,
             owner + " is back after it was killed",
             [=, this] { this->StartNode(owner); });
  }
  if (!this->mWorkers.mCrashed.empty()) {
    this->mWorkers.mCrashed.clear();
    this->SortChanges();
  }
}

void Fleet::ReturnWorker(const std::string& aName)
{
  MemoryWorker& worker = this->mWorkers.mWorkers.at(aName);
  worker.mCutFrom.erase("*");
  worker.mIsGone = false;
  if (!this->Toss(50)) {
    this->ReplaceWorker(aName);
  }
}

void Fleet::ReplaceWorker(const std::string& aName)
{
  MemoryWorker& worker = this->mWorkers.mWorkers.at(aName);
  worker.mCutFrom.erase("*");
  worker.mIsGone = false;
  worker.mIsReplaced = true;
  this->RemoveEntry(aName);
  ++this->mReplacements;
  this->AddWorker(fmt::format("r{}", this->mReplacements));
}

void Fleet::CheckDeadlyTasks()
{
  // An owner that takes over doesn't know the starts of the one before, so it
  // may miss a crash. Three starts are what the users' rule forbids.
  const int allowed = this->mIsOwnerKilled ? 2 : 0;
  for (const auto& [task, starts] : this->mWorkers.mStartsAfterThird) {
    if (starts > allowed) {
      this->Problem(
        fmt::format("{} was started {} times after it had crashed 3 workers",
                    Describe(task),
                    starts));
    }
  }
}

} // namespace verbenacroft
