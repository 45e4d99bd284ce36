#pragma once

/// Parts of the scheduler's core that its files share; not public.

#include "vcScheduler.h"

namespace verbenacroft::scheduler {

ShardContext ContextOf(const SchedulerState& aState,
                       const Shard& aShard,
                       TimePoint aNow);

/// The shard if this process owns it and its journal is open, or null.
Shard* FindOwned(SchedulerState& aState,
                 const std::string& aShard,
                 TimePoint aNow);

/// Address of the owner of any data centre's shard; empty if not known, and
/// then it is asked for.
std::string AddressOfOwner(SchedulerState& aState,
                           const std::string& aShard,
                           TimePoint aNow);

/// A shard on which the job may run now: one of this process's own if that
/// is allowed, else by hashing the job's name.
std::string ChooseShard(const SchedulerState& aState,
                        const JobSpec& aSpec,
                        TimePoint aNow);

/// Takes the first step of a request that is at the desk.
void StartRequest(SchedulerState& aState,
                  std::uint64_t aTicket,
                  TimePoint aNow);

/// Takes the next steps of all requests at the desk.
void TickDesk(SchedulerState& aState, TimePoint aNow);

void OnDeskStoreReply(SchedulerState& aState,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow);

void OnDeskPeerReply(SchedulerState& aState,
                     std::uint64_t aCall,
                     const std::optional<DeskAnswer>& aReply,
                     TimePoint aNow);

/// Journals the job of a claim that names the shard, in place of an earlier
/// life of the same job there.
/// @return the sequence number of the record.
std::uint64_t ReplaceJob(Shard& aShard, const JobClaim& aClaim, TimePoint aNow);

/// Writes ended jobs and moves of jobs to their claims.
void TickClaims(SchedulerState& aState, Shard& aShard, TimePoint aNow);

void OnClaimStoreReply(SchedulerState& aState,
                       std::uint64_t aCall,
                       const StoreReply& aReply,
                       TimePoint aNow);

void OnClaimPeerReply(SchedulerState& aState,
                      std::uint64_t aCall,
                      const std::optional<DeskAnswer>& aReply,
                      TimePoint aNow);

} // namespace verbenacroft::scheduler
