#include "record_pull_plan.h"

#include <algorithm>
#include <iterator>

namespace plantain {
namespace {

// Time that the own read of the store gets before a peer is asked.
constexpr Duration kStoreReadTimeout = Milliseconds(800);
// Time that the reader of the zone gets before a standby entry asks another zone.
constexpr Duration kOtherZoneDelay = Milliseconds(500);
// Longest pause: several of them must fit into the time in which a configuration has to be in force.
constexpr Duration kMaxPause = Milliseconds(400);
// Wait after a refusal or failure, and the time for which the peer is not asked again. Each lasts up to twice as long.
constexpr Duration kRetryWait = Milliseconds(20);
constexpr Duration kRefusedTime = Milliseconds(100);
constexpr Duration kFailedTime = Milliseconds(500);
// Failures in a row after which peers of all zones are asked.
constexpr int kMaxFailures = 2;

Duration GetWait(PullRole role, bool is_own_zone) {
  if (role == PullRole::kReader) return kStoreReadTimeout;
  return role == PullRole::kFirst || is_own_zone ? Duration::zero() : kOtherZoneDelay;
}

// Returns the peers of the first non-empty group: entries of the own zone, other entries, agents.
std::vector<PullPeer> SelectPreferred(const std::vector<PullPeer>& peers) {
  const auto get_group = [](const PullPeer& peer) {
    if (!peer.is_entry) return 2;
    return peer.is_own_zone ? 0 : 1;
  };
  std::vector<PullPeer> preferred;
  for (int group = 0; group < 3 && preferred.empty(); ++group) {
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(preferred),
                 [&](const PullPeer& peer) { return get_group(peer) == group; });
  }
  return preferred;
}

bool IsOlder(const LogPosition& a, const LogPosition& b) {
  return a.era < b.era || (a.era == b.era && a.offset < b.offset);
}

}  // namespace

PullStep RecordPullPlan::Decide(PullRole role, LogPosition own, const std::vector<PullPeer>& peers) {
  const TimePoint now = m_clock.GetNow();
  if (peers.empty() || own != m_own) m_behind_since.reset();
  m_own = own;
  if (peers.empty()) return {};
  if (!m_behind_since.has_value()) m_behind_since = now;
  if (m_peer.has_value()) return {};
  // After repeated failures the own zone may be out of reach although its beacons arrive.
  const std::vector<PullPeer> preferred = m_failures < kMaxFailures ? SelectPreferred(peers) : peers;
  const bool is_own_zone = preferred.front().is_own_zone && preferred.front().is_entry;
  const TimePoint earliest = std::max(m_pause_until, *m_behind_since + GetWait(role, is_own_zone));
  if (now < earliest) return {std::nullopt, earliest - now};
  return Pick(preferred);
}

PullStep RecordPullPlan::Pick(const std::vector<PullPeer>& peers) {
  const TimePoint now = m_clock.GetNow();
  std::erase_if(m_avoided, [&](const auto& avoided) { return avoided.second <= now; });
  std::vector<PullPeer> candidates;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(candidates),
               [&](const PullPeer& peer) { return !m_avoided.contains(peer.vm); });
  if (candidates.empty()) {
    const auto next = std::min_element(m_avoided.begin(), m_avoided.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
    return {std::nullopt, next->second - now};
  }
  LogPosition newest;
  for (const PullPeer& peer : candidates) {
    if (IsOlder(newest, peer.newest)) newest = peer.newest;
  }
  std::erase_if(candidates, [&](const PullPeer& peer) { return IsOlder(peer.newest, newest); });
  return {candidates[m_random.GetBelow(candidates.size())].vm, std::nullopt};
}

Duration RecordPullPlan::GetRandomWait(Duration min) {
  return min + std::chrono::duration_cast<Duration>(min * m_random.GetUnit());
}

void RecordPullPlan::OnStarted(const VmId& peer) {
  m_peer = peer;
  m_started_at = m_clock.GetNow();
}

void RecordPullPlan::OnEnded(PullEnd end) {
  if (!m_peer.has_value()) return;
  const TimePoint now = m_clock.GetNow();
  m_failures = end == PullEnd::kFailed ? m_failures + 1 : 0;
  if (end == PullEnd::kReceived) {
    const auto pause = std::chrono::duration_cast<Duration>((now - m_started_at) * m_pause_factor);
    m_pause_until = now + std::min(pause, kMaxPause);
  } else {
    m_avoided[*m_peer] = now + GetRandomWait(end == PullEnd::kRefused ? kRefusedTime : kFailedTime);
    m_pause_until = now + GetRandomWait(kRetryWait);
  }
  m_peer.reset();
}

}  // namespace plantain
