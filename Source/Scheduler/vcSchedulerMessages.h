#pragma once

/// Messages between a scheduler and its callers, peers and routers.

#include "vcShardData.h"

namespace verbenacroft {

/// Version of the messages between the processes; others are refused.
constexpr std::string_view kProtocolVersion = "1";

enum class DeskOp
{
  kSubmit,
  kStatus,
  kCancel,
  /// From a peer: take up the job whose claim names the shard.
  kAdopt,
  kPeerStatus,
  kPeerCancel,
};

template<>
struct EnumTable<DeskOp>
{
  static constexpr auto kRows = std::to_array<NameRow<DeskOp>>({
    { DeskOp::kSubmit, "submit" },
    { DeskOp::kStatus, "status" },
    { DeskOp::kCancel, "cancel" },
    { DeskOp::kAdopt, "adopt" },
    { DeskOp::kPeerStatus, "peer-status" },
    { DeskOp::kPeerCancel, "peer-cancel" },
  });
};

enum class DeskStatus
{
  kOk,
  kAccepted,
  kInvalid,
  kConflict,
  kNotFound,
  /// Nothing was done; the same request may be sent again.
  kNotRun,
  /// The request may have taken effect; repeating it is safe.
  kUnknown,
};

template<>
struct EnumTable<DeskStatus>
{
  static constexpr auto kRows = std::to_array<NameRow<DeskStatus>>({
    { DeskStatus::kOk, "ok" },
    { DeskStatus::kAccepted, "accepted" },
    { DeskStatus::kInvalid, "invalid" },
    { DeskStatus::kConflict, "conflict" },
    { DeskStatus::kNotFound, "not-found" },
    { DeskStatus::kNotRun, "not-run" },
    { DeskStatus::kUnknown, "unknown" },
  });
};

struct DeskAnswer
{
  DeskStatus mStatus = DeskStatus::kOk;
  std::string mError;
  JobStatus mJob;
  Faults mFaults;
};
BOOST_DESCRIBE_STRUCT(DeskAnswer, (), (mStatus, mError, mJob, mFaults))

/// A request about a job, from a peer.
struct PeerJobRequest
{
  DeskOp mOp = DeskOp::kAdopt;
  std::string mName;
  std::string mShard;
};
BOOST_DESCRIBE_STRUCT(PeerJobRequest, (), (mOp, mName, mShard))

/// A running replica of a service, as routers see it.
struct Target
{
  std::string mTask;
  std::string mService;
  std::string mInstance;
  std::string mAddress;
  std::int64_t mSlots = 0;
  /// A leaving target gets no new requests.
  bool mIsLeaving = false;
};
BOOST_DESCRIBE_STRUCT(
  Target,
  (),
  (mTask, mService, mInstance, mAddress, mSlots, mIsLeaving))

/// All targets of one shard, as its owner knows them.
struct TargetTable
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::uint64_t mVersion = 0;
  std::vector<Target> mTargets;
};
BOOST_DESCRIBE_STRUCT(TargetTable, (), (mShard, mEpoch, mVersion, mTargets))

/// What a router already has of a shard.
struct TableVersion
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::uint64_t mVersion = 0;
};
BOOST_DESCRIBE_STRUCT(TableVersion, (), (mShard, mEpoch, mVersion))

struct TargetQuestion
{
  std::vector<TableVersion> mKnown;
};
BOOST_DESCRIBE_STRUCT(TargetQuestion, (), (mKnown))

/// Tables that are newer than what the router has.
struct TargetAnswer
{
  std::vector<TargetTable> mTables;
};
BOOST_DESCRIBE_STRUCT(TargetAnswer, (), (mTables))

} // namespace verbenacroft
