#include "vcServerSupport.h"

#include "vcSchedulerMessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenacroft {

std::optional<HttpResponse> RejectUnauthorized(const HttpRequest& aRequest,
                                               std::string_view aToken,
                                               bool aIsPeer,
                                               RefusalCounters& aCounters)
{
  if (!SecretsEqual(FindHeader(aRequest.mHeaders, kTokenHeader), aToken)) {
    ++aCounters.mBadTokens;
    return ErrorResponse(401, "the token is missing or wrong");
  }
  const auto protocol = FindHeader(aRequest.mHeaders, kProtocolHeader);
  if (aIsPeer && protocol != kProtocolVersion) {
    ++aCounters.mBadProtocols;
    return ErrorResponse(400, "unsupported protocol version");
  }
  return std::nullopt;
}

std::unique_ptr<HttpServer> Listen(asio::io_context& aContext,
                                   const std::string& aAddress,
                                   const HttpLimits& aLimits,
                                   HttpHandler aHandler)
{
  try {
    return std::make_unique<HttpServer>(
      aContext, *ParseEndpoint(aAddress), aLimits, std::move(aHandler));
  } catch (const boost::system::system_error& error) {
    throw std::system_error(error.code(), "can't listen on " + aAddress);
  }
}

HttpRequest PeerRequest(std::string aMethod,
                        std::string aTarget,
                        const std::string& aToken,
                        std::string aBody)
{
  HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mHeaders.push_back({ std::string(kTokenHeader), aToken });
  request.mHeaders.push_back(
    { std::string(kProtocolHeader), std::string(kProtocolVersion) });
  request.mBody = std::move(aBody);
  return request;
}

asio::awaitable<void> WaitForTimer(asio::steady_timer& aTimer)
{
  co_await aTimer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace verbenacroft
