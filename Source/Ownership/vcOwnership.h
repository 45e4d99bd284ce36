#pragma once

/// Public header of the Ownership library: the store lease of a process, its
/// entry in the directory of its data centre, and its exclusive ownership of
/// partitions. A partition is known here by its name only; what it contains is
/// up to the caller.
///
/// The epoch of an ownership is the store revision at which its key was
/// created, so each later owner has a higher epoch. The validity of a lease is
/// counted from the time when its renewal was sent, on the holder's own
/// monotonic clock, and is shortened by a margin.

#include "vcStore.h"

#include <map>
#include <optional>
#include <set>

namespace verbenacroft {

/// Kind of a process.
enum class Role
{
  kRouter,
  kScheduler,
  kConfig,
};

template<>
struct EnumTable<Role>
{
  static constexpr auto kRows = std::to_array<NameRow<Role>>({
    { Role::kRouter, "router" },
    { Role::kScheduler, "scheduler" },
    { Role::kConfig, "config" },
  });
};

/// Entry of one process in the directory of its data centre.
struct Member
{
  std::string mName;
  std::string mDataCentre;
  Role mRole = Role::kScheduler;
  /// Address at which peers reach the process.
  std::string mPeerAddress;
  bool mIsLeaving = false;
};
BOOST_DESCRIBE_STRUCT(Member,
                      (),
                      (mName, mDataCentre, mRole, mPeerAddress, mIsLeaving))

/// Timing of leases and takeovers.
struct OwnershipSettings
{
  /// Time to live of the lease in the store.
  Duration mTtl{ 3'000 };
  /// Last part of the time to live, in which the holder no longer relies on the
  /// lease. It allows for drift between the clocks of the holder and the store
  /// and for the network delay between them.
  Duration mMargin{ 300 };
  Duration mRenewInterval{ 800 };
  /// Interval between reads of owners and members.
  Duration mScanInterval{ 500 };
  /// Delay before claiming a partition without an owner, for each candidate
  /// that ranks before this process.
  Duration mTakeoverDelayPerRank{ 700 };
};

/// Value of an ownership key.
struct OwnerRecord
{
  /// Name of the process.
  std::string mOwner;
  /// Unique identifier of the claim; it shows whether a claim without a reply
  /// succeeded.
  std::string mChange;
};
BOOST_DESCRIBE_STRUCT(OwnerRecord, (), (mOwner, mChange))

/// State of one partition as seen by this process.
struct Partition
{
  /// Revision at which the key of this process was created; 0 while this
  /// process is not the owner.
  std::uint64_t mEpoch = 0;
  /// Number of the claim call that waits for a reply; 0 for none.
  std::uint64_t mClaimCall = 0;
  /// Identifier of the last claim, as in OwnerRecord.
  std::string mChange;
  /// Time since which the partition has had no owner.
  std::optional<TimePoint> mVacantSince;
  /// Owner as last read, and the revision of its key.
  std::string mOwner;
  std::uint64_t mOwnerRevision = 0;
};

/// Change of the ownership of a partition.
enum class OwnershipEventKind
{
  kGained,
  /// Another process took the partition, or this process released it.
  kLost,
  /// The lease may have expired, so another process may take over.
  kExpired,
};

struct OwnershipEvent
{
  OwnershipEventKind mKind = OwnershipEventKind::kGained;
  std::string mPartition;
  /// Epoch of this process's ownership that begins or ends with the event.
  std::uint64_t mEpoch = 0;
};

/// Ownership state of one process. Fields that end in Call hold the number of
/// the store call that waits for a reply, 0 for none.
struct OwnershipState
{
  OwnershipSettings mSettings;
  Member mSelf;
  /// Prefix of the keys, such as "dc/north/".
  std::string mPrefix;
  std::uint64_t mLease = 0;
  /// Time until which the lease is known to be valid.
  TimePoint mValidUntil = kNever;
  std::uint64_t mLeaseCall = 0;
  TimePoint mLeaseSentAt = kNever;
  /// The lease call is a grant, not a renewal.
  bool mIsGranting = false;
  std::uint64_t mMemberCall = 0;
  /// Revision of the directory entry as last known; 0 if there is none.
  std::uint64_t mMemberRevision = 0;
  /// Lease under which the directory entry was last written.
  std::uint64_t mMemberLease = 0;
  /// Value of `mIsLeaving` in the last write of the directory entry.
  bool mMemberLeavingWritten = false;
  std::uint64_t mScanCall = 0;
  TimePoint mScanSentAt = kNever;
  /// Time at which the last successful scan was sent.
  TimePoint mScannedAt = kNever;
  /// Members of the data centre as last read, including this process.
  std::vector<Member> mMembers;
  /// Partitions that this process may claim or still owns, by name.
  std::map<std::string, Partition> mPartitions;
  /// Events that the caller has not taken yet.
  std::vector<OwnershipEvent> mEvents;
  /// Number of claims so far; part of the identifier of a claim.
  std::uint64_t mChanges = 0;
  /// The process releases its partitions and claims none.
  bool mIsLeaving = false;
};

/// Sets the partitions that this process may claim. A partition that it still
/// owns is kept until it is released or lost.
void SetPartitions(OwnershipState& aState,
                   const std::set<std::string>& aPartitions);

/// True while the lease is known to be valid.
bool HoldsLease(const OwnershipState& aState, TimePoint aNow);

/// True if this process owns `aPartition` and its lease is known to be valid.
bool Owns(const OwnershipState& aState,
          const std::string& aPartition,
          TimePoint aNow);

/// Checks whether the lease has expired, and sends due renewals, scans and
/// claims. Call it first in each step, so that a process that was paused
/// does not act on partitions that it has lost.
void TickOwnership(OwnershipState& aState, TimePoint aNow, StoreOutbox& aOut);

/// Handles the reply to a store call with route "ownership".
void OnOwnershipReply(OwnershipState& aState,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow,
                      StoreOutbox& aOut);

/// Stops claiming partitions, and releases all owned ones by erasing their
/// keys, so that a successor does not have to wait for the lease to expire.
void LeaveOwnership(OwnershipState& aState, StoreOutbox& aOut);

/// Releases one partition by erasing its key.
void ReleasePartition(OwnershipState& aState,
                      const std::string& aPartition,
                      StoreOutbox& aOut);

} // namespace verbenacroft
