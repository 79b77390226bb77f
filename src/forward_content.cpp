// The part of the forwarding path that concerns contents at which endpoints crash.

#include <algorithm>

#include "crash_log.h"
#include "forward_traffic.h"

namespace plantain {

// Returns the keys that the quarantine may know: the parts of the prompt, and the whole request if it knows any
// request.
std::vector<ContentKey> ForwardTraffic::GetContentKeys(const ActiveRequest& active) const {
  std::vector<ContentKey> keys = active.GetRequest().shared_parts;
  if (m_quarantine.KnowsRequests()) keys.push_back(active.GetRequestKey());
  return keys;
}

// Whether a request at which endpoints have just crashed would run at the only endpoint left, which is kept for other
// requests until those endpoints are back, or at another endpoint while it already runs at one.
bool ForwardTraffic::EndangersEndpoints(const ActiveRequest& active) const {
  if (m_quarantine.IsEmpty()) return false;
  const std::vector<ContentKey> keys = GetContentKeys(active);
  if (!m_quarantine.IsSuspect(keys) || !m_quarantine.HasRecentEnd(keys)) return false;
  const bool runs_already = std::any_of(m_active_requests.begin(), m_active_requests.end(), [&](const auto& entry) {
    const ActiveRequest& other = *entry.second;
    return !other.IsWaiting() && other.GetRequestKey() == active.GetRequestKey();
  });
  if (runs_already) return true;
  const auto usable =
      std::count_if(m_fleet->endpoints.begin(), m_fleet->endpoints.end(), [&](const EndpointInfo& endpoint) {
        const bool is_in_service = !m_balancer.IsLeaving(endpoint) && !m_fleet->zones_out.contains(endpoint.zone);
        return endpoint.pool == active.GetPool() && is_in_service &&
               !m_quarantine.HasEnded(GetEndpointRun(endpoint.id, endpoint.incarnation));
      });
  return usable <= 1;
}

void ForwardTraffic::RefuseBlocked(ActiveRequest& active) {
  active.RefuseAttempt(ForwardFailure::kBlockedContent, "endpoints crash at this content");
}

// Logs contents that have been blocked or cleared, and checks queued and sent requests again if one was blocked.
void ForwardTraffic::ApplyContentChanges() {
  bool has_blocked = false;
  for (const CrashQuarantine::Change& change : m_quarantine.TakeChanges()) {
    has_blocked = has_blocked || change.is_blocked;
    LogContentChange(change);
  }
  m_metrics.SetBlockedContents(m_quarantine.GetBlockedCount());
  if (!has_blocked) return;
  std::vector<std::shared_ptr<ActiveRequest>> blocked;
  for (const auto& [ticket, active] : m_active_requests) {
    if (m_quarantine.IsBlocked(GetContentKeys(*active))) blocked.push_back(active);
  }
  for (const auto& active : blocked) {
    if (active->IsWaiting()) {
      RefuseBlocked(*active);
    } else {
      active->WithdrawAttempts("endpoints crash at this content");
    }
  }
}

Duration ForwardTraffic::GetRunningTime(const ContentKey& key) const {
  Duration time{};
  for (const auto& [ticket, active] : m_active_requests) {
    const std::vector<ContentKey>& parts = active->GetRequest().shared_parts;
    const bool has_key = key.kind == ContentKind::kRequest ? !active->IsWaiting() && active->GetRequestKey() == key
                                                           : std::find(parts.begin(), parts.end(), key) != parts.end();
    if (has_key) time += active->GetRunningTime();
  }
  return time;
}

// Tells the quarantine what the end of an attempt says about the contents of its request.
void ForwardTraffic::RecordOutcome(const ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kFull:
    case AttemptEnd::kMisdirected:
    case AttemptEnd::kUnreachable:
      return;
    case AttemptEnd::kConnectionLost:
      RecordCrash(active, attempt);
      return;
    case AttemptEnd::kSuccess:
    case AttemptEnd::kError:
    case AttemptEnd::kSilent:
    case AttemptEnd::kOverdue:
    case AttemptEnd::kBroken:
    case AttemptEnd::kWithdrawn:
    case AttemptEnd::kCancelled:
      break;
  }
  const std::vector<ContentKey> keys = GetContentKeys(active);
  m_quarantine.OnSurvived(keys, attempt.received_at - attempt.sent_at);
  const bool has_end = end == AttemptEnd::kSuccess || end == AttemptEnd::kError;
  // The rest of a stream says nothing about the events before it. Where the end of the connection ends the answer, it
  // may as well be the end of the endpoint.
  if (has_end && !attempt.is_resumed && !attempt.head->ends_with_connection) m_quarantine.OnAnswered(keys);
}

// Records a lost connection as the end of the endpoint, unless it was about to end anyway.
void ForwardTraffic::RecordCrash(const ActiveRequest& active, const ForwardAttempt& attempt) {
  const auto& endpoints = m_fleet->endpoints;
  const bool is_leaving = std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointInfo& endpoint) {
    return endpoint.id == attempt.choice.endpoint && m_balancer.IsLeaving(endpoint);
  });
  if (is_leaving) return;
  std::vector<ContentKey> keys = active.GetRequest().shared_parts;
  keys.push_back(active.GetRequestKey());
  m_quarantine.OnCrash(keys, GetEndpointRun(attempt.choice.endpoint, attempt.incarnation), attempt.sent_at,
                       attempt.GetProgress(active.IsStream()));
  if (m_on_crash) m_on_crash();
}

}  // namespace plantain
