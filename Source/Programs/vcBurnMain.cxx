/// verbenacroft-burn: reports how fast the services consume their error
/// budgets (service-level burn), merged over all routers.

#include "vcBurn.h"
#include "vcHttp.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace verbenacroft {
namespace {

/// Timeout of the request to one router, in ms.
constexpr Duration kRouterTimeout{ 2'000 };

/// Fetches the reports of the routers, one after the other. Addresses that give
/// no valid report are added to `aUnreachable`.
asio::awaitable<void> FetchReports(HttpClient& aHttp,
                                   std::vector<std::string> aRouters,
                                   std::vector<BurnRouterReport>& aReports,
                                   std::vector<std::string>& aUnreachable)
{
  for (const auto& address : aRouters) {
    const auto endpoint = ParseEndpoint(address);
    HttpRequest request;
    request.mTarget = "/v1/burn";
    HttpCallOptions options;
    options.mTimeout = kRouterTimeout;
    HttpResult result =
      co_await aHttp.Call(*endpoint, std::move(request), std::move(options));
    auto report = result.mError
                    ? std::nullopt
                    : TryDecode<BurnRouterReport>(result.mResponse.mBody);
    if (report) {
      aReports.push_back(std::move(*report));
    } else {
      aUnreachable.push_back(address);
    }
  }
}

/// Prints the merged report and, unless `aHtmlPath` is empty, writes it there
/// as an HTML page.
/// @return the exit code: 1 if a router gave no valid report or the page could
/// not be written.
int PrintReport(const std::vector<std::string>& aRouters,
                bool aIsJson,
                const std::string& aHtmlPath)
{
  asio::io_context context;
  HttpClient http(context);
  std::vector<BurnRouterReport> reports;
  std::vector<std::string> unreachable;
  asio::co_spawn(context,
                 FetchReports(http, aRouters, reports, unreachable),
                 asio::detached);
  context.run();
  const BurnReport merged = MergeReports(reports, unreachable);
  std::cout << (aIsJson ? Encode(merged) + "\n" : BurnTable(merged));
  if (!aHtmlPath.empty()) {
    std::ofstream page(aHtmlPath);
    page << BurnPage(merged);
    if (!page) {
      std::cerr << aHtmlPath << ": can't be written\n";
      return 1;
    }
  }
  return unreachable.empty() ? 0 : 1;
}

} // namespace
} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  cxxopts::Options options("verbenacroft-burn",
                           "Reports service-level burn over 5 min, 1 h, 6 h "
                           "and 3 d, merged over all routers.");
  auto add = options.add_options();
  add("router",
      "metrics address of a router; repeat for each",
      cxxopts::value<std::vector<std::string>>());
  add("json", "print JSON");
  add("html",
      "write a page with a plot to this file",
      cxxopts::value<std::string>()->default_value(""));
  add("version", "print the version and exit");
  add("help", "print this help and exit");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "verbenacroft-burn 0.1.0\n";
      return 0;
    }
    if (parsed.count("router") == 0) {
      std::cerr << "verbenacroft-burn: --router ADDRESS is required\n";
      return 2;
    }
    const auto routers = parsed["router"].as<std::vector<std::string>>();
    for (const auto& router : routers) {
      if (!ParseEndpoint(router)) {
        std::cerr << "verbenacroft-burn: --router " << router
                  << ": allowed: an IP address and a port\n";
        return 2;
      }
    }
    return PrintReport(
      routers, parsed.count("json") > 0, parsed["html"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "verbenacroft-burn: " << error.what() << "; see --help\n";
    return 2;
  }
}
