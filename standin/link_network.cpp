#include "link_relay.h"

namespace plantain::standin {
namespace {

// Burst size of a shared link in seconds at its rate.
constexpr double kBurstSeconds = 0.01;

}  // namespace

TokenBucket& LinkNetwork::GetBucket(const Pair& regions) {
  const auto found = m_buckets.find(regions);
  if (found != m_buckets.end()) return found->second;
  const TokenBucket bucket(m_clock, m_region_rate, m_region_rate * kBurstSeconds);
  return m_buckets.emplace(regions, bucket).first->second;
}

Duration LinkNetwork::Transmit(const Direction& direction, size_t bytes) {
  m_stats[direction.zones].bytes += bytes;
  const Duration delay = direction.delay + m_extra_delay;
  if (direction.regions.first == direction.regions.second) return delay;
  return delay + GetBucket(direction.regions).TakeAndGetDelay(static_cast<double>(bytes));
}

void LinkNetwork::SetCut(const std::string& zone_a, const std::string& zone_b, bool is_cut) {
  SetOneWayCut(zone_a, zone_b, is_cut);
  SetOneWayCut(zone_b, zone_a, is_cut);
}

void LinkNetwork::SetOneWayCut(const std::string& from, const std::string& to, bool is_cut) {
  if (is_cut) {
    m_cuts.insert({from, to});
  } else {
    m_cuts.erase({from, to});
  }
}

void LinkNetwork::SetRegionRate(double bytes_per_s) {
  m_region_rate = bytes_per_s;
  for (auto& [regions, bucket] : m_buckets) bucket.SetRate(bytes_per_s, bytes_per_s * kBurstSeconds);
}

}  // namespace plantain::standin
