#pragma once

/// HTTP/1.1 server and client. Beast is used behind this header only.

#include "vcFoundation.h"

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

enum class HttpErrc
{
  kNotConnected = 1,
  kTimeout,
  kClosed,
  kMalformed,
  kCrossed,
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
    { HttpErrc::kCrossed, "the answer belongs to another request" },
    { HttpErrc::kTooLarge, "the answer exceeds the size limit" },
  });
};

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Value of the header `aName` (compared without case), or an empty text.
std::string_view FindHeader(const HttpHeaders& aHeaders,
                            std::string_view aName);

struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

struct HttpResponse
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Path of the target, without its query.
std::string_view PathOf(const HttpRequest& aRequest);

/// Value of `aName` in the query, or an empty text.
std::string QueryValue(const HttpRequest& aRequest, std::string_view aName);

/// Response with an error text as JSON.
HttpResponse ErrorResponse(int aStatus, std::string_view aText);

/// Response with `aBody` as JSON.
HttpResponse JsonResponse(std::string aBody, int aStatus = 200);

struct HttpLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 1024 * 1024;
  std::size_t mConnections = 4096;
  /// Time in which a started request has to arrive in full.
  Duration mReceiveTimeout{ 10'000 };
  Duration mIdleTimeout{ 60'000 };
};

using HttpHandler =
  std::function<asio::awaitable<HttpResponse>(const HttpRequest&)>;

/// Server on one address. All calls are made on the io_context's thread.
class HttpServer
{
public:
  /// Binds and listens.
  /// @throws std::system_error if the address can't be bound.
  HttpServer(asio::io_context& aContext,
             const Endpoint& aEndpoint,
             HttpLimits aLimits,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Endpoint LocalEndpoint() const;

  /// Requests that have been read and not yet been answered in full.
  std::size_t InFlight() const;

  /// Closes idle connections and announces "Connection: close" on the rest.
  /// New connections are still accepted, so that no caller is cut.
  void StartDrain();

  /// Stops accepting and closes every connection.
  void Close();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

/// What became of one call.
struct HttpResult
{
  std::error_code mError;
  /// False only if no byte of the request was handed to the network.
  bool mWasSent = false;
  HttpResponse mResponse;
};

struct HttpCallOptions
{
  Duration mTimeout{ 2'000 };
  Duration mConnectTimeout{ 500 };
  std::size_t mMaxBodyBytes = 8 * 1024 * 1024;
  /// Identifier of the request; the answer has to echo it if
  /// `mNeedsEcho`, and must not carry another one in any case.
  std::string mRequestId;
  bool mNeedsEcho = false;
  /// Use a new connection, never an idle one.
  bool mIsFresh = false;
};

/// Header that carries the request identifier.
constexpr std::string_view kRequestIdHeader = "Verbenacroft-Request";

/// Client with a pool of idle connections for each address. A connection
/// is reused only after a whole answer with nothing behind it.
class HttpClient
{
public:
  explicit HttpClient(asio::io_context& aContext);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  asio::awaitable<HttpResult> Call(Endpoint aEndpoint,
                                   HttpRequest aRequest,
                                   HttpCallOptions aOptions);

  /// Closes idle connections.
  void CloseIdle();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace verbenacroft
