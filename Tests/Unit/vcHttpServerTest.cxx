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
  }

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
    int turns = 0;
    std::function<void()> takeTurn = [&] {
      ++turns;
      asio::post(this->mContext, takeTurn);
    };
    asio::post(this->mContext, takeTurn);
    while (!aIsDone() && turns < kTooMany) {
      this->mContext.run_one();
    }
    return turns;
  }

  asio::io_context mContext;
  asio::io_context mClients;
  HttpServer mServer;
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

} // namespace verbenacroft
