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
/// by the second, a tenth of the first, with each report below, so that about
/// one report in eleven is above it.
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
  double mBestEffortCpu = 0;
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
    const DispatchTask* task = FindTask(aShard, key);
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
      summary.mBestEffortCpu += measured;
      const std::uint64_t kind = InterferenceKindOf(step.mImage);
      aShard.mBestEffortKinds.insert(kind);
      summary.mBestEffort.push_back({ kind, measured / CapacityOf(aWorker) });
    }
  }
  return summary;
}

/// Predicted load that best-effort tasks add to a serving image. The
/// interference model is used with added load in place of slow-down.
double PredictAddedLoad(const DispatchShard& aShard,
                        std::uint64_t aServingKind,
                        std::span<const Neighbour> aBestEffort,
                        TimePoint aNow)
{
  return PredictSlowdown(aShard.mInterference,
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
  const double error = aLatencyRatio - aProfile.mMinLatencyRatio;
  aProfile.mMinLatencyRatio +=
    (error < 0 ? kMinRatioFallRate : kMinRatioRiseRate) * error;
  if (aAddedLoad >= kMinAddedLoad) {
    return;
  }
  const double load = LoadAtLatencyRatio(aProfile, aLatencyRatio);
  aProfile.mMeanLoad += kProfileRate * (load - aProfile.mMeanLoad);
  aProfile.mHighLoad +=
    load > aProfile.mHighLoad ? kHighLoadRise : -kHighLoadFall;
  aProfile.mHighLoad = std::clamp(aProfile.mHighLoad, aProfile.mMeanLoad, 1.0);
}

/// Mean over all best-effort images of the load that tasks of the image would
/// add to a serving image if they used all processors of a worker.
double MeanAddedByImages(const DispatchShard& aShard,
                         std::uint64_t aServingKind,
                         TimePoint aNow)
{
  double sum = 0;
  for (const auto kind : aShard.mBestEffortKinds) {
    const Neighbour wholeWorker{ kind, 1 };
    sum += PredictAddedLoad(aShard, aServingKind, { &wholeWorker, 1 }, aNow);
  }
  const auto count = static_cast<double>(aShard.mBestEffortKinds.size());
  return count > 0 ? sum / count : 0;
}

/// Estimates how much of their processors the serving tasks use.
void UpdateServingUsage(DispatchShard& aShard,
                        DispatchWorker& aWorker,
                        const ReportSummary& aSummary)
{
  ServingCpuUsage usage;
  for (const auto& row : aSummary.mServing) {
    usage.mRequestedCpu += row.mCpu;
    if (row.mLatencyRatio <= 0) {
      usage.mCurrentCpu += row.mCpu * kUnknownLoad;
      usage.mExpectedCpu += row.mCpu * kUnknownLoad;
      continue;
    }
    const ServingProfile& profile = aShard.mServingProfiles.at(row.mImage);
    const double added = aWorker.mServingLatencies.at(row.mImage).mAddedLoad;
    const double own = std::max(
      LoadAtLatencyRatio(profile, row.mLatencyRatio) - added, kLoadAtMinRatio);
    usage.mCurrentCpu += row.mCpu * own;
    usage.mExpectedCpu += row.mCpu * std::max(own, profile.mMeanLoad);
  }
  aWorker.mServingCpuUsage = usage;
}

/// Sum and number of the loads of an image's tasks.
struct LoadSum
{
  double mSum = 0;
  int mCount = 0;
};

/// Learns how much load the best-effort tasks of the report add to each serving
/// image: the difference between the mean load of its tasks in the report and
/// the learned mean load.
void LearnImageInterference(DispatchShard& aShard,
                            const ReportSummary& aSummary,
                            const std::map<std::string, LoadSum>& aLoads,
                            TimePoint aNow)
{
  for (const auto& [image, loads] : aLoads) {
    ServingProfile& profile = aShard.mServingProfiles.at(image);
    LearnInterference(aShard.mInterference,
                      InterferenceKindOf(image),
                      aSummary.mBestEffort,
                      loads.mSum / loads.mCount - profile.mMeanLoad,
                      aNow);
    if (aNow - profile.mMeanAddedLoadAt >= kMeanAddedInterval) {
      profile.mMeanAddedLoad =
        MeanAddedByImages(aShard, InterferenceKindOf(image), aNow);
      profile.mMeanAddedLoadAt = aNow;
    }
  }
}

/// Processors requested by tasks that neither serve nor are best-effort, in
/// thousandths. Runs to stop are left out: they end too soon for a change of
/// the others' throttles.
double OrdinaryCpu(const DispatchWorker& aWorker)
{
  return static_cast<double>(aWorker.mOrdinaryCpu);
}

} // namespace

double LoadAtLatencyRatio(const ServingProfile& aProfile, double aLatencyRatio)
{
  const double idle = aProfile.mMinLatencyRatio * (1 - kLoadAtMinRatio);
  return aLatencyRatio <= idle ? 0 : 1 - idle / aLatencyRatio;
}

double WorstLatencyRatio(const DispatchWorker& aWorker)
{
  double worst = 0;
  for (const auto& [image, latency] : aWorker.mServingLatencies) {
    worst = std::max(worst, latency.mWorstRatio);
  }
  return worst;
}

