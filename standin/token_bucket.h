// Token bucket for the rate limits of the stand-ins.

#ifndef PLANTAIN_TOKEN_BUCKET_H_
#define PLANTAIN_TOKEN_BUCKET_H_

#include <algorithm>

#include "clock.h"

namespace plantain::standin {

// Refills at `rate` units/s up to `burst` units. All times come from the given clock.
class TokenBucket {
 public:
  TokenBucket(const Clock& clock, double rate, double burst)
      : m_clock(clock), m_rate(rate), m_burst(burst), m_level(burst), m_refilled_at(clock.GetNow()) {}

  // A rate of zero or less means no limit.
  bool IsUnlimited() const { return m_rate <= 0; }

  void SetRate(double rate, double burst) {
    Refill();
    m_rate = rate;
    m_burst = burst;
    m_level = std::min(m_level, burst);
  }

  // Takes `units` if they are available.
  bool TryTake(double units) {
    if (IsUnlimited()) return true;
    Refill();
    // Rounding errors of many short refills add up. Without the tolerance, a unit that is due would be denied.
    if (m_level + kRoundingTolerance < units) return false;
    m_level -= units;
    return true;
  }

  // Takes `units` even if the level becomes negative, and returns the time until it is back at zero. Used for messages
  // larger than the burst.
  Duration TakeAndGetDelay(double units) {
    if (IsUnlimited()) return Duration(0);
    Refill();
    m_level -= units;
    if (m_level >= 0) return Duration(0);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-m_level / m_rate));
  }

 private:
  static constexpr double kRoundingTolerance = 1e-9;

  void Refill() {
    const TimePoint now = m_clock.GetNow();
    const double elapsed = std::chrono::duration<double>(now - m_refilled_at).count();
    m_refilled_at = now;
    m_level = std::min(m_burst, m_level + elapsed * m_rate);
  }

  const Clock& m_clock;
  double m_rate;
  double m_burst;
  double m_level;
  TimePoint m_refilled_at;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_TOKEN_BUCKET_H_
