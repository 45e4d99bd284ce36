#pragma once

/// Conversion between Beast's messages and those of the server's public header.
/// Private to the server.

#include "vcHttp.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace verbenacroft {

namespace beast = boost::beast;
namespace http = beast::http;

using BeastRequest = http::request<http::string_body>;
using BeastResponse = http::response<http::string_body>;

/// Moves the body out of `aMessage`.
HttpRequest FromBeast(BeastRequest& aMessage);

/// Moves the body out of `aResponse`.
BeastResponse ToBeast(HttpResponse& aResponse, bool aKeepAlive);

/// Why a request that could not be read is refused; nothing if its connection
/// failed or was closed.
std::optional<HttpRefusal> RefusalOf(beast::error_code aError);

/// Response to a refused request, which has not been handled.
HttpResponse RefusalResponse(HttpRefusal aRefusal);

} // namespace verbenacroft
