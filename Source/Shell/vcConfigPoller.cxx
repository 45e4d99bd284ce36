#include "vcConfigPoller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace verbenacroft {

namespace {

/// Timeout of one request, in ms.
constexpr Duration kFeedTimeout{ 500 };
/// Poll the next address if the answering process last confirmed its revision
/// longer ago than this.
constexpr std::int64_t kMaxFreshAgeMs = 1'000;

asio::awaitable<void> PollForever(asio::io_context& aContext,
                                  HttpClient& aHttp,
                                  ConfigPollerOptions aOptions)
{
  asio::steady_timer timer(aContext);
  std::size_t current = 0;
  while (!aOptions.mAddresses.empty()) {
    if (!aOptions.mIsPollNeeded || aOptions.mIsPollNeeded()) {
      const TimePoint sentAt = MonotonicNow();
      std::string target =
        "/v1/feed?after=" + std::to_string(aOptions.mRevision());
      HttpRequest request =
        PeerRequest("GET", std::move(target), aOptions.mToken);
      const auto feed = co_await CallPeer<ConfigFeed>(
        aHttp, aOptions.mAddresses[current], std::move(request), kFeedTimeout);
      if (feed) {
        aOptions.mOnFeed(*feed, sentAt);
      }
      const bool isFresh =
        feed && feed->mProofAge && *feed->mProofAge < kMaxFreshAgeMs;
      if (!isFresh) {
        current = (current + 1) % aOptions.mAddresses.size();
      }
    }
    timer.expires_after(aOptions.mInterval);
    co_await WaitForTimer(timer);
  }
}

} // namespace

void StartConfigPoller(asio::io_context& aContext,
                       HttpClient& aHttp,
                       ConfigPollerOptions aOptions)
{
  asio::co_spawn(aContext,
                 PollForever(aContext, aHttp, std::move(aOptions)),
                 asio::detached);
}

} // namespace verbenacroft
