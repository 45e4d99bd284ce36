#pragma once

/// Workers in memory for the nodes of a test: fences, leases, runs, ends and
/// late calls, and the judge of what runs where.

#include "vcFleetLink.h"
#include "vcNode.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace verbenacroft {

struct MemoryRun
{
  std::uint32_t mRun = 0;
  /// Worker's clock at its start.
  std::int64_t mStartedAt = 0;
  /// Worker's clock at which the task is done; never for a lasting task.
  std::int64_t mDoneAt = 0;
  /// Worker's clock at which the task crashes it; never for most tasks.
  std::int64_t mCrashesAt = std::numeric_limits<std::int64_t>::max();
  /// Worker's clock at which the run ends that is being stopped; never for one
  /// that isn't.
  std::int64_t mStopsAt = std::numeric_limits<std::int64_t>::max();
};

struct MemoryWorker
{
  std::string mName;
  std::string mDataCentre;
  std::int64_t mIncarnation = 1;
  /// Time of the fleet at which the worker's clock showed 0.
  TimePoint mClockStart{ 0 };
  std::uint64_t mFence = 0;
  std::int64_t mLeaseUntil = 0;
  std::map<TaskId, MemoryRun> mRuns;
  std::vector<EndedRun> mEnds;
  std::uint64_t mNextEnd = 1;
  /// Ends up to here were listed before the lease lapsed last.
  std::uint64_t mEndsBeforeLapse = 0;
  /// When the lease lapsed last, in time of the fleet.
  TimePoint mLapsedAt{ kNever };
  /// Highest run of each task that was stopped or ended here.
  std::map<TaskId, std::uint32_t> mHighest;
  /// Nodes that can't reach it; "*" stands for all.
  std::set<std::string> mCutFrom;
  /// Part of the orders that are carried out late and not answered, 0 to 1.
  double mLateShare = 0;
  /// Its next report is one that nobody foresaw.
  bool mIsMalformedNext = false;
  /// Another worker, with an id of its own, answers at the address.
  bool mIsReplaced = false;
  /// Its process has ended and hasn't started again.
  bool mIsGone = false;
  /// Its process has ended and starts again soon, under the same id. Calls that
  /// are sent meanwhile reach the next incarnation.
  bool mIsDown = false;
};

/// A call that reaches its worker late and isn't answered.
struct LateCall
{
  TimePoint mAt{ 0 };
  std::string mWorker;
  /// What the worker does then.
  std::function<void(MemoryWorker& aWorker, TimePoint aNow)> mDo;
};

/// The first reply in which a worker listed an end, whether or not anybody
/// received it.
struct EndListing
{
  std::string mWorker;
  TimePoint mAt{ 0 };
};

/// What a task of the test does.
struct TaskPlan
{
  Duration mWork{ 500 };
  bool mIsLasting = false;
  /// Time after its start at which the task crashes its worker; 0 if it
  /// doesn't.
  Duration mCrashesAfter{ 0 };
  /// Processors that the task needs, in thousandths.
  std::int64_t mMilliCpu = 0;
};

/// Crashes of workers that ran a task.
struct CrashTally
{
  int mCrashes = 0;
  /// The task was alone on the worker at one of them after the first, and had
  /// run so shortly that no report may have cleared it.
  bool mWasAlone = false;
};

struct MemoryFleet
{
  std::mt19937_64 mRandom;
  /// Jobs of the team that has a quota.
  std::set<JobId> mLimitedJobs;
  /// Most runs that the team may have at the same time; 0 if there is no quota.
  std::size_t mMaxLimitedRuns = 0;
  std::map<std::string, MemoryWorker> mWorkers;
  std::vector<LateCall> mLate;
  /// Most runs of a step on one worker, by its first task. A step that isn't
  /// in here has no maximum.
  std::map<TaskId, std::size_t> mMaxPerWorker;
  /// Processors of a worker in thousandths; 0 if the capacity isn't judged.
  std::int64_t mCapacity = 0;
  /// Time from an order to stop a run until it ends.
  Duration mStopTime{ 0 };
  /// Longest lease that a worker grants, in ms.
  std::int64_t mMaxLeaseMs = 6'000;
  std::map<TaskId, TaskPlan> mPlans;
  /// Where each task runs; more than one place breaks the promise.
  std::map<TaskId, std::set<std::string>> mRunning;
  /// Runs that ended as done, by task.
  std::map<TaskId, std::set<std::uint32_t>> mDone;
  /// Those of them that stood when the task was started again.
  std::set<std::pair<TaskId, std::uint32_t>> mRepeated;
  /// Ends `done` that were acknowledged.
  std::set<std::pair<TaskId, std::uint32_t>> mAcknowledged;
  /// Ends `done` that were listed.
  std::map<std::pair<TaskId, std::uint32_t>, EndListing> mListed;
  /// Starts of tasks whose end `done` had been listed for some time.
  std::vector<std::string> mStartsAfterListing;
  /// Time from which no start of a job may be sent: its cancellation took
  /// effect.
  std::map<JobId, TimePoint> mNoStartOfJobFrom;
  /// Time from which no start may be sent to a data centre's workers.
  std::map<std::string, TimePoint> mNoStartInFrom;
  /// Jobs of which a task has started.
  std::set<JobId> mBegun;
  /// Crashes of all workers, by task that ran there.
  std::map<TaskId, CrashTally> mCrashedUnder;
  /// Number of workers that each deadly task has crashed.
  std::map<TaskId, int> mCrashes;
  /// Starts of each deadly task after the third of these crashes.
  std::map<TaskId, int> mStartsAfterThird;
  /// Workers that have crashed since this was last cleared. Nobody reaches
  /// them.
  std::vector<std::string> mCrashed;
  std::vector<std::string> mProblems;
  /// Links of the nodes; a node that isn't in here has one without limits.
  std::map<std::string, NodeLink> mLinks;
  /// Carries calls over links that are limited, also if their node is gone.
  /// Declared last, since what it holds refers to the rest.
  std::unique_ptr<asio::io_context> mIo = std::make_unique<asio::io_context>(1);
};

/// Lets the runs of all workers go on to `aNow`.
void Advance(MemoryFleet& aFleet, TimePoint aNow);

/// The worker loses what it runs and starts anew under its name.
void Restart(MemoryFleet& aFleet, const std::string& aWorker, TimePoint aNow);

/// The worker crashes and is down until it returns.
void Crash(MemoryFleet& aFleet, const std::string& aWorker, TimePoint aNow);

/// A worker that is down is back under its name, with a clock that starts now.
void Return(MemoryFleet& aFleet, const std::string& aWorker, TimePoint aNow);

/// The workers' calls as the node `aCaller` makes them.
WorkerPort MakeMemoryWorkers(MemoryFleet& aFleet, const std::string& aCaller);

} // namespace verbenacroft
