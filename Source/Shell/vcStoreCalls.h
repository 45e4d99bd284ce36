#pragma once

/// Makes the store calls that a core has requested and returns the replies.

#include "vcStore.h"

#include <functional>

namespace verbenacroft {

/// Receives the route and number of a call, and its reply.
using StoreReplyHandler = std::function<
  void(const std::string& aRoute, std::uint64_t aCall, const StoreReply&)>;

/// Starts every call in the outbox and empties it; `aHandler` is called with
/// each reply. Each outbox numbers its calls on its own, so a core with several
/// outboxes needs a handler for each.
void StartStoreCalls(asio::io_context& aContext,
                     StoreClient& aClient,
                     StoreOutbox& aOutbox,
                     const StoreReplyHandler& aHandler);

} // namespace verbenacroft
