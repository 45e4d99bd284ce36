/// Clients that ignore limits: each sends a request that never ends, or nearly
/// ends, or requests without end, and keeps its connection open. Prints "sent"
/// once each of them has sent all its bytes or was cut off, or after some time,
/// and ends when its input is closed. With --return, clients that are cut off
/// connect again and go on.

#include <boost/asio.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Longest time for which the clients send, and for which they stay afterwards.
constexpr std::chrono::seconds kMaxSending{ 40 };
constexpr std::chrono::seconds kMaxStay{ 60 };
/// Time for which clients that return are at it before "sent" is printed.
constexpr std::chrono::seconds kPressing{ 5 };
/// Pause before a client connects again.
constexpr std::chrono::milliseconds kReturnPause{ 5 };
/// Bytes of one write.
constexpr std::size_t kWriteBytes = 65'536;

/// What a client does once it has sent all.
enum class Afterwards
{
  /// It keeps the connection open and reads nothing.
  kStay,
  /// It reads the response and sends the same again.
  kRepeat,
};

/// What a client sends: a beginning, and a block that it repeats.
struct Request
{
  std::string mBegin;
  std::string mBlock;
  Afterwards mAfterwards = Afterwards::kStay;
};

/// The clients of one run.
struct Crowd
{
  tcp::endpoint mServer;
  Request mRequest;
  /// Bytes of the repeated part that each client sends.
  std::size_t mBytes = 0;
  bool mReturns = false;
  /// Clients that have sent all or were cut off.
  std::size_t mDone = 0;
};

const std::string kChunkedHead =
  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Hexadecimal(std::size_t aNumber)
{
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (std::size_t rest = aNumber; rest > 0; rest /= 16) {
    text.insert(text.begin(), kDigits[rest % 16]);
  }
  return text;
}

