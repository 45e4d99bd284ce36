#include "vcBurn.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::array<std::string_view, 4> kColours = { "#1b6ca8",
                                                       "#2a9d8f",
                                                       "#e9a23b",
                                                       "#b5483a" };

std::string EscapeHtml(const std::string& aText)
{
  std::string out;
  for (const char byte : aText) {
    switch (byte) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += byte;
    }
  }
  return out;
}

std::string CoverageText(const BurnReport& aReport)
{
  constexpr double kMillisPerMinute = 60'000.0;
  std::string text = fmt::format(
    "{} routers merged; counts cover at least the last {:.1f} minutes",
    aReport.mMerged.size(),
    static_cast<double>(aReport.mLeastCoveredMs) / kMillisPerMinute);
  if (!aReport.mUnreachable.empty()) {
    text += fmt::format("; NOT REACHED, their requests are not counted: {}",
                        fmt::join(aReport.mUnreachable, ", "));
  }
  return text;
}

double MaxBurnRate(const BurnReport& aReport)
{
  // The scale reaches at least 2, so that the line at 1.0 is visible.
  double maxRate = 2.0;
  for (const auto& row : aReport.mServices) {
    for (const auto& counts : row.mWindows) {
      maxRate = std::max(maxRate, BurnRate(counts, row.mObjectivePercent));
    }
  }
  return maxRate;
}

constexpr int kGroupHeightPx = 92;
constexpr int kBarHeightPx = 16;
constexpr int kPlotLeftPx = 170;
constexpr int kPlotWidthPx = 520;

std::string PlotBars(const BurnServiceReport& aRow, int aTop, double aScale)
{
  std::string svg =
    fmt::format("<text x='{}' y='{}' text-anchor='end'>{}</text>\n",
                kPlotLeftPx - 12,
                aTop + 2 * kBarHeightPx + 4,
                EscapeHtml(aRow.mService));
  for (std::size_t i = 0; i < aRow.mWindows.size(); ++i) {
    const double burnRate = BurnRate(aRow.mWindows[i], aRow.mObjectivePercent);
    const int y = aTop + static_cast<int>(i) * (kBarHeightPx + 2);
    svg += fmt::format("<rect x='{}' y='{}' width='{:.1f}' height='{}' "
                       "fill='{}'/>\n<text x='{:.1f}' y='{}' class='v'>{} "
                       "{:.2f}</text>\n",
                       kPlotLeftPx,
                       y,
                       std::max(burnRate * aScale, 1.0),
                       kBarHeightPx,
                       kColours[i % kColours.size()],
                       kPlotLeftPx + burnRate * aScale + 6,
                       y + kBarHeightPx - 4,
                       kBurnWindows[i].mName,
                       burnRate);
  }
  return svg;
}

std::string Plot(const BurnReport& aReport)
{
  const double scale = kPlotWidthPx / MaxBurnRate(aReport);
  const int height =
    static_cast<int>(aReport.mServices.size()) * kGroupHeightPx + 40;
  const double unitRateX = kPlotLeftPx + scale;
  std::string svg = fmt::format(
    "<svg viewBox='0 0 {} {}' role='img' aria-label='Burn rate'>\n"
    "<line x1='{:.1f}' y1='18' x2='{:.1f}' y2='{}' stroke='#888' "
    "stroke-dasharray='4 3'/>\n"
    "<text x='{:.1f}' y='14' class='v' text-anchor='middle'>error budget "
    "used exactly: 1.0</text>\n",
    kPlotLeftPx + kPlotWidthPx + 90,
    height,
    unitRateX,
    unitRateX,
    height - 10,
    unitRateX);
  int top = 26;
  for (const auto& row : aReport.mServices) {
    svg += PlotBars(row, top, scale);
    top += kGroupHeightPx;
  }
  return svg + "</svg>\n";
}

std::string TableRows(const BurnReport& aReport)
{
  std::string rows;
  for (const auto& row : aReport.mServices) {
    for (std::size_t i = 0; i < row.mWindows.size(); ++i) {
      const auto& counts = row.mWindows[i];
      rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
        "<td>{}</td><td>{:.2f}</td><td>{}</td></tr>\n",
        EscapeHtml(row.mService),
        EscapeHtml(row.mBacker),
        kBurnWindows[i].mName,
        counts.mTotal,
        counts.mTotal - counts.mGood,
        counts.mErrors,
        BurnRate(counts, row.mObjectivePercent),
        QuantileMs(counts, 0.99));
    }
  }
  return rows;
}

} // namespace

std::string BurnTable(const BurnReport& aReport)
{
  std::string text =
    fmt::format("{:<16} {:<14} {:>6} {:>9} {:>7} {:>7} {:>7} {:>9}\n",
                "SERVICE",
                "BACKER",
                "WINDOW",
                "REQUESTS",
                "BAD",
                "ERRORS",
                "BURN",
                "P99<=MS");
  for (const auto& row : aReport.mServices) {
    for (std::size_t i = 0; i < row.mWindows.size(); ++i) {
      const auto& counts = row.mWindows[i];
      text +=
        fmt::format("{:<16} {:<14} {:>6} {:>9} {:>7} {:>7} {:>7.2f} {:>9}\n",
                    row.mService,
                    row.mBacker,
                    kBurnWindows[i].mName,
                    counts.mTotal,
                    counts.mTotal - counts.mGood,
                    counts.mErrors,
                    BurnRate(counts, row.mObjectivePercent),
                    QuantileMs(counts, 0.99));
    }
  }
  return text + CoverageText(aReport) + "\n";
}

std::string BurnPage(const BurnReport& aReport)
{
  return "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
         "<title>Error budget burn rate</title>\n<style>\n"
         "body{font:15px/1.5 sans-serif;margin:2em auto;max-width:820px;"
         "color:#222}\n"
         "table{border-collapse:collapse;width:100%}\n"
         "td,th{padding:3px 8px;border-bottom:1px solid #ddd;"
         "text-align:right}\n"
         "td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}\n"
         "svg{width:100%;font:13px sans-serif}\n.v{font-size:11px;"
         "fill:#444}\n</style></head><body>\n"
         "<h1>Error budget burn rate</h1>\n<p>" +
         EscapeHtml(CoverageText(aReport)) + ".</p>\n" + Plot(aReport) +
         "<table><tr><th>Service</th><th>Backer</th><th>Window</th>"
         "<th>Requests</th><th>Bad</th><th>Errors</th><th>Burn rate</th>"
         "<th>p99 upper bound, ms</th></tr>\n" +
         TableRows(aReport) + "</table>\n</body></html>\n";
}

} // namespace verbenacroft
