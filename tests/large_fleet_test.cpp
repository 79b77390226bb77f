// The load pattern of a large fleet: many entries in several zones, each endpoint with fewer slots than there are
// entries, and requests waiting everywhere.

#include <catch2/catch.hpp>
#include <memory>
#include <numeric>

#include "beacon_table.h"
#include "endpoint_balancer.h"
#include "forward_fake.h"

namespace plantain {
namespace {

constexpr uint32_t kSlots = 8;

ZoneName MakeZone(size_t number) { return ZoneName("zone-" + std::to_string(number)); }

// Address of the `number`th entry or endpoint VM of a zone.
VmId MakeVm(size_t zone, size_t number) {
  return VmId("10." + std::to_string(zone + 1) + "." + std::to_string(number / 200) + "." +
              std::to_string(number % 200 + 1));
}

// Entries that send until no endpoint takes another request.
class LargeFleet {
 public:
  LargeFleet(size_t zones, size_t entries_per_zone, size_t endpoints_per_zone) : m_random(20261205) {
    std::vector<EndpointInfo> endpoints;
    std::vector<EntryDemand> entries;
    for (size_t zone = 0; zone < zones; ++zone) {
      for (size_t i = 0; i < endpoints_per_zone; ++i) {
        endpoints.push_back(MakeEndpoint(MakeName(zone, i), kEnginePool, MakeZone(zone).Get(), kSlots));
      }
      for (size_t i = 0; i < entries_per_zone; ++i) {
        entries.push_back({MakeVm(zone, i), MakeZone(zone), {{kEnginePool, 20}}});
      }
    }
    m_fleet = MakeFleet(std::move(endpoints));
    m_entries = entries;
    for (const EntryDemand& entry : entries) {
      m_balancers.push_back(std::make_unique<EndpointBalancer>(
          m_clock, m_random, BalancerOptions{entry.entry, entry.zone, RegionName(entry.zone.Get())}));
      m_balancers.back()->SetFleet(m_fleet);
      m_balancers.back()->SetEntries(entries);
    }
  }

  // Lets the endpoints of a zone serve version 2, and requires it everywhere.
  void RequireVersionOf(size_t zone) {
    auto fleet = std::make_shared<FleetView>(*m_fleet);
    for (EndpointInfo& endpoint : fleet->endpoints) {
      if (endpoint.zone == MakeZone(zone)) endpoint.loaded[kVeilModel] = WeightVersion(2);
    }
    m_min_version = WeightVersion(2);
    for (const auto& balancer : m_balancers) {
      balancer->SetMinVersions({{kVeilModel, *m_min_version}});
      balancer->SetFleet(fleet);
    }
  }

  // Lets each entry find that the endpoints of a zone take no connections.
  void FailConnections(size_t zone) {
    for (const auto& balancer : m_balancers) {
      for (const EndpointInfo& endpoint : m_fleet->endpoints) {
        if (endpoint.zone != MakeZone(zone)) continue;
        balancer->OnSent(endpoint.id, 0);
        balancer->OnEnded(endpoint.id, AttemptEnd::kUnreachable, m_clock.GetNow());
      }
      balancer->SetEntries(m_entries);
    }
  }

  // Lets each entry hear from the endpoints of a zone.
  void Answer(size_t zone) {
    for (const auto& balancer : m_balancers) {
      for (const EndpointInfo& endpoint : m_fleet->endpoints) {
        if (endpoint.zone == MakeZone(zone)) balancer->OnReceived(endpoint.id, endpoint.incarnation);
      }
      balancer->SetEntries(m_entries);
    }
  }

  void Advance(Duration step) { m_clock.Advance(step); }

  void FillEndpoints() {
    for (const auto& balancer : m_balancers) m_sent.push_back(Fill(*balancer));
  }

  uint32_t GetMostRunning() const {
    uint32_t most = 0;
    for (const auto& [id, running] : m_running) most = std::max(most, running);
    return most;
  }

  uint32_t CountRunning() const {
    return std::accumulate(m_running.begin(), m_running.end(), 0U,
                           [](uint32_t sum, const auto& entry) { return sum + entry.second; });
  }

  uint32_t GetFewestSent() const { return *std::min_element(m_sent.begin(), m_sent.end()); }
  uint32_t CountRemote() const { return m_remote; }

 private:
  static std::string MakeName(size_t zone, size_t number) {
    return "i-" + std::to_string(zone) + "-" + std::to_string(number);
  }

