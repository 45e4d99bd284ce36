#pragma once

/// Interference between tasks that share a worker, learned from lagging
/// reports of slow-down. The slow-down of a task is modelled as the sum of
/// one coefficient for each kind of neighbour, weighted by its processors.

#include "vcFoundation.h"

#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenacroft {

/// A neighbour's kind (service or job) and its load on the worker.
struct Neighbour
{
  std::uint64_t mKind = 0;
  /// Share of the worker's processors, 0 to 1.
  double mLoad = 0;
};

/// What is known of one ordered pair (victim, aggressor).
struct PairEstimate
{
  /// Slow-down, as a fraction, for a whole worker of the aggressor's load.
  double mCoefficient = 0;
  /// Weight of the evidence; decays.
  double mEvidence = 0;
  TimePoint mUpdatedAt = kNever;
};

struct InterferenceModel
{
  /// Least weight of a new report. Low where many reports come: neighbours
  /// that are seen together are then told apart.
  double mLearningRate = 0.3;
  double mMaxCoefficient = 10;
  /// Added to the sum of squared loads, so that neighbours with little load,
  /// of which a report tells little, change little.
  double mLeastNorm = 0;
  std::unordered_map<std::uint64_t, PairEstimate> mPairs;
};

/// Kind of the tasks of the service or job named `aOwner`.
std::uint64_t KindOf(std::string_view aOwner);

/// Learns from a report: `aSlowdown` is 0 for an undisturbed run. The
/// neighbours are those at the time of the measurement, not of its arrival.
void Learn(InterferenceModel& aModel,
           std::uint64_t aVictim,
           const std::vector<Neighbour>& aNeighbours,
           double aSlowdown,
           TimePoint aMeasuredAt);

/// Expected slow-down of `aVictim` beside the neighbours. Pairs without
/// evidence count `aPrior`; `aCaution` times the uncertainty is added.
double Predict(const InterferenceModel& aModel,
               std::uint64_t aVictim,
               std::span<const Neighbour> aNeighbours,
               double aPrior,
               double aCaution,
               TimePoint aNow);

} // namespace verbenacroft
