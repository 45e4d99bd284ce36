#include "platform.hh"

#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

#include <sys/types.h>
#include <unistd.h>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Entries in one transaction.
constexpr std::size_t kMaxEntries = 32;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr std::size_t kListedEnds = 500;

std::string Unescape(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::stoi(std::string(aText.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::string Decoded(const std::string& aText)
{
  std::string bytes(beast::detail::base64::decoded_size(aText.size()), '\0');
  const auto sizes =
    beast::detail::base64::decode(bytes.data(), aText.data(), aText.size());
  bytes.resize(sizes.first);
  return bytes;
}

std::map<std::string, std::string> QueryOf(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const auto mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::istringstream rows(aTarget.substr(mark + 1));
  std::string row;
  while (std::getline(rows, row, '&')) {
    const auto equals = row.find('=');
    if (equals != std::string::npos) {
      query[row.substr(0, equals)] = Unescape(row.substr(equals + 1));
    }
  }
  return query;
}

std::int64_t Integer(const json::object& aObject,
                     const char* aName,
                     std::int64_t aDefault = 0)
{
  const auto* found = aObject.if_contains(aName);
  return found != nullptr && found->is_number()
           ? found->to_number<std::int64_t>()
           : aDefault;
}

std::string Text(const json::object& aObject, const char* aName)
{
  const auto* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : std::string();
}

/// "JOB.K.STEP" of a task.
std::string StepOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

} // namespace

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Task Sleep(std::int64_t aMs)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aMs));
  co_await timer.async_wait(asio::use_awaitable);
}

std::string Base64(const std::string& aBytes)
{
  std::string text(beast::detail::base64::encoded_size(aBytes.size()), '\0');
  text.resize(
    beast::detail::base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

// Server

Server::Server(asio::io_context& aIo, Handler aHandler)
  : mIo(aIo)
  , mHandler(std::move(aHandler))
{
  this->Open();
}

std::string Server::Address() const
{
  return "127.0.0.1:" + std::to_string(this->mPort);
}

void Server::Open()
{
  if (this->mAcceptor) {
    return;
  }
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                         this->mPort);
  this->mAcceptor =
    std::make_shared<asio::ip::tcp::acceptor>(this->mIo, endpoint);
  this->mPort = this->mAcceptor->local_endpoint().port();
  asio::co_spawn(this->mIo, this->Accept(this->mAcceptor), asio::detached);
}

void Server::Close()
{
  if (!this->mAcceptor) {
    return;
  }
  beast::error_code ignored;
  this->mAcceptor->close(ignored);
  this->mAcceptor.reset();
  for (const auto& session : this->mSessions) {
    auto& socket = session->mStream.socket();
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
}

void Server::SilenceOpenChannels()
{
  for (const auto& session : this->mSessions) {
    session->mIsSilent = true;
  }
}

Task Server::Accept(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor)
{
  while (aAcceptor->is_open()) {
    auto [error, socket] = co_await aAcceptor->async_accept(kTuple);
    if (error) {
      if (!aAcceptor->is_open()) {
        co_return;
      }
      co_await Sleep(5);
      continue;
    }
    beast::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket));
    this->mSessions.insert(session);
    asio::co_spawn(this->mIo, this->Serve(session), asio::detached);
  }
}

Task Server::AwaitHealed(Session& aSession)
{
  while ((this->mIsCut || aSession.mIsSilent) &&
         aSession.mStream.socket().is_open()) {
    co_await Sleep(10);
  }
}

Task Server::Serve(std::shared_ptr<Session> aSession)
{
  beast::flat_buffer buffer;
  while (aSession->mStream.socket().is_open()) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(16 * 1024 * 1024);
    auto [readError, bytes] =
      co_await http::async_read(aSession->mStream, buffer, parser, kTuple);
    if (readError) {
      break;
    }
    co_await this->AwaitHealed(*aSession);
    const auto& request = parser.get();
    std::map<std::string, std::string> headers;
    for (const auto& field : request) {
      headers[std::string(field.name_string())] = std::string(field.value());
    }
    Reply reply;
    try {
      reply = co_await this->mHandler(std::string(request.method_string()),
                                      std::string(request.target()),
                                      headers,
                                      request.body());
    } catch (const std::exception& error) {
      std::cerr << "stand-in: " << request.target() << ": " << error.what()
                << "\n";
      reply = { 400, "{}" };
    }
    co_await this->AwaitHealed(*aSession);
    http::response<http::string_body> response{
      static_cast<http::status>(reply.mStatus), 11
    };
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(reply.mBody);
    response.prepare_payload();
    auto [writeError, written] =
      co_await http::async_write(aSession->mStream, response, kTuple);
    if (writeError || !request.keep_alive()) {
      break;
    }
  }
  this->mSessions.erase(aSession);
}

