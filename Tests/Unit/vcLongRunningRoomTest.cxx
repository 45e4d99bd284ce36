/// Long-running tasks that find no room on workers that are full of others.

#include "vcBoundsModel.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

/// A long-running task that could run doesn't wait for longer.
constexpr Duration kLongestWait{ 3'000 };
constexpr const char* kLasting = "00000000000000b1";
constexpr std::int64_t kSmallMilliCpu = 1'000;

/// Terms of the tasks that fill the workers, and of a long-running step.
struct RoomCase
{
  const char* mName;
  bool mIsBestEffort;
  std::int32_t mPriority;
  std::int64_t mObjectiveMs;
};

/// Fills a worker but for some processors with small tasks that end one by one,
/// and adds enough of them to take each place that becomes free.
void Fill(BoundsModel& aModel, std::uint32_t aPlaces, const RoomCase& aCase)
{
  const JobShape none{ 0 };
  const JobShape one{
    1, aCase.mObjectiveMs, aCase.mPriority, aCase.mIsBestEffort, ""
  };
  for (std::uint32_t i = 0; i < aPlaces; ++i) {
    aModel.Add(fmt::format("{:016x}", 0xc0 + i), one);
    aModel.Play(none, aModel.mNow + kRound);
  }
  JobShape backlog = one;
  backlog.mTasks = 1'000;
  aModel.Add("00000000000000d1", backlog);
}

} // namespace

// Guards against a task of a long-running job that is never started again: it
// needs more room than one small task leaves, and since others of its job run,
// no room is kept for it.
TEST_CASE("a lost long-running task gets room though others of its job run",
          "[long-running]")
{
  const auto row = GENERATE(values<RoomCase>({
    { "beside on-time tasks", false, 0, kLongObjectiveMs },
    { "beside late tasks", false, 0, kLateMs },
    { "beside more urgent tasks", false, -1, kLongObjectiveMs },
  }));
  INFO(row.mName);
  constexpr std::uint32_t kPlaces = 10;
  constexpr std::int64_t kLargeMilliCpu = 5'000;
  BoundsModel model(1, kPlaces * kSmallMilliCpu + kLargeMilliCpu);
  Fill(model, kPlaces, row);
  JobShape lasting{ 2, -2 * kLongObjectiveMs, 0, false, "" };
  lasting.mIsLasting = true;
  lasting.mMilliCpu = kLargeMilliCpu;
  lasting.mRunTime = Duration(kLongObjectiveMs);
  model.Add(kLasting, lasting);
  const TimePoint since = model.mNow;
  const auto isAtWork = [&](std::uint32_t aIndex) {
    const DispatchTask* task =
      FindTask(model.mShard, { kLasting, 0, 0, aIndex });
    return task != nullptr && task->mPhase == RunPhase::kRunning;
  };
  model.Play({ 0 }, model.mNow + kRound);
  REQUIRE(isAtWork(0));
  REQUIRE_FALSE(isAtWork(1));
  while (!isAtWork(1) && model.mNow - since < kWatched) {
    model.Play({ 0 }, model.mNow + kRound);
  }
  CHECK(model.mNow - since <= kLongestWait);
}

