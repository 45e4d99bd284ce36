/// The adapter to the users' platform: documents that are whole, partial or
/// unreadable, and what its answers mean.

#include "vcSitePlatform.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

HttpResult Answered(int aStatus, std::string aBody)
{
  HttpResult result;
  result.mWasSent = true;
  result.mResponse.mStatus = aStatus;
  result.mResponse.mBody = std::move(aBody);
  return result;
}

} // namespace

TEST_CASE("base64 is read back, and nothing else is", "[site]")
{
  const auto text =
    GENERATE(as<std::string>{}, "", "a", "ab", "abc", "{\"a\":1}");
  CHECK(DecodeBase64(EncodeBase64(text)) == text);
  CHECK_FALSE(DecodeBase64("?"));
  CHECK_FALSE(DecodeBase64("a"));
}

TEST_CASE("a worker's entry is taken only if it names a worker to use",
          "[site]")
{
  struct Row
  {
    const char* mText;
    bool mIsTaken;
  };
  const auto row = GENERATE(values<Row>({
    { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
          "capacity":{"cpu":1000,"mem_mb":10},"labels":["a","r1"],"new":1})",
      true },
    { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining",
          "capacity":{"cpu":1e3}})",
      true },
    { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd",
          "capacity":{}})",
      false },
    { R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready",
          "capacity":{}})",
      false },
    { R"({"service":"s","address":"host:80","zone":"z","state":"ready",
          "capacity":{}})",
      false },
    { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})",
      false },
    { "[]", false },
    { "\x01\x02", false },
  }));
  Faults faults;
  const auto entry = DecodeWorkerEntry("servers/i-1", row.mText, faults);
  CHECK(entry.has_value() == row.mIsTaken);
  CHECK(faults.empty() == row.mIsTaken);
  if (entry) {
    CHECK(entry->mWorker == "i-1");
    CHECK(entry->mCapacity.mMilliCpu == 1'000);
  }
}

TEST_CASE("a malformed job is refused with its fault", "[site]")
{
  const auto text = GENERATE("",
                             "{}",
                             R"({"steps":7})",
                             R"({"steps":[7]})",
                             R"({"steps":[{"count":-1}]})",
                             R"({"steps":[{"count":1,"after":[0]}]})",
                             R"({"steps":[{"count":1,"cpu":"much"}]})",
                             R"({"steps":[{"count":1,"cpu":-5}]})");
  Faults faults;
  CHECK_FALSE(DecodeBatchSpec(text, faults));
  CHECK_FALSE(faults.empty());
}

TEST_CASE("a job's fields are read", "[site]")
{
  Faults faults;
  const auto spec = DecodeBatchSpec(
    R"({"spec":"t","steps":[{"count":2,"cpu":500},
        {"count":1,"after":[0],"fills":true,"image":"i","target_ms":9,
         "max_per_server":3,"long_running":true,"checkpointing":true}]})",
    faults);
  REQUIRE(spec);
  CHECK(spec->mText == "t");
  CHECK(spec->mSteps[0].mNeeds.mMilliCpu == 500);
  const StepSpec& last = spec->mSteps[1];
  CHECK(last.mAfter == std::vector<std::uint32_t>{ 0 });
  CHECK(last.mIsFilling);
  CHECK(last.mIsLasting);
  CHECK(last.mIsCheckpointing);
  CHECK(last.mMaxPerWorker == 3);
  CHECK(last.mTargetMs == 9);
}

TEST_CASE("answers to orders are told apart", "[site]")
{
  struct Row
  {
    int mStatus;
    const char* mBody;
    OrderOutcome mOutcome;
  };
  const auto row = GENERATE(values<Row>({
    { 200, R"({"clock_ms":7})", OrderOutcome::kDone },
    { 409, R"({"reason":"fence"})", OrderOutcome::kStaleEpoch },
    { 409, R"({"reason":"old"})", OrderOutcome::kOldRun },
    { 409, R"({"reason":"late"})", OrderOutcome::kLate },
    { 409, R"({"reason":"room"})", OrderOutcome::kNoRoom },
    { 409, R"({"reason":"ticket"})", OrderOutcome::kNoTicket },
    { 409, "", OrderOutcome::kMalformed },
    { 421, "", OrderOutcome::kOtherIncarnation },
    { 429, "", OrderOutcome::kUnhealthy },
    { 503, "", OrderOutcome::kUnhealthy },
    { 500, "", OrderOutcome::kUnknown },
  }));
  CHECK(DecodeOrderReply(Answered(row.mStatus, row.mBody)).mOutcome ==
        row.mOutcome);
}

