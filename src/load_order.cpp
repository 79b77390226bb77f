#include "load_order.h"

namespace plantain {

void LoadOrder::OnAnswer(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kStarted:
      SetStarted();
      break;
    case OrderAnswer::kRefused:
    case OrderAnswer::kNotSent:
      // A restart may have ended all copies before.
      if (m_open_copies > 0) --m_open_copies;
      break;
    case OrderAnswer::kNone:
      break;
  }
}

void LoadOrder::OnReport(Incarnation incarnation, uint64_t orders) {
  if (incarnation == m_incarnation) {
    if (orders > m_orders) SetStarted();
    return;
  }
  m_incarnation = incarnation;
  m_has_restarted = true;
  m_is_started = false;
  // A restart resets the count. A copy that reaches the engine after its restart is started only if the count fits.
  if (orders != m_orders) m_open_copies = 0;
}

void LoadOrder::SetStarted() {
  m_is_started = true;
  // The other copies name a count that is past.
  m_open_copies = 0;
}

}  // namespace plantain
