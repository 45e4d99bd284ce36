#pragma once

/// Records of a shard's worker set in the store, from which the next owner
/// learns where tasks of earlier owners may still run.

#include "vcNodeContext.h"

namespace verbenacroft {

/// A worker that a shard uses, as recorded for the next owner.
struct WorkerSetMember
{
  /// Name of the worker.
  std::string mWorker;
  /// Address of the worker, as `host:port`.
  std::string mAddress;

  bool operator==(const WorkerSetMember&) const = default;
};
BOOST_DESCRIBE_STRUCT(WorkerSetMember, (), (mWorker, mAddress))

/// Record of a shard's worker set.
struct WorkerSetRecord
{
  /// Number of claims of the shard so far. Each owner derives its own range of
  /// run numbers from it, so that runs of different owners never have the same
  /// number.
  std::uint32_t mGeneration = 0;
  std::vector<WorkerSetMember> mWorkers;
  /// Node that may send orders to the workers; empty once it has handed over
  /// the shard.
  std::string mOwner;
  /// Everything that earlier owners started is accounted for.
  bool mIsSettled = false;
  /// The previous owner had certainly stopped acting when this owner claimed
  /// the shard.
  bool mHasEarlierStopped = false;
};
BOOST_DESCRIBE_STRUCT(
  WorkerSetRecord,
  (),
  (mGeneration, mWorkers, mOwner, mIsSettled, mHasEarlierStopped))

/// A member of the worker set that the owner doesn't use at present.
struct InactiveWorker
{
  /// Name of the worker.
  std::string mWorker;
  /// Time in ms, from any moment after the record was written, by which all
  /// runs on the worker have ended; negative if they have ended before.
  std::int64_t mRunsEndInMs = 0;
  /// No job that was accepted after this revision of the store was started on
  /// the worker.
  std::uint64_t mNoJobsAfter = 0;
};
BOOST_DESCRIBE_STRUCT(InactiveWorker, (), (mWorker, mRunsEndInMs, mNoJobsAfter))

/// Record of the inactive members of a shard's worker set. Not part of
/// `WorkerSetRecord`, since a program that doesn't know a key of a record can't
/// decode the record. Such a program claims a shard without this record, which
/// then holds for no later owner.
struct InactiveWorkersRecord
{
  /// Generation of the worker set that the record belongs to.
  std::uint32_t mGeneration = 0;
  std::vector<InactiveWorker> mWorkers;
  /// `DispatchBounds::mLeaseLimit` in ms that all owners kept to whose runs may
  /// last; 0 if it isn't known of all of them.
  std::int64_t mLeaseLimitMs = 0;
};
BOOST_DESCRIBE_STRUCT(InactiveWorkersRecord,
                      (),
                      (mGeneration, mWorkers, mLeaseLimitMs))

/// Record of the incarnations of a shard's workers, from which the next owner
/// learns which of them have restarted. A record of its own, for the same
/// reason.
struct IncarnationsRecord
{
  /// Generation of the worker set that the record belongs to.
  std::uint32_t mGeneration = 0;
  /// Start of the incarnation in ms since 1970, by name of the worker. Its
  /// owner has used no other one without writing this record again.
  std::map<std::string, std::int64_t> mWorkers;

  bool operator==(const IncarnationsRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(IncarnationsRecord, (), (mGeneration, mWorkers))

/// The record that `aNode` writes when it claims a shard.
/// @param aEarlier record of the previous owner
WorkerSetRecord NextWorkerSet(const WorkerSetRecord& aEarlier,
                              const std::string& aNode);

/// The inactive workers that go with `NextWorkerSet`. They stay inactive until
/// the new owner records them as active; it is bound like the previous one.
/// @param aRecorded the record in the store
/// @param aEarlier worker set of the previous owner
/// @param aLeaseLimit limit of the new owner
InactiveWorkersRecord NextInactiveWorkers(
  const InactiveWorkersRecord& aRecorded,
  const WorkerSetRecord& aEarlier,
  Duration aLeaseLimit);

/// The incarnations that go with `NextWorkerSet`: those that the previous owner
/// knew.
/// @param aRecorded the record in the store
/// @param aEarlier worker set of the previous owner
IncarnationsRecord NextIncarnations(const IncarnationsRecord& aRecorded,
                                    const WorkerSetRecord& aEarlier);

/// Inactive members of the worker set according to the record in the store, by
/// name; none if the record belongs to an earlier claim.
std::map<std::string, InactiveWorker> InactiveMembers(
  const InactiveWorkersRecord& aRecorded,
  const WorkerSetRecord& aWorkerSet);

/// Adds the writes of both records.
void AddWorkerSet(KvTransaction& aWrite,
                  std::uint32_t aShard,
                  const WorkerSetRecord& aWorkerSet,
                  const InactiveWorkersRecord& aInactive);

} // namespace verbenacroft
