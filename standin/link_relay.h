// TCP relays that model the network between zones: shared rate, one-way delay, partition, connection resets.

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

// One listening port and where its connections go.
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

// State that all relays share. Used on one loop.
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

  // Returns the time from now until bytes sent now arrive, and counts them.
  Duration Transmit(const Direction& direction, size_t bytes);

  // Stops or resumes all traffic between two zones, in both directions.
  void SetCut(const std::string& one, const std::string& other, bool is_cut);
  // Stops or resumes what the zone `from` sends to the zone `to`; answers still pass.
  void SetOneWayCut(const std::string& from, const std::string& to, bool is_cut);
  void HealAll() { m_cuts.clear(); }

  // Whether bytes that `from` sends to `to` are held back.
  bool IsCut(const std::string& from, const std::string& to) const { return m_cuts.count({from, to}) > 0; }

  void SetRegionRate(double bytes_per_s);

  // Adds to the delay of every direction.
  void SetExtraDelay(Duration delay) { m_extra_delay = delay; }

  void CountConnection(const Pair& zones) { ++m_stats[zones].connections; }

  // Counts by sending and receiving zone.
  const std::map<Pair, LinkPairStats>& GetStats() const { return m_stats; }
  const std::set<Pair>& GetCuts() const { return m_cuts; }

 private:
  TokenBucket& GetBucket(const Pair& regions);

  const Clock& m_clock;
  double m_region_rate;
  Duration m_extra_delay{};
  std::map<Pair, TokenBucket> m_buckets;
  std::map<Pair, LinkPairStats> m_stats;
  // Sending and receiving zone.
  std::set<Pair> m_cuts;
};

// Listens on all relay ports and carries their connections.
class LinkRelays {
 public:
  struct Impl;

  LinkRelays(Loop& loop, const Clock& clock, LinkNetwork& network);
  ~LinkRelays();

  absl::Status Add(const RelaySpec& spec);

  // Makes connections go on after a heal.
  void Resume();

  // Resets every connection between two zones, whichever of them opened it.
  void Reset(const std::string& one, const std::string& other);

 private:
  std::shared_ptr<Impl> m_impl;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LINK_RELAY_H_
