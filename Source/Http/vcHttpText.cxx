#include "vcHttp.h"

#include <algorithm>
#include <cctype>

namespace verbenacroft {

namespace {

bool EqualsWithoutCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aFirst, unsigned char aSecond) {
                      return std::tolower(aFirst) == std::tolower(aSecond);
                    });
}

} // namespace

std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (EqualsWithoutCase(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

std::string_view PathOf(const HttpRequest& aRequest)
{
  const std::string_view target = aRequest.mTarget;
  return target.substr(0, target.find('?'));
}

std::string QueryValue(const HttpRequest& aRequest, std::string_view aName)
{
  std::string_view query = aRequest.mTarget;
  const auto queryMark = query.find('?');
  query =
    queryMark == std::string_view::npos ? "" : query.substr(queryMark + 1);
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
    query = end == std::string_view::npos ? "" : query.substr(end + 1);
  }
  return {};
}

HttpResponse ErrorResponse(int aStatus, std::string_view aText)
{
  boost::json::object body;
  body["error"] = aText;
  return JsonResponse(boost::json::serialize(body), aStatus);
}

HttpResponse JsonResponse(std::string aBody, int aStatus)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = std::move(aBody);
  return response;
}

} // namespace verbenacroft
