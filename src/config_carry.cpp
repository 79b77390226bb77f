#include "config_carry.h"

#include <algorithm>
#include <string>

#include "rendezvous.h"

namespace plantain {
namespace {

// A start record is too old once its age exceeds the retention time divided by this.
constexpr int kMaxAgeDivisor = 2;
// The delays of all ranks add up to at most the retention time divided by this, so that the last entry in rank order
// still writes before the start record expires.
constexpr int kMaxDelayDivisor = 4;
// Maximum delay between two consecutive ranks. An append and the long poll that returns it take well under a second.
constexpr Duration kMaxRankDelay = std::chrono::seconds(5);

}  // namespace

CheckpointSchedule::CheckpointSchedule(const Clock& clock, VmId self, Duration retention)
    : m_clock(clock), m_self(std::move(self)), m_retention(retention) {}

bool CheckpointSchedule::IsDue(const std::optional<FoldStart>& newest_start, const std::vector<VmId>& entries) {
  if (!newest_start.has_value()) return false;
  const Duration age = m_clock.GetWallTime() - newest_start->time;
  if (age < m_retention / kMaxAgeDivisor) {
    m_expiring_start.reset();
    return false;
  }
  const TimePoint now = m_clock.GetNow();
  if (m_expiring_start != newest_start->offset) {
    m_expiring_start = newest_start->offset;
    m_expiring_since = now;
    m_last_attempt.reset();
  }
  const Duration delay = GetDelay(*newest_start, entries);
  if (now - m_expiring_since < delay) return false;
  const Duration retry_delay = std::max<Duration>(kMaxRankDelay, delay);
  return !m_last_attempt.has_value() || now - *m_last_attempt >= std::min(retry_delay, m_retention / kMaxDelayDivisor);
}

void CheckpointSchedule::RecordAttempt() { m_last_attempt = m_clock.GetNow(); }

Duration CheckpointSchedule::GetDelay(const FoldStart& start, const std::vector<VmId>& entries) const {
  // The offset of the start record is part of the key, so that a different entry ranks first each time.
  const std::string key = "carry " + std::to_string(start.offset.Get());
  const uint64_t own_score = GetRendezvousScore(key, m_self.Get());
  int64_t rank = 0;
  for (const VmId& entry : entries) {
    if (entry != m_self && GetRendezvousScore(key, entry.Get()) > own_score) ++rank;
  }
  const int64_t count = std::max<int64_t>(1, static_cast<int64_t>(entries.size()));
  return rank * std::min<Duration>(kMaxRankDelay, m_retention / kMaxDelayDivisor / count);
}

}  // namespace plantain
