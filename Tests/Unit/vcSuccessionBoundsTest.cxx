/// Limits of succession: late jobs that live by one run at a time, of which
/// none may have nothing running for longer than `kMaxIdleTime`, though others
/// keep their rooms.

#include "vcBoundsModel.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr Duration kPlayed{ 25'000 };
constexpr std::uint32_t kManyTasks = 200;

/// Equal watched jobs beside others that aren't watched.
struct BoundsCase
{
  const char* mName;
  std::uint32_t mWorkers;
  std::uint32_t mWatchedJobs;
  JobShape mWatched;
  std::uint32_t mOtherJobs;
  JobShape mOther;
  RunEnd mWatchedEnd = RunEnd::kDone;
};

JobShape Late(std::int64_t aMilliCpu, std::int32_t aPriority = 0)
{
  JobShape shape{ kManyTasks, kLateMs, aPriority };
  shape.mMilliCpu = aMilliCpu;
  return shape;
}

JobShape OrdinaryLate(std::int64_t aMilliCpu, std::int32_t aPriority = 0)
{
  JobShape shape = Late(aMilliCpu, aPriority);
  shape.mIsBestEffort = false;
  shape.mImage = "";
  return shape;
}

JobShape Disturbing(std::int64_t aMilliCpu)
{
  JobShape shape = Late(aMilliCpu);
  shape.mImage = kDisturbingImage;
  return shape;
}

JobShape Wide(JobShape aShape)
{
  aShape.mTasks = 20 * kManyTasks;
  return aShape;
}

JobShape Chain(JobShape aShape)
{
  aShape.mTasks = 1;
  aShape.mSteps = 100;
  aShape.mIsChain = true;
  return aShape;
}

/// A worker has room for ten best-effort tasks of one processor, or twelve of
/// others.
std::vector<BoundsCase> BoundsCases()
{
  const JobShape small = Chain(Late(1'000));
  const JobShape large = Chain(Late(5'000));
  const JobShape lessUrgent = Chain(Late(1'000, 1));
  const JobShape ordinary = Chain(OrdinaryLate(1'000));
  const JobShape largeOrdinary = Chain(OrdinaryLate(5'000));
  const JobShape disturbing = Chain(Disturbing(1'000));
  JobShape slow = small;
  slow.mRunTime = Duration(4'000);
  const RunEnd stop = RunEnd::kStopped;
  return {
    { "60 on room for 40", 4, 60, small, 0, {} },
    { "80 on room for 40", 4, 80, small, 0, {} },
    { "20 beside 40 slow ones on room for 40", 4, 20, small, 40, slow },
    { "large on room for all", 10, 12, large, 36, small },
    { "large on too little room", 10, 10, large, 100, small },
    { "large beside slow ones", 10, 2, large, 92, slow },
    { "ordinary on too little room", 4, 55, ordinary, 0, {} },
    { "large, ordinary", 10, 8, largeOrdinary, 90, ordinary },
    { "large, stopped", 10, 8, large, 60, small, stop },
    { "large, stopped, beside wide", 10, 8, large, 2, Wide(Late(1'000)), stop },
    { "less urgent beside wide", 4, 30, lessUrgent, 2, Wide(Late(1'000)) },
    { "beside less urgent", 3, 20, small, 20, lessUrgent },
    { "less urgent", 3, 20, lessUrgent, 20, small },
    { "few that need probes", 10, 6, disturbing, 50, small },
  };
}

/// Run times that differ by job, so that the jobs don't end together.
JobShape Varied(JobShape aShape, std::uint32_t aIndex)
{
  aShape.mRunTime = aShape.mRunTime * (5 + aIndex % 6) / 10;
  return aShape;
}

void CheckGaps(const BoundsCase& aRow)
{
  INFO(aRow.mName);
  BoundsModel model(aRow.mWorkers);
  model.mWatchedEnd = aRow.mWatchedEnd;
  model.mReportsIn = 5;
  model.mInterval = kRound / model.mReportsIn;
  for (std::uint32_t i = 0; i < aRow.mOtherJobs; ++i) {
    model.Add(fmt::format("{:016x}", 0xa000 + i), Varied(aRow.mOther, i));
  }
  model.Play({ 0 }, kRunTime);
  for (std::uint32_t i = 0; i < aRow.mWatchedJobs; ++i) {
    model.Watch(fmt::format("{:016x}", i), Varied(aRow.mWatched, i));
  }
  model.Play({ 0 }, kPlayed);
  CAPTURE(model.mLongestIdle.count(), model.mLongestGap.count());
  CHECK(model.mLongestIdle <= kMaxIdleTime);
}

} // namespace

// Guards against jobs that wait behind others that keep their rooms.
TEST_CASE("no late job waits for long beside kept rooms", "[succession]")
{
  CheckGaps(GENERATE(from_range(BoundsCases())));
}

// Guards against a task that follows a smaller one of the same image at full
// speed, where it is predicted to disturb: the smaller one has shown nothing of
// what this one adds.
TEST_CASE("a larger task isn't known not to disturb", "[succession]")
{
  BoundsModel model;
  model.mWatchedEnd = RunEnd::kDone;
  JobShape shape = Chain(Disturbing(1'000));
  shape.mSteps = 2;
  model.Watch(kWatchedJob, shape);
  auto& steps = model.mShard.mJobs.at(kWatchedJob).mRecord.mSpec.mSteps;
  const auto nextCpu = GENERATE(1'000, 8'000);
  CAPTURE(nextCpu);
  steps[1].mNeeds.mMilliCpu = nextCpu;
  const TaskId first{ kWatchedJob, 0, 0, 0 };
  model.Play({ 0 }, kRound);
  while (FindTask(model.mShard, first)->mWorker.empty()) {
    REQUIRE(model.mNow < kMaxIdleTime);
    model.Play({ 0 }, model.mNow + kRound);
  }
  // What began as a probe was found to run well at full speed.
  FindTask(model.mShard, first)->mIsProbe = false;
  FindTask(model.mShard, first)->mOrderedThrottlePercent = 100;
  model.Play({ 0 }, model.mNow + kRunTime + 2 * kRound);
  // The tasks of a step that is done aren't kept.
  REQUIRE(FindTask(model.mShard, first) == nullptr);
  const DispatchTask* next = FindTask(model.mShard, { kWatchedJob, 0, 1, 0 });
  const bool isAtFullSpeed =
    next != nullptr && !next->mWorker.empty() && !next->mIsProbe;
  CHECK(isAtFullSpeed == (nextCpu == 1'000));
}

} // namespace verbenacroft
