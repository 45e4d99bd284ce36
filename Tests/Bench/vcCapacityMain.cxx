/// vcCapacityBench: measures, over at least four sizes each, what tasks,
/// workers, shards and messages cost, and prints one row for each slope.

#include "vcFakeFleet.h"
#include "vcFakeStore.h"
#include "vcRouting.h"
#include "vcScheduler.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <malloc.h>

namespace verbenacroft {
namespace {

struct Sample
{
  double mSize = 0;
  double mValue = 0;
};

struct Line
{
  double mSlope = 0;
  double mBase = 0;
};

Line Fit(const std::vector<Sample>& aSamples)
{
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& sample : aSamples) {
    n += 1;
    x += sample.mSize;
    y += sample.mValue;
    xx += sample.mSize * sample.mSize;
    xy += sample.mSize * sample.mValue;
  }
  Line line;
  line.mSlope = (n * xy - x * y) / (n * xx - x * x);
  line.mBase = (y - line.mSlope * x) / n;
  return line;
}

void Row(const std::string& aName,
         const std::string& aUnit,
         const std::vector<double>& aSizes,
         const std::function<double(double)>& aMeasure)
{
  std::vector<Sample> samples;
  samples.reserve(aSizes.size());
  for (const double size : aSizes) {
    samples.push_back({ size, aMeasure(size) });
  }
  const Line line = Fit(samples);
  std::cout << aName << " " << line.mSlope << " " << aUnit << " base "
            << line.mBase << " samples";
  for (const auto& sample : samples) {
    std::cout << " " << sample.mSize << ":" << sample.mValue;
  }
  std::cout << "\n";
}

double HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double CpuMicros()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

constexpr Resources kCapacity{ 64'000, 250'000, 2, 64 };
const std::vector<double> kTaskCounts = { 100, 200, 400, 800, 1'600 };

/// A shard and the workers it talks to, without a network.
struct Bench
{
  Configuration mConfiguration;
  ShardWeights mWeights;
  FakeFleet mFleet;
  Shard mShard;
  std::uint64_t mNextCall = 1;
  TimePoint mNow{ 1'000'000 };
  double mRequestBytes = 0;
  double mReplyBytes = 0;
  double mCalls = 0;

  ShardContext Context() const
  {
    ShardContext context;
    context.mConfiguration = &this->mConfiguration;
    context.mWeights = &this->mWeights;
    context.mDataCentre = "a";
    context.mNow = this->mNow;
    context.mStartLimit = this->mNow + Duration{ 2'000 };
    context.mIsOwner = true;
    return context;
  }
};

void MakeBench(Bench& aBench, std::size_t aWorkers)
{
  aBench.mConfiguration.mRevision = 1;
  aBench.mConfiguration.mBackers = { { "one", 100, 0 } };
  aBench.mConfiguration.mDataCentres = { { "a", "r", false, 1, 1, 0 } };
  aBench.mWeights["a-0"] = 1;
  AddWorkers(aBench.mFleet, "a", aWorkers, kCapacity);
  aBench.mShard.mName = "a-0";
  aBench.mShard.mEpoch = 1;
  aBench.mShard.mJournal.mPhase = JournalPhase::kOpen;
  UpdateWorkers(
    aBench.mShard, ListInstances(aBench.mFleet).mInstances, aBench.mNow);
}

/// Makes everything that waits durable at once.
void MakeDurable(Bench& aBench)
{
  auto& journal = aBench.mShard.mJournal;
  journal.mPending.clear();
  journal.mDurable = journal.mAppended;
  RunDurableActions(aBench.mShard);
}

void SyncOnce(Bench& aBench, bool aIsCounted)
{
  std::vector<WorkerCall> calls;
  SyncWorkers(aBench.mShard, aBench.Context(), aBench.mNextCall, calls);
  for (const auto& call : calls) {
    const auto request = Encode(call.mSync);
    const auto sync = TryDecode<WorkerSync>(request);
    const auto reply =
      HandleSync(aBench.mFleet, call.mWorker, *sync, aBench.mNow);
    const auto text = Encode(*reply);
    if (aIsCounted) {
      aBench.mRequestBytes += static_cast<double>(request.size());
      aBench.mReplyBytes += static_cast<double>(text.size());
      aBench.mCalls += 1;
    }
    OnSyncReply(aBench.mShard,
                call.mWorker,
                TryDecode<WorkerSyncReply>(text),
                aBench.Context());
  }
}

void AddJob(Bench& aBench, const std::string& aName, std::int64_t aTasks)
{
  ShardRecord record;
  record.mOp = ShardOp::kAccept;
  record.mName = aName;
  JobRecord job;
  job.mSpec.mName = aName;
  job.mSpec.mBacker = "one";
  job.mSpec.mTasks = aTasks;
  job.mSpec.mRunMs = 100'000'000;
  job.mSpec.mResources = { 500, 500, 0, 0 };
  job.mTasks.resize(static_cast<std::size_t>(aTasks));
  record.mJob = job;
  ApplyAndJournal(aBench.mShard, record);
}

/// Fills the shard with running tasks in jobs of ten.
void Fill(Bench& aBench, std::int64_t aTasks)
{
  for (int i = 0; i < 4; ++i) {
    SyncOnce(aBench, false);
    aBench.mNow += Duration{ 60 };
  }
  for (std::int64_t i = 0; i < aTasks / 10; ++i) {
    AddJob(aBench, "job-" + std::to_string(i), 10);
  }
  while (static_cast<std::int64_t>(aBench.mShard.mData.mPlaced.size()) <
         aTasks) {
    PlanShard(aBench.mShard, aBench.Context());
    MakeDurable(aBench);
    aBench.mNow += Duration{ 60 };
    SyncOnce(aBench, false);
  }
  for (int i = 0; i < 3; ++i) {
    aBench.mNow += Duration{ 1'100 };
    SyncOnce(aBench, false);
  }
}

std::size_t WorkersFor(double aTasks)
{
  return std::max<std::size_t>(4, static_cast<std::size_t>(aTasks / 25));
}

void MeasureState()
{
  Row("state_bytes_per_task", "B", kTaskCounts, [](double aTasks) {
    Bench bench;
    MakeBench(bench, 64);
    const double before = HeapBytes();
    Fill(bench, static_cast<std::int64_t>(aTasks));
    bench.mFleet = {};
    bench.mShard.mJournal.mPending.clear();
    return HeapBytes() - before;
  });
  Row("state_bytes_per_worker", "B", { 50, 100, 200, 400 }, [](double aSize) {
    Bench bench;
    MakeBench(bench, static_cast<std::size_t>(aSize));
    Shard copy;
    const double before = HeapBytes();
    copy = bench.mShard;
    return HeapBytes() - before;
  });
  Row("state_bytes_per_shard", "B", { 1, 2, 4, 8 }, [](double aSize) {
    const double before = HeapBytes();
    std::vector<Shard> shards(static_cast<std::size_t>(aSize));
    return HeapBytes() - before;
  });
}

void MeasureRecords()
{
  Row("journal_bytes_per_start_and_end", "B", kTaskCounts, [](double aTasks) {
    Bench bench;
    MakeBench(bench, WorkersFor(aTasks));
    Fill(bench, 10);
    const auto count = static_cast<std::int64_t>(aTasks);
    AddJob(bench, "measured", count);
    bench.mShard.mJournal.mPending.clear();
    while (bench.mShard.mJobs["measured"].mPlacedTasks < count) {
      bench.mNow += Duration{ 60 };
      PlanShard(bench.mShard, bench.Context());
    }
    for (std::int64_t i = 0; i < count; ++i) {
      EndTask(bench.mShard,
              BatchTaskName("measured", i),
              TaskOutcome::kDone,
              0,
              bench.mNow);
    }
    double bytes = 0;
    for (const auto& record : bench.mShard.mJournal.mPending) {
      bytes += static_cast<double>(boost::json::serialize(record).size()) + 1;
    }
    return bytes;
  });
  Row("snapshot_bytes_per_task", "B", kTaskCounts, [](double aTasks) {
    Bench bench;
    MakeBench(bench, WorkersFor(aTasks));
    Fill(bench, static_cast<std::int64_t>(aTasks));
    return static_cast<double>(Encode(bench.mShard.mData).size());
  });
}

void MeasureSync()
{
  const auto traffic = [](double aTasks, bool aIsReply) {
    Bench bench;
    MakeBench(bench, 16);
    Fill(bench, static_cast<std::int64_t>(aTasks));
    for (int i = 0; i < 20; ++i) {
      bench.mNow += Duration{ 1'050 };
      SyncOnce(bench, true);
    }
    return (aIsReply ? bench.mReplyBytes : bench.mRequestBytes) / bench.mCalls;
  };
  Row("sync_request_bytes_per_task_on_worker",
      "B",
      { 160, 320, 480, 640 },
      [&](double aTasks) { return traffic(aTasks, false); });
  Row("sync_reply_bytes_per_task_on_shard_of_16",
      "B",
      { 160, 320, 480, 640 },
      [&](double aTasks) { return traffic(aTasks, true); });
  Row("sync_cpu_us_per_call", "us", { 8, 16, 32, 64 }, [](double aWorkers) {
    Bench bench;
    MakeBench(bench, static_cast<std::size_t>(aWorkers));
    Fill(bench, static_cast<std::int64_t>(aWorkers) * 20);
    double spent = 0;
    constexpr int kRounds = 20;
    for (int i = 0; i < kRounds; ++i) {
      bench.mNow += Duration{ 1'050 };
      StepFleet(bench.mFleet, bench.mNow);
      const double start = CpuMicros();
      SyncOnce(bench, false);
      spent += CpuMicros() - start;
    }
    return spent / kRounds;
  });
}

void MeasureDecisions()
{
  Row("start_cpu_us", "us", { 100, 200, 400, 800 }, [](double aStarts) {
    Bench bench;
    MakeBench(bench, 40);
    Fill(bench, 200);
    AddJob(bench, "measured", static_cast<std::int64_t>(aStarts));
    const double start = CpuMicros();
    while (bench.mShard.mJobs["measured"].mPlacedTasks <
           static_cast<std::int64_t>(aStarts)) {
      bench.mNow += Duration{ 60 };
      PlanShard(bench.mShard, bench.Context());
    }
    return CpuMicros() - start;
  });
  Row("start_cpu_us_per_worker_of_the_shard",
      "us",
      { 20, 40, 80, 160 },
      [](double aWorkers) {
        Bench bench;
        MakeBench(bench, static_cast<std::size_t>(aWorkers));
        Fill(bench, 10);
        constexpr int kStarts = 400;
        AddJob(bench, "measured", kStarts);
        const double start = CpuMicros();
        while (bench.mShard.mJobs["measured"].mPlacedTasks < kStarts) {
          bench.mNow += Duration{ 60 };
          PlanShard(bench.mShard, bench.Context());
        }
        return (CpuMicros() - start) / kStarts;
      });
  Row("plan_cpu_us_per_task", "us", kTaskCounts, [](double aTasks) {
    Bench bench;
    MakeBench(bench, WorkersFor(aTasks));
    Fill(bench, static_cast<std::int64_t>(aTasks));
    constexpr int kRounds = 20;
    const double start = CpuMicros();
    for (int i = 0; i < kRounds; ++i) {
      bench.mNow += Duration{ 60 };
      PlanShard(bench.mShard, bench.Context());
    }
    return (CpuMicros() - start) / kRounds;
  });
  Row("takeover_cpu_us_per_task", "us", kTaskCounts, [](double aTasks) {
    Bench bench;
    MakeBench(bench, WorkersFor(aTasks));
    Fill(bench, static_cast<std::int64_t>(aTasks));
    const std::string text = Encode(bench.mShard.mData);
    const double start = CpuMicros();
    Shard successor;
    successor.mData = *TryDecode<ShardData>(text);
    UpdateWorkers(
      successor, ListInstances(bench.mFleet).mInstances, bench.mNow);
    RebuildRuntime(successor, bench.mNow);
    return CpuMicros() - start;
  });
}

void MeasureConfiguration()
{
  const auto configure = [](double aServices) {
    Configuration configuration;
    configuration.mBackers = { { "one", 100, 0 } };
    configuration.mDataCentres = { { "a", "r", false, 1, 1, 0 } };
    for (int i = 0; i < static_cast<int>(aServices); ++i) {
      Service service;
      service.mName = "service-" + std::to_string(i);
      service.mBacker = "one";
      service.mDataCentres = { "a" };
      service.mResources = { 1'000, 1'000, 0, 2 };
      configuration.mServices.push_back(service);
    }
    return configuration;
  };
  Row("configuration_bytes_per_service",
      "B",
      { 100, 200, 400, 800 },
      [&](double aServices) {
        return static_cast<double>(Encode(configure(aServices)).size());
      });
  Row("change_cpu_us_per_change", "us", { 50, 100, 200, 400 }, [&](double aN) {
    ConfigFollower follower;
    follower.mState.mConfiguration = configure(500);
    std::vector<JournalEntry> entries;
    for (int i = 1; i <= static_cast<int>(aN); ++i) {
      Service service = follower.mState.mConfiguration.mServices[7];
      service.mReplicas = i;
      ConfigChange change;
      change.mChange = "change-" + std::to_string(i);
      change.mEdits = {
        { ObjectKind::kService, service.mName, 0, EncodeValue(service) }
      };
      entries.push_back({ static_cast<std::uint64_t>(i),
                          0,
                          change.mChange,
                          { EncodeValue(change) } });
    }
    ConfigFeed feed;
    feed.mRevision = entries.back().mIndex;
    feed.mEntries = entries;
    const std::string text = Encode(feed);
    const double start = CpuMicros();
    ApplyFeed(follower, *TryDecode<ConfigFeed>(text), TimePoint{ 1 });
    return CpuMicros() - start;
  });
  Row("feed_bytes_per_change", "B", { 1, 2, 4, 8 }, [&](double aN) {
    ConfigFeed feed;
    feed.mProofAge = 100;
    for (int i = 1; i <= static_cast<int>(aN); ++i) {
      ConfigChange change;
      change.mChange = "operator-0123456789abcdef";
      change.mEdits = { { ObjectKind::kService,
                          "service-7",
                          7,
                          EncodeValue(configure(8).mServices[7]) } };
      feed.mEntries.push_back({ static_cast<std::uint64_t>(i),
                                0,
                                "north-0-config-0-17",
                                { EncodeValue(change) } });
    }
    return static_cast<double>(Encode(feed).size());
  });
}

void MeasureRouting()
{
  const auto answer = [](double aTargets) {
    TargetTable table{ "a-0", 1, 1, {} };
    for (int i = 0; i < static_cast<int>(aTargets); ++i) {
      table.mTargets.push_back({ "service-7@a-0/" + std::to_string(i),
                                 "service-7",
                                 "a-w" + std::to_string(i),
                                 "10.20.30.40:" + std::to_string(10'000 + i),
                                 4,
                                 false });
    }
    return TargetReply{ { table } };
  };
  Row("table_bytes_per_target", "B", { 50, 100, 200, 400 }, [&](double aN) {
    return static_cast<double>(Encode(answer(aN)).size());
  });
  Row("router_state_bytes_per_target",
      "B",
      { 500, 1'000, 2'000, 4'000 },
      [&](double aN) {
        const auto table = answer(aN);
        const double before = HeapBytes();
        TargetPool pool;
        UpdateTables(pool, table);
        return HeapBytes() - before;
      });
  Row("pick_cpu_us_per_target_of_the_service",
      "us",
      { 16, 32, 64, 128 },
      [&](double aN) {
        TargetPool pool;
        UpdateTables(pool, answer(aN));
        constexpr int kPicks = 2'000;
        const double start = CpuMicros();
        for (int i = 0; i < kPicks; ++i) {
          PickTarget(pool, "service-7", {}, TimePoint{ 1 });
        }
        return (CpuMicros() - start) / kPicks;
      });
}

} // namespace
} // namespace verbenacroft

int main()
{
  using namespace verbenacroft;
  MeasureState();
  MeasureRecords();
  MeasureSync();
  MeasureDecisions();
  MeasureConfiguration();
  MeasureRouting();
  return 0;
}
