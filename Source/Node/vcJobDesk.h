#pragma once

/// What callers ask of a node: to take a job, to tell its state, to cancel
/// it, and to count what waits in a queue.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Answers one request of a caller.
asio::awaitable<HttpResponse> AnswerCaller(NodeContext& aNode,
                                           const HttpRequest& aRequest);

/// Bounds of the buckets of the latency histogram, in ms.
const std::vector<double>& LatencyBoundsMs();

} // namespace verbenacroft
