#include "vcHttp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Bytes that are read at most before they are parsed, beyond a whole header.
/// Trailers and chunk headers have to fit, since the parser needs each as a
/// whole.
constexpr std::size_t kMaxUnparsedBytes = 16 * 1024;
/// Bytes that are read at a time.
constexpr std::size_t kMaxReadBytes = 16 * 1024;
/// Bytes of chunk headers, trailers and header fields that a request may have,
/// beyond a multiple of its body.
constexpr std::size_t kMaxFramingBytes = 64 * 1024;
/// That multiple. A chunk of one byte without an extension takes six.
constexpr std::size_t kMaxFramingFactor = 8;
/// Memory for each byte of header fields: the parser takes some 80 bytes for a
/// field of 4, and its copy for the handler as much.
constexpr std::size_t kFieldFactor = 40;
/// Copies of a body while its request is handled: the request's and the
/// handler's.
constexpr std::size_t kBodyCopies = 2;
/// Time for the response to a request that isn't read to its end.
constexpr Duration kRefusalTimeout{ 1'000 };
/// Pause before the next connection is accepted after a failure.
constexpr Duration kAcceptPause{ 20 };

class Session;
using ListHook = boost::intrusive::list_base_hook<
  boost::intrusive::tag<Session>,
  boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One client connection.
class Session
  : public boost::intrusive_ref_counter<Session, boost::thread_unsafe_counter>
  , public ListHook
  , public HttpAccount
{
public:
  Session(asio::ip::tcp::socket aSocket,
          HttpBudget& aBudget,
          std::size_t aMaxBuffer)
    : mStream(std::move(aSocket))
    , mBudget(aBudget)
    , mBuffer(aMaxBuffer)
  {
  }
  ~Session() override
  {
    if (this->mIsOpen) {
      this->mBudget.Close(*this);
    }
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Interrupt() override { this->mStream.cancel(); }

  /// @return false if the budget has no room for the connection
  bool Open()
  {
    this->mIsOpen = this->mBudget.Open(*this, MonotonicNow());
    return this->mIsOpen;
  }
  void SetPhase(Phase aPhase)
  {
    this->mBudget.SetPhase(*this, aPhase, MonotonicNow());
  }
  /// Accounts for the buffer and `aBytes` more.
  /// @return false if the connection has to be closed for that
  bool Charge(std::size_t aBytes)
  {
    this->mBudget.Charge(
      *this, this->mBuffer.capacity() + aBytes, MonotonicNow());
    return this->mPhase != Phase::kEvicted;
  }

  beast::tcp_stream mStream;
  HttpBudget& mBudget;
  beast::flat_buffer mBuffer;

private:
  bool mIsOpen = false;
};

using SessionList =
  boost::intrusive::list<Session,
                         boost::intrusive::base_hook<ListHook>,
                         boost::intrusive::constant_time_size<false>>;

/// Bytes that were parsed of a request.
struct ParsedBytes
{
  std::size_t mHeader = 0;
  std::size_t mAll = 0;
};

/// Parses what the buffer holds of a request. An incomplete part stays there.
void Parse(beast::flat_buffer& aBuffer,
           Parser& aParser,
           ParsedBytes& aParsed,
           beast::error_code& aError)
{
  while (aBuffer.size() > 0 && !aParser.is_done()) {
    const bool isInHeader = !aParser.is_header_done();
    const std::size_t bytes = aParser.put(aBuffer.data(), aError);
    aBuffer.consume(bytes);
    aParsed.mAll += bytes;
    aParsed.mHeader += isInHeader ? bytes : 0;
    if (aError || bytes == 0) {
      break;
    }
  }
  if (aError == http::error::need_more) {
    aError = {};
  }
}

/// Memory that a request takes which isn't complete.
std::size_t MemoryOf(const Parser& aParser, const ParsedBytes& aParsed)
{
  return aParser.get().body().capacity() + kFieldFactor * aParsed.mHeader;
}

/// Why a request that could not be read is refused; nothing if its connection
/// failed or was closed.
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

/// Response to a refused request, which has not been handled.
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

/// True if a request has more chunk headers, trailers and header fields than
/// its body explains.
bool HasTooMuchFraming(std::size_t aReceived, std::size_t aBody)
{
  return aReceived > kMaxFramingBytes + (1 + kMaxFramingFactor) * aBody;
}

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
    , mBudget(ProcessHttpBudget())
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
      if (session.mPhase == HttpAccount::Phase::kIdle || !aIdleOnly) {
        beast::error_code ignored;
        session.mStream.socket().close(ignored);
      }
    }
  }

  asio::ip::tcp::acceptor mAcceptor;
  HttpLimits mLimits;
  HttpHandler mHandler;
  HttpBudget& mBudget;
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
      if (error) {
        co_await aSelf->PauseAccepting(error);
        continue;
      }
      if (aSelf->mConnections >= aSelf->mLimits.mConnections) {
        aSelf->mBudget.CountRefusal(HttpRefusal::kConnections, MonotonicNow());
        continue;
      }
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      boost::intrusive_ptr<Session> session(
        new Session(std::move(socket),
                    aSelf->mBudget,
                    aSelf->mLimits.mHeaderBytes + kMaxUnparsedBytes));
      if (!session->Open()) {
        continue;
      }
      aSelf->mSessions.push_back(*session);
      ++aSelf->mConnections;
      asio::co_spawn(aSelf->mAcceptor.get_executor(),
                     aSelf->ServeConnection(aSelf, session),
                     asio::detached);
    }
  }

  /// Waits after a failure to accept. Without a descriptor the acceptor would
  /// fail again at once, for as long as the connection waits.
  asio::awaitable<void> PauseAccepting(boost::system::error_code aError)
  {
    if (aError == asio::error::no_descriptors) {
      this->mBudget.OnDescriptorsExhausted(MonotonicNow());
    }
    asio::steady_timer timer(this->mAcceptor.get_executor(), kAcceptPause);
    co_await timer.async_wait(kAwaitTuple);
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
    aSession.mBuffer.shrink_to_fit();
    aSession.SetPhase(HttpAccount::Phase::kIdle);
    aSession.Charge(0);
    if (aSession.mPhase == HttpAccount::Phase::kEvicted) {
      co_return false;
    }
    aSession.mStream.expires_after(this->mLimits.mIdleTimeout);
    auto buffer = aSession.mBuffer.prepare(4096);
    auto [error, bytes] =
      co_await aSession.mStream.async_read_some(buffer, kAwaitTuple);
    aSession.mBuffer.commit(bytes);
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
    aSession.SetPhase(HttpAccount::Phase::kReceiving);
    Parser parser;
    // The parser's own limit counts only what is unparsed of a header.
    parser.header_limit(static_cast<std::uint32_t>(this->mLimits.mHeaderBytes));
    parser.body_limit(this->mLimits.mBodyBytes);
    aSession.mStream.expires_after(this->mLimits.mReceiveTimeout);
    ParsedBytes parsed;
    while (!parser.is_done()) {
      beast::error_code error;
      Parse(aSession.mBuffer, parser, parsed, error);
      const bool needsMore = !error && !parser.is_done();
      // If this request itself is evicted, more of it may never arrive.
      if (needsMore && aSession.Charge(MemoryOf(parser, parsed))) {
        error = co_await this->ReadMore(aSession);
      }
      if (aSession.mPhase == HttpAccount::Phase::kEvicted) {
        co_return co_await this->Refuse(aSession, aSession.mCause);
      }
      if (error) {
        co_return co_await this->RejectRequest(aSession, error);
      }
      if (parsed.mHeader > this->mLimits.mHeaderBytes) {
        co_return co_await this->CountAndRefuse(aSession,
                                                HttpRefusal::kHeaderTooLarge);
      }
      if (HasTooMuchFraming(parsed.mAll, parser.get().body().size())) {
        co_return co_await this->CountAndRefuse(aSession,
                                                HttpRefusal::kMalformed);
      }
    }
    // A complete request isn't refused for lack of memory.
    aSession.SetPhase(HttpAccount::Phase::kHandling);
    aSession.Charge(kBodyCopies * MemoryOf(parser, parsed));
    co_return co_await this->HandleRequest(aSession, parser.get());
  }

  /// Reads what has arrived of a request, as far as the buffer has room.
  /// Beast's own read operation goes on over small chunks without returning, so
  /// no limit could be checked in between.
  asio::awaitable<beast::error_code> ReadMore(Session& aSession)
  {
    beast::flat_buffer& buffer = aSession.mBuffer;
    const std::size_t room =
      std::min(kMaxReadBytes, buffer.max_size() - buffer.size());
    if (room == 0) {
      co_return http::make_error_code(http::error::buffer_overflow);
    }
    auto [error, bytes] = co_await aSession.mStream.async_read_some(
      buffer.prepare(room), kAwaitTuple);
    buffer.commit(bytes);
    co_return error;
  }

  /// Refuses a request that could not be read, unless the connection failed or
  /// was closed.
  /// @return false, as the connection must be closed
  asio::awaitable<bool> RejectRequest(Session& aSession,
                                      beast::error_code aError)
  {
    const auto refusal = RefusalOf(aError);
    if (!refusal) {
      co_return false;
    }
    co_return co_await this->CountAndRefuse(aSession, *refusal);
  }

  asio::awaitable<bool> CountAndRefuse(Session& aSession, HttpRefusal aRefusal)
  {
    this->mBudget.CountRefusal(aRefusal, MonotonicNow());
    // It isn't evicted while its refusal is sent.
    aSession.SetPhase(HttpAccount::Phase::kHandling);
    co_return co_await this->Refuse(aSession, aRefusal);
  }

  /// Sends an error response for a request that isn't handled.
  /// @return false, as the connection must be closed
  asio::awaitable<bool> Refuse(Session& aSession, HttpRefusal aRefusal)
  {
    HttpResponse refusal = RefusalResponse(aRefusal);
    Response message = ToBeast(refusal, false);
    aSession.mStream.expires_after(kRefusalTimeout);
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
    ++this->mInFlight;
    HttpResponse response;
    {
      const HttpRequest request = FromBeast(aMessage);
      try {
        response = co_await this->mHandler(request);
      } catch (const std::exception& error) {
        spdlog::error(
          "request failed target={} error={}", request.mTarget, error.what());
        response = ErrorResponse(500, "internal error");
      }
    }
    aSession.Charge(response.mBody.capacity());
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
