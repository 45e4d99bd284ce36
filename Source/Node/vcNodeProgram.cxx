#include "vcNodeProgram.h"

#include "vcCallerRequests.h"
#include "vcLatencyBounds.h"
#include "vcMembership.h"
#include "vcMetrics.h"
#include "vcOperatorWatch.h"
#include "vcPeers.h"
#include "vcProgram.h"
#include "vcServerSupport.h"
#include "vcShardClaims.h"
#include "vcShardRunner.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <csignal>

namespace verbenacroft {

namespace {

/// The node reports that it isn't ready once the store's last reply is older
/// than this, so that callers use another node.
constexpr Duration kMaxReadyStoreAge{ 1'500 };
/// Time after SIGTERM in which calls are still accepted, while callers learn
/// from the readiness check that the node is shutting down. At most half of the
/// grace period.
constexpr Duration kMaxDrainDelay{ 2'300 };
/// Part of the grace period that is reserved for ending the process.
constexpr Duration kExitMargin{ 900 };
/// Interval of the checks for requests in flight during shutdown.
constexpr Duration kExitPollInterval{ 50 };
/// Interval at which buffered log lines are written.
constexpr Duration kFlushInterval{ 100 };
constexpr double kMsPerSecond = 1'000;

bool IsReady(const NodeContext& aNode)
{
  const bool isConfigured =
    aNode.mOperators && aNode.mOperators->mConfig.mVersion > 0;
  const bool hasStore =
    SuspendAwareNow() - aNode.mLastStoreReplyAt < kMaxReadyStoreAge;
  return isConfigured && aNode.mShards > 0 && hasStore && !aNode.mIsStopping;
}

asio::awaitable<HttpResponse> AnswerReadiness(const NodeContext& aNode)
{
  co_return IsReady(aNode) ? JsonResponse("{}")
                           : ErrorResponse(503, "not ready");
}

/// Adds the metrics of one shard.
void CollectShard(MetricsPage& aPage,
                  std::uint32_t aShard,
                  const DispatchShard& aState)
{
  const MetricLabels labels{ { "shard", std::to_string(aShard) } };
  std::uint64_t runs = 0;
  std::uint64_t unresponsive = 0;
  for (const auto& [name, worker] : aState.mWorkers) {
    runs += worker.mTasks.size();
    unresponsive += worker.mIsUnresponsive ? 1 : 0;
  }
  const auto gauge = [&](const char* aName, const char* aHelp, auto aValue) {
    aPage.Gauge(aName, aHelp, static_cast<double>(aValue), labels);
  };
  gauge("verbenacroft_shard_jobs", "Jobs in memory.", aState.mJobs.size());
  gauge("verbenacroft_shard_task_bytes",
        "Memory of the state of tasks.",
        aState.mOccurrenceBytes);
  gauge("verbenacroft_shard_workers", "Workers.", aState.mWorkers.size());
  gauge(
    "verbenacroft_shard_silent_workers", "Workers not heard.", unresponsive);
  gauge("verbenacroft_shard_runs", "Runs on workers.", runs);
  gauge("verbenacroft_shard_epoch", "Epoch of this owner.", aState.mEpoch);
  gauge("verbenacroft_shard_given_up_jobs",
        "Jobs given up under overload, so that others are in time.",
        aState.mOverload.mGivenUp);
  gauge("verbenacroft_shard_expired_jobs",
        "Jobs whose result has no more use, under overload.",
        aState.mOverload.mExpired);
}

/// Adds what the teams use in one shard. Further teams are left out, which
/// bounds the number of series.
void CollectTeams(MetricsPage& aPage,
                  std::uint32_t aShard,
                  const DispatchShard& aState)
{
  constexpr std::size_t kMaxTeams = 100;
  std::size_t teams = 0;
  for (const auto& [team, quota] : aState.mTeams) {
    if (++teams > kMaxTeams) {
      return;
    }
    const auto use = aState.mTeamUse.find(team);
    const std::int64_t milliCpu =
      use == aState.mTeamUse.end() ? 0 : use->second.mKnown.mMilliCpu;
    const MetricLabels labels{ { "shard", std::to_string(aShard) },
                               { "team", team } };
    aPage.Gauge("verbenacroft_team_milli_cpu",
                "Processors that a team's tasks use, in thousandths.",
                static_cast<double>(milliCpu),
                labels);
    aPage.Gauge("verbenacroft_team_share",
                "The shard's part of a team's limit, of 10,000.",
                static_cast<double>(quota.mShare),
                labels);
  }
}

/// A metric of waiting work: its name and help text.
struct WaitingMetric
{
  const char* mName;
  const char* mHelp;
};

constexpr WaitingMetric kWaitingTasks{ "verbenacroft_shard_waiting_tasks",
                                       "Tasks that are ready and wait." };
constexpr WaitingMetric kOldestWait{ "verbenacroft_shard_oldest_wait_ms",
                                     "Longest wait of a task that is ready." };
constexpr WaitingMetric kIdleJobs{
  "verbenacroft_shard_idle_jobs",
  "Jobs with a ready task that have had nothing running for too long."
};
constexpr WaitingMetric kLongestIdle{ "verbenacroft_shard_longest_idle_ms",
                                      "Longest such time of a job." };

/// Adds the metrics of a shard's waiting work. A reason for which nothing waits
/// is 0, so that its series doesn't keep an old value.
void CollectWaiting(MetricsPage& aPage,
                    std::uint32_t aShard,
                    const WaitingSummary& aWaiting,
                    const WaitingMetric& aCount,
                    const WaitingMetric& aLongest)
{
  for (const auto& reason : EnumTable<WaitReason>::kRows) {
    const MetricLabels labels{ { "shard", std::to_string(aShard) },
                               { "reason", std::string(reason.mName) } };
    const auto found = aWaiting.find(reason.mValue);
    const WaitingTasks row =
      found == aWaiting.end() ? WaitingTasks{} : found->second;
    aPage.Gauge(
      aCount.mName, aCount.mHelp, static_cast<double>(row.mTasks), labels);
    aPage.Gauge(aLongest.mName,
                aLongest.mHelp,
                static_cast<double>(row.mLongestWait.count()),
                labels);
  }
}

/// Adds the metrics of a shard's long-running tasks that don't run.
void CollectLongRunningWait(MetricsPage& aPage,
                            std::uint32_t aShard,
                            const std::optional<LongRunningWait>& aWait)
{
  const MetricLabels labels{ { "shard", std::to_string(aShard) } };
  const LongRunningWait wait = aWait.value_or(LongRunningWait{});
  aPage.Gauge("verbenacroft_shard_long_running_waiting",
              "Long-running tasks that don't run.",
              static_cast<double>(wait.mTasks),
              labels);
  aPage.Gauge("verbenacroft_shard_long_running_longest_wait_ms",
              "Longest wait of such a task.",
              static_cast<double>(wait.mWait.count()),
              labels);
}

/// Adds the metrics of the calls to the store.
void CollectStoreCalls(const StoreStats& aStats, MetricsPage& aPage)
{
  for (const auto& call : EnumTable<KvCall>::kRows) {
    const auto& outcomes =
      aStats[static_cast<std::size_t>(call.mValue)].mOutcomes;
    for (const auto& outcome : EnumTable<KvStatus>::kRows) {
      aPage.Counter(
        "verbenacroft_store_calls_total",
        "Calls to the store.",
        static_cast<double>(outcomes[static_cast<std::size_t>(outcome.mValue)]),
        { { "call", std::string(call.mName) },
          { "outcome", std::string(outcome.mName) } });
    }
  }
  for (const auto& call : EnumTable<KvCall>::kRows) {
    const KvCallStats& stats = aStats[static_cast<std::size_t>(call.mValue)];
    if (!stats.mLatencies.empty()) {
      aPage.Histogram("verbenacroft_store_latency_ms",
                      "Time of calls to the store.",
                      LatencyBoundsMs(),
                      stats.mLatencies,
                      stats.mLatencySumMs,
                      { { "call", std::string(call.mName) } });
    }
  }
}

/// Adds the responses to callers by team.
void CollectTeamAnswers(const NodeCounters& aCounters, MetricsPage& aPage)
{
  for (const auto& row : aCounters.mTeamAnswers) {
    const std::string& team = row.first;
    const TeamAnswers& answers = row.second;
    const auto add = [&](const char* aOutcome, std::uint64_t aCount) {
      aPage.Counter("verbenacroft_team_answers_total",
                    "Answers to callers by team.",
                    static_cast<double>(aCount),
                    { { "team", team }, { "outcome", aOutcome } });
    };
    add("accepted", answers.mAccepted);
    add("unauthorized", answers.mUnauthorized);
    add("other", answers.mOther);
  }
}

/// Adds the metrics of the node and of its shards.
void Collect(const NodeContext& aNode, MetricsPage& aPage)
{
  for (const auto& [answer, count] : aNode.mCounters.mAnswers) {
    aPage.Counter("verbenacroft_caller_answers_total",
                  "Answers to callers.",
                  static_cast<double>(count),
                  { { "answer", answer } });
  }
  CollectTeamAnswers(aNode.mCounters, aPage);
  aPage.Histogram("verbenacroft_caller_latency_ms",
                  "Time to answer callers.",
                  LatencyBoundsMs(),
                  aNode.mCounters.mLatencies,
                  aNode.mCounters.mLatencySumMs,
                  {});
  aPage.Counter("verbenacroft_relayed_calls_total",
                "Store calls asked of a peer.",
                static_cast<double>(aNode.mCounters.mRelayedCalls));
  aPage.Counter("verbenacroft_takeovers_total",
                "Shards taken over.",
                static_cast<double>(aNode.mCounters.mTakeovers));
  CollectStoreCalls(aNode.mStoreStats, aPage);
  const TimePoint now = SuspendAwareNow();
  const auto viewAge = [&](const char* aView, TimePoint aCompleteAt) {
    aPage.Gauge("verbenacroft_view_age_ms",
                "Time since a view of the store was last known to be complete.",
                static_cast<double>((now - aCompleteAt).count()),
                { { "view", aView } });
  };
  viewAge("operators", aNode.mOperatorsCompleteAt);
  viewAge("system", aNode.mSystemCompleteAt);
  for (const auto& [shard, runner] : aNode.mRunners) {
    CollectShard(aPage, shard, runner->State());
    CollectTeams(aPage, shard, runner->State());
    CollectWaiting(
      aPage, shard, runner->WaitingTasksByReason(), kWaitingTasks, kOldestWait);
    CollectWaiting(
      aPage, shard, runner->IdleJobsByReason(), kIdleJobs, kLongestIdle);
    CollectLongRunningWait(aPage, shard, runner->LongRunningWaits());
    aPage.Gauge(
      "verbenacroft_shard_inbox_age_ms",
      "Time since the inbox was last known to be complete.",
      static_cast<double>((now - runner->Inbox().mCompleteAt).count()),
      { { "shard", std::to_string(shard) } });
  }
}

/// Shuts the node down on SIGTERM or SIGINT: hands over its shards, accepts
/// calls until callers have had time to leave, and waits for the requests in
/// flight as far as the grace period allows.
asio::awaitable<void> ShutDownOnSignal(NodeContext& aNode, HttpServer& aCallers)
{
  auto executor = co_await asio::this_coro::executor;
  asio::signal_set signals(executor, SIGTERM, SIGINT);
  const int signal = co_await signals.async_wait(asio::use_awaitable);
  const TimePoint since = SuspendAwareNow();
  spdlog::info("process.stop signal={} in_flight={} shards={}",
               signal,
               aCallers.InFlight(),
               aNode.mRunners.size());
  aNode.mIsStopping = true;
  co_await LeaveFleet(aNode);
  const Duration grace(static_cast<std::int64_t>(
    aNode.mSettings.mBounds.mGraceSeconds * kMsPerSecond));
  const TimePoint drainAt = since + std::min(kMaxDrainDelay, grace / 2);
  const TimePoint exitAt = since + std::max(grace / 2, grace - kExitMargin);
  while (SuspendAwareNow() < drainAt) {
    co_await Sleep(kExitPollInterval);
  }
  aCallers.StartDrain();
  while (aCallers.InFlight() > 0 && SuspendAwareNow() < exitAt) {
    co_await Sleep(kExitPollInterval);
  }
  co_await Sleep(kExitPollInterval);
  spdlog::info("process.exit in_flight={} after_ms={}",
               aCallers.InFlight(),
               (SuspendAwareNow() - since).count());
  aNode.mIo.stop();
}

/// Reads the settings again on SIGHUP. Only the bounds change: the grace period
/// at once, the others for shards that the node takes over from then on. The
/// rest, such as addresses, takes effect when the process is restarted. Invalid
/// settings are logged and ignored.
asio::awaitable<void> ReloadOnHangup(NodeContext& aNode, std::string aPath)
{
  auto executor = co_await asio::this_coro::executor;
  asio::signal_set signals(executor, SIGHUP);
  while (true) {
    co_await signals.async_wait(asio::use_awaitable);
    Faults faults;
    const auto settings = LoadSettings<NodeSettings>(aPath, faults);
    if (faults.empty()) {
      CheckNodeSettings(settings, faults);
    }
    for (const auto& fault : faults) {
      spdlog::error("settings.refused file={} key={}", aPath, fault.mPath);
    }
    if (faults.empty()) {
      aNode.mSettings.mBounds = settings.mBounds;
      spdlog::info("settings.reloaded file={}", aPath);
    }
  }
}

asio::awaitable<void> FlushLog()
{
  while (true) {
    co_await Sleep(kFlushInterval);
    spdlog::default_logger()->flush();
  }
}

} // namespace

int RunNode(const NodeSettings& aSettings,
            const std::string& aSettingsPath,
            const PlatformBinder& aBind)
{
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  ApplyMemoryLimit(aSettings.mMemoryMb);
  NodeContext node(io, aSettings);
  aBind(node);
  node.mStore = MonitorStore(std::move(node.mStore), node.mStoreStats);
  const auto callers =
    Listen(io, aSettings.mCallerAddress, {}, [&](const HttpRequest& aRequest) {
      return HandleCallerRequest(node, aRequest);
    });
  const auto ready =
    Listen(io, aSettings.mReadyAddress, {}, [&](const HttpRequest&) {
      return AnswerReadiness(node);
    });
  const auto peers =
    Listen(io, PeerAddressOf(aSettings), {}, [&](const HttpRequest& aRequest) {
      return HandlePeerRequest(node, aRequest);
    });
  const std::string metricsAddress =
    aSettings.mInternalIp + ":" + std::to_string(aSettings.mInternalPorts[1]);
  const auto metrics = Listen(
    io,
    metricsAddress,
    {},
    MakeHealthHandler({ [&](MetricsPage& aPage) { Collect(node, aPage); },
                        [&]() { return IsReady(node); },
                        {} }));
  SpawnWithRestart(node, "lease", [&] { return KeepLease(node); });
  SpawnWithRestart(node, "system", [&] { return WatchSystemRecords(node); });
  SpawnWithRestart(node, "operators", [&] { return WatchOperatorItems(node); });
  SpawnWithRestart(node, "claims", [&] { return ClaimShards(node); });
  SpawnWithRestart(
    node, "leave", [&] { return ShutDownOnSignal(node, *callers); });
  SpawnWithRestart(
    node, "reload", [&] { return ReloadOnHangup(node, aSettingsPath); });
  SpawnWithRestart(node, "log", [] { return FlushLog(); });
  spdlog::info("process.start name={} data_centre={} callers={} peers={}",
               aSettings.mName,
               aSettings.mDataCentre,
               aSettings.mCallerAddress,
               PeerAddressOf(aSettings));
  io.run();
  return static_cast<int>(ExitCode::kOk);
}

} // namespace verbenacroft
