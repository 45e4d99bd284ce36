#include "vcHttpListener.h"

#include <netinet/tcp.h>

namespace verbenacroft {

namespace {

/// Connections that the kernel holds until they are accepted; further ones have
/// to ask again. Each may hold a full receive buffer.
constexpr int kAcceptBacklog = 256;

using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

asio::ip::tcp::acceptor OpenAcceptor(asio::io_context& aContext,
                                     const Endpoint& aEndpoint,
                                     Duration aSendTimeout)
{
  asio::ip::tcp::acceptor acceptor(aContext);
  acceptor.open(aEndpoint.protocol());
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  // Accepted connections inherit these. A window is scaled by the size that
  // the buffer has when the connection is opened.
  boost::system::error_code ignored;
  acceptor.set_option(
    asio::ip::tcp::acceptor::receive_buffer_size(kReceiveBufferBytes), ignored);
  acceptor.set_option(
    asio::ip::tcp::acceptor::send_buffer_size(kSendBufferBytes), ignored);
  acceptor.set_option(UserTimeout(static_cast<int>(aSendTimeout.count())),
                      ignored);
  acceptor.bind(aEndpoint);
  acceptor.listen(kAcceptBacklog);
  acceptor.non_blocking(true);
  return acceptor;
}

} // namespace verbenacroft
