// Reconstructs one request from the logs of many processes: its events in order, related events at its endpoints and
// entry, and the cause of its outcome. No I/O.

#ifndef PLANTAIN_REQUEST_DIAGNOSIS_H_
#define PLANTAIN_REQUEST_DIAGNOSIS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core_type.h"

namespace plantain {

// One line of a structured log.
struct LogLine {
  // As in the log; the format sorts chronologically as text.
  std::string time;
  std::string process;
  std::string vm;
  std::string event;
  // All other fields.
  std::map<std::string, std::string, std::less<>> fields;

  // Returns a field, or an empty string if there is none of this name.
  std::string_view Get(std::string_view name) const;
};

// Parses a line in the format of event_log.h and skips any text before `time=`. Returns nullopt if the line is in
// another format or truncated.
std::optional<LogLine> ParseLogLine(std::string_view text);

// Cause of a request's outcome.
enum class OutcomeCause {
  // The logs do not contain the end of the request.
  kUnknown,
  kServed,
  // The first event came later than estimated, or more than one attempt was needed.
  kServedLate,
  kMalformed,
  kNoRoute,
  kUnknownKey,
  kNoConfig,
  kEntryStopping,
  // Demand exceeded capacity. It is `kCapacityLost` if endpoints had disappeared, left, switched weights or been taken
  // out of service shortly before.
  kOverload,
  kCapacityLost,
  kNoEndpoint,
  // The endpoint disappeared from the directory, or other requests could not connect to it either.
  kEndpointCrashed,
  // The endpoint accepted the request but no answer arrived, and there is no sign that the endpoint failed.
  kAnswerLost,
  // The endpoint answered with an error.
  kEndpointError,
  kBrokenAnswer,
  kBlockedContent,
  kCallerGone,
};

// Returns the cause's name in snake_case.
std::string_view GetOutcomeCauseName(OutcomeCause cause);

// Collects log lines in any order. Lines unrelated to the request are dropped at once. The number of context lines is
// limited; the newest are kept.
class RequestDiagnosis {
 public:
  explicit RequestDiagnosis(RequestId request);

  // Adds a line if it belongs to the request. Call for all lines of all logs before the first AddContextLine.
  void AddRequestLine(const LogLine& line);

  // Adds a line if it explains the outcome: an event of an endpoint that the request was sent to, or a change of its
  // entry's view of the fleet, shortly before or after the request's end. Call for all lines of all logs.
  void AddContextLine(const LogLine& line);

  bool IsFound() const { return !m_request_lines.empty(); }

  // Returns the lines of the request and its context lines, sorted by time.
  std::vector<LogLine> GetTimeline() const;

  OutcomeCause GetCause() const;

  // Returns a one-line summary for operators: the cause and the fields of the request's last line.
  std::string GetSummary() const;

 private:
  const LogLine* FindRequestLine(std::string_view event) const;
  bool IsNearEnd(const LogLine& line) const;
  bool HasCapacityLoss() const;
  bool IsEndpointFailing() const;
  OutcomeCause GetFailureCause(const LogLine& end) const;
  // Returns the cause for a request that was sent to an endpoint but got no valid answer.
  OutcomeCause GetSentCause(bool is_timeout) const;

  const RequestId m_request;
  std::vector<LogLine> m_request_lines;
  std::vector<LogLine> m_context_lines;
  // Endpoints that the request was sent to.
  std::set<std::string, std::less<>> m_endpoints;
};

}  // namespace plantain

#endif  // PLANTAIN_REQUEST_DIAGNOSIS_H_