/// `aText` as often as a write takes it.
std::string Repeat(const std::string& aText)
{
  std::string block;
  while (!aText.empty() && block.size() < kWriteBytes) {
    block += aText;
  }
  return block;
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

/// A complete request whose body is the document, filled up with spaces.
Request WholeRequest(const std::string& aPath,
                     std::string aDocument,
                     std::size_t aBytes)
{
  aDocument.resize(std::max(aDocument.size(), aBytes), ' ');
  return { "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
             std::to_string(aDocument.size()) + "\r\n\r\n" + aDocument,
           "",
           Afterwards::kRepeat };
}

/// The request of this kind, or one without any text if there is no such kind.
/// @param aBytes bytes that each client sends
Request MakeRequest(const std::string& aKind,
                    const std::string& aPath,
                    const std::string& aDocument,
                    std::size_t aBytes)
{
  const std::string block(kWriteBytes, 'b');
  if (aKind == "trailers") {
    return { kChunkedHead + "1\r\nx\r\n0\r\n",
             Repeat("x-t: " + std::string(900, 't') + "\r\n") };
  }
  if (aKind == "chunk-extension") {
    return { kChunkedHead + "1;", block };
  }
  if (aKind == "almost-whole") {
    return { kChunkedHead + Hexadecimal(aBytes) + "\r\n", block };
  }
  if (aKind == "small-chunks") {
    return { kChunkedHead, Repeat("1\r\nx\r\n") };
  }
  if (aKind == "large-chunks") {
    return { kChunkedHead,
             Hexadecimal(block.size()) + "\r\n" + block + "\r\n" };
  }
  if (aKind == "announced") {
    return { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000000\r\n\r\n",
             block };
  }
  if (aKind == "header") {
    return { "POST / HTTP/1.1\r\nHost: h\r\n",
             Repeat("x-h: " + std::string(900, 'h') + "\r\n") };
  }
  if (aKind == "connections") {
    return { "GET", "" };
  }
  if (aKind == "pipelined") {
    const std::string get = "GET " + aPath + " HTTP/1.1\r\nHost: h\r\n\r\n";
    return { get, Repeat(get) };
  }
  if (aKind == "whole") {
    return WholeRequest(aPath, aDocument, aBytes);
  }
  return {};
}

/// Sends what the client has to send. Repeated blocks are cut where its bytes
/// end.
/// @return false if it was cut off
asio::awaitable<bool> SendAll(tcp::socket& aSocket, const Crowd& aCrowd)
{
  const Request& request = aCrowd.mRequest;
  auto [error, ignored] = co_await asio::async_write(
    aSocket, asio::buffer(request.mBegin), kAwaitTuple);
  std::size_t left = request.mBlock.empty() ? 0 : aCrowd.mBytes;
  while (!error && left > 0) {
    const auto block =
      asio::buffer(request.mBlock, std::min(request.mBlock.size(), left));
    auto [blockError, sent] =
      co_await asio::async_write(aSocket, block, kAwaitTuple);
    error = blockError;
    left -= sent;
  }
  co_return !error;
}

/// Serves one connection until it is cut off.
/// @param aIsFirst the client hasn't sent anything before
asio::awaitable<void> UseConnection(tcp::socket& aSocket,
                                    Crowd& aCrowd,
                                    bool aIsFirst)
{
  auto [connectError] =
    co_await aSocket.async_connect(aCrowd.mServer, kAwaitTuple);
  bool isOpen = !connectError && co_await SendAll(aSocket, aCrowd);
  aCrowd.mDone += aIsFirst ? 1 : 0;
  const bool repeats = aCrowd.mRequest.mAfterwards == Afterwards::kRepeat;
  std::array<char, 4'096> response{};
  while (isOpen && (repeats || aCrowd.mReturns)) {
    auto [error, bytes] =
      co_await aSocket.async_read_some(asio::buffer(response), kAwaitTuple);
    isOpen = !error && (!repeats || co_await SendAll(aSocket, aCrowd));
  }
}

/// One client, for as long as the program runs.
asio::awaitable<void> RunClient(Crowd& aCrowd)
{
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  bool isFirst = true;
  do {
    tcp::socket socket(executor);
    co_await UseConnection(socket, aCrowd, isFirst);
    isFirst = false;
    timer.expires_after(aCrowd.mReturns ? kReturnPause : kMaxStay);
    co_await timer.async_wait(kAwaitTuple);
  } while (aCrowd.mReturns);
}

/// Ends the clients when the input is closed, or after their time.
void Stay(asio::io_context& aContext)
{
  asio::posix::stream_descriptor input(aContext, STDIN_FILENO);
  asio::steady_timer timer(aContext, kMaxStay);
  char byte = 0;
  bool isOver = false;
  input.async_read_some(asio::buffer(&byte, 1),
                        [&](const auto&, std::size_t) { isOver = true; });
  timer.async_wait([&](const auto&) { isOver = true; });
  while (!isOver) {
    aContext.run_one();
  }
  input.release();
}

/// Lets the clients send until all have sent once, or for their time.
void Send(asio::io_context& aContext, const Crowd& aCrowd, std::size_t aClients)
{
  const auto now = std::chrono::steady_clock::now();
  const auto until = now + (aCrowd.mReturns ? kPressing : kMaxSending);
  while ((aCrowd.mReturns || aCrowd.mDone < aClients) &&
         std::chrono::steady_clock::now() < until) {
    aContext.run_one_for(std::chrono::milliseconds(100));
  }
}

cxxopts::ParseResult ParseOptions(int aCount, char** aArguments)
{
  cxxopts::Options options("vcUnboundedClients", "Clients that ignore limits.");
  auto add = options.add_options();
  add("port", "port of the server", cxxopts::value<asio::ip::port_type>());
  add("kind", "what they send", cxxopts::value<std::string>());
  add("clients", "number of clients", cxxopts::value<std::size_t>());
  add("bytes", "bytes that each sends", cxxopts::value<std::size_t>());
  add("path",
      "path of a whole request",
      cxxopts::value<std::string>()->default_value("/"));
  add("document",
      "file with the beginning of a whole request's body",
      cxxopts::value<std::string>()->default_value(""));
  add("return", "connect again once cut off");
  options.parse_positional({ "port", "kind", "clients", "bytes" });
  return options.parse(aCount, aArguments);
}

} // namespace

int main(int aCount, char** aArguments)
{
  const auto options = ParseOptions(aCount, aArguments);
  const auto kind = options["kind"].as<std::string>();
  const auto clients = options["clients"].as<std::size_t>();
  Crowd crowd;
  crowd.mServer = { asio::ip::address_v4::loopback(),
                    options["port"].as<asio::ip::port_type>() };
  crowd.mBytes = options["bytes"].as<std::size_t>();
  crowd.mReturns = options.count("return") > 0;
  crowd.mRequest = MakeRequest(kind,
                               options["path"].as<std::string>(),
                               ReadFile(options["document"].as<std::string>()),
                               crowd.mBytes);
  if (crowd.mRequest.mBegin.empty()) {
    std::cerr << "unknown kind " << kind << "\n";
    return 2;
  }
  asio::io_context context;
  for (std::size_t i = 0; i < clients; ++i) {
    asio::co_spawn(context, RunClient(crowd), asio::detached);
  }
  Send(context, crowd, clients);
  std::cout << "sent" << std::endl;
  Stay(context);
  return 0;
}
