/// verbenacroft-scheduler: owns shards of its data centre's workers and places
/// tasks on them.

#include "vcOverview.h"
#include "vcScheduler.h"
#include "vcShell.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {
namespace {

/// Interval of Step(), in ms.
constexpr Duration kTickInterval{ 20 };
/// Interval at which the instance list is read, in ms.
constexpr Duration kInstanceListInterval{ 500 };

/// Settings file of the scheduler.
struct SchedulerSettings
{
  CommonSettings mCommon;
  /// Config processes from which the configuration is read, nearest first.
  std::vector<std::string> mConfigAddresses;
  /// Minimum time between two writes of one shard's journal, in ms.
  Duration mFlushInterval{ 50 };
};
BOOST_DESCRIBE_STRUCT(SchedulerSettings,
                      (),
                      (mCommon, mConfigAddresses, mFlushInterval))

/// Adds a fault for every invalid setting.
void CheckSettings(const SchedulerSettings& aSettings, Faults& aFaults)
{
  CheckCommonSettings(aSettings.mCommon, aFaults);
  CheckDistinct(
    { aSettings.mCommon.mPeerAddress, aSettings.mCommon.mMetricsAddress },
    { "$.common.peerAddress", "$.common.metricsAddress" },
    aFaults);
  if (aSettings.mConfigAddresses.empty()) {
    aFaults.push_back({ "$.configAddresses", "none", "one or more addresses" });
  }
  CheckEndpoints(aSettings.mConfigAddresses, "$.configAddresses", aFaults);
}

/// The scheduler's servers, clients and periodic work, all on one event loop.
class SchedulerProgram
{
public:
  explicit SchedulerProgram(const SchedulerSettings& aSettings)
    : mSettings(aSettings)
    , mHttp(mContext)
    , mStore(mHttp,
             ParseEndpoints(aSettings.mCommon.mStoreAddresses),
             StoreBudgetOf(aSettings.mCommon))
    , mPendingAnswers(mContext)
    , mState(MakeScheduler({ aSettings.mCommon.mName,
                             aSettings.mCommon.mDataCentre,
                             Role::kScheduler,
                             aSettings.mCommon.mPeerAddress,
                             false }))
  {
    this->mState.mFlushInterval = aSettings.mFlushInterval;
  }

  /// Runs until a signal has stopped the scheduler and it has left.
  ExitCode Run();

private:
  /// Advances the state, then sends the calls and replies that it produced.
  void Step();
  /// Logs takeovers and expired ownerships since the last call.
  void LogEvents();
  /// Starts the configuration link, the polling loop and the periodic step.
  void StartBackgroundWork();
  HealthHooks MakeHooks();
  void Collect(MetricsPage& aPage) const;
  void CollectShard(MetricsPage& aPage, const Shard& aShard) const;
  asio::awaitable<HttpResponse> HandlePeer(const HttpRequest& aRequest);
  asio::awaitable<HttpResponse> HandleJobRequest(JobRequest aRequest);
  /// Sends one call and passes its reply to the state.
  asio::awaitable<void> SendCall(WorkerCall aCall);
  asio::awaitable<void> SendCall(PeerCall aCall);
  /// Polls the list of instances of all data centres.
  asio::awaitable<void> PollInstanceList();
  SchedulerOverview Overview() const;

