#include "vcFleetWorkers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace verbenacroft {

namespace {

constexpr Duration kAnswerTime{ 2 };
constexpr Duration kOrderTimeout{ 1'000 };
constexpr Duration kReportPoll{ 10 };
constexpr int kShortestLateMs = 1'000;
constexpr int kLongestLateMs = 8'000;
/// Part of the calls to a worker that is down, in percent, that arrive late and
/// aren't answered, and how late the soonest of them arrive. Half of them are
/// as late as late orders.
constexpr int kHeldPercent = 50;
constexpr int kShortestHeldMs = 300;
constexpr int kShortHeldMs = 1'500;
/// An end counts as known this long after its worker has listed it.
constexpr Duration kKnownAfter{ 100 };
/// Timeouts of calls over a limited link, as on the platform.
constexpr Duration kConnectTimeout{ 400 };
constexpr Duration kLinkOrderTimeout{ 800 };
constexpr Duration kLinkRenewSlack{ 600 };
/// How often a caller looks for the reply of such a call.
constexpr Duration kReplyPoll{ 5 };
/// Sizes of messages, with the headers of all layers, in bytes: to connect, an
/// order without its texts, its reply, a report without rows, and a row.
constexpr double kConnectBytes = 150;
constexpr double kOrderBytes = 450;
constexpr double kOrderReplyBytes = 220;
constexpr double kReportBytes = 500;
constexpr double kRowBytes = 64;

std::int64_t ClockOf(const MemoryWorker& aWorker, TimePoint aNow)
{
  return (aNow - aWorker.mClockStart).count() + 1;
}

void EndRun(MemoryFleet& aFleet,
            MemoryWorker& aWorker,
            // A copy, since the caller's may stand in the map of runs.
            TaskId aTask, // NOLINT(performance-unnecessary-value-param)
            RunEnd aHow)
{
  const MemoryRun run = aWorker.mRuns.at(aTask);
  aWorker.mRuns.erase(aTask);
  auto& highest = aWorker.mHighest[aTask];
  highest = std::max(highest, run.mRun);
  EndedRun end;
  end.mIndex = aWorker.mNextEnd++;
  end.mTask = aTask;
  end.mRun = run.mRun;
  end.mRunEnd = aHow;
  aWorker.mEnds.push_back(end);
  aFleet.mRunning[aTask].erase(aWorker.mName);
  if (aHow == RunEnd::kDone) {
    aFleet.mDone[aTask].insert(run.mRun);
  }
}

/// Notes the ends `done` that a reply lists for the first time.
void NoteListed(MemoryFleet& aFleet, const MemoryWorker& aWorker)
{
  for (const auto& end : aWorker.mEnds) {
    if (end.mRunEnd == RunEnd::kDone) {
      aFleet.mListed.try_emplace(
        { end.mTask, end.mRun },
        EndListing{ aWorker.mName, SuspendAwareNow() });
    }
  }
}

/// True if the end was listed for long enough, and the worker's lease didn't
/// lapse in this time.
bool IsKnown(const MemoryFleet& aFleet,
             const EndListing& aListing,
             TimePoint aNow)
{
  const TimePoint knownAt = aListing.mAt + kKnownAfter;
  const TimePoint lapsedAt = aFleet.mWorkers.at(aListing.mWorker).mLapsedAt;
  const bool hasLapsed = lapsedAt >= aListing.mAt && lapsedAt < knownAt;
  return knownAt <= aNow && !hasLapsed;
}

/// Judges a start of a task that is done.
void JudgeRepeatedStart(MemoryFleet& aFleet,
                        const MemoryWorker& aWorker,
                        const StartOrder& aOrder,
                        std::uint32_t aDoneRun,
                        TimePoint aNow)
{
  const auto listed = aFleet.mListed.find({ aOrder.mTask, aDoneRun });
  if (listed == aFleet.mListed.end() ||
      !IsKnown(aFleet, listed->second, aNow)) {
    return;
  }
  aFleet.mStartsAfterListing.push_back(
    fmt::format("{} ms: {} run {} starts on {}, {} ms after {} had listed run "
                "{} as done",
                aNow.count(),
                Describe(aOrder.mTask),
                aOrder.mRun,
                aWorker.mName,
                (aNow - listed->second.mAt).count(),
                listed->second.mWorker,
                aDoneRun));
}

void CountDeadlyStart(MemoryFleet& aFleet, const TaskId& aTask)
{
  constexpr int kCrashesAllowed = 3;
  if (aFleet.mCrashes[aTask] >= kCrashesAllowed) {
    ++aFleet.mStartsAfterThird[aTask];
  }
}

/// Counts what the team with a quota runs on all workers.
void JudgeQuota(MemoryFleet& aFleet, const TaskId& aTask, TimePoint aNow)
{
  if (aFleet.mMaxLimitedRuns == 0 ||
      !aFleet.mLimitedJobs.contains(aTask.mJob)) {
    return;
  }
  std::size_t runs = 0;
  for (const auto& [task, places] : aFleet.mRunning) {
    runs += aFleet.mLimitedJobs.contains(task.mJob) ? places.size() : 0;
  }
  if (runs > aFleet.mMaxLimitedRuns) {
    aFleet.mProblems.push_back(
      fmt::format("{} ms: {} starts, and its team has {} runs of {}",
                  aNow.count(),
                  Describe(aTask),
                  runs,
                  aFleet.mMaxLimitedRuns));
  }
}

/// Judges the maximum of the step that a task belongs to; what is being stopped
/// counts.
void JudgeMaximum(MemoryFleet& aFleet,
                  const MemoryWorker& aWorker,
                  const TaskId& aTask,
                  TimePoint aNow)
{
  const TaskId first{ aTask.mJob, aTask.mOccurrence, aTask.mStep, 0 };
  const auto most = aFleet.mMaxPerWorker.find(first);
  if (most == aFleet.mMaxPerWorker.end()) {
    return;
  }
  const auto runs = std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aRow) {
      const TaskId& task = aRow.first;
      return TaskId{ task.mJob, task.mOccurrence, task.mStep, 0 } == first;
    });
  if (static_cast<std::size_t>(runs) > most->second) {
    aFleet.mProblems.push_back(
      fmt::format("{} ms: {} starts on {}, which has {} runs of its step; {} "
                  "are allowed",
                  aNow.count(),
                  Describe(aTask),
                  aWorker.mName,
                  runs,
                  most->second));
  }
}

