/// verbenacroft-config: serves the operators' interface, commits changes of the
/// configuration and distributes the configuration to the other processes.

#include "vcJobProxy.h"
#include "vcOverview.h"
#include "vcShell.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {
namespace {

/// Interval of Step(), in ms.
constexpr Duration kTickInterval{ 20 };
/// Interval at which the instance list is read, in ms.
constexpr Duration kInstanceListInterval{ 2'000 };
/// Time in ms without a confirmation that the revision is the latest, after
/// which the other config processes are asked for theirs.
constexpr Duration kMaxProofAge{ 1'000 };

/// Settings file of the config process.
struct ConfigSettings
{
  CommonSettings mCommon;
  /// Endpoint that accepts operators' requests.
  std::string mOperatorAddress;
  /// Token that operators' requests must carry.
  std::string mOperatorToken;
  /// Other config processes, which are asked for the configuration while the
  /// store does not answer.
  std::vector<std::string> mConfigAddresses;
};
BOOST_DESCRIBE_STRUCT(
  ConfigSettings,
  (),
  (mCommon, mOperatorAddress, mOperatorToken, mConfigAddresses))

/// Adds a fault for every invalid setting.
void CheckSettings(const ConfigSettings& aSettings, Faults& aFaults)
{
  CheckCommonSettings(aSettings.mCommon, aFaults);
  CheckEndpoint(aSettings.mOperatorAddress, "$.operatorAddress", aFaults);
  CheckNotEmpty(aSettings.mOperatorToken, "$.operatorToken", aFaults);
  CheckDistinct(
    { aSettings.mCommon.mPeerAddress,
      aSettings.mCommon.mMetricsAddress,
      aSettings.mOperatorAddress },
    { "$.common.peerAddress", "$.common.metricsAddress", "$.operatorAddress" },
    aFaults);
  CheckEndpoints(aSettings.mConfigAddresses, "$.configAddresses", aFaults);
}

/// The config process's servers, clients and periodic work, all on one event
/// loop.
class ConfigProgram
{
public:
  explicit ConfigProgram(const ConfigSettings& aSettings)
    : mSettings(aSettings)
    , mHttp(mContext)
    , mStore(mHttp,
             ParseEndpoints(aSettings.mCommon.mStoreAddresses),
             StoreBudgetOf(aSettings.mCommon))
    , mPendingAnswers(mContext)
    , mDirectory(mStore,
                 { aSettings.mCommon.mName,
                   aSettings.mCommon.mDataCentre,
                   Role::kConfig,
                   aSettings.mCommon.mPeerAddress,
                   false },
                 aSettings.mCommon.mPeerToken)
  {
  }

  /// Runs until a signal has stopped the process and its requests have ended.
  ExitCode Run();

private:
  /// Advances the state, then sends the store calls and the answers to changes
  /// that it produced.
  void Step();
  /// Starts the configuration link, the polling loop and the periodic step.
  void StartBackgroundWork();
  HealthHooks MakeHooks();
  asio::awaitable<HttpResponse> HandlePeer(const HttpRequest& aRequest);
  asio::awaitable<HttpResponse> HandleOperator(const HttpRequest& aRequest);
  asio::awaitable<HttpResponse> HandleChange(const HttpRequest& aRequest);
  /// Validates a configuration without committing it.
  asio::awaitable<HttpResponse> HandleCheck(const HttpRequest& aRequest);
  /// Collects the overviews of all processes.
  asio::awaitable<HttpResponse> HandleStatus();
  /// Polls the instance list. Configurations are checked against the maximum
  /// of each resource over all instances.
  asio::awaitable<void> PollInstanceList();

  const ConfigSettings mSettings;
  asio::io_context mContext{ 1 };
  HttpClient mHttp;
  StoreClient mStore;
  PendingAnswers<ChangeOutcome> mPendingAnswers;
  Directory mDirectory;
  ConfigServerState mState;
  StoreOutbox mOutbox;
  RefusalCounters mRefusals;
  std::unique_ptr<HttpServer> mPeerServer;
  std::unique_ptr<HttpServer> mOperatorServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  std::uint64_t mLoggedRevision = 0;
  bool mIsLeaving = false;
  /// Prevents recursive calls of Step().
  bool mIsStepping = false;
};

void ConfigProgram::Step()
{
  if (this->mIsStepping) {
    return;
  }
  this->mIsStepping = true;
  TickConfigServer(this->mState, MonotonicNow(), this->mOutbox);
  StartStoreCalls(
    this->mContext,
    this->mStore,
    this->mOutbox,
    [this](const auto&, auto aCall, const auto& aReply) {
      OnConfigServerReply(
        this->mState, aCall, aReply, MonotonicNow(), this->mOutbox);
      this->Step();
    });
  for (auto& answer : std::exchange(this->mState.mAnswers, {})) {
    // Posted to the event loop, so that the coroutine that submitted the
    // change already waits for its ticket when the answer is delivered.
    asio::post(this->mContext, [this, delivered = std::move(answer)] {
      this->mPendingAnswers.Deliver(delivered.mTicket, delivered.mOutcome);
    });
  }
  const auto revision = RevisionOf(this->mState.mFollower);
  if (revision != this->mLoggedRevision) {
    this->mLoggedRevision = revision;
    spdlog::info("configuration in force revision={}", revision);
  }
  this->mIsStepping = false;
}

/// Returns the HTTP status code for the result of a change.
int StatusCodeOf(ChangeStatus aStatus)
{
  switch (aStatus) {
    case ChangeStatus::kAccepted:
      return 200;
    case ChangeStatus::kConflict:
      return 409;
    case ChangeStatus::kInvalid:
      return 422;
    case ChangeStatus::kUnavailable:
      return 503;
    case ChangeStatus::kUnknown:
      return 504;
  }
  return 500;
}

/// Returns an answer that rejects a change because of `aFaults`.
HttpResponse RefuseChange(const Faults& aFaults, int aStatus)
{
  ChangeOutcome outcome;
  outcome.mStatus = ChangeStatus::kInvalid;
  outcome.mFaults = aFaults;
  return JsonResponse(Encode(outcome), aStatus);
}

asio::awaitable<HttpResponse> ConfigProgram::HandleChange(
  const HttpRequest& aRequest)
{
  Faults faults;
  auto change = Decode<ConfigChange>(aRequest.mBody, faults);
  CheckNotEmpty(change.mChange, "$.change", faults);
  if (!faults.empty()) {
    ++this->mRefusals.mMalformed;
    co_return RefuseChange(faults, 400);
  }
  const std::string author = change.mAuthor;
  const auto ticket =
    SubmitChange(this->mState, std::move(change), MonotonicNow());
  this->Step();
  const ChangeOutcome outcome = co_await this->mPendingAnswers.Wait(ticket);
  spdlog::info("change answered author={} status={} revision={}",
               author,
               NameOf(outcome.mStatus),
               outcome.mRevision);
  co_return JsonResponse(Encode(outcome), StatusCodeOf(outcome.mStatus));
}

asio::awaitable<HttpResponse> ConfigProgram::HandleCheck(
  const HttpRequest& aRequest)
{
  Faults faults;
  const auto configuration = Decode<Configuration>(aRequest.mBody, faults);
  if (faults.empty()) {
    faults =
      CheckConfiguration(configuration, this->mState.mMaxInstanceCapacity);
  }
  if (!faults.empty()) {
    co_return RefuseChange(faults, 422);
  }
  co_return JsonResponse(Encode(ChangeOutcome{}));
}

asio::awaitable<HttpResponse> ConfigProgram::HandleStatus()
{
  SystemOverview overview;
  overview.mRevision = RevisionOf(this->mState.mFollower);
  overview.mProofAgeMs =
    (MonotonicNow() - this->mState.mFollower.mConfirmedCurrentAt).count();
  const auto members = co_await this->mDirectory.AllMembers();
  for (const auto& member : members) {
    ProcessOverview process;
    process.mName = member.mName;
    process.mDataCentre = member.mDataCentre;
    process.mRole = member.mRole;
    HttpRequest request =
      PeerRequest("GET", "/v1/overview", this->mSettings.mCommon.mPeerToken);
    constexpr Duration kOverviewTimeout{ 500 };
    const auto answer = co_await CallPeer<SchedulerOverview>(
      this->mHttp, member.mPeerAddress, std::move(request), kOverviewTimeout);
    if (answer) {
      process.mIsReachable = true;
      process.mRevision = answer->mRevision;
      process.mShards = answer->mShards;
    }
    overview.mProcesses.push_back(std::move(process));
  }
  co_return JsonResponse(Encode(overview));
}

asio::awaitable<HttpResponse> ConfigProgram::HandleOperator(
  const HttpRequest& aRequest)
{
  auto refusal = RejectUnauthorized(
    aRequest, this->mSettings.mOperatorToken, false, this->mRefusals);
  if (refusal) {
    co_return *refusal;
  }
  const auto path = PathOf(aRequest);
  if (path == "/v1/changes" && aRequest.mMethod == "POST") {
    co_return co_await this->HandleChange(aRequest);
  }
  if (path == "/v1/check" && aRequest.mMethod == "POST") {
    co_return co_await this->HandleCheck(aRequest);
  }
  if (path == "/v1/configuration") {
    co_return JsonResponse(
      Encode(this->mState.mFollower.mState.mConfiguration));
  }
  if (path == "/v1/status") {
    co_return co_await this->HandleStatus();
  }
  if (path.starts_with("/v1/jobs")) {
    co_return co_await ForwardJob(this->mHttp, this->mDirectory, aRequest);
  }
  co_return ErrorResponse(404, "no such path");
}

asio::awaitable<HttpResponse> ConfigProgram::HandlePeer(
  const HttpRequest& aRequest)
{
  auto refusal = RejectUnauthorized(
    aRequest, this->mSettings.mCommon.mPeerToken, true, this->mRefusals);
  if (refusal) {
    co_return *refusal;
  }
  const auto path = PathOf(aRequest);
  if (path == "/v1/overview") {
    SchedulerOverview overview;
    overview.mName = this->mSettings.mCommon.mName;
    overview.mDataCentre = this->mSettings.mCommon.mDataCentre;
    overview.mRevision = RevisionOf(this->mState.mFollower);
    co_return JsonResponse(Encode(overview));
  }
  if (path != "/v1/feed") {
    co_return ErrorResponse(404, "no such path");
  }
  const std::string after = QueryValue(aRequest, "after");
  const auto revision = std::strtoull(after.c_str(), nullptr, 10);
  co_return JsonResponse(
    Encode(MakeFeed(this->mState.mFollower, revision, MonotonicNow())));
}

asio::awaitable<void> ConfigProgram::PollInstanceList()
{
  const auto address =
    ParseEndpoint(this->mSettings.mCommon.mInstanceListAddress);
  asio::steady_timer timer(this->mContext);
  while (true) {
    const auto list = co_await ReadInstances(this->mHttp, *address, "");
    if (list && !list->mInstances.empty()) {
      Resources largest;
      for (const auto& instance : list->mInstances) {
        largest = ElementwiseMax(largest, instance.mCapacity);
      }
      this->mState.mMaxInstanceCapacity = largest;
    }
    timer.expires_after(kInstanceListInterval);
    co_await WaitForTimer(timer);
  }
}

HealthHooks ConfigProgram::MakeHooks()
{
  HealthHooks hooks;
  hooks.mCollect = [this](MetricsPage& aPage) {
    const auto& follower = this->mState.mFollower;
    aPage.Gauge("verbenacroft_config_revision",
                "Revision of the configuration in force.",
                static_cast<double>(RevisionOf(follower)));
    aPage.Gauge("verbenacroft_config_proof_age_seconds",
                "Time since the revision was last confirmed to be the latest.",
                static_cast<double>(
                  (MonotonicNow() - follower.mConfirmedCurrentAt).count()) /
                  1000.0);
    aPage.Counter(
      "verbenacroft_config_refused_feeds_total",
      "Peers' answers and entries refused as older or not consecutive.",
      static_cast<double>(follower.mRefused));
  };
  hooks.mIsReady = [this] {
    return !this->mIsLeaving &&
           this->mState.mJournal.mPhase == JournalPhase::kOpen;
  };
  return hooks;
}

void ConfigProgram::StartBackgroundWork()
{
  ConfigPollerOptions link;
  link.mAddresses = this->mSettings.mConfigAddresses;
  link.mToken = this->mSettings.mCommon.mPeerToken;
  link.mRevision = [this] { return RevisionOf(this->mState.mFollower); };
  link.mIsPollNeeded = [this] {
    const auto age =
      MonotonicNow() - this->mState.mFollower.mConfirmedCurrentAt;
    return age > kMaxProofAge;
  };
  link.mOnFeed = [this](const ConfigFeed& aFeed, TimePoint aSentAt) {
    ApplyFeed(this->mState.mFollower, aFeed, aSentAt);
  };
  StartConfigPoller(this->mContext, this->mHttp, std::move(link));
  asio::co_spawn(this->mContext, this->PollInstanceList(), asio::detached);
  RunEvery(this->mContext, kTickInterval, [this] {
    this->Step();
    this->mDirectory.Step(this->mContext);
    const bool isDone = this->mIsLeaving && this->mState.mPending.empty() &&
                        this->mOperatorServer->InFlight() == 0 &&
                        this->mPeerServer->InFlight() == 0;
    if (isDone) {
      this->mContext.stop();
    }
  });
}

ExitCode ConfigProgram::Run()
{
  const auto& common = this->mSettings.mCommon;
  StartConfigServer(this->mState, common.mName, this->mOutbox);
  this->mPeerServer = Listen(
    this->mContext,
    common.mPeerAddress,
    HttpLimits{},
    [this](const HttpRequest& aRequest) { return this->HandlePeer(aRequest); });
  this->mOperatorServer = Listen(this->mContext,
                                 this->mSettings.mOperatorAddress,
                                 HttpLimits{},
                                 [this](const HttpRequest& aRequest) {
                                   return this->HandleOperator(aRequest);
                                 });
  this->mMetricsServer = Listen(this->mContext,
                                common.mMetricsAddress,
                                HttpLimits{},
                                MakeHealthHandler(this->MakeHooks()));
  HandleSignals(this->mContext, [this] {
    this->mIsLeaving = true;
    this->mOperatorServer->StartDrain();
    this->mPeerServer->StartDrain();
  });
  this->StartBackgroundWork();
  spdlog::info("started operator_address={}", this->mSettings.mOperatorAddress);
  this->mContext.run();
  spdlog::info("stopped");
  return ExitCode::kOk;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  return RunProgram<ConfigSettings>(
    aCount,
    aArguments,
    "verbenacroft-config",
    "Commits the operators' configuration and distributes it.",
    CheckSettings,
    [](const ConfigSettings& aSettings) {
      ConfigProgram program(aSettings);
      return program.Run();
    });
}
