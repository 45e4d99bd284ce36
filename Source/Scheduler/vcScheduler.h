#pragma once

/// Public header of the Scheduler library: the core of the program
/// verbenacroft-scheduler. A scheduler owns shards, each of which holds part of
/// the workers of its data centre.
///
/// The core does no input or output. Every function takes the state, an event
/// and the current time, and adds the calls to be made to the outboxes in the
/// state (`mStore`, `mWorkerCalls`, `mPeerCalls`, `mReplies`); the program
/// sends them and reports their replies.

#include "vcShard.h"

namespace verbenacroft {

/// A job request that has not been answered yet.
struct JobRequest
{
  JobRequestOp mOp = JobRequestOp::kStatus;
  JobSpec mSpec;
  /// Name of the job.
  std::string mName;
  /// Shard of the job: the one chosen for a submission or named by a peer, then
  /// the one that the claim names.
  std::string mShard;
  /// When the request is answered as failed.
  TimePoint mDeadline{ 0 };
  /// Call to the store that is under way, or 0.
  std::uint64_t mCall = 0;
  /// True if the call under way is a read of the job's claim.
  bool mIsReading = false;
  /// Unique id of the write of the claim.
  std::string mChange;
  /// True once a write of the claim was not refused or a call to a peer was
  /// sent, so that the request may have taken effect.
  bool mMayHaveRun = false;
  /// Shard and sequence number of the record that has to become durable before
  /// the request is answered; the shard is empty if there is none.
  std::string mDurableShard;
  std::uint64_t mDurableSequence = 0;
  /// Call to a peer that is under way, or 0.
  std::uint64_t mPeerCall = 0;
  /// When to read the claim again, or `kNever`.
  TimePoint mRetryAt = kNever;
};

/// The answer to the job request with the ticket `mTicket`.
struct JobRequestReply
{
  std::uint64_t mTicket = 0;
  JobAnswer mAnswer;
};

/// A call to the owner of a shard.
struct PeerCall
{
  std::uint64_t mId = 0;
  std::string mAddress;
  PeerJobRequest mRequest;
};

/// Cached peer addresses of the shard owners in another data centre.
struct RemoteDirectory
{
  /// Peer address by shard.
  std::map<std::string, std::string> mOwnerAddresses;
  /// When the addresses were last read, and when a read was last sent.
  TimePoint mReadAt = kNever;
  TimePoint mRequestedAt = kNever;
  /// Call to the store that is under way, or 0.
  std::uint64_t mCall = 0;
};

/// Counts of events since the process started.
struct SchedulerCounters
{
  /// Shards taken over.
  std::uint64_t mTakeovers = 0;
  /// Ownerships that expired.
  std::uint64_t mExpirations = 0;
  /// Shards given up because their journal has a writer with a higher epoch.
  std::uint64_t mFenced = 0;
  std::uint64_t mWorkerCalls = 0;
};

/// Entire state of a scheduler, with its outboxes.
struct SchedulerState
{
  std::string mName;
  std::string mDataCentre;
  OwnershipState mOwnership;
  ConfigFollower mFollower;
  /// Shards that this process holds, by name.
  std::map<std::string, Shard> mShards;
  /// Instances of this data centre.
  std::vector<Instance> mInstances;
  ShardWeights mWeights;
  /// Racks by data centre, from the last instance list.
  std::map<std::string, std::set<std::string>> mRacks;
  /// Maximum of each resource over the instances of a data centre, from the
  /// last instance list.
  std::map<std::string, Resources> mMaxInstanceCapacity;
  /// Job requests that are not answered yet, by ticket.
  std::map<std::uint64_t, JobRequest> mJobRequests;
  /// Shard owners in other data centres, by data centre.
  std::map<std::string, RemoteDirectory> mRemote;
  std::uint64_t mNextTicket = 1;
  std::uint64_t mNextCall = 1;
  /// True once `LeaveScheduler` was called.
  bool mIsLeaving = false;
  /// Minimum time between two writes of one shard's journal, in milliseconds.
  Duration mFlushInterval{ 50 };
  SchedulerCounters mCounters;

  StoreOutbox mStore;
  std::vector<WorkerCall> mWorkerCalls;
  std::vector<PeerCall> mPeerCalls;
  std::vector<JobRequestReply> mReplies;
};

/// Returns the initial state of a scheduler with the name, data centre and
/// addresses of `aSelf`.
SchedulerState MakeScheduler(const Member& aSelf);

/// Shard of the workers of a rack, by rendezvous hashing of the rack's name.
std::string ShardOfRack(const DataCentre& aDataCentre,
                        const std::string& aRack);

/// Does all periodic work: ownership, planning, synchronization with workers,
/// claims, journals and pending job requests.
void TickScheduler(SchedulerState& aState, TimePoint aNow);

/// Handles the store's reply to a call; `aRoute` names the component that made
/// the call.
void OnStoreReply(SchedulerState& aState,
                  const std::string& aRoute,
                  std::uint64_t aCall,
                  const StoreReply& aReply,
                  TimePoint aNow);

/// Handles a worker's reply; no value if none arrived in time. A reply to any
/// call but the current one is ignored and counted.
void OnWorkerReply(SchedulerState& aState,
                   const std::string& aShard,
                   const std::string& aWorker,
                   std::uint64_t aCall,
                   const std::optional<WorkerSyncReply>& aReply,
                   TimePoint aNow);

/// Handles a peer's reply; no value if none arrived in time.
void OnPeerReply(SchedulerState& aState,
                 std::uint64_t aCall,
                 const std::optional<JobAnswer>& aReply,
                 TimePoint aNow);

/// Handles the instance list of all data centres.
void OnInstances(SchedulerState& aState,
                 std::vector<Instance> aInstances,
                 TimePoint aNow);

/// Handles a message of the configuration feed that was requested at `aSentAt`.
void OnConfigFeed(SchedulerState& aState,
                  const ConfigFeed& aFeed,
                  TimePoint aSentAt,
                  TimePoint aNow);

/// Accepts a job request, or answers it at once if it is invalid or can't be
/// handled now.
/// @return the ticket under which the answer is added to `mReplies`.
std::uint64_t SubmitJobRequest(SchedulerState& aState,
                               JobRequest aRequest,
                               TimePoint aNow);

/// Returns the target tables that differ from those the router has. A new owner
/// publishes a shard's table only once every worker that has tasks has reported
/// them or has missed a synchronization.
TargetReply HandleTargetRequest(const SchedulerState& aState,
                                const TargetRequest& aRequest,
                                TimePoint aNow);

/// Starts the handover before the process ends: no tasks are started any more,
/// and each shard is released once its journal is written.
void LeaveScheduler(SchedulerState& aState, TimePoint aNow);

/// True once all shards are released and all job requests are answered.
bool HasLeft(const SchedulerState& aState);

} // namespace verbenacroft