/// Judges the capacity of a worker; what is being stopped counts.
void JudgeCapacity(MemoryFleet& aFleet,
                   const MemoryWorker& aWorker,
                   const TaskId& aTask,
                   TimePoint aNow)
{
  if (aFleet.mCapacity == 0) {
    return;
  }
  std::int64_t used = 0;
  for (const auto& [task, run] : aWorker.mRuns) {
    used += aFleet.mPlans[task].mMilliCpu;
  }
  if (used > aFleet.mCapacity) {
    aFleet.mProblems.push_back(
      fmt::format("{} ms: {} starts on {}, whose runs need {} of {} mcpu",
                  aNow.count(),
                  Describe(aTask),
                  aWorker.mName,
                  used,
                  aFleet.mCapacity));
  }
}

OrderOutcome StartRun(MemoryFleet& aFleet,
                      MemoryWorker& aWorker,
                      const StartOrder& aOrder,
                      TimePoint aNow)
{
  if (aOrder.mEpoch < aWorker.mFence) {
    return OrderOutcome::kStaleEpoch;
  }
  aWorker.mFence = aOrder.mEpoch;
  const std::int64_t clock = ClockOf(aWorker, aNow);
  if (clock > aOrder.mNotAfter) {
    return OrderOutcome::kLate;
  }
  aWorker.mLeaseUntil =
    std::max(aWorker.mLeaseUntil,
             std::min(aOrder.mNotAfter, clock + aFleet.mMaxLeaseMs));
  const auto there = aWorker.mRuns.find(aOrder.mTask);
  if (there != aWorker.mRuns.end()) {
    return there->second.mRun == aOrder.mRun ? OrderOutcome::kDone
                                             : OrderOutcome::kOldRun;
  }
  const auto highest = aWorker.mHighest.find(aOrder.mTask);
  if (highest != aWorker.mHighest.end() && aOrder.mRun <= highest->second) {
    return OrderOutcome::kOldRun;
  }
  auto& places = aFleet.mRunning[aOrder.mTask];
  if (!places.empty()) {
    aFleet.mProblems.push_back(
      fmt::format("{} ms: {} starts on {} and runs on {}",
                  aNow.count(),
                  Describe(aOrder.mTask),
                  aWorker.mName,
                  *places.begin()));
  }
  for (const auto run : aFleet.mDone[aOrder.mTask]) {
    aFleet.mRepeated.insert({ aOrder.mTask, run });
    JudgeRepeatedStart(aFleet, aWorker, aOrder, run, aNow);
  }
  places.insert(aWorker.mName);
  JudgeQuota(aFleet, aOrder.mTask, aNow);
  aFleet.mBegun.insert(aOrder.mTask.mJob);
  const TaskPlan plan = aFleet.mPlans[aOrder.mTask];
  MemoryRun run;
  run.mRun = aOrder.mRun;
  run.mStartedAt = clock;
  if (plan.mCrashesAfter > Duration(0)) {
    run.mCrashesAt = clock + plan.mCrashesAfter.count();
    CountDeadlyStart(aFleet, aOrder.mTask);
  }
  run.mDoneAt = plan.mIsLasting ? std::numeric_limits<std::int64_t>::max()
                                : clock + plan.mWork.count();
  aWorker.mRuns[aOrder.mTask] = run;
  JudgeMaximum(aFleet, aWorker, aOrder.mTask, aNow);
  JudgeCapacity(aFleet, aWorker, aOrder.mTask, aNow);
  return OrderOutcome::kDone;
}

