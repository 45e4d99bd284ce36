/// verbenacroft-router: forwards callers' requests to targets and job requests
/// to schedulers.

#include "vcOverview.h"
#include "vcRouter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {
namespace {

/// Interval of Step(), in ms.
constexpr Duration kTickInterval{ 10 };
/// Interval at which the instance list is read, in ms.
constexpr Duration kInstanceListInterval{ 500 };

/// Settings file of the router.
struct RouterSettings
{
  CommonSettings mCommon;
  /// Endpoint that accepts callers' requests.
  std::string mCallerAddress;
  /// Index of this router among the routers of its data centre, from 0.
  std::int64_t mRouterIndex = 0;
  /// Maximum number of requests in flight or waiting.
  std::int64_t mMaxRequests = 1'024;
  std::int64_t mMaxBodyBytes = 1'048'576;
  std::int64_t mMaxHeaderBytes = 16'384;
  /// Maximum number of open connections of callers.
  std::int64_t mMaxConnections = 4'096;
  /// Time in ms within which a request must arrive in full. It limits how long
  /// a slow sender can occupy a connection.
  Duration mReceiveTimeout{ 10'000 };
  /// Config processes from which the configuration is read.
  std::vector<std::string> mConfigAddresses;
};
BOOST_DESCRIBE_STRUCT(RouterSettings,
                      (),
                      (mCommon,
                       mCallerAddress,
                       mRouterIndex,
                       mMaxRequests,
                       mMaxBodyBytes,
                       mMaxHeaderBytes,
                       mMaxConnections,
                       mReceiveTimeout,
                       mConfigAddresses))

/// Adds a fault if `aValue` is below 1.
void CheckAtLeastOne(std::int64_t aValue,
                     const std::string& aPath,
                     Faults& aFaults)
{
  if (aValue < 1) {
    aFaults.push_back({ aPath, std::to_string(aValue), "1 or more" });
  }
}

/// Adds a fault for every invalid setting.
void CheckSettings(const RouterSettings& aSettings, Faults& aFaults)
{
  CheckCommonSettings(aSettings.mCommon, aFaults);
  CheckEndpoint(aSettings.mCallerAddress, "$.callerAddress", aFaults);
  CheckDistinct(
    { aSettings.mCommon.mPeerAddress,
      aSettings.mCommon.mMetricsAddress,
      aSettings.mCallerAddress },
    { "$.common.peerAddress", "$.common.metricsAddress", "$.callerAddress" },
    aFaults);
  if (aSettings.mRouterIndex < 0) {
    aFaults.push_back(
      { "$.routerIndex", std::to_string(aSettings.mRouterIndex), "0 or more" });
  }
  CheckAtLeastOne(aSettings.mMaxRequests, "$.maxRequests", aFaults);
  CheckAtLeastOne(aSettings.mMaxBodyBytes, "$.maxBodyBytes", aFaults);
  CheckAtLeastOne(aSettings.mMaxHeaderBytes, "$.maxHeaderBytes", aFaults);
  CheckAtLeastOne(aSettings.mMaxConnections, "$.maxConnections", aFaults);
  CheckEndpoints(aSettings.mConfigAddresses, "$.configAddresses", aFaults);
}

/// The router's servers, clients and periodic work, all on one event loop.
class RouterProgram
{
public:
  explicit RouterProgram(const RouterSettings& aSettings)
    : mSettings(aSettings)
    , mHttp(mContext)
    , mStore(mHttp,
             ParseEndpoints(aSettings.mCommon.mStoreAddresses),
             StoreBudgetOf(aSettings.mCommon))
    , mDirectory(mStore,
                 MemberOf(aSettings.mCommon),
                 aSettings.mCommon.mPeerToken)
    , mRequestRouter(mContext, mHttp, mDirectory, mState)
  {
    this->mState.mName = aSettings.mCommon.mName;
    this->mState.mDataCentre = aSettings.mCommon.mDataCentre;
    this->mState.mKeys = MakeIdempotencyState(MemberOf(aSettings.mCommon));
    this->mState.mAdmission.mLimit = aSettings.mMaxRequests;
    this->mState.mBurn.mStartedAt = MonotonicNow();
  }

