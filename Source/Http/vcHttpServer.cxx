#include "vcHttpListener.h"
#include "vcHttpRequestReader.h"
#include "vcHttpTurns.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Bytes that are read at a time.
constexpr std::size_t kMaxReadBytes = 16 * 1024;
/// Pause before the next connection is accepted after a failure.
constexpr Duration kAcceptPause{ 20 };
/// Further connections that are accepted in one turn of the event loop.
constexpr int kAcceptBatch = 64;

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
    : mAcceptor(OpenAcceptor(aContext, aEndpoint, aLimits.mReceiveTimeout))
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
    , mBudget(ProcessHttpBudget())
    , mTurns(std::make_shared<HttpTurns>(mAcceptor.get_executor()))
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
  std::shared_ptr<HttpTurns> mTurns;
  HttpSessionList mSessions;
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
      aSelf->OpenSession(std::move(socket));
      aSelf->AcceptWaiting();
    }
  }

  /// Accepts the connections that wait already. The event loop may take long to
  /// come round to the acceptor again, if many connections are busy.
  void AcceptWaiting()
  {
    for (int accepted = 0; accepted < kAcceptBatch; ++accepted) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket = this->mAcceptor.accept(error);
      if (error) {
        return;
      }
      this->OpenSession(std::move(socket));
    }
  }

  /// Serves a new connection, or closes it if there are too many.
  void OpenSession(asio::ip::tcp::socket aSocket)
  {
    if (this->mConnections >= this->mLimits.mConnections) {
      this->CountRefusal(HttpRefusal::kConnections);
      return;
    }
    beast::error_code ignored;
    aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    boost::intrusive_ptr<HttpSession> session(
      new HttpSession(std::move(aSocket),
                      this->mBudget,
                      this->mLimits.mHeaderBytes + kMaxUnparsedBytes));
    if (!session->Open()) {
      return;
    }
    this->mSessions.push_back(*session);
    ++this->mConnections;
    asio::co_spawn(this->mAcceptor.get_executor(),
                   this->ServeConnection(this->shared_from_this(), session),
                   asio::detached);
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

  asio::awaitable<void> ServeConnection(
    std::shared_ptr<Impl> aSelf,
    boost::intrusive_ptr<HttpSession> aSession)
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
  /// counts as idle and may be closed by a drain. A request that has arrived
  /// ahead of the last response waits for its turn.
  asio::awaitable<bool> AwaitFirstByte(HttpSession& aSession)
  {
    if (aSession.mHasServed && aSession.HasData()) {
      aSession.SetPhase(HttpAccount::Phase::kReceiving);
      aSession.Charge(0);
      co_await this->mTurns->Await(aSession);
    }
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
  asio::awaitable<bool> ServeRequest(HttpSession& aSession)
  {
    const bool hasData = co_await this->AwaitFirstByte(aSession);
    if (!hasData) {
      co_return false;
    }
    if (aSession.mPhase == HttpAccount::Phase::kEvicted) {
      co_return this->Refuse(aSession, aSession.mCause);
    }
    aSession.SetPhase(HttpAccount::Phase::kReceiving);
    aSession.mStream.expires_after(this->mLimits.mReceiveTimeout);
    HttpRequestReader reader(this->mLimits);
    const auto refusal = co_await this->ReadRequest(aSession, reader);
    if (refusal) {
      co_return this->Refuse(aSession, *refusal);
    }
    if (!reader.IsDone()) {
      co_return false;
    }
    if (!aSession.Admit(reader.HandlingBytes())) {
      co_return this->Refuse(aSession, HttpRefusal::kMemory);
    }
    co_return co_await this->HandleRequest(aSession, reader.Message());
  }

  /// Reads a request to its end, or until its connection fails.
  /// @return why the request is refused, or nothing
  asio::awaitable<std::optional<HttpRefusal>> ReadRequest(
    HttpSession& aSession,
    HttpRequestReader& aReader)
  {
    while (true) {
      const auto refusal = aReader.Parse(aSession.mBuffer);
      if (refusal) {
        co_return this->CountRefusal(refusal);
      }
      if (aReader.IsDone()) {
        co_return std::nullopt;
      }
      // If this request itself is evicted, more of it may never arrive.
      beast::error_code error;
      if (aSession.Charge(aReader.Bytes())) {
        error = co_await this->ReadMore(aSession);
      }
      if (aSession.mPhase == HttpAccount::Phase::kEvicted) {
        co_return aSession.mCause;
      }
      if (error) {
        co_return this->CountRefusal(RefusalOf(error));
      }
    }
  }

  /// Reads what has arrived of a request, as far as the buffer has room.
  asio::awaitable<beast::error_code> ReadMore(HttpSession& aSession)
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

  std::optional<HttpRefusal> CountRefusal(std::optional<HttpRefusal> aRefusal)
  {
    if (aRefusal) {
      this->mBudget.CountRefusal(*aRefusal, MonotonicNow());
    }
    return aRefusal;
  }

  /// Sends an error response for a request that isn't handled, if the
  /// connection takes it at once. A client that reads nothing isn't waited for.
  /// @return false, as the connection must be closed
  bool Refuse(HttpSession& aSession, HttpRefusal aRefusal)
  {
    HttpResponse refusal = RefusalResponse(aRefusal);
    BeastResponse message = ToBeast(refusal, false);
    http::response_serializer<http::string_body> serializer(message);
    asio::ip::tcp::socket& socket = aSession.mStream.socket();
    beast::error_code error;
    socket.non_blocking(true, error);
    http::write_some(socket, serializer, error);
    if (!serializer.is_done()) {
      aSession.Abort();
    }
    return false;
  }

  /// Calls the handler and sends its response.
  /// @return true if the connection stays open for another request
  asio::awaitable<bool> HandleRequest(HttpSession& aSession,
                                      BeastRequest& aMessage)
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
    BeastResponse message = ToBeast(response, keepAlive);
    if (isHead) {
      message.body().clear();
    }
    aSession.mStream.expires_after(this->mLimits.mReceiveTimeout);
    const bool isSent = co_await this->SendResponse(aSession, message);
    aSession.mHasServed = true;
    --this->mInFlight;
    const bool staysOpen = keepAlive && isSent;
    co_return staysOpen;
  }

  /// Sends a response part by part, so that the budget knows whether the client
  /// reads it.
  /// @return false if it has failed or the connection has to be closed
  asio::awaitable<bool> SendResponse(HttpSession& aSession,
                                     BeastResponse& aMessage)
  {
    http::response_serializer<http::string_body> serializer(aMessage);
    while (!serializer.is_done()) {
      aSession.SetPhase(HttpAccount::Phase::kSending);
      auto [error, bytes] = co_await http::async_write_some(
        aSession.mStream, serializer, kAwaitTuple);
      // It may have been evicted while there was nothing to interrupt.
      const bool isEvicted = aSession.mPhase == HttpAccount::Phase::kEvicted;
      if (error || (isEvicted && !serializer.is_done())) {
        aSession.Abort();
        co_return false;
      }
    }
    co_return aSession.mPhase != HttpAccount::Phase::kEvicted;
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
