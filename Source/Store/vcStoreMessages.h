#pragma once

/// Messages to and from the platform's key-value service.

#include "vcFoundation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenacroft {

/// Operation of a request.
enum class StoreOp
{
  kRead,
  kWrite,
  kErase,
  kLeaseGrant,
  kLeaseRenew,
  kLeaseRevoke,
  kWatch,
};

template<>
struct EnumTable<StoreOp>
{
  static constexpr auto kRows = std::to_array<NameRow<StoreOp>>({
    { StoreOp::kRead, "read" },
    { StoreOp::kWrite, "write" },
    { StoreOp::kErase, "erase" },
    { StoreOp::kLeaseGrant, "lease-grant" },
    { StoreOp::kLeaseRenew, "lease-renew" },
    { StoreOp::kLeaseRevoke, "lease-revoke" },
    { StoreOp::kWatch, "watch" },
  });
};

/// Outcome of a request.
enum class StoreStatus
{
  kOk,
  /// The key's revision differs from the expected one; nothing was changed.
  kConflict,
  kNotFound,
  /// Rejected by a rate limit without effect.
  kRateLimited,
  /// The store could not be reached or could not serve the call; the call had
  /// no effect.
  kUnavailable,
  /// No reply arrived: the call may or may not have taken effect.
  kUnknown,
};

template<>
struct EnumTable<StoreStatus>
{
  static constexpr auto kRows = std::to_array<NameRow<StoreStatus>>({
    { StoreStatus::kOk, "ok" },
    { StoreStatus::kConflict, "conflict" },
    { StoreStatus::kNotFound, "not-found" },
    { StoreStatus::kRateLimited, "rate-limited" },
    { StoreStatus::kUnavailable, "unavailable" },
    { StoreStatus::kUnknown, "unknown" },
  });
};

/// Maximum size of a value in the store, in bytes.
constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

/// Request to the store; which of its fields apply depends on the operation.
struct StoreRequest
{
  StoreOp mOp = StoreOp::kRead;
  /// The key, or the prefix for a watch and for a prefix read.
  std::string mKey;
  /// True to read all keys that start with `mKey`.
  bool mIsPrefix = false;
  std::string mValue;
  /// Revision that the key must have for a write or an erase to take effect;
  /// 0 means that the key must not exist.
  std::uint64_t mExpectedRevision = 0;
  /// Lease that the written key is attached to; the key is removed when the
  /// lease ends. 0 for none.
  std::uint64_t mLease = 0;
  /// Lifetime of a lease, in milliseconds.
  Duration mTtl{ 0 };
  /// A watch returns as soon as an entry is newer than this revision.
  std::uint64_t mAfterRevision = 0;
  /// Longest time in milliseconds that a watch waits at the store.
  Duration mWait{ 0 };
};
BOOST_DESCRIBE_STRUCT(StoreRequest,
                      (),
                      (mOp,
                       mKey,
                       mIsPrefix,
                       mValue,
                       mExpectedRevision,
                       mLease,
                       mTtl,
                       mAfterRevision,
                       mWait))

/// A key with its value.
struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  /// Store revision at which the key was last written.
  std::uint64_t mRevision = 0;
  /// Lease that the key is attached to; 0 for none.
  std::uint64_t mLease = 0;
};
BOOST_DESCRIBE_STRUCT(StoreEntry, (), (mKey, mValue, mRevision, mLease))

/// Reply to a request.
struct StoreReply
{
  StoreStatus mStatus = StoreStatus::kOk;
  /// Store revision; for a write, the key's new revision.
  std::uint64_t mRevision = 0;
  /// Number of the lease granted; 0 for none.
  std::uint64_t mLease = 0;
  /// Time in milliseconds that a watch waited at the store.
  Duration mWaited{ 0 };
  /// Entries read; for a conflict, the current entry.
  std::vector<StoreEntry> mEntries;
};
BOOST_DESCRIBE_STRUCT(StoreReply,
                      (),
                      (mStatus, mRevision, mLease, mWaited, mEntries))

/// Priority of a call under the rate limit, highest first. A call cannot take
/// the tokens that are reserved for higher priorities.
enum class StorePriority
{
  kLease,
  kJournal,
  kConfiguration,
  kOther,
};

template<>
struct EnumTable<StorePriority>
{
  static constexpr auto kRows = std::to_array<NameRow<StorePriority>>({
    { StorePriority::kLease, "lease" },
    { StorePriority::kJournal, "journal" },
    { StorePriority::kConfiguration, "configuration" },
    { StorePriority::kOther, "rest" },
  });
};

/// A store call that a core requests and its shell makes. A core contains
/// logic without input or output; a shell performs its calls.
struct StoreCall
{
  std::uint64_t mId = 0;
  /// Identifies the part of the core that receives the reply.
  std::string mRoute;
  StorePriority mPriority = StorePriority::kOther;
  StoreRequest mRequest;
};

/// Collects and numbers the store calls that a core requests in one step.
struct StoreOutbox
{
  std::uint64_t mNextId = 1;
  std::vector<StoreCall> mCalls;
};

/// Appends a call.
/// @return the number of the call, which comes back with the reply
inline std::uint64_t PushStoreCall(StoreOutbox& aOutbox,
                                   std::string aRoute,
                                   StorePriority aPriority,
                                   StoreRequest aRequest)
{
  const std::uint64_t id = aOutbox.mNextId++;
  aOutbox.mCalls.push_back(
    { id, std::move(aRoute), aPriority, std::move(aRequest) });
  return id;
}

/// True if the call was rejected or never sent and certainly had no effect.
inline bool IsRefused(StoreStatus aStatus)
{
  return aStatus == StoreStatus::kRateLimited ||
         aStatus == StoreStatus::kUnavailable;
}

} // namespace verbenacroft
