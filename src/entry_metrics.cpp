#include "entry_metrics.h"

namespace plantain {
namespace {

// The service-level objectives are 0.42 s to the first token and 77 ms between tokens. Both are bucket boundaries, and
// the buckets are narrowest around them.
const std::vector<double> kFirstTokenBuckets = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                0.2,   0.3,   0.42,  0.6,  1,    2,    5};
const std::vector<double> kTokenGapBuckets = {0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.077, 0.1, 0.2, 0.5, 1, 2};
const std::vector<double> kDurationBuckets = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

std::string GetOutcomeName(EntryFailure outcome) {
  return outcome == EntryFailure::kNone ? "ok" : std::string(GetEntryFailureName(outcome));
}

}  // namespace

EntryMetrics::EntryMetrics(Metrics& metrics)
    : m_metrics(metrics),
      m_first_token(metrics.GetHistogram("plantain_entry_first_token_seconds",
                                         "Time from a request's arrival to its first token.", kFirstTokenBuckets)),
      m_token_gap(metrics.GetHistogram("plantain_entry_token_gap_seconds", "Time between two tokens of one answer.",
                                       kTokenGapBuckets)),
      m_duration(metrics.GetHistogram("plantain_entry_request_seconds", "Time from a request's arrival to its end.",
                                      kDurationBuckets)),
      m_first_attempts(
          metrics.GetCounter("plantain_entry_first_attempts_total", "Admitted requests whose first attempt was sent.")),
      m_attempts(metrics.GetCounter("plantain_entry_attempts_total", "Attempts sent to endpoints.")),
      m_retries(metrics.GetCounter("plantain_entry_retries_total",
                                   "Attempts after the first of a request, resumptions aside.")),
      m_resumptions(metrics.GetCounter("plantain_entry_resumed_total", "Attempts that resume an interrupted stream.")),
      m_joined_retries(
          metrics.GetCounter("plantain_entry_joined_total", "Callers' retries joined to a running or kept answer.")),
      m_tokens(metrics.GetCounter("plantain_entry_tokens_total", "Tokens received from endpoints.")),
      m_unsent_attempts(metrics.GetCounter("plantain_entry_unsent_total",
                                           "Attempts that could not be sent for lack of a connection.")),
      m_retry_budget(metrics.GetGauge("plantain_entry_retry_budget", "Retries that the budget allows at present.")),
      m_in_flight(metrics.GetGauge("plantain_entry_in_flight", "Requests in progress.")) {}

void EntryMetrics::CountRequest(const WorkspaceName& workspace, EntryFailure outcome) {
  prometheus::Counter*& counter = m_requests[{workspace, outcome}];
  if (counter == nullptr) {
    counter = &m_metrics.GetCounter("plantain_entry_requests_total", "Requests by workspace and outcome.",
                                    {{"workspace", workspace.Get()}, {"outcome", GetOutcomeName(outcome)}});
  }
  counter->Increment();
}

void EntryMetrics::CountRefusal(EntryFailure reason) {
  prometheus::Counter*& counter = m_refusals[reason];
  if (counter == nullptr) {
    counter = &m_metrics.GetCounter("plantain_entry_refusals_total", "Requests refused before any attempt, by reason.",
                                    {{"reason", GetOutcomeName(reason)}});
  }
  counter->Increment();
}

void EntryMetrics::CountDropped(MessageDropReason fault) {
  prometheus::Counter*& counter = m_dropped[fault];
  if (counter == nullptr) {
    counter = &m_metrics.GetCounter("plantain_entry_dropped_messages_total", "Messages from agents dropped, by fault.",
                                    {{"fault", std::string(GetMessageDropReasonName(fault))}});
  }
  counter->Increment();
}

}  // namespace plantain
