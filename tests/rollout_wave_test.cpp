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

struct RolloutFixture {
  explicit RolloutFixture(size_t count, double floor, double wave) {
    document.zones.push_back({kZone, RegionName("cechy"), true});
    document.rollout.floor = floor;
    document.rollout.wave = wave;
    for (size_t i = 0; i < count; ++i) view.members.push_back(MakeMember(i));
  }

  SwapDecision DecideFor(size_t index) {
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
  RolloutFixture fixture(9, 0.5, 0.34);
  std::set<size_t> allowed;
  for (size_t i = 0; i < 9; ++i) {
    if (fixture.DecideFor(i) == SwapDecision::kGo) allowed.insert(i);
  }
  SECTION("the first wave has the configured share of the VMs") { CHECK(allowed.size() == 3); }
  SECTION("no other VM swaps during the wave; when one VM has finished, the next one may swap") {
    for (const size_t i : allowed) BeginSwap(fixture.view.members[i]);
    for (size_t i = 0; i < 9; ++i) {
      if (!allowed.contains(i)) CHECK(fixture.DecideFor(i) != SwapDecision::kGo);
    }
    EndSwap(fixture.view.members[*allowed.begin()]);
    size_t next = 0;
    for (size_t i = 0; i < 9; ++i) next += !allowed.contains(i) && fixture.DecideFor(i) == SwapDecision::kGo ? 1 : 0;
    CHECK(next == 1);
  }
  SECTION("the floor does not apply to a zone that is out of service") {
    fixture.document.zones[0].is_in_service = false;
    for (size_t i = 0; i < 9; ++i) CHECK(fixture.DecideFor(i) == SwapDecision::kGo);
  }
  SECTION("an error rate above the limit pauses the rollout") {
    AdmissionReport report;
    fixture.policy.OnAdmission(report);
    report.succeeded = 80;
    report.failed = 20;
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.policy.OnAdmission(report);
    CHECK(fixture.DecideFor(*allowed.begin()) == SwapDecision::kPaused);
    fixture.clock.Advance(std::chrono::seconds(11));
    fixture.policy.OnAdmission(report);
    fixture.clock.Advance(std::chrono::seconds(11));
    fixture.policy.OnAdmission(report);
    CHECK(fixture.DecideFor(*allowed.begin()) == SwapDecision::kGo);
  }
}

// Guards against rollouts that violate the serving floor and rollouts that never complete.
TEST_CASE("With equal views, every rollout completes and keeps the serving floor") {
  CHECK(rc::check([] {
    const size_t count = *rc::gen::inRange<size_t>(1, 12);
    const double floor = *rc::gen::inRange(0, 101) / 100.0;
    const double wave = *rc::gen::inRange(0, 101) / 100.0;
    RolloutFixture fixture(count, floor, wave);
    const auto min_serving = std::min(count - 1, static_cast<size_t>(std::ceil(floor * static_cast<double>(count))));
    for (size_t round = 0; round < 2 * count; ++round) {
      std::vector<size_t> allowed;
      for (size_t i = 0; i < count; ++i) {
        const bool is_old = fixture.view.members[i].holdings.front().manifest == kOld;
        if (is_old && fixture.DecideFor(i) == SwapDecision::kGo) allowed.push_back(i);
      }
      for (const size_t i : allowed) BeginSwap(fixture.view.members[i]);
      RC_ASSERT(fixture.CountServing() >= min_serving);
      for (const size_t i : allowed) EndSwap(fixture.view.members[i]);
    }
    for (const MemberInfo& member : fixture.view.members) RC_ASSERT(member.holdings.front().manifest == kNew);
  }));
}

TEST_CASE("Peers are the endpoints whose pool is assigned the manifest") {
  RolloutFixture fixture(3, 0.5, 0.5);
  fixture.document.origin_zone = kZone;
  fixture.document.models.push_back({kSlot.model, {{VersionName("v2"), kNew, Bytes(1)}}, {}});
  fixture.document.placements.push_back({kPool, kSlot.model, VersionName("v2"), {}});
  fixture.view.members[1].state = MemberState::kDead;
  MemberInfo remote_member = MakeMember(7);
  remote_member.zone = ZoneName("brno");
  remote_member.state = MemberState::kUnknown;
  fixture.view.members.push_back(remote_member);

  const auto peers = GetWeightPeers(fixture.document, fixture.view, kZone, kNew);
  SECTION("dead members of the own zone are excluded, members of other zones in unknown state are included") {
    REQUIRE(peers.size() == 3);
    CHECK(peers[0].vm == VmId("vm-0"));
    CHECK(peers[1].vm == VmId("vm-2"));
    CHECK(peers[2].vm == VmId("vm-7"));
  }
  SECTION("the origin's zone fetches from the origin if it has a peer, otherwise another zone does") {
    CHECK(GetOriginFetchZone(fixture.document, peers, kNew) == kZone);
    CHECK(GetOriginFetchZone(fixture.document, {peers[2]}, kNew) == ZoneName("brno"));
  }
}

}  // namespace
}  // namespace plantain
