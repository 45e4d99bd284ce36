#include "vcWorkerClient.h"

namespace verbenacroft {

namespace {

/// Timeouts in milliseconds.
constexpr Duration kWorkerTimeout{ 1'000 };
constexpr Duration kListTimeout{ 1'000 };

} // namespace

asio::awaitable<std::optional<WorkerSyncReply>> SyncWorker(HttpClient& aHttp,
                                                           Endpoint aWorker,
                                                           WorkerSync aSync)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/sync";
  request.mBody = Encode(aSync);
  HttpCallOptions options;
  options.mTimeout = kWorkerTimeout;
  HttpResult result =
    co_await aHttp.Call(aWorker, std::move(request), std::move(options));
  if (result.mError || result.mResponse.mStatus != 200) {
    co_return std::nullopt;
  }
  co_return TryDecode<WorkerSyncReply>(result.mResponse.mBody);
}

asio::awaitable<std::optional<InstanceList>>
ReadInstances(HttpClient& aHttp, Endpoint aList, std::string aDataCentre)
{
  HttpRequest request;
  request.mTarget = "/v1/instances?dataCentre=" + aDataCentre;
  HttpCallOptions options;
  options.mTimeout = kListTimeout;
  HttpResult result =
    co_await aHttp.Call(aList, std::move(request), std::move(options));
  if (result.mError || result.mResponse.mStatus != 200) {
    co_return std::nullopt;
  }
  co_return TryDecode<InstanceList>(result.mResponse.mBody);
}

} // namespace verbenacroft
