#include "vcHttp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <chrono>
#include <unordered_map>

namespace verbenacroft {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Idle connections kept for each address; further ones are closed.
constexpr std::size_t kMaxIdlePerEndpoint = 64;
/// Checks for connections that have been idle for too long, within the longest
/// idle time.
constexpr int kChecksPerIdleTime = 6;
/// Size of a read that begins a response, in bytes. Most responses fit into it.
constexpr std::size_t kFirstReadBytes = 4 * 1'024;
/// Size of the further reads of a large response, in bytes. Each read waits for
/// a turn of the event loop, so small ones would be slow on a busy loop.
constexpr std::size_t kMaxReadBytes = 64 * 1'024;

/// Longest transfer of a response that has a stall timeout, in addition to the
/// timeout of its call.
constexpr Duration kMaxTransferTime{ 10'000 };

using SteadyTime = std::chrono::steady_clock::time_point;

/// One connection to a server. `mBuffer` holds data that was received but not
/// parsed yet.
class Connection
  : public boost::intrusive_ref_counter<Connection,
                                        boost::thread_unsafe_counter>
{
public:
  explicit Connection(asio::io_context& aContext)
    : mStream(aContext)
  {
  }
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mIsReused = false;
  /// When it was last returned to the pool.
  SteadyTime mIdleSince;
};

using ConnectionPtr = boost::intrusive_ptr<Connection>;

http::request<http::string_body> ToBeast(HttpRequest& aRequest,
                                         const std::string& aHost,
                                         const std::string& aRequestId)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.set(http::field::host, aHost);
  for (const auto& header : aRequest.mHeaders) {
    message.insert(header.mName, header.mValue);
  }
  if (!aRequestId.empty()) {
    message.set(std::string(kRequestIdHeader), aRequestId);
  }
  message.body() = std::move(aRequest.mBody);
  message.prepare_payload();
  return message;
}

HttpResponse FromBeast(http::response<http::string_body>& aMessage)
{
  HttpResponse response;
  response.mStatus = static_cast<int>(aMessage.result_int());
  response.mContentType.clear();
  for (const auto& field : aMessage) {
    if (field.name() == http::field::content_type) {
      response.mContentType = std::string(field.value());
    } else {
      response.mHeaders.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
  }
  response.mBody = std::move(aMessage.body());
  return response;
}

/// Error code for a failed write or read. Errors that are not known here are
/// reported as `kMalformed`.
HttpErrc ClassifyError(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return HttpErrc::kTimeout;
  }
  if (aError == http::error::body_limit) {
    return HttpErrc::kTooLarge;
  }
  const bool isClosed = aError == http::error::end_of_stream ||
                        aError == http::error::partial_message ||
                        aError == asio::error::eof ||
                        aError == asio::error::connection_reset ||
                        aError == asio::error::broken_pipe;
  return isClosed ? HttpErrc::kClosed : HttpErrc::kMalformed;
}

/// True if the connection is open and has no unread data, so that the next
/// response on it can only belong to the next request.
bool HasNoPendingData(Connection& aConnection)
{
  if (aConnection.mBuffer.size() > 0) {
    return false;
  }
  beast::error_code error;
  auto& socket = aConnection.mStream.socket();
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(
    asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

/// Releases the memory that a large response needed.
void ShrinkBuffer(Connection& aConnection)
{
  if (aConnection.mBuffer.capacity() > kFirstReadBytes) {
    aConnection.mBuffer.shrink_to_fit();
  }
}

} // namespace

/// Pool of idle connections, by the text form of the address.
class HttpClient::Impl
{
public:
  Impl(asio::io_context& aContext, Duration aMaxIdleTime)
    : mContext(aContext)
    , mMaxIdleTime(aMaxIdleTime)
  {
  }

  /// Takes the most recently used idle connection that is still usable; null if
  /// there is none. Unusable ones are closed.
  ConnectionPtr TakeIdle(const std::string& aKey)
  {
    auto& idle = this->mIdle[aKey];
    while (!idle.empty()) {
      ConnectionPtr connection = std::move(idle.back());
      idle.pop_back();
      if (HasNoPendingData(*connection)) {
        connection->mIsReused = true;
        return connection;
      }
    }
    return nullptr;
  }

  /// Returns a connection to the pool, or closes it if the pool is full.
  void ReturnIdle(const std::string& aKey, ConnectionPtr aConnection)
  {
    auto& idle = this->mIdle[aKey];
    if (idle.size() < kMaxIdlePerEndpoint) {
      aConnection->mStream.expires_never();
      ShrinkBuffer(*aConnection);
      aConnection->mIdleSince = std::chrono::steady_clock::now();
      idle.push_back(std::move(aConnection));
    }
    this->CloseLongIdle();
  }

  /// Closes the connections that have been idle for too long.
  void CloseLongIdle()
  {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - this->mCheckedAt < this->mMaxIdleTime / kChecksPerIdleTime) {
      return;
    }
    this->mCheckedAt = now;
    for (auto at = this->mIdle.begin(); at != this->mIdle.end();) {
      std::erase_if(at->second, [&](const ConnectionPtr& aConnection) {
        return now - aConnection->mIdleSince >= this->mMaxIdleTime;
      });
      at = at->second.empty() ? this->mIdle.erase(at) : std::next(at);
    }
  }

  /// Handles a connection whose call has failed. If it was idle before the call
  /// and brought no byte within the timeout, closes the connections to the
  /// address that have been idle since before the call: a connection can go
  /// silent without a reset, and mostly all do that were open at that moment.
  void OnFailed(const std::string& aKey,
                const Connection& aConnection,
                const HttpResult& aResult,
                SteadyTime aSentAt)
  {
    const bool isSilent = aResult.mError == MakeError(HttpErrc::kTimeout) &&
                          aResult.mReceivedBytes == 0;
    const auto idle = this->mIdle.find(aKey);
    if (!isSilent || !aConnection.mIsReused || idle == this->mIdle.end()) {
      return;
    }
    std::erase_if(idle->second, [&](const ConnectionPtr& aIdle) {
      return aIdle->mIdleSince < aSentAt;
    });
  }

  /// Opens a connection; null if that fails or takes longer than `aTimeout`.
  asio::awaitable<ConnectionPtr> Connect(Endpoint aEndpoint, Duration aTimeout)
  {
    ConnectionPtr connection(new Connection(this->mContext));
    connection->mStream.expires_after(aTimeout);
    auto [error] =
      co_await connection->mStream.async_connect(aEndpoint, kAwaitTuple);
    if (error) {
      co_return nullptr;
    }
    beast::error_code ignored;
    connection->mStream.socket().set_option(asio::ip::tcp::no_delay(true),
                                            ignored);
    co_return connection;
  }

  asio::io_context& mContext;
  Duration mMaxIdleTime;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> mIdle;
  /// Last check for connections that have been idle for too long.
  SteadyTime mCheckedAt;
};

HttpClient::HttpClient(asio::io_context& aContext, Duration aMaxIdleTime)
  : mImpl(std::make_shared<Impl>(aContext, aMaxIdleTime))
{
}

HttpClient::~HttpClient() = default;

namespace {

using ResponseParser = http::response_parser<http::string_body>;

/// Error of a complete response that must not be used, or no error.
std::error_code CheckResponse(const ResponseParser& aParser,
                              const HttpCallOptions& aOptions)
{
  // Without a length, a complete response cannot be distinguished from one that
  // was truncated when the connection closed.
  if (aParser.need_eof()) {
    return MakeError(HttpErrc::kMalformed);
  }
  const auto& message = aParser.get();
  const auto echo = message[std::string(kRequestIdHeader)];
  const bool isMissing = echo.empty() && aOptions.mRequiresRequestIdEcho;
  const bool isMismatched = !echo.empty() && !aOptions.mRequestId.empty() &&
                            echo != aOptions.mRequestId;
  if (isMissing || isMismatched) {
    return MakeError(HttpErrc::kRequestIdMismatch);
  }
  return {};
}

/// Reads a response into `aParser`, within the timeouts of `aOptions`.
/// @param aDeadline end of `HttpCallOptions::mTimeout`
/// @param aReceived increased by the number of bytes, also after an error
asio::awaitable<beast::error_code> ReadResponse(Connection& aConnection,
                                                ResponseParser& aParser,
                                                const HttpCallOptions& aOptions,
                                                SteadyTime aDeadline,
                                                std::size_t& aReceived)
{
  auto& stream = aConnection.mStream;
  auto& buffer = aConnection.mBuffer;
  buffer.reserve(kFirstReadBytes);
  aParser.eager(true);
  const bool hasStallTimeout = aOptions.mStallTimeout > Duration(0);
  const SteadyTime deadline =
    hasStallTimeout ? aDeadline + kMaxTransferTime : aDeadline;
  while (true) {
    auto [error, bytes] =
      co_await http::async_read_some(stream, buffer, aParser, kAwaitTuple);
    aReceived += bytes;
    if (error || aParser.is_done()) {
      co_return error;
    }
    // The stream's timer doesn't end reads whose data is already there.
    if (std::chrono::steady_clock::now() >= deadline) {
      co_return beast::error::timeout;
    }
    if (hasStallTimeout) {
      stream.expires_after(aOptions.mStallTimeout);
    }
    // A chunked response doesn't say its length.
    const auto remaining =
      aParser.content_length_remaining().value_or(kMaxReadBytes);
    buffer.reserve(std::min<std::uint64_t>(remaining, kMaxReadBytes));
  }
}

} // namespace

asio::awaitable<HttpResult> HttpClient::Call(Endpoint aEndpoint,
                                             HttpRequest aRequest,
                                             HttpCallOptions aOptions)
{
  const std::shared_ptr<Impl> impl = this->mImpl;
  const std::string key = EndpointText(aEndpoint);
  HttpResult result;
  ConnectionPtr connection;
  if (!aOptions.mRequiresNewConnection) {
    connection = impl->TakeIdle(key);
  }
  if (!connection) {
    connection = co_await impl->Connect(
      aEndpoint, std::min(aOptions.mConnectTimeout, aOptions.mTimeout));
  }
  if (!connection) {
    result.mError = MakeError(HttpErrc::kNotConnected);
    co_return result;
  }
  const bool isHead = aRequest.mMethod == "HEAD";
  auto message = ToBeast(aRequest, key, aOptions.mRequestId);
  const SteadyTime sentAt = std::chrono::steady_clock::now();
  const SteadyTime deadline = sentAt + aOptions.mTimeout;
  connection->mStream.expires_at(deadline);
  result.mWasSent = true;
  auto [writeError, written] =
    co_await http::async_write(connection->mStream, message, kAwaitTuple);
  if (writeError) {
    result.mError = MakeError(ClassifyError(writeError));
    impl->OnFailed(key, *connection, result, sentAt);
    co_return result;
  }
  ResponseParser parser;
  parser.body_limit(aOptions.mMaxBodyBytes);
  parser.skip(isHead);
  const beast::error_code readError = co_await ReadResponse(
    *connection, parser, aOptions, deadline, result.mReceivedBytes);
  if (readError) {
    result.mError = MakeError(ClassifyError(readError));
    impl->OnFailed(key, *connection, result, sentAt);
    co_return result;
  }
  result.mError = CheckResponse(parser, aOptions);
  if (result.mError) {
    co_return result;
  }
  const bool keepAlive = parser.get().keep_alive();
  result.mResponse = FromBeast(parser.get());
  if (keepAlive && connection->mBuffer.size() == 0) {
    impl->ReturnIdle(key, std::move(connection));
  }
  co_return result;
}

} // namespace verbenacroft
