/// Clients that ignore limits: each sends a request that never ends, or nearly
/// ends, and keeps its connection open. Prints "sent" once each of them has
/// sent all its bytes or was cut off, and ends when its input is closed.

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Longest time for which the clients send, and for which they stay afterwards.
constexpr std::chrono::seconds kMaxSending{ 40 };
constexpr std::chrono::seconds kMaxStay{ 60 };
/// Bytes of one write.
constexpr std::size_t kWriteBytes = 65'536;

/// What a client sends: a beginning, and a part that it repeats.
struct Request
{
  std::string mBegin;
  std::string mRepeated;
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

/// The request of this kind, or one without any text if there is no such kind.
/// @param aBytes bytes that each client sends
Request MakeRequest(const std::string& aKind, std::size_t aBytes)
{
  const std::string block(kWriteBytes, 'b');
  if (aKind == "trailers") {
    return { kChunkedHead + "1\r\nx\r\n0\r\n",
             "x-t: " + std::string(900, 't') + "\r\n" };
  }
  if (aKind == "chunk-extension") {
    return { kChunkedHead + "1;", block };
  }
  if (aKind == "almost-whole") {
    return { kChunkedHead + Hexadecimal(aBytes) + "\r\n", block };
  }
  if (aKind == "small-chunks") {
    return { kChunkedHead, "1\r\nx\r\n" };
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
             "x-h: " + std::string(900, 'h') + "\r\n" };
  }
  if (aKind == "connections") {
    return { "GET", "" };
  }
  return {};
}

/// One client.
class Client
{
public:
  Client(asio::io_context& aContext,
         const Request& aRequest,
         std::size_t aBytes)
    : mSocket(aContext)
    , mRequest(aRequest)
    , mLeft(aBytes)
  {
  }

  void Start(const tcp::endpoint& aServer)
  {
    this->mSocket.async_connect(
      aServer, [this](const boost::system::error_code& aError) {
        if (aError) {
          this->mIsDone = true;
          return;
        }
        this->Send(this->mRequest.mBegin);
      });
  }

  bool IsDone() const { return this->mIsDone; }

private:
  void Send(std::string aText)
  {
    this->mText = std::move(aText);
    asio::async_write(
      this->mSocket,
      asio::buffer(this->mText),
      [this](const boost::system::error_code& aError, std::size_t) {
        if (aError || this->mLeft == 0 || this->mRequest.mRepeated.empty()) {
          this->mIsDone = true;
          return;
        }
        this->Send(this->NextText());
      });
  }

  std::string NextText()
  {
    std::string text;
    while (text.size() < std::min(kWriteBytes, this->mLeft)) {
      text += this->mRequest.mRepeated;
    }
    text.resize(std::min(text.size(), this->mLeft));
    this->mLeft -= text.size();
    return text;
  }

  tcp::socket mSocket;
  const Request& mRequest;
  std::size_t mLeft;
  std::string mText;
  bool mIsDone = false;
};

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

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: vcUnboundedClients PORT KIND CLIENTS BYTES\n";
    return 2;
  }
  const auto port = static_cast<asio::ip::port_type>(std::stoul(aArguments[1]));
  const std::size_t bytes = std::stoul(aArguments[4]);
  const Request request = MakeRequest(aArguments[2], bytes);
  if (request.mBegin.empty()) {
    std::cerr << "unknown kind " << aArguments[2] << "\n";
    return 2;
  }
  asio::io_context context;
  const tcp::endpoint server(asio::ip::address_v4::loopback(), port);
  std::vector<std::unique_ptr<Client>> clients;
  for (unsigned long i = 0; i < std::stoul(aArguments[3]); ++i) {
    clients.push_back(std::make_unique<Client>(context, request, bytes));
    clients.back()->Start(server);
  }
  const auto isDone = [&]() {
    return std::all_of(clients.begin(), clients.end(), [](const auto& aClient) {
      return aClient->IsDone();
    });
  };
  const auto until = std::chrono::steady_clock::now() + kMaxSending;
  while (!isDone() && std::chrono::steady_clock::now() < until) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(100));
  }
  std::cout << "sent" << std::endl;
  context.restart();
  Stay(context);
  return 0;
}