TEST_CASE("an order that was not sent is told from one without an answer",
          "[site]")
{
  const auto wasSent = GENERATE(true, false);
  HttpResult result;
  result.mError = MakeError(HttpErrc::kTimeout);
  result.mWasSent = wasSent;
  CHECK(DecodeOrderReply(result).mOutcome ==
        (wasSent ? OrderOutcome::kUnknown : OrderOutcome::kNotSent));
}

TEST_CASE("a worker's lists are read, and bad rows are left out", "[site]")
{
  const auto report = DecodeWorkerReport(Answered(
    200,
    R"({"clock_ms":5,"born":8,"running":[["00.0.1.2",3,"c",41,17],["x"],7],
        "ended_runs":[[9,"00.0.0.0",1,"done",""],[10,"00.0.0.1",1,"odd",""]]})"));
  CHECK(report.mClock == 5);
  CHECK(report.mIncarnation == 8);
  REQUIRE(report.mRunning.size() == 1);
  CHECK(report.mRunning[0].mProgressPercent == 41);
  CHECK(report.mRunning[0].mMeasured == 17);
  REQUIRE(report.mEnded.size() == 1);
  CHECK(report.mEnded[0].mIndex == 9);
}

TEST_CASE("a configuration is read whole or not at all", "[site]")
{
  Faults faults;
  const auto config = DecodeFleetConfig(
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/",
        "service":"s","target_duration_ms":250,"priority":1,"max_attempts":3,
        "stretch":1.5}],"services":[]})",
    faults);
  REQUIRE(config);
  CHECK(config->mVersion == 7);
  CHECK(config->mQueues[0].mTerms.mMaxAttempts == 3);
  CHECK(FindQueue(*config, "h.example:80", "/p/x") != nullptr);
  CHECK(FindQueue(*config, "h.example", "/q/x") == nullptr);
  CHECK_FALSE(DecodeFleetConfig(R"({"routes":[{"name":3}]})", faults));
  CHECK_FALSE(faults.empty());
}

TEST_CASE("lines of tasks don't crowd out rare events", "[log]")
{
  struct Row
  {
    const char* mMessage;
    bool mIsFull;
    int mLines;
    int mWritten;
  };
  const auto row = GENERATE(values<Row>({
    { "task.start task=1", false, 10, 3 },
    { "caller.answer job=1", false, 2, 2 },
    { "job.take job=1", true, 2, 0 },
    { "shard.take shard=1", false, 5, 2 },
    { "shard.take shard=1", true, 2, 2 },
  }));
  LogRateLimiter budget;
  budget.mFrequentPerSecond = 3;
  budget.mRarePerSecond = 2;
  CHECK(AdvanceWindow(budget, TimePoint(10'000)).empty());
  const std::string event(EventName(row.mMessage));
  int written = 0;
  for (int i = 0; i < row.mLines; ++i) {
    written += AdmitLine(budget, event, row.mIsFull) ? 1 : 0;
  }
  CHECK(written == row.mWritten);
  CHECK(AdvanceWindow(budget, TimePoint(10'999)).empty());
  const DroppedLines dropped = AdvanceWindow(budget, TimePoint(11'000));
  const int lost = row.mLines - row.mWritten;
  CHECK(dropped.size() == (lost > 0 ? 1 : 0));
  CHECK((lost == 0 || dropped.at(event) == static_cast<std::uint64_t>(lost)));
}

TEST_CASE("a message becomes members of a JSON object", "[log]")
{
  struct Row
  {
    const char* mMessage;
    const char* mMembers;
  };
  const auto row = GENERATE(values<Row>({
    { "a.b", R"(,"event":"a.b")" },
    { "a.b n=12 t=x", R"(,"event":"a.b","n":12,"t":"x")" },
    { "a.b job=0012 e=", R"(,"event":"a.b","job":"0012","e":"")" },
    { "two words n=-3", R"(,"event":"two words","n":-3)" },
  }));
  CHECK(EventToJsonMembers(row.mMessage) == row.mMembers);
}

} // namespace verbenacroft