BestEffortNeeds BestEffortNeedsOf(const StepSpec& aStep)
{
  return { InterferenceKindOf(aStep.mImage),
           static_cast<double>(aStep.mNeeds.mMilliCpu) };
}

double AddedLoad(const DispatchShard& aShard,
                 const ServingLatency& aServing,
                 const BestEffortNeeds& aNeeds,
                 const DispatchWorker& aWorker,
                 TimePoint aNow)
{
  const Neighbour neighbour{ aNeeds.mKind, aNeeds.mCpu / CapacityOf(aWorker) };
  return PredictAddedLoad(aShard, aServing.mKind, { &neighbour, 1 }, aNow);
}

void LearnFromReport(DispatchShard& aShard,
                     DispatchWorker& aWorker,
                     const std::vector<RunningTask>& aRunning,
                     TimePoint aNow)
{
  const ReportSummary summary = Summarize(aShard, aWorker, aRunning, aNow);
  aWorker.mServingLatencies.clear();
  std::map<std::string, LoadSum> loads;
  for (const auto& row : summary.mServing) {
    if (row.mLatencyRatio <= 0) {
      continue;
    }
    ServingProfile initial;
    initial.mMinLatencyRatio = row.mLatencyRatio;
    initial.mMeanLoad = kUnknownLoad;
    initial.mHighLoad = kUnknownLoad;
    const ServingProfile& profile =
      aShard.mServingProfiles.try_emplace(row.mImage, initial).first->second;
    ServingLatency& latency = aWorker.mServingLatencies[row.mImage];
    const double load = LoadAtLatencyRatio(profile, row.mLatencyRatio);
    latency.mKind = InterferenceKindOf(row.mImage);
    latency.mWorstRatio = std::max(latency.mWorstRatio, row.mLatencyRatio);
    latency.mLoad = std::max(latency.mLoad, load);
    loads[row.mImage].mSum += load;
    ++loads[row.mImage].mCount;
  }
  for (auto& [image, latency] : aWorker.mServingLatencies) {
    latency.mAddedLoad =
      PredictAddedLoad(aShard, latency.mKind, summary.mBestEffort, aNow);
  }
  UpdateServingUsage(aShard, aWorker, summary);
  // If the processors are fully used, latencies rise for lack of processors and
  // show nothing about the images.
  const bool isFull = aWorker.mServingCpuUsage.mCurrentCpu +
                        OrdinaryCpu(aWorker) + summary.mBestEffortCpu >
                      CapacityOf(aWorker) * kMaxCpuUse;
  if (isFull) {
    return;
  }
  for (const auto& row : summary.mServing) {
    if (row.mLatencyRatio > 0) {
      LearnProfile(aShard.mServingProfiles.at(row.mImage),
                   row.mLatencyRatio,
                   aWorker.mServingLatencies.at(row.mImage).mAddedLoad);
    }
  }
  if (!summary.mBestEffort.empty()) {
    LearnImageInterference(aShard, summary, loads, aNow);
  }
}

double BestEffortCpuLimit(const DispatchWorker& aWorker)
{
  return CapacityOf(aWorker) * kMaxCpuUse - OrdinaryCpu(aWorker) -
         aWorker.mServingCpuUsage.mCurrentCpu;
}

std::int64_t FreeBestEffortCpu(const DispatchWorker& aWorker)
{
  // Serving tasks that were placed after the last report are not part of it.
  const double unreported = static_cast<double>(aWorker.mServingCpu) -
                            aWorker.mServingCpuUsage.mRequestedCpu;
  const double serving = aWorker.mServingCpuUsage.mExpectedCpu +
                         std::max(0.0, unreported) * kUnknownLoad;
  return static_cast<std::int64_t>(CapacityOf(aWorker) * kMaxPlacedCpuUse -
                                   OrdinaryCpu(aWorker) - serving) -
         aWorker.mBestEffortCpu;
}

BestEffortEffect BestEffortEffectOf(const DispatchShard& aShard,
                                    const DispatchWorker& aWorker,
                                    const BestEffortNeeds& aNeeds,
                                    TimePoint aNow)
{
  const double load = aNeeds.mCpu / CapacityOf(aWorker);
  BestEffortEffect effect;
  for (const auto& [image, latency] : aWorker.mServingLatencies) {
    const ServingProfile& profile = aShard.mServingProfiles.at(image);
    effect.mMeanEffect =
      std::max(effect.mMeanEffect, profile.mMeanAddedLoad * load);
    const double added = AddedLoad(aShard, latency, aNeeds, aWorker, aNow);
    if (added < kMinAddedLoad) {
      continue;
    }
    effect.mAddedLoad = std::max(effect.mAddedLoad, added);
    const double before =
      std::max(latency.mLoad, profile.mHighLoad + latency.mAddedLoad);
    const double maxLoad = LoadAtLatencyRatio(profile, kMaxExpectedRatio);
    effect.mIsOverLimit =
      effect.mIsOverLimit || before + latency.mPlacedLoad + added > maxLoad;
  }
  return effect;
}

void RecordBestEffortPlacement(const DispatchShard& aShard,
                               DispatchWorker& aWorker,
                               const BestEffortNeeds& aNeeds,
                               TimePoint aNow)
{
  for (auto& [image, latency] : aWorker.mServingLatencies) {
    latency.mPlacedLoad += AddedLoad(aShard, latency, aNeeds, aWorker, aNow);
  }
}

} // namespace verbenacroft
