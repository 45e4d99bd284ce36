#pragma once

/// Nodes of one fleet, with the very code that the program runs, against a
/// store and workers in memory, on a clock of the test's own. Each seed draws
/// its own faults; after them the fleet has to keep every promise.

#include "vcFleetStore.h"
#include "vcFleetWorkers.h"

#include <functional>
#include <memory>

namespace verbenacroft {

/// One life of a node's process.
struct NodeLife
{
  /// Declared first: it has to outlive what the node holds.
  std::unique_ptr<asio::io_context> mIo;
  std::unique_ptr<NodeContext> mNode;
  bool mIsPaused = false;
  /// End of its last pause.
  TimePoint mGoesOnAt{ kNever };
};

/// What happens to a fleet.
enum class FleetPlay
{
  /// Faults of the store, the nodes and the workers.
  kFaults,
  /// A release replaces half of the workers; then the owner is paused and a
  /// worker of long-running tasks crashes.
  kRelease,
  /// A release amid faults, in which some workers go on instead of leaving.
  kReleaseAmidFaults,
  /// The only faults are late events of watches. Every node then is in touch
  /// all the time, and cancellations and evacuations have to take effect.
  kWatches,
  /// The seed also draws nodes with few processors. After the faults the store
  /// forgets all leases, once with the large nodes alive and once without them.
  kSmallNodes,
  /// Some workers are gone for good, then three owners lose the shard one after
  /// another. Lost long-running tasks run again soon after calm has returned.
  kSuccessiveTakeovers,
  /// The owner reaches only some of the workers for a long time, and neither
  /// the store nor the other nodes. These reach only the other workers.
  kLongPartition,
  /// The link or the processor of every node is too small for a call to each
  /// worker at each end of a task, but carries one or two a second. In half of
  /// the seeds the owner is also killed. The workers are well.
  kChokedOwner,
  /// Some tasks crash each worker that starts them, and owners are killed just
  /// then. The worker returns under its id or under a new one.
  kDeadlyTasks,
  /// An owner and some workers are lost for good at the same moment. The
  /// long-running tasks of these workers run again in time.
  kOwnerAndWorkersLost,
  /// Some workers are gone for good, and at that time and after it one owner
  /// after another is lost, each before it has settled. The long-running tasks
  /// of these workers run again in time after the last loss.
  kOwnersLostInSeries,
  /// An owner and some workers are lost for good. Then one owner after another
  /// hands its shard over before it has settled, and draining workers leave at
  /// that time. No long-running task is without a run for longer than a loss
  /// allows, since all that follows it is planned.
  kLeavesBeforeSettled,
  /// The same, and some owners are killed, paused or turned away in between.
  kLossesAndLeaves,
  /// An owner and some workers are lost for good at the same moment, and the
  /// nodes that are left claim the shard late: all but the owner are small. The
  /// long-running tasks of these workers run again in time.
  kLateClaims,
  /// Several times some workers crash together, are back under their ids soon
  /// and are cut off for some seconds soon after that. Calls that are sent
  /// while a worker is down reach its next incarnation. In half of the seeds an
  /// owner is killed or paused at that time. Workers grant longer leases than
  /// owners may ask for.
  kRestartsUnderId,
  /// Two teams share the fleet, and one of them has a quota, which versions of
  /// the configuration lower and raise. The faults are those of `kFaults`.
  kTeams,
  /// Workers are cut off for longer than their leases last, so that tasks start
  /// elsewhere whose ends are heard later. Steps have a maximum per worker, on
  /// odd seeds workers are full, and stops take their time. In half of the
  /// seeds an owner is killed or paused meanwhile, and in half of them some
  /// workers carry orders out late.
  kLateEnds,
  /// The store does submissions seconds late and doesn't answer them. Their
  /// callers cancel these jobs at any node, and some send them again.
  kLateSubmissions,
  /// Long-running tasks take most of the workers' processors. A rack of workers
  /// is lost at one moment and comes back under new ids, and later some workers
  /// leave. In some seeds an owner is killed beside the loss. No
  /// long-running task is without a run for long beside room for it.
  kRackLostAndBack,
};

template<>
struct EnumTable<FleetPlay>
{
  static constexpr auto kRows = std::to_array<NameRow<FleetPlay>>({
    { FleetPlay::kFaults, "faults" },
    { FleetPlay::kRelease, "release" },
    { FleetPlay::kReleaseAmidFaults, "release-amid-faults" },
    { FleetPlay::kWatches, "watches" },
    { FleetPlay::kSmallNodes, "small-nodes" },
    { FleetPlay::kSuccessiveTakeovers, "successive-takeovers" },
    { FleetPlay::kLongPartition, "long-partition" },
    { FleetPlay::kChokedOwner, "choked-owner" },
    { FleetPlay::kDeadlyTasks, "deadly-tasks" },
    { FleetPlay::kOwnerAndWorkersLost, "owner-and-workers-lost" },
    { FleetPlay::kOwnersLostInSeries, "owners-lost-in-series" },
    { FleetPlay::kLeavesBeforeSettled, "leaves-before-settled" },
    { FleetPlay::kLossesAndLeaves, "losses-and-leaves" },
    { FleetPlay::kLateClaims, "late-claims" },
    { FleetPlay::kRestartsUnderId, "restarts-under-id" },
    { FleetPlay::kTeams, "teams" },
    { FleetPlay::kLateEnds, "late-ends" },
    { FleetPlay::kLateSubmissions, "late-submissions" },
    { FleetPlay::kRackLostAndBack, "rack-lost-and-back" },
  });
};

/// True if much of the work of the play lasts, so that most workers run some of
/// it.
constexpr bool HasManyLastingJobs(FleetPlay aPlay)
{
  return aPlay == FleetPlay::kSuccessiveTakeovers ||
         aPlay == FleetPlay::kLongPartition ||
         aPlay == FleetPlay::kOwnerAndWorkersLost ||
         aPlay == FleetPlay::kOwnersLostInSeries ||
         aPlay == FleetPlay::kLeavesBeforeSettled ||
         aPlay == FleetPlay::kLossesAndLeaves ||
         aPlay == FleetPlay::kLateClaims ||
         aPlay == FleetPlay::kRestartsUnderId;
}

struct FleetOptions
{
  FleetPlay mPlay = FleetPlay::kFaults;
  std::uint64_t mSeed = 1;
  std::uint32_t mNodes = 4;
  std::uint32_t mShards = 3;
  std::uint32_t mWorkers = 6;
  /// Jobs that are submitted together, every 250 ms.
  std::uint32_t mJobsAtOnce = 1;
  /// How many times as wide limited links are, and as fast small processors.
  double mLinkFactor = 1;
  /// Time in which faults begin.
  Duration mFaultTime{ 25'000 };
  /// Time after the last fault has ended.
  Duration mCalmTime{ 22'000 };
};

struct FleetResult
{
  std::vector<std::string> mProblems;
  std::vector<std::string> mFaults;
};

/// Plays one seed.
FleetResult PlayFleet(const FleetOptions& aOptions);

} // namespace verbenacroft
