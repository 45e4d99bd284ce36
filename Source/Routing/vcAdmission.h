#pragma once

/// Admission of requests: early refusal under overload, by the backer's
/// share and by the class of the service.

#include "vcConfig.h"

#include <map>

namespace verbenacroft {

struct AdmissionState
{
  /// Requests in flight or waiting that this router takes at most.
  std::int64_t mLimit = 1'024;
  std::int64_t mTotal = 0;
  std::map<std::string, std::int64_t> mByBacker;
  std::map<std::string, std::uint64_t> mRefused;
};

/// True if a request may be taken. Below most of the limit everything is;
/// above it a backer keeps to its share, and standard services come last.
bool Admit(AdmissionState& aState,
           const Configuration& aConfiguration,
           const Service& aService);

void NoteAdmitted(AdmissionState& aState, const std::string& aBacker);

void NoteReleased(AdmissionState& aState, const std::string& aBacker);

} // namespace verbenacroft
