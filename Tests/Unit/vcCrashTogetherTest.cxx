/// Crashes of many workers together: which tasks are suspected, and how many
/// workers the suspects keep from other tasks.

#include "vcCrashedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kCrashAt{ 5'000 };
/// From one notice of a crash to the next.
constexpr Duration kNoticedEach{ 45 };

/// How the crashes of some workers of many come to be noticed.
struct TogetherCase
{
  const char* mWhat = "";
  int mWorkers = 0;
  int mCrashed = 0;
  /// When the first of them is noticed; the workers are silent before.
  Duration mNoticedAt{ 0 };
  /// Each has left the set before the next one is noticed.
  bool mLeave = false;
  /// Their successors are in the set before the first is noticed.
  bool mHaveSuccessors = false;
};

const std::vector<TogetherCase> kTogetherCases = {
  { "noticed in the set", 60, 8, Duration(11'000), false, false },
  { "noticed ones have left", 60, 8, Duration(11'000), true, false },
  { "a tenth, successors listed", 40, 4, Duration(11'000), false, true },
  { "a tenth, both", 40, 4, Duration(11'000), true, true },
};

/// A fleet whose workers leave its set and come under new names.
class TogetherFleet : public CrashedFleet
{
public:
  using CrashedFleet::CrashedFleet;

  /// The workers report what they run, at times in the second before the crash.
  void ReportBeforeCrash()
  {
    for (std::size_t i = 0; i < this->mNames.size(); ++i) {
      this->mNow = kCrashAt - Duration(1'000) + Duration(50 * (i % 20));
      this->ReportAtWork(this->mNames[i]);
    }
  }

  void ReportOthers(int aCrashed)
  {
    for (std::size_t i = aCrashed; i < this->mNames.size(); ++i) {
      this->ReportAtWork(this->mNames[i]);
    }
  }

  void SilenceFirst(int aCrashed)
  {
    for (int i = 0; i < aCrashed; ++i) {
      this->Silence(this->mNames[i]);
    }
  }

  /// Another worker answers at the address of this one.
  void ReportReplaced(const std::string& aWorker)
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kOtherIncarnation;
    this->Apply(aWorker, report);
  }

  /// Discovery lists the first workers under new names.
  void ListSuccessors(int aCrashed)
  {
    std::vector<WorkerEntry> entries;
    for (std::size_t i = 0; i < this->mNames.size(); ++i) {
      const bool isNew = static_cast<int>(i) < aCrashed;
      entries.push_back(MakeEntry((isNew ? "new-" : "") + this->mNames[i]));
    }
    OnDiscovery(this->mShard, entries, this->mNow);
  }

  /// Discovery lists only the workers that haven't crashed.
  void ListOthers(int aCrashed)
  {
    std::vector<WorkerEntry> entries;
    for (std::size_t i = aCrashed; i < this->mNames.size(); ++i) {
      entries.push_back(MakeEntry(this->mNames[i]));
    }
    OnDiscovery(this->mShard, entries, this->mNow);
  }
};

JobId JobNumber(int aNumber)
{
  return fmt::format("{:016x}", 0xb000 + aNumber);
}

/// Adds a job with one long-running task.
void AddLongRunning(DispatchFixture& aFixture, const JobId& aId, int aMilliCpu)
{
  BatchRecord record = MakeRecord(1);
  record.mSpec.mSteps[0].mIsLasting = true;
  record.mSpec.mSteps[0].mNeeds.mMilliCpu = aMilliCpu;
  AddJob(
    aFixture.mShard, aId, record, 20, aFixture.mNow, aFixture.mNow.count());
}

/// Each worker that answers lists what is assigned to it, several times.
void RunFor(CrashedFleet& aFleet, Duration aTime)
{
  constexpr Duration kInterval{ 500 };
  const TimePoint until = aFleet.mNow + aTime;
  while (aFleet.mNow < until) {
    aFleet.mNow += kInterval;
    for (const auto& name : aFleet.mNames) {
      std::vector<RunningTask> running;
      for (const auto& key : aFleet.mShard.mWorkers.at(name).mTasks) {
        RunningTask row;
        row.mTask = key;
        row.mRun = FindTask(aFleet.mShard, key)->mRun;
        running.push_back(row);
      }
      aFleet.Report(name, running, {});
    }
  }
}

/// The store has the histories of all suspects.
void StoreHistories(DispatchShard& aShard)
{
  for (const auto& key : aShard.mSuspects) {
    FindTask(aShard, key)->mCrashHistory.mIsStored = true;
  }
}

/// Another worker is listed, and reports that nothing runs.
void AddWorker(CrashedFleet& aFleet, const std::string& aName)
{
  aFleet.mNames.push_back(aName);
  std::vector<WorkerEntry> entries;
  for (const auto& name : aFleet.mNames) {
    entries.push_back(MakeEntry(name));
  }
  OnDiscovery(aFleet.mShard, entries, aFleet.mNow);
  aFleet.mShard.mWorkers.at(aName).mIsRecorded = true;
  aFleet.Report(aName, {}, {});
}

/// A worker crashes alone and is gone.
void CrashAlone(CrashedFleet& aFleet, const std::string& aWorker)
{
  aFleet.Silence(aWorker);
  std::erase(aFleet.mNames, aWorker);
  RunFor(aFleet, Duration(2'000));
  WorkerReport report;
  report.mOutcome = OrderOutcome::kOtherIncarnation;
  aFleet.Apply(aWorker, report);
  StoreHistories(aFleet.mShard);
}

} // namespace

// Guards against innocent tasks that are suspected, since workers that crashed
// at one moment were noticed one after another and had left the set meanwhile,
// or were compared with their own successors.
TEST_CASE("a crash of many is one whichever worker is noticed first", "[crash]")
{
  const TogetherCase play = GENERATE(from_range(kTogetherCases));
  CAPTURE(play.mWhat);
  TogetherFleet fleet(play.mWorkers);
  fleet.Add(4 * play.mWorkers);
  fleet.Start(OrderOutcome::kDone);
  fleet.ReportBeforeCrash();
  fleet.mNow = kCrashAt + Duration(100);
  fleet.SilenceFirst(play.mCrashed);
  fleet.mNow = play.mNoticedAt;
  fleet.ReportOthers(play.mCrashed);
  if (play.mHaveSuccessors) {
    fleet.ListSuccessors(play.mCrashed);
  }
  for (int i = 0; i < play.mCrashed; ++i) {
    fleet.ReportReplaced(fleet.mNames[i]);
    fleet.mNow += kNoticedEach;
    if (play.mLeave && !play.mHaveSuccessors) {
      fleet.ListOthers(play.mCrashed);
    }
    if (play.mLeave) {
      ReapWorkers(fleet.mShard, fleet.mNow);
      REQUIRE_FALSE(fleet.mShard.mWorkers.contains(fleet.mNames[i]));
    }
  }
  CHECK(fleet.mShard.mSuspects.empty());
}

// Guards against suspects that stay so although more crashes of the same moment
// are noticed later.
TEST_CASE("crashes that are noticed later clear the suspects of the first",
          "[crash]")
{
  constexpr int kWorkers = 30;
  constexpr int kCrashed = 6;
  constexpr Duration kBornAt = kCrashAt + Duration(200);
  TogetherFleet fleet(kWorkers);
  fleet.Add(4 * kWorkers);
  fleet.Start(OrderOutcome::kDone);
  fleet.mNow = kCrashAt - Duration(100);
  fleet.ReportOthers(0);
  for (int i = 0; i < kCrashed; ++i) {
    fleet.mNow = kBornAt + Duration(50) + i * kNoticedEach;
    fleet.ReportReborn(fleet.mNames[i], kBornAt);
  }
  ForgetClearedSuspects(fleet.mShard);
  CHECK(fleet.mShard.mSuspects.empty());
  CHECK(fleet.Crashes(0) == 0);
}

// Guards against deadly tasks that aren't named, since crashes that can't have
// come at one moment are taken for one.
TEST_CASE("crashes in close series don't have one cause", "[crash]")
{
  constexpr int kWorkers = 40;
  constexpr int kCrashes = 8;
  constexpr Duration kEach{ 400 };
  constexpr Duration kNoticedAfter{ 3'000 };
  TogetherFleet fleet(kWorkers);
  fleet.Add(4 * kWorkers);
  fleet.Start(OrderOutcome::kDone);
  fleet.mNow = kCrashAt;
  for (int i = 0; i < kCrashes; ++i) {
    fleet.ReportOthers(i);
    fleet.mNow += kEach;
    fleet.Silence(fleet.mNames[i]);
  }
  fleet.mNow += kNoticedAfter;
  fleet.ReportOthers(kCrashes);
  std::size_t counted = 0;
  for (int i = 0; i < kCrashes; ++i) {
    const auto tasks = fleet.mShard.mWorkers.at(fleet.mNames[i]).mTasks;
    REQUIRE_FALSE(tasks.empty());
    counted += tasks.size();
    fleet.ReportReplaced(fleet.mNames[i]);
    for (const auto& key : tasks) {
      CHECK(fleet.Crashes(key.mIndex) == 1);
    }
  }
  // No count was taken back.
  CHECK(fleet.mShard.mSuspects.size() == counted);
}

// Guards against workers that are closed for others by a suspect which worked
// for longer before the crash than it is isolated.
TEST_CASE("a suspect that had run for long closes no worker", "[crash]")
{
  constexpr int kWorkers = 6;
  constexpr int kTaskCpu = 5'000;
  CrashedFleet fleet(kWorkers);
  for (int i = 0; i < 2 * kWorkers - 4; ++i) {
    AddLongRunning(fleet, JobNumber(i), kTaskCpu);
  }
  fleet.Start(OrderOutcome::kDone);
  RunFor(fleet, Duration(20'000));
  const auto crashed = std::find_if(
    fleet.mNames.begin(), fleet.mNames.end(), [&](const auto& aName) {
      return fleet.mShard.mWorkers.at(aName).mTasks.size() == 2;
    });
  REQUIRE(crashed != fleet.mNames.end());
  CrashAlone(fleet, *crashed);
  REQUIRE(fleet.mShard.mSuspects.size() == 2);
  fleet.Start(OrderOutcome::kDone);
  CHECK(IsolatedWorkers(fleet.mShard).empty());
  for (const auto& key : fleet.mShard.mSuspects) {
    CHECK_FALSE(FindTask(fleet.mShard, key)->mWorker.empty());
  }
}

// Guards against suspects that close half of all workers while long-running
// tasks wait beside the room there.
TEST_CASE("suspects close few workers while long-running tasks wait", "[crash]")
{
  constexpr int kWorkers = 20;
  constexpr int kSuspects = 10;
  constexpr std::size_t kMostIsolated = kWorkers / 5;
  CrashedFleet fleet(kWorkers + 1);
  // All of them start on one worker, which crashes after 2 s.
  const std::string first = fleet.mNames.front();
  for (int i = 0; i < kSuspects; ++i) {
    AddLongRunning(fleet, JobNumber(i), 1'000);
  }
  for (auto& [name, worker] : fleet.mShard.mWorkers) {
    worker.mAvoidedUntil = name == first ? kNever : fleet.mNow + Duration(1);
  }
  fleet.Start(OrderOutcome::kDone);
  RunFor(fleet, Duration(1'500));
  // These don't fit beside each other.
  for (int i = 0; i < kWorkers; ++i) {
    AddLongRunning(fleet, JobNumber(kSuspects + i), 9'500);
  }
  CrashAlone(fleet, first);
  REQUIRE(fleet.mShard.mSuspects.size() == kSuspects);
  fleet.Start(OrderOutcome::kDone);
  CHECK(IsolatedWorkers(fleet.mShard).size() >= 1);
  constexpr int kRounds = 16;
  for (int i = 0; i < kRounds; ++i) {
    CHECK(IsolatedWorkers(fleet.mShard).size() <= kMostIsolated);
    RunFor(fleet, Duration(500));
    fleet.Start(OrderOutcome::kDone);
  }
}

// Guards against jobs that fail since they ran beside a task that crashes its
// workers some seconds after each start, and were placed together with it
// again.
TEST_CASE("a task that crashes late is given up without others", "[crash]")
{
  constexpr int kWorkers = 6;
  constexpr Duration kCrashesAfter{ 8'000 };
  constexpr std::uint32_t kCrashes = 3;
  CrashedFleet fleet(kWorkers);
  const std::string first = fleet.mNames.front();
  const JobId deadly = JobNumber(0);
  const std::vector<JobId> innocent{ JobNumber(1), JobNumber(2) };
  AddLongRunning(fleet, deadly, 1'000);
  AddLongRunning(fleet, innocent[0], 1'000);
  AddLongRunning(fleet, innocent[1], 1'000);
  for (auto& [name, worker] : fleet.mShard.mWorkers) {
    worker.mAvoidedUntil = name == first ? kNever : fleet.mNow + Duration(1);
  }
  fleet.Start(OrderOutcome::kDone);
  fleet.mNow += Duration(1);
  for (int i = 0; i < kWorkers - 2; ++i) {
    AddLongRunning(fleet, JobNumber(3 + i), 5'000);
  }
  fleet.Start(OrderOutcome::kDone);
  for (std::uint32_t i = 0; i < kCrashes; ++i) {
    RunFor(fleet, kCrashesAfter);
    const std::string worker =
      FindTask(fleet.mShard, { deadly, 0, 0, 0 })->mWorker;
    REQUIRE_FALSE(worker.empty());
    CrashAlone(fleet, worker);
    // It is empty, so it is the best place for all.
    AddWorker(fleet, fmt::format("new-{}", i));
    fleet.Start(OrderOutcome::kDone);
  }
  CHECK(fleet.mShard.mJobs.at(deadly).mState == BatchState::kFailed);
  for (const auto& id : innocent) {
    CHECK(fleet.mShard.mJobs.at(id).mState != BatchState::kFailed);
  }
}

} // namespace verbenacroft