bool IsReached(const MemoryWorker& aWorker, const std::string& aCaller)
{
  return !aWorker.mIsGone && !aWorker.mCutFrom.contains("*") &&
         !aWorker.mCutFrom.contains(aCaller);
}

bool IsLate(MemoryFleet& aFleet, const MemoryWorker& aWorker)
{
  std::uniform_real_distribution<double> share(0, 1);
  return share(aFleet.mRandom) < aWorker.mLateShare;
}

asio::awaitable<void> SleepUntil(TimePoint aUntil)
{
  const Duration left = aUntil - SuspendAwareNow();
  if (left > Duration(0)) {
    co_await Sleep(left);
  }
}

/// Time after which a call to a worker that is down arrives unanswered; nothing
/// if it arrives once the worker is back.
std::optional<Duration> DrawHeldTime(MemoryFleet& aFleet)
{
  std::uniform_int_distribution<int> percent(1, 100);
  if (percent(aFleet.mRandom) > kHeldPercent) {
    return std::nullopt;
  }
  const bool isShort = percent(aFleet.mRandom) <= 50;
  std::uniform_int_distribution<int> late(
    isShort ? kShortestHeldMs : kShortestLateMs,
    isShort ? kShortHeldMs : kLongestLateMs);
  return Duration(late(aFleet.mRandom));
}

/// Holds a call while its worker is down.
/// @return false if the caller gets no answer
asio::awaitable<bool> AwaitReturn(
  MemoryFleet& aFleet,
  std::string aWorker,
  Duration aTimeout,
  std::function<void(MemoryWorker&, TimePoint)> aDo)
{
  const MemoryWorker& worker = aFleet.mWorkers.at(aWorker);
  if (!worker.mIsDown) {
    co_return true;
  }
  const TimePoint now = SuspendAwareNow();
  const auto held = DrawHeldTime(aFleet);
  if (held) {
    aFleet.mLate.push_back({ now + *held, aWorker, std::move(aDo) });
    co_await SleepUntil(now + aTimeout);
    co_return false;
  }
  while (worker.mIsDown && SuspendAwareNow() < now + aTimeout) {
    co_await Sleep(kReportPoll);
  }
  co_return !worker.mIsDown;
}

