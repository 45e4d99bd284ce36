#pragma once

/// State of a shard that is about crashes of workers: which tasks may have
/// caused them, and which workers were lost when.

#include "vcWorkerOrders.h"

#include <string>
#include <vector>

namespace verbenacroft {

/// Crashes of workers that a task may have caused (vcDispatchCrashes.h).
struct CrashHistory
{
  /// Number of workers that crashed while they ran the task, or may have.
  std::uint32_t mCrashes = 0;
  /// Number of workers that crashed after they were told to start the task,
  /// without having confirmed it: they may have been down before.
  std::uint32_t mUnconfirmed = 0;
  /// Longest time for which the task may have run before such a crash.
  Duration mLongestRun{ 0 };
  /// Shortest time for which it was seen at work before such a crash.
  Duration mLeastSeenAtWork{ 0 };
  /// The store has this history.
  bool mIsStored = false;
  /// When the first and the last of these crashes were counted or read.
  TimePoint mCountedSince{ kNever };
  TimePoint mCountedAt{ kNever };
};

/// A run that its owner has given up while the worker was silent.
struct LostRun
{
  TaskId mTask;
  /// 0 if an earlier owner had the run and this one doesn't know its number.
  std::uint32_t mRun = 0;
  /// The worker has confirmed the run, or was up when it was told to start it.
  bool mHasBegun = false;
  bool mIsSeenAtWork = false;
  /// See `DispatchTask`.
  Duration mSeenAtWorkFor{ 0 };
  TimePoint mStartOrderedAt{ kNever };
  /// See `DispatchTask`.
  TimePoint mStartBrokenAt{ kNever };
};

/// The time in which a worker was lost: it crashed or fell silent.
struct WorkerLoss
{
  std::string mWorker;
  /// Its last sign of life.
  TimePoint mAliveAt{ kNever };
  /// Earliest sign that it is lost.
  TimePoint mLostBy{ kNever };
};

/// A run that a crash was counted against.
struct CountedRun
{
  TaskId mTask;
  /// The crash was counted as one under a run that had begun.
  bool mHasBegun = false;
};

/// A crash that seemed to be of one worker alone, and the runs that it was
/// counted against only for that.
struct CountedCrash
{
  WorkerLoss mLoss;
  TimePoint mCountedAt{ kNever };
  std::vector<CountedRun> mRuns;
};

} // namespace verbenacroft
