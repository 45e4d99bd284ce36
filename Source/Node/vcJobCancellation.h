#pragma once

/// Cancellation of a job by its caller. Internal to the Node library.

#include "vcCallerConfig.h"

namespace verbenacroft {

/// Stores a cancellation, unless the job has ended. The write is conditional on
/// the job's record and on the configuration, and is repeated if one of them
/// has changed meanwhile or the outcome is unknown.
asio::awaitable<HttpResponse> HandleCancellation(NodeContext& aNode,
                                                 CallerRequest aRequest);

} // namespace verbenacroft