/// True if `aFrom` has a time for `aKey` and it has come.
bool IsForbidden(const std::map<std::string, TimePoint>& aFrom,
                 const std::string& aKey)
{
  const auto found = aFrom.find(aKey);
  return found != aFrom.end() && SuspendAwareNow() >= found->second;
}

void CheckStart(MemoryFleet& aFleet,
                const MemoryWorker& aWorker,
                const StartOrder& aOrder)
{
  const std::string text = fmt::format("{} ms: {} starts on {}",
                                       SuspendAwareNow().count(),
                                       Describe(aOrder.mTask),
                                       aWorker.mName);
  if (IsForbidden(aFleet.mNoStartOfJobFrom, aOrder.mTask.mJob)) {
    aFleet.mProblems.push_back(text + " though its job is cancelled");
  }
  if (IsForbidden(aFleet.mNoStartInFrom, aWorker.mDataCentre)) {
    aFleet.mProblems.push_back(text + " in an evacuation");
  }
}

asio::awaitable<OrderReply> Start(MemoryFleet& aFleet,
                                  std::string aCaller,
                                  WorkerAddress aTo,
                                  StartOrder aOrder)
{
  co_await Sleep(kAnswerTime);
  MemoryWorker& worker = aFleet.mWorkers.at(aTo.mWorker);
  const auto start = [&aFleet, aOrder](MemoryWorker& aWorker, TimePoint aNow) {
    StartRun(aFleet, aWorker, aOrder, aNow);
  };
  if (!co_await AwaitReturn(aFleet, aTo.mWorker, kOrderTimeout, start)) {
    co_return OrderReply{};
  }
  if (!IsReached(worker, aCaller)) {
    co_await Sleep(kOrderTimeout);
    co_return OrderReply{};
  }
  if (worker.mIsReplaced) {
    co_return OrderReply{ OrderOutcome::kOtherIncarnation, 0 };
  }
  if (IsLate(aFleet, worker)) {
    std::uniform_int_distribution<int> late(kShortestLateMs, kLongestLateMs);
    const TimePoint at = SuspendAwareNow() + Duration(late(aFleet.mRandom));
    aFleet.mLate.push_back({ at, aTo.mWorker, start });
    co_await Sleep(kOrderTimeout);
    co_return OrderReply{};
  }
  const TimePoint now = SuspendAwareNow();
  OrderReply reply;
  reply.mOutcome = StartRun(aFleet, worker, aOrder, now);
  if (reply.mOutcome == OrderOutcome::kDone) {
    CheckStart(aFleet, worker, aOrder);
  }
  reply.mClock = ClockOf(worker, now);
  co_return reply;
}

OrderOutcome StopRun(MemoryFleet& aFleet,
                     MemoryWorker& aWorker,
                     const StopOrder& aOrder,
                     TimePoint aNow)
{
  if (aOrder.mEpoch < aWorker.mFence) {
    return OrderOutcome::kStaleEpoch;
  }
  aWorker.mFence = aOrder.mEpoch;
  auto& highest = aWorker.mHighest[aOrder.mTask];
  highest = std::max(highest, aOrder.mRun);
  const auto run = aWorker.mRuns.find(aOrder.mTask);
  const bool isThere =
    run != aWorker.mRuns.end() && run->second.mRun <= aOrder.mRun;
  if (isThere && aFleet.mStopTime == Duration(0)) {
    EndRun(aFleet, aWorker, aOrder.mTask, RunEnd::kStopped);
  } else if (isThere) {
    const std::int64_t stopsAt =
      ClockOf(aWorker, aNow) + aFleet.mStopTime.count();
    run->second.mStopsAt = std::min(run->second.mStopsAt, stopsAt);
  }
  return OrderOutcome::kDone;
}

