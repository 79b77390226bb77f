#include "endpoint_silence.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

// An endpoint stands still if it has sent nothing for at least this fraction of the time for which one of its attempts
// has been silent. Its attempts receive their parts one after the other, not in one moment.
constexpr int kPauseDivisor = 2;

}  // namespace

std::optional<Duration> EndpointSilence::OnReceived(TimePoint now) {
  m_received_at = now;
  const std::optional<TimePoint> paused_since = std::exchange(m_paused_since, std::nullopt);
  if (!paused_since.has_value()) return std::nullopt;
  return now - *paused_since;
}

SilenceFinding EndpointSilence::OnSilent(TimePoint since, TimePoint now) {
  const TimePoint received_at = m_received_at.has_value() ? std::max(*m_received_at, since) : since;
  if (now - received_at < (now - since) / kPauseDivisor) return SilenceFinding::kRequestOnly;
  if (!m_paused_since.has_value()) m_paused_since = received_at;
  return SilenceFinding::kPause;
}

}  // namespace plantain
