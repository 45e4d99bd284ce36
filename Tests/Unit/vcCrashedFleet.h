#pragma once

/// Workers that crash, for tests of what their owner makes of it.

#include "vcDispatchFixture.h"

#include <fmt/format.h>

namespace verbenacroft {

inline constexpr std::int64_t kNextBorn = kBorn + 1;

/// Some workers, each of which has run a task for long.
class CrashedFleet : public DispatchFixture
{
public:
  explicit CrashedFleet(int aWorkers)
    : DispatchFixture(MakeNames(aWorkers))
  {
  }

  /// The worker reports as its next incarnation, whose clock began at
  /// `aBornAt`.
  void ReportReborn(const std::string& aWorker, Duration aBornAt)
  {
    WorkerReport report;
    report.mOutcome = OrderOutcome::kDone;
    report.mClock = (this->mNow - aBornAt).count();
    report.mIncarnation = kNextBorn;
    this->Apply(aWorker, report);
  }

  void Apply(const std::string& aWorker, const WorkerReport& aReport)
  {
    OnReport(this->mShard,
             aWorker,
             aReport,
             this->mNow,
             this->mNow,
             this->mNow.count());
  }

  /// Plans the starts, each of which gets this answer.
  void Start(OrderOutcome aOutcome)
  {
    for (const auto& [worker, order] : this->Plan().mStarts) {
      const OrderReply reply{ aOutcome, kClock + this->mNow.count() };
      OnStartReply(this->mShard, worker, order, reply, this->mNow);
    }
  }

  /// The worker lists what is assigned to it.
  void ReportAtWork(const std::string& aWorker)
  {
    std::vector<RunningTask> running;
    for (const auto& key : this->mShard.mWorkers.at(aWorker).mTasks) {
      running.push_back(MakeRunning(1, key.mIndex));
    }
    this->Report(aWorker, running, {});
  }

  std::uint32_t Crashes(std::uint32_t aIndex)
  {
    return this->Task(aIndex).mCrashHistory.mCrashes;
  }

private:
  static std::vector<std::string> MakeNames(int aWorkers)
  {
    std::vector<std::string> names;
    for (int i = 1; i <= aWorkers; ++i) {
      names.push_back(fmt::format("w{}", i));
    }
    return names;
  }
};

} // namespace verbenacroft
