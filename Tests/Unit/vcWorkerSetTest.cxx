/// The worker set that the next owner of a shard reads: which workers it asks,
/// how long it waits for those that don't answer, and which jobs it holds back
/// meanwhile.

#include "vcFormerOwner.h"
#include "vcNode.h"
#include "vcWorkerSetRecords.h"

#include <catch2/catch.hpp>

#include <cmath>

namespace verbenacroft {

namespace {

constexpr std::int64_t kClock = 100'000;
constexpr std::uint64_t kEpoch = 50;

/// A shard with one worker that has answered and whose lease was renewed, as of
/// time 0.
struct OneWorker
{
  OneWorker()
  {
    this->mShard.mEpoch = kEpoch;
    WorkerEntry entry;
    entry.mWorker = "w1";
    entry.mAddress = "127.0.0.1:9000";
    OnDiscovery(this->mShard, { entry }, this->mNow);
    this->Worker().mIsRecorded = true;
    this->Answer();
    this->Renew();
  }

  void Answer()
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = kClock + this->mNow.count();
    report.mIncarnation = 1;
    OnReport(this->mShard, "w1", report, this->mNow, this->mNow, 0);
  }

  void Silence()
  {
    OnReport(this->mShard, "w1", WorkerReport{}, this->mNow, this->mNow, 0);
  }

