#include "vcConfigModel.h"

#include <algorithm>
#include <set>

namespace verbenacroft {

Policy PolicyOf(const Configuration& aConfiguration)
{
  return aConfiguration.mPolicies.empty() ? Policy{}
                                          : aConfiguration.mPolicies.front();
}

bool IsDrained(const Configuration& aConfiguration, std::string_view aName)
{
  const auto* dataCentre = FindNamed(aConfiguration.mDataCentres, aName);
  return dataCentre == nullptr || dataCentre->mIsDrained;
}

std::vector<std::string> ShardsOf(const DataCentre& aDataCentre)
{
  std::vector<std::string> names;
  for (std::int64_t i = 0; i < aDataCentre.mShards; ++i) {
    names.push_back(aDataCentre.mName + "-" + std::to_string(i));
  }
  return names;
}

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool IsValidName(std::string_view aName)
{
  const auto isAllowed = [](char aByte) {
    return (aByte >= 'a' && aByte <= 'z') || (aByte >= '0' && aByte <= '9') ||
           aByte == '-';
  };
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), isAllowed);
}

template<class Number>
void CheckRange(Number aValue,
                Number aMin,
                Number aMax,
                const std::string& aPath,
                Faults& aFaults)
{
  if (aValue < aMin || aValue > aMax) {
    aFaults.push_back({ aPath,
                        boost::json::serialize(boost::json::value(aValue)),
                        boost::json::serialize(boost::json::value(aMin)) +
                          " to " +
                          boost::json::serialize(boost::json::value(aMax)) });
  }
}

template<class Object>
void CheckNames(const std::vector<Object>& aObjects,
                const std::string& aPath,
                Faults& aFaults)
{
  std::set<std::string> seen;
  for (std::size_t i = 0; i < aObjects.size(); ++i) {
    const std::string path = aPath + "[" + std::to_string(i) + "].name";
    const auto& name = aObjects[i].mName;
    if (!IsValidName(name)) {
      aFaults.push_back({ path,
                          "\"" + name + "\"",
                          "1 to 63 characters from a-z, 0-9 and '-'" });
    }
    if (!seen.insert(name).second) {
      aFaults.push_back(
        { path, "\"" + name + "\" more than once", "a unique name" });
    }
  }
}

void CheckBackers(const Configuration& aConfiguration, Faults& aFaults)
{
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < aConfiguration.mBackers.size(); ++i) {
    const auto& backer = aConfiguration.mBackers[i];
    const std::string path = "$.backers[" + std::to_string(i) + "]";
    CheckRange<std::int64_t>(
      backer.mSharePercent, 0, 100, path + ".sharePercent", aFaults);
    sum += backer.mSharePercent;
  }
  if (sum > 100) {
    aFaults.push_back({ "$.backers",
                        "shares of " + std::to_string(sum) + " percent",
                        "at most 100 percent in total" });
  }
}

void CheckDataCentres(const Configuration& aConfiguration, Faults& aFaults)
{
  constexpr std::int64_t kMaxShards = 1024;
  constexpr std::int64_t kMaxRouters = 256;
  for (std::size_t i = 0; i < aConfiguration.mDataCentres.size(); ++i) {
    const auto& dataCentre = aConfiguration.mDataCentres[i];
    const std::string path = "$.dataCentres[" + std::to_string(i) + "]";
    CheckRange<std::int64_t>(
      dataCentre.mShards, 1, kMaxShards, path + ".shards", aFaults);
    CheckRange<std::int64_t>(
      dataCentre.mRouters, 1, kMaxRouters, path + ".routers", aFaults);
  }
}

void CheckSize(const Resources& aSize,
               const std::optional<Resources>& aMaxInstanceCapacity,
               const std::string& aPath,
               Faults& aFaults)
{
  const bool isPositive = aSize.mMilliCpu > 0 && aSize.mMemoryMb > 0 &&
                          aSize.mAccelerators >= 0 && aSize.mSlots >= 0;
  if (!isPositive) {
    aFaults.push_back({ aPath,
                        Describe(aSize),
                        "positive milliCpu and memoryMb, no negative value" });
  }
  if (aMaxInstanceCapacity && !Fits(aSize, *aMaxInstanceCapacity)) {
    aFaults.push_back(
      { aPath,
        Describe(aSize),
        "at most the largest instance: " + Describe(*aMaxInstanceCapacity) });
  }
}

