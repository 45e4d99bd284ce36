/// The play of the choked owner, whose calls to workers that are well queue on
/// its own link or processor.

#include "vcFleetState.h"

namespace verbenacroft {

namespace {

/// Bandwidth of a narrow link, in bytes per second. All starts and two reports
/// from each worker every 3 s fill less than three quarters of it in either
/// direction.
constexpr double kNarrowLink = 130'000;
/// Bandwidth of a link that is narrow no longer, in bytes per second.
constexpr double kWideLink = 10 * kNarrowLink;
/// Time of a slow event loop for one reply, in ms.
constexpr double kSlowReplyMs = 3.6;
/// Time that the store takes for a call. Ends are listed again and again until
/// they are recorded.
constexpr Duration kStoreDelay{ 70 };
/// Time of jobs.
constexpr Duration kBusyTime{ 25'000 };

} // namespace

void Fleet::ScheduleChokedOwner()
{
  this->mCalmAt = kStart + kQuietStart + kBusyTime;
  this->At(
    kStart, "store far away", [this] { this->mStore.mDelay = kStoreDelay; });
  const auto& rows = EnumTable<CallLimit>::kRows;
  const int drawn = this->Draw(0, static_cast<int>(rows.size()) - 1);
  this->ScheduleCallLimit(rows[static_cast<std::size_t>(drawn)].mValue);
  if (this->Toss(50)) {
    const TimePoint at =
      kStart + kQuietStart + Duration(this->Draw(8'000, 16'000));
    this->ScheduleOwnerLoss(
      OwnerLoss::kKilled, at, at + Duration(this->Draw(2'500, 4'000)));
  }
  this->ScheduleCheckOfCalm();
}

void Fleet::ScheduleCallLimit(CallLimit aLimit)
{
  const std::string what(NameOf(aLimit));
  const double factor = this->mOptions.mLinkFactor;
  if (aLimit == CallLimit::kProcessor) {
    this->At(
      kStart, what, [=, this] { this->LimitCalls(0, kSlowReplyMs / factor); });
    return;
  }
  if (aLimit == CallLimit::kLink) {
    this->At(
      kStart, what, [=, this] { this->LimitCalls(factor * kNarrowLink, 0); });
    return;
  }
  const TimePoint at =
    kStart + kQuietStart + Duration(this->Draw(3'000, 8'000));
  const TimePoint end = at + Duration(this->Draw(9'000, 14'000));
  this->At(kStart, "links wide", [=, this] { this->LimitCalls(kWideLink, 0); });
  this->At(at, what, [=, this] { this->LimitCalls(factor * kNarrowLink, 0); });
  this->At(end, "over: " + what, [=, this] { this->LimitCalls(kWideLink, 0); });
}

void Fleet::LimitCalls(double aBytesPerSecond, double aReplyMs)
{
  for (const auto& [node, size] : this->mSizes) {
    NodeLink& link = this->mWorkers.mLinks[node];
    link.mBytesPerSecond = aBytesPerSecond;
    link.mReplyMs = aReplyMs;
  }
}

} // namespace verbenacroft
