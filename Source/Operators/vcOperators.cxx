#include "vcOperators.h"

#include <iostream>

namespace verbenacroft {

Backer& AddBacker(Configuration& aConfiguration,
                  const std::string& aName,
                  std::int64_t aSharePercent)
{
  auto& backer = aConfiguration.mBackers.emplace_back();
  backer.mName = aName;
  backer.mSharePercent = aSharePercent;
  return backer;
}

DataCentre& AddDataCentre(Configuration& aConfiguration,
                          const std::string& aName,
                          const std::string& aRegion,
                          std::int64_t aRouters)
{
  auto& dataCentre = aConfiguration.mDataCentres.emplace_back();
  dataCentre.mName = aName;
  dataCentre.mRegion = aRegion;
  dataCentre.mRouters = aRouters;
  return dataCentre;
}

Service& AddService(Configuration& aConfiguration,
                    const std::string& aName,
                    const std::string& aBacker,
                    const Resources& aSize)
{
  auto& service = aConfiguration.mServices.emplace_back();
  service.mName = aName;
  service.mBacker = aBacker;
  service.mResources = aSize;
  return service;
}

void RunEverywhere(const Configuration& aConfiguration, Service& aService)
{
  aService.mDataCentres.clear();
  for (const auto& dataCentre : aConfiguration.mDataCentres) {
    aService.mDataCentres.push_back(dataCentre.mName);
  }
}

void SetPolicy(Configuration& aConfiguration, const Policy& aPolicy)
{
  aConfiguration.mPolicies = { aPolicy };
}

int PrintConfiguration(const Configuration& aConfiguration, std::ostream& aOut)
{
  const Faults faults = CheckConfiguration(aConfiguration, std::nullopt);
  for (const auto& fault : faults) {
    std::cerr << Describe(fault) << "\n";
  }
  if (!faults.empty()) {
    return 2;
  }
  aOut << Encode(aConfiguration) << "\n";
  return 0;
}

} // namespace verbenacroft
