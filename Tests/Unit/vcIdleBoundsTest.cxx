/// Limits of the turns and probes of idle jobs: cases in which a job has
/// nothing running for longer than `kMaxIdleTime` though other tasks start
/// meanwhile, or in which its turns cost others more than one task. Those that
/// fail are hidden.

#include "vcBoundsModel.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr JobShape kStream{ 30, kLongObjectiveMs };
constexpr JobShape kNoStream{ 0 };
const JobShape kOrdinaryStream{ 30, kLongObjectiveMs, 0, false, "" };

struct BoundsCase
{
  const char* mName;
  JobShape mShape;
  JobShape mStream;
  OrderOutcome mFirstAnswer = OrderOutcome::kDone;
  std::uint32_t mFirstAnswers = 0;
  double mBudget = std::numeric_limits<double>::infinity();
};

std::vector<BoundsCase> BoundsCases()
{
  const JobShape late{ 3, kLateMs };
  const JobShape disturbing{ 3, kLateMs, 0, true, kDisturbingImage };
  return {
    { "control: late behind a stream", late, kStream },
    { "control: disturbing, no stream", disturbing, kNoStream },
    { "two starts refused", late, kStream, OrderOutcome::kNoRoom, 2 },
    { "three starts refused", late, kStream, OrderOutcome::kNoRoom, 3 },
    { "one start unanswered", late, kStream, OrderOutcome::kUnknown, 1 },
    { "two probes refused", disturbing, kNoStream, OrderOutcome::kNoRoom, 2 },
  };
}

std::vector<BoundsCase> LateProbeCases()
{
  const JobShape disturbing{ 3, kLateMs, 0, true, kDisturbingImage };
  constexpr double kOneStart = 1;
  return {
    { "disturbing behind a stream that isn't", disturbing, kStream },
    { "disturbing, ordinary starts use up the budget",
      disturbing,
      kOrdinaryStream,
      OrderOutcome::kDone,
      0,
      kOneStart },
  };
}

std::vector<BoundsCase> GangCases()
{
  const JobShape bestEffort{ 2, kLateMs, 0, true, kMildImage, true };
  const JobShape ordinary{ 2, kLateMs, 0, false, "", true };
  return {
    { "best-effort", bestEffort, kStream },
    { "ordinary", ordinary, kOrdinaryStream },
  };
}

/// Plays the case and checks for how long its job was idle, and that operators
/// are shown what callers see.
void CheckIdle(const BoundsCase& aRow)
{
  INFO(aRow.mName);
  BoundsModel model;
  model.mFirstAnswer = aRow.mFirstAnswer;
  model.mFirstAnswers = aRow.mFirstAnswers;
  model.mBudget = aRow.mBudget;
  model.Watch(kWatchedJob, aRow.mShape);
  model.Play(aRow.mStream);
  INFO("idle for " << model.mLongestIdle.count() << " ms, shown as "
                   << model.mLongestShown.count() << " ms");
  CHECK(model.mLongestIdle <= kMaxIdleTime);
  if (model.mLongestIdle > kMaxIdleTime + kRound) {
    CHECK(model.mLongestShown >= model.mLongestIdle - kRound);
  }
}

} // namespace

// Guards against an idle job whose starts are refused or not answered.
TEST_CASE("no job is idle for long beside starts of others", "[idle]")
{
  CheckIdle(GENERATE(from_range(BoundsCases())));
}

// Guards against a job whose probe comes after starts that take each free
// processor or the rest of the budget. Listed in KNOWN-RED.txt.
TEST_CASE("no job is idle for long because its probe comes last",
          "[.][red-idle-late-probes]")
{
  CheckIdle(GENERATE(from_range(LateProbeCases())));
}

// Guards against a gang that waits beside a stream of single tasks, which take
// each part of the room that becomes free.
TEST_CASE("no gang is idle for long beside starts of others", "[idle]")
{
  CheckIdle(GENERATE(from_range(GangCases())));
}

