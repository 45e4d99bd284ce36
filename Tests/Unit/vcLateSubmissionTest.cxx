/// Submissions that the store carries out seconds late, and cancellations of
/// jobs that it doesn't know yet.

#include "vcFleetStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr const char* kHost = "desk.example";
constexpr TimePoint kBegin{ 1'000'000 };
constexpr Duration kStep{ 5 };
/// After this time every late write has been carried out.
constexpr Duration kAllCarriedOut{ 10'000 };
constexpr int kFirstNode = 0;
constexpr int kOtherNode = 1;

/// Two nodes that share a store, on a clock of the test's own.
struct TwoNodes
{
  TwoNodes()
  {
    UseManualTime(this->mNow);
    this->SetUp(this->mFirst, "first");
    this->SetUp(this->mOther, "other");
  }
  ~TwoNodes() { UseManualTime(std::nullopt); }
  TwoNodes(const TwoNodes&) = delete;
  TwoNodes& operator=(const TwoNodes&) = delete;

  void SetUp(NodeContext& aNode, const std::string& aName)
  {
    aNode.mSettings.mName = aName;
    aNode.mShards = 1;
    aNode.mStore = MakeMemoryStore(this->mStore, aName);
    aNode.mLastStoreReplyAt = this->mNow;
    aNode.mOperators.emplace();
    aNode.mOperators->mConfig.mVersion = 1;
    aNode.mOperators->mConfig.mQueues.push_back({ kHost, "/q/", {} });
    aNode.mOperatorsCompleteAt = this->mNow;
    aNode.mCodec.mDecodeJob = [](std::string_view, Faults&) {
      return std::optional(BatchSpec{});
    };
    aNode.mCodec.mEncodeState = [](BatchState) { return std::string("{}"); };
  }

  void Wait(Duration aTime)
  {
    for (const TimePoint until = this->mNow + aTime; this->mNow < until;) {
      this->Step();
    }
  }

  void Step()
  {
    this->mNow += kStep;
    UseManualTime(this->mNow);
    Advance(this->mStore, this->mNow);
    this->mIo.restart();
    this->mIo.poll();
  }

  int Ask(int aNode, const std::string& aMethod, const std::string& aJob = kJob)
  {
    HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = "/q/" + aJob;
    request.mHeaders = { { "Host", kHost } };
    NodeContext& node = aNode == kFirstNode ? this->mFirst : this->mOther;
    // As the renewals of its lease show it to a whole node.
    node.mLastStoreReplyAt = this->mNow;
    node.mStoreFailedAt = kNever;
    std::optional<HttpResponse> response;
    asio::co_spawn(
      this->mIo,
      [&]() -> asio::awaitable<void> {
        response = co_await HandleCallerRequest(node, request);
      },
      asio::detached);
    while (!response) {
      this->Step();
    }
    return response->mStatus;
  }

  /// The store carries out the next writes late and doesn't answer them.
  void LoseWrites(bool aIsLosing)
  {
    this->mStore.mLostShare = aIsLosing ? 1 : 0;
    this->mStore.mIsLostLate = true;
  }

  bool HasJob() const
  {
    return this->mStore.mItems.contains(InboxJobKey(0, kJob));
  }

  asio::io_context mIo{ 1 };
  MemoryStore mStore;
  NodeContext mFirst{ mIo, {} };
  NodeContext mOther{ mIo, {} };
  TimePoint mNow = kBegin;
};

} // namespace

// Guards against a job that starts after its caller was told that it doesn't
// exist (UNASKED, review/7): its submission is carried out after that.
TEST_CASE("a cancellation of an unknown job voids a submission under way",
          "[late-submission]")
{
  const int canceller = GENERATE(kFirstNode, kOtherNode);
  CAPTURE(canceller);
  TwoNodes nodes;
  nodes.LoseWrites(true);
  REQUIRE(nodes.Ask(kFirstNode, "POST") == 504);
  nodes.LoseWrites(false);
  REQUIRE_FALSE(nodes.HasJob());
  CHECK(nodes.Ask(canceller, "DELETE") == 410);
  CHECK(nodes.Ask(kOtherNode, "GET") == 410);
  nodes.Wait(kAllCarriedOut);
  CHECK_FALSE(nodes.HasJob());
  CHECK(nodes.Ask(kFirstNode, "GET") == 410);
  CHECK(nodes.Ask(kFirstNode, "DELETE") == 410);
  // It never runs, so it isn't accepted when it is sent again.
  CHECK(nodes.Ask(kOtherNode, "POST") == 503);
}

// Guards against a 410 that doesn't bind, since the cancellation itself got no
// answer, or met the job after all.
TEST_CASE("a cancellation is only acknowledged once it is stored",
          "[late-submission]")
{
  struct Row
  {
    const char* mName;
    void (*mPrepare)(TwoNodes&);
    int mStatus;
  };
  const auto row = GENERATE(values<Row>({
    { "the store doesn't answer the write",
      [](TwoNodes& aNodes) { aNodes.LoseWrites(true); },
      504 },
    { "the store is away",
      [](TwoNodes& aNodes) { aNodes.mStore.mMood = StoreMood::kRefusing; },
      503 },
    { "the job is there",
      [](TwoNodes& aNodes) { aNodes.Ask(kFirstNode, "POST"); },
      200 },
    { "it is cancelled twice",
      [](TwoNodes& aNodes) { aNodes.Ask(kFirstNode, "DELETE"); },
      410 },
  }));
  CAPTURE(row.mName);
  TwoNodes nodes;
  row.mPrepare(nodes);
  CHECK(nodes.Ask(kOtherNode, "DELETE") == row.mStatus);
}

// Guards against callers who fill the store with cancellations of jobs that
// never were, and against the loss of all others' for that.
TEST_CASE("cancellations of unknown jobs are limited", "[late-submission]")
{
  constexpr double kPerSecond = 2;
  constexpr int kBurstOfTeam = 10;
  struct Row
  {
    const char* mTeam;
    int mTaken;
  };
  const auto row = GENERATE(values<Row>({
    { "flooding", 0 },
    { "calm", 1 },
  }));
  CancellationBudget budget;
  const auto take = [&](const std::string& aTeam, TimePoint aNow) {
    return TakeCancellation(budget, aTeam, kPerSecond, aNow) ? 1 : 0;
  };
  for (int i = 0; i < kBurstOfTeam; ++i) {
    CHECK(take("flooding", kBegin) == 1);
  }
  CHECK(take("flooding", kBegin) == 0);
  CHECK(take(row.mTeam, kBegin + Duration(500)) == row.mTaken);
}

TEST_CASE("a flood of cancellations is refused as not done",
          "[late-submission]")
{
  constexpr int kMost = 500;
  TwoNodes nodes;
  int stored = 0;
  int status = 410;
  for (; status == 410 && stored < kMost; ++stored) {
    status = nodes.Ask(kFirstNode,
                       "DELETE",
                       "00000000000000" + std::to_string(10 + stored % 90));
  }
  CHECK(status == 503);
  CHECK(nodes.Ask(kOtherNode, "DELETE") == 410);
}

} // namespace verbenacroft
