#pragma once

/// Messages between a scheduler and its callers, other schedulers (peers) and
/// routers. Members are encoded as JSON under their own names.

#include "vcShardData.h"

namespace verbenacroft {

/// Version of the messages between the processes. Messages of any other
/// version are refused.
constexpr std::string_view kProtocolVersion = "1";

/// Operations of a job request. Callers submit, query and cancel jobs; the
/// other operations come from peers, or from this process for a shard of its
/// own.
enum class JobRequestOp
{
  kSubmit,
  kStatus,
  kCancel,
  /// Adopt the job whose claim names the shard.
  kAdopt,
  kPeerStatus,
  kPeerCancel,
};

template<>
struct EnumTable<JobRequestOp>
{
  static constexpr auto kRows = std::to_array<NameRow<JobRequestOp>>({
    { JobRequestOp::kSubmit, "submit" },
    { JobRequestOp::kStatus, "status" },
    { JobRequestOp::kCancel, "cancel" },
    { JobRequestOp::kAdopt, "adopt" },
    { JobRequestOp::kPeerStatus, "peer-status" },
    { JobRequestOp::kPeerCancel, "peer-cancel" },
  });
};

/// Outcome of a job request.
enum class JobRequestStatus
{
  kOk,
  /// The job is durably recorded by the shard's owner.
  kAccepted,
  /// The job specification has faults; see `mFaults` of the answer.
  kInvalid,
  /// A job of the same name has a different specification.
  kConflict,
  kNotFound,
  /// The request had no effect and may be sent again.
  kNotRun,
  /// The request may have taken effect. It is safe to send it again.
  kUnknown,
};

template<>
struct EnumTable<JobRequestStatus>
{
  static constexpr auto kRows = std::to_array<NameRow<JobRequestStatus>>({
    { JobRequestStatus::kOk, "ok" },
    { JobRequestStatus::kAccepted, "accepted" },
    { JobRequestStatus::kInvalid, "invalid" },
    { JobRequestStatus::kConflict, "conflict" },
    { JobRequestStatus::kNotFound, "not-found" },
    { JobRequestStatus::kNotRun, "not-run" },
    { JobRequestStatus::kUnknown, "unknown" },
  });
};

/// Answer to a job request. `mError` is empty unless the request failed.
struct JobAnswer
{
  JobRequestStatus mStatus = JobRequestStatus::kOk;
  std::string mError;
  JobStatus mJob;
  Faults mFaults;
};
BOOST_DESCRIBE_STRUCT(JobAnswer, (), (mStatus, mError, mJob, mFaults))

/// A job request from a peer to the owner of the shard `mShard`.
struct PeerJobRequest
{
  JobRequestOp mOp = JobRequestOp::kAdopt;
  std::string mName;
  std::string mShard;
};
BOOST_DESCRIBE_STRUCT(PeerJobRequest, (), (mOp, mName, mShard))

/// A running replica of a service, as published to routers.
struct Target
{
  std::string mTask;
  std::string mService;
  std::string mInstance;
  std::string mAddress;
  /// Request slots of the target, which the routers share among them.
  std::int64_t mSlots = 0;
  /// A leaving target gets no new requests.
  bool mIsLeaving = false;
};
BOOST_DESCRIBE_STRUCT(
  Target,
  (),
  (mTask, mService, mInstance, mAddress, mSlots, mIsLeaving))

/// All targets of one shard, as its owner knows them. `mVersion` grows with
/// every change within an epoch.
struct TargetTable
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::uint64_t mVersion = 0;
  std::vector<Target> mTargets;
};
BOOST_DESCRIBE_STRUCT(TargetTable, (), (mShard, mEpoch, mVersion, mTargets))

/// Epoch and version of the table that a router has for a shard.
struct TableVersion
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::uint64_t mVersion = 0;
};
BOOST_DESCRIBE_STRUCT(TableVersion, (), (mShard, mEpoch, mVersion))

/// A router's request for target tables, with the versions that it has.
struct TargetRequest
{
  std::vector<TableVersion> mKnown;
};
BOOST_DESCRIBE_STRUCT(TargetRequest, (), (mKnown))

/// Tables whose epoch or version differs from the one that the router has.
struct TargetReply
{
  std::vector<TargetTable> mTables;
};
BOOST_DESCRIBE_STRUCT(TargetReply, (), (mTables))

} // namespace verbenacroft