  uint32_t Fill(EndpointBalancer& balancer) {
    RouteRule rule;
    EndpointQuery query;
    query.pool = kEnginePool;
    query.rule = &rule;
    query.model = kVeilModel;
    query.min_version = m_min_version;
    uint32_t sent = 0;
    while (const EndpointInfo* endpoint = balancer.Choose(query).endpoint) {
      balancer.OnSent(endpoint->id, 0);
      ++m_running[endpoint->id];
      if (endpoint->zone != balancer.GetZone()) ++m_remote;
      ++sent;
    }
    return sent;
  }

  VirtualClock m_clock;
  SeededRandom m_random;
  std::shared_ptr<FleetView> m_fleet;
  std::vector<EntryDemand> m_entries;
  std::vector<std::unique_ptr<EndpointBalancer>> m_balancers;
  std::map<EndpointId, uint32_t> m_running;
  std::vector<uint32_t> m_sent;
  std::optional<WeightVersion> m_min_version;
  uint32_t m_remote = 0;
};

// Guards against endpoints that get several times as many requests as they have slots, because each of many entries
// sends one to each endpoint whose load it does not know. All of those requests queue there and are late.
TEST_CASE("Many entries with waiting requests fill the endpoints of a large fleet and no more") {
  const auto [zones, entries, endpoints] =
      GENERATE(std::tuple(5, 12, 28), std::tuple(3, 6, 17), std::tuple(5, 26, 28), std::tuple(3, 100, 60));
  CAPTURE(zones, entries, endpoints);
  LargeFleet fleet(zones, entries, endpoints);
  fleet.FillEndpoints();
  const auto capacity = static_cast<uint32_t>(zones * endpoints) * kSlots;
  // Without load reports, rounding gives an entry up to one request more at an endpoint where it owns a slot.
  CHECK(fleet.GetMostRunning() <= 2 * kSlots);
  CHECK(fleet.CountRunning() >= capacity * 9 / 10);
  CHECK(fleet.GetFewestSent() > 0);
  CHECK(fleet.CountRemote() <= fleet.CountRunning() / 5);
}

// Guards against zones that are refused while another zone serves its own callers only: during a change of weights the
// zones get the new version at different times, and endpoints with the old one are no capacity any more.
TEST_CASE("Entries of zones whose endpoints lack the required weights share the endpoints that have them") {
  LargeFleet fleet(3, 4, 17);
  fleet.RequireVersionOf(1);
  fleet.FillEndpoints();
  CHECK(fleet.CountRunning() >= 17 * kSlots * 9 / 10);
  CHECK(fleet.GetMostRunning() <= 2 * kSlots);
  // An equal part is 11 requests.
  CHECK(fleet.GetFewestSent() >= 6);
}

// Guards against zones whose requests are refused beside idle endpoints of another zone: endpoints that have crashed
// stay in the directory for seconds, and are no capacity meanwhile.
TEST_CASE("Entries of zones whose endpoints take no connections share the endpoints that do") {
  const size_t endpoints = GENERATE(1, 17);
  LargeFleet fleet(3, 1, endpoints);
  fleet.FailConnections(0);
  fleet.FailConnections(2);

  SECTION("while these are left") {
    fleet.FillEndpoints();
    CHECK(fleet.CountRunning() >= endpoints * kSlots * 9 / 10);
    CHECK(fleet.GetMostRunning() <= 2 * kSlots);
    // Half of an equal part.
    CHECK(fleet.GetFewestSent() >= endpoints * kSlots / 6);
  }
  SECTION("until the others answer again") {
    fleet.Answer(0);
    fleet.Answer(2);
    fleet.Advance(std::chrono::seconds(10));
    fleet.FillEndpoints();
    CHECK(fleet.CountRunning() >= 3 * endpoints * kSlots * 9 / 10);
    CHECK(fleet.CountRemote() <= fleet.CountRunning() / 5);
  }
}

// Relays the beacons of processes that all know a few seeds at first.
class BeaconFleet {
 public:
  BeaconFleet(size_t zones, size_t entries_per_zone) {
    for (size_t zone = 0; zone < zones; ++zone) {
      for (size_t i = 0; i < entries_per_zone; ++i) {
        m_tables.emplace(MakeVm(zone, i),
                         Member{MakeZone(zone), MakeTable(zone, i), RotatingTargets(8), RotatingTargets(24), 0});
      }
    }
  }

