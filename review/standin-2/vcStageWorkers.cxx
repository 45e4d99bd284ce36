/// Stand-in of a worker.

#include "vcStage.h"

namespace stage {

namespace {

constexpr std::int64_t kHeartbeatMs = 500;
constexpr std::int64_t kTickMs = 5;
constexpr std::int64_t kWholePercent = 100;
constexpr std::size_t kMaxListedEnds = 500;

std::int64_t IntegerIn(const boost::json::object& aBody,
                       const char* aName,
                       std::int64_t aDefault = 0)
{
  const auto* found = aBody.if_contains(aName);
  return found == nullptr ? aDefault : found->to_number<std::int64_t>();
}

/// Run time and processors of a task, from the job's text "MS CPU".
std::pair<std::int64_t, std::int64_t> ParseSpec(const std::string& aText)
{
  std::size_t end = 0;
  const std::int64_t ms = std::stoll(aText, &end);
  return { ms, std::stoll(aText.substr(end)) };
}

} // namespace

void RunLog::Add(TaskEvent aEvent)
{
  this->mRecord.Add("worker " + aEvent.mWorker + ": " + aEvent.mTask + " run " +
                    std::to_string(aEvent.mRun) + " " + aEvent.mWhat);
  const std::lock_guard lock(this->mMutex);
  this->mEvents.push_back(std::move(aEvent));
}

std::vector<TaskEvent> RunLog::Events()
{
  const std::lock_guard lock(this->mMutex);
  return this->mEvents;
}

std::vector<TaskEvent> RunLog::EventsOf(const std::string& aPrefix)
{
  std::vector<TaskEvent> events;
  for (auto& event : this->Events()) {
    if (event.mTask.starts_with(aPrefix)) {
      events.push_back(std::move(event));
    }
  }
  return events;
}

Worker::Worker(Store& aStore, RunLog& aLog, WorkerOptions aOptions)
  : mStore(aStore)
  , mLog(aLog)
  , mOptions(std::move(aOptions))
  , mPort(FreePorts(1)[0])
{
  this->Start();
  this->mTicker = std::thread([this] { this->Tick(); });
}

Worker::~Worker()
{
  this->mIsClosed = true;
  this->mTicker.join();
  this->mEnd.notify_all();
  this->mServer.reset();
}

std::int64_t Worker::Clock() const
{
  return NowMs() - this->mBornAt + 1;
}

void Worker::LoseRuns()
{
  for (const auto& [task, run] : this->mRuns) {
    this->mLog.Add({ NowMs(), this->Id(), task, run.mRun, "crash" });
  }
  this->mRuns.clear();
  this->mEnd.notify_all();
}

void Worker::BeginLife(std::int64_t aUpMs)
{
  this->mBornAt = NowMs() - aUpMs;
  this->mBornUnixMs = UnixMs() - aUpMs;
  this->mToken = 0;
  this->mLeaseUntil = 0;
  this->mNextIndex = 1;
  this->mSequence = 0;
  this->mRuns.clear();
  this->mHighest.clear();
  this->mEnded.clear();
}

void Worker::Start()
{
  const std::lock_guard lock(this->mMutex);
  // The first life began before the stage.
  this->BeginLife(this->mOptions.mUpMs);
  this->mServer =
    std::make_unique<Server>(this->mPort, [this](const Request& aRequest) {
      return this->Handle(aRequest);
    });
  this->mIsRegistered = true;
  this->Register();
}

void Worker::Cut()
{
  const std::lock_guard lock(this->mMutex);
  this->mIsCut = true;
  this->mIsRegistered = false;
}

void Worker::RestartBehindCut()
{
  const std::lock_guard lock(this->mMutex);
  this->LoseRuns();
  this->BeginLife(0);
}

void Worker::Heal()
{
  const std::lock_guard lock(this->mMutex);
  this->mIsCut = false;
  this->mIsRegistered = true;
  this->Register();
}

void Worker::Register()
{
  boost::json::array labels;
  for (const auto& label : this->mOptions.mLabels) {
    labels.push_back(boost::json::string(label));
  }
  boost::json::object entry{
    { "service", "svc" },
    { "address", "127.0.0.1:" + std::to_string(this->mPort) },
    { "zone", this->mOptions.mZone },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "cold_remaining_ms", 0 },
    { "capacity",
      boost::json::object{ { "cpu", this->mOptions.mCpu },
                           { "mem_mb", this->mOptions.mMemoryMb },
                           { "gpus", 0 } } },
    { "labels", std::move(labels) },
    { "clock_ms", this->Clock() },
    { "born", this->mBornUnixMs },
    { "sequence", ++this->mSequence }
  };
  this->mStore.Put("servers/" + this->Id(), boost::json::serialize(entry));
}

