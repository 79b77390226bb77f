#include "request_story.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "forward_metrics.h"
#include "forward_type.h"

namespace plantain {
namespace {

constexpr std::string_view kLineStart = "time=";
// Maximum number of context lines; the endpoints of a large pool change often.
constexpr size_t kMaxContext = 200;
// Window before and after the end of a request in which events count as context.
constexpr double kContextBeforeS = 10;
constexpr double kContextAfterS = 5;
// A request is late if its first event comes this much later than estimated.
constexpr int64_t kLateMs = 300;

// Events that reduce an entry's capacity.
constexpr std::array<std::string_view, 4> kCapacityEvents = {"endpoint_gone", "endpoint_leaving", "zone_out",
                                                             "weights_wanted"};
// Other events that change an entry's view of the fleet or its configuration.
constexpr std::array<std::string_view, 8> kBeliefEvents = {
    "config_in_force", "store_unreachable", "store_reachable",     "store_read_failed",
    "endpoint_lapsed", "zone_in",           "peer_records_failed", "drain_started"};

template <size_t N>
bool IsOneOf(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Parses one `key=value` field and removes it from the front of `rest`. Returns false at the end of the line, and if
// the text is not a field; in the latter case only leading spaces are removed from `rest`.
bool TakeField(std::string_view& rest, std::string& key, std::string& value) {
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

int64_t GetNumber(std::string_view text, int64_t fallback) {
  int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Returns the seconds since midnight of a timestamp like 2026-12-04T06:13:24.512Z, or nullopt for any other format.
std::optional<double> GetDaySeconds(std::string_view time) {
  constexpr size_t kClockAt = 11;
  constexpr size_t kClockSize = 12;
  if (time.size() < kClockAt + kClockSize) return std::nullopt;
  const std::string_view clock = time.substr(kClockAt, kClockSize);
  if (clock[2] != ':' || clock[5] != ':' || clock[8] != '.') return std::nullopt;
  const double seconds = static_cast<double>(GetNumber(clock.substr(0, 2), 0)) * 3600 +
                         static_cast<double>(GetNumber(clock.substr(3, 2), 0)) * 60 +
                         static_cast<double>(GetNumber(clock.substr(6, 2), 0));
  return seconds + static_cast<double>(GetNumber(clock.substr(9, 3), 0)) / 1000;
}

bool GoesBefore(const LogLine& a, const LogLine& b) { return a.time < b.time; }

}  // namespace

std::string_view LogLine::Get(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const size_t start = text.find(kLineStart);
  if (start == std::string_view::npos) return std::nullopt;
  text.remove_prefix(start);
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.remove_suffix(1);
  LogLine line;
  std::string key;
  std::string value;
  while (TakeField(text, key, value)) line.fields[key] = value;
  if (!text.empty()) return std::nullopt;
  for (const auto& [name, member] : {std::pair("time", &line.time), std::pair("process", &line.process),
                                     std::pair("vm", &line.vm), std::pair("event", &line.event)}) {
    *member = std::string(line.Get(name));
    line.fields.erase(name);
  }
  if (line.time.empty() || line.event.empty()) return std::nullopt;
  return line;
}

std::string_view GetStoryCauseName(StoryCause cause) {
  switch (cause) {
    case StoryCause::kUnknown:
      return "unknown";
    case StoryCause::kServed:
      return "served";
    case StoryCause::kServedLate:
      return "served_late";
    case StoryCause::kMalformed:
      return "malformed";
    case StoryCause::kNoRoute:
      return "no_route";
    case StoryCause::kUnknownKey:
      return "unknown_key";
    case StoryCause::kNoConfig:
      return "no_config";
    case StoryCause::kEntryStopping:
      return "entry_stopping";
    case StoryCause::kOverload:
      return "overload";
    case StoryCause::kCapacityLost:
      return "capacity_lost";
    case StoryCause::kNoEndpoint:
      return "no_endpoint";
    case StoryCause::kEndpointCrashed:
      return "endpoint_crashed";
    case StoryCause::kAnswerLost:
      return "answer_lost";
    case StoryCause::kEndpointError:
      return "endpoint_error";
    case StoryCause::kBrokenAnswer:
      return "broken_answer";
    case StoryCause::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

RequestStory::RequestStory(RequestId request) : m_request(std::move(request)) {}

void RequestStory::AddOwn(const LogLine& line) {
  if (line.Get("request") != m_request.Get()) return;
  m_own.push_back(line);
  const std::string_view endpoint = line.Get("endpoint");
  if (!endpoint.empty()) m_endpoints.emplace(endpoint);
}

bool RequestStory::IsNearEnd(const LogLine& line) const {
  if (m_own.empty()) return false;
  const LogLine& last = *std::max_element(m_own.begin(), m_own.end(), GoesBefore);
  const std::optional<double> end = GetDaySeconds(last.time);
  const std::optional<double> at = GetDaySeconds(line.time);
  return end.has_value() && at.has_value() && *at >= *end - kContextBeforeS && *at <= *end + kContextAfterS;
}

void RequestStory::AddContext(const LogLine& line) {
  if (line.Get("request") == m_request.Get() || !IsNearEnd(line)) return;
  const bool is_own_entry = !m_own.empty() && line.vm == m_own.front().vm;
  const bool is_belief = IsOneOf(kCapacityEvents, line.event) || IsOneOf(kBeliefEvents, line.event);
  const bool is_of_endpoint = m_endpoints.contains(line.Get("endpoint")) && line.event != "request_end";
  if (!is_of_endpoint && !(is_own_entry && is_belief)) return;
  if (m_context.size() >= kMaxContext)
    m_context.erase(std::min_element(m_context.begin(), m_context.end(), GoesBefore));
  m_context.push_back(line);
}

std::vector<LogLine> RequestStory::GetTimeline() const {
  std::vector<LogLine> all = m_own;
  all.insert(all.end(), m_context.begin(), m_context.end());
  std::stable_sort(all.begin(), all.end(), GoesBefore);
  return all;
}

const LogLine* RequestStory::FindOwn(std::string_view event) const {
  const LogLine* found = nullptr;
  for (const LogLine& line : m_own) {
    if (line.event == event && (found == nullptr || found->time <= line.time)) found = &line;
  }
  return found;
}

bool RequestStory::HasCapacityLoss() const {
  return std::any_of(m_context.begin(), m_context.end(),
                     [](const LogLine& line) { return IsOneOf(kCapacityEvents, line.event); });
}

bool RequestStory::IsEndpointFailing() const {
  return std::any_of(m_context.begin(), m_context.end(), [this](const LogLine& line) {
    const bool is_gone = line.event == "endpoint_gone" || line.event == "endpoint_lapsed";
    const bool is_refusing =
        line.event == "attempt_failed" && line.Get("end") == GetAttemptEndName(AttemptEnd::kUnreachable);
    return (is_gone || is_refusing) && m_endpoints.contains(line.Get("endpoint"));
  });
}

StoryCause RequestStory::GetFailureCause(const LogLine& end) const {
  const std::optional<ForwardFailure> failure = ParseForwardFailure(end.Get("failure"));
  if (!failure.has_value()) return StoryCause::kUnknown;
  switch (*failure) {
    case ForwardFailure::kNone:
      return StoryCause::kUnknown;
    case ForwardFailure::kMalformed:
      return StoryCause::kMalformed;
    case ForwardFailure::kNoRoute:
      return StoryCause::kNoRoute;
    case ForwardFailure::kUnknownKey:
      return StoryCause::kUnknownKey;
    case ForwardFailure::kNoConfig:
      return StoryCause::kNoConfig;
    case ForwardFailure::kDraining:
      return StoryCause::kEntryStopping;
    case ForwardFailure::kCallerGone:
      return StoryCause::kCallerGone;
    case ForwardFailure::kOverloaded:
      return HasCapacityLoss() ? StoryCause::kCapacityLost : StoryCause::kOverload;
    case ForwardFailure::kNoEndpoint:
      return HasCapacityLoss() ? StoryCause::kCapacityLost : StoryCause::kNoEndpoint;
    case ForwardFailure::kTimeout:
      return GetSentCause(true);
    case ForwardFailure::kUnknownOutcome:
    case ForwardFailure::kBrokenAnswer:
      return GetSentCause(false);
  }
  return StoryCause::kUnknown;
}

StoryCause RequestStory::GetSentCause(bool is_timeout) const {
  if (IsEndpointFailing()) return StoryCause::kEndpointCrashed;
  const LogLine* attempt = FindOwn("attempt_failed");
  const std::string_view how = attempt == nullptr ? std::string_view() : attempt->Get("end");
  if (how == GetAttemptEndName(AttemptEnd::kError)) return StoryCause::kEndpointError;
  if (is_timeout || how == GetAttemptEndName(AttemptEnd::kSilent)) return StoryCause::kAnswerLost;
  return StoryCause::kBrokenAnswer;
}

StoryCause RequestStory::GetCause() const {
  const LogLine* end = FindOwn("request_end");
  if (end == nullptr) end = FindOwn("request_refused");
  if (end == nullptr) return StoryCause::kUnknown;
  if (ParseForwardFailure(end->Get("failure")) != ForwardFailure::kNone) return GetFailureCause(*end);
  if (end->Get("reason") != "complete") return StoryCause::kEndpointError;
  const int64_t first_ms = GetNumber(end->Get("first_ms"), 0);
  const int64_t expected_ms = GetNumber(end->Get("expected_ms"), 0);
  const bool is_late = GetNumber(end->Get("attempts"), 1) > 1 || first_ms > expected_ms + kLateMs;
  return is_late ? StoryCause::kServedLate : StoryCause::kServed;
}

std::string RequestStory::GetSummary() const {
  std::string text = "cause=" + std::string(GetStoryCauseName(GetCause()));
  const LogLine* end = FindOwn("request_end");
  if (end == nullptr) end = FindOwn("request_refused");
  if (end == nullptr) return text + " (the logs hold no end of this request)";
  for (const char* name : {"status", "failure", "reason", "attempts", "endpoint", "load", "load_age_ms", "waiting",
                           "wait_ms", "expected_ms", "first_ms", "total_ms", "config"}) {
    const std::string_view value = end->Get(name);
    if (!value.empty()) text += " " + std::string(name) + "=" + std::string(value);
  }
  return text;
}

}  // namespace plantain
