#pragma once

/// HTTP/1.1 server and client. Boost.Beast is an implementation detail of the
/// library and does not appear in this header.

#include "vcFoundation.h"
#include "vcHttpBudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace verbenacroft {

namespace asio = boost::asio;
using Endpoint = asio::ip::tcp::endpoint;

/// Errors of an HTTP call.
enum class HttpErrc
{
  kNotConnected = 1,
  kTimeout,
  kClosed,
  kMalformed,
  kRequestIdMismatch,
  kTooLarge,
};

template<>
struct EnumTable<HttpErrc>
{
  static constexpr const char* kCategory = "http";
  static constexpr auto kRows = std::to_array<NameRow<HttpErrc>>({
    { HttpErrc::kNotConnected, "no connection could be made" },
    { HttpErrc::kTimeout, "no whole answer before the timeout" },
    { HttpErrc::kClosed, "the connection closed before the whole answer" },
    { HttpErrc::kMalformed, "the answer is malformed or has no length" },
    { HttpErrc::kRequestIdMismatch, "the answer belongs to another request" },
    { HttpErrc::kTooLarge, "the answer exceeds the size limit" },
  });
};

/// One header field.
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Value of the header `aName`, compared without regard to case, or an empty
/// string if there is none.
std::string_view FindHeader(const HttpHeaders& aHeaders,
                            std::string_view aName);

/// Request as sent by the client or received by the server.
struct HttpRequest
{
  std::string mMethod = "GET";
  /// Path with an optional query.
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Response as received by the client or sent by the server.
struct HttpResponse
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Path of the request target, without the query.
std::string_view PathOf(const HttpRequest& aRequest);

/// Value of the parameter `aName` in the query, or an empty string if there is
/// none. Percent-encoding is not decoded.
std::string QueryValue(const HttpRequest& aRequest, std::string_view aName);

/// Response with a JSON object that has `aText` in its member "error".
HttpResponse ErrorResponse(int aStatus, std::string_view aText);

/// Response with the body `aBody`, which must be JSON.
HttpResponse JsonResponse(std::string aBody, int aStatus = 200);

/// Limits of one request; sizes are in bytes, times in milliseconds. Trailers,
/// or one chunk header, may take 16 KB more than a header. The budget of the
/// process limits all connections together.
struct HttpLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 1024 * 1024;
  /// Maximum number of open connections; further ones are closed at once.
  std::size_t mConnections = 4096;
  /// Maximum time for a request to arrive completely after its first byte, and
  /// for a response to be sent.
  Duration mReceiveTimeout{ 10'000 };
  /// Time after which a connection without a request is closed.
  Duration mIdleTimeout{ 60'000 };
};

/// Handles one request. An exception leads to a response with status 500.
using HttpHandler =
  std::function<asio::awaitable<HttpResponse>(const HttpRequest&)>;

/// Server on one address. A request that is refused for its size, or since the
/// budget of the process is short, has not been passed to the handler. All
/// functions must be called on the thread that runs
/// the io_context.
class HttpServer
{
public:
  /// Binds and listens.
  /// @throws std::system_error if the address cannot be bound
  HttpServer(asio::io_context& aContext,
             const Endpoint& aEndpoint,
             HttpLimits aLimits,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Address that the server is bound to.
  Endpoint LocalEndpoint() const;

  /// Number of requests that were read and whose responses have not been sent
  /// completely.
  std::size_t InFlight() const;

  /// Closes idle connections and sends "Connection: close" with the response on
  /// all others. New connections are still accepted, so that no client is
  /// disconnected without a response.
  void StartDrain();

  /// Stops accepting and closes every connection.
  void Close();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

/// Outcome of one call of the client.
struct HttpResult
{
  /// Set if no usable response arrived.
  std::error_code mError;
  /// False only if no byte of the request was passed to the network, so that
  /// the server certainly did not receive it.
  bool mWasSent = false;
  /// Bytes of the response that arrived, also if the call failed.
  std::size_t mReceivedBytes = 0;
  HttpResponse mResponse;
};

/// Options of one call; times are in milliseconds.
struct HttpCallOptions
{
  /// Maximum time for sending the request and receiving the response, once the
  /// connection is open.
  Duration mTimeout{ 2'000 };
  /// If not 0, `mTimeout` ends with the first data of the response. After that,
  /// the call fails once no further data has arrived for this time. For
  /// responses that may be large: one that takes longer than a fixed time would
  /// never be received, however often it is requested again.
  Duration mStallTimeout{ 0 };
  /// Maximum time for opening a connection; `mTimeout` is used if it is
  /// shorter.
  Duration mConnectTimeout{ 500 };
  /// Maximum size of the response body.
  std::size_t mMaxBodyBytes = 8 * 1024 * 1024;
  /// Identifier of the request; empty to send none. A response with a different
  /// identifier is rejected; one without an identifier only if
  /// `mRequiresRequestIdEcho` is set.
  std::string mRequestId;
  bool mRequiresRequestIdEcho = false;
  /// True to open a new connection and never reuse an idle one.
  bool mRequiresNewConnection = false;
};

/// Header that carries the request identifier.
constexpr std::string_view kRequestIdHeader = "Verbenacroft-Request";

/// Client with a pool of idle connections for each address. A connection is
/// reused only if a complete response was read and no further data followed. If
/// a reused one doesn't answer within the timeout, those to its address are
/// closed that have been idle since before the call.
/// All functions must be called on the thread that runs the io_context.
class HttpClient
{
public:
  /// @param aMaxIdleTime a connection that was idle for this long is closed
  /// when another one is returned, so that the pool shrinks after a burst
  explicit HttpClient(asio::io_context& aContext,
                      Duration aMaxIdleTime = Duration(30'000));
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends one request and reads the response. Network errors and rejected
  /// responses are reported in the result. There are no retries.
  asio::awaitable<HttpResult> Call(Endpoint aEndpoint,
                                   HttpRequest aRequest,
                                   HttpCallOptions aOptions);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace verbenacroft
