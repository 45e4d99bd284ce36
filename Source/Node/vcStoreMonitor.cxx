#include "vcStoreMonitor.h"

#include "vcLatencyBounds.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// A call that takes longer than this, or a watch that takes longer than this
/// beyond its wait, is logged.
constexpr Duration kSlowCall{ 500 };

/// What is logged of a call besides its outcome.
struct CallDescription
{
  KvCall mCall = KvCall::kRead;
  /// Key or prefix; empty for calls without one.
  std::string mKey;
  /// Revision that a watch continues from; 0 for other calls.
  std::uint64_t mAfterRevision = 0;
  /// Time in ms for which the service may hold the reply back.
  Duration mWait{ 0 };
};

void LogCall(const CallDescription& aCall,
             const KvReply& aReply,
             Duration aElapsed)
{
  if (aReply.mStatus == KvStatus::kRejected) {
    spdlog::error("store.rejected call={} key={} error={}",
                  NameOf(aCall.mCall),
                  aCall.mKey,
                  aReply.mReason);
  }
  const bool isUsable = aReply.mStatus == KvStatus::kOk ||
                        aReply.mStatus == KvStatus::kConflict ||
                        aReply.mStatus == KvStatus::kNotFound;
  if (isUsable && aElapsed <= aCall.mWait + kSlowCall) {
    return;
  }
  spdlog::info("store.call call={} key={} after_revision={} outcome={} "
               "error={} revision={} items={} bytes={} took_ms={}",
               NameOf(aCall.mCall),
               aCall.mKey,
               aCall.mAfterRevision,
               NameOf(aReply.mStatus),
               aReply.mReason,
               aReply.mRevision,
               aReply.mItems.size(),
               aReply.mReceivedBytes,
               aElapsed.count());
}

/// Awaits a call, and counts and logs its outcome.
asio::awaitable<KvReply> Monitor(CallDescription aCall,
                                 StoreStats& aStats,
                                 KeyValueStore::Answer aAnswer)
{
  const TimePoint startedAt = SuspendAwareNow();
  KvReply reply = co_await std::move(aAnswer);
  const Duration elapsed = SuspendAwareNow() - startedAt;
  KvCallStats& stats = aStats[static_cast<std::size_t>(aCall.mCall)];
  ++stats.mOutcomes[static_cast<std::size_t>(reply.mStatus)];
  CountLatency(stats.mLatencies, elapsed);
  stats.mLatencySumMs += static_cast<double>(elapsed.count());
  LogCall(aCall, reply, elapsed);
  co_return reply;
}

} // namespace

KeyValueStore MonitorStore(KeyValueStore aStore, StoreStats& aStats)
{
  KeyValueStore store;
  store.mRead = [call = std::move(aStore.mRead),
                 &aStats](const std::string& aKey) {
    return Monitor({ KvCall::kRead, aKey }, aStats, call(aKey));
  };
  store.mRange = [call = std::move(aStore.mRange),
                  &aStats](const KvRange& aRange) {
    return Monitor({ KvCall::kRange, aRange.mPrefix }, aStats, call(aRange));
  };
  store.mWatch = [call = std::move(aStore.mWatch),
                  &aStats](const KvWatch& aWatch) {
    const CallDescription description{
      KvCall::kWatch, aWatch.mPrefix, aWatch.mAfterRevision, aWatch.mWait
    };
    return Monitor(description, aStats, call(aWatch));
  };
  store.mCommit = [call = std::move(aStore.mCommit),
                   &aStats](KvTransaction aWrite) {
    const std::string key = aWrite.mConditions.empty()
                              ? std::string()
                              : aWrite.mConditions.front().mKey;
    return Monitor({ KvCall::kCommit, key }, aStats, call(std::move(aWrite)));
  };
  store.mGrant = [call = std::move(aStore.mGrant), &aStats](Duration aTtl) {
    return Monitor({ KvCall::kGrant, {} }, aStats, call(aTtl));
  };
  store.mRenew = [call = std::move(aStore.mRenew), &aStats](LeaseId aLease) {
    return Monitor({ KvCall::kRenew, {} }, aStats, call(aLease));
  };
  store.mRevoke = [call = std::move(aStore.mRevoke), &aStats](LeaseId aLease) {
    return Monitor({ KvCall::kRevoke, {} }, aStats, call(aLease));
  };
  return store;
}

} // namespace verbenacroft
