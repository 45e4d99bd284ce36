#pragma once

/// Interface of a key-value service with conditional transactions, leases and
/// watches. It consists of plain functions, so that the callers do not depend
/// on which service implements them.

#include "vcHttp.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace verbenacroft {

/// Outcome of a call to the key-value service.
enum class KvStatus
{
  kOk,
  /// A condition of the transaction does not hold; nothing was changed.
  kConflict,
  /// The key or the lease does not exist.
  kNotFound,
  /// The call was not sent, or the service is too busy or closed to this
  /// caller. It certainly had no effect; another node may succeed.
  kRefused,
  /// The service answered that the call is invalid or not allowed. It certainly
  /// had no effect, and the same call is rejected again, whoever makes it.
  kRejected,
  /// The service no longer keeps the revisions that a watch asks for; the
  /// caller must read the current state again.
  kCompacted,
  /// No reply arrived: the call may have taken effect, or may still do so.
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
    { KvStatus::kRejected, "rejected" },
    { KvStatus::kCompacted, "compacted" },
    { KvStatus::kUnknown, "unknown" },
  });
};

/// True if the service has answered, so that it is reached: the call was
/// carried out, or the service says why it can't be.
inline bool IsAnswered(KvStatus aStatus)
{
  return aStatus != KvStatus::kRefused && aStatus != KvStatus::kUnknown;
}

/// True if a write was turned down without a look at its conditions. It
/// certainly had no effect.
inline bool IsTurnedDown(KvStatus aStatus)
{
  return aStatus == KvStatus::kRefused || aStatus == KvStatus::kRejected;
}

/// Identifier of a lease that the store has granted. It is never 0, so that a
/// record that must be removed when its writer fails cannot be written without
/// a lease.
class LeaseId
{
public:
  /// @return the lease, or nothing for 0, the store's value for "no lease"
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

/// Number of the lease for log lines; 0 if there is none.
inline std::uint64_t NumberOf(const std::optional<LeaseId>& aLease)
{
  return aLease ? aLease->Number() : 0;
}

/// One key of the service, or one event of a watch.
struct KvItem
{
  std::string mKey;
  std::string mValue;
  /// Store revision of the last write.
  std::uint64_t mRevision = 0;
  /// Store revision at which the key was created.
  std::uint64_t mCreateRevision = 0;
  /// Number of the lease that the key is attached to; 0 for none.
  std::uint64_t mLease = 0;
  /// True for a removal event, which has no value.
  bool mIsRemoved = false;
};
BOOST_DESCRIBE_STRUCT(
  KvItem,
  (),
  (mKey, mValue, mRevision, mCreateRevision, mLease, mIsRemoved))

/// Precondition of a transaction: the key's revision of the last write must be
/// `mRevision`; 0 means that the key must not exist.
struct KvCondition
{
  std::string mKey;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(KvCondition, (), (mKey, mRevision))

/// Write of one key. Use `PersistentPut` or `LeasedPut` to create it.
struct KvPut
{
  std::string mKey;
  std::string mValue;
  /// Number of the lease that the key is attached to; 0 for none.
  std::uint64_t mLease = 0;
};
BOOST_DESCRIBE_STRUCT(KvPut, (), (mKey, mValue, mLease))

/// Creates a write whose key stays until it is deleted explicitly.
inline KvPut PersistentPut(std::string aKey, std::string aValue)
{
  return { std::move(aKey), std::move(aValue), 0 };
}

/// Creates a write whose key is removed when the lease ends.
inline KvPut LeasedPut(std::string aKey, std::string aValue, LeaseId aLease)
{
  return { std::move(aKey), std::move(aValue), aLease.Number() };
}

/// Writes and deletions that take effect together, if all conditions hold.
struct KvTransaction
{
  std::vector<KvCondition> mConditions;
  std::vector<KvPut> mPuts;
  /// Keys to delete.
  std::vector<std::string> mDeletes;
};
BOOST_DESCRIBE_STRUCT(KvTransaction, (), (mConditions, mPuts, mDeletes))

/// Reply to any call of the service.
struct KvReply
{
  KvStatus mStatus = KvStatus::kUnknown;
  /// Revision of a write, or the store revision that a read reflects.
  std::uint64_t mRevision = 0;
  /// Items read, events of a watch, or the current items of failed conditions.
  std::vector<KvItem> mItems;
  /// True if the range has further pages.
  bool mHasMore = false;
  /// Number of the lease granted; 0 for none.
  std::uint64_t mLease = 0;
  /// Why the call failed, for log lines; empty if it succeeded. Not part of a
  /// relayed reply.
  std::string mReason;
  /// Size of the reply as far as it arrived, for log lines.
  std::size_t mReceivedBytes = 0;
};
BOOST_DESCRIBE_STRUCT(KvReply,
                      (),
                      (mStatus, mRevision, mItems, mHasMore, mLease))

/// Read of one page of the keys that start with a prefix.
struct KvRange
{
  std::string mPrefix;
  /// Last key of the previous page; empty for the first page.
  std::string mAfterKey;
};

/// Request for the events of all keys with a prefix.
struct KvWatch
{
  std::string mPrefix;
  /// Only events of later revisions are returned.
  std::uint64_t mAfterRevision = 0;
  /// Longest time in milliseconds that the service waits for an event.
  Duration mWait{ 0 };
  /// Longest time in milliseconds that the call may take in addition.
  Duration mReplyTime{ 1'000 };
};

/// Functions of the service. A failed call is reported in the reply's status
/// and never as an exception.
struct KeyValueStore
{
  using Answer = asio::awaitable<KvReply>;
  std::function<Answer(std::string aKey)> mRead;
  std::function<Answer(KvRange)> mRange;
  std::function<Answer(KvWatch)> mWatch;
  std::function<Answer(KvTransaction)> mCommit;
  /// Grants a lease that ends if it is not renewed for `aTtl`, in milliseconds.
  std::function<Answer(Duration aTtl)> mGrant;
  std::function<Answer(LeaseId)> mRenew;
  /// Ends a lease at once; the keys attached to it are removed.
  std::function<Answer(LeaseId)> mRevoke;
};

/// Maximum number of entries in one transaction; see `EntriesOf`. The store
/// rejects a transaction with more.
constexpr std::size_t kMaxKvTransactionEntries = 32;
/// Maximum size of a value, in bytes.
constexpr std::size_t kMaxKvValueBytes = 1'000'000;

/// Number of entries of a transaction: conditions, puts and deletes together.
inline std::size_t EntriesOf(const KvTransaction& aTransaction)
{
  return aTransaction.mConditions.size() + aTransaction.mPuts.size() +
         aTransaction.mDeletes.size();
}

} // namespace verbenacroft
