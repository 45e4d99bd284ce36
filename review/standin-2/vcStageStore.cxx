/// Stand-in of the platform's store.

#include "vcStage.h"

namespace stage {

namespace {

constexpr std::size_t kPageItems = 500;
constexpr std::int64_t kMinTtlMs = 1'000;
constexpr std::int64_t kExpiryIntervalMs = 10;

/// Parameter of a query without its percent-encoding.
std::string Parameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t query = aTarget.find('?');
  std::size_t at = query;
  while (at != std::string::npos) {
    const std::size_t end = aTarget.find('&', at + 1);
    const std::string pair =
      aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    at = end;
    if (!pair.starts_with(aName + "=")) {
      continue;
    }
    std::string text;
    for (std::size_t i = aName.size() + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        text +=
          static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += pair[i];
      }
    }
    return text;
  }
  return {};
}

std::uint64_t NumberOf(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

std::uint64_t RevisionOf(const boost::json::object& aRow, const char* aName)
{
  const auto* found = aRow.if_contains(aName);
  return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

std::vector<std::string> KeysPut(const boost::json::object& aBody)
{
  std::vector<std::string> keys;
  for (const auto& row : aBody.at("puts").as_array()) {
    keys.emplace_back(row.at("key").as_string());
  }
  return keys;
}

} // namespace

Store::Store()
{
  this->mServer = std::make_unique<Server>(
    0, [this](const Request& aRequest) { return this->Handle(aRequest); });
  this->mExpiry = std::thread([this] { this->ExpireLeases(); });
}

Store::~Store()
{
  this->mIsClosed = true;
  this->mChanged.notify_all();
  this->mExpiry.join();
  for (auto& thread : this->mLate) {
    thread.join();
  }
  this->mServer.reset();
}

void Store::Put(const std::string& aKey, const std::string& aText)
{
  const std::lock_guard lock(this->mMutex);
  ++this->mRevision;
  this->PutNow(aKey, EncodeBase64(aText), 0);
  this->mChanged.notify_all();
}

void Store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(this->mMutex);
  ++this->mRevision;
  this->RemoveNow(aKey);
  this->mChanged.notify_all();
}

void Store::SetFate(
  std::function<WriteFate(const std::vector<std::string>&)> aFate)
{
  const std::lock_guard lock(this->mMutex);
  this->mFate = std::move(aFate);
}

boost::json::object Store::Describe(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", aItem.mValue },
           { "revision", aItem.mRevision },
           { "create_revision", aItem.mCreated },
           { "lease", aItem.mLease } };
}

void Store::PutNow(const std::string& aKey,
                   std::string aValue,
                   std::uint64_t aLease)
{
  Item& item = this->mItems[aKey];
  item.mValue = std::move(aValue);
  item.mRevision = this->mRevision;
  item.mCreated = item.mCreated == 0 ? this->mRevision : item.mCreated;
  item.mLease = aLease;
  this->mEvents.push_back({ aKey, this->mRevision, item });
}

void Store::RemoveNow(const std::string& aKey)
{
  if (this->mItems.erase(aKey) > 0) {
    this->mEvents.push_back({ aKey, this->mRevision, std::nullopt });
  }
}

void Store::EndLease(std::uint64_t aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  this->mLeases.erase(aLease);
  if (keys.empty()) {
    return;
  }
  ++this->mRevision;
  for (const auto& key : keys) {
    this->RemoveNow(key);
  }
  this->mChanged.notify_all();
}

void Store::ExpireLeases()
{
  while (!this->mIsClosed) {
    SleepMs(kExpiryIntervalMs);
    const std::lock_guard lock(this->mMutex);
    std::vector<std::uint64_t> ended;
    for (const auto& [number, lease] : this->mLeases) {
      if (NowMs() >= lease.mEndsAt) {
        ended.push_back(number);
      }
    }
    for (const auto number : ended) {
      this->EndLease(number);
    }
  }
}

std::optional<Response> Store::Handle(const Request& aRequest)
{
  const std::string target(aRequest.target());
  const std::string path = target.substr(0, target.find('?'));
  constexpr std::string_view kKeep = "/-/kv-keep/";
  constexpr std::string_view kEnd = "/-/kv-lease-end/";
  if (path == "/-/kv-watch") {
    return this->Watch(Parameter(target, "prefix"),
                       NumberOf(Parameter(target, "after")),
                       std::stoll(Parameter(target, "wait_ms")));
  }
  if (path == "/-/kv-txn") {
    return this->Transact(boost::json::parse(aRequest.body()).as_object());
  }
  const std::lock_guard lock(this->mMutex);
  if (path == "/-/kv-key") {
    const std::string key = Parameter(target, "key");
    const auto found = this->mItems.find(key);
    if (found == this->mItems.end()) {
      return JsonResponse(404, { { "as_of", this->mRevision } });
    }
    auto body = Describe(key, found->second);
    body["as_of"] = this->mRevision;
    return JsonResponse(200, body);
  }
  if (path == "/-/kv-range") {
    return this->Range(Parameter(target, "prefix"), Parameter(target, "after"));
  }
  if (path == "/-/kv-lease") {
    const auto body = boost::json::parse(aRequest.body()).as_object();
    const std::int64_t ttl =
      std::max(kMinTtlMs, body.at("ttl_ms").to_number<std::int64_t>());
    const std::uint64_t lease = ++this->mNextLease;
    this->mLeases[lease] = { ttl, NowMs() + ttl };
    return JsonResponse(200, { { "lease", lease }, { "ttl_ms", ttl } });
  }
  if (path.starts_with(kKeep)) {
    const auto found = this->mLeases.find(NumberOf(path.substr(kKeep.size())));
    if (found == this->mLeases.end()) {
      return JsonResponse(404, {});
    }
    found->second.mEndsAt = NowMs() + found->second.mTtlMs;
    return JsonResponse(200, { { "ttl_ms", found->second.mTtlMs } });
  }
  if (path.starts_with(kEnd)) {
    this->EndLease(NumberOf(path.substr(kEnd.size())));
    return JsonResponse(200, {});
  }
  return JsonResponse(400, {});
}

