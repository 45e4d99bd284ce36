#pragma once

/// Keeps a process's copy of the configuration up to date by asking the
/// config processes that its settings name.

#include "vcConfigFeed.h"
#include "vcServerSupport.h"

#include <functional>

namespace verbenacroft {

struct ConfigLinkOptions
{
  std::vector<std::string> mAddresses;
  std::string mToken;
  Duration mInterval{ 200 };
  /// Revision that is held; asked anew before each question.
  std::function<std::uint64_t()> mRevision;
  /// False while no question need be asked.
  std::function<bool()> mIsWanted;
  /// Takes an answer to a question that was sent at the given time.
  std::function<void(const ConfigFeed&, TimePoint)> mOnFeed;
};

/// Asks for ever, one address after the other when one does not answer.
void StartConfigLink(asio::io_context& aContext,
                     HttpClient& aHttp,
                     ConfigLinkOptions aOptions);

} // namespace verbenacroft
