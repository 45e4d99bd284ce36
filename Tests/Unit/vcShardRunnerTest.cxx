/// The owner of a shard against a store in memory: what it reads, renews and
/// removes, and how long each of these waits for another.

#include "vcFleetStore.h"

#include "vcFormerOwner.h"
#include "vcMembership.h"
#include "vcServerSupport.h"
#include "vcShardRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace verbenacroft {

namespace {

constexpr const char* kWorkersPrefix = "servers/";
constexpr TimePoint kBegin{ 1'000'000 };
constexpr Duration kStep{ 5 };

/// A node on a clock of the test's own, with a shard to run.
struct RunnerFixture
{
  RunnerFixture()
  {
    UseManualTime(this->mNow);
    this->mNode.mSettings.mName = "node";
    this->mNode.mShards = 1;
    this->mNode.mOperators.emplace();
    this->mNode.mCodec.mDiscoveryPrefix = kWorkersPrefix;
    this->mNode.mStore = MakeMemoryStore(this->mStore, "node");
    this->mNode.mWorkers.mRenew = [this](const WorkerAddress& aTo, RenewOrder) {
      return this->Renew(aTo.mWorker);
    };
  }
  ~RunnerFixture() { UseManualTime(std::nullopt); }
  RunnerFixture(const RunnerFixture&) = delete;
  RunnerFixture& operator=(const RunnerFixture&) = delete;

  void Put(const std::string& aKey, std::string aValue)
  {
    KvTransaction write;
    write.mPuts.push_back(PersistentPut(aKey, std::move(aValue)));
    CommitNow(this->mStore, write);
  }

  /// Claims the shard for the node and runs it.
  void Start(const std::vector<WorkerSetMember>& aWorkers)
  {
    WorkerSetRecord workerSet;
    workerSet.mGeneration = 1;
    workerSet.mWorkers = aWorkers;
    this->Put(WorkerSetKey(0), Encode(workerSet));
    this->Put(OwnerKey(0), "{}");
    this->mRunner =
      std::make_shared<ShardRunner>(this->mNode, 0, this->mStore.mRevision);
    this->mRunner->Start();
  }