  RenewOrder Renew()
  {
    return MakeRenewal(
      this->mShard, this->Worker(), Duration(1'000), this->mNow);
  }

  bool IsRecorded()
  {
    return MustBeRecorded(this->mShard, this->Worker(), this->mNow);
  }

  bool IsInactive()
  {
    return MustBeInactive(this->mShard, this->Worker(), this->mNow);
  }

  DispatchWorker& Worker() { return this->mShard.mWorkers.at("w1"); }

  TimePoint mNow{ 0 };
  DispatchShard mShard;
};

} // namespace

// Guards against a takeover that waits for a worker that was lost long before.
TEST_CASE("a silent worker leaves the worker set once its lease has ended",
          "[worker-set]")
{
  struct Row
  {
    const char* mName;
    Duration mSilentFor;
    bool mIsLeaseProved;
    bool mIsInactive;
    bool mIsRecorded;
  };
  const auto row = GENERATE(values<Row>({
    { "missed one report", Duration(500), true, false, true },
    { "silent", Duration(3'000), true, true, true },
    { "silent for the lease at a fast clock",
      Duration(6'050),
      true,
      true,
      true },
    { "silent for longer", Duration(6'200), true, true, false },
    { "the same, and another owner may renew it",
      Duration(6'200),
      false,
      true,
      true },
  }));
  CAPTURE(row.mName);
  OneWorker shard;
  shard.Silence();
  shard.mNow += row.mSilentFor;
  shard.mShard.mIsLeaseProved = row.mIsLeaseProved;
  CHECK(shard.IsInactive() == row.mIsInactive);
  CHECK(shard.IsRecorded() == row.mIsRecorded);
}

// Guards against two runs of a task after a takeover: it is done on a worker
// that is well, but the new owner doesn't hear of that.
TEST_CASE("a takeover awaits the answer of a worker that may be well",
          "[worker-set]")
{
  struct Row
  {
    const char* mName;
    bool mIsListed;
    Duration mAfterRunsEnd;
    bool mIsClear;
  };
  const auto row = GENERATE(values<Row>({
    { "gone, before its runs have ended", false, Duration(-1), false },
    { "gone, once its runs have ended", false, Duration(0), true },
    { "listed, once its runs have ended", true, Duration(0), false },
    { "listed, its answer was awaited", true, kUnheardEndsWait, true },
  }));
  CAPTURE(row.mName);
  constexpr Duration kRunsEndIn{ 3'000 };
  constexpr std::uint64_t kNoJobsAfter = 30;
  DispatchShard shard;
  shard.mEpoch = kEpoch;
  AddInactiveWorker(shard, "w1", kRunsEndIn, kNoJobsAfter, TimePoint(0));
  DispatchWorker& worker = shard.mWorkers.at("w1");
  worker.mEntry.mWorker = "w1";
  worker.mIsListed = row.mIsListed;
  const TimePoint now = TimePoint(0) + kRunsEndIn + row.mAfterRunsEnd;
  ForgetEndedRuns(shard, now);
  CHECK(IsBarrierClear(shard, now) == row.mIsClear);
  CHECK(LastHeldRevision(shard, now) == (row.mIsClear ? 0 : kNoJobsAfter));
  // Long-running tasks are never done, so only their runs count.
  const bool haveRunsEnded = row.mAfterRunsEnd >= Duration(0);
  CHECK(LastHeldRevisionOfLongRunning(shard, now) ==
        (haveRunsEnded ? 0 : kNoJobsAfter));
  // The next owner has to know of it as well.
  CHECK(MustBeRecorded(shard, worker, now + Duration(1)) != row.mIsClear);
}

// Guards against a run that outlasts the time that was recorded for the next
// owner, so that its task runs twice.
TEST_CASE("an inactive worker isn't renewed or used until it is active again",
          "[worker-set]")
{
  OneWorker shard;
  CHECK(shard.Renew().mLeaseUntil > 0);
  shard.Silence();
  shard.mNow += Duration(3'000);
  const TimePoint endAt = RunsEndAt(shard.mShard, shard.Worker(), shard.mNow);
  Deactivate(shard.mShard, shard.Worker(), 70);
  shard.Answer();
  CHECK(shard.Renew().mLeaseUntil == 0);
  CHECK(RunsEndAt(shard.mShard, shard.Worker(), shard.mNow) <= endAt);
  CHECK_FALSE(shard.IsInactive());
  CHECK(shard.IsRecorded());
  shard.Worker().mIsRecorded = true;
  shard.Worker().mIsInactive = false;
  CHECK(shard.Renew().mLeaseUntil > 0);
}

// Guards against an owner that renews workers when the next owner already
// counts their leases as ended.
TEST_CASE("an owner whose leases have to end by now renews no worker",
          "[worker-set]")
{
  OneWorker shard;
  shard.mShard.mLeasesEndBy = shard.mNow;
  const RenewOrder order = shard.Renew();
  CHECK(order.mLeaseUntil == 0);
  CHECK(order.mWait == Duration(1'000));
}

// Guards against a lease that outlasts the time on which the next owner counts:
// renewed late, renewed with an old reading of the worker's clock, or counted
// by a worker whose clock is slow.
TEST_CASE("no lease outlasts the owner's limit", "[worker-set]")
{
  const Duration maxLease =
    GENERATE(values({ Duration(6'000), Duration(10'000) }));
  const Duration since =
    GENERATE(values({ Duration(0), Duration(1'900), Duration(7'000) }));
  const Duration reportAge =
    GENERATE(values({ Duration(0), Duration(1'000), Duration(5'000) }));
  const double clockRate = GENERATE(values({ kMinClockRate, 0.99, 1.0 }));
  CAPTURE(maxLease, since, reportAge, clockRate);
  OneWorker shard;
  shard.mShard.mBounds.mMaxLease = maxLease;
  shard.mNow += since;
  shard.mShard.mLeasesEndBy = TimePoint(0) + shard.mShard.mBounds.mLeaseLimit;
  shard.Answer();
  const TimePoint readAt = shard.mNow;
  const std::int64_t clock = shard.Worker().mClock;
  shard.mNow += reportAge;
  const RenewOrder order = shard.Renew();
  const double endsIn =
    static_cast<double>(order.mLeaseUntil - clock) / clockRate;
  const bool isOver =
    readAt + Duration(static_cast<std::int64_t>(std::ceil(endsIn))) <=
    shard.mShard.mLeasesEndBy;
  const bool isShort =
    order.mLeaseUntil - EstimateClock(shard.Worker(), shard.mNow) <=
    maxLease.count();
  CHECK((order.mLeaseUntil == 0 || (isOver && isShort)));
}

// Guards against a start that a next owner counts as impossible.
TEST_CASE("no start takes effect after the owner's limit", "[worker-set]")
{
  asio::io_context io(1);
  NodeContext node(io, {});
  const TimePoint provedAt(100'000);
  node.mLease = LeaseId::Of(1);
  node.mIsLeaseInDoubt = false;
  node.mLeaseValidUntil = provedAt + LeaseTtlOf(node.mSettings);
  node.mStoreFailedAt = provedAt;
  node.mLastStoreReplyAt = provedAt;
  const TimePoint endBy =
    provedAt + DispatchBoundsOf(node.mSettings).mLeaseLimit;
  CHECK(LeasesEndBy(node) == endBy);
  const TimePoint last = endBy - kMaxStartDelay;
  CHECK_FALSE(WhyStartsForbidden(node, last - Duration(1)));
  CHECK(WhyStartsForbidden(node, last) == StartsForbiddenCause::kLeaseExpired);
}

// Guards against a takeover beside the loss of a worker that holds jobs back
// for longer than a long-running task may be away: 11 s after the loss, of
// which the claim takes 1.5 s and the start 0.5 s.
TEST_CASE("a takeover waits for a lost worker for 9 s at most", "[worker-set]")
{
  NodeSettings settings;
  settings.mBounds.mMaxLeaseMs =
    GENERATE(values({ Duration(6'000), Duration(10'000) }));
  const InactiveWorkersRecord first =
    NextInactiveWorkers({}, {}, DispatchBoundsOf(settings).mLeaseLimit);
  DispatchShard shard;
  shard.mEpoch = kEpoch;
  shard.mBounds = DispatchBoundsOf(settings);
  const EarlierOwners earlier{ false, Duration(first.mLeaseLimitMs) };
  AddActiveWorker(shard, "w1", earlier, TimePoint(0));
  CHECK(BarrierEndsAt(shard) <= TimePoint(9'000));
}

// Guards against a limit that is assumed of an owner that may not have kept to
// it.
TEST_CASE("a lease limit counts once all owners before have kept to it",
          "[worker-set]")
{
  struct Row
  {
    const char* mName;
    std::uint32_t mRecordedGeneration;
    std::int64_t mRecordedLimitMs;
    std::int64_t mNextLimitMs;
  };
  const auto row = GENERATE(values<Row>({
    { "the same limit", 4, 8'000, 8'000 },
    { "a longer one", 4, 12'000, 12'000 },
    { "a shorter one", 4, 5'000, 8'000 },
    { "the owner before knew no limit", 4, 0, 0 },
    { "the record is of an earlier claim", 3, 8'000, 0 },
  }));
  CAPTURE(row.mName);
  WorkerSetRecord earlier;
  earlier.mGeneration = 4;
  InactiveWorkersRecord recorded;
  recorded.mGeneration = row.mRecordedGeneration;
  recorded.mLeaseLimitMs = row.mRecordedLimitMs;
  const auto next = NextInactiveWorkers(recorded, earlier, Duration(8'000));
  CHECK(next.mLeaseLimitMs == row.mNextLimitMs);
}

// Guards against a wait that begins anew with every owner.
TEST_CASE("an owner waits only for what may still run", "[worker-set]")
{
  struct Row
  {
    const char* mName;
    void (*mAdd)(DispatchShard&);
    TimePoint mClearAt;
    std::uint64_t mHeldUpTo;
  };
  const auto row = GENERATE(values<Row>({
    { "no worker", [](DispatchShard&) {}, TimePoint(0), 0 },
    { "an active worker",
      [](DispatchShard& aShard) {
        AddActiveWorker(aShard, "w1", {}, TimePoint(0));
      },
      TimePoint(13'123),
      kEpoch },
    { "an active worker, and all owners kept to a limit",
      [](DispatchShard& aShard) {
        const EarlierOwners earlier{ false, Duration(8'000) };
        AddActiveWorker(aShard, "w1", earlier, TimePoint(0));
      },
      TimePoint(8'000),
      kEpoch },
    { "an active worker, and nobody else may act",
      [](DispatchShard& aShard) {
        const EarlierOwners earlier{ true, std::nullopt };
        AddActiveWorker(aShard, "w1", earlier, TimePoint(0));
      },
      TimePoint(6'123),
      kEpoch },
    { "the same with a limit",
      [](DispatchShard& aShard) {
        const EarlierOwners earlier{ true, Duration(8'000) };
        AddActiveWorker(aShard, "w1", earlier, TimePoint(0));
      },
      TimePoint(6'123),
      kEpoch },
    { "an inactive worker",
      [](DispatchShard& aShard) {
        AddInactiveWorker(aShard, "w1", Duration(4'000), 30, TimePoint(0));
      },
      TimePoint(4'000),
      30 },
    { "two inactive workers",
      [](DispatchShard& aShard) {
        AddInactiveWorker(aShard, "w1", Duration(4'000), 30, TimePoint(0));
        AddInactiveWorker(aShard, "w2", Duration(1'000), 40, TimePoint(0));
      },
      TimePoint(4'000),
      40 },
  }));
  CAPTURE(row.mName);
  DispatchShard shard;
  shard.mEpoch = kEpoch;
  row.mAdd(shard);
  CHECK(LastHeldRevision(shard, TimePoint(0)) == row.mHeldUpTo);
  CHECK(IsBarrierClear(shard, row.mClearAt));
  CHECK(LastHeldRevision(shard, row.mClearAt) == 0);
  CHECK(IsBarrierClear(shard, row.mClearAt - Duration(1)) ==
        shard.mUnansweredWorkers.empty());
  shard.mIsLeaseProved = false;
  CHECK(IsBarrierClear(shard, row.mClearAt) ==
        shard.mUnansweredWorkers.empty());
}

// Guards against a bound that is taken over from an owner that wasn't bound.
TEST_CASE("inactive workers are those of the claim before", "[worker-set]")
{
  struct Row
  {
    const char* mName;
    std::uint32_t mRecordedGeneration;
    std::size_t mTakenOver;
  };
  const auto row = GENERATE(values<Row>({
    { "recorded by the owner before", 4, 1 },
    { "recorded before an owner that doesn't know the record", 3, 0 },
    { "there was no record", 0, 0 },
  }));
  CAPTURE(row.mName);
  WorkerSetRecord earlier;
  earlier.mGeneration = 4;
  InactiveWorkersRecord recorded;
  recorded.mGeneration = row.mRecordedGeneration;
  recorded.mWorkers = { { "w1", 4'000, 30 } };
  const auto next = NextInactiveWorkers(recorded, earlier, Duration(8'000));
  const auto claimed = NextWorkerSet(earlier, "node-1");
  CHECK(next.mGeneration == claimed.mGeneration);
  CHECK(InactiveMembers(next, claimed).size() == row.mTakenOver);
}

// Guards against a takeover that waits for longer the more owners there were.
TEST_CASE("the wait for a lost worker shrinks from owner to owner",
          "[worker-set]")
{
  Duration endIn(0);
  for (int owner = 0; owner < 4; ++owner) {
    DispatchShard shard;
    shard.mEpoch = kEpoch;
    if (owner == 0) {
      AddActiveWorker(shard, "w1", {}, TimePoint(0));
    } else {
      AddInactiveWorker(shard, "w1", endIn, kEpoch, TimePoint(0));
    }
    DispatchWorker& worker = shard.mWorkers.at("w1");
    worker.mEntry.mWorker = "w1";
    worker.mSilentSince = TimePoint(0);
    const TimePoint replacedAt(3'000);
    CHECK(MustBeRecorded(shard, worker, replacedAt));
    CHECK(MustBeInactive(shard, worker, replacedAt));
    endIn = RunsEndAt(shard, worker, replacedAt) - replacedAt;
  }
  CHECK(endIn == Duration(13'123 - 4 * 3'000));
}

// Guards against a new owner that assumes the longest leases although the owner
// before it knows how long they last.
TEST_CASE("the former owner's answer shortens the wait", "[worker-set]")
{
  struct Row
  {
    const char* mName;
    FormerOwner mFormer;
    std::uint32_t mAnswerGeneration;
    std::uint32_t mGeneration;
    TimePoint mClearAt;
  };
  const TimePoint kWhole(13'123);
  const TimePoint kLease(1'000 + 6'123);
  const TimePoint kKnown(1'000 + 2'000);
  const auto row = GENERATE_COPY(values<Row>({
    { "it ran the shard before", { "node-2", 4, true }, 4, 5, kKnown },
    { "the same, and it hadn't accounted for owners before it",
      { "node-2", 4, false },
      4,
      5,
      kKnown },
    { "its process was restarted", { "node-2", 4, true }, 0, 5, kLease },
    { "the same, and owners before it may act",
      { "node-2", 4, false },
      0,
      5,
      kWhole },
    { "it ran the shard earlier only", { "node-2", 4, false }, 3, 5, kWhole },
    { "it was asked about an earlier claim",
      { "node-2", 3, true },
      3,
      5,
      kWhole },
  }));
  CAPTURE(row.mName);
  DispatchShard shard;
  shard.mEpoch = kEpoch;
  AddActiveWorker(shard, "w1", {}, TimePoint(0));
  const FormerOwnerAnswer answer{ "node-2",
                                  row.mAnswerGeneration,
                                  { { "w1", 2'000 }, { "w2", 0 } } };
  ApplyFormerOwnerAnswer(
    shard, row.mFormer, answer, row.mGeneration, TimePoint(1'000));
  CHECK(BarrierEndsAt(shard) == row.mClearAt);
}

// Guards against an owner that goes on after it was told of its successor, and
// against an answer that leaves out a lease.
TEST_CASE("an owner that stops remembers how long its leases last",
          "[worker-set]")
{
  UseManualTime(TimePoint(1'000));
  asio::io_context io(1);
  NodeContext node(io, {});
  node.mSettings.mName = "node-2";
  CHECK(AnswerNewOwner(node, 0, kEpoch).mGeneration == 0);
  OneWorker shard;
  RememberStoppedShard(node, 0, 4, shard.mShard, TimePoint(0));
  const FormerOwnerAnswer answer = AnswerNewOwner(node, 0, kEpoch);
  CHECK(answer.mNode == "node-2");
  CHECK(answer.mGeneration == 4);
  REQUIRE(answer.mWorkers.size() == 1);
  CHECK(answer.mWorkers[0].mWorker == "w1");
  CHECK(answer.mWorkers[0].mEndInMs == 6'123 - 1'000);
  UseManualTime(std::nullopt);
}

// Guards against runs that are given up while they last: the first answer of a
// worker doesn't end the leases of earlier owners, and isn't renewed yet.
TEST_CASE("adopted runs keep the leases of earlier owners", "[worker-set]")
{
  struct Row
  {
    const char* mName;
    Duration mRunsEndIn;
    TimePoint mOverAt;
  };
  // The worker answers after 1 s and is silent from then on.
  const auto row = GENERATE(values<Row>({
    { "a lease that was recorded", Duration(4'000), TimePoint(4'000) },
    { "one that can't last that long", Duration(13'000), TimePoint(7'123) },
  }));
  CAPTURE(row.mName);
  OneWorker shard;
  shard.Worker() = {};
  AddInactiveWorker(shard.mShard, "w1", row.mRunsEndIn, 30, shard.mNow);
  shard.Worker().mEntry.mWorker = "w1";
  shard.mNow += Duration(1'000);
  shard.Answer();
  CHECK(shard.Renew().mLeaseUntil == 0);
  shard.Silence();
  CHECK(RunsEndAt(shard.mShard, shard.Worker(), shard.mNow) == row.mOverAt);
  CHECK_FALSE(IsLeaseOver(shard.Worker(), row.mOverAt));
  CHECK(IsLeaseOver(shard.Worker(), row.mOverAt + Duration(1)));
}

// Guards against a record that changes with each check of a new worker.
TEST_CASE("a new worker stays recorded until it is silent for long",
          "[worker-set]")
{
  OneWorker shard;
  shard.Worker().mHasAnswered = false;
  shard.Worker().mClock = 0;
  shard.Worker().mSilentSince = shard.mNow;
  CHECK(shard.IsRecorded());
  shard.mNow += Duration(1'000);
  CHECK_FALSE(shard.IsRecorded());
}

} // namespace verbenacroft
