/// Limits of the turns and probes of idle jobs: cases in which a job has
/// nothing running for longer than `kMaxIdleTime` though other tasks start
/// meanwhile, or in which its turns cost others more than one task. Those that
/// fail are hidden.

#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Time between two plannings, in each of which all workers report.
constexpr Duration kRound{ 100 };
constexpr Duration kWatched{ 30'000 };
constexpr Duration kRunTime{ 1'000 };
/// Time between two jobs of the stream.
constexpr Duration kStreamInterval{ 2'000 };
constexpr std::int64_t kWorkerMilliCpu = 12'000;
constexpr std::int64_t kLongObjectiveMs = 600'000;
constexpr std::int64_t kLateMs = -60'000;
constexpr const char* kServingImage = "serving";
constexpr const char* kMildImage = "mild";
constexpr const char* kDisturbingImage = "disturbing";
constexpr const char* kWatchedJob = "00000000000000a1";

struct JobShape
{
  std::uint32_t mTasks = 1;
  /// Negative values make the job late.
  std::int64_t mObjectiveMs = 0;
  std::int32_t mPriority = 0;
  bool mIsBestEffort = true;
  const char* mImage = kMildImage;
  bool mIsGang = false;
  bool mIsLasting = false;
  /// Equal steps that are ready at once.
  std::uint32_t mSteps = 1;
};

/// Workers with one calm serving image, a stream of jobs, and watched jobs.
class BoundsModel
{
public:
  explicit BoundsModel(std::uint32_t aWorkers = 1)
  {
    this->mShard.mEpoch = 10;
    std::vector<WorkerEntry> entries;
    for (std::uint32_t i = 0; i < aWorkers; ++i) {
      WorkerEntry entry;
      entry.mWorker = fmt::format("w{:02}", i);
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9000";
      entry.mDataCentre = "north";
      entry.mCapacity.mMilliCpu = kWorkerMilliCpu;
      entries.push_back(entry);
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    for (auto& [name, worker] : this->mShard.mWorkers) {
      worker.mIsRecorded = true;
    }
    ServingProfile& profile = this->mShard.mServingProfiles[kServingImage];
    profile.mMinLatencyRatio = 0.25;
    profile.mMeanLoad = 0.5;
    profile.mHighLoad = 0.5;
    this->Learn(kMildImage, 0);
    this->Learn(kDisturbingImage, 10);
  }

  void Add(const JobId& aJob, const JobShape& aShape)
  {
    BatchRecord record;
    record.mAcceptedAtMs = this->mNow.count();
    record.mTerms.mQueue = "queue";
    record.mTerms.mService = "pool";
    record.mTerms.mTargetMs = aShape.mObjectiveMs;
    record.mTerms.mPriority = aShape.mPriority;
    StepSpec step;
    step.mCount = aShape.mTasks;
    step.mNeeds.mMilliCpu = 1'000;
    step.mEstimateMs = kRunTime.count();
    step.mImage = aShape.mImage;
    step.mIsFilling = aShape.mIsBestEffort;
    step.mIsGang = aShape.mIsGang;
    step.mIsLasting = aShape.mIsLasting;
    record.mSpec.mSteps.assign(aShape.mSteps, step);
    AddJob(this->mShard, aJob, record, 20, this->mNow, this->mNow.count());
  }

  void Watch(const JobId& aJob, const JobShape& aShape)
  {
    this->Add(aJob, aShape);
    this->mIdleSince[aJob] = this->mNow;
  }

  /// Plays until `aUntil`, with a job of this shape every `kStreamInterval`.
  void Play(const JobShape& aStream, TimePoint aUntil = kWatched)
  {
    for (; this->mNow < aUntil; this->mNow += kRound) {
      if (aStream.mTasks > 0 &&
          this->mNow.count() % kStreamInterval.count() == 0) {
        this->Add(fmt::format("{:016x}", 0xf0000 + this->mNow.count()),
                  aStream);
      }
      this->Round();
    }
  }

  DispatchActions Plan()
  {
    this->Report();
    DispatchActions actions;
    this->mShard.mStartBudget = this->mBudget;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    return actions;
  }

  DispatchShard mShard;
  TimePoint mNow{ 0 };
  /// Start budget of each round, in bytes.
  double mBudget = std::numeric_limits<double>::infinity();
  /// The first starts of watched jobs get this answer.
  OrderOutcome mFirstAnswer = OrderOutcome::kDone;
  std::uint32_t mFirstAnswers = 0;
  /// Longest time for which a watched job had nothing running.
  Duration mLongestIdle{ 0 };
  /// Longest such time that the summary of idle jobs showed.
  Duration mLongestShown{ 0 };
  std::map<JobId, std::uint32_t> mDone;

private:
  struct Run
  {
    std::string mWorker;
    std::uint32_t mNumber = 0;
    TimePoint mEndsAt{ 0 };
  };

  void Learn(const char* aImage, double aCoefficient)
  {
    for (int i = 0; i < 100; ++i) {
      LearnInterference(this->mShard.mInterference,
                        InterferenceKindOf(kServingImage),
                        { { InterferenceKindOf(aImage), 0.2 } },
                        0.2 * aCoefficient,
                        this->mNow);
    }
  }

  void Report()
  {
    for (auto& [name, worker] : this->mShard.mWorkers) {
      worker.mServingLatencies[kServingImage] = {
        InterferenceKindOf(kServingImage), 0.4, 0.5
      };
      WorkerReport report;
      report.mOutcome = OrderOutcome::kDone;
      report.mClock = 100'000 + this->mNow.count();
      report.mIncarnation = 1;
      for (auto run = this->mRuns.begin(); run != this->mRuns.end();) {
        if (run->second.mWorker != name) {
          ++run;
        } else if (this->mNow >= run->second.mEndsAt) {
          const bool isWatched = this->mIdleSince.contains(run->first.mJob);
          ++this->mDone[run->first.mJob];
          report.mEnded.push_back(
            { ++this->mEnds,
              run->first,
              run->second.mNumber,
              isWatched ? RunEnd::kStopped : RunEnd::kDone,
              "" });
          run = this->mRuns.erase(run);
        } else {
          RunningTask row;
          row.mTask = run->first;
          row.mRun = run->second.mNumber;
          report.mRunning.push_back(row);
          ++run;
        }
      }
      OnReport(
        this->mShard, name, report, this->mNow, this->mNow, this->mNow.count());
    }
  }

  void Round()
  {
    const DispatchActions actions = this->Plan();
    for (const auto& [worker, order] : actions.mStarts) {
      const bool isWatched = this->mIdleSince.contains(order.mTask.mJob);
      OrderReply reply;
      reply.mOutcome = OrderOutcome::kDone;
      if (isWatched && this->mFirstAnswers > 0) {
        --this->mFirstAnswers;
        reply.mOutcome = this->mFirstAnswer;
      } else {
        this->mRuns[order.mTask] = { worker,
                                     order.mRun,
                                     this->mNow + kRunTime };
      }
      OnStartReply(this->mShard, worker, order, reply, this->mNow);
    }
    for (const auto& [task, run] : this->mRuns) {
      const auto found = this->mIdleSince.find(task.mJob);
      if (found != this->mIdleSince.end()) {
        found->second = this->mNow + kRound;
      }
    }
    for (const auto& [job, since] : this->mIdleSince) {
      this->mLongestIdle = std::max(this->mLongestIdle, this->mNow - since);
    }
    const auto shown =
      SummarizeIdleJobs(this->mShard, this->mNow, this->mNow.count());
    for (const auto& [reason, row] : shown) {
      this->mLongestShown = std::max(this->mLongestShown, row.mLongestWait);
    }
  }

  std::map<TaskId, Run> mRuns;
  std::uint64_t mEnds = 0;
  std::map<JobId, TimePoint> mIdleSince;
};

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
// each part of the room that becomes free. Listed in KNOWN-RED.txt.
TEST_CASE("no gang is idle for long beside starts of others",
          "[.][red-idle-gangs]")
{
  CheckIdle(GENERATE(from_range(GangCases())));
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
