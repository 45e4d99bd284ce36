#pragma once

/// Responses to callers that several kinds of requests have in common. Internal
/// to the Node library.

#include "vcHttp.h"

#include <string_view>

namespace verbenacroft {

/// Response to a request that was not carried out and may be retried.
/// @param aSpreadKey hashed to choose the delay before the caller's retry
HttpResponse NotAcceptedResponse(std::string_view aSpreadKey,
                                 std::string_view aReason);

/// Response to a write that the store rejected. It would reject the same write
/// again, so no time to retry is given.
HttpResponse RejectedResponse();

HttpResponse NoSuchQueueResponse();

/// Response to a write whose outcome is unknown.
HttpResponse OutcomeUnknownResponse();

} // namespace verbenacroft
