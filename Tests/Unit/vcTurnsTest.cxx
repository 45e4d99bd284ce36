/// Orders in which something could always come last: each test lets one thing
/// come last for as long as its order allows.

#include "vcDispatch.h"
#include "vcNode.h"
#include "vcPeers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <list>

namespace verbenacroft {

namespace {

constexpr Duration kRound{ 100 };
constexpr std::int64_t kFirstClock = 100'000;
constexpr std::int64_t kWorkerMilliCpu = 10'000;
constexpr const char* kJob = "00000000000000a1";

std::string WorkerName(int aWorker)
{
  return fmt::format("w{}", aWorker);
}

/// Terms and needs of a job of one step.
struct TurnsJob
{
  std::uint32_t mTasks = 1;
  std::int64_t mMilliCpu = 1'000;
  bool mIsLasting = false;
  std::int32_t mPriority = 0;
};

/// How some of the workers treat starts.
struct StartFault
{
  OrderOutcome mOutcome = OrderOutcome::kDone;
  /// Time from the order to the outcome.
  Duration mAnswerTime{ 0 };
};

/// Workers that run what they are told, and such as carry out no start.
class TurnsFleet
{
public:
  explicit TurnsFleet(int aWorkers)
  {
    this->mShard.mEpoch = 10;
    std::vector<WorkerEntry> entries;
    for (int i = 1; i <= aWorkers; ++i) {
      WorkerEntry entry;
      entry.mWorker = WorkerName(i);
      entry.mService = "pool";
      entry.mAddress = "127.0.0.1:9000";
      entry.mCapacity.mMilliCpu = kWorkerMilliCpu;
      entries.push_back(entry);
    }
    OnDiscovery(this->mShard, entries, this->mNow);
    for (auto& [name, worker] : this->mShard.mWorkers) {
      worker.mIsRecorded = true;
      this->mRuns[name] = {};
    }
    this->Report();
  }

  void Add(const JobId& aJob, const TurnsJob& aShape)
  {
    BatchRecord record;
    record.mAcceptedAtMs = this->mNow.count();
    record.mTerms.mQueue = "queue";
    record.mTerms.mService = "pool";
    record.mTerms.mMaxAttempts = 3;
    record.mTerms.mPriority = aShape.mPriority;
    StepSpec step;
    step.mCount = aShape.mTasks;
    step.mNeeds.mMilliCpu = aShape.mMilliCpu;
    step.mEstimateMs = 1'000;
    step.mIsLasting = aShape.mIsLasting;
    record.mSpec.mSteps.push_back(step);
    AddJob(this->mShard, aJob, record, 20, this->mNow, this->mNow.count());
  }

  void SetFault(const std::string& aWorker, const StartFault& aFault)
  {
    this->mFaults[aWorker] = aFault;
  }

  /// Answers orders, reports and plans.
  void Round()
  {
    this->mNow += kRound;
    this->AnswerLate();
    this->Report();
    this->mShard.mStartBudget = this->mBytesPerRound;
    DispatchActions actions;
    PlanStarts(this->mShard, this->mNow, this->mNow.count(), actions);
    for (const auto& start : actions.mStarts) {
      this->Carry(start);
    }
  }

  /// Plays rounds until a worker runs a task of the job, at most `aMost`.
  /// @return how long that took
  Duration RunUntilStarted(const JobId& aJob, Duration aMost)
  {
    const TimePoint since = this->mNow;
    while (!this->Runs(aJob) && this->mNow - since < aMost) {
      this->Round();
    }
    return this->mNow - since;
  }

  bool Runs(const JobId& aJob) const
  {
    return std::any_of(
      this->mRuns.begin(), this->mRuns.end(), [&](const auto& aWorker) {
        return std::any_of(
          aWorker.second.begin(),
          aWorker.second.end(),
          [&](const RunningTask& aRow) { return aRow.mTask.mJob == aJob; });
      });
  }

  DispatchShard mShard;
  TimePoint mNow{ 0 };
  /// Start budget of each round.
  double mBytesPerRound = std::numeric_limits<double>::infinity();

private:
  /// An order without an answer yet.
  struct Pending
  {
    TimePoint mAnswerAt{ 0 };
    OrderOutcome mOutcome = OrderOutcome::kDone;
    AddressedOrder<StartOrder> mStart;
  };

