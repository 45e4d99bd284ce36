#pragma once

/// Stand-in of the platform for the cases of the review: the metadata store,
/// the workers of one service, and clients. It follows the platform's protocol
/// pages. One process, one thread.

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using Task = asio::awaitable<void>;

/// Milliseconds since the start of the stand-in, on the steady clock.
std::int64_t NowMs();
/// Milliseconds since 1970.
std::int64_t UnixMs();
/// Suspends the coroutine.
Task Sleep(std::int64_t aMs);
std::string Base64(const std::string& aBytes);

/// Figures of the settings; the bounds are those of the site `ccb-sched`.
struct Figures
{
  int mNodes = 3;
  int mWorkers = 8;
  std::int64_t mMaxHoldMs = 10'000;
  std::int64_t mStopTimeoutMs = 900;
  std::int64_t mGangTimeoutMs = 3'000;
  std::int64_t mHeartbeatMs = 1'500;
  std::int64_t mCheckpointMs = 2'000;
  std::size_t mValueBytes = 1'048'576;
  std::int64_t mMinTtlMs = 1'000;
  std::int64_t mWorkerCpu = 64'000;
  std::int64_t mWorkerMemMb = 250'000;
};

/// One request and its response.
struct Reply
{
  int mStatus = 200;
  std::string mBody = "{}";
};
using Handler = std::function<asio::awaitable<Reply>(
  const std::string& aMethod,
  const std::string& aTarget,
  const std::map<std::string, std::string>& aHeaders,
  const std::string& aBody)>;

/// HTTP server whose connections can be silenced or reset.
class Server
{
public:
  Server(asio::io_context& aIo, Handler aHandler);
  std::uint16_t Port() const { return this->mPort; }
  std::string Address() const;
  /// All open channels fall silent for good; new ones work.
  void SilenceOpenChannels();
  /// While cut, nothing that arrives is read and nothing is sent.
  void SetCut(bool aIsCut) { this->mIsCut = aIsCut; }
  bool IsCut() const { return this->mIsCut; }
  /// Resets all channels and accepts none until `Open`.
  void Close();
  void Open();
  std::size_t Channels() const { return this->mSessions.size(); }

private:
  struct Session
  {
    explicit Session(asio::ip::tcp::socket aSocket)
      : mStream(std::move(aSocket))
    {
    }
    beast::tcp_stream mStream;
    bool mIsSilent = false;
  };
  Task Accept(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor);
  Task Serve(std::shared_ptr<Session> aSession);
  Task AwaitHealed(Session& aSession);

  asio::io_context& mIo;
  Handler mHandler;
  std::uint16_t mPort = 0;
  std::shared_ptr<asio::ip::tcp::acceptor> mAcceptor;
  std::set<std::shared_ptr<Session>> mSessions;
  bool mIsCut = false;
};

/// The platform's metadata store.
class Store
{
public:
  Store(asio::io_context& aIo, const Figures& aFigures);
  Server& Channels() { return this->mServer; }
  /// A write of the platform, the operator or a worker.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /// Values of all keys that begin with `aPrefix`, in base64.
  std::vector<std::string> ValuesOf(const std::string& aPrefix) const;

private:
  struct Item
  {
    std::string mValue64;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreateRevision = 0;
    std::uint64_t mLease = 0;
  };
  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mKey;
    bool mIsRemoved = false;
    Item mItem;
  };
  struct Lease
  {
    std::int64_t mTtlMs = 0;
    std::int64_t mEndsAt = 0;
  };
  asio::awaitable<Reply> Handle(const std::string& aMethod,
                                const std::string& aTarget,
                                const std::string& aBody);
  asio::awaitable<Reply> Watch(std::map<std::string, std::string> aQuery);
  Reply Transaction(const std::string& aBody);
  Reply Range(const std::map<std::string, std::string>& aQuery);
  void Write(const std::string& aKey, Item aItem, std::uint64_t aRevision);
  void Erase(const std::string& aKey, std::uint64_t aRevision);
  void EndLease(std::uint64_t aLease);
  Task ExpireLeases();
  json::object Describe(const std::string& aKey, const Item& aItem) const;

  Figures mFigures;
  std::map<std::string, Item> mItems;
  std::deque<Event> mEvents;
  std::map<std::uint64_t, Lease> mLeases;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 7'000;
  Server mServer;
};

/// How the tasks of a job step behave, by "JOB.K.STEP".
struct TaskBehaviour
{
  /// Time of a run; of a task that lasts, the time until it is at work.
  std::int64_t mRunMs = 1'000;
  /// Members of a gang; 0 for a plain step.
  int mGang = 0;
  bool mIsCheckpointing = false;
  std::int64_t mCpu = 1'000;
  std::int64_t mMemMb = 100;
  bool mIsLasting = false;
};

class Fleet;

