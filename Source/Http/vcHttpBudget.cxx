#include "vcHttpBudget.h"

#include "vcHttpListener.h"

#include <spdlog/spdlog.h>

#include <sys/resource.h>

#include <algorithm>
#include <tuple>

namespace verbenacroft {

namespace {

/// Part of the process's memory for what connections take in the process.
constexpr std::size_t kMemoryDivisor = 8;
/// Part of it for what the kernel holds for them.
constexpr std::size_t kKernelDivisor = 2;
/// Part of the process's descriptors for the connections of its servers. The
/// rest is for those that it opens itself.
constexpr std::size_t kDescriptorDivisor = 2;
/// Part of the connections on which no request is handled, so that new ones can
/// take their place and are told that there are too many.
constexpr std::size_t kReserveDivisor = 4;
/// A client that reads has taken a part of its response by then.
constexpr Duration kUnreadAfter{ 500 };
/// An ordinary request is complete by then.
constexpr Duration kSlowAfter{ 200 };
/// Interval of log lines about refusals of one reason.
constexpr Duration kLogInterval{ 1'000 };

/// Rank of a connection that may be evicted for lack of memory: the one that
/// takes most memory for the longest time goes first.
double MemoryRank(const HttpAccount& aAccount, TimePoint aNow)
{
  const auto age = static_cast<double>((aNow - aAccount.mPhaseSince).count());
  return static_cast<double>(aAccount.mBytes) * (age + 1);
}

/// Groups of connections, of which later ones give way first.
enum class EvictionGroup
{
  /// The client takes its response.
  kServed,
  /// Idle, or with a request that has just begun.
  kOrdinary,
  /// With a slow incomplete request or a response that isn't read.
  kSlow,
};

/// Rank for lack of connections: the group, and within it the one that has
/// lasted longest.
std::tuple<EvictionGroup, Duration> ConnectionRank(const HttpAccount& aAccount,
                                                   TimePoint aNow)
{
  const Duration age = aNow - aAccount.mPhaseSince;
  const bool isSending = aAccount.mPhase == HttpAccount::Phase::kSending;
  const bool isReceiving = aAccount.mPhase == HttpAccount::Phase::kReceiving;
  const bool isSlow =
    (isSending && age >= kUnreadAfter) || (isReceiving && age >= kSlowAfter);
  if (isSlow) {
    return { EvictionGroup::kSlow, age };
  }
  return { isSending ? EvictionGroup::kServed : EvictionGroup::kOrdinary, age };
}

bool MayEvict(const HttpAccount& aAccount, HttpRefusal aCause, TimePoint aNow)
{
  switch (aAccount.mPhase) {
    case HttpAccount::Phase::kIdle:
      return aCause == HttpRefusal::kConnections;
    case HttpAccount::Phase::kReceiving:
      return true;
    case HttpAccount::Phase::kSending:
      return aCause == HttpRefusal::kConnections ||
             aNow - aAccount.mPhaseSince >= kUnreadAfter;
    case HttpAccount::Phase::kHandling:
    case HttpAccount::Phase::kEvicted:
      return false;
  }
  return false;
}

} // namespace

bool HttpBudget::Open(HttpAccount& aAccount, TimePoint aNow)
{
  aAccount.mPhaseSince = aNow;
  const bool isFull = this->mActive >= this->mLimits.mConnections;
  if (isFull && !this->Evict(HttpRefusal::kConnections, aNow)) {
    this->CountRefusal(HttpRefusal::kConnections, aNow);
    return false;
  }
  this->mAccounts.push_back(aAccount);
  ++this->mConnections;
  ++this->mActive;
  return true;
}

void HttpBudget::Close(HttpAccount& aAccount)
{
  this->Discharge(aAccount);
  this->mHandled -= aAccount.mPhase == HttpAccount::Phase::kHandling ? 1 : 0;
  --this->mConnections;
  this->mActive -= aAccount.mPhase == HttpAccount::Phase::kEvicted ? 0 : 1;
  aAccount.unlink();
}

void HttpBudget::OnDescriptorsExhausted(TimePoint aNow)
{
  this->Evict(HttpRefusal::kConnections, aNow);
}

void HttpBudget::SetPhase(HttpAccount& aAccount,
                          HttpAccount::Phase aPhase,
                          TimePoint aNow)
{
  if (aAccount.mPhase == HttpAccount::Phase::kEvicted) {
    return;
  }
  this->mHandled -= aAccount.mPhase == HttpAccount::Phase::kHandling ? 1 : 0;
  this->mHandled += aPhase == HttpAccount::Phase::kHandling ? 1 : 0;
  aAccount.mPhase = aPhase;
  aAccount.mPhaseSince = aNow;
}

void HttpBudget::Charge(HttpAccount& aAccount,
                        std::size_t aBytes,
                        TimePoint aNow)
{
  if (aAccount.mPhase == HttpAccount::Phase::kEvicted) {
    return;
  }
  this->mBytes = this->mBytes - aAccount.mBytes + aBytes;
  aAccount.mBytes = aBytes;
  while (this->mBytes > this->mLimits.mBytes &&
         this->Evict(HttpRefusal::kMemory, aNow)) {
  }
}

bool HttpBudget::Admit(HttpAccount& aAccount,
                       std::size_t aBytes,
                       TimePoint aNow)
{
  const std::size_t maxHandled =
    this->mLimits.mConnections - this->mLimits.mConnections / kReserveDivisor;
  if (this->mHandled >= maxHandled) {
    this->CountRefusal(HttpRefusal::kConnections, aNow);
    return false;
  }
  this->SetPhase(aAccount, HttpAccount::Phase::kHandling, aNow);
  this->Charge(aAccount, aBytes, aNow);
  if (this->mBytes > this->mLimits.mBytes) {
    this->Discharge(aAccount);
    this->CountRefusal(HttpRefusal::kMemory, aNow);
    return false;
  }
  return true;
}

void HttpBudget::CountRefusal(HttpRefusal aRefusal, TimePoint aNow)
{
  RefusalRow& row = this->mRefusals.at(static_cast<std::size_t>(aRefusal));
  ++row.mCount;
  if (row.mLoggedAt != kNever && aNow - row.mLoggedAt < kLogInterval) {
    return;
  }
  spdlog::warn("http.refused reason={} count={} connections={} bytes={}",
               NameOf(aRefusal),
               row.mCount - row.mLogged,
               this->mConnections,
               this->mBytes);
  row.mLogged = row.mCount;
  row.mLoggedAt = aNow;
}

std::uint64_t HttpBudget::Refusals(HttpRefusal aRefusal) const
{
  return this->mRefusals.at(static_cast<std::size_t>(aRefusal)).mCount;
}

bool HttpBudget::Evict(HttpRefusal aCause, TimePoint aNow)
{
  HttpAccount* first = nullptr;
  for (auto& account : this->mAccounts) {
    if (!MayEvict(account, aCause, aNow)) {
      continue;
    }
    const bool isBefore =
      first == nullptr ||
      (aCause == HttpRefusal::kMemory
         ? MemoryRank(account, aNow) > MemoryRank(*first, aNow)
         : ConnectionRank(account, aNow) > ConnectionRank(*first, aNow));
    if (isBefore) {
      first = &account;
    }
  }
  if (first == nullptr) {
    return false;
  }
  this->Discharge(*first);
  first->mPhase = HttpAccount::Phase::kEvicted;
  first->mCause = aCause;
  --this->mActive;
  this->CountRefusal(aCause, aNow);
  first->Interrupt();
  return true;
}

void HttpBudget::Discharge(HttpAccount& aAccount)
{
  this->mBytes -= aAccount.mBytes;
  aAccount.mBytes = 0;
}

HttpBudget& ProcessHttpBudget()
{
  static HttpBudget budget([] {
    HttpBudgetLimits limits;
    limits.mConnections =
      std::min(limits.mConnections, MaxDescriptors() / kDescriptorDivisor);
    return limits;
  }());
  return budget;
}

HttpBudgetLimits BudgetLimitsFor(std::size_t aMemoryBytes,
                                 std::size_t aDescriptors)
{
  const HttpBudgetLimits defaults;
  HttpBudgetLimits limits;
  limits.mBytes = aMemoryBytes / kMemoryDivisor;
  limits.mConnections =
    std::min({ defaults.mConnections,
               aDescriptors / kDescriptorDivisor,
               aMemoryBytes / kKernelDivisor / kKernelBytesPerConnection });
  return limits;
}

std::size_t MaxDescriptors()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return HttpBudgetLimits{}.mConnections * kDescriptorDivisor;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace verbenacroft