  /// Runs until a signal has stopped the router and its requests have ended.
  ExitCode Run();

private:
  static Member MemberOf(const CommonSettings& aCommon)
  {
    return { aCommon.mName,
             aCommon.mDataCentre,
             Role::kRouter,
             aCommon.mPeerAddress,
             false };
  }

  void Step();
  /// Advances the idempotency keys and sends their calls to the store.
  void StepIdempotencyKeys();
  /// Starts the configuration link, the polling loops and the periodic step.
  void StartBackgroundWork();
  HealthHooks MakeHooks();
  void Collect(MetricsPage& aPage) const;
  asio::awaitable<HttpResponse> HandleCaller(const HttpRequest& aRequest);
  asio::awaitable<HttpResponse> HandlePeer(const HttpRequest& aRequest);
  /// Polls the schedulers for their target tables.
  asio::awaitable<void> PollTargetTables();
  /// Polls the instance list for instances that are about to leave.
  asio::awaitable<void> PollInstanceList();

  const RouterSettings mSettings;
  asio::io_context mContext{ 1 };
  HttpClient mHttp;
  StoreClient mStore;
  Directory mDirectory;
  RouterState mState;
  RequestRouter mRequestRouter;
  RefusalCounters mRefusals;
  std::unique_ptr<HttpServer> mCallerServer;
  std::unique_ptr<HttpServer> mPeerServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  TimePoint mTablesReadAt = kNever;
  TimePoint mLeavingSince = kNever;
  bool mIsLeaving = false;
};

void RouterProgram::StepIdempotencyKeys()
{
  TickIdempotency(this->mState.mKeys, MonotonicNow());
  StartStoreCalls(
    this->mContext,
    this->mStore,
    this->mState.mKeys.mStore,
    [this](const auto& aRoute, auto aCall, const auto& aReply) {
      OnIdempotencyStoreReply(
        this->mState.mKeys, aRoute, aCall, aReply, MonotonicNow());
      this->StepIdempotencyKeys();
    });
  this->mRequestRouter.DeliverKeyReplies();
}

void RouterProgram::Step()
{
  DetectProcessPause(this->mState.mPool, MonotonicNow());
  this->StepIdempotencyKeys();
  this->mDirectory.Step(this->mContext);
  if (!this->mIsLeaving) {
    return;
  }
  // After a stop signal the router keeps serving for at least this time (ms),
  // so that the load balancer notices that it is no longer ready.
  constexpr Duration kMinUnreadyTime{ 1'000 };
  const bool isIdle =
    this->mCallerServer->InFlight() == 0 && this->mPeerServer->InFlight() == 0;
  if (isIdle && MonotonicNow() - this->mLeavingSince >= kMinUnreadyTime) {
    this->mContext.stop();
  }
}

asio::awaitable<HttpResponse> RouterProgram::HandleCaller(
  const HttpRequest& aRequest)
{
  const std::string_view target = aRequest.mTarget;
  if (target.starts_with("/s/")) {
    co_return co_await this->mRequestRouter.Serve(aRequest, false);
  }
  if (target.starts_with("/v1/jobs")) {
    co_return co_await ForwardJob(this->mHttp, this->mDirectory, aRequest);
  }
  co_return ErrorResponse(
    404, "unknown path: paths start with /s/<service>/ or /v1/jobs");
}

asio::awaitable<HttpResponse> RouterProgram::HandlePeer(
  const HttpRequest& aRequest)
{
  auto refusal = RejectUnauthorized(
    aRequest, this->mSettings.mCommon.mPeerToken, true, this->mRefusals);
  if (refusal) {
    co_return *refusal;
  }
  const auto path = PathOf(aRequest);
  if (path.starts_with("/s/")) {
    co_return co_await this->mRequestRouter.Serve(aRequest, true);
  }
  if (path == "/v1/overview") {
    SchedulerOverview overview;
    overview.mName = this->mState.mName;
    overview.mDataCentre = this->mState.mDataCentre;
    overview.mRevision = RevisionOf(this->mState.mFollower);
    co_return JsonResponse(Encode(overview));
  }
  Faults faults;
  if (path == "/v1/peer/claim") {
    const auto claim = Decode<KeyClaim>(aRequest.mBody, faults);
    if (faults.empty()) {
      co_return co_await this->mRequestRouter.HandleKeyClaim(claim);
    }
  } else if (path == "/v1/peer/result") {
    const auto result = Decode<KeyResult>(aRequest.mBody, faults);
    if (faults.empty()) {
      RecordKeyResult(this->mState.mKeys, result);
      co_return JsonResponse(Encode(KeyAnswer{}));
    }
  }
  if (!faults.empty()) {
    ++this->mRefusals.mMalformed;
    co_return ErrorResponse(400, Describe(faults.front()));
  }
  co_return ErrorResponse(404, "no such path");
}

asio::awaitable<void> RouterProgram::PollTargetTables()
{
  constexpr Duration kTargetTableTimeout{ 500 };
  asio::steady_timer timer(this->mContext);
  while (true) {
    const auto schedulers = this->mDirectory.Members(Role::kScheduler);
    for (const auto& scheduler : schedulers) {
      const TargetRequest targetRequest =
        MakeTargetRequest(this->mState.mPool, scheduler.mName);
      HttpRequest request = PeerRequest("POST",
                                        "/v1/targets",
                                        this->mSettings.mCommon.mPeerToken,
                                        Encode(targetRequest));
      const auto answer = co_await CallPeer<TargetReply>(this->mHttp,
                                                         scheduler.mPeerAddress,
                                                         std::move(request),
                                                         kTargetTableTimeout);
      if (answer) {
        RecordTableSources(this->mState.mPool, scheduler.mName, *answer);
        UpdateTables(this->mState.mPool, *answer);
        this->mTablesReadAt = MonotonicNow();
      }
    }
    timer.expires_after(TablePollInterval(schedulers.size()));
    co_await WaitForTimer(timer);
  }
}

asio::awaitable<void> RouterProgram::PollInstanceList()
{
  const auto address =
    ParseEndpoint(this->mSettings.mCommon.mInstanceListAddress);
  asio::steady_timer timer(this->mContext);
  while (true) {
    const auto list = co_await ReadInstances(
      this->mHttp, *address, this->mSettings.mCommon.mDataCentre);
    if (list) {
      std::set<std::string> leaving;
      for (const auto& instance : list->mInstances) {
        if (instance.mState == InstanceState::kLeaving) {
          leaving.insert(instance.mName);
        }
      }
      UpdateLeavingInstances(this->mState.mPool, std::move(leaving));
    }
    timer.expires_after(kInstanceListInterval);
    co_await WaitForTimer(timer);
  }
}

void RouterProgram::Collect(MetricsPage& aPage) const
{
  const auto& counters = this->mState.mCounters;
  const auto count =
    [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
      aPage.Counter(aName, aHelp, static_cast<double>(aValue));
    };
  count(
    "verbenacroft_requests_total", "Callers' requests.", counters.mRequests);
  count("verbenacroft_not_run_total",
        "Requests that were refused and did not run.",
        counters.mNotRun);
  count("verbenacroft_unknown_total",
        "Requests whose outcome is unknown.",
        counters.mUnknown);
  count("verbenacroft_retries_total", "Retries.", counters.mRetries);
  count("verbenacroft_hedges_total", "Hedges.", counters.mHedges);
  count("verbenacroft_forwards_total",
        "Requests passed to another data centre.",
        counters.mForwards);
  count("verbenacroft_crossed_answers_total",
        "Answers discarded because they belong to another request.",
        counters.mCrossed);
  count("verbenacroft_key_duplicates_total",
        "Requests that repeat an idempotency key.",
        counters.mKeyDuplicates);
  for (const auto& [backer, refused] : this->mState.mAdmission.mRefused) {
    aPage.Counter("verbenacroft_refused_total",
                  "Requests refused for overload.",
                  static_cast<double>(refused),
                  { { "backer", backer } });
  }
  aPage.Gauge("verbenacroft_config_revision",
              "Revision of the configuration in force.",
              static_cast<double>(RevisionOf(this->mState.mFollower)));
  aPage.Gauge("verbenacroft_requests_in_flight",
              "Requests in flight or waiting.",
              static_cast<double>(this->mState.mAdmission.mTotal));
  aPage.Gauge("verbenacroft_targets",
              "Targets known to this router.",
              static_cast<double>(this->mState.mPool.mTargets.size()));
  std::vector<double> bounds;
  bounds.reserve(kLatencyBoundsMs.size());
  for (const double bound : kLatencyBoundsMs) {
    bounds.push_back(bound / 1000.0);
  }
  for (const auto& [name, series] : this->mState.mBurn.mServices) {
    const auto& buckets = series.mCountsSinceStart.mBuckets;
    aPage.Histogram("verbenacroft_request_seconds",
                    "Time from a request's arrival to its answer.",
                    bounds,
                    { buckets.begin(), buckets.end() },
                    series.mTotalLatencyMs / 1000.0,
                    { { "service", name }, { "backer", series.mBacker } });
  }
}

HealthHooks RouterProgram::MakeHooks()
{
  HealthHooks hooks;
  hooks.mCollect = [this](MetricsPage& aPage) { this->Collect(aPage); };
  hooks.mIsReady = [this] {
    return !this->mIsLeaving && RevisionOf(this->mState.mFollower) > 0 &&
           this->mTablesReadAt != kNever;
  };
  hooks.mHandleOtherPath = [this](const HttpRequest& aRequest) {
    HttpResponse response;
    response.mStatus = 0;
    if (PathOf(aRequest) == "/v1/burn") {
      auto report =
        MakeRouterReport(this->mState.mBurn,
                         this->mState.mFollower.mState.mConfiguration,
                         MonotonicNow());
      report.mRouter = this->mState.mName;
      report.mDataCentre = this->mState.mDataCentre;
      response = JsonResponse(Encode(report));
    }
    return response;
  };
  return hooks;
}

void RouterProgram::StartBackgroundWork()
{
  ConfigPollerOptions link;
  link.mAddresses = this->mSettings.mConfigAddresses;
  link.mToken = this->mSettings.mCommon.mPeerToken;
  link.mRevision = [this] { return RevisionOf(this->mState.mFollower); };
  link.mOnFeed = [this](const ConfigFeed& aFeed, TimePoint aSentAt) {
    ApplyFeed(this->mState.mFollower, aFeed, aSentAt);
    UpdateDrained(this->mState.mPool,
                  IsDrained(this->mState.mFollower.mState.mConfiguration,
                            this->mState.mDataCentre),
                  MonotonicNow());
    const auto* dataCentre =
      FindNamed(this->mState.mFollower.mState.mConfiguration.mDataCentres,
                this->mState.mDataCentre);
    if (dataCentre != nullptr) {
      SetRouterShares(
        this->mState.mPool, dataCentre->mRouters, this->mSettings.mRouterIndex);
    }
  };
  StartConfigPoller(this->mContext, this->mHttp, std::move(link));
  asio::co_spawn(this->mContext, this->PollTargetTables(), asio::detached);
  asio::co_spawn(this->mContext, this->PollInstanceList(), asio::detached);
  RunEvery(this->mContext, kTickInterval, [this] { this->Step(); });
}

ExitCode RouterProgram::Run()
{
  const auto& common = this->mSettings.mCommon;
  HttpLimits limits;
  limits.mBodyBytes = static_cast<std::size_t>(this->mSettings.mMaxBodyBytes);
  limits.mHeaderBytes =
    static_cast<std::size_t>(this->mSettings.mMaxHeaderBytes);
  limits.mConnections =
    static_cast<std::size_t>(this->mSettings.mMaxConnections);
  limits.mReceiveTimeout = this->mSettings.mReceiveTimeout;
  this->mCallerServer = Listen(this->mContext,
                               this->mSettings.mCallerAddress,
                               limits,
                               [this](const HttpRequest& aRequest) {
                                 return this->HandleCaller(aRequest);
                               });
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
    this->mIsLeaving = true;
    this->mLeavingSince = MonotonicNow();
    ReleaseKeySlots(this->mState.mKeys);
    this->mDirectory.Leave();
    this->mCallerServer->StartDrain();
    this->mPeerServer->StartDrain();
  });
  this->StartBackgroundWork();
  spdlog::info("started caller_address={}", this->mSettings.mCallerAddress);
  this->mContext.run();
  spdlog::info("stopped");
  return ExitCode::kOk;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  return RunProgram<RouterSettings>(aCount,
                                    aArguments,
                                    "verbenacroft-router",
                                    "Forwards callers' requests to targets.",
                                    CheckSettings,
                                    [](const RouterSettings& aSettings) {
                                      RouterProgram program(aSettings);
                                      return program.Run();
                                    });
}
