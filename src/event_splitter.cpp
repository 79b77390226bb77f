#include "event_splitter.h"

#include <algorithm>
#include <charconv>

namespace plantain {
namespace {

// Returns the number of bytes up to the end of the first whole event, or 0.
size_t FindEventEnd(std::string_view data, size_t from) {
  constexpr std::string_view kEnds[] = {"\n\n", "\r\n\r\n"};
  size_t end = std::string_view::npos;
  for (const std::string_view mark : kEnds) {
    const size_t at = data.find(mark, from > mark.size() ? from - mark.size() : 0);
    if (at != std::string_view::npos) end = std::min(end, at + mark.size());
  }
  return end == std::string_view::npos ? 0 : end;
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
  const size_t searched = m_partial.size();
  m_partial.append(data);
  std::string out;
  size_t begin = 0;
  while (true) {
    const std::string_view rest = std::string_view(m_partial).substr(begin);
    const size_t size = FindEventEnd(rest, begin == 0 ? searched : 0);
    if (size == 0) break;
    TakeEvent(rest.substr(0, size), out);
    begin += size;
  }
  m_partial.erase(0, begin);
  return out;
}

void EventSplitter::TakeEvent(std::string_view event, std::string& out) {
  const std::optional<uint64_t> id = FindId(event);
  if (id.has_value()) {
    if (m_last_id.has_value() && *id <= *m_last_id) return;
    if (m_last_id.has_value() && *id != *m_last_id + 1) m_has_gap = true;
    m_last_id = id;
  }
  ++m_count;
  out.append(event);
}

}  // namespace plantain
