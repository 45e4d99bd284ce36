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
/// Memory of a field beside its name and value, once in the parser and once in
/// the handler's copy.
constexpr std::size_t kFieldBytes = 200;
/// Copies of a body while its request is handled: those of the request, and the
/// same content as a decoded job, as the record that is stored and in the
/// encoded call to the store.
constexpr std::size_t kBodyCopies = 8;
/// Memory of a request that is handled beside its content: its coroutines and a
/// connection to the store or to a peer.
constexpr std::size_t kHandlerBytes = 8 * 1024;

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

std::size_t HttpRequestReader::HandlingBytes() const
{
  const BeastRequest& message = this->mParser.get();
  std::size_t bytes = kHandlerBytes + kBodyCopies * message.body().size();
  for (const auto& field : message) {
    const std::size_t text = field.name_string().size() + field.value().size();
    bytes += kFieldBytes + 2 * text;
  }
  return bytes;
}

/// True if the request has more chunk headers, trailers and header fields than
/// its body explains.
bool HttpRequestReader::HasTooMuchFraming() const
{
  const std::size_t body = this->mParser.get().body().size();
  return this->mParsedBytes > kMaxFramingBytes + (1 + kMaxFramingFactor) * body;
}

} // namespace verbenacroft
