#include "forward_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace plantain {
namespace {

const std::vector<double>& GetLatencyBuckets() {
  static const std::vector<double> buckets = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8};
  return buckets;
}

}  // namespace

std::string_view GetRequestKindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kOnce:
      return "once";
    case RequestKind::kStream:
      return "stream";
  }
  return "unknown";
}

std::string_view GetAttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSuccess:
      return "success";
    case AttemptEnd::kError:
      return "error";
    case AttemptEnd::kFull:
      return "full";
    case AttemptEnd::kMisdirected:
      return "misdirected";
    case AttemptEnd::kUnreachable:
      return "unreachable";
    case AttemptEnd::kSilent:
      return "silent";
    case AttemptEnd::kOverdue:
      return "overdue";
    case AttemptEnd::kConnectionLost:
      return "connection_lost";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kWithdrawn:
      return "withdrawn";
    case AttemptEnd::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view GetAnswerProgressName(AnswerProgress progress) {
  switch (progress) {
    case AnswerProgress::kNone:
      return "none";
    case AnswerProgress::kHeader:
      return "header";
    case AnswerProgress::kBegun:
      return "begun";
  }
  return "unknown";
}

std::string_view GetPriorityEventName(PriorityEvent event) {
  switch (event) {
    case PriorityEvent::kDispatched:
      return "dispatched";
    case PriorityEvent::kRefused:
      return "refused";
    case PriorityEvent::kShed:
      return "shed";
  }
  return "unknown";
}

ForwardMetrics::ForwardMetrics(Metrics& metrics) : m_metrics(metrics) {}

void ForwardMetrics::CountFinishedRequest(const RequestKind& kind, const ActiveRequestOutcome& outcome) {
  const std::string kind_name(GetRequestKindName(kind));
  m_metrics
      .GetCounter("plantain_forward_requests_total", "Requests that took a route, by kind and end.",
                  {{"kind", kind_name}, {"end", std::string(GetForwardFailureName(outcome.failure))}})
      .Increment();
  m_metrics
      .GetHistogram("plantain_forward_wait_seconds", "Time from arrival to the first attempt.", GetLatencyBuckets(),
                    {{"kind", kind_name}})
      .Observe(ToSeconds(outcome.wait_time));
  m_metrics
      .GetHistogram("plantain_forward_total_seconds", "Time from arrival to the end of the answer.",
                    GetLatencyBuckets(), {{"kind", kind_name}})
      .Observe(ToSeconds(outcome.total));
  if (!outcome.first_event.has_value()) return;
  m_metrics
      .GetHistogram("plantain_forward_first_event_seconds", "Time from arrival to the first event of a stream.",
                    GetLatencyBuckets())
      .Observe(ToSeconds(*outcome.first_event));
}

void ForwardMetrics::CountRefusedRequest(ForwardFailure failure) {
  m_metrics
      .GetCounter("plantain_forward_unrouted_total", "Requests answered before they took a route, by reason.",
                  {{"reason", std::string(GetForwardFailureName(failure))}})
      .Increment();
}

void ForwardMetrics::CountAttempt(AttemptEnd end) {
  m_metrics
      .GetCounter("plantain_forward_attempts_total", "Attempts at endpoints, by end.",
                  {{"end", std::string(GetAttemptEndName(end))}})
      .Increment();
}

void ForwardMetrics::CountPriority(const PoolName& pool, uint32_t priority, PriorityEvent event) {
  m_metrics
      .GetCounter("plantain_forward_priority_total",
                  "Requests of pools with several priorities, by what became of them.",
                  {{"pool", pool.Get()},
                   {"priority", std::to_string(priority)},
                   {"event", std::string(GetPriorityEventName(event))}})
      .Increment();
}

void ForwardMetrics::SetWaiting(const PoolName& pool, uint32_t priority, size_t count) {
  m_metrics
      .GetGauge("plantain_forward_priority_waiting", "Requests that wait for a slot, in pools with several priorities.",
                {{"pool", pool.Get()}, {"priority", std::to_string(priority)}})
      .Set(static_cast<double>(count));
}

void ForwardMetrics::SetInFlight(size_t count) {
  m_metrics.GetGauge("plantain_forward_in_flight", "Requests without a final answer.").Set(static_cast<double>(count));
}

void ForwardMetrics::SetLimitedEndpoints(size_t count) {
  m_metrics.GetGauge("plantain_forward_limited_endpoints", "Endpoints that state how many requests they take.")
      .Set(static_cast<double>(count));
}

void ForwardMetrics::SetStartingEndpoints(size_t count, size_t slots) {
  m_metrics.GetGauge("plantain_forward_starting_endpoints", "Endpoints in slow start.").Set(static_cast<double>(count));
  m_metrics
      .GetGauge("plantain_forward_starting_slots",
                "Slots that all entries together may use at endpoints in slow start.")
      .Set(static_cast<double>(slots));
}

void ForwardMetrics::CountStartRefusals(uint32_t count) {
  m_metrics.GetCounter("plantain_forward_start_refusals_total", "Requests that endpoints refused in slow start.")
      .Increment(count);
}

void ForwardMetrics::SetBlockedContents(size_t count) {
  m_metrics.GetGauge("plantain_forward_blocked_contents", "Contents that are not sent because endpoints crash.")
      .Set(static_cast<double>(count));
}

}  // namespace plantain
