#include "pace.h"

namespace plantain {
namespace {

// Long enough to make up for a late timer, short enough not to fill a queue on the link.
constexpr Duration kBurst = Milliseconds(20);

}  // namespace

Pace::Pace(PaceOptions options, const Clock& clock)
    : m_options(options),
      m_clock(clock),
      m_up(options.up, kBurst, clock.GetNow()),
      m_down(options.down, kBurst, clock.GetNow()),
      m_shared_down(options.shared, kBurst, clock.GetNow()),
      m_shared_up(options.shared, kBurst, clock.GetNow()) {}

void Pace::SetLive(bool is_live) {
  if (is_live == m_is_live) return;
  m_is_live = is_live;
  const double share = is_live ? 1.0 - m_options.live_share : 1.0;
  const TimePoint now = m_clock.GetNow();
  m_up.SetRate(BytesPerSecond(m_options.up.Get() * share), now);
  m_down.SetRate(BytesPerSecond(m_options.down.Get() * share), now);
}

void Pace::SetShared(BytesPerSecond rate) {
  const TimePoint now = m_clock.GetNow();
  m_shared_down.SetRate(rate, now);
  m_shared_up.SetRate(rate, now);
}

}  // namespace plantain
