#include "attempt_table.h"

namespace plantain {

AttemptTable::~AttemptTable() {
  for (const auto& [key, attempt] : m_attempts) {
    if (attempt->call != nullptr) attempt->call->Cancel();
  }
}

std::shared_ptr<Attempt> AttemptTable::Add(const AttemptKey& key) {
  if (m_attempts.count(key) != 0 || m_ended.count(key) != 0) return nullptr;
  auto attempt = std::make_shared<Attempt>();
  attempt->key = key;
  m_attempts[key] = attempt;
  return attempt;
}

std::shared_ptr<Attempt> AttemptTable::Find(const AttemptKey& key) const {
  const auto found = m_attempts.find(key);
  return found == m_attempts.end() ? nullptr : found->second;
}

void AttemptTable::Remove(const AttemptKey& key) {
  if (m_attempts.erase(key) == 0) return;
  m_ended.insert(key);
  m_ended_order.push_back(key);
  if (m_ended_order.size() <= kMaxEndedIds) return;
  m_ended.erase(m_ended_order.front());
  m_ended_order.pop_front();
}

}  // namespace plantain