void Worker::Unregister()
{
  const std::lock_guard lock(this->mMutex);
  this->mIsRegistered = false;
  this->mStore.Remove("servers/" + this->Id());
}

void Worker::SetLost(std::function<bool(const Request&)> aIsLost)
{
  const std::lock_guard lock(this->mMutex);
  this->mIsLost = std::move(aIsLost);
}

void Worker::CarryOutLost()
{
  std::vector<Request> requests;
  {
    const std::lock_guard lock(this->mMutex);
    requests.swap(this->mHeldUp);
    this->mIsLost = nullptr;
  }
  std::unique_lock lock(this->mMutex);
  for (const auto& request : requests) {
    if (this->IsUp()) {
      this->CarryOut(request, lock);
    }
  }
}

void Worker::Tick()
{
  std::int64_t registeredAt = NowMs();
  while (!this->mIsClosed) {
    SleepMs(kTickMs);
    const std::lock_guard lock(this->mMutex);
    if (!this->IsUp()) {
      continue;
    }
    const std::int64_t now = NowMs();
    std::map<std::string, std::string> ends;
    for (const auto& [task, run] : this->mRuns) {
      if (this->Clock() > this->mLeaseUntil) {
        ends[task] = "lapsed";
      } else if (run.mStopAt > 0 && now >= run.mStopAt) {
        ends[task] = "stopped";
      } else if (now >= run.mEndsAt) {
        ends[task] = run.mIsFailing ? "failed" : "done";
      }
    }
    for (const auto& [task, how] : ends) {
      this->EndRun(task, how);
    }
    if (this->mIsRegistered && now - registeredAt >= kHeartbeatMs) {
      registeredAt = now;
      this->Register();
    }
  }
}

void Worker::EndRun(const std::string& aTask, const std::string& aHow)
{
  const std::uint32_t run = this->mRuns.at(aTask).mRun;
  this->mRuns.erase(aTask);
  this->mEnded.push_back({ this->mNextIndex++, aTask, run, aHow });
  this->mLog.Add({ NowMs(), this->Id(), aTask, run, aHow });
  this->mEnd.notify_all();
}

std::optional<Response> Worker::Handle(const Request& aRequest)
{
  std::unique_lock lock(this->mMutex);
  if (!this->IsUp()) {
    return std::nullopt;
  }
  std::optional<Response> response;
  if (!this->mIsCut && this->mIsLost && this->mIsLost(aRequest)) {
    this->mHeldUp.push_back(aRequest);
    lock.unlock();
    // The caller gets no answer.
    constexpr std::int64_t kSilenceMs = 2'000;
    SleepMs(kSilenceMs);
    return std::nullopt;
  }
  if (!this->mIsCut) {
    response = this->CarryOut(aRequest, lock);
  }
  // A call that the cut meets gets no answer, and its channel is closed after.
  const bool isCut = this->mIsCut;
  lock.unlock();
  while (this->mIsCut && !this->mIsClosed) {
    SleepMs(kTickMs);
  }
  return isCut ? std::nullopt : response;
}

std::optional<Response> Worker::CarryOut(const Request& aRequest,
                                         std::unique_lock<std::mutex>& aLock)
{
  if (aRequest["Expect-Instance"] != this->Id()) {
    return JsonResponse(421, { { "clock_ms", this->Clock() } });
  }
  const auto body = boost::json::parse(aRequest.body()).as_object();
  if (this->IsFenced(body)) {
    return this->Refusal("fence");
  }
  const std::string path(aRequest.target());
  if (path == "/-/run-start") {
    return this->StartRun(body);
  }
  if (path == "/-/run-stop") {
    return this->StopRun(body);
  }
  if (path == "/-/hold") {
    return this->Hold(body, aLock);
  }
  if (path == "/-/pace") {
    return JsonResponse(200, { { "clock_ms", this->Clock() } });
  }
  return JsonResponse(400, { { "clock_ms", this->Clock() } });
}

bool Worker::IsFenced(const boost::json::object& aBody)
{
  const auto token =
    static_cast<std::uint64_t>(IntegerIn(aBody, "fencing_token"));
  if (token < this->mToken) {
    return true;
  }
  this->mToken = token;
  return false;
}

