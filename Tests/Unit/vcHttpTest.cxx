/// Answers that are late, doubled, crossed, cut or wrong in length never
/// reach a caller as whole.

#include "vcHttp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

namespace verbenacroft {

namespace {

/// Answers each request on a connection with the next text; "ID" in it
/// stands for the identifier of the request.
class RawServer
{
public:
  RawServer(asio::io_context& aContext, std::vector<std::string> aAnswers)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mAnswers(std::move(aAnswers))
  {
    asio::co_spawn(aContext, this->Accept(), asio::detached);
  }

  Endpoint Address() const { return this->mAcceptor.local_endpoint(); }

  int mRequests = 0;

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      auto socket = co_await this->mAcceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(this->mAcceptor.get_executor(),
                     this->Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket)
  {
    std::string buffer;
    while (true) {
      const auto bytes = co_await asio::async_read_until(
        aSocket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
      const std::string head = buffer.substr(0, bytes);
      buffer.erase(0, bytes);
      const auto index = static_cast<std::size_t>(this->mRequests++);
      std::string answer =
        this->mAnswers[std::min(index, this->mAnswers.size() - 1)];
      const std::string name = "Verbenacroft-Request: ";
      const auto at = head.find(name);
      const std::string id =
        at == std::string::npos
          ? ""
          : head.substr(at + name.size(),
                        head.find("\r\n", at) - at - name.size());
      for (auto mark = answer.find("ID"); mark != std::string::npos;
           mark = answer.find("ID")) {
        answer.replace(mark, 2, id);
      }
      const bool isClosing = answer.ends_with("CLOSE");
      if (isClosing) {
        answer.resize(answer.size() - 5);
      }
      co_await asio::async_write(
        aSocket, asio::buffer(answer), asio::use_awaitable);
      if (isClosing) {
        co_return;
      }
    }
  }

  asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::string> mAnswers;
};

/// Answers one request with 20 pieces and a pause after each.
class SlowServer
{
public:
  SlowServer(asio::io_context& aContext, Duration aPause)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mPause(aPause)
  {
    asio::co_spawn(aContext, this->Serve(), asio::detached);
  }

