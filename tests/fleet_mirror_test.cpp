#include "fleet_mirror.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "beacon_table.h"
#include "fleet_decoder.h"
#include "store_client.h"
#include "weight_limit.h"

namespace plantain {
namespace {

std::string MakeEndpointRecord(const std::string& address, const std::string& state = "ready", int seq = 1,
                               uint64_t born = 100) {
  return R"({"service":"gpu","address":")" + address + R"(","zone":"praha-a","slots":16,"state":")" + state +
         R"(","cold_left_ms":0,"models":[{"name":"m","version":1}],"seq":)" + std::to_string(seq) + R"(,"born":)" +
         std::to_string(born) + "}";
}

std::string MakeConfig(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h","path_prefix":"/a/","type":"idempotent","timeout_ms":600,)"
         R"("latency_target_ms":100,"attempts":2,"service":"gpu"}],"services":[{"name":"gpu","max_conns":3}]})";
}

// A position in the log of a store that states no era.
LogPosition At(uint64_t offset) { return {StoreEra(), LogOffset(offset)}; }

struct FleetFixture {
  FleetFixture()
      : decoder({{ZoneName("praha-a"), RegionName("praha")}}), mirror(loop, clock, decoder, std::chrono::seconds(8)) {}

  void ApplyEndpoint(uint64_t offset, const std::string& key, std::optional<std::string> value,
                     RecordOrigin origin = RecordOrigin::kStore) {
    mirror.ApplyRecords(FleetTopic::kDirectory, {{key, At(offset), std::move(value)}}, At(offset + 1), origin);
  }
  void ApplyOperator(uint64_t offset, const std::string& key, std::optional<std::string> value) {
    mirror.ApplyRecords(FleetTopic::kOperator, {{key, At(offset), std::move(value)}}, At(offset + 1),
                        RecordOrigin::kStore);
    mirror.ConfirmOperatorRead(clock.GetNow());
  }
  size_t GetEndpointCount() const { return mirror.GetFleet()->endpoints.size(); }

  Loop loop;
  VirtualClock clock;
  hosted::HostedDecoder decoder;
  FleetMirror mirror;
};

// Guards against records that arrive late, twice or from a stale source.
TEST_CASE("The newest record of a key wins, regardless of its source") {
  FleetFixture fixture;
  fixture.mirror.SetStoreReachable(true);
  fixture.ApplyEndpoint(10, "i-1", MakeEndpointRecord("10.0.0.1:80"));
  REQUIRE(fixture.GetEndpointCount() == 1);

  SECTION("the first record of a topic increases the revision") {
    FleetFixture empty_fixture;
    const LogRevision nothing = empty_fixture.mirror.GetRecords(FleetTopic::kOperator).GetRevision();
    empty_fixture.ApplyOperator(0, "config", MakeConfig(3));
    const RecordMirror& records = empty_fixture.mirror.GetRecords(FleetTopic::kOperator);
    CHECK_FALSE(nothing.Covers(records.GetRevision()));
    CHECK(records.GetChangesAfter(nothing).size() == 1);
    CHECK(records.GetChangesAfter(records.GetRevision()).empty());
  }
  SECTION("an older record changes nothing") {
    fixture.ApplyEndpoint(5, "i-1", std::nullopt);
    CHECK(fixture.GetEndpointCount() == 1);
  }
  SECTION("a heartbeat alone does not increase the revision") {
    const LogRevision before = fixture.mirror.GetRecords(FleetTopic::kDirectory).GetRevision();
    fixture.ApplyEndpoint(11, "i-1", MakeEndpointRecord("10.0.0.1:80", "ready", 2));
    CHECK(fixture.mirror.GetRecords(FleetTopic::kDirectory).GetRevision() == before);
  }
  SECTION("a removal record removes the endpoint") {
    fixture.ApplyEndpoint(11, "i-1", std::nullopt);
    CHECK(fixture.GetEndpointCount() == 0);
  }
  SECTION("a listing without the key removes the endpoint") {
    fixture.mirror.ApplyListing(FleetTopic::kDirectory, {}, At(20));
    CHECK(fixture.GetEndpointCount() == 0);
  }
  SECTION("a stale listing without the key does not remove the endpoint") {
    fixture.mirror.ApplyListing(FleetTopic::kDirectory, {}, At(10));
    CHECK(fixture.GetEndpointCount() == 1);
  }
  SECTION("malformed records add no endpoint") {
    fixture.ApplyEndpoint(12, "i-2", R"({"service":"gpu","address":7,"state":"ready"})");
    fixture.ApplyEndpoint(13, "i-3",
                          R"({"service":"gpu","address":"10.0.0.3:80","zone":"praha-a","slots":1,"state":"odd"})");
    fixture.ApplyEndpoint(14, "i-4", "\xff\xfe");
    CHECK(fixture.GetEndpointCount() == 1);
  }
  SECTION("a restarted endpoint replaces the old instance at its address") {
    fixture.ApplyEndpoint(12, "i-9", MakeEndpointRecord("10.0.0.1:80", "ready", 1, 200));
    REQUIRE(fixture.GetEndpointCount() == 1);
    CHECK(fixture.mirror.GetFleet()->endpoints.front().id == EndpointId("i-9"));
  }
}

