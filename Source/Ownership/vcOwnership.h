#pragma once

/// Public header of the Ownership library: the store lease of one process,
/// its entry in the directory of its data centre, and exclusive ownership
/// of partitions with epochs.
///
/// The epoch of an ownership is the store's revision at which its key was
/// created: higher for each later owner. A lease is counted from the moment
/// its renewal was sent, on the holder's own monotonic clock, less a margin.

#include "vcStore.h"

#include <map>
#include <optional>
#include <set>

namespace verbenacroft {

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
  /// Address for peers.
  std::string mPeerAddress;
  bool mIsLeaving = false;
};
BOOST_DESCRIBE_STRUCT(Member,
                      (),
                      (mName, mDataCentre, mRole, mPeerAddress, mIsLeaving))

struct OwnershipSettings
{
  Duration mTtl{ 3'000 };
  /// Allowance for drift of the two clocks and for the path to the store.
  Duration mMargin{ 300 };
  Duration mRenewInterval{ 800 };
  Duration mScanInterval{ 500 };
  /// Delay of a takeover for each rank behind the first.
  Duration mRankDelay{ 700 };
};

/// Value of an ownership key.
struct OwnerRecord
{
  std::string mOwner;
  std::string mChange;
};
BOOST_DESCRIBE_STRUCT(OwnerRecord, (), (mOwner, mChange))

struct Partition
{
  /// Revision at which our key was created; 0 while not owned.
  std::uint64_t mEpoch = 0;
  std::uint64_t mClaimCall = 0;
  std::string mChange;
  /// Since when no owner has been seen.
  std::optional<TimePoint> mVacantSince;
  std::string mOwner;
  std::uint64_t mOwnerRevision = 0;
};

enum class OwnershipEventKind
{
  kGained,
  /// Taken by another process, or given up.
  kLost,
  /// The lease can no longer be shown to hold; another may take over.
  kLapsed,
};

struct OwnershipEvent
{
  OwnershipEventKind mKind = OwnershipEventKind::kGained;
  std::string mPartition;
  std::uint64_t mEpoch = 0;
};

struct OwnershipState
{
  OwnershipSettings mSettings;
  Member mSelf;
  /// Prefix of the keys, such as "dc/north/".
  std::string mPrefix;
  std::uint64_t mLease = 0;
  TimePoint mValidUntil = kNever;
  std::uint64_t mLeaseCall = 0;
  TimePoint mLeaseSentAt = kNever;
  bool mIsGranting = false;
  std::uint64_t mMemberCall = 0;
  std::uint64_t mMemberRevision = 0;
  std::uint64_t mMemberLease = 0;
  bool mMemberLeavingWritten = false;
  std::uint64_t mScanCall = 0;
  TimePoint mScanSentAt = kNever;
  TimePoint mScannedAt = kNever;
  /// Members of the data centre as last read, this process included.
  std::vector<Member> mMembers;
  std::map<std::string, Partition> mPartitions;
  std::vector<OwnershipEvent> mEvents;
  std::uint64_t mChanges = 0;
  bool mIsLeaving = false;
};

/// Sets which partitions this process competes for.
void SetPartitions(OwnershipState& aState,
                   const std::set<std::string>& aPartitions);

/// True while the lease is known to hold.
bool HoldsLease(const OwnershipState& aState, TimePoint aNow);

/// True if this process owns `aPartition` and its lease is known to hold.
bool Owns(const OwnershipState& aState,
          const std::string& aPartition,
          TimePoint aNow);

/// Renews, scans and claims; also notices a lapse. Call it first in each
/// step, so that a process that was frozen acts on nothing it lost.
void TickOwnership(OwnershipState& aState, TimePoint aNow, StoreOutbox& aOut);

/// Handles the reply to one of the calls with route "ownership".
void OnOwnershipReply(OwnershipState& aState,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow,
                      StoreOutbox& aOut);

/// Takes part in no more claims, and gives up what is owned by erasing the
/// keys, so that a successor need not wait for the lease to end.
void LeaveOwnership(OwnershipState& aState, StoreOutbox& aOut);

/// Gives up one partition by erasing its key.
void ReleasePartition(OwnershipState& aState,
                      const std::string& aPartition,
                      StoreOutbox& aOut);

} // namespace verbenacroft
