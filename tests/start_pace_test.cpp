#include "start_pace.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "beacon_table.h"
#include "start_pace_sim.h"

namespace plantain {
namespace {

const EndpointId kSubject("e0");
const VmId kPeer("10.0.0.2");

// An entry that has listed an endpoint for long, which then starts anew.
struct PaceFixture {
  explicit PaceFixture(uint32_t slots_in = 12) : slots(slots_in), pace(clock), peer(clock) {
    List(Incarnation(1));
    clock.Advance(std::chrono::seconds(10));
    List(Incarnation(2));
  }

  void List(Incarnation incarnation_in) {
    incarnation = incarnation_in;
    pace.SetEndpoints({{kSubject, {incarnation, slots, false}}});
    peer.SetEndpoints({{kSubject, {incarnation, slots, false}}});
  }

  void Answer(StartPace& at, int count, bool is_timely = true) {
    for (int i = 0; i < count; ++i) at.OnAnswerBegun(kSubject, incarnation, clock.GetNow(), is_timely);
  }

  // Exchanges reports between the entry and its peer.
  void Exchange() {
    const std::vector<StartCount> own = pace.GetReport();
    pace.ApplyReport(kPeer, peer.GetReport());
    peer.ApplyReport(VmId("10.0.0.1"), own);
  }

  static uint32_t GetNumber(const StartPace& of) {
    const std::optional<StartNumber> number = of.Get(kSubject);
    return number.has_value() ? number->number : 0;
  }

