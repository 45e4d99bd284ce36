#include "vcShardRunner.h"

#include "vcMembership.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kRetry{ 150 };
constexpr Duration kInboxWait{ 2'000 };
constexpr Duration kDiscoveryInterval{ 700 };
constexpr Duration kTick{ 100 };
constexpr Duration kLoadLogInterval{ 1'000 };
/// Reports and outcomes of this time are planned for together.
constexpr Duration kPlanDelay{ 4 };
/// Reports are read for at least this many times as long as the last
/// planning took.
constexpr int kPlanRest = 3;
/// Ends of this time are recorded together.
constexpr Duration kRecordInterval{ 200 };
/// The end of a job is shown only when recorded, so it doesn't wait long.
constexpr Duration kUrgentRecordInterval{ 25 };
/// How long a worker may wait for an end before it reports.
constexpr Duration kReportWait{ 1'000 };
/// The same where a serving task is close to its target.
constexpr Duration kDisturbedReportWait{ 350 };
/// Ends that come close together share a report.
constexpr Duration kReportPause{ 15 };
/// While ends wait to be recorded, a worker answers at once with the same
/// ends again.
constexpr Duration kUnrecordedPause{ 80 };
constexpr Duration kSilentRetry{ 200 };
/// Orders under way to one worker at a time.
constexpr int kSendersPerWorker = 2;
/// Run numbers that one ownership may use for a task.
constexpr std::uint32_t kRunsPerOwnership = 256;
constexpr std::size_t kMostFinalsForgotten = 8;
constexpr Duration kForgetInterval{ 5'000 };

/// Identifier in a key, which a dot may follow.
JobId JobInKey(std::string_view aKey, std::string_view aPrefix)
{
  const auto rest = aKey.substr(aPrefix.size());
  return JobId(rest.substr(0, rest.find('.')));
}

/// Entries of a transaction that recording the job's progress takes.
std::size_t EntriesOf(const DispatchJob& aJob)
{
  constexpr std::size_t kCondition = 1;
  constexpr std::size_t kPut = 1;
  constexpr std::size_t kInboxKeys = 2;
  return kCondition + kPut + (IsFinal(aJob.mState) ? kInboxKeys : 0);
}

/// Ends of one lifetime of a worker that a record covers.
struct Covered
{
  std::int64_t mBorn = 0;
  std::uint64_t mIndex = 0;
};

template<class Rows>
auto PopFront(Rows& aRows)
{
  auto row = std::move(aRows.front());
  aRows.pop_front();
  return row;
}

/// What runs on a worker, for a look at how tasks share it: kind, image,
/// needed processors, measurement, pace and progress of each.
void LogReport(DispatchShard& aShard,
               const std::string& aWorker,
               const WorkerReport& aReport)
{
  if (!spdlog::should_log(spdlog::level::debug)) {
    return;
  }
  std::string rows;
  for (const auto& row : aReport.mRunning) {
    const TaskId key = row.mTask;
    const TaskSlot* task = FindTask(aShard, key);
    if (task == nullptr) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    const char* kind = step.mTargetMs > 0 ? "S" : step.mIsFilling ? "F" : "P";
    rows += fmt::format("{}:{}:{}:{}:{}:{}:{};",
                        kind,
                        step.mImage,
                        step.mNeeds.mMilliCpu,
                        row.mMeasured,
                        task->mPacePercent,
                        step.mTargetMs,
                        row.mProgressPercent);
  }
  spdlog::debug("worker.report worker={} capacity_mcpu={} rows={}",
                aWorker,
                aShard.mWorkers.at(aWorker).mEntry.mCapacity.mMilliCpu,
                rows);
}

/// One line that says how full the shard is.
void LogLoad(const DispatchShard& aShard, std::uint32_t aNumber)
{
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t filling = 0;
  std::size_t runs = 0;
  std::size_t silent = 0;
  std::size_t serving = 0;
  std::size_t servingWorkers = 0;
  std::size_t mixedWorkers = 0;
  std::size_t noFilling = 0;
  std::int64_t room = 0;
  double servingUse = 0;
  for (const auto& [name, worker] : aShard.mWorkers) {
    capacity += worker.mEntry.mCapacity.mMilliCpu;
    used += worker.mUsed.mMilliCpu;
    filling += worker.mFillingCpu;
    runs += worker.mTasks.size();
    for (const auto& [image, count] : worker.mServingImages) {
      serving += count;
    }
    servingWorkers += worker.mServingImages.empty() ? 0 : 1;
    mixedWorkers += worker.mServingImages.size() > 1 ? 1 : 0;
    silent += worker.mIsSilent ? 1 : 0;
    room += std::max<std::int64_t>(FillingRoom(worker), 0);
    servingUse += worker.mServingUse.mNow;
    noFilling += worker.mNoFillingUntil > SuspendAwareNow() ? 1 : 0;
  }
  spdlog::info(
    "shard.load shard={} workers={} silent={} capacity_mcpu={} "
    "used_mcpu={} filling_mcpu={} filling_room_mcpu={} "
    "serving_use_mcpu={:.0f} runs={} serving={} "
    "serving_workers={} mixed_workers={} no_filling_workers={} jobs={}",
    aNumber,
    aShard.mWorkers.size(),
    silent,
    capacity,
    used,
    filling,
    room,
    servingUse,
    runs,
    serving,
    servingWorkers,
    mixedWorkers,
    noFilling,
    aShard.mJobs.size());
  for (const auto& [image, profile] : aShard.mServingProfiles) {
    spdlog::debug("shard.image shard={} image={} least_share={:.3f} "
                  "mean_load={:.2f} high_load={:.2f} mean_added={:.2f}",
                  aNumber,
                  image,
                  profile.mLeastShare,
                  profile.mMeanLoad,
                  profile.mHighLoad,
                  profile.mMeanAdded);
  }
}

} // namespace

CrewRecord NextCrew(const CrewRecord& aEarlier, const std::string& aNode)
{
  CrewRecord crew = aEarlier;
  ++crew.mGeneration;
  // An earlier life of this very node can't act any more.
  const bool hasStopped = aEarlier.mOwner.empty() || aEarlier.mOwner == aNode;
  crew.mHasEarlierStopped = aEarlier.mIsSettled && hasStopped;
  crew.mOwner = aNode;
  crew.mIsSettled = false;
  return crew;
}

ShardRunner::ShardRunner(NodeContext& aNode,
                         std::uint32_t aShard,
                         std::uint64_t aEpoch)
  : mNode(aNode)
  , mNumber(aShard)
  , mRecordTimer(aNode.mIo)
{
  this->mShard.mBounds = DispatchBoundsOf(aNode.mSettings);
  this->mShard.mEpoch = aEpoch;
}

void ShardRunner::Start()
{
  this->Spawn("run", [self = this->shared_from_this()] { return self->Run(); });
}

void ShardRunner::Spawn(const char* aName, Loop aLoop)
{
  // A shard without one of its loops would seem to be owned and stand still.
  const std::weak_ptr<ShardRunner> runner = this->weak_from_this();
  SpawnGuarded(this->mNode, aName, std::move(aLoop), [runner] {
    const auto self = runner.lock();
    if (self != nullptr) {
      self->Stop();
    }
  });
}

void ShardRunner::Stop()
{
  if (!this->mIsStopped) {
    spdlog::info("shard.stop shard={} epoch={}", this->mNumber, this->Epoch());
  }
  this->mIsStopped = true;
  this->mRecordTimer.cancel();
}

asio::awaitable<void> ShardRunner::HandOver()
{
  this->mShard.mMayStart = false;
  if (this->mIsLoaded && !this->mIsStopped) {
    co_await this->RecordProgress();
  }
  this->Stop();
}

CrewRecord ShardRunner::HandedOverCrew() const
{
  CrewRecord crew = this->mCrew;
  crew.mOwner.clear();
  return crew;
}

asio::awaitable<void> ShardRunner::Run()
{
  const TimePoint startedAt = SuspendAwareNow();
  spdlog::info("shard.take shard={} epoch={}", this->mNumber, this->Epoch());
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
  spdlog::info("shard.loaded shard={} epoch={} jobs={} ended={} crew={} "
               "after_ms={}",
               this->mNumber,
               this->Epoch(),
               this->mShard.mJobs.size(),
               this->mShard.mEndedJobs.size(),
               this->mCrew.mWorkers.size(),
               (SuspendAwareNow() - startedAt).count());
  const auto self = this->shared_from_this();
  this->Spawn("discovery", [self] { return self->FollowDiscovery(); });
  this->Spawn("tick", [self] { return self->Tick(); });
  this->Spawn("record", [self] { return self->KeepRecorded(); });
}

asio::awaitable<bool> ShardRunner::LoadCrew()
{
  const KvReply read =
    co_await this->mNode.mStore.mRead(CrewKey(this->mNumber));
  NoteStoreReply(this->mNode, read);
  if (read.mStatus != KvStatus::kOk || read.mItems.empty()) {
    co_return false;
  }
  const auto crew = TryDecode<CrewRecord>(read.mItems[0].mValue);
  if (!crew) {
    spdlog::error("shard.crew-unreadable shard={}", this->mNumber);
    co_return false;
  }
  this->mCrew = *crew;
  this->mCrewRevision = read.mItems[0].mRevision;
  this->mShard.mRunBase = (crew->mGeneration - 1) * kRunsPerOwnership;
  const TimePoint now = SuspendAwareNow();
  const DispatchBounds& bounds = this->mShard.mBounds;
  const auto longestLease = Duration(static_cast<std::int64_t>(
    static_cast<double>(bounds.mMaxLease.count()) / kSlowestClock));
  const Duration runOn =
    crew->mHasEarlierStopped ? Duration(0) : bounds.mOwnerRunOn;
  this->mShard.mBarrierUntil = now + runOn + longestLease;
  for (const auto& member : crew->mWorkers) {
    const auto endpoint = ParseEndpoint(member.mAddress);
    if (!endpoint) {
      continue;
    }
    DispatchWorker& worker = this->mShard.mWorkers[member.mWorker];
    worker.mEntry.mWorker = member.mWorker;
    worker.mEntry.mAddress = member.mAddress;
    worker.mEndpoint = *endpoint;
    worker.mIsRecorded = true;
    worker.mLastHeardAt = now;
    this->mShard.mUnansweredWorkers.insert(member.mWorker);
  }
  co_return true;
}

asio::awaitable<bool> ShardRunner::Load()
{
  this->mShard.mJobs.clear();
  this->mShard.mEndedJobs.clear();
  this->mShard.mCancelledEarly.clear();
  this->mShard.mWorkers.clear();
  this->mShard.mUnansweredWorkers.clear();
  const bool hasCrew = co_await this->LoadCrew();
  if (!hasCrew) {
    co_return false;
  }
  const KvReply inbox =
    co_await ReadAll(this->mNode, InboxPrefix(this->mNumber));
  if (inbox.mStatus != KvStatus::kOk) {
    co_return false;
  }
  const KvReply progress =
    co_await ReadAll(this->mNode, ProgressPrefix(this->mNumber));
  if (progress.mStatus != KvStatus::kOk || !this->IsInboxMine(inbox.mItems)) {
    co_return false;
  }
  for (const auto& item : inbox.mItems) {
    if (item.mKey.ends_with(".job")) {
      this->ApplyInbox(item);
    }
  }
  for (const auto& item : progress.mItems) {
    this->ApplyStoredProgress(item);
  }
  for (const auto& item : inbox.mItems) {
    if (!item.mKey.ends_with(".job")) {
      this->ApplyInbox(item);
    }
  }
  const auto self = this->shared_from_this();
  this->Spawn("inbox", [self, revision = inbox.mRevision] {
    return self->FollowInbox(revision);
  });
  co_return true;
}

bool ShardRunner::IsInboxMine(const std::vector<KvItem>& aItems)
{
  const std::string ownerKey = InboxOwnerKey(this->mNumber);
  const bool isTaken =
    std::any_of(aItems.begin(), aItems.end(), [&](const KvItem& aItem) {
      return aItem.mKey == ownerKey && aItem.mRevision > this->Epoch();
    });
  if (isTaken) {
    spdlog::warn("shard.lost shard={} epoch={} reason=claimed-by-another",
                 this->mNumber,
                 this->Epoch());
    this->Stop();
  }
  return !isTaken;
}

void ShardRunner::ApplyInbox(const KvItem& aItem)
{
  if (aItem.mIsRemoved || aItem.mKey == InboxOwnerKey(this->mNumber)) {
    return;
  }
  const JobId id = JobInKey(aItem.mKey, InboxPrefix(this->mNumber));
  const TimePoint now = SuspendAwareNow();
  const std::int64_t nowMs = WallClockMs();
  if (aItem.mKey.ends_with(".cancel")) {
    CancelJob(this->mShard, id, now, nowMs);
    this->mRecordTimer.cancel();
    return;
  }
  auto record = TryDecode<BatchRecord>(aItem.mValue);
  if (!record) {
    spdlog::error("job.unreadable job={} revision={}", id, aItem.mRevision);
    return;
  }
  const bool isNew =
    !this->mShard.mJobs.contains(id) && !this->mShard.mEndedJobs.contains(id);
  if (!isNew) {
    return;
  }
  spdlog::info("job.take job={} queue={} steps={} revision={} age_ms={}",
               id,
               record->mTerms.mQueue,
               record->mSpec.mSteps.size(),
               aItem.mRevision,
               nowMs - record->mAcceptedAtMs);
  AddJob(
    this->mShard, id, std::move(*record), aItem.mCreateRevision, now, nowMs);
}

void ShardRunner::ApplyStoredProgress(const KvItem& aItem)
{
  const JobId id = JobInKey(aItem.mKey, ProgressPrefix(this->mNumber));
  const auto progress = TryDecode<BatchProgress>(aItem.mValue);
  if (!progress) {
    spdlog::error("job.progress-unreadable job={}", id);
    return;
  }
  if (IsFinal(progress->mState)) {
    this->mShard.mEndedJobs[id] = { progress->mState, progress->mEndedAtMs };
    this->mShard.mJobs.erase(id);
    return;
  }
  ApplyProgress(this->mShard, id, *progress);
  DispatchJob* job = FindJob(this->mShard, id);
  if (job != nullptr) {
    job->mProgressRevision = aItem.mRevision;
  }
}

asio::awaitable<void> ShardRunner::FollowInbox(std::uint64_t aRevision)
{
  KvWatch watch{ InboxPrefix(this->mNumber), aRevision, kInboxWait };
  while (!this->mIsStopped) {
    const KvReply news = co_await this->mNode.mStore.mWatch(watch);
    NoteStoreReply(this->mNode, news);
    if (this->mIsStopped) {
      co_return;
    }
    if (news.mStatus == KvStatus::kCompacted) {
      const KvReply all = co_await ReadAll(this->mNode, watch.mPrefix);
      const bool isRead = all.mStatus == KvStatus::kOk;
      if (isRead && !this->IsInboxMine(all.mItems)) {
        co_return;
      }
      if (isRead) {
        for (const auto& item : all.mItems) {
          this->ApplyInbox(item);
        }
        watch.mAfterRevision = all.mRevision;
      }
    } else if (news.mStatus == KvStatus::kOk) {
      if (!this->IsInboxMine(news.mItems)) {
        co_return;
      }
      for (const auto& item : news.mItems) {
        this->ApplyInbox(item);
      }
      watch.mAfterRevision = std::max(watch.mAfterRevision, news.mRevision);
    } else {
      co_await Sleep(kRetry);
      continue;
    }
    this->PlanSoon();
  }
}

asio::awaitable<void> ShardRunner::FollowDiscovery()
{
  while (!this->mIsStopped) {
    const std::string& prefix = this->mNode.mCodec.mDiscoveryPrefix;
    const KvReply listed = co_await ReadAll(this->mNode, prefix);
    if (this->mIsStopped) {
      co_return;
    }
    if (listed.mStatus == KvStatus::kOk) {
      std::vector<WorkerEntry> entries;
      for (const auto& item : listed.mItems) {
        if (ShardOf(item.mKey, this->mNode.mShards) != this->mNumber) {
          continue;
        }
        Faults faults;
        auto entry =
          this->mNode.mCodec.mDecodeWorker(item.mKey, item.mValue, faults);
        if (entry) {
          entries.push_back(std::move(*entry));
        } else {
          spdlog::debug("worker.entry-skipped key={} fault={}",
                        item.mKey,
                        faults.empty() ? "" : faults[0].mPath);
        }
      }
      OnDiscovery(this->mShard, entries, SuspendAwareNow());
      co_await this->RecordCrew();
      this->PlanSoon();
    }
    for (const auto& [name, worker] : this->mShard.mWorkers) {
      if (this->mFollowed.insert(name).second) {
        this->Spawn("worker", [self = this->shared_from_this(), name = name] {
          return self->FollowWorker(name);
        });
      }
    }
    co_await Sleep(kDiscoveryInterval);
  }
}

asio::awaitable<void> ShardRunner::FollowWorker(std::string aWorker)
{
  while (!this->mIsStopped) {
    DispatchWorker* worker = FindWorker(this->mShard, aWorker);
    if (worker == nullptr) {
      break;
    }
    const TimePoint sentAt = SuspendAwareNow();
    const bool isDisturbed = worker->mNoFillingUntil > sentAt;
    const RenewOrder order =
      MakeRenewal(this->mShard,
                  *worker,
                  isDisturbed ? kDisturbedReportWait : kReportWait,
                  sentAt);
    const WorkerAddress address{ aWorker, worker->mEndpoint };
    const WorkerReport report =
      co_await this->mNode.mWorkers.mRenew(address, order);
    if (this->mIsStopped) {
      break;
    }
    const TimePoint now = SuspendAwareNow();
    DispatchActions actions;
    OnReport(this->mShard, aWorker, report, sentAt, now, WallClockMs());
    const bool isGood = report.mOutcome == OrderOutcome::kDone;
    if (isGood) {
      LogReport(this->mShard, aWorker, report);
      PlanPaces(this->mShard, aWorker, report.mRunning, now, actions);
      this->Send(actions);
      this->PlanSoon();
    }
    co_await Sleep(this->PauseAfterReport(aWorker, isGood));
  }
  this->mFollowed.erase(aWorker);
}

Duration ShardRunner::PauseAfterReport(const std::string& aWorker, bool aIsGood)
{
  if (!aIsGood) {
    return kSilentRetry;
  }
  const DispatchWorker* worker = FindWorker(this->mShard, aWorker);
  const bool isOwed =
    worker != nullptr && worker->mAckIndex < worker->mSeenIndex;
  return isOwed ? kUnrecordedPause : kReportPause;
}

void ShardRunner::SyncShard(TimePoint aNow)
{
  this->mShard.mMayStart = MayStart(this->mNode, aNow);
  this->mShard.mIsLeaseProved =
    !this->mNode.mIsLeaseInDoubt && aNow < this->mNode.mLeaseValidUntil;
  if (this->mNode.mOperators) {
    this->mShard.mEvacuated = this->mNode.mOperators->mEvacuated;
  }
}

asio::awaitable<void> ShardRunner::Tick()
{
  TimePoint loadLoggedAt = SuspendAwareNow();
  while (!this->mIsStopped) {
    if (SuspendAwareNow() - loadLoggedAt >= kLoadLogInterval) {
      loadLoggedAt = SuspendAwareNow();
      LogLoad(this->mShard, this->mNumber);
    }
    if (this->mShard.mIsDeposed) {
      spdlog::warn(
        "shard.deposed shard={} epoch={}", this->mNumber, this->Epoch());
      this->Stop();
      break;
    }
    this->SyncShard(SuspendAwareNow());
    ReapWorkers(this->mShard, SuspendAwareNow());
    DispatchActions actions;
    PlanStops(this->mShard, SuspendAwareNow(), actions);
    this->Send(actions);
    this->Plan();
    co_await Sleep(kTick);
  }
}

void ShardRunner::Plan()
{
  if (this->mIsStopped || !this->mIsLoaded) {
    return;
  }
  const TimePoint now = SuspendAwareNow();
  this->SyncShard(now);
  DispatchActions actions;
  PlanStarts(this->mShard, now, WallClockMs(), actions);
  this->Send(actions);
  this->mPlanTime = SuspendAwareNow() - now;
  const bool hasUnstoredEnd = std::any_of(
    this->mShard.mJobs.begin(), this->mShard.mJobs.end(), [](const auto& aJob) {
      return IsFinal(aJob.second.mState) && aJob.second.mIsDirty;
    });
  if (hasUnstoredEnd) {
    this->mRecordTimer.cancel();
  }
}

void ShardRunner::PlanSoon()
{
  if (this->mIsPlanDue) {
    return;
  }
  this->mIsPlanDue = true;
  this->Spawn(
    "plan", [self = this->shared_from_this()]() -> asio::awaitable<void> {
      co_await Sleep(std::max(kPlanDelay, kPlanRest * self->mPlanTime));
      self->mIsPlanDue = false;
      self->Plan();
    });
}

void ShardRunner::Send(DispatchActions& aActions)
{
  std::set<std::string> touched;
  for (auto& row : aActions.mStarts) {
    this->mLanes[row.mWorker].mStarts.push_back(std::move(row.mOrder));
    touched.insert(row.mWorker);
  }
  for (auto& row : aActions.mStops) {
    this->mLanes[row.mWorker].mStops.push_back(std::move(row.mOrder));
    touched.insert(row.mWorker);
  }
  for (auto& row : aActions.mPaces) {
    this->mLanes[row.mWorker].mPaces.push_back(std::move(row.mOrder));
    touched.insert(row.mWorker);
  }
  for (const auto& worker : touched) {
    this->StartSenders(worker);
  }
}

void ShardRunner::StartSenders(const std::string& aWorker)
{
  OrderLane& lane = this->mLanes[aWorker];
  const auto waiting =
    lane.mStarts.size() + lane.mStops.size() + lane.mPaces.size();
  const int wanted =
    static_cast<int>(std::min<std::size_t>(waiting, kSendersPerWorker));
  while (lane.mSenders < wanted) {
    ++lane.mSenders;
    this->Spawn("orders", [self = this->shared_from_this(), aWorker] {
      return self->SendOrders(aWorker);
    });
  }
}

asio::awaitable<void> ShardRunner::SendOrders(std::string aWorker)
{
  const auto self = this->shared_from_this();
  OrderLane& lane = this->mLanes[aWorker];
  while (!this->mIsStopped) {
    DispatchWorker* worker = FindWorker(this->mShard, aWorker);
    if (worker == nullptr) {
      lane.mStarts.clear();
      lane.mStops.clear();
      lane.mPaces.clear();
      break;
    }
    const WorkerAddress address{ aWorker, worker->mEndpoint };
    if (!lane.mPaces.empty()) {
      const PaceOrder order = PopFront(lane.mPaces);
      co_await this->mNode.mWorkers.mPace(address, order);
    } else if (!lane.mStops.empty()) {
      const StopOrder order = PopFront(lane.mStops);
      const OrderReply reply =
        co_await this->mNode.mWorkers.mStop(address, order);
      OnStopReply(this->mShard, aWorker, order, reply, SuspendAwareNow());
    } else if (!lane.mStarts.empty()) {
      const StartOrder order = PopFront(lane.mStarts);
      const OrderReply reply =
        co_await this->mNode.mWorkers.mStart(address, order);
      OnStartReply(this->mShard, aWorker, order, reply, SuspendAwareNow());
      if (reply.mOutcome != OrderOutcome::kDone) {
        this->PlanSoon();
      }
    } else {
      break;
    }
  }
  --lane.mSenders;
}

asio::awaitable<void> ShardRunner::KeepRecorded()
{
  TimePoint forgottenAt = SuspendAwareNow();
  while (!this->mIsStopped) {
    co_await Sleep(kUrgentRecordInterval);
    this->mRecordTimer.expires_after(kRecordInterval - kUrgentRecordInterval);
    co_await this->mRecordTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->mIsStopped) {
      co_return;
    }
    const bool isRecorded = co_await this->RecordProgress();
    if (!isRecorded) {
      co_await Sleep(kRetry);
    }
    const TimePoint now = SuspendAwareNow();
    if (now - forgottenAt > kForgetInterval && !this->mIsStopped) {
      forgottenAt = now;
      co_await this->ForgetOldJobs();
    }
  }
}

asio::awaitable<bool> ShardRunner::RecordProgress()
{
  // Jobs of a write under way count as recorded, so the ends that it holds
  // would be acknowledged before it has succeeded.
  while (this->mIsRecording) {
    co_await Sleep(kUrgentRecordInterval);
  }
  this->mIsRecording = true;
  const bool isRecorded = co_await this->RecordDirtyJobs();
  this->mIsRecording = false;
  co_return isRecorded;
}

asio::awaitable<bool> ShardRunner::RecordDirtyJobs()
{
  // Ends up to these are in the records that follow.
  std::map<std::string, Covered> covered;
  for (const auto& [name, worker] : this->mShard.mWorkers) {
    if (worker.mSeenIndex > worker.mAckIndex) {
      covered[name] = { worker.mBorn, worker.mSeenIndex };
    }
  }
  std::vector<JobId> batch;
  std::size_t entries = 1;
  std::vector<std::vector<JobId>> batches;
  for (auto& [id, job] : this->mShard.mJobs) {
    if (!job.mIsDirty) {
      continue;
    }
    if (entries + EntriesOf(job) > kKvTransactionEntries) {
      batches.push_back(std::move(batch));
      batch = {};
      entries = 1;
    }
    batch.push_back(id);
    entries += EntriesOf(job);
  }
  if (!batch.empty()) {
    batches.push_back(std::move(batch));
  }
  bool isRecorded = true;
  for (auto& jobs : batches) {
    const bool isCommitted = co_await this->CommitProgress(std::move(jobs));
    isRecorded = isRecorded && isCommitted;
    if (!isRecorded || this->mIsStopped) {
      co_return false;
    }
  }
  for (const auto& [name, ends] : covered) {
    DispatchWorker* worker = FindWorker(this->mShard, name);
    // A new lifetime counts its ends anew.
    if (worker != nullptr && worker->mBorn == ends.mBorn) {
      worker->mAckIndex = std::max(worker->mAckIndex, ends.mIndex);
    }
  }
  co_return true;
}

asio::awaitable<bool> ShardRunner::CommitProgress(std::vector<JobId> aJobs)
{
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(this->mNumber), this->Epoch() });
  for (const auto& id : aJobs) {
    DispatchJob& job = this->mShard.mJobs.at(id);
    job.mIsDirty = false;
    const std::string key = ProgressKey(this->mNumber, id);
    write.mConditions.push_back({ key, job.mProgressRevision });
    write.mPuts.push_back(LastingPut(key, Encode(ProgressOf(job))));
    if (IsFinal(job.mState)) {
      write.mDeletes.push_back(InboxJobKey(this->mNumber, id));
      write.mDeletes.push_back(CancelKey(this->mNumber, id));
    }
  }
  const KvReply reply = co_await this->mNode.mStore.mCommit(std::move(write));
  NoteStoreReply(this->mNode, reply);
  if (reply.mStatus == KvStatus::kOk) {
    this->OnRecorded(aJobs, reply.mRevision);
    co_return true;
  }
  spdlog::info("shard.record-failed shard={} epoch={} jobs={} outcome={}",
               this->mNumber,
               this->Epoch(),
               aJobs.size(),
               NameOf(reply.mStatus));
  for (const auto& id : aJobs) {
    DispatchJob* job = FindJob(this->mShard, id);
    if (job != nullptr) {
      job->mIsDirty = true;
    }
  }
  if (reply.mStatus == KvStatus::kConflict) {
    this->OnProgressConflict(reply);
  }
  co_return false;
}

