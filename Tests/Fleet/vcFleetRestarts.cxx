/// The play of restarts under the same id: workers crash together, return
/// within a second and are cut off soon after. Calls for a former incarnation
/// reach the new one.

#include "vcFleetState.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// How often workers crash together, and how many at most.
constexpr int kFewestCrashes = 2;
constexpr int kMostCrashes = 3;
constexpr int kMostCrashed = 5;
/// From a crash until the worker is back.
constexpr int kDownMinMs = 300;
constexpr int kDownMaxMs = 1'000;
/// From its return until it is cut off.
constexpr int kReachedMinMs = 500;
constexpr int kReachedMaxMs = 3'000;
/// For how long it is cut off: about as long as leases last.
constexpr int kCutMinMs = 8'500;
constexpr int kCutMaxMs = 9'500;
/// From the end of the last cut to the next crash.
constexpr int kNextCrashMinMs = 500;
constexpr int kNextCrashMaxMs = 5'000;
/// An owner is lost this much before or after the crash. An owner notices a
/// restart at the soonest when the worker is back.
constexpr int kOwnerLostMinMs = -300;
constexpr int kOwnerLostMaxMs = 3'500;
/// Until that owner is back, longer than its lease.
constexpr int kOwnerBackMinMs = 2'000;
constexpr int kOwnerBackMaxMs = 6'000;

} // namespace

void Fleet::ScheduleRestarts()
{
  const bool isOwnerLost = this->Toss(50);
  const int crashes = this->Draw(kFewestCrashes, kMostCrashes);
  TimePoint at = kStart + kQuietStart + Duration(this->Draw(4'000, 7'000));
  for (int i = 0; i < crashes; ++i) {
    const TimePoint end = this->ScheduleRestartsAt(at);
    this->mCalmAt = std::max(this->mCalmAt, end);
    if (isOwnerLost) {
      this->ScheduleLossBesideRestarts(
        at + Duration(this->Draw(kOwnerLostMinMs, kOwnerLostMaxMs)));
    }
    at = end + Duration(this->Draw(kNextCrashMinMs, kNextCrashMaxMs));
  }
  this->ScheduleCheckOfCalm();
}

TimePoint Fleet::ScheduleRestartsAt(TimePoint aAt)
{
  TimePoint reachedAt = aAt;
  for (const auto& name : this->DrawWorkers(kMostCrashed)) {
    const TimePoint backAt = aAt + Duration(this->Draw(kDownMinMs, kDownMaxMs));
    const TimePoint cutAt =
      backAt + Duration(this->Draw(kReachedMinMs, kReachedMaxMs));
    const TimePoint endAt = cutAt + Duration(this->Draw(kCutMinMs, kCutMaxMs));
    this->At(aAt, name + " crashes", [=, this] {
      Crash(this->mWorkers, name, this->mNow);
    });
    this->At(backAt, name + " is back", [=, this] {
      Return(this->mWorkers, name, this->mNow);
      this->SetEntry(name, "");
    });
    this->At(cutAt, name + " is cut off", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.insert("*");
    });
    this->At(endAt, name + " is reached", [=, this] {
      this->mWorkers.mWorkers.at(name).mCutFrom.erase("*");
    });
    reachedAt = std::max(reachedAt, endAt);
  }
  return reachedAt;
}

void Fleet::ScheduleLossBesideRestarts(TimePoint aAt)
{
  const OwnerLoss loss =
    this->Toss(50) ? OwnerLoss::kKilled : OwnerLoss::kPaused;
  const TimePoint back =
    aAt + Duration(this->Draw(kOwnerBackMinMs, kOwnerBackMaxMs));
  this->At(
    aAt, "an owner is lost", [this] { this->mOwnerLostAt = this->mNow; });
  this->ScheduleOwnerLoss(loss, aAt, back);
  this->mCalmAt = std::max(this->mCalmAt, back);
}

void Fleet::JudgeClaim()
{
  const bool isJudged =
    this->mOptions.mPlay == FleetPlay::kRestartsUnderId && this->mClaim != 0;
  if (!isJudged) {
    return;
  }
  const bool isCaused = this->mOwnerLostAt != kNever &&
                        this->mNow - this->mOwnerLostAt <= kOwnedWithin;
  if (!isCaused) {
    this->Problem("the owner changed without a cause");
  }
  this->mOwnerLostAt = kNever;
}

} // namespace verbenacroft
