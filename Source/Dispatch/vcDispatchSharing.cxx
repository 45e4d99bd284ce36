#include "vcDispatchSharing.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Time after a start before a serving task's latency is used, because a
/// measurement covers the last half second of a task.
constexpr Duration kMeasurementDelay{ 1'200 };
/// Weight of a new report in the mean load of a serving image.
constexpr double kProfileRate = 0.03;
/// Weights of a new report in the minimum latency ratio, which follows lower
/// reports quickly and rises only slowly.
constexpr double kMinRatioFallRate = 0.3;
constexpr double kMinRatioRiseRate = 0.0005;
/// Assumed load of a serving task at its minimum latency ratio.
constexpr double kLoadAtMinRatio = 0.2;
/// Assumed load of a serving task that has not been measured yet.
constexpr double kUnknownLoad = 0.5;
/// Fraction of a worker's processors that may be in use before latencies rise
/// for lack of processors.
constexpr double kMaxCpuUse = 0.94;
/// The same for placement; lower, because serving load may rise while a task
/// runs.
constexpr double kMaxPlacedCpuUse = 0.89;
/// No best-effort task is added where it would raise a serving task above this
/// latency ratio.
constexpr double kMaxExpectedRatio = 0.8;
/// Assumed load that a best-effort image adds to a serving image if the two
/// were never seen together and the best-effort image uses a whole worker.
constexpr double kPriorCoefficient = 1.5;
/// The high load rises by the first amount with each report above it, and falls
/// by the second, a tenth of it, with each report below.
constexpr double kHighLoadRise = 0.02;
constexpr double kHighLoadFall = 0.002;
/// Minimum time between updates of the mean added load over all best-effort
/// images, which changes slowly.
constexpr Duration kMeanAddedInterval{ 500 };

double CapacityOf(const DispatchWorker& aWorker)
{
  return static_cast<double>(
    std::max<std::int64_t>(aWorker.mEntry.mCapacity.mMilliCpu, 1));
}

/// A serving task in a report.
struct ServingRow
{
  const std::string& mImage;
  double mCpu = 0;
  /// Tail latency divided by its target; 0 if it was not measured long enough.
  double mLatencyRatio = 0;
};

/// Serving and best-effort tasks in a report.
struct ReportSummary
{
  /// Processors that best-effort tasks use, in thousandths.
  double mFillingCpu = 0;
  std::vector<Neighbour> mBestEffort;
  std::vector<ServingRow> mServing;
};

ReportSummary Summarize(DispatchShard& aShard,
                        const DispatchWorker& aWorker,
                        const std::vector<RunningTask>& aRunning,
                        TimePoint aNow)
{
  ReportSummary summary;
  for (const auto& row : aRunning) {
    const TaskId key = row.mTask;
    const TaskSlot* task = FindTask(aShard, key);
    if (task == nullptr || task->mWorker != aWorker.mEntry.mWorker) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    const auto measured = static_cast<double>(row.mMeasured);
    if (step.mTargetMs > 0) {
      const bool isMeasured = aNow - task->mConfirmedAt > kMeasurementDelay;
      summary.mServing.push_back(
        { step.mImage,
          static_cast<double>(step.mNeeds.mMilliCpu),
          isMeasured ? measured / static_cast<double>(step.mTargetMs) : 0 });
    }
    if (step.mIsFilling) {
      summary.mFillingCpu += measured;
      const std::uint64_t kind = KindOf(step.mImage);
      aShard.mFillingKinds.insert(kind);
      summary.mBestEffort.push_back({ kind, measured / CapacityOf(aWorker) });
    }
  }
  return summary;
}

/// Predicted load that best-effort tasks add to a serving image.
double PredictAddedLoad(const DispatchShard& aShard,
                        std::uint64_t aServingKind,
                        std::span<const Neighbour> aBestEffort,
                        TimePoint aNow)
{
  return Predict(aShard.mInterference,
                 aServingKind,
                 aBestEffort,
                 kPriorCoefficient,
                 0,
                 aNow);
}

/// Updates the profile of a serving image from the latency ratio of a task. The
/// loads are updated only while best-effort tasks add hardly any load.
void LearnProfile(ServingProfile& aProfile,
                  double aLatencyRatio,
                  double aAddedLoad)
{
  const double error = aLatencyRatio - aProfile.mLeastShare;
  aProfile.mLeastShare +=
    (error < 0 ? kMinRatioFallRate : kMinRatioRiseRate) * error;
  if (aAddedLoad >= kLeastAdded) {
    return;
  }
  const double load = LoadAt(aProfile, aLatencyRatio);
  aProfile.mMeanLoad += kProfileRate * (load - aProfile.mMeanLoad);
  aProfile.mHighLoad +=
    load > aProfile.mHighLoad ? kHighLoadRise : -kHighLoadFall;
  aProfile.mHighLoad = std::clamp(aProfile.mHighLoad, aProfile.mMeanLoad, 1.0);
}

/// Mean over all best-effort images of the load that a whole worker of the
/// image would add to a serving image.
double MeanAddedByImages(const DispatchShard& aShard,
                         std::uint64_t aServingKind,
                         TimePoint aNow)
{
  double sum = 0;
  for (const auto kind : aShard.mFillingKinds) {
    const Neighbour wholeWorker{ kind, 1 };
    sum += PredictAddedLoad(aShard, aServingKind, { &wholeWorker, 1 }, aNow);
  }
  const auto count = static_cast<double>(aShard.mFillingKinds.size());
  return count > 0 ? sum / count : 0;
}

/// Estimates how much of their processors the serving tasks use.
void UpdateServingUsage(DispatchShard& aShard,
                        DispatchWorker& aWorker,
                        const ReportSummary& aSummary)
{
  ServingUse usage;
  for (const auto& row : aSummary.mServing) {
    usage.mReported += row.mCpu;
    if (row.mLatencyRatio <= 0) {
      usage.mNow += row.mCpu * kUnknownLoad;
      usage.mExpected += row.mCpu * kUnknownLoad;
      continue;
    }
    const ServingProfile& profile = aShard.mServingProfiles.at(row.mImage);
    const double added = aWorker.mServingShares.at(row.mImage).mAdded;
    const double own =
      std::max(LoadAt(profile, row.mLatencyRatio) - added, kLoadAtMinRatio);
    usage.mNow += row.mCpu * own;
    usage.mExpected += row.mCpu * std::max(own, profile.mMeanLoad);
  }
  aWorker.mServingUse = usage;
}

/// Sum and number of the loads of an image's tasks.
struct LoadSum
{
  double mSum = 0;
  int mCount = 0;
};

/// Learns how much load the best-effort tasks of the report add to each serving
/// image.
void LearnInterference(DispatchShard& aShard,
                       const ReportSummary& aSummary,
                       const std::map<std::string, LoadSum>& aLoads,
                       TimePoint aNow)
{
  for (const auto& [image, loads] : aLoads) {
    ServingProfile& profile = aShard.mServingProfiles.at(image);
    Learn(aShard.mInterference,
          KindOf(image),
          aSummary.mBestEffort,
          loads.mSum / loads.mCount - profile.mMeanLoad,
          aNow);
    if (aNow - profile.mMeanAddedAt >= kMeanAddedInterval) {
      profile.mMeanAdded = MeanAddedByImages(aShard, KindOf(image), aNow);
      profile.mMeanAddedAt = aNow;
    }
  }
}

/// Processors requested by tasks that neither serve nor are best-effort, in
/// thousandths.
double OrdinaryCpu(const DispatchWorker& aWorker)
{
  return static_cast<double>(aWorker.mUsed.mMilliCpu - aWorker.mServingCpu);
}

} // namespace