  void Report()
  {
    for (const auto& [name, runs] : this->mRuns) {
      WorkerReport report;
      report.mOutcome = OrderOutcome::kDone;
      report.mClock = kFirstClock + this->mNow.count();
      report.mIncarnation = 1;
      report.mRunning = runs;
      OnReport(
        this->mShard, name, report, this->mNow, this->mNow, this->mNow.count());
    }
  }

  void Answer(const Pending& aPending)
  {
    const OrderReply reply{ aPending.mOutcome,
                            kFirstClock + this->mNow.count() };
    OnStartReply(this->mShard,
                 aPending.mStart.mWorker,
                 aPending.mStart.mOrder,
                 reply,
                 this->mNow);
  }

  void AnswerLate()
  {
    for (auto at = this->mPending.begin(); at != this->mPending.end();) {
      if (this->mNow >= at->mAnswerAt) {
        this->Answer(*at);
        at = this->mPending.erase(at);
      } else {
        ++at;
      }
    }
  }

  void Carry(const AddressedOrder<StartOrder>& aStart)
  {
    const StartFault fault = this->mFaults[aStart.mWorker];
    const Pending pending{ this->mNow + fault.mAnswerTime,
                           fault.mOutcome,
                           aStart };
    if (fault.mOutcome == OrderOutcome::kDone) {
      RunningTask row;
      row.mTask = aStart.mOrder.mTask;
      row.mRun = aStart.mOrder.mRun;
      this->mRuns[aStart.mWorker].push_back(row);
    }
    if (fault.mAnswerTime == Duration(0)) {
      this->Answer(pending);
    } else {
      this->mPending.push_back(pending);
    }
  }

