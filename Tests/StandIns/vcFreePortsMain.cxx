/// Prints as many free loopback ports as asked for, one a line. They lie below
/// the range from which the system takes the ports of outgoing connections, so
/// that none is taken by a connection before its process listens. Each run
/// starts at another port.

#include <boost/asio.hpp>

#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned kFirstPort = 10'000;
/// Usual start of the range of outgoing connections.
constexpr unsigned kEndPort = 32'768;

/// Opens and binds the acceptor. Returns false if the port is in use.
bool Bind(tcp::acceptor& aAcceptor, unsigned aPort)
{
  boost::system::error_code error;
  aAcceptor.open(tcp::v4(), error);
  if (!error) {
    const auto port = static_cast<asio::ip::port_type>(aPort);
    aAcceptor.bind({ asio::ip::address_v4::loopback(), port }, error);
  }
  return !error;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const int wanted = aCount > 1 ? std::atoi(aArguments[1]) : 1;
  asio::io_context context;
  std::vector<tcp::acceptor> held;
  std::random_device random;
  constexpr unsigned kPorts = kEndPort - kFirstPort;
  const unsigned start = random() % kPorts;
  for (unsigned i = 0; i < kPorts && std::ssize(held) < wanted; ++i) {
    const unsigned port = kFirstPort + (start + i) % kPorts;
    tcp::acceptor acceptor(context);
    if (Bind(acceptor, port)) {
      std::cout << port << "\n";
      held.push_back(std::move(acceptor));
    }
  }
  return std::ssize(held) == wanted ? 0 : 1;
}
