#pragma once

/// Listening sockets of the servers. Private to the server.

#include "vcHttp.h"

namespace verbenacroft {

/// Bytes that the kernel may hold for a connection: received and not yet read,
/// and written and not yet acknowledged. Linux takes twice of each, and fills
/// its last segment beyond the send buffer. Without a bound it gives a
/// connection some 100 KB at once and several MB later.
constexpr std::size_t kReceiveBufferBytes = 8 * 1024;
constexpr std::size_t kSendBufferBytes = 16 * 1024;
constexpr std::size_t kMaxSegmentBytes = 64 * 1024;
constexpr std::size_t kKernelBytesPerConnection =
  2 * (kReceiveBufferBytes + kSendBufferBytes) + kMaxSegmentBytes;

/// Opens a socket that listens on `aEndpoint` and doesn't block. The
/// connections that it accepts have buffers of the sizes above, and are dropped
/// if their client doesn't acknowledge what it was sent.
/// @param aSendTimeout time in ms after which they are
/// @throws boost::system::system_error if the address can't be bound
asio::ip::tcp::acceptor OpenAcceptor(asio::io_context& aContext,
                                     const Endpoint& aEndpoint,
                                     Duration aSendTimeout);

} // namespace verbenacroft
