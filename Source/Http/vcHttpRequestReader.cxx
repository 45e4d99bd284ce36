#include "vcHttpRequestReader.h"

namespace verbenacroft {

namespace {

/// Bytes of chunk headers, trailers and header fields that a request may have,
/// beyond a multiple of its body.
constexpr std::size_t kMaxFramingBytes = 64 * 1024;
/// That multiple. A chunk of one byte without an extension takes six.
constexpr std::size_t kMaxFramingFactor = 8;
/// Memory for each byte of header fields: the parser takes some 80 bytes for a
/// field of 4, and its copy for the handler as much.
constexpr std::size_t kFieldFactor = 40;

} // namespace

HttpRequestReader::HttpRequestReader(const HttpLimits& aLimits)
  : mMaxHeaderBytes(aLimits.mHeaderBytes)
{
  // The parser's own limit counts only what is unparsed of a header.
  this->mParser.header_limit(static_cast<std::uint32_t>(aLimits.mHeaderBytes));
  this->mParser.body_limit(aLimits.mBodyBytes);
}

std::optional<HttpRefusal> HttpRequestReader::Parse(beast::flat_buffer& aBuffer)
{
  beast::error_code error;
  while (!error && aBuffer.size() > 0 && !this->mParser.is_done()) {
    const bool isInHeader = !this->mParser.is_header_done();
    const std::size_t bytes = this->mParser.put(aBuffer.data(), error);
    aBuffer.consume(bytes);
    this->mParsedBytes += bytes;
    this->mHeaderBytes += isInHeader ? bytes : 0;
    if (bytes == 0) {
      break;
    }
  }
  if (error && error != http::error::need_more) {
    return RefusalOf(error).value_or(HttpRefusal::kMalformed);
  }
  if (this->mHeaderBytes > this->mMaxHeaderBytes) {
    return HttpRefusal::kHeaderTooLarge;
  }
  if (this->HasTooMuchFraming()) {
    return HttpRefusal::kMalformed;
  }
  return std::nullopt;
}

std::size_t HttpRequestReader::Bytes() const
{
  return this->mParser.get().body().capacity() +
         kFieldFactor * this->mHeaderBytes;
}

/// True if the request has more chunk headers, trailers and header fields than
/// its body explains.
bool HttpRequestReader::HasTooMuchFraming() const
{
  const std::size_t body = this->mParser.get().body().size();
  return this->mParsedBytes > kMaxFramingBytes + (1 + kMaxFramingFactor) * body;
}

} // namespace verbenacroft
