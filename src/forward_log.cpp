#include "forward_log.h"

#include <string>

#include "event_log.h"
#include "forward_metrics.h"

namespace plantain {
namespace {

// Returns the number that logs show for a weight version, 0 if there is none.
uint64_t GetVersionNumber(const std::optional<WeightVersion>& version) {
  return version.value_or(WeightVersion()).Get();
}

// Parts of a prompt that a log line names.
constexpr size_t kMaxLoggedParts = 8;

std::string FormatParts(const std::vector<ContentKey>& parts) {
  std::string text;
  for (size_t i = 0; i < parts.size(); ++i) {
    if (i > 0) text += ',';
    if (i == kMaxLoggedParts) return text + "...";
    text += parts[i].id;
  }
  return text;
}

}  // namespace

void LogRefusedRequest(const ForwardRequest& request, ForwardFailure failure, std::string_view reason,
                       uint64_t config) {
  LogEvent(LogLevel::kInfo, "request_refused",
           {{"request", request.id},
            {"host", request.host},
            {"path", request.path},
            {"failure", GetForwardFailureName(failure)},
            {"reason", reason},
            {"config", config}});
}

void LogStatementChange(const EndpointStatements::Change& change) {
  const std::string_view source = change.is_from_peer ? "peer" : "own";
  switch (change.kind) {
    case StatementKind::kRate:
      LogEvent(LogLevel::kInfo, "endpoint_rate",
               {{"endpoint", change.endpoint},
                {"per_s", change.per_s.has_value() ? std::to_string(*change.per_s) : "none"},
                {"source", source},
                {"is_granting", change.is_granting}});
      break;
    case StatementKind::kLeaving:
      LogEvent(LogLevel::kInfo, "endpoint_leaving", {{"endpoint", change.endpoint}, {"source", source}});
      break;
    case StatementKind::kPause:
      LogEvent(LogLevel::kInfo, "endpoint_pause",
               {{"endpoint", change.endpoint}, {"left_ms", ToMilliseconds(change.pause_left)}, {"source", source}});
      break;
  }
}

void LogMalformedStatements(const EndpointId& endpoint, const ResponseHead& head) {
  const auto warn = [&](std::string_view event, const std::string& value) {
    if (!value.empty()) LogEvent(LogLevel::kWarn, event, {{"endpoint", endpoint}, {"value", value}});
  };
  warn("endpoint_rate_malformed", head.malformed_rate);
  warn("endpoint_leaving_malformed", head.malformed_leaving);
  warn("endpoint_pause_malformed", head.malformed_pause);
}

void LogFailedAttempt(const ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end, TimePoint now) {
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", active.GetRequest().id},
            {"endpoint", attempt.choice.endpoint},
            {"pool", active.GetPool()},
            {"end", GetAttemptEndName(end)},
            {"progress", GetAnswerProgressName(attempt.GetProgress(active.IsStream()))},
            {"after_ms", ToMilliseconds(now - active.GetStart())},
            {"sent_ms", ToMilliseconds(attempt.sent_at - active.GetStart())},
            {"silent_ms", ToMilliseconds(now - attempt.received_at)},
            {"attempt", attempt.number},
            {"is_last", active.IsWaiting()},
            {"prompt", FormatParts(active.GetRequest().shared_parts)},
            {"content", end == AttemptEnd::kConnectionLost ? active.GetRequestKey().id : ""},
            {"version", GetVersionNumber(attempt.choice.version)},
            {"min_version", GetVersionNumber(attempt.choice.min_version)}});
}

void LogSilentAttempt(const ActiveRequest& active, const ForwardAttempt& attempt, SilenceFinding finding,
                      TimePoint now) {
  LogEvent(LogLevel::kInfo, "endpoint_silent",
           {{"request", active.GetRequest().id},
            {"endpoint", attempt.choice.endpoint},
            {"silent_ms", ToMilliseconds(now - attempt.received_at)},
            {"is_pause", finding == SilenceFinding::kPause},
            {"has_events", active.HasEvents()},
            {"attempt", attempt.number}});
}

void LogUnfinishedRequest(const ActiveRequest& active, TimePoint now) {
  const ActiveRequestOutcome& outcome = active.GetOutcome();
  LogEvent(LogLevel::kWarn, "request_cut",
           {{"request", active.GetRequest().id},
            {"endpoint", outcome.choice.endpoint},
            {"attempts", outcome.attempts},
            {"is_waiting", active.IsWaiting()},
            {"has_events", active.HasEvents()},
            {"age_ms", ToMilliseconds(now - active.GetStart())}});
}

void LogEndedRequest(const ActiveRequest& active, size_t waiting) {
  const ActiveRequestOutcome& outcome = active.GetOutcome();
  const RouteMatch& match = active.GetMatch();
  LogEvent(
      LogLevel::kInfo, "request_end",
      {{"request", active.GetRequest().id},
       {"route", match.rule->name},
       {"workspace", match.workspace == nullptr ? WorkspaceName() : match.workspace->name},
       {"status", outcome.status},
       {"failure", GetForwardFailureName(outcome.failure)},
       {"reason", outcome.reason},
       {"waiting", waiting},
       {"attempts", outcome.attempts},
       {"endpoint", outcome.choice.endpoint},
       {"load", outcome.choice.load},
       {"load_age_ms", outcome.choice.load_age == Duration::max() ? -1 : ToMilliseconds(outcome.choice.load_age)},
       {"wait_ms", ToMilliseconds(outcome.wait_time)},
       {"expected_ms", ToMilliseconds(outcome.choice.expected)},
       {"first_ms", outcome.first_event.has_value() ? ToMilliseconds(*outcome.first_event) : -1},
       {"version", GetVersionNumber(outcome.choice.version)},
       {"min_version", GetVersionNumber(outcome.choice.min_version)},
       {"limit_ms",
        outcome.choice.until_limit.has_value() ? std::to_string(ToMilliseconds(*outcome.choice.until_limit)) : "none"},
       {"total_ms", ToMilliseconds(outcome.total)},
       {"config", active.GetMatcher().GetDocument().version}});
}

}  // namespace plantain