// Guards against removing live endpoints that could not renew their records during an outage of the store.
TEST_CASE("Endpoints whose records lapse during a store outage are kept for a while") {
  FleetFixture fixture;
  fixture.mirror.SetStoreReachable(true);
  fixture.ApplyEndpoint(10, "i-1", MakeEndpointRecord("10.0.0.1:80"));
  fixture.mirror.SetStoreReachable(false);
  fixture.clock.Advance(std::chrono::seconds(5));
  fixture.mirror.SetStoreReachable(true);
  fixture.ApplyEndpoint(11, "i-1", std::nullopt);
  CHECK(fixture.GetEndpointCount() == 1);

  SECTION("an endpoint stays if it is listed again") {
    fixture.ApplyEndpoint(12, "i-1", MakeEndpointRecord("10.0.0.1:80"));
    CHECK(fixture.GetEndpointCount() == 1);
  }
  SECTION("an endpoint that is not listed again is removed soon after recovery, however late its removal is read") {
    fixture.ApplyEndpoint(12, "i-1", MakeEndpointRecord("10.0.0.1:80"));
    fixture.clock.Advance(Milliseconds(1500));
    fixture.ApplyEndpoint(13, "i-1", std::nullopt);
    fixture.clock.Advance(Milliseconds(800));
    fixture.ApplyEndpoint(14, "i-2", MakeEndpointRecord("10.0.0.2:80"));
    REQUIRE(fixture.GetEndpointCount() == 1);
    CHECK(fixture.mirror.GetFleet()->endpoints.front().id == EndpointId("i-2"));
  }
  SECTION("a removal received from a peer is applied at once") {
    fixture.ApplyEndpoint(12, "i-1", MakeEndpointRecord("10.0.0.1:80"));
    fixture.ApplyEndpoint(13, "i-1", std::nullopt, RecordOrigin::kPeer);
    CHECK(fixture.GetEndpointCount() == 0);
  }
}

// Guards against callers that are refused after an outage of the store because an entry that gets its records from the
// zone's reader takes each removal for final.
TEST_CASE("At a standby entry records lapse and return after an outage as at the reader") {
  FleetFixture reader;
  FleetFixture standby;
  standby.mirror.SetStandby(true);
  const auto advance = [&](Duration step) {
    reader.clock.Advance(step);
    standby.clock.Advance(step);
  };
  // Passes on what the reader states and knows.
  const auto deliver = [&] {
    standby.mirror.SetStoreReachable(reader.mirror.GetFleet()->is_store_reachable);
    const LogRevision known = standby.mirror.GetRecords(FleetTopic::kDirectory).GetRevision();
    const RecordMirror& theirs = reader.mirror.GetRecords(FleetTopic::kDirectory);
    standby.mirror.ApplyRecords(FleetTopic::kDirectory, theirs.GetChangesAfter(known), LogPosition(),
                                RecordOrigin::kPeer);
    standby.mirror.RaiseRevision(FleetTopic::kDirectory, theirs.GetRevision());
  };
  reader.mirror.SetStoreReachable(true);
  reader.ApplyEndpoint(10, "i-1", MakeEndpointRecord("10.0.0.1:80"));
  deliver();
  REQUIRE(standby.GetEndpointCount() == 1);

  SECTION("without an outage a removal is final") {
    reader.ApplyEndpoint(11, "i-1", std::nullopt);
    deliver();
    CHECK(standby.GetEndpointCount() == 0);
  }
  SECTION("after an outage") {
    reader.mirror.SetStoreReachable(false);
    deliver();
    advance(std::chrono::seconds(5));
    reader.mirror.SetStoreReachable(true);
    reader.ApplyEndpoint(11, "i-1", std::nullopt);
    deliver();
    CHECK(reader.GetEndpointCount() == 1);
    CHECK(standby.GetEndpointCount() == 1);

    SECTION("an endpoint that is listed again stays") {
      reader.ApplyEndpoint(12, "i-1", MakeEndpointRecord("10.0.0.1:80"));
      deliver();
      advance(std::chrono::seconds(3));
      reader.ApplyEndpoint(13, "i-2", MakeEndpointRecord("10.0.0.2:80"));
      deliver();
      CHECK(reader.GetEndpointCount() == 2);
      CHECK(standby.GetEndpointCount() == 2);
    }
    SECTION("one that is not listed again ends at the same time") {
      advance(Milliseconds(2300));
      reader.ApplyEndpoint(12, "i-2", MakeEndpointRecord("10.0.0.2:80"));
      deliver();
      CHECK(reader.GetEndpointCount() == 1);
      CHECK(standby.GetEndpointCount() == 1);
    }
    SECTION("an endpoint that leaves ends at once") {
      reader.ApplyEndpoint(12, "i-2", MakeEndpointRecord("10.0.0.2:80", "draining"));
      deliver();
      reader.ApplyEndpoint(13, "i-2", std::nullopt);
      deliver();
      CHECK(standby.GetEndpointCount() == 1);
    }
  }
}