/// One worker.
class Worker
{
public:
  Worker(asio::io_context& aIo, Fleet& aFleet, int aNumber);
  const std::string& Id() const { return this->mId; }
  /// The process dies: channels are reset and everything is forgotten.
  void Crash();
  /// It loses power: nobody is told, and nothing is answered.
  void GoDark();
  /// It starts again under the id that it had.
  void Start();
  /// Nothing passes between it and the system or the store.
  void SetCut(bool aIsCut);
  bool IsUp() const { return this->mIsUp; }
  bool Runs(const std::string& aTask) const;
  std::size_t RunningTasks() const { return this->mRuns.size(); }
  std::size_t UnacknowledgedEnds() const { return this->mEnded.size(); }
  Server& Channels() { return this->mServer; }

private:
  friend class Fleet;
  struct Run
  {
    std::uint64_t mNumber = 0;
    std::string mStep;
    std::int64_t mStartedAt = 0;
    /// Work done, in ms; that of a gang begins when all members are present.
    std::int64_t mWorkedMs = 0;
    std::string mCheckpoint;
    std::int64_t mStopAt = 0;
    bool mIsWorking = false;
  };
  struct Ended
  {
    std::uint64_t mIndex = 0;
    std::string mTask;
    std::uint64_t mRun = 0;
    std::string mHow;
    std::string mCheckpoint;
  };
  asio::awaitable<Reply> Handle(const std::string& aTarget,
                                std::map<std::string, std::string> aHeaders,
                                std::string aBody);
  asio::awaitable<Reply> Hold(json::object aBody);
  Reply StartRun(const json::object& aBody);
  Reply StopRun(const json::object& aBody);
  Reply Refuse(const char* aReason) const;
  std::string Lists() const;
  std::int64_t Clock() const { return NowMs() - this->mBootAt + 1'000; }
  void Extend(std::int64_t aDeadline);
  void End(const std::string& aTask, const char* aHow);
  Task Beat();

  Fleet& mFleet;
  std::string mId;
  std::string mZone;
  std::string mRack;
  Server mServer;
  bool mIsUp = false;
  std::int64_t mBorn = 0;
  std::int64_t mBootAt = 0;
  std::uint64_t mFence = 0;
  std::int64_t mLeaseUntil = 0;
  std::uint64_t mNextIndex = 1;
  std::uint64_t mSequence = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::uint64_t> mHighestEnded;
  std::deque<Ended> mEnded;
};

/// The workers of the one service, and what a judge may see of them.
class Fleet
{
public:
  Fleet(asio::io_context& aIo, Store& aStore, const Figures& aFigures);
  std::vector<std::unique_ptr<Worker>>& Workers() { return this->mWorkers; }
  /// The worker on which the task runs, or null.
  Worker* RunnerOf(const std::string& aTask);
  std::map<std::string, TaskBehaviour> mBehaviour;
  std::function<void(const std::string&)> mRecord;
  /// Ends by task, with how they ended.
  std::map<std::string, std::vector<std::string>> mEnds;
  /// Ends that were taken note of, by task.
  std::map<std::string, std::vector<std::string>> mNoted;
  /// Number of starts, by task.
  std::map<std::string, int> mStarts;
  Store& mStore;
  Figures mFigures;

private:
  friend class Worker;
  Task Step();
  void StepWorker(Worker& aWorker, std::int64_t aElapsed);
  /// Members of the run that are present.
  int Present(const std::string& aStep, std::uint64_t aRun) const;
  void EndOthers(const std::string& aStep,
                 std::uint64_t aRun,
                 const char* aHow);

  asio::io_context& mIo;
  std::vector<std::unique_ptr<Worker>> mWorkers;
};

/// One node of the system, as clients and the platform see it.
struct Node
{
  std::string mName;
  /// Folder of the files `NAME.pid`, with the number of its process, and
  /// `NAME.down`, which keeps it from being started again.
  std::string mFolder;
  std::string mFront;
  std::string mReady;
};

/// Kills the process of a node, which is started again after 3 s unless it has
/// to stay down.
void KillNode(const Node& aNode, bool aStaysDown);
/// Lets a node that stays down start again.
void ReviveNode(const Node& aNode);
/// Memory of a node's process in MB; 0 if it has none.
std::int64_t MemoryMb(const Node& aNode);

/// Everything that a case works with.
struct World
{
  asio::io_context mIo{ 1 };
  Figures mFigures;
  std::unique_ptr<Store> mStore;
  std::unique_ptr<Fleet> mFleet;
  std::vector<Node> mNodes;
  std::ofstream mRecord;
  bool mHasTrouble = true;
  /// Node that owns the first shard, according to the store; null if none does.
  const Node* Owner();
  /// Exit code of the case.
  int mResult = 2;

  void Note(const std::string& aText);
  /// Calls a node as a client; status 0 if there was no answer in time.
  asio::awaitable<Reply> Call(std::string aAddress,
                              std::string aMethod,
                              std::string aHost,
                              std::string aPath,
                              std::string aBody,
                              std::int64_t aTimeoutMs = 3'000);
  /// Waits until all nodes are ready and a count is answered.
  asio::awaitable<bool> AwaitReady(std::string aHost, std::string aPrefix);
  /// Submits a job, at any node, until it is accepted.
  asio::awaitable<bool> Submit(std::string aHost,
                               std::string aPath,
                               std::string aBody);
  /// State of a job according to the first node that answers 200; a status as
  /// text if none does.
  asio::awaitable<std::string> StateOf(std::string aHost, std::string aPath);
};

/// A case: returns when it is decided and sets `World::mResult`.
using Case = std::function<Task(World&)>;
/// Changes of the figures that a case needs, and the case.
struct NamedCase
{
  std::function<void(Figures&)> mAdjust;
  Case mRun;
};
std::map<std::string, NamedCase>& Cases();

/// Configuration in the platform's form, with one service "svc".
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  int mMaxAttempts = 4;
};
std::string ConfigText(std::int64_t aVersion,
                       const std::vector<Route>& aRoutes);

} // namespace review
