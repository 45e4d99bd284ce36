#include "vcShardRunner.h"

#include "vcFormerOwner.h"

#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Pause before the shard's records are read again after a failure.
constexpr Duration kRetry{ 150 };
/// Interval of the periodic checks.
constexpr Duration kTickInterval{ 100 };
/// Interval of the log lines about the shard's load.
constexpr Duration kLoadLogInterval{ 1'000 };
/// Delay of planning, so that reports and replies that arrive close together
/// are handled by one planning.
constexpr Duration kPlanDelay{ 4 };
/// The delay is at least this multiple of the duration of the last planning, so
/// that enough time remains to process reports.
constexpr int kMinPlanDelayFactor = 3;
/// Maximum age of the inbox and of the operators' items when a task is started:
/// cancellations and evacuations have to take effect within 3 s.
constexpr Duration kMaxOrdersAge{ 2'500 };
/// Interval at which a renewal that waits for a record looks whether it still
/// has to.
constexpr Duration kRecordCheckInterval{ 30 };
/// Pause before a start that may not be sent yet is looked at again.
constexpr Duration kHeldStartPause{ 5 };
/// Maximum number of concurrent orders to one worker.
constexpr int kSendersPerWorker = 2;

/// Number of runs on all workers of the shard.
std::size_t CountRuns(const DispatchShard& aShard)
{
  std::size_t runs = 0;
  for (const auto& [name, worker] : aShard.mWorkers) {
    runs += worker.mTasks.size();
  }
  return runs;
}

/// True if a start may be sent: the worker answers, and no acknowledgement that
/// could cover the start's end in another incarnation is under way.
bool MaySendStart(const DispatchWorker& aWorker)
{
  const bool isAckUnanswered =
    aWorker.mSentAckIndex > aWorker.mAnsweredAckIndex;
  return !aWorker.mIsUnresponsive && !isAckUnanswered;
}

template<class Rows>
auto PopFront(Rows& aRows)
{
  auto row = std::move(aRows.front());
  aRows.pop_front();
  return row;
}

} // namespace

ShardRunner::ShardRunner(NodeContext& aNode,
                         std::uint32_t aShard,
                         std::uint64_t aEpoch)
  : mNode(aNode)
  , mShardNumber(aShard)
  , mRecordTimer(aNode.mIo)
{
  this->mShard.mBounds = DispatchBoundsOf(aNode.mSettings);
  this->mShard.mEpoch = aEpoch;
}

void ShardRunner::Start()
{
  this->mShard.mClaimedAt = SuspendAwareNow();
  this->Spawn("run", [self = this->shared_from_this()] { return self->Run(); });
}

void ShardRunner::Spawn(const char* aName, CoroutineFunction aMakeCoroutine)
{
  // If one coroutine of the shard ended, the shard would keep its owner but
  // make no progress. The runner stops instead, so that the shard is claimed
  // again.
  const std::weak_ptr<ShardRunner> runner = this->weak_from_this();
  SpawnOnce(this->mNode, aName, std::move(aMakeCoroutine), [runner] {
    const auto self = runner.lock();
    if (self != nullptr) {
      self->Stop();
    }
  });
}

void ShardRunner::Stop()
{
  if (this->mIsStopped) {
    return;
  }
  spdlog::info(
    "shard.stop shard={} epoch={}", this->mShardNumber, this->Epoch());
  this->mIsStopped = true;
  this->mRecordTimer.cancel();
  if (this->mIsLoaded) {
    RememberStoppedShard(this->mNode,
                         this->mShardNumber,
                         this->mStored.mWorkerSet.mGeneration,
                         this->mShard,
                         SuspendAwareNow());
  }
}

asio::awaitable<void> ShardRunner::HandOver()
{
  this->mShard.mMayStart = false;
  if (this->mIsLoaded && !this->mIsStopped) {
    co_await this->RecordProgress();
  }
  this->Stop();
}

asio::awaitable<void> ShardRunner::Run()
{
  const TimePoint startedAt = SuspendAwareNow();
  spdlog::info(
    "shard.takeover shard={} epoch={}", this->mShardNumber, this->Epoch());
  bool isLoaded = false;
  while (!isLoaded && !this->mIsStopped) {
    isLoaded = co_await this->Load();
    if (!isLoaded) {
      co_await Sleep(kRetry);
    }
  }
  if (this->mIsStopped) {
    co_return;
  }
  this->mIsLoaded = true;
  spdlog::info("shard.loaded shard={} epoch={} jobs={} ended={} workers={} "
               "after_ms={}",
               this->mShardNumber,
               this->Epoch(),
               this->mShard.mJobs.size(),
               this->mShard.mEndedJobs.size(),
               this->mStored.mWorkerSet.mWorkers.size(),
               (SuspendAwareNow() - startedAt).count());
  this->LogBarrierStart(SuspendAwareNow());
  const auto self = this->shared_from_this();
  this->Spawn("discovery", [self] { return self->PollDiscovery(); });
  this->Spawn("tick", [self] { return self->Tick(); });
  this->Spawn("record", [self] { return self->RecordPeriodically(); });
  this->Spawn("worker-set", [self] { return self->RecordSilentWorkers(); });
  this->Spawn("crashes", [self] { return self->RecordCrashes(); });
  if (this->mNode.mShards > 1) {
    this->Spawn("teams", [self] { return self->ShareTeamLimits(); });
  }
  this->Spawn("former-owner", [self] { return self->LearnFromFormerOwner(); });
}

asio::awaitable<void> ShardRunner::PollWorker(std::string aWorker)
{
  while (!this->mIsStopped) {
    co_await this->WaitForLink(aWorker);
    if (this->mIsStopped) {
      break;
    }
    DispatchWorker* worker = FindWorker(this->mShard, aWorker);
    if (worker == nullptr) {
      break;
    }
    const TimePoint sentAt = SuspendAwareNow();
    // The process may have been paused since the last tick.
    this->mShard.mLeasesEndBy = LeasesEndBy(this->mNode);
    const RenewOrder order =
      MakeRenewal(this->mShard,
                  *worker,
                  ReportWaitOf(this->mShard, *worker, sentAt),
                  sentAt);
    const WorkerAddress address{ aWorker, worker->mEndpoint };
    const WorkerReport report =
      co_await this->mNode.mWorkers.mRenew(address, order);
    if (this->mIsStopped) {
      break;
    }
    const TimePoint now = SuspendAwareNow();
    this->OnCallEnded(report.mOutcome, LatencyOf(order, report, now - sentAt));
    DispatchActions actions;
    OnReport(this->mShard, aWorker, report, sentAt, now, WallClockMs());
    const bool isGood = report.mOutcome == OrderOutcome::kDone;
    if (isGood) {
      LogWorkerReport(this->mShard, aWorker, report);
      PlanThrottles(this->mShard, aWorker, report.mRunning, now, actions);
      this->EnqueueOrders(actions);
      this->SchedulePlanning();
    }
    co_await this->RecordAnswered(aWorker);
    co_await this->PauseBeforeNextRenewal(aWorker, isGood);
  }
  this->mPolledWorkers.erase(aWorker);
}

asio::awaitable<void> ShardRunner::WaitForLink(std::string aWorker)
{
  const DispatchWorker* worker = FindWorker(this->mShard, aWorker);
  if (worker == nullptr) {
    co_return;
  }
  const TimePoint now = SuspendAwareNow();
  const TimePoint sendAt =
    ReserveReply(this->mPacing, ReplyBytes(worker->mTasks.size()), now);
  if (sendAt > now) {
    co_await Sleep(sendAt - now);
  }
}

void ShardRunner::OnCallEnded(OrderOutcome aOutcome,
                              std::optional<Duration> aLatency)
{
  CountCall(this->mCalls, aOutcome, aLatency);
  CountCall(this->mPacing.mPeriod, aOutcome, aLatency);
}

asio::awaitable<void> ShardRunner::PauseBeforeNextRenewal(std::string aWorker,
                                                          bool aIsGood)
{
  const DispatchWorker* worker = FindWorker(this->mShard, aWorker);
  if (worker == nullptr) {
    co_return;
  }
  const TimePoint reportedAt = SuspendAwareNow();
  const RenewalPause pause =
    PauseAfterReport(this->mShard, *worker, aIsGood, reportedAt);
  ++this->mRenewals[pause.mCause];
  co_await Sleep(pause.mMin);
  while (!this->mIsStopped && SuspendAwareNow() - reportedAt < pause.mMax) {
    worker = FindWorker(this->mShard, aWorker);
    const TimePoint now = SuspendAwareNow();
    if (worker == nullptr || !MustAwaitRecord(this->mShard, *worker, now)) {
      break;
    }
    // A fence or throttling may need a report sooner meanwhile.
    const RenewalPause present =
      PauseAfterReport(this->mShard, *worker, aIsGood, now);
    if (now - reportedAt >= present.mMax) {
      break;
    }
    co_await Sleep(kRecordCheckInterval);
  }
}

asio::awaitable<void> ShardRunner::RecordAnswered(std::string aWorker)
{
  const DispatchWorker* worker = FindWorker(this->mShard, aWorker);
  const bool isNeeded =
    worker != nullptr && !worker->mIsUnresponsive &&
    (worker->mIsInactive ||
     (worker->mIsRecorded && IsHeldBack(this->mShard, *worker)) ||
     worker->mFenceStage == FenceStage::kNeedsToken);
  const bool mayWrite =
    !this->mIsStopped && !IsStoreDown(this->mNode, SuspendAwareNow());
  if (isNeeded && mayWrite) {
    co_await this->RecordWorkerSet();
  }
}

bool ShardRunner::KnowsRecentOrders(TimePoint aNow)
{
  // While the store is down nobody can cancel or evacuate. Afterwards the
  // watches take some time to go on.
  if (IsStoreDown(this->mNode, aNow)) {
    this->mStoreDownAt = aNow;
  }
  const TimePoint completeAt =
    std::min(this->mInboxReads.mCompleteAt, this->mNode.mOperatorsCompleteAt);
  return aNow - std::max(completeAt, this->mStoreDownAt) <= kMaxOrdersAge;
}

std::optional<StartsForbiddenCause> ShardRunner::WhyShardMayNotStart(
  TimePoint aNow)
{
  const auto cause = WhyStartsForbidden(this->mNode, aNow);
  if (cause || this->KnowsRecentOrders(aNow)) {
    return cause;
  }
  const bool isInboxOlder =
    this->mInboxReads.mCompleteAt <= this->mNode.mOperatorsCompleteAt;
  return isInboxOlder ? StartsForbiddenCause::kOldInbox
                      : StartsForbiddenCause::kOldOperators;
}

void ShardRunner::LogStartsForbidden(std::optional<StartsForbiddenCause> aCause,
                                     TimePoint aNow)
{
  if (aCause == this->mForbiddenCause) {
    return;
  }
  if (!this->mForbiddenCause) {
    this->mForbiddenAt = aNow;
  }
  const std::string change =
    aCause ? fmt::format("shard.starts-forbidden shard={} epoch={} cause={}",
                         this->mShardNumber,
                         this->Epoch(),
                         NameOf(*aCause))
           : fmt::format("shard.starts-allowed shard={} epoch={} after_ms={}",
                         this->mShardNumber,
                         this->Epoch(),
                         (aNow - this->mForbiddenAt).count());
  spdlog::info("{} lease_valid_ms={} inbox_age_ms={} operators_age_ms={} "
               "store_down={}",
               change,
               (this->mNode.mLeaseValidUntil - aNow).count(),
               (aNow - this->mInboxReads.mCompleteAt).count(),
               (aNow - this->mNode.mOperatorsCompleteAt).count(),
               IsStoreDown(this->mNode, aNow));
  this->mForbiddenCause = aCause;
}

void ShardRunner::LogBarrierStart(TimePoint aNow)
{
  if (IsBarrierClear(this->mShard, aNow)) {
    return;
  }
  this->mBarrierStartedAt = aNow;
  spdlog::info("shard.barrier shard={} epoch={} unanswered={} ends_in_ms={} "
               "held_up_to={}",
               this->mShardNumber,
               this->Epoch(),
               this->mShard.mUnansweredWorkers.size(),
               (BarrierEndsAt(this->mShard) - aNow).count(),
               LastHeldRevision(this->mShard, aNow));
}

void ShardRunner::LogBarrierEnd(TimePoint aNow)
{
  if (this->mBarrierStartedAt == kNever ||
      !IsBarrierClear(this->mShard, aNow)) {
    return;
  }
  spdlog::info(
    "shard.barrier-clear shard={} epoch={} unanswered={} after_ms={}",
    this->mShardNumber,
    this->Epoch(),
    this->mShard.mUnansweredWorkers.size(),
    (aNow - this->mBarrierStartedAt).count());
  this->mBarrierStartedAt = kNever;
}

std::size_t ShardRunner::MaxOccurrenceBytes() const
{
  std::size_t others = 0;
  for (const auto& [number, runner] : this->mNode.mRunners) {
    others += runner.get() == this ? 0 : runner->State().mOccurrenceBytes;
  }
  const std::size_t most = OccurrenceMemoryOf(this->mNode.mSettings);
  return most > others ? most - others : 0;
}

void ShardRunner::CopyNodeStateToShard(TimePoint aNow)
{
  this->mShard.mMaxOccurrenceBytes = this->MaxOccurrenceBytes();
  const auto cause = this->WhyShardMayNotStart(aNow);
  this->LogStartsForbidden(cause, aNow);
  this->mShard.mMayStart = !cause.has_value();
  this->mShard.mLeasesEndBy = LeasesEndBy(this->mNode);
  this->mShard.mIsLeaseProved =
    !this->mNode.mIsLeaseInDoubt && aNow < this->mNode.mLeaseValidUntil;
  if (this->mNode.mOperators) {
    this->mShard.mEvacuated = this->mNode.mOperators->mEvacuated;
    this->CopyTeams(this->mNode.mOperators->mConfig);
  }
}

asio::awaitable<void> ShardRunner::Tick()
{
  TimePoint loadLoggedAt = SuspendAwareNow();
  while (!this->mIsStopped) {
    if (SuspendAwareNow() - loadLoggedAt >= kLoadLogInterval) {
      loadLoggedAt = SuspendAwareNow();
      LogShardLoad(this->mShard, this->mShardNumber);
      LogOverload(this->mShard.mOverload, this->mShardNumber);
      LogWorkerCalls(
        this->mCalls, this->mPacing, this->mRenewals, this->mShardNumber);
      this->mWaiting =
        SummarizeWaiting(this->mShard, loadLoggedAt, WallClockMs());
      LogWaiting(this->mWaiting, this->mShardNumber);
      this->mIdleJobs =
        SummarizeIdleJobs(this->mShard, loadLoggedAt, WallClockMs());
      LogIdleJobs(this->mIdleJobs, this->mShardNumber);
      this->mLongRunningWait =
        FindLongRunningWait(this->mShard, loadLoggedAt, WallClockMs());
      if (this->mLongRunningWait) {
        LogLongRunningWait(*this->mLongRunningWait,
                           this->mShardNumber,
                           this->mShard.mStartBudget);
      }
      LogTurnover(this->mShard.mTurnover,
                  CountJobsByRuns(this->mShard, loadLoggedAt, WallClockMs()),
                  this->mShardNumber);
      LogInboxReads(this->mInboxReads,
                    this->mShardNumber,
                    this->mNode.mLatestRevision,
                    loadLoggedAt);
    }
    if (this->mShard.mIsFenced) {
      spdlog::warn(
        "shard.fenced shard={} epoch={}", this->mShardNumber, this->Epoch());
      this->Stop();
      break;
    }
    AdaptRates(this->mPacing,
               this->mNode.mSettings.mLinkMbps,
               this->mShard.mWorkers.size(),
               CountRuns(this->mShard),
               this->mShard.mBounds.mMaxLease,
               SuspendAwareNow());
    this->CopyNodeStateToShard(SuspendAwareNow());
    this->LogBarrierEnd(SuspendAwareNow());
    ReapWorkers(this->mShard, SuspendAwareNow());
    DispatchActions actions;
    PlanStops(this->mShard, SuspendAwareNow(), actions);
    this->EnqueueOrders(actions);
    this->Plan();
    const TimePoint sleptAt = SuspendAwareNow();
    co_await Sleep(kTickInterval);
    this->mInboxReads.mMaxLoopDelay =
      std::max(this->mInboxReads.mMaxLoopDelay,
               SuspendAwareNow() - sleptAt - kTickInterval);
  }
}

void ShardRunner::Plan()
{
  if (this->mIsStopped || !this->mIsLoaded) {
    return;
  }
  const TimePoint now = SuspendAwareNow();
  this->CopyNodeStateToShard(now);
  const double budget = StartBudget(
    this->mPacing, this->mShard.mStartBudget, this->mStartBudgetAt, now);
  this->mStartBudgetAt = now;
  this->mShard.mStartBudget = budget;
  DispatchActions actions;
  PlanStarts(this->mShard, now, WallClockMs(), actions);
  this->mPacing.mStarts.mUsed += budget - this->mShard.mStartBudget;
  this->EnqueueOrders(actions);
  this->mPlanTime = SuspendAwareNow() - now;
  this->mInboxReads.mMaxPlanTime =
    std::max(this->mInboxReads.mMaxPlanTime, this->mPlanTime);
  const bool hasUnstoredEnd = std::any_of(
    this->mShard.mJobs.begin(), this->mShard.mJobs.end(), [](const auto& aJob) {
      return IsFinal(aJob.second.mState) && aJob.second.mIsDirty;
    });
  if (hasUnstoredEnd) {
    this->mRecordTimer.cancel();
  }
}

void ShardRunner::SchedulePlanning()
{
  if (this->mIsPlanningScheduled) {
    return;
  }
  this->mIsPlanningScheduled = true;
  this->Spawn("plan",
              [self = this->shared_from_this()]() -> asio::awaitable<void> {
                co_await Sleep(
                  std::max(kPlanDelay, kMinPlanDelayFactor * self->mPlanTime));
                self->mIsPlanningScheduled = false;
                self->Plan();
              });
}

void ShardRunner::EnqueueOrders(DispatchActions& aActions)
{
  std::set<std::string> workersWithOrders;
  for (auto& row : aActions.mStarts) {
    this->mOrderQueues[row.mWorker].mStarts.push_back(std::move(row.mOrder));
    workersWithOrders.insert(row.mWorker);
  }
  for (auto& row : aActions.mStops) {
    this->mOrderQueues[row.mWorker].mStops.push_back(std::move(row.mOrder));
    workersWithOrders.insert(row.mWorker);
  }
  for (auto& row : aActions.mThrottleOrders) {
    this->mOrderQueues[row.mWorker].mThrottleOrders.push_back(
      std::move(row.mOrder));
    workersWithOrders.insert(row.mWorker);
  }
  for (const auto& worker : workersWithOrders) {
    this->StartSenders(worker);
  }
}

void ShardRunner::StartSenders(const std::string& aWorker)
{
  OrderQueue& queue = this->mOrderQueues[aWorker];
  const auto waiting =
    queue.mStarts.size() + queue.mStops.size() + queue.mThrottleOrders.size();
  const int wanted =
    static_cast<int>(std::min<std::size_t>(waiting, kSendersPerWorker));
  // A sender that has nothing to send ends at once, and isn't replaced.
  for (int missing = wanted - queue.mSenders; missing > 0; --missing) {
    ++queue.mSenders;
    this->Spawn("orders", [self = this->shared_from_this(), aWorker] {
      return self->SendOrders(aWorker);
    });
  }
}

asio::awaitable<void> ShardRunner::SendOrders(std::string aWorker)
{
  const auto self = this->shared_from_this();
  OrderQueue& queue = this->mOrderQueues[aWorker];
  while (!this->mIsStopped) {
    DispatchWorker* worker = FindWorker(this->mShard, aWorker);
    if (worker == nullptr) {
      queue.mStarts.clear();
      queue.mStops.clear();
      queue.mThrottleOrders.clear();
      break;
    }
    const WorkerAddress address{ aWorker, worker->mEndpoint };
    if (!queue.mThrottleOrders.empty()) {
      const ThrottleOrder order = PopFront(queue.mThrottleOrders);
      const TimePoint sentAt = SuspendAwareNow();
      const OrderReply reply =
        co_await this->mNode.mWorkers.mSetThrottle(address, order);
      this->OnCallEnded(reply.mOutcome, SuspendAwareNow() - sentAt);
    } else if (!queue.mStops.empty()) {
      const StopOrder order = PopFront(queue.mStops);
      const TimePoint sentAt = SuspendAwareNow();
      const OrderReply reply =
        co_await this->mNode.mWorkers.mStop(address, order);
      this->OnCallEnded(reply.mOutcome, SuspendAwareNow() - sentAt);
      OnStopReply(this->mShard, aWorker, order, reply, SuspendAwareNow());
    } else if (!queue.mStarts.empty()) {
      StartOrder order = PopFront(queue.mStarts);
      if (!IsStartPending(this->mShard, aWorker, order)) {
        continue;
      }
      const TimePoint now = SuspendAwareNow();
      if (EstimateClock(*worker, now) > order.mNotAfter) {
        const OrderReply notSent{ OrderOutcome::kNotSent, 0 };
        OnStartReply(this->mShard, aWorker, order, notSent, now);
        this->SchedulePlanning();
        continue;
      }
      if (!MaySendStart(*worker)) {
        queue.mStarts.push_front(std::move(order));
        co_await Sleep(kHeldStartPause);
        continue;
      }
      const OrderReply reply =
        co_await this->mNode.mWorkers.mStart(address, order);
      const TimePoint answeredAt = SuspendAwareNow();
      this->OnCallEnded(reply.mOutcome, answeredAt - now);
      OnStartReply(this->mShard, aWorker, order, reply, answeredAt);
      DispatchActions actions;
      ThrottleStartedProbe(this->mShard, aWorker, order, answeredAt, actions);
      this->EnqueueOrders(actions);
      if (reply.mOutcome != OrderOutcome::kDone) {
        this->SchedulePlanning();
      }
    } else {
      break;
    }
  }
  --queue.mSenders;
}

std::optional<BatchState> ShardRunner::StateOf(const JobId& aJob) const
{
  const auto found = this->mShard.mJobs.find(aJob);
  if (found != this->mShard.mJobs.end()) {
    const DispatchJob& job = found->second;
    const bool mayShowState = !IsFinal(job.mState) || job.mIsFinalStored;
    return mayShowState ? job.mState : BatchState::kRunning;
  }
  const auto ended = this->mShard.mEndedJobs.find(aJob);
  if (ended != this->mShard.mEndedJobs.end()) {
    return ended->second.mState;
  }
  return std::nullopt;
}

std::map<std::string, std::uint64_t> ShardRunner::Waiting() const
{
  std::map<std::string, std::uint64_t> waiting;
  for (const auto& [id, job] : this->mShard.mJobs) {
    if (job.mState == BatchState::kQueued) {
      ++waiting[job.mRecord.mTerms.mQueue];
    }
  }
  return waiting;
}

} // namespace verbenacroft
