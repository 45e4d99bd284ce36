#include "vcLog.h"

#include <boost/json.hpp>
#include <memory>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

/// Formats the message as a quoted JSON string. Used in the pattern of JSON
/// lines.
class JsonTextFlag : public spdlog::custom_flag_formatter
{
public:
  void format(const spdlog::details::log_msg& aMessage, // NOLINT
              const std::tm& /*aTime*/,
              spdlog::memory_buf_t& aOut) override
  {
    const boost::json::string text(aMessage.payload.data(),
                                   aMessage.payload.size());
    const std::string quoted = boost::json::serialize(text);
    aOut.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override // NOLINT
  {
    return std::make_unique<JsonTextFlag>();
  }
};

} // namespace

void SetUpLogging(const LogOptions& aOptions)
{
  auto logger = spdlog::stderr_logger_st(aOptions.mProgram);
  if (aOptions.mIsJson) {
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<JsonTextFlag>('*');
    formatter->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":"
                           "\"%l\",\"program\":\"%n\",\"instance\":\"" +
                           aOptions.mInstance + "\",\"event\":%*}");
    logger->set_formatter(std::move(formatter));
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n " + aOptions.mInstance +
                        " %v");
  }
  const bool isKnown =
    spdlog::level::from_str(aOptions.mLevel) != spdlog::level::off;
  logger->set_level(isKnown ? spdlog::level::from_str(aOptions.mLevel)
                            : spdlog::level::info);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

} // namespace verbenacroft
