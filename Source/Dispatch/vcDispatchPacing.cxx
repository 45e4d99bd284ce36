#include "vcDispatchPacing.h"

#include "vcDispatchSharing.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Share of its target above which a serving task counts as disturbed.
constexpr double kSlowDownAbove = 0.95;
/// Share to which filling work beside a serving task is paced. The gap
/// between the two is hysteresis.
constexpr double kPacedShare = 0.85;
/// The same beside a disturbed task, so that it recovers at once.
constexpr double kRecoveryShare = 0.7;
constexpr double kFullPace = 100;
/// Paces are ordered in steps of this many percent, ...
constexpr std::int64_t kPaceStep = 10;
/// ... raised by at most this many at a time, ...
constexpr std::int64_t kMostRaise = 50;
/// ... and only once the effect of the last one has been measured.
constexpr Duration kRaiseAfter{ 800 };
/// Where no serving task is near its target, filling work goes on at least
/// at this pace: its reports show whether it disturbs as was learned.
constexpr double kLeastPace = 20;
/// No further filling work is started beside a task that was disturbed.
constexpr Duration kNoFillingTime{ 1'000 };
/// The share of the longest time over target after which all filling work
/// on the worker rests, whatever was learned of it.
constexpr double kLongestOverTarget = 0.4;

/// A filling task on the worker and the pace that suits it.
struct Filling
{
  const RunningTask* mRow = nullptr;
  TaskSlot* mTask = nullptr;
  FillingNeeds mNeeds;
  double mPace = kFullPace;
};

std::vector<Filling> FillingOn(DispatchShard& aShard,
                               const DispatchWorker& aWorker,
                               const std::vector<RunningTask>& aRunning)
{
  std::vector<Filling> rows;
  for (const auto& row : aRunning) {
    const TaskId key = row.mTask;
    TaskSlot* task = FindTask(aShard, key);
    const bool isHere = task != nullptr &&
                        task->mWorker == aWorker.mEntry.mWorker &&
                        task->mRun == row.mRun;
    if (!isHere) {
      continue;
    }
    const StepSpec& step = StepOf(aShard.mJobs.at(key.mJob), key);
    if (step.mIsFilling) {
      rows.push_back({ &row, task, FillingNeedsOf(step), kFullPace });
    }
  }
  return rows;
}

double PaceOf(const TaskSlot& aTask)
{
  return aTask.mPacePercent == kUnknownPace
           ? kFullPace
           : static_cast<double>(aTask.mPacePercent);
}

/// Slows the tasks that add most load to an image, until what all of them
/// add fits below its target.
void SlowBesides(const DispatchShard& aShard,
                 const DispatchWorker& aWorker,
                 const std::string& aImage,
                 const ServingShare& aShare,
                 std::vector<Filling>& aFilling,
                 TimePoint aNow)
{
  std::vector<std::pair<double, Filling*>> disturbing;
  double full = 0;
  double cut = 0;
  for (auto& filling : aFilling) {
    const double added =
      AddedLoad(aShard, aShare, filling.mNeeds, aWorker, aNow);
    if (added >= kLeastAdded) {
      disturbing.emplace_back(added, &filling);
      full += added;
      cut += added * (1 - PaceOf(*filling.mTask) / kFullPace);
    }
  }
  const ServingProfile& profile = aShard.mServingProfiles.at(aImage);
  const double own = std::max(aShare.mLoad - aShare.mAdded, profile.mMeanLoad);
  double excess = own + full - LoadAt(profile, kPacedShare);
  if (aShare.mWorst > kSlowDownAbove) {
    excess =
      std::max(excess, aShare.mLoad + cut - LoadAt(profile, kRecoveryShare));
  }
  std::sort(disturbing.begin(),
            disturbing.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.first > aRight.first;
            });
  for (auto& [added, filling] : disturbing) {
    if (excess <= 0) {
      return;
    }
    const double part = std::min(added, excess);
    excess -= part;
    filling->mPace = std::min(filling->mPace, kFullPace * (1 - part / added));
  }
}

/// Slows the tasks that are least far where the worker has too few
/// processors for all.
void SlowForRoom(const DispatchWorker& aWorker, std::vector<Filling>& aFilling)
{
  double excess = -FillingRoomNow(aWorker);
  for (const auto& filling : aFilling) {
    excess += filling.mNeeds.mCpu * filling.mPace / kFullPace;
  }
  std::sort(aFilling.begin(),
            aFilling.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mRow->mProgressPercent <
                     aRight.mRow->mProgressPercent;
            });
  for (auto& filling : aFilling) {
    if (excess <= 0) {
      return;
    }
    const double used = filling.mNeeds.mCpu * filling.mPace / kFullPace;
    const double part = std::min(used, excess);
    excess -= part;
    filling.mPace -= kFullPace * part / std::max(filling.mNeeds.mCpu, 1.0);
  }
}

