// Counts good and bad events against the document's objectives, for the service-level burn report.

#ifndef PLANTAIN_SLO_COUNTER_H_
#define PLANTAIN_SLO_COUNTER_H_

#include <map>
#include <mutex>
#include <string>

#include "burn_type.h"
#include "config_type.h"
#include "core_type.h"
#include "metrics.h"

namespace plantain {

// Workspace, zone and endpoint of an event.
struct SloContext {
  WorkspaceName workspace;
  ZoneName zone;
  VmId endpoint;
};

// One counter for each measure, outcome, workspace and zone, and for bad events also endpoint and reason. Thread-safe.
class SloCounter {
 public:
  SloCounter(Metrics& metrics, const ConfigSource& config);

  // Counts one request. It is good if its caller received the complete response.
  void CountRequest(const SloContext& context, bool is_good, const std::string& reason);

  // Counts the time to the first token against the objective.
  void CountFirstToken(const SloContext& context, Duration time);

  // Counts the time between two tokens against the objective.
  void CountTokenGap(const SloContext& context, Duration gap);

  // Counts a rollout at one VM: the time from adoption of the document until its weights are served.
  void CountReplica(const SloContext& context, Duration time);

  // Counts a zone change at one process: the time from acceptance until it takes effect.
  void CountZoneChange(const SloContext& context, Duration time);

 private:
  void CountAgainstLimit(BurnMeasure measure, const SloContext& context, Duration time, double limit_s);
  void Count(BurnMeasure measure, const SloContext& context, bool is_good, const std::string& reason);
  ObjectiveSpec GetObjectives() const;

  Metrics& m_metrics;
  const ConfigSource& m_config;
  std::mutex m_mutex;
  std::map<BurnSeriesKey, prometheus::Counter*> m_counters;
};

}  // namespace plantain

#endif  // PLANTAIN_SLO_COUNTER_H_
