#include "vcHttpBeast.h"

namespace verbenacroft {

HttpRequest FromBeast(BeastRequest& aMessage)
{
  HttpRequest request;
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = std::move(aMessage.body());
  return request;
}

BeastResponse ToBeast(HttpResponse& aResponse, bool aKeepAlive)
{
  BeastResponse message;
  message.version(11);
  message.result(static_cast<unsigned>(aResponse.mStatus));
  if (!aResponse.mContentType.empty()) {
    message.set(http::field::content_type, aResponse.mContentType);
  }
  for (const auto& header : aResponse.mHeaders) {
    message.insert(header.mName, header.mValue);
  }
  message.keep_alive(aKeepAlive);
  message.body() = std::move(aResponse.mBody);
  message.prepare_payload();
  return message;
}

std::optional<HttpRefusal> RefusalOf(beast::error_code aError)
{
  if (aError == http::error::body_limit) {
    return HttpRefusal::kBodyTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return HttpRefusal::kHeaderTooLarge;
  }
  if (aError == beast::error::timeout) {
    return HttpRefusal::kTooSlow;
  }
  const bool isClosed =
    aError == http::error::end_of_stream ||
    aError == http::error::partial_message ||
    aError.category() !=
      http::make_error_code(http::error::bad_method).category();
  return isClosed ? std::nullopt : std::optional(HttpRefusal::kMalformed);
}

HttpResponse RefusalResponse(HttpRefusal aRefusal)
{
  switch (aRefusal) {
    case HttpRefusal::kBodyTooLarge:
      return ErrorResponse(413, "the body is too large");
    case HttpRefusal::kHeaderTooLarge:
      return ErrorResponse(431, "the header or the trailers are too large");
    case HttpRefusal::kTooSlow:
      return ErrorResponse(408, "the request did not arrive in time");
    case HttpRefusal::kMemory:
    case HttpRefusal::kConnections: {
      HttpResponse response =
        ErrorResponse(503, "the server is busy; the request was not handled");
      response.mHeaders.push_back({ "Retry-After", "1" });
      return response;
    }
    case HttpRefusal::kMalformed:
      break;
  }
  return ErrorResponse(400, "the request is malformed");
}

} // namespace verbenacroft