  // Each process sends one beacon, to other zones in every third round.
  void RunRound() {
    for (auto& [vm, member] : m_tables) {
      BeaconInfo beacon;
      beacon.vm = vm;
      beacon.zone = member.zone;
      beacon.is_entry = true;
      beacon.incarnation = Incarnation(1);
      beacon.sequence = ++member.sequence;
      beacon.entries = member.table->GetEntries();
      beacon.entries.push_back(vm);
      const BeaconTargets targets = member.table->GetTargets();
      beacon.own_zone_interval = Milliseconds(100) * member.own_zone.CountTurns(targets.own_zone.size());
      beacon.other_interval = Milliseconds(300) * member.other.CountTurns(targets.other.size());
      const std::string data = EncodeBeacon(beacon);
      m_largest = std::max(m_largest, data.size());
      Deliver(member.own_zone.GetNext(targets.own_zone), data);
      if (member.sequence % 3 == 1) Deliver(member.other.GetNext(targets.other), data);
    }
    m_clock.Advance(Milliseconds(100));
  }

  // Fewest other entries that a process knows as live.
  size_t CountFewestKnown() const {
    size_t fewest = m_tables.size();
    for (const auto& [vm, member] : m_tables) fewest = std::min(fewest, member.table->GetEntries().size());
    return fewest;
  }

  size_t GetMostSent() const { return m_most_sent; }
  size_t GetLargest() const { return m_largest; }
  size_t GetSize() const { return m_tables.size(); }

 private:
  struct Member {
    ZoneName zone;
    std::unique_ptr<BeaconTable> table;
    RotatingTargets own_zone;
    RotatingTargets other;
    uint64_t sequence;
  };

  std::unique_ptr<BeaconTable> MakeTable(size_t zone, size_t number) const {
    return std::make_unique<BeaconTable>(
        m_clock, BeaconOptions{MakeVm(zone, number), MakeZone(zone), Milliseconds(2500), {MakeVm(0, 0), MakeVm(1, 1)}});
  }

  void Deliver(const std::vector<VmId>& targets, const std::string& data) {
    m_most_sent = std::max(m_most_sent, targets.size());
    const auto beacon = DecodeBeacon(data);
    REQUIRE(beacon.has_value());
    for (const VmId& target : targets) m_tables.at(target).table->Update(*beacon);
  }

  VirtualClock m_clock;
  std::map<VmId, Member> m_tables;
  size_t m_most_sent = 0;
  size_t m_largest = 0;
};

// Guards against entries that nobody sends beacons to because their addresses come last, and against beacons that are
// dropped whole because they name many entries. Entries that know different members divide slots and budgets wrongly.
TEST_CASE("Each entry of a large fleet knows all others") {
  const auto [zones, entries, rounds] =
      GENERATE(std::tuple(3, 2, 20), std::tuple(5, 12, 40), std::tuple(5, 26, 60), std::tuple(3, 100, 70));
  CAPTURE(zones, entries);
  BeaconFleet fleet(zones, entries);
  for (int i = 0; i < rounds; ++i) fleet.RunRound();
  CHECK(fleet.CountFewestKnown() == fleet.GetSize() - 1);
  CHECK(fleet.GetMostSent() <= 24);
  // Four bytes for each entry that is named.
  CHECK(fleet.GetLargest() < 100 + 4 * fleet.GetSize() + 24);

  for (int i = 0; i < 3; ++i) {
    for (int round = 0; round < 10; ++round) fleet.RunRound();
    CHECK(fleet.CountFewestKnown() == fleet.GetSize() - 1);
  }
}

// Guards against turns that skip somebody when candidates come and go.
TEST_CASE("A list that is longer than one beacon may reach is served in turns") {
  RotatingTargets targets(2);
  const VmId a("a");
  const VmId b("b");
  const VmId c("c");
  CHECK(targets.GetNext({a, b}) == std::vector<VmId>{a, b});
  CHECK(targets.GetNext({a, b, c}) == std::vector<VmId>{a, b});
  CHECK(targets.GetNext({a, b, c}) == std::vector<VmId>{c, a});
  SECTION("also when the last one has gone") { CHECK(targets.GetNext({b, c, VmId("d")}) == std::vector<VmId>{b, c}); }
  CHECK(targets.CountTurns(0) == 1);
  CHECK(targets.CountTurns(5) == 3);
}

}  // namespace
}  // namespace plantain
