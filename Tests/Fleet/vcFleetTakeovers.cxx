/// The plays of successive takeovers, in which workers are gone for good and
/// owners lose the shard before they have settled, of a long partition, and of
/// an owner and workers that are lost at the same moment, and of owners that
/// are lost in series after that.

#include "vcFleetState.h"

namespace verbenacroft {

namespace {

constexpr int kOwnerLosses = 3;
/// Another node owns the shard after this time: the lease of a node that says
/// nothing ends after 1.5 s, and a node that has lost its lease needs a new
/// one.
constexpr Duration kTakenOver{ 2'500 };
/// The same if the owner's lease is revoked at once.
constexpr Duration kTakenOverAtOnce{ 1'000 };
/// Calm has returned when nothing has been disturbed for this time.
constexpr Duration kCalmReturns{ 3'000 };
/// Long-running tasks that lost their worker run again this soon after that.
constexpr Duration kRunAgainInCalm{ 7'000 };
/// After a loss the nodes have 4 s to catch up and 4 s of calm. A task that
/// could run from then on doesn't wait for 3 s.
constexpr Duration kRunAgainAfterLoss{ 11'000 };
/// An owner waits for lost workers for this time from its claim, past which no
/// owner before it has granted a lease, less what owners before it have waited.
constexpr Duration kLongestWait{ 8'500 };
/// This much of an owner's wait doesn't count for the next one: the record may
/// say 1 s too much, is checked every second, and the shard is loaded first.
constexpr Duration kUncountedWait{ 2'250 };
/// From the end of the wait until the tasks have started.
constexpr Duration kStartsWithin{ 500 };
/// Owners that are lost in series with the workers.
constexpr int kFewestInSeries = 2;
constexpr int kMostInSeries = 4;
/// Time from one of these losses to the next.
constexpr int kNextLossMinMs = 2'000;
constexpr int kNextLossMaxMs = 6'000;
/// No owner has settled within this time of the first loss: the next one claims
/// the shard up to 1.5 s later and waits for 8.5 s.
constexpr Duration kUnsettled{ 9'000 };
/// Until the owner that was lost is back.
constexpr int kOwnerBackMinMs = 2'000;
constexpr int kOwnerBackMaxMs = 6'000;

/// When a next owner can be at work.
TimePoint TakenOverAt(OwnerLoss aLoss, TimePoint aAt, TimePoint aEnd)
{
  switch (aLoss) {
    case OwnerLoss::kKilled:
    case OwnerLoss::kPaused:
      return aAt + kTakenOver;
    case OwnerLoss::kTurnedAway:
    case OwnerLoss::kLeaves:
      return aAt + kTakenOverAtOnce;
    case OwnerLoss::kStoreDown:
      return aEnd + kTakenOver;
  }
  return aEnd;
}

} // namespace

void Fleet::ScheduleTakeovers()
{
  const TimePoint goneAt =
    kStart + kQuietStart + Duration(this->Draw(6'000, 9'000));
  this->ScheduleGoneWorkers(goneAt);
  const bool isLongBefore = this->Toss(50);
  TimePoint at = goneAt + Duration(isLongBefore ? this->Draw(5'000, 8'000)
                                                : this->Draw(2'500, 5'000));
  for (int i = 0; i < kOwnerLosses; ++i) {
    const OwnerLoss loss = this->DrawOwnerLoss();
    // Longer than the lease, so that the shard is lost, and short, so that calm
    // returns while the next owner still waits for lost workers.
    const TimePoint end = at + Duration(this->Draw(2'500, 4'000));
    this->ScheduleOwnerLoss(loss, at, end);
    this->mCalmAt = std::max(this->mCalmAt, end);
    const Duration distance(this->Draw(1'000, 10'000));
    at = std::max(at + distance, TakenOverAt(loss, at, end));
  }
  this->ScheduleCheckOfCalm();
}

void Fleet::ScheduleGoneWorkers(TimePoint aAt)
{
  constexpr int kMostGone = 3;
  for (const auto& name : this->DrawWorkers(kMostGone)) {
    this->At(aAt, name + " is gone", [=, this] { this->LoseWorker(name); });
    this->At(aAt + kEntryOutlives, name + " has no entry", [=, this] {
      this->RemoveEntry(name);
    });
  }
}

OwnerLoss Fleet::DrawOwnerLoss()
{
  const auto& rows = EnumTable<OwnerLoss>::kRows;
  const int drawn = this->Draw(0, static_cast<int>(rows.size()) - 1);
  return rows[static_cast<std::size_t>(drawn)].mValue;
}

void Fleet::ScheduleOwnerLoss(OwnerLoss aLoss, TimePoint aAt, TimePoint aEnd)
{
  const StoreMood mood =
    this->Toss(50) ? StoreMood::kSilent : StoreMood::kRefusing;
  const auto owner = std::make_shared<std::string>();
  const std::string what(NameOf(aLoss));
  this->At(aAt, what, [=, this] {
    *owner = this->DrawOwner();
    this->LoseOwner(aLoss, *owner, mood);
  });
  this->At(
    aEnd, "over: " + what, [=, this] { this->EndOwnerLoss(aLoss, *owner); });
}

void Fleet::LoseOwner(OwnerLoss aLoss,
                      const std::string& aOwner,
                      StoreMood aMood)
{
  switch (aLoss) {
    case OwnerLoss::kKilled:
      this->StopNode(aOwner);
      break;
    case OwnerLoss::kPaused:
      this->PauseNode(aOwner);
      break;
    case OwnerLoss::kTurnedAway:
      this->mStore.mMoodFor[aOwner] = aMood;
      ForgetLeaseOf(this->mStore, kNodePrefix + aOwner);
      break;
    case OwnerLoss::kStoreDown:
      this->mStore.mMood = aMood;
      ForgetLeases(this->mStore);
      break;
    case OwnerLoss::kLeaves:
      this->RetireNode(aOwner);
      break;
  }
}

void Fleet::EndOwnerLoss(OwnerLoss aLoss, const std::string& aOwner)
{
  switch (aLoss) {
    case OwnerLoss::kKilled:
    case OwnerLoss::kLeaves:
      this->StartNode(aOwner);
      break;
    case OwnerLoss::kPaused:
      this->ContinueNode(aOwner);
      break;
    case OwnerLoss::kTurnedAway:
      this->mStore.mMoodFor.erase(aOwner);
      break;
    case OwnerLoss::kStoreDown:
      this->mStore.mMood = StoreMood::kServing;
      break;
  }
}

void Fleet::SchedulePartition()
{
  const TimePoint at =
    kStart + kQuietStart + Duration(this->Draw(6'000, 9'000));
  const TimePoint end = at + Duration(this->Draw(20'000, 30'000));
  const auto workers =
    this->DrawWorkers(static_cast<int>(this->mOptions.mWorkers));
  const auto owner = std::make_shared<std::string>();
  this->At(at, "owner and some workers cut off", [=, this] {
    *owner = this->DrawOwner();
    this->CutOff(*owner, workers);
  });
  this->At(end, "partition over", [=, this] { this->Rejoin(*owner); });
  this->mCalmAt = end;
  this->ScheduleCheckOfCalm();
}

void Fleet::ScheduleLossOfOwnerAndWorkers()
{
  const TimePoint at =
    kStart + kQuietStart + Duration(this->Draw(6'000, 9'000));
  this->ScheduleGoneWorkers(at);
  this->At(at, "owner lost", [this] { this->StopNode(this->DrawOwner()); });
  this->mCalmAt = at;
  this->ScheduleCheckOfWork(at + kRunAgainAfterLoss);
}

OwnerLoss Fleet::DrawLossOfOneOwner()
{
  OwnerLoss loss = this->DrawOwnerLoss();
  while (loss == OwnerLoss::kStoreDown) {
    loss = this->DrawOwnerLoss();
  }
  return loss;
}

void Fleet::ScheduleOwnersLostInSeries()
{
  const TimePoint goneAt =
    kStart + kQuietStart + Duration(this->Draw(6'000, 9'000));
  this->ScheduleGoneWorkers(goneAt);
  this->mWorkersGoneAt = goneAt;
  const TimePoint first = goneAt + Duration(this->Draw(-1'000, 800));
  const int losses = this->Draw(kFewestInSeries, kMostInSeries);
  TimePoint last = first;
  TimePoint at = first;
  for (int i = 0; i < losses && at < first + kUnsettled; ++i) {
    const Duration back(this->Draw(kOwnerBackMinMs, kOwnerBackMaxMs));
    this->At(at, "an owner is lost", [this] { this->OnOwnerLostInSeries(); });
    this->ScheduleOwnerLoss(this->DrawLossOfOneOwner(), at, at + back);
    this->mCalmAt = std::max(this->mCalmAt, at + back);
    last = at;
    at += Duration(this->Draw(kNextLossMinMs, kNextLossMaxMs));
  }
  this->At(
    last, "last claim awaited", [this] { this->mIsClaimAwaited = true; });
  this->ScheduleCheckOfWork(last + kRunAgainAfterLoss);
}

void Fleet::OnOwnerLostInSeries()
{
  const bool isOwned = this->mStore.mItems.contains(OwnerKey(0));
  // One that has reached the workers needs longer to find them silent.
  const bool hasWaited = isOwned && this->mClaimedAt > this->mWorkersGoneAt;
  if (hasWaited) {
    const Duration counted = this->mNow - this->mClaimedAt - kUncountedWait;
    this->mWaited += std::max(counted, Duration(0));
  }
}

void Fleet::NoteClaim()
{
  const auto owner = this->mStore.mItems.find(OwnerKey(0));
  const std::uint64_t claim = owner == this->mStore.mItems.end()
                                ? this->mClaim
                                : owner->second.mCreateRevision;
  if (claim == this->mClaim) {
    return;
  }
  this->JudgeClaim();
  this->mClaim = claim;
  this->mClaimedAt = this->mNow;
  if (this->mIsClaimAwaited) {
    this->mIsClaimAwaited = false;
    this->ScheduleCheckAfterLastClaim();
  }
}

void Fleet::ScheduleCheckAfterLastClaim()
{
  const Duration wait = std::max(kLongestWait - this->mWaited, Duration(0));
  // Jobs that come later aren't lost with the workers.
  this->At(this->mNow + wait + kStartsWithin,
           "long-running tasks run again after the last claim",
           [this, jobs = this->mLasting] { this->CheckLasting(jobs); });
  this->SortChanges();
}

void Fleet::CutOff(const std::string& aNode,
                   const std::set<std::string>& aWorkers)
{
  // Nodes of a test never reach each other.
  this->mStore.mMoodFor[aNode] = StoreMood::kSilent;
  for (auto& [name, worker] : this->mWorkers.mWorkers) {
    if (!aWorkers.contains(name)) {
      worker.mCutFrom.insert(aNode);
      continue;
    }
    for (const auto& [node, size] : this->mSizes) {
      if (node != aNode) {
        worker.mCutFrom.insert(node);
      }
    }
  }
}

void Fleet::Rejoin(const std::string& aNode)
{
  this->mStore.mMoodFor.erase(aNode);
  for (auto& [name, worker] : this->mWorkers.mWorkers) {
    worker.mCutFrom.clear();
  }
}

void Fleet::ScheduleCheckOfCalm()
{
  this->ScheduleCheckOfWork(this->mCalmAt + kCalmReturns + kRunAgainInCalm);
}

void Fleet::ScheduleCheckOfWork(TimePoint aAt)
{
  this->At(aAt, "long-running tasks run again", [this] {
    this->CheckLasting(this->mLasting);
    this->CheckBegun();
  });
}

} // namespace verbenacroft
