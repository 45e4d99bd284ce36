/// The processes under review, and a small deployment of them.

#include "vcStage.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace {

constexpr std::size_t kPortsOfNode = 4;
constexpr std::int64_t kClientTimeoutMs = 3'000;
constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/q/";

std::string Local(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/// The operator's configuration: one queue.
std::string Configuration(int aMaxAttempts)
{
  const boost::json::object route{ { "name", "r-1" },
                                   { "host", kHost },
                                   { "prefix", kPrefix },
                                   { "type", "unsafe" },
                                   { "timeout_ms", kClientTimeoutMs },
                                   { "target_duration_ms", 1'000 },
                                   { "priority", 0 },
                                   { "service", "svc" },
                                   { "max_attempts", aMaxAttempts },
                                   { "stretch", 2.0 } };
  const boost::json::object service{ { "name", "svc" },
                                     { "enforces_capacity", true } };
  return boost::json::serialize(
    boost::json::object{ { "version", 7 },
                         { "routes", boost::json::array{ route } },
                         { "services", boost::json::array{ service } } });
}

} // namespace

Node::Node(std::string aProgram,
           const std::string& aFolder,
           std::string aName,
           const std::string& aZone,
           std::uint16_t aStorePort)
  : mProgram(std::move(aProgram))
  , mName(std::move(aName))
  , mSettingsPath(aFolder + "/" + mName + ".json")
  , mLogPath(aFolder + "/" + mName + ".log")
  , mPorts(FreePorts(kPortsOfNode))
{
  // The template of the deploy file, filled in for a small site.
  const boost::json::object bounds{
    { "maxLeaseMs", 6'000 },  { "stopTimeoutMs", 400 }, { "harmMs", 4'000 },
    { "statusSeconds", 120 }, { "graceSeconds", 6 },    { "farFactor", 3 }
  };
  const boost::json::object settings{
    { "name", this->mName },
    { "dataCentre", aZone },
    { "callerAddress", Local(this->mPorts[0]) },
    { "readyAddress", Local(this->mPorts[1]) },
    { "internalIp", "127.0.0.1" },
    { "internalPorts", boost::json::array{ this->mPorts[2], this->mPorts[3] } },
    { "storeAddress", Local(aStorePort) },
    { "processors", 0.25 },
    { "linkMbps", 1'000 },
    { "leastLeaseMs", 1'000 },
    { "bounds", bounds }
  };
  std::ofstream(this->mSettingsPath) << boost::json::serialize(settings);
}

Node::~Node()
{
  this->Kill();
}

void Node::Start()
{
  std::vector<std::string> words{
    this->mProgram, "--settings", this->mSettingsPath, "--memory-mb", "260"
  };
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   this->mLogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int error = posix_spawn(
    &pid, words[0].c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  this->mPid = error == 0 ? pid : 0;
}

void Node::Kill()
{
  if (this->mPid > 0) {
    ::kill(this->mPid, SIGKILL);
    ::waitpid(this->mPid, nullptr, 0);
    this->mPid = 0;
  }
}

bool Node::IsReady() const
{
  constexpr std::int64_t kTimeoutMs = 500;
  return Call(this->mPorts[1], "GET", "/-/readiness", "n", {}, kTimeoutMs)
           .mStatus == 200;
}

Deployment::Deployment(const std::string& aProgram,
                       const std::string& aFolder,
                       Record& aRecord,
                       std::size_t aNodes,
                       std::size_t aWorkers,
                       int aMaxAttempts)
  : mRecord(aRecord)
  , mLog(aRecord)
{
  const std::vector<std::string> zones{ "a", "b", "c" };
  this->mStore.Put("op/config", Configuration(aMaxAttempts));
  for (std::size_t i = 0; i < aWorkers; ++i) {
    WorkerOptions options;
    options.mId = "i-" + std::to_string(i + 1);
    options.mZone = zones[i % zones.size()];
    this->mWorkers.push_back(
      std::make_unique<Worker>(this->mStore, this->mLog, options));
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    this->mNodes.push_back(
      std::make_unique<Node>(aProgram,
                             aFolder,
                             "node-" + std::to_string(i + 1),
                             zones[i % zones.size()],
                             this->mStore.Port()));
    this->mNodes.back()->Start();
  }
}

bool Deployment::WarmUp()
{
  constexpr std::int64_t kTimeoutMs = 25'000;
  const std::string job = "00000000000000aa";
  const std::int64_t until = NowMs() + kTimeoutMs;
  bool isSent = false;
  while (NowMs() < until) {
    SleepMs(200);
    bool areReady = true;
    for (const auto& node : this->mNodes) {
      areReady = areReady && node->IsReady();
    }
    if (!areReady) {
      continue;
    }
    if (!isSent) {
      isSent = this->Send(0, "POST", job, Job(100, 2)).mStatus == 200;
      continue;
    }
    if (this->StateOf(0, job) == "completed") {
      return true;
    }
  }
  this->mRecord.Add("the deployment did not start");
  return false;
}

Answer Deployment::Send(std::size_t aNode,
                        const std::string& aMethod,
                        const std::string& aJob,
                        const std::string& aBody)
{
  const Node& node = *this->mNodes.at(aNode);
  this->mRecord.Add("client sends " + aMethod + " " + aJob + " to " +
                    node.Name());
  Answer answer = Call(
    node.CallerPort(), aMethod, kPrefix + aJob, kHost, aBody, kClientTimeoutMs);
  const std::string status =
    answer.mStatus == 0 ? "no answer" : std::to_string(answer.mStatus);
  this->mRecord.Add("client gets " + status + " " + answer.mBody + " for " +
                    aMethod + " " + aJob);
  return answer;
}

std::string Deployment::Job(std::int64_t aTaskMs,
                            int aCount,
                            std::int64_t aCpu,
                            const std::string& aMore)
{
  const std::string cpu = std::to_string(aCpu);
  const std::string ms = std::to_string(aTaskMs);
  return R"({"spec":")" + ms + " " + cpu + aMore + R"(","steps":[{"count":)" +
         std::to_string(aCount) + R"(,"cpu":)" + cpu +
         R"(,"mem_mb":100,"estimate_ms":)" + ms + "}]}";
}

std::string Deployment::StateOf(std::size_t aNode, const std::string& aJob)
{
  const Answer answer = this->Send(aNode, "GET", aJob);
  if (answer.mStatus != 200) {
    return {};
  }
  const auto body = boost::json::parse(answer.mBody).as_object();
  return std::string(body.at("state").as_string());
}

} // namespace stage
