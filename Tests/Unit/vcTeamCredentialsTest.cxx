/// Teams' keys: which requests a node accepts, refuses and can't judge, and the
/// teams of the jobs that it stores.

#include "vcFleetStore.h"

#include "vcCallerRequests.h"
#include "vcOperatorWatch.h"
#include "vcSitePlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr const char* kConfigKey = "op/config";
constexpr TimePoint kBegin{ 1'000'000 };
constexpr Duration kStep{ 5 };

/// A configuration with a queue that needs a key and one that doesn't. The team
/// "north" has the keys `aNorthKeys`, given as JSON; "south" has "s-key".
std::string ConfigText(int aVersion, const std::string& aNorthKeys)
{
  return fmt::format(
    R"({{"version":{},"routes":[
      {{"name":"q","host":"h","prefix":"/q/","service":"s"}},
      {{"name":"o","host":"h","prefix":"/o/","service":"s","public":true}}],
      "tenants":[{{"name":"north","api_keys":{}}},
                 {{"name":"south","api_keys":["s-key"]}}]}})",
    aVersion,
    aNorthKeys);
}

/// A node on a clock of the test's own that has read one configuration and
/// learns of later ones only in the store's replies to its writes.
struct TeamNode
{
  explicit TeamNode(const std::string& aConfig)
  {
    UseManualTime(this->mNow);
    this->mNode.mSettings.mName = "node";
    this->mNode.mShards = 1;
    this->mNode.mStore = MakeMemoryStore(this->mStore, "node");
    this->mNode.mCodec.mConfigKey = kConfigKey;
    this->mNode.mCodec.mEvacuationPrefix = "op/evacuate/";
    this->mNode.mCodec.mCredentialHeader = "Credential";
    this->mNode.mCodec.mDecodeConfig = DecodeFleetConfig;
    this->mNode.mCodec.mDecodeJob = [](std::string_view, Faults&) {
      return std::optional(BatchSpec{});
    };
    this->mNode.mCodec.mEncodeState = EncodeBatchState;
    this->Put(aConfig);
    ApplyOperatorItem(this->mNode, this->mStore.mItems.at(kConfigKey));
    this->mNode.mOperatorsCompleteAt = this->mNow;
    this->mNode.mLastStoreReplyAt = this->mNow;
  }
  ~TeamNode() { UseManualTime(std::nullopt); }
  TeamNode(const TeamNode&) = delete;
  TeamNode& operator=(const TeamNode&) = delete;

  void Put(const std::string& aConfig)
  {
    KvTransaction write;
    write.mPuts.push_back(PersistentPut(kConfigKey, aConfig));
    CommitNow(this->mStore, write);
  }

  void Age(Duration aTime)
  {
    this->mNow += aTime;
    UseManualTime(this->mNow);
    this->mNode.mLastStoreReplyAt = this->mNow;
  }

  HttpResponse Ask(const std::string& aMethod,
                   const std::string& aQueue,
                   const std::string& aKey)
  {
    HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = aQueue + kJob;
    request.mHeaders = { { "Host", "h" } };
    if (!aKey.empty()) {
      request.mHeaders.push_back({ "Credential", aKey });
    }
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
    return *response;
  }

  /// Team of the stored job; nothing if none is stored.
  std::optional<std::string> StoredTeam() const
  {
    const auto item = this->mStore.mItems.find(InboxJobKey(0, kJob));
    if (item == this->mStore.mItems.end()) {
      return std::nullopt;
    }
    return TryDecode<BatchRecord>(item->second.mValue)->mTerms.mTeam;
  }

  asio::io_context mIo{ 1 };
  NodeContext mNode{ mIo, {} };
  MemoryStore mStore;
  TimePoint mNow = kBegin;
};

} // namespace

