/// Servers, clients and the record of the stand-ins.

#include "vcStage.h"

#include <chrono>
#include <iostream>

#include <unistd.h>

namespace stage {

namespace {

const auto kStart = std::chrono::steady_clock::now();

} // namespace

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void SleepUntil(std::int64_t aAtMs)
{
  SleepMs(std::max<std::int64_t>(0, aAtMs - NowMs()));
}

Record::Record(const std::string& aPath)
  : mFile(aPath)
{
}

void Record::Add(const std::string& aText)
{
  const std::lock_guard lock(this->mMutex);
  const std::string line = std::to_string(NowMs()) + " ms  " + aText;
  this->mFile << line << "\n" << std::flush;
  std::cout << line << "\n" << std::flush;
}

Response JsonResponse(unsigned aStatus, const boost::json::object& aBody)
{
  Response response;
  response.version(11);
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = boost::json::serialize(aBody);
  response.prepare_payload();
  return response;
}

/// A connection of a client.
struct Server::Session
{
  explicit Session(Tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }
  Tcp::socket mSocket;
};

Server::Server(std::uint16_t aPort, Handler aHandler)
  : mAcceptor(mIo)
  , mHandler(std::move(aHandler))
{
  const Tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"),
                              aPort);
  this->mAcceptor.open(address.protocol());
  this->mAcceptor.set_option(Tcp::acceptor::reuse_address(true));
  this->mAcceptor.bind(address);
  this->mAcceptor.listen();
  this->mPort = this->mAcceptor.local_endpoint().port();
  this->mAcceptThread = std::thread([this] { this->Accept(); });
}

Server::~Server()
{
  this->mIsClosed = true;
  // Wakes the thread that accepts.
  ::shutdown(this->mAcceptor.native_handle(), SHUT_RDWR);
  this->mAcceptThread.join();
  boost::system::error_code ignored;
  this->mAcceptor.close(ignored);
  {
    const std::lock_guard lock(this->mMutex);
    for (const auto& session : this->mSessions) {
      ::shutdown(session->mSocket.native_handle(), SHUT_RDWR);
    }
  }
  for (auto& thread : this->mThreads) {
    thread.join();
  }
}

void Server::Accept()
{
  while (!this->mIsClosed) {
    boost::system::error_code error;
    Tcp::socket socket = this->mAcceptor.accept(error);
    if (error) {
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    auto session = std::make_shared<Session>(std::move(socket));
    const std::lock_guard lock(this->mMutex);
    this->mSessions.push_back(session);
    this->mThreads.emplace_back([this, session] { this->Serve(session); });
  }
}

void Server::Serve(const std::shared_ptr<Session>& aSession)
{
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  while (!this->mIsClosed) {
    Request request;
    http::read(aSession->mSocket, buffer, request, error);
    if (error) {
      break;
    }
    const std::optional<Response> response = this->mHandler(request);
    if (!response) {
      break;
    }
    http::write(aSession->mSocket, *response, error);
    if (error) {
      break;
    }
  }
  ::shutdown(aSession->mSocket.native_handle(), SHUT_RDWR);
}

std::vector<std::uint16_t> FreePorts(std::size_t aCount)
{
  // Below the range from which the system takes the ports of connections, and
  // apart from those of another stage.
  constexpr int kFirst = 10'000;
  constexpr int kRange = 20'000;
  constexpr int kStride = 97;
  static std::atomic<int> next{ ::getpid() * kStride };
  boost::asio::io_context io;
  std::vector<std::uint16_t> ports;
  while (ports.size() < aCount) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kRange);
    Tcp::acceptor held(io);
    boost::system::error_code error;
    held.open(Tcp::v4(), error);
    held.bind({ boost::asio::ip::make_address("127.0.0.1"), port }, error);
    if (!error) {
      ports.push_back(port);
    }
  }
  return ports;
}

Answer Call(std::uint16_t aPort,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHost,
            const std::string& aBody,
            std::int64_t aTimeoutMs)
{
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  Answer answer;
  Request request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(http::field::host, aHost);
  request.set("Deadline-Ms", std::to_string(aTimeoutMs));
  if (!aBody.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = aBody;
  request.prepare_payload();
  boost::beast::flat_buffer buffer;
  Response response;
  // The handlers run one after the other, each after the one before succeeded.
  stream.expires_after(std::chrono::milliseconds(aTimeoutMs));
  stream.async_connect(
    Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), aPort),
    [&](boost::system::error_code aConnectError) {
      if (aConnectError) {
        return;
      }
      http::async_write(
        stream,
        request,
        [&](boost::system::error_code aWriteError, std::size_t) {
          if (aWriteError) {
            return;
          }
          http::async_read(
            stream,
            buffer,
            response,
            [&](boost::system::error_code aReadError, std::size_t) {
              if (!aReadError) {
                answer.mStatus = response.result_int();
                answer.mBody = response.body();
              }
            });
        });
    });
  io.run();
  return answer;
}

std::string EncodeBase64(const std::string& aText)
{
  std::string encoded;
  encoded.resize(boost::beast::detail::base64::encoded_size(aText.size()));
  encoded.resize(boost::beast::detail::base64::encode(
    encoded.data(), aText.data(), aText.size()));
  return encoded;
}

} // namespace stage
