#pragma once

/// Forwards job requests to a scheduler.

#include "vcDirectory.h"

namespace verbenacroft {

/// Forwards the request to a scheduler, preferring those of this data centre,
/// and returns its answer. Job requests are idempotent by the job's name, so
/// the next scheduler is tried when one does not answer or did not run the
/// request; at most three are tried. Returns 503 if no request could be sent,
/// and 504 if the outcome is unknown.
asio::awaitable<HttpResponse> ForwardJob(HttpClient& aHttp,
                                         Directory& aDirectory,
                                         HttpRequest aRequest);

} // namespace verbenacroft