  std::map<std::string, StartFault> mFaults;
  std::map<std::string, std::vector<RunningTask>> mRuns;
  std::list<Pending> mPending;
};

/// What a peer answers that has made a store call.
std::string RelayedReply(KvStatus aStatus)
{
  KvReply reply;
  reply.mStatus = aStatus;
  return Encode(reply);
}

} // namespace

// Guards against a task that goes for ever from one worker that carries out no
// start to the next, since these keep their free capacity, and never to one
// that is well.
TEST_CASE("workers that carry out no start don't keep a task to themselves",
          "[turns]")
{
  struct Row
  {
    const char* mName;
    int mFaulty;
    StartFault mFault;
  };
  const auto row = GENERATE(values<Row>({
    { "orders vanish", 2, { OrderOutcome::kUnknown, Duration(800) } },
    { "orders vanish", 3, { OrderOutcome::kUnknown, Duration(800) } },
    { "orders are refused", 3, { OrderOutcome::kUnhealthy, Duration(0) } },
    { "orders are not sent", 3, { OrderOutcome::kNotSent, Duration(0) } },
  }));
  constexpr int kWorkers = 8;
  // Two tries on each, and their quarantine.
  constexpr Duration kMostTime{ 15'000 };
  CAPTURE(row.mName, row.mFaulty);
  TurnsFleet fleet(kWorkers);
  // Load on all workers, so that those whose load ends look best.
  for (int i = 1; i <= row.mFaulty; ++i) {
    fleet.mShard.mWorkers.at(WorkerName(i)).mEntry.mIsDraining = true;
  }
  fleet.Add(
    "00000000000000b1",
    { static_cast<std::uint32_t>(kWorkers - row.mFaulty), 5'000, true });
  fleet.Round();
  for (int i = 1; i <= row.mFaulty; ++i) {
    fleet.mShard.mWorkers.at(WorkerName(i)).mEntry.mIsDraining = false;
    fleet.SetFault(WorkerName(i), row.mFault);
  }
  fleet.Add(kJob, {});
  CHECK(fleet.RunUntilStarted(kJob, Duration(60'000)) <= kMostTime);
}

// Guards against jobs that have nothing running because each worker that
// becomes free for them is taken by the next suspect.
TEST_CASE("suspects leave workers to other jobs", "[turns]")
{
  constexpr std::uint32_t kSuspects = 40;
  constexpr const char* kSuspectsJob = "00000000000000c1";
  TurnsFleet fleet(4);
  fleet.Add(kSuspectsJob, { kSuspects, 100, true });
  CrashHistory history;
  history.mCrashes = 1;
  history.mLongestRun = Duration(10'000);
  for (std::uint32_t i = 0; i < kSuspects; ++i) {
    ApplyCrashHistory(fleet.mShard,
                      { kSuspectsJob, 0, 0, i },
                      history,
                      fleet.mNow,
                      fleet.mNow.count());
  }
  fleet.Add(kJob, {});
  CHECK(fleet.RunUntilStarted(kJob, Duration(60'000)) <= kMaxIdleTime);
}

// Guards against a job of a less urgent queue that isn't started on workers
// that are almost empty, because the starts of others use up the budget of each
// round.
TEST_CASE("a start budget leaves a turn to less urgent queues", "[turns]")
{
  TurnsFleet fleet(4);
  fleet.mBytesPerRound = 1;
  fleet.Add("00000000000000b1", { 1'000, 10, true });
  fleet.Add(kJob, { 1, 1'000, false, 1 });
  CHECK(fleet.RunUntilStarted(kJob, Duration(60'000)) <= kMaxIdleTime);
}

// Guards against an owner on a slow link that sends more starts than it
// carries, because jobs that have waited start over the budget.
TEST_CASE("a start over the budget is owed by the next rounds", "[turns]")
{
  constexpr int kJobs = 10;
  TurnsFleet fleet(kJobs);
  const auto idOf = [](int aIndex) { return fmt::format("{:016x}", aIndex); };
  for (int i = 1; i <= kJobs; ++i) {
    fleet.Add(idOf(i), { 1, 1'000, false, i });
  }
  const auto countStarted = [&] {
    int started = 0;
    for (int i = 1; i <= kJobs; ++i) {
      started += fleet.Runs(idOf(i)) ? 1 : 0;
    }
    return started;
  };
  const auto playWithoutBudget = [&] {
    fleet.mBytesPerRound = 0;
    const TimePoint until = fleet.mNow + kMaxIdleTime;
    while (fleet.mNow < until) {
      fleet.Round();
    }
  };
  playWithoutBudget();
  REQUIRE(countStarted() == 0);
  constexpr double kBytes = 1;
  fleet.mBytesPerRound = kBytes;
  fleet.Round();
  // The last start within the budget, and one over it.
  constexpr int kStarts = 2;
  CHECK(countStarted() <= kStarts);
  CHECK(fleet.mShard.mStartBudget <= kBytes - countStarted() * StartBytes(0));
  playWithoutBudget();
  CHECK(countStarted() <= kStarts);
}

// Guards against callers that are refused for as long as the node is cut off
// from the store, since it asks only the peers whose names come first.
TEST_CASE("a store call is relayed by whichever peer can make it", "[turns]")
{
  struct Row
  {
    const char* mName;
    std::string mAnswer;
  };
  const auto row = GENERATE(values<Row>({
    { "peers are cut off too", RelayedReply(KvStatus::kRefused) },
    { "peers give no answer that can be read", "{" },
  }));
  CAPTURE(row.mName);
  constexpr int kFailing = 4;
  constexpr int kMostCalls = 5;
  asio::io_context io{ 1 };
  // No reply of the store is known, so it counts as down.
  NodeContext node{ io, {} };
  const Endpoint anyPort(asio::ip::address_v4::loopback(), 0);
  const HttpServer failing(
    io, anyPort, {}, [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
      co_return JsonResponse(row.mAnswer);
    });
  const HttpServer sound(
    io, anyPort, {}, [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
      co_return JsonResponse(RelayedReply(KvStatus::kOk));
    });
  for (int i = 0; i <= kFailing; ++i) {
    const HttpServer& peer = i < kFailing ? failing : sound;
    NodeRecord record;
    record.mPeerAddress =
      fmt::format("127.0.0.1:{}", peer.LocalEndpoint().port());
    node.mNodes[fmt::format("node-{}", i)] = record;
  }
  int calls = 0;
  KvStatus outcome = KvStatus::kRefused;
  asio::co_spawn(
    io,
    [&]() -> asio::awaitable<void> {
      while (outcome != KvStatus::kOk && calls < kMostCalls) {
        ++calls;
        const KvReply reply = co_await CommitWithRelay(node, KvTransaction{});
        outcome = reply.mStatus;
      }
      io.stop();
    },
    asio::detached);
  io.run_for(std::chrono::seconds(10));
  CAPTURE(calls);
  CHECK(outcome == KvStatus::kOk);
}

} // namespace verbenacroft
