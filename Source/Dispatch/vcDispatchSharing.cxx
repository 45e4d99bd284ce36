#include "vcDispatchSharing.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// A measurement covers the last half second of a task.
constexpr Duration kMeasuredAfter{ 1'200 };
/// Weight of a new report in what is learned of an image's own load.
constexpr double kProfileRate = 0.03;
/// The least share follows low reports quickly and rises only slowly.
constexpr double kLeastShareFall = 0.3;
constexpr double kLeastShareRise = 0.0005;
/// Load that a task is taken to have when its response times are lowest.
constexpr double kLeastLoad = 0.2;
/// Load of a serving task that hasn't been measured yet.
constexpr double kUnknownLoad = 0.5;
/// Share of a worker's processors that may be in use before response times
/// suffer for the want of them.
constexpr double kFullUse = 0.94;
/// The same for placement: serving load rises while a task runs.
constexpr double kPlacedUse = 0.89;
/// Nothing that fills is added where a serving task would come so close to
/// its target.
constexpr double kMostExpectedShare = 0.8;
/// Load that a pair of images that was never seen together is taken to add,
/// for a whole worker of the filling image.
constexpr double kPriorCoefficient = 1.5;
/// The high load rises this much with each report above it, and falls by a
/// tenth of that with each below.
constexpr double kHighLoadRise = 0.02;
constexpr double kHighLoadFall = 0.002;
/// The mean over all images of filling tasks moves slowly.
constexpr Duration kMeanAddedInterval{ 500 };

double CapacityOf(const DispatchWorker& aWorker)
{
  return static_cast<double>(
    std::max<std::int64_t>(aWorker.mEntry.mCapacity.mMilliCpu, 1));
}

/// A serving task of a report.
struct ServingRow
{
  const std::string& mImage;
  double mCpu = 0;
  /// Share of its target; 0 if it wasn't measured long enough.
  double mShare = 0;
};

/// What the rows of a report say, summed up.
struct Mix
{
  double mFillingCpu = 0;
  std::vector<Neighbour> mFilling;
  std::vector<ServingRow> mServing;
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
    const auto measured = static_cast<double>(row.mMeasured);
    if (step.mTargetMs > 0) {
      const bool isMeasured = aNow - task->mConfirmedAt > kMeasuredAfter;
      mix.mServing.push_back(
        { step.mImage,
          static_cast<double>(step.mNeeds.mMilliCpu),
          isMeasured ? measured / static_cast<double>(step.mTargetMs) : 0 });
    }
    if (step.mIsFilling) {
      mix.mFillingCpu += measured;
      const std::uint64_t kind = KindOf(step.mImage);
      aShard.mFillingKinds.insert(kind);
      mix.mFilling.push_back({ kind, measured / CapacityOf(aWorker) });
    }
  }
  return mix;
}

double AddedBy(const DispatchShard& aShard,
               std::uint64_t aServingKind,
               std::span<const Neighbour> aFilling,
               TimePoint aNow)
{
  return Predict(
    aShard.mInterference, aServingKind, aFilling, kPriorCoefficient, 0, aNow);
}

void LearnProfile(ServingProfile& aProfile, double aShare, double aAdded)
{
  const double error = aShare - aProfile.mLeastShare;
  aProfile.mLeastShare +=
    (error < 0 ? kLeastShareFall : kLeastShareRise) * error;
  if (aAdded >= kLeastAdded) {
    return;
  }
  const double load = LoadAt(aProfile, aShare);
  aProfile.mMeanLoad += kProfileRate * (load - aProfile.mMeanLoad);
  aProfile.mHighLoad +=
    load > aProfile.mHighLoad ? kHighLoadRise : -kHighLoadFall;
  aProfile.mHighLoad = std::clamp(aProfile.mHighLoad, aProfile.mMeanLoad, 1.0);
}

double MeanAdded(const DispatchShard& aShard,
                 std::uint64_t aServingKind,
                 TimePoint aNow)
{
  double sum = 0;
  for (const auto kind : aShard.mFillingKinds) {
    const Neighbour whole{ kind, 1 };
    sum += AddedBy(aShard, aServingKind, { &whole, 1 }, aNow);
  }
  const auto count = static_cast<double>(aShard.mFillingKinds.size());
  return count > 0 ? sum / count : 0;
}

/// Takes in how much of their processors the serving tasks use.
void EstimateUse(DispatchShard& aShard,
                 DispatchWorker& aWorker,
                 const Mix& aMix)
{
  ServingUse use;
  for (const auto& row : aMix.mServing) {
    use.mReported += row.mCpu;
    if (row.mShare <= 0) {
      use.mNow += row.mCpu * kUnknownLoad;
      use.mExpected += row.mCpu * kUnknownLoad;
      continue;
    }
    const ServingProfile& profile = aShard.mServingProfiles.at(row.mImage);
    const double added = aWorker.mServingShares.at(row.mImage).mAdded;
    const double own =
      std::max(LoadAt(profile, row.mShare) - added, kLeastLoad);
    use.mNow += row.mCpu * own;
    use.mExpected += row.mCpu * std::max(own, profile.mMeanLoad);
  }
  aWorker.mServingUse = use;
}

/// Sum and number of the loads of an image's tasks.
struct LoadSum
{
  double mSum = 0;
  int mCount = 0;
};

