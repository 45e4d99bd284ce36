#include "vcCallerResponses.h"

#include "vcFoundation.h"

#include <string>

namespace verbenacroft {

namespace {

/// Retries of refused callers are spread over this many seconds, so that
/// callers that were refused at the same time don't retry at the same time.
constexpr std::uint64_t kRetrySpreadSeconds = 2;

} // namespace

HttpResponse NotAcceptedResponse(std::string_view aSpreadKey,
                                 std::string_view aReason)
{
  HttpResponse response = ErrorResponse(503, aReason);
  const std::uint64_t retryAfterSeconds =
    1 + StableHash(aSpreadKey) % kRetrySpreadSeconds;
  response.mHeaders.push_back(
    { "Retry-After", std::to_string(retryAfterSeconds) });
  return response;
}

HttpResponse RejectedResponse()
{
  return ErrorResponse(503, "the store rejected the write");
}

HttpResponse NoSuchQueueResponse()
{
  return ErrorResponse(404, "no such queue");
}

HttpResponse OutcomeUnknownResponse()
{
  return ErrorResponse(504, "the store did not answer; ask again");
}

} // namespace verbenacroft
