/// Requests at a node whose view of the configuration is old: what it accepts
/// and answers by it while the store has a newer one.

#include "vcFleetStore.h"

#include "vcOperatorWatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <sstream>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr const char* kHost = "desk.example";
constexpr const char* kConfigKey = "op/config";
constexpr TimePoint kBegin{ 1'000'000 };
constexpr Duration kStep{ 5 };
/// Age of the node's view.
constexpr Duration kOld{ 3'000 };

/// A configuration with one queue, below `/q/`, or without any.
std::string ConfigText(int aVersion, bool aHasQueue, int aPriority)
{
  return fmt::format("{} {} {}", aVersion, aHasQueue ? 1 : 0, aPriority);
}

std::optional<FleetConfig> DecodeConfig(std::string_view aText, Faults&)
{
  std::istringstream text{ std::string(aText) };
  FleetConfig config;
  bool hasQueue = false;
  QueueTerms terms;
  text >> config.mVersion >> hasQueue >> terms.mPriority;
  if (hasQueue) {
    config.mQueues.push_back({ kHost, "/q/", terms });
  }
  return config;
}

/// A node on a clock of the test's own. It has read a configuration with a
/// queue of priority 1, and hears nothing of later ones.
struct OldView
{
  OldView()
  {
    UseManualTime(this->mNow);
    this->mNode.mSettings.mName = "node";
    this->mNode.mShards = 1;
    this->mNode.mStore = MakeMemoryStore(this->mStore, "node");
    this->mNode.mCodec.mConfigKey = kConfigKey;
    this->mNode.mCodec.mEvacuationPrefix = "op/evacuate/";
    this->mNode.mCodec.mDecodeConfig = DecodeConfig;
    this->mNode.mCodec.mDecodeJob = [](std::string_view, Faults&) {
      return std::optional(BatchSpec{});
    };
    this->mNode.mCodec.mEncodeState = [](BatchState) {
      return std::string("{}");
    };
    this->Put(kConfigKey, ConfigText(1, true, 1));
    ApplyOperatorItem(this->mNode, this->mStore.mItems.at(kConfigKey));
    this->mNode.mOperatorsCompleteAt = this->mNow;
    this->mNow += kOld;
    UseManualTime(this->mNow);
    this->mNode.mLastStoreReplyAt = this->mNow;
  }
  ~OldView() { UseManualTime(std::nullopt); }
  OldView(const OldView&) = delete;
  OldView& operator=(const OldView&) = delete;

  void Put(const std::string& aKey, std::string aValue)
  {
    KvTransaction write;
    write.mPuts.push_back(PersistentPut(aKey, std::move(aValue)));
    CommitNow(this->mStore, write);
  }

  int Ask(const std::string& aMethod)
  {
    HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = std::string("/q/") + kJob;
    request.mHeaders = { { "Host", kHost } };
    std::optional<HttpResponse> response;
    asio::co_spawn(
      this->mIo,
      [&]() -> asio::awaitable<void> {
        response = co_await HandleCallerRequest(this->mNode, request);
      },
      asio::detached);
    while (!response) {
      this->mNow += kStep;
      UseManualTime(this->mNow);
      this->mIo.restart();
      this->mIo.poll();
    }
    return response->mStatus;
  }

  asio::io_context mIo{ 1 };
  NodeContext mNode{ mIo, {} };
  MemoryStore mStore;
  TimePoint mNow = kBegin;
};

} // namespace

// Guards against a job that is accepted by a configuration that isn't in force
// any more, at a node that hasn't heard of the newer one.
TEST_CASE("a job is accepted by the configuration that is in force", "[config]")
{
  struct Row
  {
    const char* mName;
    /// Written to the store; nothing if empty.
    std::string mConfig;
    int mStatus;
    std::optional<int> mPriority;
  };
  const auto row = GENERATE(values<Row>({
    { "the same", "", 200, 1 },
    { "the queue has other terms", ConfigText(2, true, 4), 200, 4 },
    { "the queue is dropped", ConfigText(2, false, 0), 404, std::nullopt },
    { "its version isn't newer", ConfigText(1, false, 0), 200, 1 },
  }));
  CAPTURE(row.mName);
  OldView view;
  if (!row.mConfig.empty()) {
    view.Put(kConfigKey, row.mConfig);
  }
  CHECK(view.Ask("POST") == row.mStatus);
  const auto job = view.mStore.mItems.find(InboxJobKey(0, kJob));
  REQUIRE((job != view.mStore.mItems.end()) == row.mPriority.has_value());
  if (row.mPriority) {
    const auto record = TryDecode<BatchRecord>(job->second.mValue);
    REQUIRE(record);
    CHECK(record->mTerms.mPriority == *row.mPriority);
  }
  // Once the newer one is applied, its revision is the condition.
  CHECK(view.Ask("POST") == row.mStatus);
}

// Guards against a second copy, or a wrong refusal, of a job that is stored
// while the configuration changes.
TEST_CASE("a job that is stored is accepted whatever the configuration",
          "[config]")
{
  OldView view;
  REQUIRE(view.Ask("POST") == 200);
  const std::uint64_t revision =
    view.mStore.mItems.at(InboxJobKey(0, kJob)).mRevision;
  view.Put(kConfigKey, ConfigText(2, true, 4));
  CHECK(view.Ask("POST") == 200);
  CHECK(view.mStore.mItems.at(InboxJobKey(0, kJob)).mRevision == revision);
}

// Guards against cancellations over a dropped route, and against a data centre
// that stops to show states since it can't renew its view.
TEST_CASE("a cancellation follows the configuration in force", "[config]")
{
  struct Row
  {
    const char* mName;
    const char* mMethod;
    bool mIsDropped;
    int mStatus;
  };
  const auto row = GENERATE(values<Row>({
    { "a cancellation", "DELETE", false, 200 },
    { "a cancellation over a dropped route", "DELETE", true, 404 },
    { "a read by an old view", "GET", false, 200 },
  }));
  CAPTURE(row.mName);
  OldView view;
  REQUIRE(view.Ask("POST") == 200);
  if (row.mIsDropped) {
    view.Put(kConfigKey, ConfigText(2, false, 0));
  }
  CHECK(view.Ask(row.mMethod) == row.mStatus);
  const bool isCancelled = view.mStore.mItems.contains(CancelKey(0, kJob));
  CHECK(isCancelled ==
        (std::string(row.mMethod) == "DELETE" && !row.mIsDropped));
}

} // namespace verbenacroft
