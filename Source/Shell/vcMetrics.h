#pragma once

/// Metrics in the Prometheus text format, written with prometheus-cpp, and the
/// health endpoints of a process.

#include "vcHttp.h"

#include <prometheus/metric_family.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenacroft {

/// Name and value of a Prometheus label.
struct MetricLabel
{
  std::string mName;
  std::string mValue;
};

using MetricLabels = std::vector<MetricLabel>;

/// Collects the metric families of one scrape. Add all metrics of a family
/// consecutively; a name that returns after another starts a new family.
class MetricsPage
{
public:
  /// Adds a counter with its current value.
  void Counter(const std::string& aName,
               const std::string& aHelp,
               double aValue,
               const MetricLabels& aLabels = {});
  /// Adds a gauge with its current value.
  void Gauge(const std::string& aName,
             const std::string& aHelp,
             double aValue,
             const MetricLabels& aLabels = {});
  /// Adds a histogram. `aCounts` holds the count of each bucket on its own, not
  /// cumulative; the last one counts the values above every bound. `aSum` is
  /// the sum of all values.
  void Histogram(const std::string& aName,
                 const std::string& aHelp,
                 const std::vector<double>& aBounds,
                 const std::vector<std::uint64_t>& aCounts,
                 double aSum,
                 const MetricLabels& aLabels);
  /// Returns the page in the Prometheus text format.
  std::string Text() const;

private:
  /// Adds a metric, and a family if its name differs from the last one.
  prometheus::ClientMetric& Add(const std::string& aName,
                                const std::string& aHelp,
                                prometheus::MetricType aType,
                                const MetricLabels& aLabels);
  std::vector<prometheus::MetricFamily> mFamilies;
};

/// Adds the metrics that every process has: CPU time and resident memory.
void AddProcessMetrics(MetricsPage& aPage);

/// Callbacks of the server on the metrics address.
struct HealthHooks
{
  /// Adds the metrics of the program.
  std::function<void(MetricsPage&)> mCollect;
  /// Returns whether /readyz reports the process as ready.
  std::function<bool()> mIsReady;
  /// Handles other paths; optional. Returns status 0 for an unknown path.
  std::function<HttpResponse(const HttpRequest&)> mHandleOtherPath;
};

/// Returns the handler for /metrics, /healthz and /readyz. Paths that no hook
/// handles get status 404.
HttpHandler MakeHealthHandler(HealthHooks aHooks);

} // namespace verbenacroft
