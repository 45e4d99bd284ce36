#include "vcSettings.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace verbenacroft {

std::string ReadFile(const std::string& aPath, Faults& aFaults)
{
  std::ifstream file(aPath);
  if (!file) {
    aFaults.push_back({ "$", "no readable file", "a readable file" });
    return {};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
  std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  const auto digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string EndpointText(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  const std::string host = aEndpoint.address().to_string();
  const std::string port = std::to_string(aEndpoint.port());
  return aEndpoint.address().is_v6() ? "[" + host + "]:" + port
                                     : host + ":" + port;
}

void CheckEndpoint(const std::string& aText,
                   const std::string& aPath,
                   Faults& aFaults)
{
  if (!ParseEndpoint(aText)) {
    aFaults.push_back({ aPath,
                        "\"" + aText + "\"",
                        "an IP address and a port, such as 127.0.0.1:7000" });
  }
}

void CheckEndpoints(const std::vector<std::string>& aTexts,
                    const std::string& aPath,
                    Faults& aFaults)
{
  for (std::size_t i = 0; i < aTexts.size(); ++i) {
    CheckEndpoint(aTexts[i], aPath + "[" + std::to_string(i) + "]", aFaults);
  }
}

void CheckNotEmpty(const std::string& aText,
                   const std::string& aPath,
                   Faults& aFaults)
{
  if (aText.empty()) {
    aFaults.push_back({ aPath, "an empty string", "a non-empty string" });
  }
}

void CheckDistinct(const std::vector<std::string>& aAddresses,
                   const std::vector<std::string>& aPaths,
                   Faults& aFaults)
{
  for (std::size_t i = 0; i < aAddresses.size(); ++i) {
    for (std::size_t j = i + 1; j < aAddresses.size(); ++j) {
      if (!aAddresses[i].empty() && aAddresses[i] == aAddresses[j]) {
        aFaults.push_back({ aPaths[j],
                            "the address of " + aPaths[i],
                            "an address that differs from it" });
      }
    }
  }
}

} // namespace verbenacroft
