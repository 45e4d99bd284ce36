#include "vcDispatchSharing.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Filling tasks that together get less than this share of what they want
/// show that their worker has no processors left. Declared needs are off by
/// a third at times, so the bound is well below that.
constexpr double kStarvedShare = 0.5;
/// A measurement covers the last half second of a task.
constexpr Duration kMeasuredAfter{ 1'200 };
/// Weight of a new observation of what serving tasks use.
constexpr double kUseRate = 0.5;
/// The estimate rises at once where a serving task comes close to its target
/// and falls slowly with each calm report: a full worker is seen only in its
/// response times, and costs more than an idle processor.
constexpr double kUseRise = 0.1;
constexpr double kUseFall = 0.01;
constexpr double kLeastUse = 0.5;
constexpr double kMostUse = 1.0;
constexpr double kCloseToTarget = 0.9;
/// Weight of a new measurement of a serving task that runs alone.
constexpr double kAloneRate = 0.1;
/// What a pair of images that was never seen together is taken to add, for a
/// whole worker of the filling image.
constexpr double kPriorCoefficient = 1.0;

double CapacityOf(const DispatchWorker& aWorker)
{
  return static_cast<double>(
    std::max<std::int64_t>(aWorker.mEntry.mCapacity.mMilliCpu, 1));
}

/// Shares beyond this say no more about which neighbour is to blame.
constexpr double kMostLearnedShare = 4;

/// Shares of target of the tasks of one image on a worker.
struct ImageShares
{
  double mSum = 0;
  int mCount = 0;
};

/// What the rows of a report say, summed up.
struct Mix
{
  double mWanted = 0;
  double mGot = 0;
  std::vector<Neighbour> mFilling;
  /// Image and share of its target, for each serving task.
  std::vector<std::pair<std::string, double>> mServing;
};

Mix MixOf(DispatchShard& aShard,
          const DispatchWorker& aWorker,
          const std::vector<RunningTask>& aRunning,
          TimePoint aNow)
{
  Mix mix;
  for (const auto& row : aRunning) {
    const TaskId key = row.mTask;
    const TaskSlot* task = FindTask(aShard, key);
    if (task == nullptr || task->mWorker != aWorker.mEntry.mWorker) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    const bool isMeasured = aNow - task->mConfirmedAt > kMeasuredAfter;
    if (step.mTargetMs > 0 && isMeasured) {
      mix.mServing.emplace_back(step.mImage,
                                static_cast<double>(row.mMeasured) /
                                  static_cast<double>(step.mTargetMs));
    }
    if (!step.mIsFilling) {
      continue;
    }
    const auto got = static_cast<double>(row.mMeasured);
    mix.mFilling.push_back({ KindOf(step.mImage), got / CapacityOf(aWorker) });
    if (isMeasured && task->mPacePercent == 100) {
      mix.mWanted += static_cast<double>(step.mNeeds.mMilliCpu);
      mix.mGot += got;
    }
  }
  return mix;
}

/// What serving tasks use follows from what is left for those that fill.
void LearnUse(DispatchWorker& aWorker, const Mix& aMix)
{
  const auto serving = static_cast<double>(aWorker.mServingCpu);
  if (serving <= 0 || aMix.mWanted <= 0) {
    return;
  }
  const double plain =
    static_cast<double>(aWorker.mUsed.mMilliCpu - aWorker.mServingCpu);
  const double left = CapacityOf(aWorker) - plain - aMix.mGot;
  const double observed = std::clamp(left / serving, kLeastUse, kMostUse);
  const bool isStarved = aMix.mGot < kStarvedShare * aMix.mWanted;
  double& use = aWorker.mServingUse;
  const bool isClose =
    std::any_of(aMix.mServing.begin(),
                aMix.mServing.end(),
                [](const auto& aRow) { return aRow.second > kCloseToTarget; });
  if (isStarved) {
    use += kUseRate * (observed - use);
  }
  use += isClose ? kUseRise : -kUseFall;
  use = std::clamp(use, kLeastUse, kMostUse);
}

} // namespace

double AddedShare(const DispatchShard& aShard,
                  const std::string& aServingImage,
                  const StepSpec& aFilling,
                  const DispatchWorker& aWorker,
                  TimePoint aNow)
{
  const double load =
    static_cast<double>(aFilling.mNeeds.mMilliCpu) / CapacityOf(aWorker);
  return Predict(aShard.mInterference,
                 KindOf(aServingImage),
                 { { KindOf(aFilling.mImage), load } },
                 kPriorCoefficient,
                 0,
                 aNow);
}

void LearnSharing(DispatchShard& aShard,
                  DispatchWorker& aWorker,
                  const std::vector<RunningTask>& aRunning,
                  TimePoint aNow)
{
  const Mix mix = MixOf(aShard, aWorker, aRunning, aNow);
  LearnUse(aWorker, mix);
  aWorker.mServingShares.clear();
  aWorker.mAddedShares.clear();
  std::map<std::string, ImageShares> images;
  for (const auto& [image, share] : mix.mServing) {
    double& worst = aWorker.mServingShares[image];
    worst = std::max(worst, share);
    images[image].mSum += std::min(share, kMostLearnedShare);
    ++images[image].mCount;
  }
  for (const auto& [image, shares] : images) {
    const double mean = shares.mSum / shares.mCount;
    double& alone = aShard.mAloneShares.try_emplace(image, mean).first->second;
    if (mix.mFilling.empty()) {
      alone += kAloneRate * (mean - alone);
      continue;
    }
    Learn(
      aShard.mInterference, KindOf(image), mix.mFilling, mean - alone, aNow);
  }
}

std::int64_t FillingRoom(const DispatchWorker& aWorker)
{
  const double plain =
    static_cast<double>(aWorker.mUsed.mMilliCpu - aWorker.mServingCpu);
  const double serving =
    static_cast<double>(aWorker.mServingCpu) * aWorker.mServingUse;
  return static_cast<std::int64_t>(CapacityOf(aWorker) - plain - serving) -
         aWorker.mFillingCpu;
}

double ExpectedShare(const DispatchShard& aShard,
                     const DispatchWorker& aWorker,
                     const StepSpec& aFilling,
                     TimePoint aNow)
{
  double worst = 0;
  for (const auto& [image, share] : aWorker.mServingShares) {
    const auto placed = aWorker.mAddedShares.find(image);
    const double added =
      (placed == aWorker.mAddedShares.end() ? 0 : placed->second) +
      AddedShare(aShard, image, aFilling, aWorker, aNow);
    worst = std::max(worst, share + added);
  }
  return worst;
}

void NotePlacedFilling(const DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const StepSpec& aFilling,
                       TimePoint aNow)
{
  for (const auto& [image, share] : aWorker.mServingShares) {
    aWorker.mAddedShares[image] +=
      AddedShare(aShard, image, aFilling, aWorker, aNow);
  }
}

} // namespace verbenacroft
