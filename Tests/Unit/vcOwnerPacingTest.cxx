/// The pacing of an owner's calls by what its link carries, and the size of
/// shards that follows from it.

#include "vcNode.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr TimePoint kBegin{ 1'000'000 };
constexpr Duration kMaxLease{ 6'000 };
constexpr Duration kPlayed{ 10'000 };
/// An owner of a hundred workers with eight runs each.
constexpr std::size_t kWorkers = 100;
constexpr std::size_t kRunsPerWorker = 8;
constexpr std::size_t kRuns = kWorkers * kRunsPerWorker;
/// Pause of an owner before it renews a worker again.
constexpr Duration kPause{ 80 };
constexpr double kBytesPerMsOfMbit = 125;

/// An answer on its way to the owner.
struct Answer
{
  TimePoint mSentAt{ 0 };
  TimePoint mArrivesAt{ 0 };
};

/// An owner that renews its workers through a link that carries one reply after
/// another.
struct PacedOwner
{
  double mLinkMbps = 0;
  /// What the owner's settings say of the link.
  double mKnownMbps = 0;
  OwnerPacing mPacing;
  TimePoint mLinkBusyUntil = kBegin;
  std::vector<Answer> mAnswers;
  std::vector<TimePoint> mNextAt = std::vector<TimePoint>(kWorkers, kBegin);
  std::vector<TimePoint> mSentAt = std::vector<TimePoint>(kWorkers, kBegin);
  Duration mLongestLatency{ 0 };
  Duration mLongestPause{ 0 };
};

void Renew(PacedOwner& aOwner, std::size_t aWorker, TimePoint aNow)
{
  const double bytes = ReplyBytes(kRunsPerWorker);
  const TimePoint sentAt = ReserveReply(aOwner.mPacing, bytes, aNow);
  const Duration takes(static_cast<std::int64_t>(
    bytes / (aOwner.mLinkMbps * kBytesPerMsOfMbit) + 1));
  aOwner.mLinkBusyUntil = std::max(aOwner.mLinkBusyUntil, sentAt) + takes;
  aOwner.mAnswers.push_back({ sentAt, aOwner.mLinkBusyUntil });
  aOwner.mLongestPause =
    std::max(aOwner.mLongestPause, sentAt - aOwner.mSentAt[aWorker]);
  aOwner.mSentAt[aWorker] = sentAt;
  aOwner.mNextAt[aWorker] = aOwner.mLinkBusyUntil + kPause;
}

void ReceiveAnswers(PacedOwner& aOwner, TimePoint aNow)
{
  std::erase_if(aOwner.mAnswers, [&](const Answer& aAnswer) {
    if (aAnswer.mArrivesAt > aNow) {
      return false;
    }
    const Duration latency = aAnswer.mArrivesAt - aAnswer.mSentAt;
    aOwner.mLongestLatency = std::max(aOwner.mLongestLatency, latency);
    CountCall(aOwner.mPacing.mPeriod, OrderOutcome::kDone, latency);
    return true;
  });
}

void Play(PacedOwner& aOwner)
{
  for (TimePoint now = kBegin; now < kBegin + kPlayed; ++now) {
    ReceiveAnswers(aOwner, now);
    AdaptRates(
      aOwner.mPacing, aOwner.mKnownMbps, kWorkers, kRuns, kMaxLease, now);
    for (std::size_t i = 0; i < kWorkers; ++i) {
      if (aOwner.mNextAt[i] <= now) {
        Renew(aOwner, i, now);
      }
    }
  }
}

} // namespace

// Guards against an owner that fills its own link with reports, until answers
// arrive after their timeout and workers that are well count as lost.
TEST_CASE("an owner asks its workers as often as its link carries", "[pacing]")
{
  struct Row
  {
    const char* mName;
    double mLinkMbps;
    double mKnownMbps;
    Duration mMaxLatency;
  };
  const auto row = GENERATE(values<Row>({
    { "a narrow link", 2, 2, Duration(300) },
    { "a wide link", 200, 200, Duration(200) },
    { "a link that is narrower than its setting", 2, 4, Duration(1'000) },
  }));
  INFO(row.mName);
  PacedOwner owner;
  owner.mLinkMbps = row.mLinkMbps;
  owner.mKnownMbps = row.mKnownMbps;
  Play(owner);
  CHECK(owner.mLongestLatency < row.mMaxLatency);
  // A lost renewal must not end the lease.
  CHECK(owner.mLongestPause < kMaxLease / 2);
}

// Guards against pacing that leaves leases unrenewed while no answer arrives,
// and against starts that never begin again.
TEST_CASE("a congested owner goes on renewing and starting", "[pacing]")
{
  constexpr double kMbps = 2;
  constexpr int kPeriods = 100;
  constexpr int kFailedCalls = 8;
  // Bytes of starts in a period; none while starts are forbidden.
  const double started = GENERATE(0.0, 1.0, 50'000.0);
  CAPTURE(started);
  OwnerPacing pacing;
  TimePoint now = kBegin;
  for (int i = 0; i < kPeriods; ++i) {
    pacing.mStarts.mUsed = started;
    for (int call = 0; call < kFailedCalls; ++call) {
      CountCall(pacing.mPeriod, OrderOutcome::kUnknown, std::nullopt);
    }
    AdaptRates(pacing, kMbps, kWorkers, kRuns, kMaxLease, now);
    now += Duration(250);
  }
  CHECK(pacing.mIsCongested);
  CHECK(pacing.mStarts.mRate < LinkBytesPerSecond(kMbps) / 10);
  TimePoint last = now;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    last = ReserveReply(pacing, ReplyBytes(kRunsPerWorker), now);
  }
  CHECK(last - now <= kMaxLease / 3);
  CHECK(StartBudget(pacing, 0, now, now + Duration(1'000)) > 0);
}

// Guards against a shard with more workers than the link of its owner carries.
TEST_CASE("a shard has as many workers as its owner's link carries", "[pacing]")
{
  struct Row
  {
    double mLinkMbps;
    std::uint32_t mAtMost;
    std::uint32_t mWorkers;
  };
  const auto row = GENERATE(values<Row>({
    { 1'000, 400, 400 },
    { 2, 400, 50 },
    { 2, 30, 30 },
    { 0.01, 400, 1 },
  }));
  NodeSettings settings;
  settings.mLinkMbps = row.mLinkMbps;
  settings.mWorkersPerShard = row.mAtMost;
  CHECK(WorkersPerShardOf(settings) == row.mWorkers);
}

} // namespace verbenacroft
