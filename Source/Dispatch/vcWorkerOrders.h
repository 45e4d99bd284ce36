#pragma once

/// Orders that a shard's owner sends to a worker and the worker's answers. The
/// calls are function objects, so that the scheduling core does not depend on
/// the transport.

#include "vcBatch.h"
#include "vcHttp.h"

#include <functional>

namespace verbenacroft {

/// Name and address of a worker. The name is sent with each call, so that a
/// process at the address that is not this worker can refuse the call.
struct WorkerAddress
{
  std::string mWorker;
  Endpoint mEndpoint;
};

/// How a run of a task ended.
enum class RunEnd
{
  kDone,
  kFailed,
  /// Stopped on request.
  kStopped,
  /// Its lease expired without a renewal.
  kLeaseExpired,
  /// Another member of its gang ended, so that the gang was broken.
  kGangBroken,
  /// Gang timeout: it waited too long for the other members of its gang.
  kGangTimeout,
};

template<>
struct EnumTable<RunEnd>
{
  static constexpr auto kRows = std::to_array<NameRow<RunEnd>>({
    { RunEnd::kDone, "done" },
    { RunEnd::kFailed, "failed" },
    { RunEnd::kStopped, "stopped" },
    { RunEnd::kLeaseExpired, "lapsed" },
    { RunEnd::kGangBroken, "broken" },
    { RunEnd::kGangTimeout, "alone" },
  });
};

/// A run that a worker reports as running.
struct RunningTask
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::string mCheckpoint;
  /// Progress of the task in percent; a long-running task reports 100 once it
  /// works normally.
  std::int64_t mProgressPercent = 0;
  /// For a serving task, its tail latency in ms over the last half second; for
  /// any other task, the processors in use, in thousandths.
  std::int64_t mMeasured = 0;
};

/// The end of a run, as its worker reports it.
struct EndedRun
{
  /// Number of the end within the worker's incarnation, from 1.
  std::uint64_t mIndex = 0;
  TaskId mTask;
  std::uint32_t mRun = 0;
  RunEnd mRunEnd = RunEnd::kDone;
  std::string mCheckpoint;
};

/// Outcome of an order or a renewal.
enum class OrderOutcome
{
  kDone,
  /// The worker has seen a higher epoch.
  kStaleEpoch,
  /// The worker knows a run of the task with the same or a higher number.
  kOldRun,
  /// The order's deadline had passed on the worker's clock.
  kLate,
  /// The worker has too little free capacity.
  kNoRoom,
  kNoTicket,
  /// The worker reports that it is unhealthy and did nothing.
  kUnhealthy,
  /// The worker rejected the order as malformed, or its answer can't be
  /// interpreted.
  kMalformed,
  /// Another incarnation of the worker answers at the address.
  kOtherIncarnation,
  /// Nothing was sent.
  kNotSent,
  /// The connection broke before the answer: the order may have been executed.
  /// The worker was up when it was called, or has restarted since, or the break
  /// would not have reached the caller.
  kBroken,
  /// No answer: the order may have been executed, or may still be.
  kUnknown,
};

template<>
struct EnumTable<OrderOutcome>
{
  static constexpr auto kRows = std::to_array<NameRow<OrderOutcome>>({
    { OrderOutcome::kDone, "done" },
    { OrderOutcome::kStaleEpoch, "stale-epoch" },
    { OrderOutcome::kOldRun, "old-run" },
    { OrderOutcome::kLate, "late" },
    { OrderOutcome::kNoRoom, "no-room" },
    { OrderOutcome::kNoTicket, "no-ticket" },
    { OrderOutcome::kUnhealthy, "unhealthy" },
    { OrderOutcome::kMalformed, "malformed" },
    { OrderOutcome::kOtherIncarnation, "other-lifetime" },
    { OrderOutcome::kNotSent, "not-sent" },
    { OrderOutcome::kBroken, "broken" },
    { OrderOutcome::kUnknown, "unknown" },
  });
};

/// True if the worker has answered, whatever it says.
constexpr bool IsAnswer(OrderOutcome aOutcome)
{
  return aOutcome != OrderOutcome::kNotSent &&
         aOutcome != OrderOutcome::kBroken &&
         aOutcome != OrderOutcome::kUnknown;
}

/// Renews the lease of all runs on a worker and asks for a report.
struct RenewOrder
{
  std::uint64_t mEpoch = 0;
  /// The worker may discard run ends up to this index.
  std::uint64_t mAckIndex = 0;
  /// End of the lease in ms on the worker's clock; 0 renews nothing.
  std::int64_t mLeaseUntil = 0;
  /// How long the worker may wait for a run to end before it answers.
  Duration mWait{ 0 };
};

/// A worker's answer to a renewal.
struct WorkerReport
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  /// The worker's own clock in ms; 0 if the answer does not contain it.
  std::int64_t mClock = 0;
  /// Start of the worker's incarnation, in ms since 1970.
  std::int64_t mIncarnation = 0;
  std::vector<RunningTask> mRunning;
  std::vector<EndedRun> mEnded;
};

/// Starts a run of a task.
struct StartOrder
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  /// Opaque text from the job's specification.
  std::string mText;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string mCheckpoint;
  std::uint64_t mEpoch = 0;
  /// Reading of the worker's clock, in ms, after which it refuses the start.
  std::int64_t mNotAfter = 0;
};

/// Stops a run of a task.
struct StopOrder
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::uint64_t mEpoch = 0;
};

/// Throttles a run of a task.
struct ThrottleOrder
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::uint64_t mEpoch = 0;
  /// Share of its full speed that the task may use; 0 suspends it.
  std::int64_t mPercent = 100;
};

/// A worker's answer to a start, stop or throttle order.
struct OrderReply
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  /// The worker's own clock in ms; 0 if the answer does not contain it.
  std::int64_t mClock = 0;
};

/// Calls to workers. A failed call does not throw; its outcome is in the
/// answer.
struct WorkerPort
{
  std::function<asio::awaitable<WorkerReport>(WorkerAddress, RenewOrder)>
    mRenew;
  std::function<asio::awaitable<OrderReply>(WorkerAddress, StartOrder)> mStart;
  std::function<asio::awaitable<OrderReply>(WorkerAddress, StopOrder)> mStop;
  std::function<asio::awaitable<OrderReply>(WorkerAddress, ThrottleOrder)>
    mSetThrottle;
};

/// A worker as discovery lists it.
struct WorkerEntry
{
  std::string mWorker;
  std::string mService;
  std::string mAddress;
  std::string mDataCentre;
  Resources mCapacity;
  /// Labels such as the kind and the rack of the worker.
  std::vector<std::string> mLabels;
  bool mIsDraining = false;
  /// Minimum time in ms until a draining worker leaves.
  std::int64_t mLeavesInMs = 0;
  /// Remaining time in ms for which the worker is slow after its start.
  std::int64_t mWarmUpMs = 0;
  /// Start of the worker's incarnation, in ms since 1970.
  std::int64_t mIncarnation = 0;
};

} // namespace verbenacroft