// Store

Store::Store(asio::io_context& aIo, const Figures& aFigures)
  : mFigures(aFigures)
  , mServer(aIo,
            [this](const std::string& aMethod,
                   const std::string& aTarget,
                   const std::map<std::string, std::string>&,
                   const std::string& aBody) {
              return this->Handle(aMethod, aTarget, aBody);
            })
{
  asio::co_spawn(aIo, this->ExpireLeases(), asio::detached);
}

json::object Store::Describe(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.mValue64 },
           { "revision", aItem.mRevision },
           { "create_revision", aItem.mCreateRevision },
           { "lease", aItem.mLease } };
}

void Store::Write(const std::string& aKey, Item aItem, std::uint64_t aRevision)
{
  const auto known = this->mItems.find(aKey);
  aItem.mRevision = aRevision;
  aItem.mCreateRevision =
    known == this->mItems.end() ? aRevision : known->second.mCreateRevision;
  this->mEvents.push_back({ aRevision, aKey, false, aItem });
  this->mItems[aKey] = std::move(aItem);
}

void Store::Erase(const std::string& aKey, std::uint64_t aRevision)
{
  if (this->mItems.erase(aKey) > 0) {
    this->mEvents.push_back({ aRevision, aKey, true, {} });
  }
}

void Store::Put(const std::string& aKey, const std::string& aValue)
{
  this->Write(aKey, { Base64(aValue), 0, 0, 0 }, ++this->mRevision);
}

void Store::Remove(const std::string& aKey)
{
  this->Erase(aKey, ++this->mRevision);
}

std::vector<std::string> Store::ValuesOf(const std::string& aPrefix) const
{
  std::vector<std::string> values;
  for (auto at = this->mItems.lower_bound(aPrefix);
       at != this->mItems.end() && at->first.starts_with(aPrefix);
       ++at) {
    values.push_back(at->second.mValue64);
  }
  return values;
}

void Store::EndLease(std::uint64_t aLease)
{
  this->mLeases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    this->Erase(key, ++this->mRevision);
  }
}

Task Store::ExpireLeases()
{
  while (true) {
    co_await Sleep(10);
    std::vector<std::uint64_t> ended;
    for (const auto& [lease, row] : this->mLeases) {
      if (row.mEndsAt <= NowMs()) {
        ended.push_back(lease);
      }
    }
    for (const auto lease : ended) {
      this->EndLease(lease);
    }
  }
}

Reply Store::Range(const std::map<std::string, std::string>& aQuery)
{
  const std::string prefix =
    aQuery.contains("prefix") ? aQuery.at("prefix") : std::string();
  const std::string after =
    aQuery.contains("after") ? aQuery.at("after") : std::string();
  json::array items;
  std::size_t bytes = 0;
  bool hasMore = false;
  for (auto at = this->mItems.lower_bound(prefix);
       at != this->mItems.end() && at->first.starts_with(prefix);
       ++at) {
    if (!after.empty() && at->first <= after) {
      continue;
    }
    if (items.size() >= kPageItems || bytes >= kPageBytes) {
      hasMore = true;
      break;
    }
    bytes += at->second.mValue64.size();
    items.push_back(this->Describe(at->first, at->second));
  }
  return { 200,
           json::serialize(json::object{ { "items", std::move(items) },
                                         { "has_more", hasMore },
                                         { "as_of", this->mRevision } }) };
}

asio::awaitable<Reply> Store::Watch(std::map<std::string, std::string> aQuery)
{
  const std::string prefix = aQuery["prefix"];
  const std::uint64_t after = std::stoull(aQuery["after"]);
  const std::int64_t until = NowMs() + std::stoll(aQuery["wait_ms"]);
  while (true) {
    json::array events;
    for (auto at = this->mEvents.rbegin();
         at != this->mEvents.rend() && at->mRevision > after;
         ++at) {
      if (!at->mKey.starts_with(prefix)) {
        continue;
      }
      json::object row = this->Describe(at->mKey, at->mItem);
      if (at->mIsRemoved) {
        row = { { "key", at->mKey },
                { "revision", at->mRevision },
                { "removed", true } };
      }
      events.insert(events.begin(), std::move(row));
    }
    if (!events.empty() || NowMs() >= until) {
      co_return Reply{ 200,
                       json::serialize(
                         json::object{ { "events", std::move(events) },
                                       { "as_of", this->mRevision } }) };
    }
    co_await Sleep(4);
  }
}