  const SchedulerSettings mSettings;
  asio::io_context mContext{ 1 };
  HttpClient mHttp;
  StoreClient mStore;
  PendingAnswers<JobAnswer> mPendingAnswers;
  SchedulerState mState;
  RefusalCounters mRefusals;
  std::unique_ptr<HttpServer> mPeerServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  /// Counts that LogEvents() has logged.
  std::uint64_t mLoggedTakeovers = 0;
  std::uint64_t mLoggedExpirations = 0;
  /// Prevents recursive calls of Step().
  bool mIsStepping = false;
};

asio::awaitable<void> SchedulerProgram::SendCall(WorkerCall aCall)
{
  std::optional<WorkerSyncReply> reply;
  const auto endpoint = ParseEndpoint(aCall.mAddress);
  if (endpoint) {
    reply = co_await SyncWorker(this->mHttp, *endpoint, aCall.mSync);
  }
  OnWorkerReply(this->mState,
                aCall.mShard,
                aCall.mWorker,
                aCall.mId,
                reply,
                MonotonicNow());
  this->Step();
}

asio::awaitable<void> SchedulerProgram::SendCall(PeerCall aCall)
{
  constexpr Duration kPeerTimeout{ 2'000 };
  HttpRequest request = PeerRequest("POST",
                                    "/v1/peer/job",
                                    this->mSettings.mCommon.mPeerToken,
                                    Encode(aCall.mRequest));
  const auto reply = co_await CallPeer<JobAnswer>(
    this->mHttp, aCall.mAddress, std::move(request), kPeerTimeout);
  OnPeerReply(this->mState, aCall.mId, reply, MonotonicNow());
  this->Step();
}

void SchedulerProgram::LogEvents()
{
  const auto& counters = this->mState.mCounters;
  if (counters.mTakeovers != this->mLoggedTakeovers) {
    this->mLoggedTakeovers = counters.mTakeovers;
    for (const auto& [name, shard] : this->mState.mShards) {
      spdlog::info("shard owned shard={} epoch={} phase={}",
                   name,
                   shard.mEpoch,
                   static_cast<int>(shard.mJournal.mPhase));
    }
  }
  if (counters.mExpirations != this->mLoggedExpirations) {
    this->mLoggedExpirations = counters.mExpirations;
    spdlog::warn("ownership lapsed lapses={} effect=no-task-starts",
                 counters.mExpirations);
  }
}

void SchedulerProgram::Step()
{
  if (this->mIsStepping) {
    return;
  }
  this->mIsStepping = true;
  TickScheduler(this->mState, MonotonicNow());
  StartStoreCalls(this->mContext,
                  this->mStore,
                  this->mState.mStore,
                  [this](const auto& aRoute, auto aCall, const auto& aReply) {
                    OnStoreReply(
                      this->mState, aRoute, aCall, aReply, MonotonicNow());
                    this->Step();
                  });
  for (auto& call : std::exchange(this->mState.mWorkerCalls, {})) {
    asio::co_spawn(
      this->mContext, this->SendCall(std::move(call)), asio::detached);
  }
  for (auto& call : std::exchange(this->mState.mPeerCalls, {})) {
    asio::co_spawn(
      this->mContext, this->SendCall(std::move(call)), asio::detached);
  }
  for (auto& reply : std::exchange(this->mState.mReplies, {})) {
    // Posted to the event loop, so that the coroutine that submitted the
    // request already waits for its ticket when the reply is delivered.
    asio::post(this->mContext, [this, delivered = std::move(reply)] {
      this->mPendingAnswers.Deliver(delivered.mTicket, delivered.mAnswer);
    });
  }
  this->LogEvents();
  this->mIsStepping = false;
}

/// Returns the HTTP status code for the result of a job request.
int StatusCodeOf(JobRequestStatus aStatus)
{
  switch (aStatus) {
    case JobRequestStatus::kOk:
      return 200;
    case JobRequestStatus::kAccepted:
      return 202;
    case JobRequestStatus::kInvalid:
      return 422;
    case JobRequestStatus::kConflict:
      return 409;
    case JobRequestStatus::kNotFound:
      return 404;
    case JobRequestStatus::kNotRun:
      return 503;
    case JobRequestStatus::kUnknown:
      return 504;
  }
  return 500;
}

asio::awaitable<HttpResponse> SchedulerProgram::HandleJobRequest(
  JobRequest aRequest)
{
  const auto ticket =
    SubmitJobRequest(this->mState, std::move(aRequest), MonotonicNow());
  this->Step();
  const JobAnswer answer = co_await this->mPendingAnswers.Wait(ticket);
  co_return JsonResponse(Encode(answer), StatusCodeOf(answer.mStatus));
}

SchedulerOverview SchedulerProgram::Overview() const
{
  const auto now = MonotonicNow();
  SchedulerOverview overview;
  overview.mName = this->mState.mName;
  overview.mDataCentre = this->mState.mDataCentre;
  overview.mRevision = RevisionOf(this->mState.mFollower);
  overview.mProofAgeMs =
    (now - this->mState.mFollower.mConfirmedCurrentAt).count();
  for (const auto& [name, shard] : this->mState.mShards) {
    overview.mShards.push_back(OverviewOf(shard, now));
  }
  return overview;
}

asio::awaitable<HttpResponse> SchedulerProgram::HandlePeer(
  const HttpRequest& aRequest)
{
  auto refusal = RejectUnauthorized(
    aRequest, this->mSettings.mCommon.mPeerToken, true, this->mRefusals);
  if (refusal) {
    co_return *refusal;
  }
  const auto path = PathOf(aRequest);
  Faults faults;
  JobRequest jobRequest;
  if (path == "/v1/peer/job") {
    const auto peerRequest = Decode<PeerJobRequest>(aRequest.mBody, faults);
    jobRequest.mOp = peerRequest.mOp;
    jobRequest.mName = peerRequest.mName;
    jobRequest.mShard = peerRequest.mShard;
  } else if (path == "/v1/targets") {
    const auto targetRequest = Decode<TargetRequest>(aRequest.mBody, faults);
    if (faults.empty()) {
      co_return JsonResponse(Encode(
        HandleTargetRequest(this->mState, targetRequest, MonotonicNow())));
    }
  } else if (path == "/v1/overview") {
    co_return JsonResponse(Encode(this->Overview()));
  } else if (path == "/v1/jobs" && aRequest.mMethod == "POST") {
    jobRequest.mOp = JobRequestOp::kSubmit;
    jobRequest.mSpec = Decode<JobSpec>(aRequest.mBody, faults);
  } else if (path.starts_with("/v1/jobs/")) {
    jobRequest.mName =
      std::string(path.substr(std::string_view("/v1/jobs/").size()));
    jobRequest.mOp = aRequest.mMethod == "DELETE" ? JobRequestOp::kCancel
                                                  : JobRequestOp::kStatus;
  } else {
    co_return ErrorResponse(404, "no such path");
  }
  if (!faults.empty()) {
    ++this->mRefusals.mMalformed;
    JobAnswer answer;
    answer.mStatus = JobRequestStatus::kInvalid;
    answer.mError = Describe(faults.front());
    answer.mFaults = faults;
    co_return JsonResponse(Encode(answer), 400);
  }
  co_return co_await this->HandleJobRequest(std::move(jobRequest));
}

asio::awaitable<void> SchedulerProgram::PollInstanceList()
{
  const auto address =
    ParseEndpoint(this->mSettings.mCommon.mInstanceListAddress);
  asio::steady_timer timer(this->mContext);
  while (true) {
    auto list = co_await ReadInstances(this->mHttp, *address, "");
    if (list) {
      OnInstances(this->mState, std::move(list->mInstances), MonotonicNow());
      this->Step();
    }
    timer.expires_after(kInstanceListInterval);
    co_await WaitForTimer(timer);
  }
}

void SchedulerProgram::CollectShard(MetricsPage& aPage,
                                    const Shard& aShard) const
{
  const MetricLabels labels = { { "shard", aShard.mName } };
  const auto& counters = aShard.mCounters;
  const auto count =
    [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
      aPage.Counter(aName, aHelp, static_cast<double>(aValue), labels);
    };
  count("verbenacroft_task_starts_total",
        "Task starts confirmed by a worker's report.",
        counters.mStarts);
  count("verbenacroft_tasks_done_total", "Tasks completed.", counters.mDone);
  count(
    "verbenacroft_tasks_failed_total", "Runs that failed.", counters.mFailed);
  count("verbenacroft_evictions_total",
        "Tasks stopped with a checkpoint.",
        counters.mEvictions);
  count("verbenacroft_tasks_lost_total",
        "Runs lost with their worker or lease, or unknown to their worker.",
        counters.mLost);
  count("verbenacroft_quarantines_total",
        "Times a worker was put into quarantine.",
        counters.mQuarantines);
  count("verbenacroft_unknown_runs_total",
        "Running tasks that workers reported and the journal does not contain.",
        counters.mUnknownRuns);
  aPage.Gauge("verbenacroft_placed_tasks",
              "Tasks committed to workers.",
              static_cast<double>(aShard.mData.mPlaced.size()),
              labels);
  aPage.Gauge("verbenacroft_unplaced_replicas",
              "Service replicas for which the last plan found no capacity.",
              static_cast<double>(aShard.mUnplacedReplicas),
              labels);
  for (const auto& [backer, use] : aShard.mLedger.mBackers) {
    const MetricLabels backerLabels = { { "shard", aShard.mName },
                                        { "backer", backer } };
    aPage.Counter("verbenacroft_backer_cpu_seconds_total",
                  "Processor time committed to the backer's tasks.",
                  use.mMilliCpuSeconds / 1000.0,
                  backerLabels);
    aPage.Counter(
      "verbenacroft_backer_borrowed_cpu_seconds_total",
      "Processor time committed to the backer's tasks above its share.",
      use.mBorrowedMilliCpuSeconds / 1000.0,
      backerLabels);
  }
}

void SchedulerProgram::Collect(MetricsPage& aPage) const
{
  aPage.Gauge("verbenacroft_config_revision",
              "Revision of the configuration in force.",
              static_cast<double>(RevisionOf(this->mState.mFollower)));
  aPage.Gauge("verbenacroft_owned_shards",
              "Shards owned by this scheduler.",
              static_cast<double>(this->mState.mShards.size()));
  aPage.Counter("verbenacroft_takeovers_total",
                "Shards taken over.",
                static_cast<double>(this->mState.mCounters.mTakeovers));
  aPage.Counter("verbenacroft_ownership_lapses_total",
                "Ownerships that expired: the lease was not confirmed in time.",
                static_cast<double>(this->mState.mCounters.mExpirations));
  aPage.Counter(
    "verbenacroft_refused_messages_total",
    "Messages refused for a bad token, a bad version or a malformed body.",
    static_cast<double>(this->mRefusals.mBadTokens +
                        this->mRefusals.mBadProtocols +
                        this->mRefusals.mMalformed));
  for (const auto& row : EnumTable<StoreOp>::kRows) {
    aPage.Counter(
      "verbenacroft_store_calls_total",
      "Calls to the store.",
      static_cast<double>(
        this->mStore.Counts()[static_cast<std::size_t>(row.mValue)]),
      { { "op", std::string(row.mName) } });
  }
  for (const auto& [name, shard] : this->mState.mShards) {
    this->CollectShard(aPage, shard);
  }
}

HealthHooks SchedulerProgram::MakeHooks()
{
  HealthHooks hooks;
  hooks.mCollect = [this](MetricsPage& aPage) { this->Collect(aPage); };
  hooks.mIsReady = [this] {
    return !this->mState.mIsLeaving && RevisionOf(this->mState.mFollower) > 0;
  };
  return hooks;
}

void SchedulerProgram::StartBackgroundWork()
{
  ConfigPollerOptions link;
  link.mAddresses = this->mSettings.mConfigAddresses;
  link.mToken = this->mSettings.mCommon.mPeerToken;
  link.mRevision = [this] { return RevisionOf(this->mState.mFollower); };
  link.mOnFeed = [this](const ConfigFeed& aFeed, TimePoint aSentAt) {
    OnConfigFeed(this->mState, aFeed, aSentAt, MonotonicNow());
    this->Step();
  };
  StartConfigPoller(this->mContext, this->mHttp, std::move(link));
  asio::co_spawn(this->mContext, this->PollInstanceList(), asio::detached);
  RunEvery(this->mContext, kTickInterval, [this] {
    this->Step();
    if (HasLeft(this->mState) && this->mState.mStore.mCalls.empty() &&
        this->mPeerServer->InFlight() == 0) {
      this->mContext.stop();
    }
  });
}

ExitCode SchedulerProgram::Run()
{
  const auto& common = this->mSettings.mCommon;
  this->mPeerServer = Listen(
    this->mContext,
    common.mPeerAddress,
    HttpLimits{},
    [this](const HttpRequest& aRequest) { return this->HandlePeer(aRequest); });
  this->mMetricsServer = Listen(this->mContext,
                                common.mMetricsAddress,
                                HttpLimits{},
                                MakeHealthHandler(this->MakeHooks()));
  HandleSignals(this->mContext, [this] {
    LeaveScheduler(this->mState, MonotonicNow());
    this->mPeerServer->StartDrain();
    this->Step();
  });
  this->StartBackgroundWork();
  spdlog::info("started peer_address={}", common.mPeerAddress);
  this->mContext.run();
  spdlog::info("stopped");
  return ExitCode::kOk;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  return RunProgram<SchedulerSettings>(
    aCount,
    aArguments,
    "verbenacroft-scheduler",
    "Owns shards of the workers of its data centre.",
    CheckSettings,
    [](const SchedulerSettings& aSettings) {
      SchedulerProgram program(aSettings);
      return program.Run();
    });
}
