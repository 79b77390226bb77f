#include "drain_control.h"

#include <algorithm>

namespace plantain {

void DrainControl::Begin(TimePoint now) {
  if (HasBegun()) return;
  m_began_at = now;
  m_phase = DrainPhase::kNotifying;
}

DrainPhase DrainControl::Update(TimePoint now, const DrainLoad& load) {
  if (HasBegun()) m_phase = std::max(m_phase, FindPhase(now - m_began_at, load));
  return m_phase;
}

DrainPhase DrainControl::FindPhase(Duration passed, const DrainLoad& load) const {
  const bool is_listening = m_phase < DrainPhase::kNotListening;
  if (!is_listening && load.connections == 0 && load.requests == 0) return DrainPhase::kEnded;
  // No phase is left out even if the process was suspended: the socket is closed first, so that nothing arrives after
  // the requests were given up, and those are given up before the end, so that each gets an answer.
  if (m_phase == DrainPhase::kGivingUp && passed >= m_times.end) return DrainPhase::kEnded;
  if (!is_listening && passed >= m_times.give_up) return DrainPhase::kGivingUp;
  if (passed >= m_times.stop_listening) return DrainPhase::kNotListening;
  if (passed >= m_times.notice && load.requests == 0) return DrainPhase::kNotListening;
  return passed >= m_times.close_idle ? DrainPhase::kClosingIdle : DrainPhase::kNotifying;
}

}  // namespace plantain