Reply Store::Transaction(const std::string& aBody)
{
  const json::object body = json::parse(aBody).as_object();
  const auto list = [&](const char* aName) {
    const auto* found = body.if_contains(aName);
    return found != nullptr ? found->as_array() : json::array();
  };
  const json::array conditions = list("precondition");
  const json::array puts = list("puts");
  const json::array deletes = list("deletes");
  if (conditions.size() + puts.size() + deletes.size() > kMaxEntries) {
    return { 400, "{\"error\":\"more than 32 entries\"}" };
  }
  for (const auto& put : puts) {
    const auto& row = put.as_object();
    const std::string key = Text(row, "key");
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return { 403, "{}" };
    }
    if (Text(row, "value").size() / 4 * 3 > this->mFigures.mValueBytes + 2) {
      return { 400, "{\"error\":\"value too large\"}" };
    }
  }
  json::array current;
  bool holds = true;
  for (const auto& condition : conditions) {
    const auto& row = condition.as_object();
    const std::string key = Text(row, "key");
    const auto known = this->mItems.find(key);
    const std::uint64_t revision =
      known == this->mItems.end() ? 0 : known->second.mRevision;
    if (known != this->mItems.end()) {
      current.push_back(this->Describe(key, known->second));
    }
    holds =
      holds && revision == static_cast<std::uint64_t>(Integer(row, "revision"));
  }
  if (!holds) {
    return { 412,
             json::serialize(json::object{ { "items", std::move(current) },
                                           { "as_of", this->mRevision } }) };
  }
  for (const auto& put : puts) {
    const auto lease =
      static_cast<std::uint64_t>(Integer(put.as_object(), "lease"));
    if (lease != 0 && !this->mLeases.contains(lease)) {
      return { 404, "{}" };
    }
  }
  const std::uint64_t revision = ++this->mRevision;
  for (const auto& put : puts) {
    const auto& row = put.as_object();
    this->Write(Text(row, "key"),
                { Text(row, "value"),
                  0,
                  0,
                  static_cast<std::uint64_t>(Integer(row, "lease")) },
                revision);
  }
  for (const auto& key : deletes) {
    this->Erase(std::string(key.as_string()), revision);
  }
  return { 200, json::serialize(json::object{ { "revision", revision } }) };
}

asio::awaitable<Reply> Store::Handle(const std::string& aMethod,
                                     const std::string& aTarget,
                                     const std::string& aBody)
{
  const std::string path = aTarget.substr(0, aTarget.find('?'));
  auto query = QueryOf(aTarget);
  if (path == "/-/kv-watch") {
    co_return co_await this->Watch(std::move(query));
  }
  co_await Sleep(4);
  if (path == "/-/kv-key") {
    const auto known = this->mItems.find(query["key"]);
    if (known == this->mItems.end()) {
      co_return Reply{ 404, "{}" };
    }
    json::object item = this->Describe(known->first, known->second);
    item["as_of"] = this->mRevision;
    co_return Reply{ 200, json::serialize(item) };
  }
  if (path == "/-/kv-range") {
    co_return this->Range(query);
  }
  if (path == "/-/kv-txn") {
    co_return this->Transaction(aBody);
  }
  if (path == "/-/kv-lease") {
    const auto ttl =
      std::max(this->mFigures.mMinTtlMs,
               Integer(json::parse(aBody).as_object(), "ttl_ms"));
    const std::uint64_t lease = ++this->mNextLease;
    this->mLeases[lease] = { ttl, NowMs() + ttl };
    co_return Reply{ 200,
                     json::serialize(
                       json::object{ { "lease", lease }, { "ttl_ms", ttl } }) };
  }
  const bool isKeep = path.starts_with("/-/kv-keep/");
  if (isKeep || path.starts_with("/-/kv-lease-end/")) {
    const std::uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
    const auto known = this->mLeases.find(lease);
    if (known == this->mLeases.end()) {
      co_return Reply{ 404, "{}" };
    }
    const std::int64_t ttl = known->second.mTtlMs;
    if (isKeep) {
      known->second.mEndsAt = NowMs() + ttl;
    } else {
      this->EndLease(lease);
    }
    co_return Reply{ 200, json::serialize(json::object{ { "ttl_ms", ttl } }) };
  }
  co_return Reply{ 400, "{\"error\":\"no such call " + aMethod + "\"}" };
}

// Worker

