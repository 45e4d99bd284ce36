/// Late jobs that live by one run at a time: how long they have nothing running
/// between two runs while others want the room that a run leaves.

#include "vcBoundsModel.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr std::uint32_t kWorkers = 33;
/// Room for three or four of the runs.
constexpr std::int64_t kMilliCpu = 28'000;
constexpr std::uint32_t kNarrowJobs = 100;
constexpr std::uint32_t kWideJobs = 4;
constexpr Duration kPlayed{ 20'000 };

/// Jobs that together leave room for one run of each narrow job.
struct CrowdCase
{
  const char* mName;
  std::int64_t mWideObjectiveMs;
  /// Longest time between two runs of a narrow job.
  Duration mMaxGap;
  /// Greatest share of the time that such times may take.
  double mMaxGapShare;
};

/// A narrow job has many tasks of 0.5 to 1 s, of 4 to 10.5 processors each.
JobShape NarrowShape(std::uint32_t aIndex)
{
  JobShape shape{ 200, kLateMs };
  shape.mMilliCpu = 4'000 + 500 * (aIndex % 14);
  shape.mRunTime = Duration(500 + 100 * (aIndex % 6));
  return shape;
}

JobShape WideShape(std::int64_t aObjectiveMs)
{
  JobShape shape{ 3'000, aObjectiveMs };
  shape.mMilliCpu = 5'000;
  shape.mRunTime = Duration(800);
  return shape;
}

} // namespace

// Guards against jobs that lose the room of each run to others and have nothing
// running until their next turn, though one run of each job fits.
TEST_CASE("a late job keeps the room of its only run", "[succession]")
{
  // An end is reported within a round, and the next start ordered with it.
  constexpr Duration kShortGap = kRound;
  const auto row = GENERATE(values<CrowdCase>({
    { "beside wide late jobs", kLateMs, kShortGap, 0.1 },
    { "beside wide jobs on time", kLongObjectiveMs, kMaxIdleTime, 1 },
  }));
  CAPTURE(row.mName);
  BoundsModel model(kWorkers, kMilliCpu);
  model.mWatchedEnd = RunEnd::kDone;
  model.mReportsIn = 5;
  model.mInterval = kRound / model.mReportsIn;
  for (std::uint32_t i = 0; i < kWideJobs; ++i) {
    model.Add(fmt::format("{:016x}", 0xa000 + i),
              WideShape(row.mWideObjectiveMs));
  }
  model.Play({ 0 }, Duration(1'000));
  for (std::uint32_t i = 0; i < kNarrowJobs; ++i) {
    model.Watch(fmt::format("{:016x}", i), NarrowShape(i));
  }
  // Turns give each job its first run.
  model.Play({ 0 }, Duration(5'000));
  model.mLongestGap = Duration(0);
  model.mGapSum = Duration(0);
  model.Play({ 0 }, Duration(5'000) + kPlayed);
  const double share = static_cast<double>(model.mGapSum.count()) /
                       static_cast<double>(kPlayed.count() * kNarrowJobs);
  CAPTURE(model.mLongestGap.count(), share);
  CHECK(model.mLongestGap <= row.mMaxGap);
  CHECK(share <= row.mMaxGapShare);
}

// Guards against a late job that leaves room to less urgent queues while it has
// nothing running.
TEST_CASE("kept room is left to whom it is kept for", "[succession]")
{
  struct Row
  {
    const char* mName;
    bool mIsBestEffort;
    std::int32_t mPriority;
    std::uint32_t mActiveRuns;
    bool mIsKept;
  };
  const auto row = GENERATE(values<Row>({
    { "same queue, idle", true, 1, 0, true },
    { "same queue, further run", true, 1, 1, true },
    { "more urgent, idle", true, 0, 0, false },
    { "more urgent, further run", true, 0, 1, true },
    { "less urgent, idle", true, 2, 0, true },
    { "ordinary, same queue, idle", false, 1, 0, true },
    { "ordinary, more urgent, further run", false, 0, 1, false },
  }));
  CAPTURE(row.mName);
  DispatchJob left;
  left.mId = "00000000000000a1";
  left.mRecord.mTerms.mPriority = 1;
  StepSpec step;
  step.mIsFilling = row.mIsBestEffort;
  step.mNeeds.mMilliCpu = 1'000;
  DispatchJob other;
  other.mId = "00000000000000a2";
  other.mRecord.mTerms.mPriority = row.mPriority;
  other.mActiveRuns = row.mActiveRuns;
  const DispatchWorker worker;
  KeptRooms rooms;
  rooms.Keep(left, step, worker);
  const WorkerRoom kept = rooms.KeptFrom(other, worker);
  const std::int64_t milliCpu = kept.mBestEffortCpu + kept.mCounted.mMilliCpu;
  CHECK(milliCpu == (row.mIsKept ? 1'000 : 0));
  CHECK(rooms.KeptFrom(left, worker).mBestEffortCpu == 0);
}

} // namespace verbenacroft
