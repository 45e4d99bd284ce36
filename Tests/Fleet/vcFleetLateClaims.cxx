/// The play of late claims: an owner is lost together with workers, and the
/// nodes that are left need some time until they can claim its shard.

#include "vcFleetState.h"

#include <fmt/format.h>

namespace verbenacroft {

namespace {

/// Time for which the others can't claim, in ms.
constexpr int kDelayMinMs = 500;
constexpr int kDelayMaxMs = 3'000;
/// After a loss the nodes have 4 s to catch up and 4 s of calm. A task that
/// could run from then on doesn't wait for 3 s.
constexpr Duration kRunAgainAfterLoss{ 11'000 };
/// The node that is back before the others is there for this time alone.
constexpr Duration kOthersBackLater{ 14'000 };

ClaimDelay DelayAt(int aNumber)
{
  return EnumTable<ClaimDelay>::kRows[static_cast<std::size_t>(aNumber)].mValue;
}

} // namespace

void Fleet::ScheduleLateClaims()
{
  const TimePoint at =
    kStart + kQuietStart + Duration(this->Draw(6'000, 9'000));
  const TimePoint over = at + Duration(this->Draw(kDelayMinMs, kDelayMaxMs));
  constexpr int kDelays = std::ssize(EnumTable<ClaimDelay>::kRows);
  const ClaimDelay delay = DelayAt(this->Draw(0, kDelays - 1));
  const auto owner = std::make_shared<std::string>();
  this->ScheduleGoneWorkers(at);
  this->At(at, std::string(NameOf(delay)), [=, this] {
    *owner = this->DrawOwner();
    this->DelayClaim(delay, *owner);
  });
  this->At(
    over, "that is over", [=, this] { this->EndClaimDelay(delay, *owner); });
  if (delay == ClaimDelay::kOwnerRestarted) {
    this->At(over + kOthersBackLater, "the others are back", [=, this] {
      this->EndClaimDelay(ClaimDelay::kAllRestarted, *owner);
    });
  }
  this->mCalmAt = over;
  this->ScheduleCheckOfWork(over + kRunAgainAfterLoss);
}

void Fleet::DelayClaim(ClaimDelay aDelay, const std::string& aOwner)
{
  this->StopNode(aOwner);
  for (const auto& [name, size] : this->mSizes) {
    if (aDelay == ClaimDelay::kTurnedAway) {
      this->mStore.mMoodFor[name] = StoreMood::kRefusing;
    } else if (aDelay != ClaimDelay::kLeasesForgotten) {
      this->StopNode(name);
    }
  }
  if (aDelay == ClaimDelay::kLeasesForgotten) {
    this->mStore.mMood = StoreMood::kRefusing;
    ForgetLeases(this->mStore);
  }
}

void Fleet::EndClaimDelay(ClaimDelay aDelay, const std::string& aOwner)
{
  this->mStore.mMood = StoreMood::kServing;
  this->mStore.mMoodFor.clear();
  if (aDelay == ClaimDelay::kOwnerRestarted) {
    this->StartNode(aOwner);
  }
  if (aDelay != ClaimDelay::kAllRestarted) {
    return;
  }
  for (const auto& [name, size] : this->mSizes) {
    if (name != aOwner) {
      this->StartNode(name);
    }
  }
}

} // namespace verbenacroft
