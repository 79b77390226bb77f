#include "spare_capacity.h"

#include <cmath>

namespace plantain {
namespace {

// The mean time that a request holds a slot follows a change within about this many answers.
constexpr double kSmoothing = 32;
// Slots in reserve, as a multiple of the square root of the slots: the number of new requests at one time varies by
// about that much.
constexpr double kReserveFactor = 0.5;

}  // namespace

void SpareCapacity::OnNewRequest(TimePoint now, uint32_t priority) {
  m_new_requests.try_emplace(priority, kRateWindow).first->second.Count(now);
}

void SpareCapacity::OnAnswered(Duration held) {
  const double held_s = ToSeconds(held);
  m_held_s = m_held_s == 0 ? held_s : m_held_s + (held_s - m_held_s) / kSmoothing;
}

bool SpareCapacity::AllowsLate(uint32_t slots, TimePoint now, uint32_t priority) const {
  double per_s = 0;
  for (const auto& [other, rate] : m_new_requests) {
    if (other <= priority) per_s += rate.Get(now).value_or(0);
  }
  const double needed = per_s * m_held_s;
  const double reserve = kReserveFactor * std::sqrt(slots);
  return static_cast<double>(m_late.size()) + 1 <= slots - needed - reserve;
}

}  // namespace plantain
