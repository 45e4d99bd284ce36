#include "vcBurn.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::array<std::string_view, 4> kColours = { "#1b6ca8",
                                                       "#2a9d8f",
                                                       "#e9a23b",
                                                       "#b5483a" };

std::string Escape(const std::string& aText)
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
    "{} routers merged; counts reach back {:.1f} minutes at least",
    aReport.mMerged.size(),
    static_cast<double>(aReport.mLeastCoveredMs) / kMillisPerMinute);
  if (!aReport.mUnreachable.empty()) {
    text += fmt::format("; NOT REACHED, their requests are missing: {}",
                        fmt::join(aReport.mUnreachable, ", "));
  }
  return text;
}

double HighestBurn(const BurnReport& aReport)
{
  double highest = 2.0;
  for (const auto& row : aReport.mServices) {
    for (const auto& counts : row.mWindows) {
      highest = std::max(highest, BurnRate(counts, row.mObjectivePercent));
    }
  }
  return highest;
}

constexpr int kGroupHeight = 92;
constexpr int kBarHeight = 16;
constexpr int kLeft = 170;
constexpr int kWidth = 520;

std::string PlotBars(const BurnServiceReport& aRow, int aTop, double aScale)
{
  std::string svg =
    fmt::format("<text x='{}' y='{}' text-anchor='end'>{}</text>\n",
                kLeft - 12,
                aTop + 2 * kBarHeight + 4,
                Escape(aRow.mService));
  for (std::size_t i = 0; i < aRow.mWindows.size(); ++i) {
    const double burn = BurnRate(aRow.mWindows[i], aRow.mObjectivePercent);
    const int y = aTop + static_cast<int>(i) * (kBarHeight + 2);
    svg += fmt::format("<rect x='{}' y='{}' width='{:.1f}' height='{}' "
                       "fill='{}'/>\n<text x='{:.1f}' y='{}' class='v'>{} "
                       "{:.2f}</text>\n",
                       kLeft,
                       y,
                       std::max(burn * aScale, 1.0),
                       kBarHeight,
                       kColours[i % kColours.size()],
                       kLeft + burn * aScale + 6,
                       y + kBarHeight - 4,
                       kBurnWindows[i].mName,
                       burn);
  }
  return svg;
}

std::string Plot(const BurnReport& aReport)
{
  const double scale = kWidth / HighestBurn(aReport);
  const int height =
    static_cast<int>(aReport.mServices.size()) * kGroupHeight + 40;
  const double one = kLeft + scale;
  std::string svg = fmt::format(
    "<svg viewBox='0 0 {} {}' role='img' aria-label='Burn rate'>\n"
    "<line x1='{:.1f}' y1='18' x2='{:.1f}' y2='{}' stroke='#888' "
    "stroke-dasharray='4 3'/>\n"
    "<text x='{:.1f}' y='14' class='v' text-anchor='middle'>budget used up "
    "exactly: 1.0</text>\n",
    kLeft + kWidth + 90,
    height,
    one,
    one,
    height - 10,
    one);
  int top = 26;
  for (const auto& row : aReport.mServices) {
    svg += PlotBars(row, top, scale);
    top += kGroupHeight;
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
        Escape(row.mService),
        Escape(row.mBacker),
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
         "<title>Service-level burn</title>\n<style>\n"
         "body{font:15px/1.5 sans-serif;margin:2em auto;max-width:820px;"
         "color:#222}\n"
         "table{border-collapse:collapse;width:100%}\n"
         "td,th{padding:3px 8px;border-bottom:1px solid #ddd;"
         "text-align:right}\n"
         "td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}\n"
         "svg{width:100%;font:13px sans-serif}\n.v{font-size:11px;"
         "fill:#444}\n</style></head><body>\n"
         "<h1>Service-level burn</h1>\n<p>" +
         Escape(CoverageText(aReport)) + ".</p>\n" + Plot(aReport) +
         "<table><tr><th>Service</th><th>Backer</th><th>Window</th>"
         "<th>Requests</th><th>Bad</th><th>Errors</th><th>Burn</th>"
         "<th>p99 at most, ms</th></tr>\n" +
         TableRows(aReport) + "</table>\n</body></html>\n";
}

} // namespace verbenacroft
