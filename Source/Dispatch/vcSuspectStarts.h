#pragma once

/// Starts of suspects, which are tasks whose runs may have ended their workers:
/// each starts apart from runs that weren't seen at work yet. Internal to the
/// Dispatch library.

#include "vcPlacementCandidates.h"
#include "vcPlacementRound.h"

namespace verbenacroft {

/// Starts the waiting suspects, and then leaves the workers that are reserved
/// for others out of the round.
void StartSuspects(DispatchShard& aShard,
                   const std::vector<Candidate>& aCandidates,
                   Round& aRound,
                   DispatchActions& aActions);

} // namespace verbenacroft
