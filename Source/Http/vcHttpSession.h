#pragma once

/// One client connection of a server. Private to the server.

#include "vcHttpBeast.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace verbenacroft {

class HttpSession;
using HttpSessionHook = boost::intrusive::list_base_hook<
  boost::intrusive::tag<HttpSession>,
  boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A connection, its buffer and its account in the budget of the process.
class HttpSession
  : public boost::intrusive_ref_counter<HttpSession,
                                        boost::thread_unsafe_counter>
  , public HttpSessionHook
  , public HttpAccount
{
public:
  HttpSession(asio::ip::tcp::socket aSocket,
              HttpBudget& aBudget,
              std::size_t aMaxBuffer);
  ~HttpSession() override;
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Interrupt() override;

  /// @return false if the budget has no room for the connection
  bool Open();
  void SetPhase(Phase aPhase);
  /// Accounts for the buffer and `aBytes` more.
  /// @return false if the connection has to be closed for that
  bool Charge(std::size_t aBytes);
  /// Begins the handling of the request, which takes `aBytes`.
  /// @return false if it has to be refused
  bool Admit(std::size_t aBytes);
  /// True if data has arrived that isn't parsed yet.
  bool HasData() const;
  /// Closes the connection at once. What the client hasn't read is dropped,
  /// since the kernel would keep it for a client that never reads.
  void Abort();

  beast::tcp_stream mStream;
  HttpBudget& mBudget;
  beast::flat_buffer mBuffer;
  /// A request was answered.
  bool mHasServed = false;
  /// Set while the connection waits for its turn.
  std::optional<asio::steady_timer> mTurnTimer;

private:
  bool mIsOpen = false;
};

using HttpSessionList =
  boost::intrusive::list<HttpSession,
                         boost::intrusive::base_hook<HttpSessionHook>,
                         boost::intrusive::constant_time_size<false>>;

} // namespace verbenacroft
