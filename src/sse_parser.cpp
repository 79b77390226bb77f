#include "sse_parser.h"

#include "failure_type.h"

namespace plantain {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

SseParser::SseParser(size_t max_event_bytes, OnEvent on_event)
    : m_max_event_bytes(max_event_bytes), m_on_event(std::move(on_event)) {}

absl::Status SseParser::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (m_is_failed) break;
    const bool is_lf_after_cr = m_skip_lf && c == '\n';
    m_skip_lf = c == '\r';
    if (is_lf_after_cr) continue;
    if (c != '\n' && c != '\r') {
      m_line.push_back(c);
      m_is_failed = m_line.size() + m_data.size() > m_max_event_bytes;
      continue;
    }
    HandleLine(m_line);
    m_line.clear();
  }
  if (m_is_failed) return MakeFailure(FailureCode::kProtocol, "server-sent event exceeds the size limit");
  return absl::OkStatus();
}

void SseParser::HandleLine(std::string_view line) {
  if (line.empty()) {
    if (m_has_data) m_on_event(m_data);
    m_data.clear();
    m_has_data = false;
    return;
  }
  if (line.substr(0, kDataField.size()) != kDataField) return;
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (m_has_data) m_data.push_back('\n');
  m_data.append(line);
  m_has_data = true;
}

}  // namespace plantain