Response Store::Range(const std::string& aPrefix, const std::string& aAfter)
{
  boost::json::array items;
  bool hasMore = false;
  for (auto at = this->mItems.lower_bound(std::max(aPrefix, aAfter));
       at != this->mItems.end() && at->first.starts_with(aPrefix);
       ++at) {
    if (at->first == aAfter) {
      continue;
    }
    if (items.size() == kPageItems) {
      hasMore = true;
      break;
    }
    items.push_back(Describe(at->first, at->second));
  }
  return JsonResponse(200,
                      { { "items", std::move(items) },
                        { "has_more", hasMore },
                        { "as_of", this->mRevision } });
}

Response Store::Watch(const std::string& aPrefix,
                      std::uint64_t aAfter,
                      std::int64_t aWaitMs)
{
  std::unique_lock lock(this->mMutex);
  const std::int64_t until = NowMs() + aWaitMs;
  while (true) {
    boost::json::array events;
    for (auto at = this->mEvents.rbegin();
         at != this->mEvents.rend() && at->mRevision > aAfter;
         ++at) {
      if (!at->mKey.starts_with(aPrefix)) {
        continue;
      }
      if (at->mItem) {
        events.insert(events.begin(), Describe(at->mKey, *at->mItem));
      } else {
        events.insert(events.begin(),
                      boost::json::object{ { "key", at->mKey },
                                           { "revision", at->mRevision },
                                           { "removed", true } });
      }
    }
    const std::int64_t left = until - NowMs();
    if (!events.empty() || left <= 0 || this->mIsClosed) {
      return JsonResponse(
        200, { { "events", std::move(events) }, { "as_of", this->mRevision } });
    }
    this->mChanged.wait_for(lock, std::chrono::milliseconds(left));
  }
}

std::optional<Response> Store::Transact(const boost::json::object& aBody)
{
  std::unique_lock lock(this->mMutex);
  ++this->mWrites;
  const WriteFate fate =
    this->mFate ? this->mFate(KeysPut(aBody)) : WriteFate{};
  if (!fate.mIsAnswerLost) {
    return this->Commit(aBody);
  }
  ++this->mLost;
  this->mLate.emplace_back([this, fate, body = aBody] {
    SleepMs(fate.mDelayMs);
    const std::lock_guard lateLock(this->mMutex);
    this->Commit(body);
  });
  lock.unlock();
  // The connection returns nothing, and stays open for longer than the caller
  // waits.
  constexpr std::int64_t kSilenceMs = 5'000;
  SleepMs(kSilenceMs);
  return std::nullopt;
}

Response Store::Commit(const boost::json::object& aBody)
{
  bool holds = true;
  boost::json::array items;
  for (const auto& row : aBody.at("precondition").as_array()) {
    const std::string key(row.at("key").as_string());
    const auto found = this->mItems.find(key);
    const bool exists = found != this->mItems.end();
    const std::uint64_t present = exists ? found->second.mRevision : 0;
    holds = holds && present == RevisionOf(row.as_object(), "revision");
    if (exists) {
      items.push_back(Describe(key, found->second));
    }
  }
  if (!holds) {
    return JsonResponse(412, { { "items", std::move(items) } });
  }
  for (const auto& row : aBody.at("puts").as_array()) {
    const std::uint64_t lease = RevisionOf(row.as_object(), "lease");
    if (lease != 0 && !this->mLeases.contains(lease)) {
      return JsonResponse(404, {});
    }
  }
  ++this->mRevision;
  for (const auto& row : aBody.at("puts").as_array()) {
    this->PutNow(std::string(row.at("key").as_string()),
                 std::string(row.at("value").as_string()),
                 RevisionOf(row.as_object(), "lease"));
  }
  for (const auto& key : aBody.at("deletes").as_array()) {
    this->RemoveNow(std::string(key.as_string()));
  }
  this->mChanged.notify_all();
  return JsonResponse(200, { { "revision", this->mRevision } });
}

} // namespace stage
