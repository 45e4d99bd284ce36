#pragma once

/// What a shard's owner asks of a worker and what the worker answers, as
/// plain functions, so that the core doesn't know how a worker is called.

#include "vcBatch.h"
#include "vcHttp.h"

#include <functional>

namespace verbenacroft {

/// Where one lifetime of a worker is reached.
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
  /// Its lease ended without a renewal.
  kLapsed,
  /// Another member of its gang ended.
  kBroken,
  /// It waited too long for the other members of its gang.
  kAlone,
};

template<>
struct EnumTable<RunEnd>
{
  static constexpr auto kRows = std::to_array<NameRow<RunEnd>>({
    { RunEnd::kDone, "done" },
    { RunEnd::kFailed, "failed" },
    { RunEnd::kStopped, "stopped" },
    { RunEnd::kLapsed, "lapsed" },
    { RunEnd::kBroken, "broken" },
    { RunEnd::kAlone, "alone" },
  });
};

struct RunningTask
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::string mCheckpoint;
  /// How far the task is, in percent; a lasting task is at work at 100.
  std::int64_t mProgressPercent = 0;
  /// A serving task's tail response time in ms over the last half second;
  /// for any other task, the processors in use, in thousandths.
  std::int64_t mMeasured = 0;
};

struct EndedRun
{
  /// Number of the end within the worker's lifetime, from 1.
  std::uint64_t mIndex = 0;
  TaskId mTask;
  std::uint32_t mRun = 0;
  RunEnd mHow = RunEnd::kDone;
  std::string mCheckpoint;
};

/// Outcome of an order or a renewal.
enum class OrderOutcome
{
  kDone,
  /// A higher epoch has been seen there.
  kStaleEpoch,
  /// A run at least as high is known there.
  kOldRun,
  /// The order's deadline had passed on the worker's clock.
  kLate,
  kNoRoom,
  kNoTicket,
  /// The worker says that it did nothing for being unhealthy.
  kUnhealthy,
  kMalformed,
  /// Another lifetime of the worker answers at the address.
  kOtherLifetime,
  /// Nothing was sent.
  kNotSent,
  /// No answer: it may have been or be yet carried out.
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
    { OrderOutcome::kOtherLifetime, "other-lifetime" },
    { OrderOutcome::kNotSent, "not-sent" },
    { OrderOutcome::kUnknown, "unknown" },
  });
};

/// Renews the lease of everything on a worker and asks what runs there.
struct RenewOrder
{
  std::uint64_t mEpoch = 0;
  /// Ends up to this index may be forgotten.
  std::uint64_t mAckIndex = 0;
  /// End of the lease on the worker's clock; 0 renews nothing.
  std::int64_t mLeaseUntil = 0;
  /// How long the worker may wait for an end before it answers.
  Duration mWait{ 0 };
};

struct WorkerReport
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  /// The worker's own clock in ms; 0 if it was not told.
  std::int64_t mClock = 0;
  /// Start of the worker's lifetime, in ms since 1970.
  std::int64_t mBorn = 0;
  std::vector<RunningTask> mRunning;
  std::vector<EndedRun> mEnded;
};

struct StartOrder
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::string mText;
  std::string mCheckpoint;
  std::uint64_t mEpoch = 0;
  /// The worker's clock from which the start must be refused.
  std::int64_t mNotAfter = 0;
};

struct StopOrder
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::uint64_t mEpoch = 0;
};

struct PaceOrder
{
  TaskId mTask;
  std::uint32_t mRun = 0;
  std::uint64_t mEpoch = 0;
  std::int64_t mPercent = 100;
};

struct OrderReply
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  std::int64_t mClock = 0;
};

/// A worker's calls. None of them throws for a failed call.
struct WorkerPort
{
  std::function<asio::awaitable<WorkerReport>(WorkerAddress, RenewOrder)>
    mRenew;
  std::function<asio::awaitable<OrderReply>(WorkerAddress, StartOrder)> mStart;
  std::function<asio::awaitable<OrderReply>(WorkerAddress, StopOrder)> mStop;
  std::function<asio::awaitable<OrderReply>(WorkerAddress, PaceOrder)> mPace;
};

/// A worker as discovery lists it.
struct WorkerEntry
{
  std::string mWorker;
  std::string mService;
  std::string mAddress;
  std::string mDataCentre;
  Resources mCapacity;
  /// Kind and rack of the worker.
  std::vector<std::string> mLabels;
  bool mIsDraining = false;
  /// Least time until a draining worker leaves.
  std::int64_t mLeavesInMs = 0;
  /// How much longer the worker is slow after its start.
  std::int64_t mColdMs = 0;
  std::int64_t mBorn = 0;
};

} // namespace verbenacroft
