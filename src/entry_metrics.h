// Metrics of the entry's request path.

#ifndef PLANTAIN_ENTRY_METRICS_H_
#define PLANTAIN_ENTRY_METRICS_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "attempt_client.h"
#include "entry_type.h"
#include "metrics.h"

namespace plantain {

// The metrics of one traffic loop; not safe for use from several threads. All loops increment the same counters, but
// each caches pointers to the labelled ones, so that lookups need no lock.
class EntryMetrics {
 public:
  explicit EntryMetrics(Metrics& metrics);

  void CountRequest(const WorkspaceName& workspace, EntryFailure outcome);
  void CountRefusal(EntryFailure reason);
  void CountDropped(MessageDropReason fault);

  prometheus::Histogram& GetFirstToken() { return m_first_token; }
  prometheus::Histogram& GetTokenGap() { return m_token_gap; }
  prometheus::Histogram& GetDuration() { return m_duration; }
  prometheus::Counter& GetFirstAttempts() { return m_first_attempts; }
  prometheus::Counter& GetAttempts() { return m_attempts; }
  prometheus::Counter& GetRetries() { return m_retries; }
  prometheus::Counter& GetResumptions() { return m_resumptions; }
  prometheus::Counter& GetJoinedRetries() { return m_joined_retries; }
  prometheus::Counter& GetTokens() { return m_tokens; }
  prometheus::Counter& GetUnsentAttempts() { return m_unsent_attempts; }
  prometheus::Gauge& GetRetryBudget() { return m_retry_budget; }
  prometheus::Gauge& GetInFlight() { return m_in_flight; }

 private:
  Metrics& m_metrics;
  std::map<std::pair<WorkspaceName, EntryFailure>, prometheus::Counter*> m_requests;
  std::map<EntryFailure, prometheus::Counter*> m_refusals;
  std::map<MessageDropReason, prometheus::Counter*> m_dropped;
  prometheus::Histogram& m_first_token;
  prometheus::Histogram& m_token_gap;
  prometheus::Histogram& m_duration;
  prometheus::Counter& m_first_attempts;
  prometheus::Counter& m_attempts;
  prometheus::Counter& m_retries;
  prometheus::Counter& m_resumptions;
  prometheus::Counter& m_joined_retries;
  prometheus::Counter& m_tokens;
  prometheus::Counter& m_unsent_attempts;
  prometheus::Gauge& m_retry_budget;
  prometheus::Gauge& m_in_flight;
};

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_METRICS_H_
