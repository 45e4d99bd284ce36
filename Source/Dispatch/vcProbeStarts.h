#pragma once

/// Starts of probes (vcDispatchProbes.h) for the steps that the rest of a round
/// of starts left waiting. Internal to the Dispatch library.

#include "vcPlacementCandidates.h"
#include "vcPlacementRound.h"

namespace verbenacroft {

/// Starts probes for steps that no worker is predicted to suit, at a limited
/// rate.
void StartProbes(DispatchShard& aShard,
                 const std::vector<Candidate>& aCandidates,
                 Round& aRound,
                 DispatchActions& aActions);

} // namespace verbenacroft