void CheckReferences(const Configuration& aConfiguration,
                     const Service& aService,
                     const std::string& aPath,
                     Faults& aFaults)
{
  if (FindNamed(aConfiguration.mBackers, aService.mBacker) == nullptr) {
    aFaults.push_back({ aPath + ".backer",
                        "\"" + aService.mBacker + "\"",
                        "the name of a declared backer" });
  }
  if (aService.mDataCentres.empty()) {
    aFaults.push_back(
      { aPath + ".dataCentres", "none", "one or more data centres" });
  }
  for (std::size_t i = 0; i < aService.mDataCentres.size(); ++i) {
    const auto& name = aService.mDataCentres[i];
    if (FindNamed(aConfiguration.mDataCentres, name) == nullptr) {
      aFaults.push_back({ aPath + ".dataCentres[" + std::to_string(i) + "]",
                          "\"" + name + "\"",
                          "the name of a declared data centre" });
    }
  }
}

void CheckServices(const Configuration& aConfiguration,
                   const std::optional<Resources>& aMaxInstanceCapacity,
                   Faults& aFaults)
{
  constexpr std::int64_t kMaxReplicas = 100'000;
  constexpr std::int64_t kMaxMillis = 600'000;
  for (std::size_t i = 0; i < aConfiguration.mServices.size(); ++i) {
    const auto& service = aConfiguration.mServices[i];
    const std::string path = "$.services[" + std::to_string(i) + "]";
    CheckReferences(aConfiguration, service, path, aFaults);
    CheckRange<std::int64_t>(
      service.mReplicas, 0, kMaxReplicas, path + ".replicas", aFaults);
    CheckSize(
      service.mResources, aMaxInstanceCapacity, path + ".resources", aFaults);
    CheckRange<std::int64_t>(
      service.mDeadline.count(), 1, kMaxMillis, path + ".deadline", aFaults);
    CheckRange<std::int64_t>(service.mHedgeAfter.count(),
                             0,
                             kMaxMillis,
                             path + ".hedgeAfter",
                             aFaults);
    CheckRange(service.mObjectivePercent,
               50.0,
               99.999,
               path + ".objectivePercent",
               aFaults);
  }
}

void CheckPolicies(const Configuration& aConfiguration, Faults& aFaults)
{
  constexpr double kMaxWeight = 10.0;
  if (aConfiguration.mPolicies.size() > 1) {
    aFaults.push_back({ "$.policies",
                        std::to_string(aConfiguration.mPolicies.size()),
                        "at most one policy" });
  }
  for (const auto& policy : aConfiguration.mPolicies) {
    const std::string path = "$.policies[0]";
    CheckRange(
      policy.mTailLatency, 0.0, kMaxWeight, path + ".tailLatency", aFaults);
    CheckRange(
      policy.mEvictions, 0.0, kMaxWeight, path + ".evictions", aFaults);
    CheckRange(
      policy.mThroughput, 0.0, kMaxWeight, path + ".throughput", aFaults);
  }
}

} // namespace

void CheckTransition(const Configuration& aFrom,
                     const Configuration& aTo,
                     Faults& aFaults)
{
  for (const auto& before : aFrom.mDataCentres) {
    const std::string path = "$.dataCentres[" + before.mName + "]";
    const auto* after = FindNamed(aTo.mDataCentres, before.mName);
    if (after == nullptr && !before.mIsDrained) {
      aFaults.push_back(
        { path, "removed while not drained", "removal after draining" });
    }
    if (after != nullptr && after->mShards != before.mShards) {
      aFaults.push_back(
        { path + ".shards",
          std::to_string(after->mShards),
          "the unchanged number, " + std::to_string(before.mShards) });
    }
  }
}

Faults CheckConfiguration(const Configuration& aConfiguration,
                          const std::optional<Resources>& aMaxInstanceCapacity)
{
  Faults faults;
  CheckNames(aConfiguration.mBackers, "$.backers", faults);
  CheckNames(aConfiguration.mDataCentres, "$.dataCentres", faults);
  CheckNames(aConfiguration.mServices, "$.services", faults);
  CheckNames(aConfiguration.mPolicies, "$.policies", faults);
  CheckBackers(aConfiguration, faults);
  CheckDataCentres(aConfiguration, faults);
  CheckServices(aConfiguration, aMaxInstanceCapacity, faults);
  CheckPolicies(aConfiguration, faults);
  return faults;
}

} // namespace verbenacroft
