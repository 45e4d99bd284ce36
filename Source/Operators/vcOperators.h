#pragma once

/// Public header of the Operators library. An operator's own program declares
/// backers, data centres, services and the policy with it and prints them as
/// the configuration that verbenactl reads.
///
/// The output is JSON, described in docs/CONFIGURATION.md, so that programs in
/// other languages can produce it as well.

#include "vcConfig.h"

#include <iosfwd>

namespace verbenacroft {

/// Adds a backer and returns it, so that its members can be set. The reference
/// is valid until the next backer is added.
/// @param aSharePercent share of the capacity in percent.
Backer& AddBacker(Configuration& aConfiguration,
                  const std::string& aName,
                  std::int64_t aSharePercent);

/// Adds a data centre and returns it, so that its members can be set. The
/// reference is valid until the next data centre is added.
DataCentre& AddDataCentre(Configuration& aConfiguration,
                          const std::string& aName,
                          const std::string& aRegion,
                          std::int64_t aRouters);

/// Adds a service and returns it, so that its members can be set. The reference
/// is valid until the next service is added.
/// @param aSize resources of one replica.
Service& AddService(Configuration& aConfiguration,
                    const std::string& aName,
                    const std::string& aBacker,
                    const Resources& aSize);

/// Allows the service to run in every data centre declared so far.
void RunEverywhere(const Configuration& aConfiguration, Service& aService);

/// Replaces the policy.
void SetPolicy(Configuration& aConfiguration, const Policy& aPolicy);

/// Checks the configuration and prints it to `aOut`. If it has faults, prints
/// these to standard error instead.
/// @return exit code: 0, or 2 if the configuration has faults.
int PrintConfiguration(const Configuration& aConfiguration, std::ostream& aOut);

} // namespace verbenacroft
