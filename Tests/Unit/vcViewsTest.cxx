/// What a node answers and decides from a view of the store that may be old:
/// how old it says the view is, and when it says that it doesn't know.

#include "vcNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace verbenacroft {

namespace {

constexpr const char* kHost = "desk.example";
constexpr std::uint32_t kShards = 3;

FleetConfig MakeConfig()
{
  FleetConfig config;
  config.mVersion = 1;
  QueueTerms terms;
  terms.mQueue = "queue";
  config.mQueues.push_back({ kHost, "/q/", terms });
  return config;
}

/// A node whose shards belong to another node, at `aPeer`.
struct Asker
{
  explicit Asker(const std::string& aPeer)
  {
    this->mNode.mOperators.emplace();
    this->mNode.mOperators->mConfig = MakeConfig();
    this->mNode.mShards = kShards;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      this->mNode.mOwners[shard].mRecord = { "other", aPeer };
    }
    this->mNode.mCodec.mEncodeWaiting = [](std::uint64_t aWaiting) {
      return std::to_string(aWaiting);
    };
  }

  HttpResponse Ask(const std::string& aPath)
  {
    HttpRequest request;
    request.mMethod = "GET";
    request.mTarget = aPath;
    request.mHeaders = { { "Host", kHost } };
    HttpResponse response;
    asio::co_spawn(
      this->mIo,
      [&]() -> asio::awaitable<void> {
        response = co_await HandleCallerRequest(this->mNode, request);
        this->mIo.stop();
      },
      asio::detached);
    this->mIo.restart();
    this->mIo.run_for(std::chrono::seconds(10));
    return response;
  }

  asio::io_context mIo{ 1 };
  NodeContext mNode{ mIo, {} };
};

bool HasRetryAfter(const HttpResponse& aResponse)
{
  return !FindHeader(aResponse.mHeaders, "Retry-After").empty();
}

} // namespace

/// A view must not look more complete than what the store has proved.
TEST_CASE("an inbox is complete as of the sending of its last full reply",
          "[views]")
{
  struct Row
  {
    std::uint64_t mRevision;
    TimePoint mSentAt;
    TimePoint mCompleteAt;
  };
  const auto row = GENERATE(values<Row>({
    // With and without news.
    { 12, TimePoint(2'000), TimePoint(2'000) },
    { 10, TimePoint(2'000), TimePoint(2'000) },
    // The revision went back, or the reply has none.
    { 9, TimePoint(2'000), TimePoint(1'000) },
    { 0, TimePoint(2'000), TimePoint(1'000) },
    // A call that was sent earlier arrives later.
    { 12, TimePoint(500), TimePoint(1'000) },
  }));
  InboxReads reads;
  OnInboxRead(reads, 10, 3, TimePoint(1'000), TimePoint(1'300));
  CHECK(reads.mCompleteAt == TimePoint(1'000));
  OnInboxRead(reads, row.mRevision, 0, row.mSentAt, TimePoint(9'000));
  CHECK(reads.mCompleteAt == row.mCompleteAt);
}

/// Owners that know in time, asked one after another, add up to a count that
/// is too old.
TEST_CASE("a count that has grown too old on its way isn't given", "[views]")
{
  struct Row
  {
    const char* mAge;
    Duration mAnswerTime;
    int mStatus;
  };
  const auto row =
    GENERATE(values<Row>({ { R"("age":100,)", Duration(0), 200 },
                           { R"("age":1700,)", Duration(0), 200 },
                           { R"("age":1700,)", Duration(150), 503 },
                           // An owner that doesn't say how old its view is.
                           { "", Duration(0), 503 } }));
  Asker asker("");
  const HttpHandler answer =
    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
    co_await Sleep(row.mAnswerTime);
    co_return JsonResponse(
      fmt::format(R"({{"isOwner":true,{}"waiting":{{"queue":2}}}})", row.mAge));
  };
  const Endpoint anyPort(asio::ip::address_v4::loopback(), 0);
  const HttpServer owner(asker.mIo, anyPort, {}, answer);
  for (auto& [shard, entry] : asker.mNode.mOwners) {
    entry.mRecord.mPeerAddress =
      fmt::format("127.0.0.1:{}", owner.LocalEndpoint().port());
  }
  const HttpResponse response = asker.Ask("/q/");
  CHECK(response.mStatus == row.mStatus);
  if (row.mStatus == 200) {
    CHECK(response.mBody == "6");
  } else {
    CHECK(HasRetryAfter(response));
  }
}

/// A queue that was added lately must not be said not to exist.
TEST_CASE("a queue is only missing from a configuration that is current",
          "[views]")
{
  struct Row
  {
    Duration mAge;
    int mStatus;
  };
  const auto row = GENERATE(values<Row>({ { Duration(0), 404 },
                                          { Duration(1'500), 404 },
                                          { Duration(2'500), 503 } }));
  Asker asker("");
  asker.mNode.mOperatorsCompleteAt = SuspendAwareNow() - row.mAge;
  const HttpResponse response = asker.Ask("/other/");
  CHECK(response.mStatus == row.mStatus);
  CHECK(HasRetryAfter(response) == (row.mStatus == 503));
}

/// Calls that fail at once must not be repeated without a pause: each one
/// takes from the calls that all nodes share.
TEST_CASE("an inbox without history is read again at a limited rate", "[views]")
{
  asio::io_context io(1);
  NodeContext node(io, {});
  int ranges = 0;
  node.mStore.mRead = [](const std::string& aKey) -> asio::awaitable<KvReply> {
    KvReply reply;
    reply.mStatus = KvStatus::kOk;
    WorkerSetRecord record;
    record.mGeneration = 1;
    reply.mItems.push_back({ aKey, Encode(record), 1, 1, 0, false });
    co_return reply;
  };
  node.mStore.mRange = [&](const KvRange& aRange) -> asio::awaitable<KvReply> {
    co_await Sleep(Duration(1));
    KvReply reply;
    const bool isInbox = aRange.mPrefix == InboxPrefix(0);
    ranges += isInbox ? 1 : 0;
    const bool isLoad = ranges <= 1 && aRange.mPrefix.starts_with("vc/");
    reply.mStatus = isLoad ? KvStatus::kOk : KvStatus::kRefused;
    co_return reply;
  };
  node.mStore.mWatch = [](const KvWatch&) -> asio::awaitable<KvReply> {
    co_await Sleep(Duration(1));
    KvReply reply;
    reply.mStatus = KvStatus::kCompacted;
    co_return reply;
  };
  node.mStore.mCommit = [](const KvTransaction&) -> asio::awaitable<KvReply> {
    KvReply reply;
    reply.mStatus = KvStatus::kRefused;
    co_return reply;
  };
  node.mCodec.mDiscoveryPrefix = "servers/";
  const auto runner = std::make_shared<ShardRunner>(node, 0, 5);
  runner->Start();
  io.run_for(std::chrono::milliseconds(600));
  CHECK(runner->IsLoaded());
  CHECK(ranges > 2);
  CHECK(ranges < 10);
  runner->Stop();
  io.run_for(std::chrono::milliseconds(200));
}

} // namespace verbenacroft
