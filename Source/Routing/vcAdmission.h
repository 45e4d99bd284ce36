#pragma once

/// Admission control: when a router is overloaded, it refuses requests before
/// they are routed. Which ones depends on the share of the backer and the class
/// of the service.

#include "vcConfig.h"

#include <map>

namespace verbenacroft {

/// Admitted and refused requests of one router.
struct AdmissionState
{
  /// Maximum number of requests that are in flight or waiting in this router.
  std::int64_t mLimit = 1'024;
  /// Requests that are in flight or waiting.
  std::int64_t mTotal = 0;
  /// Requests that are in flight or waiting, by the name of the backer.
  std::map<std::string, std::int64_t> mByBacker;
  /// Requests refused since the start, by the name of the backer.
  std::map<std::string, std::uint64_t> mRefused;
};

/// Returns true if a request of `aService` may be admitted; otherwise counts it
/// as refused. Below a fraction of the limit every request is admitted. From
/// there on, a backer may not exceed its share of the limit, and from a higher
/// fraction on only critical services are admitted. At the limit every request
/// is refused.
bool Admit(AdmissionState& aState,
           const Configuration& aConfiguration,
           const Service& aService);

/// Counts a request that was admitted and is now in flight.
void RecordAdmission(AdmissionState& aState, const std::string& aBacker);

/// Removes a finished request from the counts.
void RecordCompletion(AdmissionState& aState, const std::string& aBacker);

} // namespace verbenacroft