/// Learns how much load the filling tasks of the report add to each image.
void LearnPairs(DispatchShard& aShard,
                const Mix& aMix,
                const std::map<std::string, LoadSum>& aLoads,
                TimePoint aNow)
{
  for (const auto& [image, loads] : aLoads) {
    ServingProfile& profile = aShard.mServingProfiles.at(image);
    Learn(aShard.mInterference,
          KindOf(image),
          aMix.mFilling,
          loads.mSum / loads.mCount - profile.mMeanLoad,
          aNow);
    if (aNow - profile.mMeanAddedAt >= kMeanAddedInterval) {
      profile.mMeanAdded = MeanAdded(aShard, KindOf(image), aNow);
      profile.mMeanAddedAt = aNow;
    }
  }
}

double PlainCpu(const DispatchWorker& aWorker)
{
  return static_cast<double>(aWorker.mUsed.mMilliCpu - aWorker.mServingCpu);
}

} // namespace

double LoadAt(const ServingProfile& aProfile, double aShare)
{
  const double idle = aProfile.mLeastShare * (1 - kLeastLoad);
  return aShare <= idle ? 0 : 1 - idle / aShare;
}

FillingNeeds FillingNeedsOf(const StepSpec& aStep)
{
  return { KindOf(aStep.mImage), static_cast<double>(aStep.mNeeds.mMilliCpu) };
}

double AddedLoad(const DispatchShard& aShard,
                 const ServingShare& aServing,
                 const FillingNeeds& aFilling,
                 const DispatchWorker& aWorker,
                 TimePoint aNow)
{
  const Neighbour filling{ aFilling.mKind,
                           aFilling.mCpu / CapacityOf(aWorker) };
  return AddedBy(aShard, aServing.mKind, { &filling, 1 }, aNow);
}

void LearnSharing(DispatchShard& aShard,
                  DispatchWorker& aWorker,
                  const std::vector<RunningTask>& aRunning,
                  TimePoint aNow)
{
  const Mix mix = MixOf(aShard, aWorker, aRunning, aNow);
  aWorker.mServingShares.clear();
  std::map<std::string, LoadSum> loads;
  for (const auto& row : mix.mServing) {
    if (row.mShare <= 0) {
      continue;
    }
    ServingProfile fresh;
    fresh.mLeastShare = row.mShare;
    fresh.mMeanLoad = kUnknownLoad;
    fresh.mHighLoad = kUnknownLoad;
    const ServingProfile& profile =
      aShard.mServingProfiles.try_emplace(row.mImage, fresh).first->second;
    ServingShare& share = aWorker.mServingShares[row.mImage];
    const double load = LoadAt(profile, row.mShare);
    share.mKind = KindOf(row.mImage);
    share.mWorst = std::max(share.mWorst, row.mShare);
    share.mLoad = std::max(share.mLoad, load);
    loads[row.mImage].mSum += load;
    ++loads[row.mImage].mCount;
  }
  for (auto& [image, share] : aWorker.mServingShares) {
    share.mAdded = AddedBy(aShard, share.mKind, mix.mFilling, aNow);
  }
  EstimateUse(aShard, aWorker, mix);
  // Where processors are short, response times say nothing of the images.
  const bool isFull =
    aWorker.mServingUse.mNow + PlainCpu(aWorker) + mix.mFillingCpu >
    CapacityOf(aWorker) * kFullUse;
  if (isFull) {
    return;
  }
  for (const auto& row : mix.mServing) {
    if (row.mShare > 0) {
      LearnProfile(aShard.mServingProfiles.at(row.mImage),
                   row.mShare,
                   aWorker.mServingShares.at(row.mImage).mAdded);
    }
  }
  if (!mix.mFilling.empty()) {
    LearnPairs(aShard, mix, loads, aNow);
  }
}

double FillingRoomNow(const DispatchWorker& aWorker)
{
  return CapacityOf(aWorker) * kFullUse - PlainCpu(aWorker) -
         aWorker.mServingUse.mNow;
}

std::int64_t FillingRoom(const DispatchWorker& aWorker)
{
  // Serving tasks that came after the last report aren't in it.
  const double unreported =
    static_cast<double>(aWorker.mServingCpu) - aWorker.mServingUse.mReported;
  const double serving =
    aWorker.mServingUse.mExpected + std::max(0.0, unreported) * kUnknownLoad;
  return static_cast<std::int64_t>(CapacityOf(aWorker) * kPlacedUse -
                                   PlainCpu(aWorker) - serving) -
         aWorker.mFillingCpu;
}

FillingEffect EffectOf(const DispatchShard& aShard,
                       const DispatchWorker& aWorker,
                       const FillingNeeds& aFilling,
                       TimePoint aNow)
{
  const double load = aFilling.mCpu / CapacityOf(aWorker);
  FillingEffect effect;
  for (const auto& [image, share] : aWorker.mServingShares) {
    const ServingProfile& profile = aShard.mServingProfiles.at(image);
    effect.mUsual = std::max(effect.mUsual, profile.mMeanAdded * load);
    const double added = AddedLoad(aShard, share, aFilling, aWorker, aNow);
    if (added < kLeastAdded) {
      continue;
    }
    effect.mAdded = std::max(effect.mAdded, added);
    const double before =
      std::max(share.mLoad, profile.mHighLoad + share.mAdded);
    const double most = LoadAt(profile, kMostExpectedShare);
    effect.mIsTooMuch =
      effect.mIsTooMuch || before + share.mPlaced + added > most;
  }
  return effect;
}

void NotePlacedFilling(const DispatchShard& aShard,
                       DispatchWorker& aWorker,
                       const FillingNeeds& aFilling,
                       TimePoint aNow)
{
  for (auto& [image, share] : aWorker.mServingShares) {
    share.mPlaced += AddedLoad(aShard, share, aFilling, aWorker, aNow);
  }
}

} // namespace verbenacroft
