#pragma once

/// What the former owner of a shard tells the new one. A node that has lost a
/// shard, but not its memory, knows how long the leases last that it renewed.
/// The new owner, which can only assume the longest ones, asks for that.

#include "vcNodeContext.h"

namespace verbenacroft {

struct WorkerSetRecord;

/// A worker and the time until its runs have ended.
struct WorkerRunsEnd
{
  /// Name of the worker.
  std::string mWorker;
  /// Time in ms, from the answer, by which all runs on the worker have ended.
  std::int64_t mEndInMs = 0;
};
BOOST_DESCRIBE_STRUCT(WorkerRunsEnd, (), (mWorker, mEndInMs))

/// Answer of a node that no longer runs a shard and won't act on it again.
struct FormerOwnerAnswer
{
  /// Name of the answering node.
  std::string mNode;
  /// Generation of the worker set with which it ran the shard last; 0 if this
  /// process hasn't run the shard.
  std::uint32_t mGeneration = 0;
  /// All workers that it knew.
  std::vector<WorkerRunsEnd> mWorkers;
};
BOOST_DESCRIBE_STRUCT(FormerOwnerAnswer, (), (mNode, mGeneration, mWorkers))

/// Path of the request, followed by the number of the shard. The body is the
/// epoch of the new owner.
constexpr std::string_view kFormerOwnerPath = "/peer/former-owner/";

/// The owner that a claim with this worker set before it replaces.
FormerOwner FormerOwnerOf(const WorkerSetRecord& aEarlier);

/// Answers a new owner. If this node still runs an earlier epoch of the shard,
/// it stops that first.
FormerOwnerAnswer AnswerNewOwner(NodeContext& aNode,
                                 std::uint32_t aShard,
                                 std::uint64_t aNewEpoch);

/// Remembers what a runner that has stopped knew of its workers.
void RememberStoppedShard(NodeContext& aNode,
                          std::uint32_t aShard,
                          std::uint32_t aGeneration,
                          const DispatchShard& aState,
                          TimePoint aNow);

/// Asks the former owner of a shard.
/// @return nothing if it can't be reached, or if the answer is that of another
/// node or can't be decoded
asio::awaitable<std::optional<FormerOwnerAnswer>>
AskFormerOwner(NodeContext& aNode, std::uint32_t aShard, std::uint64_t aEpoch);

/// Shortens the wait for unanswered workers to what the former owner says.
/// @param aGeneration generation of this owner's worker set
void ApplyFormerOwnerAnswer(DispatchShard& aShard,
                            const FormerOwner& aFormer,
                            const FormerOwnerAnswer& aAnswer,
                            std::uint32_t aGeneration,
                            TimePoint aNow);

} // namespace verbenacroft
