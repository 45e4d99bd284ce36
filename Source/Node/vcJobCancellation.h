#pragma once

/// Cancellation of a job by its caller. Internal to the Node library.

#include "vcCallerConfig.h"

namespace verbenacroft {

/// Stores a cancellation, unless the job has ended. That of a job that the
/// store doesn't know voids every submission that is still under way
/// (vcCancellationRecord.h). The write is conditional on what was read of the
/// job and on the configuration, and is repeated if one of them has changed
/// meanwhile or the outcome is unknown.
asio::awaitable<HttpResponse> HandleCancellation(NodeContext& aNode,
                                                 CallerRequest aRequest);

} // namespace verbenacroft
