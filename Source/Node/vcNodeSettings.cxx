#include "vcNodeSettings.h"

namespace verbenacroft {

namespace {

/// How long an owner whose lease can't be renewed goes on with jobs that it
/// already has; the next owner waits it out where it can't ask the workers.
constexpr Duration kRunOn{ 5'000 };
constexpr std::size_t kInternalPorts = 2;
constexpr double kMsPerSecond = 1'000;

} // namespace

void CheckNodeSettings(const NodeSettings& aSettings, Faults& aFaults)
{
  CheckFilled(aSettings.mName, "$.name", aFaults);
  CheckFilled(aSettings.mDataCentre, "$.dataCentre", aFaults);
  CheckEndpoint(aSettings.mCallerAddress, "$.callerAddress", aFaults);
  CheckEndpoint(aSettings.mReadyAddress, "$.readyAddress", aFaults);
  CheckEndpoint(aSettings.mStoreAddress, "$.storeAddress", aFaults);
  if (aSettings.mInternalPorts.size() < kInternalPorts) {
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
  if (aSettings.mBounds.mGraceSeconds <= 0) {
    aFaults.push_back({ "$.bounds.graceSeconds",
                        std::to_string(aSettings.mBounds.mGraceSeconds),
                        "more than 0" });
  }
}

Duration LeaseTimeOf(const NodeSettings& aSettings)
{
  constexpr Duration kLeast{ 1'500 };
  return std::max(kLeast, aSettings.mLeastLeaseMs);
}

DispatchBounds DispatchBoundsOf(const NodeSettings& aSettings)
{
  const NodeBounds& from = aSettings.mBounds;
  DispatchBounds bounds;
  bounds.mMaxLease = from.mMaxLeaseMs;
  bounds.mStopTimeout = from.mStopTimeoutMs;
  bounds.mOwnerRunOn = LeaseTimeOf(aSettings) + kRunOn;
  bounds.mHarm = from.mHarmMs;
  bounds.mStatus =
    Duration(static_cast<std::int64_t>(from.mStatusSeconds * kMsPerSecond));
  return bounds;
}

} // namespace verbenacroft
