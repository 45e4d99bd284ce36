#pragma once

/// Interference between tasks that share a worker, learned from reports of
/// slow-down that arrive with a delay. The slow-down of a task is modelled as
/// the sum over its neighbours of a coefficient for the pair of kinds times
/// the neighbour's share of the processors.

#include "vcFoundation.h"

#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenacroft {

/// A task that runs on the same worker: its kind and its load.
struct Neighbour
{
  /// Result of InterferenceKindOf() for its service, job or image.
  std::uint64_t mKind = 0;
  /// Share of the worker's processors that it uses, 0 to 1.
  double mLoad = 0;
};

/// Estimate for one ordered pair of kinds (victim, aggressor).
struct PairEstimate
{
  /// Slow-down of the victim, as a fraction, if the aggressor used all
  /// processors of the worker.
  double mCoefficient = 0;
  /// Number of reports behind the coefficient, weighted by load; it decays
  /// exponentially with time.
  double mEvidence = 0;
  TimePoint mUpdatedAt = kNever;
};

/// Learned coefficients and the parameters of learning.
struct InterferenceModel
{
  /// Minimum weight of a new report. Use a low value where reports are
  /// frequent, so that the effects of neighbours that usually run together
  /// can be separated.
  double mLearningRate = 0.3;
  /// Upper bound of every coefficient.
  double mMaxCoefficient = 10;
  /// Added to the sum of squared loads, so that the coefficients of
  /// neighbours with a small load, about which a report says little, change
  /// little.
  double mMinNorm = 0;
  /// Estimates by a hash of the ordered pair of kinds.
  std::unordered_map<std::uint64_t, PairEstimate> mPairs;
};

/// Kind of the tasks of the service, job or image named `aOwner`: a stable hash
/// of the name.
std::uint64_t InterferenceKindOf(std::string_view aOwner);

/// Updates the coefficients from one report. `aSlowdown` is a fraction, 0 for
/// an undisturbed run. `aNeighbours` are the neighbours at the time of the
/// measurement, not at the time when the report arrived.
void LearnInterference(InterferenceModel& aModel,
                       std::uint64_t aVictim,
                       const std::vector<Neighbour>& aNeighbours,
                       double aSlowdown,
                       TimePoint aMeasuredAt);

/// Expected slow-down of `aVictim`, as a fraction, next to `aNeighbours`.
/// `aPriorCoefficient` is the coefficient of pairs without evidence. For each
/// pair, `aUncertaintyWeight` times the uncertainty of its coefficient is
/// added.
double PredictSlowdown(const InterferenceModel& aModel,
                       std::uint64_t aVictim,
                       std::span<const Neighbour> aNeighbours,
                       double aPriorCoefficient,
                       double aUncertaintyWeight,
                       TimePoint aNow);

} // namespace verbenacroft
