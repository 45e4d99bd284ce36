#include "vcNodeSettings.h"

namespace verbenacroft {

namespace {

/// Owner grace period after the end of the lease: how long an owner that can't
/// renew its lease continues with jobs that it already has. The next owner
/// waits for this time to pass where it can't query the workers.
constexpr Duration kGracePeriod{ 5'000 };
constexpr std::size_t kInternalPortCount = 2;
constexpr double kMsPerSecond = 1'000;

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

DispatchBounds DispatchBoundsOf(const NodeSettings& aSettings)
{
  const NodeBounds& from = aSettings.mBounds;
  DispatchBounds bounds;
  bounds.mMaxLease = from.mMaxLeaseMs;
  bounds.mStopTimeout = from.mStopTimeoutMs;
  bounds.mOwnerGracePeriod = LeaseTtlOf(aSettings) + kGracePeriod;
  bounds.mMaxOverTarget = from.mHarmMs;
  bounds.mStatus =
    Duration(static_cast<std::int64_t>(from.mStatusSeconds * kMsPerSecond));
  return bounds;
}

} // namespace verbenacroft
