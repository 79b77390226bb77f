#include "event_rate.h"

#include <cmath>

namespace plantain {

void EventRate::Count(TimePoint now) {
  m_per_s = Get(now).value_or(0) + 1 / std::chrono::duration<double>(m_memory).count();
  m_at = now;
  m_is_known = true;
}

std::optional<double> EventRate::Get(TimePoint now) const {
  if (!m_is_known) return std::nullopt;
  const double memories = std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(m_memory);
  return m_per_s * std::exp(-memories);
}

}  // namespace plantain
