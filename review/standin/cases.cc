/// The cases of the review that are scripts. Each says at its head which
/// disruption it plays and what it checks.

#include "platform.hh"

namespace review {

namespace {

const std::string kHost = "nony24.example";
const std::string kPrefix = "/lohu930/";

/// Task 0 of step 0 of a job without occurrences.
std::string FirstTask(const std::string& aJob)
{
  return aJob + ".0.0.0";
}

/// Waits until the task runs; null if it doesn't within the time.
asio::awaitable<Worker*> AwaitRun(World& aWorld,
                                  std::string aTask,
                                  std::int64_t aMs)
{
  const std::int64_t until = NowMs() + aMs;
  while (NowMs() < until) {
    Worker* worker = aWorld.mFleet->RunnerOf(aTask);
    if (worker != nullptr) {
      co_return worker;
    }
    co_await Sleep(5);
  }
  co_return nullptr;
}

/// Waits for a state of the job that doesn't change any more.
/// @return the last state
asio::awaitable<std::string> AwaitEnd(World& aWorld,
                                      std::string aPath,
                                      std::int64_t aMs)
{
  const std::int64_t until = NowMs() + aMs;
  std::string state;
  std::string before;
  while (NowMs() < until) {
    state = co_await aWorld.StateOf(kHost, aPath);
    if (state != before) {
      aWorld.Note("GET " + aPath + " -> " + state);
      before = state;
    }
    if (state == "completed" || state == "failed" || state == "cancelled") {
      break;
    }
    co_await Sleep(200);
  }
  co_return state;
}

/// Workers crash (`srv_crash`, dark): a worker goes dark for 2 s, and a job is
/// submitted whose start is sent there before anybody can know. The worker is
/// back, the task runs elsewhere or there, and that worker goes dark as well.
/// No run of the task ever ends as failed, and the queue allows four attempts.
/// Broken if the job is shown as failed.
Task FailedWithoutCause(World& aWorld)
{
  const std::string before = "5c0e7a21d94b36f7";
  const std::string job = "5c0e7a21d94b36f8";
  constexpr std::int64_t kDownMs = 2'000;
  constexpr std::int64_t kCrashAfterMs = 300;
  aWorld.mStore->Put("op/config",
                     ConfigText(3, { { "r-1", kHost, kPrefix, 4 } }));
  aWorld.mFleet->mBehaviour[before + ".0.0"] = {
    1'000, 0, false, 5'700, 8'000
  };
  aWorld.mFleet->mBehaviour[job + ".0.0"] = { 3'000, 0, false, 5'700, 8'000 };
  if (!co_await aWorld.AwaitReady(kHost, kPrefix)) {
    co_return;
  }
  co_await Sleep(4'000);
  const std::string body =
    R"({"spec":"press","steps":[{"count":1,"cpu":5700,"mem_mb":8000,)"
    R"("estimate_ms":3000}]})";
  if (!co_await aWorld.Submit(kHost, kPrefix + before, body)) {
    co_return;
  }
  // The next job is placed like this one.
  Worker* first = co_await AwaitRun(aWorld, FirstTask(before), 20'000);
  if (first == nullptr) {
    aWorld.Note("the first job isn't started");
    co_return;
  }
  co_await Sleep(3'000);
  if (aWorld.mHasTrouble) {
    aWorld.Note("worker " + first->Id() + " goes dark");
    first->GoDark();
    co_await Sleep(50);
  }
  if (!co_await aWorld.Submit(kHost, kPrefix + job, body)) {
    co_return;
  }
  if (aWorld.mHasTrouble) {
    co_await Sleep(kDownMs);
    first->Start();
    aWorld.Note("worker " + first->Id() + " is back");
    Worker* second = co_await AwaitRun(aWorld, FirstTask(job), 20'000);
    if (second == nullptr) {
      aWorld.Note("the task isn't started");
      co_return;
    }
    co_await Sleep(kCrashAfterMs);
    aWorld.Note("worker " + second->Id() + " goes dark");
    second->GoDark();
    co_await Sleep(kDownMs);
    second->Start();
    aWorld.Note("worker " + second->Id() + " is back");
  }
  const std::string state = co_await AwaitEnd(aWorld, kPrefix + job, 40'000);
  int failed = 0;
  for (const auto& how : aWorld.mFleet->mEnds[FirstTask(job)]) {
    failed += how == "failed" ? 1 : 0;
  }
  aWorld.Note("the job is shown as " + state + "; its task was started " +
              std::to_string(aWorld.mFleet->mStarts[FirstTask(job)]) +
              " times, and " + std::to_string(failed) +
              " runs ended failed, of 4 that are allowed");
  if (state == "completed") {
    aWorld.mResult = 0;
  } else if (state == "failed" && failed < 4) {
    aWorld.mResult = 1;
  }
}

/// A worker is cut off and crashes behind the cut (`node_cut`, servers reborn):
/// a gang of two ends done while one of its workers is cut off for 5 s. The end
/// is reported by the other worker and taken note of. The worker behind the cut
/// starts again before the cut ends. Broken if the step that comes after the
/// gang isn't started and the job doesn't end.
Task GangEndsBehindCut(World& aWorld)
{
  const std::string job = "5c0e7a21d94b36f9";
  constexpr std::int64_t kGangMs = 4'000;
  constexpr std::int64_t kCutAfterMs = 2'000;
  constexpr std::int64_t kRebornAfterMs = 4'000;
  constexpr std::int64_t kCutMs = 5'000;
  constexpr std::int64_t kFinishMs = 14'000;
  aWorld.mStore->Put("op/config",
                     ConfigText(3, { { "r-1", kHost, kPrefix, 4 } }));
  aWorld.mFleet->mBehaviour[job + ".0.0"] = { kGangMs, 2, false, 2'000, 500 };
  aWorld.mFleet->mBehaviour[job + ".0.1"] = { 1'000, 0, false, 2'000, 500 };
  if (!co_await aWorld.AwaitReady(kHost, kPrefix)) {
    co_return;
  }
  co_await Sleep(4'000);
  const std::string body =
    R"({"spec":"press","steps":[{"count":2,"cpu":2000,"mem_mb":500,)"
    R"("estimate_ms":4000,"gang":true,"max_per_server":1},{"count":1,)"
    R"("cpu":2000,"mem_mb":500,"estimate_ms":1000,"after":[0]}]})";
  if (!co_await aWorld.Submit(kHost, kPrefix + job, body)) {
    co_return;
  }
  const std::string first = job + ".0.0.0";
  const std::string second = job + ".0.0.1";
  Worker* stays = co_await AwaitRun(aWorld, first, 20'000);
  Worker* cut = co_await AwaitRun(aWorld, second, 5'000);
  if (stays == nullptr || cut == nullptr || stays == cut) {
    aWorld.Note("the gang doesn't run on two workers");
    co_return;
  }
  if (aWorld.mHasTrouble) {
    co_await Sleep(kCutAfterMs);
    aWorld.Note("worker " + cut->Id() + " is cut off");
    cut->SetCut(true);
    co_await Sleep(kRebornAfterMs);
    aWorld.Note("worker " + cut->Id() + " crashes behind the cut");
    cut->Crash();
    co_await Sleep(500);
    cut->Start();
    co_await Sleep(kCutMs - kRebornAfterMs - 500);
    cut->SetCut(false);
    aWorld.Note("worker " + cut->Id() + " is back, started anew");
  } else {
    co_await Sleep(kCutAfterMs + kCutMs);
  }
  const std::string state =
    co_await AwaitEnd(aWorld, kPrefix + job, kFinishMs + 6'000);
  const auto& noted = aWorld.mFleet->mNoted[first];
  const bool isGangDone =
    std::find(noted.begin(), noted.end(), "done") != noted.end();
  const int starts = aWorld.mFleet->mStarts[job + ".0.1.0"];
  aWorld.Note(std::string("the end of the gang is taken note of: ") +
              (isGangDone ? "yes" : "no") + ", starts of the next step: " +
              std::to_string(starts) + ", state " + state);
  if (state == "completed") {
    aWorld.mResult = 0;
  } else if (isGangDone && starts == 0) {
    aWorld.mResult = 1;
  }
}

/// Open channels go silent for good, without a reset, while new ones work: all
/// open channels from the nodes to the store, at one moment. 200 ms later the
/// operator drops a route. Broken if a request that is sent over that route
/// once the node is in touch again (3 s after the silence) and later than
/// config_ms (2 s) after the ack is answered with success.
Task SilentChannels(World& aWorld)
{
  constexpr std::int64_t kContactMs = 3'000;
  constexpr std::int64_t kConfigMs = 2'000;
  constexpr std::int64_t kMarginMs = 300;
  constexpr int kJobsAtOnce = 40;
  const std::string dropped = "/pufi791/";
  const std::vector<Route> before{ { "r-1", kHost, kPrefix, 4 },
                                   { "r-2", kHost, dropped, 4 } };
  const std::vector<Route> after{ { "r-1", kHost, kPrefix, 4 } };
  aWorld.mStore->Put("op/config", ConfigText(3, before));
  if (!co_await aWorld.AwaitReady(kHost, kPrefix)) {
    co_return;
  }
  co_await Sleep(4'000);
  // Ordinary traffic: some jobs arrive at the same moment, at each node.
  const std::string body =
    R"({"spec":"press","steps":[{"count":1,"cpu":500,"mem_mb":100,)"
    R"("estimate_ms":500}]})";
  int left = 0;
  for (int i = 0; i < kJobsAtOnce; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
    const std::string job = id;
    aWorld.mFleet->mBehaviour[job + ".0.0"] = { 500, 0, false, 500, 100 };
    const Node& node =
      aWorld.mNodes.at(static_cast<std::size_t>(i) % aWorld.mNodes.size());
    ++left;
    asio::co_spawn(
      aWorld.mIo,
      [&aWorld, &left, node, path = dropped + job, body]() -> Task {
        co_await aWorld.Call(node.mFront, "POST", kHost, path, body);
        --left;
      },
      asio::detached);
  }
  while (left > 0) {
    co_await Sleep(20);
  }
  co_await Sleep(3'000);
  aWorld.Note("channels to the store: " +
              std::to_string(aWorld.mStore->Channels().Channels()));
  const std::int64_t silentAt = NowMs();
  if (aWorld.mHasTrouble) {
    aWorld.mStore->Channels().SilenceOpenChannels();
    aWorld.Note("the open channels to the store fall silent");
  }
  co_await Sleep(200);
  aWorld.mStore->Put("op/config", ConfigText(5, after));
  const std::int64_t ackedAt = NowMs();
  aWorld.Note("version 5 without the route " + dropped + " is acked");
  const std::int64_t judgedFrom =
    std::max(silentAt + kContactMs, ackedAt + kConfigMs) + kMarginMs;
  int served = 0;
  int judged = 0;
  int number = 0;
  const std::string oldJob = "0000000000001000";
  while (NowMs() < silentAt + 25'000) {
    for (const auto& node : aWorld.mNodes) {
      char id[17];
      std::snprintf(id, sizeof id, "%016x", 0x2000 + number++);
      const std::string job = id;
      aWorld.mFleet->mBehaviour[job + ".0.0"] = { 500, 0, false, 500, 100 };
      for (int kind = 0; kind < 2; ++kind) {
        const bool isPost = kind == 1;
        const std::int64_t sentAt = NowMs();
        const std::string method = isPost ? "POST" : "GET";
        const std::string path = dropped + (isPost ? job : oldJob);
        const std::string sent = isPost ? body : std::string();
        const Reply reply =
          co_await aWorld.Call(node.mFront, method, kHost, path, sent);
        const bool isJudged = sentAt >= judgedFrom;
        const bool isServed = reply.mStatus == 200;
        judged += isJudged ? 1 : 0;
        served += isServed && isJudged ? 1 : 0;
        aWorld.Note(method + " " + path + " at " + node.mName + ", sent " +
                    std::to_string(sentAt - silentAt) +
                    " ms after the silence -> " +
                    std::to_string(reply.mStatus) +
                    (isServed && isJudged ? " BROKEN" : ""));
      }
    }
    co_await Sleep(200);
  }
  aWorld.Note("requests that are judged: " + std::to_string(judged) +
              ", served over the dropped route: " + std::to_string(served));
  aWorld.mResult = served > 0 ? 1 : 0;
}

/// A worker is lost for good (`srv_crash`, gone) and the machine that gives the
/// orders is lost for good at the same time (`replace_core`). Broken if a task
/// that lasts has no run, later than 6 s after its last run, for 3 s that are
/// calm and follow 4 calm seconds. The time in which the machines catch up
/// doesn't count as calm here.
Task LastingTasksHeld(World& aWorld)
{
  const std::string job = "5c0e7a21d94b36fa";
  constexpr int kTasks = 6;
  constexpr std::int64_t kCatchUpMs = 4'000;
  constexpr std::int64_t kAfterLastRunMs = 6'000;
  constexpr std::int64_t kCalmBeforeMs = 4'000;
  constexpr std::int64_t kIdleMs = 3'000;
  constexpr std::int64_t kWatchMs = 30'000;
  aWorld.mStore->Put("op/config",
                     ConfigText(3, { { "r-1", kHost, kPrefix, 4 } }));
  aWorld.mFleet->mBehaviour[job + ".0.0"] = { 320,    0,      false,
                                              13'000, 26'000, true };
  if (!co_await aWorld.AwaitReady(kHost, kPrefix)) {
    co_return;
  }
  co_await Sleep(4'000);
  const std::string body =
    R"({"spec":"hold","steps":[{"count":6,"cpu":13000,"mem_mb":26000,)"
    R"("estimate_ms":320,"long_running":true,"max_per_server":1}]})";
  if (!co_await aWorld.Submit(kHost, kPrefix + job, body)) {
    co_return;
  }
  co_await Sleep(8'000);
  Worker* lost = co_await AwaitRun(aWorld, FirstTask(job), 5'000);
  const Node* owner = aWorld.Owner();
  if (lost == nullptr || owner == nullptr) {
    aWorld.Note("the tasks don't run");
    co_return;
  }
  const std::int64_t lostAt = NowMs();
  if (aWorld.mHasTrouble) {
    aWorld.Note("worker " + lost->Id() + " and node " + owner->mName +
                " are lost for good");
    lost->Crash();
    KillNode(*owner, true);
  }
  const std::int64_t calmFrom = lostAt + kCatchUpMs;
  const std::int64_t until = NowMs() + kWatchMs;
  std::vector<std::int64_t> lastRunAt(kTasks, lostAt);
  std::int64_t longest = 0;
  while (NowMs() < until) {
    const std::int64_t now = NowMs();
    for (int i = 0; i < kTasks; ++i) {
      const std::string task = job + ".0.0." + std::to_string(i);
      auto& at = lastRunAt.at(static_cast<std::size_t>(i));
      if (aWorld.mFleet->RunnerOf(task) != nullptr) {
        at = now;
        continue;
      }
      const std::int64_t judgedFrom =
        std::max(at + kAfterLastRunMs, calmFrom + kCalmBeforeMs);
      longest = std::max(longest, now - judgedFrom);
    }
    co_await Sleep(10);
  }
  aWorld.Note(
    "longest time without a run that counts: " + std::to_string(longest) +
    " ms, of " + std::to_string(kIdleMs) + " that are allowed");
  aWorld.mResult = longest > kIdleMs ? 1 : 0;
}

/// A large job: one that is due each minute for a month, of 32 tasks. The
/// platform kills a process that exceeds its memory. Broken if it has to do so
/// three times on two of the machines while nothing is disturbed.
Task RecurringJob(World& aWorld)
{
  const std::string job = "5c0e7a21d94b36fb";
  constexpr std::int64_t kMemoryMb = 260;
  constexpr int kMostEnds = 3;
  constexpr int kMostMachines = 2;
  constexpr std::int64_t kWatchMs = 75'000;
  aWorld.mStore->Put("op/config",
                     ConfigText(3, { { "r-1", kHost, kPrefix, 4 } }));
  aWorld.mFleet->mBehaviour[job + ".0.0"] = { 1'000, 0, false, 500, 100 };
  if (!co_await aWorld.AwaitReady(kHost, kPrefix)) {
    co_return;
  }
  co_await Sleep(4'000);
  const std::int64_t startAt = UnixMs() + 5'000;
  const std::string occurrences = aWorld.mHasTrouble ? "43200" : "20";
  const std::string body =
    R"({"spec":"press","steps":[{"count":32,"cpu":500,"mem_mb":100,)"
    R"("estimate_ms":1000}],"repeat_count":)" +
    occurrences + R"(,"interval_ms":60000,"start_at_ms":)" +
    std::to_string(startAt) + "}";
  if (!co_await aWorld.Submit(kHost, kPrefix + job, body)) {
    co_return;
  }
  std::map<std::string, int> ends;
  int machines = 0;
  std::int64_t most = 0;
  const std::int64_t until = NowMs() + kWatchMs;
  while (NowMs() < until && machines < kMostMachines) {
    for (const auto& node : aWorld.mNodes) {
      const std::int64_t memory = MemoryMb(node);
      most = std::max(most, memory);
      if (memory > kMemoryMb) {
        KillNode(node, false);
        machines += ++ends[node.mName] == kMostEnds ? 1 : 0;
        aWorld.Note(node.mName + " has " + std::to_string(memory) +
                    " MB, over its limit, and is killed for the " +
                    std::to_string(ends[node.mName]) + ". time");
      }
    }
    co_await Sleep(50);
  }
  aWorld.Note(
    "most memory of a process: " + std::to_string(most) +
    " MB; machines with three such ends: " + std::to_string(machines));
  aWorld.mResult = machines >= kMostMachines ? 1 : 0;
}

void Unchanged(Figures&) {}

const bool kAreAdded = [] {
  Cases()["failed-without-cause"] = { Unchanged, FailedWithoutCause };
  Cases()["gang-ends-behind-cut"] = { Unchanged, GangEndsBehindCut };
  Cases()["silent-channels"] = { Unchanged, SilentChannels };
  Cases()["lasting-tasks-held"] = { Unchanged, LastingTasksHeld };
  Cases()["recurring-job"] = { Unchanged, RecurringJob };
  return true;
}();

} // namespace

} // namespace review
