/// Stand-in of the platform as one process: the store, the instance list and
/// the workers of all data centres, with switches for faults.

#include "vcFakeFleet.h"
#include "vcFakeStore.h"
#include "vcHttp.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <set>

namespace verbenacroft {
namespace {

struct PlatformDataCentre
{
  std::string mName;
  std::int64_t mWorkers = 8;
  /// The data centre's own address of the store, so that it can be cut off.
  std::string mStoreAddress;
  std::string mListAddress;
  /// Workers listen on two ports each from here on.
  std::vector<std::string> mWorkerAddresses;
};
BOOST_DESCRIBE_STRUCT(
  PlatformDataCentre,
  (),
  (mName, mWorkers, mStoreAddress, mListAddress, mWorkerAddresses))

struct PlatformSettings
{
  std::vector<PlatformDataCentre> mDataCentres;
  std::string mControlAddress;
  Resources mCapacity{ 64'000, 250'000, 2, 8 };
  std::uint64_t mSeed = 1;
};
BOOST_DESCRIBE_STRUCT(PlatformSettings,
                      (),
                      (mDataCentres, mControlAddress, mCapacity, mSeed))

/// A switch that a test throws.
struct ControlCommand
{
  std::optional<FakeStoreFaults> mStore;
  /// Data centres whose way to the store and the list is cut.
  std::optional<std::vector<std::string>> mCut;
  std::string mKillWorker;
  std::string mLeaveWorker;
  std::string mRemoveWorker;
  std::string mFailWorker;
};
BOOST_DESCRIBE_STRUCT(
  ControlCommand,
  (),
  (mStore, mCut, mKillWorker, mLeaveWorker, mRemoveWorker, mFailWorker))

struct ControlReport
{
  std::vector<std::string> mViolations;
  std::map<std::string, std::int64_t> mCompletions;
  std::map<std::string, std::uint64_t> mStoreCalls;
  /// How often each non-idempotent request body was executed.
  std::map<std::string, std::int64_t> mExecutions;
  std::map<std::string, std::int64_t> mRunning;
  std::uint64_t mServed = 0;
};
BOOST_DESCRIBE_STRUCT(
  ControlReport,
  (),
  (mViolations, mCompletions, mStoreCalls, mExecutions, mRunning, mServed))

class Platform
{
public:
  explicit Platform(PlatformSettings aSettings)
    : mSettings(std::move(aSettings))
  {
  }

  int Run();

private:
  void AddDataCentre(const PlatformDataCentre& aDataCentre);
  void Listen(const std::string& aAddress, HttpHandler aHandler);
  asio::awaitable<HttpResponse> ServeStore(const HttpRequest& aRequest,
                                           std::string aDataCentre);
  asio::awaitable<HttpResponse> ServeList(const HttpRequest& aRequest,
                                          std::string aDataCentre);
  asio::awaitable<HttpResponse> ServeWorker(const HttpRequest& aRequest,
                                            std::string aWorker);
  asio::awaitable<HttpResponse> ServeService(const HttpRequest& aRequest,
                                             std::string aWorker);
  asio::awaitable<HttpResponse> ServeControl(const HttpRequest& aRequest);
  asio::awaitable<void> Pause(Duration aTime);
  asio::awaitable<void> StepForever();
  void Obey(const ControlCommand& aCommand);
  ControlReport Report() const;

