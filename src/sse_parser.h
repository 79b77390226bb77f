// Parser of server-sent events with bounded memory use.

#ifndef PLANTAIN_SSE_PARSER_H_
#define PLANTAIN_SSE_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace plantain {

// Splits a byte stream into events and passes the data of each to a callback. Fields other than `data` are ignored.
class SseParser {
 public:
  using OnEvent = std::function<void(std::string_view data)>;

  // Fails once a single event is larger than `max_event_bytes`.
  SseParser(size_t max_event_bytes, OnEvent on_event);

  // Parses the next bytes; an event may span several calls. After a failure all further calls fail.
  absl::Status Feed(std::string_view bytes);

 private:
  void HandleLine(std::string_view line);

  const size_t m_max_event_bytes;
  const OnEvent m_on_event;
  std::string m_line;
  std::string m_data;
  bool m_has_data = false;
  // The last line ended in CR, so a following LF is part of the same line end.
  bool m_skip_lf = false;
  bool m_is_failed = false;
};

}  // namespace plantain

#endif  // PLANTAIN_SSE_PARSER_H_
