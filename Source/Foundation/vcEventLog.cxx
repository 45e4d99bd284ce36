#include "vcLineBudget.h"
#include "vcLog.h"

#include <boost/json.hpp>
#include <cstdio>
#include <memory>
#include <spdlog/async.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

constexpr std::size_t kQueuedLines = 8'192;
/// Queued lines from which on those of single tasks, jobs and calls are
/// dropped, so that rare events find room.
constexpr std::size_t kCrowdedLines = kQueuedLines / 2;
/// Lines a second of all other events.
constexpr std::uint32_t kRareLinesPerSecond = 500;

/// True if `aText` may stand in JSON without quotes.
bool IsNumber(std::string_view aText)
{
  constexpr std::size_t kMostDigits = 15;
  const bool isNegative = aText.starts_with('-');
  const auto digits = aText.substr(isNegative ? 1 : 0);
  const bool isPlain =
    !digits.empty() && digits.size() <= kMostDigits &&
    digits.find_first_not_of("0123456789") == std::string_view::npos;
  return isPlain && (digits.size() == 1 || digits[0] != '0');
}

void AddMember(std::string_view aName,
               std::string_view aValue,
               std::string& aOut)
{
  aOut += ",\"";
  aOut += aName;
  aOut += "\":";
  if (IsNumber(aValue)) {
    aOut += aValue;
  } else {
    aOut +=
      boost::json::serialize(boost::json::string(aValue.data(), aValue.size()));
  }
}

} // namespace

std::string EventAsMembers(std::string_view aPayload)
{
  std::string text;
  std::string rest;
  bool isFirst = true;
  while (!aPayload.empty()) {
    const auto end = aPayload.find(' ');
    const auto word = aPayload.substr(0, end);
    aPayload = end == std::string_view::npos ? "" : aPayload.substr(end + 1);
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      rest += (rest.empty() ? "" : " ") + std::string(word);
      continue;
    }
    if (isFirst && rest.empty()) {
      rest = "log";
    }
    isFirst = false;
    AddMember(word.substr(0, equals), word.substr(equals + 1), text);
  }
  std::string members;
  AddMember("event", rest, members);
  return members + text;
}

namespace {

/// Writes one JSON object a line to standard output.
class JsonLineSink
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  explicit JsonLineSink(LogOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override // NOLINT
  {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      aMessage.time.time_since_epoch());
    const auto level = spdlog::level::to_string_view(aMessage.level);
    std::string line = "{\"time_ms\":" + std::to_string(ms.count());
    line += ",\"level\":\"" + std::string(level.data(), level.size());
    line += "\",\"program\":\"" + this->mOptions.mProgram;
    line += "\",\"instance\":\"" + this->mOptions.mInstance + "\"";
    line += EventAsMembers(
      std::string_view(aMessage.payload.data(), aMessage.payload.size()));
    line += "}\n";
    std::fwrite(line.data(), 1, line.size(), stdout);
  }

  void flush_() override // NOLINT
  {
    std::fflush(stdout);
  }

private:
  LogOptions mOptions;
};

/// Passes lines on to the writer's thread as far as the budget allows. Lines
/// that it drops are counted, and the counts are written instead.
class BudgetSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  BudgetSink(std::shared_ptr<spdlog::async_logger> aWriter,
             std::uint32_t aLinesPerSecond)
    : mWriter(std::move(aWriter))
  {
    this->mBudget.mFrequentPerSecond = aLinesPerSecond;
    this->mBudget.mRarePerSecond = kRareLinesPerSecond;
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override // NOLINT
  {
    const auto time =
      std::chrono::duration_cast<TimePoint>(aMessage.time.time_since_epoch());
    for (const auto& [event, count] : OpenWindow(this->mBudget, time)) {
      this->mWriter->warn("log.dropped of={} count={}", event, count);
    }
    const std::string_view text(aMessage.payload.data(),
                                aMessage.payload.size());
    const bool isCrowded = spdlog::thread_pool()->queue_size() > kCrowdedLines;
    if (Admit(this->mBudget, EventOf(text), isCrowded)) {
      this->mWriter->log(
        aMessage.time, aMessage.source, aMessage.level, aMessage.payload);
    }
  }

  void flush_() override // NOLINT
  {
    this->mWriter->flush();
  }

private:
  std::shared_ptr<spdlog::async_logger> mWriter;
  LineBudget mBudget;
};

} // namespace

void SetUpEventLog(const LogOptions& aOptions, std::uint32_t aLinesPerSecond)
{
  spdlog::init_thread_pool(kQueuedLines, 1);
  // A reader that stands still costs lines, never time.
  auto writer = std::make_shared<spdlog::async_logger>(
    aOptions.mProgram,
    std::make_shared<JsonLineSink>(aOptions),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  writer->set_level(spdlog::level::trace);
  auto logger = std::make_shared<spdlog::logger>(
    aOptions.mProgram,
    std::make_shared<BudgetSink>(std::move(writer), aLinesPerSecond));
  const auto level = spdlog::level::from_str(aOptions.mLevel);
  logger->set_level(level == spdlog::level::off ? spdlog::level::info : level);
  spdlog::set_default_logger(std::move(logger));
}

} // namespace verbenacroft
