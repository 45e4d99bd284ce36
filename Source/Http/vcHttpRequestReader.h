#pragma once

/// Incremental parsing of one request within the limits of a server. Private to
/// the server.

#include "vcHttpBeast.h"

namespace verbenacroft {

/// Bytes that are read at most before they are parsed, beyond a whole header.
/// Trailers and chunk headers have to fit, since the parser needs each as a
/// whole.
constexpr std::size_t kMaxUnparsedBytes = 16 * 1024;

/// Parses a request piece by piece. Beast's own read operation goes on over
/// small chunks without returning, so that no limit could be checked in
/// between.
class HttpRequestReader
{
public:
  explicit HttpRequestReader(const HttpLimits& aLimits);
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  /// Parses what the buffer holds. An incomplete part stays there.
  /// @return why the request is refused, or nothing
  std::optional<HttpRefusal> Parse(beast::flat_buffer& aBuffer);

  bool IsDone() const { return this->mParser.is_done(); }

  /// Memory that the request takes until it is complete.
  std::size_t Bytes() const;

  /// Memory that the complete request takes while it is handled, with what its
  /// handler makes of it.
  std::size_t HandlingBytes() const;

  BeastRequest& Message() { return this->mParser.get(); }

private:
  bool HasTooMuchFraming() const;

  http::request_parser<http::string_body> mParser;
  std::size_t mMaxHeaderBytes;
  /// Bytes of the header that were parsed.
  std::size_t mHeaderBytes = 0;
  /// All bytes that were parsed.
  std::size_t mParsedBytes = 0;
};

} // namespace verbenacroft
