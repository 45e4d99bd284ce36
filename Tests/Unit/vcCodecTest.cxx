/// Settings and configuration: every fault is told with its path.

#include "vcConfig.h"
#include "vcJobs.h"
#include "vcRequests.h"
#include "vcScheduler.h"

#include <catch2/catch.hpp>

#include <random>

namespace verbenacroft {

struct Sample
{
  std::string mName;
  std::int64_t mCount = 0;
  bool mIsOn = false;
  ServiceClass mClass = ServiceClass::kCritical;
  std::vector<std::string> mList;
};
BOOST_DESCRIBE_STRUCT(Sample, (), (mName, mCount, mIsOn, mClass, mList))

TEST_CASE("faults of a document name the path", "[codec]")
{
  struct Row
  {
    const char* mText;
    const char* mPath;
  };
  const auto row = GENERATE(values<Row>({
    { R"({"nam": "x"})", "$.nam" },
    { R"({"count": "3"})", "$.count" },
    { R"({"count": 3.5})", "$.count" },
    { R"({"isOn": 1})", "$.isOn" },
    { R"({"class": "fast"})", "$.class" },
    { R"({"list": ["a", 2]})", "$.list[1]" },
    { R"([])", "$" },
    { "{\n\"name\": }", "line 2" },
    { R"({"count": 99999999999999999999})", "$.count" },
    { R"({} x)", "line 1" },
  }));
  Faults faults;
  Decode<Sample>(row.mText, faults);
  INFO(row.mText);
  REQUIRE(faults.size() == 1);
  CHECK(faults.front().mPath == row.mPath);
  CHECK_FALSE(faults.front().mAllowed.empty());
}

TEST_CASE("comments and trailing commas are read", "[codec]")
{
  Faults faults;
  const auto sample =
    Decode<Sample>("// a\n{\"name\": \"x\", /* b */ \"count\": 4,}", faults);
  CHECK(faults.empty());
  CHECK(sample.mName == "x");
  CHECK(sample.mCount == 4);
}

TEST_CASE("a value is the same after a round trip", "[codec]")
{
  Sample sample{ "n", -7, true, ServiceClass::kStandard, { "p", "q" } };
  const auto again = TryDecode<Sample>(Encode(sample));
  REQUIRE(again);
  CHECK(Encode(*again) == Encode(sample));
  CHECK(Encode(Sample{}) == "{}");
}

Configuration Valid()
{
  Configuration configuration;
  configuration.mBackers = { { "one", 60, 0 }, { "two", 40, 0 } };
  configuration.mDataCentres = { { "a", "r", false, 1, 1, 0 } };
  Service service;
  service.mName = "web";
  service.mBacker = "one";
  service.mDataCentres = { "a" };
  service.mResources = { 1'000, 1'000, 0, 2 };
  configuration.mServices = { service };
  return configuration;
}

TEST_CASE("each fault of a configuration is found", "[config]")
{
  struct Row
  {
    void (*mBreak)(Configuration&);
    const char* mPath;
  };
  const auto row = GENERATE(values<Row>({
    { [](Configuration& aIt) { aIt.mServices[0].mBacker = "no"; },
      "$.services[0].backer" },
    { [](Configuration& aIt) { aIt.mServices[0].mDataCentres = { "z" }; },
      "$.services[0].dataCentres[0]" },
    { [](Configuration& aIt) { aIt.mServices[0].mDataCentres.clear(); },
      "$.services[0].dataCentres" },
    { [](Configuration& aIt) { aIt.mServices[0].mResources.mMilliCpu = 0; },
      "$.services[0].resources" },
    { [](Configuration& aIt) {
       aIt.mServices[0].mResources.mMemoryMb = 900'000;
     },
      "$.services[0].resources" },
    { [](Configuration& aIt) { aIt.mBackers[0].mSharePercent = 61; },
      "$.backers" },
    { [](Configuration& aIt) { aIt.mBackers[1].mName = "one"; },
      "$.backers[1].name" },
    { [](Configuration& aIt) { aIt.mDataCentres[0].mShards = 0; },
      "$.dataCentres[0].shards" },
    { [](Configuration& aIt) { aIt.mServices[0].mName = "Web!"; },
      "$.services[0].name" },
    { [](Configuration& aIt) { aIt.mServices[0].mObjectivePercent = 100; },
      "$.services[0].objectivePercent" },
    { [](Configuration& aIt) {
       aIt.mPolicies = { {}, {} };
     },
      "$.policies[1].name" },
  }));
  Configuration configuration = Valid();
  const Resources largest{ 64'000, 250'000, 2, 8 };
  REQUIRE(CheckConfiguration(configuration, largest).empty());
  row.mBreak(configuration);
  const auto faults = CheckConfiguration(configuration, largest);
  REQUIRE_FALSE(faults.empty());
  CHECK(faults.front().mPath == row.mPath);
}

TEST_CASE("all faults are told at once", "[config]")
{
  Configuration configuration = Valid();
  configuration.mServices[0].mBacker = "no";
  configuration.mBackers[0].mSharePercent = 90;
  configuration.mServices[0].mDeadline = Duration{ 0 };
  CHECK(CheckConfiguration(configuration, std::nullopt).size() == 3);
}

TEST_CASE("a diff applied gives the wanted configuration", "[config]")
{
  Configuration from = Valid();
  Configuration to = Valid();
  to.mBackers.pop_back();
  to.mServices[0].mReplicas = 9;
  to.mDataCentres.push_back({ "b", "r", false, 1, 1, 0 });
  const auto edits = DiffConfigurations(from, to);
  CHECK(edits.size() == 3);
  Faults faults;
  ApplyEdits(from, edits, 5, faults);
  CHECK(faults.empty());
  CHECK(DiffConfigurations(from, to).empty());
}

/// Seeded mutations of good messages: none may crash a decoder.
template<class Message>
void Fuzz(const std::string& aGood, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::string text = aGood;
  for (int i = 0; i < 4'000; ++i) {
    if (i % 20 == 0 || text.empty()) {
      text = aGood;
    }
    const auto at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, random() % 8);
        break;
      case 2:
        text.insert(at, text.substr(random() % text.size(), random() % 16));
        break;
      default:
        text.insert(at, std::string(1, "{}[]\",:0-9e"[random() % 11]));
    }
    Faults faults;
    Decode<Message>(text, faults);
    for (const auto& fault : faults) {
      CHECK_FALSE(Describe(fault).empty());
    }
  }
}

