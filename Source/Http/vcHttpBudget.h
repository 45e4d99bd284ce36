#pragma once

/// Budget of memory and connections that all HTTP servers of a process share.
/// Clients may hold many requests open just short of their end, or send faster
/// than these are parsed. When the budget is short, the requests that aren't
/// complete are refused, the largest and slowest first.

#include "vcErrorTable.h"
#include "vcTime.h"

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace verbenacroft {

/// Why a request or a connection was refused by a server, before its handler
/// was called.
enum class HttpRefusal
{
  kBodyTooLarge,
  kHeaderTooLarge,
  kMalformed,
  kTooSlow,
  /// The budget of memory is short.
  kMemory,
  /// Too many connections are open.
  kConnections,
};

template<>
struct EnumTable<HttpRefusal>
{
  static constexpr auto kRows = std::to_array<NameRow<HttpRefusal>>({
    { HttpRefusal::kBodyTooLarge, "body-too-large" },
    { HttpRefusal::kHeaderTooLarge, "header-too-large" },
    { HttpRefusal::kMalformed, "malformed" },
    { HttpRefusal::kTooSlow, "too-slow" },
    { HttpRefusal::kMemory, "memory" },
    { HttpRefusal::kConnections, "connections" },
  });
};

/// Limits of a budget.
struct HttpBudgetLimits
{
  /// Memory that the connections of all servers may take together, in bytes.
  std::size_t mBytes = 32 * 1024 * 1024;
  /// Maximum number of connections of all servers together.
  std::size_t mConnections = 4096;
};

/// Part of an open connection that the budget accounts for. An intrusive list
/// of the budget refers to it until it is destroyed.
struct HttpAccount
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  /// What the connection is doing.
  enum class Phase
  {
    /// No byte of a request has arrived.
    kIdle,
    kReceiving,
    /// The request was admitted. It is answered in any case.
    kHandling,
    /// The response is being sent. Each part that the client takes begins this
    /// phase anew.
    kSending,
    /// The connection is being closed to free memory or a connection.
    kEvicted,
  };

  HttpAccount() = default;
  HttpAccount(const HttpAccount&) = delete;
  HttpAccount& operator=(const HttpAccount&) = delete;
  virtual ~HttpAccount() = default;

  /// Ends what the connection waits for, so that it can be closed.
  virtual void Interrupt() = 0;

  Phase mPhase = Phase::kIdle;
  TimePoint mPhaseSince{ 0 };
  std::size_t mBytes = 0;
  /// Why it is being closed; only valid in that phase.
  HttpRefusal mCause = HttpRefusal::kMemory;
};

/// The budget. All functions must be called on one thread.
class HttpBudget
{
public:
  explicit HttpBudget(HttpBudgetLimits aLimits)
    : mLimits(aLimits)
  {
  }
  HttpBudget(const HttpBudget&) = delete;
  HttpBudget& operator=(const HttpBudget&) = delete;

  void SetLimits(HttpBudgetLimits aLimits) { this->mLimits = aLimits; }

  /// Adds an open connection. If there are too many, another one is evicted.
  /// @return false if none can be: this one must be closed
  bool Open(HttpAccount& aAccount, TimePoint aNow);
  /// Removes a connection that is closed.
  void Close(HttpAccount& aAccount);
  /// Evicts a connection, since the process has no descriptor left.
  void OnDescriptorsExhausted(TimePoint aNow);
  /// Notes what the connection is doing from now on.
  void SetPhase(HttpAccount& aAccount,
                HttpAccount::Phase aPhase,
                TimePoint aNow);
  /// Begins the handling of a complete request, if there is memory for it once
  /// incomplete ones have been evicted, and if enough connections are left for
  /// others.
  /// @param aBytes memory that the request takes while it is handled
  /// @return false if it has to be refused
  bool Admit(HttpAccount& aAccount, std::size_t aBytes, TimePoint aNow);
  /// Sets the memory that a connection takes. If all take too much, incomplete
  /// requests are evicted by their rank; this one may be among them.
  void Charge(HttpAccount& aAccount, std::size_t aBytes, TimePoint aNow);

  /// Counts a refusal and logs it, at most one line a second for each reason.
  void CountRefusal(HttpRefusal aRefusal, TimePoint aNow);
  std::uint64_t Refusals(HttpRefusal aRefusal) const;
  std::size_t Bytes() const { return this->mBytes; }
  std::size_t Connections() const { return this->mConnections; }

private:
  /// Refusals of one reason.
  struct RefusalRow
  {
    std::uint64_t mCount = 0;
    std::uint64_t mLogged = 0;
    TimePoint mLoggedAt = kNever;
  };
  using Accounts =
    boost::intrusive::list<HttpAccount,
                           boost::intrusive::constant_time_size<false>>;

  /// Evicts the connection that should be closed first.
  /// @return false if there is none
  bool Evict(HttpRefusal aCause, TimePoint aNow);
  void Discharge(HttpAccount& aAccount);

  HttpBudgetLimits mLimits;
  Accounts mAccounts;
  std::size_t mBytes = 0;
  std::size_t mConnections = 0;
  /// Connections that aren't evicted.
  std::size_t mActive = 0;
  /// Requests that are handled.
  std::size_t mHandled = 0;
  std::array<RefusalRow, EnumTable<HttpRefusal>::kRows.size()> mRefusals;
};

/// The budget of this process. By default it has the default limits, but no
/// more connections than the process's descriptors allow.
HttpBudget& ProcessHttpBudget();

/// Limits for a process with this much memory that may open so many
/// descriptors.
HttpBudgetLimits BudgetLimitsFor(std::size_t aMemoryBytes,
                                 std::size_t aDescriptors);

/// Number of descriptors that this process may open.
std::size_t MaxDescriptors();

} // namespace verbenacroft
