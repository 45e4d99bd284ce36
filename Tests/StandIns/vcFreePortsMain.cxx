/// Prints as many free loopback ports as asked for, one a line.

#include <boost/asio.hpp>

#include <cstdlib>
#include <iostream>
#include <vector>

int main(int aCount, char** aArguments)
{
  namespace asio = boost::asio;
  const int wanted = aCount > 1 ? std::atoi(aArguments[1]) : 1;
  asio::io_context context;
  std::vector<asio::ip::tcp::acceptor> held;
  for (int i = 0; i < wanted; ++i) {
    held.emplace_back(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::cout << held.back().local_endpoint().port() << "\n";
  }
  return 0;
}
