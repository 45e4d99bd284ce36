/// Starts that get no answer: when they are given up, and when the ends that
/// the worker lists beside them are acknowledged.

#include "vcDispatchFixture.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

/// Longer than a start may take effect.
constexpr Duration kPastDeadline = kMaxStartDelay + Duration(100);
/// As many ends as a report lists at most.
constexpr std::uint32_t kFullList = 500;

/// A worker on which the first run of a task has failed, and whose second start
/// got no answer.
struct UnansweredStart : DispatchFixture
{
  UnansweredStart()
    : DispatchFixture({ "w1" })
  {
    this->Add(1);
    this->Plan();
    this->Report("w1", { MakeRunning(1) }, {});
    this->mEnds = { MakeEnd(1, 1, RunEnd::kFailed) };
    this->Report("w1", {}, this->mEnds);
    this->StartInVain();
  }

  /// The task is started again, and the order gets no answer.
  void StartInVain()
  {
    this->mNow += Duration(300);
    const auto starts = this->Plan().mStarts;
    REQUIRE(starts.size() == 1);
    OnStartReply(this->mShard, "w1", starts[0].mOrder, {}, this->mNow);
    REQUIRE(this->Task().mIsStartUncertain);
  }

  RenewOrder Renew()
  {
    return MakeRenewal(
      this->mShard, this->Worker(), Duration(1'000), this->mNow);
  }

  std::vector<EndedRun> mEnds;
};

/// Ends of further runs, up to the most that a report lists.
std::vector<EndedRun> FullList(std::vector<EndedRun> aEnds)
{
  while (aEnds.size() < kFullList) {
    EndedRun end = aEnds.back();
    ++end.mIndex;
    end.mTask.mJob = "00000000000000ff";
    aEnds.push_back(end);
  }
  return aEnds;
}

} // namespace

// Guards against a task that is never started again (LOST, review/6): its start
// waited for the acknowledgement of an earlier end, and that for the start.
TEST_CASE("an unanswered start is given up after its deadline",
          "[unanswered-start]")
{
  struct Row
  {
    const char* mName;
    Duration mAfter;
    std::vector<RunningTask> mRunning;
    std::vector<EndedRun> mEnds;
    RunPhase mPhase;
  };
  const EndedRun first = MakeEnd(1, 1, RunEnd::kFailed);
  const EndedRun second = MakeEnd(2, 2, RunEnd::kFailed);
  const EndedRun later = MakeEnd(2, 3, RunEnd::kStopped);
  const auto row = GENERATE_COPY(values<Row>({
    { "nothing is listed", kPastDeadline, {}, {}, RunPhase::kWaiting },
    { "an earlier run's end is listed",
      kPastDeadline,
      {},
      { first },
      RunPhase::kWaiting },
    { "the same before the deadline",
      Duration(100),
      {},
      { first },
      RunPhase::kStarting },
    { "a later run's end is listed",
      kPastDeadline,
      {},
      { first, later },
      RunPhase::kWaiting },
    { "its own end is listed",
      kPastDeadline,
      {},
      { first, second },
      RunPhase::kWaiting },
    { "it runs", kPastDeadline, { MakeRunning(2) }, {}, RunPhase::kRunning },
    { "an earlier run goes on",
      kPastDeadline,
      { MakeRunning(1) },
      {},
      RunPhase::kStarting },
  }));
  CAPTURE(row.mName);
  UnansweredStart shard;
  shard.mNow += row.mAfter;
  shard.Report("w1", row.mRunning, row.mEnds);
  CHECK(shard.Task().mPhase == row.mPhase);
}

// Guards against a confirmed run that is lost for good, since an end of an
// earlier run of the task is listed.
TEST_CASE("a confirmed run that isn't listed is lost beside an earlier end",
          "[unanswered-start]")
{
  UnansweredStart shard;
  shard.Report("w1", { MakeRunning(2) }, shard.mEnds);
  REQUIRE(shard.Task().mPhase == RunPhase::kRunning);
  shard.mNow += Duration(100);
  shard.Report("w1", {}, shard.mEnds);
  CHECK(shard.Task().mPhase == RunPhase::kWaiting);
}

// Guards against ends that are never acknowledged, so that the list of ends
// stays full and shows nothing any more.
TEST_CASE("ends are acknowledged once a start can't take effect any more",
          "[unanswered-start]")
{
  struct Row
  {
    const char* mName;
    Duration mAfter;
    bool mIsDraining;
    bool mIsAcknowledged;
  };
  const auto row = GENERATE(values<Row>({
    { "before its deadline", Duration(100), false, false },
    { "after its deadline", kPastDeadline, false, true },
    { "the worker may restart before it", kPastDeadline, true, false },
    { "the call can't be late any more", kLateCallTime, true, true },
  }));
  CAPTURE(row.mName);
  UnansweredStart shard;
  shard.mNow += row.mAfter;
  shard.SetDraining(row.mIsDraining);
  const auto listed = FullList(shard.mEnds);
  shard.Report("w1", {}, listed);
  REQUIRE(shard.Task().mIsStartUncertain);
  shard.Worker().mAckIndex = kFullList;
  CHECK(MustAwaitRecord(shard.mShard, shard.Worker(), shard.mNow) !=
        row.mIsAcknowledged);
  CHECK((shard.Renew().mAckIndex == kFullList) == row.mIsAcknowledged);
}

// Guards against the same while one start after another gets no answer: such a
// worker is given no more starts.
TEST_CASE("a worker whose ends stay unacknowledged takes no starts",
          "[unanswered-start]")
{
  struct Row
  {
    const char* mName;
    Duration mAfter;
    std::size_t mStarts;
  };
  const auto row = GENERATE(values<Row>({
    { "for a short time", kMaxAckDelay - Duration(1), 1 },
    { "for too long", kMaxAckDelay, 0 },
  }));
  CAPTURE(row.mName);
  DispatchFixture shard({ "w1" });
  shard.Report("w1", {}, { MakeEnd(1, 1, RunEnd::kStopped, 7) });
  OnEndsRecorded(shard.Worker(), 1, shard.mNow);
  shard.Add(1);
  shard.mNow += row.mAfter;
  CHECK(shard.Plan().mStarts.size() == row.mStarts);
  shard.Report("w1", {}, {});
  MakeRenewal(shard.mShard, shard.Worker(), Duration(0), shard.mNow);
  shard.Report("w1", {}, {});
  CHECK(shard.Plan().mStarts.size() + row.mStarts == 1);
}

} // namespace verbenacroft
