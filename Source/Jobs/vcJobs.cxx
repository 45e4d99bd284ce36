#include "vcJobs.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::int64_t kMaxTasks = 10'000;
constexpr std::int64_t kMaxRunMs = 30LL * 24 * 3600 * 1000;

/// Checks the data centres of the job, and that a task fits into the largest
/// instance of at least one of them.
void CheckDataCentres(const JobSpec& aSpec,
                      const Configuration& aConfiguration,
                      const std::map<std::string, Resources>& aLargest,
                      Faults& aFaults)
{
  std::vector<std::string> allowed = aSpec.mDataCentres;
  if (allowed.empty()) {
    for (const auto& dataCentre : aConfiguration.mDataCentres) {
      allowed.push_back(dataCentre.mName);
    }
  }
  bool isKnown = aLargest.empty();
  bool isFitting = aLargest.empty();
  for (const auto& name : allowed) {
    if (FindNamed(aConfiguration.mDataCentres, name) == nullptr) {
      aFaults.push_back({ "$.dataCentres",
                          "\"" + name + "\"",
                          "names of declared data centres" });
    }
    const auto found = aLargest.find(name);
    if (found != aLargest.end()) {
      isKnown = true;
      isFitting = isFitting || Fits(aSpec.mResources, found->second);
    }
  }
  if (isKnown && !isFitting) {
    aFaults.push_back(
      { "$.resources",
        Describe(aSpec.mResources),
        "at most the size of the largest instance on which the job may run" });
  }
}

} // namespace

bool IsFinal(JobState aState)
{
  return aState == JobState::kDone || aState == JobState::kFailed ||
         aState == JobState::kCancelled;
}

std::string JobKey(const std::string& aName)
{
  return "job/" + aName;
}

Faults CheckJob(const JobSpec& aSpec,
                const Configuration& aConfiguration,
                const std::map<std::string, Resources>& aLargest)
{
  Faults faults;
  const auto isAllowed = [](char aByte) {
    return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
           aByte == '-' || aByte == '_' || aByte == '.';
  };
  if (aSpec.mName.empty() || aSpec.mName.size() > 128 ||
      !std::all_of(aSpec.mName.begin(), aSpec.mName.end(), isAllowed)) {
    faults.push_back({ "$.name",
                       "\"" + aSpec.mName + "\"",
                       "1 to 128 letters, digits, '-', '_' and '.'" });
  }
  if (FindNamed(aConfiguration.mBackers, aSpec.mBacker) == nullptr) {
    faults.push_back({ "$.backer",
                       "\"" + aSpec.mBacker + "\"",
                       "the name of a declared backer" });
  }
  if (aSpec.mTasks < 1 || aSpec.mTasks > kMaxTasks) {
    faults.push_back({ "$.tasks", std::to_string(aSpec.mTasks), "1 to 10000" });
  }
  if (aSpec.mRunMs < 1 || aSpec.mRunMs > kMaxRunMs) {
    faults.push_back(
      { "$.runMs", std::to_string(aSpec.mRunMs), "1 ms to 30 days" });
  }
  const auto& size = aSpec.mResources;
  if (size.mMilliCpu <= 0 || size.mMemoryMb <= 0 || size.mAccelerators < 0 ||
      size.mSlots < 0) {
    faults.push_back(
      { "$.resources",
        Describe(size),
        "positive processors and memory, and no negative amount" });
  }
  CheckDataCentres(aSpec, aConfiguration, aLargest, faults);
  return faults;
}

std::int64_t CountDoneTasks(const JobRecord& aJob)
{
  return std::count_if(
    aJob.mTasks.begin(), aJob.mTasks.end(), [](const JobTaskRecord& aTask) {
      return aTask.mIsDone;
    });
}

std::vector<std::string> EligibleDataCentres(
  const JobSpec& aSpec,
  const Configuration& aConfiguration)
{
  std::vector<std::string> names;
  for (const auto& dataCentre : aConfiguration.mDataCentres) {
    const auto& allowed = aSpec.mDataCentres;
    const bool isAllowed =
      allowed.empty() ||
      std::find(allowed.begin(), allowed.end(), dataCentre.mName) !=
        allowed.end();
    if (isAllowed && !dataCentre.mIsDrained) {
      names.push_back(dataCentre.mName);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace verbenacroft
