#pragma once

/// Settings files: JSON with comments, decoded and checked in full.

#include "vcCodec.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace verbenacroft {

/// Text of the file at `aPath`, or a fault.
std::string ReadFile(const std::string& aPath, Faults& aFaults);

/// Parses "A.B.C.D:PORT" or "[V6]:PORT". Host names are refused.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
  std::string_view aText);

/// "A.B.C.D:PORT" of `aEndpoint`.
std::string EndpointText(const boost::asio::ip::tcp::endpoint& aEndpoint);

/// Adds a fault unless `aText` is an IP number with a port.
void CheckEndpoint(const std::string& aText,
                   const std::string& aPath,
                   Faults& aFaults);

/// Adds a fault for each of `aTexts` that is not an IP number with a port.
void CheckEndpoints(const std::vector<std::string>& aTexts,
                    const std::string& aPath,
                    Faults& aFaults);

/// Adds a fault if `aText` is empty.
void CheckFilled(const std::string& aText,
                 const std::string& aPath,
                 Faults& aFaults);

/// Adds a fault if two of the addresses are equal.
void CheckDistinct(const std::vector<std::string>& aAddresses,
                   const std::vector<std::string>& aPaths,
                   Faults& aFaults);

/// Reads and decodes a settings file.
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
