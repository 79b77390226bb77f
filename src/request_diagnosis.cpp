#include "request_diagnosis.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "forward_metrics.h"
#include "forward_type.h"

namespace plantain {
namespace {

constexpr std::string_view kTimePrefix = "time=";
// Maximum number of context lines; the endpoints of a large pool change often.
constexpr size_t kMaxContextLines = 200;
// Window before and after the end of a request in which events count as context.
constexpr double kContextBeforeS = 10;
constexpr double kContextAfterS = 5;
// A request is late if its first event comes this much later than estimated.
constexpr int64_t kLateMs = 300;

// Events that reduce an entry's capacity.
constexpr std::array<std::string_view, 4> kCapacityEvents = {"endpoint_gone", "endpoint_leaving", "zone_out",
                                                             "weights_wanted"};
// Other events that change an entry's view of the fleet or its configuration.
constexpr std::array<std::string_view, 8> kViewEvents = {"config_in_force",     "store_unreachable", "store_reachable",
                                                         "store_read_failed",   "endpoint_lapsed",   "zone_in",
                                                         "peer_records_failed", "drain_started"};

template <size_t N>
bool IsOneOf(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Parses one `key=value` field and removes it from the front of `rest`. Returns false at the end of the line, and if
// the text is not a field; in the latter case only leading spaces are removed from `rest`.
bool ConsumeField(std::string_view& rest, std::string& key, std::string& value) {
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const std::string_view whole = rest;
  const size_t equals = rest.find('=');
  if (equals == std::string_view::npos) return false;
  key = std::string(rest.substr(0, equals));
  rest.remove_prefix(equals + 1);
  value.clear();
  if (rest.empty() || rest.front() != '"') {
    const size_t size = std::min(rest.find(' '), rest.size());
    value = std::string(rest.substr(0, size));
    rest.remove_prefix(size);
    return true;
  }
  rest.remove_prefix(1);
  while (!rest.empty() && rest.front() != '"') {
    if (rest.front() == '\\' && rest.size() > 1) rest.remove_prefix(1);
    value += rest.front();
    rest.remove_prefix(1);
  }
  if (rest.empty()) {
    rest = whole;
    return false;
  }
  rest.remove_prefix(1);
  return true;
}

int64_t ParseNumber(std::string_view text, int64_t fallback) {
  int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Returns the seconds since midnight of a timestamp like 2026-12-04T06:13:24.512Z, or nullopt for any other format.
std::optional<double> ParseSecondsOfDay(std::string_view time) {
  constexpr size_t kClockAt = 11;
  constexpr size_t kClockSize = 12;
  if (time.size() < kClockAt + kClockSize) return std::nullopt;
  const std::string_view clock = time.substr(kClockAt, kClockSize);
  if (clock[2] != ':' || clock[5] != ':' || clock[8] != '.') return std::nullopt;
  const double seconds = static_cast<double>(ParseNumber(clock.substr(0, 2), 0)) * 3600 +
                         static_cast<double>(ParseNumber(clock.substr(3, 2), 0)) * 60 +
                         static_cast<double>(ParseNumber(clock.substr(6, 2), 0));
  return seconds + static_cast<double>(ParseNumber(clock.substr(9, 3), 0)) / 1000;
}

bool IsEarlier(const LogLine& a, const LogLine& b) { return a.time < b.time; }

}  // namespace

std::string_view LogLine::Get(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const size_t start = text.find(kTimePrefix);
  if (start == std::string_view::npos) return std::nullopt;
  text.remove_prefix(start);
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.remove_suffix(1);
  LogLine line;
  std::string key;
  std::string value;
  while (ConsumeField(text, key, value)) line.fields[key] = value;
  if (!text.empty()) return std::nullopt;
  for (const auto& [name, member] : {std::pair("time", &line.time), std::pair("process", &line.process),
                                     std::pair("vm", &line.vm), std::pair("event", &line.event)}) {
    *member = std::string(line.Get(name));
    line.fields.erase(name);
  }
  if (line.time.empty() || line.event.empty()) return std::nullopt;
  return line;
}

std::string_view GetOutcomeCauseName(OutcomeCause cause) {
  switch (cause) {
    case OutcomeCause::kUnknown:
      return "unknown";
    case OutcomeCause::kServed:
      return "served";
    case OutcomeCause::kServedLate:
      return "served_late";
    case OutcomeCause::kMalformed:
      return "malformed";
    case OutcomeCause::kNoRoute:
      return "no_route";
    case OutcomeCause::kUnknownKey:
      return "unknown_key";
    case OutcomeCause::kNoConfig:
      return "no_config";
    case OutcomeCause::kEntryStopping:
      return "entry_stopping";
    case OutcomeCause::kOverload:
      return "overload";
    case OutcomeCause::kCapacityLost:
      return "capacity_lost";
    case OutcomeCause::kNoEndpoint:
      return "no_endpoint";
    case OutcomeCause::kEndpointCrashed:
      return "endpoint_crashed";
    case OutcomeCause::kAnswerLost:
      return "answer_lost";
    case OutcomeCause::kEndpointError:
      return "endpoint_error";
    case OutcomeCause::kBrokenAnswer:
      return "broken_answer";
    case OutcomeCause::kBlockedContent:
      return "blocked_content";
    case OutcomeCause::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

RequestDiagnosis::RequestDiagnosis(RequestId request) : m_request(std::move(request)) {}

void RequestDiagnosis::AddRequestLine(const LogLine& line) {
  if (line.Get("request") != m_request.Get()) return;
  m_request_lines.push_back(line);
  const std::string_view endpoint = line.Get("endpoint");
  if (!endpoint.empty()) m_endpoints.emplace(endpoint);
}

bool RequestDiagnosis::IsNearEnd(const LogLine& line) const {
  if (m_request_lines.empty()) return false;
  const LogLine& last = *std::max_element(m_request_lines.begin(), m_request_lines.end(), IsEarlier);
  const std::optional<double> end = ParseSecondsOfDay(last.time);
  const std::optional<double> at = ParseSecondsOfDay(line.time);
  return end.has_value() && at.has_value() && *at >= *end - kContextBeforeS && *at <= *end + kContextAfterS;
}

void RequestDiagnosis::AddContextLine(const LogLine& line) {
  if (line.Get("request") == m_request.Get() || !IsNearEnd(line)) return;
  const bool is_own_entry = !m_request_lines.empty() && line.vm == m_request_lines.front().vm;
  const bool is_view_event = IsOneOf(kCapacityEvents, line.event) || IsOneOf(kViewEvents, line.event);
  const bool is_of_endpoint = m_endpoints.contains(line.Get("endpoint")) && line.event != "request_end";
  if (!is_of_endpoint && !(is_own_entry && is_view_event)) return;
  if (m_context_lines.size() >= kMaxContextLines)
    m_context_lines.erase(std::min_element(m_context_lines.begin(), m_context_lines.end(), IsEarlier));
  m_context_lines.push_back(line);
}

std::vector<LogLine> RequestDiagnosis::GetTimeline() const {
  std::vector<LogLine> all = m_request_lines;
  all.insert(all.end(), m_context_lines.begin(), m_context_lines.end());
  std::stable_sort(all.begin(), all.end(), IsEarlier);
  return all;
}

const LogLine* RequestDiagnosis::FindRequestLine(std::string_view event) const {
  const LogLine* found = nullptr;
  for (const LogLine& line : m_request_lines) {
    if (line.event == event && (found == nullptr || found->time <= line.time)) found = &line;
  }
  return found;
}

bool RequestDiagnosis::HasCapacityLoss() const {
  return std::any_of(m_context_lines.begin(), m_context_lines.end(),
                     [](const LogLine& line) { return IsOneOf(kCapacityEvents, line.event); });
}

bool RequestDiagnosis::IsEndpointFailing() const {
  return std::any_of(m_context_lines.begin(), m_context_lines.end(), [this](const LogLine& line) {
    const bool is_gone = line.event == "endpoint_gone" || line.event == "endpoint_lapsed";
    const bool is_refusing =
        line.event == "attempt_failed" && line.Get("end") == GetAttemptEndName(AttemptEnd::kUnreachable);
    return (is_gone || is_refusing) && m_endpoints.contains(line.Get("endpoint"));
  });
}

OutcomeCause RequestDiagnosis::GetFailureCause(const LogLine& end) const {
  const std::optional<ForwardFailure> failure = ParseForwardFailure(end.Get("failure"));
  if (!failure.has_value()) return OutcomeCause::kUnknown;
  switch (*failure) {
    case ForwardFailure::kNone:
      return OutcomeCause::kUnknown;
    case ForwardFailure::kMalformed:
      return OutcomeCause::kMalformed;
    case ForwardFailure::kNoRoute:
      return OutcomeCause::kNoRoute;
    case ForwardFailure::kUnknownKey:
      return OutcomeCause::kUnknownKey;
    case ForwardFailure::kNoConfig:
      return OutcomeCause::kNoConfig;
    case ForwardFailure::kDraining:
      return OutcomeCause::kEntryStopping;
    case ForwardFailure::kBlockedContent:
      return OutcomeCause::kBlockedContent;
    case ForwardFailure::kCallerGone:
      return OutcomeCause::kCallerGone;
    case ForwardFailure::kOverloaded:
      return HasCapacityLoss() ? OutcomeCause::kCapacityLost : OutcomeCause::kOverload;
    case ForwardFailure::kNoEndpoint:
      return HasCapacityLoss() ? OutcomeCause::kCapacityLost : OutcomeCause::kNoEndpoint;
    case ForwardFailure::kTimeout:
      return GetSentCause(true);
    case ForwardFailure::kUnknownOutcome:
    case ForwardFailure::kBrokenAnswer:
      return GetSentCause(false);
  }
  return OutcomeCause::kUnknown;
}

OutcomeCause RequestDiagnosis::GetSentCause(bool is_timeout) const {
  if (IsEndpointFailing()) return OutcomeCause::kEndpointCrashed;
  const LogLine* attempt = FindRequestLine("attempt_failed");
  const std::string_view attempt_end = attempt == nullptr ? std::string_view() : attempt->Get("end");
  if (attempt_end == GetAttemptEndName(AttemptEnd::kError)) return OutcomeCause::kEndpointError;
  if (is_timeout || attempt_end == GetAttemptEndName(AttemptEnd::kSilent)) return OutcomeCause::kAnswerLost;
  return OutcomeCause::kBrokenAnswer;
}

OutcomeCause RequestDiagnosis::GetCause() const {
  const LogLine* end = FindRequestLine("request_end");
  if (end == nullptr) end = FindRequestLine("request_refused");
  if (end == nullptr) return OutcomeCause::kUnknown;
  if (ParseForwardFailure(end->Get("failure")) != ForwardFailure::kNone) return GetFailureCause(*end);
  if (end->Get("reason") != "complete") return OutcomeCause::kEndpointError;
  const int64_t first_ms = ParseNumber(end->Get("first_ms"), 0);
  const int64_t expected_ms = ParseNumber(end->Get("expected_ms"), 0);
  const bool is_late = ParseNumber(end->Get("attempts"), 1) > 1 || first_ms > expected_ms + kLateMs;
  return is_late ? OutcomeCause::kServedLate : OutcomeCause::kServed;
}

std::string RequestDiagnosis::GetSummary() const {
  std::string text = "cause=" + std::string(GetOutcomeCauseName(GetCause()));
  const LogLine* end = FindRequestLine("request_end");
  if (end == nullptr) end = FindRequestLine("request_refused");
  if (end == nullptr) return text + " (the logs hold no end of this request)";
  for (const char* name : {"status", "failure", "reason", "attempts", "endpoint", "load", "load_age_ms", "waiting",
                           "wait_ms", "expected_ms", "first_ms", "total_ms", "config"}) {
    const std::string_view value = end->Get(name);
    if (!value.empty()) text += " " + std::string(name) + "=" + std::string(value);
  }
  return text;
}

}  // namespace plantain
