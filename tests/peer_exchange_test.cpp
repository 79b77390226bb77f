#include "peer_exchange.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "peer.pb.h"
#include "peer_simulation.h"

namespace plantain {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

uint64_t GetSeed() {
  const char* text = std::getenv("SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

int CountViews(Simulation& simulation, const VmId& vm, MemberState state) {
  int count = 0;
  for (auto& [id, node] : simulation.nodes) {
    if (id != vm && node->is_up && node->GetState(vm) == state) ++count;
  }
  return count;
}

int CountVersion(Simulation& simulation, uint64_t version) {
  int count = 0;
  for (auto& [id, node] : simulation.nodes) count += node->config.GetVersion() == ConfigVersion(version) ? 1 : 0;
  return count;
}

// Guards against members whose state flaps under message loss, and against views that do not converge.
TEST_CASE("A small fleet converges on its members with 20% message loss") {
  Simulation simulation(4, 19, GetSeed());
  INFO("SEED=" << GetSeed());
  simulation.network.loss = 0.2;
  simulation.network.duplication = 0.1;
  simulation.Run(10 * kSecond);
  for (const auto& [vm, node] : simulation.nodes) CHECK(CountViews(simulation, vm, MemberState::kServing) == 22);

  SECTION("no member is suspected within ten minutes") {
    for (auto& [vm, node] : simulation.nodes) node->alarms = 0;
    simulation.Run(std::chrono::minutes(10));
    for (const auto& [vm, node] : simulation.nodes) {
      INFO(vm);
      CHECK(node->alarms == 0);
    }
  }

  SECTION("a member that crashes is dead in all views within 15 s") {
    const VmId vm("agent-9");
    simulation.GetNode(vm).is_up = false;
    simulation.Run(15 * kSecond);
    CHECK(CountViews(simulation, vm, MemberState::kDead) == 22);

    SECTION("a restarted member is serving in all views again") {
      simulation.Restart(vm);
      simulation.Run(5 * kSecond);
      CHECK(CountViews(simulation, vm, MemberState::kServing) == 22);
      CHECK(simulation.GetNode(vm).GetState(VmId("agent-10")) == MemberState::kServing);
    }
  }

  SECTION("a paused member is suspected and recovers with the same incarnation") {
    const VmId vm("agent-9");
    simulation.GetNode(vm).is_up = false;
    simulation.Run(5 * kSecond);
    for (const VmId& entry : simulation.GetVms(MemberKind::kEntry)) {
      CHECK(simulation.GetNode(entry).GetState(vm) == MemberState::kSuspect);
    }
    simulation.GetNode(vm).is_up = true;
    simulation.Run(10 * kSecond);
    CHECK(CountViews(simulation, vm, MemberState::kServing) == 22);
  }
}

// Guards against a healthy member that is taken for dead because one direction of one link is broken.
TEST_CASE("An entry that receives nothing from an agent relies on other entries") {
  Simulation simulation(4, 19, GetSeed());
  simulation.Run(10 * kSecond);
  const VmId agent("agent-7");
  const VmId entry("entry-1");
  simulation.network.blocked.insert({agent, entry});
  simulation.GetNode(entry).alarms = 0;

  SECTION("the entry never suspects the agent") {
    simulation.Run(std::chrono::minutes(5));
    CHECK(simulation.GetNode(entry).alarms == 0);
    CHECK(simulation.GetNode(entry).GetState(agent) == MemberState::kServing);

    SECTION("the entry learns of the agent's death from other entries") {
      simulation.GetNode(agent).is_up = false;
      simulation.Run(15 * kSecond);
      CHECK(simulation.GetNode(entry).GetState(agent) == MemberState::kDead);
    }
  }
}

// Guards against entries that learn too late that an endpoint is leaving or has changed weights.
TEST_CASE("A change of state or holdings reaches every entry of a small fleet within 100 ms, a heartbeat within 1 s") {
  Simulation simulation(4, 19, GetSeed());
  simulation.Run(10 * kSecond);
  SimNode& agent = simulation.GetNode(VmId("agent-8"));
  const auto count_at_entries = [&](MemberState state) {
    int count = 0;
    for (const VmId& entry : simulation.GetVms(MemberKind::kEntry)) {
      count += simulation.GetNode(entry).GetState(agent.GetVm()) == state ? 1 : 0;
    }
    return count;
  };
  agent.self.state = MemberState::kLeaving;
  simulation.Run(std::chrono::milliseconds(100));
  CHECK(count_at_entries(MemberState::kLeaving) == 4);
  agent.self.state = MemberState::kServing;
  agent.self.holdings.push_back({ModelName("m"), AdapterName(), Digest(std::string(32, 'd')), true, 1000});
  simulation.Run(std::chrono::milliseconds(100));
  CHECK(count_at_entries(MemberState::kServing) == 4);
}

// Guards against a configuration that does not reach every process, or that reverts to an earlier version.
TEST_CASE("A document propagates to all processes and never reverts on an unreliable network") {
  const bool is_ok = rc::check("spread", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    Simulation simulation(3, 9, seed);
    simulation.network.loss = 0.01 * *rc::gen::inRange(0, 40);
    simulation.network.duplication = 0.3;
    simulation.network.max_delay = std::chrono::milliseconds(*rc::gen::inRange(1, 800));
    simulation.Run(3 * kSecond);
    const std::vector<VmListRow>& vm_list = simulation.vm_list;
    uint64_t version = 0;
    for (int i = 0; i < 6; ++i) {
      const VmId& vm = vm_list[*rc::gen::inRange<size_t>(0, vm_list.size())].vm;
      ++version;
      simulation.GetNode(vm).config.AdoptDocument(MakeTestView(version, version * 3, "v" + std::to_string(version)));
      simulation.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 1500)));
    }
    simulation.Run(30 * kSecond);
    RC_ASSERT(CountVersion(simulation, version) == 12);
    for (const auto& [vm, node] : simulation.nodes) RC_ASSERT(!node->config.HasReverted());
  });
  CHECK(is_ok);
}

