#include "vcStoreClient.h"

namespace verbenacroft {

namespace {

/// Timeout of a call in milliseconds, in addition to the wait of a watch.
constexpr Duration kStoreTimeout{ 800 };

/// Reply for a call without a valid response. A request that was sent may have
/// taken effect, so its outcome is unknown.
StoreReply FailedReply(const HttpResult& aResult)
{
  StoreReply reply;
  reply.mStatus =
    aResult.mWasSent ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
  return reply;
}

} // namespace

StoreClient::StoreClient(HttpClient& aHttp,
                         std::vector<Endpoint> aEndpoints,
                         StoreBudget aBudget)
  : mHttp(aHttp)
  , mEndpoints(std::move(aEndpoints))
  , mBudget(aBudget)
{
}

asio::awaitable<StoreReply> StoreClient::Call(StoreRequest aRequest,
                                              StorePriority aPriority)
{
  if (!TakeToken(this->mBudget, aPriority, MonotonicNow())) {
    StoreReply refused;
    refused.mStatus = StoreStatus::kRateLimited;
    co_return refused;
  }
  ++this->mCounts[static_cast<std::size_t>(aRequest.mOp)];
  HttpCallOptions options;
  options.mTimeout = kStoreTimeout + aRequest.mWait;
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/store";
  request.mBody = Encode(aRequest);
  const Endpoint endpoint = this->mEndpoints[this->mCurrent];
  HttpResult result =
    co_await this->mHttp.Call(endpoint, std::move(request), std::move(options));
  if (result.mError) {
    this->mCurrent = (this->mCurrent + 1) % this->mEndpoints.size();
    co_return FailedReply(result);
  }
  const auto reply = TryDecode<StoreReply>(result.mResponse.mBody);
  if (!reply) {
    co_return FailedReply(result);
  }
  co_return *reply;
}

const std::array<std::uint64_t, 7>& StoreClient::Counts() const
{
  return this->mCounts;
}

} // namespace verbenacroft
