#include "log_store.h"

#include <algorithm>

namespace plantain::standin {
namespace {

// Maximum body size of one read. Larger reads end at a record boundary but return at least one record.
constexpr size_t kMaxReadBytes = 8 * 1024 * 1024;

void AppendLittleEndian(uint64_t value, int bytes, std::string& out) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>((value >> (8 * i)) & 0xff);
}

}  // namespace

uint64_t LogStore::Append(std::string bytes) {
  Expire();
  const auto wall = std::chrono::duration_cast<Milliseconds>(m_clock.GetWallTime().time_since_epoch());
  m_records.push_back({m_clock.GetNow(), static_cast<uint64_t>(wall.count()), std::move(bytes)});
  return GetNextOffset() - 1;
}

void LogStore::Expire() {
  if (m_retention <= Duration(0)) return;
  const TimePoint oldest = m_clock.GetNow() - m_retention;
  while (!m_records.empty() && m_records.front().added_at < oldest) {
    m_records.pop_front();
    ++m_first;
  }
}

std::string LogStore::Read(uint64_t from, uint64_t max, uint64_t end, uint64_t& next) const {
  std::string out;
  next = std::max(from, m_first);
  end = std::min(end, GetNextOffset());
  for (uint64_t count = 0; count < max && next < end; ++count) {
    const Record& record = m_records[next - m_first];
    if (!out.empty() && out.size() + record.bytes.size() > kMaxReadBytes) break;
    AppendLittleEndian(next, 8, out);
    AppendLittleEndian(record.unix_ms, 8, out);
    AppendLittleEndian(record.bytes.size(), 4, out);
    out += record.bytes;
    ++next;
  }
  return out;
}

}  // namespace plantain::standin
