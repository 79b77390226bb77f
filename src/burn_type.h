// Data types of the error-budget burn report.

#ifndef PLANTAIN_BURN_TYPE_H_
#define PLANTAIN_BURN_TYPE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core_type.h"

namespace plantain {

// Service-level indicator that an objective applies to.
enum class BurnMeasure { kAvailability, kFirstToken, kTokenGap, kReplicas, kZoneChange };

inline constexpr std::array kBurnMeasures = {BurnMeasure::kAvailability, BurnMeasure::kFirstToken,
                                             BurnMeasure::kTokenGap, BurnMeasure::kReplicas, BurnMeasure::kZoneChange};

// Returns the measure's name in snake case, as used in metrics and reports.
std::string_view GetBurnMeasureName(BurnMeasure measure);

// Identifies a counter of good or bad events in one process.
struct BurnSeriesKey {
  BurnMeasure measure = BurnMeasure::kAvailability;
  bool is_bad = false;
  // VM of the process that exports the counter. Two entries may count events of the same endpoint.
  std::string process;
  // Endpoint where the event occurred, if known.
  std::string vm;
  std::string zone;
  std::string workspace;
  // Cause of a bad event, for example a refusal reason; empty for good events.
  std::string reason;

  auto operator<=>(const BurnSeriesKey&) const = default;
};

// Index of a series in order of definition.
using BurnSeriesIndex = StrongNumber<struct BurnSeriesIndexTag, uint32_t>;

// Unix time of the scraping host's clock, so that clock skew between VMs has no effect.
using UnixSeconds = StrongNumber<struct UnixSecondsTag, int64_t>;

// Cumulative value of a series in one scrape.
struct BurnValue {
  BurnSeriesIndex series;
  uint64_t value = 0;
};

// Required share of good events of a measure, from 0 to 1.
struct BurnObjective {
  BurnMeasure measure = BurnMeasure::kAvailability;
  double target = 0.999;
  // Weight of this measure relative to the others in the weighted mean.
  double weight = 1;
};

// Number of good and bad events of a measure in a window.
struct BurnCount {
  double good = 0;
  double bad = 0;

  double GetTotal() const { return good + bad; }
  double GetBadShare() const { return GetTotal() > 0 ? bad / GetTotal() : 0; }
};

enum class BurnSeverity { kPage, kTicket };

// Multi-window burn-rate alert: fires while the burn rates of both windows exceed the threshold. The short window ends
// the alert soon after the cause is resolved.
struct BurnRule {
  BurnSeverity severity;
  Duration short_window;
  Duration long_window;
  // Burn rate; at 1 the error budget lasts exactly for the whole period.
  double threshold;
};

// The thresholds correspond to 2%, 5%, 10% and 10% of a 30-day error budget spent within the long window.
inline constexpr std::array<BurnRule, 4> kBurnRules = {{
    {BurnSeverity::kPage, std::chrono::minutes(5), std::chrono::hours(1), 14.4},
    {BurnSeverity::kPage, std::chrono::minutes(30), std::chrono::hours(6), 6},
    {BurnSeverity::kTicket, std::chrono::hours(2), std::chrono::hours(24), 3},
    {BurnSeverity::kTicket, std::chrono::hours(6), std::chrono::hours(72), 1},
}};

// Burn rates and alert state of a rule for a measure.
struct BurnRuleState {
  BurnRule rule;
  double short_rate = 0;
  double long_rate = 0;
  bool is_firing = false;
};

// Bad events attributed to one endpoint, zone, workspace or reason.
struct BurnContributor {
  std::string name;
  double bad = 0;
};

struct BurnMeasureReport {
  BurnObjective objective;
  BurnCount period;
  // Remaining share of the period's error budget: 1 if unused, below 0 if overspent.
  double budget_left = 1;
  std::vector<BurnRuleState> rules;
  std::vector<BurnContributor> endpoints;
  std::vector<BurnContributor> zones;
  std::vector<BurnContributor> workspaces;
  std::vector<BurnContributor> reasons;
  // Share of bad events in equal intervals of the observed time, oldest first, for plots.
  std::vector<double> bad_share_over_time;
};

struct BurnReport {
  std::string deployment;
  UnixSeconds from;
  UnixSeconds to;
  std::vector<BurnMeasureReport> measures;
  // Mean share of budget spent over all measures, weighted by the objectives' weights.
  double weighted_spent = 0;
  // Number of gaps between scrapes and of detected counter resets.
  uint64_t gaps = 0;
  uint64_t resets = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_BURN_TYPE_H_
