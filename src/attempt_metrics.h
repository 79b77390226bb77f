// Metrics of the agent's attempt handling.

#ifndef PLANTAIN_ATTEMPT_METRICS_H_
#define PLANTAIN_ATTEMPT_METRICS_H_

#include "attempt.pb.h"
#include "metrics.h"

namespace plantain {

// Returns the lower-case name of a reason used in metrics, events and JSON, for example `zone_out`.
std::string GetReasonName(proto::RefusalReason reason);

// Holds the attempt metrics, registered once at construction.
class AttemptMetrics {
 public:
  explicit AttemptMetrics(Metrics& metrics);

  prometheus::Counter& GetRefused(proto::RefusalReason reason);

  prometheus::Counter& admitted;
  prometheus::Counter& tokens;
  prometheus::Counter& mismatches;
  prometheus::Counter& engine_errors;
  prometheus::Counter& cancelled;
  prometheus::Counter& duplicates;
  prometheus::Counter& unknown_attempts;
  prometheus::Counter& malformed;
  prometheus::Histogram& first_token_seconds;

 private:
  Metrics& m_metrics;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_METRICS_H_