asio::awaitable<OrderReply> Stop(MemoryFleet& aFleet,
                                 std::string aCaller,
                                 WorkerAddress aTo,
                                 StopOrder aOrder)
{
  co_await Sleep(kAnswerTime);
  MemoryWorker& worker = aFleet.mWorkers.at(aTo.mWorker);
  const auto stop = [&aFleet, aOrder](MemoryWorker& aWorker, TimePoint aNow) {
    StopRun(aFleet, aWorker, aOrder, aNow);
  };
  if (!co_await AwaitReturn(aFleet, aTo.mWorker, kOrderTimeout, stop)) {
    co_return OrderReply{};
  }
  if (!IsReached(worker, aCaller)) {
    co_await Sleep(kOrderTimeout);
    co_return OrderReply{};
  }
  if (worker.mIsReplaced) {
    co_return OrderReply{ OrderOutcome::kOtherIncarnation, 0 };
  }
  OrderReply reply;
  const TimePoint now = SuspendAwareNow();
  reply.mClock = ClockOf(worker, now);
  reply.mOutcome = StopRun(aFleet, worker, aOrder, now);
  co_return reply;
}

void Acknowledge(MemoryFleet& aFleet, MemoryWorker& aWorker, std::uint64_t aTo)
{
  std::erase_if(aWorker.mEnds, [&](const EndedRun& aEnd) {
    const bool isOver = aEnd.mIndex <= aTo;
    // An end that was listed before its worker's lease lapsed proves nothing.
    const bool isProof = aEnd.mIndex > aWorker.mEndsBeforeLapse;
    if (isOver && isProof && aEnd.mRunEnd == RunEnd::kDone) {
      aFleet.mAcknowledged.insert({ aEnd.mTask, aEnd.mRun });
    }
    return isOver;
  });
}

WorkerReport ReportOf(const MemoryWorker& aWorker)
{
  WorkerReport report;
  report.mOutcome = OrderOutcome::kDone;
  report.mClock = ClockOf(aWorker, SuspendAwareNow());
  report.mIncarnation = aWorker.mIncarnation;
  for (const auto& [task, run] : aWorker.mRuns) {
    constexpr std::int64_t kAtWork = 100;
    // Changes with every report, as of a task that goes on.
    const std::int64_t progress =
      run.mDoneAt == std::numeric_limits<std::int64_t>::max()
        ? kAtWork
        : report.mClock % kAtWork;
    report.mRunning.push_back({ task, run.mRun, {}, progress, 0 });
  }
  report.mEnded = aWorker.mEnds;
  return report;
}

/// Does what a renewal orders.
/// @return false if its epoch is stale
bool ApplyRenewal(MemoryFleet& aFleet,
                  MemoryWorker& aWorker,
                  const RenewOrder& aOrder,
                  TimePoint aNow)
{
  if (aOrder.mEpoch < aWorker.mFence) {
    return false;
  }
  aWorker.mFence = aOrder.mEpoch;
  const std::int64_t clock = ClockOf(aWorker, aNow);
  if (aOrder.mLeaseUntil > 0) {
    aWorker.mLeaseUntil =
      std::max(aWorker.mLeaseUntil,
               std::min(aOrder.mLeaseUntil, clock + aFleet.mMaxLeaseMs));
  }
  Acknowledge(aFleet, aWorker, aOrder.mAckIndex);
  return true;
}

