#include "era_table.h"

#include <algorithm>

namespace plantain {

bool EraTable::Add(const EraBound& bound) {
  const auto tells_all = [&](const EraBound& known) { return known.Implies(bound); };
  if (bound.written == StoreEra() || std::any_of(m_bounds.begin(), m_bounds.end(), tells_all)) return false;
  std::erase_if(m_bounds, [&](const EraBound& known) { return bound.Implies(known); });
  const auto is_older = [](const EraBound& a, const EraBound& b) { return a.view < b.view; };
  m_bounds.insert(std::upper_bound(m_bounds.begin(), m_bounds.end(), bound, is_older), bound);
  const bool is_forgotten = m_bounds.size() > kMaxEraBounds && m_bounds.front() == bound;
  if (m_bounds.size() > kMaxEraBounds) m_bounds.erase(m_bounds.begin());
  return !is_forgotten;
}

StoreEra EraTable::GetWriteEra(LogPosition position) const {
  StoreEra written;
  for (const EraBound& bound : m_bounds) {
    if (bound.view <= position.era && bound.offset <= position.offset) written = std::max(written, bound.written);
  }
  return written;
}

bool EraTable::IsRetained(LogPosition position, StoreEra view) const {
  return std::none_of(m_bounds.begin(), m_bounds.end(), [&](const EraBound& bound) {
    return bound.view <= view && bound.written > position.era && bound.offset <= position.offset;
  });
}

}  // namespace plantain
