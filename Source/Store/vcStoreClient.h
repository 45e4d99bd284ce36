#pragma once

/// Adapter of the platform's key-value service: HTTP with JSON, one POST to
/// /v1/store for each call.

#include "vcHttp.h"
#include "vcStoreBudget.h"

#include <array>

namespace verbenacroft {

class StoreClient
{
public:
  StoreClient(HttpClient& aHttp,
              std::vector<Endpoint> aEndpoints,
              StoreBudget aBudget);

  /// Makes one call. Never throws for a failed call: an answer that did not
  /// arrive is `kUnknown`, one that was never sent is `kUnavailable`.
  asio::awaitable<StoreReply> Call(StoreRequest aRequest,
                                   StorePriority aPriority);

  /// Calls made so far, by operation.
  const std::array<std::uint64_t, 7>& Counts() const;

private:
  HttpClient& mHttp;
  std::vector<Endpoint> mEndpoints;
  std::size_t mCurrent = 0;
  StoreBudget mBudget;
  std::array<std::uint64_t, 7> mCounts{};
};

} // namespace verbenacroft
