#include "manifest_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace plantain {
namespace {

std::vector<VmId> MakeAgents(size_t count) {
  std::vector<VmId> agents;
  for (size_t i = 0; i < count; ++i) agents.emplace_back("agent-" + std::to_string(100 + i));
  return agents;
}

// Agents that ask until they have the manifest. A peer that has it answers at once; the origin answers those that it
// accepts.
struct Zone {
  Zone(size_t count, size_t dead_agents) : agents(MakeAgents(count)), dead(dead_agents) {}

  // Returns the number of rounds until all live agents have the manifest.
  int Run() {
    for (int round = 0; round < 100; ++round) {
      std::set<size_t> gained;
      for (size_t i = dead; i < agents.size(); ++i) {
        if (known.contains(i)) continue;
        const auto peer = ManifestSource(agents, agents[i]).Pick(static_cast<uint32_t>(round), random);
        if (!peer.has_value()) ++origin_requests;
        if (!peer.has_value() || known.contains(Find(*peer))) gained.insert(i);
      }
      known.insert(gained.begin(), gained.end());
      if (known.size() == agents.size() - dead) return round + 1;
    }
    return 100;
  }

  size_t Find(const VmId& vm) const {
    return static_cast<size_t>(std::find(agents.begin(), agents.end(), vm) - agents.begin());
  }

  std::vector<VmId> agents;
  size_t dead;
  SeededRandom random{20261205};
  std::set<size_t> known;
  size_t origin_requests = 0;
};

// Guards against hundreds of agents that ask the origin for a manifest, which then has no time for chunks and refuses
// connections.
TEST_CASE("Few agents of a zone ask the origin for a manifest") {
  SECTION("whatever the size of the zone") {
    const size_t count = GENERATE(1, 2, 15, 47, 400);
    Zone zone(count, 0);
    CHECK(zone.Run() <= 2);
    CHECK(zone.origin_requests <= 2);
  }
  SECTION("and others take their place if they are gone") {
    const size_t dead = GENERATE(1, 2, 5);
    Zone zone(47, dead);
    CHECK(zone.Run() <= 20);
    CHECK(zone.origin_requests <= 4);
  }
}

}  // namespace
}  // namespace plantain
