#pragma once

/// Stand-ins for the scripts of the second review: the platform's store, its
/// workers, an operator and clients. They follow the platform's protocol and
/// keep a record of what was sent, answered and run.

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Milliseconds since the start of this process, on the steady clock.
std::int64_t NowMs();
/// Milliseconds since 1970.
std::int64_t UnixMs();
void SleepMs(std::int64_t aMs);
void SleepUntil(std::int64_t aAtMs);

/// Writes what happens to a file and to standard output.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Add(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

/// Handles a request; without a response the connection is closed.
using Handler = std::function<std::optional<Response>(const Request&)>;

Response JsonResponse(unsigned aStatus, const boost::json::object& aBody);

/// Server on a loopback address with a thread for each connection.
class Server
{
public:
  /// @param aPort 0 for any free port
  Server(std::uint16_t aPort, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  std::uint16_t Port() const { return this->mPort; }

private:
  struct Session;
  void Accept();
  void Serve(const std::shared_ptr<Session>& aSession);

  boost::asio::io_context mIo;
  Tcp::acceptor mAcceptor;
  Handler mHandler;
  std::uint16_t mPort = 0;
  std::atomic<bool> mIsClosed{ false };
  std::mutex mMutex;
  std::vector<std::shared_ptr<Session>> mSessions;
  std::vector<std::thread> mThreads;
  std::thread mAcceptThread;
};

/// Ports that nothing listens on.
std::vector<std::uint16_t> FreePorts(std::size_t aCount);

/// Answer to a client; status 0 without one.
struct Answer
{
  unsigned mStatus = 0;
  std::string mBody;
};

/// Sends one request on a new connection.
Answer Call(std::uint16_t aPort,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHost,
            const std::string& aBody,
            std::int64_t aTimeoutMs);

std::string EncodeBase64(const std::string& aText);

/// What becomes of a write.
struct WriteFate
{
  /// The caller gets no answer, and its connection returns nothing further.
  bool mIsAnswerLost = false;
  /// Time until it is carried out, if its condition still holds then.
  std::int64_t mDelayMs = 0;
};

/// The platform's store.
class Store
{
public:
  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  std::uint16_t Port() const { return this->mServer->Port(); }
  /// Writes a document as the operator or a worker does.
  void Put(const std::string& aKey, const std::string& aText);
  void Remove(const std::string& aKey);
  /// Decides about each conditional write by the keys that it puts.
  void SetFate(std::function<WriteFate(const std::vector<std::string>&)> aFate);
  /// Conditional writes that have arrived so far.
  int Writes() const { return this->mWrites; }
  /// Write calls without an answer so far.
  int LostWrites() const { return this->mLost; }

private:
  struct Item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
  };
  struct Event
  {
    std::string mKey;
    std::uint64_t mRevision = 0;
    std::optional<Item> mItem;
  };
  struct Lease
  {
    std::int64_t mTtlMs = 0;
    std::int64_t mEndsAt = 0;
  };

  std::optional<Response> Handle(const Request& aRequest);
  Response Range(const std::string& aPrefix, const std::string& aAfter);
  Response Watch(const std::string& aPrefix,
                 std::uint64_t aAfter,
                 std::int64_t aWaitMs);
  std::optional<Response> Transact(const boost::json::object& aBody);
  Response Commit(const boost::json::object& aBody);
  void PutNow(const std::string& aKey,
              std::string aValue,
              std::uint64_t aLease);
  void RemoveNow(const std::string& aKey);
  void EndLease(std::uint64_t aLease);
  void ExpireLeases();
  static boost::json::object Describe(const std::string& aKey,
                                      const Item& aItem);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Event> mEvents;
  std::map<std::uint64_t, Lease> mLeases;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 7000;
  std::function<WriteFate(const std::vector<std::string>&)> mFate;
  std::atomic<int> mWrites{ 0 };
  std::atomic<int> mLost{ 0 };
  std::atomic<bool> mIsClosed{ false };
  std::vector<std::thread> mLate;
  std::thread mExpiry;
  std::unique_ptr<Server> mServer;
};

/// A start, an end or another event of a task on a worker.
struct TaskEvent
{
  std::int64_t mAtMs = 0;
  std::string mWorker;
  std::string mTask;
  std::uint32_t mRun = 0;
  /// "start", or how the run ended; "crash" if the worker crashed.
  std::string mWhat;
};

/// All that the workers ran.
class RunLog
{
public:
  explicit RunLog(Record& aRecord)
    : mRecord(aRecord)
  {
  }
  void Add(TaskEvent aEvent);
  std::vector<TaskEvent> Events();
  /// Events of the tasks whose names begin so.
  std::vector<TaskEvent> EventsOf(const std::string& aPrefix);

private:
  Record& mRecord;
  std::mutex mMutex;
  std::vector<TaskEvent> mEvents;
};

/// End of the `spec` of a task whose first run fails.
constexpr const char* kFailsFirst = " fails-first";

/// Capacity and limits of a worker.
struct WorkerOptions
{
  std::string mId;
  std::string mZone = "a";
  std::vector<std::string> mLabels{ "a", "r1-1" };
  std::int64_t mCpu = 8'000;
  std::int64_t mMemoryMb = 32'000;
  std::int64_t mMaxHoldMs = 6'000;
  std::int64_t mStopMs = 50;
  /// How long its first life has lasted when the stage begins.
  std::int64_t mUpMs = 600'000;
};

