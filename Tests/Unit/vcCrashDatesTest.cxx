/// When a worker has crashed, and which runs may have caused it, as the report
/// of its next incarnation shows.

#include "vcCrashedFleet.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

/// How the next incarnation lists the run.
enum class Listing
{
  kNone,
  kRunning,
  kEnded,
};

/// Where the clock of the next incarnation begins.
enum class ClockStart
{
  kZero,
  /// It is 2% slow.
  kZeroSlow,
  kElsewhere,
};

/// The only start on a worker that last reported at 0, its crash, and what is
/// counted. Times are in ms.
struct CrashCase
{
  const char* mWhat = "";
  int mOrderedAt = 0;
  OrderOutcome mReply = OrderOutcome::kUnknown;
  int mReplyAt = 0;
  /// Start of the next incarnation, and its first report.
  int mBornAt = 0;
  int mReportAt = 0;
  Listing mListing = Listing::kNone;
  ClockStart mClockStart = ClockStart::kZero;
  std::uint32_t mCrashes = 0;
  std::uint32_t mUnconfirmed = 0;
};

using enum OrderOutcome;
using enum Listing;
using enum ClockStart;

const std::vector<CrashCase> kCases = {
  // Carried out by the next incarnation.
  { "runs", 189, kUnknown, 989, 600, 1'478, kRunning, kZero, 0, 0 },
  { "runs, odd", 189, kBroken, 600, 600, 1'478, kRunning, kElsewhere, 0, 0 },
  { "ended", 189, kUnknown, 989, 600, 1'478, kEnded, kZero, 0, 0 },
  // Ordered after the start of the next incarnation.
  { "late, broken", 687, kBroken, 700, 600, 730, kNone, kZero, 0, 0 },
  { "late, silent", 687, kUnknown, 1'400, 600, 730, kNone, kZero, 0, 0 },
  // Ordered while the worker was down, or deadly: that can't be told.
  { "down, broken", 80, kBroken, 605, 600, 1'385, kNone, kZero, 0, 1 },
  { "down, early", 80, kBroken, 400, 600, 1'385, kNone, kZero, 0, 1 },
  { "down, silent", 80, kUnknown, 880, 600, 1'385, kNone, kZero, 0, 1 },
  { "deadly, silent", 100, kUnknown, 900, 3'100, 3'200, kNone, kZero, 0, 1 },
  // Deadly.
  { "deadly", 100, kDone, 102, 3'100, 3'200, kNone, kZero, 1, 0 },
  { "deadly, fast", 100, kDone, 102, 150, 250, kNone, kZero, 1, 0 },
  { "deadly, slow", 100, kDone, 102, 150, 10'150, kNone, kZeroSlow, 1, 0 },
  { "deadly, broken", 100, kBroken, 110, 3'100, 3'200, kNone, kZero, 1, 0 },
  { "odd, broken", 100, kBroken, 110, 3'100, 3'200, kNone, kElsewhere, 1, 0 },
  { "odd, answered", 100, kDone, 102, 150, 250, kNone, kElsewhere, 1, 0 },
};

std::int64_t ClockOf(const CrashCase& aCase)
{
  constexpr double kSlowRate = 0.98;
  const int age = aCase.mReportAt - aCase.mBornAt;
  switch (aCase.mClockStart) {
    case kZero:
      return age;
    case kZeroSlow:
      return static_cast<std::int64_t>(age * kSlowRate);
    case kElsewhere:
      return kClock + age;
  }
  return 0;
}

} // namespace

// Guards against jobs that end as failed because of crashes that came before
// their starts, and against deadly tasks that aren't counted.
TEST_CASE("a crash counts against starts that may have caused it", "[crash]")
{
  const CrashCase play = GENERATE(from_range(kCases));
  CAPTURE(play.mWhat);
  CrashedFleet fleet(1);
  fleet.Add(1);
  fleet.mNow = Duration(play.mOrderedAt);
  const auto starts = fleet.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  const StartOrder& order = starts[0].mOrder;
  if (play.mReplyAt <= play.mReportAt) {
    fleet.mNow = Duration(play.mReplyAt);
    const OrderReply reply{ play.mReply, kClock + play.mReplyAt };
    OnStartReply(fleet.mShard, "w1", order, reply, fleet.mNow);
  }
  fleet.mNow = Duration(play.mReportAt);
  WorkerReport report;
  report.mOutcome = kDone;
  report.mClock = ClockOf(play);
  report.mIncarnation = kNextBorn;
  if (play.mListing == kRunning) {
    report.mRunning.push_back(MakeRunning(order.mRun));
  } else if (play.mListing == kEnded) {
    report.mEnded.push_back(MakeEnd(1, order.mRun, RunEnd::kFailed));
  }
  fleet.Apply("w1", report);
  const CrashHistory& history = fleet.Task().mCrashHistory;
  CHECK(history.mCrashes == play.mCrashes);
  CHECK(history.mUnconfirmed == play.mUnconfirmed);
}

// Guards against jobs that end as failed because their workers crashed at once
// and were noticed one after the other.
TEST_CASE("workers that crash at once and are noticed apart crash together",
          "[crash]")
{
  constexpr int kWorkers = 60;
  constexpr int kCrashed = 20;
  constexpr Duration kCrashAt{ 5'000 };
  constexpr Duration kBornAt{ 5'600 };
  constexpr Duration kFirstNoticed{ 5'800 };
  constexpr Duration kNoticedEach{ 45 };
  CrashedFleet fleet(kWorkers);
  fleet.Add(4 * kWorkers);
  fleet.Start(OrderOutcome::kDone);
  // The last reports before the crash are up to a second old.
  for (int i = 0; i < kWorkers; ++i) {
    fleet.mNow = kCrashAt - Duration(1'000) + Duration(50 * (i % kCrashed));
    fleet.ReportAtWork(fleet.mNames[i]);
  }
  for (int i = 0; i < kCrashed; ++i) {
    fleet.mNow = kFirstNoticed + i * kNoticedEach;
    for (int other = kCrashed; other < kWorkers; ++other) {
      fleet.ReportAtWork(fleet.mNames[other]);
    }
    fleet.ReportReborn(fleet.mNames[i], kBornAt);
  }
  CHECK(fleet.mShard.mSuspects.empty());
}

// Guards against a deadly task that is started again and again because other
// workers crash at the same time, or are silent.
TEST_CASE("a run that began just before the crash counts in a crowd", "[crash]")
{
  constexpr int kWorkers = 10;
  constexpr Duration kNoticedAfter{ 2'000 };
  CrashedFleet fleet(kWorkers);
  fleet.Add(1);
  fleet.mNow += Duration(100);
  fleet.Start(OrderOutcome::kDone);
  const std::string crashed = fleet.Task().mWorker;
  fleet.mNow += kNoticedAfter;
  for (int i = 0; i < kWorkers / 2; ++i) {
    fleet.Silence(fleet.mNames[i]);
  }
  fleet.Silence(crashed);
  WorkerReport other;
  other.mOutcome = OrderOutcome::kOtherIncarnation;
  fleet.Apply(crashed, other);
  CHECK(fleet.Crashes(0) == 1);
}

// Guards against a named culprit that isn't given up because other workers had
// crashed some time before.
TEST_CASE("crashes some seconds apart don't have one cause", "[crash]")
{
  constexpr int kWorkers = 10;
  constexpr int kCrashes = 5;
  constexpr Duration kApart{ 2'000 };
  CrashedFleet fleet(kWorkers);
  fleet.Add(4 * kWorkers);
  fleet.Start(OrderOutcome::kDone);
  for (int i = 0; i < kCrashes; ++i) {
    fleet.mNow += kApart;
    for (int other = i; other < kWorkers; ++other) {
      fleet.ReportAtWork(fleet.mNames[other]);
    }
    fleet.mNow += kApart;
    for (int other = i + 1; other < kWorkers; ++other) {
      fleet.ReportAtWork(fleet.mNames[other]);
    }
    for (int before = 0; before < i; ++before) {
      fleet.ReportReborn(fleet.mNames[before], fleet.mNow);
    }
    const auto tasks = fleet.mShard.mWorkers.at(fleet.mNames[i]).mTasks;
    REQUIRE_FALSE(tasks.empty());
    fleet.ReportReborn(fleet.mNames[i], fleet.mNow - Duration(100));
    for (const auto& key : tasks) {
      CHECK(fleet.Crashes(key.mIndex) == 1);
    }
  }
}

// Guards against a deadly task whose crash isn't counted, since the next
// incarnation has carried out an earlier start of the task, late.
TEST_CASE("only a run that the next incarnation lists began after the crash",
          "[crash]")
{
  struct Row
  {
    const char* mName;
    std::uint32_t mListedRun;
    std::uint32_t mCrashes;
  };
  const auto row = GENERATE(values<Row>({
    { "an earlier run of the task", 1, 1 },
    { "the run that was lost", 2, 0 },
  }));
  CAPTURE(row.mName);
  CrashedFleet fleet(1);
  fleet.Add(1);
  fleet.Start(OrderOutcome::kUnknown);
  fleet.mNow += kLateCallTime;
  fleet.Report("w1", {}, {});
  fleet.Start(OrderOutcome::kDone);
  REQUIRE(fleet.Task().mRun == 2);
  fleet.mNow += Duration(200);
  const EndedRun late = MakeEnd(1, row.mListedRun, RunEnd::kStopped);
  fleet.Report("w1", {}, { late }, kNextBorn);
  CHECK(fleet.Crashes(0) == row.mCrashes);
}

} // namespace verbenacroft
