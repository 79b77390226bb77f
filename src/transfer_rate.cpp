#include "transfer_rate.h"

namespace plantain {
namespace {

// Long enough to make up for a late timer, short enough not to fill a queue on the link.
constexpr Duration kBurst = Milliseconds(20);

}  // namespace

TransferRateLimits::TransferRateLimits(TransferRateOptions options, const Clock& clock)
    : m_options(options),
      m_clock(clock),
      m_up(options.up, kBurst, clock.GetNow()),
      m_down(options.down, kBurst, clock.GetNow()),
      m_cross_zone_down(options.cross_zone, kBurst, clock.GetNow()),
      m_cross_zone_up(options.cross_zone, kBurst, clock.GetNow()) {}

void TransferRateLimits::SetHasLiveRequests(bool has_live_requests) {
  if (has_live_requests == m_has_live_requests) return;
  m_has_live_requests = has_live_requests;
  const double share = has_live_requests ? 1.0 - m_options.live_request_share : 1.0;
  const TimePoint now = m_clock.GetNow();
  m_up.SetRate(BytesPerSecond(m_options.up.Get() * share), now);
  m_down.SetRate(BytesPerSecond(m_options.down.Get() * share), now);
}

void TransferRateLimits::SetCrossZoneRate(BytesPerSecond rate) {
  const TimePoint now = m_clock.GetNow();
  m_cross_zone_down.SetRate(rate, now);
  m_cross_zone_up.SetRate(rate, now);
}

}  // namespace plantain
