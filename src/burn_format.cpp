#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "burn_report.h"

namespace plantain {
namespace {

using nlohmann::json;

std::string FormatWindow(Duration window) {
  const int64_t minutes = std::chrono::duration_cast<std::chrono::minutes>(window).count();
  if (minutes % 60 == 0) return std::to_string(minutes / 60) + "h";
  return std::to_string(minutes) + "m";
}

std::string_view GetSeverityName(BurnSeverity severity) { return severity == BurnSeverity::kPage ? "page" : "ticket"; }

std::string FormatPercent(double share) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(share != 0 && std::abs(share) < 0.001 ? 4 : 2) << share * 100 << "%";
  return out.str();
}

std::string FormatRate(double rate) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << rate;
  return out.str();
}

std::string FormatTime(UnixSeconds time) {
  const std::time_t seconds = time.Get();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%d %H:%M UTC");
  return out.str();
}

void AppendContributors(std::ostringstream& out, std::string_view label, const std::vector<BurnContributor>& rows) {
  if (rows.empty()) return;
  out << "    " << label << ":";
  for (const BurnContributor& row : rows) out << "  " << row.name << " " << std::llround(row.bad);
  out << "\n";
}

json ToJson(const std::vector<BurnContributor>& rows) {
  json list = json::array();
  for (const BurnContributor& row : rows) list.push_back({{"name", row.name}, {"bad", row.bad}});
  return list;
}

json ToJson(const BurnMeasureReport& measure) {
  json rules = json::array();
  for (const BurnRuleState& state : measure.rules) {
    rules.push_back({{"severity", GetSeverityName(state.rule.severity)},
                     {"short_window", FormatWindow(state.rule.short_window)},
                     {"long_window", FormatWindow(state.rule.long_window)},
                     {"threshold", state.rule.threshold},
                     {"short_rate", state.short_rate},
                     {"long_rate", state.long_rate},
                     {"firing", state.is_firing}});
  }
  return {{"measure", GetBurnMeasureName(measure.objective.measure)},
          {"target", measure.objective.target},
          {"weight", measure.objective.weight},
          {"good", measure.period.good},
          {"bad", measure.period.bad},
          {"budget_left", measure.budget_left},
          {"rules", rules},
          {"endpoints", ToJson(measure.endpoints)},
          {"zones", ToJson(measure.zones)},
          {"workspaces", ToJson(measure.workspaces)},
          {"reasons", ToJson(measure.reasons)},
          {"bad_share_over_time", measure.bad_share_over_time}};
}

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

// Returns an SVG bar chart of the share of bad events over time with a line at the allowed share.
std::string FormatSvgPlot(const BurnMeasureReport& measure) {
  constexpr int kWidth = 600;
  constexpr int kHeight = 110;
  const double budget = 1 - measure.objective.target;
  double top = budget * 2;
  for (const double share : measure.bad_share_over_time) top = std::max(top, share);
  if (top <= 0) top = 1;
  const double step = static_cast<double>(kWidth) / static_cast<double>(measure.bad_share_over_time.size());
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "<svg viewBox=\"0 0 " << kWidth << " " << kHeight << "\" role=\"img\" aria-label=\"bad share of "
      << GetBurnMeasureName(measure.objective.measure) << " over time\">";
  for (size_t i = 0; i < measure.bad_share_over_time.size(); ++i) {
    const double height = measure.bad_share_over_time[i] / top * kHeight;
    if (height <= 0) continue;
    const char* style = measure.bad_share_over_time[i] > budget ? "over" : "bar";
    out << "<rect class=\"" << style << "\" x=\"" << static_cast<double>(i) * step << "\" y=\"" << kHeight - height
        << "\" width=\"" << step * 0.8 << "\" height=\"" << height << "\"/>";
  }
  const double line = kHeight - budget / top * kHeight;
  out << "<line class=\"budget\" x1=\"0\" x2=\"" << kWidth << "\" y1=\"" << line << "\" y2=\"" << line << "\"/></svg>"
      << "<p class=\"axis\">top " << FormatPercent(top) << " bad, dashed line: allowed " << FormatPercent(budget)
      << "</p>";
  return out.str();
}

