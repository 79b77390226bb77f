#include "endpoint_speed.h"

#include <catch2/catch.hpp>
#include <string>

#include "forward_fake.h"

namespace plantain {
namespace {

constexpr size_t kEndpoints = 10;
constexpr size_t kSlow = 3;
constexpr Duration kUsual = Milliseconds(100);
constexpr Duration kSlowTime = Milliseconds(250);

EndpointId GetId(size_t number) { return EndpointId("e" + std::to_string(number)); }

struct SpeedFixture {
  SpeedFixture() : speeds(clock), peer(clock) {
    std::map<EndpointId, Incarnation> listed;
    for (size_t i = 0; i < kEndpoints; ++i) listed[GetId(i)] = Incarnation(1);
    speeds.SetEndpoints(listed);
    peer.SetEndpoints(listed);
    for (size_t i = 0; i < kEndpoints; ++i) Answer(i, kUsual);
  }

  void Answer(size_t endpoint, Duration delay) {
    speeds.OnAnswerBegun(GetId(endpoint), Incarnation(1), kRegisterPool, delay, {});
  }

  VirtualClock clock;
  EndpointSpeeds speeds;
  EndpointSpeeds peer;
};

// Guards against an endpoint that is avoided for one slow answer, or for long after it is fast again.
TEST_CASE("The speed of an endpoint follows its last answers") {
  SpeedFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.Answer(kSlow, kUsual);

  SECTION("one slow answer changes nothing") {
    fixture.Answer(kSlow, Milliseconds(5000));
    CHECK(fixture.speeds.GetSlowness(GetId(kSlow)) == 1.0);
    CHECK(fixture.speeds.GetReport().empty());
  }
  SECTION("several do, and fast ones end it") {
    for (int i = 0; i < 3; ++i) fixture.Answer(kSlow, kSlowTime);
    CHECK(fixture.speeds.GetSlowness(GetId(kSlow)) == 2.5);
    for (int i = 0; i < 3; ++i) fixture.Answer(kSlow, kUsual);
    CHECK(fixture.speeds.GetSlowness(GetId(kSlow)) == 1.0);
  }
  SECTION("without answers it is unknown after a second") {
    for (int i = 0; i < 3; ++i) fixture.Answer(kSlow, kSlowTime);
    fixture.clock.Advance(std::chrono::seconds(1));
    CHECK_FALSE(fixture.speeds.GetSlowness(GetId(kSlow)).has_value());
  }
  SECTION("an entry without answers learns it from others") {
    for (int i = 0; i < 3; ++i) fixture.Answer(kSlow, kSlowTime);
    fixture.peer.ApplyReport(VmId("10.0.0.1"), fixture.speeds.GetReport());
    CHECK(fixture.peer.GetSlowness(GetId(kSlow)) == 2.5);
    fixture.peer.SetEntries({});
    CHECK_FALSE(fixture.peer.GetSlowness(GetId(kSlow)).has_value());
  }
}

// Guards against slow endpoints that get as many requests as fast ones, or none.
TEST_CASE("A slow endpoint is chosen in proportion to its speed") {
  const bool learns_pace = GENERATE(false, true);
  VirtualClock clock;
  SeededRandom random(20261206);
  BalancerOptions options{VmId("self"), ZoneName("praha"), RegionName("praha")};
  options.learns_pace = learns_pace;
  EndpointBalancer balancer(clock, random, options);
  std::vector<EndpointInfo> infos;
  for (size_t i = 0; i < kEndpoints; ++i) infos.push_back(MakeEndpoint(GetId(i).Get(), kRegisterPool, "praha", 6));
  balancer.SetFleet(MakeFleet(infos));
  // The first answers only tell what is usual in the pool.
  for (int round = 0; round < 4; ++round) {
    for (size_t i = 0; i < kEndpoints; ++i) {
      const TimePoint sent_at = clock.GetNow() - (i == kSlow ? kSlowTime : kUsual);
      balancer.OnAnswerBegun(GetId(i), Incarnation(1), sent_at, {});
    }
  }
  const RouteRule rule;
  EndpointQuery query;
  query.pool = kRegisterPool;
  query.rule = &rule;
  std::map<EndpointId, int> chosen;
  constexpr int kChoices = 10'000;
  for (int i = 0; i < kChoices; ++i) ++chosen[balancer.Choose(query).endpoint->id];
  const double fast = static_cast<double>(kChoices - chosen[GetId(kSlow)]) / (kEndpoints - 1);
  const double relative = chosen[GetId(kSlow)] / fast;
  if (learns_pace) {
    CHECK(relative > 0.3);
    CHECK(relative < 0.5);
  } else {
    CHECK(relative > 0.8);
  }
}

}  // namespace
}  // namespace plantain