// Guards against room that is kept for ever for a gang that can't start.
TEST_CASE("room is kept only for a gang that fits into what may be kept",
          "[idle]")
{
  struct Row
  {
    const char* mName;
    std::uint32_t mMembers;
    std::uint32_t mMaxPerWorker;
    Resources mLongRunning;
    std::size_t mWorkers;
  };
  const auto row = GENERATE(values<Row>({
    { "on one worker", 12, 0, {}, 1 },
    { "on two", 13, 0, {}, 2 },
    { "on more than may be kept", 25, 0, {}, 0 },
    { "two on each", 5, 2, {}, 0 },
    { "beside long-running tasks", 12, 0, { 6'000, 0, 0, 0 }, 2 },
  }));
  INFO(row.mName);
  BoundsModel model(10);
  std::vector<DispatchWorker*> workers;
  for (auto& [name, worker] : model.mShard.mWorkers) {
    worker.mLongRunning = row.mLongRunning;
    workers.push_back(&worker);
  }
  StepSpec step;
  step.mCount = row.mMembers;
  step.mMaxPerWorker = row.mMaxPerWorker;
  step.mNeeds.mMilliCpu = 1'000;
  const std::size_t most = MaxReserved(workers.size());
  REQUIRE(most == 2);
  CHECK(WorkersForGang(step, workers, most) == row.mWorkers);
}

// Guards against late jobs that take the workers from jobs that can still meet
// their objective, by one turn after the other. Listed in KNOWN-RED.txt.
TEST_CASE("a job that isn't late waits for one task of each late one at most",
          "[.][red-idle-costs]")
{
  const auto lateJobs = GENERATE(0U, 5U, 10U, 20U, 40U);
  const auto latePriority = GENERATE(0, 1);
  BoundsModel model;
  for (std::uint32_t i = 0; i < lateJobs; ++i) {
    model.Watch(fmt::format("{:016x}", i), { 3, kLateMs, latePriority });
  }
  model.Play(kNoStream, Duration(5'000));
  const JobId onTime = "00000000000000f1";
  model.Add(onTime, { 100, 30'000 });
  model.Play(kNoStream, Duration(15'000));
  INFO("late jobs " << lateJobs << " of priority " << latePriority
                    << ", tasks done in 10 s " << model.mDone[onTime]);
  // Nine waves of ten tasks fit into the time.
  CHECK(model.mDone[onTime] + lateJobs >= 90);
}

// Guards against a lasting task that waits while late jobs have their turns.
TEST_CASE("a lasting task comes before the turn of a late job", "[idle]")
{
  BoundsModel model;
  const JobId lasting = "00000000000000b1";
  model.Add("00000000000000c1", { 11, kLongObjectiveMs, 0, false, "" });
  REQUIRE(model.Plan().mStarts.size() == 11);
  model.mNow += kRound;
  JobShape serving{ 2, 0, 0, false, "" };
  serving.mIsLasting = true;
  model.Add(lasting, serving);
  model.Add(kWatchedJob, { 3, kLateMs, 0, false, "" });
  // One of the two runs, and no more fit.
  REQUIRE(model.Plan().mStarts.size() == 1);
  model.mNow += kRunTime;
  model.mShard.mWorkers.at("w00").mEntry.mCapacity.mMilliCpu += 1'000;
  const auto starts = model.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().mOrder.mTask.mJob == lasting);
}

// Guards against a lasting task that waits while room is kept for a batch job.
TEST_CASE("a reservation doesn't keep a lasting task away", "[idle]")
{
  BoundsModel model;
  const JobId lasting = "00000000000000b1";
  JobShape serving{ 1, 0, 0, false, "" };
  serving.mIsLasting = true;
  model.Add(lasting, serving);
  model.Add("00000000000000c1", { 1, kLongObjectiveMs, 0, false, "" });
  RoomReservation& room = model.mShard.mWorkers.at("w00").mRoom;
  room.mFirstTask = { kWatchedJob, 0, 0, 0 };
  room.mUntil = model.mNow + kRound;
  const auto starts = model.Plan().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().mOrder.mTask.mJob == lasting);
}

// Guards against a turn for each step of a job.
TEST_CASE("an idle job with several ready steps has one turn", "[idle]")
{
  BoundsModel model;
  JobShape late{ 3, kLateMs, 1 };
  late.mSteps = 4;
  model.Add(kWatchedJob, late);
  model.mNow += kRunTime;
  model.Add("00000000000000f1", kStream);
  const auto starts = model.Plan().mStarts;
  const auto turns = std::count_if(
    starts.begin(), starts.end(), [](const AddressedOrder<StartOrder>& aStart) {
      return aStart.mOrder.mTask.mJob == kWatchedJob;
    });
  CHECK(starts.size() > 4);
  CHECK(turns == 1);
}

// Guards against several probes of one job at once.
TEST_CASE("an idle job with many steps starts one probe", "[idle]")
{
  BoundsModel model(20);
  JobShape wide{ 1, kLateMs, 0, true, kDisturbingImage };
  wide.mSteps = 40;
  model.Add(kWatchedJob, wide);
  // No worker suits for a long time.
  for (auto& [name, worker] : model.mShard.mWorkers) {
    worker.mNoBestEffortUntil = Duration(20'000);
  }
  for (; model.mNow < Duration(20'000); model.mNow += kRound) {
    REQUIRE(model.Plan().mStarts.empty());
  }
  CHECK(model.Plan().mStarts.size() == 1);
}

} // namespace verbenacroft
