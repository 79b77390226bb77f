#include "log_history.h"

#include <xxhash.h>

#include <algorithm>

#include "record_mirror.h"

namespace plantain {
namespace {

// The store's copies are some seconds old.
constexpr Duration kRetention = std::chrono::seconds(30);
constexpr size_t kMaxItems = 16384;

uint64_t GetDigest(const KeyedRecord& record) {
  const uint64_t key = XXH3_64bits(record.key.data(), record.key.size());
  if (!record.value.has_value()) return key;
  return XXH3_64bits_withSeed(record.value->data(), record.value->size(), key);
}

}  // namespace

void LogHistory::Add(const KeyedRecord& record, TimePoint now) {
  m_era = std::max(m_era, record.position.era);
  if (!m_items.empty() && record.position.offset <= m_items.back().offset) return;
  m_items.push_back({record.position.offset, GetDigest(record), now});
  while (m_items.size() > kMaxItems || now - m_items.front().read_at > kRetention) m_items.pop_front();
}

std::optional<LogOffset> LogHistory::FindFirstDifference(const std::vector<KeyedRecord>& records) const {
  std::optional<LogOffset> first;
  for (const KeyedRecord& record : records) {
    const LogOffset offset = record.position.offset;
    if (first.has_value() && offset >= *first) continue;
    const auto known = std::lower_bound(m_items.begin(), m_items.end(), offset,
                                        [](const Item& item, LogOffset at) { return item.offset < at; });
    const bool is_known = known != m_items.end() && known->offset == offset;
    if (is_known && known->digest != GetDigest(record)) first = offset;
  }
  return first;
}

void LogHistory::Truncate(LogOffset from) {
  while (!m_items.empty() && m_items.back().offset >= from) m_items.pop_back();
}

std::optional<LogOffset> LogHistory::GetBegin() const {
  if (m_items.empty()) return std::nullopt;
  return m_items.front().offset;
}

}  // namespace plantain
