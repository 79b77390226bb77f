#include "event_rate.h"

#include <cmath>

namespace plantain {

void EventRate::Count(TimePoint now) {
  m_per_s = Get(now).value_or(0) + 1 / ToSeconds(m_memory);
  m_at = now;
  m_is_known = true;
}

std::optional<double> EventRate::Get(TimePoint now) const {
  if (!m_is_known) return std::nullopt;
  return m_per_s * std::exp(-ToSeconds(now - m_at) / ToSeconds(m_memory));
}

}  // namespace plantain