/// A worker: it guards its capacity, registers itself in the store, and runs
/// each task for the time in milliseconds that the job's `spec` names.
class Worker
{
public:
  Worker(Store& aStore, RunLog& aLog, WorkerOptions aOptions);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  const std::string& Id() const { return this->mOptions.mId; }
  bool IsUp() const { return this->mServer != nullptr; }
  /// Begins its first life.
  void Start();
  /// Cuts it off from nodes and store; channels are silent, not closed.
  void Cut();
  /// Begins a new life under the same id, behind the cut.
  void RestartBehindCut();
  /// Ends the cut. The channels from before are closed.
  void Heal();
  /// Removes its entry from the store.
  void Unregister();
  /// A call without an answer that is carried out later: returns true for the
  /// calls to hold up.
  void SetLost(std::function<bool(const Request&)> aIsLost);
  /// Carries out the calls that were held up, in the present life.
  void CarryOutLost();

private:
  struct Run
  {
    std::uint32_t mRun = 0;
    std::int64_t mEndsAt = 0;
    std::int64_t mStartedAt = 0;
    std::int64_t mStopAt = 0;
    std::int64_t mCpu = 0;
    bool mIsFailing = false;
  };
  struct Ended
  {
    std::int64_t mIndex = 0;
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mHow;
  };

  std::int64_t Clock() const;
  /// Begins a life that started the given time ago.
  void BeginLife(std::int64_t aUpMs);
  /// Ends all runs without a word.
  void LoseRuns();
  /// Answers a call that comes over the network.
  std::optional<Response> Handle(const Request& aRequest);
  /// Carries out a call.
  std::optional<Response> CarryOut(const Request& aRequest,
                                   std::unique_lock<std::mutex>& aLock);
  Response StartRun(const boost::json::object& aBody);
  Response StopRun(const boost::json::object& aBody);
  std::optional<Response> Hold(const boost::json::object& aBody,
                               std::unique_lock<std::mutex>& aLock);
  Response Refusal(const char* aReason) const;
  bool IsFenced(const boost::json::object& aBody);
  void Extend(std::int64_t aDeadline);
  void EndRun(const std::string& aTask, const std::string& aHow);
  void Register();
  void Tick();

  Store& mStore;
  RunLog& mLog;
  WorkerOptions mOptions;
  std::uint16_t mPort = 0;
  std::mutex mMutex;
  std::condition_variable mEnd;
  std::int64_t mBornAt = 0;
  std::int64_t mBornUnixMs = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntil = 0;
  std::int64_t mNextIndex = 1;
  std::int64_t mSequence = 0;
  bool mIsRegistered = true;
  std::atomic<bool> mIsCut{ false };
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::uint32_t> mHighest;
  std::list<Ended> mEnded;
  std::function<bool(const Request&)> mIsLost;
  std::vector<Request> mHeldUp;
  std::unique_ptr<Server> mServer;
  std::atomic<bool> mIsClosed{ false };
  std::thread mTicker;
};

/// A process of the system under review, started as the deploy file says.
class Node
{
public:
  /// @param aProgram path of the program
  /// @param aFolder temporary folder for its settings and its log
  Node(std::string aProgram,
       const std::string& aFolder,
       std::string aName,
       const std::string& aZone,
       std::uint16_t aStorePort);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  void Start();
  void Kill();
  bool IsReady() const;
  std::uint16_t CallerPort() const { return this->mPorts[0]; }
  const std::string& Name() const { return this->mName; }

private:
  std::string mProgram;
  std::string mName;
  std::string mSettingsPath;
  std::string mLogPath;
  std::vector<std::uint16_t> mPorts;
  int mPid = 0;
};

/// A small deployment: the store, workers and nodes of one queue.
class Deployment
{
public:
  Deployment(const std::string& aProgram,
             const std::string& aFolder,
             Record& aRecord,
             std::size_t aNodes,
             std::size_t aWorkers,
             int aMaxAttempts);
  /// Waits until all nodes are ready and a first job is done.
  bool WarmUp();
  /// Sends a request of a client and records it with its answer.
  Answer Send(std::size_t aNode,
              const std::string& aMethod,
              const std::string& aJob,
              const std::string& aBody = {});
  /// Body of a job of one step. `aMore` ends the text of its `spec`.
  static std::string Job(std::int64_t aTaskMs,
                         int aCount,
                         std::int64_t aCpu = 1'000,
                         const std::string& aMore = {});
  /// State of a job by the answer to a GET; empty without one.
  std::string StateOf(std::size_t aNode, const std::string& aJob);

  Record& mRecord;
  Store mStore;
  RunLog mLog;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<std::unique_ptr<Node>> mNodes;
};

/// Whether the rule held.
enum class Verdict
{
  kHeld = 0,
  kBroken = 1,
  kNotRun = 2,
};

/// What a case needs.
struct CaseContext
{
  std::string mProgram;
  std::string mFolder;
  Record& mRecord;
  bool mHasTrouble = true;
};

/// Runs the case of the given name.
Verdict RunCase(const std::string& aName, CaseContext& aContext);

} // namespace stage
