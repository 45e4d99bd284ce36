/// A worker that restarts under its id while calls for its earlier incarnation
/// are under way: when the owner uses it again, and how long runs of such calls
/// are taken to last.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

/// The new incarnation's clock begins anew.
constexpr std::int64_t kNewClock = 400;
constexpr std::int64_t kReborn = kBorn + 1;
/// A lease may last for longer than a next owner awaits.
constexpr Duration kMaxLease{ 10'000 };
constexpr Duration kLimit{ 8'500 };

/// A worker whose owner has just proved its ownership.
struct Restart : DispatchFixture
{
  Restart()
    : DispatchFixture({ "w1", "w2" })
  {
    this->mShard.mBounds.mMaxLease = kMaxLease;
    this->ProveOwnership();
  }

  void ProveOwnership() { this->mShard.mLeasesEndBy = this->mNow + kLimit; }

  /// A task is started on `w1`, which doesn't answer the order.
  StartOrder StartInVain()
  {
    this->Silence("w2");
    this->Add(1);
    const auto starts = this->Plan().mStarts;
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].mWorker == "w1");
    OnStartReply(this->mShard, "w1", starts[0].mOrder, {}, this->mNow);
    return starts[0].mOrder;
  }

  /// The new incarnation reports.
  void ReportReborn(std::vector<RunningTask> aRunning = {})
  {
    this->Report("w1", std::move(aRunning), {}, kReborn);
    this->Worker().mClock = kNewClock + this->mNow.count();
  }

  RenewOrder Renew()
  {
    return MakeRenewal(
      this->mShard, this->Worker(), Duration(1'000), this->mNow);
  }
};

} // namespace

// Guards against two runs at once (TWICE): a call for the earlier incarnation
// grants a lease that outlasts what the owner counts.
TEST_CASE("a restarted worker is used once earlier calls are fenced off",
          "[incarnation-fence]")
{
  Restart shard;
  const std::uint64_t before = FencingTokenOf(shard.mShard, shard.Worker());
  shard.mNow += Duration(1'000);
  shard.ProveOwnership();
  shard.ReportReborn();
  CHECK(IsHeldBack(shard.mShard, shard.Worker()));
  CHECK(MustBeInactive(shard.mShard, shard.Worker(), shard.mNow));

  // No write of the owner has given a new token yet.
  const RenewOrder early = shard.Renew();
  CHECK(early.mEpoch == before);
  CHECK(early.mLeaseUntil == 0);
  CHECK(early.mAckIndex == 0);
  shard.ReportReborn();
  CHECK(IsFencePending(shard.Worker()));

  NoteOwnWrite(shard.mShard, before + 5);
  const RenewOrder fence = shard.Renew();
  CHECK(fence.mEpoch == before + 5);
  CHECK(fence.mLeaseUntil == 0);
  CHECK(fence.mAckIndex == 0);
  shard.ReportReborn();
  CHECK_FALSE(IsFencePending(shard.Worker()));
  // A lease of an earlier call still outlasts what a next owner awaits.
  CHECK(IsHeldBack(shard.mShard, shard.Worker()));
  const Duration atLeast = LongestLease(shard.mShard.mBounds);
  CHECK(RunsEndAt(shard.mShard, shard.Worker(), shard.mNow) >=
        shard.mNow + atLeast);

  shard.mNow += atLeast - kLimit;
  shard.ProveOwnership();
  CHECK_FALSE(IsHeldBack(shard.mShard, shard.Worker()));
  CHECK(shard.Renew().mEpoch == before + 5);
}

// Guards against an owner that takes a worker's refusal of its own earlier
// token for the sign of a next owner, and stops.
TEST_CASE("a refused order of before the fence doesn't end the ownership",
          "[incarnation-fence]")
{
  struct Row
  {
    const char* mName;
    bool mIsEarlier;
    bool mIsFenced;
  };
  const auto row = GENERATE(values<Row>({
    { "the earlier token", true, false },
    { "the present token", false, true },
  }));
  CAPTURE(row.mName);
  Restart shard;
  StartOrder order = shard.StartInVain();
  shard.ReportReborn();
  shard.FenceOff("w1", kReborn);
  if (!row.mIsEarlier) {
    order.mEpoch = FencingTokenOf(shard.mShard, shard.Worker());
  }
  const OrderReply refused{ OrderOutcome::kStaleEpoch, kNewClock };
  OnStartReply(shard.mShard, "w1", order, refused, shard.mNow);
  CHECK(shard.mShard.mIsFenced == row.mIsFenced);
}

// Guards against a task that starts elsewhere while its first start may still
// take effect in the next incarnation of its worker.
TEST_CASE("an unanswered start is settled by the fence", "[incarnation-fence]")
{
  struct Row
  {
    const char* mName;
    /// What follows once the new incarnation has reported without the run.
    void (*mPlay)(Restart&, const StartOrder&);
    RunPhase mPhase;
  };
  const auto stop = [](Restart& aShard, const StartOrder& aOrder) {
    const OrderReply done{ OrderOutcome::kDone, kNewClock };
    const StopOrder order{ aOrder.mTask, aOrder.mRun, aOrder.mEpoch };
    OnStopReply(aShard.mShard, "w1", order, done, aShard.mNow);
    aShard.mNow += Duration(100);
    aShard.ReportReborn();
  };
  const auto row = GENERATE_COPY(values<Row>({
    { "it is past its deadline on the new clock",
      [](Restart& aShard, const StartOrder&) {
        aShard.mNow += Duration(2'000);
        aShard.ReportReborn();
      },
      RunPhase::kStopping },
    { "a stop was answered, maybe by the earlier incarnation",
      stop,
      RunPhase::kStopping },
    { "fenced off without the run",
      [](Restart& aShard, const StartOrder&) {
        aShard.FenceOff("w1", kReborn);
      },
      RunPhase::kWaiting },
    { "fenced off in yet another incarnation",
      [](Restart& aShard, const StartOrder&) {
        aShard.FenceOff("w1", kReborn + 1);
      },
      RunPhase::kWaiting },
  }));
  CAPTURE(row.mName);
  Restart shard;
  const StartOrder order = shard.StartInVain();
  shard.mNow += Duration(600);
  shard.ReportReborn();
  REQUIRE(shard.Task().mPhase == RunPhase::kStopping);
  row.mPlay(shard, order);
  CHECK(shard.Task().mPhase == row.mPhase);
}

// Guards against a wait for one more answer after each restart: a silent worker
// is asked with a new token, so the first answer of the next incarnation is the
// fence.
TEST_CASE("the first answer of a worker that was silent fences off earlier "
          "calls",
          "[incarnation-fence]")
{
  Restart shard;
  shard.Renew();
  NoteOwnWrite(shard.mShard, FencingTokenOf(shard.mShard, shard.Worker()) + 1);
  const bool wasSilent = GENERATE(true, false);
  if (wasSilent) {
    shard.Silence("w1");
    shard.Renew();
  }
  shard.ReportReborn();
  CHECK(IsFencePending(shard.Worker()) != wasSilent);
}

// Guards against a worker that waits for a token for ever, since nothing else
// has to be written.
TEST_CASE("a worker that waits for a token needs a write",
          "[incarnation-fence]")
{
  Restart shard;
  shard.Renew();
  CHECK_FALSE(NeedsToken(shard.mShard));
  shard.ReportReborn();
  CHECK(NeedsToken(shard.mShard));
  NoteOwnWrite(shard.mShard, FencingTokenOf(shard.mShard, shard.Worker()) + 1);
  CHECK_FALSE(NeedsToken(shard.mShard));
}

TEST_CASE("a run that the new incarnation lists goes on", "[incarnation-fence]")
{
  Restart shard;
  const StartOrder order = shard.StartInVain();
  shard.ReportReborn({ MakeRunning(order.mRun) });
  CHECK(shard.Task().mPhase == RunPhase::kRunning);
  shard.FenceOff("w1", kReborn, { MakeRunning(order.mRun) });
  CHECK(shard.Task().mPhase == RunPhase::kRunning);
  CHECK(shard.Plan().mStops.empty());
}

// Guards against a start that counts as confirmed although its answer came from
// an incarnation that the owner doesn't know yet.
TEST_CASE("an answer with an earlier clock confirms no start",
          "[incarnation-fence]")
{
  struct Row
  {
    std::int64_t mClock;
    RunPhase mPhase;
  };
  const auto row = GENERATE(values<Row>({
    { kClock + 10, RunPhase::kRunning },
    { kNewClock, RunPhase::kStarting },
  }));
  Restart shard;
  shard.Add(1);
  const auto starts = shard.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  const OrderReply done{ OrderOutcome::kDone, row.mClock };
  OnStartReply(
    shard.mShard, starts[0].mWorker, starts[0].mOrder, done, shard.mNow);
  CHECK(shard.Task().mPhase == row.mPhase);
  // Nothing else is started there until the new incarnation has reported.
  const auto& worker = shard.mShard.mWorkers.at(starts[0].mWorker);
  CHECK(IsHeldBack(shard.mShard, worker) == (row.mPhase != RunPhase::kRunning));
}

// Guards against a lost owner's tasks that start elsewhere while a call to the
// earlier incarnation lets them run on.
TEST_CASE("a takeover counts the longest lease of a worker that has restarted",
          "[incarnation-fence]")
{
  struct Row
  {
    const char* mName;
    std::int64_t mKnown;
    std::int64_t mListed;
    bool mIsLonger;
  };
  const auto row = GENERATE(values<Row>({
    { "the incarnation that was known", kBorn, kBorn, false },
    { "a later one", kBorn, kReborn, true },
    { "none was known", 0, kReborn, false },
    { "an entry that isn't of now", kReborn, kBorn, false },
  }));
  CAPTURE(row.mName);
  DispatchShard shard;
  shard.mEpoch = 10;
  shard.mBounds.mMaxLease = kMaxLease;
  AddActiveWorker(shard, "w1", { true, kLimit }, TimePoint(0));
  shard.mWorkers.at("w1").mIncarnation = row.mKnown;
  shard.mWorkers.at("w1").mEntry.mWorker = "w1";
  WorkerEntry entry = MakeEntry("w1");
  entry.mIncarnation = row.mListed;
  const TimePoint now(200);
  OnDiscovery(shard, { entry }, now);
  const TimePoint endAt = RunsEndAt(shard, shard.mWorkers.at("w1"), now);
  CHECK((endAt >= now + LongestLease(shard.mBounds)) == row.mIsLonger);
  CHECK((LastHeldRevisionOfLongRunning(shard, TimePoint(0) + kLimit) != 0) ==
        row.mIsLonger);
}

// Guards against the same for an owner that is alive: it is cut off from the
// new incarnation before that has answered it.
TEST_CASE("a start that wasn't answered is awaited in a listed incarnation",
          "[incarnation-fence]")
{
  struct Row
  {
    const char* mName;
    std::int64_t mListed;
    bool mIsConfirmed;
    bool mIsHeld;
  };
  const auto row = GENERATE(values<Row>({
    { "the same incarnation", kBorn, false, false },
    { "a later one", kReborn, false, true },
    { "a later one, after the run was confirmed", kReborn, true, false },
  }));
  CAPTURE(row.mName);
  Restart shard;
  const StartOrder order = shard.StartInVain();
  if (row.mIsConfirmed) {
    shard.Report("w1", { MakeRunning(order.mRun) }, {});
  }
  shard.Silence("w1");
  WorkerEntry entry = MakeEntry("w1");
  entry.mIncarnation = row.mListed;
  OnDiscovery(shard.mShard, { entry }, shard.mNow);
  const auto isWaitingAfter = [&](Duration aTime) {
    shard.mNow = TimePoint(0) + aTime;
    ReapWorkers(shard.mShard, shard.mNow);
    return shard.Task().mPhase == RunPhase::kWaiting;
  };
  const Duration usual = kUnheardEndsWait + Duration(2'000);
  CHECK(isWaitingAfter(usual) == !row.mIsHeld);
  CHECK(isWaitingAfter(kLateCallTime + LongestLease(shard.mShard.mBounds) +
                       kUnheardEndsWait));
}

} // namespace verbenacroft
