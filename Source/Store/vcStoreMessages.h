#pragma once

/// Messages to and from the platform's key-value service.

#include "vcFoundation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenacroft {

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

enum class StoreStatus
{
  kOk,
  kConflict,
  kNotFound,
  kRateLimited,
  kUnavailable,
  /// No answer: the call may or may not have taken effect.
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

/// Largest value that the store holds, in bytes.
constexpr std::size_t kStoreValueLimit = 1'000'000;

struct StoreRequest
{
  StoreOp mOp = StoreOp::kRead;
  /// The key; for a prefix read and for a watch, the prefix.
  std::string mKey;
  bool mIsPrefix = false;
  std::string mValue;
  /// A write or an erasure takes effect only if the key's revision is this;
  /// 0 means that the key must be absent.
  std::uint64_t mExpectedRevision = 0;
  /// Lease that the written key ends with; 0 for none.
  std::uint64_t mLease = 0;
  Duration mTtl{ 0 };
  /// A watch answers once an entry is newer than this revision.
  std::uint64_t mAfterRevision = 0;
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

struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  /// Revision of the store at which the key was last written.
  std::uint64_t mRevision = 0;
  std::uint64_t mLease = 0;
};
BOOST_DESCRIBE_STRUCT(StoreEntry, (), (mKey, mValue, mRevision, mLease))

struct StoreReply
{
  StoreStatus mStatus = StoreStatus::kOk;
  /// Revision of the store; for a write, the key's new revision.
  std::uint64_t mRevision = 0;
  std::uint64_t mLease = 0;
  /// How long a watch waited at the store.
  Duration mWaited{ 0 };
  /// Entries read; for a conflict, the entry as it stands.
  std::vector<StoreEntry> mEntries;
};
BOOST_DESCRIBE_STRUCT(StoreReply,
                      (),
                      (mStatus, mRevision, mLease, mWaited, mEntries))

/// Order in which calls are served when the budget is short.
enum class StorePriority
{
  kLease,
  kJournal,
  kConfiguration,
  kRest,
};

template<>
struct EnumTable<StorePriority>
{
  static constexpr auto kRows = std::to_array<NameRow<StorePriority>>({
    { StorePriority::kLease, "lease" },
    { StorePriority::kJournal, "journal" },
    { StorePriority::kConfiguration, "configuration" },
    { StorePriority::kRest, "rest" },
  });
};

/// A call that a core asks its shell to make.
struct StoreCall
{
  std::uint64_t mId = 0;
  /// Part of the core that asked; returned with the reply.
  std::string mRoute;
  StorePriority mPriority = StorePriority::kRest;
  StoreRequest mRequest;
};

/// Collects the calls of one step and numbers them.
struct StoreOutbox
{
  std::uint64_t mNextId = 1;
  std::vector<StoreCall> mCalls;
};

/// Adds a call and returns its number.
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

/// True if the store said that the call had no effect.
inline bool IsRefused(StoreStatus aStatus)
{
  return aStatus == StoreStatus::kRateLimited ||
         aStatus == StoreStatus::kUnavailable;
}

} // namespace verbenacroft
