#include "vcNodeContext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// The store counts as down once its calls have failed for this long.
constexpr Duration kStoreDownAfter{ 250 };
/// The store also counts as down once it has answered no call for this long.
/// The lease is renewed more often than that.
constexpr Duration kStoreUnresponsiveAfter{ 1'000 };
/// Pause before a failed coroutine is started again.
constexpr Duration kRestartPause{ 150 };

/// Runs a coroutine and logs an exception that leaves it.
/// @return false if an exception left the coroutine
asio::awaitable<bool> RunOnce(const std::string& aName,
                              const CoroutineFunction& aMakeCoroutine)
{
  try {
    co_await aMakeCoroutine();
    co_return true;
  } catch (const std::exception& error) {
    spdlog::error("process.loop-failed loop={} what={}", aName, error.what());
  }
  co_return false;
}

} // namespace

asio::awaitable<void> Sleep(Duration aTime)
{
  NodeTimer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

void SpawnWithRestart(NodeContext& aNode,
                      std::string aName,
                      CoroutineFunction aMakeCoroutine)
{
  asio::co_spawn(
    aNode.mIo,
    [name = std::move(aName),
     loop = std::move(aMakeCoroutine)]() -> asio::awaitable<void> {
      bool isDone = false;
      while (!isDone) {
        isDone = co_await RunOnce(name, loop);
        if (!isDone) {
          co_await Sleep(kRestartPause);
        }
      }
    },
    asio::detached);
}

void SpawnOnce(NodeContext& aNode,
               std::string aName,
               CoroutineFunction aMakeCoroutine,
               std::function<void()> aOnFailure)
{
  asio::co_spawn(
    aNode.mIo,
    [name = std::move(aName),
     loop = std::move(aMakeCoroutine),
     onFailure = std::move(aOnFailure)]() -> asio::awaitable<void> {
      const bool isDone = co_await RunOnce(name, loop);
      if (!isDone) {
        onFailure();
      }
    },
    asio::detached);
}

void UpdateStoreHealth(NodeContext& aNode, const KvReply& aReply)
{
  const TimePoint now = SuspendAwareNow();
  if (!IsAnswered(aReply.mStatus)) {
    if (aNode.mStoreFailedAt == kNever) {
      aNode.mStoreFailedAt = now;
      spdlog::warn("dependency.lost name=store outcome={} last_reply_ms_ago={}",
                   NameOf(aReply.mStatus),
                   (now - aNode.mLastStoreReplyAt).count());
    }
    return;
  }
  if (aNode.mStoreFailedAt != kNever) {
    spdlog::info("dependency.regained name=store after_ms={}",
                 (now - aNode.mStoreFailedAt).count());
  }
  aNode.mStoreFailedAt = kNever;
  aNode.mLastStoreReplyAt = now;
  aNode.mLatestRevision = std::max(aNode.mLatestRevision, aReply.mRevision);
}

bool IsStoreDown(const NodeContext& aNode, TimePoint aNow)
{
  const bool isFailing = aNode.mStoreFailedAt != kNever &&
                         aNow - aNode.mStoreFailedAt > kStoreDownAfter;
  return isFailing || aNow - aNode.mLastStoreReplyAt > kStoreUnresponsiveAfter;
}

std::string PeerAddressOf(const NodeSettings& aSettings)
{
  return aSettings.mInternalIp + ":" +
         std::to_string(aSettings.mInternalPorts.at(0));
}

std::uint32_t ShardOf(std::string_view aName, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(StableHash(aName) % aShards);
}

std::string OwnerKey(std::uint32_t aShard)
{
  return fmt::format("{}{:04}", kOwnerPrefix, aShard);
}

std::string WorkerSetKey(std::uint32_t aShard)
{
  return fmt::format("vc/crew/{:04}", aShard);
}

std::string InactiveWorkersKey(std::uint32_t aShard)
{
  return fmt::format("vc/inactive/{:04}", aShard);
}

std::string IncarnationsKey(std::uint32_t aShard)
{
  return fmt::format("vc/incarnations/{:04}", aShard);
}

std::string HandOverKey(std::uint32_t aShard)
{
  return fmt::format("vc/hand-over/{:04}", aShard);
}

std::string CrashedTasksKey(std::uint32_t aShard)
{
  return fmt::format("vc/crashes/{:04}", aShard);
}

std::string SilentWorkersKey(std::uint32_t aShard)
{
  return CrashedTasksKey(aShard) + "/silent";
}

std::string InboxPrefix(std::uint32_t aShard)
{
  return fmt::format("vc/in/{:04}/", aShard);
}

std::string InboxJobKey(std::uint32_t aShard, const JobId& aJob)
{
  return InboxPrefix(aShard) + aJob + ".job";
}

std::string CancelKey(std::uint32_t aShard, const JobId& aJob)
{
  return InboxPrefix(aShard) + aJob + ".cancel";
}

std::string InboxOwnerKey(std::uint32_t aShard)
{
  // `~` sorts after all job identifiers, so a listing reads this key last.
  return InboxPrefix(aShard) + "~owner";
}

std::string ProgressPrefix(std::uint32_t aShard)
{
  return fmt::format("vc/progress/{:04}/", aShard);
}

std::string ProgressKey(std::uint32_t aShard, const JobId& aJob)
{
  return ProgressPrefix(aShard) + aJob;
}

JobId JobIdFromKey(std::string_view aKey, std::string_view aPrefix)
{
  const auto rest = aKey.substr(aPrefix.size());
  return JobId(rest.substr(0, rest.find('.')));
}

} // namespace verbenacroft
