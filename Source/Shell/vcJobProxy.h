#pragma once

/// Passes requests about jobs on to a scheduler.

#include "vcDirectory.h"

namespace verbenacroft {

/// Passes the request to a scheduler of the data centre, or of another one if
/// there is none. Requests about jobs are idempotent by the job's name, so
/// that another scheduler may be asked when one does not answer.
asio::awaitable<HttpResponse> ForwardJob(HttpClient& aHttp,
                                         Directory& aDirectory,
                                         HttpRequest aRequest);

} // namespace verbenacroft
