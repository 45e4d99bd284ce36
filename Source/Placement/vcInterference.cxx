#include "vcInterference.h"

#include "vcHash.h"

#include <algorithm>
#include <cmath>

namespace verbenacroft {

namespace {

/// Time in which the evidence of a pair halves.
constexpr double kEvidenceHalfLifeMs = 300'000.0;
/// Upper bound of the evidence of a pair, in reports.
constexpr double kMaxEvidence = 50.0;

std::uint64_t PairKey(std::uint64_t aVictim, std::uint64_t aAggressor)
{
  constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15ULL;
  return (aVictim * kMix) ^ (aAggressor + (aVictim >> 7));
}

double DecayedEvidence(const PairEstimate& aPair, TimePoint aNow)
{
  if (aPair.mEvidence <= 0) {
    return 0;
  }
  const auto age = static_cast<double>((aNow - aPair.mUpdatedAt).count());
  return aPair.mEvidence * std::exp2(-std::max(age, 0.0) / kEvidenceHalfLifeMs);
}

} // namespace

std::uint64_t InterferenceKindOf(std::string_view aOwner)
{
  return StableHash(aOwner);
}

void LearnInterference(InterferenceModel& aModel,
                       std::uint64_t aVictim,
                       const std::vector<Neighbour>& aNeighbours,
                       double aSlowdown,
                       TimePoint aMeasuredAt)
{
  double predicted = 0;
  double norm = aModel.mMinNorm;
  for (const auto& neighbour : aNeighbours) {
    const auto key = PairKey(aVictim, neighbour.mKind);
    predicted += aModel.mPairs[key].mCoefficient * neighbour.mLoad;
    norm += neighbour.mLoad * neighbour.mLoad;
  }
  if (aNeighbours.empty() || norm <= 0) {
    return;
  }
  const double error = aSlowdown - predicted;
  for (const auto& neighbour : aNeighbours) {
    auto& pair = aModel.mPairs[PairKey(aVictim, neighbour.mKind)];
    const double evidence = DecayedEvidence(pair, aMeasuredAt);
    // The first report of a pair has full weight; the weight of later reports
    // decreases to the learning rate.
    const double rate = std::max(aModel.mLearningRate, 1.0 / (1.0 + evidence));
    pair.mCoefficient += rate * error * neighbour.mLoad / norm;
    pair.mCoefficient =
      std::clamp(pair.mCoefficient, 0.0, aModel.mMaxCoefficient);
    pair.mEvidence = std::min(
      kMaxEvidence, evidence + neighbour.mLoad * neighbour.mLoad / norm);
    pair.mUpdatedAt = aMeasuredAt;
  }
}

double PredictSlowdown(const InterferenceModel& aModel,
                       std::uint64_t aVictim,
                       std::span<const Neighbour> aNeighbours,
                       double aPriorCoefficient,
                       double aUncertaintyWeight,
                       TimePoint aNow)
{
  double slowdown = 0;
  for (const auto& neighbour : aNeighbours) {
    const auto found = aModel.mPairs.find(PairKey(aVictim, neighbour.mKind));
    double coefficient = aPriorCoefficient;
    double evidence = 0;
    if (found != aModel.mPairs.end()) {
      evidence = DecayedEvidence(found->second, aNow);
      const double trust = evidence / (evidence + 1.0);
      coefficient =
        trust * found->second.mCoefficient + (1.0 - trust) * aPriorCoefficient;
    }
    const double uncertainty = aPriorCoefficient / std::sqrt(1.0 + evidence);
    slowdown +=
      (coefficient + aUncertaintyWeight * uncertainty) * neighbour.mLoad;
  }
  return slowdown;
}

} // namespace verbenacroft
