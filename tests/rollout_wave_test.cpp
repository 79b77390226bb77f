#include "rollout.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "manifest_func.h"
#include "placement.h"

namespace plantain {
namespace {

const Digest kOld = ComputeDigest("v1");
const Digest kNew = ComputeDigest("v2");
const WeightSlot kSlot{ModelName("posudek"), AdapterName()};
const ZoneName kZone("praha");
const PoolName kPool("runners");

MemberInfo MakeMember(size_t index) {
  MemberInfo member;
  member.vm = VmId("vm-" + std::to_string(index));
  member.zone = kZone;
  member.pool = kPool;
  member.kind = MemberKind::kEndpoint;
  member.state = MemberState::kServing;
  // Serves the old version and has all chunks of the new one.
  member.holdings = {{kSlot.model, kSlot.adapter, kOld, true, 1000}, {kSlot.model, kSlot.adapter, kNew, false, 1000}};
  return member;
}

void BeginSwap(MemberInfo& member) { member.holdings = {{kSlot.model, kSlot.adapter, kNew, false, 1000}}; }
void EndSwap(MemberInfo& member) { member.holdings = {{kSlot.model, kSlot.adapter, kNew, true, 1000}}; }

bool IsServing(const MemberInfo& member) { return member.holdings.front().is_serving; }

struct World {
  explicit World(size_t count, double floor, double wave) {
    document.zones.push_back({kZone, RegionName("cechy"), true});
    document.rollout.floor = floor;
    document.rollout.wave = wave;
    for (size_t i = 0; i < count; ++i) view.members.push_back(MakeMember(i));
  }

  TurnVerdict Ask(size_t index) {
    return policy.Decide(document, view, {view.members[index].vm, kZone, kPool, kSlot, kNew});
  }

  size_t CountServing() const {
    return static_cast<size_t>(std::count_if(view.members.begin(), view.members.end(), IsServing));
  }

  VirtualClock clock;
  RolloutPolicy policy{clock, Duration(0)};
  Document document;
  MemberView view;
};

// Guards against more VMs swapping at once than the wave size or the serving floor allows.
TEST_CASE("A rollout proceeds in waves and keeps the serving floor") {
  World world(9, 0.5, 0.34);
  std::set<size_t> going;
  for (size_t i = 0; i < 9; ++i) {
    if (world.Ask(i) == TurnVerdict::kGo) going.insert(i);
  }
  SECTION("the first wave has the configured share of the VMs") { CHECK(going.size() == 3); }
  SECTION("no other VM swaps during the wave; when one VM has finished, the next one may swap") {
    for (const size_t i : going) BeginSwap(world.view.members[i]);
    for (size_t i = 0; i < 9; ++i) {
      if (!going.contains(i)) CHECK(world.Ask(i) != TurnVerdict::kGo);
    }
    EndSwap(world.view.members[*going.begin()]);
    size_t next = 0;
    for (size_t i = 0; i < 9; ++i) next += !going.contains(i) && world.Ask(i) == TurnVerdict::kGo ? 1 : 0;
    CHECK(next == 1);
  }
  SECTION("the floor does not apply to a zone that is out of service") {
    world.document.zones[0].is_in_service = false;
    for (size_t i = 0; i < 9; ++i) CHECK(world.Ask(i) == TurnVerdict::kGo);
  }
  SECTION("an error rate above the limit pauses the rollout") {
    AdmissionReport report;
    world.policy.OnAdmission(report);
    report.succeeded = 80;
    report.failed = 20;
    world.clock.Advance(std::chrono::seconds(1));
    world.policy.OnAdmission(report);
    CHECK(world.Ask(*going.begin()) == TurnVerdict::kPaused);
    world.clock.Advance(std::chrono::seconds(11));
    world.policy.OnAdmission(report);
    world.clock.Advance(std::chrono::seconds(11));
    world.policy.OnAdmission(report);
    CHECK(world.Ask(*going.begin()) == TurnVerdict::kGo);
  }
}

// Guards against rollouts that violate the serving floor and rollouts that never complete.
TEST_CASE("With equal views, every rollout completes and keeps the serving floor") {
  CHECK(rc::check([] {
    const size_t count = *rc::gen::inRange<size_t>(1, 12);
    const double floor = *rc::gen::inRange(0, 101) / 100.0;
    const double wave = *rc::gen::inRange(0, 101) / 100.0;
    World world(count, floor, wave);
    const auto least = std::min(count - 1, static_cast<size_t>(std::ceil(floor * static_cast<double>(count))));
    for (size_t round = 0; round < 2 * count; ++round) {
      std::vector<size_t> going;
      for (size_t i = 0; i < count; ++i) {
        const bool is_old = world.view.members[i].holdings.front().manifest == kOld;
        if (is_old && world.Ask(i) == TurnVerdict::kGo) going.push_back(i);
      }
      for (const size_t i : going) BeginSwap(world.view.members[i]);
      RC_ASSERT(world.CountServing() >= least);
      for (const size_t i : going) EndSwap(world.view.members[i]);
    }
    for (const MemberInfo& member : world.view.members) RC_ASSERT(member.holdings.front().manifest == kNew);
  }));
}

TEST_CASE("Peers are the endpoints whose pool is assigned the manifest") {
  World world(3, 0.5, 0.5);
  world.document.origin_zone = kZone;
  world.document.models.push_back({kSlot.model, {{VersionName("v2"), kNew, Bytes(1)}}, {}});
  world.document.placements.push_back({kPool, kSlot.model, VersionName("v2"), {}});
  world.view.members[1].state = MemberState::kDead;
  MemberInfo far = MakeMember(7);
  far.zone = ZoneName("brno");
  far.state = MemberState::kUnknown;
  world.view.members.push_back(far);

  const auto peers = GetWeightPeers(world.document, world.view, kZone, kNew);
  SECTION("dead members of the own zone are excluded, members of other zones in unknown state are included") {
    REQUIRE(peers.size() == 3);
    CHECK(peers[0].vm == VmId("vm-0"));
    CHECK(peers[1].vm == VmId("vm-2"));
    CHECK(peers[2].vm == VmId("vm-7"));
  }
  SECTION("the origin's zone fetches from the origin if it has a peer, otherwise another zone does") {
    CHECK(GetDrawingZone(world.document, peers, kNew) == kZone);
    CHECK(GetDrawingZone(world.document, {peers[2]}, kNew) == ZoneName("brno"));
  }
}

}  // namespace
}  // namespace plantain
