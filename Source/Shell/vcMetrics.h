#pragma once

/// Metrics in the Prometheus text format, by prometheus-cpp, and health.

#include "vcHttp.h"

#include <prometheus/metric_family.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenacroft {

struct MetricLabel
{
  std::string mName;
  std::string mValue;
};

using MetricLabels = std::vector<MetricLabel>;

/// Collects metric families for one scrape.
class MetricsPage
{
public:
  void Counter(const std::string& aName,
               const std::string& aHelp,
               double aValue,
               const MetricLabels& aLabels = {});
  void Gauge(const std::string& aName,
             const std::string& aHelp,
             double aValue,
             const MetricLabels& aLabels = {});
  /// `aCounts` are the counts of each bucket, not cumulated; the last one is
  /// for values above every bound.
  void Histogram(const std::string& aName,
                 const std::string& aHelp,
                 const std::vector<double>& aBounds,
                 const std::vector<std::uint64_t>& aCounts,
                 double aSum,
                 const MetricLabels& aLabels);
  std::string Text() const;

private:
  prometheus::ClientMetric& Add(const std::string& aName,
                                const std::string& aHelp,
                                prometheus::MetricType aType,
                                const MetricLabels& aLabels);
  std::vector<prometheus::MetricFamily> mFamilies;
};

/// Adds what every process reports of itself.
void AddProcessMetrics(MetricsPage& aPage);

/// Answers of the metrics address.
struct HealthHooks
{
  std::function<void(MetricsPage&)> mCollect;
  std::function<bool()> mIsReady;
  /// Further paths; a status of 0 means that the path is not known.
  std::function<HttpResponse(const HttpRequest&)> mOther;
};

/// Handler for /metrics, /healthz and /readyz.
HttpHandler MakeHealthHandler(HealthHooks aHooks);

} // namespace verbenacroft