void ShardRunner::OnRecorded(const std::vector<JobId>& aJobs,
                             std::uint64_t aRevision)
{
  for (const auto& id : aJobs) {
    DispatchJob* job = FindJob(this->mShard, id);
    if (job == nullptr) {
      continue;
    }
    job->mProgressRevision = aRevision;
    // A job that ended while the write was under way is still dirty.
    const bool isStored = IsFinal(job->mState) && !job->mIsDirty;
    if (isStored) {
      job->mIsFinalStored = true;
      this->mShard.mEndedJobs[id] = { job->mState, job->mEndedAtMs };
    }
  }
}

void ShardRunner::OnProgressConflict(const KvReply& aReply)
{
  bool isOwner = false;
  for (const auto& item : aReply.mItems) {
    if (item.mKey == OwnerKey(this->mNumber)) {
      isOwner = item.mRevision == this->Epoch();
      continue;
    }
    // An earlier write of ours took effect although its answer was lost.
    DispatchJob* job =
      item.mKey.starts_with(ProgressPrefix(this->mNumber))
        ? FindJob(this->mShard,
                  JobInKey(item.mKey, ProgressPrefix(this->mNumber)))
        : nullptr;
    if (job != nullptr) {
      job->mProgressRevision = item.mRevision;
    }
  }
  if (!isOwner) {
    spdlog::warn("shard.lost shard={} epoch={} reason=owner-key-changed",
                 this->mNumber,
                 this->Epoch());
    this->Stop();
  }
}

