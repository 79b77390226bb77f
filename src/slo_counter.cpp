#include "slo_counter.h"

namespace plantain {
namespace {

constexpr char kName[] = "plantain_slo_events_total";
constexpr char kHelp[] = "Events that met (good) or missed (bad) a service-level objective of the document.";
// Limits memory use if callers send many made-up workspace names.
constexpr size_t kMaxCounters = 4096;

}  // namespace

SloCounter::SloCounter(Metrics& metrics, const ConfigSource& config) : m_metrics(metrics), m_config(config) {}

void SloCounter::CountRequest(const SloContext& context, bool is_good, const std::string& reason) {
  Count(BurnMeasure::kAvailability, context, is_good, reason);
}

void SloCounter::CountFirstToken(const SloContext& context, Duration time) {
  CountAgainstLimit(BurnMeasure::kFirstToken, context, time, GetObjectives().first_token_ms / 1000);
}

void SloCounter::CountTokenGap(const SloContext& context, Duration gap) {
  CountAgainstLimit(BurnMeasure::kTokenGap, context, gap, GetObjectives().token_gap_ms / 1000);
}

void SloCounter::CountReplica(const SloContext& context, Duration time) {
  CountAgainstLimit(BurnMeasure::kReplicas, context, time, GetObjectives().replicas_s);
}

void SloCounter::CountZoneChange(const SloContext& context, Duration time) {
  CountAgainstLimit(BurnMeasure::kZoneChange, context, time, GetObjectives().zone_change_s);
}

void SloCounter::CountAgainstLimit(BurnMeasure measure, const SloContext& context, Duration time, double limit_s) {
  const bool is_good = ToSeconds(time) <= limit_s;
  Count(measure, context, is_good, is_good ? "" : "slow");
}

void SloCounter::Count(BurnMeasure measure, const SloContext& context, bool is_good, const std::string& reason) {
  BurnSeriesKey key;
  key.measure = measure;
  key.is_bad = !is_good;
  key.zone = context.zone.Get();
  key.workspace = context.workspace.Get();
  // The endpoint and reason are recorded only for bad events, which keeps the number of series low.
  if (!is_good) key.vm = context.endpoint.Get();
  if (!is_good) key.reason = reason;
  const std::lock_guard lock(m_mutex);
  const auto found = m_counters.find(key);
  if (found != m_counters.end()) {
    found->second->Increment();
    return;
  }
  if (m_counters.size() >= kMaxCounters) return;
  MetricLabels labels = {{"measure", std::string(GetBurnMeasureName(measure))},
                         {"outcome", is_good ? "good" : "bad"},
                         {"zone", key.zone},
                         {"workspace", key.workspace}};
  if (!key.vm.empty()) labels["endpoint"] = key.vm;
  if (!key.reason.empty()) labels["reason"] = key.reason;
  prometheus::Counter& counter = m_metrics.GetCounter(kName, kHelp, labels);
  m_counters.emplace(key, &counter);
  counter.Increment();
}

ObjectiveSpec SloCounter::GetObjectives() const {
  const auto view = m_config.GetConfig();
  return view == nullptr ? ObjectiveSpec{} : view->document.objectives;
}

}  // namespace plantain
