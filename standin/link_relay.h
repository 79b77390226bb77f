// TCP relays that simulate the network between zones: shared bandwidth, one-way delay, partitions, connection resets.

#ifndef PLANTAIN_LINK_RELAY_H_
#define PLANTAIN_LINK_RELAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "clock.h"
#include "loop.h"
#include "token_bucket.h"

namespace plantain::standin {

// Configuration of one relay: listening port and target of its connections.
struct RelaySpec {
  std::string listen_address;
  uint16_t listen_port = 0;
  std::string target_address;
  uint16_t target_port = 0;
  std::string from_zone;
  std::string to_zone;
  std::string from_region;
  std::string to_region;
  // One-way delay.
  Duration delay{};
};

struct LinkPairStats {
  uint64_t bytes = 0;
  uint64_t connections = 0;
};

// Network state shared by all relays. Not thread-safe: use on the loop's thread only.
class LinkNetwork {
 public:
  using Pair = std::pair<std::string, std::string>;

  // The rate is in bytes/s for each direction between two regions; 0 means no limit.
  LinkNetwork(const Clock& clock, double region_rate) : m_clock(clock), m_region_rate(region_rate) {}

  // One direction of a relay.
  struct Direction {
    Pair zones;
    Pair regions;
    Duration delay;
  };

  // Accounts for `bytes` sent now and returns the time until they arrive.
  Duration Transmit(const Direction& direction, size_t bytes);

  // Stops or resumes all traffic between two zones, in both directions.
  void SetCut(const std::string& zone_a, const std::string& zone_b, bool is_cut);
  // Stops or resumes traffic from one zone to another; the opposite direction is not affected.
  void SetOneWayCut(const std::string& from, const std::string& to, bool is_cut);
  void HealAll() { m_cuts.clear(); }

  // Returns whether traffic from `from` to `to` is blocked.
  bool IsCut(const std::string& from, const std::string& to) const { return m_cuts.count({from, to}) > 0; }

  void SetRegionRate(double bytes_per_s);

  // Sets a delay that is added in every direction.
  void SetExtraDelay(Duration delay) { m_extra_delay = delay; }

  void CountConnection(const Pair& zones) { ++m_stats[zones].connections; }

  // Traffic by sending and receiving zone.
  const std::map<Pair, LinkPairStats>& GetStats() const { return m_stats; }
  const std::set<Pair>& GetCuts() const { return m_cuts; }

 private:
  TokenBucket& GetBucket(const Pair& regions);

  const Clock& m_clock;
  double m_region_rate;
  Duration m_extra_delay{};
  std::map<Pair, TokenBucket> m_buckets;
  std::map<Pair, LinkPairStats> m_stats;
  // Blocked directions, as sending and receiving zone.
  std::set<Pair> m_cuts;
};

// Listens on all relay ports and forwards their connections.
class LinkRelays {
 public:
  struct Impl;

  LinkRelays(Loop& loop, const Clock& clock, LinkNetwork& network);
  ~LinkRelays();

  absl::Status Add(const RelaySpec& spec);

  // Resumes connections whose zones are no longer cut off. Call after a partition has been healed.
  void Resume();

  // Resets every connection between two zones, regardless of which side opened it.
  void Reset(const std::string& zone_a, const std::string& zone_b);

 private:
  std::shared_ptr<Impl> m_impl;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LINK_RELAY_H_
