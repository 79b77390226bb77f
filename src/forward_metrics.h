// Prometheus metrics of the forwarding path.

#ifndef PLANTAIN_FORWARD_METRICS_H_
#define PLANTAIN_FORWARD_METRICS_H_

#include "active_request.h"
#include "metrics.h"

namespace plantain {

// What becomes of a request in a pool that shares its slots by priority. Shed means that it waited and was refused for
// more urgent requests.
enum class PriorityEvent { kDispatched, kRefused, kShed };

// Records outcomes and latencies of forwarded requests. Thread-safe.
class ForwardMetrics {
 public:
  explicit ForwardMetrics(Metrics& metrics);

  void CountFinishedRequest(const RequestKind& kind, const ActiveRequestOutcome& outcome);
  // Counts a request that was refused before it was assigned to a route.
  void CountRefusedRequest(ForwardFailure failure);
  void CountAttempt(AttemptEnd end);
  void SetInFlight(size_t count);
  void CountPriority(const PoolName& pool, uint32_t priority, PriorityEvent event);
  void SetWaiting(const PoolName& pool, uint32_t priority, size_t count);
  void SetBlockedContents(size_t count);
  void SetLimitedEndpoints(size_t count);
  // Sets the number of endpoints in slow start and the slots that all entries may use at them together.
  void SetStartingEndpoints(size_t count, size_t slots);
  void CountStartRefusals(uint32_t count);

 private:
  Metrics& m_metrics;
};

// Return the names that logs and metrics use.
std::string_view GetRequestKindName(RequestKind kind);
std::string_view GetAttemptEndName(AttemptEnd end);
std::string_view GetAnswerProgressName(AnswerProgress progress);
std::string_view GetPriorityEventName(PriorityEvent event);

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_METRICS_H_
