#include "vcHttpTurns.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenacroft {

namespace {

/// Connections that go on in one turn of the event loop.
constexpr int kPerTurn = 8;

} // namespace

asio::awaitable<void> HttpTurns::Await(HttpSession& aSession)
{
  // The turn cancels the timer, which never expires.
  aSession.mTurnTimer.emplace(this->mExecutor,
                              asio::steady_timer::time_point::max());
  Waiter waiter;
  waiter.mTimer = &*aSession.mTurnTimer;
  this->mWaiters.push_back(waiter);
  this->Schedule();
  co_await aSession.mTurnTimer->async_wait(asio::as_tuple(asio::use_awaitable));
  aSession.mTurnTimer.reset();
}

void HttpTurns::Schedule()
{
  if (this->mIsScheduled || this->mWaiters.empty()) {
    return;
  }
  this->mIsScheduled = true;
  asio::post(this->mExecutor,
             [self = this->shared_from_this()] { self->TakeTurn(); });
}

void HttpTurns::TakeTurn()
{
  this->mIsScheduled = false;
  for (int i = 0; i < kPerTurn && !this->mWaiters.empty(); ++i) {
    Waiter& waiter = this->mWaiters.front();
    this->mWaiters.pop_front();
    waiter.mTimer->cancel();
  }
  this->Schedule();
}

} // namespace verbenacroft