Worker::Worker(asio::io_context& aIo, Fleet& aFleet, int aNumber)
  : mFleet(aFleet)
  , mId("i-" + std::to_string(70'000 + aNumber * 37))
  , mZone(std::vector<std::string>{ "leon", "celaya", "irapuato" }.at(
      static_cast<std::size_t>(aNumber % 3)))
  , mRack("r1-" + std::to_string(aNumber / 4 + 1))
  , mServer(aIo,
            [this](const std::string&,
                   const std::string& aTarget,
                   const std::map<std::string, std::string>& aHeaders,
                   const std::string& aBody) {
              return this->Handle(aTarget, aHeaders, aBody);
            })
{
  this->Start();
  asio::co_spawn(aIo, this->Beat(), asio::detached);
}

void Worker::Start()
{
  this->mRuns.clear();
  this->mEnded.clear();
  this->mHighestEnded.clear();
  this->mFence = 0;
  this->mLeaseUntil = 0;
  this->mNextIndex = 1;
  this->mSequence = 0;
  this->mBorn = UnixMs();
  this->mBootAt = NowMs();
  this->mIsUp = true;
  this->mServer.SetCut(false);
  this->mServer.Open();
}

void Worker::Crash()
{
  this->mIsUp = false;
  this->mServer.Close();
  for (const auto& [task, run] : this->mRuns) {
    if (this->mFleet.mRecord) {
      this->mFleet.mRecord("gone with its worker " + this->mId + ": " + task +
                           " run " + std::to_string(run.mNumber));
    }
  }
  this->mRuns.clear();
  this->mEnded.clear();
}

void Worker::GoDark()
{
  this->mServer.SetCut(true);
  this->mServer.SilenceOpenChannels();
  this->mIsUp = false;
  this->mRuns.clear();
  this->mEnded.clear();
}

void Worker::SetCut(bool aIsCut)
{
  this->mServer.SetCut(aIsCut);
}

bool Worker::Runs(const std::string& aTask) const
{
  return this->mRuns.contains(aTask);
}

Task Worker::Beat()
{
  std::int64_t beatAt = -1;
  while (true) {
    const std::int64_t now = NowMs();
    const bool isHeard = this->mIsUp && !this->mServer.IsCut();
    const auto& figures = this->mFleet.mFigures;
    if (isHeard && (beatAt < 0 || now - beatAt >= figures.mHeartbeatMs)) {
      beatAt = now;
      const json::object entry{
        { "service", "svc" },
        { "address", this->mServer.Address() },
        { "zone", this->mZone },
        { "version", "v1" },
        { "slots", 8 },
        { "state", "ready" },
        { "cold_remaining_ms", 0 },
        { "capacity",
          json::object{ { "cpu", figures.mWorkerCpu },
                        { "mem_mb", figures.mWorkerMemMb },
                        { "gpus", 0 } } },
        { "labels", json::array{ "a", json::string(this->mRack) } },
        { "clock_ms", this->Clock() },
        { "born", this->mBorn },
        { "sequence", ++this->mSequence }
      };
      this->mFleet.mStore.Put("servers/" + this->mId, json::serialize(entry));
    } else if (beatAt >= 0 && now - beatAt > 3 * figures.mHeartbeatMs) {
      beatAt = -1;
      this->mFleet.mStore.Remove("servers/" + this->mId);
    }
    co_await Sleep(20);
  }
}

Reply Worker::Refuse(const char* aReason) const
{
  return { 409,
           json::serialize(json::object{ { "clock_ms", this->Clock() },
                                         { "reason", aReason } }) };
}

void Worker::Extend(std::int64_t aDeadline)
{
  const std::int64_t longest = this->Clock() + this->mFleet.mFigures.mMaxHoldMs;
  this->mLeaseUntil = std::max(this->mLeaseUntil, std::min(aDeadline, longest));
}

void Worker::End(const std::string& aTask, const char* aHow)
{
  const auto found = this->mRuns.find(aTask);
  if (found == this->mRuns.end()) {
    return;
  }
  const Run run = found->second;
  this->mRuns.erase(found);
  auto& highest = this->mHighestEnded[aTask];
  highest = std::max(highest, run.mNumber);
  this->mEnded.push_back(
    { this->mNextIndex++, aTask, run.mNumber, aHow, run.mCheckpoint });
  this->mFleet.mEnds[aTask].push_back(aHow);
  if (this->mFleet.mRecord) {
    this->mFleet.mRecord("end " + std::string(aHow) + ": " + aTask + " run " +
                         std::to_string(run.mNumber) + " on " + this->mId);
  }
}

std::string Worker::Lists() const
{
  json::array running;
  for (const auto& [task, run] : this->mRuns) {
    const auto& behaviour = this->mFleet.mBehaviour.at(run.mStep);
    const std::int64_t most = behaviour.mIsLasting ? 100 : 99;
    const std::int64_t percent =
      std::min(most, run.mWorkedMs * 100 / behaviour.mRunMs);
    running.push_back(json::array{ json::string(task),
                                   run.mNumber,
                                   json::string(run.mCheckpoint),
                                   percent,
                                   behaviour.mCpu });
  }
  json::array ended;
  for (const auto& row : this->mEnded) {
    if (ended.size() == kListedEnds) {
      break;
    }
    ended.push_back(json::array{ row.mIndex,
                                 json::string(row.mTask),
                                 row.mRun,
                                 json::string(row.mHow),
                                 json::string(row.mCheckpoint) });
  }
  return json::serialize(json::object{ { "clock_ms", this->Clock() },
                                       { "born", this->mBorn },
                                       { "running", std::move(running) },
                                       { "ended_runs", std::move(ended) } });
}

asio::awaitable<Reply> Worker::Hold(json::object aBody)
{
  const auto ack = static_cast<std::uint64_t>(Integer(aBody, "ack_index"));
  while (!this->mEnded.empty() && this->mEnded.front().mIndex <= ack) {
    const Ended& end = this->mEnded.front();
    this->mFleet.mNoted[end.mTask].push_back(end.mHow);
    if (this->mFleet.mRecord) {
      this->mFleet.mRecord("noted " + end.mHow + ": " + end.mTask + " run " +
                           std::to_string(end.mRun));
    }
    this->mEnded.pop_front();
  }
  if (aBody.contains("deadline_ms")) {
    this->Extend(Integer(aBody, "deadline_ms"));
  }
  const std::int64_t until = NowMs() + Integer(aBody, "wait_ms");
  const std::int64_t born = this->mBorn;
  while (this->mEnded.empty() && NowMs() < until && this->mBorn == born) {
    co_await Sleep(4);
  }
  co_return Reply{ 200, this->Lists() };
}

Reply Worker::StartRun(const json::object& aBody)
{
  const std::string task = Text(aBody, "task");
  const auto run = static_cast<std::uint64_t>(Integer(aBody, "run"));
  const std::int64_t deadline = Integer(aBody, "deadline_ms");
  if (this->Clock() > deadline) {
    return this->Refuse("late");
  }
  const auto there = this->mRuns.find(task);
  if (there != this->mRuns.end() && there->second.mNumber == run) {
    this->Extend(deadline);
    return { 200,
             json::serialize(json::object{ { "clock_ms", this->Clock() } }) };
  }
  const auto ended = this->mHighestEnded.find(task);
  const bool isOld =
    there != this->mRuns.end() ||
    (ended != this->mHighestEnded.end() && run <= ended->second);
  this->Extend(deadline);
  if (isOld) {
    return this->Refuse("old");
  }
  const std::string step = StepOf(task);
  const auto behaviour = this->mFleet.mBehaviour.find(step);
  if (behaviour == this->mFleet.mBehaviour.end()) {
    return { 400, "{}" };
  }
  std::int64_t cpu = behaviour->second.mCpu;
  std::int64_t mem = behaviour->second.mMemMb;
  for (const auto& [name, row] : this->mRuns) {
    cpu += this->mFleet.mBehaviour.at(row.mStep).mCpu;
    mem += this->mFleet.mBehaviour.at(row.mStep).mMemMb;
  }
  const auto& figures = this->mFleet.mFigures;
  if (cpu > figures.mWorkerCpu || mem > figures.mWorkerMemMb) {
    return this->Refuse("room");
  }
  Run row;
  row.mNumber = run;
  row.mStep = step;
  row.mStartedAt = NowMs();
  row.mCheckpoint = Text(aBody, "checkpoint");
  this->mRuns[task] = row;
  ++this->mFleet.mStarts[task];
  if (this->mFleet.mRecord) {
    this->mFleet.mRecord("start: " + task + " run " + std::to_string(run) +
                         " on " + this->mId);
  }
  return { 200,
           json::serialize(json::object{ { "clock_ms", this->Clock() } }) };
}

Reply Worker::StopRun(const json::object& aBody)
{
  const std::string task = Text(aBody, "task");
  const auto run = static_cast<std::uint64_t>(Integer(aBody, "run"));
  const auto there = this->mRuns.find(task);
  if (there != this->mRuns.end() && there->second.mNumber == run) {
    if (there->second.mStopAt == 0) {
      there->second.mStopAt =
        NowMs() + this->mFleet.mFigures.mStopTimeoutMs / 2;
    }
  } else if (there == this->mRuns.end()) {
    auto& highest = this->mHighestEnded[task];
    highest = std::max(highest, run);
  }
  return { 200,
           json::serialize(json::object{ { "clock_ms", this->Clock() } }) };
}

asio::awaitable<Reply> Worker::Handle(
  const std::string& aTarget,
  std::map<std::string, std::string> aHeaders,
  std::string aBody)
{
  const auto expected = aHeaders.find("Expect-Instance");
  if (expected != aHeaders.end() && expected->second != this->mId) {
    co_return Reply{ 421, "{}" };
  }
  const json::object body = json::parse(aBody).as_object();
  const auto token = static_cast<std::uint64_t>(Integer(body, "fencing_token"));
  if (token < this->mFence) {
    co_return this->Refuse("fence");
  }
  this->mFence = token;
  if (aTarget == "/-/hold") {
    co_return co_await this->Hold(body);
  }
  if (aTarget == "/-/run-start") {
    co_return this->StartRun(body);
  }
  if (aTarget == "/-/run-stop") {
    co_return this->StopRun(body);
  }
  if (aTarget == "/-/pace") {
    co_return Reply{
      200, json::serialize(json::object{ { "clock_ms", this->Clock() } })
    };
  }
  co_return Reply{ 400, "{}" };
}

// Fleet

Fleet::Fleet(asio::io_context& aIo, Store& aStore, const Figures& aFigures)
  : mStore(aStore)
  , mFigures(aFigures)
  , mIo(aIo)
{
  for (int i = 0; i < aFigures.mWorkers; ++i) {
    this->mWorkers.push_back(std::make_unique<Worker>(aIo, *this, i));
  }
  asio::co_spawn(aIo, this->Step(), asio::detached);
}

Worker* Fleet::RunnerOf(const std::string& aTask)
{
  for (const auto& worker : this->mWorkers) {
    if (worker->Runs(aTask)) {
      return worker.get();
    }
  }
  return nullptr;
}

int Fleet::Present(const std::string& aStep, std::uint64_t aRun) const
{
  int present = 0;
  for (const auto& worker : this->mWorkers) {
    for (const auto& [task, run] : worker->mRuns) {
      present += run.mStep == aStep && run.mNumber == aRun ? 1 : 0;
    }
  }
  return present;
}

void Fleet::EndOthers(const std::string& aStep,
                      std::uint64_t aRun,
                      const char* aHow)
{
  for (const auto& worker : this->mWorkers) {
    std::vector<std::string> members;
    for (const auto& [task, run] : worker->mRuns) {
      if (run.mStep == aStep && run.mNumber == aRun) {
        members.push_back(task);
      }
    }
    for (const auto& task : members) {
      worker->End(task, aHow);
    }
  }
}

void Fleet::StepWorker(Worker& aWorker, std::int64_t aElapsed)
{
  std::vector<std::string> tasks;
  for (const auto& [task, run] : aWorker.mRuns) {
    tasks.push_back(task);
  }
  const bool isLapsed = aWorker.Clock() > aWorker.mLeaseUntil;
  for (const auto& task : tasks) {
    const auto found = aWorker.mRuns.find(task);
    if (found == aWorker.mRuns.end()) {
      continue;
    }
    Worker::Run& run = found->second;
    const TaskBehaviour& behaviour = this->mBehaviour.at(run.mStep);
    const std::string step = run.mStep;
    const std::uint64_t number = run.mNumber;
    const bool isGang = behaviour.mGang > 0;
    if (isLapsed) {
      aWorker.End(task, "lapsed");
    } else if (run.mStopAt != 0 && NowMs() >= run.mStopAt) {
      aWorker.End(task, "stopped");
    } else if (isGang && !run.mIsWorking) {
      if (this->Present(step, number) >= behaviour.mGang) {
        for (const auto& worker : this->mWorkers) {
          for (auto& [name, row] : worker->mRuns) {
            if (row.mStep == step && row.mNumber == number) {
              row.mIsWorking = true;
            }
          }
        }
      } else if (NowMs() - run.mStartedAt > this->mFigures.mGangTimeoutMs) {
        aWorker.End(task, "alone");
      }
      continue;
    } else if (isGang && this->Present(step, number) < behaviour.mGang) {
      aWorker.End(task, "broken");
    } else {
      const std::int64_t before = run.mWorkedMs;
      run.mWorkedMs += aElapsed;
      const std::int64_t every = this->mFigures.mCheckpointMs;
      if (behaviour.mIsCheckpointing &&
          before / every != run.mWorkedMs / every) {
        std::ostringstream text;
        text << std::hex << run.mWorkedMs;
        run.mCheckpoint = "00000000" + text.str();
        run.mCheckpoint = run.mCheckpoint.substr(run.mCheckpoint.size() - 8) +
                          task.substr(0, 8);
      }
      if (run.mWorkedMs >= behaviour.mRunMs && !behaviour.mIsLasting) {
        if (isGang) {
          this->EndOthers(step, number, "done");
        } else {
          aWorker.End(task, "done");
        }
      }
    }
  }
}

Task Fleet::Step()
{
  std::int64_t last = NowMs();
  while (true) {
    co_await Sleep(10);
    const std::int64_t now = NowMs();
    for (const auto& worker : this->mWorkers) {
      if (worker->mIsUp) {
        this->StepWorker(*worker, now - last);
      }
    }
    last = now;
  }
}

// Nodes

namespace {

pid_t PidOf(const Node& aNode)
{
  std::ifstream file(aNode.mFolder + "/" + aNode.mName + ".pid");
  pid_t pid = 0;
  file >> pid;
  return pid;
}

} // namespace

void KillNode(const Node& aNode, bool aStaysDown)
{
  if (aStaysDown) {
    std::ofstream(aNode.mFolder + "/" + aNode.mName + ".down") << "down\n";
  }
  const pid_t pid = PidOf(aNode);
  if (pid > 0) {
    ::kill(pid, SIGKILL);
  }
}

void ReviveNode(const Node& aNode)
{
  std::remove((aNode.mFolder + "/" + aNode.mName + ".down").c_str());
}

std::int64_t MemoryMb(const Node& aNode)
{
  const pid_t pid = PidOf(aNode);
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::int64_t all = 0;
  std::int64_t resident = 0;
  file >> all >> resident;
  return resident * ::sysconf(_SC_PAGESIZE) / 1'000'000;
}

// World

const Node* World::Owner()
{
  for (const auto& value64 : this->mStore->ValuesOf("vc/sys/own/")) {
    for (const auto& node : this->mNodes) {
      if (Decoded(value64).find("\"" + node.mName + "\"") !=
          std::string::npos) {
        return &node;
      }
    }
  }
  return nullptr;
}

void World::Note(const std::string& aText)
{
  this->mRecord << NowMs() << " " << aText << "\n" << std::flush;
}

asio::awaitable<Reply> World::Call(std::string aAddress,
                                   std::string aMethod,
                                   std::string aHost,
                                   std::string aPath,
                                   std::string aBody,
                                   std::int64_t aTimeoutMs)
{
  const auto colon = aAddress.find(':');
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(aAddress.substr(0, colon)),
    static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  beast::tcp_stream stream(this->mIo);
  stream.expires_after(std::chrono::milliseconds(aTimeoutMs));
  auto [connectError] = co_await stream.async_connect(endpoint, kTuple);
  if (connectError) {
    co_return Reply{ 0, connectError.message() };
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aPath);
  request.set(http::field::host, aHost);
  request.set("Deadline-Ms", std::to_string(aTimeoutMs));
  if (!aBody.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = std::move(aBody);
  request.prepare_payload();
  request.keep_alive(false);
  auto [writeError, written] =
    co_await http::async_write(stream, request, kTuple);
  if (writeError) {
    co_return Reply{ 0, writeError.message() };
  }
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  auto [readError, bytes] =
    co_await http::async_read(stream, buffer, response, kTuple);
  if (readError) {
    co_return Reply{ 0, readError.message() };
  }
  co_return Reply{ static_cast<int>(response.result_int()),
                   std::move(response.body()) };
}

asio::awaitable<bool> World::AwaitReady(std::string aHost, std::string aPrefix)
{
  const std::int64_t until = NowMs() + 30'000;
  while (NowMs() < until) {
    bool isReady = true;
    for (const auto& node : this->mNodes) {
      const Reply ready = co_await this->Call(
        node.mReady, "GET", "platform", "/-/readiness", "", 1'000);
      const Reply count =
        co_await this->Call(node.mFront, "GET", aHost, aPrefix, "", 1'000);
      isReady = isReady && ready.mStatus == 200 && count.mStatus == 200;
    }
    if (isReady) {
      this->Note("all nodes are ready");
      co_return true;
    }
    co_await Sleep(100);
  }
  this->Note("the nodes did not get ready");
  co_return false;
}

asio::awaitable<bool> World::Submit(std::string aHost,
                                    std::string aPath,
                                    std::string aBody)
{
  for (int attempt = 0; attempt < 8; ++attempt) {
    const auto& node =
      this->mNodes.at(static_cast<std::size_t>(attempt) % this->mNodes.size());
    const Reply reply =
      co_await this->Call(node.mFront, "POST", aHost, aPath, aBody);
    this->Note("POST " + aPath + " at " + node.mName + " -> " +
               std::to_string(reply.mStatus));
    if (reply.mStatus / 100 == 2) {
      co_return true;
    }
    co_await Sleep(200);
  }
  co_return false;
}

asio::awaitable<std::string> World::StateOf(std::string aHost,
                                            std::string aPath)
{
  std::string last = "none";
  for (const auto& node : this->mNodes) {
    const Reply reply =
      co_await this->Call(node.mFront, "GET", aHost, aPath, "");
    if (reply.mStatus == 200) {
      co_return Text(json::parse(reply.mBody).as_object(), "state");
    }
    last = std::to_string(reply.mStatus);
  }
  co_return last;
}

std::string ConfigText(std::int64_t aVersion, const std::vector<Route>& aRoutes)
{
  json::array routes;
  for (const auto& route : aRoutes) {
    routes.push_back(json::object{ { "name", route.mName },
                                   { "host", route.mHost },
                                   { "prefix", route.mPrefix },
                                   { "type", "unsafe" },
                                   { "timeout_ms", 3000 },
                                   { "target_duration_ms", 1000 },
                                   { "priority", 0 },
                                   { "service", "svc" },
                                   { "max_attempts", route.mMaxAttempts },
                                   { "stretch", 2.0 } });
  }
  return json::serialize(
    json::object{ { "version", aVersion },
                  { "routes", std::move(routes) },
                  { "services",
                    json::array{ json::object{ { "name", "svc" },
                                               { "health_path", "/health" },
                                               { "max_connections", 64 },
                                               { "protocol", "h1" },
                                               { "tls", false },
                                               { "cold_start_s", 0.0 },
                                               { "cold_per_s", 0.0 },
                                               { "enforces_capacity", true },
                                               { "spare", false } } } },
                  { "limits",
                    json::object{ { "max_header_bytes", 16384 },
                                  { "max_body_bytes", 262144 },
                                  { "header_timeout_ms", 3000 },
                                  { "idle_timeout_ms", 15000 } } } });
}

std::map<std::string, NamedCase>& Cases()
{
  static std::map<std::string, NamedCase> cases;
  return cases;
}

} // namespace review

namespace {

/// A loopback port that is free now, below the range from which the system
/// chooses ports for outgoing channels.
std::uint16_t FreePort(boost::asio::io_context& aIo)
{
  static std::mt19937 random{ std::random_device{}() };
  std::uniform_int_distribution<int> ports(20'000, 31'999);
  static std::set<int> taken;
  while (true) {
    const int port = ports(random);
    boost::asio::ip::tcp::acceptor probe(aIo);
    const boost::asio::ip::tcp::endpoint endpoint(
      boost::asio::ip::address_v4::loopback(),
      static_cast<std::uint16_t>(port));
    boost::system::error_code error;
    probe.open(endpoint.protocol());
    probe.bind(endpoint, error);
    if (!error && taken.insert(port).second) {
      return endpoint.port();
    }
  }
}

} // namespace

/// usage: standin CASE FOLDER RECORD. Writes FOLDER/nodes, a line for each node
/// with its name, zone and ports and the store's address, and waits for the
/// nodes to get ready.
int main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount != 4 || !Cases().contains(aArguments[1])) {
    std::cerr << "usage: standin CASE FOLDER RECORD\n";
    return 2;
  }
  const std::string folder = aArguments[2];
  World world;
  const NamedCase& named = Cases().at(aArguments[1]);
  named.mAdjust(world.mFigures);
  world.mRecord.open(aArguments[3]);
  const char* trouble = std::getenv("TROUBLE");
  world.mHasTrouble = trouble == nullptr || std::string(trouble) != "0";
  world.mStore = std::make_unique<Store>(world.mIo, world.mFigures);
  world.mFleet =
    std::make_unique<Fleet>(world.mIo, *world.mStore, world.mFigures);
  world.mFleet->mRecord = [&](const std::string& aText) { world.Note(aText); };
  const std::vector<std::string> zones{ "leon", "celaya", "irapuato" };
  std::ofstream nodes(folder + "/nodes.new");
  for (int i = 0; i < world.mFigures.mNodes; ++i) {
    const std::string zone = zones.at(static_cast<std::size_t>(i % 3));
    const std::string name = "front-" + zone + "-" + std::to_string(i / 3 + 1);
    const auto front = std::to_string(FreePort(world.mIo));
    const auto ready = std::to_string(FreePort(world.mIo));
    const auto peer = std::to_string(FreePort(world.mIo));
    const auto metrics = std::to_string(FreePort(world.mIo));
    world.mNodes.push_back(
      { name, folder, "127.0.0.1:" + front, "127.0.0.1:" + ready });
    nodes << name << " " << zone << " " << front << " " << ready << " " << peer
          << " " << metrics << " " << world.mStore->Channels().Address() << " "
          << world.mFigures.mMaxHoldMs << " " << world.mFigures.mStopTimeoutMs
          << "\n";
  }
  nodes.close();
  std::rename((folder + "/nodes.new").c_str(), (folder + "/nodes").c_str());
  asio::co_spawn(
    world.mIo,
    [&]() -> Task {
      try {
        co_await named.mRun(world);
      } catch (const std::exception& error) {
        world.Note(std::string("the case failed to run: ") + error.what());
        world.mResult = 2;
      }
      world.Note("result " + std::to_string(world.mResult));
      world.mIo.stop();
    },
    asio::detached);
  world.mIo.run();
  return world.mResult;
}
