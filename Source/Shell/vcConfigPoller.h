#pragma once

/// Keeps a process's copy of the configuration up to date by polling the config
/// processes that are listed in its settings.

#include "vcConfigFeed.h"
#include "vcServerSupport.h"

#include <functional>

namespace verbenacroft {

/// Options of the configuration poller.
struct ConfigPollerOptions
{
  /// Addresses of the config processes. Nothing is polled if it is empty.
  std::vector<std::string> mAddresses;
  /// Peer token, sent with each request.
  std::string mToken;
  /// Pause between polls, in ms.
  Duration mInterval{ 200 };
  /// Returns the revision of the local copy; called before each poll.
  std::function<std::uint64_t()> mRevision;
  /// Returns false while no poll is needed. Polls always if it is empty.
  std::function<bool()> mIsPollNeeded;
  /// Receives each answer and the time at which its request was sent.
  std::function<void(const ConfigFeed&, TimePoint)> mOnFeed;
};

/// Polls one address until the context stops. Changes to the next address when
/// a request fails, or when the answering process has not confirmed recently
/// that its revision is the latest.
void StartConfigPoller(asio::io_context& aContext,
                       HttpClient& aHttp,
                       ConfigPollerOptions aOptions);

} // namespace verbenacroft
