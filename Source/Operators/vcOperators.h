#pragma once

/// Public header of the operators' library: declare backers, data centres,
/// services and the policy in a program of one's own, and print them as the
/// configuration that verbenactl takes.
///
/// The printed format is JSON, described in docs/CONFIGURATION.md, so that a
/// program in another language can print the same.

#include "vcConfig.h"

#include <iosfwd>

namespace verbenacroft {

/// Adds an object and returns it, so that its members can be set.
Backer& AddBacker(Configuration& aConfiguration,
                  const std::string& aName,
                  std::int64_t aSharePercent);

DataCentre& AddDataCentre(Configuration& aConfiguration,
                          const std::string& aName,
                          const std::string& aRegion,
                          std::int64_t aRouters);

Service& AddService(Configuration& aConfiguration,
                    const std::string& aName,
                    const std::string& aBacker,
                    const Resources& aSize);

/// Lets the service run in every data centre declared so far.
void RunEverywhere(const Configuration& aConfiguration, Service& aService);

void SetPolicy(Configuration& aConfiguration, const Policy& aPolicy);

/// Checks the configuration and prints it.
/// @return 0, or 2 after printing the faults to standard error.
int PrintConfiguration(const Configuration& aConfiguration, std::ostream& aOut);

} // namespace verbenacroft
