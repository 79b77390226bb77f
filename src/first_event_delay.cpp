#include "first_event_delay.h"

namespace plantain {
namespace {

// The mean follows a change within about this many answers.
constexpr int kSmoothing = 16;

}  // namespace

void FirstEventDelay::Record(Duration delay) {
  if (!m_is_known) {
    m_is_known = true;
    m_mean = delay;
    m_deviation = delay / 2;
    return;
  }
  const Duration error = delay - m_mean;
  m_mean += error / kSmoothing;
  m_deviation += ((error < Duration::zero() ? -error : error) - m_deviation) / kSmoothing;
}

}  // namespace plantain