TEST_CASE("mutated messages give errors and no crash", "[fuzz]")
{
  const auto seed = GENERATE(1U, 2U, 3U);
  Configuration configuration = Valid();
  Fuzz<Configuration>(Encode(configuration), seed);
  ConfigFeed feed;
  feed.mRevision = 3;
  feed.mProofAge = 5;
  feed.mState = ConfigStateRecord{ configuration, { { "c", 2 } } };
  Fuzz<ConfigFeed>(Encode(feed), seed);
  JobSpec job;
  job.mName = "job";
  job.mResources = { 1, 2, 3, 4 };
  job.mDataCentres = { "a" };
  Fuzz<JobSpec>(Encode(job), seed);
  Fuzz<PeerJobRequest>(R"({"op":"adopt","name":"j","shard":"a-0"})", seed);
  Fuzz<KeyClaim>(R"({"key":"k","fingerprint":"f","nonce":"n"})", seed);
  Fuzz<TargetReply>(
    R"({"tables":[{"shard":"a-0","epoch":3,"targets":[{"task":"t"}]}]})", seed);
  Fuzz<WorkerSyncReply>(
    R"({"clock":5,"version":2,"isFull":true,"tasks":[{"task":"t"}]})", seed);
}

TEST_CASE("faults of a submitted job are found", "[jobs]")
{
  const Configuration configuration = Valid();
  const std::map<std::string, Resources> largest = {
    { "a", { 64'000, 250'000, 2, 8 } }
  };
  JobSpec good;
  good.mName = "job";
  good.mBacker = "one";
  good.mResources = { 1'000, 1'000, 0, 0 };
  REQUIRE(CheckJob(good, configuration, largest).empty());
  struct Row
  {
    void (*mBreak)(JobSpec&);
    const char* mPath;
  };
  const auto row = GENERATE(values<Row>({
    { [](JobSpec& aIt) { aIt.mName = "a/b"; }, "$.name" },
    { [](JobSpec& aIt) { aIt.mBacker = "no"; }, "$.backer" },
    { [](JobSpec& aIt) { aIt.mTasks = 0; }, "$.tasks" },
    { [](JobSpec& aIt) { aIt.mRunMs = 0; }, "$.runMs" },
    { [](JobSpec& aIt) { aIt.mResources.mMilliCpu = 65'000; }, "$.resources" },
    { [](JobSpec& aIt) { aIt.mDataCentres = { "z" }; }, "$.dataCentres" },
  }));
  row.mBreak(good);
  const auto faults = CheckJob(good, configuration, largest);
  REQUIRE_FALSE(faults.empty());
  CHECK(faults.front().mPath == row.mPath);
}

} // namespace verbenacroft