  /// Lets the node hold its lease for a minute.
  void HoldLease()
  {
    this->mNode.mLease = LeaseId::Of(1);
    this->mNode.mIsLeaseInDoubt = false;
    this->mNode.mLeaseValidUntil = kBegin + Duration(60'000);
    this->mNode.mOperatorsCompleteAt = kBegin + Duration(60'000);
  }

  /// Lets discovery list the workers that have entries.
  void DecodeWorkers()
  {
    this->mNode.mCodec.mDecodeWorker =
      [](std::string_view aKey, std::string_view, Faults&) {
        WorkerEntry entry;
        entry.mWorker =
          std::string(aKey).substr(std::string(kWorkersPrefix).size());
        entry.mService = "pool";
        entry.mAddress = "127.0.0.1:9000";
        entry.mDataCentre = "north";
        entry.mCapacity.mMilliCpu = 40'000;
        return std::optional(entry);
      };
  }

  void Run(Duration aTime)
  {
    const TimePoint until = this->mNow + aTime;
    while (this->mNow < until) {
      this->mNow += kStep;
      UseManualTime(this->mNow);
      this->mIo.restart();
      this->mIo.poll();
    }
  }

  asio::awaitable<WorkerReport> Renew(std::string aWorker)
  {
    if (this->mFirstRenewalAt == kNever) {
      this->mFirstRenewalAt = this->mNow;
    }
    co_await Sleep(Duration(100));
    WorkerReport report;
    if (aWorker == this->mSilent) {
      co_return report;
    }
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = this->mNow.count();
    report.mIncarnation = 1;
    if (this->mStarted != nullptr && aWorker == "w2") {
      for (const auto& task : *this->mStarted) {
        RunningTask row;
        row.mTask = task;
        row.mRun = this->mRunner->State()
                     .mJobs.at(task.mJob)
                     .mOccurrences.at(0)
                     .mSteps[0]
                     .mTasks[task.mIndex]
                     .mRun;
        report.mRunning.push_back(row);
      }
    }
    co_return report;
  }

  TimePoint mNow = kBegin;
  MemoryStore mStore;
  asio::io_context mIo{ 1 };
  NodeContext mNode{ mIo, {} };
  std::shared_ptr<ShardRunner> mRunner;
  TimePoint mFirstRenewalAt{ kNever };
  /// Worker that doesn't answer, if there is one.
  std::string mSilent;
  /// Tasks that run on `w2`, or null.
  const std::set<TaskId>* mStarted = nullptr;
};

} // namespace

// Guards against tasks that wait for as long as their starts are queued behind
// calls that get no answer, though the worker would refuse them by now.
TEST_CASE("a start that wasn't sent by its deadline is given up", "[runner]")
{
  constexpr std::uint32_t kTasks = 20;
  RunnerFixture fixture;
  fixture.HoldLease();
  fixture.DecodeWorkers();
  int late = 0;
  std::set<TaskId> started;
  fixture.mNode.mWorkers.mStart =
    [&](WorkerAddress aTo, StartOrder aOrder) -> asio::awaitable<OrderReply> {
    late += fixture.mNow.count() > aOrder.mNotAfter ? 1 : 0;
    if (aTo.mWorker == "w1") {
      co_await Sleep(Duration(800));
      co_return OrderReply{};
    }
    started.insert(aOrder.mTask);
    co_return OrderReply{ OrderOutcome::kDone, 0 };
  };
  fixture.mStarted = &started;
  fixture.Put(std::string(kWorkersPrefix) + "w1", "{}");
  fixture.Put(std::string(kWorkersPrefix) + "w2", "{}");
  fixture.Start({ { "w1", "127.0.0.1:9000" }, { "w2", "127.0.0.1:9000" } });
  fixture.Run(Duration(1'000));
  BatchRecord record;
  record.mTerms.mService = "pool";
  record.mSpec.mSteps.emplace_back();
  record.mSpec.mSteps[0].mCount = kTasks;
  record.mSpec.mSteps[0].mNeeds.mMilliCpu = 1'000;
  record.mSpec.mSteps[0].mIsLasting = true;
  fixture.Put(InboxJobKey(0, "00000000000000a1"), Encode(record));
  fixture.Run(Duration(4'000));
  CHECK(late == 0);
  CHECK(started.size() == kTasks);
}

// Guards against a read of many pages that begins anew whenever one call gets
// no answer, so that a takeover never ends while some of them are lost.
TEST_CASE("a page that can't be read doesn't undo the pages before it",
          "[runner]")
{
  constexpr int kPages = 8;
  RunnerFixture fixture;
  int calls = 0;
  fixture.mNode.mStore.mRange =
    [&](const KvRange& aRange) -> asio::awaitable<KvReply> {
    ++calls;
    KvReply reply;
    const bool isLost = calls % 3 == 0;
    if (!isLost) {
      const int page = aRange.mAfterKey.empty() ? 0 : aRange.mAfterKey[0] - 'a';
      reply.mStatus = KvStatus::kOk;
      reply.mRevision = 7;
      KvItem item;
      item.mKey = std::string(1, static_cast<char>('b' + page));
      reply.mItems.push_back(item);
      reply.mHasMore = page + 1 < kPages;
    }
    co_return reply;
  };
  KvReply all;
  asio::co_spawn(
    fixture.mIo,
    [&]() -> asio::awaitable<void> {
      all = co_await ReadAllPages(fixture.mNode, "prefix/");
    },
    asio::detached);
  fixture.Run(Duration(3'000));
  CHECK(all.mStatus == KvStatus::kOk);
  CHECK(all.mItems.size() == kPages);
}

// Guards against workers that aren't renewed after a takeover for as long as
// the list of the platform's workers can't be read.
TEST_CASE("known workers are renewed before the list of workers is read",
          "[runner]")
{
  RunnerFixture fixture;
  fixture.mNode.mStore.mRange = [range = fixture.mNode.mStore.mRange](
                                  KvRange aRange) -> asio::awaitable<KvReply> {
    if (aRange.mPrefix != kWorkersPrefix) {
      co_return co_await range(std::move(aRange));
    }
    co_await Sleep(Duration(1'500));
    co_return KvReply{};
  };
  fixture.Start({ { "w1", "127.0.0.1:9000" } });
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.mFirstRenewalAt != kNever);
  CHECK(fixture.mFirstRenewalAt - kBegin < Duration(500));
}

// Guards against records that are removed more slowly than jobs end, so that
// each takeover reads more of them than the last.
TEST_CASE("records of old jobs are removed faster than jobs end", "[runner]")
{
  constexpr int kOldJobs = 300;
  constexpr std::size_t kMinRemovedPerSecond = 20;
  constexpr std::size_t kSeconds = 12;
  RunnerFixture fixture;
  BatchProgress ended;
  ended.mState = BatchState::kCompleted;
  ended.mEndedAtMs = WallClockMs() - 1'000'000;
  for (int i = 0; i < kOldJobs; ++i) {
    fixture.Put(ProgressKey(0, fmt::format("{:016x}", i)), Encode(ended));
  }
  const std::size_t before = fixture.mStore.mItems.size();
  fixture.Start({});
  fixture.Run(Duration(kSeconds * 1'000));
  // Minus the records of the worker set, the owner and what the runner adds.
  const std::size_t removed =
    before - std::min(before, fixture.mStore.mItems.size());
  CHECK(removed >= kMinRemovedPerSecond * kSeconds);
}

// Guards against a submission that is carried out late, after the record that
// turns it down has been removed (UNASKED, review/7).
TEST_CASE("what turns a late submission down outlasts it", "[runner]")
{
  constexpr Duration kBeforeItsTime{ 50'000 };
  constexpr Duration kAfterItsTime{ 20'000 };
  constexpr std::int64_t kEndedMsAgo = 30'000;
  const std::string cancelled = CancelKey(0, "00000000000000aa");
  const std::string renewed = CancelKey(0, "00000000000000bb");
  const std::string ended = ProgressKey(0, "00000000000000cc");
  RunnerFixture fixture;
  fixture.mNode.mSettings.mBounds.mStatusSeconds = 1;
  BatchProgress progress;
  progress.mState = BatchState::kCompleted;
  progress.mEndedAtMs = WallClockMs() - kEndedMsAgo;
  fixture.Put(ended, Encode(progress));
  fixture.Put(cancelled, "{}");
  fixture.Put(renewed, "{}");
  const auto isThere = [&](const std::string& aKey) {
    return fixture.mStore.mItems.contains(aKey);
  };
  fixture.Start({});
  fixture.Run(kAfterItsTime);
  CHECK(isThere(ended));
  fixture.Run(kBeforeItsTime - kAfterItsTime);
  CHECK(isThere(cancelled));
  fixture.Put(renewed, "{}");
  fixture.Run(kAfterItsTime);
  CHECK_FALSE(isThere(cancelled));
  CHECK(isThere(renewed));
  CHECK(fixture.mRunner->State().mPendingCancellations.size() == 1);
}

// Guards against a shard in which nothing is recorded any more, and so nothing
// shown as ended, because the store rejects the record of one job.
TEST_CASE("a rejected record doesn't hold back those of other jobs", "[runner]")
{
  const JobId rejected = "00000000000000a1";
  const JobId other = "00000000000000a2";
  RunnerFixture fixture;
  fixture.mNode.mStore.mCommit =
    [&, commit = fixture.mNode.mStore.mCommit](
      KvTransaction aWrite) -> asio::awaitable<KvReply> {
    const bool isRejected = std::any_of(
      aWrite.mPuts.begin(), aWrite.mPuts.end(), [&](const KvPut& aPut) {
        return aPut.mKey == ProgressKey(0, rejected);
      });
    if (isRejected) {
      KvReply reply;
      reply.mStatus = KvStatus::kRejected;
      co_return reply;
    }
    co_return co_await commit(std::move(aWrite));
  };
  for (const auto& job : { rejected, other }) {
    BatchRecord record;
    record.mSpec.mSteps.emplace_back();
    fixture.Put(InboxJobKey(0, job), Encode(record));
    fixture.Put(CancelKey(0, job), "{}");
  }
  fixture.Start({});
  fixture.Run(Duration(3'000));
  CHECK(fixture.mStore.mItems.contains(ProgressKey(0, other)));
}

// Guards against a takeover that waits for the longest leases until the former
// owner, which runs without a lease meanwhile, has its record again.
TEST_CASE("a former owner is asked though its record is gone", "[runner]")
{
  RunnerFixture fixture;
  HttpServer server(
    fixture.mIo,
    { asio::ip::address_v4::loopback(), 0 },
    {},
    [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
      co_return JsonResponse(Encode(FormerOwnerAnswer{ "node-2", 4, {} }));
    });
  const std::string key = std::string(kNodePrefix) + "node-2";
  const NodeRecord record{
    fmt::format("127.0.0.1:{}", server.LocalEndpoint().port()), "north", 1
  };
  fixture.Put(key, Encode(record));
  asio::co_spawn(
    fixture.mIo, WatchSystemRecords(fixture.mNode), asio::detached);
  fixture.Run(Duration(100));
  REQUIRE(fixture.mNode.mNodes.contains("node-2"));
  KvTransaction removal;
  removal.mDeletes.push_back(key);
  CommitNow(fixture.mStore, removal);
  // Long enough for a complete read of the records.
  fixture.Run(Duration(15'000));
  REQUIRE_FALSE(fixture.mNode.mNodes.contains("node-2"));
  fixture.mNode.mFormerOwners[0] = { "node-2", 4, true };
  std::optional<FormerOwnerAnswer> answer;
  bool isDone = false;
  asio::co_spawn(
    fixture.mIo,
    [&]() -> asio::awaitable<void> {
      answer = co_await AskFormerOwner(fixture.mNode, 0, 10);
      isDone = true;
    },
    asio::detached);
  // The sockets need real time.
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!isDone && std::chrono::steady_clock::now() < until) {
    fixture.mIo.restart();
    fixture.mIo.poll();
  }
  REQUIRE(answer);
  CHECK(answer->mGeneration == 4);
}

// Guards against a hand-over that names a worker without its time, though its
// runs have ended, so that the next owner waits for it in full.
TEST_CASE("a hand-over leaves out workers whose runs have ended", "[runner]")
{
  constexpr int kMostSteps = 1'000;
  RunnerFixture fixture;
  fixture.HoldLease();
  fixture.DecodeWorkers();
  fixture.mSilent = "w2";
  InactiveWorkersRecord inactive;
  inactive.mGeneration = 1;
  inactive.mWorkers.push_back({ "w2", 1'500, 0 });
  fixture.Put(InactiveWorkersKey(0), Encode(inactive));
  fixture.Put(std::string(kWorkersPrefix) + "w1", "{}");
  fixture.Start({ { "w1", "127.0.0.1:9000" }, { "w2", "127.0.0.1:9000" } });
  fixture.Run(Duration(1'000));
  const auto& workers = fixture.mRunner->State().mWorkers;
  REQUIRE(workers.contains("w2"));
  int steps = 0;
  while (workers.contains("w2") && steps < kMostSteps) {
    ++steps;
    fixture.Run(kStep);
  }
  REQUIRE_FALSE(workers.contains("w2"));
  KvTransaction write;
  fixture.mRunner->AddHandOver(write);
  CommitNow(fixture.mStore, write);
  const auto workerSet = TryDecode<WorkerSetRecord>(
    fixture.mStore.mItems.at(WorkerSetKey(0)).mValue);
  REQUIRE(workerSet);
  REQUIRE(workerSet->mWorkers.size() == 1);
  CHECK(workerSet->mWorkers[0].mWorker == "w1");
}

} // namespace verbenacroft