asio::awaitable<bool> ShardRunner::RecordCrew()
{
  std::set<std::string> recorded;
  for (const auto& member : this->mCrew.mWorkers) {
    recorded.insert(member.mWorker + " " + member.mAddress);
  }
  CrewRecord crew = this->mCrew;
  crew.mWorkers.clear();
  crew.mIsSettled = IsBarrierClear(this->mShard, SuspendAwareNow());
  bool isChanged = recorded.size() != this->mShard.mWorkers.size() ||
                   crew.mIsSettled != this->mCrew.mIsSettled;
  for (const auto& [name, worker] : this->mShard.mWorkers) {
    crew.mWorkers.push_back({ name, worker.mEntry.mAddress });
    isChanged =
      isChanged || !recorded.contains(name + " " + worker.mEntry.mAddress);
  }
  if (!isChanged) {
    this->MarkRecorded();
    co_return true;
  }
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(this->mNumber), this->Epoch() });
  write.mConditions.push_back({ CrewKey(this->mNumber), this->mCrewRevision });
  write.mPuts.push_back(LastingPut(CrewKey(this->mNumber), Encode(crew)));
  const KvReply reply = co_await this->mNode.mStore.mCommit(std::move(write));
  NoteStoreReply(this->mNode, reply);
  if (reply.mStatus == KvStatus::kConflict) {
    for (const auto& item : reply.mItems) {
      if (item.mKey == CrewKey(this->mNumber)) {
        this->mCrewRevision = item.mRevision;
      }
    }
    this->OnProgressConflict(reply);
  }
  if (reply.mStatus != KvStatus::kOk) {
    co_return false;
  }
  this->mCrew = std::move(crew);
  this->mCrewRevision = reply.mRevision;
  this->MarkRecorded();
  co_return true;
}

