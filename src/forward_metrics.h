// Metrics of forwarded requests.

#ifndef PLANTAIN_FORWARD_METRICS_H_
#define PLANTAIN_FORWARD_METRICS_H_

#include "forward_run.h"
#include "metrics.h"

namespace plantain {

// Counts outcomes and times. Safe from any thread.
class ForwardMetrics {
 public:
  explicit ForwardMetrics(Metrics& metrics);

  void CountEnd(const RequestKind& kind, const RunOutcome& outcome);
  // A request that was answered before it took a route.
  void CountRefusal(ForwardFailure failure);
  void CountAttempt(AttemptEnd end);
  void SetInFlight(size_t count);

 private:
  Metrics& m_metrics;
};

// Returns the names that logs and metrics show.
std::string_view GetRequestKindName(RequestKind kind);
std::string_view GetAttemptEndName(AttemptEnd end);

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_METRICS_H_
