#pragma once

/// Carries the store calls of a core out and brings the replies back.

#include "vcStore.h"

#include <functional>

namespace verbenacroft {

using StoreReplyHandler = std::function<
  void(const std::string& aRoute, std::uint64_t aCall, const StoreReply&)>;

/// Starts every call that waits in the outbox. A core that numbers its calls
/// in several outboxes gives a handler for each.
void PumpStore(asio::io_context& aContext,
               StoreClient& aClient,
               StoreOutbox& aOutbox,
               const StoreReplyHandler& aHandler);

} // namespace verbenacroft