// Guards against control traffic above its budget, and against member details that are sent to other zones.
TEST_CASE("A large fleet sends member details only within zones and stays within the traffic budget") {
  Simulation simulation(12, 108, GetSeed(), 4);
  simulation.Run(60 * kSecond);
  const size_t before = simulation.bytes;
  simulation.Run(60 * kSecond);
  const double rate = static_cast<double>(simulation.bytes - before) / 60 / 120;
  INFO("bytes/s per process, sent: " << rate);
  // The budget of 3 KB/s covers both directions.
  CHECK(rate <= 1500);
  const VmId agent("agent-12");
  const ZoneName zone = simulation.vm_list[12].zone;
  for (const VmId& entry : simulation.GetVms(MemberKind::kEntry)) {
    const auto row = std::find_if(simulation.vm_list.begin(), simulation.vm_list.end(),
                                  [&](const VmListRow& r) { return r.vm == entry; });
    const MemberState state = simulation.GetNode(entry).GetState(agent);
    CHECK(state == (row->zone == zone ? MemberState::kServing : MemberState::kUnknown));
  }

  SECTION("a dead member is dead in the views of all entries of its zone") {
    simulation.GetNode(agent).is_up = false;
    simulation.Run(120 * kSecond);
    for (const VmListRow& row : simulation.vm_list) {
      if (row.kind != MemberKind::kEntry || row.zone != zone) continue;
      CHECK(simulation.GetNode(row.vm).GetState(agent) == MemberState::kDead);
    }
  }
}

// Guards against malformed messages that crash a process, change its document or exhaust its memory.
TEST_CASE("Corrupted, replayed and forged messages are counted and have no effect") {
  Simulation simulation(2, 2, GetSeed());
  simulation.GetNode(VmId("entry-0")).config.AdoptDocument(MakeTestView(1, 0, "one"));
  simulation.Run(5 * kSecond);
  SimNode& node = simulation.GetNode(VmId("entry-1"));
  SeededRandom random(GetSeed());

  std::vector<std::string> corpus;
  proto::PeerMessage message;
  message.set_sender("agent-2");
  message.set_incarnation(1);
  proto::Heartbeat& heartbeat = *message.mutable_sync()->add_heartbeats();
  heartbeat.set_sequence(20);
  heartbeat.set_state(proto::MEMBER_STATE_SERVING);
  corpus.push_back(message.SerializeAsString());
  proto::ConfigOffer& offer = *message.mutable_sync()->mutable_offer();
  const auto view = MakeTestView(9, 9, "nine");
  offer.mutable_ref()->set_version(9);
  offer.mutable_ref()->set_publish_offset(9);
  offer.mutable_ref()->set_digest(view->digest.Get());
  offer.mutable_ref()->set_proof(std::string(32, 'p'));
  offer.set_document(view->text);
  corpus.push_back(message.SerializeAsString());
  message.mutable_sync()->set_want_document(true);
  message.mutable_sync()->add_summaries()->set_zone("zone-9");
  corpus.push_back(message.SerializeAsString());

  for (int i = 0; i < 30'000; ++i) {
    std::string data = corpus[random.GetBelow(corpus.size())];
    for (uint64_t changes = random.GetBelow(4); changes > 0; --changes) {
      data[random.GetBelow(data.size())] = static_cast<char>(random.GetBits());
    }
    if (random.GetBelow(4) == 0) data.resize(random.GetBelow(data.size() + 1));
    node.Receive(VmId("agent-2"), data);
  }
  CHECK(node.config.GetVersion() == ConfigVersion(1));
  CHECK(node.rejected["malformed"] > 0);
  CHECK(node.rejected["proof_invalid"] > 0);
  CHECK(node.rejected["replayed"] > 0);
  simulation.Run(15 * kSecond);
  CHECK(node.GetState(VmId("agent-3")) == MemberState::kServing);
}

}  // namespace
}  // namespace plantain