// Guards against keys that a restored store has lost and that an entry keeps for ever because it does not read the
// store.
TEST_CASE("A process knows that peers have read a later era") {
  FleetFixture fixture;
  CHECK_FALSE(fixture.mirror.HasUnreadEra());
  fixture.mirror.ApplyListing(FleetTopic::kOperator, {}, {StoreEra(1), LogOffset(4)});
  fixture.mirror.ApplyListing(FleetTopic::kDirectory, {}, {StoreEra(1), LogOffset(4)});
  CHECK_FALSE(fixture.mirror.HasUnreadEra());
  fixture.mirror.AddEraBound(FleetTopic::kDirectory, {StoreEra(2), StoreEra(2), LogOffset(3)});
  CHECK(fixture.mirror.HasUnreadEra());
  fixture.mirror.ApplyListing(FleetTopic::kDirectory, {}, {StoreEra(2), LogOffset(3)});
  CHECK_FALSE(fixture.mirror.HasUnreadEra());
}

// Guards against a rollback to an older configuration, and against losing a requested weight version when a newer one
// is requested.
TEST_CASE("Operator state is never rolled back") {
  FleetFixture fixture;
  fixture.ApplyOperator(1, "config", MakeConfig(7));
  REQUIRE(fixture.mirror.GetFleet()->routing->version == ConfigVersion(7));

  SECTION("an older version in a newer record is not adopted") {
    fixture.ApplyOperator(2, "config", MakeConfig(5));
    CHECK(fixture.mirror.GetFleet()->routing->version == ConfigVersion(7));
  }
  SECTION("a malformed record keeps the active configuration") {
    fixture.ApplyOperator(2, "config", "{");
    CHECK(fixture.mirror.GetFleet()->routing->version == ConfigVersion(7));
  }
  SECTION("zones are taken out of service and returned") {
    fixture.ApplyOperator(2, "evacuate/praha-a", "{}");
    CHECK(fixture.mirror.GetFleet()->zones_out.contains(ZoneName("praha-a")));
    fixture.ApplyOperator(3, "evacuate/praha-a", std::nullopt);
    CHECK(fixture.mirror.GetFleet()->zones_out.empty());
  }
  SECTION("each requested weight version keeps its own time") {
    const TimePoint first = fixture.clock.GetNow();
    fixture.ApplyOperator(2, "version/m", R"({"model":"m","version":2})");
    fixture.clock.Advance(std::chrono::seconds(4));
    fixture.ApplyOperator(3, "version/m", R"({"model":"m","version":3})");
    const auto fleet = fixture.mirror.GetFleet();
    REQUIRE(fleet->wanted.size() == 2);
    CHECK(fleet->wanted[0].since == first);
    CHECK(fleet->wanted[1].version == WeightVersion(3));
  }
}

