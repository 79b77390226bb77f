#include "burn_report.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr size_t kMaxContributorRows = 5;
constexpr size_t kPlotIntervals = 60;

BurnRuleState MakeRuleState(const BurnRule& rule, const BurnObjective& objective, const BurnAccumulator& accumulator) {
  const double budget = std::max(1e-9, 1 - objective.target);
  BurnRuleState state{rule};
  state.short_rate = accumulator.GetWindow(objective.measure, rule.short_window).GetBadShare() / budget;
  state.long_rate = accumulator.GetWindow(objective.measure, rule.long_window).GetBadShare() / budget;
  state.is_firing = state.short_rate > rule.threshold && state.long_rate > rule.threshold;
  return state;
}

BurnMeasureReport MakeMeasureReport(const BurnObjective& objective, const BurnAccumulator& accumulator) {
  BurnMeasureReport report;
  report.objective = objective;
  report.period = accumulator.GetWindow(objective.measure, kBurnPeriod);
  const double allowed = report.period.GetTotal() * (1 - objective.target);
  if (allowed > 0) report.budget_left = 1 - report.period.bad / allowed;
  for (const BurnRule& rule : kBurnRules) report.rules.push_back(MakeRuleState(rule, objective, accumulator));
  report.endpoints = accumulator.GetTopContributors(objective.measure, &BurnSeriesKey::vm, kMaxContributorRows);
  report.zones = accumulator.GetTopContributors(objective.measure, &BurnSeriesKey::zone, kMaxContributorRows);
  report.workspaces = accumulator.GetTopContributors(objective.measure, &BurnSeriesKey::workspace, kMaxContributorRows);
  report.reasons = accumulator.GetTopContributors(objective.measure, &BurnSeriesKey::reason, kMaxContributorRows);
  report.bad_share_over_time = accumulator.GetBadShareOverTime(objective.measure, kPlotIntervals);
  return report;
}

}  // namespace

std::vector<BurnObjective> GetBurnObjectives(const ObjectiveSpec& spec) {
  return {
      {BurnMeasure::kAvailability, spec.availability, spec.zone_weight},
      {BurnMeasure::kFirstToken, spec.latency_share, spec.zone_weight},
      {BurnMeasure::kTokenGap, spec.latency_share, spec.zone_weight},
      {BurnMeasure::kReplicas, spec.latency_share, spec.replicas_weight},
      {BurnMeasure::kZoneChange, spec.latency_share, spec.zone_weight},
  };
}

BurnReport MakeBurnReport(const std::string& deployment, const std::vector<BurnObjective>& objectives,
                          const BurnAccumulator& accumulator) {
  BurnReport report;
  report.deployment = deployment;
  report.from = accumulator.GetFirstTime();
  report.to = accumulator.GetLastTime();
  report.gaps = accumulator.GetGaps();
  report.resets = accumulator.GetResets();
  double weights = 0;
  for (const BurnObjective& objective : objectives) {
    report.measures.push_back(MakeMeasureReport(objective, accumulator));
    report.weighted_spent += objective.weight * (1 - report.measures.back().budget_left);
    weights += objective.weight;
  }
  if (weights > 0) report.weighted_spent /= weights;
  return report;
}

}  // namespace plantain