void AppendHtmlContributors(std::ostringstream& out, std::string_view label, const std::vector<BurnContributor>& rows) {
  if (rows.empty()) return;
  out << "<div><h3>" << label << "</h3><table>";
  for (const BurnContributor& row : rows) {
    out << "<tr><td>" << EscapeHtml(row.name) << "</td><td class=\"n\">" << std::llround(row.bad) << "</td></tr>";
  }
  out << "</table></div>";
}

void AppendHtmlMeasure(std::ostringstream& out, const BurnMeasureReport& measure) {
  out << "<section><h2>" << GetBurnMeasureName(measure.objective.measure) << "</h2><p>target "
      << FormatPercent(measure.objective.target) << ", bad " << std::llround(measure.period.bad) << " of "
      << std::llround(measure.period.GetTotal()) << ", budget left <strong>" << FormatPercent(measure.budget_left)
      << "</strong></p>";
  if (measure.period.GetTotal() <= 0) {
    out << "<p>No events in this period.</p></section>";
    return;
  }
  out << FormatSvgPlot(measure)
      << "<table><tr><th>alert</th><th>windows</th><th class=\"n\">burn</th><th "
         "class=\"n\">limit</th><th>state</th></tr>";
  for (const BurnRuleState& state : measure.rules) {
    out << "<tr" << (state.is_firing ? " class=\"firing\"" : "") << "><td>" << GetSeverityName(state.rule.severity)
        << "</td><td>" << FormatWindow(state.rule.short_window) << " / " << FormatWindow(state.rule.long_window)
        << "</td><td class=\"n\">" << FormatRate(state.short_rate) << " / " << FormatRate(state.long_rate)
        << "</td><td class=\"n\">" << FormatRate(state.rule.threshold) << "</td><td>"
        << (state.is_firing ? "firing" : "quiet") << "</td></tr>";
  }
  out << "</table><div class=\"spenders\">";
  AppendHtmlContributors(out, "Reasons", measure.reasons);
  AppendHtmlContributors(out, "Zones", measure.zones);
  AppendHtmlContributors(out, "Endpoints", measure.endpoints);
  AppendHtmlContributors(out, "Workspaces", measure.workspaces);
  out << "</div></section>";
}

