// What the logs of many processes tell about one request: its decisions in order, what else happened to the things that
// decided it, and the cause of its end. No I/O.

#ifndef PLANTAIN_REQUEST_STORY_H_
#define PLANTAIN_REQUEST_STORY_H_

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
  // In the form of the log, which sorts by time.
  std::string time;
  std::string process;
  std::string vm;
  std::string event;
  // All other fields.
  std::map<std::string, std::string, std::less<>> fields;

  // Returns a field, or an empty text.
  std::string_view Get(std::string_view name) const;
};

// Reads a line as event_log.h writes it; what stands before `time=` is skipped. Returns nothing for any other text, for
// example for one that was cut off.
std::optional<LogLine> ParseLogLine(std::string_view text);

// Why a request ended as it did.
enum class StoryCause {
  // The logs do not hold its end.
  kUnknown,
  kServed,
  // The first event came later than the board expected, or after a second endpoint.
  kServedLate,
  kMalformed,
  kNoRoute,
  kUnknownKey,
  kNoConfig,
  kEntryStopping,
  // More work than places; `kCapacityLost` if endpoints had gone, left, switched weights or been taken out shortly
  // before.
  kOverload,
  kCapacityLost,
  kNoEndpoint,
  // The endpoint was gone from the directory afterwards, or other entries failed at it too.
  kEndpointCrashed,
  // The endpoint took the request and nothing came; other requests to it were answered.
  kAnswerLost,
  // The endpoint answered with a failure of its own.
  kEndpointError,
  kBrokenAnswer,
  kCallerGone,
};

// Returns the cause's name in lower-case words joined by underscores.
std::string_view GetStoryCauseName(StoryCause cause);

// Collects lines in any order. Lines that cannot concern the request are dropped at once; the others are bounded in
// number, newest kept.
class RequestStory {
 public:
  explicit RequestStory(RequestId request);

  // Takes the lines of the request itself. Call for all lines of all logs before AddContext.
  void AddOwn(const LogLine& line);

  // Takes a line that explains a decision: news of the endpoints that the request was sent to, and changes of what its
  // entry believed shortly before its end. Call for all lines of all logs.
  void AddContext(const LogLine& line);

  bool IsFound() const { return !m_own.empty(); }

  // The lines of the request and those that explain them, by time.
  std::vector<LogLine> GetTimeline() const;

  StoryCause GetCause() const;

  // One sentence for people: the cause and the figures that decided it.
  std::string GetSummary() const;

 private:
  const LogLine* FindOwn(std::string_view event) const;
  bool IsNearEnd(const LogLine& line) const;
  bool HasCapacityLoss() const;
  bool IsEndpointFailing() const;
  StoryCause GetFailureCause(const LogLine& end) const;
  // The cause for a request that was sent and has no good answer.
  StoryCause GetSentCause(bool is_timeout) const;

  const RequestId m_request;
  std::vector<LogLine> m_own;
  std::vector<LogLine> m_context;
  // Endpoints that the request was sent to.
  std::set<std::string, std::less<>> m_endpoints;
};

}  // namespace plantain

#endif  // PLANTAIN_REQUEST_STORY_H_