// Guards against a reservation that is kept where no further task of the step
// can ever run, since the ones before have taken the room or the limit of the
// worker is reached, while the rest wait without a bound.
TEST_CASE("each of several lost long-running tasks gets room in turn",
          "[long-running]")
{
  struct Row
  {
    const char* mName;
    std::int64_t mLargeMilliCpu;
    std::uint32_t mMaxPerWorker;
  };
  const auto row = GENERATE(values<Row>({
    { "no second one fits on a worker", 6'000, 0 },
    { "one on each worker", 4'000, 1 },
  }));
  INFO(row.mName);
  constexpr std::uint32_t kWorkers = 4;
  constexpr std::uint32_t kPlaces = 10;
  constexpr std::uint32_t kTasks = 3;
  BoundsModel model(kWorkers, kPlaces * kSmallMilliCpu);
  JobShape small{ kWorkers, kLongObjectiveMs, 0, false, "" };
  for (std::uint32_t i = 0; i < kPlaces; ++i) {
    model.Add(fmt::format("{:016x}", 0xc0 + i), small);
    model.Play({ 0 }, model.mNow + kRound);
  }
  small.mTasks = 5'000;
  model.Add("00000000000000d1", small);
  JobShape lasting{ kTasks, -2 * kLongObjectiveMs, 0, false, "" };
  lasting.mIsLasting = true;
  lasting.mMilliCpu = row.mLargeMilliCpu;
  lasting.mMaxPerWorker = row.mMaxPerWorker;
  lasting.mRunTime = Duration(kLongObjectiveMs);
  model.Add(kLasting, lasting);
  const auto countAtWork = [&] {
    std::uint32_t atWork = 0;
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      const DispatchTask* task = FindTask(model.mShard, { kLasting, 0, 0, i });
      atWork += task->mPhase == RunPhase::kRunning ? 1 : 0;
    }
    return atWork;
  };
  // Each waits for as long as one does that waits alone, after those before.
  model.Play({ 0 }, model.mNow + kTasks * kLongestWait);
  CHECK(countAtWork() == kTasks);
}

// Guards against a long-running task that waits beside an empty worker, since
// tasks have failed there and no other has room.
TEST_CASE("a long-running task that has waited takes a worker in quarantine",
          "[long-running]")
{
  BoundsModel model(2);
  JobShape lasting{ 1, kLongObjectiveMs, 0, false, "" };
  lasting.mIsLasting = true;
  lasting.mMilliCpu = kWorkerMilliCpu;
  lasting.mRunTime = Duration(kLongObjectiveMs);
  model.Add("00000000000000c1", lasting);
  model.Play({ 0 }, model.mNow + kRound);
  for (auto& [name, worker] : model.mShard.mWorkers) {
    worker.mQuarantinedUntil = worker.mTasks.empty() ? kWatched : kNever;
  }
  const auto objective = GENERATE(kLongObjectiveMs, kLateMs);
  CAPTURE(objective);
  lasting.mObjectiveMs = objective;
  lasting.mMilliCpu = kSmallMilliCpu;
  model.Add(kLasting, lasting);
  model.Play({ 0 }, model.mNow + kLongestWait);
  CHECK(FindTask(model.mShard, { kLasting, 0, 0, 0 })->mPhase ==
        RunPhase::kRunning);
}

// Guards against a long-running task that is passed over beside room that only
// it may take, since a smaller task of another kind was refused there.
TEST_CASE("a long-running task takes room that is reserved from others",
          "[long-running]")
{
  constexpr std::uint32_t kPlaces = 7;
  BoundsModel model(1);
  JobShape one{ 1, kLongObjectiveMs, 0, false, "" };
  one.mRunTime = Duration(kLongObjectiveMs);
  for (std::uint32_t i = 0; i < kPlaces; ++i) {
    model.Add(fmt::format("{:016x}", 0xc0 + i), one);
  }
  JobShape large = one;
  large.mMilliCpu = 8 * kSmallMilliCpu;
  model.Add("00000000000000d1", large);
  model.Play({ 0 }, model.mNow + kLongestWait);
  REQUIRE(model.mShard.mWorkers.at("w00").mRoom.mFirstTask.mJob ==
          "00000000000000d1");
  model.Add("00000000000000d2", one);
  JobShape lasting{ 1, 2 * kLongObjectiveMs, 0, false, "" };
  lasting.mIsLasting = true;
  lasting.mMilliCpu = 4 * kSmallMilliCpu;
  lasting.mRunTime = Duration(kLongObjectiveMs);
  // Its turn comes after that of the smaller job.
  constexpr const char* kLast = "00000000000000e1";
  model.Add(kLast, lasting);
  model.Play({ 0 }, model.mNow + kLongestWait);
  CHECK(FindTask(model.mShard, { kLast, 0, 0, 0 })->mPhase ==
        RunPhase::kRunning);
}

// Guards against a reservation that lapses since a smaller step, whose turn
// comes first, finds no worker to reserve.
TEST_CASE("a long-running task keeps its reservation beside turns of others",
          "[long-running]")
{
  constexpr std::uint32_t kPlaces = 10;
  BoundsModel model(1, kPlaces * kSmallMilliCpu);
  Fill(model, kPlaces, { "", false, 0, kLongObjectiveMs });
  constexpr std::uint32_t kIdleJobs = 300;
  for (std::uint32_t i = 0; i < kIdleJobs; ++i) {
    model.Add(fmt::format("{:016x}", 0xe000 + i),
              { 1, kLongObjectiveMs, 0, false, "" });
  }
  JobShape lasting{ 1, 2 * kLongObjectiveMs, 0, false, "" };
  lasting.mIsLasting = true;
  lasting.mMilliCpu = 5 * kSmallMilliCpu;
  lasting.mRunTime = Duration(kLongObjectiveMs);
  model.Add(kLasting, lasting);
  model.Play({ 0 }, model.mNow + kLongestWait);
  CHECK(FindTask(model.mShard, { kLasting, 0, 0, 0 })->mPhase ==
        RunPhase::kRunning);
}

} // namespace verbenacroft