double LoadAt(const ServingProfile& aProfile, double aLatencyRatio)
{
  const double idle = aProfile.mLeastShare * (1 - kLoadAtMinRatio);
  return aLatencyRatio <= idle ? 0 : 1 - idle / aLatencyRatio;
}

FillingNeeds FillingNeedsOf(const StepSpec& aStep)
{
  return { KindOf(aStep.mImage), static_cast<double>(aStep.mNeeds.mMilliCpu) };
}

double AddedLoad(const DispatchShard& aShard,
                 const ServingShare& aServing,
                 const FillingNeeds& aNeeds,
                 const DispatchWorker& aWorker,
                 TimePoint aNow)
{
  const Neighbour neighbour{ aNeeds.mKind, aNeeds.mCpu / CapacityOf(aWorker) };
  return PredictAddedLoad(aShard, aServing.mKind, { &neighbour, 1 }, aNow);
}

void LearnSharing(DispatchShard& aShard,
                  DispatchWorker& aWorker,
                  const std::vector<RunningTask>& aRunning,
                  TimePoint aNow)
{
  const ReportSummary summary = Summarize(aShard, aWorker, aRunning, aNow);
  aWorker.mServingShares.clear();
  std::map<std::string, LoadSum> loads;
  for (const auto& row : summary.mServing) {
    if (row.mLatencyRatio <= 0) {
      continue;
    }
    ServingProfile initial;
    initial.mLeastShare = row.mLatencyRatio;
    initial.mMeanLoad = kUnknownLoad;
    initial.mHighLoad = kUnknownLoad;
    const ServingProfile& profile =
      aShard.mServingProfiles.try_emplace(row.mImage, initial).first->second;
    ServingShare& latency = aWorker.mServingShares[row.mImage];
    const double load = LoadAt(profile, row.mLatencyRatio);
    latency.mKind = KindOf(row.mImage);
    latency.mWorst = std::max(latency.mWorst, row.mLatencyRatio);
    latency.mLoad = std::max(latency.mLoad, load);
    loads[row.mImage].mSum += load;
    ++loads[row.mImage].mCount;
  }
  for (auto& [image, latency] : aWorker.mServingShares) {
    latency.mAdded =
      PredictAddedLoad(aShard, latency.mKind, summary.mBestEffort, aNow);
  }
  UpdateServingUsage(aShard, aWorker, summary);
  // If processors are short, latencies reveal nothing about the images.
  const bool isFull =
    aWorker.mServingUse.mNow + OrdinaryCpu(aWorker) + summary.mFillingCpu >
    CapacityOf(aWorker) * kMaxCpuUse;
  if (isFull) {
    return;
  }
  for (const auto& row : summary.mServing) {
    if (row.mLatencyRatio > 0) {
      LearnProfile(aShard.mServingProfiles.at(row.mImage),
                   row.mLatencyRatio,
                   aWorker.mServingShares.at(row.mImage).mAdded);
    }
  }
  if (!summary.mBestEffort.empty()) {
    LearnInterference(aShard, summary, loads, aNow);
  }
}

