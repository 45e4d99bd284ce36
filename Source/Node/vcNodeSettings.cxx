#include "vcNodeSettings.h"

#include "vcProgram.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Owner grace period after the end of the lease: how long an owner that can't
/// renew its lease continues with jobs that it already has. The next owner
/// waits for this time to pass where it can't query the workers.
constexpr Duration kGracePeriod{ 5'000 };
/// Shortest limit of the leases of an owner. Together with the time until the
/// next owner's claim it is how long a lost worker's tasks wait; without the
/// store it is how long they outlast the proof of ownership.
constexpr Duration kMinLeaseLimit{ 8'500 };
/// The limit is at least this multiple of the time to live of the owner's own
/// lease, so that leases outlast a few lost renewals of it.
constexpr int kOwnLeasesPerLimit = 2;
constexpr std::size_t kInternalPortCount = 2;
/// Part of the process's memory for the occurrences of jobs. The rest is for
/// the program itself, the records of jobs, reports and replies of the store.
constexpr std::size_t kOccurrencePart = 4;
constexpr std::size_t kBytesPerMb = 1'000'000;
constexpr double kMsPerSecond = 1'000;
/// Bytes per second, in the direction with more of them, for the orders to a
/// busy worker, its reports and the records of its work in the store.
constexpr double kBytesPerWorker = 2'000;
/// Part of an owner's link for these.
constexpr double kSchedulingShare = 0.4;

} // namespace

void CheckNodeSettings(const NodeSettings& aSettings, Faults& aFaults)
{
  CheckNotEmpty(aSettings.mName, "$.name", aFaults);
  CheckNotEmpty(aSettings.mDataCentre, "$.dataCentre", aFaults);
  CheckEndpoint(aSettings.mCallerAddress, "$.callerAddress", aFaults);
  CheckEndpoint(aSettings.mReadyAddress, "$.readyAddress", aFaults);
  CheckEndpoint(aSettings.mStoreAddress, "$.storeAddress", aFaults);
  if (aSettings.mInternalPorts.size() < kInternalPortCount) {
    aFaults.push_back({ "$.internalPorts",
                        std::to_string(aSettings.mInternalPorts.size()),
                        "2 ports" });
  }
  CheckEndpoint(aSettings.mInternalIp + ":1", "$.internalIp", aFaults);
  if (aSettings.mWorkersPerShard == 0) {
    aFaults.push_back({ "$.workersPerShard", "0", "1 or more" });
  }
  if (aSettings.mProcessors <= 0) {
    aFaults.push_back(
      { "$.processors", std::to_string(aSettings.mProcessors), "more than 0" });
  }
  if (aSettings.mLinkMbps <= 0) {
    aFaults.push_back(
      { "$.linkMbps", std::to_string(aSettings.mLinkMbps), "more than 0" });
  }
  if (aSettings.mStoreWritesPerSecond <= 0) {
    aFaults.push_back({ "$.storeWritesPerSecond",
                        std::to_string(aSettings.mStoreWritesPerSecond),
                        "more than 0" });
  }
  CheckMemoryLimit(aSettings.mMemoryMb, "$.memoryMb", aFaults);
  if (aSettings.mBounds.mFarFactor < 1) {
    aFaults.push_back({ "$.bounds.farFactor",
                        std::to_string(aSettings.mBounds.mFarFactor),
                        "1 or more" });
  }
  if (aSettings.mBounds.mGraceSeconds <= 0) {
    aFaults.push_back({ "$.bounds.graceSeconds",
                        std::to_string(aSettings.mBounds.mGraceSeconds),
                        "more than 0" });
  }
}

Duration LeaseTtlOf(const NodeSettings& aSettings)
{
  // The store may also require a longer lease.
  constexpr Duration kMinLeaseTtl{ 1'500 };
  return std::max(kMinLeaseTtl, aSettings.mLeastLeaseMs);
}

std::size_t OccurrenceMemoryOf(const NodeSettings& aSettings)
{
  return aSettings.mMemoryMb * kBytesPerMb / kOccurrencePart;
}

std::uint32_t WorkersPerShardOf(const NodeSettings& aSettings)
{
  const double link = LinkBytesPerSecond(aSettings.mLinkMbps);
  const double carried = kSchedulingShare * link / kBytesPerWorker;
  const double least = std::min<double>(carried, aSettings.mWorkersPerShard);
  return std::max(1U, static_cast<std::uint32_t>(least));
}

DispatchBounds DispatchBoundsOf(const NodeSettings& aSettings)
{
  const NodeBounds& from = aSettings.mBounds;
  DispatchBounds bounds;
  bounds.mMaxLease = from.mMaxLeaseMs;
  bounds.mStopTimeout = from.mStopTimeoutMs;
  bounds.mOwnerGracePeriod = LeaseTtlOf(aSettings) + kGracePeriod;
  bounds.mLeaseLimit =
    std::max(kMinLeaseLimit, kOwnLeasesPerLimit * LeaseTtlOf(aSettings));
  bounds.mMaxOverTarget = from.mHarmMs;
  bounds.mFarFactor = from.mFarFactor;
  bounds.mStatus =
    Duration(static_cast<std::int64_t>(from.mStatusSeconds * kMsPerSecond));
  return bounds;
}

} // namespace verbenacroft
