#include "vcHttpSession.h"

namespace verbenacroft {

HttpSession::HttpSession(asio::ip::tcp::socket aSocket,
                         HttpBudget& aBudget,
                         std::size_t aMaxBuffer)
  : mStream(std::move(aSocket))
  , mBudget(aBudget)
  , mBuffer(aMaxBuffer)
{
}

HttpSession::~HttpSession()
{
  if (this->mIsOpen) {
    this->mBudget.Close(*this);
  }
}

void HttpSession::Interrupt()
{
  this->mStream.cancel();
  if (this->mTurnTimer) {
    this->mTurnTimer->cancel();
  }
}

bool HttpSession::Open()
{
  this->mIsOpen = this->mBudget.Open(*this, MonotonicNow());
  return this->mIsOpen;
}

void HttpSession::SetPhase(Phase aPhase)
{
  this->mBudget.SetPhase(*this, aPhase, MonotonicNow());
}

bool HttpSession::Charge(std::size_t aBytes)
{
  this->mBudget.Charge(
    *this, this->mBuffer.capacity() + aBytes, MonotonicNow());
  return this->mPhase != Phase::kEvicted;
}

bool HttpSession::Admit(std::size_t aBytes)
{
  return this->mBudget.Admit(
    *this, this->mBuffer.capacity() + aBytes, MonotonicNow());
}

bool HttpSession::HasData() const
{
  beast::error_code ignored;
  return this->mBuffer.size() > 0 ||
         this->mStream.socket().available(ignored) > 0;
}

void HttpSession::Abort()
{
  constexpr int kNoSeconds = 0;
  asio::ip::tcp::socket& socket = this->mStream.socket();
  beast::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, kNoSeconds), ignored);
  socket.close(ignored);
}

} // namespace verbenacroft
