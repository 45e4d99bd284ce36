#include "vcLog.h"
#include "vcLogRateLimiter.h"

#include <boost/json.hpp>
#include <cstdio>
#include <memory>
#include <spdlog/async.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// Capacity of the queue between the logger and the writing thread, in lines.
constexpr std::size_t kQueueCapacity = 8'192;
/// With more queued lines than this, lines of frequent events are dropped, so
/// that the queue has free capacity for rare events.
constexpr std::size_t kCongestedQueueSize = kQueueCapacity / 2;
/// Limit on lines of rare events, per second.
constexpr std::uint32_t kMaxRareLinesPerSecond = 500;

/// True if `aText` is written to JSON as a number: an integer of at most 15
/// digits, which a double holds exactly, without leading zeros, which JSON does
/// not allow.
bool IsNumber(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 15;
  const bool isNegative = aText.starts_with('-');
  const auto digits = aText.substr(isNegative ? 1 : 0);
  const bool isInteger =
    !digits.empty() && digits.size() <= kMaxDigits &&
    digits.find_first_not_of("0123456789") == std::string_view::npos;
  return isInteger && (digits.size() == 1 || digits[0] != '0');
}

/// Appends `,"aName":aValue` to `aOut`. The value is quoted unless it is a
/// number.
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

std::string EventToJsonMembers(std::string_view aPayload)
{
  std::string text;
  std::string eventName;
  bool isFirst = true;
  while (!aPayload.empty()) {
    const auto end = aPayload.find(' ');
    const auto word = aPayload.substr(0, end);
    aPayload = end == std::string_view::npos ? "" : aPayload.substr(end + 1);
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      eventName += (eventName.empty() ? "" : " ") + std::string(word);
      continue;
    }
    if (isFirst && eventName.empty()) {
      eventName = "log";
    }
    isFirst = false;
    AddMember(word.substr(0, equals), word.substr(equals + 1), text);
  }
  std::string members;
  AddMember("event", eventName, members);
  return members + text;
}

namespace {

/// Writes each message as one line with a JSON object to standard output.
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
    line += EventToJsonMembers(
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

/// Passes lines on to the asynchronous writer within the limits of lines per
/// second. Dropped lines are counted by event, and the counts are logged before
/// the first line after the end of the window. Not thread-safe.
class RateLimitingSink
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  RateLimitingSink(std::shared_ptr<spdlog::async_logger> aWriter,
                   std::uint32_t aLinesPerSecond)
    : mWriter(std::move(aWriter))
  {
    this->mLimiter.mFrequentPerSecond = aLinesPerSecond;
    this->mLimiter.mRarePerSecond = kMaxRareLinesPerSecond;
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override // NOLINT
  {
    const auto time =
      std::chrono::duration_cast<TimePoint>(aMessage.time.time_since_epoch());
    for (const auto& [event, count] : AdvanceWindow(this->mLimiter, time)) {
      this->mWriter->warn("log.dropped of={} count={}", event, count);
    }
    const std::string_view text(aMessage.payload.data(),
                                aMessage.payload.size());
    const bool isCongested =
      spdlog::thread_pool()->queue_size() > kCongestedQueueSize;
    if (AdmitLine(this->mLimiter, EventName(text), isCongested)) {
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
  LogRateLimiter mLimiter;
};

} // namespace

void SetUpEventLog(const LogOptions& aOptions, std::uint32_t aLinesPerSecond)
{
  spdlog::init_thread_pool(kQueueCapacity, 1);
  // If the reader of standard output stalls, the oldest queued lines are lost
  // without being counted, and the logging thread does not wait.
  auto writer = std::make_shared<spdlog::async_logger>(
    aOptions.mProgram,
    std::make_shared<JsonLineSink>(aOptions),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  writer->set_level(spdlog::level::trace);
  auto logger = std::make_shared<spdlog::logger>(
    aOptions.mProgram,
    std::make_shared<RateLimitingSink>(std::move(writer), aLinesPerSecond));
  const auto level = spdlog::level::from_str(aOptions.mLevel);
  logger->set_level(level == spdlog::level::off ? spdlog::level::info : level);
  spdlog::set_default_logger(std::move(logger));
}

} // namespace verbenacroft
