/// Tasks that crash their workers: what an owner counts, whom it suspects, and
/// when it gives a task up.

#include "vcCrashRecords.h"
#include "vcDispatch.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

/// How a crashed worker shows that it has crashed.
enum class CrashSign
{
  /// Another worker answers at its address.
  kOtherId,
  /// It answers as a new incarnation, whose clock goes on.
  kSameId,
  /// It answers as a new incarnation, whose clock begins at its start.
  kSameIdNewClock,
};

template<>
struct EnumTable<CrashSign>
{
  static constexpr auto kRows = std::to_array<NameRow<CrashSign>>({
    { CrashSign::kOtherId, "under another id" },
    { CrashSign::kSameId, "under its id" },
    { CrashSign::kSameIdNewClock, "under its id, with a new clock" },
  });
};

namespace {

constexpr const char* kDeadlyJob = "00000000000000d1";
constexpr const char* kSoundJob = "00000000000000a1";
constexpr std::int64_t kFirstClock = 100'000;
constexpr Duration kDownTime{ 3'000 };
/// From the start of a new incarnation to its first report.
constexpr Duration kReportedAfter{ 100 };

/// A shard whose workers run what they are told. A start of the deadly job
/// crashes its worker.
class CrashFleet
{
public:
  explicit CrashFleet(int aWorkers)
  {
    this->mShard.mEpoch = ++this->mRevision;
    for (int i = 0; i < aWorkers; ++i) {
      this->AddWorker();
    }
    this->Discover();
    this->Report();
  }

  void AddJob(const JobId& aId, std::uint32_t aTasks, bool aIsLasting = false)
  {
    BatchRecord record;
    record.mTerms.mQueue = "queue";
    record.mTerms.mService = "pool";
    record.mTerms.mMaxAttempts = 3;
    StepSpec step;
    step.mCount = aTasks;
    step.mNeeds.mMilliCpu = 1'000;
    step.mNeeds.mMemoryMb = 100;
    step.mEstimateMs = 1'000;
    step.mIsLasting = aIsLasting;
    record.mSpec.mSteps.push_back(step);
    this->mRecords[aId] = record;
    verbenacroft::AddJob(
      this->mShard, aId, record, 20, this->mNow, this->mNow.count());
  }

  /// Waits until starts are planned, which get no answer.
  /// @return the workers that they were sent to
  std::vector<std::string> StartInVain(OrderOutcome aOutcome)
  {
    std::vector<std::string> workers;
    for (const auto& [worker, order] : this->AwaitStarts()) {
      const OrderReply none{ aOutcome, 0 };
      OnStartReply(this->mShard, worker, order, none, this->mNow);
      workers.push_back(worker);
    }
    return workers;
  }

  /// Waits until the deadly job is started and crashes its worker.
  /// @return the worker; empty if the job isn't started
  std::string StartUntilCrash()
  {
    constexpr int kMostRounds = 100;
    for (int i = 0; i < kMostRounds; ++i) {
      const auto crashed = this->Start();
      if (!crashed.empty()) {
        return crashed[0];
      }
      this->RunAndReap();
    }
    return {};
  }

  /// Plans and carries out the starts.
  /// @return the workers that the deadly job has crashed
  std::vector<std::string> Start()
  {
    DispatchActions actions;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    std::vector<std::string> crashed;
    for (const auto& [worker, order] : actions.mStarts) {
      ++this->mStarts[order.mTask];
      OrderReply reply;
      reply.mOutcome = OrderOutcome::kDone;
      reply.mClock = this->Clock(worker);
      OnStartReply(this->mShard, worker, order, reply, this->mNow);
      this->mRuns[worker].push_back({ order.mTask, order.mRun, {}, 50, 0 });
      if (order.mTask.mJob == kDeadlyJob) {
        crashed.push_back(worker);
      }
    }
    return crashed;
  }

  std::vector<AddressedOrder<StartOrder>> AwaitStarts()
  {
    constexpr int kMostRounds = 100;
    DispatchActions actions;
    for (int i = 0; i < kMostRounds && actions.mStarts.empty(); ++i) {
      PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
      if (actions.mStarts.empty()) {
        this->RunAndReap();
      }
    }
    return actions.mStarts;
  }

  /// Every worker that isn't down reports.
  void Report()
  {
    for (const auto& name : this->mNames) {
      this->Report(name);
    }
  }

  /// From now on each crash also ends the owner, while the worker is silent.
  void LoseOwners() { this->mAreOwnersLost = true; }

  /// Another owner loads what the present one has recorded.
  void TakeOver()
  {
    const CrashedTasksRecord counts = CrashedTasksOf(this->mShard);
    const SilentWorkersRecord silent =
      SilentWorkersOf(this->mShard, this->mNow);
    DispatchShard next;
    next.mEpoch = ++this->mRevision;
    next.mClaimedAt = this->mNow;
    for (const auto& [name, worker] : this->mShard.mWorkers) {
      DispatchWorker& added = next.mWorkers[name];
      added.mEntry = worker.mEntry;
      added.mEndpoint = worker.mEndpoint;
      added.mSilentSince = this->mNow;
      AddActiveWorker(next, name, {}, this->mNow);
    }
    for (const auto& [id, record] : this->mRecords) {
      verbenacroft::AddJob(next, id, record, 5, this->mNow, this->mNow.count());
    }
    this->mShard = std::move(next);
    ApplyCrashedTasks(this->mShard, counts, this->mNow, this->mNow.count());
    ApplySilentWorkers(this->mShard, silent);
    this->Discover();
  }

  /// The worker doesn't answer once.
  void FallSilent(const std::string& aWorker)
  {
    this->Answer(aWorker, WorkerReport{});
  }

  /// The worker is silent for some seconds and then known to have crashed.
  void Crash(const std::string& aWorker, CrashSign aSign)
  {
    this->mRuns[aWorker].clear();
    this->FallSilent(aWorker);
    if (this->mAreOwnersLost) {
      this->TakeOver();
    }
    this->mNow += kDownTime;
    std::erase(this->mNames, aWorker);
    this->Report();
    if (aSign != CrashSign::kOtherId) {
      this->mNames.push_back(aWorker);
      ++this->mBorn[aWorker];
      if (aSign == CrashSign::kSameIdNewClock) {
        this->mClockStarts[aWorker] = this->mNow - kReportedAfter;
      }
      this->Report(aWorker);
      this->mDraining.erase(aWorker);
      this->Discover();
      return;
    }
    WorkerReport other;
    other.mOutcome = OrderOutcome::kOtherIncarnation;
    // It is asked again and again.
    this->Answer(aWorker, other);
    this->Answer(aWorker, other);
    this->AddWorker();
    this->Discover();
    this->Report();
  }

  /// The workers fall silent together and are then known to have crashed.
  void CrashTogether(const std::vector<std::string>& aWorkers)
  {
    for (const auto& worker : aWorkers) {
      this->mRuns[worker].clear();
      this->Answer(worker, WorkerReport{});
      std::erase(this->mNames, worker);
    }
    this->mNow += kDownTime;
    this->Report();
    for (const auto& worker : aWorkers) {
      WorkerReport other;
      other.mOutcome = OrderOutcome::kOtherIncarnation;
      this->Answer(worker, other);
      this->AddWorker();
    }
    this->Discover();
    this->Report();
  }

  const std::vector<std::string>& Names() const { return this->mNames; }

  /// Lets the runs go on until all of them were seen at work.
  void Run(Duration aTime)
  {
    constexpr Duration kBetween{ 250 };
    for (const TimePoint end = this->mNow + aTime; this->mNow < end;) {
      this->mNow += kBetween;
      this->Report();
    }
  }

  /// Runs for a moment, and gives up what is certainly lost.
  void RunAndReap()
  {
    this->Run(Duration(250));
    ReapWorkers(this->mShard, this->mNow);
    this->Record();
  }

  void SetDraining(const std::string& aWorker)
  {
    this->mDraining.insert(aWorker);
    this->Discover();
  }

  /// The store takes the numbers of crashes.
  void Record()
  {
    NoteOwnWrite(this->mShard, ++this->mRevision);
    ForgetClearedSuspects(this->mShard);
    for (const auto& task : this->mShard.mSuspects) {
      MarkCrashHistoryStored(
        this->mShard, task, FindTask(this->mShard, task)->mCrashHistory);
    }
  }

  BatchState StateOf(const JobId& aJob)
  {
    return this->mShard.mJobs.at(aJob).mState;
  }
  int Starts(const TaskId& aTask) { return this->mStarts[aTask]; }
  std::string WorkerOf(const TaskId& aTask)
  {
    return FindTask(this->mShard, aTask)->mWorker;
  }
  DispatchShard& Shard() { return this->mShard; }

private:
  std::int64_t Clock(const std::string& aWorker) const
  {
    const auto start = this->mClockStarts.find(aWorker);
    return start == this->mClockStarts.end()
             ? kFirstClock + this->mNow.count()
             : (this->mNow - start->second).count();
  }

  void AddWorker()
  {
    this->mNames.push_back(fmt::format("w{}", ++this->mLastWorker));
  }

  void Discover()
  {
    std::vector<WorkerEntry> entries;
    for (const auto& name : this->mNames) {
      WorkerEntry entry;
      entry.mWorker = name;
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9000";
      entry.mCapacity.mMilliCpu = 10'000;
      entry.mCapacity.mMemoryMb = 10'000;
      entry.mIsDraining = this->mDraining.contains(name);
      entry.mLeavesInMs = 60'000;
      entries.push_back(entry);
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    for (const auto& name : this->mNames) {
      this->mShard.mWorkers.at(name).mIsRecorded = true;
    }
  }

  void Report(const std::string& aWorker)
  {
    TokenOfNextRenewal(this->mShard, this->mShard.mWorkers.at(aWorker));
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = this->Clock(aWorker);
    report.mIncarnation = 1 + this->mBorn[aWorker];
    report.mRunning = this->mRuns[aWorker];
    this->Answer(aWorker, report);
  }

  void Answer(const std::string& aWorker, const WorkerReport& aReport)
  {
    OnReport(this->mShard,
             aWorker,
             aReport,
             this->mNow,
             this->mNow,
             this->mNow.count());
  }

  TimePoint mNow{ 0 };
  DispatchShard mShard;
  /// Latest revision of the store.
  std::uint64_t mRevision = 10;
  int mLastWorker = 0;
  std::vector<std::string> mNames;
  std::set<std::string> mDraining;
  std::map<std::string, std::vector<RunningTask>> mRuns;
  std::map<std::string, int> mBorn;
  std::map<std::string, TimePoint> mClockStarts;
  std::map<TaskId, int> mStarts;
  std::map<JobId, BatchRecord> mRecords;
  bool mAreOwnersLost = false;
};

/// Lets the fleet work until no crash comes for some rounds.
/// @return the number of workers that crashed, at most `aMost`
int CrashUntilCalm(CrashFleet& aFleet, CrashSign aSign, int aMost)
{
  constexpr int kCalmRounds = 40;
  int crashes = 0;
  for (int calm = 0; calm < kCalmRounds && crashes < aMost; ++calm) {
    aFleet.Record();
    for (const auto& worker : aFleet.Start()) {
      aFleet.Crash(worker, aSign);
      ++crashes;
      calm = 0;
    }
    aFleet.Run(Duration(250));
  }
  return crashes;
}

} // namespace

// Guards against a task that crashes one worker after another for ever.
TEST_CASE("a task that crashes its workers is given up", "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  const int workers = GENERATE(1, 2, 6);
  CAPTURE(NameOf(sign), workers);
  CrashFleet fleet(workers);
  fleet.AddJob(kSoundJob, 4, true);
  fleet.Start();
  fleet.Run(Duration(2'000));
  fleet.AddJob(kDeadlyJob, 1);
  constexpr int kMostCrashes = 12;
  CHECK(CrashUntilCalm(fleet, sign, kMostCrashes) <= 3);
  CHECK(fleet.StateOf(kDeadlyJob) == BatchState::kFailed);
}

// Guards against a task that crashes one worker after another, since each owner
// is lost before it hears of the crash.
TEST_CASE("crashes that are heard by the next owner count", "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  const int workers = GENERATE(2, 6);
  CAPTURE(NameOf(sign), workers);
  CrashFleet fleet(workers);
  fleet.LoseOwners();
  fleet.AddJob(kSoundJob, 4, true);
  fleet.Start();
  fleet.Run(Duration(2'000));
  fleet.AddJob(kDeadlyJob, 1);
  constexpr int kMostCrashes = 12;
  CHECK(CrashUntilCalm(fleet, sign, kMostCrashes) <= 3);
  CHECK(fleet.StateOf(kDeadlyJob) == BatchState::kFailed);
  CHECK_FALSE(IsFinal(fleet.StateOf(kSoundJob)));
}

// Guards against a crash that is counted by two owners, and against a count for
// a worker that was only silent for a while.
TEST_CASE("a next owner counts a crash once, and silence not at all", "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  const bool isCrash = GENERATE(false, true);
  CAPTURE(NameOf(sign), isCrash);
  const TaskId task{ kDeadlyJob, 0, 0, 0 };
  CrashFleet fleet(6);
  fleet.LoseOwners();
  fleet.AddJob(kDeadlyJob, 1);
  const auto workers = fleet.Start();
  REQUIRE(workers.size() == 1);
  if (isCrash) {
    fleet.Crash(workers[0], sign);
  } else {
    fleet.FallSilent(workers[0]);
    fleet.TakeOver();
    fleet.Report();
  }
  constexpr int kMoreOwners = 3;
  for (int i = 0; i < kMoreOwners; ++i) {
    fleet.TakeOver();
    fleet.Report();
  }
  CHECK(fleet.Shard().mSuspects.size() == (isCrash ? 1 : 0));
  CHECK(FindTask(fleet.Shard(), task)->mCrashHistory.mCrashes ==
        (isCrash ? 1 : 0));
}

// Guards against jobs that end as failed because they were started beside a
// task that crashes its workers.
TEST_CASE("a task that is started beside a deadly one isn't given up",
          "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  const int workers = GENERATE(1, 2, 6);
  CAPTURE(NameOf(sign), workers);
  CrashFleet fleet(workers);
  fleet.AddJob(kDeadlyJob, 1);
  fleet.AddJob(kSoundJob, 8, true);
  constexpr int kMostCrashes = 12;
  CHECK(CrashUntilCalm(fleet, sign, kMostCrashes) <= 3);
  CHECK(fleet.StateOf(kDeadlyJob) == BatchState::kFailed);
  CHECK(fleet.StateOf(kSoundJob) == BatchState::kRunning);
  for (std::uint32_t i = 0; i < 8; ++i) {
    CAPTURE(i);
    CHECK_FALSE(fleet.WorkerOf({ kSoundJob, 0, 0, i }).empty());
  }
}

// Guards against a job that is shown as failed after one crash under its task:
// starts that were sent to workers that were down counted like crashes.
TEST_CASE("a start that isn't confirmed is no proof against its task",
          "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  const int unconfirmed = GENERATE(1, 3);
  CAPTURE(NameOf(sign), unconfirmed);
  CrashFleet fleet(6);
  fleet.AddJob(kDeadlyJob, 1);
  for (int i = 0; i < unconfirmed; ++i) {
    const auto workers = fleet.StartInVain(OrderOutcome::kUnknown);
    REQUIRE(workers.size() == 1);
    fleet.Crash(workers[0], sign);
    fleet.Record();
  }
  const std::string crashed = fleet.StartUntilCrash();
  REQUIRE_FALSE(crashed.empty());
  fleet.Crash(crashed, sign);
  fleet.Record();
  CHECK_FALSE(IsFinal(fleet.StateOf(kDeadlyJob)));
  CHECK_FALSE(fleet.StartUntilCrash().empty());
}

// Guards against a task that crashes its workers before any of them can confirm
// its start, one after another for ever.
TEST_CASE("a task whose starts are never confirmed is given up", "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  // Of a task that has crashed three workers, two more starts are allowed. A
  // connection that breaks shows that the worker was up, as an answer does.
  const auto [outcome, most] = GENERATE(table<OrderOutcome, int>({
    { OrderOutcome::kUnknown, 5 },
    { OrderOutcome::kBroken, 2 },
  }));
  CAPTURE(NameOf(sign), NameOf(outcome));
  CrashFleet fleet(6);
  fleet.AddJob(kDeadlyJob, 1);
  int starts = 0;
  while (!IsFinal(fleet.StateOf(kDeadlyJob)) && starts <= most) {
    const auto workers = fleet.StartInVain(outcome);
    REQUIRE(workers.size() == 1);
    ++starts;
    fleet.Crash(workers[0], sign);
    fleet.Record();
  }
  CHECK(starts <= most);
  CHECK(fleet.StateOf(kDeadlyJob) == BatchState::kFailed);
}

// Guards against jobs that end as failed because their workers were lost with a
// rack or a release, again and again.
TEST_CASE("tasks aren't blamed for workers that crash together", "[crash]")
{
  constexpr int kWorkers = 10;
  constexpr int kWaves = 4;
  CrashFleet fleet(kWorkers);
  fleet.AddJob(kSoundJob, 3 * kWorkers, true);
  for (int i = 0; i < kWaves; ++i) {
    fleet.Record();
    fleet.Start();
    fleet.Run(Duration(2'000));
    const auto names = fleet.Names();
    fleet.CrashTogether({ names.begin(), names.begin() + kWorkers / 2 });
  }
  CHECK(fleet.StateOf(kSoundJob) == BatchState::kRunning);
  CHECK(fleet.Shard().mSuspects.empty());
}

// Guards against suspicion of what ran on a worker that left as announced.
TEST_CASE("a worker that was draining doesn't count as crashed", "[crash]")
{
  const auto sign = GENERATE(
    CrashSign::kOtherId, CrashSign::kSameId, CrashSign::kSameIdNewClock);
  CAPTURE(NameOf(sign));
  CrashFleet fleet(1);
  fleet.AddJob(kSoundJob, 1, true);
  constexpr int kLeaves = 4;
  for (int i = 0; i < kLeaves; ++i) {
    fleet.Record();
    fleet.Start();
    const std::string worker = fleet.WorkerOf({ kSoundJob, 0, 0, 0 });
    REQUIRE_FALSE(worker.empty());
    fleet.Run(Duration(250));
    fleet.SetDraining(worker);
    fleet.Crash(worker, sign);
    fleet.Run(Duration(500));
  }
  CHECK(fleet.StateOf(kSoundJob) == BatchState::kRunning);
}

} // namespace verbenacroft