constexpr char kHtmlHead[] = R"(<!doctype html><html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1"><title>Service-level burn</title><style>
:root{color-scheme:light dark;--ink:#1d2733;--soft:#5b6875;--line:#d5dbe1;--bar:#6f9bd1;--over:#c8452f;--back:#fff}
@media(prefers-color-scheme:dark){:root{--ink:#e6ebf0;--soft:#9aa7b4;--line:#38434e;--bar:#5d8cc5;--over:#e36a52;--back:#14191f}}
*{box-sizing:border-box}body{font:16px/1.5 system-ui,sans-serif;color:var(--ink);background:var(--back);max-width:64rem;margin:0 auto;padding:1rem}
h1{font-size:1.6rem;margin:.5rem 0}h2{font-size:1.2rem;margin:0 0 .25rem}h3{font-size:.9rem;margin:.75rem 0 .25rem;color:var(--soft)}
section{border-top:1px solid var(--line);padding:1rem 0}svg{width:100%;height:auto;border-bottom:1px solid var(--line)}
.bar{fill:var(--bar)}.over{fill:var(--over)}.budget{stroke:var(--soft);stroke-dasharray:6 4}.axis,.meta{color:var(--soft);font-size:.85rem;margin:.25rem 0}
table{border-collapse:collapse;width:100%;font-size:.9rem}td,th{text-align:left;padding:.2rem .4rem;border-bottom:1px solid var(--line);overflow-wrap:anywhere}
.n{text-align:right;font-variant-numeric:tabular-nums;white-space:nowrap}.firing{color:var(--over);font-weight:600}
.spenders{display:grid;grid-template-columns:repeat(auto-fit,minmax(12rem,1fr));gap:0 1.5rem}
</style></head><body>)";

}  // namespace

std::string FormatBurnText(const BurnReport& report) {
  std::ostringstream out;
  out << "Service-level burn of " << report.deployment << ", " << FormatTime(report.from) << " to "
      << FormatTime(report.to) << "\n";
  out << "weighted budget spent " << FormatPercent(report.weighted_spent) << ", restarts seen " << report.resets
      << ", gaps in scrapes " << report.gaps << "\n\n";
  for (const BurnMeasureReport& measure : report.measures) {
    out << std::left << std::setw(14) << GetBurnMeasureName(measure.objective.measure) << " target "
        << FormatPercent(measure.objective.target) << "  bad " << std::llround(measure.period.bad) << " of "
        << std::llround(measure.period.GetTotal()) << "  budget left " << FormatPercent(measure.budget_left) << "\n";
    for (const BurnRuleState& state : measure.rules) {
      if (measure.period.GetTotal() <= 0) break;
      out << "    " << std::setw(6) << GetSeverityName(state.rule.severity) << " "
          << FormatWindow(state.rule.short_window) << "/" << FormatWindow(state.rule.long_window) << "  burn "
          << FormatRate(state.short_rate) << "/" << FormatRate(state.long_rate) << "  limit "
          << FormatRate(state.rule.threshold) << (state.is_firing ? "  FIRING" : "") << "\n";
    }
    AppendContributors(out, "reasons", measure.reasons);
    AppendContributors(out, "zones", measure.zones);
    AppendContributors(out, "endpoints", measure.endpoints);
    AppendContributors(out, "workspaces", measure.workspaces);
  }
  return out.str();
}

std::string FormatBurnJson(const BurnReport& report) {
  json measures = json::array();
  for (const BurnMeasureReport& measure : report.measures) measures.push_back(ToJson(measure));
  return json{{"deployment", report.deployment},
              {"from", report.from.Get()},
              {"to", report.to.Get()},
              {"weighted_spent", report.weighted_spent},
              {"gaps", report.gaps},
              {"resets", report.resets},
              {"measures", measures}}
      .dump(1);
}

std::string FormatBurnHtml(const BurnReport& report) {
  std::ostringstream out;
  out << kHtmlHead << "<h1>Service-level burn: " << EscapeHtml(report.deployment) << "</h1><p class=\"meta\">"
      << FormatTime(report.from) << " to " << FormatTime(report.to) << ", weighted budget spent "
      << FormatPercent(report.weighted_spent) << ", restarts seen " << report.resets << ", gaps in scrapes "
      << report.gaps << "</p>";
  for (const BurnMeasureReport& measure : report.measures) AppendHtmlMeasure(out, measure);
  out << "</body></html>\n";
  return out.str();
}

std::string FormatBurnRules(const std::vector<BurnObjective>& objectives) {
  std::ostringstream out;
  out << "groups:\n  - name: plantainmast-burn\n    rules:\n";
  for (const BurnObjective& objective : objectives) {
    const std::string name(GetBurnMeasureName(objective.measure));
    for (const BurnRule& rule : kBurnRules) {
      const auto rate = [&](Duration window) {
        const std::string range = "[" + FormatWindow(window) + "]";
        const std::string selector = "{measure=\"" + name + "\"";
        return "sum(rate(plantain_slo_events_total" + selector + ",outcome=\"bad\"}" + range +
               ")) / sum(rate(plantain_slo_events_total" + selector + "}" + range + "))";
      };
      const double limit = rule.threshold * (1 - objective.target);
      out << "      - alert: PlantainBurn_" << name << "_" << GetSeverityName(rule.severity) << "_"
          << FormatWindow(rule.long_window) << "\n        expr: (" << rate(rule.short_window) << ") > " << limit
          << " and (" << rate(rule.long_window) << ") > " << limit
          << "\n        labels: {severity: " << GetSeverityName(rule.severity) << "}\n        annotations: {summary: \""
          << name << " spends its error budget " << rule.threshold << " times too fast\"}\n";
    }
  }
  return out.str();
}

}  // namespace plantain