  Endpoint Address() const { return this->mAcceptor.local_endpoint(); }

private:
  asio::awaitable<void> Serve()
  {
    constexpr int kPieces = 20;
    const std::string piece(1'000, 'x');
    auto socket = co_await this->mAcceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(kPieces * piece.size()) +
                             "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    for (int i = 0; i < kPieces; ++i) {
      co_await asio::async_write(
        socket, asio::buffer(piece), asio::use_awaitable);
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               this->mPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::ip::tcp::acceptor mAcceptor;
  Duration mPause;
};

/// Answers requests on each connection after a pause, until it falls silent:
/// the connections that are open then get no more answers, new ones do.
class SilencingServer
{
public:
  explicit SilencingServer(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
  {
    asio::co_spawn(aContext, this->Accept(), asio::detached);
  }

  Endpoint Address() const { return this->mAcceptor.local_endpoint(); }

  void SilenceOpenConnections() { this->mSilentUpTo = this->mConnections; }

  int mConnections = 0;
  int mOpen = 0;

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      auto socket = co_await this->mAcceptor.async_accept(asio::use_awaitable);
      ++this->mConnections;
      ++this->mOpen;
      asio::co_spawn(this->mAcceptor.get_executor(),
                     this->Serve(std::move(socket), this->mConnections),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket, int aNumber)
  {
    // Long enough for further requests to need connections of their own.
    constexpr Duration kPause{ 20 };
    std::string buffer;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
      const auto [error, bytes] =
        co_await asio::async_read_until(aSocket,
                                        asio::dynamic_buffer(buffer),
                                        "\r\n\r\n",
                                        asio::as_tuple(asio::use_awaitable));
      if (error) {
        --this->mOpen;
        co_return;
      }
      buffer.erase(0, bytes);
      timer.expires_after(kPause);
      co_await timer.async_wait(asio::use_awaitable);
      if (aNumber <= this->mSilentUpTo) {
        continue;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(
        aSocket, asio::buffer(answer), asio::use_awaitable);
    }
  }

  asio::ip::tcp::acceptor mAcceptor;
  int mSilentUpTo = 0;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nVerbenacroft-Request: ID\r\n";
const std::string kGood = kHead + "Content-Length: 4\r\n\r\ngood";

/// Options of a call with a short timeout.
HttpCallOptions ShortCall()
{
  HttpCallOptions options;
  options.mTimeout = Duration{ 300 };
  return options;
}

HttpResult Call(asio::io_context& aContext,
                HttpClient& aClient,
                const Endpoint& aEndpoint,
                const std::string& aId,
                bool aNeedsEcho = true,
                HttpCallOptions aOptions = ShortCall())
{
  HttpResult result;
  bool isDone = false;
  const auto run = [&]() -> asio::awaitable<void> {
    HttpRequest request;
    HttpCallOptions options = aOptions;
    options.mRequestId = aId;
    options.mRequiresRequestIdEcho = aNeedsEcho;
    result =
      co_await aClient.Call(aEndpoint, std::move(request), std::move(options));
    isDone = true;
  };
  asio::co_spawn(aContext, run(), asio::detached);
  while (!isDone) {
    aContext.run_one();
  }
  return result;
}

} // namespace

TEST_CASE("a bad answer is an error, and the next request is clean", "[http]")
{
  struct Row
  {
    std::string mAnswer;
    HttpErrc mError;
  };
  const auto row = GENERATE(values<Row>({
    // Truncated, then closed.
    { kHead + "Content-Length: 10\r\n\r\nhalfCLOSE", HttpErrc::kClosed },
    // Truncated, and nothing more comes.
    { kHead + "Content-Length: 10\r\n\r\nhalf", HttpErrc::kTimeout },
    // No length: its end can't be told from a cut.
    { kHead + "\r\nno lengthCLOSE", HttpErrc::kMalformed },
    // The answer to another request.
    { "HTTP/1.1 200 OK\r\nVerbenacroft-Request: other\r\n"
      "Content-Length: 4\r\n\r\nevil",
      HttpErrc::kRequestIdMismatch },
    // No identifier where one is required.
    { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil",
      HttpErrc::kRequestIdMismatch },
    // Closed without an answer.
    { "CLOSE", HttpErrc::kClosed },
    // Not HTTP.
    { "220 mail ready\r\n\r\nCLOSE", HttpErrc::kMalformed },
    // Wrong lengths.
    { kHead + "Content-Length: -4\r\n\r\nevilCLOSE", HttpErrc::kMalformed },
    { kHead + "Content-Length: 4\r\nContent-Length: 9\r\n\r\nevilCLOSE",
      HttpErrc::kMalformed },
    { kHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nevilCLOSE",
      HttpErrc::kClosed },
  }));
  asio::io_context context;
  RawServer server(context, { row.mAnswer, kGood });
  HttpClient client(context);
  const auto bad = Call(context, client, server.Address(), "first");
  INFO(row.mAnswer);
  CHECK(bad.mError == MakeError(row.mError));
  CHECK(bad.mWasSent);
  const auto good = Call(context, client, server.Address(), "second");
  CHECK_FALSE(good.mError);
  CHECK(good.mResponse.mBody == "good");
}

TEST_CASE("a doubled answer never becomes the next request's", "[http]")
{
  asio::io_context context;
  RawServer server(
    context, { kGood + kHead + "Content-Length: 4\r\n\r\nevil", kGood, kGood });
  HttpClient client(context);
  for (const auto* id : { "first", "second", "third" }) {
    const auto result = Call(context, client, server.Address(), id, false);
    CHECK_FALSE(result.mError);
    CHECK(result.mResponse.mBody == "good");
  }
}

TEST_CASE("a late answer is dropped with its connection", "[http]")
{
  asio::io_context context;
  // The first request gets no answer before its timeout; the server's reply
  // to it would come on the old connection.
  RawServer server(context, { "", kGood });
  HttpClient client(context);
  const auto late = Call(context, client, server.Address(), "first");
  CHECK(late.mError == MakeError(HttpErrc::kTimeout));
  const auto next = Call(context, client, server.Address(), "second");
  CHECK(next.mResponse.mBody == "good");
}

// Guards against a timeout for each connection of a pool that went silent.
TEST_CASE("a silent connection costs one timeout, not one for each idle one",
          "[http]")
{
  constexpr int kCallsAtOnce = 8;
  asio::io_context context;
  SilencingServer server(context);
  HttpClient client(context);
  int answered = 0;
  const auto call = [&]() -> asio::awaitable<void> {
    HttpRequest request;
    HttpCallOptions options = ShortCall();
    const HttpResult result = co_await client.Call(
      server.Address(), std::move(request), std::move(options));
    answered += result.mError ? 0 : 1;
  };
  for (int i = 0; i < kCallsAtOnce; ++i) {
    asio::co_spawn(context, call(), asio::detached);
  }
  context.run_for(std::chrono::milliseconds(200));
  REQUIRE(answered == kCallsAtOnce);
  REQUIRE(server.mConnections == kCallsAtOnce);
  server.SilenceOpenConnections();
  CHECK(Call(context, client, server.Address(), "", false).mError ==
        MakeError(HttpErrc::kTimeout));
  for (int i = 0; i < kCallsAtOnce; ++i) {
    CHECK_FALSE(Call(context, client, server.Address(), "", false).mError);
  }
  CHECK(server.mConnections == kCallsAtOnce + 1);
}

// Guards against a pool that stays as large as in the largest burst.
TEST_CASE("connections that a burst needed are closed", "[http]")
{
  constexpr int kCallsAtOnce = 8;
  constexpr Duration kMaxIdleTime{ 200 };
  asio::io_context context;
  SilencingServer server(context);
  HttpClient client(context, kMaxIdleTime);
  const auto call = [&]() -> asio::awaitable<void> {
    HttpRequest request;
    HttpCallOptions options = ShortCall();
    co_await client.Call(
      server.Address(), std::move(request), std::move(options));
  };
  for (int i = 0; i < kCallsAtOnce; ++i) {
    asio::co_spawn(context, call(), asio::detached);
  }
  context.run_for(std::chrono::milliseconds(100));
  REQUIRE(server.mConnections == kCallsAtOnce);
  // One call at a time needs one connection.
  for (int i = 0; i < 4; ++i) {
    context.run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(Call(context, client, server.Address(), "", false).mError);
  }
  context.run_for(std::chrono::milliseconds(50));
  CHECK(server.mOpen == 1);
  CHECK(server.mConnections == kCallsAtOnce);
}

TEST_CASE("not sent is said only when nothing was sent", "[http]")
{
  asio::io_context context;
  HttpClient client(context);
  Endpoint closed;
  {
    asio::ip::tcp::acceptor acceptor(context,
                                     { asio::ip::address_v4::loopback(), 0 });
    closed = acceptor.local_endpoint();
  }
  const auto refused = Call(context, client, closed, "first");
  CHECK(refused.mError == MakeError(HttpErrc::kNotConnected));
  CHECK_FALSE(refused.mWasSent);
}

// Guards against a large reply that is read in small pieces: on a busy event
// loop each piece waits for a turn, so that the reply arrives seconds late or
// never.
TEST_CASE("a large reply takes few turns of a busy event loop", "[http]")
{
  // A count that callers read may be 2 s old. This allows for turns of 40 ms.
  constexpr int kMaxTurns = 2'000 / 40;
  constexpr Duration kTurn{ 4 };
  constexpr std::size_t kReplyBytes = 512 * 1'024;
  const std::string body(kReplyBytes, 'x');
  const std::string reply = GENERATE_COPY(
    "Content-Length: " + std::to_string(kReplyBytes) + "\r\n\r\n" + body,
    "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + body + "\r\n0\r\n\r\n");
  asio::io_context context;
  RawServer server(context, { kHead + reply });
  HttpClient client(context);
  const HttpResult first =
    Call(context, client, server.Address(), "warm-up", true, {});
  REQUIRE(first.mResponse.mBody.size() == kReplyBytes);
  int turns = 0;
  std::function<void()> takeTurn = [&] {
    ++turns;
    // Data that is on its way has time to arrive, so that only turns are
    // counted that a read waits for.
    std::this_thread::sleep_for(kTurn);
    asio::post(context, takeTurn);
  };
  asio::post(context, takeTurn);
  const HttpResult result =
    Call(context, client, server.Address(), "measured", true, {});
  CHECK(result.mResponse.mBody.size() == kReplyBytes);
  CHECK(turns <= kMaxTurns);
}

// Guards against a large reply that is dropped while it arrives and requested
// again from the start, and against a reply that takes longer than its caller
// allows.
TEST_CASE("a reply that keeps arriving is cut only without a stall timeout",
          "[http]")
{
  struct Row
  {
    Duration mPause;
    Duration mStallTimeout;
    bool mIsReceived;
  };
  // The timeout of a call is 300 ms; the reply has 20 pieces.
  const auto row = GENERATE(Row{ Duration(30), Duration(200), true },
                            Row{ Duration(30), Duration(0), false },
                            Row{ Duration(260), Duration(200), false });
  asio::io_context context;
  SlowServer server(context, row.mPause);
  HttpClient client(context);
  HttpCallOptions options = ShortCall();
  options.mStallTimeout = row.mStallTimeout;
  const HttpResult result =
    Call(context, client, server.Address(), "slow", false, options);
  CHECK(result.mReceivedBytes > 0);
  CHECK(!result.mError == row.mIsReceived);
  if (!row.mIsReceived) {
    CHECK(result.mError == MakeError(HttpErrc::kTimeout));
  }
}

TEST_CASE("the server's limits give clear refusals", "[http]")
{
  asio::io_context context;
  HttpLimits limits;
  limits.mBodyBytes = 100;
  limits.mHeaderBytes = 2'000;
  HttpServer server(context,
                    { asio::ip::address_v4::loopback(), 0 },
                    limits,
                    [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      co_return JsonResponse("{}");
                    });
  struct Row
  {
    std::size_t mBody;
    std::size_t mHeader;
    int mStatus;
  };
  const auto row = GENERATE(
    values<Row>({ { 10, 10, 200 }, { 200, 10, 413 }, { 10, 4'000, 431 } }));
  HttpClient client(context);
  int status = 0;
  bool isDone = false;
  const auto run = [&]() -> asio::awaitable<void> {
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody.assign(row.mBody, 'x');
    request.mHeaders.push_back({ "X-Long", std::string(row.mHeader, 'h') });
    HttpCallOptions options;
    const auto result =
      co_await client.Call(server.LocalEndpoint(), std::move(request), options);
    status = result.mResponse.mStatus;
    isDone = true;
  };
  asio::co_spawn(context, run(), asio::detached);
  while (!isDone) {
    context.run_one();
  }
  CHECK(status == row.mStatus);
}

} // namespace verbenacroft
