#include "spare_capacity.h"

#include <catch2/catch.hpp>

#include "first_event_delay.h"

namespace plantain {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

// Records new requests at a steady rate for ten seconds. Returns the time afterwards.
TimePoint Arrive(SpareCapacity& capacity, int per_s) {
  TimePoint now = kStart;
  for (int i = 0; i < 10 * per_s; ++i, now += std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) / per_s) {
    capacity.OnNewRequest(now);
  }
  return now;
}

// Guards against late requests in slots that new requests are about to need, and against late requests that are never
// served although there is room.
TEST_CASE("Late requests get what new requests leave") {
  SpareCapacity capacity;
  capacity.OnAnswered(Milliseconds(1100));

  SECTION("nothing while new requests need all slots, however many are free at the moment") {
    CHECK_FALSE(capacity.AllowsLate(20, Arrive(capacity, 20)));
    CHECK_FALSE(capacity.AllowsLate(20, Arrive(capacity, 30)));
  }
  SECTION("the rest, without a reserve for varying arrivals") {
    const TimePoint now = Arrive(capacity, 10);
    for (uint64_t ticket = 1; ticket <= 7; ++ticket) {
      REQUIRE(capacity.AllowsLate(20, now));
      capacity.OnLateSent(WaitTicket(ticket));
    }
    CHECK_FALSE(capacity.AllowsLate(20, now));
    capacity.OnEnded(WaitTicket(3));
    CHECK(capacity.AllowsLate(20, now));
  }
  SECTION("soon after new requests have ceased") {
    const TimePoint now = Arrive(capacity, 20);
    CHECK(capacity.AllowsLate(20, now + std::chrono::seconds(2)));
  }
  SECTION("nothing without endpoints") { CHECK_FALSE(capacity.AllowsLate(0, kStart)); }
}

// Guards against a wait in the queue after which endpoints cannot begin the answer in time any more.
TEST_CASE("The delay until an answer begins is learned, and follows a change in both directions") {
  FirstEventDelay delay;
  CHECK(delay.GetEstimate() == Duration::zero());
  for (int i = 0; i < 100; ++i) delay.Record(Milliseconds(200));
  CHECK(delay.GetEstimate() < Milliseconds(210));
  for (int i = 0; i < 60; ++i) delay.Record(Milliseconds(i % 2 == 0 ? 500 : 300));
  CHECK(delay.GetEstimate() > Milliseconds(450));
  CHECK(delay.GetEstimate() < Milliseconds(550));
  for (int i = 0; i < 100; ++i) delay.Record(Milliseconds(200));
  CHECK(delay.GetEstimate() < Milliseconds(220));
}

}  // namespace
}  // namespace plantain
