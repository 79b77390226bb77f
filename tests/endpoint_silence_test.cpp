#include "endpoint_silence.h"

#include <catch2/catch.hpp>

#include "clock.h"
#include "forward_fake.h"

namespace plantain {
namespace {

// Guards against an endpoint that answers others and is taken for one that stands still, and the reverse.
TEST_CASE("An endpoint stands still if nothing comes from it for most of the silence of an attempt") {
  EndpointSilence silence;
  const TimePoint begin = VirtualClock().GetNow();
  silence.OnReceived(begin + Milliseconds(100));

  SECTION("nothing came but a byte for another request at the begin") {
    CHECK(silence.OnSilent(begin, begin + Milliseconds(1200)) == SilenceFinding::kPause);
    CHECK(silence.IsPaused());
    SECTION("the next byte ends the pause, which is counted from the last byte") {
      CHECK(silence.OnReceived(begin + Milliseconds(1500)) == Duration(Milliseconds(1400)));
      CHECK_FALSE(silence.IsPaused());
    }
  }
  SECTION("others have been answered") {
    silence.OnReceived(begin + Milliseconds(1100));
    CHECK(silence.OnSilent(begin, begin + Milliseconds(1200)) == SilenceFinding::kRequestOnly);
    CHECK_FALSE(silence.IsPaused());
  }
}

// Guards against a backoff that doubles with each of the requests which one failure of an endpoint has met.
TEST_CASE("One failure of an endpoint is counted once, whatever the number of its requests") {
  VirtualClock clock;
  SeededRandom random(20261204);
  EndpointBalancer balancer(clock, random, {VmId("self"), ZoneName("praha"), RegionName("praha")});
  balancer.SetFleet(MakeFleet({MakeEndpoint("e1", kEnginePool, "praha", 16)}));
  const EndpointId id("e1");
  RouteRule rule;
  EndpointQuery query;
  query.pool = kEnginePool;
  query.rule = &rule;
  query.model = kVeilModel;
  const TimePoint sent_at = clock.GetNow();
  for (int i = 0; i < 6; ++i) balancer.OnSent(id, 0);
  clock.Advance(Milliseconds(1200));

  SECTION("it stands still") {
    for (int i = 0; i < 6; ++i) balancer.OnSilent(id, Incarnation(1), sent_at);
    CHECK(balancer.Choose(query).failure == NoEndpointReason::kBusy);
    SECTION("it is tried again after the first backoff") {
      clock.Advance(Milliseconds(1510));
      CHECK(balancer.Choose(query).endpoint != nullptr);
      SECTION("with one request only") {
        balancer.OnSent(id, 0);
        CHECK(balancer.Choose(query).endpoint == nullptr);
      }
    }
    SECTION("it gets requests as soon as it goes on") {
      CHECK(balancer.OnReceived(id, Incarnation(1)).has_value());
      CHECK(balancer.Choose(query).endpoint != nullptr);
    }
  }
  SECTION("an earlier run of it stood still") {
    balancer.OnSilent(id, Incarnation(0), sent_at);
    CHECK(balancer.Choose(query).endpoint != nullptr);
  }
  SECTION("it answers others at first, and then stands still") {
    balancer.OnReceived(id, Incarnation(1));
    CHECK(balancer.OnSilent(id, Incarnation(1), sent_at) == SilenceFinding::kRequestOnly);
    clock.Advance(Milliseconds(1300));
    CHECK(balancer.ReviewSilence(id, Incarnation(1), sent_at) == SilenceFinding::kPause);
    CHECK(balancer.Choose(query).failure == NoEndpointReason::kBusy);
    balancer.OnReceived(id, Incarnation(1));
    CHECK(balancer.Choose(query).endpoint != nullptr);
  }
  SECTION("it stands still and then cannot be reached") {
    balancer.OnSilent(id, Incarnation(1), sent_at);
    balancer.OnEnded(id, AttemptEnd::kUnreachable, clock.GetNow());
    CHECK(balancer.Choose(query).failure == NoEndpointReason::kBackedOff);
  }
  SECTION("it cannot be reached") {
    for (int i = 0; i < 6; ++i) balancer.OnEnded(id, AttemptEnd::kUnreachable, sent_at);
    CHECK(balancer.Choose(query).failure == NoEndpointReason::kBackedOff);
    clock.Advance(Milliseconds(410));
    CHECK(balancer.Choose(query).endpoint != nullptr);
  }
}

}  // namespace
}  // namespace plantain