void OrderPace(const DispatchShard& aShard,
               const DispatchWorker& aWorker,
               const Filling& aFilling,
               double aWorst,
               TimePoint aNow,
               DispatchActions& aActions)
{
  TaskSlot& task = *aFilling.mTask;
  const auto wanted =
    static_cast<std::int64_t>(aFilling.mPace) / kPaceStep * kPaceStep;
  const bool isRaise = wanted > task.mPacePercent;
  const bool isKnown = task.mPacePercent != kUnknownPace;
  const bool isTooEarly =
    isRaise && isKnown && aNow - task.mPacedAt < kRaiseAfter;
  if (wanted == task.mPacePercent || isTooEarly) {
    return;
  }
  const std::int64_t pace = isRaise && isKnown
                              ? std::min(wanted, task.mPacePercent + kMostRaise)
                              : wanted;
  spdlog::info("task.pace task={} run={} worker={} from={} to={} "
               "worst_share={:.2f} serving_use_mcpu={:.0f}",
               Describe(aFilling.mRow->mTask),
               aFilling.mRow->mRun,
               aWorker.mEntry.mWorker,
               task.mPacePercent,
               pace,
               aWorst,
               aWorker.mServingUse.mNow);
  task.mPacePercent = pace;
  task.mPacedAt = aNow;
  aActions.mPaces.push_back(
    { aWorker.mEntry.mWorker,
      { aFilling.mRow->mTask, aFilling.mRow->mRun, aShard.mEpoch, pace } });
}

double WorstShare(const DispatchWorker& aWorker)
{
  double worst = 0;
  for (const auto& [image, share] : aWorker.mServingShares) {
    worst = std::max(worst, share.mWorst);
  }
  return worst;
}

bool IsOverTooLong(const DispatchShard& aShard,
                   const DispatchWorker& aWorker,
                   TimePoint aNow)
{
  const auto longest =
    static_cast<double>(aShard.mBounds.mHarm.count()) * kLongestOverTarget;
  const auto over =
    static_cast<double>((aNow - aWorker.mOverTargetSince).count());
  return over > longest;
}

/// Finds the pace of each filling task on the worker.
void ChoosePaces(const DispatchShard& aShard,
                 const DispatchWorker& aWorker,
                 double aWorst,
                 std::vector<Filling>& aFilling,
                 TimePoint aNow)
{
  for (const auto& [image, share] : aWorker.mServingShares) {
    SlowBesides(aShard, aWorker, image, share, aFilling, aNow);
  }
  if (aWorker.mServingCpu > 0) {
    SlowForRoom(aWorker, aFilling);
  }
  const bool isTooLong = IsOverTooLong(aShard, aWorker, aNow);
  for (auto& row : aFilling) {
    if (isTooLong) {
      row.mPace = 0;
    } else if (aWorst <= kRecoveryShare) {
      row.mPace = std::max(row.mPace, kLeastPace);
    }
  }
}

} // namespace

void PlanPaces(DispatchShard& aShard,
               const std::string& aWorker,
               const std::vector<RunningTask>& aRunning,
               TimePoint aNow,
               DispatchActions& aActions)
{
  DispatchWorker* worker = FindWorker(aShard, aWorker);
  if (worker == nullptr) {
    return;
  }
  LearnSharing(aShard, *worker, aRunning, aNow);
  const double worst = WorstShare(*worker);
  if (worst <= kSlowDownAbove) {
    worker->mOverTargetSince = aNow;
  }
  if (worker->mFillingCpu == 0) {
    return;
  }
  auto filling = FillingOn(aShard, *worker, aRunning);
  ChoosePaces(aShard, *worker, worst, filling, aNow);
  bool isSlowed = IsOverTooLong(aShard, *worker, aNow);
  for (const auto& row : filling) {
    isSlowed = isSlowed || row.mPace < PaceOf(*row.mTask);
    OrderPace(aShard, *worker, row, worst, aNow, aActions);
  }
  if (isSlowed && worst > kSlowDownAbove) {
    worker->mNoFillingUntil = aNow + kNoFillingTime;
  }
}

} // namespace verbenacroft
