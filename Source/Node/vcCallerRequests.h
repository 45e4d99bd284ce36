#pragma once

/// Requests of callers: submit a job, show its state, cancel it, and count the
/// waiting jobs of a queue.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Handles one request of a caller. Status 503 means that nothing was done and
/// that the caller may retry after the time in `Retry-After`; 504 means that
/// the outcome of a write is unknown.
asio::awaitable<HttpResponse> HandleCallerRequest(NodeContext& aNode,
                                                  const HttpRequest& aRequest);

} // namespace verbenacroft