  uint32_t slots;
  VirtualClock clock;
  StartPace pace;
  StartPace peer;
  Incarnation incarnation;
};

// Guards against an endpoint that is given all its slots at once, or too few for too long.
TEST_CASE("The number of slots in slow start follows the answers") {
  PaceFixture fixture;
  StartPace& pace = fixture.pace;
  CHECK(PaceFixture::GetNumber(pace) == 2);

  SECTION("it doubles in each round of timely answers and ends at all slots") {
    fixture.Answer(pace, 2);
    CHECK(PaceFixture::GetNumber(pace) == 4);
    fixture.Answer(pace, 4);
    CHECK(PaceFixture::GetNumber(pace) == 8);
    fixture.Answer(pace, 4);
    CHECK_FALSE(pace.Get(kSubject).has_value());
    const auto changes = pace.TakeChanges();
    REQUIRE(changes.size() == 2);
    CHECK_FALSE(changes[0].is_end);
    CHECK(changes[1].is_end);
  }
  SECTION("a slow answer does not raise it") {
    fixture.Answer(pace, 5, false);
    CHECK(PaceFixture::GetNumber(pace) == 2);
  }
  SECTION("refusals of requests of one round halve it once") {
    fixture.Answer(pace, 6);
    const TimePoint sent_at = fixture.clock.GetNow();
    fixture.clock.Advance(Milliseconds(10));
    for (int i = 0; i < 5; ++i) pace.OnFailed(kSubject, sent_at, true);
    CHECK(PaceFixture::GetNumber(pace) == 4);
    fixture.clock.Advance(Milliseconds(10));
    pace.OnFailed(kSubject, fixture.clock.GetNow(), true);
    CHECK(PaceFixture::GetNumber(pace) == 2);
  }
  SECTION("answers of requests sent before a reduction do not raise it") {
    const TimePoint sent_at = fixture.clock.GetNow();
    fixture.clock.Advance(Milliseconds(10));
    pace.OnFailed(kSubject, fixture.clock.GetNow(), false);
    pace.OnAnswerBegun(kSubject, Incarnation(2), sent_at, true);
    CHECK(PaceFixture::GetNumber(pace) == 1);
  }
  SECTION("another run of the endpoint begins anew, whatever late answers of the run before say") {
    fixture.Answer(pace, 20);
    fixture.List(Incarnation(3));
    CHECK(PaceFixture::GetNumber(pace) == 2);
    pace.OnAnswerBegun(kSubject, Incarnation(2), fixture.clock.GetNow(), true);
    CHECK(PaceFixture::GetNumber(pace) == 2);
  }
  SECTION("a record that vanishes for a while and comes back is the same run") {
    fixture.Answer(pace, 20);
    pace.SetEndpoints({});
    fixture.clock.Advance(std::chrono::seconds(5));
    fixture.List(Incarnation(2));
    CHECK_FALSE(pace.Get(kSubject).has_value());
  }
}

// Guards against an entry that starts, reads the directory in parts, and takes running endpoints for new ones.
TEST_CASE("Endpoints that an entry lists when it starts are not in slow start unless they are cold") {
  VirtualClock clock;
  StartPace pace(clock);
  pace.SetEndpoints({{EndpointId("a"), {Incarnation(1), 12, false}}});
  clock.Advance(Milliseconds(500));
  pace.SetEndpoints({{EndpointId("a"), {Incarnation(1), 12, false}}, {EndpointId("b"), {Incarnation(1), 12, false}}});
  CHECK(pace.GetCount() == 0);
  pace.SetEndpoints({{EndpointId("c"), {Incarnation(1), 12, true}}});
  CHECK(pace.Get(EndpointId("c")).has_value());
}

// Guards against entries that each raise the number by their own answers only, or each halve it for the same fault.
TEST_CASE("Entries compute one number from the counts of all") {
  PaceFixture fixture;
  StartPace& pace = fixture.pace;
  StartPace& peer = fixture.peer;
  fixture.Answer(pace, 2);
  fixture.Answer(peer, 3);
  fixture.Exchange();
  CHECK(PaceFixture::GetNumber(pace) == 7);
  CHECK(PaceFixture::GetNumber(peer) == 7);

  SECTION("a fault that both notice halves it once") {
    pace.OnFailed(kSubject, fixture.clock.GetNow(), true);
    peer.OnFailed(kSubject, fixture.clock.GetNow(), true);
    fixture.Exchange();
    CHECK(PaceFixture::GetNumber(pace) == 3);
    CHECK(PaceFixture::GetNumber(peer) == 3);
  }
  SECTION("an entry that has not noticed it takes part") {
    fixture.clock.Advance(Milliseconds(10));
    const TimePoint sent_at = fixture.clock.GetNow();
    fixture.clock.Advance(Milliseconds(10));
    pace.OnFailed(kSubject, fixture.clock.GetNow(), true);
    fixture.Exchange();
    CHECK(PaceFixture::GetNumber(peer) == 3);
    peer.OnFailed(kSubject, sent_at, true);
    CHECK(PaceFixture::GetNumber(peer) == 3);
  }
  SECTION("the counts of an entry that dies are lost") {
    pace.SetEntries({VmId("10.0.0.1")});
    CHECK(PaceFixture::GetNumber(pace) == 4);
  }
  SECTION("the end is known to an entry that lacks counts") {
    pace.SetEntries({VmId("10.0.0.1")});
    fixture.Answer(peer, 5);
    fixture.Exchange();
    CHECK(pace.GetCount() == 0);
    CHECK(peer.GetCount() == 0);
  }
  SECTION("counts of an earlier run change nothing") {
    const std::vector<StartCount> old = peer.GetReport();
    fixture.List(Incarnation(3));
    pace.ApplyReport(kPeer, old);
    CHECK(PaceFixture::GetNumber(pace) == 2);
  }
}

// Guards against one entry with a broken path that keeps all others from a sound endpoint again and again.
TEST_CASE("An entry that alone cannot reach an endpoint reduces its number once") {
  PaceFixture fixture;
  fixture.Answer(fixture.pace, 10);
  fixture.Exchange();
  fixture.clock.Advance(std::chrono::seconds(20));
  fixture.pace.OnInterrupted(kSubject, fixture.clock.GetNow());
  fixture.Exchange();
  CHECK(PaceFixture::GetNumber(fixture.peer) == 2);
  fixture.Answer(fixture.peer, 10);
  fixture.Exchange();
  fixture.clock.Advance(Milliseconds(400));
  fixture.pace.OnInterrupted(kSubject, fixture.clock.GetNow());
  CHECK(fixture.pace.GetCount() == 0);
}

// Guards against counts that do not survive the way to another entry, and against values that no entry sends.
TEST_CASE("Beacons carry the counts of slow starts and the speed of endpoints") {
  BeaconInfo beacon;
  beacon.vm = kPeer;
  beacon.pace.starts.push_back({kSubject, Incarnation(7), 3, 2, 9, true});
  beacon.pace.starts.push_back({kSubject, Incarnation(7), 1U << 31, 2, 9, false});
  beacon.pace.speeds.push_back({kSubject, Incarnation(7), 2.5, 4});
  beacon.pace.speeds.push_back({kSubject, Incarnation(7), -1, 4});
  const std::optional<BeaconInfo> received = DecodeBeacon(EncodeBeacon(beacon));
  REQUIRE(received.has_value());
  REQUIRE(received->pace.starts.size() == 1);
  const StartCount& start = received->pace.starts[0];
  CHECK(start.incarnation == Incarnation(7));
  CHECK((start.epoch == 3 && start.base == 2 && start.good == 9 && start.is_done));
  REQUIRE(received->pace.speeds.size() == 1);
  CHECK(received->pace.speeds[0].slowness == 2.5);
  CHECK(received->pace.speeds[0].answers == 4);
}

// Guards against entries with different views whose slots add up to more than the largest number, and against a probing
// slot that no entry owns.
TEST_CASE("Slots in slow start are divided among entries without overlap") {
  rc::check([] {
    const auto entries = *rc::gen::inRange<uint32_t>(1, 66);
    const auto slots = *rc::gen::inRange<uint32_t>(1, 40);
    const auto rotation = *rc::gen::inRange<uint32_t>(0, 50);
    const EndpointId endpoint("e" + std::to_string(*rc::gen::inRange(0, 1000)));
    std::vector<uint32_t> sums(slots + 1);
    uint32_t mixed = 0;
    for (uint32_t i = 0; i < entries; ++i) {
      const ShareRange range{static_cast<double>(i) / entries, static_cast<double>(i + 1) / entries};
      uint32_t before = 0;
      for (uint32_t number = 1; number <= slots; ++number) {
        const uint32_t own = GetStartSlots(range, endpoint, slots, {number, rotation});
        RC_ASSERT(own >= before);
        before = own;
        sums[number] += own;
      }
      RC_ASSERT(before == GetOwnSlots(range, endpoint, slots));
      mixed += GetStartSlots(range, endpoint, slots, {1 + (i * 7) % slots, rotation});
    }
    for (uint32_t number = 1; number <= slots; ++number) RC_ASSERT(sums[number] == number);
    RC_ASSERT(mixed <= slots);
  });
}

struct SimCase {
  size_t entries;
  size_t zones;
};

PaceSimOptions MakeSimOptions(const SimCase& sim_case, bool is_engine, bool learns_pace) {
  PaceSimOptions options;
  options.entries = sim_case.entries;
  options.zones = sim_case.zones;
  options.is_engine = is_engine;
  options.slots = is_engine ? 12 : 6;
  options.learns_pace = learns_pace;
  return options;
}

const std::vector<SimCase> kSimCases = {{1, 1}, {4, 1}, {4, 3}, {18, 1}, {18, 3}, {65, 1}, {65, 3}};
constexpr double kMaxRefusedShare = 0.05;

// Guards against entries that all send their full share to an endpoint that has just come back from a crash: it takes
// only few requests at first, and refuses the rest.
TEST_CASE("An endpoint back from a crash is neither flooded nor left idle") {
  for (const SimCase& sim_case : kSimCases) {
    CAPTURE(sim_case.entries, sim_case.zones);
    const auto run = [&](bool learns_pace) {
      auto sim = std::make_unique<PaceSim>(MakeSimOptions(sim_case, true, learns_pace));
      sim->Run(std::chrono::seconds(5));
      sim->Crash();
      sim->Run(std::chrono::seconds(3));
      sim->Restart();
      sim->Run(std::chrono::seconds(2));
      return sim;
    };
    const double present_share = run(false)->GetRefusedShare();
    CHECK(present_share > kMaxRefusedShare);
    const auto sim = run(true);
    CHECK(sim->GetStartRefusedShare() <= kMaxRefusedShare);
    CHECK(sim->GetRefusedShare() < present_share);
    CHECK(sim->max_excess <= 0);
    CHECK(sim->GetHighestNumber() == 12);
    CHECK(sim->balancers[0]->GetStartPace().GetCount() == 0);
    sim->Run(std::chrono::seconds(1));
    CHECK(sim->GetUse(std::chrono::seconds(2), std::chrono::seconds(3)) >= 0.8);
  }
}

// Guards against entries that each send one request at any time to a plain endpoint, which reports no load, although it
// has just started.
TEST_CASE("Slow start bounds the slots of plain endpoints too") {
  for (const SimCase& sim_case : kSimCases) {
    CAPTURE(sim_case.entries, sim_case.zones);
    const auto run = [&](bool learns_pace) {
      auto sim = std::make_unique<PaceSim>(MakeSimOptions(sim_case, false, learns_pace));
      sim->Run(std::chrono::seconds(5));
      sim->Crash();
      sim->Run(std::chrono::seconds(3));
      sim->Restart();
      sim->Run(std::chrono::seconds(2));
      return sim;
    };
    if (sim_case.entries > 1) CHECK(run(false)->GetRefusedShare() > kMaxRefusedShare);
    const auto sim = run(true);
    CHECK(sim->max_excess <= 0);
    CHECK(sim->balancers[0]->GetStartPace().GetCount() == 0);
    // With more entries than slots those that have heard of the end flood the endpoint while others have not.
    if (sim_case.entries <= 4) CHECK(sim->GetStartRefusedShare() <= kMaxRefusedShare);
  }
}

// Guards against an endpoint that serves again and gets nothing, because each entry waits for the end of its own
// backoff.
TEST_CASE("An endpoint that is reachable again is found at once and not flooded") {
  for (const SimCase& sim_case : kSimCases) {
    CAPTURE(sim_case.entries, sim_case.zones);
    const auto run = [&](bool learns_pace) {
      auto sim = std::make_unique<PaceSim>(MakeSimOptions(sim_case, true, learns_pace));
      sim->Run(std::chrono::seconds(5));
      sim->SetReachable(false);
      sim->Run(std::chrono::seconds(10));
      sim->SetReachable(true);
      sim->Run(std::chrono::seconds(3));
      return sim;
    };
    const auto present = run(false);
    // With many entries the backoff of some ends soon, and these flood the endpoint instead.
    if (sim_case.entries <= 4 && sim_case.zones == 1) {
      CHECK(present->GetUse(std::chrono::seconds(0), std::chrono::seconds(1)) < 0.1);
    } else if (sim_case.entries > 4) {
      CHECK(present->GetRefusedShare() > kMaxRefusedShare);
    }
    const auto sim = run(true);
    CHECK(sim->GetUse(std::chrono::seconds(2), std::chrono::seconds(3)) >= 0.8);
    CHECK(sim->GetStartRefusedShare() <= kMaxRefusedShare);
  }
}

// Guards against a sum over entries that exceeds what a cold endpoint takes, which bursts of many entries did.
TEST_CASE("Slow start stays within the rate of a cold endpoint") {
  for (const SimCase& sim_case : kSimCases) {
    CAPTURE(sim_case.entries, sim_case.zones);
    constexpr double kColdPerS = 8;
    constexpr double kAllowed = kColdPerS * 1.5 + 5;
    const auto run = [&](bool learns_pace) {
      PaceSimOptions options = MakeSimOptions(sim_case, true, learns_pace);
      options.cold_per_s = kColdPerS;
      auto sim = std::make_unique<PaceSim>(options);
      sim->Run(std::chrono::seconds(5));
      sim->Crash();
      sim->Run(std::chrono::seconds(3));
      sim->Restart(std::chrono::seconds(30));
      sim->Run(std::chrono::seconds(6));
      return sim;
    };
    if (sim_case.entries > 4) CHECK(run(false)->GetMaxPerSecond() > kAllowed);
    const auto sim = run(true);
    CHECK(sim->GetMaxPerSecond() <= kAllowed);
    CHECK(sim->sent >= 8);
  }
}

// Guards against a number that entries without reports of others exceed together.
TEST_CASE("An entry that hears no others keeps to its own share of the number") {
  PaceSimOptions options = MakeSimOptions({18, 1}, true, true);
  PaceSim sim(options);
  for (size_t i = 0; i < options.entries; ++i) sim.muted.insert(i);
  sim.Run(std::chrono::seconds(5));
  sim.Crash();
  sim.Run(std::chrono::seconds(3));
  sim.Restart();
  sim.Run(std::chrono::seconds(2));
  CHECK(sim.max_excess <= 0);
  CHECK(sim.GetStartRefusedShare() <= kMaxRefusedShare);
  CHECK(sim.sent > 0);
}

// Guards against a forwarding path that does not tell slow start of answers and refusals.
TEST_CASE("The forwarding path keeps to the slots of a slow start") {
  ForwardOptions options = ForwardFixture::MakeOptions();
  options.balancer.learns_pace = true;
  ForwardFixture fixture({MakeEndpoint("e0", kEnginePool, "praha", 12)}, options);
  fixture.AdvanceTime(std::chrono::seconds(4));
  fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
  fixture.fleet->endpoints[0].incarnation = Incarnation(2);
  fixture.traffic->SetFleet(fixture.fleet);
  std::vector<std::shared_ptr<FakeForwardCaller>> callers;
  for (int i = 0; i < 6; ++i) callers.push_back(fixture.SendRequest("/draft/x", "6000"));
  REQUIRE(fixture.sender.GetCount() == 2);

  SECTION("an answer that begins makes room for one more request") {
    fixture.sender.At(0).BeginStream();
    fixture.sender.At(0).SendData("id: 1\ndata: x\n\n");
    fixture.AdvanceTime(Milliseconds(10));
    CHECK(fixture.sender.GetCount() == 3);
    CHECK(fixture.traffic->GetPaceReport().starts.at(0).good == 1);
  }
  SECTION("a refusal halves the number") {
    fixture.sender.At(0).RefuseAsNotRun();
    fixture.AdvanceTime(Milliseconds(100));
    CHECK(fixture.sender.GetCount() == 2);
    CHECK(fixture.traffic->GetPaceReport().starts.at(0).base == 1);
  }
  SECTION("without the setting all slots are used at once") {
    ForwardFixture usual({MakeEndpoint("e0", kEnginePool, "praha", 12)});
    usual.fleet = std::make_shared<FleetView>(*usual.fleet);
    usual.fleet->endpoints[0].incarnation = Incarnation(2);
    usual.traffic->SetFleet(usual.fleet);
    for (int i = 0; i < 6; ++i) callers.push_back(usual.SendRequest("/draft/x", "6000"));
    CHECK(usual.sender.GetCount() == 6);
    CHECK(usual.traffic->GetPaceReport().starts.empty());
  }
}

}  // namespace
}  // namespace plantain
