#include "memory_budget.h"

namespace plantain {

Bytes MemoryBudget::GetUsed() const {
  const std::lock_guard lock(m_mutex);
  return Bytes(m_used);
}

bool MemoryBudget::Resize(size_t from, size_t to) {
  const std::lock_guard lock(m_mutex);
  const size_t others = m_used - from;
  const bool is_allowed = to <= from || (to <= m_limit && others + 2 * to <= m_limit);
  if (is_allowed) m_used = others + to;
  return is_allowed;
}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  m_budget->Resize(m_held, 0);
  m_budget = other.m_budget;
  m_held = std::exchange(other.m_held, 0);
  return *this;
}

bool MemoryReservation::Resize(size_t bytes) {
  if (bytes == m_held) return true;
  if (!m_budget->Resize(m_held, bytes)) return false;
  m_held = bytes;
  return true;
}

void MemoryReservation::ShrinkTo(size_t bytes) {
  if (bytes >= m_held) return;
  m_budget->Resize(m_held, bytes);
  m_held = bytes;
}

}  // namespace plantain
