#include "prefix_cache.h"

#include <nlohmann/json.hpp>

namespace plantain::standin {
namespace {

constexpr size_t kMaxEvents = 4096;
constexpr size_t kMaxEventsInAnswer = 512;

}  // namespace

bool PrefixCache::LookUpOrInsert(const std::string& prefix) {
  const auto found = m_entries.find(prefix);
  if (found != m_entries.end()) {
    m_lru_list.splice(m_lru_list.begin(), m_lru_list, found->second);
    return true;
  }
  if (m_options.max_entries == 0) return false;
  if (m_entries.size() >= m_options.max_entries) {
    AddEvent("evicted", m_lru_list.back());
    m_entries.erase(m_lru_list.back());
    m_lru_list.pop_back();
  }
  m_lru_list.push_front(prefix);
  m_entries[prefix] = m_lru_list.begin();
  AddEvent("stored", prefix);
  return false;
}

void PrefixCache::Clear() {
  if (m_entries.empty()) return;
  m_entries.clear();
  m_lru_list.clear();
  AddEvent("cleared", "");
}

void PrefixCache::AddEvent(const char* type, const std::string& prefix) {
  // Lost events also consume a sequence number, so that readers can detect the gap.
  ++m_last_event_number;
  if (m_random.GetUnit() < m_options.event_loss_share) return;
  m_events.push_back({m_last_event_number, m_clock.GetNow(), type, prefix});
  if (m_events.size() > kMaxEvents) m_events.pop_front();
}

std::string PrefixCache::GetEventsJson(uint64_t after) const {
  const TimePoint newest = m_clock.GetNow() - m_options.event_lag;
  nlohmann::json events = nlohmann::json::array();
  uint64_t last = after;
  for (const Event& event : m_events) {
    if (event.number <= after) continue;
    if (event.happened_at > newest || events.size() >= kMaxEventsInAnswer) break;
    events.push_back({{"n", event.number}, {"type", event.type}, {"prefix", event.prefix}});
    last = event.number;
  }
  return nlohmann::json{{"events", std::move(events)}, {"last", last}}.dump();
}

}  // namespace plantain::standin
