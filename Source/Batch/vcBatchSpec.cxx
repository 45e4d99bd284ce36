#include "vcBatchSpec.h"

#include <algorithm>
#include <charconv>

namespace verbenacroft {

namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr std::size_t kMaxSteps = 64;
/// Limit for each step.
constexpr std::uint32_t kMaxTasksPerStep = 10'000;
constexpr std::size_t kMaxSpecTextBytes = 4'000;
constexpr std::uint32_t kMaxOccurrences = 100'000;

bool IsHexDigit(char aDigit)
{
  return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f') ||
         (aDigit >= 'A' && aDigit <= 'F');
}

void CheckStep(const BatchSpec& aSpec, std::size_t aStep, Faults& aFaults)
{
  const std::string path = "$.steps[" + std::to_string(aStep) + "]";
  const StepSpec& step = aSpec.mSteps[aStep];
  if (step.mCount == 0 || step.mCount > kMaxTasksPerStep) {
    aFaults.push_back(
      { path + ".count", std::to_string(step.mCount), "1 to 10000" });
  }
  const Resources none;
  if (!Fits(none, step.mNeeds)) {
    aFaults.push_back({ path, Describe(step.mNeeds), "amounts of at least 0" });
  }
  for (const auto after : step.mAfter) {
    if (after >= aStep) {
      aFaults.push_back(
        { path + ".after", std::to_string(after), "an earlier step" });
    }
  }
}

} // namespace

bool IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdDigits &&
         std::all_of(aText.begin(), aText.end(), IsHexDigit);
}

void CheckBatchSpec(const BatchSpec& aSpec, Faults& aFaults)
{
  if (aSpec.mText.size() > kMaxSpecTextBytes) {
    aFaults.push_back({ "$.spec",
                        std::to_string(aSpec.mText.size()) + " bytes",
                        "at most 4000 bytes" });
  }
  if (aSpec.mSteps.empty() || aSpec.mSteps.size() > kMaxSteps) {
    aFaults.push_back({ "$.steps",
                        std::to_string(aSpec.mSteps.size()) + " steps",
                        "1 to 64 steps" });
  }
  if (aSpec.mRepeatCount > kMaxOccurrences) {
    aFaults.push_back({ "$.repeat_count",
                        std::to_string(aSpec.mRepeatCount),
                        "at most 100000" });
  }
  for (std::size_t step = 0; step < aSpec.mSteps.size(); ++step) {
    CheckStep(aSpec, step, aFaults);
  }
}

std::uint32_t OccurrencesOf(const BatchSpec& aSpec)
{
  return std::max<std::uint32_t>(aSpec.mRepeatCount, 1);
}

std::string Describe(const TaskId& aTask)
{
  return aTask.mJob + "." + std::to_string(aTask.mOccurrence) + "." +
         std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

std::optional<TaskId> ParseTaskId(std::string_view aText)
{
  TaskId task;
  const auto dot = aText.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  task.mJob = std::string(aText.substr(0, dot));
  const char* position = aText.data() + dot;
  const char* end = aText.data() + aText.size();
  for (auto* number : { &task.mOccurrence, &task.mStep, &task.mIndex }) {
    if (position == end || *position != '.') {
      return std::nullopt;
    }
    const auto [next, error] = std::from_chars(position + 1, end, *number);
    if (error != std::errc{}) {
      return std::nullopt;
    }
    position = next;
  }
  if (position != end) {
    return std::nullopt;
  }
  return task;
}

} // namespace verbenacroft
