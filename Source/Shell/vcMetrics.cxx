#include "vcMetrics.h"

#include <prometheus/text_serializer.h>

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace verbenacroft {

prometheus::ClientMetric& MetricsPage::Add(const std::string& aName,
                                           const std::string& aHelp,
                                           prometheus::MetricType aType,
                                           const MetricLabels& aLabels)
{
  if (this->mFamilies.empty() || this->mFamilies.back().name != aName) {
    this->mFamilies.push_back({ aName, aHelp, aType, {} });
  }
  auto& metric = this->mFamilies.back().metric.emplace_back();
  for (const auto& label : aLabels) {
    metric.label.push_back({ label.mName, label.mValue });
  }
  return metric;
}

void MetricsPage::Counter(const std::string& aName,
                          const std::string& aHelp,
                          double aValue,
                          const MetricLabels& aLabels)
{
  this->Add(aName, aHelp, prometheus::MetricType::Counter, aLabels)
    .counter.value = aValue;
}

void MetricsPage::Gauge(const std::string& aName,
                        const std::string& aHelp,
                        double aValue,
                        const MetricLabels& aLabels)
{
  this->Add(aName, aHelp, prometheus::MetricType::Gauge, aLabels).gauge.value =
    aValue;
}

void MetricsPage::Histogram(const std::string& aName,
                            const std::string& aHelp,
                            const std::vector<double>& aBounds,
                            const std::vector<std::uint64_t>& aCounts,
                            double aSum,
                            const MetricLabels& aLabels)
{
  auto& metric =
    this->Add(aName, aHelp, prometheus::MetricType::Histogram, aLabels);
  std::uint64_t cumulativeCount = 0;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    cumulativeCount += aCounts[i];
    prometheus::ClientMetric::Bucket bucket;
    bucket.cumulative_count = cumulativeCount;
    bucket.upper_bound =
      i < aBounds.size() ? aBounds[i] : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back(bucket);
  }
  metric.histogram.sample_count = cumulativeCount;
  metric.histogram.sample_sum = aSum;
}

std::string MetricsPage::Text() const
{
  return prometheus::TextSerializer().Serialize(this->mFamilies);
}

void AddProcessMetrics(MetricsPage& aPage)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const double seconds =
    static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
    static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
      kMicrosecondsPerSecond;
  aPage.Counter("process_cpu_seconds_total",
                "User and system CPU time in seconds.",
                seconds);
  std::ifstream statm("/proc/self/statm");
  long pages = 0;
  long resident = 0;
  statm >> pages >> resident;
  aPage.Gauge("process_resident_memory_bytes",
              "Resident memory in bytes.",
              static_cast<double>(resident) *
                static_cast<double>(sysconf(_SC_PAGESIZE)));
}

namespace {

/// Adds what the servers of the process have refused and hold.
void AddServerMetrics(MetricsPage& aPage)
{
  const HttpBudget& budget = ProcessHttpBudget();
  for (const auto& refusal : EnumTable<HttpRefusal>::kRows) {
    aPage.Counter("verbenacroft_http_refusals_total",
                  "Requests and connections refused by the servers.",
                  static_cast<double>(budget.Refusals(refusal.mValue)),
                  { { "reason", std::string(refusal.mName) } });
  }
  aPage.Gauge("verbenacroft_http_connections",
              "Open connections to the servers.",
              static_cast<double>(budget.Connections()));
  aPage.Gauge("verbenacroft_http_buffered_bytes",
              "Memory that requests take until they are answered.",
              static_cast<double>(budget.Bytes()));
}

HttpResponse TextResponse(int aStatus, std::string aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain; version=0.0.4";
  response.mBody = std::move(aBody);
  return response;
}

HttpResponse HandleMetricsRequest(const HealthHooks& aHooks,
                                  const HttpRequest& aRequest)
{
  const auto path = PathOf(aRequest);
  if (path == "/metrics") {
    MetricsPage page;
    AddProcessMetrics(page);
    AddServerMetrics(page);
    aHooks.mCollect(page);
    return TextResponse(200, page.Text());
  }
  if (path == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (path == "/readyz") {
    const bool isReady = aHooks.mIsReady();
    return TextResponse(isReady ? 200 : 503,
                        isReady ? "ready\n" : "not ready\n");
  }
  HttpResponse response;
  response.mStatus = 0;
  if (aHooks.mHandleOtherPath) {
    response = aHooks.mHandleOtherPath(aRequest);
  }
  return response.mStatus != 0 ? response : ErrorResponse(404, "no such path");
}

/// Wraps a response that is already available in a coroutine.
asio::awaitable<HttpResponse> CompletedResponse(HttpResponse aResponse)
{
  co_return aResponse;
}

} // namespace

HttpHandler MakeHealthHandler(HealthHooks aHooks)
{
  return [hooks = std::move(aHooks)](const HttpRequest& aRequest) {
    return CompletedResponse(HandleMetricsRequest(hooks, aRequest));
  };
}

} // namespace verbenacroft