// Guards against requests that run without a key that the configuration has,
// and against valid keys that are turned away.
TEST_CASE("a request needs a key of a team unless its queue is open", "[teams]")
{
  struct Row
  {
    const char* mName;
    const char* mQueue;
    const char* mKey;
    int mStatus;
    std::optional<std::string> mTeam;
  };
  const auto row = GENERATE(values<Row>({
    { "a key", "/q/", "n-1", 200, "north" },
    { "the team's other key", "/q/", "n-2", 200, "north" },
    { "an unknown key", "/q/", "n-3", 401, std::nullopt },
    { "no key", "/q/", "", 401, std::nullopt },
    { "an open queue without a key", "/o/", "", 200, "" },
    { "an open queue with a key", "/o/", "s-key", 200, "south" },
    { "an open queue with an unknown key", "/o/", "n-3", 200, "" },
    { "no such queue", "/x/", "n-1", 404, std::nullopt },
  }));
  CAPTURE(row.mName);
  TeamNode node(ConfigText(1, R"(["n-1","n-2"])"));
  const HttpResponse response = node.Ask("POST", row.mQueue, row.mKey);
  CHECK(response.mStatus == row.mStatus);
  CHECK(node.StoredTeam() == row.mTeam);
  // A key must not be repeated to whoever sent it, or be logged from there.
  const std::string key = row.mKey;
  CHECK((key.empty() || response.mBody.find(key) == std::string::npos));
}

// Guards against deployments without teams that ask for keys.
TEST_CASE("without teams no request needs a key", "[teams]")
{
  TeamNode node(
    R"({"version":1,"routes":[{"host":"h","prefix":"/q/","service":"s"}]})");
  CHECK(node.Ask("POST", "/q/", "").mStatus == 200);
  CHECK(node.StoredTeam() == "");
}

// Guards against a revoked key that a node with an old view accepts, and
// against a new key that it turns away.
TEST_CASE("a submission is judged by the keys in force", "[teams]")
{
  struct Row
  {
    const char* mName;
    const char* mNewKeys;
    const char* mKey;
    Duration mAge;
    int mStatus;
  };
  const auto row = GENERATE(values<Row>({
    { "the key stays", R"(["n-1","n-2"])", "n-1", Duration(1'000), 200 },
    { "the key is revoked", R"(["n-2"])", "n-1", Duration(1'000), 401 },
    { "revoked, old view", R"(["n-2"])", "n-1", Duration(3'000), 401 },
    { "the key may be new", R"(["n-2"])", "n-2", Duration(3'000), 503 },
  }));
  CAPTURE(row.mName);
  TeamNode node(ConfigText(1, R"(["n-1"])"));
  node.Put(ConfigText(2, row.mNewKeys));
  node.Age(row.mAge);
  CHECK(node.Ask("POST", "/q/", row.mKey).mStatus == row.mStatus);
  CHECK(node.StoredTeam().has_value() == (row.mStatus == 200));
}

// Guards against a node that is cut off from the store and turns valid keys
// away, or, if keys are revoked strictly, accepts them for too long.
TEST_CASE("keys are accepted by an old view as the settings say", "[teams]")
{
  struct Row
  {
    bool mIsStrict;
    Duration mAge;
    int mStatus;
  };
  const auto row = GENERATE(values<Row>({
    { false, Duration(60'000), 200 },
    { true, Duration(4'000), 200 },
    { true, Duration(6'000), 503 },
  }));
  CAPTURE(row.mIsStrict, row.mAge.count());
  TeamNode node(ConfigText(1, R"(["n-1"])"));
  node.mNode.mSettings.mBounds.mStrictRevocation = row.mIsStrict;
  REQUIRE(node.Ask("POST", "/q/", "n-1").mStatus == 200);
  node.Age(row.mAge);
  CHECK(node.Ask("GET", "/q/", "n-1").mStatus == row.mStatus);
}

// Guards against a team that cancels or takes over a job of another.
TEST_CASE("a job can't be used with the key of another team", "[teams]")
{
  TeamNode node(ConfigText(1, R"(["n-1","n-2"])"));
  REQUIRE(node.Ask("POST", "/q/", "n-1").mStatus == 200);
  CHECK(node.Ask("POST", "/q/", "s-key").mStatus == 403);
  CHECK(node.Ask("DELETE", "/q/", "s-key").mStatus == 403);
  CHECK(node.Ask("POST", "/q/", "n-2").mStatus == 200);
  CHECK(node.Ask("DELETE", "/q/", "n-2").mStatus == 200);
}

// Guards against a configuration that gives one key to two teams, and against a
// fault that shows it.
TEST_CASE("a key of two teams is a fault that doesn't show it", "[teams]")
{
  Faults faults;
  CHECK_FALSE(DecodeFleetConfig(ConfigText(1, R"(["s-key"])"), faults));
  REQUIRE(faults.size() == 1);
  const std::string fault = Describe(faults[0]);
  CHECK(fault.find("north") != std::string::npos);
  CHECK(fault.find("s-key") == std::string::npos);
}

} // namespace verbenacroft
