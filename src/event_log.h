// Structured log: one line of key=value pairs for each event, and a bounded memory of recent events by request.

#ifndef PLANTAIN_EVENT_LOG_H_
#define PLANTAIN_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace plantain {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// One key and its value in text form.
struct EventField {
  EventField(std::string_view key, std::string_view value) : m_key(key), m_value(value) {}
  EventField(std::string_view key, const char* value) : m_key(key), m_value(value) {}
  EventField(std::string_view key, const std::string& value) : m_key(key), m_value(value) {}
  EventField(std::string_view key, bool value) : m_key(key), m_value(value ? "1" : "0") {}
  template <std::integral T>
  EventField(std::string_view key, T value) : m_key(key), m_value(std::to_string(value)) {}
  template <std::floating_point T>
  EventField(std::string_view key, T value) : m_key(key), m_value(std::to_string(value)) {}
  // Any strong id or quantity.
  template <typename T>
  requires requires(const T& id) { id.Get(); }
  EventField(std::string_view key, const T& id) : EventField(key, id.Get()) {}

  std::string m_key;
  std::string m_value;
};

// Formats `event=name key=value ...`; values with spaces, quotes or control characters are quoted and escaped.
std::string FormatEvent(std::string_view name, std::initializer_list<EventField> fields);

// Sets up log4cplus to write to standard output. `process` and `vm` are added to each line. Lines go through a bounded
// buffer to a thread of their own, so that a reader that stalls never blocks the caller; lines that do not fit are
// dropped, those of level info and below first, and counted in an event `log_dropped`. Call once from main.
void InitEventLog(LogLevel level, const std::string& process, const std::string& vm);

// Changes the lowest level that is written.
void SetEventLogLevel(LogLevel level);

// Writes what is buffered, as far as the reader takes it within a short time, and ends logging. Call last in main.
void StopEventLog();

// Writes one event. Safe from any thread.
void LogEvent(LogLevel level, std::string_view name, std::initializer_list<EventField> fields);

// Returns the fields that describe a status: its type and text.
EventField MakeFailureField(const absl::Status& status);

// Remembers the last events of requests so that `plantainctl explain` can tell what happened to one. Bounded in
// count; the oldest go first. Safe from any thread.
class RequestHistory {
 public:
  explicit RequestHistory(size_t max_events) : m_max_events(max_events) {}

  // Records one formatted event line of a request.
  void Add(const std::string& request, std::string line);

  // Returns the lines of a request, oldest first.
  std::vector<std::string> GetEvents(const std::string& request) const;

 private:
  struct Entry {
    std::string request;
    std::string line;
  };

  const size_t m_max_events;
  mutable std::mutex m_mutex;
  std::deque<Entry> m_events;
};

}  // namespace plantain

#endif  // PLANTAIN_EVENT_LOG_H_
