/// What the answers of the platform's store mean for a node: whether the store
/// is reached, whether a peer is asked, and what a caller is told.

#include "vcNode.h"
#include "vcSitePlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr std::uint32_t kShard = 0;

HttpResult Answered(int aStatus, std::string aBody)
{
  HttpResult result;
  result.mWasSent = true;
  result.mResponse.mStatus = aStatus;
  result.mResponse.mBody = std::move(aBody);
  return result;
}

asio::awaitable<KvReply> Reply(KvReply aReply)
{
  co_return aReply;
}

KvReply StoredJobReply()
{
  KvReply reply;
  reply.mStatus = KvStatus::kOk;
  reply.mItems.resize(1);
  reply.mItems[0].mKey = InboxJobKey(kShard, kJob);
  reply.mItems[0].mRevision = 7;
  return reply;
}

/// A store that answers each write with `aWritten`, counted in `aWrites`, and
/// each read with the job's record or, for other keys, with nothing.
KeyValueStore MakeStore(KvReply aWritten, int& aWrites)
{
  KeyValueStore store;
  store.mCommit = [aWritten = std::move(aWritten),
                   &aWrites](const KvTransaction&) {
    ++aWrites;
    return Reply(aWritten);
  };
  store.mRead = [](const std::string& aKey) {
    KvReply none;
    none.mStatus = KvStatus::kNotFound;
    return Reply(aKey == InboxJobKey(kShard, kJob) ? StoredJobReply() : none);
  };
  return store;
}

/// A node with one queue, and a peer that nobody can reach.
std::unique_ptr<NodeContext> MakeNode(asio::io_context& aIo)
{
  auto node = std::make_unique<NodeContext>(aIo, NodeSettings{});
  node->mShards = 1;
  node->mLastStoreReplyAt = SuspendAwareNow();
  node->mNodes["peer"] = { "127.0.0.1:1", "north", 1 };
  node->mOperators.emplace();
  node->mOperators->mConfig.mVersion = 1;
  node->mOperators->mConfig.mQueues.push_back({ "desk.example", "/q/", {} });
  node->mCodec.mDecodeJob = [](std::string_view, Faults&) {
    return std::optional(BatchSpec{});
  };
  return node;
}

HttpResponse Ask(asio::io_context& aIo,
                 NodeContext& aNode,
                 const std::string& aMethod)
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = std::string("/q/") + kJob;
  request.mHeaders = { { "Host", "desk.example" } };
  auto answer =
    asio::co_spawn(aIo, HandleCallerRequest(aNode, request), asio::use_future);
  aIo.run();
  return answer.get();
}

} // namespace

// Guards against a watch that is requested again without end, because its
// events no longer fit into one reply.
TEST_CASE("a reply that is too large leads to a read by pages", "[node]")
{
  HttpResult result;
  result.mWasSent = true;
  result.mError = MakeError(HttpErrc::kTooLarge);
  CHECK(DecodeStoreReply(result).mStatus == KvStatus::kCompacted);
}

TEST_CASE("answers of the store are told apart", "[site][store]")
{
  struct Row
  {
    int mStatus;
    const char* mBody;
    KvStatus mOutcome;
    bool mIsReached;
  };
  const auto row = GENERATE(values<Row>({
    { 200, R"({"revision":7})", KvStatus::kOk, true },
    { 200, "", KvStatus::kUnknown, false },
    { 404, "", KvStatus::kNotFound, true },
    { 410, "", KvStatus::kCompacted, true },
    { 412, R"({"items":[]})", KvStatus::kConflict, true },
    { 400, "over 32 entries", KvStatus::kRejected, true },
    { 403, "not your key", KvStatus::kRejected, true },
    { 429, "", KvStatus::kRefused, false },
    { 503, "", KvStatus::kRefused, false },
    { 500, "", KvStatus::kUnknown, false },
  }));
  const KvReply reply = DecodeStoreReply(Answered(row.mStatus, row.mBody));
  CHECK(reply.mStatus == row.mOutcome);
  CHECK(IsAnswered(reply.mStatus) == row.mIsReached);
}

// Guards against a log line that doesn't say why the store rejected a call.
TEST_CASE("a rejection keeps the store's reason", "[site][store]")
{
  const KvReply reply = DecodeStoreReply(Answered(400, "over 32 entries"));
  CHECK(reply.mReason == "http-status-400:over-32-entries");
}

// Guards against a store that counts as lost because it rejects a call.
TEST_CASE("a store that rejects a call is not lost", "[node][store]")
{
  const auto status = GENERATE(400, 403);
  UseManualTime(TimePoint(1'000'000));
  asio::io_context io;
  const auto node = MakeNode(io);
  node->mLastStoreReplyAt = SuspendAwareNow() - Duration(900);
  for (int i = 0; i < 10; ++i) {
    UseManualTime(SuspendAwareNow() + Duration(100));
    UpdateStoreHealth(*node, DecodeStoreReply(Answered(status, "no")));
    CHECK(node->mStoreFailedAt == kNever);
    CHECK_FALSE(IsStoreDown(*node, SuspendAwareNow()));
  }
  UseManualTime(std::nullopt);
}

// Guards against a rejected write that is repeated, sent through a peer, or
// explained to the caller by a store that can't be reached.
TEST_CASE("a rejected write is answered as rejected at once", "[node][store]")
{
  const auto method = GENERATE(as<std::string>{}, "POST", "DELETE");
  const auto status = GENERATE(400, 403);
  asio::io_context io;
  const auto node = MakeNode(io);
  int writes = 0;
  node->mStore = MakeStore(DecodeStoreReply(Answered(status, "no")), writes);
  const HttpResponse response = Ask(io, *node, method);
  CHECK(response.mStatus == 503);
  CHECK_THAT(response.mBody, Catch::Contains("rejected"));
  CHECK(writes == 1);
  CHECK(node->mCounters.mRelayedCalls == 0);
}

} // namespace verbenacroft
