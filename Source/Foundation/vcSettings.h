#pragma once

/// Reading and checking of settings files, which are JSON with comments. All
/// faults of a file are reported, not just the first one.

#include "vcCodec.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace verbenacroft {

/// Contents of the file at `aPath`. If it can't be opened, a fault is added and
/// the result is empty.
std::string ReadFile(const std::string& aPath, Faults& aFaults);

/// Parses an IP address with a port, "A.B.C.D:PORT" or "[V6]:PORT". The
/// brackets are not required. Returns nothing for host names, for port 0 and
/// for any other text.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
  std::string_view aText);

/// Text of `aEndpoint`: "A.B.C.D:PORT" or "[V6]:PORT".
std::string EndpointText(const boost::asio::ip::tcp::endpoint& aEndpoint);

/// Adds a fault unless `aText` is an IP address with a port.
/// @param aPath path of the setting, for the fault
void CheckEndpoint(const std::string& aText,
                   const std::string& aPath,
                   Faults& aFaults);

/// Adds a fault for each of `aTexts` that is not an IP address with a port.
/// @param aPath path of the list, for the faults
void CheckEndpoints(const std::vector<std::string>& aTexts,
                    const std::string& aPath,
                    Faults& aFaults);

/// Adds a fault if `aText` is empty.
void CheckNotEmpty(const std::string& aText,
                   const std::string& aPath,
                   Faults& aFaults);

/// Adds a fault for each pair of equal addresses, which are compared as text.
/// Empty addresses are ignored.
/// @param aPaths paths of the settings, in the order of `aAddresses`
void CheckDistinct(const std::vector<std::string>& aAddresses,
                   const std::vector<std::string>& aPaths,
                   Faults& aFaults);

/// Reads and decodes the settings file at `aPath`. If `aFaults` is not empty
/// afterwards, the result must not be used; if it was not empty before, the
/// file is not decoded.
template<class T>
T LoadSettings(const std::string& aPath, Faults& aFaults)
{
  const std::string text = ReadFile(aPath, aFaults);
  if (!aFaults.empty()) {
    return {};
  }
  return Decode<T>(text, aFaults);
}

} // namespace verbenacroft
