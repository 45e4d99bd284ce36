#pragma once

/// Internal functions that the files of the scheduler's core share.

#include "vcScheduler.h"

namespace verbenacroft::scheduler {

/// Returns the current inputs of the shard's functions. While the scheduler is
/// leaving, they allow no task to be started.
ShardContext ContextOf(const SchedulerState& aState,
                       const Shard& aShard,
                       TimePoint aNow);

/// Returns the shard if this process owns it and its journal is open, or null.
Shard* FindOwnedShard(SchedulerState& aState,
                      const std::string& aShard,
                      TimePoint aNow);

/// Peer address of the shard's owner, or an empty string if it is not known.
/// For a shard of another data centre, the address comes from a cached
/// directory. If the cache is out of date, a read from the store is started,
/// and the cached address is returned in the meantime.
std::string FindOwnerAddress(SchedulerState& aState,
                             const std::string& aShard,
                             TimePoint aNow);

/// Chooses the shard for a job by rendezvous hashing of the job's name, or
/// returns an empty string if there is none. If the job may run in this data
/// centre and any shard here is usable, only the usable shards here are
/// considered. A shard is not usable if this process holds it but is not its
/// valid owner with an open journal. Shards without racks are left out.
std::string ChooseShard(const SchedulerState& aState,
                        const JobSpec& aSpec,
                        TimePoint aNow);

/// Starts a job request: handles it here if a shard that this process owns has
/// the job, unless the job is moving or a submission differs from it. Else
/// reads the job's claim or, for a submission, writes it.
void StartRequest(SchedulerState& aState,
                  std::uint64_t aTicket,
                  TimePoint aNow);

/// Advances all pending job requests: answers those whose records are durable,
/// retries those that are due, and fails those past their deadline.
void TickJobRequests(SchedulerState& aState, TimePoint aNow);

/// Handles the store's reply to a call of a job request.
void OnJobRequestStoreReply(SchedulerState& aState,
                            std::uint64_t aCall,
                            const StoreReply& aReply,
                            TimePoint aNow);

/// Handles a peer's reply to a call of a job request; no value if none arrived
/// in time.
void OnJobRequestPeerReply(SchedulerState& aState,
                           std::uint64_t aCall,
                           const std::optional<JobAnswer>& aReply,
                           TimePoint aNow);

/// Journals the job of a claim that names the shard. A job of the same name on
/// the shard, which is of an earlier generation, is removed first.
/// @return the sequence number of the record.
std::uint64_t ReplaceJob(Shard& aShard, const JobClaim& aClaim, TimePoint aNow);

/// Starts claim updates for jobs that have ended or that move to another shard.
void TickClaims(SchedulerState& aState, Shard& aShard, TimePoint aNow);

/// Handles the store's reply to the read or write of a claim.
void OnClaimStoreReply(SchedulerState& aState,
                       std::uint64_t aCall,
                       const StoreReply& aReply,
                       TimePoint aNow);

/// Handles the reply of a target shard's owner to a moved job; no value if none
/// arrived in time.
void OnClaimPeerReply(SchedulerState& aState,
                      std::uint64_t aCall,
                      const std::optional<JobAnswer>& aReply,
                      TimePoint aNow);

} // namespace verbenacroft::scheduler
