#pragma once

/// Submission of a job: storing it in the inbox of its shard. Internal to the
/// Node library.

#include "vcCallerConfig.h"

namespace verbenacroft {

/// Decodes and stores a job in the inbox of its shard.
asio::awaitable<HttpResponse> HandleSubmission(NodeContext& aNode,
                                               CallerRequest aRequest);

} // namespace verbenacroft
