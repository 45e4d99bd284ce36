#include "vcHttp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

using Parser = http::request_parser<http::string_body>;
using Response = http::response<http::string_body>;

HttpRequest FromBeast(http::request<http::string_body>& aMessage)
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

Response ToBeast(HttpResponse& aResponse, bool aKeepAlive)
{
  Response message;
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

/// One client connection. `mIsIdle` is true while no request is being received
/// or answered.
class Session
  : public boost::intrusive_ref_counter<Session, boost::thread_unsafe_counter>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  explicit Session(asio::ip::tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mIsIdle = true;
};

using SessionList =
  boost::intrusive::list<Session, boost::intrusive::constant_time_size<false>>;

} // namespace

/// Accepts connections and serves one request at a time on each. The coroutines
/// hold a shared pointer to it, so that it outlives the server while they run.
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
  Impl(asio::io_context& aContext,
       const Endpoint& aEndpoint,
       HttpLimits aLimits,
       HttpHandler aHandler)
    : mAcceptor(aContext, aEndpoint)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  void Start()
  {
    asio::co_spawn(this->mAcceptor.get_executor(),
                   this->AcceptConnections(this->shared_from_this()),
                   asio::detached);
  }

  void CloseSessions(bool aIdleOnly)
  {
    for (auto& session : this->mSessions) {
      if (session.mIsIdle || !aIdleOnly) {
        beast::error_code ignored;
        session.mStream.socket().close(ignored);
      }
    }
  }

  asio::ip::tcp::acceptor mAcceptor;
  HttpLimits mLimits;
  HttpHandler mHandler;
  SessionList mSessions;
  std::size_t mConnections = 0;
  std::size_t mInFlight = 0;
  bool mIsDraining = false;

private:
  asio::awaitable<void> AcceptConnections(std::shared_ptr<Impl> aSelf)
  {
    while (aSelf->mAcceptor.is_open()) {
      auto [error, socket] =
        co_await aSelf->mAcceptor.async_accept(kAwaitTuple);
      if (error == asio::error::operation_aborted) {
        break;
      }
      if (error || aSelf->mConnections >= aSelf->mLimits.mConnections) {
        continue;
      }
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      boost::intrusive_ptr<Session> session(new Session(std::move(socket)));
      aSelf->mSessions.push_back(*session);
      ++aSelf->mConnections;
      asio::co_spawn(aSelf->mAcceptor.get_executor(),
                     aSelf->ServeConnection(aSelf, session),
                     asio::detached);
    }
  }

  asio::awaitable<void> ServeConnection(std::shared_ptr<Impl> aSelf,
                                        boost::intrusive_ptr<Session> aSession)
  {
    bool keepAlive = true;
    while (keepAlive && aSession->mStream.socket().is_open()) {
      keepAlive = co_await aSelf->ServeRequest(*aSession);
    }
    beast::error_code ignored;
    aSession->mStream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                        ignored);
    --aSelf->mConnections;
  }

  /// Waits for the first byte of a request. Until it arrives, the connection
  /// counts as idle and may be closed by a drain.
  asio::awaitable<bool> AwaitFirstByte(Session& aSession)
  {
    if (aSession.mBuffer.size() > 0) {
      co_return true;
    }
    aSession.mIsIdle = true;
    aSession.mStream.expires_after(this->mLimits.mIdleTimeout);
    auto buffer = aSession.mBuffer.prepare(4096);
    auto [error, bytes] =
      co_await aSession.mStream.async_read_some(buffer, kAwaitTuple);
    aSession.mBuffer.commit(bytes);
    aSession.mIsIdle = false;
    co_return !error;
  }

  /// Reads and answers one request.
  /// @return true if the connection stays open for another request
  asio::awaitable<bool> ServeRequest(Session& aSession)
  {
    const bool hasData = co_await this->AwaitFirstByte(aSession);
    if (!hasData) {
      co_return false;
    }
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(this->mLimits.mHeaderBytes));
    parser.body_limit(this->mLimits.mBodyBytes);
    aSession.mStream.expires_after(this->mLimits.mReceiveTimeout);
    auto [error, bytes] = co_await http::async_read(
      aSession.mStream, aSession.mBuffer, parser, kAwaitTuple);
    if (error) {
      co_return co_await this->RejectRequest(aSession, error);
    }
    co_return co_await this->HandleRequest(aSession, parser.get());
  }

  /// Sends an error response for a request that could not be read, unless the
  /// connection failed or was closed.
  /// @return false, as the connection must be closed
  asio::awaitable<bool> RejectRequest(Session& aSession,
                                      beast::error_code aError)
  {
    int status = 400;
    if (aError == http::error::body_limit) {
      status = 413;
    } else if (aError == http::error::header_limit) {
      status = 431;
    } else if (aError == beast::error::timeout) {
      status = 408;
    } else if (aError == http::error::end_of_stream ||
               aError == http::error::partial_message ||
               aError.category() !=
                 http::make_error_code(http::error::bad_method).category()) {
      co_return false;
    }
    HttpResponse refusal = ErrorResponse(status, aError.message());
    Response message = ToBeast(refusal, false);
    aSession.mStream.expires_after(this->mLimits.mReceiveTimeout);
    co_await http::async_write(aSession.mStream, message, kAwaitTuple);
    co_return false;
  }

  /// Calls the handler and sends its response.
  /// @return true if the connection stays open for another request
  asio::awaitable<bool> HandleRequest(
    Session& aSession,
    http::request<http::string_body>& aMessage)
  {
    aSession.mStream.expires_never();
    const bool wantsKeepAlive = aMessage.keep_alive();
    const bool isHead = aMessage.method() == http::verb::head;
    const HttpRequest request = FromBeast(aMessage);
    ++this->mInFlight;
    HttpResponse response;
    try {
      response = co_await this->mHandler(request);
    } catch (const std::exception& error) {
      spdlog::error(
        "request failed target={} error={}", request.mTarget, error.what());
      response = ErrorResponse(500, "internal error");
    }
    const bool keepAlive = wantsKeepAlive && !this->mIsDraining;
    Response message = ToBeast(response, keepAlive);
    if (isHead) {
      message.body().clear();
    }
    aSession.mStream.expires_after(this->mLimits.mReceiveTimeout);
    auto [error, bytes] =
      co_await http::async_write(aSession.mStream, message, kAwaitTuple);
    --this->mInFlight;
    co_return keepAlive && !error;
  }
};

HttpServer::HttpServer(asio::io_context& aContext,
                       const Endpoint& aEndpoint,
                       HttpLimits aLimits,
                       HttpHandler aHandler)
  : mImpl(
      std::make_shared<Impl>(aContext, aEndpoint, aLimits, std::move(aHandler)))
{
  this->mImpl->Start();
}

HttpServer::~HttpServer()
{
  this->Close();
}

Endpoint HttpServer::LocalEndpoint() const
{
  return this->mImpl->mAcceptor.local_endpoint();
}

std::size_t HttpServer::InFlight() const
{
  return this->mImpl->mInFlight;
}

void HttpServer::StartDrain()
{
  this->mImpl->mIsDraining = true;
  this->mImpl->CloseSessions(true);
}

void HttpServer::Close()
{
  boost::system::error_code ignored;
  this->mImpl->mAcceptor.close(ignored);
  this->mImpl->CloseSessions(false);
}

} // namespace verbenacroft