// Guards against requests on superseded weights after their limit, from a process that learned late that a newer
// version is wanted: it stood still, was restarted, or missed the version because a newer one had replaced it in the
// store.
TEST_CASE("A process that learns late of a wanted weight version takes its age from peers") {
  constexpr Duration kLimit = std::chrono::seconds(8);
  FleetFixture peer;
  FleetFixture late;
  peer.ApplyOperator(1, "config", MakeConfig(7));
  peer.ApplyOperator(2, "version/m", R"({"model":"m","version":2})");
  const auto advance = [&](Duration step) {
    peer.clock.Advance(step);
    late.clock.Advance(step);
  };
  // Delivers what the peer announces in its beacons.
  const auto deliver = [&] {
    BeaconInfo beacon;
    beacon.vm = VmId("10.0.0.9");
    beacon.wanted = peer.mirror.GetWantedAges();
    late.mirror.ApplyWantedAges(DecodeBeacon(EncodeBeacon(beacon))->wanted);
  };
  const auto min_version = [&] {
    return GetMinStartVersion(late.mirror.GetFleet()->wanted, ModelName("m"), kLimit, late.clock.GetNow());
  };

  SECTION("one that stood still when the version was named keeps the limit") {
    late.ApplyOperator(1, "config", MakeConfig(7));
    advance(std::chrono::seconds(5));
    late.ApplyOperator(2, "version/m", R"({"model":"m","version":2})");
    deliver();
    advance(Milliseconds(3100));
    CHECK(min_version() == WeightVersion(2));
  }

  SECTION("one that receives only the successor keeps the limit of the version before") {
    late.ApplyOperator(1, "config", MakeConfig(7));
    advance(std::chrono::seconds(5));
    peer.mirror.ConfirmOperatorRead(peer.clock.GetNow());
    peer.ApplyOperator(3, "version/m", R"({"model":"m","version":3})");
    late.ApplyOperator(3, "version/m", R"({"model":"m","version":3})");
    deliver();
    REQUIRE(late.mirror.GetFleet()->wanted.size() == 2);
    CHECK(late.mirror.GetFleet()->wanted[0].version == WeightVersion(2));
    advance(Milliseconds(3100));
    CHECK(min_version() == WeightVersion(2));
    advance(std::chrono::seconds(5));
    CHECK(min_version() == WeightVersion(3));
  }

  SECTION("one that has restarted counts from the request instead of treating the version as due") {
    advance(std::chrono::seconds(2));
    late.ApplyOperator(1, "version/m", R"({"model":"m","version":2})");
    advance(Milliseconds(1));
    CHECK(min_version() == WeightVersion(2));
    deliver();
    CHECK_FALSE(min_version().has_value());
    advance(Milliseconds(6100));
    CHECK(min_version() == WeightVersion(2));
  }

  SECTION("a peer that learned later changes nothing") {
    late.ApplyOperator(1, "config", MakeConfig(7));
    late.ApplyOperator(2, "version/m", R"({"model":"m","version":2})");
    const TimePoint since = late.mirror.GetFleet()->wanted[0].since;
    advance(std::chrono::seconds(1));
    late.mirror.ApplyWantedAges({{ModelName("m"), WeightVersion(2), Milliseconds(200)}});
    CHECK(late.mirror.GetFleet()->wanted[0].since == since);
  }

  SECTION("the age of a version whose limit passed long ago is still told") {
    late.ApplyOperator(1, "config", MakeConfig(7));
    advance(std::chrono::seconds(20));
    late.ApplyOperator(2, "version/m", R"({"model":"m","version":2})");
    deliver();
    CHECK(min_version() == WeightVersion(2));
  }

  SECTION("a process whose age is unknown sends none") {
    late.ApplyOperator(1, "version/m", R"({"model":"m","version":2})");
    CHECK(late.mirror.GetWantedAges().empty());
  }
}

// Guards against requests on superseded weights after their limit when no process receives the operators' request at
// once, because the store's connections or all processes stood still.
TEST_CASE("A weight version received after an interruption counts from the last read before it") {
  FleetFixture fixture;
  fixture.ApplyOperator(1, "config", MakeConfig(7));
  const TimePoint last_read = fixture.clock.GetNow();
  const std::string version = R"({"model":"m","version":2})";
  const auto get_wanted = [&] { return fixture.mirror.GetFleet()->wanted.at(0); };

  SECTION("a read that failed") {
    fixture.clock.Advance(Milliseconds(300));
    fixture.mirror.InterruptOperatorRead();
    fixture.clock.Advance(Milliseconds(300));
    fixture.ApplyOperator(2, "version/m", version);
    CHECK(get_wanted().since == last_read);
  }

  SECTION("a process that stood still") {
    fixture.clock.Advance(std::chrono::seconds(4));
    fixture.ApplyOperator(2, "version/m", version);
    CHECK(get_wanted().since == last_read);
    CHECK(fixture.mirror.GetWantedAges().empty());
  }

  SECTION("a result that shows an earlier state does not end the interruption") {
    fixture.clock.Advance(std::chrono::seconds(4));
    const TimePoint as_of = last_read + std::chrono::seconds(1);
    fixture.mirror.ConfirmOperatorRead(as_of);
    fixture.ApplyOperator(2, "version/m", version);
    CHECK(get_wanted().since == as_of);
  }

  SECTION("without an interruption it counts from its receipt") {
    fixture.clock.Advance(Milliseconds(300));
    fixture.ApplyOperator(2, "version/m", version);
    CHECK(get_wanted().since == fixture.clock.GetNow());
    CHECK(fixture.mirror.GetWantedAges().size() == 1);
  }
}

