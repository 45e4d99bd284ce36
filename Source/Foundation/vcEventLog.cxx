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
constexpr auto kWindow = std::chrono::seconds(1);

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

/// Writes one JSON object a line to standard output. Lines beyond the limit
/// of a second are counted and the count is written instead.
class BoundedJsonSink
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  BoundedJsonSink(LogOptions aOptions, std::uint32_t aLinesPerSecond)
    : mOptions(std::move(aOptions))
    , mLinesPerSecond(aLinesPerSecond)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override // NOLINT
  {
    if (aMessage.time - this->mWindowStart >= kWindow) {
      this->OpenWindow(aMessage.time);
    }
    if (this->mLines >= this->mLinesPerSecond) {
      ++this->mDropped;
      return;
    }
    ++this->mLines;
    const auto level = spdlog::level::to_string_view(aMessage.level);
    this->Write(aMessage.time,
                std::string_view(level.data(), level.size()),
                EventAsMembers(std::string_view(aMessage.payload.data(),
                                                aMessage.payload.size())));
  }

  void flush_() override // NOLINT
  {
    std::fflush(stdout);
  }

private:
  void OpenWindow(spdlog::log_clock::time_point aNow)
  {
    this->mWindowStart = aNow;
    this->mLines = 0;
    if (this->mDropped > 0) {
      const std::string count = std::to_string(this->mDropped);
      this->mDropped = 0;
      this->Write(
        aNow, "warning", EventAsMembers("log.dropped count=" + count));
    }
  }

  void Write(spdlog::log_clock::time_point aTime,
             std::string_view aLevel,
             const std::string& aMembers)
  {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime.time_since_epoch());
    std::string line = "{\"time_ms\":" + std::to_string(ms.count());
    line += ",\"level\":\"" + std::string(aLevel);
    line += "\",\"program\":\"" + this->mOptions.mProgram;
    line += "\",\"instance\":\"" + this->mOptions.mInstance + "\"";
    line += aMembers;
    line += "}\n";
    std::fwrite(line.data(), 1, line.size(), stdout);
  }

  LogOptions mOptions;
  std::uint32_t mLinesPerSecond;
  std::uint32_t mLines = 0;
  std::uint64_t mDropped = 0;
  spdlog::log_clock::time_point mWindowStart;
};

} // namespace

void SetUpEventLog(const LogOptions& aOptions, std::uint32_t aLinesPerSecond)
{
  spdlog::init_thread_pool(kQueuedLines, 1);
  auto sink = std::make_shared<BoundedJsonSink>(aOptions, aLinesPerSecond);
  // A reader that stands still costs lines, never time.
  auto logger = std::make_shared<spdlog::async_logger>(
    aOptions.mProgram,
    std::move(sink),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  const auto level = spdlog::level::from_str(aOptions.mLevel);
  logger->set_level(level == spdlog::level::off ? spdlog::level::info : level);
  spdlog::set_default_logger(std::move(logger));
}

} // namespace verbenacroft