asio::awaitable<WorkerReport> Renew(MemoryFleet& aFleet,
                                    std::string aCaller,
                                    WorkerAddress aTo,
                                    RenewOrder aOrder)
{
  co_await Sleep(kAnswerTime);
  MemoryWorker& worker = aFleet.mWorkers.at(aTo.mWorker);
  const auto renew = [&aFleet, aOrder](MemoryWorker& aWorker, TimePoint aNow) {
    ApplyRenewal(aFleet, aWorker, aOrder, aNow);
  };
  const Duration timeout = aOrder.mWait + kOrderTimeout;
  WorkerReport report;
  if (!co_await AwaitReturn(aFleet, aTo.mWorker, timeout, renew)) {
    co_return report;
  }
  const std::int64_t born = worker.mIncarnation;
  if (std::exchange(worker.mIsMalformedNext, false)) {
    throw std::runtime_error("a report that can't be");
  }
  if (!IsReached(worker, aCaller)) {
    co_await Sleep(timeout);
    co_return report;
  }
  if (worker.mIsReplaced) {
    report.mOutcome = OrderOutcome::kOtherIncarnation;
    co_return report;
  }
  if (!ApplyRenewal(aFleet, worker, aOrder, SuspendAwareNow())) {
    report.mOutcome = OrderOutcome::kStaleEpoch;
    co_return report;
  }
  const TimePoint until = SuspendAwareNow() + aOrder.mWait;
  while (worker.mEnds.empty() && !worker.mIsDown && SuspendAwareNow() < until) {
    co_await Sleep(kReportPoll);
  }
  if (worker.mIsDown) {
    report.mOutcome = OrderOutcome::kBroken;
    co_return report;
  }
  const bool isAnswered =
    IsReached(worker, aCaller) && worker.mIncarnation == born;
  if (isAnswered) {
    NoteListed(aFleet, worker);
    co_return ReportOf(worker);
  }
  co_await Sleep(kOrderTimeout);
  co_return WorkerReport{};
}

asio::awaitable<OrderReply> Pace()
{
  co_await Sleep(kAnswerTime);
  co_return OrderReply{ OrderOutcome::kDone, 0 };
}

void AdvanceWorker(MemoryFleet& aFleet, MemoryWorker& aWorker, TimePoint aNow)
{
  const std::int64_t clock = ClockOf(aWorker, aNow);
  std::vector<std::pair<TaskId, RunEnd>> ended;
  for (const auto& [task, run] : aWorker.mRuns) {
    if (std::min(run.mDoneAt, run.mStopsAt) <= clock) {
      const bool isStopped = run.mStopsAt < run.mDoneAt;
      ended.emplace_back(task, isStopped ? RunEnd::kStopped : RunEnd::kDone);
    }
  }
  for (const auto& [task, how] : ended) {
    EndRun(aFleet, aWorker, task, how);
  }
  if (clock > aWorker.mLeaseUntil) {
    const bool isFirst =
      ClockOf(aWorker, aWorker.mLapsedAt) <= aWorker.mLeaseUntil;
    aWorker.mLapsedAt = isFirst ? aNow : aWorker.mLapsedAt;
    aWorker.mEndsBeforeLapse = aWorker.mNextEnd - 1;
  }
  while (clock > aWorker.mLeaseUntil && !aWorker.mRuns.empty()) {
    EndRun(
      aFleet, aWorker, aWorker.mRuns.begin()->first, RunEnd::kLeaseExpired);
  }
}

/// A call over a limited link.
template<class Reply>
struct LinkCall
{
  double mRequestBytes = 0;
  Duration mTimeout{ 0 };
  /// What the worker does once the request has arrived.
  std::function<asio::awaitable<Reply>()> mServe;
};

double BytesOf(const OrderReply& /*aReply*/)
{
  return kOrderReplyBytes;
}

double BytesOf(const WorkerReport& aReport)
{
  const std::size_t rows = aReport.mRunning.size() + aReport.mEnded.size();
  return kReportBytes + kRowBytes * static_cast<double>(rows);
}

/// Carries a call, serves it and carries its reply, however long that takes.
template<class Reply>
asio::awaitable<void> Carry(NodeLink& aLink,
                            LinkCall<Reply> aCall,
                            std::shared_ptr<std::optional<Reply>> aReply)
{
  const TimePoint sentAt = SuspendAwareNow();
  co_await SleepUntil(QueueSent(aLink, aCall.mRequestBytes, sentAt));
  Reply reply = co_await aCall.mServe();
  const TimePoint repliedAt = SuspendAwareNow();
  co_await SleepUntil(QueueReceived(aLink, BytesOf(reply), repliedAt));
  co_await SleepUntil(QueueUnread(aLink, SuspendAwareNow()));
  *aReply = std::move(reply);
}

