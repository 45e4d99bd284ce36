#pragma once

/// Turns of connections whose next request has arrived before the response to
/// the last one was sent. Private to the server.

#include "vcHttpSession.h"

namespace verbenacroft {

/// Lets such connections go on a few at a time, in the order in which they
/// came, so that others aren't held up by clients that send requests without
/// end. All functions must be called on the thread that runs the executor.
class HttpTurns : public std::enable_shared_from_this<HttpTurns>
{
public:
  explicit HttpTurns(asio::any_io_executor aExecutor)
    : mExecutor(std::move(aExecutor))
  {
  }

  /// Waits for the turn of a connection, or until it is interrupted.
  asio::awaitable<void> Await(HttpSession& aSession);

private:
  /// One connection that waits. It leaves the list when its wait ends.
  struct Waiter
    : public boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  {
    asio::steady_timer* mTimer = nullptr;
  };
  using Waiters =
    boost::intrusive::list<Waiter, boost::intrusive::constant_time_size<false>>;

  /// Lets the next connections go on once the event loop has come round.
  void Schedule();
  void TakeTurn();

  asio::any_io_executor mExecutor;
  Waiters mWaiters;
  bool mIsScheduled = false;
};

} // namespace verbenacroft
