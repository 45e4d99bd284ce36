#include "vcCodec.h"

#include <algorithm>
#include <cctype>

namespace verbenacroft {

namespace {
/// Longer texts of values are cut to this number of bytes in messages.
constexpr std::size_t kMaxValueTextBytes = 60;
} // namespace

std::string Describe(const Fault& aFault)
{
  return aFault.mPath + ": found " + aFault.mFound +
         ", allowed: " + aFault.mAllowed;
}

std::string MemberKey(const char* aMember)
{
  std::string key(aMember + 1);
  key[0] = static_cast<char>(std::tolower(static_cast<unsigned char>(key[0])));
  return key;
}

std::string AbbreviatedJson(const boost::json::value& aValue)
{
  std::string text = boost::json::serialize(aValue);
  if (text.size() > kMaxValueTextBytes) {
    text.resize(kMaxValueTextBytes);
    text += "...";
  }
  return text;
}

std::optional<boost::json::value> ParseJson(std::string_view aText,
                                            Faults& aFaults)
{
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::json::stream_parser parser({}, options);
  boost::system::error_code error;
  const std::size_t consumed =
    parser.write_some(aText.data(), aText.size(), error);
  if (!error && consumed < aText.size()) {
    const auto rest = aText.substr(consumed);
    const bool isBlank = std::all_of(rest.begin(), rest.end(), [](char aByte) {
      return std::isspace(static_cast<unsigned char>(aByte)) != 0;
    });
    if (!isBlank) {
      error = boost::json::error::extra_data;
    }
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    // After some errors the parser reports more consumed characters than the
    // text has.
    const auto offset =
      static_cast<std::ptrdiff_t>(std::min(consumed, aText.size()));
    const auto line =
      1 + std::count(aText.begin(), aText.begin() + offset, '\n');
    aFaults.push_back({ "line " + std::to_string(line),
                        error.message(),
                        "JSON with comments" });
    return std::nullopt;
  }
  return parser.release();
}

} // namespace verbenacroft