double FillingRoomNow(const DispatchWorker& aWorker)
{
  return CapacityOf(aWorker) * kMaxCpuUse - OrdinaryCpu(aWorker) -
         aWorker.mServingUse.mNow;
}

std::int64_t FillingRoom(const DispatchWorker& aWorker)
{
  // Serving tasks that were placed after the last report are not part of it.
  const double unreported =
    static_cast<double>(aWorker.mServingCpu) - aWorker.mServingUse.mReported;
  const double serving =
    aWorker.mServingUse.mExpected + std::max(0.0, unreported) * kUnknownLoad;
  return static_cast<std::int64_t>(CapacityOf(aWorker) * kMaxPlacedCpuUse -
                                   OrdinaryCpu(aWorker) - serving) -
         aWorker.mFillingCpu;
}

FillingEffect EffectOf(const DispatchShard& aShard,
                       const DispatchWorker& aWorker,
                       const FillingNeeds& aNeeds,
                       TimePoint aNow)
{
  const double load = aNeeds.mCpu / CapacityOf(aWorker);
  FillingEffect effect;
  for (const auto& [image, latency] : aWorker.mServingShares) {
    const ServingProfile& profile = aShard.mServingProfiles.at(image);
    effect.mUsual = std::max(effect.mUsual, profile.mMeanAdded * load);
    const double added = AddedLoad(aShard, latency, aNeeds, aWorker, aNow);
    if (added < kLeastAdded) {
      continue;
    }
    effect.mAdded = std::max(effect.mAdded, added);
    const double before =
      std::max(latency.mLoad, profile.mHighLoad + latency.mAdded);
    const double maxLoad = LoadAt(profile, kMaxExpectedRatio);
    effect.mIsTooMuch =
      effect.mIsTooMuch || before + latency.mPlaced + added > maxLoad;
  }
  return effect;
}

void NotePlacedFilling(const DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const FillingNeeds& aNeeds,
                       TimePoint aNow)
{
  for (auto& [image, latency] : aWorker.mServingShares) {
    latency.mPlaced += AddedLoad(aShard, latency, aNeeds, aWorker, aNow);
  }
}

} // namespace verbenacroft