// Guards against requests that are refused for seconds after a takeover: the new reader cannot tell when operators
// asked for a weight version that it finds, and takes the earliest possible time.
TEST_CASE("A standby entry knows up to when its reader has received all operators' requests") {
  FleetFixture fixture;
  fixture.mirror.SetStandby(true);
  fixture.ApplyOperator(1, "config", MakeConfig(7));
  const LogRevision known = fixture.mirror.GetRecords(FleetTopic::kOperator).GetRevision();
  fixture.clock.Advance(std::chrono::seconds(6));
  // Without regular ticks the process would count as having stood still.
  fixture.mirror.ConfirmOperatorRead(fixture.clock.GetNow() - std::chrono::seconds(6));
  const Duration age = fixture.mirror.GetOperatorReadAge();
  REQUIRE(age == std::chrono::seconds(6));

  SECTION("not shortly after a standstill, when a beacon may be old") {
    fixture.mirror.ConfirmPeerRead(Milliseconds(100), known);
    CHECK(fixture.mirror.GetOperatorReadAge() == age);
  }
  SECTION("while it runs") {
    for (int i = 0; i < 2; ++i) {
      fixture.clock.Advance(Milliseconds(500));
      fixture.mirror.ConfirmOperatorRead(TimePoint());
    }
    SECTION("if it knows what the reader knows") {
      fixture.mirror.ConfirmPeerRead(Milliseconds(100), known);
      CHECK(fixture.mirror.GetOperatorReadAge() == Milliseconds(800));
      fixture.mirror.InterruptOperatorRead();
      fixture.ApplyOperator(2, "version/m", R"({"model":"m","version":2})");
      CHECK(fixture.clock.GetNow() - fixture.mirror.GetFleet()->wanted.at(0).since == Milliseconds(800));
    }
    SECTION("but not if the reader knows more") {
      LogRevision newer = known;
      newer.Raise(StoreEra(), LogOffset(9));
      fixture.mirror.ConfirmPeerRead(Milliseconds(100), newer);
      CHECK(fixture.mirror.GetOperatorReadAge() > age);
    }
  }
}

// Guards against a configuration that is received seconds late after a store outage, because a long poll sent during
// the outage is still pending.
TEST_CASE("No long poll is sent to a store whose last read failed") {
  CHECK(hosted::GetLongPollTime(Milliseconds(2500), 0) == Milliseconds(2500));
  CHECK(hosted::GetLongPollTime(Milliseconds(2500), 1) == Duration::zero());
}

// Guards against malformed or truncated responses of the store.
TEST_CASE("Store responses are decoded with bounds checks") {
  std::string body(16, '\0');
  body += std::string("\0\0\0\4\2ab", 7) + "v" + std::string("\0\0\0\3\2cd", 7);
  const auto whole = hosted::DecodeReadBatch(body, At(5));
  REQUIRE(whole.ok());
  REQUIRE(whole->records.size() == 2);
  CHECK(whole->records[0].key == "ab");
  CHECK(whole->records[0].value == "v");
  CHECK(whole->records[1].position == At(6));
  CHECK_FALSE(whole->records[1].value.has_value());
  CHECK(whole->next == At(7));
  for (size_t size = 0; size < body.size(); ++size) {
    if (size == 16 || size == 24) continue;
    CHECK_FALSE(hosted::DecodeReadBatch(body.substr(0, size), At(5)).ok());
  }

  hosted::Listing listing;
  const auto next =
      hosted::DecodeListingPage(R"({"entries":[{"key":"config","value":"aGk=","offset":4}],"more_pages":true,"end":6})",
                                StoreEra(), true, listing);
  REQUIRE(next.ok());
  CHECK(*next == "config");
  CHECK(listing.records.front().value == "hi");
  CHECK(listing.end == At(6));
  for (const std::string wrong : {"", "[]", "{}", R"({"entries":[{}],"end":1})", R"({"entries":[]})",
                                  R"({"entries":[{"key":"a","value":"?","offset":1}],"end":2})"}) {
    hosted::Listing out;
    CHECK_FALSE(hosted::DecodeListingPage(wrong, StoreEra(), true, out).ok());
  }
}

