// Forwarding path of pools whose requests have several priorities.

#include <catch2/catch.hpp>

#include "beacon_table.h"
#include "forward_fake.h"
#include "priority_share.h"

namespace plantain {
namespace {

// Returns the routes of MakeForwardDocument, with `/memo/` to the engines at priority 2.
std::shared_ptr<RoutingDocument> MakePriorityDocument() {
  auto document = MakeForwardDocument();
  RouteRule memo = document->routes.front();
  memo.name = "memo";
  memo.path_prefix = "/memo/";
  memo.priority = 2;
  memo.latency_target = Milliseconds(1000);
  document->routes.push_back(memo);
  return document;
}

struct PriorityFixture : ForwardFixture {
  PriorityFixture() : ForwardFixture({MakeEndpoint("e1", kEnginePool, "praha")}) { Configure(MakePriorityDocument()); }

  void Configure(std::shared_ptr<RoutingDocument> document) {
    auto view = std::make_shared<FleetView>(*fleet);
    view->routing = std::move(document);
    fleet = view;
    traffic->SetFleet(fleet);
  }

  std::string GetPriority(size_t attempt) { return sender.At(attempt).GetField("Plantainmast-Request-Priority"); }

  void FinishStream(size_t attempt) {
    sender.At(attempt).BeginStream();
    sender.At(attempt).SendData("id: 1\ndata: a\n\n");
    sender.At(attempt).FinishResponse();
  }
};

// Guards against callers that choose their own priority at engines, and against a field that engines of other
// deployments do not know.
TEST_CASE("Engines are told the priority of requests in pools with several priorities") {
  PriorityFixture fixture;
  fixture.SendRequest("/draft/1", "6000", {{"plantainmast-request-priority", "9"}});
  fixture.SendRequest("/memo/1", "6000", {{"Plantainmast-Request-Priority", "0"}});
  CHECK(fixture.GetPriority(0) == "0");
  CHECK(fixture.GetPriority(1) == "2");

  SECTION("a larger priority is told as 9") {
    auto document = MakePriorityDocument();
    document->routes.back().priority = 30;
    fixture.Configure(document);
    fixture.SendRequest("/memo/1", "6000");
    CHECK(fixture.GetPriority(2) == "9");
  }
  SECTION("a pool with one priority gets what it got before") {
    fixture.Configure(MakeForwardDocument());
    fixture.SendRequest("/draft/1", "6000", {{"Plantainmast-Request-Priority", "7"}});
    fixture.SendRequest("/draft/1", "6000");
    CHECK(fixture.GetPriority(2) == "7");
    CHECK(fixture.GetPriority(3).empty());
  }
}

// Guards against an urgent request that waits behind others, and against requests that are lost when a configuration
// with other priorities comes into force.
TEST_CASE("Waiting requests are served by priority, also after a change of the configuration") {
  PriorityFixture fixture;
  // Four requests run and one waits in the endpoint's queue.
  for (int i = 0; i < 5; ++i) fixture.SendRequest("/memo/1", "6000");
  REQUIRE(fixture.sender.GetCount() == 5);
  const auto waiting = fixture.SendRequest("/memo/1", "6000");
  const auto urgent = fixture.SendRequest("/draft/1", "6000");
  REQUIRE(fixture.sender.GetCount() == 5);

  SECTION("the urgent one gets the first free slot") {
    fixture.FinishStream(0);
    REQUIRE(fixture.sender.GetCount() == 6);
    CHECK(fixture.GetPriority(5) == "0");
  }
  SECTION("without priorities all still wait") {
    fixture.Configure(MakeForwardDocument());
    fixture.FinishStream(0);
    fixture.FinishStream(1);
    CHECK(fixture.sender.GetCount() == 7);
    CHECK(waiting->status == 0);
    CHECK(urgent->status == 0);
  }
  SECTION("both are counted") {
    fixture.AdvanceTime(Milliseconds(10));
    CHECK(fixture.metrics.GetText().find("plantain_forward_priority_waiting{pool=\"veil\",priority=\"2\"} 1") !=
          std::string::npos);
    CHECK(fixture.metrics.GetText().find(
              "plantain_forward_priority_total{event=\"dispatched\",pool=\"veil\",priority=\"2\"} 5") !=
          std::string::npos);
  }
}

// Guards against a refusal that states that the caller should come back later than three seconds or in the order of
// less urgent ones.
TEST_CASE("Refused callers of a pool with several priorities are told to come back in their order") {
  PriorityFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.SendRequest("/memo/1", "6000");
  const auto memo = fixture.SendRequest("/memo/1", "6000");
  const auto draft = fixture.SendRequest("/draft/1", "6000");
  fixture.AdvanceTime(Milliseconds(900));
  REQUIRE(memo->status == 503);
  REQUIRE(draft->status == 503);
  const double memo_after = std::stod(std::string(memo->headers.Find("Retry-After")));
  const double draft_after = std::stod(std::string(draft->headers.Find("Retry-After")));
  CHECK(draft_after < memo_after);
  CHECK(memo_after <= 3);
}

// Guards against demand that is lost or read wrongly between entries, and against beacons of the previous version.
TEST_CASE("Beacons carry the demand by priority") {
  BeaconInfo beacon;
  beacon.vm = VmId("10.0.0.1");
  beacon.demand = {{kEnginePool, 30}, {kRegisterPool, 4}};
  beacon.priority_demand[kEnginePool] = {{{0, 10}, {2, 20}}, 1.4};
  const auto decoded = DecodeBeacon(EncodeBeacon(beacon));
  REQUIRE(decoded.has_value());
  CHECK(decoded->demand == beacon.demand);
  REQUIRE(decoded->priority_demand.size() == 1);
  const PriorityDemand& demand = decoded->priority_demand.at(kEnginePool);
  CHECK(demand.requests_per_s == std::map<uint32_t, double>{{0, 10}, {2, 20}});
  CHECK(demand.held_s == 1.4);

  SECTION("a list that is too long is cut") {
    for (uint32_t priority = 0; priority < 1000; ++priority) {
      beacon.priority_demand[kEnginePool].requests_per_s[priority] = 1;
    }
    CHECK(DecodeBeacon(EncodeBeacon(beacon))->priority_demand.at(kEnginePool).requests_per_s.size() == 16);
  }
}

EntryDemand MakeEntry(const std::string& vm, std::map<uint32_t, double> per_s, const std::string& zone = "a") {
  double sum = 0;
  for (const auto& [priority, rate] : per_s) sum += rate;
  return {VmId(vm), ZoneName(zone), {{kEnginePool, sum}}, {{kEnginePool, {std::move(per_s), 1.0}}}};
}

// Guards against an entry whose urgent requests wait while another entry of the zone serves less urgent ones.
TEST_CASE("The slots of a zone go first to its demand of high priority") {
  const std::map<ZoneName, double> slots{{ZoneName("a"), 24}};

  SECTION("what the urgent demand leaves, and at least a floor, goes to the others") {
    const auto demands =
        ComputePriorityDemand({MakeEntry("1", {{0, 20}}), MakeEntry("2", {{2, 20}})}, slots, kEnginePool);
    // 20 of 24 slots, since the floor of 3 is less than what is left.
    CHECK(demands[0] == Approx(40 * 20.0 / 24));
    CHECK(demands[1] == Approx(40 * 4.0 / 24));
  }
  SECTION("the floor holds when the urgent demand exceeds the slots") {
    const auto demands =
        ComputePriorityDemand({MakeEntry("1", {{0, 60}}), MakeEntry("2", {{2, 20}})}, slots, kEnginePool);
    CHECK(demands[1] == Approx(80.0 / 8));
  }
  SECTION("while all demand fits, entries share in proportion to it") {
    const auto demands =
        ComputePriorityDemand({MakeEntry("1", {{0, 6}}), MakeEntry("2", {{2, 3}})}, slots, kEnginePool);
    CHECK(demands[0] == Approx(6));
    CHECK(demands[1] == Approx(3));
  }
  SECTION("an entry that states no priorities counts as having the usual mix") {
    std::vector<EntryDemand> entries = {MakeEntry("1", {{0, 20}, {2, 20}}), MakeEntry("2", {{0, 20}, {2, 20}})};
    entries[1].by_priority.clear();
    const auto demands = ComputePriorityDemand(entries, slots, kEnginePool);
    CHECK(demands[0] == Approx(demands[1]));
  }
  SECTION("with one priority nothing changes") {
    const auto demands =
        ComputePriorityDemand({MakeEntry("1", {{1, 60}}), MakeEntry("2", {{1, 20}})}, slots, kEnginePool);
    CHECK(demands == std::vector<double>{60, 20});
  }
}

// Guards against shares that add up to more than the slots of an endpoint, or that leave slots unassigned. Load
// pattern: entries in three zones, each with another mix of priorities, one without statements.
TEST_CASE("Shares by priority partition the slots of each endpoint") {
  for (const size_t count : {1, 4, 18, 65}) {
    std::vector<EntryDemand> entries;
    std::map<ZoneName, double> slots;
    for (size_t i = 0; i < count; ++i) {
      const std::string zone = "z" + std::to_string(i % 3);
      slots[ZoneName(zone)] = 160;
      entries.push_back(MakeEntry("10.0.0." + std::to_string(100 + i),
                                  {{0, static_cast<double>(i * 7 % 11)}, {1, 3}, {2, static_cast<double>(i % 5)}},
                                  zone));
    }
    if (count > 4) entries[3].by_priority.clear();
    for (const auto& [zone, zone_slots] : slots) {
      for (const std::string& endpoint : std::vector<std::string>{"i-1", "i-2", "i-3"}) {
        uint32_t sum = 0;
        for (const EntryDemand& entry : entries) {
          const SlotShares shares(entries, slots, entry.entry, kEnginePool);
          sum += GetOwnSlots(shares.GetRange(zone), EndpointId(endpoint), 12);
        }
        CHECK(sum == 12);
      }
    }
  }
}

}  // namespace
}  // namespace plantain
