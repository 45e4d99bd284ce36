#pragma once

/// A key-value service with conditional transactions, leases and watches, as
/// plain functions, so that the shells don't know which service answers.

#include "vcHttp.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace verbenacroft {

enum class KvStatus
{
  kOk,
  /// A precondition does not hold; nothing was done.
  kConflict,
  /// No such key or lease.
  kNotFound,
  /// The call was certainly not carried out.
  kRefused,
  /// The history that a watch asks for is gone; read afresh.
  kCompacted,
  /// No answer: the call may have been carried out, now or later.
  kUnknown,
};

template<>
struct EnumTable<KvStatus>
{
  static constexpr auto kRows = std::to_array<NameRow<KvStatus>>({
    { KvStatus::kOk, "ok" },
    { KvStatus::kConflict, "conflict" },
    { KvStatus::kNotFound, "not-found" },
    { KvStatus::kRefused, "refused" },
    { KvStatus::kCompacted, "compacted" },
    { KvStatus::kUnknown, "unknown" },
  });
};

/// A lease that the store has granted. There is none without a number, so
/// that no record that has to end with its writer is written without one.
class LeaseId
{
public:
  /// @return nothing for 0, by which the store says that there is no lease
  static std::optional<LeaseId> Of(std::uint64_t aNumber)
  {
    return aNumber == 0 ? std::nullopt : std::optional(LeaseId(aNumber));
  }

  std::uint64_t Number() const { return this->mNumber; }
  bool operator==(const LeaseId&) const = default;

private:
  explicit LeaseId(std::uint64_t aNumber)
    : mNumber(aNumber)
  {
  }

  std::uint64_t mNumber;
};

/// Number of the lease for a line of log; 0 for none.
inline std::uint64_t NumberOf(const std::optional<LeaseId>& aLease)
{
  return aLease ? aLease->Number() : 0;
}

struct KvItem
{
  std::string mKey;
  std::string mValue;
  /// Revision of the last write.
  std::uint64_t mRevision = 0;
  /// Revision at which the key was created.
  std::uint64_t mCreateRevision = 0;
  std::uint64_t mLease = 0;
  /// True for the event of a removal, which has no value.
  bool mIsRemoved = false;
};
BOOST_DESCRIBE_STRUCT(
  KvItem,
  (),
  (mKey, mValue, mRevision, mCreateRevision, mLease, mIsRemoved))

/// The key must be at this revision; 0 means that it must be absent.
struct KvCondition
{
  std::string mKey;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(KvCondition, (), (mKey, mRevision))

/// Made by `LastingPut` or `LeasedPut`.
struct KvPut
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mLease = 0;
};
BOOST_DESCRIBE_STRUCT(KvPut, (), (mKey, mValue, mLease))

/// A record that stays until it is deleted.
inline KvPut LastingPut(std::string aKey, std::string aValue)
{
  return { std::move(aKey), std::move(aValue), 0 };
}

/// A record that ends with the lease.
inline KvPut LeasedPut(std::string aKey, std::string aValue, LeaseId aLease)
{
  return { std::move(aKey), std::move(aValue), aLease.Number() };
}

struct KvTransaction
{
  std::vector<KvCondition> mConditions;
  std::vector<KvPut> mPuts;
  std::vector<std::string> mDeletes;
};
BOOST_DESCRIBE_STRUCT(KvTransaction, (), (mConditions, mPuts, mDeletes))

struct KvReply
{
  KvStatus mStatus = KvStatus::kUnknown;
  /// Revision of a write, or the revision as of which a read was answered.
  std::uint64_t mRevision = 0;
  /// Items read, events of a watch, or the items of a failed condition.
  std::vector<KvItem> mItems;
  bool mHasMore = false;
  std::uint64_t mLease = 0;
};
BOOST_DESCRIBE_STRUCT(KvReply,
                      (),
                      (mStatus, mRevision, mItems, mHasMore, mLease))

struct KvRange
{
  std::string mPrefix;
  /// Last key of the page before; empty for the first page.
  std::string mAfterKey;
};

struct KvWatch
{
  std::string mPrefix;
  std::uint64_t mAfterRevision = 0;
  /// How long the service may wait for an event.
  Duration mWait{ 0 };
};

/// The service's calls. None of them throws for a failed call.
struct KeyValueStore
{
  using Answer = asio::awaitable<KvReply>;
  std::function<Answer(std::string aKey)> mRead;
  std::function<Answer(KvRange)> mRange;
  std::function<Answer(KvWatch)> mWatch;
  std::function<Answer(KvTransaction)> mCommit;
  std::function<Answer(Duration aTtl)> mGrant;
  std::function<Answer(LeaseId)> mRenew;
  std::function<Answer(LeaseId)> mRevoke;
};

/// Most entries of one transaction, conditions, puts and deletes together.
constexpr std::size_t kKvTransactionEntries = 32;

} // namespace verbenacroft