  PlatformSettings mSettings;
  asio::io_context mContext{ 1 };
  FakeStore mStore;
  FakeFleet mFleet;
  std::set<std::string> mCut;
  std::map<std::string, std::int64_t> mExecutions;
  std::uint64_t mServed = 0;
  std::vector<std::unique_ptr<HttpServer>> mServers;
};

void Platform::Listen(const std::string& aAddress, HttpHandler aHandler)
{
  this->mServers.push_back(
    std::make_unique<HttpServer>(this->mContext,
                                 *ParseEndpoint(aAddress),
                                 HttpLimits{ 16 * 1024, 2 * 1024 * 1024 },
                                 std::move(aHandler)));
}

asio::awaitable<void> Platform::Pause(Duration aTime)
{
  asio::steady_timer timer(this->mContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<HttpResponse> Platform::ServeStore(const HttpRequest& aRequest,
                                                   std::string aDataCentre)
{
  constexpr Duration kPoll{ 5 };
  constexpr Duration kNever{ 3'000 };
  Faults faults;
  const auto request = Decode<StoreRequest>(aRequest.mBody, faults);
  if (!faults.empty()) {
    co_return ErrorResponse(400, Describe(faults.front()));
  }
  if (this->mCut.contains(aDataCentre)) {
    co_await this->Pause(kNever);
    co_return ErrorResponse(500, "cut");
  }
  co_await this->Pause(std::max(this->mStore.mFaults.mDelay, Duration{ 1 }));
  const TimePoint start = MonotonicNow();
  auto result =
    HandleStoreCall(this->mStore, request, Duration{ 0 }, MonotonicNow());
  while (result.mIsWaiting) {
    co_await this->Pause(kPoll);
    const Duration waited = std::max(MonotonicNow() - start, Duration{ 1 });
    result = HandleStoreCall(this->mStore, request, waited, MonotonicNow());
  }
  if (result.mIsLost) {
    co_await this->Pause(kNever);
  }
  co_return JsonResponse(Encode(result.mReply));
}

asio::awaitable<HttpResponse> Platform::ServeList(const HttpRequest& aRequest,
                                                  std::string aDataCentre)
{
  if (this->mCut.contains(aDataCentre)) {
    co_await this->Pause(Duration{ 3'000 });
    co_return ErrorResponse(500, "cut");
  }
  const std::string wanted = QueryValue(aRequest, "dataCentre");
  InstanceList list = ListInstances(this->mFleet);
  std::erase_if(list.mInstances, [&](const Instance& aInstance) {
    return !wanted.empty() && aInstance.mDataCentre != wanted;
  });
  co_return JsonResponse(Encode(list));
}

asio::awaitable<HttpResponse> Platform::ServeWorker(const HttpRequest& aRequest,
                                                    std::string aWorker)
{
  Faults faults;
  const auto sync = Decode<WorkerSync>(aRequest.mBody, faults);
  if (!faults.empty()) {
    co_return ErrorResponse(400, Describe(faults.front()));
  }
  const auto reply = HandleSync(this->mFleet, aWorker, sync, MonotonicNow());
  if (!reply) {
    co_await this->Pause(Duration{ 3'000 });
    co_return ErrorResponse(500, "dead");
  }
  co_return JsonResponse(Encode(*reply));
}

asio::awaitable<HttpResponse> Platform::ServeService(
  const HttpRequest& aRequest,
  std::string aWorker)
{
  const auto& worker = this->mFleet.mWorkers.at(aWorker);
  const std::string task(FindHeader(aRequest.mHeaders, "Verbenacroft-Task"));
  const auto found = worker.mTasks.find(task);
  const bool isRunning = worker.mIsAlive && found != worker.mTasks.end() &&
                         found->second.mState == RunState::kRunning;
  HttpResponse response = JsonResponse("{\"task\":\"" + task + "\"}");
  if (!isRunning) {
    response = ErrorResponse(503, "no such task runs here");
  } else if (aRequest.mMethod == "POST") {
    ++this->mExecutions[aRequest.mBody];
  }
  ++this->mServed;
  const std::string millis = QueryValue(aRequest, "ms");
  if (!millis.empty()) {
    co_await this->Pause(Duration{ std::atoll(millis.c_str()) });
  }
  const auto id = FindHeader(aRequest.mHeaders, kRequestIdHeader);
  response.mHeaders.push_back(
    { std::string(kRequestIdHeader), std::string(id) });
  co_return response;
}

void Platform::Obey(const ControlCommand& aCommand)
{
  const TimePoint now = MonotonicNow();
  if (aCommand.mStore) {
    this->mStore.mFaults = *aCommand.mStore;
  }
  if (aCommand.mCut) {
    this->mCut = { aCommand.mCut->begin(), aCommand.mCut->end() };
  }
  auto& workers = this->mFleet.mWorkers;
  if (workers.contains(aCommand.mKillWorker)) {
    KillWorker(this->mFleet, aCommand.mKillWorker, now);
  }
  if (workers.contains(aCommand.mLeaveWorker)) {
    workers[aCommand.mLeaveWorker].mInstance.mState = InstanceState::kLeaving;
  }
  if (workers.contains(aCommand.mFailWorker)) {
    workers[aCommand.mFailWorker].mFailsTasks = true;
  }
  if (workers.contains(aCommand.mRemoveWorker)) {
    KillWorker(this->mFleet, aCommand.mRemoveWorker, now);
    workers.erase(aCommand.mRemoveWorker);
  }
}

ControlReport Platform::Report() const
{
  ControlReport report;
  report.mViolations = this->mFleet.mViolations;
  report.mCompletions = this->mFleet.mCompletions;
  report.mStoreCalls = this->mStore.mCounts;
  report.mExecutions = this->mExecutions;
  report.mServed = this->mServed;
  for (const auto& [name, worker] : this->mFleet.mWorkers) {
    for (const auto& [task, run] : worker.mTasks) {
      report.mRunning[worker.mInstance.mDataCentre] +=
        run.mState == RunState::kRunning ? 1 : 0;
    }
  }
  return report;
}

asio::awaitable<HttpResponse> Platform::ServeControl(
  const HttpRequest& aRequest)
{
  if (aRequest.mMethod == "POST") {
    Faults faults;
    const auto command = Decode<ControlCommand>(aRequest.mBody, faults);
    if (!faults.empty()) {
      co_return ErrorResponse(400, Describe(faults.front()));
    }
    this->Obey(command);
  }
  co_return JsonResponse(Encode(this->Report()));
}

asio::awaitable<void> Platform::StepForever()
{
  while (true) {
    StepFleet(this->mFleet, MonotonicNow());
    co_await this->Pause(Duration{ 20 });
  }
}

void Platform::AddDataCentre(const PlatformDataCentre& aDataCentre)
{
  const std::string name = aDataCentre.mName;
  AddWorkers(this->mFleet,
             name,
             static_cast<std::size_t>(aDataCentre.mWorkers),
             this->mSettings.mCapacity);
  this->Listen(aDataCentre.mStoreAddress,
               [this, name](const HttpRequest& aRequest) {
                 return this->ServeStore(aRequest, name);
               });
  this->Listen(aDataCentre.mListAddress,
               [this, name](const HttpRequest& aRequest) {
                 return this->ServeList(aRequest, name);
               });
  for (std::int64_t i = 0; i < aDataCentre.mWorkers; ++i) {
    const std::string worker = name + "-w" + std::to_string(i);
    const auto position = static_cast<std::size_t>(2 * i);
    auto& fake = this->mFleet.mWorkers.at(worker);
    fake.mInstance.mAddress = aDataCentre.mWorkerAddresses.at(position);
    fake.mServiceAddress = aDataCentre.mWorkerAddresses.at(position + 1);
    this->Listen(fake.mInstance.mAddress,
                 [this, worker](const HttpRequest& aRequest) {
                   return this->ServeWorker(aRequest, worker);
                 });
    this->Listen(fake.mServiceAddress,
                 [this, worker](const HttpRequest& aRequest) {
                   return this->ServeService(aRequest, worker);
                 });
  }
}

int Platform::Run()
{
  this->mFleet.mSeed = this->mSettings.mSeed;
  for (const auto& dataCentre : this->mSettings.mDataCentres) {
    this->AddDataCentre(dataCentre);
  }
  this->Listen(this->mSettings.mControlAddress,
               [this](const HttpRequest& aRequest) {
                 return this->ServeControl(aRequest);
               });
  asio::co_spawn(this->mContext, this->StepForever(), asio::detached);
  asio::signal_set signals(this->mContext, SIGTERM, SIGINT);
  signals.async_wait([this](auto, auto) { this->mContext.stop(); });
  this->mContext.run();
  return 0;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  if (aCount != 2) {
    std::cerr << "usage: vcPlatformStandIn SETTINGS\n";
    return 2;
  }
  Faults faults;
  auto settings = LoadSettings<PlatformSettings>(aArguments[1], faults);
  for (const auto& fault : faults) {
    std::cerr << aArguments[1] << ": " << Describe(fault) << "\n";
  }
  if (!faults.empty()) {
    return 2;
  }
  Platform platform(std::move(settings));
  return platform.Run();
}