/// @return false if the connection isn't there in time
asio::awaitable<bool> Connect(NodeLink& aLink, std::string aWorker)
{
  auto& idle = aLink.mIdleConnections[aWorker];
  if (idle > 0) {
    --idle;
    co_return true;
  }
  const TimePoint now = SuspendAwareNow();
  const TimePoint sentAt = QueueSent(aLink, kConnectBytes, now);
  const TimePoint doneAt =
    std::max(sentAt, QueueReceived(aLink, kConnectBytes, now));
  co_await SleepUntil(std::min(doneAt, now + kConnectTimeout));
  co_return doneAt <= now + kConnectTimeout;
}

template<class Reply>
asio::awaitable<Reply> CallOverLink(MemoryFleet& aFleet,
                                    std::string aCaller,
                                    std::string aWorker,
                                    LinkCall<Reply> aCall)
{
  NodeLink& link = aFleet.mLinks.at(aCaller);
  const TimePoint until = SuspendAwareNow() + aCall.mTimeout;
  Reply failed;
  if (!co_await Connect(link, aWorker)) {
    failed.mOutcome = OrderOutcome::kNotSent;
    co_return failed;
  }
  const auto reply = std::make_shared<std::optional<Reply>>();
  asio::co_spawn(
    *aFleet.mIo, Carry(link, std::move(aCall), reply), asio::detached);
  while (!*reply && SuspendAwareNow() < until) {
    co_await Sleep(kReplyPoll);
  }
  if (!*reply) {
    co_return failed;
  }
  ++link.mIdleConnections[aWorker];
  co_return **reply;
}

/// Makes the call at once, or over the caller's link if that is limited.
template<class Reply>
asio::awaitable<Reply> Call(MemoryFleet& aFleet,
                            const std::string& aCaller,
                            const std::string& aWorker,
                            LinkCall<Reply> aCall)
{
  const auto link = aFleet.mLinks.find(aCaller);
  const bool isLimited = link != aFleet.mLinks.end() && IsLimited(link->second);
  return isLimited ? CallOverLink(aFleet, aCaller, aWorker, std::move(aCall))
                   : aCall.mServe();
}