Response Worker::Refusal(const char* aReason) const
{
  return JsonResponse(409,
                      { { "clock_ms", this->Clock() }, { "reason", aReason } });
}

void Worker::Extend(std::int64_t aDeadline)
{
  const std::int64_t most = this->Clock() + this->mOptions.mMaxHoldMs;
  this->mLeaseUntil = std::max(this->mLeaseUntil, std::min(aDeadline, most));
}

Response Worker::StartRun(const boost::json::object& aBody)
{
  const std::string task(aBody.at("task").as_string());
  const auto run = static_cast<std::uint32_t>(IntegerIn(aBody, "run"));
  const std::int64_t deadline = IntegerIn(aBody, "deadline_ms");
  if (deadline < this->Clock()) {
    return this->Refusal("late");
  }
  this->Extend(deadline);
  const auto present = this->mRuns.find(task);
  if (present != this->mRuns.end() && present->second.mRun == run) {
    return JsonResponse(200, { { "clock_ms", this->Clock() } });
  }
  const auto highest = this->mHighest.find(task);
  if (highest != this->mHighest.end() && run <= highest->second) {
    return this->Refusal("old");
  }
  const std::string spec(aBody.at("spec").as_string());
  const auto [ms, cpu] = ParseSpec(spec);
  const bool isFailing = run == 1 && spec.ends_with(kFailsFirst);
  std::int64_t used = cpu;
  for (const auto& [name, other] : this->mRuns) {
    used += other.mCpu;
  }
  if (used > this->mOptions.mCpu) {
    return this->Refusal("room");
  }
  this->mHighest[task] = run;
  this->mRuns[task] = { run, NowMs() + ms, NowMs(), 0, cpu, isFailing };
  this->mLog.Add({ NowMs(), this->Id(), task, run, "start" });
  return JsonResponse(200, { { "clock_ms", this->Clock() } });
}

Response Worker::StopRun(const boost::json::object& aBody)
{
  const std::string task(aBody.at("task").as_string());
  const auto run = static_cast<std::uint32_t>(IntegerIn(aBody, "run"));
  std::uint32_t& highest = this->mHighest[task];
  highest = std::max(highest, run);
  const auto present = this->mRuns.find(task);
  if (present != this->mRuns.end() && present->second.mRun == run) {
    present->second.mStopAt = NowMs() + this->mOptions.mStopMs;
  }
  return JsonResponse(200, { { "clock_ms", this->Clock() } });
}

std::optional<Response> Worker::Hold(const boost::json::object& aBody,
                                     std::unique_lock<std::mutex>& aLock)
{
  const std::int64_t ack = IntegerIn(aBody, "ack_index");
  this->mEnded.remove_if([&](const Ended& aEnd) { return aEnd.mIndex <= ack; });
  const std::int64_t deadline = IntegerIn(aBody, "deadline_ms");
  if (deadline > 0) {
    this->Extend(deadline);
  }
  const std::int64_t born = this->mBornAt;
  const std::int64_t wait = IntegerIn(aBody, "wait_ms");
  if (wait > 0 && this->mEnded.empty()) {
    this->mEnd.wait_for(aLock, std::chrono::milliseconds(wait), [&] {
      return !this->mEnded.empty() || this->mBornAt != born || !this->IsUp() ||
             this->mIsClosed;
    });
  }
  // A life that has ended says nothing any more.
  if (!this->IsUp() || this->mBornAt != born) {
    return std::nullopt;
  }
  boost::json::array running;
  for (const auto& [task, run] : this->mRuns) {
    const std::int64_t length =
      std::max<std::int64_t>(1, run.mEndsAt - run.mStartedAt);
    const std::int64_t percent =
      kWholePercent * (NowMs() - run.mStartedAt) / length;
    running.push_back(boost::json::array{
      boost::json::string(task), run.mRun, "", percent, run.mCpu });
  }
  boost::json::array ended;
  for (const auto& end : this->mEnded) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back(boost::json::array{ end.mIndex,
                                          boost::json::string(end.mTask),
                                          end.mRun,
                                          boost::json::string(end.mHow),
                                          "" });
    }
  }
  return JsonResponse(200,
                      { { "clock_ms", this->Clock() },
                        { "born", this->mBornUnixMs },
                        { "running", std::move(running) },
                        { "ended_runs", std::move(ended) } });
}

} // namespace stage
