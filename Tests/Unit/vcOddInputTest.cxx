/// Odd items among good ones in what other writers, operators, callers and
/// workers send: the good ones hold, nothing throws, and no number is taken for
/// another one.

#include "vcFleetStore.h"

#include "vcMembership.h"
#include "vcShardRunner.h"
#include "vcSitePlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

namespace verbenacroft {

namespace {

HttpResult Answered(std::string aBody)
{
  HttpResult result;
  result.mWasSent = true;
  result.mResponse.mStatus = 200;
  result.mResponse.mBody = std::move(aBody);
  return result;
}

std::string Nested(int aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// A worker's entry with one more member, which replaces an earlier one of the
/// same name.
std::string EntryWith(const std::string& aMember)
{
  return R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
         R"("state":"ready","born":1700000000000,)"
         R"("capacity":{"cpu":1000,"mem_mb":10},"labels":["a"])" +
         (aMember.empty() ? "" : "," + aMember) + "}";
}

std::string StepWith(const std::string& aMember)
{
  return R"({"steps":[{"count":1,"cpu":5},{"count":1,)" + aMember + "}]}";
}

std::string RouteWith(const std::string& aMember)
{
  return R"({"version":1,"routes":[{"name":"r",)" + aMember + "}]}";
}

/// Writes all log lines to a text for as long as it exists.
struct LogCapture
{
  LogCapture()
    : mBefore(spdlog::default_logger())
  {
    const auto sink =
      std::make_shared<spdlog::sinks::ostream_sink_mt>(this->mText);
    spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("captured", sink));
  }
  ~LogCapture() { spdlog::set_default_logger(this->mBefore); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// Number of lines that contain `aText`.
  std::size_t Count(const std::string& aText) const
  {
    std::istringstream lines(this->mText.str());
    std::string line;
    std::size_t count = 0;
    while (std::getline(lines, line)) {
      count += line.find(aText) == std::string::npos ? 0 : 1;
    }
    return count;
  }

  std::ostringstream mText;
  std::shared_ptr<spdlog::logger> mBefore;
};

} // namespace

TEST_CASE("an odd entry names no worker, and nothing throws", "[odd]")
{
  const auto text = GENERATE_COPY(
    as<std::string>{},
    Nested(31),
    Nested(100'000),
    EntryWith(R"("more":)" + Nested(100'000)),
    EntryWith(R"("more":)" + std::string(1, '"') + "\xff\xfe\""),
    EntryWith(R"("born":1e300)"),
    EntryWith(R"("born":18446744073709551616)"),
    EntryWith(R"("cold_remaining_ms":1e19)"),
    EntryWith(R"("cold_remaining_ms":NaN)"),
    EntryWith(R"("address":"10.0.0.1:0")"),
    EntryWith(R"("address":"10.0.0.1:70000")"),
    EntryWith(R"("address":"10.0.0.1:99999999999")"),
    EntryWith(R"("address":"10.0.0.1:-1")"),
    EntryWith(R"("address":":80")"),
    EntryWith(R"("address":"::1")"),
    EntryWith(R"("address":"[::1:80")"),
    EntryWith(R"("address":")" + std::string(1'000'000, 'x') + R"(:80")"),
    EntryWith(R"("address":8080)"),
    EntryWith(R"("state":"READY")"),
    EntryWith(R"("capacity":[])"));
  INFO(text.substr(0, 200));
  Faults faults;
  CHECK_FALSE(DecodeWorkerEntry("servers/i-1", text, faults));
  CHECK_FALSE(faults.empty());
}

TEST_CASE("an unusual but valid entry names a worker", "[odd]")
{
  const auto text =
    GENERATE_COPY(as<std::string>{},
                  EntryWith(""),
                  EntryWith(R"("more":[[[[1e300]]]],"new":null)"),
                  EntryWith(R"("more":1e999)"),
                  EntryWith(R"("address":"[2001:db8::1]:65535")"),
                  EntryWith(R"("born":1.7e12,"cold_remaining_ms":0.5)"),
                  EntryWith(R"("state":"draining")"));
  INFO(text);
  Faults faults;
  const auto entry = DecodeWorkerEntry("servers/i-1", text, faults);
  REQUIRE(entry);
  CHECK(entry->mCapacity.mMilliCpu == 1'000);
}

TEST_CASE("an odd item of a store reply leaves the others as they are", "[odd]")
{
  const auto item =
    GENERATE_COPY(as<std::string>{},
                  "7",
                  "null",
                  "[[]]",
                  R"({"key":7,"value":"YQ==","revision":1})",
                  R"({"key":"servers/odd","value":7,"revision":1})",
                  R"({"key":"servers/odd","value":"*","revision":1e300})",
                  R"({"key":"servers/odd","value":"YQ","revision":1e19})",
                  R"({"key":"servers/odd","value":"YQ==","lease":-1.5e18})");
  INFO(item);
  const KvReply reply = DecodeStoreReply(Answered(
    R"({"as_of":9,"items":[{"key":"servers/a","value":"YQ==","revision":3},)" +
    item + R"(,{"key":"servers/b","value":"Yg==","revision":4}]})"));
  CHECK(reply.mStatus == KvStatus::kOk);
  CHECK(reply.mRevision == 9);
  REQUIRE(reply.mItems.size() >= 2);
  CHECK(reply.mItems.front().mValue == "a");
  CHECK(reply.mItems.back().mValue == "b");
  CHECK(reply.mItems.back().mRevision == 4);
}

// Guards against sums of resources that overflow, by which a task that no
// worker has room for fits any of them.
TEST_CASE("an amount too large for sums is refused", "[odd]")
{
  const auto amount = GENERATE(
    as<std::string>{}, "9223372036854775807", "9223372036854775000", "1e15");
  const auto name = GENERATE(as<std::string>{}, "cpu", "mem_mb", "gpus");
  INFO(name << " " << amount);
  Faults faults;
  const std::string member = "\"" + name + "\":" + amount;
  const auto spec = DecodeBatchSpec(StepWith(member), faults);
  CHECK_FALSE(spec);
  if (spec) {
    const Resources used{ 1'000, 1'000, 1 };
    const Resources capacity{ 64'000, 250'000, 8 };
    CHECK_FALSE(Fits(used + spec->mSteps[1].mNeeds, capacity));
  }
  const auto entry = DecodeWorkerEntry(
    "servers/i-1", EntryWith(R"("capacity":{)" + member + "}"), faults);
  CHECK_FALSE(entry);
  CHECK(faults.size() == 2);
}

// Guards against a worker with less than no room, which other numbers are
// divided by.
TEST_CASE("a worker's negative capacity names no worker", "[odd]")
{
  const auto name = GENERATE(as<std::string>{}, "cpu", "mem_mb", "gpus");
  Faults faults;
  CHECK_FALSE(DecodeWorkerEntry(
    "servers/i-1", EntryWith(R"("capacity":{")" + name + R"(":-1})"), faults));
  CHECK_FALSE(faults.empty());
}

// Guards against a number that is cut to that of another step, so that a job
// is accepted that waits for a step that its caller didn't name.
TEST_CASE("a dependency on a step that can't be is refused", "[odd]")
{
  const auto after = GENERATE(as<std::string>{},
                              "4294967296",
                              "18446744073709551616",
                              "1e19",
                              "1e300",
                              "0.5",
                              "-1",
                              "-0.5",
                              "\"0\"",
                              "null",
                              "[0]");
  INFO(after);
  Faults faults;
  CHECK_FALSE(DecodeBatchSpec(StepWith(R"("after":[)" + after + "]"), faults));
  CHECK_FALSE(faults.empty());
}

TEST_CASE("a dependency may be written with a fraction of 0", "[odd]")
{
  Faults faults;
  const auto spec = DecodeBatchSpec(StepWith(R"("after":[0.0])"), faults);
  REQUIRE(spec);
  CHECK(spec->mSteps[1].mAfter == std::vector<std::uint32_t>{ 0 });
}

// Guards against a queue's priority that is cut to another one.
TEST_CASE("a priority or count out of range isn't cut", "[odd]")
{
  const auto text = GENERATE_COPY(as<std::string>{},
                                  RouteWith(R"("priority":4294967296)"),
                                  RouteWith(R"("priority":-2147483649)"),
                                  RouteWith(R"("priority":1e300)"),
                                  RouteWith(R"("max_attempts":4294967297)"),
                                  RouteWith(R"("max_attempts":-1)"));
  INFO(text);
  Faults faults;
  CHECK_FALSE(DecodeFleetConfig(text, faults));
  CHECK_FALSE(faults.empty());
}

// Guards against a version after which no configuration counts as newer.
TEST_CASE("a configuration with an odd version isn't taken", "[odd]")
{
  const auto version = GENERATE(
    as<std::string>{}, "-1", "1e19", "9223372036854775807", "\"2\"", "[]");
  INFO(version);
  Faults faults;
  const std::string text = R"({"routes":[],"version":)" + version + "}";
  CHECK_FALSE(DecodeFleetConfig(text, faults));
  CHECK_FALSE(faults.empty());
}

// Guards against a configuration that is taken without one of its queues, whose
// jobs would then be answered with 404.
TEST_CASE("a configuration with an odd route isn't taken in part", "[odd]")
{
  const auto route = GENERATE(as<std::string>{}, "7", "null", "[]", "\"r\"");
  INFO(route);
  Faults faults;
  const std::string text =
    R"({"version":1,"routes":[{"name":"a"},)" + route + "]}";
  CHECK_FALSE(DecodeFleetConfig(text, faults));
  CHECK_FALSE(faults.empty());
}

// Guards against times and factors whose products don't fit into a time: the
// job would be due, or late, at a moment that nobody named.
TEST_CASE("a time too large to be reckoned with is refused", "[odd]")
{
  const auto number =
    GENERATE(as<std::string>{}, "9223372036854775807", "-9e15", "1e15");
  INFO(number);
  Faults faults;
  CHECK_FALSE(DecodeBatchSpec(StepWith(R"("estimate_ms":)" + number), faults));
  CHECK_FALSE(DecodeBatchSpec(StepWith(R"("target_ms":)" + number), faults));
  for (const char* name : { "start_at_ms", "interval_ms" }) {
    CHECK_FALSE(DecodeBatchSpec(
      fmt::format(R"({{"steps":[{{"count":1}}],"repeat_count":3,"{}":{}}})",
                  name,
                  number),
      faults));
  }
  CHECK_FALSE(
    DecodeFleetConfig(RouteWith(R"("target_duration_ms":)" + number), faults));
  CHECK_FALSE(DecodeFleetConfig(RouteWith(R"("stretch":)" + number), faults));
  CHECK(faults.size() == 6);
}

// Guards against numbers of a worker's report that are cut to others, so that
// a run counts as another run, and its own as lost.
TEST_CASE("a row with a number out of range is left out of a report", "[odd]")
{
  const auto number = GENERATE(as<std::string>{},
                               "1e300",
                               "1e19",
                               "18446744073709551615",
                               "4294967297",
                               "-1",
                               "\"1\"",
                               "null");
  INFO(number);
  const auto report = DecodeWorkerReport(Answered(
    R"({"clock_ms":5,"born":8,"running":[["00.0.0.1",)" + number +
    R"(,"",1,2],["00.0.0.2",1,"",3,4.5]],"ended_runs":[[1,"00.0.0.3",)" +
    number + R"(,"done",""],[2,"00.0.0.4",1,"done",""]]})"));
  CHECK(report.mOutcome == OrderOutcome::kDone);
  REQUIRE(report.mRunning.size() == 1);
  CHECK(report.mRunning[0].mTask.mIndex == 2);
  CHECK(report.mRunning[0].mMeasured == 4);
  REQUIRE(report.mEnded.size() == 1);
  CHECK(report.mEnded[0].mTask.mIndex == 4);
}

// Guards against a run that counts as lost because a figure beside it, which
// only serves to share a worker, can't be read.
TEST_CASE("a row with odd figures still tells that its task runs", "[odd]")
{
  const auto number =
    GENERATE(as<std::string>{}, "1e300", "-1e19", "\"1\"", "null", "[]");
  INFO(number);
  const auto report = DecodeWorkerReport(
    Answered(R"({"clock_ms":5,"born":8,"running":[["00.0.0.1",7,"",)" + number +
             "," + number + "]]}"));
  REQUIRE(report.mRunning.size() == 1);
  CHECK(report.mRunning[0].mRun == 7);
  CHECK(report.mRunning[0].mProgressPercent == 0);
  CHECK(report.mRunning[0].mMeasured == 0);
}

// Guards against runs that count as lost, and are started a second time,
// because the list that names them can't be read.
TEST_CASE("a report whose lists can't be read lists nothing as gone", "[odd]")
{
  const auto text = GENERATE(as<std::string>{},
                             R"({"clock_ms":5,"born":8,"running":7})",
                             R"({"clock_ms":5,"born":8,"running":{}})",
                             R"({"clock_ms":5,"born":8,"ended_runs":"x"})",
                             R"({"clock_ms":"5","born":8})",
                             R"({"clock_ms":5,"born":1e300})");
  INFO(text);
  CHECK(DecodeWorkerReport(Answered(text)).mOutcome ==
        OrderOutcome::kMalformed);
}

// Guards against an entry whose key can't be sent to a worker as its name:
// each order to it would end the shard's owner, again and again.
TEST_CASE("a key that can't be a worker's name names no worker", "[odd]")
{
  const auto name = GENERATE_COPY(as<std::string>{},
                                  "",
                                  "a\r\nHost: b",
                                  std::string("a\0b", 3),
                                  std::string(70'000, 'a'),
                                  "a b");
  INFO(name.substr(0, 20));
  Faults faults;
  const auto entry =
    DecodeWorkerEntry("servers/" + name, EntryWith(""), faults);
  CHECK_FALSE(entry);
  CHECK_FALSE(faults.empty());
  if (entry) {
    asio::io_context io{ 1 };
    HttpClient http(io);
    const WorkerPort port = MakeSiteWorkers(http);
    asio::ip::tcp::acceptor silent(io, { asio::ip::address_v4::loopback(), 0 });
    auto report = asio::co_spawn(
      io,
      port.mRenew({ entry->mWorker, silent.local_endpoint() }, {}),
      asio::use_future);
    io.run();
    CHECK_NOTHROW(report.get());
  }
}

// Guards against a worker of an unknown kind or rack that is used as if it had
// told all of its labels.
TEST_CASE("an entry with an odd label names no worker", "[odd]")
{
  const auto labels =
    GENERATE(as<std::string>{}, "[7]", R"(["a",null])", R"([["a"]])", "{}");
  INFO(labels);
  Faults faults;
  CHECK_FALSE(DecodeWorkerEntry(
    "servers/i-1", EntryWith(R"("labels":)" + labels), faults));
  CHECK_FALSE(faults.empty());
}

// Guards against an owner that ends or no longer follows the list of workers
// because of one odd entry, and against such an entry that no line tells of or
// that a line tells of at each read.
TEST_CASE("an odd entry leaves the shard's owner to follow the list", "[odd]")
{
  struct Row
  {
    std::string mName;
    std::string mText;
  };
  const auto row = GENERATE_COPY(
    values<Row>({ { "odd", Nested(100'000) },
                  { "odd", EntryWith(R"("born":1e300)") },
                  { "odd", EntryWith(R"("address":"10.0.0.1:70000")") },
                  { "odd", "\x01\xff" },
                  { std::string(70'000, 'o'), EntryWith("") } }));
  INFO(row.mName.substr(0, 20) << " " << row.mText.substr(0, 200));
  constexpr Duration kTick{ 5 };
  TimePoint now{ 1'000'000 };
  UseManualTime(now);
  const LogCapture log;
  MemoryStore store;
  asio::io_context io{ 1 };
  NodeContext node{ io, {} };
  node.mSettings.mName = "node";
  node.mShards = 1;
  node.mOperators.emplace();
  node.mCodec.mDiscoveryPrefix = kDiscoveryKeyPrefix;
  node.mCodec.mDecodeWorker = DecodeWorkerEntry;
  node.mStore = MakeMemoryStore(store, "node");
  node.mWorkers.mRenew = [](WorkerAddress aTo,
                            RenewOrder) -> asio::awaitable<WorkerReport> {
    // As the HTTP library does with a header that is too long.
    if (aTo.mWorker.size() > 65'000) {
      throw std::length_error("too long");
    }
    co_await Sleep(Duration(100));
    co_return WorkerReport{};
  };
  const auto put = [&](const std::string& aKey, std::string aValue) {
    KvTransaction write;
    write.mPuts.push_back(PersistentPut(aKey, std::move(aValue)));
    CommitNow(store, write);
  };
  const auto run = [&](Duration aTime) {
    for (const TimePoint until = now + aTime; now < until;) {
      now += kTick;
      UseManualTime(now);
      io.restart();
      io.poll();
    }
  };
  put("servers/a", EntryWith(""));
  put("servers/" + row.mName, row.mText);
  WorkerSetRecord workerSet;
  workerSet.mGeneration = 1;
  put(WorkerSetKey(0), Encode(workerSet));
  put(OwnerKey(0), "{}");
  const auto runner = std::make_shared<ShardRunner>(node, 0, store.mRevision);
  runner->Start();
  run(Duration(3'000));
  put("servers/z", EntryWith(""));
  run(Duration(3'000));
  CHECK_FALSE(runner->IsStopped());
  CHECK(runner->State().mWorkers.contains("a"));
  CHECK(runner->State().mWorkers.contains("z"));
  CHECK_FALSE(runner->State().mWorkers.contains(row.mName));
  CHECK(log.Count("worker.entry-skipped key=servers/o") == 1);
  UseManualTime(std::nullopt);
}

} // namespace verbenacroft