void ShardRunner::MarkRecorded()
{
  for (const auto& member : this->mCrew.mWorkers) {
    DispatchWorker* worker = FindWorker(this->mShard, member.mWorker);
    if (worker != nullptr) {
      worker->mIsRecorded = true;
    }
  }
}

asio::awaitable<void> ShardRunner::ForgetOldJobs()
{
  const TimePoint now = SuspendAwareNow();
  const std::int64_t nowMs = WallClockMs();
  for (auto at = this->mShard.mJobs.begin(); at != this->mShard.mJobs.end();) {
    const DispatchJob& job = at->second;
    const bool isOver = job.mIsFinalStored && !job.mIsDirty &&
                        job.mRunsOut == 0 &&
                        now - job.mEndedAt > kForgetInterval;
    at = isOver ? this->mShard.mJobs.erase(at) : std::next(at);
  }
  KvTransaction write;
  write.mConditions.push_back({ OwnerKey(this->mNumber), this->Epoch() });
  std::vector<JobId> forgotten;
  const std::int64_t keptMs = 2 * this->mShard.mBounds.mStatus.count();
  for (const auto& [id, ended] : this->mShard.mEndedJobs) {
    const bool isOld =
      nowMs - ended.mEndedAtMs > keptMs && !this->mShard.mJobs.contains(id);
    if (isOld && forgotten.size() < kMostFinalsForgotten) {
      forgotten.push_back(id);
      write.mDeletes.push_back(ProgressKey(this->mNumber, id));
    }
  }
  if (forgotten.empty()) {
    co_return;
  }
  const KvReply reply = co_await this->mNode.mStore.mCommit(std::move(write));
  NoteStoreReply(this->mNode, reply);
  if (reply.mStatus != KvStatus::kOk) {
    co_return;
  }
  for (const auto& id : forgotten) {
    this->mShard.mEndedJobs.erase(id);
  }
}

std::optional<BatchState> ShardRunner::StateOf(const JobId& aJob) const
{
  const auto found = this->mShard.mJobs.find(aJob);
  if (found != this->mShard.mJobs.end()) {
    const DispatchJob& job = found->second;
    const bool isShown = !IsFinal(job.mState) || job.mIsFinalStored;
    return isShown ? job.mState : BatchState::kRunning;
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
