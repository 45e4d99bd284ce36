/// The server beside clients that don't behave: what it does in one turn of the
/// event loop, and which requests it refuses.

#include "vcHttp.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

using asio::ip::tcp;

/// A server and its clients' sockets, whose calls block.
struct ServerFixture
{
  explicit ServerFixture(HttpHandler aHandler)
    : mServer(this->mContext,
              { asio::ip::address_v4::loopback(), 0 },
              HttpLimits{},
              std::move(aHandler))
  {
    this->CountTurn();
  }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  tcp::socket Connect()
  {
    tcp::socket socket(this->mClients);
    socket.connect(this->mServer.LocalEndpoint());
    return socket;
  }

  /// Runs the server until `aIsDone`, or for too many turns.
  /// @return the number of turns of the event loop
  template<class Condition>
  int TurnsUntil(Condition aIsDone)
  {
    constexpr int kTooMany = 2'000;
    const int before = this->mTurns;
    while (!aIsDone() && this->mTurns - before < kTooMany) {
      this->mContext.run_one();
    }
    return this->mTurns - before;
  }

  /// Counts the turns of the event loop from now on.
  void CountTurn()
  {
    ++this->mTurns;
    asio::post(this->mContext, [this] { this->CountTurn(); });
  }

  asio::io_context mContext;
  asio::io_context mClients;
  HttpServer mServer;
  int mTurns = 0;
};

asio::awaitable<HttpResponse> AnswerAtOnce(const HttpRequest& /*aRequest*/)
{
  co_return JsonResponse("{}");
}

} // namespace

// Guards against a loop that accepts one connection a turn while its turns take
// long.
TEST_CASE("connections that wait are accepted together", "[http]")
{
  constexpr std::size_t kClients = 50;
  constexpr int kMaxTurns = 5;
  ServerFixture fixture(AnswerAtOnce);
  const std::size_t before = ProcessHttpBudget().Connections();
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(fixture.Connect());
  }
  const int turns = fixture.TurnsUntil(
    [&] { return ProcessHttpBudget().Connections() == before + kClients; });
  CHECK(turns <= kMaxTurns);
}

// Guards against a response that is dropped with its connection though all of
// it was sent.
TEST_CASE("a whole response outlives the eviction of its connection", "[http]")
{
  asio::io_context* context = nullptr;
  bool isEvicted = false;
  ServerFixture fixture(
    [&](const HttpRequest& /*aRequest*/) -> asio::awaitable<HttpResponse> {
      // Runs when the response was sent and before the server knows it.
      asio::post(*context, [&] {
        ProcessHttpBudget().OnDescriptorsExhausted(MonotonicNow());
        isEvicted = true;
      });
      co_return JsonResponse("{}");
    });
  context = &fixture.mContext;
  const auto evictions = [] {
    return ProcessHttpBudget().Refusals(HttpRefusal::kConnections);
  };
  const auto before = evictions();
  tcp::socket client = fixture.Connect();
  asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  fixture.TurnsUntil(
    [&] { return isEvicted && ProcessHttpBudget().Connections() == 0; });
  CHECK(evictions() == before + 1);
  std::string text;
  boost::system::error_code error;
  asio::read(client, asio::dynamic_buffer(text), error);
  CHECK(error == asio::error::eof);
  CHECK(text.ends_with("{}"));
}

// Guards against connections with requests without end that are served again
// before a new one is.
TEST_CASE("a new request waits for at most one of each other connection",
          "[http]")
{
  constexpr int kClients = 100;
  constexpr int kRequestsEach = 100;
  int crowd = 0;
  bool isAnswered = false;
  ServerFixture fixture(
    [&](const HttpRequest& aRequest) -> asio::awaitable<HttpResponse> {
      isAnswered = isAnswered || aRequest.mTarget == "/one";
      crowd += aRequest.mTarget == "/crowd" ? 1 : 0;
      co_return JsonResponse("{}");
    });
  const std::string request = "GET /crowd HTTP/1.1\r\nHost: h\r\n\r\n";
  std::string pipeline;
  for (int i = 0; i < kRequestsEach; ++i) {
    pipeline += request;
  }
  std::vector<tcp::socket> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(fixture.Connect());
    asio::write(clients.back(), asio::buffer(pipeline));
  }
  fixture.TurnsUntil([&] { return crowd >= 2 * kClients; });
  tcp::socket ordinary = fixture.Connect();
  asio::write(ordinary, asio::buffer(std::string("GET /one HTTP/1.1\r\n\r\n")));
  const int before = crowd;
  fixture.TurnsUntil([&] { return isAnswered; });
  CHECK(isAnswered);
  CHECK(crowd - before <= kClients);
}

} // namespace verbenacroft