LogRevision MakeRevision(uint64_t end) {
  LogRevision revision;
  revision.Raise(StoreEra(), LogOffset(end));
  return revision;
}

BeaconInfo MakeBeacon(const std::string& vm, uint64_t sequence, uint64_t revision = 0) {
  BeaconInfo beacon;
  beacon.vm = VmId(vm);
  beacon.zone = ZoneName("praha-a");
  beacon.is_entry = true;
  beacon.incarnation = Incarnation(1);
  beacon.sequence = sequence;
  beacon.operator_state.revision.Raise(StoreEra(), LogOffset(revision));
  return beacon;
}

// Guards against outdated, own and malformed datagrams.
TEST_CASE("Beacons announce live processes and newer records") {
  VirtualClock clock;
  BeaconTable beacons(clock, {VmId("10.0.0.1"), ZoneName("praha-a"), Milliseconds(2500), {VmId("10.0.0.9")}});
  CHECK(beacons.GetTargets().other == std::vector<VmId>{VmId("10.0.0.9")});
  CHECK(beacons.Update(MakeBeacon("10.0.0.2", 5, 3)));
  CHECK_FALSE(beacons.Update(MakeBeacon("10.0.0.2", 5, 9)));
  CHECK_FALSE(beacons.Update(MakeBeacon("10.0.0.1", 9)));
  CHECK(beacons.GetEntries() == std::vector<VmId>{VmId("10.0.0.2")});
  CHECK(beacons.FindNewerPeer(MakeRevision(2), LogRevision())->vm == VmId("10.0.0.2"));
  CHECK_FALSE(beacons.FindNewerPeer(MakeRevision(3), LogRevision()).has_value());
  clock.Advance(std::chrono::seconds(3));
  CHECK(beacons.GetEntries().empty());

  SECTION("a process that restarts after its clock was set back is heard again") {
    BeaconInfo restarted = MakeBeacon("10.0.0.2", 1, 3);
    restarted.incarnation = Incarnation(0);
    CHECK(beacons.Update(restarted));
    CHECK(beacons.GetEntries() == std::vector<VmId>{VmId("10.0.0.2")});
    BeaconInfo earlier = MakeBeacon("10.0.0.2", 9, 3);
    earlier.incarnation = Incarnation(5);
    REQUIRE(beacons.Update(earlier));
    restarted.sequence = 99;
    CHECK_FALSE(beacons.Update(restarted));
  }
  SECTION("a beacon is unchanged by encoding and decoding") {
    BeaconInfo beacon = MakeBeacon("10.0.0.3", 1, 8);
    beacon.load = EndpointLoad{EndpointId("e"), 3, 2, true, 1.5, {{ModelName("m"), WeightVersion(4)}}};
    beacon.wanted = {{ModelName("m"), WeightVersion(5), Milliseconds(1200)}};
    const auto decoded = DecodeBeacon(EncodeBeacon(beacon));
    REQUIRE(decoded.has_value());
    CHECK(decoded->wanted == beacon.wanted);
    CHECK(decoded->operator_state.revision == MakeRevision(8));
    CHECK(decoded->load->running == 3);
    CHECK(decoded->load->loaded.at(ModelName("m")) == WeightVersion(4));
  }
  SECTION("a beacon with lists beyond their bounds is cut, and says so") {
    BeaconInfo beacon = MakeBeacon("10.0.0.3", 1, 8);
    for (int i = 0; i < 1500; ++i) beacon.fetches.push_back({});
    for (int i = 0; i < 100; ++i) beacon.entries.push_back(VmId("10.0.1." + std::to_string(i)));
    const auto decoded = DecodeBeacon(EncodeBeacon(beacon));
    REQUIRE(decoded.has_value());
    CHECK(decoded->is_cut);
    CHECK(decoded->fetches.size() == 8);
    CHECK(decoded->entries == beacon.entries);
  }
  SECTION("malformed beacons are rejected") {
    CHECK_FALSE(DecodeBeacon("").has_value());
    CHECK_FALSE(DecodeBeacon("\xff\xff\xff").has_value());
  }
}

}  // namespace
}  // namespace plantain
