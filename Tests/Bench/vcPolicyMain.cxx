/// vcPolicyBench: the shipped decision functions on a virtual clock against
/// fake workers, beside a plain baseline and beside an oracle that is told
/// the true sizes and the true interference.

#include "vcFakeFleet.h"
#include "vcPlacement.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <numeric>
#include <random>

namespace verbenacroft {
namespace {

enum class BenchPolicy
{
  kFirstFit,
  kCurrent,
  kOracle,
};

constexpr double kStepSeconds = 0.5;
constexpr double kEndSeconds = 900;
constexpr double kWarmUpSeconds = 60;
constexpr double kReportEvery = 5;
constexpr double kDrainAt = 400;
constexpr double kRestoreAt = 550;
constexpr Resources kCapacity{ 64'000, 250'000, 2, 8 };

struct Profile
{
  std::size_t mWorkers = 65;
  int mServices = 6;
  int mReplicas = 90;
  Policy mPolicy;
};

Profile ProfileOf(const std::string& aName)
{
  Profile profile;
  if (aName == "trust") {
    profile.mPolicy.mTailLatency = 3.0;
    return profile;
  }
  profile.mWorkers = 50;
  profile.mServices = 4;
  profile.mReplicas = 60;
  profile.mPolicy.mEvictions = 3.0;
  profile.mPolicy.mThroughput = 3.0;
  return profile;
}

struct BenchTask
{
  std::string mOwner;
  std::string mBacker;
  TaskKind mKind = TaskKind::kBatch;
  Resources mDeclared;
  Resources mTrue;
  Resources mCommitted;
  double mWork = 0;
  double mDone = 0;
  double mCheckpoint = 0;
  double mArrivedAt = 0;
  double mStartedAt = -1;
  bool mIsUrgent = false;
  bool mIsImpossible = false;
  bool mIsCancelled = false;
  int mWorker = -1;
  double mThrottle = 1.0;
  double mSlowdown = 0;
  int mEvictions = 0;
  double mFinishedAt = -1;
};

struct BenchWorker
{
  std::string mName;
  int mDataCentre = 0;
  bool mFailsTasks = false;
  int mFailures = 0;
  double mClosedUntil = -1;
  Resources mCommitted;
  std::vector<int> mTasks;
  double mChangedAt = -1'000;
  PressureState mPressure;
};

/// One run of one policy on the load of one seed.
struct Bench
{
  BenchPolicy mPolicy = BenchPolicy::kCurrent;
  Profile mProfile;
  std::uint64_t mSeed = 1;
  std::mt19937_64 mRandom;
  std::vector<BenchTask> mTasks;
  std::vector<BenchWorker> mWorkers;
  std::vector<int> mWaiting;
  std::size_t mNextArrival = 0;
  InterferenceModel mModel;
  SizingModel mSizing;
  FairnessLedger mLedger;
  Configuration mConfiguration;
  double mNow = 0;
  bool mIsDrained = false;
  std::vector<double> mLatencies;
  std::vector<double> mUrgentWaits;
  std::vector<double> mDecisionMicros;
  int mFinished = 0;
  double mFinishedWork = 0;
  double mOutageWork = 0;
  double mWasted = 0;
  int mEvictions = 0;
  int mBroken = 0;
};

double Uniform(std::mt19937_64& aRandom, double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(aRandom);
}

TimePoint At(double aSeconds)
{
  return TimePoint{ static_cast<std::int64_t>(aSeconds * 1'000) + 1'000'000 };
}

/// The load depends on the seed and the profile only.
void MakeLoad(Bench& aBench)
{
  std::mt19937_64 random(aBench.mSeed * 7'919 + 13);
  const auto& profile = aBench.mProfile;
  for (int i = 0; i < profile.mReplicas; ++i) {
    BenchTask task;
    task.mOwner = "service-" + std::to_string(i % profile.mServices);
    task.mBacker = "backer-" + std::to_string(i % 3);
    task.mKind = TaskKind::kService;
    task.mTrue = { 6'000, 12'000, 0, 2 };
    task.mDeclared = task.mTrue;
    aBench.mTasks.push_back(task);
  }
  double arrival = 0;
  int job = 0;
  const double perSecond = static_cast<double>(profile.mWorkers) / 65.0 * 0.55;
  while (arrival < kEndSeconds) {
    // Noisy tasks and cancellations arrive in waves.
    const bool isWave = std::fmod(arrival, 200) < 40;
    std::exponential_distribution<double> gap(perSecond * (isWave ? 2.0 : 1.0));
    arrival += gap(random);
    const std::string owner =
      "kind-" + std::to_string(random() % (isWave ? 4 : 12));
    const int count = 1 + static_cast<int>(random() % 12);
    const double factor =
      std::exp(Uniform(random, std::log(0.3), std::log(3.0)));
    BenchTask task;
    task.mOwner = owner;
    task.mBacker = "backer-" + std::to_string(random() % 3);
    task.mTrue = { 2'000 + static_cast<std::int64_t>(random() % 6'000),
                   2'000 + static_cast<std::int64_t>(random() % 10'000),
                   random() % 10 == 0 ? 1 : 0,
                   0 };
    task.mDeclared = task.mTrue;
    task.mDeclared.mMilliCpu = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(static_cast<double>(task.mTrue.mMilliCpu) *
                                factor),
      500,
      64'000);
    task.mDeclared.mMemoryMb = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(static_cast<double>(task.mTrue.mMemoryMb) *
                                factor),
      500,
      250'000);
    task.mWork = Uniform(random, 15, 120);
    task.mArrivedAt = arrival;
    task.mIsUrgent = random() % 20 == 0;
    task.mIsCancelled = isWave && random() % 12 == 0;
    task.mIsImpossible = random() % 100 == 0;
    if (task.mIsImpossible) {
      task.mDeclared.mMilliCpu = 900'000;
    }
    ++job;
    for (int i = 0; i < count; ++i) {
      aBench.mTasks.push_back(task);
    }
  }
  for (std::size_t i = 0; i < profile.mWorkers; ++i) {
    BenchWorker worker;
    worker.mName = "w" + std::to_string(i);
    worker.mDataCentre = static_cast<int>(i % 3);
    worker.mFailsTasks = i == 7;
    aBench.mWorkers.push_back(worker);
  }
  for (int i = 0; i < 3; ++i) {
    aBench.mConfiguration.mBackers.push_back(
      { "backer-" + std::to_string(i), i == 0 ? 40 : 30, 0 });
  }
}

bool IsPlain(const Bench& aBench)
{
  return aBench.mPolicy == BenchPolicy::kFirstFit;
}

double LoadOf(const BenchTask& aTask)
{
  return static_cast<double>(aTask.mTrue.mMilliCpu) /
         static_cast<double>(kCapacity.mMilliCpu);
}

/// Load of services shifts over the run.
double Shift(double aNow)
{
  return 0.55 + 0.25 * std::sin(aNow / 90.0);
}

double TrueSlowdown(const Bench& aBench, int aTask)
{
  const auto& task = aBench.mTasks[static_cast<std::size_t>(aTask)];
  const auto& worker = aBench.mWorkers[static_cast<std::size_t>(task.mWorker)];
  double slowdown = 0;
  for (const int other : worker.mTasks) {
    const auto& neighbour = aBench.mTasks[static_cast<std::size_t>(other)];
    if (other != aTask) {
      slowdown += LoadOf(neighbour) * neighbour.mThrottle *
                  PairInterference(aBench.mSeed, task.mOwner, neighbour.mOwner);
    }
  }
  return slowdown * (0.7 + 0.6 * Shift(aBench.mNow));
}

void Leave(Bench& aBench, int aTask)
{
  auto& task = aBench.mTasks[static_cast<std::size_t>(aTask)];
  auto& worker = aBench.mWorkers[static_cast<std::size_t>(task.mWorker)];
  std::erase(worker.mTasks, aTask);
  worker.mCommitted -= task.mCommitted;
  worker.mChangedAt = aBench.mNow;
  aBench.mLedger.mBackers[task.mBacker].mCommitted -= task.mCommitted;
  task.mWorker = -1;
  task.mThrottle = 1.0;
}

/// Stops a batch task; the plain baseline has no checkpoints but those that
/// the workers make by themselves every 30 s.
void Evict(Bench& aBench, int aTask)
{
  auto& task = aBench.mTasks[static_cast<std::size_t>(aTask)];
  if (!IsPlain(aBench)) {
    task.mCheckpoint = task.mDone;
  }
  aBench.mWasted += task.mDone - task.mCheckpoint;
  task.mDone = task.mCheckpoint;
  ++task.mEvictions;
  ++aBench.mEvictions;
  Leave(aBench, aTask);
  aBench.mWaiting.push_back(aTask);
}

bool IsOpen(const Bench& aBench, const BenchWorker& aWorker)
{
  const bool isOut = aBench.mIsDrained && aWorker.mDataCentre == 0;
  return !isOut && aBench.mNow >= aWorker.mClosedUntil;
}

std::vector<WorkerView> Views(const Bench& aBench, const std::string& aOwner)
{
  std::vector<WorkerView> views;
  for (const auto& worker : aBench.mWorkers) {
    WorkerView view;
    view.mName = worker.mName;
    view.mCapacity = kCapacity;
    view.mCommitted = worker.mCommitted;
    view.mIsSchedulable = IsOpen(aBench, worker);
    for (const int index : worker.mTasks) {
      const auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
      const Neighbour neighbour{ InterferenceKindOf(task.mOwner),
                                 LoadOf(task) };
      auto& list =
        task.mKind == TaskKind::kService ? view.mServices : view.mBatch;
      list.push_back(neighbour);
      view.mSameOwnerTasks += task.mOwner == aOwner ? 1 : 0;
    }
    views.push_back(std::move(view));
  }
  return views;
}

Resources SizeOf(const Bench& aBench, const BenchTask& aTask)
{
  if (IsPlain(aBench) || aTask.mKind == TaskKind::kService) {
    return aTask.mDeclared;
  }
  if (aBench.mPolicy == BenchPolicy::kOracle) {
    return aTask.mTrue;
  }
  return CorrectedSize(
    aBench.mSizing, aTask.mOwner, aTask.mDeclared, kCapacity);
}

bool Place(Bench& aBench, int aTask)
{
  auto& task = aBench.mTasks[static_cast<std::size_t>(aTask)];
  PlacementRequest request;
  request.mKind = task.mKind;
  request.mOwnerKind = InterferenceKindOf(task.mOwner);
  request.mResources = SizeOf(aBench, task);
  const auto views = Views(aBench, task.mOwner);
  auto weights = WeightsOf(aBench.mProfile.mPolicy);
  if (aBench.mPolicy == BenchPolicy::kOracle) {
    weights.mPriorCoefficient = 0;
    weights.mUncertaintyWeight = 0;
  }
  const auto start = std::chrono::steady_clock::now();
  const auto chosen =
    IsPlain(aBench)
      ? ChooseFirstFit(views, request)
      : ChooseWorker(views, request, aBench.mModel, weights, At(aBench.mNow));
  aBench.mDecisionMicros.push_back(std::chrono::duration<double, std::micro>(
                                     std::chrono::steady_clock::now() - start)
                                     .count());
  if (!chosen) {
    return false;
  }
  auto& worker = aBench.mWorkers[*chosen];
  task.mWorker = static_cast<int>(*chosen);
  task.mCommitted = request.mResources;
  worker.mCommitted += task.mCommitted;
  worker.mTasks.push_back(aTask);
  worker.mChangedAt = aBench.mNow;
  aBench.mLedger.mBackers[task.mBacker].mCommitted += task.mCommitted;
  aBench.mBroken += Fits(worker.mCommitted, kCapacity) ? 0 : 1;
  if (task.mStartedAt < 0) {
    task.mStartedAt = aBench.mNow;
    if (task.mIsUrgent) {
      aBench.mUrgentWaits.push_back(aBench.mNow - task.mArrivedAt);
    }
  }
  return true;
}

/// Makes room by evicting: the youngest for the baseline, the cheapest else.
bool MakeRoom(Bench& aBench, const Resources& aNeeded)
{
  std::vector<std::string> best;
  bool isFound = false;
  for (const auto& worker : aBench.mWorkers) {
    if (!IsOpen(aBench, worker)) {
      continue;
    }
    std::vector<VictimCandidate> candidates;
    for (const int index : worker.mTasks) {
      const auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
      if (task.mKind == TaskKind::kBatch && !task.mIsUrgent) {
        const double key = IsPlain(aBench) ? aBench.mNow - task.mStartedAt
                                           : task.mDone - task.mCheckpoint;
        candidates.push_back({ std::to_string(index),
                               task.mCommitted,
                               static_cast<std::int64_t>(key * 1'000),
                               IsPlain(aBench) ? 0 : task.mEvictions,
                               0 });
      }
    }
    auto victims = ChooseVictims(
      std::move(candidates), kCapacity - worker.mCommitted, aNeeded);
    if (victims && (!isFound || victims->size() < best.size())) {
      best = std::move(*victims);
      isFound = true;
      if (IsPlain(aBench)) {
        break;
      }
    }
  }
  for (const auto& name : best) {
    Evict(aBench, std::stoi(name));
  }
  return isFound;
}

/// Order of the waiting tasks: first come first served for the baseline;
/// services, urgent work and then the backer with the lowest share else.
void Dispatch(Bench& aBench)
{
  std::vector<int> left;
  auto waiting = std::exchange(aBench.mWaiting, {});
  if (!IsPlain(aBench)) {
    const Resources total{
      kCapacity.mMilliCpu * 65, kCapacity.mMemoryMb * 65, 130, 520
    };
    std::map<std::string, double> shares;
    for (const auto& backer : aBench.mConfiguration.mBackers) {
      shares[backer.mName] =
        NormalisedShare(aBench.mLedger.mBackers[backer.mName].mCommitted,
                        total,
                        BackerWeight(aBench.mConfiguration, backer.mName));
    }
    std::stable_sort(
      waiting.begin(), waiting.end(), [&](int aLeft, int aRight) {
        const auto key = [&](int aIndex) {
          const auto& task = aBench.mTasks[static_cast<std::size_t>(aIndex)];
          return std::tuple(task.mKind != TaskKind::kService,
                            !task.mIsUrgent,
                            shares[task.mBacker]);
        };
        return key(aLeft) < key(aRight);
      });
  }
  std::map<std::string, bool> blocked;
  for (const int index : waiting) {
    auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
    if (task.mIsCancelled && aBench.mNow > task.mArrivedAt + 20) {
      continue;
    }
    if (task.mIsImpossible && !IsPlain(aBench)) {
      continue;
    }
    // The plain baseline waits behind the head of its one queue, but for
    // jobs that can never run.
    const bool isSkipped = !IsPlain(aBench) && blocked[task.mOwner];
    bool isPlaced = !isSkipped && Place(aBench, index);
    const bool mayEvict = task.mKind == TaskKind::kService || task.mIsUrgent;
    if (!isPlaced && !isSkipped && mayEvict && !task.mIsImpossible &&
        MakeRoom(aBench, SizeOf(aBench, task))) {
      isPlaced = Place(aBench, index);
    }
    if (!isPlaced) {
      blocked[task.mOwner] = true;
      left.push_back(index);
    }
  }
  aBench.mWaiting.insert(aBench.mWaiting.end(), left.begin(), left.end());
}

void Finish(Bench& aBench, int aTask)
{
  auto& task = aBench.mTasks[static_cast<std::size_t>(aTask)];
  aBench.mBroken += task.mFinishedAt >= 0 ? 1 : 0;
  task.mFinishedAt = aBench.mNow;
  ++aBench.mFinished;
  aBench.mFinishedWork += task.mWork;
  if (aBench.mNow >= kDrainAt && aBench.mNow < kRestoreAt + 50) {
    aBench.mOutageWork += task.mWork;
  }
  Leave(aBench, aTask);
}

/// A worker that fails what it starts: the shipped rule closes it with
/// back-off after three failures; the baseline does not.
void Fail(Bench& aBench, int aTask)
{
  auto& task = aBench.mTasks[static_cast<std::size_t>(aTask)];
  auto& worker = aBench.mWorkers[static_cast<std::size_t>(task.mWorker)];
  aBench.mWasted += task.mDone - task.mCheckpoint;
  task.mDone = task.mCheckpoint;
  ++worker.mFailures;
  if (!IsPlain(aBench) && worker.mFailures >= 3) {
    worker.mClosedUntil = aBench.mNow + std::min(300.0, 5.0 * worker.mFailures);
  }
  Leave(aBench, aTask);
  aBench.mWaiting.push_back(aTask);
}

void Progress(Bench& aBench)
{
  for (auto& worker : aBench.mWorkers) {
    const std::vector<int> running = worker.mTasks;
    for (const int index : running) {
      auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
      task.mSlowdown = TrueSlowdown(aBench, index);
      if (task.mKind == TaskKind::kService) {
        continue;
      }
      // A processor that is overcommitted in truth is shared.
      double demand = 0;
      for (const int other : worker.mTasks) {
        demand += LoadOf(aBench.mTasks[static_cast<std::size_t>(other)]);
      }
      const double share = demand > 1.0 ? 1.0 / demand : 1.0;
      task.mDone +=
        kStepSeconds * task.mThrottle * share / (1.0 + task.mSlowdown);
      if (std::fmod(aBench.mNow, 30.0) < kStepSeconds) {
        task.mCheckpoint = task.mDone;
      }
      if (worker.mFailsTasks && task.mDone > task.mCheckpoint + 2) {
        Fail(aBench, index);
      } else if (task.mDone >= task.mWork) {
        Finish(aBench, index);
      }
    }
  }
}

/// Requests of one step. The router sends by outstanding work, so that a
/// slowed replica gets fewer; the baseline's goes round.
void Serve(Bench& aBench)
{
  std::map<std::string, std::vector<double>> slowdowns;
  for (const auto& worker : aBench.mWorkers) {
    for (const int index : worker.mTasks) {
      const auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
      if (task.mKind == TaskKind::kService) {
        slowdowns[task.mOwner].push_back(task.mSlowdown);
      }
    }
  }
  for (const auto& [service, replicas] : slowdowns) {
    std::vector<double> weights;
    for (const double slowdown : replicas) {
      weights.push_back(
        IsPlain(aBench) ? 1.0 : 1.0 / ((1.0 + slowdown) * (1.0 + slowdown)));
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    const double wanted = 15.0 * Shift(aBench.mNow) *
                          (static_cast<double>(aBench.mProfile.mReplicas) /
                           aBench.mProfile.mServices) /
                          static_cast<double>(replicas.size());
    for (int i = 0; i < 30; ++i) {
      const double slowdown = replicas[pick(aBench.mRandom)];
      const double busy = std::min(0.95, wanted / 15.0 * (1.0 + slowdown));
      std::exponential_distribution<double> wait(1.0);
      const double latency = 4.0 * (1.0 + slowdown) *
                             (1.0 + wait(aBench.mRandom) * busy / (1 - busy));
      if (aBench.mNow > kWarmUpSeconds) {
        aBench.mLatencies.push_back(latency);
      }
    }
  }
}

/// Reports arrive with a lag; only an unchanged composition is learned from.
void Report(Bench& aBench)
{
  for (auto& worker : aBench.mWorkers) {
    double worst = 0;
    const bool isAligned = aBench.mNow - worker.mChangedAt >= kReportEvery;
    for (const int index : worker.mTasks) {
      const auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
      if (task.mKind == TaskKind::kService) {
        worst = std::max(worst, task.mSlowdown);
      } else {
        UpdateSizeEstimate(aBench.mSizing, task.mOwner, task.mTrue);
      }
      std::vector<Neighbour> neighbours;
      for (const int other : worker.mTasks) {
        const auto& neighbour = aBench.mTasks[static_cast<std::size_t>(other)];
        if (other != index) {
          neighbours.push_back({ InterferenceKindOf(neighbour.mOwner),
                                 LoadOf(neighbour) * neighbour.mThrottle });
        }
      }
      if (isAligned && aBench.mPolicy == BenchPolicy::kCurrent) {
        LearnInterference(aBench.mModel,
                          InterferenceKindOf(task.mOwner),
                          neighbours,
                          task.mSlowdown,
                          At(aBench.mNow));
      }
    }
    if (IsPlain(aBench)) {
      continue;
    }
    const auto action =
      DecidePressureAction(worker.mPressure,
                           worst,
                           SlowdownLimit(aBench.mProfile.mPolicy),
                           At(aBench.mNow));
    const std::vector<int> tasks = worker.mTasks;
    int victim = -1;
    double harm = -1;
    for (const int index : tasks) {
      auto& task = aBench.mTasks[static_cast<std::size_t>(index)];
      if (task.mKind != TaskKind::kBatch) {
        continue;
      }
      if (action == PressureAction::kThrottle) {
        task.mThrottle = kThrottlePercent / 100.0;
      } else if (action == PressureAction::kRelease) {
        task.mThrottle = 1.0;
      }
      double own = 0;
      for (const int other : tasks) {
        const auto& service = aBench.mTasks[static_cast<std::size_t>(other)];
        if (service.mKind == TaskKind::kService) {
          const Neighbour added{ InterferenceKindOf(task.mOwner),
                                 LoadOf(task) };
          own += PredictSlowdown(aBench.mModel,
                                 InterferenceKindOf(service.mOwner),
                                 { &added, 1 },
                                 0.3,
                                 0,
                                 At(aBench.mNow));
        }
      }
      if (own > harm) {
        harm = own;
        victim = index;
      }
    }
    if (action == PressureAction::kMove && victim >= 0) {
      Evict(aBench, victim);
    }
  }
}

/// The oracle's model holds the true coefficients.
void TellTruth(Bench& aBench)
{
  constexpr std::size_t kOwners = 32;
  std::vector<std::string> owners;
  owners.reserve(kOwners);
  for (int i = 0; i < aBench.mProfile.mServices; ++i) {
    owners.push_back("service-" + std::to_string(i));
  }
  for (int i = 0; i < 12; ++i) {
    owners.push_back("kind-" + std::to_string(i));
  }
  for (int round = 0; round < 60; ++round) {
    for (const auto& victim : owners) {
      for (const auto& aggressor : owners) {
        const double truth = PairInterference(aBench.mSeed, victim, aggressor);
        LearnInterference(aBench.mModel,
                          InterferenceKindOf(victim),
                          { { InterferenceKindOf(aggressor), 1.0 } },
                          truth,
                          At(aBench.mNow));
      }
    }
  }
}

void SwitchDataCentre(Bench& aBench)
{
  const bool isDrained = aBench.mNow >= kDrainAt && aBench.mNow < kRestoreAt;
  if (isDrained && !aBench.mIsDrained) {
    for (auto& worker : aBench.mWorkers) {
      const std::vector<int> tasks = worker.mTasks;
      for (const int index : tasks) {
        if (worker.mDataCentre != 0) {
          continue;
        }
        if (aBench.mTasks[static_cast<std::size_t>(index)].mKind ==
            TaskKind::kService) {
          Leave(aBench, index);
          aBench.mWaiting.push_back(index);
        } else {
          Evict(aBench, index);
        }
      }
    }
  }
  aBench.mIsDrained = isDrained;
}

void Run(Bench& aBench)
{
  aBench.mRandom.seed(aBench.mSeed + 5);
  MakeLoad(aBench);
  const auto services = static_cast<std::size_t>(aBench.mProfile.mReplicas);
  for (std::size_t i = 0; i < services; ++i) {
    aBench.mWaiting.push_back(static_cast<int>(i));
  }
  aBench.mNextArrival = services;
  double reportedAt = 0;
  double toldAt = -1'000;
  for (; aBench.mNow < kEndSeconds; aBench.mNow += kStepSeconds) {
    SwitchDataCentre(aBench);
    while (aBench.mNextArrival < aBench.mTasks.size() &&
           aBench.mTasks[aBench.mNextArrival].mArrivedAt <= aBench.mNow) {
      aBench.mWaiting.push_back(static_cast<int>(aBench.mNextArrival++));
    }
    if (aBench.mPolicy == BenchPolicy::kOracle && aBench.mNow - toldAt > 200) {
      TellTruth(aBench);
      toldAt = aBench.mNow;
    }
    Dispatch(aBench);
    Progress(aBench);
    Serve(aBench);
    if (aBench.mNow - reportedAt >= kReportEvery) {
      Report(aBench);
      reportedAt = aBench.mNow;
    }
  }
}

double Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aPart * static_cast<double>(aValues.size() - 1))];
}

struct PolicyResult
{
  std::string mProfile;
  std::string mPolicy;
  std::uint64_t mSeed = 0;
  double mP50 = 0;
  double mP99 = 0;
  double mP999 = 0;
  double mFinished = 0;
  double mFinishedWork = 0;
  double mWasted = 0;
  double mEvictions = 0;
  double mOutageWork = 0;
  double mUrgentP99 = 0;
  double mDecisionP50 = 0;
  double mDecisionP99 = 0;
  std::int64_t mBroken = 0;
};
BOOST_DESCRIBE_STRUCT(PolicyResult,
                      (),
                      (mProfile,
                       mPolicy,
                       mSeed,
                       mP50,
                       mP99,
                       mP999,
                       mFinished,
                       mFinishedWork,
                       mWasted,
                       mEvictions,
                       mOutageWork,
                       mUrgentP99,
                       mDecisionP50,
                       mDecisionP99,
                       mBroken))

constexpr NameRow<BenchPolicy> kPolicies[] = {
  { BenchPolicy::kFirstFit, "first-fit" },
  { BenchPolicy::kCurrent, "current" },
  { BenchPolicy::kOracle, "oracle" },
};

PolicyResult RunOne(const std::string& aProfile,
                    const NameRow<BenchPolicy>& aPolicy,
                    std::uint64_t aSeed)
{
  Bench bench;
  bench.mPolicy = aPolicy.mValue;
  bench.mProfile = ProfileOf(aProfile);
  bench.mSeed = aSeed;
  Run(bench);
  PolicyResult result;
  result.mProfile = aProfile;
  result.mPolicy = std::string(aPolicy.mName);
  result.mSeed = aSeed;
  result.mP50 = Quantile(bench.mLatencies, 0.5);
  result.mP99 = Quantile(bench.mLatencies, 0.99);
  result.mP999 = Quantile(bench.mLatencies, 0.999);
  result.mFinished = bench.mFinished;
  result.mFinishedWork = bench.mFinishedWork;
  result.mWasted = bench.mWasted;
  result.mEvictions = bench.mEvictions;
  result.mOutageWork = bench.mOutageWork;
  result.mUrgentP99 = Quantile(bench.mUrgentWaits, 0.99);
  result.mDecisionP50 = Quantile(bench.mDecisionMicros, 0.5);
  result.mDecisionP99 = Quantile(bench.mDecisionMicros, 0.99);
  result.mBroken = bench.mBroken;
  return result;
}

void PrintMedians(const std::string& aProfile,
                  const std::vector<PolicyResult>& aResults)
{
  const auto median = [&](double PolicyResult::*aField) {
    std::vector<double> values;
    values.reserve(aResults.size());
    for (const auto& result : aResults) {
      values.push_back(result.*aField);
    }
    return Quantile(values, 0.5);
  };
  std::vector<double> p99;
  p99.reserve(aResults.size());
  for (const auto& result : aResults) {
    p99.push_back(result.mP99);
  }
  std::cout << aProfile << " " << aResults.front().mPolicy << " seeds "
            << aResults.size() << " p50_ms " << median(&PolicyResult::mP50)
            << " p99_ms " << median(&PolicyResult::mP99) << " (quartiles "
            << Quantile(p99, 0.25) << " " << Quantile(p99, 0.75) << ") p999_ms "
            << median(&PolicyResult::mP999) << " finished "
            << median(&PolicyResult::mFinished) << " work_s "
            << median(&PolicyResult::mFinishedWork) << " wasted_s "
            << median(&PolicyResult::mWasted) << " evictions "
            << median(&PolicyResult::mEvictions) << " outage_work_s "
            << median(&PolicyResult::mOutageWork) << " urgent_p99_s "
            << median(&PolicyResult::mUrgentP99) << " decision_us "
            << median(&PolicyResult::mDecisionP50) << " "
            << median(&PolicyResult::mDecisionP99) << " broken "
            << std::accumulate(aResults.begin(),
                               aResults.end(),
                               std::int64_t{ 0 },
                               [](std::int64_t aSum, const auto& aResult) {
                                 return aSum + aResult.mBroken;
                               })
            << "\n";
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  cxxopts::Options options("vcPolicyBench", "Measures the policy.");
  auto add = options.add_options();
  add("profile",
      "trust or consortium",
      cxxopts::value<std::string>()->default_value("trust"));
  add("policy",
      "first-fit, current, oracle or all",
      cxxopts::value<std::string>()->default_value("all"));
  add("seed",
      "first seed",
      cxxopts::value<std::uint64_t>()->default_value("101"));
  add("seeds",
      "number of seeds",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("json", "print JSON, one line a run");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    const auto profile = parsed["profile"].as<std::string>();
    const auto wanted = parsed["policy"].as<std::string>();
    const auto first = parsed["seed"].as<std::uint64_t>();
    const auto count = parsed["seeds"].as<std::uint64_t>();
    for (const auto& policy : kPolicies) {
      if (wanted != "all" && wanted != policy.mName) {
        continue;
      }
      std::vector<PolicyResult> results;
      for (auto seed = first; seed < first + count; ++seed) {
        results.push_back(RunOne(profile, policy, seed));
        if (parsed.count("json") > 0) {
          std::cout << Encode(results.back()) << "\n";
        }
      }
      PrintMedians(profile, results);
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "vcPolicyBench: " << error.what() << "\n";
    return 2;
  }
}