/// Tasks that crash their worker now.
std::vector<TaskId> CrashingTasks(const MemoryWorker& aWorker, TimePoint aNow)
{
  const std::int64_t clock = ClockOf(aWorker, aNow);
  std::vector<TaskId> tasks;
  for (const auto& [task, run] : aWorker.mRuns) {
    if (run.mCrashesAt <= clock) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

/// Counts a crash for the tasks that run on the worker.
void CountCrash(MemoryFleet& aFleet,
                const MemoryWorker& aWorker,
                TimePoint aNow)
{
  // An owner clears a run that reports have shown for up to 5 s, and they come
  // each second.
  constexpr std::int64_t kClearedAfterMs = 6'000;
  const std::int64_t clock = ClockOf(aWorker, aNow);
  for (const auto& [task, run] : aWorker.mRuns) {
    CrashTally& tally = aFleet.mCrashedUnder[task];
    ++tally.mCrashes;
    const bool isAlone =
      aWorker.mRuns.size() == 1 && clock - run.mStartedAt < kClearedAfterMs;
    tally.mWasAlone = tally.mWasAlone || (tally.mCrashes > 1 && isAlone);
  }
}

/// Crashes the workers on which a deadly task has run for long enough.
void CrashWorkers(MemoryFleet& aFleet, TimePoint aNow)
{
  for (const auto& [name, worker] : aFleet.mWorkers) {
    const auto tasks = CrashingTasks(worker, aNow);
    for (const auto& task : tasks) {
      ++aFleet.mCrashes[task];
    }
    if (!tasks.empty()) {
      aFleet.mCrashed.push_back(name);
    }
  }
  for (const auto& name : aFleet.mCrashed) {
    Restart(aFleet, name, aNow);
    aFleet.mWorkers.at(name).mCutFrom.insert("*");
    aFleet.mWorkers.at(name).mIsGone = true;
  }
}

} // namespace

void Advance(MemoryFleet& aFleet, TimePoint aNow)
{
  std::vector<LateCall> due;
  std::erase_if(aFleet.mLate, [&](const LateCall& aRow) {
    const bool isDue =
      aRow.mAt <= aNow && !aFleet.mWorkers.at(aRow.mWorker).mIsDown;
    if (isDue) {
      due.push_back(aRow);
    }
    return isDue;
  });
  for (const auto& row : due) {
    MemoryWorker& worker = aFleet.mWorkers.at(row.mWorker);
    // No process is there, or one with another id, which refuses it.
    if (!worker.mIsGone && !worker.mIsReplaced) {
      row.mDo(worker, aNow);
    }
  }
  for (auto& [name, worker] : aFleet.mWorkers) {
    AdvanceWorker(aFleet, worker, aNow);
  }
  aFleet.mIo->poll();
  // Without calls under way it counts as stopped.
  aFleet.mIo->restart();
  CrashWorkers(aFleet, aNow);
}

void Restart(MemoryFleet& aFleet, const std::string& aWorker, TimePoint aNow)
{
  MemoryWorker& worker = aFleet.mWorkers.at(aWorker);
  CountCrash(aFleet, worker, aNow);
  for (const auto& [task, run] : worker.mRuns) {
    aFleet.mRunning[task].erase(aWorker);
  }
  // An end that nobody heard of is lost, and its task has to run again.
  for (const auto& end : worker.mEnds) {
    aFleet.mDone[end.mTask].erase(end.mRun);
  }
  MemoryWorker fresh;
  fresh.mName = worker.mName;
  fresh.mDataCentre = worker.mDataCentre;
  fresh.mIncarnation = worker.mIncarnation + 1;
  fresh.mClockStart = aNow;
  fresh.mCutFrom = worker.mCutFrom;
  fresh.mIsGone = worker.mIsGone;
  worker = std::move(fresh);
}

void Crash(MemoryFleet& aFleet, const std::string& aWorker, TimePoint aNow)
{
  Restart(aFleet, aWorker, aNow);
  aFleet.mWorkers.at(aWorker).mIsDown = true;
}

void Return(MemoryFleet& aFleet, const std::string& aWorker, TimePoint aNow)
{
  MemoryWorker& worker = aFleet.mWorkers.at(aWorker);
  worker.mIsDown = false;
  worker.mClockStart = aNow;
}

WorkerPort MakeMemoryWorkers(MemoryFleet& aFleet, const std::string& aCaller)
{
  WorkerPort port;
  port.mRenew = [&aFleet, aCaller](const WorkerAddress& aTo,
                                   RenewOrder aOrder) {
    return Call<WorkerReport>(
      aFleet,
      aCaller,
      aTo.mWorker,
      { kOrderBytes, aOrder.mWait + kLinkRenewSlack, [=, &aFleet] {
         return Renew(aFleet, aCaller, aTo, aOrder);
       } });
  };
  port.mStart = [&aFleet, aCaller](const WorkerAddress& aTo,
                                   const StartOrder& aOrder) {
    const auto texts = aOrder.mText.size() + aOrder.mCheckpoint.size();
    return Call<OrderReply>(
      aFleet,
      aCaller,
      aTo.mWorker,
      { kOrderBytes + static_cast<double>(texts),
        kLinkOrderTimeout,
        [=, &aFleet] { return Start(aFleet, aCaller, aTo, aOrder); } });
  };
  port.mStop = [&aFleet, aCaller](const WorkerAddress& aTo,
                                  const StopOrder& aOrder) {
    return Call<OrderReply>(aFleet,
                            aCaller,
                            aTo.mWorker,
                            { kOrderBytes, kLinkOrderTimeout, [=, &aFleet] {
                               return Stop(aFleet, aCaller, aTo, aOrder);
                             } });
  };
  port.mSetThrottle = [&aFleet, aCaller](const WorkerAddress& aTo,
                                         const ThrottleOrder&) {
    return Call<OrderReply>(
      aFleet, aCaller, aTo.mWorker, { kOrderBytes, kLinkOrderTimeout, Pace });
  };
  return port;
}

} // namespace verbenacroft
