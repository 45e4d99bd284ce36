#pragma once

/// Client of the platform's key-value service. It uses HTTP with JSON and sends
/// one POST to /v1/store per call.

#include "vcHttp.h"
#include "vcStoreBudget.h"

#include <array>

namespace verbenacroft {

/// Sends calls to one of several endpoints of the store and changes to the
/// next endpoint after a call that got no usable HTTP response.
class StoreClient
{
public:
  /// `aHttp` must outlive the client; `aEndpoints` must not be empty.
  StoreClient(HttpClient& aHttp,
              std::vector<Endpoint> aEndpoints,
              StoreBudget aBudget);

  /// Makes one call. A failed call is reported in the reply's status and never
  /// as an exception: `kRateLimited` if the rate limit left no token for
  /// `aPriority`, `kUnavailable` if the request was never sent, and `kUnknown`
  /// if it was sent but no valid reply arrived.
  asio::awaitable<StoreReply> Call(StoreRequest aRequest,
                                   StorePriority aPriority);

  /// Calls made so far, indexed by `StoreOp`; rate-limited calls are not
  /// counted.
  const std::array<std::uint64_t, 7>& Counts() const;

private:
  HttpClient& mHttp;
  std::vector<Endpoint> mEndpoints;
  std::size_t mCurrent = 0;
  StoreBudget mBudget;
  std::array<std::uint64_t, 7> mCounts{};
};

} // namespace verbenacroft
