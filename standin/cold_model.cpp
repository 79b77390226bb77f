#include "cold_model.h"

namespace plantain::standin {

void ColdModel::MakeCold() {
  m_is_warm = false;
  m_warming_time = Duration(0);
  m_overload_time = Duration(0);
  m_updated_at = m_clock.GetNow();
}

void ColdModel::MakeWarm() {
  MakeCold();
  m_is_warm = true;
}

bool ColdModel::Update(size_t in_flight) {
  const TimePoint now = m_clock.GetNow();
  const Duration elapsed = now - m_updated_at;
  m_updated_at = now;
  if (m_is_warm) return false;
  if (in_flight > m_limits.cold_capacity) {
    m_overload_time += elapsed;
    return m_overload_time >= m_limits.overload_time;
  }
  m_overload_time = Duration(0);
  if (in_flight > 0) m_warming_time += elapsed;
  m_is_warm = m_warming_time >= m_limits.warm_time;
  return false;
}

}  // namespace plantain::standin
