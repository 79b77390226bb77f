#include "event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace plantain {
namespace {

// Returns the number of bytes up to and with the first empty line, or 0. Bytes before `from` were searched before.
size_t FindBlockEnd(std::string_view data, size_t from) {
  constexpr std::string_view kEnds[] = {"\n\n", "\r\n\r\n"};
  size_t end = std::string_view::npos;
  for (const std::string_view mark : kEnds) {
    const size_t at = data.find(mark, from > mark.size() ? from - mark.size() : 0);
    if (at != std::string_view::npos) end = std::min(end, at + mark.size());
  }
  return end == std::string_view::npos ? 0 : end;
}

// Returns whether a block has a line that is neither empty nor a comment, which makes it an event.
bool HasField(std::string_view block) {
  bool is_line_start = true;
  for (const char byte : block) {
    const bool is_line_end = byte == '\n' || byte == '\r';
    if (is_line_start && !is_line_end && byte != ':') return true;
    is_line_start = is_line_end;
  }
  return false;
}

// Returns the value of the event's `id` field.
std::optional<uint64_t> FindId(std::string_view event) {
  constexpr std::string_view kName = "id:";
  size_t at = 0;
  while (at < event.size()) {
    std::string_view line = event.substr(at, event.find('\n', at) - at);
    at += line.size() + 1;
    if (!line.starts_with(kName)) continue;
    line.remove_prefix(kName.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    uint64_t id = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

std::string EventSplitter::Take(std::string_view data) {
  size_t searched = m_partial.size();
  m_partial.append(data);
  std::string out;
  size_t event_begin = 0;
  size_t block_begin = m_block_begin;
  while (true) {
    const std::string_view rest = std::string_view(m_partial).substr(block_begin);
    const size_t size = FindBlockEnd(rest, searched - std::min(searched, block_begin));
    if (size == 0) break;
    block_begin += size;
    if (!HasField(rest.substr(0, size))) continue;
    TakeEvent(std::string_view(m_partial).substr(event_begin, block_begin - event_begin), out);
    event_begin = block_begin;
  }
  m_partial.erase(0, event_begin);
  m_block_begin = block_begin - event_begin;
  return out;
}

std::string EventSplitter::TakeComments() {
  std::string comments = m_partial.substr(0, m_block_begin);
  m_partial.erase(0, std::exchange(m_block_begin, 0));
  return comments;
}

void EventSplitter::TakeEvent(std::string_view event, std::string& out) {
  const std::optional<uint64_t> id = FindId(event);
  if (!id.has_value() || !m_newest_id.has_value() || *id > *m_newest_id) ++m_progress;
  if (id.has_value()) m_newest_id = std::max(m_newest_id.value_or(0), *id);
  if (id.has_value()) {
    if (m_last_id.has_value() && *id <= *m_last_id) return;
    if (m_last_id.has_value() && *id != *m_last_id + 1) m_has_gap = true;
    m_last_id = id;
  }
  ++m_count;
  out.append(event);
}

}  // namespace plantain
